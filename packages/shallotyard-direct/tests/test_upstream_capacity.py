"""Tests of the learned capacity of upstreams, compared with the static rule."""

import statistics

import pytest
from capacity_loads import EQUAL_SPEEDS
from capacity_loads import STEPPED_ID
from capacity_loads import build_attempt
from capacity_loads import build_learned
from capacity_loads import build_taught_fleet
from capacity_loads import play_both

from shallotyard_direct.model import LoadReport
from shallotyard_direct.upstreams.capacity import UpstreamCapacity
from shallotyard_direct.upstreams.capacity import build_sample
from shallotyard_direct.upstreams.capacity import compute_limit
from shallotyard_direct.upstreams.shared_capacity import FleetCapacities
from shallotyard_direct.upstreams.shared_capacity import build_report

SEEDS = (1, 2, 3)


def play_means(**load):
    """Return the mean share in target with the static rule and with the learned one."""
    pairs = [play_both(seed, **load) for seed in SEEDS]
    rules = zip(*pairs, strict=True)
    return tuple(statistics.mean(r.in_target for r in rule) for rule in rules)


def test_mixed_speeds_fill_the_queues_of_slow_upstreams():
    """With speeds of 0.7, 0.7 and 1.6, the static rule kept slow upstreams as full as
    fast ones: a tenth of the callers was late, and some got no answer.
    """
    pairs = [play_both(seed, speeds=(0.7, 0.7, 1.6), load=0.8) for seed in SEEDS]
    for static, learned in pairs:
        assert learned.in_target >= static.in_target + 0.02
        assert learned.timeouts <= static.timeouts


def test_equal_upstreams_are_told_apart_by_chance():
    """Instances that take chance for speed all prefer the same upstreams."""
    static, learned = play_means(speeds=EQUAL_SPEEDS, load=0.7)
    assert learned >= static - 0.01


def test_work_beyond_the_knee_is_taken_for_a_slow_upstream():
    """Work that takes longer with more than half of the slots in use moved the
    estimates with the load, so that instances left upstreams as good as others.
    """
    static, learned = play_means(speeds=EQUAL_SPEEDS, knee=1.5, load=0.55)
    assert learned >= static - 0.02


def test_busy_machines_are_taken_for_slow_upstreams():
    """A fifth of the machines three times slower for 0.4 s at a time must not move the
    estimates.
    """
    static, learned = play_means(noise=0.2, load=0.45)
    assert learned >= static - 0.015


@pytest.mark.parametrize("seed", SEEDS)
def test_change_of_speed_is_followed(seed):
    """An upstream that became eight times slower for five seconds got requests that
    were late, or got none for long after its recovery.
    """
    steps = ((2.0, 8.0), (7.0, 1.0))
    static, learned = play_both(seed, steps=steps, seconds=13.0, since=2.0)
    assert learned.in_target >= static.in_target - 0.005
    assert learned.count_sends(STEPPED_ID, 4.0, 7.0) <= 12
    # A usual three seconds have 30 to 60.
    assert learned.count_sends(STEPPED_ID, 10.0, 13.0) >= 10


@pytest.mark.parametrize("seed", SEEDS)
def test_slow_owner_keeps_its_keys(seed):
    """An owner of keys that had become five times slower kept its keys for as long as
    the samples that showed it were left out.
    """
    load = {"keyed": True, "instances": 12, "upstreams": 18, "load": 0.4}
    step = {"steps": ((2.0, 5.0),), "since": 5.0, "seconds": 9.0}
    static, learned = play_both(seed, **load, **step)
    assert learned.in_target >= static.in_target - 0.01


@pytest.mark.parametrize("instances", [6, 126])
def test_fleet_size(instances):
    """In a large fleet, in which each instance sees few requests of an upstream, all of
    them chose the fastest one and filled its queue.
    """
    load = {"instances": instances, "upstreams": 60, "load": 0.5, "seconds": 4.0}
    static, learned = play_both(1, **load)
    assert learned.in_target >= static.in_target - 0.02
    assert learned.timeouts == 0


@pytest.mark.parametrize(
    ("duration_s", "occupancy", "report", "sample"),
    [
        (0.2, 0, LoadReport(1, 0, 4), (0.2, 1.0, False)),
        # Three requests waited: it took its turn after as long a queue.
        (0.35, 0, LoadReport(4, 3, 4), (0.2, 0.5, True)),
        (0.4, 7, None, (0.2, 0.5, True)),
        (0.6, 0, LoadReport(0, 0, 4, 3.0), (0.6, 0.25, False)),
    ],
)
def test_waiting_is_taken_for_work(duration_s, occupancy, report, sample):
    """The time in the queue of a crowded upstream was taken for its own slowness."""
    assert build_sample(duration_s, occupancy, 4, report) == pytest.approx(sample)


