"""Ownership of keys while instances, upstreams and the store fail."""

import threading
import time

import pytest

from shallotyard_testing.cluster import call_json
from shallotyard_testing.load import LoadOptions
from shallotyard_testing.scenarios import CLIENT
from shallotyard_testing.scenarios import THREE_DAEMONS
from shallotyard_testing.scenarios import BackgroundLoad
from shallotyard_testing.scenarios import check_invariants
from shallotyard_testing.scenarios import find_key
from shallotyard_testing.scenarios import find_owner
from shallotyard_testing.scenarios import get
from shallotyard_testing.scenarios import post
from shallotyard_testing.scenarios import read_journal
from shallotyard_testing.scenarios import read_table
from shallotyard_testing.scenarios import run_cluster
from shallotyard_testing.scenarios import wait_settled
from shallotyard_testing.scenarios import wait_until

BOTH_KEYED = {"statusdesk": 2, "bookbay": 2}
PATHS = {"statusdesk": "/status/item", "bookbay": "/bookings/item"}


def build_load(cluster, instances, **changes):
    """Return options of a load on bookbay and statusdesk."""
    addresses = [cluster.daemons_by_id[name].http_address for name in instances]
    options = {
        "addresses": tuple(addresses),
        "credential": cluster.credentials[CLIENT],
        "keyed_path": PATHS["bookbay"],
        "unkeyed_path": PATHS["statusdesk"],
        "keyed_share": 1.0,
        "write_share": 0.3,
        "connections": 8,
        "keys": 200,
        "zipf_s": 0.0,
        "rate": 150.0,
        "seed": 11,
    }
    return LoadOptions(**{**options, **changes})


def serve_key(cluster, instance, service, key, number):
    """Send one write for a key and tell whether it ran."""
    status, _, _ = post(
        cluster,
        instance,
        f"{PATHS[service]}?n={number}",
        Shallotyard_Key=key,
        Idempotency_Key=f"serve-{key}-{number}",
    )
    return status == 200


def wait_served(cluster, instance, service, key):
    """Wait until writes for a key run again."""
    numbers = iter(range(10_000))
    wait_until(
        lambda: serve_key(cluster, instance, service, key, next(numbers)),
        f"{service} key {key} served at {instance}",
    )


def test_killed_holder_is_replaced():
    """A holder dies: its keys must be served again and nothing may run twice."""
    with run_cluster(BOTH_KEYED, THREE_DAEMONS) as cluster:
        keys = {
            service: find_key(cluster, service, holder="b")
            for service in PATHS
            if service_has_holder(cluster, service, "b")
        }
        assert keys
        for service, key in keys.items():
            assert serve_key(cluster, "a", service, key, "before")
        load = BackgroundLoad(build_load(cluster, "ac", duration_s=5.0))
        time.sleep(0.5)
        cluster.group.kill("b")
        for service, key in keys.items():
            wait_served(cluster, "a", service, key)
            # The response that the killed holder stored at its witness.
            assert serve_key(cluster, "c", service, key, "before")
        report = load.join()
        assert not any(service_has_holder(cluster, name, "b") for name in PATHS)
        assert report.mismatched == 0
        check_invariants(cluster, "ac")


def service_has_holder(cluster, service, holder):
    """Tell whether an instance holds an upstream of a service."""
    upstreams = read_table(cluster)["upstreams"]
    names = (name for name in upstreams if name.startswith(service))
    return any(upstreams[name][0] == holder for name in names)


def test_frozen_holder_does_not_serve_after_its_lease():
    """A holder frozen past its lease with requests in flight must not send them.

    Without the end of the lease, its old requests would run beside those of the
    new holder.
    """
    with run_cluster(BOTH_KEYED, THREE_DAEMONS, work_ms=50) as cluster:
        holder = next(iter(read_table(cluster)["upstreams"].values()))[0]
        others = [name for name in THREE_DAEMONS if name != holder]
        load = BackgroundLoad(
            build_load(cluster, THREE_DAEMONS, duration_s=6.0, rate=120.0)
        )
        time.sleep(0.5)
        cluster.group.pause(holder)
        wait_until(
            lambda: all(
                entry[0] != holder
                for entry in read_table(cluster)["upstreams"].values()
            ),
            "another holder named",
        )
        time.sleep(2.0)
        cluster.group.resume(holder)
        load.join()
        wait_settled(cluster)
        for service in PATHS:
            wait_served(cluster, others[0], service, find_key(cluster, service))
        check_invariants(cluster)


