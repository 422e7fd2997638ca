import random
from collections import Counter

import pytest

from shallotyard_core.selection import FIRST_SLOW_EJECTION_S
from shallotyard_core.selection import MIN_HEDGE_DELAY_S
from shallotyard_core.selection import Selector

IDS = tuple("abcdef")


class Fleet:
    """Simulated upstreams that are called sequentially; latencies vary by 10 %.

    With equal latencies, rounding errors would decide every comparison.
    """

    def __init__(self, ids=IDS, seed=1):
        self.ids = ids
        self.selector = Selector()
        self.rng = random.Random(seed)
        self.now = 0.0
        self.latency_s_by_id = {}
        self.failing = set()

    def select(self, ids=None, exclude=()):
        return self.selector.select(
            "service", ids or self.ids, self.rng, self.now, exclude
        )

    def run_requests(self, count, ids=None):
        chosen = Counter()
        for _ in range(count):
            upstream_id = self.select(ids)
            latency_s = self.latency_s_by_id.get(upstream_id, 0.01)
            latency_s *= self.rng.uniform(0.9, 1.1)
            self.selector.record_start(upstream_id)
            self.now += 0.001
            self.selector.record_finish(
                upstream_id, self.now, latency_s, upstream_id not in self.failing
            )
            chosen[upstream_id] += 1
        return chosen

    def find_ejected(self):
        return {i for i in self.ids if self.selector.is_ejected(i, self.now)}


def test_slow_upstream_gets_few_requests_and_recovers():
    """Guards against queueing at a slow upstream, and avoiding it permanently."""
    fleet = Fleet()
    fleet.latency_s_by_id["a"] = 0.025
    assert fleet.run_requests(2000)["a"] < 40
    assert not fleet.find_ejected()
    del fleet.latency_s_by_id["a"]
    fleet.run_requests(20_000)
    assert fleet.run_requests(2000)["a"] > 150


def test_requests_in_flight_reduce_selection():
    """Guards against sending everything to the fastest upstream at once."""
    fleet = Fleet(ids=("a", "b"))
    fleet.run_requests(50)
    for _ in range(20):
        fleet.selector.record_start(fleet.select())
    fleet.selector.record_cancellation("a")
    counts = [fleet.selector._upstreams_by_id[i].in_flight for i in fleet.ids]
    assert min(counts) >= 8


def test_unmeasured_upstream_is_probed_with_one_request():
    """Guards against ignoring or overloading a new upstream."""
    fleet = Fleet()
    fleet.run_requests(200, ids=IDS[:5])
    started = Counter()
    for _ in range(50):
        upstream_id = fleet.select()
        fleet.selector.record_start(upstream_id)
        started[upstream_id] += 1
    assert started["f"] == 1


@pytest.mark.parametrize("latency_s", [0.0001, 0.5])
def test_failing_upstream_is_ejected_and_probed_again(latency_s):
    """Guards against preferring an upstream that fails fast, and permanent ejection."""
    fleet = Fleet()
    fleet.failing = {"a"}
    fleet.latency_s_by_id["a"] = latency_s
    while not fleet.find_ejected():
        fleet.run_requests(1)
    first_s = fleet.selector._upstreams_by_id["a"].ejection_duration_s
    assert fleet.run_requests(1000)["a"] == 0
    fleet.now += first_s
    assert fleet.run_requests(200)["a"] == 1
    assert fleet.selector._upstreams_by_id["a"].ejection_duration_s == 2 * first_s
    fleet.now += 2 * first_s
    fleet.failing.clear()
    fleet.latency_s_by_id.clear()
    assert fleet.run_requests(2000)["a"] > 150


def test_latency_outlier_is_ejected():
    """Guards against permanent hedging because of one very slow upstream."""
    fleet = Fleet()
    fleet.run_requests(100)
    for _ in range(30):
        fleet.selector.record_start("a")
        fleet.selector.record_finish("a", fleet.now, 0.2, True)
    assert fleet.find_ejected() == {"a"}


def test_two_slow_responses_in_a_row_eject_an_upstream():
    """Guards against many slow requests before a slow upstream is ejected.

    The smoothed latency alone would need about six.
    """
    fleet = Fleet()
    fleet.run_requests(3000)
    for _ in range(2):
        assert not fleet.find_ejected()
        fleet.selector.record_start("a")
        fleet.selector.record_finish("a", fleet.now, 0.05, True)
    assert fleet.find_ejected() == {"a"}
    fleet.now += FIRST_SLOW_EJECTION_S - 0.1
    assert fleet.find_ejected() == {"a"}


