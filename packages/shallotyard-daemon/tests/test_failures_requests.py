"""Tests of responses, repeats, quarantine and home regions during failures."""

import itertools
import threading
import time
import urllib.error
import urllib.request

import pytest

from shallotyard_testing.cluster import call_json
from shallotyard_testing.load import LoadOptions
from shallotyard_testing.scenarios import CLIENT
from shallotyard_testing.scenarios import THREE_DAEMONS
from shallotyard_testing.scenarios import BackgroundLoad
from shallotyard_testing.scenarios import check_invariants
from shallotyard_testing.scenarios import count_runs
from shallotyard_testing.scenarios import find_key
from shallotyard_testing.scenarios import find_owner
from shallotyard_testing.scenarios import get
from shallotyard_testing.scenarios import post
from shallotyard_testing.scenarios import read_journal
from shallotyard_testing.scenarios import read_table
from shallotyard_testing.scenarios import run_cluster
from shallotyard_testing.scenarios import wait_settled
from shallotyard_testing.scenarios import wait_until

BOOKINGS = "/bookings/item"
TILL = "/till/item"
ANSWERED = ("ran", "may-have-run")


@pytest.fixture(scope="module")
def cluster():
    """Two daemons and two upstreams per service, for faults that tests revert."""
    counts = {"statusdesk": 2, "bookbay": 2, "tilldesk": 2}
    with run_cluster(counts, work_ms=30, cold_ms=300) as shared:
        yield shared


@pytest.fixture(autouse=True)
def _check_invariants_afterwards(request):
    yield
    if "cluster" in request.fixturenames:
        check_invariants(request.getfixturevalue("cluster"))


def are_writes_served(cluster, prefix):
    """Return whether writes for several keys succeed.

    :param prefix: prefix of their Idempotency-Keys.
    """
    keys = [find_key(cluster, "bookbay", skip=number) for number in range(6)]
    return all(
        post(
            cluster,
            "a",
            BOOKINGS,
            Shallotyard_Key=key,
            Idempotency_Key=f"{prefix}-{time.monotonic_ns()}",
        )[0]
        == 200
        for key in keys
    )


def test_cold_upstream_receives_at_most_its_cold_slots(cluster):
    """Guards against overload of upstreams that crash and restart cold.

    Requests are queued at that time. If a new boot id did not reduce the limit, all
    of them would be sent, and the stand-in would count ``cold_overload``.
    """
    addresses = [daemon.http_address for daemon in cluster.daemons_by_id.values()]
    load = BackgroundLoad(
        LoadOptions(
            addresses=tuple(addresses),
            credential=cluster.credentials[CLIENT],
            keyed_path=BOOKINGS,
            unkeyed_path=TILL,
            duration_s=3.0,
            connections=24,
            keys=100,
            seed=5,
        )
    )
    time.sleep(1.0)
    names = ("bookbay-01", "tilldesk-01")
    cluster.control_upstreams(*names, die=True)
    cluster.control_upstreams(*names, die=False)
    report = load.join()
    assert report.mismatched == 0
    assert report.succeeded > 0
    stats = cluster.read_upstream_stats()["upstreams"]
    assert all(stats[name]["restarts"] == 1 for name in names)
    assert all(stats[name]["cold_overload"] == 0 for name in names)
    wait_until(
        lambda: are_writes_served(cluster, "cold"), "writes served after the restart"
    )


def test_draining_upstream_receives_no_requests(cluster):
    """Guards against slices or requests that stay at a draining upstream."""
    key = find_key(cluster, "bookbay", upstream="bookbay-02")
    cluster.control_upstreams("bookbay-02", "tilldesk-02", state="draining")

    def is_slice_moved():
        return (
            find_owner(read_table(cluster), "bookbay", CLIENT, key)[0] != "bookbay-02"
        )

    wait_until(is_slice_moved, "slice moved away from the draining upstream")
    wait_settled(cluster)
    before = cluster.read_upstream_stats()["upstreams"]
    for number in range(30):
        status, _, value = post(
            cluster,
            "ab"[number % 2],
            BOOKINGS,
            Shallotyard_Key=key,
            Idempotency_Key=f"drain-{number}",
        )
        assert (status, value["upstream"]) == (200, "bookbay-01")
        status, _, value = get(cluster, "ab"[number % 2], TILL)
        assert (status, value["upstream"]) == (200, "tilldesk-01")
    after = cluster.read_upstream_stats()["upstreams"]
    for name in ("bookbay-02", "tilldesk-02"):
        assert after[name]["requests"] == before[name]["requests"]
    cluster.control_upstreams("bookbay-02", "tilldesk-02", state="serving")
    wait_until(
        lambda: find_key_or_none(cluster, "bookbay-02"), "bookbay-02 owns slices again"
    )
    wait_settled(cluster)


def find_key_or_none(cluster, upstream):
    """Return a key that an upstream owns, ``None`` if it owns no slice."""
    try:
        return find_key(cluster, "bookbay", upstream=upstream)
    except AssertionError:
        return None


