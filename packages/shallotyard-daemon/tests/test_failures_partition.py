"""Tests of ownership, outcomes and configuration during network partitions."""

import json
import time

import pytest

from shallotyard_testing.load import LoadOptions
from shallotyard_testing.scenarios import CLIENT
from shallotyard_testing.scenarios import THREE_DAEMONS
from shallotyard_testing.scenarios import BackgroundLoad
from shallotyard_testing.scenarios import check_invariants
from shallotyard_testing.scenarios import count_runs
from shallotyard_testing.scenarios import find_key
from shallotyard_testing.scenarios import find_owner
from shallotyard_testing.scenarios import post
from shallotyard_testing.scenarios import read_table
from shallotyard_testing.scenarios import run_cluster
from shallotyard_testing.scenarios import wait_settled
from shallotyard_testing.scenarios import wait_until

BOTH_KEYED = {"statusdesk": 2, "bookbay": 2}
BOOKINGS = "/bookings/item"
PATHS = {"statusdesk": "/status/item", "bookbay": BOOKINGS}
TWO_DOMAINS = {"a": "d1", "b": "d1", "c": "d2", "e": "d2"}
TWO_REGIONS = {"dalmacija": ("d1", "d2"), "slavonija": ("s1", "s2")}
FOUR_OF_TWO_REGIONS = {"a": "d1", "b": "d2", "s": "s1", "t": "s2"}
# Longer than two leases, so that leases from before a partition have expired.
PARTITION_S = 4.0


def start_load(cluster, instances, **changes):
    """Start writes and reads of few keys, so that two owners would conflict."""
    addresses = [cluster.daemons_by_id[name].http_address for name in instances]
    options = {
        "addresses": tuple(addresses),
        "credential": cluster.credentials[CLIENT],
        "keyed_path": BOOKINGS,
        "unkeyed_path": PATHS["statusdesk"],
        "keyed_share": 1.0,
        "write_share": 0.5,
        "connections": 256,
        "keys": 12,
        "zipf_s": 0.0,
        "rate": 200.0,
        "duration_s": 6.0,
        "seed": 17,
    }
    return BackgroundLoad(LoadOptions(**{**options, **changes}))


def send_idempotent_write(
    cluster, instance, key, identity, service="bookbay", client=CLIENT
):
    """Send a write with an Idempotency-Key; return (status, verdict)."""
    headers = {"Shallotyard_Key": key, "Idempotency_Key": identity}
    return post(cluster, instance, PATHS[service], client=client, **headers)[:2]


def wait_until_served(cluster, instance, service="bookbay", keys=4):
    """Wait until an instance serves writes for several keys.

    The writes have no Idempotency-Key. After a takeover without a complete copy of
    the outcomes, writes with one get ``may-have-run`` for minutes.
    """
    for skip in range(keys):
        key = find_key(cluster, service, skip=skip)
        wait_until(
            lambda key=key: (
                post(cluster, instance, PATHS[service], Shallotyard_Key=key)[0] == 200
            ),
            f"{service} key {key} served at {instance}",
        )


def read_holders(cluster, region="dalmacija"):
    """Return the holders in the stored assignment table."""
    return {entry[0] for entry in read_table(cluster, region)["upstreams"].values()}


def wait_for_witness(cluster, instance):
    """Wait until the witness of an instance has all records; return its id."""

    def find_complete_witness():
        witness = cluster.status(instance)["witness"]
        return witness["instance"] if witness["complete"] else None

    return wait_until(find_complete_witness, f"a complete witness of {instance}")


def heal_and_check(cluster, instances=None):
    """End the partition; check that each instance serves and no invariant broke."""
    assert sum(cluster.read_network_losses().values()) > 0
    cluster.heal()
    cluster.set_store_faults(deny_clients=[])
    wait_settled(cluster, instances)
    for instance in instances or cluster.daemons_by_id:
        for service in PATHS:
            wait_until_served(cluster, instance, service)
    check_invariants(cluster, instances)


