"""Tests of the metrics of an instance in direct dispatch."""

from types import SimpleNamespace

from capacity_loads import build_learned
from direct_builders import build_configuration
from direct_builders import build_settings
from direct_builders import build_upstream

from shallotyard_core.effects import LogDecision
from shallotyard_daemon.byte_counts import ByteCounts
from shallotyard_daemon.direct_metrics import DirectMetrics
from shallotyard_direct import events
from shallotyard_direct.router import DirectRouter
from shallotyard_direct.router import reduce


def render_lines(learned_limits=None, effects=()):
    """Return the metrics page, as lines, of an instance that knows two upstreams.

    :param effects: log lines that it has written.
    """
    settings = build_settings(learned_limits=learned_limits)
    router = DirectRouter.from_settings(settings, "run", 0.0, 1)
    reduce(router, events.ConfigurationReceived(0.0, build_configuration()))
    reduce(router, events.UpstreamsListed(0.0, [build_upstream("u1")]))
    router.dispatcher.placement.capacities = build_learned({"u1": 0.1, "gone": 0.1})
    pool = SimpleNamespace(closed_unanswered_count=0, repeat_count=0, buffered_bytes=0)
    calls = SimpleNamespace(pool=pool, counts={}, bytes={})
    store = SimpleNamespace(calls=calls)
    metrics = DirectMetrics(router, None, store, ByteCounts(), pool)
    for effect in effects:
        metrics.observe(effect)
    metrics.render()
    return metrics.render()[0].decode().splitlines()


def test_learned_capacity_is_shown_by_upstream():
    """Guards against upstreams that get few requests for no visible reason, and against
    lines of upstreams that have gone.
    """
    lines = render_lines(learned_limits=None)
    assert 'shallotyard_upstream_limit{upstream="u1"} 6.0' in lines
    assert 'shallotyard_upstream_speed{upstream="u1"} 1.0' in lines
    assert any(line.startswith("shallotyard_upstream_confidence{") for line in lines)
    assert not any("gone" in line for line in lines)


def test_withheld_responses_are_counted():
    """Metrics did not show responses whose status callers take for a refusal."""
    effects = [
        LogDecision("answered", str(status), {"status": status, "upstream_status": own})
        for status, own in ((502, 503), (502, 503), (502, 502), (200, 200))
    ]
    lines = render_lines(effects=effects)
    withheld = [line for line in lines if "withheld_responses_total{" in line]
    name = "shallotyard_withheld_responses_total"
    assert withheld == [f'{name}{{upstream_status="503"}} 2']


def test_static_rule_shows_no_learned_capacity():
    """Guards against values that are shown but not used."""
    lines = render_lines(learned_limits=False)
    assert not any(line.startswith("shallotyard_upstream_limit{") for line in lines)
