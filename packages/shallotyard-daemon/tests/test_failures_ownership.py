"""Tests of key ownership during failures of instances, upstreams and the store."""

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
    """Return the options of a load on bookbay and statusdesk."""
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


def try_write(cluster, instance, service, key, number):
    """Send a write for a key; return whether it succeeded.

    :param number: suffix of the Idempotency-Key.
    """
    status, _, _ = post(
        cluster,
        instance,
        f"{PATHS[service]}?n={number}",
        Shallotyard_Key=key,
        Idempotency_Key=f"serve-{key}-{number}",
    )
    return status == 200


def wait_until_served(cluster, instance, service, key):
    """Wait until an instance serves writes for a key."""
    numbers = iter(range(10_000))
    wait_until(
        lambda: try_write(cluster, instance, service, key, next(numbers)),
        f"{service} key {key} served at {instance}",
    )


def test_killed_holder_is_replaced():
    """Guards against unserved keys or repeated runs after a holder has crashed."""
    with run_cluster(BOTH_KEYED, THREE_DAEMONS) as cluster:
        keys = {
            service: find_key(cluster, service, holder="b")
            for service in PATHS
            if service_has_holder(cluster, service, "b")
        }
        assert keys
        for service, key in keys.items():
            assert try_write(cluster, "a", service, key, "before")
        load = BackgroundLoad(build_load(cluster, "ac", duration_s=5.0))
        time.sleep(0.5)
        cluster.group.kill("b")
        for service, key in keys.items():
            wait_until_served(cluster, "a", service, key)
            # Repeats the response that the killed holder copied to its witness.
            assert try_write(cluster, "c", service, key, "before")
        report = load.join()
        assert not any(service_has_holder(cluster, name, "b") for name in PATHS)
        assert report.mismatched == 0
        check_invariants(cluster, "ac")


def service_has_holder(cluster, service, holder):
    """Return whether an instance holds an upstream of a service."""
    upstreams = read_table(cluster)["upstreams"]
    names = (name for name in upstreams if name.startswith(service))
    return any(upstreams[name][0] == holder for name in names)


def test_paused_holder_does_not_serve_after_its_lease():
    """Guards against a holder that sends requests after its lease has expired.

    It is paused with requests in flight until the lease has expired. If it sent them
    afterwards, they would run at the same time as those of the new holder.
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
            "another instance holds its upstreams",
        )
        time.sleep(2.0)
        cluster.group.resume(holder)
        load.join()
        wait_settled(cluster)
        for service in PATHS:
            wait_until_served(cluster, others[0], service, find_key(cluster, service))
        check_invariants(cluster)


def test_killed_upstream_loses_its_slices():
    """Guards against unserved keys after an upstream has crashed."""
    with run_cluster(BOTH_KEYED) as cluster:
        key = find_key(cluster, "bookbay", upstream="bookbay-01")
        status_key = find_key(cluster, "statusdesk", upstream="statusdesk-01")
        assert try_write(cluster, "a", "bookbay", key, "first")
        cluster.control_upstreams("bookbay-01", "statusdesk-01", die=True)
        wait_until_served(cluster, "b", "bookbay", key)
        wait_until_served(cluster, "b", "statusdesk", status_key)
        owner = find_owner(read_table(cluster), "bookbay", CLIENT, key)[0]
        assert owner == "bookbay-02"
        check_invariants(cluster)


def test_paused_upstream_does_not_run_old_requests():
    """Guards against an upstream that runs old requests after its slices have moved.

    The requests are in the socket buffers of a paused upstream. The deadline on the
    upstream's own clock and the expiry of the grant must prevent them from running.
    The upstreams ignore cancellations, which would hide a missing deadline.
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
            assert try_write(cluster, "a", service, key, "before")
        cluster.group.pause("upstreams-apart")
        paused_at = time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0
        threads = [
            threading.Thread(
                target=try_write, args=(cluster, "b", service, key, f"frozen-{n}")
            )
            for service, key in keys.items()
            for n in range(4)
        ]
        for thread in threads:
            thread.start()
        for service, key in keys.items():
            wait_until_served(cluster, "b", service, key)
        for thread in threads:
            thread.join()
        cluster.group.resume("upstreams-apart")
        # The requests in the sockets are handled before this later call.
        call_json("GET", f"{cluster.separate_control_url}/-/stats")
        time.sleep(0.3)
        late_entries = [
            entry
            for entry in read_journal(cluster)
            if entry["upstream"] in separate_upstream_ids
            and entry["idempotency_key"].startswith("serve-")
            and entry["start"] >= paused_at
        ]
        assert late_entries == []
        check_invariants(cluster)


