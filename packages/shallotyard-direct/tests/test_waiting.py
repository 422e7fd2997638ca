"""Tests of the queue with simulated load."""

import random

from load_simulation import MEAN_PROCESSING_S
from load_simulation import QUEUE_AND_SLOTS
from load_simulation import SLOTS
from load_simulation import UPSTREAMS
from load_simulation import LoadSimulation

from shallotyard_direct.waiting import choose_retry_after


def test_every_request_is_answered_under_overload():
    """At twice the capacity, callers waited until their deadline."""
    simulation = LoadSimulation(1)
    simulation.run(rate=320, seconds=6)
    assert simulation.results.keys() == simulation.arrived.keys()
    refused = [r for r in simulation.results.values() if r[0] != 200]
    assert refused
    assert all(status == 503 for status, _ in refused)
    # Requests are refused within half of the target latency, plus a tick.
    assert max(latency_s for _, latency_s in refused) <= 0.25 + 0.1


def test_upstreams_are_never_filled_beyond_their_queue():
    """An upstream stopped responding because its queue was full."""
    simulation = LoadSimulation(2)
    simulation.run(rate=600, seconds=4)
    assert simulation.max_at_upstream <= QUEUE_AND_SLOTS


def test_overload_uses_full_capacity():
    """Slots were idle while callers were refused."""
    simulation = LoadSimulation(3)
    simulation.run(rate=320, seconds=6)
    served = sum(status == 200 for status, _ in simulation.results.values())
    capacity = UPSTREAMS * SLOTS / MEAN_PROCESSING_S * 6
    assert served >= 0.9 * capacity


def test_urgent_requests_go_first():
    """Requests of low priority starved those of the highest priority."""
    simulation = LoadSimulation(4)
    simulation.run(rate=320, seconds=6, invoice_fraction=0.2)
    assert simulation.compute_success_ratio("invoice", 0.5) >= 0.95
    assert simulation.compute_success_ratio("lookup", 0.5) >= 0.3


def test_moderate_load_is_served_within_target_latency():
    """Requests waited although upstreams had room."""
    simulation = LoadSimulation(5)
    simulation.run(rate=80, seconds=6)
    assert simulation.compute_success_ratio("", 0.5) >= 0.99


def test_retry_times_are_spread():
    """All refused callers retried at the same moment."""
    rng = random.Random(1)
    times = {round(choose_retry_after(0.5, rng), 3) for _ in range(20)}
    assert len(times) > 10
    assert all(0.5 <= time <= 0.75 for time in times)
