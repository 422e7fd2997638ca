"""Tests of the limits on requests to upstreams that name a rate."""

import random

import pytest
from rate_simulation import RateSimulation
from rate_simulation import count_in_windows

from shallotyard_direct.permit_issuer import BURST_S
from shallotyard_direct.permit_issuer import PermitIssuer
from shallotyard_direct.rate_limits import GRANTER_TIMEOUT_S
from shallotyard_direct.rate_limits import PERMIT_VALIDITY_S
from shallotyard_direct.rate_limits import RateLimits
from shallotyard_direct.rate_limits import count_unpermitted_instances

# The users' bound: in some four seconds one and a half times the rate, and five more,
# from four seconds after the rate was first named.
WINDOW_S = 4.0
TOLERATED_FACTOR = 1.5
TOLERATED_REQUESTS = 5


def assert_within_rate(simulation, upstream_id):
    """Check the bound on requests to an upstream."""
    rate = simulation.rate_by_id[upstream_id]
    bound = TOLERATED_FACTOR * rate * WINDOW_S + TOLERATED_REQUESTS
    sends = simulation.sends_by_id[upstream_id]
    assert count_in_windows(sends, WINDOW_S, WINDOW_S) <= bound


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("instance_count", [1, 9, 61])
def test_upstream_gets_more_than_its_named_rate_from_all_instances(
    instance_count, seed
):
    """All instances together sent twice the rate that an upstream had named."""
    simulation = RateSimulation(seed, instance_count, {"u1": 6.0})
    simulation.run(seconds=16, per_s=14)
    assert_within_rate(simulation, "u1")
    # The rate is used while callers wait for it.
    sends = [at for at in simulation.sends_by_id["u1"] if 4 <= at < 16]
    assert len(sends) >= 0.8 * 6.0 * 12


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("instance_count", [9, 61])
def test_upstream_gets_more_than_its_named_rate_while_the_granter_is_cut_off(
    instance_count, seed
):
    """Without the granter, instances sent without a limit, or not at all."""
    simulation = RateSimulation(seed, instance_count, {"u1": 6.0})

    def cut(now):
        simulation.cut = {simulation.find_granter(now)}

    simulation.schedule(5.0 + seed, cut)
    simulation.schedule(13.0 + seed, lambda now: simulation.cut.clear())
    simulation.run(seconds=20, per_s=20)
    assert_within_rate(simulation, "u1")
    cut_sends = [at for at in simulation.sends_by_id["u1"] if 7 <= at - seed < 13]
    assert cut_sends


@pytest.mark.parametrize("seed", range(2))
def test_burst_after_calm_exceeds_the_named_rate(seed):
    """Unused shares of many instances were used at the same moment."""
    simulation = RateSimulation(seed, 61, {"u1": 4.0})
    simulation.run(seconds=8, per_s=2)
    simulation.run(seconds=16, per_s=80)
    assert_within_rate(simulation, "u1")


def test_limited_upstreams_keep_their_part_of_unkeyed_requests():
    """Limited upstreams got nothing while others had room."""
    simulation = RateSimulation(1, 9, {"u1": 5.0, "u2": None, "u3": 8.0})
    simulation.run(seconds=16, per_s=40)
    for upstream_id in ("u1", "u3"):
        assert_within_rate(simulation, upstream_id)
        assert len(simulation.sends_by_id[upstream_id]) >= 16
    assert set(simulation.statuses) == {200}


def test_limit_ends_when_it_is_no_longer_named():
    """A limit stayed in force after the upstream had recovered."""
    simulation = RateSimulation(1, 9, {"u1": 5.0})

    def end_limit(now):
        simulation.rate_by_id["u1"] = None

    simulation.schedule(6.0, end_limit)
    simulation.run(seconds=14, per_s=20)
    assert len([at for at in simulation.sends_by_id["u1"] if 9 <= at < 14]) >= 80


def test_rate_of_zero_still_allows_single_requests():
    """The end of a rate of zero was never seen, because nothing was sent any more."""
    simulation = RateSimulation(1, 9, {"u1": 0.0})
    simulation.run(seconds=20, per_s=10)
    assert_within_rate(simulation, "u1")
    assert [at for at in simulation.sends_by_id["u1"] if at >= 8]


def test_unused_permits_expire():
    """Permits that were not used added up, and were used in a later burst."""
    limits = RateLimits(random.Random(1))
    limits.record_response("u1", 5.0, 0.0)
    limits.apply_permits({"u1": 2}, 1.0, 1.0)
    assert limits.allows("u1", 1.0 + PERMIT_VALIDITY_S - 0.01)
    assert not limits.allows("u1", 1.0 + PERMIT_VALIDITY_S)


def test_permits_follow_the_newest_named_rate():
    """An instance that had not seen a change of the rate overrode the new one."""
    issuer = PermitIssuer()
    issuer.add_request("a", {"u1": [1, 2.0, 0.1, 0.2]}, 10.0)
    issuer.add_request("b", {"u1": [1, 50.0, 9.0, 0.2]}, 10.5)
    assert issuer.get_rate("u1", 10.5) == 2.0


@pytest.mark.parametrize("rate", [0.1, 1.0, 5.0, 11.0, 400.0])
def test_instances_without_permits_stay_within_the_tolerated_excess(rate):
    """Each of many instances sent one request at the same moment."""
    count = count_unpermitted_instances(rate, 690)
    # The last permits, their burst, the shares, and one request of each instance.
    total = rate * (WINDOW_S + PERMIT_VALIDITY_S) + 1 + BURST_S * rate + count
    assert total <= TOLERATED_FACTOR * rate * WINDOW_S + TOLERATED_REQUESTS


def test_request_that_waits_for_permits_is_taken_for_a_lost_granter():
    """Instances sent without permits while the granter had none to issue."""
    issuer = PermitIssuer()
    issuer.add_request("a", {"u1": [9, 0.1, 0.1, 30.0]}, 10.0)
    assert issuer.issue(10.0) == {"a": {"u1": 1}}
    issuer.add_request("b", {"u1": [9, 0.1, 0.1, 30.0]}, 10.0)
    assert issuer.issue(10.1) == {}
    assert issuer.issue(10.0 + GRANTER_TIMEOUT_S / 2) == {"b": {}}