@pytest.mark.parametrize("fault", ["cross", "truncate"])
def test_mismatched_and_truncated_responses_are_not_delivered(cluster, fault):
    """Guards against delivery of a truncated response, or of another request's."""
    cluster.control_upstreams(**{fault: 3})
    responses = []
    for number in range(24):
        query = f"n={fault}-{number}"
        path = (f"{BOOKINGS}?{query}", f"{TILL}?{query}")[number % 2]
        headers = {"Idempotency_Key": f"{fault}-{number}"}
        if number % 2 == 0:
            headers["Shallotyard_Key"] = f"stall-{number}"
        status, verdict, value = post(cluster, "ab"[number // 2 % 2], path, **headers)
        responses.append((status, verdict))
        if status == 200:
            assert value["query"] == query
        else:
            assert (status, verdict) in ((502, "may-have-run"), (504, "may-have-run"))
    cluster.control_upstreams(**{fault: 0})
    assert (200, "ran") in responses
    assert any(verdict == "may-have-run" for _, verdict in responses)
    # Each of these requests ran once, so the verdict not-run would be wrong.
    for number, (status, _) in enumerate(responses):
        if status != 200:
            assert count_runs(cluster, f"{fault}-{number}") == 1


def test_request_that_crashes_upstreams_is_quarantined(cluster):
    """Guards against a request that crashes upstreams repeatedly.

    After at most four crashes, every instance must refuse it.
    """
    text = "poison-one"
    cluster.control_upstreams(crash_on=text)
    key = find_key(cluster, "bookbay", upstream="bookbay-01")
    restarts = count_restarts(cluster)
    numbers = itertools.count()

    def is_refused():
        number = next(numbers)
        # A new Idempotency-Key each time, as if a person repeated the request.
        status, verdict, value = post(
            cluster,
            "ab"[number % 2],
            BOOKINGS,
            body=text.encode(),
            Shallotyard_Key=key,
            Idempotency_Key=f"poison-{number}",
        )
        return verdict == "not-run" and "quarantine" in value.get("type", "")

    wait_until(is_refused, "request quarantined", poll_s=0.3)
    crashes = count_restarts(cluster) - restarts
    assert crashes <= 4
    assert [is_refused() for _ in range(4)] == [True] * 4
    # Other requests, also of the same key and upstream, are still served.
    wait_until(lambda: are_writes_served(cluster, "neighbour"), "other writes served")
    assert count_restarts(cluster) - restarts == crashes
    cluster.control_upstreams(crash_on="")


def count_restarts(cluster):
    """Return the number of restarts of all upstreams."""
    upstreams = cluster.read_upstream_stats()["upstreams"]
    return sum(counters["restarts"] for counters in upstreams.values())


def test_request_is_marked_if_the_upstream_restarts_slowly(cluster):
    """Guards against crash marks that are lost if an upstream restarts slowly.

    The restart takes longer than a run of the request. Without the marks, the request
    would never be quarantined.
    """
    text = "poison-two"
    key = find_key(cluster, "bookbay", upstream="bookbay-02")
    numbers = itertools.count()

    def is_refused():
        number = next(numbers)
        cluster.control_upstreams(crash_on=text)
        upstream = find_owner(read_table(cluster), "bookbay", CLIENT, key)[0]
        _, verdict, value = post(
            cluster,
            "ab"[number % 2],
            BOOKINGS,
            body=text.encode(),
            Shallotyard_Key=key,
            Idempotency_Key=f"slow-poison-{number}",
        )
        cluster.control_upstreams(crash_on="")
        if verdict == "not-run" and "quarantine" in (value or {}).get("type", ""):
            return True
        cluster.control_upstreams(upstream, die=True)
        time.sleep(1.5)
        cluster.control_upstreams(upstream, die=False)
        wait_until(
            lambda: are_writes_served(cluster, "slow-poison-rest"),
            "writes served after the restart",
        )
        return False

    assert any(is_refused() for _ in range(5)), "not quarantined after five crashes"


@pytest.mark.parametrize("path", [BOOKINGS, TILL])
def test_repeat_waits_for_the_running_request(cluster, path):
    """Guards against a second run by a repeat that another instance receives."""
    identity = f"repeat-{path}"
    key = find_key(cluster, "bookbay")
    headers = {"Shallotyard_Key": key, "Idempotency_Key": identity}
    responses = []

    def send(instance):
        responses.append(post(cluster, instance, f"{path}?n=same", **headers))

    cluster.control_upstreams(slow_factor=10.0)
    threads = [threading.Thread(target=send, args=(name,)) for name in "abab"]
    for thread in threads:
        thread.start()
        time.sleep(0.03)
    for thread in threads:
        thread.join()
    cluster.control_upstreams(slow_factor=1.0)
    send("a")
    send("b")
    assert {status for status, _, _ in responses} == {200}
    assert len({value["request_id"] for _, _, value in responses}) == 1
    assert count_runs(cluster, identity) == 1


def test_reused_idempotency_key_is_refused(cluster):
    """Guards against a stored response that is returned for a different request."""
    headers = {"Shallotyard_Key": "stall-1", "Idempotency_Key": "reused"}
    assert post(cluster, "a", BOOKINGS, body=b"one", **headers)[0] == 200
    status, verdict, _ = post(cluster, "b", BOOKINGS, body=b"two", **headers)
    assert (status, verdict) == (422, "not-run")


def test_repeat_after_a_holder_crash_does_not_run_again():
    """Guards against second runs after a takeover.

    The copies at the witness must prevent them for finished and running requests.
    """
    counts = {"bookbay": 2, "tilldesk": 2}
    with run_cluster(counts, THREE_DAEMONS, work_ms=300) as cluster:
        key = find_key(cluster, "bookbay")
        holder = find_owner(read_table(cluster), "bookbay", CLIENT, key)[1]
        others = [name for name in THREE_DAEMONS if name != holder]
        keys = [find_key(cluster, "bookbay", holder=holder, skip=n) for n in range(6)]

        def send(instance, number):
            return post(
                cluster,
                instance,
                BOOKINGS,
                Shallotyard_Key=keys[number],
                Idempotency_Key=f"witnessed-{number}",
            )

        for number in range(3):
            assert send(others[0], number)[0] == 200
        threads = [
            threading.Thread(target=send, args=(others[0], number))
            for number in (3, 4, 5)
        ]
        for thread in threads:
            thread.start()
        time.sleep(0.15)
        cluster.group.kill(holder)
        for thread in threads:
            thread.join()
        wait_settled(cluster, others)
        for instance in others:
            for number in range(6):
                wait_until(
                    lambda i=instance, n=number: (
                        send(i, n)[1] in ("ran", "may-have-run")
                    ),
                    "verdict ran or may-have-run",
                )
        for number in range(6):
            assert count_runs(cluster, f"witnessed-{number}") <= 1
        # The responses of the finished requests were stored and are repeated.
        finished = [send(others[1], number)[:2] for number in range(3)]
        assert finished == [(200, "ran")] * 3
        check_invariants(cluster, others)


def test_client_of_another_region_is_refused_without_a_trace():
    """Guards against data of a client that leaves its home regions.

    An ingress instance of another region must refuse its requests, and must neither
    store, log nor send any part of them.
    """
    domains = {"dalmacija": ("d1",), "slavonija": ("s1",)}
    daemons = {"a": "d1", "s": "s1"}
    counts = {"bookbay": 2, "tilldesk": 2}
    with run_cluster(counts, daemons, domains, log_level="debug") as cluster:
        secrets = ("stall-secret-key", "secret-body", "dalmacija-market")
        secrets += ("secret-idempotency", cluster.credentials["dalmacija-market"])
        client = "dalmacija-market"
        headers = {"Shallotyard_Key": secrets[0], "Idempotency_Key": secrets[3]}
        body = secrets[1].encode()
        for path in (BOOKINGS, TILL):
            status, verdict, _ = post(cluster, "s", path, body, client, **headers)
            assert (status, verdict) == (421, "not-run")
            status, verdict, _ = get(cluster, "s", path, client, **headers)
            assert (status, verdict) == (421, "not-run")
        assert read_journal(cluster) == []
        for number in range(10):
            path = (BOOKINGS, TILL)[number % 2]
            headers["Idempotency_Key"] = f"{secrets[3]}-{number}"
            assert post(cluster, "a", path, body, client, **headers)[0] == 200
            assert get(cluster, "a", path, client, **headers)[0] == 200
        regions = cluster.manifest["regions"]["dalmacija"]["domains"]
        for entry in read_journal(cluster):
            domain = cluster.manifest["upstreams"][entry["upstream"]]["domain"]
            assert domain in regions
        dump = call_json("GET", f"{cluster.store_url}/-/dump")[1]
        # The manifest contains the ids of all clients, because operators published it.
        stored = str(
            {
                name: stored_object
                for name, stored_object in dump.items()
                if name != "manifest"
            }
        )
        logged = cluster.group.children_by_name["s"].read_log()
        address = cluster.daemons_by_id["s"].http_address
        page_text = ""
        for page in ("status", "metrics"):
            url = f"http://{address}/{page}"
            try:
                with urllib.request.urlopen(url, timeout=5.0) as response:
                    page_text += response.read().decode()
            except urllib.error.HTTPError as error:
                page_text += error.read().decode()
        for text in secrets:
            assert text not in stored
            assert text not in logged
            assert text not in page_text
        # Keys, bodies and credentials must not be logged in the home region either.
        home_log = cluster.group.children_by_name["a"].read_log()
        for text in (secrets[0], secrets[1], secrets[3], secrets[4]):
            assert text not in home_log
        check_invariants(cluster)
