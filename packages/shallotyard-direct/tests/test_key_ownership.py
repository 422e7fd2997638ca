"""Tests of key ownership in simulations with random faults."""

import pytest
from key_simulation import Simulation

from shallotyard_direct.events import LoadReported
from shallotyard_direct.events import UpstreamChanged
from shallotyard_direct.events import UpstreamsListed
from shallotyard_direct.model import MAX_KEY

FAULTS_PER_RUN = 25


def test_all_keys_get_an_owner():
    """Keys stayed without an owner, or new upstreams got no keys."""
    simulation = Simulation(1)
    simulation.run(4.0)
    assert simulation.count_held_keys() == MAX_KEY + 1
    assert all(
        grantee.list_held_ranges(simulation.now)
        for grantee in simulation.grantees.values()
    )


def test_keys_of_a_crashed_upstream_get_a_new_owner_within_seconds():
    """The keys of a crashed owner had no owner for longer than the grant TTL."""
    simulation = Simulation(2)
    simulation.run(5.0)
    simulation.crash_upstream("u1")
    simulation.run(5.5)
    assert simulation.count_held_keys() == MAX_KEY + 1


def test_grants_outlast_a_store_outage():
    """Grants of running owners expired while the store was down."""
    simulation = Simulation(3)
    simulation.run(5.0)
    simulation.store_up = False
    simulation.run(12.0)
    assert simulation.count_held_keys() == MAX_KEY + 1
    simulation.store_up = True
    simulation.run(3.0)
    assert simulation.count_held_keys() == MAX_KEY + 1


def test_grants_outlast_a_granter_crash():
    """Another instance acquired the granter lease too late."""
    simulation = Simulation(4)
    simulation.run(5.0)
    granter = next(n for n, r in simulation.routers.items() if r.granter.lease.active)
    simulation.kill_instance(granter)
    simulation.run(12.0)
    assert simulation.count_held_keys() == MAX_KEY + 1


def test_next_granter_moves_keys_of_leaving_upstreams_at_once():
    """After a change of the granter, a release did not free the keys for 10 s."""
    simulation = Simulation(6)
    simulation.run(5.0)
    granter = next(n for n, r in simulation.routers.items() if r.granter.lease.active)
    simulation.kill_instance(granter)
    simulation.run(6.0)
    simulation.drain_upstream("u1")
    simulation.run(1.5)
    assert not simulation.grantees["u1"].list_held_ranges(simulation.now)
    assert simulation.count_held_keys() == MAX_KEY + 1


def test_next_granter_moves_keys_for_load_at_once():
    """After a change of the granter, no key was moved for load for 10.6 s."""
    simulation = Simulation(6)
    simulation.run(5.0)
    granter = find_granter(simulation)
    simulation.kill_instance(granter)
    run_until(simulation, lambda: find_granter(simulation) is not None, 8.0)
    report = {"keys": {"status": {str(key): 9 for key in range(100)}}}
    for _ in range(10):
        event = LoadReported(simulation.now, "front-9", report)
        simulation.deliver(find_granter(simulation), event)
        simulation.run(0.4)
    ranges = simulation.objects["key-tables", "status"][1]["ranges"]
    assert len({row[1] for row in ranges if row[0] < 100}) >= 2
    assert simulation.count_held_keys() == MAX_KEY + 1


def test_keys_that_moved_before_the_granter_was_lost_are_renewed_by_the_next_one():
    """Keys that had moved shortly before a change of the granter had no owner until the
    longest grant of their former owner would have expired.
    """
    simulation = Simulation(6)
    simulation.run(5.0)
    simulation.drain_upstream("u1")
    simulation.run(1.5)
    granter = next(n for n, r in simulation.routers.items() if r.granter.lease.active)
    simulation.kill_instance(granter)
    simulation.run(6.0)
    assert simulation.count_held_keys() == MAX_KEY + 1


def test_expiry_of_a_lost_owner_continues_under_the_next_granter():
    """Each new granter waited again for the maximum grant TTL of lost owners."""
    simulation = Simulation(5)
    simulation.run(5.0)
    granter = next(n for n, r in simulation.routers.items() if r.granter.lease.active)
    simulation.crash_upstream("u1")
    simulation.run(4.0)
    simulation.kill_instance(granter)
    # The next one takes over after less than five seconds. Without the stored mark of
    # the lost owner it would wait ten seconds more.
    simulation.run(9.0)
    assert simulation.count_held_keys() == MAX_KEY + 1