@pytest.mark.parametrize("mode", ["silent", "reset"])
def test_domains_partitioned_with_access_to_the_store(mode):
    """Guards against two owners of a key if both sides reach store and upstreams.

    Without a pause between candidacies, both sides would write the table in turns
    during the whole partition. If new streams used the old shared connections,
    which no longer deliver data, the sides would stay separated afterwards.
    """
    with run_cluster(BOTH_KEYED, TWO_DOMAINS, network=True, work_ms=60) as cluster:
        load = start_load(cluster, "abce")
        time.sleep(0.5)
        cluster.cut("ab", "ce", mode)
        wait_until(
            lambda: (
                read_holders(cluster) <= set("ab") or read_holders(cluster) <= set("ce")
            ),
            "one side holds all upstreams",
        )
        remaining = sorted(read_holders(cluster))
        for instance in remaining:
            wait_until_served(cluster, instance)
        revision = read_table(cluster)["revision"]
        time.sleep(PARTITION_S)
        # The holders stay the same, and the sides do not write in turns.
        assert sorted(read_holders(cluster)) == remaining
        assert read_table(cluster)["revision"] <= revision + 4
        assert load.join().mismatched == 0
        heal_and_check(cluster)


def test_domains_partitioned_and_one_without_the_store():
    """Guards against holders that serve without a lease.

    The side without the store must stop when its lease expires. Otherwise its
    holders would serve at the same time as those that took over.
    """
    with run_cluster(BOTH_KEYED, TWO_DOMAINS, network=True, work_ms=60) as cluster:
        key = find_key(cluster, "bookbay", upstream="bookbay-02")
        load = start_load(cluster, "abce", duration_s=8.0)
        time.sleep(0.5)
        cluster.set_store_faults(deny_clients=["c", "e"])
        cluster.cut("ab", "ce")
        wait_until(
            lambda: read_holders(cluster) <= set("ab"), "a and b hold all upstreams"
        )
        for instance in "ab":
            wait_until_served(cluster, instance)
        assert all(cluster.status(instance)["lease_s"] < 0 for instance in "ce")
        for instance in "ce":
            assert (
                send_idempotent_write(cluster, instance, key, f"late-{instance}")[0]
                != 200
            )
            assert count_runs(cluster, f"late-{instance}") == 0
        assert load.join().mismatched == 0
        heal_and_check(cluster)


