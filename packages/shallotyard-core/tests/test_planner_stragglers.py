"""Tests of the planner with upstreams that are much slower than the others."""

from collections import Counter

from placement_builders import build_deployment
from placement_builders import build_view
from placement_builders import plan_until_stable

from shallotyard_core.assignment import AssignmentTable
from shallotyard_core.messages import UpstreamReport
from shallotyard_core.planner import PlanningPauses
from shallotyard_core.planner import plan_changes
from shallotyard_core.slice_placement import FIRST_EXCLUSION_S

SLOW = "u-d1-0"


class Region:
    """A region whose upstream reports follow its assignment table.

    The rate of each upstream is proportional to the slices that it owns.
    """

    def __init__(self, per_domain=2):
        self.deployment = build_deployment(per_domain=per_domain, slices=32)
        self.view = build_view({"a": "d1", "b": "d2"})
        self.table = plan_until_stable(
            AssignmentTable("dalmacija"), self.deployment, self.view
        )
        self.pauses = PlanningPauses()
        self.now = 1000.0
        self.latency_s_by_id = {name: 0.01 for name in self.deployment.upstreams_by_id}

    def count_owned(self):
        entries = self.table.services_by_id["statusdesk"].slices
        return Counter(entry.owner for entry in entries)

    def run(self, duration_s):
        """Plan once a second, and return the largest number of slices of `SLOW`."""
        most = 0
        end = self.now + duration_s
        while self.now < end:
            owned = self.count_owned()
            most = max(most, owned[SLOW])
            self.view.reports_by_upstream = {
                name: UpstreamReport(
                    name, "serving", 1, 4, latency_s, 10.0 * owned[name]
                )
                for name, latency_s in self.latency_s_by_id.items()
            }
            plan = plan_changes(
                self.table, self.deployment, self.view, self.pauses, self.now
            )
            if plan.changed:
                self.table = plan.table
                self.table.revision += 1
            self.now += 1.0
        return most


def test_straggler_loses_all_slices_within_seconds():
    """Guards against keys that stay on an upstream known to be slow."""
    region = Region()
    region.latency_s_by_id[SLOW] = 0.05
    region.run(6.0)
    assert region.count_owned()[SLOW] == 0
    assert sum(region.count_owned().values()) == 32


def test_second_straggler_need_not_wait_for_the_first():
    """Guards against keys that stay on a slow upstream until a pause is over."""
    region = Region(per_domain=8)
    region.run(3.0)
    region.latency_s_by_id[SLOW] = 0.05
    region.run(1.0)
    assert region.count_owned()[SLOW] == 0
    region.latency_s_by_id["u-d2-7"] = 0.05
    region.run(1.0)
    assert region.count_owned()["u-d2-7"] == 0


def test_stragglers_lose_a_bounded_share_in_one_pause():
    """Guards against many simultaneous moves because of wrong latencies."""
    region = Region(per_domain=8)
    region.run(3.0)
    slow_ids = [f"u-d1-{number}" for number in range(8)]
    for name in slow_ids:
        region.latency_s_by_id[name] = 0.05
    region.run(2.0)
    assert sum(region.count_owned()[name] for name in slow_ids) == 8


def test_slices_of_a_straggler_move_to_the_fastest_among_equals():
    """Guards against slices that move to the next straggler."""
    region = Region(per_domain=8)
    region.run(3.0)
    region.latency_s_by_id.update({SLOW: 0.05, "u-d1-1": 0.015})
    before = region.count_owned()["u-d1-1"]
    region.run(1.0)
    assert region.count_owned()["u-d1-1"] == before


def test_straggler_that_stays_slow_is_tried_with_one_slice():
    """Guards against a straggler that gets all its slices back for a trial."""
    region = Region()
    region.latency_s_by_id[SLOW] = 0.05
    region.run(6.0)
    assert region.run(FIRST_EXCLUSION_S + 4.0) == 1
    assert region.count_owned()[SLOW] == 0


def test_straggler_that_recovered_gets_its_share_back():
    """Guards against an upstream that stays idle because of an old latency."""
    region = Region()
    region.latency_s_by_id[SLOW] = 0.05
    region.run(6.0)
    # Without requests, the reports repeat the previous latency.
    region.run(FIRST_EXCLUSION_S - 10.0)
    region.latency_s_by_id[SLOW] = 0.01
    region.run(60.0)
    assert region.count_owned()[SLOW] == 8


def test_at_most_half_of_a_service_is_excluded():
    """Guards against a service whose upstreams all count as stragglers."""
    region = Region()
    region.latency_s_by_id.update({SLOW: 0.5, "u-d1-1": 0.5, "u-d2-0": 0.5})
    region.run(20.0)
    assert len(region.count_owned()) >= 2


def test_slow_upstream_takes_over_when_the_others_are_out_of_service():
    """Guards against a planner that finds no owner, which would end the daemon."""
    region = Region()
    region.latency_s_by_id[SLOW] = 0.05
    region.run(6.0)
    assert region.count_owned()[SLOW] <= 1
    region.view.out_of_service_ids = frozenset({"d2", "u-d1-1"})
    region.run(3.0)
    assert set(+region.count_owned()) == {SLOW}
