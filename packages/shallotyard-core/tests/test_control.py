"""Tests of the control state."""

from dataclasses import replace
from types import SimpleNamespace

from region_builders import build_deployment
from region_builders import build_router
from region_builders import build_table

from shallotyard_core.effects import Exit
from shallotyard_core.events import DrainRequested
from shallotyard_core.events import Tick
from shallotyard_core.messages import UpstreamReport
from shallotyard_core.planner import PlanningPauses
from shallotyard_core.planner import PlanningView
from shallotyard_core.reducer import reduce


def find_exit(effects):
    """Tell whether effects stop the process."""
    return any(isinstance(effect, Exit) for effect in effects)


def test_leaving_instance_stays_to_answer_that_keys_have_moved():
    """Guards against callers cut off because an entry elsewhere knows no better."""
    router = build_router()
    router.control.deployment = build_deployment()
    router.holder.reconfigure(router.control.deployment, 0.0)
    router.leases.adopt(build_table(1, {}, []), 0.0)
    reduce(router, DrainRequested(10.0))
    assert not find_exit(reduce(router, Tick(10.1)))
    assert not find_exit(reduce(router, Tick(12.0)))
    assert find_exit(reduce(router, Tick(12.2)))


def test_instance_that_never_held_anything_stops_at_once():
    """Guards against a shutdown that waits although nothing was ever assigned."""
    router = build_router()
    reduce(router, DrainRequested(10.0))
    assert find_exit(reduce(router, Tick(10.1)))


def test_new_requests_do_not_put_off_the_exit():
    """Guards against a shutdown that never ends while callers go on sending."""
    router = build_router()
    router.control.deployment = build_deployment()
    router.holder.reconfigure(router.control.deployment, 0.0)
    router.leases.adopt(build_table(1, {}, []), 0.0)
    reduce(router, DrainRequested(10.0))
    reduce(router, Tick(10.1))
    router.entry.pending_by_id["q"] = SimpleNamespace(
        deadline=20.0, idempotent=False, remembered=False
    )
    assert find_exit(reduce(router, Tick(12.2)))


def test_sudden_slowness_is_planned_at_once():
    """Guards against a settled steward that waits before it relieves an upstream."""
    control = build_router().control
    usual = UpstreamReport("book-1", "serving", 0, 4, 0.02, 10.0, holder="r1")
    slow = replace(usual, latency_s=0.2)
    control.take_reports([usual], 10.0)
    memo = control.steward.memo
    view = PlanningView({}, {}, reports_by_upstream={"book-1": usual})
    memo.settle(None, None, view, PlanningPauses(), 10.0)
    view.reports_by_upstream["book-1"] = slow
    assert memo.is_settled(None, None, view, 10.1)
    control.take_reports([slow], 10.1)
    assert not memo.is_settled(None, None, view, 10.1)