def test_at_most_half_of_the_upstreams_are_ejected():
    """Guards against sending the load of a service to a few upstreams."""
    fleet = Fleet()
    fleet.failing = set(IDS)
    fleet.run_requests(2000)
    assert len(fleet.find_ejected()) == 3
    ejected = tuple(sorted(fleet.find_ejected()))
    chosen = {fleet.select(ids=ejected) for _ in range(100)}
    assert len(chosen) == 2


def test_ejected_upstream_is_used_if_others_are_excluded():
    """Guards against a retry that finds no upstream, or uses an excluded one."""
    fleet = Fleet()
    fleet.failing = {"a"}
    while not fleet.find_ejected():
        fleet.run_requests(1)
    assert fleet.select(exclude=IDS[1:]) == "a"
    assert fleet.select(exclude=IDS) is None
    assert fleet.selector.select("service", (), fleet.rng, 0) is None


def test_list_of_candidates_is_not_cached():
    """Guards against a stale cached result for a list that was changed in place."""
    fleet = Fleet()
    fleet.failing = {"a"}
    while not fleet.find_ejected():
        fleet.run_requests(1)
    candidates = list(IDS)
    fleet.select(ids=candidates)
    candidates[:] = ["e"]
    assert fleet.select(ids=candidates) == "e"


def test_hedge_delay_is_95th_percentile():
    """Guards against hedging on too little data or too early."""
    selector = Selector()
    assert selector.get_hedge_delay_s("service") is None
    selector.select("service", ("a",), random.Random(1), 0)
    for number in range(1, 50):
        selector.record_finish("a", 0, number / 1000, True)
    assert selector.get_hedge_delay_s("service") is None
    selector.record_finish("a", 0, 0.050, True)
    assert selector.get_hedge_delay_s("service") == 0.048
    for _ in range(1000):
        selector.record_finish("a", 0, 0.0001, True)
    assert selector.get_hedge_delay_s("service") == MIN_HEDGE_DELAY_S


def test_statistics_of_removed_upstreams_are_deleted():
    """Guards against a median, or stored statistics, of removed upstreams."""
    fleet = Fleet()
    fleet.failing = {"a"}
    while not fleet.find_ejected():
        fleet.run_requests(1)
    fleet.selector.retain(["b", "c"])
    assert set(fleet.selector._upstreams_by_id) == {"b", "c"}
    assert not fleet.find_ejected()
    assert fleet.run_requests(100, ids=("b", "c")).total() == 100


def test_upstream_that_loses_to_a_hedge_is_ejected_at_once():
    """Guards against a slow upstream that is not detected because hedges win."""
    fleet = Fleet()
    fleet.run_requests(200)
    fleet.selector.record_start("a")
    fleet.selector.record_hedge_loss("a", fleet.now, 0.03)
    assert fleet.selector.is_ejected("a", fleet.now)
    fleet.selector.record_start("b")
    fleet.selector.record_hedge_loss("b", fleet.now, 0.011)
    assert not fleet.selector.is_ejected("b", fleet.now)


def test_reported_slow_upstream_stays_ejected_while_it_is_slow():
    """Guards against ingress instances that each send a slow upstream a request."""
    fleet = Fleet()
    fleet.run_requests(50)
    fleet.selector.eject_reported("service", ["a"], fleet.now)
    assert fleet.selector.is_ejected("a", fleet.now)
    later = fleet.now + FIRST_SLOW_EJECTION_S - 1.0
    fleet.selector.eject_reported("service", ["a"], later)
    assert fleet.selector.is_ejected("a", later + FIRST_SLOW_EJECTION_S - 1.0)


def test_reports_never_eject_more_than_half_of_a_service():
    """Guards against reports that leave a service without upstreams."""
    fleet = Fleet()
    fleet.run_requests(50)
    fleet.selector.eject_reported("service", IDS, fleet.now)
    ejected = [name for name in IDS if fleet.selector.is_ejected(name, fleet.now)]
    assert len(ejected) == len(IDS) // 2
