"""Ownership, memory and configuration while instances are cut from each other."""

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
# Longer than two leases, so that none from before a cut is left.
OUTLAST_S = 4.0


def start_load(cluster, instances, **changes):
    """Start writes and reads of few keys, so that two owners of one would meet."""
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


def send(cluster, instance, key, identity, service="bookbay", client=CLIENT):
    """Send one write; return (status, verdict)."""
    headers = {"Shallotyard_Key": key, "Idempotency_Key": identity}
    return post(cluster, instance, PATHS[service], client=client, **headers)[:2]


def wait_served(cluster, instance, service="bookbay", keys=4):
    """Wait until writes for several keys run at an instance.

    They have no Idempotency-Key: after a takeover without a complete copy, those
    with one are answered ``may-have-run`` for minutes.
    """
    for skip in range(keys):
        key = find_key(cluster, service, skip=skip)
        wait_until(
            lambda key=key: (
                post(cluster, instance, PATHS[service], Shallotyard_Key=key)[0] == 200
            ),
            f"{service} key {key} served at {instance}",
        )


def holders(cluster, region="dalmacija"):
    """Return the holders that the stored table names."""
    return {entry[0] for entry in read_table(cluster, region)["upstreams"].values()}


def wait_witness(cluster, instance):
    """Wait until the witness of an instance has all records; return its id."""

    def current():
        witness = cluster.status(instance)["witness"]
        return witness["instance"] if witness["complete"] else None

    return wait_until(current, f"a complete witness of {instance}")


def check_healed(cluster, instances=None):
    """Heal all cuts, and check that every instance serves and nothing broke."""
    assert sum(cluster.read_network_losses().values()) > 0
    cluster.heal()
    cluster.set_store_faults(deny_clients=[])
    wait_settled(cluster, instances)
    for instance in instances or cluster.daemons_by_id:
        for service in PATHS:
            wait_served(cluster, instance, service)
    check_invariants(cluster, instances)


@pytest.mark.parametrize("mode", ["silent", "reset"])
def test_domain_cut_from_the_others_but_not_from_the_store(mode):
    """Both sides can write the table and reach all upstreams: one must own a key.

    Without a pause between candidacies, the sides would write in turns for the
    whole partition; on silent shared connections they would never meet again.
    """
    with run_cluster(BOTH_KEYED, TWO_DOMAINS, network=True, work_ms=60) as cluster:
        load = start_load(cluster, "abce")
        time.sleep(0.5)
        cluster.cut("ab", "ce", mode)
        wait_until(
            lambda: holders(cluster) <= set("ab") or holders(cluster) <= set("ce"),
            "one side holds all upstreams",
        )
        inside = sorted(holders(cluster))
        for instance in inside:
            wait_served(cluster, instance)
        revision = read_table(cluster)["revision"]
        time.sleep(OUTLAST_S)
        # Neither side takes anything back, and they do not write in turns.
        assert sorted(holders(cluster)) == inside
        assert read_table(cluster)["revision"] <= revision + 4
        assert load.join().mismatched == 0
        check_healed(cluster)


def test_domain_cut_from_the_others_and_from_the_store():
    """The side without the store must stop by itself when its lease ends.

    Without that, its holders would go on beside those that took over.
    """
    with run_cluster(BOTH_KEYED, TWO_DOMAINS, network=True, work_ms=60) as cluster:
        key = find_key(cluster, "bookbay", upstream="bookbay-02")
        load = start_load(cluster, "abce", duration_s=8.0)
        time.sleep(0.5)
        cluster.set_store_faults(deny_clients=["c", "e"])
        cluster.cut("ab", "ce")
        wait_until(lambda: holders(cluster) <= set("ab"), "a and b hold all")
        for instance in "ab":
            wait_served(cluster, instance)
        assert all(cluster.status(instance)["lease_s"] < 0 for instance in "ce")
        for instance in "ce":
            assert send(cluster, instance, key, f"late-{instance}")[0] != 200
            assert count_runs(cluster, f"late-{instance}") == 0
        assert load.join().mismatched == 0
        check_healed(cluster)


