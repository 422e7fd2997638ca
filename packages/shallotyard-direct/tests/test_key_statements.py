"""Tests of what a former granter states about its grants."""

import pytest
from key_simulation import Simulation
from test_key_ownership import end_faults
from test_key_ownership import find_granter
from test_key_ownership import inject_fault
from test_key_ownership import run_until
from test_paired_faults import FAULTS

from shallotyard_direct.events import LoadReported
from shallotyard_direct.keys.statements import accept_statement
from shallotyard_direct.model import MAX_KEY


def replace_granter(seed, crashed_after_s=None):
    """Refuse the granter at the store until another instance has the lease.

    :param crashed_after_s: time until an owner crashes, in seconds, None if none does.
    """
    simulation = Simulation(seed, reports_load=True)
    simulation.run(6.0)
    former = find_granter(simulation)
    simulation.refused.add(former)
    if crashed_after_s is not None:
        simulation.run(crashed_after_s)
        simulation.crash_upstream("u1")
    simulation.run(0.2)
    run_until(simulation, lambda: find_granter(simulation) not in (None, former), 8.0)
    return simulation


@pytest.mark.parametrize("crashed_after_s", [0.0, 0.5])
@pytest.mark.parametrize("seed", range(3))
def test_successor_of_a_granter_without_the_store(seed, crashed_after_s):
    """The keys of a lost owner had no other one for 10.7 s after a granter without
    the store was replaced, although its last grant to the owner had long expired.
    """
    simulation = replace_granter(seed, crashed_after_s)
    run_until(simulation, lambda: simulation.count_held_keys() == MAX_KEY + 1, 3.0)


def cut_successors(simulation, upstream_id, seconds):
    """Refuse the granter at the store, and cut the others from an upstream."""
    former = find_granter(simulation)
    pairs = {(name, upstream_id) for name in simulation.routers if name != former}
    simulation.refused.add(former)
    simulation.unreachable |= pairs

    def end():
        simulation.refused.discard(former)
        simulation.unreachable.difference_update(pairs)

    simulation.schedule(seconds, end)


@pytest.mark.parametrize("seconds", [5.0, 8.0, 14.0, 20.0])
def test_owner_that_only_the_former_granter_reaches_keeps_its_keys(seconds):
    """The keys of an owner that the successor did not reach were given to others while
    it held them by long grants of the former granter.
    """
    simulation = Simulation(3, reports_load=True)
    simulation.run(6.0)
    cut_successors(simulation, "u1", seconds)
    # The simulation checks that no key is held twice.
    simulation.run(30.0)
    assert simulation.count_held_keys() == MAX_KEY + 1


def get_state(simulation):
    """Return the granter, its state of the keys, and a statement that they are free."""
    granter = simulation.routers[find_granter(simulation)].granter
    service = granter.services_by_id["status"]
    rows = [[s.first, s.last, *s.owner, 0.0] for s in service.range_states]
    lease = granter.lease
    statement = {"term": lease.former_term, "era": lease.era, "ranges": {}}
    statement["ranges"]["status"] = rows
    return granter, service.range_states, statement


def test_own_grants_count_after_a_statement():
    """A statement of the former granter ended the grants of the new one."""
    simulation = replace_granter(1)
    simulation.run(1.0)
    granter, states, statement = get_state(simulation)
    assert accept_statement(granter, statement, simulation.now)
    assert all(state.expires_at >= simulation.now + 2.0 for state in states)


def change_owner(statement):
    """Name another incarnation of an owner."""
    statement["ranges"]["status"][0][3] += 1


def leave_out_keys(statement):
    """Leave a key out."""
    statement["ranges"]["status"][0][1] -= 1


def change_term(statement):
    """Name an earlier term."""
    statement["term"] -= 1


def change_era(statement):
    """Name another life of the store."""
    statement["era"] += 1


def break_row(statement):
    """Leave the time out."""
    del statement["ranges"]["status"][0][4]


@pytest.mark.parametrize(
    "change", [change_owner, leave_out_keys, change_term, change_era, break_row]
)
def test_statement_that_may_not_apply(change):
    """A statement about other grants ended those that the owner may still use."""
    simulation = replace_granter(2)
    granter, states, statement = get_state(simulation)
    state = states[0]
    before = state.expires_at = simulation.now + 10.0
    change(statement)
    accept_statement(granter, statement, simulation.now)
    assert state.expires_at == before


def report_random_load(simulation):
    """Report that neighboring keys got many requests."""
    rng = simulation.rng
    first = rng.randrange(MAX_KEY - 300)
    counts = {str(first + key): rng.choice((1, 9)) for key in range(200)}
    report = {"keys": {"status": counts}}
    name = find_granter(simulation)
    if name is not None:
        simulation.deliver(name, LoadReported(simulation.now, "front-9", report))


def cut_random_successors(simulation):
    """Cut possible successors of the granter from an upstream for some seconds."""
    rng = simulation.rng
    upstream_id = rng.choice(sorted(simulation.grantees))
    cut_successors(simulation, upstream_id, rng.uniform(5.0, 14.0))


@pytest.mark.parametrize("seed", range(20))
def test_no_key_is_held_twice_after_statements(seed):
    """A key had two owners after a statement, or after moves for load of a granter that
    did not know all earlier grants.
    """
    simulation = Simulation(f"load {seed}", reports_load=True)
    simulation.max_work_s = 2.5
    simulation.run(4.0)
    rng = simulation.rng
    for _ in range(30):
        faults = (report_random_load, cut_random_successors, *rng.sample(FAULTS, 2))
        rng.choice((*faults, inject_fault))(simulation)
        simulation.run(rng.uniform(0.1, 2.0))
    simulation.run(9.0)
    simulation.refused.clear()
    simulation.unreachable.clear()
    simulation.freeze_at_renewal_s = 0.0
    simulation.return_at_table_write = None
    end_faults(simulation)
    simulation.run(36.0)
    assert simulation.count_held_keys() == MAX_KEY + 1
