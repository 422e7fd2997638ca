"""Measures how long keys are not served after a loss, and how long publishing takes."""

import json
import sys
import threading
import time

from absl import flags

from shallotyard_testing.answers import describe_seconds
from shallotyard_testing.scenarios import CLIENT
from shallotyard_testing.scenarios import find_key
from shallotyard_testing.scenarios import find_owner
from shallotyard_testing.scenarios import read_table
from shallotyard_testing.scenarios import run_cluster
from shallotyard_testing.scenarios import wait_settled
from shallotyard_testing.scenarios import wait_until
from shallotyard_testing.traffic import BOOKINGS
from shallotyard_testing.traffic import STATUS
from shallotyard_testing.traffic import send
from shallotyard_testing.utils import parse_flags

_FLAGS = flags.FlagValues()
flags.DEFINE_integer("trials", 10, "losses of each kind", flag_values=_FLAGS)
flags.DEFINE_list(
    "kinds",
    ["upstream", "instance", "domain", "configuration"],
    "what to measure",
    flag_values=_FLAGS,
)

RECOVERY_TARGET_S = 4.0
CONFIGURATION_TARGET_S = 8.0
DAEMONS = {"a": "d1", "b": "d1", "c": "d2", "e": "d2"}
_PROBE_PAUSE_S = 0.03
_LIMIT_S = 40.0
# Copies of outcome records need a moment after an instance started.
_REST_S = 4.0


def probe_key(cluster, instance, path, key, since):
    """Send writes for a key until one that began after ``since`` has run.

    :return: seconds from ``since`` to that answer, ``None`` after `_LIMIT_S`.
    """
    number = 0
    while time.monotonic() < since + _LIMIT_S:
        number += 1
        identity = f"probe-{key}-{time.monotonic_ns()}"
        query = f"n={number}"
        response = send(cluster, instance, CLIENT, path, "POST", key, identity, query)
        if response.status == 200:
            return response.ended_at - since
        time.sleep(_PROBE_PAUSE_S)
    return None


def measure_keys(cluster, instance, keys, lose):
    """Cause a loss and return the seconds until each key is served again.

    :param instance: daemon that the probes go to.
    :param keys: pairs of path and key, all of which the loss affects.
    :param lose: function that causes the loss.
    """
    spans = []
    since = time.monotonic()
    lose()

    def probe(path, key):
        spans.append(probe_key(cluster, instance, path, key, since))

    threads = [threading.Thread(target=probe, args=pair) for pair in keys]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return spans


def lose_upstream(cluster, trial):
    """Lose one upstream of each keyed service for the length of a trial."""
    names = [f"bookbay-0{trial % 4 + 1}", f"statusdesk-0{trial % 4 + 1}"]

    def owns_all():
        table = read_table(cluster)
        owners = {
            list(table["upstreams"])[entry[0]]
            for service in table["services"].values()
            for entry in service["slices"]
        }
        return set(names) <= owners

    wait_until(owns_all, "slices at the upstream", timeout_s=60.0)
    wait_settled(cluster)
    keys = [
        (path, find_key(cluster, service, upstream=name, skip=skip))
        for (service, path), name in zip(_SERVICES, names, strict=True)
        for skip in range(2)
    ]
    spans = measure_keys(
        cluster, "a", keys, lambda: cluster.control_upstreams(*names, die=True)
    )
    cluster.control_upstreams(*names, die=False)
    return spans


_SERVICES = (("bookbay", BOOKINGS), ("statusdesk", STATUS))


def find_keys_of(cluster, instances):
    """Return up to four keys of slices that some instances hold."""
    table = read_table(cluster)
    pairs = []
    for service, path in _SERVICES:
        held = []
        for key in (f"stall-{number}" for number in range(500)):
            holder = find_owner(table, service, CLIENT, key)[1]
            if holder in instances and len(held) < 2:
                held.append((path, key))
        pairs += held
    return pairs


def lose_instance(cluster, trial):
    """Lose an instance that holds keys; it returns after the trial."""
    wait_settled(cluster)
    holders = {entry[0] for entry in read_table(cluster)["upstreams"].values()}
    victim = sorted(holders)[trial % len(holders)]
    other = next(name for name in DAEMONS if name != victim)
    keys = find_keys_of(cluster, [victim])
    spans = measure_keys(cluster, other, keys, lambda: cluster.group.kill(victim))
    cluster.start_daemon(victim, DAEMONS[victim], "warning")
    return spans


def lose_domain(cluster, trial):
    """Lose all instances and upstreams of one failure domain."""
    wait_settled(cluster)
    domain = ("d1", "d2")[trial % 2]
    victims = [name for name in DAEMONS if DAEMONS[name] == domain]
    other = next(name for name in DAEMONS if name not in victims)
    upstreams = cluster.manifest["upstreams"].items()
    names = [name for name, entry in upstreams if entry["domain"] == domain]
    wait_until(lambda: find_keys_of(cluster, victims), "keys in the domain")
    keys = find_keys_of(cluster, victims)

    def lose():
        for name in victims:
            cluster.group.children_by_name[name].process.kill()
        cluster.control_upstreams(*names, die=True)

    spans = measure_keys(cluster, other, keys, lose)
    cluster.control_upstreams(*names, die=False)
    for name in victims:
        cluster.group.children_by_name[name].process.wait()
        cluster.start_daemon(name, domain, "warning")
    return spans


def change_configuration(cluster, trial):
    """Publish a version and return the seconds until all daemons have it."""
    manifest = cluster.manifest
    manifest["version"] += 1
    version = manifest["version"]
    manifest["services"]["bookbay"]["default_deadline_ms"] = 2000 + version
    path = cluster.group.directory / "recovery-manifest.jsonc"
    path.write_text(json.dumps(manifest))
    store = f"--store={cluster.store_url}"
    began_at = time.monotonic()
    status, output = cluster.run_command("publish", path, store, "--wait_s=0")
    if status != 0:
        raise RuntimeError(output)

    def in_force():
        reports = [cluster.status(name) for name in DAEMONS]
        return all(r and r["manifest_version"] >= version for r in reports)

    wait_until(in_force, "in force", poll_s=0.02)
    return [time.monotonic() - began_at]


_TRIALS_BY_KIND = {
    "upstream": lose_upstream,
    "instance": lose_instance,
    "domain": lose_domain,
    "configuration": change_configuration,
}


def measure(kind, trials):
    """Return the distribution over the trials of one kind, in seconds.

    Each trial counts with its slowest key.
    """
    counts = {"bookbay": 4, "statusdesk": 4}
    slowest = []
    spans = []
    with run_cluster(counts, DAEMONS) as cluster:
        for trial in range(trials):
            wait_settled(cluster)
            time.sleep(_REST_S)
            found = _TRIALS_BY_KIND[kind](cluster, trial)
            spans += found
            slowest.append(None if None in found else max(found))
            sys.stderr.write(f"{kind} {trial}: {slowest[-1]}\n")
    configuration = kind == "configuration"
    target = CONFIGURATION_TARGET_S if configuration else RECOVERY_TARGET_S
    return {
        "trials": describe_seconds(slowest),
        "keys": describe_seconds(spans),
        "target_s": target,
        "over_target": sum(span is None or span > target for span in slowest),
        "slowest_s": [span and round(span, 3) for span in slowest],
    }


if __name__ == "__main__":
    parse_flags(_FLAGS, sys.argv)
    value = {kind: measure(kind, _FLAGS.trials) for kind in _FLAGS.kinds}
    sys.stdout.write(json.dumps(value, indent=1) + "\n")
