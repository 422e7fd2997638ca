"""Tests of the coordinator role."""

import pytest
from placement_builders import build_deployment

from shallotyard_core import coordinator as coordinator_module
from shallotyard_core.assignment import AssignmentTable
from shallotyard_core.coordinator import CANDIDACY_PAUSE_S
from shallotyard_core.coordinator import Coordinator
from shallotyard_core.effects import WriteStore
from shallotyard_core.events import StoreStatus
from shallotyard_core.events import StoreWriteFinished
from shallotyard_core.membership import Member
from shallotyard_core.messages import PromiseRequest
from shallotyard_core.messages import UpstreamReport
from shallotyard_core.no_change_cache import LOAD_PLAN_PERIOD_S
from shallotyard_core.no_change_cache import MAX_PLAN_GAP_S
from shallotyard_core.planner import URGENT_PAUSE_S
from shallotyard_core.planner import PlanningPauses
from shallotyard_core.planner import PlanningView
from shallotyard_core.slice_placement import FIRST_EXCLUSION_S
from shallotyard_core.slice_placement import REBALANCE_PAUSE_S
from shallotyard_core.slice_placement import ExclusionPeriod
from shallotyard_core.timing import DRIFT
from shallotyard_core.timing import OUTAGE_CAP_S
from shallotyard_core.timing import TAKEOVER_WAIT_S

DEPLOYMENT = build_deployment()


def build_coordinator(instance_id="a", domain="d1"):
    """Return the coordinator role of an instance that started at time 0."""
    own = Member(instance_id, f"{instance_id}-1", domain, "127.0.0.1:1", False, 0.0)
    return Coordinator(own, 0.0)


def plan(coordinator, table, instances, now, alive=(), reached_at=None, **view_fields):
    """Let a coordinator plan, and return its store writes.

    :param instances: failure domain by id of the live instances of the region.
    :param alive: ids of live instances that the `PlanningView` does not contain.
    :param reached_at: time of the last contact with the store, by default ``now``.
    :param view_fields: further fields of the `PlanningView`.
    """
    incarnations = {name: f"{name}-1" for name in instances}
    view = PlanningView(incarnations, dict(instances), **view_fields)
    coordinator.record_read(table.revision, "7")
    coordinator.store_reached_at = now if reached_at is None else reached_at
    effects = []
    live_ids = {*instances, *alive}
    coordinator.plan(table, DEPLOYMENT, view, live_ids.__contains__, now, effects)
    return [effect for effect in effects if isinstance(effect, WriteStore)]


def end_write_unresolved(coordinator, now):
    """End the coordinator's write with an unknown outcome."""
    coordinator.finish_write(
        StoreWriteFinished(
            now,
            "assignments/dalmacija",
            coordinator.pending_write.table.writer,
            StoreStatus.UNCLEAR,
        )
    )


def test_no_promise_while_an_unresolved_write_may_add_a_coordinator():
    """Guards against two holders of a claim.

    The added coordinator could move the claim without having made a promise.
    """
    coordinator = build_coordinator()
    table = AssignmentTable("dalmacija", revision=1, coordinators={"a": "a-1"})
    assert plan(coordinator, table, {"a": "d1", "b": "d2"}, 10.0)
    end_write_unresolved(coordinator, 10.1)
    assert coordinator.pending_write.table.coordinators == {"a": "a-1", "b": "b-1"}
    request = PromiseRequest("dalmacija", 1)
    assert not coordinator.handle_promise_request(request, table, 10.2).granted


def test_promise_includes_an_unresolved_write_that_adds_no_coordinator():
    """Guards against an outage that stops all keys because of one unresolved write."""
    coordinator = build_coordinator()
    table = AssignmentTable("dalmacija", revision=1, coordinators={"a": "a-1"})
    assert plan(coordinator, table, {"a": "d1"}, 10.0)
    end_write_unresolved(coordinator, 10.1)
    reply = coordinator.handle_promise_request(
        PromiseRequest("dalmacija", 1), table, 10.2
    )
    assert reply.granted and "u-d1-0" in reply.pending