def test_killed_upstream_loses_its_slices():
    """An upstream dies: its keys must be served by another one."""
    with run_cluster(BOTH_KEYED) as cluster:
        key = find_key(cluster, "bookbay", upstream="bookbay-01")
        status_key = find_key(cluster, "statusdesk", upstream="statusdesk-01")
        assert serve_key(cluster, "a", "bookbay", key, "first")
        cluster.control_upstreams("bookbay-01", "statusdesk-01", die=True)
        wait_served(cluster, "b", "bookbay", key)
        wait_served(cluster, "b", "statusdesk", status_key)
        owner = find_owner(read_table(cluster), "bookbay", CLIENT, key)[0]
        assert owner == "bookbay-02"
        check_invariants(cluster)


def test_frozen_upstream_does_not_run_old_requests():
    """Requests in the socket of a frozen upstream must not run after the move.

    The deadline on the upstream's own clock and the grant's expiry guard it. The
    upstreams do not stop running requests on a cancellation, which would hide a
    missing deadline.
    """
    separate_upstream_ids = ("bookbay-01", "statusdesk-01")
    with run_cluster(
        BOTH_KEYED, separate_upstream_ids=separate_upstream_ids, cancellable=False
    ) as cluster:
        keys = {
            "bookbay": find_key(cluster, "bookbay", upstream="bookbay-01"),
            "statusdesk": find_key(cluster, "statusdesk", upstream="statusdesk-01"),
        }
        for service, key in keys.items():
            assert serve_key(cluster, "a", service, key, "before")
        cluster.group.pause("upstreams-apart")
        frozen_at = time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0
        threads = [
            threading.Thread(
                target=serve_key, args=(cluster, "b", service, key, f"frozen-{n}")
            )
            for service, key in keys.items()
            for n in range(4)
        ]
        for thread in threads:
            thread.start()
        for service, key in keys.items():
            wait_served(cluster, "b", service, key)
        for thread in threads:
            thread.join()
        cluster.group.resume("upstreams-apart")
        # Whatever lay in the sockets is handled before a later call is answered.
        call_json("GET", f"{cluster.separate_control_url}/-/stats")
        time.sleep(0.3)
        late = [
            entry
            for entry in read_journal(cluster)
            if entry["upstream"] in separate_upstream_ids
            and entry["idempotency_key"].startswith("serve-")
            and entry["start"] >= frozen_at
        ]
        assert late == []
        check_invariants(cluster)


def test_new_instance_does_not_take_slices_that_wait():
    """An instance joins while slices of a frozen upstream wait for a lease to end.

    If they changed their holder again before their claims had started, nobody
    could vouch for their records, and writes with an Idempotency-Key would be
    refused as may-have-run for the retention period of five minutes.
    """
    with run_cluster(
        {"statusdesk": 2}, {"a": "d1"}, separate_upstream_ids=("statusdesk-01",)
    ) as cluster:
        key = find_key(cluster, "statusdesk", upstream="statusdesk-01")
        assert serve_key(cluster, "a", "statusdesk", key, "before")
        cluster.group.pause("upstreams-apart")

        def moved():
            owner = find_owner(read_table(cluster), "statusdesk", CLIENT, key)[0]
            return owner != "statusdesk-01"

        wait_until(moved, "slices moved from the frozen upstream", poll_s=0.01)
        cluster.start_daemon("b", "d2", "warning")
        wait_settled(cluster)
        wait_served(cluster, "a", "statusdesk", key)
        cluster.group.resume("upstreams-apart")
        check_invariants(cluster)


