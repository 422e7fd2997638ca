"""Tests of key ownership in simulations in which pairs of rarer faults meet."""

import itertools

import pytest
from key_simulation import Simulation
from test_key_ownership import end_faults
from test_key_ownership import inject_fault

from shallotyard_direct.model import MAX_KEY

INSTANCES = ("front-0", "front-1", "front-2")
FAULTS_PER_RUN = 20


def _find_granter(simulation):
    """Return the name of the instance that holds the lease, None if none does."""
    for name, router in simulation.routers.items():
        if router.granter.lease.is_held(simulation.now):
            return name
    return None


def _cut_off(simulation, pairs, seconds):
    """Cut the connections of pairs of instance and upstream for some time."""
    simulation.unreachable |= pairs
    simulation.schedule(
        seconds, lambda: simulation.unreachable.difference_update(pairs)
    )


def restart_behind_a_cut(simulation):
    """Crash an upstream that some instances cannot reach, and start it again, often
    cold, and with an entry that comes late.
    """
    rng = simulation.rng
    upstream_id = rng.choice(sorted(simulation.grantees))
    names = rng.sample(INSTANCES, rng.randrange(1, 4))
    cut_s, down_s = rng.uniform(0.5, 8.0), rng.uniform(0.2, 4.0)
    cold_s, entry_delay_s = rng.choice((0.0, 3.0, 8.0)), rng.uniform(0.05, 2.0)
    if not simulation.grantees[upstream_id].up:
        return
    _cut_off(simulation, {(name, upstream_id) for name in names}, cut_s)
    simulation.crash_upstream(upstream_id)

    def restart():
        if not simulation.grantees[upstream_id].up:
            simulation.restart_upstream(upstream_id, cold_s, entry_delay_s)

    simulation.schedule(down_s, restart)


def restart_at_once(simulation):
    """Let an upstream start again before its entry has lapsed."""
    rng = simulation.rng
    upstream_id = rng.choice(sorted(simulation.grantees))
    cold_s, entry_delay_s = rng.choice((0.0, 5.0)), rng.uniform(0.05, 2.0)
    simulation.grantees[upstream_id].up = False
    simulation.restart_upstream(upstream_id, cold_s, entry_delay_s)


def apply_grants_late(simulation):
    """Leave grants without an answer for some time, and apply them 2 to 12 s later."""
    simulation.late_grant_delays_s = (2.0, 12.0)
    simulation.late_grant_probability = simulation.rng.choice((0.3, 0.7))

    def end():
        simulation.late_grant_probability = 0.0

    simulation.schedule(simulation.rng.uniform(1.0, 5.0), end)


def revoke_keys(simulation):
    """Let an upstream lose its keys, with no request to show it."""
    simulation.revoke_keys(simulation.rng.choice(sorted(simulation.grantees)))


def refuse_instances(simulation):
    """Let the store refuse some instances, mostly the granter."""
    rng = simulation.rng
    names = set(rng.sample(INSTANCES, rng.randrange(0, 3)))
    granter = _find_granter(simulation)
    if granter is not None:
        names.add(granter)
    simulation.refused |= names
    seconds = rng.uniform(1.0, 8.0)
    simulation.schedule(seconds, lambda: simulation.refused.difference_update(names))


def strand_granter(simulation):
    """Cut the granter off from all upstreams, or from all but one."""
    rng = simulation.rng
    upstream_ids = sorted(simulation.grantees)[rng.randrange(2) :]
    granter = _find_granter(simulation)
    seconds = rng.uniform(1.0, 9.0)
    _cut_off(
        simulation, {(granter, upstream_id) for upstream_id in upstream_ids}, seconds
    )


def freeze_at_renewal(simulation):
    """Freeze the granter just as its next renewal is answered."""
    simulation.freeze_at_renewal_s = simulation.rng.uniform(2.0, 9.0)


def return_store_at_write(simulation):
    """Let the store return from a copy before or after the next write of a table, and
    begin a move so that there is one.
    """
    rng = simulation.rng
    simulation.return_at_table_write = rng.uniform(0.5, 6.0), rng.random() < 0.5
    drain_upstream(simulation)


def drain_upstream(simulation):
    """Mark an upstream as leaving, and replace it some seconds later."""
    rng = simulation.rng
    upstream_id = rng.choice(sorted(simulation.grantees))
    delay_s, cold_s = rng.uniform(2.0, 6.0), rng.choice((0.0, 4.0))
    grantee = simulation.grantees[upstream_id]
    entry = simulation.listed.get(upstream_id)
    if not grantee.up or entry is None or entry.leaving:
        return
    simulation.drain_upstream(upstream_id)

    def replace():
        if simulation.grantees[upstream_id] is grantee:
            grantee.up = False
            simulation.restart_upstream(upstream_id, cold_s)

    simulation.schedule(delay_s, replace)


def return_store(simulation):
    """Let the store return from a copy."""
    simulation.store_up = True
    simulation.return_store(simulation.rng.uniform(0.5, 9.0))


FAULTS = (
    restart_behind_a_cut,
    restart_at_once,
    apply_grants_late,
    revoke_keys,
    refuse_instances,
    strand_granter,
    freeze_at_renewal,
    return_store_at_write,
    drain_upstream,
    return_store,
)


def play_pair(first, second, seed):
    """Play a day with two kinds of faults, and some of the usual ones."""
    simulation = Simulation(f"{first.__name__} {second.__name__} {seed}")
    simulation.max_work_s = 2.5
    simulation.run(4.0)
    rng = simulation.rng
    for _ in range(FAULTS_PER_RUN):
        fault = rng.choice((first, second, first, second, inject_fault))
        fault(simulation)
        simulation.run(rng.uniform(0.1, 2.0))
    simulation.run(9.0)
    simulation.refused.clear()
    simulation.unreachable.clear()
    simulation.freeze_at_renewal_s = 0.0
    simulation.return_at_table_write = None
    end_faults(simulation)
    simulation.run(36.0)
    assert simulation.count_held_keys() == MAX_KEY + 1


PAIRS = list(itertools.combinations_with_replacement(FAULTS, 2))


# Runs that failed before a fault was fixed.
FOUND = [
    (restart_at_once, return_store, 33),
    (freeze_at_renewal, drain_upstream, 100),
]


@pytest.mark.parametrize(
    ("first", "second", "seed"),
    [*((first, second, 0) for first, second in PAIRS), *FOUND],
    ids=lambda value: getattr(value, "__name__", None),
)
def test_no_key_is_held_twice_in_pairs_of_faults(first, second, seed):
    """A key had two owners, or was given while its former owner worked on it, or had no
    owner for ever, after two kinds of faults that met.
    """
    play_pair(first, second, seed)
