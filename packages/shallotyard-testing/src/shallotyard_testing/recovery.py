"""Measures unavailability of keys after a loss, and the time to publish."""

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
DOMAIN_BY_DAEMON = {"a": "d1", "b": "d1", "c": "d2", "e": "d2"}
_PROBE_INTERVAL_S = 0.03
_PROBE_TIMEOUT_S = 40.0
# Time to copy outcome records to an instance that has just started.
_SETTLE_S = 4.0


def probe_key(cluster, instance, path, key, started_at):
    """Send writes for a key after a loss until one succeeds.

    :param started_at: time of ``time.monotonic`` at the loss.
    :return: seconds from ``started_at`` to its response, ``None`` after
        `_PROBE_TIMEOUT_S` without one.
    """
    number = 0
    while time.monotonic() < started_at + _PROBE_TIMEOUT_S:
        number += 1
        identity = f"probe-{key}-{time.monotonic_ns()}"
        query = f"n={number}"
        response = send(cluster, instance, CLIENT, path, "POST", key, identity, query)
        if response.status == 200:
            return response.ended_at - started_at
        time.sleep(_PROBE_INTERVAL_S)
    return None


def measure_keys(cluster, instance, keys, cause_loss):
    """Cause a loss and return the seconds until each key is served again.

    :param instance: id of the daemon that the probes are sent to.
    :param keys: pairs of path and key that the loss affects.
    :param cause_loss: function that causes the loss.
    """
    durations_s = []
    started_at = time.monotonic()
    cause_loss()

    def probe(path, key):
        durations_s.append(probe_key(cluster, instance, path, key, started_at))

    threads = [threading.Thread(target=probe, args=pair) for pair in keys]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return durations_s


def lose_upstream(cluster, trial):
    """Stop one upstream of each keyed service until its keys are served again."""
    upstream_ids = [f"bookbay-0{trial % 4 + 1}", f"statusdesk-0{trial % 4 + 1}"]

    def all_own_slices():
        table = read_table(cluster)
        owners = {
            list(table["upstreams"])[entry[0]]
            for service in table["services"].values()
            for entry in service["slices"]
        }
        return set(upstream_ids) <= owners

    wait_until(all_own_slices, "slices at the upstream", timeout_s=60.0)
    wait_settled(cluster)
    keys = [
        (path, find_key(cluster, service, upstream=name, skip=skip))
        for (service, path), name in zip(_SERVICES, upstream_ids, strict=True)
        for skip in range(2)
    ]
    durations_s = measure_keys(
        cluster, "a", keys, lambda: cluster.control_upstreams(*upstream_ids, die=True)
    )
    cluster.control_upstreams(*upstream_ids, die=False)
    return durations_s


_SERVICES = (("bookbay", BOOKINGS), ("statusdesk", STATUS))


def find_keys_held_by(cluster, instances):
    """Return up to two keys of each service in slices that given instances hold."""
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
    """Kill an instance that holds keys, and start it again after the trial."""
    wait_settled(cluster)
    holders = {entry[0] for entry in read_table(cluster)["upstreams"].values()}
    lost_instance = sorted(holders)[trial % len(holders)]
    other = next(name for name in DOMAIN_BY_DAEMON if name != lost_instance)
    keys = find_keys_held_by(cluster, [lost_instance])
    durations_s = measure_keys(
        cluster, other, keys, lambda: cluster.group.kill(lost_instance)
    )
    cluster.start_daemon(lost_instance, DOMAIN_BY_DAEMON[lost_instance], "warning")
    return durations_s


def lose_domain(cluster, trial):
    """Kill all instances of one failure domain and stop its upstreams."""
    wait_settled(cluster)
    domain = ("d1", "d2")[trial % 2]
    lost_instances = [
        name for name in DOMAIN_BY_DAEMON if DOMAIN_BY_DAEMON[name] == domain
    ]
    other = next(name for name in DOMAIN_BY_DAEMON if name not in lost_instances)
    upstreams = cluster.manifest["upstreams"].items()
    upstream_ids = [name for name, entry in upstreams if entry["domain"] == domain]
    wait_until(lambda: find_keys_held_by(cluster, lost_instances), "keys in the domain")
    keys = find_keys_held_by(cluster, lost_instances)

    def cause_loss():
        for name in lost_instances:
            cluster.group.children_by_name[name].process.kill()
        cluster.control_upstreams(*upstream_ids, die=True)

    durations_s = measure_keys(cluster, other, keys, cause_loss)
    cluster.control_upstreams(*upstream_ids, die=False)
    for name in lost_instances:
        cluster.group.children_by_name[name].process.wait()
        cluster.start_daemon(name, domain, "warning")
    return durations_s


def change_configuration(cluster, trial):
    """Publish a manifest and return the seconds until all daemons have it in force."""
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

    def is_in_force():
        reports = [cluster.status(name) for name in DOMAIN_BY_DAEMON]
        return all(r and r["manifest_version"] >= version for r in reports)

    wait_until(is_in_force, "in force", poll_s=0.02)
    return [time.monotonic() - began_at]


_TRIALS_BY_KIND = {
    "upstream": lose_upstream,
    "instance": lose_instance,
    "domain": lose_domain,
    "configuration": change_configuration,
}


def measure(kind, trials):
    """Return the distribution of durations over the trials of one kind, in seconds.

    The duration of a trial is that of its slowest key, ``None`` if a key was not
    served again in time.
    """
    counts = {"bookbay": 4, "statusdesk": 4}
    slowest_s = []
    durations_s = []
    with run_cluster(counts, DOMAIN_BY_DAEMON) as cluster:
        for trial in range(trials):
            wait_settled(cluster)
            time.sleep(_SETTLE_S)
            trial_durations_s = _TRIALS_BY_KIND[kind](cluster, trial)
            durations_s += trial_durations_s
            slowest_s.append(
                None if None in trial_durations_s else max(trial_durations_s)
            )
            sys.stderr.write(f"{kind} {trial}: {slowest_s[-1]}\n")
    configuration = kind == "configuration"
    target = CONFIGURATION_TARGET_S if configuration else RECOVERY_TARGET_S
    return {
        "trials": describe_seconds(slowest_s),
        "keys": describe_seconds(durations_s),
        "target_s": target,
        "over_target": sum(each is None or each > target for each in slowest_s),
        "slowest_s": [each and round(each, 3) for each in slowest_s],
    }


if __name__ == "__main__":
    parse_flags(_FLAGS, sys.argv)
    value = {kind: measure(kind, _FLAGS.trials) for kind in _FLAGS.kinds}
    sys.stdout.write(json.dumps(value, indent=1) + "\n")
