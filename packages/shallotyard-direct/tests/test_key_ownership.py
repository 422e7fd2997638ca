"""Random runs of key ownership, with faults of every part."""

import pytest
from key_world import World

from shallotyard_direct.events import UpstreamsListed
from shallotyard_direct.model import MAX_KEY

FAULTS_PER_RUN = 25


def test_all_keys_get_an_owner():
    """Keys stayed without owner, or upstreams joined in vain."""
    world = World(1)
    world.run(4.0)
    assert world.held_keys() == MAX_KEY + 1
    assert all(grantee.held(world.now) for grantee in world.grantees.values())


def test_keys_of_a_lost_upstream_are_back_within_seconds():
    """The keys of a crashed owner had no owner for longer than the grant TTL."""
    world = World(2)
    world.run(5.0)
    world.crash("u1")
    world.run(5.5)
    assert world.held_keys() == MAX_KEY + 1


def test_keys_outlive_an_outage_of_the_store():
    """Grants lapsed while the store was down, though every owner lived."""
    world = World(3)
    world.run(5.0)
    world.store_up = False
    world.run(12.0)
    assert world.held_keys() == MAX_KEY + 1
    world.store_up = True
    world.run(3.0)
    assert world.held_keys() == MAX_KEY + 1


def test_keys_outlive_the_death_of_the_granter():
    """Another instance took over too late."""
    world = World(4)
    world.run(5.0)
    granter = next(n for n, r in world.routers.items() if r.granter.lease.active)
    world.kill(granter)
    world.run(12.0)
    assert world.held_keys() == MAX_KEY + 1


def test_next_granter_moves_keys_of_leaving_upstreams_at_once():
    """A release was not trusted for ten seconds after a change of the granter."""
    world = World(6)
    world.run(5.0)
    granter = next(n for n, r in world.routers.items() if r.granter.lease.active)
    world.kill(granter)
    world.run(6.0)
    world.leave("u1")
    world.run(1.5)
    assert not world.grantees["u1"].held(world.now)
    assert world.held_keys() == MAX_KEY + 1


def test_wait_for_a_lost_owner_goes_on_under_the_next_granter():
    """Each new granter waited for the longest grant TTL of lost owners once more."""
    world = World(5)
    world.run(5.0)
    granter = next(n for n, r in world.routers.items() if r.granter.lease.active)
    world.crash("u1")
    world.run(4.0)
    world.kill(granter)
    # The next one takes over after less than five seconds, and without what it
    # knows of the lost owner would wait for ten more.
    world.run(9.0)
    assert world.held_keys() == MAX_KEY + 1


@pytest.mark.parametrize("seed", range(40))
def test_no_key_is_held_twice(seed):
    """A key had two owners after faults of several parts at once."""
    world = World(seed, instances=3, upstreams=4)
    world.run(4.0)
    for _ in range(FAULTS_PER_RUN):
        inject_fault(world)
        world.run(world.rng.uniform(0.1, 3.0))
    calm(world)
    world.run(20.0)
    assert world.held_keys() == MAX_KEY + 1


def inject_fault(world):
    """Begin or end one random fault."""
    rng = world.rng
    upstream_id = rng.choice(sorted(world.grantees))
    name = f"front-{rng.randrange(3)}"
    fault = rng.randrange(10)
    if fault == 0:
        world.store_up = not world.store_up
    elif fault == 1:
        world.lost_replies = rng.choice((0.0, 0.3, 0.6))
    elif fault == 2:
        world.late_grants = rng.choice((0.0, 0.3, 0.6))
    elif fault == 3 and world.grantees[upstream_id].up:
        world.crash(upstream_id)
    elif fault == 4 and not world.grantees[upstream_id].up:
        world.restart(upstream_id)
    elif fault == 5 and name in world.routers:
        world.kill(name)
    elif fault == 6 and name not in world.routers:
        world.start(name)
    elif fault == 7 and name in world.routers:
        world.freeze(name, rng.uniform(0.5, 8.0))
    elif fault == 8:
        world.cut ^= {name}
    elif fault == 9 and upstream_id in world.listed:
        world.leave(upstream_id)


def calm(world):
    """End all faults."""
    world.store_up = True
    world.lost_replies = world.late_grants = 0.0
    world.cut.clear()
    for name in ("front-0", "front-1", "front-2"):
        if name not in world.routers:
            world.start(name)
        else:
            listed = list(world.listed.values())
            world.deliver(name, UpstreamsListed(world.now, listed))
    for upstream_id, grantee in list(world.grantees.items()):
        if not grantee.up or world.listed[upstream_id].leaving:
            world.restart(upstream_id)
