"""Tests of key ownership in sequences that the random simulations do not reach."""

from direct_builders import build_configuration
from direct_builders import build_route
from direct_builders import build_service
from direct_builders import build_upstream
from key_simulation import SERVICE
from key_simulation import Grantee
from key_simulation import Simulation

from shallotyard_direct import effects
from shallotyard_direct import events
from shallotyard_direct.model import MAX_KEY


def replace_handler(simulation, effect_type, handler):
    """Carry out the effects of a type in one simulation with another function."""
    handlers = simulation._HANDLERS | {effect_type: handler}
    simulation._HANDLERS = handlers


def find_granter(simulation):
    """Return the name of the instance that holds the lease, None if none does."""
    for name, router in simulation.routers.items():
        if router.granter.lease.is_held(simulation.now):
            return name
    return None


def lose_release(simulation, name, router, effect):
    """Let a release reach nobody."""
    event = events.ReleaseFinished(0.0, effect.token, False)
    simulation._reply(name, router, 1.5, event)


def test_owner_that_restarts_in_another_service_gets_no_keys_of_the_former_one():
    """An owner that had restarted under its id as an upstream of another service was
    granted keys of its former service, which it held as keys of the new one.
    """
    simulation = Simulation(3, instances=1, upstreams=3)
    routes = [build_route(), build_route("/other/", "other")]
    services = [build_service(SERVICE, keyed=True), build_service("other", keyed=True)]
    configuration = build_configuration(routes, services, version=2)
    simulation.deliver(
        "front-0", events.ConfigurationReceived(simulation.now, configuration)
    )
    simulation.run(5.0)
    simulation.crash_upstream("u1")
    simulation.run(0.5)
    upstream = build_upstream("u1", "other", started_ms=2)
    simulation.grantees["u1"] = Grantee(upstream)
    simulation.listed["u1"] = upstream
    grants = []

    def grant(simulation, name, router, effect):
        if effect.upstream_id == "u1":
            services_by_id = router.granter.services_by_id
            grants.extend(
                service_id
                for service_id, service in services_by_id.items()
                for state in service.range_states
                if state.token == effect.token
            )
        simulation._grant(name, router, effect)

    replace_handler(simulation, effects.SendGrant, grant)
    simulation._broadcast(events.UpstreamChanged(0.0, "u1", upstream))
    simulation.run(0.8)
    assert SERVICE not in grants


def test_fence_is_raised_again_in_a_move_after_a_restart():
    """After a restart in the middle of a move, the keys had no owner for the rest of
    the TTL of an unanswered grant when the next incarnation had to give them up.
    """
    simulation = Simulation(13)
    simulation.run(5.0)
    simulation.kill_instance(find_granter(simulation))
    while find_granter(simulation) is None:
        simulation.run(0.05)
    simulation.run(0.3)
    # The granter does not know the grants of the former one, so it raises the fence.
    replace_handler(simulation, effects.SendRelease, lose_release)
    simulation.drain_upstream("u1")
    simulation.run(0.8)
    simulation.crash_upstream("u1")
    simulation.late_grant_probability = 1.0
    simulation.restart_upstream("u1")
    simulation.run(0.3)
    simulation.late_grant_probability = 0.0
    simulation.run(1.5)
    replace_handler(simulation, effects.SendRelease, Simulation._release)
    simulation.drain_upstream("u1")
    simulation.run(1.5)
    assert not simulation.grantees["u1"].list_held_ranges(simulation.now)
    assert simulation.count_held_keys() == MAX_KEY + 1


def test_higher_fence_is_confirmed_on_a_new_connection():
    """A late response to an earlier grant, on an open connection, could pass for the
    confirmation of a higher fence, which ends all earlier grants.
    """
    simulation = Simulation(8)
    simulation.run(5.0)
    grants = []

    def grant(simulation, name, router, effect):
        grants.append(effect)
        simulation._grant(name, router, effect)

    replace_handler(simulation, effects.SendGrant, grant)
    simulation.crash_upstream("u1")
    simulation.restart_upstream("u1", cold_s=20.0)
    simulation.run(1.0)
    assert {g.upstream_id for g in grants if g.fresh} == {"u1"}
    assert any(not g.fresh for g in grants)
