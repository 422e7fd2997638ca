"""Configuration and service state while load runs and operators make mistakes."""

import copy
import json
import time
import urllib.request

from shallotyard_testing.cluster import call_json
from shallotyard_testing.load import LoadOptions
from shallotyard_testing.scenarios import CLIENT
from shallotyard_testing.scenarios import THREE_DAEMONS
from shallotyard_testing.scenarios import BackgroundLoad
from shallotyard_testing.scenarios import check_invariants
from shallotyard_testing.scenarios import read_table
from shallotyard_testing.scenarios import run_cluster
from shallotyard_testing.scenarios import run_commands_together
from shallotyard_testing.scenarios import wait_settled
from shallotyard_testing.scenarios import wait_until

# The slices may be gone 70 ms after the command, while some instance still has
# the older service state and calls are on their way; the guarantee is "after a
# few seconds".
ON_THE_WAY_S = 1.0
COUNTS = {"bookbay": 4, "tilldesk": 4}


def start_load(cluster, duration_s, instances, **changes):
    """Start a load on keyed and unkeyed paths."""
    options = {
        "addresses": tuple(cluster.daemons_by_id[n].http_address for n in instances),
        "credential": cluster.credentials[CLIENT],
        "keyed_path": "/bookings/item",
        "unkeyed_path": "/till/item",
        "duration_s": duration_s,
        "connections": 16,
        "rate": 150.0,
        "keys": 300,
        "deadline_ms": 5000,
        "seed": 21,
        **changes,
    }
    return BackgroundLoad(LoadOptions(**options))


def change_service(cluster, *arguments):
    """Run ``domain`` or ``instance`` and check that it is accepted."""
    status, output = cluster.run_command(
        *arguments, f"--store={cluster.store_url}", "--wait_s=0"
    )
    assert status == 0, output


def count_requests(cluster, domain):
    """Return the number of requests that upstreams of a failure domain got."""
    stats = cluster.read_upstream_stats()["upstreams"]
    return sum(
        stats[name]["requests"]
        for name, upstream in cluster.manifest["upstreams"].items()
        if upstream["domain"] == domain
    )


def read_holders(cluster):
    """Return the instances that hold an upstream."""
    return {entry[0] for entry in read_table(cluster)["upstreams"].values()}


def is_domain_empty(cluster, domain):
    """Tell whether no instance or upstream of a failure domain has a role."""
    table = read_table(cluster)
    names = list(table["upstreams"])
    members = {n for n, d in cluster.daemons_by_id.items() if d.domain == domain}
    owners = {
        names[entry[0]]
        for service in table["services"].values()
        for entry in service["slices"]
    }
    domains = {cluster.manifest["upstreams"][name]["domain"] for name in owners}
    return domain not in domains and not read_holders(cluster) & members


def knows_domain_out(cluster, domain):
    """Tell whether every instance knows that a failure domain is out of service."""
    statuses = [cluster.status(instance) for instance in cluster.daemons_by_id]
    return all(status and domain in status["domains_out"] for status in statuses)


def test_domain_out_and_in_under_load():
    """A failure domain leaves and returns: no request may fail or be refused.

    After it left, its upstreams must get no new work.
    """
    with run_cluster(COUNTS, THREE_DAEMONS) as cluster:
        load = start_load(cluster, 12.0, "abc")
        time.sleep(0.5)
        change_service(cluster, "domain", "out", "d2")
        wait_until(lambda: is_domain_empty(cluster, "d2"), "d2 without slices")
        wait_settled(cluster, "a")
        wait_until(lambda: knows_domain_out(cluster, "d2"), "d2 known to be out")
        time.sleep(ON_THE_WAY_S)
        before = count_requests(cluster, "d2")
        time.sleep(1.0)
        assert count_requests(cluster, "d2") == before
        assert load.is_running
        change_service(cluster, "domain", "in", "d2")
        wait_until(lambda: not is_domain_empty(cluster, "d2"), "d2 has slices")
        report = load.join()
        wait_settled(cluster)
        assert report.succeeded == report.requests, report.statuses
        assert report.mismatched == 0
        check_invariants(cluster)


def test_instance_out_and_in_under_load():
    """An instance leaves and returns: no request may fail or be refused."""
    with run_cluster(COUNTS, THREE_DAEMONS) as cluster:
        load = start_load(cluster, 6.0, "abc")
        time.sleep(0.5)
        change_service(cluster, "instance", "out", "b")
        wait_until(
            lambda: "b" not in read_holders(cluster),
            "b holds nothing",
        )
        wait_settled(cluster, "ac")
        change_service(cluster, "instance", "in", "b")
        report = load.join()
        wait_settled(cluster)
        assert report.succeeded == report.requests, report.statuses
        check_invariants(cluster)


