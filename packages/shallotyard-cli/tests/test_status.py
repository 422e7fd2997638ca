"""Tests of ``shallotyard status``."""

import json

import pytest


def build_status(name, **changes):
    status = {
        "instance": name,
        "domain": "istra-1",
        "region": "istra",
        "manifest_version": 7,
        "service_state_revision": 2,
        "assignment_revision": 40,
        "requests_by_verdict": {"ran": 100, "not-run": 3, "may-have-run": 1},
        "invariant_violations": {"owner": 0},
        "slices_moving": 0,
        "domains_out": [],
        "instances_out": [],
        "upstreams": {"bookbay-03": {"state": "serving", "in_flight": 1, "limit": 4}},
        "store": {"state": "reachable", "since_s": 12.5},
    }
    return {**status, **changes}


@pytest.fixture
def run_status(run, platform):
    """Return a function that runs the command against daemons with given statuses."""

    def run_command(*statuses, arguments=(), extra_addresses=()):
        platform.statuses_by_index = {i: [s] for i, s in enumerate(statuses)}
        addresses = [platform.daemon_address(index) for index in range(len(statuses))]
        return run(
            "status",
            f"--daemons={','.join([*addresses, *extra_addresses])}",
            *arguments,
        )

    return run_command


def find_row(result, label):
    lines = (result.stdout or result.stderr).splitlines()
    return next(line for line in lines if line.startswith(f"{label}:"))


def test_healthy_deployment(run_status):
    """Guards against "attention" for a healthy deployment."""
    result = run_status(build_status("a"), build_status("b"))
    assert result.exit_code == 0
    assert result.stdout.splitlines() == [
        "today went well",
        "promises:      kept on 2 daemons",
        "requests:      not-run 6, may-have-run 2, ran 200",
        "domains out:   none",
        "instances out: none",
        "slices moving: 0",
        "manifest:      version 7 in force everywhere",
        "service state: revision 2 in force everywhere",
        "assignments:   istra 40 on 2 daemons",
        "upstreams:     serving 1",
        "store:         reachable",
        "not answering: none",
    ]


def test_planned_work_needs_no_attention(run_status):
    """Guards against "attention" for a failure domain that operators took out."""
    result = run_status(build_status("a", domains_out=["istra-2"], slices_moving=5))
    assert result.stdout.startswith("today went well\n")
    assert find_row(result, "domains out").endswith("istra-2")
    assert find_row(result, "slices moving").endswith("5")


def test_broken_guarantee(run_status):
    """Guards against a first line without the broken guarantee."""
    result = run_status(
        build_status("a"), build_status("b", invariant_violations={"owner": 2})
    )
    assert result.exit_code == 0
    assert result.stdout.startswith("attention: promises broken: owner\n")
    assert find_row(result, "promises").endswith("broken: owner 2 times on b")


def test_versions_that_differ(run_status):
    """Guards against "in force everywhere" while one daemon is behind."""
    result = run_status(
        build_status("a"), build_status("b", manifest_version=6), build_status("c")
    )
    assert result.stdout.startswith("attention: manifest not in force everywhere\n")
    assert find_row(result, "manifest").endswith("everywhere: 7 on 2 daemons, 6 on b")


def test_daemon_that_does_not_reply(run_status):
    """Guards against "in force everywhere" or "kept" from only some of the daemons."""
    result = run_status(build_status("a"), extra_addresses=["127.0.0.1:1"])
    assert result.exit_code == 0
    first = result.stdout.splitlines()[0]
    assert "1 of 2 daemons did not answer" in first
    assert "manifest not in force everywhere" in first
    assert "127.0.0.1:1 (" in find_row(result, "not answering")


def test_no_daemon_replies(run_status):
    """Guards against "kept" or exit code 0 without the status of any daemon."""
    result = run_status(extra_addresses=["127.0.0.1:1"])
    assert result.exit_code == 1
    assert result.stderr.startswith("attention: 1 of 1 daemons did not answer")
    assert find_row(result, "promises").endswith("unknown")
    assert find_row(result, "store").endswith("unknown")


def test_missing_fields_are_unknown(run_status):
    """Guards against counting a missing or malformed field as zero."""
    result = run_status({"instance": "a", "slices_moving": "many", "store": 5})
    first = result.stdout.splitlines()[0]
    assert "promises unknown on 1 daemons" in first
    assert "store unknown from 1 daemons" in first
    for label in (
        "promises",
        "requests",
        "domains out",
        "slices moving",
        "upstreams",
        "store",
    ):
        assert "unknown" in find_row(result, label)


def test_unreachable_store(run_status):
    """Guards against hiding a store outage that only daemons report."""
    result = run_status(
        build_status("a"),
        build_status("b", store={"state": "unreachable", "since_s": 35}),
    )
    assert result.stdout.startswith("attention: store unreachable from 1 daemons\n")
    assert "unreachable from 1 daemons, longest for 35 s" in find_row(result, "store")


def test_two_daemons_with_one_instance_id(run_status):
    """Guards against ignoring one of two daemons with the same instance id."""
    result = run_status(
        build_status("a"), build_status("a", invariant_violations={"owner": 1})
    )
    assert "promises broken" in result.stdout.splitlines()[0]


def test_stored_version_that_no_daemon_has(run, run_status, platform, manifest_file):
    """Guards against "in force everywhere" while all daemons lag behind the store."""
    run("publish", manifest_file(8), f"--store={platform.url}")
    result = run_status(build_status("a"), arguments=[f"--store={platform.url}"])
    assert "manifest not in force everywhere" in result.stdout.splitlines()[0]
    writer = platform.read("manifest")["writer"]
    assert f"stored: version 8 by writer {writer}" in find_row(result, "manifest")


def test_store_unreachable_for_the_command(run_status, platform):
    """Guards against a failed command when only the store is down."""
    platform.get_faults.extend(["down", "down"])
    result = run_status(build_status("a"), arguments=[f"--store={platform.url}"])
    assert result.exit_code == 0
    assert result.stdout.startswith("attention: store not reachable from here\n")


def test_json_output(run_status):
    """Guards against JSON output without the reasons for "attention"."""
    result = run_status(
        build_status("a", manifest_version=None), arguments=["--format=json"]
    )
    data = json.loads(result.stdout)
    assert data["outcome"] == "attention"
    assert data["attention"] == ["manifest not in force everywhere"]
    assert data["manifest_versions"] == {"unknown": ["a"]}