def test_new_instance_does_not_take_over_waiting_slices():
    """Guards against slices that change their holder before their claims start.

    An instance joins while slices of a paused upstream wait for a lease to expire. If
    they moved again before their claims started, no instance could prove that their
    records are complete. Writes with an Idempotency-Key would be refused as
    may-have-run for the retention period of five minutes.
    """
    with run_cluster(
        {"statusdesk": 2}, {"a": "d1"}, separate_upstream_ids=("statusdesk-01",)
    ) as cluster:
        key = find_key(cluster, "statusdesk", upstream="statusdesk-01")
        assert try_write(cluster, "a", "statusdesk", key, "before")
        cluster.group.pause("upstreams-apart")

        def is_slice_moved():
            owner = find_owner(read_table(cluster), "statusdesk", CLIENT, key)[0]
            return owner != "statusdesk-01"

        wait_until(
            is_slice_moved, "slices moved away from the paused upstream", poll_s=0.01
        )
        cluster.start_daemon("b", "d2", "warning")
        wait_settled(cluster)
        wait_until_served(cluster, "a", "statusdesk", key)
        cluster.group.resume("upstreams-apart")
        check_invariants(cluster)


def test_unresponsive_connections_do_not_block_keys():
    """Guards against unserved keys while connections deliver no data.

    The existing connections to the upstreams stop delivering data. New connections
    still work and must be used.
    """
    with run_cluster(BOTH_KEYED) as cluster:
        keys = {service: find_key(cluster, service) for service in PATHS}
        load = BackgroundLoad(
            build_load(cluster, "ab", duration_s=3.0, write_share=0.2)
        )
        time.sleep(1.0)
        cluster.control_upstreams(silent=True)
        load.join()
        for service, key in keys.items():
            wait_until_served(cluster, "a", service, key)
            status, _, _ = get(cluster, "b", PATHS[service], Shallotyard_Key=key)
            assert status == 200
        check_invariants(cluster)


def test_reads_succeed_with_unresponsive_idle_connections():
    """Guards against reads that fail because idle connections no longer deliver data.

    If idle connections were reused without a time limit, the retry of a read would
    use another one of them and fail as well.
    """
    with run_cluster(BOTH_KEYED, work_ms=30) as cluster:
        keys = {
            name: find_key(cluster, name.partition("-")[0], upstream=name)
            for name in cluster.manifest["upstreams"]
        }
        # Reads only, because a write uses a new connection. The reads leave as many
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

        def send_read(name):
            path = PATHS[name.partition("-")[0]]
            headers = {"Shallotyard_Key": keys[name], "Shallotyard_Deadline_Ms": "8000"}
            statuses[name] = get(cluster, "a", path, **headers)[0]

        threads = [threading.Thread(target=send_read, args=(name,)) for name in keys]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert statuses == dict.fromkeys(keys, 200)
        check_invariants(cluster)


def test_keys_are_served_during_a_store_outage():
    """Guards against leases that expire during a store outage.

    The coordinators' promises to write no assignment must extend them.
    """
    with run_cluster(BOTH_KEYED, THREE_DAEMONS) as cluster:
        keys = [find_key(cluster, "bookbay", skip=n) for n in range(3)]
        cluster.set_store_faults(down=True)
        began = time.monotonic()
        number = 0
        # Three lease periods, so that leases from before the outage would have expired.
        while time.monotonic() - began < 4.5:
            for key in keys:
                number += 1
                instance = "abc"[number % 3]
                assert try_write(cluster, instance, "bookbay", key, number)
        cluster.set_store_faults(down=False)
        wait_settled(cluster)
        check_invariants(cluster)