def test_silent_connections_do_not_stop_a_key():
    """Open connections go silent for good while new ones work."""
    with run_cluster(BOTH_KEYED) as cluster:
        keys = {service: find_key(cluster, service) for service in PATHS}
        load = BackgroundLoad(
            build_load(cluster, "ab", duration_s=3.0, write_share=0.2)
        )
        time.sleep(1.0)
        cluster.control_upstreams(silent=True)
        load.join()
        for service, key in keys.items():
            wait_served(cluster, "a", service, key)
            status, _, _ = get(cluster, "b", PATHS[service], Shallotyard_Key=key)
            assert status == 200
        check_invariants(cluster)


def test_silent_idle_connections_fail_no_lookup():
    """Idle connections go silent: a lookup must be answered at its first sending.

    Without distrust of idle connections, the repeat of a lookup takes the next
    silent one and fails as well.
    """
    with run_cluster(BOTH_KEYED, work_ms=30) as cluster:
        keys = {
            name: find_key(cluster, name.partition("-")[0], upstream=name)
            for name in cluster.manifest["upstreams"]
        }
        # Lookups only, because a write uses a new connection. They leave as many
        # idle connections as an upstream has slots.
        load = BackgroundLoad(
            build_load(
                cluster,
                "ab",
                duration_s=2.0,
                keyed_share=0.5,
                unkeyed_path=PATHS["statusdesk"],
                write_share=0.0,
                connections=32,
                rate=0.0,
            )
        )
        load.join()
        cluster.control_upstreams(silent=True)
        statuses = {}

        def look_up(name):
            path = PATHS[name.partition("-")[0]]
            headers = {"Shallotyard_Key": keys[name], "Shallotyard_Deadline_Ms": "8000"}
            statuses[name] = get(cluster, "a", path, **headers)[0]

        threads = [threading.Thread(target=look_up, args=(name,)) for name in keys]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert statuses == dict.fromkeys(keys, 200)
        check_invariants(cluster)


def test_store_outage_leaves_keys_with_living_owners_served():
    """The store is down for longer than a lease: promises must keep it alive."""
    with run_cluster(BOTH_KEYED, THREE_DAEMONS) as cluster:
        keys = [find_key(cluster, "bookbay", skip=n) for n in range(3)]
        cluster.set_store_faults(down=True)
        began = time.monotonic()
        number = 0
        # Three leases, so that none from before the outage is left.
        while time.monotonic() - began < 4.5:
            for key in keys:
                number += 1
                instance = "abc"[number % 3]
                assert serve_key(cluster, instance, "bookbay", key, number)
        cluster.set_store_faults(down=False)
        wait_settled(cluster)
        check_invariants(cluster)


@pytest.mark.parametrize("delay_ms", [400, 900])
def test_slow_store_keeps_leases(delay_ms):
    """Store calls are slow: leases count from the begin of a read and must last.

    With 0.9 s, reads alone do not renew all leases in time. The promises that
    do must not put off the takeover for ever.
    """
    with run_cluster(BOTH_KEYED) as cluster:
        key = find_key(cluster, "bookbay")
        cluster.set_store_faults(delay_ms=delay_ms)
        began = time.monotonic()
        number = 0
        while time.monotonic() - began < 3.0:
            number += 1
            assert serve_key(cluster, "ab"[number % 2], "bookbay", key, number)
        cluster.group.kill("b")
        for skip in range(3):
            wait_served(
                cluster, "a", "bookbay", find_key(cluster, "bookbay", skip=skip)
            )
        check_invariants(cluster, "a")