def test_no_write_after_a_promise_until_it_has_ended():
    """Guards against a move of claims while a lease rests on the promise."""
    coordinator = build_coordinator()
    table = AssignmentTable("dalmacija", revision=1, coordinators={"a": "a-1"})
    request = PromiseRequest("dalmacija", 1)
    assert coordinator.handle_promise_request(request, table, 10.0).granted
    assert not plan(coordinator, table, {"a": "d1"}, 10.0 + TAKEOVER_WAIT_S - 0.01)
    assert plan(coordinator, table, {"a": "d1"}, 10.0 + TAKEOVER_WAIT_S)


def test_no_promise_for_an_older_revision_or_another_incarnation():
    """Guards against a lease on a revision that the coordinator has replaced."""
    coordinator = build_coordinator()
    table = AssignmentTable("dalmacija", revision=2, coordinators={"a": "a-1"})
    old = PromiseRequest("dalmacija", 1)
    assert not coordinator.handle_promise_request(old, table, 10.0).granted
    restarted = AssignmentTable("dalmacija", revision=2, coordinators={"a": "a-0"})
    request = PromiseRequest("dalmacija", 2)
    assert not coordinator.handle_promise_request(request, restarted, 10.0).granted


def test_candidate_waits_for_the_outage_cap_on_the_slowest_clock():
    """Guards against a candidate whose fast clock shortens the outage cap."""
    coordinator = build_coordinator("c", "d2")
    table = AssignmentTable("dalmacija", revision=5, coordinators={"a": "a-1"})
    assert plan(coordinator, table, {"c": "d2"}, 10.0)
    assert coordinator.pending_write.table.candidate == "c:c-1"
    assert coordinator.pending_write.table.coordinators == {"a": "a-1"}
    table = coordinator.pending_write.table
    coordinator.pending_write = None
    assert not plan(coordinator, table, {"c": "d2"}, 11.0)
    cap_s = OUTAGE_CAP_S * (1 + DRIFT) + TAKEOVER_WAIT_S
    assert not plan(coordinator, table, {"c": "d2"}, 11.0 + cap_s - 0.01)
    assert plan(coordinator, table, {"c": "d2"}, 11.0 + cap_s)
    assert coordinator.pending_write.table.coordinators == {"c": "c-1"}


def test_removed_candidacy_is_not_renewed_at_once():
    """Guards against several store writes a second during a partition.

    Instances that reach the store but no coordinator count all coordinators as lost.
    """
    coordinator = build_coordinator("c", "d2")
    coordinators = {"a": "a-1"}
    table = AssignmentTable("dalmacija", revision=5, coordinators=coordinators)
    assert plan(coordinator, table, {"c": "d2"}, 10.0)
    table = coordinator.pending_write.table
    coordinator.pending_write = None
    assert not plan(coordinator, table, {"c": "d2"}, 10.2)
    removed = AssignmentTable("dalmacija", revision=7, coordinators=coordinators)
    assert not plan(coordinator, removed, {"c": "d2"}, 10.4)
    assert not plan(coordinator, removed, {"c": "d2"}, 10.4 + CANDIDACY_PAUSE_S - 0.01)
    assert plan(coordinator, removed, {"c": "d2"}, 10.4 + CANDIDACY_PAUSE_S)
    assert coordinator.pending_write.table.candidate == "c:c-1"


def test_live_candidate_is_not_replaced():
    """Guards against two candidates that restart each other's wait without end."""
    coordinator = build_coordinator("c", "d2")
    table = AssignmentTable(
        "dalmacija", revision=5, coordinators={"a": "a-1"}, candidate="d:d-1"
    )
    assert not plan(coordinator, table, {"c": "d2"}, 10.0, alive={"d"})
    assert plan(coordinator, table, {"c": "d2"}, 10.0)


def test_no_promise_on_a_revision_with_a_candidate():
    """Guards against a lease that is still valid after the candidate's wait."""
    coordinator = build_coordinator()
    table = AssignmentTable(
        "dalmacija", revision=5, coordinators={"a": "a-1"}, candidate="d:d-1"
    )
    request = PromiseRequest("dalmacija", 5)
    assert not coordinator.handle_promise_request(request, table, 10.0).granted


