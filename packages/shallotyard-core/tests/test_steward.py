"""Tests of the steward role."""

import pytest
from placement_builders import build_deployment

from shallotyard_core.assignment import AssignmentTable
from shallotyard_core.effects import WriteStore
from shallotyard_core.events import StoreStatus
from shallotyard_core.events import StoreWriteFinished
from shallotyard_core.membership import Member
from shallotyard_core.messages import PromiseRequest
from shallotyard_core.planner import PlanningView
from shallotyard_core.steward import CANDIDACY_PAUSE_S
from shallotyard_core.steward import Steward
from shallotyard_core.timing import DRIFT
from shallotyard_core.timing import OUTAGE_CAP_S
from shallotyard_core.timing import TAKEOVER_WAIT_S

DEPLOYMENT = build_deployment()


def build_steward(instance_id="a", domain="d1"):
    """Return the steward role of an instance that started at time 0."""
    own = Member(instance_id, f"{instance_id}-1", domain, "127.0.0.1:1", False, 0.0)
    return Steward(own, 0.0)


def plan(steward, table, instances, now, alive=(), reached_at=None, lost=()):
    """Let a steward plan with the given live instances and return its effects."""
    incarnations = {name: f"{name}-1" for name in instances}
    view = PlanningView(incarnations, dict(instances), lost_domains=frozenset(lost))
    steward.note_read(table.revision, "7")
    steward.store_reached_at = now if reached_at is None else reached_at
    out = []
    known = {*instances, *alive}
    steward.plan(table, DEPLOYMENT, view, known.__contains__, now, out)
    return [effect for effect in out if isinstance(effect, WriteStore)]


def fail_unclear(steward, now):
    """End the steward's write without an outcome."""
    steward.finish_write(
        StoreWriteFinished(
            now,
            "assignments/dalmacija",
            steward.write.table.writer,
            StoreStatus.UNCLEAR,
        )
    )


def test_no_promise_while_an_unclear_write_may_have_added_a_steward():
    """Guards against two holders when the added steward moves a claim unasked."""
    steward = build_steward()
    table = AssignmentTable("dalmacija", revision=1, stewards={"a": "a-1"})
    assert plan(steward, table, {"a": "d1", "b": "d2"}, 10.0)
    fail_unclear(steward, 10.1)
    assert steward.write.table.stewards == {"a": "a-1", "b": "b-1"}
    request = PromiseRequest("dalmacija", 1)
    assert not steward.handle_promise(request, table, 10.2).granted


def test_promise_names_an_unclear_write_that_adds_no_steward():
    """Guards against an outage that stops all keys because one write is unclear."""
    steward = build_steward()
    table = AssignmentTable("dalmacija", revision=1, stewards={"a": "a-1"})
    assert plan(steward, table, {"a": "d1"}, 10.0)
    fail_unclear(steward, 10.1)
    reply = steward.handle_promise(PromiseRequest("dalmacija", 1), table, 10.2)
    assert reply.granted and "u-d1-0" in reply.pending


def test_no_write_after_a_promise_until_it_has_ended():
    """Guards against a move during a lease that rests on the promise."""
    steward = build_steward()
    table = AssignmentTable("dalmacija", revision=1, stewards={"a": "a-1"})
    request = PromiseRequest("dalmacija", 1)
    assert steward.handle_promise(request, table, 10.0).granted
    assert not plan(steward, table, {"a": "d1"}, 10.0 + TAKEOVER_WAIT_S - 0.01)
    assert plan(steward, table, {"a": "d1"}, 10.0 + TAKEOVER_WAIT_S)


def test_no_promise_for_an_older_or_foreign_revision():
    """Guards against a lease on a revision that the steward has replaced."""
    steward = build_steward()
    table = AssignmentTable("dalmacija", revision=2, stewards={"a": "a-1"})
    old = PromiseRequest("dalmacija", 1)
    assert not steward.handle_promise(old, table, 10.0).granted
    restarted = AssignmentTable("dalmacija", revision=2, stewards={"a": "a-0"})
    request = PromiseRequest("dalmacija", 2)
    assert not steward.handle_promise(request, restarted, 10.0).granted


def test_candidate_waits_for_the_outage_cap_on_the_slowest_clock():
    """Guards against a candidate on a fast clock that cuts the cap short."""
    steward = build_steward("c", "d2")
    table = AssignmentTable("dalmacija", revision=5, stewards={"a": "a-1"})
    assert plan(steward, table, {"c": "d2"}, 10.0)
    assert steward.write.table.candidate == "c:c-1"
    assert steward.write.table.stewards == {"a": "a-1"}
    table = steward.write.table
    steward.write = None
    assert not plan(steward, table, {"c": "d2"}, 11.0)
    cap_s = OUTAGE_CAP_S * (1 + DRIFT) + TAKEOVER_WAIT_S
    assert not plan(steward, table, {"c": "d2"}, 11.0 + cap_s - 0.01)
    assert plan(steward, table, {"c": "d2"}, 11.0 + cap_s)
    assert steward.write.table.stewards == {"c": "c-1"}


