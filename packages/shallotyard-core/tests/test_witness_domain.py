"""Tests of the failure domain in which a witness is chosen."""

from shallotyard_core.membership import Member
from shallotyard_core.witness import WitnessChoice
from shallotyard_core.witness import choose_witness


def build_member(instance_id, domain):
    """Return a live member."""
    return Member(instance_id, f"{instance_id}-1", domain, "", False, 0.0)


def test_witness_leaves_the_own_domain_when_another_returns():
    """A domain that is lost must not take a holder and its witness with it."""
    own = build_member("a", "d1")
    live = {"a": own, "b": build_member("b", "d1")}
    chosen = choose_witness(WitnessChoice(), own, live, {"d1", "d2"})
    assert chosen.instance_id == "b"
    choice = WitnessChoice("b", "b-1", complete=True)
    live["c"] = build_member("c", "d2")
    assert choose_witness(choice, own, live, {"d1", "d2"}).instance_id == "c"