def test_waiting_change_blocks_promises_while_the_store_responds():
    """Guards against a slow store during which promises always delay a takeover."""
    coordinator = build_coordinator()
    table = AssignmentTable("dalmacija", revision=1, coordinators={"a": "a-1"})
    request = PromiseRequest("dalmacija", 1)
    assert coordinator.handle_promise_request(request, table, 10.0).granted
    assert not plan(coordinator, table, {"a": "d1"}, 10.2)
    assert not coordinator.handle_promise_request(request, table, 10.25).granted
    coordinator.store_reached_at = 9.5
    assert coordinator.handle_promise_request(request, table, 10.3).granted


def test_no_write_while_the_store_does_not_respond():
    """Guards against an avoidable write whose unknown outcome suspends claims."""
    coordinator = build_coordinator()
    table = AssignmentTable("dalmacija", revision=1, coordinators={"a": "a-1"})
    assert not plan(coordinator, table, {"a": "d1"}, 10.0, reached_at=9.0)
    assert plan(coordinator, table, {"a": "d1"}, 10.0, reached_at=9.8)


def test_failed_retry_leaves_a_write_unresolved():
    """Guards against a promise while the first attempt of a write may take effect."""
    coordinator = build_coordinator()
    table = AssignmentTable("dalmacija", revision=1, coordinators={"a": "a-1"})
    assert plan(coordinator, table, {"a": "d1"}, 10.0)
    end_write_unresolved(coordinator, 10.1)
    nonce = coordinator.pending_write.table.writer
    refused = StoreWriteFinished(
        10.7, "assignments/dalmacija", nonce, StoreStatus.FAILED
    )
    assert coordinator.finish_write(refused) is None
    assert (
        coordinator.pending_write is not None
        and coordinator.pending_write.is_unresolved
    )


def test_standby_writes_when_the_leader_does_not():
    """Guards against a leader without access to the store that blocks takeovers."""
    coordinator = build_coordinator("b", "d2")
    coordinators = {"a": "a-1", "b": "b-1"}
    table = AssignmentTable("dalmacija", revision=1, coordinators=coordinators)
    live = {"a": "d1", "b": "d2"}
    assert not plan(coordinator, table, live, 10.0)
    assert not plan(coordinator, table, live, 10.9)
    assert plan(coordinator, table, live, 11.2)


def test_standby_leaves_changes_to_a_leader_that_writes():
    """Guards against coordinators whose writes conflict for every change."""
    coordinator = build_coordinator("b", "d2")
    coordinators = {"a": "a-1", "b": "b-1"}
    live = {"a": "d1", "b": "d2"}
    for revision in range(1, 6):
        table = AssignmentTable(
            "dalmacija", revision=revision, coordinators=coordinators
        )
        assert not plan(coordinator, table, live, 10.0 + 0.9 * revision)


def build_idle_coordinator(now, exclusions_by_upstream=None):
    """Return a coordinator without planned changes, its table, instances and time."""
    coordinator = build_coordinator()
    coordinator.pauses.exclusions_by_upstream.update(exclusions_by_upstream or {})
    table = AssignmentTable("dalmacija", revision=1, coordinators={"a": "a-1"})
    live = {"a": "d1", "b": "d2"}
    for _ in range(40):
        if plan(coordinator, table, live, now):
            table, coordinator.pending_write = coordinator.pending_write.table, None
        now += 0.1
    return coordinator, table, live, now


def count_plans(monkeypatch):
    """Return a list to which the arguments of each planner call are appended."""
    calls = []
    original = coordinator_module.plan_changes

    def plan_changes(*arguments):
        calls.append(arguments)
        return original(*arguments)

    monkeypatch.setattr(coordinator_module, "plan_changes", plan_changes)
    return calls


def build_reports(upstream_id, state="serving", latency_s=0.01, rate=10.0):
    """Return the report of one upstream, by upstream id."""
    each = UpstreamReport(upstream_id, state, 0, 4, latency_s, rate, holder="a")
    return {upstream_id: each}