def test_next_granter_does_not_renew_keys_of_a_lost_owner():
    """The next granter renewed grants that had been stored as expiring, so that the one
    after it gave the keys to others too early.
    """
    simulation = Simulation(5)
    simulation.run(5.0)
    granter = next(n for n, r in simulation.routers.items() if r.granter.lease.active)
    simulation.unreachable.add((granter, "u1"))
    simulation.run(2.0)
    ranges = simulation.objects["key-tables", "status"][1]["ranges"]
    expiring = [(fence, upstream_id) for _, upstream_id, _, fence, _, e in ranges if e]
    assert [upstream_id for _, upstream_id in expiring] == ["u1"]
    simulation.kill_instance(granter)
    grants = simulation.grantees["u1"].fences
    count = len(grants)
    simulation.run(12.0)
    assert simulation.count_held_keys() == MAX_KEY + 1
    assert expiring[0][0] not in [fence for _, _, fence in grants[count:]]


def restart_owner_behind_a_cut(simulation, cold_s):
    """Restart an owner while the granter is cut off from the store and renews grants of
    the former incarnation, which the next one accepts. Then tell the granter.
    """
    granter = next(n for n, r in simulation.routers.items() if r.granter.lease.active)
    simulation.crash_upstream("u1")
    simulation.run(0.2)
    simulation.disconnected.add(granter)
    simulation.restart_upstream("u1", cold_s)
    simulation.run(0.8)
    assert simulation.grantees["u1"].list_held_ranges(simulation.now)
    simulation.disconnected.clear()
    upstream = simulation.listed["u1"]
    simulation.deliver(granter, UpstreamChanged(simulation.now, "u1", upstream))


@pytest.mark.parametrize("seed", range(5))
def test_restarted_owner_releases_its_keys_before_others_get_them(seed):
    """The keys of a restarted owner were given to others at once, while its next
    incarnation held them by a grant to the former one.
    """
    simulation = Simulation(seed)
    simulation.run(8.0 + seed * 0.15)
    restart_owner_behind_a_cut(simulation, cold_s=20.0)
    simulation.run(3.0)
    assert not simulation.grantees["u1"].list_held_ranges(simulation.now)
    assert simulation.count_held_keys() == MAX_KEY + 1


def find_granter(simulation):
    """Return the name of the instance that may grant keys, None if there is none."""
    now, routers = simulation.now, simulation.routers
    held = (n for n, r in routers.items() if r.granter.lease.is_held(now))
    return next(held, None)


def run_until(simulation, condition, seconds=5.0):
    """Advance the time until a condition holds, for at most some seconds."""
    for _ in range(round(seconds / 0.05)):
        if condition():
            return
        simulation.run(0.05)
    pytest.fail(f"the condition did not hold within {seconds} s")


def restart_owner_during_a_grant(simulation):
    """Restart an owner, cold, without the knowledge of the granter, whose next grant to
    it remains without a reply.

    :return: (name of the granter, its state of the owner's range).
    """
    granter = next(n for n, r in simulation.routers.items() if r.granter.lease.active)
    simulation.crash_upstream("u1")
    simulation.run(0.2)
    simulation.disconnected.add(granter)
    simulation.restart_upstream("u1", cold_s=20.0)
    service = simulation.routers[granter].granter.services_by_id["status"]
    state = next(s for s in service.range_states if s.owner[0] == "u1")
    simulation.late_grant_ids = {"u1"}
    simulation.late_grant_probability = 1.0
    simulation.late_grant_delays_s = (2.0, 2.0)
    simulation.run(1.0)
    return granter, state


@pytest.mark.parametrize("is_answered", [False, True])
def test_grant_in_progress_does_not_confirm_the_fence_of_a_restarted_owner(is_answered):
    """A grant that was in progress when the granter learned of a restart counted as the
    confirmation of the higher fence, or not at all. An earlier one was applied late.
    """
    simulation = Simulation(12)
    simulation.run(8.0)
    granter, state = restart_owner_during_a_grant(simulation)
    run_until(simulation, lambda: not state.token)
    if is_answered:
        simulation.late_grant_probability = 0.0
    run_until(simulation, lambda: state.token)
    simulation.disconnected.clear()
    upstream = simulation.listed["u1"]
    simulation.deliver(granter, UpstreamChanged(simulation.now, "u1", upstream))
    simulation.run(1.0)
    simulation.late_grant_probability = 0.0
    simulation.run(12.0)
    assert not simulation.grantees["u1"].list_held_ranges(simulation.now)
    assert simulation.count_held_keys() == MAX_KEY + 1


