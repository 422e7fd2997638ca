"""Tests of the counters of client accounts."""

from types import SimpleNamespace

from direct_builders import build_settings

from shallotyard_core.effects import LogDecision
from shallotyard_daemon import direct_metrics
from shallotyard_daemon.byte_counts import ByteCounts
from shallotyard_daemon.direct_metrics import DirectMetrics
from shallotyard_direct.router import DirectRouter

POOL = SimpleNamespace(closed_unanswered_count=0, repeat_count=0, buffered_bytes=0)
STORE = SimpleNamespace(calls=SimpleNamespace(pool=POOL, counts={}, bytes={}))


def build_metrics():
    """Return the metrics of an instance without I/O."""
    router = DirectRouter.from_settings(build_settings(), "run-1", 0.0, 1)
    return DirectMetrics(router, None, STORE, ByteCounts(), POOL)


def list_counters(metrics):
    """Return the lines of the counters of accounts."""
    lines = metrics.render()[0].decode().splitlines()
    prefix = "shallotyard_account_requests_total{"
    return sorted(line.removeprefix(prefix) for line in lines if prefix in line)


def observe(metrics, decision, reason, **fields):
    """Let a decision be counted."""
    metrics.observe(LogDecision(decision, reason, {"total_ms": 9} | fields))


def test_results_are_counted_by_account():
    """Guards against requests that are counted twice, for no account or as served."""
    metrics = build_metrics()
    observe(metrics, "answered", "200", account="a1")
    observe(metrics, "relayed", "200", account="a1")
    observe(metrics, "refused", "saturated", account="a1")
    observe(metrics, "refused", "unauthorized", account="")
    # The instance at which these arrived counts them.
    observe(metrics, "answered", "200", account="a1", relayed_from="front-2")
    observe(metrics, "answered", "200")
    assert list_counters(metrics) == [
        'account="a1",result="saturated"} 1',
        'account="a1",result="served"} 2',
        'account="none",result="unauthorized"} 1',
    ]


def test_labels_of_accounts_are_bounded():
    """Guards against a metrics page that grows with the number of accounts."""
    metrics = build_metrics()
    for number in range(direct_metrics.MAX_ACCOUNTS + 50):
        for _ in range(2):
            observe(metrics, "answered", "200", account=f"a{number}")
    lines = list_counters(metrics)
    assert len(lines) == direct_metrics.MAX_ACCOUNTS + 1
    assert 'account="other",result="served"} 100' in lines
