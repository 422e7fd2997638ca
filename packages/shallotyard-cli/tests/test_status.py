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
def show(run, platform):
    """Return a function that runs the command over daemons with given statuses."""

    def run_status(*statuses, arguments=(), extra=()):
        platform.statuses_by_index = {i: [s] for i, s in enumerate(statuses)}
        addresses = [platform.daemon(index) for index in range(len(statuses))]
        return run("status", f"--daemons={','.join([*addresses, *extra])}", *arguments)

    return run_status


def row(done, label):
    lines = (done.out or done.err).splitlines()
    return next(line for line in lines if line.startswith(f"{label}:"))


def test_good_day(show):
    """Guards against attention for a deployment in order."""
    done = show(build_status("a"), build_status("b"))
    assert done.code == 0
    assert done.out.splitlines() == [
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


def test_planned_work_needs_no_attention(show):
    """Guards against an alarm for a failure domain that operators took out."""
    done = show(build_status("a", domains_out=["istra-2"], slices_moving=5))
    assert done.out.startswith("today went well\n")
    assert row(done, "domains out").endswith("istra-2")
    assert row(done, "slices moving").endswith("5")


def test_broken_guarantee(show):
    """Guards against a broken guarantee that the first line does not show."""
    done = show(build_status("a"), build_status("b", invariant_violations={"owner": 2}))
    assert done.code == 0
    assert done.out.startswith("attention: promises broken: owner\n")
    assert row(done, "promises").endswith("broken: owner 2 times on b")


def test_versions_that_differ(show):
    """Guards against "in force everywhere" while one daemon is behind."""
    done = show(
        build_status("a"), build_status("b", manifest_version=6), build_status("c")
    )
    assert done.out.startswith("attention: manifest not in force everywhere\n")
    assert row(done, "manifest").endswith("everywhere: 7 on 2 daemons, 6 on b")


def test_daemon_that_does_not_answer(show):
    """Guards against "in force everywhere" or "kept" from the daemons that answer."""
    done = show(build_status("a"), extra=["127.0.0.1:1"])
    assert done.code == 0
    first = done.out.splitlines()[0]
    assert "1 of 2 daemons did not answer" in first
    assert "manifest not in force everywhere" in first
    assert "127.0.0.1:1 (" in row(done, "not answering")


def test_no_daemon_answers(show):
    """Guards against "kept" or exit code 0 when nothing is known."""
    done = show(extra=["127.0.0.1:1"])
    assert done.code == 1
    assert done.err.startswith("attention: 1 of 1 daemons did not answer")
    assert row(done, "promises").endswith("unknown")
    assert row(done, "store").endswith("unknown")


def test_missing_fields_are_unknown(show):
    """Guards against a missing or malformed field that counts as zero."""
    done = show({"instance": "a", "slices_moving": "many", "store": 5})
    first = done.out.splitlines()[0]
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
        assert "unknown" in row(done, label)


def test_unreachable_store(show):
    """Guards against a store outage that only the daemons see."""
    done = show(
        build_status("a"),
        build_status("b", store={"state": "unreachable", "since_s": 35}),
    )
    assert done.out.startswith("attention: store unreachable from 1 daemons\n")
    assert "unreachable from 1 daemons, longest for 35 s" in row(done, "store")


def test_two_daemons_with_one_instance_id(show):
    """Guards against a daemon that another one with the same id hides."""
    done = show(build_status("a"), build_status("a", invariant_violations={"owner": 1}))
    assert "promises broken" in done.out.splitlines()[0]


def test_stored_version_that_no_daemon_has(run, show, platform, manifest_file):
    """Guards against "everywhere" while all daemons are behind the store."""
    run("publish", manifest_file(8), f"--store={platform.url}")
    done = show(build_status("a"), arguments=[f"--store={platform.url}"])
    assert "manifest not in force everywhere" in done.out.splitlines()[0]
    writer = platform.read("manifest")["writer"]
    assert f"stored: version 8 by writer {writer}" in row(done, "manifest")


def test_store_down_from_here(show, platform):
    """Guards against a status that fails when only the store is down."""
    platform.get_faults.extend(["down", "down"])
    done = show(build_status("a"), arguments=[f"--store={platform.url}"])
    assert done.code == 0
    assert done.out.startswith("attention: store not reachable from here\n")


def test_json_form(show):
    """Guards against a JSON form without the reasons for attention."""
    done = show(build_status("a", manifest_version=None), arguments=["--format=json"])
    data = json.loads(done.out)
    assert data["outcome"] == "attention"
    assert data["attention"] == ["manifest not in force everywhere"]
    assert data["manifest_versions"] == {"unknown": ["a"]}
