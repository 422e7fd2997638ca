"""Tests of the control state."""

from dataclasses import replace
from types import SimpleNamespace

import pytest
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


def has_exit(effects):
    """Tell whether a list of effects contains an `Exit`."""
    return any(isinstance(effect, Exit) for effect in effects)


def test_leaving_instance_stays_to_reply_that_keys_have_moved():
    """Guards against failed requests of an ingress that has an older assignment.

    An ingress of another region may still relay requests to the leaving holder.
    """
    router = build_router()
    router.control.deployment = build_deployment()
    router.holder.apply_deployment(router.control.deployment, 0.0)
    router.leases.apply_assignment(build_table(1, {}, []), 0.0)
    reduce(router, DrainRequested(10.0))
    assert not has_exit(reduce(router, Tick(10.1)))
    assert not has_exit(reduce(router, Tick(12.0)))
    assert has_exit(reduce(router, Tick(12.2)))


def test_instance_without_claims_stops_at_once():
    """Guards against a delayed exit of an instance that never had an assignment."""
    router = build_router()
    reduce(router, DrainRequested(10.0))
    assert has_exit(reduce(router, Tick(10.1)))


def test_new_requests_do_not_delay_the_exit():
    """Guards against a shutdown that never ends while callers send requests."""
    router = build_router()
    router.control.deployment = build_deployment()
    router.holder.apply_deployment(router.control.deployment, 0.0)
    router.leases.apply_assignment(build_table(1, {}, []), 0.0)
    reduce(router, DrainRequested(10.0))
    reduce(router, Tick(10.1))
    router.ingress.pending_by_id["q"] = SimpleNamespace(
        deadline=20.0, idempotent=False, is_deduplicated=False
    )
    assert has_exit(reduce(router, Tick(12.2)))


def test_sudden_slowdown_triggers_a_plan_at_once():
    """Guards against a cached plan that delays moving slices off a slow upstream."""
    control = build_router().control
    usual = UpstreamReport("book-1", "serving", 0, 4, 0.02, 10.0, holder="r1")
    slow = replace(usual, latency_s=0.2)
    control.record_reports([usual], 10.0)
    no_change_cache = control.coordinator.no_change_cache
    view = PlanningView({}, {}, reports_by_upstream={"book-1": usual})
    no_change_cache.record_no_change(None, None, view, PlanningPauses(), 10.0)
    view.reports_by_upstream["book-1"] = slow
    assert no_change_cache.is_unchanged(None, None, view, 10.1)
    control.record_reports([slow], 10.1)
    assert not no_change_cache.is_unchanged(None, None, view, 10.1)


def test_reports_are_collected_once_in_a_tick_and_keep_their_age(monkeypatch):
    """Guards against a reader that processes all reports for each heartbeat.

    Also guards against ages that restart when a report is relayed: the report would
    still be valid after the upstream has returned.
    """
    control = build_router().control
    report = UpstreamReport("book-1", "dead", 0, 1, 0.0, 0.0, age_s=0.5, holder="r2")
    control.record_reports([report], 10.0)
    calls = []
    original = control.reports.collect_current
    monkeypatch.setattr(
        control.reports, "collect_current", lambda *a: calls.append(a) or original(*a)
    )
    for now in (10.0, 10.01, 10.04):
        reports = control.collect_reports(now)
        (selected,) = control.select_reports(reports, "r3", now)
        assert selected.age_s == pytest.approx(now - 9.5)
    assert len(calls) == 1
    assert control.collect_reports(10.06)
    assert len(calls) == 2
    assert not control.collect_reports(12.6)
