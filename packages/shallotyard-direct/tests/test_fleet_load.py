"""Tests of what callers get from a fleet of instances under load."""

import pytest
from fleet_simulation import FleetSimulation

from shallotyard_direct.model import MAX_KEY

LOST_ID = "u-east-a-0"


def play_slow_service(seed=1, per_s=100, **changes):
    """Play 18 instances and 48 upstreams of a service that works for 0.8 s, with a
    target latency of 2.5 s. They can do 240 requests a second.
    """
    values = {
        "instances_per_domain": 3,
        "upstreams_per_domain": 8,
        "processing_s": 0.79,
        "target_latency_s": 2.5,
        "timeout_s": 15.0,
    }
    simulation = FleetSimulation(seed, **values | changes)
    simulation.run(per_s, seconds=8)
    return simulation


def test_requests_cross_regions_although_their_own_has_room():
    """Of the requests for a slow service, 38 in 100 went to another region while all
    regions had room, because the penalty for it was small beside the work.
    """
    simulation = play_slow_service()
    sends = simulation.sends_by_distance
    assert sends["other"] <= 0.05 * sum(sends.values())
    assert simulation.compute_share(200) == 1.0
    assert simulation.turned_away == 0


def test_requests_are_late_because_unknown_upstreams_are_preferred():
    """An instance that had not used an upstream yet expected it to be faster than all
    that it knew. With more upstreams than it had requests, each request was late at a
    slow or distant one by chance.
    """
    simulation = play_slow_service(per_s=170)
    assert simulation.compute_share(200, within_s=2.5) >= 0.97
    sends = simulation.sends_by_distance
    assert sends["domain"] >= 0.6 * sum(sends.values())


def play_keyed_service(seed, slow_from=None, lost_at=None, **changes):
    """Play 12 instances and 12 owners of keys that work for 0.09 s, at 0.4 of what they
    can do, with a target latency of 0.4 s.

    :param slow_from: time from which one of the owners takes five times as long.
    :param lost_at: time at which one of the owners loses its keys, and confirms no more
        grants.
    """
    values = {
        "instances_per_domain": 2,
        "upstreams_per_domain": 2,
        "processing_s": 0.09,
        "target_latency_s": 0.4,
        "timeout_s": 2.5,
        "keyed": True,
    }
    simulation = FleetSimulation(seed, **values | changes)
    if slow_from is not None:
        slow_down = simulation.slowdown_by_id.update
        simulation.schedule(slow_from, lambda now: slow_down({"u-east-a-1": 5.0}))
    if lost_at is not None:
        simulation.schedule(lost_at, lambda now: simulation.lose_keys(LOST_ID))
    simulation.run(224, seconds=16)
    return simulation


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_owner_that_became_slow_keeps_its_keys(seed):
    """While an owner of keys was overloaded, the durations of its requests did not show
    its speed. It kept its keys, and their callers were refused, while the other owners
    had room.
    """
    simulation = play_keyed_service(seed, slow_from=9.0)
    assert simulation.compute_share(503, since=11.0) <= 0.01
    assert simulation.compute_share(200, within_s=0.4, since=11.0) >= 0.93


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_owner_that_confirms_no_grants_gets_its_keys_again(seed):
    """The keys of an owner that confirmed no grants were given to it again, as it was
    the least loaded one: they had no owner for most of the time, and 4 to 5 in 100
    callers of the whole service were refused.
    """
    simulation = play_keyed_service(seed, lost_at=9.0)
    assert simulation.compute_share(503) <= 0.03


def draw_busy_key(rng):
    """Return a key; a third of the requests are for keys that are close together."""
    if rng.random() < 0.35:
        return 29_000 + int(rng.expovariate(1 / 800))
    return rng.randint(0, MAX_KEY)


@pytest.mark.parametrize("seed", [2, 3])
def test_owner_of_all_busy_keys_keeps_them(seed):
    """One of 30 owners had the busy keys, 15 times the mean load, and kept them: what
    each other owner had room for was less than a twelfth of its load. A fifth of the
    callers was refused, while the fleet was at six tenths of what it can do.
    """
    simulation = FleetSimulation(
        seed,
        instances_per_domain=8,
        upstreams_per_domain=5,
        processing_s=0.23,
        target_latency_s=0.81,
        timeout_s=5.0,
        keyed=True,
        draw_key=draw_busy_key,
    )
    simulation.run(330, seconds=10)
    assert simulation.compute_share(503, since=9.0) <= 0.05
