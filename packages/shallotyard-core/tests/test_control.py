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


def find_exit(effects):
    """Tell whether effects stop the process."""
    return any(isinstance(effect, Exit) for effect in effects)


def test_leaving_instance_stays_to_answer_that_keys_have_moved():
    """Guards against callers cut off because an ingress elsewhere knows no better."""
    router = build_router()
    router.control.deployment = build_deployment()
    router.holder.reconfigure(router.control.deployment, 0.0)
    router.leases.apply_assignment(build_table(1, {}, []), 0.0)
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
    router.leases.apply_assignment(build_table(1, {}, []), 0.0)
    reduce(router, DrainRequested(10.0))
    reduce(router, Tick(10.1))
    router.ingress.pending_by_id["q"] = SimpleNamespace(
        deadline=20.0, idempotent=False, remembered=False
    )
    assert find_exit(reduce(router, Tick(12.2)))


def test_sudden_slowness_is_planned_at_once():
    """Guards against a settled coordinator that relieves an upstream too late."""
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
    """Guards against a reader that goes through all reports for each heartbeat.

    A report that seemed younger at each hop would outlive the upstream's return.
    """
    control = build_router().control
    report = UpstreamReport("book-1", "dead", 0, 1, 0.0, 0.0, age_s=0.5, holder="r2")
    control.record_reports([report], 10.0)
    calls = []
    real = control.reports.collect_current
    monkeypatch.setattr(
        control.reports, "collect_current", lambda *a: calls.append(a) or real(*a)
    )
    for now in (10.0, 10.01, 10.04):
        reports = control.collect_reports(now)
        (news,) = control.select_reports(reports, "r3", now)
        assert news.age_s == pytest.approx(now - 9.5)
    assert len(calls) == 1
    assert control.collect_reports(10.06)
    assert len(calls) == 2
    assert not control.collect_reports(12.6)
