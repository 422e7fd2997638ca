"""Tests of ``shallotyard domain`` and ``shallotyard instance``."""

import concurrent.futures
import json

import pytest

from shallotyard_core import service_state


@pytest.fixture
def platform_with_manifest(run, platform, manifest_file):
    """Return the stand-in platform after the example manifest was published."""
    result = run("publish", manifest_file(1), f"--store={platform.url}")
    assert result.exit_code == 0, result.stderr
    platform.put_count = 0
    return platform


@pytest.fixture
def run_with_store(run, platform_with_manifest):
    """Return a function that runs a command with the URL of the store."""

    def run_command(*arguments):
        return run(*arguments, f"--store={platform_with_manifest.url}")

    return run_command


def test_domain_out_and_in(run_with_store, platform_with_manifest):
    """Guards against a change that is not recorded or cannot be undone."""
    assert run_with_store("domain", "out", "istra-1").exit_code == 0
    assert platform_with_manifest.read("service-state") == {
        "domains_out": ["istra-1"],
        "instances_out": [],
        "revision": 1,
    }
    result = run_with_store("domain", "in", "istra-1")
    assert result.exit_code == 0
    assert (
        result.stdout == "accepted: failure domain 'istra-1' in service, revision 2\n"
    )
    assert platform_with_manifest.read("service-state")["domains_out"] == []


def test_instance_out_and_in(run_with_store, platform_with_manifest):
    """Guards against an upstream or router instance that cannot leave or return."""
    assert run_with_store("instance", "out", "bookbay-03").exit_code == 0
    assert run_with_store("instance", "out", "router-7").exit_code == 0
    assert run_with_store("domain", "out", "istra-1").exit_code == 0
    assert platform_with_manifest.read("service-state") == {
        "domains_out": ["istra-1"],
        "instances_out": ["bookbay-03", "router-7"],
        "revision": 3,
    }
    assert run_with_store("instance", "in", "bookbay-03").exit_code == 0
    assert platform_with_manifest.read("service-state")["instances_out"] == ["router-7"]


def test_unknown_domain_is_refused(run_with_store, platform_with_manifest):
    """Guards against reporting success for a misspelled id."""
    for direction in ("out", "in"):
        result = run_with_store("domain", direction, "istra-9")
        assert result.exit_code == 1
        assert "unknown failure domain 'istra-9'" in result.stderr
    assert platform_with_manifest.put_count == 0


def test_domain_without_a_manifest_is_refused(run, platform):
    """Guards against changing a domain that cannot be checked against a manifest."""
    result = run("domain", "out", "istra-1", f"--store={platform.url}")
    assert result.exit_code == 1
    assert "no manifest is published" in result.stderr


def test_domain_missing_from_the_manifest_can_be_brought_back(
    run_with_store, platform_with_manifest
):
    """Guards against an id that cannot be removed from the service state.

    Only ids of the manifest can be taken out, but the manifest may drop one later.
    """
    state = service_state.ServiceState(frozenset(["gone"]), frozenset(), 4)
    platform_with_manifest.write(
        "service-state", service_state.encode_service_state(state).encode()
    )
    assert run_with_store("domain", "in", "gone").exit_code == 0
    assert platform_with_manifest.read("service-state")["domains_out"] == []


def test_last_domain_of_a_region_needs_force(run_with_store, platform_with_manifest):
    """Guards against taking out all failure domains of a region by mistake."""
    assert run_with_store("domain", "out", "istra-1").exit_code == 0
    result = run_with_store("domain", "out", "istra-2")
    assert result.exit_code == 1
    assert "last failure domain in service of region 'istra'" in result.stderr
    assert run_with_store("domain", "out", "slavonija-2").exit_code == 0
    assert run_with_store("domain", "out", "istra-2", "--force").exit_code == 0
    assert platform_with_manifest.read("service-state")["domains_out"] == [
        "istra-1",
        "istra-2",
        "slavonija-2",
    ]


def test_repeated_operation_writes_nothing(run_with_store, platform_with_manifest):
    """Guards against a new revision although the service state does not change."""
    run_with_store("domain", "out", "istra-1")
    result = run_with_store("domain", "out", "istra-1")
    assert result.exit_code == 0
    assert result.stdout.startswith(
        "unchanged: failure domain 'istra-1' out of service"
    )
    assert platform_with_manifest.put_count == 1


def test_one_of_two_concurrent_changes_is_refused(
    run_with_store, platform_with_manifest
):
    """Guards against concurrent commands that together take out a whole region."""
    platform_with_manifest.awaited_reader_count = 2
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        results = list(
            pool.map(
                lambda i: run_with_store("domain", "out", i), ["istra-1", "istra-2"]
            )
        )
    assert sorted(result.exit_code for result in results) == [0, 1]
    refused_result = next(result for result in results if result.exit_code == 1)
    assert refused_result.stderr.startswith("conflict: ")
    assert "the store holds revision 1" in refused_result.stderr
    assert len(platform_with_manifest.read("service-state")["domains_out"]) == 1


