"""Checks that find violations of the guarantees after a soak run."""

import json
import threading
import time

from shallotyard_testing.answers import check_responses
from shallotyard_testing.cluster import call_json
from shallotyard_testing.scenarios import CLIENT
from shallotyard_testing.scenarios import find_overlaps
from shallotyard_testing.scenarios import find_repeats
from shallotyard_testing.scenarios import read_journal
from shallotyard_testing.traffic import BODY
from shallotyard_testing.traffic import BOOKINGS
from shallotyard_testing.traffic import STATUS
from shallotyard_testing.traffic import send

# The requirement allows "a few seconds" until a failure domain that was taken out of
# service gets no new work.
_EVACUATION_GRACE_PERIOD_S = 5.0


class VersionMonitor:
    """Polls the status of all daemons and records decreasing manifest versions.

    :param cluster: the ``Cluster``.
    """

    def __init__(self, cluster):
        self._cluster = cluster
        self._stopped = threading.Event()
        self.reversions = []
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def stop(self):
        """Stop polling.

        :return: lists of instance, higher version seen before, and lower version.
        """
        self._stopped.set()
        self._thread.join()
        return self.reversions

    def _run(self):
        highest = {}
        while not self._stopped.wait(0.3):
            for instance in list(self._cluster.daemons_by_id):
                report = self._cluster.status(instance)
                if not report or not report["manifest_version"]:
                    continue
                version = report["manifest_version"]
                if version < highest.get(instance, 0):
                    self.reversions.append([instance, highest[instance], version])
                highest[instance] = max(version, highest.get(instance, 0))


def find_leaks(cluster, traffic):
    """Return keys, identities, bodies and credentials found in the store or in logs."""
    dump = call_json("GET", f"{cluster.store_url}/-/dump", timeout_s=30.0)[1]
    dump.pop("manifest", None)
    places = {"store": json.dumps(dump)}
    for name in cluster.daemons_by_id:
        log = cluster.group.children_by_name[name].read_log()
        places[f"log of {name}"] = log
    texts = [f"{traffic.prefix}-stall-", f"{traffic.prefix}-identity-", BODY]
    texts += list(cluster.credentials.values())
    return [
        f"{text} in {place}"
        for place, content in places.items()
        for text in texts
        if text in content
    ]


def find_log_faults(cluster):
    """Return excerpts of the logs with a traceback or a violated invariant."""
    faults = {}
    for name in cluster.daemons_by_id:
        log = cluster.group.children_by_name[name].read_log()
        for pattern in ("Traceback", "invariant-violation"):
            if pattern in log:
                position = log.index(pattern)
                faults[f"{pattern} of {name}"] = log[max(0, position - 200) :][:1500]
    return faults


def find_late_executions(cluster, entries, finished_faults, clock_offset_s):
    """Return executions in a failure domain too long after it went out of service.

    :param entries: entries of the upstreams' journals.
    :param finished_faults: result of ``run_schedule``.
    :param clock_offset_s: clock of the journal minus ``time.monotonic``, in seconds.
    """
    late_entries = []
    upstreams = cluster.manifest["upstreams"]
    for event, began_at, ended_at in finished_faults:
        if event["fault"] != "domain_out":
            continue
        first = (began_at + clock_offset_s + _EVACUATION_GRACE_PERIOD_S) * 1000.0
        # ``ended_at`` is read after the command that returns the domain to service. A
        # second is subtracted, because the domain returns while the command runs.
        last = (ended_at + clock_offset_s - 1.0) * 1000.0
        late_entries += [
            entry
            for entry in entries
            if upstreams[entry["upstream"]]["domain"] == event["target"]
            and first < entry["start"] < last
        ]
    return late_entries


def collect_violations(cluster, traffic, records, finished_faults):
    """Return all violations by kind; kinds without any are left out."""
    entries = read_journal(cluster)
    offset = time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
    found = check_responses(records, entries)
    for url in (cluster.upstream_control_url, cluster.separate_control_url):
        stats = call_json("GET", f"{url}/-/stats")[1]
        for kind, count in stats["violations"].items():
            found[f"upstream {kind}"] = {
                "count": count,
                "example": stats["examples"][kind],
            }
    found["two_owners"] = find_overlaps(entries)[:3]
    found["repeated"] = find_repeats(entries)[:3]
    found["leaks"] = find_leaks(cluster, traffic)
    found["late_work"] = find_late_executions(
        cluster, entries, finished_faults, offset
    )[:3]
    found.update(find_log_faults(cluster))
    return {kind: value for kind, value in found.items() if value}


def check_served(cluster, traffic, keys):
    """Return the keys that are not served after all faults have ended.

    :param keys: number of keys that are requested.
    """
    unserved = []
    daemons = sorted(cluster.daemons_by_id)
    for number in range(keys):
        for path in (BOOKINGS, STATUS):
            arguments = (CLIENT, path, "GET", traffic.build_key(number), "", "n=end")
            instance = daemons[number % len(daemons)]
            response = send(cluster, instance, *arguments)
            if response.status != 200:
                unserved.append(
                    f"{path} {number} at {instance}: {response.status}"
                    f" {response.verdict}"
                )
    return unserved
