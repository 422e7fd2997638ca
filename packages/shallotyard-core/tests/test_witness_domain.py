"""Tests of the failure domain in which a witness is selected."""

from collections import Counter

from shallotyard_core.membership import Member
from shallotyard_core.witness import WitnessSelection
from shallotyard_core.witness import select_witness


def build_member(instance_id, domain):
    """Return a live member."""
    return Member(instance_id, f"{instance_id}-1", domain, "", False, 0.0)


def test_witness_in_another_domain_replaces_one_in_the_own_domain():
    """Guards against losing a holder and its witness with one failure domain."""
    own = build_member("a", "d1")
    live = {"a": own, "b": build_member("b", "d1")}
    selected = select_witness(WitnessSelection(), own, live, {"d1", "d2"})
    assert selected.instance_id == "b"
    selection = WitnessSelection("b", "b-1", complete=True)
    live["c"] = build_member("c", "d2")
    assert select_witness(selection, own, live, {"d1", "d2"}).instance_id == "c"


def test_holders_are_distributed_over_the_witnesses():
    """Guards against one instance that is the witness of a whole region."""
    live = {
        f"{domain}-{number:02}": build_member(f"{domain}-{number:02}", domain)
        for domain in ("d1", "d2", "d3", "d4")
        for number in range(50)
    }
    counts = Counter(
        select_witness(
            WitnessSelection(), own, live, {"d1", "d2", "d3", "d4"}
        ).instance_id
        for own in live.values()
    )
    # With 200 holders assigned at random to 200 witnesses, more than 8 is unlikely.
    assert max(counts.values()) <= 8
    assert all(
        select_witness(WitnessSelection(), own, live, {"d1", "d2", "d3", "d4"}).domain
        != own.domain
        for own in live.values()
    )