def test_regions_partitioned():
    """Guards against a region that stops serving because it cannot reach the store.

    Promises of its coordinators must keep its leases alive. After the partition, it
    must receive the manifest that was published meanwhile.
    """
    with run_cluster(
        {"statusdesk": 4, "bookbay": 4},
        FOUR_OF_TWO_REGIONS,
        TWO_REGIONS,
        network=True,
    ) as cluster:
        keys = [f"stall-{number}" for number in range(6)]
        # If the store becomes unreachable while a move is being written, the claims
        # concerned are suspended until it is back. The rebalancing after the start
        # must therefore be complete.
        for region, instances in (("dalmacija", {"a", "b"}), ("slavonija", {"s", "t"})):
            wait_until(
                lambda region=region, instances=instances: (
                    read_holders(cluster, region) == instances
                ),
                f"upstreams of {region} balanced",
            )
        wait_settled(cluster)
        tables = {region: read_table(cluster, region) for region in TWO_REGIONS}
        cluster.cut("ab", "st")
        cluster.set_store_faults(deny_clients=["s", "t"])
        cluster.manifest["version"] += 1
        version = cluster.manifest["version"]
        path = cluster.group.directory / "second-manifest.jsonc"
        path.write_text(json.dumps(cluster.manifest))
        cluster.run_command("publish", path, f"--store={cluster.store_url}")
        wait_until(
            lambda: cluster.status("a")["manifest_version"] == version,
            "new manifest in force at a",
        )
        began = time.monotonic()
        number = 0
        while time.monotonic() - began < PARTITION_S:
            for instance, region in (("a", "dalmacija"), ("s", "slavonija")):
                number += 1
                response = send_idempotent_write(
                    cluster,
                    instance,
                    keys[number // 2 % len(keys)],
                    f"alone-{number}",
                    client=f"{region}-market",
                )
                assert response == (200, "ran"), (
                    instance,
                    time.monotonic() - began,
                    tables,
                    [cluster.status(name) for name in FOUR_OF_TWO_REGIONS],
                )
        assert cluster.status("s")["manifest_version"] == version - 1
        for region, table in tables.items():
            assert read_table(cluster, region)["upstreams"] == table["upstreams"]
        heal_and_check(cluster)
        for instance in FOUR_OF_TWO_REGIONS:
            assert cluster.status(instance)["manifest_version"] == version


@pytest.mark.parametrize("direction", ["from", "to"])
def test_one_way_loss_between_holder_and_witness(direction):
    """Guards against a witness that reports an incomplete copy as complete.

    Records or their acknowledgements are lost, then the holder is killed. If the
    next holder relied on the incomplete copy, repeated requests would run again.
    """
    with run_cluster(BOTH_KEYED, THREE_DAEMONS, network=True) as cluster:
        key = find_key(cluster, "bookbay", holder="a")
        cluster.cut_link("a", wait_for_witness(cluster, "a"), direction)
        began = time.monotonic()
        responses = {}
        while time.monotonic() - began < PARTITION_S:
            identity = f"one-way-{len(responses)}"
            responses[identity] = send_idempotent_write(cluster, "a", key, identity)
            send_idempotent_write(cluster, "a", key, identity)
        cluster.group.kill("a")
        wait_until(
            lambda: "a" not in read_holders(cluster),
            "another instance holds its upstreams",
        )
        wait_settled(cluster, "bc")
        for identity in responses:
            for instance in "bc":
                wait_until(
                    lambda i=instance, n=identity: send_idempotent_write(
                        cluster, i, key, n
                    )[1],
                    "a response",
                )
            assert count_runs(cluster, identity) <= 1
        assert (200, "ran") in responses.values()
        heal_and_check(cluster, "bc")


def test_unreachable_witness_and_killed_holder():
    """Guards against repeats that run again if holder and witness are lost together.

    The witness is unreachable when the holder is killed. The next holder must check
    that its copies are complete, or it would treat an unknown request as new.
    """
    with run_cluster(BOTH_KEYED, TWO_DOMAINS, network=True) as cluster:
        holder = next(
            name for name in "ab" if name in read_service_holders(cluster, "bookbay")
        )
        other = "b" if holder == "a" else "a"
        key = find_key(cluster, "bookbay", holder=holder)
        identities = [f"cut-{number}" for number in range(5)]
        for identity in identities:
            assert send_idempotent_write(cluster, other, key, identity) == (200, "ran")
        assert wait_for_witness(cluster, holder) in ("c", "e")
        cluster.set_store_faults(deny_clients=["c", "e"])
        cluster.cut("ab", "ce")
        cluster.group.kill(holder)
        wait_until(
            lambda: read_holders(cluster) == {other}, f"{other} holds all upstreams"
        )
        for identity in identities:
            wait_until(
                lambda n=identity: (
                    send_idempotent_write(cluster, other, key, n)[1]
                    in ("ran", "may-have-run")
                ),
                "verdict ran or may-have-run",
            )
            assert count_runs(cluster, identity) == 1
        cluster.heal()
        cluster.set_store_faults(deny_clients=[])
        wait_settled(cluster, [other, "c", "e"])
        for identity in identities:
            for instance in (other, "c", "e"):
                send_idempotent_write(cluster, instance, key, identity)
            assert count_runs(cluster, identity) == 1
        check_invariants(cluster, [other, "c", "e"])


def read_service_holders(cluster, service):
    """Return the holders of the upstreams that own slices of a service."""
    return {
        find_owner(read_table(cluster), service, CLIENT, f"stall-{number}")[1]
        for number in range(50)
    }