def test_lost_write_replies_during_domain_out():
    """The store loses replies of writes while a failure domain goes out."""
    with run_cluster(BOTH_KEYED, THREE_DAEMONS) as cluster:
        cluster.set_store_faults(lose_next_writes=4)
        load = BackgroundLoad(build_load(cluster, "abc", duration_s=4.0))
        # The command reads its own write back when the reply is lost.
        status, output = cluster.run_command(
            "domain", "out", "d2", f"--store={cluster.store_url}", "--wait_s=0"
        )
        report = load.join()

        def moved():
            table = read_table(cluster)
            names = list(table["upstreams"])
            owners = {
                names[entry[0]]
                for service in table["services"].values()
                for entry in service["slices"]
            }
            domains = {cluster.manifest["upstreams"][name]["domain"] for name in owners}
            return domains == {"d1"}

        if status != 0:
            cluster.run_command(
                "domain", "out", "d2", f"--store={cluster.store_url}", "--wait_s=0"
            )
        wait_until(moved, f"slices in d1 ({output})")
        assert report.mismatched == 0
        wait_served(cluster, "a", "bookbay", find_key(cluster, "bookbay"))
        check_invariants(cluster)


def test_domain_cut_from_store_goes_on():
    """Instances that cannot reach the store get proofs from those that can."""
    with run_cluster(BOTH_KEYED, THREE_DAEMONS) as cluster:
        cluster.set_store_faults(deny_clients=["b", "c"])
        began = time.monotonic()
        keys = [find_key(cluster, "bookbay", skip=n) for n in range(3)]
        number = 0
        while time.monotonic() - began < 4.0:
            for key in keys:
                number += 1
                instance = "abc"[number % 3]
                assert serve_key(cluster, instance, "bookbay", key, number)
        cluster.set_store_faults(deny_clients=[])
        wait_settled(cluster)
        check_invariants(cluster)


def test_restarted_instance_holds_nothing_of_its_former_run():
    """A holder that is killed and restarted at once must wait like any other.

    With the claims of its former run it would send under old epochs, and run
    again what the former run did and only the witness remembers.
    """
    with run_cluster(BOTH_KEYED, THREE_DAEMONS) as cluster:
        holder = find_owner(
            read_table(cluster), "bookbay", CLIENT, find_key(cluster, "bookbay")
        )[1]
        keys = [find_key(cluster, "bookbay", holder=holder, skip=n) for n in range(4)]

        def send(number):
            return post(
                cluster,
                holder,
                PATHS["bookbay"],
                Shallotyard_Key=keys[number],
                Idempotency_Key=f"former-{number}",
            )

        for number in range(len(keys)):
            assert send(number)[0] == 200
        load = BackgroundLoad(build_load(cluster, THREE_DAEMONS, duration_s=4.0))
        time.sleep(0.3)
        held, former = read_holding(cluster, holder)
        cluster.group.kill(holder)
        wait_until(
            lambda: is_idle(cluster, held), "upstreams of the killed holder idle"
        )
        killed_at = time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0
        cluster.start_daemon(holder, THREE_DAEMONS[holder], "warning")
        for number in range(len(keys)):
            wait_until(
                lambda n=number: send(n)[1] in ("ran", "may-have-run"),
                "an answer that does not deny the run",
                poll_s=0.01,
            )
        wait_settled(cluster)
        assert load.join().mismatched == 0
        wait_served(cluster, holder, "bookbay", find_key(cluster, "bookbay"))
        old = [
            entry
            for entry in read_journal(cluster)
            if entry["start"] >= killed_at
            and (entry["slice"], entry["epoch"]) in former
        ]
        assert old == []
        check_invariants(cluster)


def is_idle(cluster, upstreams):
    """Tell whether upstreams have ended all requests that they received."""
    stats = cluster.read_upstream_stats()["upstreams"]
    ended = ("committed", "shed", "stale", "expired", "cancelled")
    return all(
        stats[name]["requests"] == sum(stats[name][kind] for kind in ended)
        for name in upstreams
    )


def read_holding(cluster, holder):
    """Return the upstreams that an instance holds, and their (slice, epoch) pairs."""
    table = read_table(cluster)
    names = list(table["upstreams"])
    held = {name for name in names if table["upstreams"][name][0] == holder}
    epochs = {
        (f"{service}/{number}", entry[1])
        for service, each in table["services"].items()
        for number, entry in enumerate(each["slices"])
        if names[entry[0]] in held
    }
    return held, epochs