@pytest.mark.parametrize("seed", range(4))
def test_grant_in_progress_at_a_restart_counts_although_the_next_one_is_not_sent(seed):
    """A grant that was in progress when the granter learned of a restart, and that was
    applied late, did not count after the grant of the higher fence had failed.
    """
    simulation = Simulation(seed)
    simulation.run(8.0)
    granter, state = restart_owner_during_a_grant(simulation)
    run_until(simulation, lambda: state.token)
    simulation.late_grant_probability = 0.0
    simulation.unreachable.add((granter, "u1"))
    simulation.disconnected.clear()
    upstream = simulation.listed["u1"]
    simulation.deliver(granter, UpstreamChanged(simulation.now, "u1", upstream))
    run_until(simulation, lambda: state.fence_raise_pending)
    run_until(simulation, lambda: state.token)
    simulation.unreachable.clear()
    simulation.run(12.0)
    assert simulation.count_held_keys() == MAX_KEY + 1


def test_fence_of_a_restarted_owner_is_stored_before_it_is_granted():
    """A fence was granted before it was stored; the next granter may give it again."""
    simulation = Simulation(13)
    simulation.run(8.0)
    simulation.store_up = False
    simulation.crash_upstream("u1")
    simulation.restart_upstream("u1")
    simulation.run(3.0)
    stored = simulation.objects["key-tables", "status"][1]["next_fence"]
    assert all(fence < stored for _, _, fence in simulation.grantees["u1"].fences)
    simulation.store_up = True
    simulation.run(6.0)
    assert simulation.count_held_keys() == MAX_KEY + 1


def test_restarted_owner_that_is_warm_keeps_its_keys():
    """The keys of a restarted owner had no owner, although it could keep them."""
    simulation = Simulation(8)
    simulation.run(8.0)
    restart_owner_behind_a_cut(simulation, cold_s=0.0)
    for _ in range(60):
        simulation.run(0.05)
        assert simulation.count_held_keys() == MAX_KEY + 1
    assert simulation.grantees["u1"].list_held_ranges(simulation.now)


def test_keys_of_a_restarted_owner_do_not_wait_for_earlier_grants():
    """After a change of the granter, the keys of a restarted owner that was cold had no
    owner until the longest grant of the former granter would have expired.
    """
    simulation = Simulation(9)
    simulation.run(5.0)
    granter = next(n for n, r in simulation.routers.items() if r.granter.lease.active)
    simulation.kill_instance(granter)
    simulation.run(6.0)
    simulation.crash_upstream("u1")
    simulation.run(0.2)
    simulation.restart_upstream("u1", cold_s=20.0)
    simulation.run(1.5)
    assert not simulation.grantees["u1"].list_held_ranges(simulation.now)
    assert simulation.count_held_keys() == MAX_KEY + 1


@pytest.mark.parametrize("seed", [*range(40), 2119, 5885])
def test_no_key_is_held_twice(seed):
    """A key had two owners after several simultaneous faults."""
    simulation = Simulation(seed, instances=3, upstreams=4)
    simulation.run(4.0)
    for _ in range(FAULTS_PER_RUN):
        inject_fault(simulation)
        simulation.run(simulation.rng.uniform(0.1, 3.0))
    end_faults(simulation)
    simulation.run(20.0)
    assert simulation.count_held_keys() == MAX_KEY + 1


@pytest.mark.parametrize("seed", [*range(40), 339, 1097, 5935])
def test_fence_or_key_is_given_twice_after_the_store_returned_from_a_copy(seed):
    """Fences that the store had forgotten were given to other owners."""
    simulation = Simulation(seed, instances=3, upstreams=4)
    simulation.run(4.0)
    for _ in range(FAULTS_PER_RUN):
        if simulation.rng.random() < 0.2:
            simulation.store_up = True
            simulation.return_store(simulation.rng.uniform(0.5, 9.0))
        else:
            inject_fault(simulation)
        simulation.run(simulation.rng.uniform(0.1, 3.0))
    end_faults(simulation)
    simulation.run(32.0)
    assert simulation.count_held_keys() == MAX_KEY + 1


def test_owners_keep_their_keys_while_the_store_returns_from_a_copy():
    """Keys had no owner after the store had returned, although nothing else failed."""
    simulation = Simulation(7)
    simulation.run(5.0)
    simulation.drain_upstream("u1")
    simulation.run(3.0)
    simulation.store_up = False
    simulation.run(2.0)
    simulation.store_up = True
    simulation.return_store(8.0)
    for _ in range(60):
        simulation.run(0.1)
        assert simulation.count_held_keys() == MAX_KEY + 1
    record = simulation.objects["granters", "main"][1]
    assert (record["era"], record["settled_era"]) == (simulation.era, simulation.era)
    assert not simulation.grantees["u1"].list_held_ranges(simulation.now)