def test_limit_leaves_its_bounds():
    """A limit below one starves an upstream of the requests that show its recovery, and
    one above 1.5 per slot fills its queue.
    """
    capacity = UpstreamCapacity()
    assert compute_limit(capacity, 4, 0.7) == 6.0
    capacity.work_s = 0.01
    assert compute_limit(capacity, 4, 0.7) == 6.0
    capacity.work_s, capacity.speed = 0.2, 0.1
    assert compute_limit(capacity, 4, 0.35) == pytest.approx(5.25)
    capacity.work_s = 60.0
    assert compute_limit(capacity, 4, 0.7) == 1.0
    assert compute_limit(capacity, 4, 0.7, is_owner=True) == 4.0
    capacity.knee = 2.5
    assert compute_limit(capacity, 1, 0.7) == 1.0


def test_silent_upstream_is_not_noticed():
    """An upstream that had become slow was not noticed before its first late answer."""
    learned = build_learned({"u1": 0.2, "u2": 0.2, "u3": 0.2})
    attempts = [build_attempt("u1", sent_at=10.0) for _ in range(4)]
    learned.record_overdue(attempts, 10.1)
    usual_s = learned.get("u1").work_s
    learned.record_overdue(attempts, 12.0)
    assert learned.get("u1").work_s > 2 * usual_s
    # One that has answered a later request had no place in its queue.
    learned.get("u2").answered_until = 11.0
    learned.record_overdue([build_attempt("u2", sent_at=10.0)], 12.0)
    assert learned.get("u2").work_s == pytest.approx(0.2)


def test_new_instances_and_granters_begin_without_knowledge():
    """After a change of the granter, or a restart, slow upstreams were found again by
    requests that were late there.
    """
    work_by_id = {"u1": 0.2, "u2": 0.2, "u3": 0.8}
    granter = build_taught_fleet(work_by_id)
    instance = build_learned({})
    instance.apply_reply(granter.list_changes(instance.known), 2.0)
    ids_by_service = {"status": tuple(work_by_id)}
    instance.refresh(ids_by_service, 2.0)
    assert instance.get("u3").speed < 0.4
    assert granter.list_changes(instance.known) == {}
    successor = FleetCapacities("run-2")
    successor.inherit(instance, ids_by_service, 3.0)
    successor.publish(ids_by_service, 3.0)
    newcomer = build_learned({})
    # Versions of another granter say nothing.
    newcomer.known = [granter.epoch, granter.version]
    newcomer.apply_reply(successor.list_changes(newcomer.known), 4.0)
    newcomer.refresh(ids_by_service, 4.0)
    assert newcomer.get("u3").speed < 0.4


def test_samples_are_reported_twice():
    """Samples that are reported again count as further requests."""
    learned = build_learned({"u1": 0.2})
    assert build_report(learned, 20.0)["samples"]["u1"][0] == pytest.approx(0.2)
    assert "samples" not in build_report(learned, 21.0)


def test_values_of_a_lost_granter_hold_forever():
    """Without a granter, an instance believed for ever what the last one had said."""
    granter = build_taught_fleet({"u1": 0.2, "u2": 0.2, "u3": 0.8})
    learned = build_learned({})
    learned.apply_reply(granter.list_changes([0, 0]), 2.0)
    ids_by_service = {"status": ("u1", "u2", "u3")}
    learned.refresh(ids_by_service, 2.0)
    slow_s = learned.get("u3").work_s
    learned.refresh(ids_by_service, 90.0)
    assert learned.get("u3").work_s < 0.6 * slow_s


@pytest.mark.parametrize("value", [0.0, 1e9])
def test_odd_values_of_the_granter_raise(value):
    """A median or speed of zero, which messages may contain, ended the reducer."""
    reply = {
        "epoch": 1,
        "version": 1,
        "medians": {"status": value},
        "upstreams": {"u1": [value, value, value]},
    }
    learned = build_learned({"u1": 0.2, "u2": 0.2})
    learned.apply_reply(reply, 10.0)
    learned.refresh({"status": ("u1", "u2")}, 10.1)
    for upstream_id in ("u1", "u2"):
        capacity = learned.get(upstream_id)
        assert capacity.estimate_duration(3, 4) >= 0
        assert capacity.estimate_rate(4, 0.2) > 0
        assert compute_limit(capacity, 4, 0.7) >= 1
        assert capacity.compute_herd_factor(2.0) >= 0
