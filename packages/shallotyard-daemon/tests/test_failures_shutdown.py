"""Tests of the graceful shutdown of real daemons under load."""

import threading
import time

import pytest

from shallotyard_testing.load import LoadOptions
from shallotyard_testing.scenarios import CLIENT
from shallotyard_testing.scenarios import THREE_DAEMONS
from shallotyard_testing.scenarios import WAIT_TIMEOUT_S
from shallotyard_testing.scenarios import BackgroundLoad
from shallotyard_testing.scenarios import check_invariants
from shallotyard_testing.scenarios import find_key
from shallotyard_testing.scenarios import post
from shallotyard_testing.scenarios import read_table
from shallotyard_testing.scenarios import run_cluster
from shallotyard_testing.scenarios import wait_settled
from shallotyard_testing.scenarios import wait_until


def build_load(cluster, instances, **changes):
    """Return the options of a load on keyed and unkeyed paths."""
    options = {
        "addresses": tuple(cluster.daemons_by_id[n].http_address for n in instances),
        "credential": cluster.credentials[CLIENT],
        "keyed_path": "/bookings/item",
        "unkeyed_path": "/till/item",
        "connections": 12,
        "rate": 150.0,
        "keys": 200,
        "deadline_ms": 5000,
        "seed": 31,
        **changes,
    }
    return LoadOptions(**options)


@pytest.mark.parametrize("instance", ["a", "b"])
def test_no_request_fails_after_sigterm_under_load(instance):
    """Guards against incomplete responses while an instance shuts down.

    This applies to callers of the leaving instance and of the others.
    """
    with run_cluster({"bookbay": 3, "tilldesk": 3}, THREE_DAEMONS) as cluster:
        others = [name for name in THREE_DAEMONS if name != instance]
        loads = [
            BackgroundLoad(build_load(cluster, others, duration_s=5.0)),
            BackgroundLoad(build_load(cluster, instance, duration_s=5.0, seed=32)),
        ]
        time.sleep(1.0)
        exit_status = cluster.group.terminate(instance, timeout_s=WAIT_TIMEOUT_S)
        assert exit_status == 0
        other_report, leaving_report = (load.join() for load in loads)
        assert other_report.succeeded == other_report.requests, other_report.statuses
        # A load balancer would stop sending requests here. The load tool does not,
        # so its connections are refused after the exit.
        assert set(leaving_report.statuses) <= {"200", "refused"}, (
            leaving_report.statuses
        )
        wait_settled(cluster, others)
        check_invariants(cluster, others)


def test_sigterm_of_the_last_instance_finishes_its_requests():
    """Guards against aborted requests if no instance can take over."""
    with run_cluster({"bookbay": 1}, {"a": "d1"}, work_ms=600) as cluster:
        responses = []

        def send(number):
            headers = {
                "Shallotyard_Key": f"s-{number}",
                "Idempotency_Key": f"i-{number}",
            }
            responses.append(post(cluster, "a", "/bookings/item", **headers))

        threads = [threading.Thread(target=send, args=(n,)) for n in range(2)]
        for thread in threads:
            thread.start()
        time.sleep(0.2)
        assert cluster.group.terminate("a", timeout_s=WAIT_TIMEOUT_S) == 0
        for thread in threads:
            thread.join()
        assert [status for status, _, _ in responses] == [200, 200]


def test_sigterm_of_a_holder_finishes_relayed_requests():
    """Guards against a leaving holder that aborts a request relayed to it.

    The request runs for longer than an idle instance waits before it exits. It has
    no Idempotency-Key, so it must not be sent again.
    """

    def allow_long_runs(manifest):
        manifest["services"]["tilldesk"]["max_run_ms"] = 8000

    with run_cluster(
        {"tilldesk": 1}, change_manifest=allow_long_runs, work_ms=5000
    ) as cluster:
        holder = read_table(cluster)["upstreams"]["tilldesk-01"][0]
        other = "b" if holder == "a" else "a"
        responses = []

        def send():
            headers = {"Shallotyard_Deadline_Ms": "10000"}
            responses.append(post(cluster, other, "/till/item", **headers))

        thread = threading.Thread(target=send)
        thread.start()
        wait_until(
            lambda: cluster.read_upstream_stats()["upstreams"]["tilldesk-01"][
                "requests"
            ],
            "request received by the upstream",
        )
        assert cluster.group.terminate(holder, timeout_s=WAIT_TIMEOUT_S) == 0
        thread.join()
        assert [response[:2] for response in responses] == [(200, "ran")]
        check_invariants(cluster, other)


def test_rolling_restart():
    """Guards against failed or repeated requests during a rolling restart."""
    with run_cluster({"bookbay": 2, "tilldesk": 2}) as cluster:
        key = find_key(cluster, "bookbay")
        headers = {"Shallotyard_Key": key, "Idempotency_Key": "rolling"}
        assert post(cluster, "a", "/bookings/item", **headers)[0] == 200
        for instance, domain in list(THREE_DAEMONS.items())[:2]:
            assert cluster.group.terminate(instance, timeout_s=WAIT_TIMEOUT_S) == 0
            other = "b" if instance == "a" else "a"
            # The outcome of the request was passed on with the release.
            assert post(cluster, other, "/bookings/item", **headers)[0] == 200
            cluster.start_daemon(instance, domain, "warning")
            wait_settled(cluster)
        assert post(cluster, "a", "/bookings/item", **headers)[0] == 200
        assert len(read_table(cluster)["stewards"]) == 2
        check_invariants(cluster)