def test_granter_that_missed_the_loss_of_the_table_writes_it_again():
    """A granter that was cut off while the store forgot the table did not write it
    again, or tried to with a revision of an earlier life without end.
    """
    simulation = Simulation(11)
    simulation.run(5.0)
    granter = next(n for n, r in simulation.routers.items() if r.granter.lease.active)
    owners = simulation.objects["key-tables", "status"][1]["ranges"]
    simulation.disconnected.add(granter)
    simulation.return_store(4.0)
    assert ("key-tables", "status") not in simulation.objects
    for name in set(simulation.routers) - {granter}:
        simulation.kill_instance(name)
    simulation.run(1.0)
    simulation.disconnected.clear()
    simulation.return_store(0.5)
    simulation.run(25.0)
    assert simulation.count_held_keys() == MAX_KEY + 1
    ranges = simulation.objects["key-tables", "status"][1]["ranges"]
    assert [r[:3] for r in ranges] == [r[:3] for r in owners]


def inject_fault(simulation):
    """Begin or end one random fault."""
    rng = simulation.rng
    upstream_id = rng.choice(sorted(simulation.grantees))
    name = f"front-{rng.randrange(3)}"
    fault = rng.randrange(10)
    if fault == 0:
        simulation.store_up = not simulation.store_up
    elif fault == 1:
        simulation.lost_reply_probability = rng.choice((0.0, 0.3, 0.6))
    elif fault == 2:
        simulation.late_grant_probability = rng.choice((0.0, 0.3, 0.6))
    elif fault == 3 and simulation.grantees[upstream_id].up:
        simulation.crash_upstream(upstream_id)
    elif fault == 4 and not simulation.grantees[upstream_id].up:
        simulation.restart_upstream(upstream_id)
    elif fault == 5 and name in simulation.routers:
        simulation.kill_instance(name)
    elif fault == 6 and name not in simulation.routers:
        simulation.start_instance(name)
    elif fault == 7 and name in simulation.routers:
        simulation.freeze_instance(name, rng.uniform(0.5, 8.0))
    elif fault == 8:
        simulation.disconnected ^= {name}
    elif fault == 9 and upstream_id in simulation.listed:
        simulation.drain_upstream(upstream_id)


def end_faults(simulation):
    """End all faults."""
    simulation.store_up = True
    simulation.lost_reply_probability = simulation.late_grant_probability = 0.0
    simulation.disconnected.clear()
    for name in ("front-0", "front-1", "front-2"):
        if name not in simulation.routers:
            simulation.start_instance(name)
        else:
            listed = list(simulation.listed.values())
            simulation.deliver(name, UpstreamsListed(simulation.now, listed))
    for upstream_id, grantee in list(simulation.grantees.items()):
        if not grantee.up or simulation.listed[upstream_id].leaving:
            simulation.restart_upstream(upstream_id)


def test_keys_of_an_owner_that_said_it_leaves_stay_with_it():
    """The keys of an owner that had told only callers that it leaves did not move, or
    moved back with an entry of the store that did not show it.
    """
    simulation = Simulation(7)
    simulation.run(6.0)
    granter = next(n for n, r in simulation.routers.items() if r.granter.lease.active)
    report = {"leaving": [["u1", 1]]}
    simulation.deliver(granter, LoadReported(simulation.now, "front-9", report))
    simulation.run(1.5)
    assert not simulation.grantees["u1"].list_held_ranges(simulation.now)
    assert simulation.count_held_keys() == MAX_KEY + 1
    upstreams = list(simulation.listed.values())
    simulation.deliver(granter, UpstreamsListed(simulation.now, upstreams))
    simulation.run(6.0)
    assert not simulation.grantees["u1"].list_held_ranges(simulation.now)
    simulation.restart_upstream("u1")
    simulation.run(6.0)
    assert simulation.grantees["u1"].list_held_ranges(simulation.now)


def test_keys_of_an_owner_that_asked_for_a_pause_move():
    """The keys of an owner that wanted no requests for a time moved, or lapsed because
    its grants were not renewed.
    """
    simulation = Simulation(8)
    simulation.run(6.0)
    before = simulation.grantees["u1"].list_held_ranges(simulation.now)
    for router in simulation.routers.values():
        pauses = router.dispatcher.placement.pauses
        pauses.record_request(("u1", 1), 60.0, False, simulation.now)
    simulation.run(12.0)
    assert simulation.grantees["u1"].list_held_ranges(simulation.now) == before
    assert before