def test_two_operators_at_once_do_not_undo_each_other():
    """Conflicting writes: one operator must be refused or both be in force."""
    with run_cluster(COUNTS) as cluster:
        path = cluster.group.directory / "second.jsonc"
        manifest = copy.deepcopy(cluster.manifest)
        manifest["version"] = 2
        manifest["services"]["tilldesk"]["default_deadline_ms"] = 2500
        path.write_text(json.dumps(manifest))
        other = cluster.group.directory / "third.jsonc"
        manifest["services"]["tilldesk"]["default_deadline_ms"] = 2600
        other.write_text(json.dumps(manifest))
        store = f"--store={cluster.store_url}"
        # A slow store makes the two overlap.
        cluster.set_store_faults(delay_ms=200)
        commands = [
            ("publish", path, store, "--wait_s=0"),
            ("publish", other, store, "--wait_s=0"),
            ("instance", "out", "bookbay-01", store, "--wait_s=0"),
            ("instance", "out", "bookbay-02", store, "--wait_s=0"),
        ]
        results = run_commands_together(cluster, commands)
        cluster.set_store_faults(delay_ms=0)
        accepted = [number for number in (0, 1) if results[number][0] == 0]
        assert len(accepted) == 1, results
        stored = json.loads(dump(cluster)["manifest"]["body"])
        wanted = (2500, 2600)[accepted[0]]
        assert stored["services"]["tilldesk"]["default_deadline_ms"] == wanted
        state = dump(cluster).get("service-state", {"body": "{}"})["body"]
        for number, name in ((2, "bookbay-01"), (3, "bookbay-02")):
            assert (results[number][0] == 0) == (name in state), (results, state)
        check_invariants(cluster)


def dump(cluster):
    """Return all objects of the store by name."""
    return call_json("GET", f"{cluster.store_url}/-/dump")[1]


def publish_next(cluster):
    """Publish the next version of the manifest with a changed deadline."""
    cluster.manifest["version"] += 1
    service = cluster.manifest["services"]["tilldesk"]
    service["default_deadline_ms"] = 2000 + cluster.manifest["version"]
    path = cluster.group.directory / "next.jsonc"
    path.write_text(json.dumps(cluster.manifest))
    status, output = cluster.run_command(
        "publish", path, f"--store={cluster.store_url}", "--wait_s=0"
    )
    assert status == 0, output


def versions(cluster, instances):
    """Return the manifest versions in force at some daemons."""
    return {cluster.status(name)["manifest_version"] for name in instances}


def test_publish_is_in_force_everywhere(capsys):
    """A published version must reach every daemon, also one without the store."""
    with run_cluster(COUNTS, THREE_DAEMONS) as cluster:
        cluster.set_store_faults(deny_clients=["c"])
        for version in (2, 3):
            publish_next(cluster)
            began = time.monotonic()
            wait_until(lambda v=version: versions(cluster, "abc") == {v}, "in force")
            with capsys.disabled():
                print(f"\nin force after {time.monotonic() - began:.2f} s")
        check_invariants(cluster)


def test_restart_during_store_outage_does_not_go_back():
    """A restarted instance must get the newest configuration from its peers."""
    with run_cluster(COUNTS, THREE_DAEMONS) as cluster:
        publish_next(cluster)
        wait_until(lambda: versions(cluster, "abc") == {2}, "version 2")
        cluster.set_store_faults(down=True)
        cluster.group.kill("c")
        cluster.start_daemon("c", THREE_DAEMONS["c"], "warning")
        seen = set()

        def in_force():
            seen.add(cluster.status("c")["manifest_version"])
            return 2 in seen

        wait_until(in_force, "version 2 at the restarted instance", poll_s=0.01)
        # 0 stands for no configuration, under which nothing is served.
        assert seen <= {0, 2}
        cluster.set_store_faults(down=False)
        wait_settled(cluster)
        check_invariants(cluster)


def test_older_manifest_in_the_store_is_not_put_in_force():
    """A store that returns an older manifest must not revert any daemon.

    A daemon that goes back is soon corrected by its peer, so the log is searched
    for versions that were in force for a moment.
    """
    daemons = {"a": "d1", "b": "d1"}
    with run_cluster(COUNTS, daemons, log_level="info") as cluster:
        publish_next(cluster)
        wait_until(lambda: versions(cluster, "ab") == {2}, "version 2")
        older = copy.deepcopy(cluster.manifest)
        older["version"] = 1
        put_object(cluster, "manifest", older)
        reads = [cluster.status(name)["store"]["reads"] for name in "ab"]

        def polled():
            now = [cluster.status(name)["store"]["reads"] for name in "ab"]
            return max(new - old for new, old in zip(now, reads, strict=True)) >= 12

        wait_until(polled, "several polls")
        assert versions(cluster, "ab") == {2}
        assert [read_logged_versions(cluster, name) for name in "ab"] == [[1, 2]] * 2
        # A daemon that only its own assertion kept from going back reports it.
        check_invariants(cluster)


def read_logged_versions(cluster, instance):
    """Return the manifest versions that a daemon put in force, in order."""
    log = cluster.group.children_by_name[instance].read_log()
    entries = [json.loads(line) for line in log.splitlines() if line[:1] == "{"]
    return [e["version"] for e in entries if e.get("reason") == "newer manifest"]


def put_object(cluster, name, value):
    """Overwrite a store object with a conditional write."""
    version = dump(cluster)[name]["version"]
    request = urllib.request.Request(
        f"{cluster.store_url}/v1/objects/{name}",
        data=json.dumps(value).encode(),
        method="PUT",
        headers={"If-Match": f'"{version}"'},
    )
    with urllib.request.urlopen(request, timeout=5.0) as response:
        assert response.status == 200
