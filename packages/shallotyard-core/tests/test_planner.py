"""Tests of the planner."""

from placement_builders import build_deployment
from placement_builders import build_view
from placement_builders import plan_until_stable

from shallotyard_core.assignment import AssignmentTable
from shallotyard_core.planner import URGENT_PAUSE_S
from shallotyard_core.planner import PlanningPauses
from shallotyard_core.planner import plan_changes
from shallotyard_core.timing import TAKEOVER_WAIT_S


def test_new_instance_takes_over_upstreams_of_its_domain():
    """Guards against an instance that holds nothing because it started last."""
    deployment = build_deployment()
    alone = plan_until_stable(
        AssignmentTable("dalmacija"), deployment, build_view({"a": "d1"})
    )
    assert set(e.holder for e in alone.upstreams_by_id.values()) == {"a"}
    both = plan_until_stable(alone, deployment, build_view({"a": "d1", "b": "d2"}))
    holders = {name: entry.holder for name, entry in both.upstreams_by_id.items()}
    assert holders == {"u-d1-0": "a", "u-d1-1": "a", "u-d2-0": "b", "u-d2-1": "b"}


def test_every_change_raises_an_epoch_by_one_per_write():
    """Guards against a release that matches an epoch without a holder."""
    deployment = build_deployment()
    before = plan_until_stable(
        AssignmentTable("dalmacija"), deployment, build_view({"a": "d1", "b": "d2"})
    )
    view = build_view({"b": "d2"}, lost_domains=frozenset({"d1"}))
    plan = plan_changes(before, deployment, view, PlanningPauses(), 1000.0)
    old = before.services_by_id["statusdesk"].slices
    new = plan.table.services_by_id["statusdesk"].slices
    for was, now in zip(old, new, strict=True):
        moved = was.owner.startswith("u-d1")
        assert now.epoch == was.epoch + moved
        assert now.owner.startswith("u-d2")
        assert not moved or now.previous_holder == "a"


def test_failure_domain_out_of_service_loses_all_slices_at_once():
    """Guards against slices that stay in a failure domain taken out of service."""
    deployment = build_deployment()
    view = build_view({"a": "d1", "b": "d2"})
    before = plan_until_stable(AssignmentTable("dalmacija"), deployment, view)
    out_of_service = build_view({"b": "d2"}, out_of_service_ids=frozenset({"d1"}))
    plan = plan_changes(before, deployment, out_of_service, PlanningPauses(), 1000.0)
    owners = {e.owner for e in plan.table.services_by_id["statusdesk"].slices}
    assert owners == {"u-d2-0", "u-d2-1"}


def test_lost_domains_never_leave_a_service_without_owners():
    """Guards against a service without owners if a domain wrongly counts as lost."""
    deployment = build_deployment(domains=("d1",))
    view = build_view({"a": "d1"})
    before = plan_until_stable(AssignmentTable("dalmacija"), deployment, view)
    lost = build_view({"a": "d1"}, lost_domains=frozenset({"d1"}))
    plan = plan_changes(before, deployment, lost, PlanningPauses(), 1000.0)
    assert not plan.changed


def test_other_moves_follow_urgent_ones_after_a_pause():
    """Guards against claims that move again before the first new holder has started.

    No instance would then be known to have all their outcome records.
    """
    deployment = build_deployment()
    before = plan_until_stable(
        AssignmentTable("dalmacija"), deployment, build_view({"a": "d1"})
    )
    pauses = PlanningPauses()
    both = {"a": "d1", "b": "d2"}
    out_of_service = build_view({"a": "d1"}, out_of_service_ids=frozenset({"u-d1-0"}))
    urgent = plan_changes(before, deployment, out_of_service, pauses, 1000.0).table
    again = plan_changes(
        urgent, deployment, build_view(both), pauses, 1000.0 + TAKEOVER_WAIT_S
    )
    assert not again.moves
    later = plan_changes(
        urgent, deployment, build_view(both), pauses, 1000.1 + URGENT_PAUSE_S
    )
    assert {move.reason for move in later.moves} == {"local-holder", "rebalance"}


def test_urgent_moves_do_not_wait_for_earlier_ones():
    """Guards against slices that stay with a second lost owner during the pause."""
    deployment = build_deployment()
    view = build_view({"a": "d1", "b": "d2"})
    before = plan_until_stable(AssignmentTable("dalmacija"), deployment, view)
    pauses = PlanningPauses()
    first = build_view({"a": "d1", "b": "d2"}, out_of_service_ids=frozenset({"u-d1-0"}))
    table = plan_changes(before, deployment, first, pauses, 1000.0).table
    second = build_view({"b": "d2"}, out_of_service_ids=frozenset({"u-d1-0", "u-d2-0"}))
    plan = plan_changes(table, deployment, second, pauses, 1000.1)
    owners = {e.owner for e in plan.table.services_by_id["statusdesk"].slices}
    assert owners == {"u-d1-1", "u-d2-1"}
    assert {e.holder for e in plan.table.upstreams_by_id.values()} == {"b"}


def test_removed_upstream_keeps_its_epoch():
    """Guards against an upstream id that is added again and restarts at epoch 1."""
    deployment = build_deployment()
    view = build_view({"a": "d1", "b": "d2"})
    table = plan_until_stable(AssignmentTable("dalmacija"), deployment, view)
    smaller = plan_until_stable(table, build_deployment(per_domain=1), view)
    removed = smaller.upstreams_by_id["u-d1-1"]
    assert (
        removed.holder == "" and removed.epoch > table.upstreams_by_id["u-d1-1"].epoch
    )
    again = plan_until_stable(smaller, deployment, view)
    assert again.upstreams_by_id["u-d1-1"].epoch > removed.epoch