def test_idle_coordinator_does_not_plan_again(monkeypatch):
    """Guards against an idle coordinator that repeats equal plans."""
    coordinator, table, live, now = build_idle_coordinator(10.0)
    now += REBALANCE_PAUSE_S
    plan(coordinator, table, live, now)
    calls = count_plans(monkeypatch)
    for tick in range(1, 40):
        assert not plan(coordinator, table, live, now + tick * 0.1)
    assert not calls
    plan(coordinator, table, live, now + MAX_PLAN_GAP_S)
    assert len(calls) == 1


def test_idle_coordinator_acts_on_each_urgent_input_at_once():
    """Guards against a lost instance, domain or upstream that is not replaced."""
    changes = (
        {"live": {"a": "d1"}},
        {"out_of_service_ids": frozenset({"d1"})},
        {"lost_domains": frozenset({"d1"})},
        {"reports_by_upstream": build_reports("u-d1-0", "dead")},
        {"reports_by_upstream": build_reports("u-d1-0", "draining")},
    )
    for change in changes:
        coordinator, table, live, now = build_idle_coordinator(10.0)
        view_fields = dict(change)
        live = view_fields.pop("live", live)
        assert plan(coordinator, table, live, now, **view_fields), change


def test_idle_coordinator_plans_when_a_pause_or_exclusion_ends(monkeypatch):
    """Guards against an upstream that gets no slices after its exclusion period."""
    exclusions = {"u-d1-0": ExclusionPeriod(20.0, FIRST_EXCLUSION_S)}
    coordinator, table, live, _ = build_idle_coordinator(10.0, exclusions)
    owners = {e.owner for s in table.services_by_id.values() for e in s.entries()}
    assert "u-d1-0" not in owners
    plan(coordinator, table, live, 19.0)
    calls = count_plans(monkeypatch)
    assert not plan(coordinator, table, live, 19.9)
    assert not calls
    assert plan(coordinator, table, live, 20.0)


def test_next_end_is_that_of_the_first_running_pause():
    """Guards against a plan that waits for a later pause than the first one."""
    pauses = PlanningPauses(holders_balanced_at=1.0, rebalanced_at=2.0)
    assert pauses.find_next_end(2.5) == 1.0 + REBALANCE_PAUSE_S
    assert pauses.find_next_end(3.5) == 2.0 + REBALANCE_PAUSE_S
    assert (
        PlanningPauses(last_urgent_move_at=1.0).find_next_end(1.1)
        == 1.0 + URGENT_PAUSE_S
    )
    pauses.exclusions_by_upstream["u"] = ExclusionPeriod(3.7, FIRST_EXCLUSION_S)
    assert pauses.find_next_end(3.5) == 3.7
    assert pauses.find_next_end(4.0) == float("inf")


def test_changed_loads_are_planned_after_the_load_plan_period(monkeypatch):
    """Guards against constantly changing rates that cause a plan in each tick."""
    coordinator, table, live, now = build_idle_coordinator(10.0)
    now += REBALANCE_PAUSE_S
    coordinator.no_change_cache.clear()
    plan(coordinator, table, live, now, reports_by_upstream=build_reports("u-d1-0"))
    calls = count_plans(monkeypatch)
    for tick in range(1, 10):
        changed = build_reports("u-d1-0", rate=10.0 + tick)
        plan(coordinator, table, live, now + tick * 0.1, reports_by_upstream=changed)
    assert len(calls) == 1
    assert calls[0][-1] >= now + LOAD_PLAN_PERIOD_S


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
    """Guards against one isolated failure domain that takes over all upstreams."""
    coordinator = build_coordinator("a", own_domain)
    table = AssignmentTable("dalmacija", revision=1, coordinators={"a": "a-1"})
    live = {"a": own_domain}
    assert bool(plan(coordinator, table, live, 10.0, lost_domains=lost)) != waits
    assert not waits or not plan(coordinator, table, live, 10.4, lost_domains=lost)
    assert not waits or plan(coordinator, table, live, 10.5, lost_domains=lost)
