"""Small deployments, waits and checks for failure tests."""

import asyncio
import contextlib
import json
import pathlib
import sys
import threading
import time

import xxhash

from shallotyard_testing.builders import build_tendaris_manifest
from shallotyard_testing.cluster import Cluster
from shallotyard_testing.cluster import call_json
from shallotyard_testing.load import run_load
from shallotyard_testing.processes import ProcessGroup
from shallotyard_testing.processes import find_free_ports

# Far above every expected duration, so that no test fails because the machine is
# busy.
WAIT_TIMEOUT_S = 30.0
CLIENT = "ferry-stalls"
ONE_REGION = {"dalmacija": ("d1", "d2")}
TWO_DAEMONS = {"a": "d1", "b": "d2"}
THREE_DAEMONS = {"a": "d1", "b": "d2", "c": "d2"}

# The response holds the whole journal, about ten megabytes after ten minutes of
# load.
_JOURNAL_TIMEOUT_S = 60.0


def wait_until(condition, what, timeout_s=WAIT_TIMEOUT_S, poll_s=0.05):
    """Wait for a condition and return its true value.

    :param condition: function without arguments; an ``OSError`` counts as false.
    :param what: description of the condition for the error message.
    :param timeout_s: maximum wait in seconds.
    :param poll_s: pause between two calls in seconds.
    :raises AssertionError: the condition did not hold within ``timeout_s``.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError):
            value = condition()
            if value:
                return value
        time.sleep(poll_s)
    raise AssertionError(f"condition not met within {timeout_s} s: {what}")


@contextlib.contextmanager
def run_cluster(
    upstream_counts,
    domain_by_daemon=None,
    domains_by_region=None,
    log_level="warning",
    separate_upstream_ids=(),
    change_manifest=None,
    network=False,
    **upstream_changes,
):
    """Start a deployment, wait until all daemons serve, and stop it at the end.

    :param upstream_counts: number of upstreams by service.
    :param domain_by_daemon: failure domain by instance id.
    :param domains_by_region: failure domains by region.
    :param log_level: log level of the daemons.
    :param separate_upstream_ids: ids of upstreams to run in a second process named
        ``upstreams-apart``, which a test can suspend.
    :param change_manifest: function that changes the manifest in place.
    :param network: whether daemons connect through the network stand-in.
    :param upstream_changes: fields of ``UpstreamConfig`` to set for all upstreams.
    """
    domain_by_daemon = domain_by_daemon or TWO_DAEMONS
    count = sum(upstream_counts.values())
    manifest, credentials = build_tendaris_manifest(
        upstream_counts, domains_by_region or ONE_REGION, find_free_ports(count)
    )
    if change_manifest is not None:
        change_manifest(manifest)
    with ProcessGroup() as group:
        cluster = Cluster(manifest, credentials, group)
        cluster.start_platform(separate_upstream_ids, **upstream_changes)
        if network:
            cluster.start_network()
        for instance, domain in domain_by_daemon.items():
            cluster.start_daemon(instance, domain, log_level)
        status, output = cluster.publish()
        if status != 0:
            raise RuntimeError(output)
        wait_settled(cluster)
        yield cluster


def count_expected_coordinators(cluster, instances):
    """Return the expected number of coordinators by region.

    :param instances: ids of the running daemons.
    """
    regions_by_domain = {
        domain: name
        for name, region in cluster.manifest["regions"].items()
        for domain in region["domains"]
    }
    counts = {}
    for instance in instances:
        region = regions_by_domain[cluster.daemons_by_id[instance].domain]
        counts[region] = counts.get(region, 0) + 1
    return {region: min(3, count) for region, count in counts.items()}


def wait_settled(cluster, instances=None, timeout_s=WAIT_TIMEOUT_S):
    """Wait until daemons serve, agree on a revision, and no slice is moving.

    The daemons of one region must use the same revision of the assignment.

    :param instances: ids of the running daemons; all if ``None``.
    :param timeout_s: maximum wait in seconds.
    :raises AssertionError: the condition did not hold within ``timeout_s``; the
        message has the status of each daemon.
    """
    instances = list(instances or cluster.daemons_by_id)
    expected_counts = count_expected_coordinators(cluster, instances)
    manifest_version = cluster.manifest["version"]

    def are_settled():
        statuses = [cluster.status(instance) for instance in instances]
        if not all(statuses):
            return False
        revisions = {
            (status["region"], status["assignment_revision"]) for status in statuses
        }
        return len(revisions) == len(expected_counts) and all(
            status["slices_moving"] == 0
            and status["lease_s"] > 0
            and status["manifest_version"] >= manifest_version
            and len(status["stewards"]) == expected_counts[status["region"]]
            for status in statuses
        )

    try:
        wait_until(are_settled, f"{instances} settled", timeout_s)
    except AssertionError as error:
        statuses = [cluster.status(instance) for instance in instances]
        raise AssertionError(f"{error}: {json.dumps(statuses)}") from error


def read_table(cluster, region="dalmacija"):
    """Return the stored assignment object of a region as a dict."""
    dump = call_json("GET", f"{cluster.store_url}/-/dump")[1]
    return json.loads(dump[f"assignments/{region}"]["body"])


def find_owner(table, service, client, key):
    """Return the upstream and the holder of a key in an assignment table.

    :param table: result of :func:`read_table`.
    """
    text = f"{service}\0{client}\0{key}"
    position = xxhash.xxh3_64_intdigest(text.encode())
    service_entry = table["services"][service]
    hot_entry = service_entry["hot"].get(str(position >> 48))
    number = (position * len(service_entry["slices"])) >> 64
    entry = hot_entry or service_entry["slices"][number]
    upstream = list(table["upstreams"])[entry[0]]
    return upstream, table["upstreams"][upstream][0]


def find_key(cluster, service, holder=None, upstream=None, client=CLIENT, skip=0):
    """Return a key whose slice has a given holder or upstream.

    :param holder: id of the holder; any if ``None``.
    :param upstream: id of the upstream; any if ``None``.
    :param skip: number of matching keys to skip.
    :raises AssertionError: none of the keys tried matches.
    """
    table = read_table(cluster)
    for number in range(10_000):
        key = f"stall-{number}"
        found_upstream, found_holder = find_owner(table, service, client, key)
        if holder in (None, found_holder) and upstream in (None, found_upstream):
            if skip == 0:
                return key
            skip -= 1
    raise AssertionError(f"no key with holder {holder}, upstream {upstream}")


def post(cluster, instance, path, body=b"order", client=CLIENT, **headers):
    """Send a POST request.

    :param headers: further headers by name, with ``_`` in place of ``-``.
    :return: status, verdict and JSON value; status 0 if the connection failed.
    """
    return _send(cluster, instance, path, client, "POST", body, headers)


def get(cluster, instance, path, client=CLIENT, **headers):
    """Send a GET request.

    :param headers: further headers by name, with ``_`` in place of ``-``.
    :return: status, verdict and JSON value; status 0 if the connection failed.
    """
    return _send(cluster, instance, path, client, "GET", None, headers)


def _send(cluster, instance, path, client, method, body, headers):
    try:
        return cluster.request(instance, path, client, method, body, **headers)
    except OSError:
        return 0, "", None


def read_journal(cluster):
    """Return the committed executions of all upstream processes, by end time."""
    entries = []
    for url in (cluster.upstream_control_url, cluster.separate_control_url):
        if url:
            response = call_json(
                "GET", f"{url}/-/journal", timeout_s=_JOURNAL_TIMEOUT_S
            )
            entries += response[1]["entries"]
    return sorted(entries, key=lambda entry: entry["end"])


def find_overlaps(entries):
    """Return pairs of overlapping executions of one key at two upstreams.

    Only executions with a key and a slice count, because the keys of an unkeyed
    service have no owner.

    :param entries: journal entries in the order of :func:`read_journal`.
    """
    last_executions_by_key = {}
    overlaps = []
    for entry in entries:
        if not entry["key_digest"] or not entry["slice"]:
            continue
        last_execution_by_upstream = last_executions_by_key.setdefault(
            entry["key_digest"], {}
        )
        for upstream, other in last_execution_by_upstream.items():
            if upstream != entry["upstream"] and other["end"] > entry["start"]:
                overlaps.append((other, entry))
        last_execution_by_upstream[entry["upstream"]] = entry
    return overlaps


def find_repeats(entries):
    """Return the POST requests that ran more than once.

    :param entries: journal entries.
    :return: pairs of service and Idempotency-Key.
    """
    counts = {}
    for entry in entries:
        if entry["idempotency_key"] and entry["method"] == "POST":
            service = entry["upstream"].rpartition("-")[0]
            name = (service, entry["idempotency_key"])
            counts[name] = counts.get(name, 0) + 1
    return [name for name, count in counts.items() if count > 1]


def count_runs(cluster, idempotency_key):
    """Return how often requests with the given Idempotency-Key ran."""
    entries = read_journal(cluster)
    return sum(entry["idempotency_key"] == idempotency_key for entry in entries)


def check_invariants(cluster, instances=None):
    """Check that neither upstreams nor daemons report violated invariants.

    :param instances: ids of the running daemons; all if ``None``.
    :raises AssertionError: there are violations; the message lists them.
    """
    entries = read_journal(cluster)
    violations_by_source = {}
    stats = cluster.read_upstream_stats()
    if stats["violations"]:
        violations_by_source["upstreams"] = stats["examples"]
    if find_overlaps(entries):
        violations_by_source["two_owners"] = find_overlaps(entries)[:1]
    if find_repeats(entries):
        violations_by_source["repeated"] = find_repeats(entries)
    for instance in instances or cluster.daemons_by_id:
        status = cluster.status(instance)
        if status and status["invariant_violations"]:
            violations_by_source[instance] = status["invariant_violations"]
    for name in cluster.daemons_by_id:
        log = cluster.group.children_by_name[name].read_log()
        if "Traceback" in log:
            violations_by_source[f"log of {name}"] = log[log.index("Traceback") :][
                :2000
            ]
    assert not violations_by_source, json.dumps(violations_by_source, indent=1)


def run_commands_together(cluster, commands):
    """Run several ``shallotyard`` commands at the same time.

    :param commands: one list of arguments for each command.
    :return: exit status and output of each.
    """
    program = pathlib.Path(sys.executable).with_name("shallotyard")
    children = [
        cluster.group.start(f"together-{number}", [program, *arguments])
        for number, arguments in enumerate(commands)
    ]
    return [
        (child.process.wait(WAIT_TIMEOUT_S), child.read_log()) for child in children
    ]


class BackgroundLoad:
    """Load that runs in a thread from its creation on.

    :param options: the ``LoadOptions``.
    """

    def __init__(self, options):
        self._options = options
        self._report = None
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        self._report = asyncio.run(run_load(self._options))

    @property
    def is_running(self):
        """Whether the load run is still in progress."""
        return self._thread.is_alive()

    def join(self):
        """Wait for the end of the run and return its ``LoadReport``."""
        self._thread.join()
        return self._report