def test_regions_cut_from_each_other():
    """A region without the store must go on, and get what was published later.

    Without promises of its coordinators, its leases would end.
    """
    with run_cluster(
        {"statusdesk": 4, "bookbay": 4},
        FOUR_OF_TWO_REGIONS,
        TWO_REGIONS,
        network=True,
    ) as cluster:
        keys = [f"stall-{number}" for number in range(6)]
        # A move that is being written when the cut comes suspends its claims until
        # the store is back, so the levelling after the start must be over.
        for region, pair in (("dalmacija", {"a", "b"}), ("slavonija", {"s", "t"})):
            wait_until(
                lambda region=region, pair=pair: holders(cluster, region) == pair,
                f"holders of {region} levelled",
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
            "the new manifest at a",
        )
        began = time.monotonic()
        number = 0
        while time.monotonic() - began < OUTLAST_S:
            for instance, region in (("a", "dalmacija"), ("s", "slavonija")):
                number += 1
                answer = send(
                    cluster,
                    instance,
                    keys[number // 2 % len(keys)],
                    f"alone-{number}",
                    client=f"{region}-market",
                )
                assert answer == (200, "ran"), (
                    instance,
                    time.monotonic() - began,
                    tables,
                    [cluster.status(name) for name in FOUR_OF_TWO_REGIONS],
                )
        assert cluster.status("s")["manifest_version"] == version - 1
        for region, table in tables.items():
            assert read_table(cluster, region)["upstreams"] == table["upstreams"]
        check_healed(cluster)
        for instance in FOUR_OF_TWO_REGIONS:
            assert cluster.status(instance)["manifest_version"] == version


@pytest.mark.parametrize("direction", ["from", "to"])
def test_one_way_loss_between_holder_and_witness(direction):
    """Records or their confirmations are lost, then the holder is.

    A witness whose copy is not complete must not say that it is; without that, a
    repeat at the next holder would run again.
    """
    with run_cluster(BOTH_KEYED, THREE_DAEMONS, network=True) as cluster:
        key = find_key(cluster, "bookbay", holder="a")
        cluster.cut_link("a", wait_witness(cluster, "a"), direction)
        began = time.monotonic()
        answers = {}
        while time.monotonic() - began < OUTLAST_S:
            identity = f"one-way-{len(answers)}"
            answers[identity] = send(cluster, "a", key, identity)
            send(cluster, "a", key, identity)
        cluster.group.kill("a")
        wait_until(lambda: "a" not in holders(cluster), "another holder named")
        wait_settled(cluster, "bc")
        for identity in answers:
            for instance in "bc":
                wait_until(
                    lambda i=instance, n=identity: send(cluster, i, key, n)[1],
                    "an answer",
                )
            assert count_runs(cluster, identity) <= 1
        assert (200, "ran") in answers.values()
        check_healed(cluster, "bc")


def test_cut_witness_and_killed_holder():
    """The witness is cut off when the holder dies: a repeat must not run again.

    Without the check that the copies are complete, the next holder would take an
    unknown request for a new one.
    """
    with run_cluster(BOTH_KEYED, TWO_DOMAINS, network=True) as cluster:
        held = next(name for name in "ab" if name in holders_of(cluster, "bookbay"))
        other = "b" if held == "a" else "a"
        key = find_key(cluster, "bookbay", holder=held)
        identities = [f"cut-{number}" for number in range(5)]
        for identity in identities:
            assert send(cluster, other, key, identity) == (200, "ran")
        assert wait_witness(cluster, held) in ("c", "e")
        cluster.set_store_faults(deny_clients=["c", "e"])
        cluster.cut("ab", "ce")
        cluster.group.kill(held)
        wait_until(lambda: holders(cluster) == {other}, f"{other} holds all")
        for identity in identities:
            wait_until(
                lambda n=identity: (
                    send(cluster, other, key, n)[1] in ("ran", "may-have-run")
                ),
                "an answer that does not deny the run",
            )
            assert count_runs(cluster, identity) == 1
        cluster.heal()
        cluster.set_store_faults(deny_clients=[])
        wait_settled(cluster, [other, "c", "e"])
        for identity in identities:
            for instance in (other, "c", "e"):
                send(cluster, instance, key, identity)
            assert count_runs(cluster, identity) == 1
        check_invariants(cluster, [other, "c", "e"])


def holders_of(cluster, service):
    """Return the holders of the upstreams that own slices of a service."""
    return {
        find_owner(read_table(cluster), service, CLIENT, f"stall-{number}")[1]
        for number in range(50)
    }