@pytest.mark.parametrize("delay_ms", [400, 900])
def test_slow_store_keeps_leases(delay_ms):
    """Guards against leases that expire because store calls are slow.

    A lease starts when the read that renews it is sent. With a delay of 0.9 s, reads
    alone do not renew all leases in time, so promises must. The promises must not
    delay a takeover indefinitely.
    """
    with run_cluster(BOTH_KEYED) as cluster:
        key = find_key(cluster, "bookbay")
        cluster.set_store_faults(delay_ms=delay_ms)
        began = time.monotonic()
        number = 0
        while time.monotonic() - began < 3.0:
            number += 1
            assert try_write(cluster, "ab"[number % 2], "bookbay", key, number)
        cluster.group.kill("b")
        for skip in range(3):
            wait_until_served(
                cluster, "a", "bookbay", find_key(cluster, "bookbay", skip=skip)
            )
        check_invariants(cluster, "a")


def test_lost_write_replies_during_domain_out():
    """Guards against lost changes if the store applies writes without responding.

    The responses are lost while a failure domain is taken out of service.
    """
    with run_cluster(BOTH_KEYED, THREE_DAEMONS) as cluster:
        cluster.set_store_faults(lose_next_writes=4)
        load = BackgroundLoad(build_load(cluster, "abc", duration_s=4.0))
        # If the response is lost, the command reads the object to check the write.
        status, output = cluster.run_command(
            "domain", "out", "d2", f"--store={cluster.store_url}", "--wait_s=0"
        )
        report = load.join()

        def is_domain_evacuated():
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
        wait_until(is_domain_evacuated, f"all slices in d1 ({output})")
        assert report.mismatched == 0
        wait_until_served(cluster, "a", "bookbay", find_key(cluster, "bookbay"))
        check_invariants(cluster)


def test_domain_without_the_store_keeps_serving():
    """Guards against instances that stop serving because they cannot reach the store.

    They must get proofs from the instances that can reach it.
    """
    with run_cluster(BOTH_KEYED, THREE_DAEMONS) as cluster:
        cluster.set_store_faults(deny_clients=["b", "c"])
        began = time.monotonic()
        keys = [find_key(cluster, "bookbay", skip=n) for n in range(3)]
        number = 0
        while time.monotonic() - began < 4.0:
            for key in keys:
                number += 1
                instance = "abc"[number % 3]
                assert try_write(cluster, instance, "bookbay", key, number)
        cluster.set_store_faults(deny_clients=[])
        wait_settled(cluster)
        check_invariants(cluster)


def test_restarted_instance_does_not_keep_its_claims():
    """Guards against a restarted holder that uses claims of its former process.

    It must wait like any other instance. Otherwise it would send requests with old
    epochs, and run requests again whose outcomes only the witness has.
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
        held_upstreams, former_epochs = read_held_upstreams(cluster, holder)
        cluster.group.kill(holder)
        wait_until(
            lambda: is_idle(cluster, held_upstreams),
            "upstreams of the killed holder are idle",
        )
        killed_at = time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0
        cluster.start_daemon(holder, THREE_DAEMONS[holder], "warning")
        for number in range(len(keys)):
            wait_until(
                lambda n=number: send(n)[1] in ("ran", "may-have-run"),
                "verdict ran or may-have-run",
                poll_s=0.01,
            )
        wait_settled(cluster)
        assert load.join().mismatched == 0
        wait_until_served(cluster, holder, "bookbay", find_key(cluster, "bookbay"))
        old_entries = [
            entry
            for entry in read_journal(cluster)
            if entry["start"] >= killed_at
            and (entry["slice"], entry["epoch"]) in former_epochs
        ]
        assert old_entries == []
        check_invariants(cluster)


def is_idle(cluster, upstreams):
    """Return whether upstreams have finished all requests that they received."""
    stats = cluster.read_upstream_stats()["upstreams"]
    ended = ("committed", "shed", "stale", "expired", "cancelled")
    return all(
        stats[name]["requests"] == sum(stats[name][kind] for kind in ended)
        for name in upstreams
    )


def read_held_upstreams(cluster, holder):
    """Return the upstreams that an instance holds, and their (slice, epoch) pairs."""
    table = read_table(cluster)
    names = list(table["upstreams"])
    held_upstreams = {name for name in names if table["upstreams"][name][0] == holder}
    epochs = {
        (f"{service}/{number}", entry[1])
        for service, service_table in table["services"].items()
        for number, entry in enumerate(service_table["slices"])
        if names[entry[0]] in held_upstreams
    }
    return held_upstreams, epochs