def test_candidacy_that_a_steward_removed_is_not_renewed_at_once():
    """Guards against several store writes a second during a partition.

    Instances cut from the stewards but not from the store see them as lost.
    """
    steward = build_steward("c", "d2")
    stewards = {"a": "a-1"}
    table = AssignmentTable("dalmacija", revision=5, stewards=stewards)
    assert plan(steward, table, {"c": "d2"}, 10.0)
    table = steward.write.table
    steward.write = None
    assert not plan(steward, table, {"c": "d2"}, 10.2)
    removed = AssignmentTable("dalmacija", revision=7, stewards=stewards)
    assert not plan(steward, removed, {"c": "d2"}, 10.4)
    assert not plan(steward, removed, {"c": "d2"}, 10.4 + CANDIDACY_PAUSE_S - 0.01)
    assert plan(steward, removed, {"c": "d2"}, 10.4 + CANDIDACY_PAUSE_S)
    assert steward.write.table.candidate == "c:c-1"


def test_live_candidate_is_not_replaced():
    """Guards against two candidates that restart each other's wait for ever."""
    steward = build_steward("c", "d2")
    table = AssignmentTable(
        "dalmacija", revision=5, stewards={"a": "a-1"}, candidate="d:d-1"
    )
    assert not plan(steward, table, {"c": "d2"}, 10.0, alive={"d"})
    assert plan(steward, table, {"c": "d2"}, 10.0)


def test_no_promise_on_a_revision_with_a_candidate():
    """Guards against a lease that outlives the candidate's wait."""
    steward = build_steward()
    table = AssignmentTable(
        "dalmacija", revision=5, stewards={"a": "a-1"}, candidate="d:d-1"
    )
    request = PromiseRequest("dalmacija", 5)
    assert not steward.handle_promise(request, table, 10.0).granted


def test_waiting_change_ends_promises_while_the_store_answers():
    """Guards against a slow store whose promises put off a takeover for ever."""
    steward = build_steward()
    table = AssignmentTable("dalmacija", revision=1, stewards={"a": "a-1"})
    request = PromiseRequest("dalmacija", 1)
    assert steward.handle_promise(request, table, 10.0).granted
    assert not plan(steward, table, {"a": "d1"}, 10.2)
    assert not steward.handle_promise(request, table, 10.25).granted
    steward.store_reached_at = 9.5
    assert steward.handle_promise(request, table, 10.3).granted


def test_no_write_while_the_store_does_not_answer():
    """Guards against a needless write whose unknown outcome suspends claims."""
    steward = build_steward()
    table = AssignmentTable("dalmacija", revision=1, stewards={"a": "a-1"})
    assert not plan(steward, table, {"a": "d1"}, 10.0, reached_at=9.0)
    assert plan(steward, table, {"a": "d1"}, 10.0, reached_at=9.8)


def test_refused_repeat_leaves_an_unclear_write_unclear():
    """Guards against a promise while the first try of a write may take effect."""
    steward = build_steward()
    table = AssignmentTable("dalmacija", revision=1, stewards={"a": "a-1"})
    assert plan(steward, table, {"a": "d1"}, 10.0)
    fail_unclear(steward, 10.1)
    nonce = steward.write.table.writer
    refused = StoreWriteFinished(
        10.7, "assignments/dalmacija", nonce, StoreStatus.FAILED
    )
    assert steward.finish_write(refused) is None
    assert steward.write is not None and steward.write.unclear


def test_deputy_acts_when_the_leading_steward_does_not():
    """Guards against takeovers blocked by a leader that cannot reach the store."""
    steward = build_steward("b", "d2")
    stewards = {"a": "a-1", "b": "b-1"}
    table = AssignmentTable("dalmacija", revision=1, stewards=stewards)
    live = {"a": "d1", "b": "d2"}
    assert not plan(steward, table, live, 10.0)
    assert not plan(steward, table, live, 10.9)
    assert plan(steward, table, live, 11.2)


def test_deputy_leaves_changes_to_a_leader_that_writes():
    """Guards against stewards that race each other for every change."""
    steward = build_steward("b", "d2")
    stewards = {"a": "a-1", "b": "b-1"}
    live = {"a": "d1", "b": "d2"}
    for revision in range(1, 6):
        table = AssignmentTable("dalmacija", revision=revision, stewards=stewards)
        assert not plan(steward, table, live, 10.0 + 0.9 * revision)


@pytest.mark.parametrize(
    ("own_domain", "lost", "waits"),
    [
        ("d1", {"d2", "d3"}, True),
        ("d2", {"d1"}, True),
        ("d1", {"d2"}, False),
        ("d1", set(), False),
    ],
)
def test_smaller_side_of_a_partition_writes_later(own_domain, lost, waits):
    """Guards against one cut-off failure domain that takes over all upstreams."""
    steward = build_steward("a", own_domain)
    table = AssignmentTable("dalmacija", revision=1, stewards={"a": "a-1"})
    live = {"a": own_domain}
    assert bool(plan(steward, table, live, 10.0, lost=lost)) != waits
    assert not waits or not plan(steward, table, live, 10.4, lost=lost)
    assert not waits or plan(steward, table, live, 10.5, lost=lost)
