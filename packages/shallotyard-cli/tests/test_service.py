"""Tests of ``shallotyard domain`` and ``shallotyard instance``."""

import concurrent.futures
import json

import pytest

from shallotyard_core import service_state


@pytest.fixture
def published(run, platform, manifest_file):
    """A store with the example manifest."""
    done = run("publish", manifest_file(1), f"--store={platform.url}")
    assert done.code == 0, done.err
    platform.puts = 0
    return platform


@pytest.fixture
def change(run, published):
    """Return a function that runs one operation."""

    def run_change(*arguments):
        return run(*arguments, f"--store={published.url}")

    return run_change


def test_domain_out_and_in(change, published):
    """Guards against an operation that is not recorded, or not taken back."""
    assert change("domain", "out", "istra-1").code == 0
    assert published.read("service-state") == {
        "domains_out": ["istra-1"],
        "instances_out": [],
        "revision": 1,
    }
    done = change("domain", "in", "istra-1")
    assert done.code == 0
    assert done.out == "accepted: failure domain 'istra-1' in service, revision 2\n"
    assert published.read("service-state")["domains_out"] == []


def test_instance_out_and_in(change, published):
    """Guards against an upstream or a router instance that cannot be taken out."""
    assert change("instance", "out", "bookbay-03").code == 0
    assert change("instance", "out", "router-7").code == 0
    assert change("domain", "out", "istra-1").code == 0
    assert published.read("service-state") == {
        "domains_out": ["istra-1"],
        "instances_out": ["bookbay-03", "router-7"],
        "revision": 3,
    }
    assert change("instance", "in", "bookbay-03").code == 0
    assert published.read("service-state")["instances_out"] == ["router-7"]


def test_unknown_domain_is_refused(change, published):
    """Guards against a misspelled id that takes nothing out but reports success."""
    for direction in ("out", "in"):
        done = change("domain", direction, "istra-9")
        assert done.code == 1
        assert "unknown failure domain 'istra-9'" in done.err
    assert published.puts == 0


def test_domain_without_a_manifest_is_refused(run, platform):
    """Guards against a domain change that no manifest can confirm."""
    done = run("domain", "out", "istra-1", f"--store={platform.url}")
    assert done.code == 1
    assert "no manifest is published" in done.err


def test_removed_domain_can_come_back_in(change, published):
    """Guards against an id that stays in the state because the manifest lost it."""
    state = service_state.ServiceState(frozenset(["gone"]), frozenset(), 4)
    published.write("service-state", service_state.encode_service_state(state).encode())
    assert change("domain", "in", "gone").code == 0
    assert published.read("service-state")["domains_out"] == []


def test_last_domain_of_a_region_needs_force(change, published):
    """Guards against a region without any failure domain by mistake."""
    assert change("domain", "out", "istra-1").code == 0
    done = change("domain", "out", "istra-2")
    assert done.code == 1
    assert "last failure domain in service of region 'istra'" in done.err
    assert change("domain", "out", "slavonija-2").code == 0
    assert change("domain", "out", "istra-2", "--force").code == 0
    assert published.read("service-state")["domains_out"] == [
        "istra-1",
        "istra-2",
        "slavonija-2",
    ]


def test_repeated_operation_writes_nothing(change, published):
    """Guards against revisions that grow without a change."""
    change("domain", "out", "istra-1")
    done = change("domain", "out", "istra-1")
    assert done.code == 0
    assert done.out.startswith("unchanged: failure domain 'istra-1' out of service")
    assert published.puts == 1


def test_racing_operators(change, published):
    """Guards against two last domains of a region that go out at the same time."""
    published.readers_to_wait_for = 2
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        runs = list(
            pool.map(lambda i: change("domain", "out", i), ["istra-1", "istra-2"])
        )
    assert sorted(done.code for done in runs) == [0, 1]
    loser = next(done for done in runs if done.code == 1)
    assert loser.err.startswith("conflict: ")
    assert "the store holds revision 1" in loser.err
    assert len(published.read("service-state")["domains_out"]) == 1


def test_if_version_is_the_revision(change, published):
    """Guards against a change to a state that the operator never saw."""
    change("domain", "out", "istra-1")
    done = change("domain", "out", "slavonija-1", "--if_version=0")
    assert done.code == 1
    assert "expected revision 0, the store holds revision 1" in done.err
    assert change("domain", "out", "slavonija-1", "--if_version=1").code == 0


def test_lost_reply(change, published):
    """Guards against a change in force that is reported as refused."""
    published.put_faults.append("lose")
    done = change("domain", "out", "istra-1")
    assert done.code == 0
    assert published.objects_by_name["service-state"][0] == 1


def test_lost_reply_then_another_change(change, published):
    """Guards against "conflict" for a change that the newer state keeps."""
    newer = service_state.ServiceState(frozenset(["istra-1"]), frozenset(["x"]), 2)
    body = service_state.encode_service_state(newer).encode()
    published.put_faults.append("lose")
    published.after_put = lambda: published.write("service-state", body)
    done = change("domain", "out", "istra-1")
    assert done.code == 0
    assert done.out == "accepted: failure domain 'istra-1' out of service, revision 2\n"
    assert published.read("service-state")["instances_out"] == ["x"]


def test_lost_reply_then_the_opposite_change(change, published):
    """Guards against a claim about a change that was taken back, or never made."""
    newer = service_state.ServiceState(frozenset(), frozenset(), 2)
    body = service_state.encode_service_state(newer).encode()
    published.put_faults.append("lose")
    published.after_put = lambda: published.write("service-state", body)
    done = change("domain", "out", "istra-1")
    assert done.code == 1
    assert done.err.startswith("unknown: ")
    assert "revision 2, which does not have failure domain 'istra-1' out" in done.err


def test_store_down(change, published):
    """Guards against a report of success while the store is down."""
    published.get_faults.append("down")
    done = change("domain", "out", "istra-1")
    assert (done.code, done.err[:13]) == (1, "not accepted:")
    published.put_faults.append("down")
    done = change("domain", "out", "istra-1")
    assert (done.code, done.err[:13]) == (1, "not accepted:")
    assert "service-state" not in published.objects_by_name


def test_failed_read_back(change, published):
    """Guards against a claim about a change whose effect is not known."""
    published.put_faults.extend(["lose", "drop", "drop"])
    published.get_faults.extend(["", "", "down", "down", "down"])
    done = change("domain", "out", "istra-1")
    assert (done.code, done.err) == (1, "unknown: read back failed, run status\n")


def test_state_with_faults_is_refused(change, published):
    """Guards against a state that is replaced although it cannot be read."""
    published.write("service-state", b'{"domains_out": []}')
    done = change("instance", "out", "router-7")
    assert done.code == 1
    assert "the stored service state has faults" in done.err
    assert published.puts == 0


def test_wait_until_in_force(change, published):
    """Guards against a success before the daemons report the revision."""
    published.statuses_by_index = {
        0: [{"service_state_revision": 0}, {"service_state_revision": 1}]
    }
    done = change("domain", "out", "istra-1", f"--daemons={published.daemon(0)}")
    assert done.code == 0
    assert "in force on 1 daemons" in done.out


def test_json_form(change, published):
    """Guards against a JSON form without the revision."""
    done = change("domain", "out", "istra-1", "--format=json")
    data = json.loads(done.out)
    assert (done.code, data["outcome"], data["revision"]) == (0, "accepted", 1)