def test_if_version_is_compared_with_the_revision(
    run_with_store, platform_with_manifest
):
    """Guards against changing a revision that --if_version does not name."""
    run_with_store("domain", "out", "istra-1")
    result = run_with_store("domain", "out", "slavonija-1", "--if_version=0")
    assert result.exit_code == 1
    assert "expected revision 0, the store holds revision 1" in result.stderr
    assert (
        run_with_store("domain", "out", "slavonija-1", "--if_version=1").exit_code == 0
    )


def test_lost_response(run_with_store, platform_with_manifest):
    """Guards against reporting a change that took effect as refused."""
    platform_with_manifest.put_faults.append("lose")
    result = run_with_store("domain", "out", "istra-1")
    assert result.exit_code == 0
    assert platform_with_manifest.objects_by_name["service-state"][0] == 1


def test_lost_response_then_another_change(run_with_store, platform_with_manifest):
    """Guards against "conflict" when the newer service state has the change."""
    newer = service_state.ServiceState(frozenset(["istra-1"]), frozenset(["x"]), 2)
    body = service_state.encode_service_state(newer).encode()
    platform_with_manifest.put_faults.append("lose")
    platform_with_manifest.after_put = lambda: platform_with_manifest.write(
        "service-state", body
    )
    result = run_with_store("domain", "out", "istra-1")
    assert result.exit_code == 0
    assert (
        result.stdout
        == "accepted: failure domain 'istra-1' out of service, revision 2\n"
    )
    assert platform_with_manifest.read("service-state")["instances_out"] == ["x"]


def test_lost_response_then_the_opposite_change(run_with_store, platform_with_manifest):
    """Guards against success or "conflict" for a change that may have been undone."""
    newer = service_state.ServiceState(frozenset(), frozenset(), 2)
    body = service_state.encode_service_state(newer).encode()
    platform_with_manifest.put_faults.append("lose")
    platform_with_manifest.after_put = lambda: platform_with_manifest.write(
        "service-state", body
    )
    result = run_with_store("domain", "out", "istra-1")
    assert result.exit_code == 1
    assert result.stderr.startswith("unknown: ")
    assert (
        "revision 2, which does not have failure domain 'istra-1' out" in result.stderr
    )


def test_store_down(run_with_store, platform_with_manifest):
    """Guards against reporting success while the store is down."""
    platform_with_manifest.get_faults.append("down")
    result = run_with_store("domain", "out", "istra-1")
    assert (result.exit_code, result.stderr[:13]) == (1, "not accepted:")
    platform_with_manifest.put_faults.append("down")
    result = run_with_store("domain", "out", "istra-1")
    assert (result.exit_code, result.stderr[:13]) == (1, "not accepted:")
    assert "service-state" not in platform_with_manifest.objects_by_name


def test_failed_read_back(run_with_store, platform_with_manifest):
    """Guards against reporting success or refusal when the effect is not known."""
    platform_with_manifest.put_faults.extend(["lose", "drop", "drop"])
    platform_with_manifest.get_faults.extend(["", "", "down", "down", "down"])
    result = run_with_store("domain", "out", "istra-1")
    assert (result.exit_code, result.stderr) == (
        1,
        "unknown: read back failed, run status\n",
    )


def test_state_with_faults_is_refused(run_with_store, platform_with_manifest):
    """Guards against replacing a service state that cannot be parsed."""
    platform_with_manifest.write("service-state", b'{"domains_out": []}')
    result = run_with_store("instance", "out", "router-7")
    assert result.exit_code == 1
    assert "the stored service state has faults" in result.stderr
    assert platform_with_manifest.put_count == 0


def test_wait_until_in_force(run_with_store, platform_with_manifest):
    """Guards against reporting success before the daemons report the revision."""
    platform_with_manifest.statuses_by_index = {
        0: [{"service_state_revision": 0}, {"service_state_revision": 1}]
    }
    result = run_with_store(
        "domain",
        "out",
        "istra-1",
        f"--daemons={platform_with_manifest.daemon_address(0)}",
    )
    assert result.exit_code == 0
    assert "in force on 1 daemons" in result.stdout


def test_json_output(run_with_store, platform_with_manifest):
    """Guards against JSON output without the revision."""
    result = run_with_store("domain", "out", "istra-1", "--format=json")
    data = json.loads(result.stdout)
    assert (result.exit_code, data["outcome"], data["revision"]) == (0, "accepted", 1)
