"""Tests of the latencies that a holder observes at an upstream."""

import pytest
import region_builders as builders

from shallotyard_core.held_upstreams import HeldUpstream


def build_held_upstream(latency_s=0.02):
    """Return a held upstream with a history of responses of equal latency."""
    deployment = builders.build_deployment()
    upstream = deployment.upstreams_by_id["book-1"]
    service = deployment.services_by_id["book"]
    held_upstream = HeldUpstream.from_config(upstream, service, 0.0)
    for number in range(30):
        held_upstream.record_latency(latency_s, 0.1 * number)
    return held_upstream


def test_upstream_is_reported_after_three_slow_responses():
    """Guards against slices that stay at a slow upstream for ten more responses."""
    held_upstream = build_held_upstream()
    sent_at_s = (10.0, 10.05, 10.15)
    results = [held_upstream.record_latency(0.1, sent_at) for sent_at in sent_at_s]
    assert results == [False, False, True]
    held_upstream.apply_slow_run()
    assert held_upstream.build_report(11.0).latency_s == pytest.approx(0.1)
    assert not held_upstream.record_latency(0.1, 10.3)


def test_upstream_is_not_reported_after_one_pause():
    """Guards against an upstream that loses its slices after one process pause."""
    held_upstream = build_held_upstream()
    assert not any(
        held_upstream.record_latency(0.2, 10.0 + 0.01 * number) for number in range(8)
    )
    assert not held_upstream.record_latency(0.02, 10.3)
    assert held_upstream.slow_run is None


def test_normal_response_ends_a_slow_run():
    """Guards against counting slow responses with normal ones in between."""
    held_upstream = build_held_upstream()
    for number in range(6):
        assert not held_upstream.record_latency(0.1, 10.0 + number)
        assert not held_upstream.record_latency(0.1, 10.2 + number)
        assert not held_upstream.record_latency(0.02, 10.4 + number)


def test_upstream_is_not_reported_for_scheduling_delays():
    """Guards against moving slices off a fast upstream because of scheduling jitter."""
    held_upstream = build_held_upstream(latency_s=0.002)
    assert not any(
        held_upstream.record_latency(0.03, 10.0 + 0.1 * number) for number in range(8)
    )


def test_upstream_with_constantly_high_latency_is_not_reported():
    """Guards against repeated reports of an upstream with long requests."""
    held_upstream = build_held_upstream(latency_s=0.2)
    assert not any(
        held_upstream.record_latency(0.3, 10.0 + number) for number in range(8)
    )


def test_one_pause_of_a_second_does_not_triple_the_average():
    """Guards against an upstream that loses its slices after a single response."""
    held_upstream = build_held_upstream()
    held_upstream.record_latency(1.0, 10.0)
    assert held_upstream.latency_s < 0.03
