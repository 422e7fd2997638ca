"""Tests of the order between client accounts, with simulated load."""

import random
from types import SimpleNamespace

import pytest
from direct_builders import build_account
from load_simulation import LoadSimulation

from shallotyard_direct.accounts.fairness import RecentService
from shallotyard_direct.accounts.fairness import choose_displaced
from shallotyard_direct.accounts.fairness import order_fairly
from shallotyard_direct.waiting import WaitingRequests

SMALL = [f"small-{n}" for n in range(20)]
# With 5 requests a second of each small account, 0.69 of the capacity is usual.
USUAL_RATES = dict.fromkeys(SMALL, 5.0) | {"large": 10.0}
ACCOUNTS = [build_account(account_id, rate=8.0) for account_id in USUAL_RATES]


def simulate(seed, surge, accounts):
    """Return (fraction of the small accounts' requests within 0.5 s, their mean latency
    in seconds), while the large account sends a multiple of its usual rate.
    """
    simulation = LoadSimulation(seed, accounts)
    simulation.run_accounts(USUAL_RATES | {"large": 10.0 * surge}, 6.0)
    assert simulation.results.keys() == simulation.arrived.keys()
    latencies = [
        latency_s
        for request_id, (status, latency_s) in simulation.results.items()
        if request_id.startswith("small") and status == 200
    ]
    ratio = simulation.compute_success_ratio("small", 0.5)
    return ratio, sum(latencies) / len(latencies)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_surge_of_one_account_does_not_displace_others(seed):
    """Guards against one account at ten times its rate that takes the slots of others:
    without fair order a large part of their requests is refused or late.
    """
    usual_ratio, usual_s = simulate(seed, 1, ACCOUNTS)
    fair_ratio, fair_s = simulate(seed, 10, ACCOUNTS)
    # The same load where no accounts are configured.
    plain_ratio, plain_s = simulate(seed, 10, None)
    assert usual_ratio >= 0.99
    assert fair_ratio >= 0.99
    assert plain_ratio <= 0.9
    assert fair_s - usual_s <= 0.5 * (plain_s - usual_s)


def build_waiting(account_id, arrived_at, priority=1, **changes):
    """Return a waiting request, of no account for an empty id."""
    account = build_account(account_id) if account_id else None
    fields = {"account": account, "arrived_at": arrived_at, "priority": priority}
    route = SimpleNamespace(target_latency_s=0.5)
    return SimpleNamespace(**fields | {"sends": 0, "route": route} | changes)


def list_ids(pending_requests):
    """Return the account ids of waiting requests."""
    return [p.account.account_id if p.account else "" for p in pending_requests]


def test_account_with_the_least_recent_service_goes_first():
    """Guards against an order by arrival alone, and against service that is held
    against an account for ever.
    """
    waiting = [build_waiting(i, n) for n, i in enumerate(["a", "a", "a", "b", ""])]
    service = RecentService()
    assert list_ids(order_fairly(waiting, service, 0.0)) == ["a", "b", "", "a", "a"]
    service.record("a", 0.0)
    assert list_ids(order_fairly(waiting, service, 0.0)) == ["b", "", "a", "a", "a"]
    service.record("b", 60.0)
    assert list_ids(order_fairly(waiting, service, 60.0)) == ["", "a", "b", "a", "a"]


def test_large_account_within_its_rate_goes_before_a_small_one_above_its_own():
    """Guards against large accounts that stand behind all small ones."""
    large = build_waiting("large", 1, account=build_account("large", rate=150.0))
    small = build_waiting("small", 0, account=build_account("small", rate=5.0))
    service = RecentService()
    for _ in range(20):
        service.record("large", 0.0)
        service.record("small", 0.0)
    assert order_fairly([small, large], service, 0.0) == [large, small]


def test_order_without_accounts_is_that_of_priority_and_arrival():
    """Guards against another order in deployments without accounts."""
    rng = random.Random(1)
    queue = WaitingRequests()
    for _ in range(200):
        queue.add(build_waiting("", rng.randrange(50), rng.randrange(3)))
        queue.record_send(queue.pending_requests[-1], 0.0)
    expected = sorted(queue.pending_requests, key=lambda p: (p.priority, p.arrived_at))
    assert queue.list_by_urgency(1.0) == expected
    assert queue.find_displaced(build_waiting("", 50), 1.0) is None


def test_full_queue_refuses_the_newest_request_of_the_largest_account():
    """Guards against a small account that is refused because a large one fills the
    queue, and against a request of another priority or one that may have run, which is
    refused for it.
    """
    waiting = [build_waiting("a", n) for n in range(3)]
    waiting += [build_waiting("b", n) for n in range(2)]
    others = [build_waiting("a", 9, sends=1), build_waiting("c", 9, 0)]
    others += [build_waiting("c", 9, 2) for _ in range(9)]
    small = build_waiting("d", 5)
    assert choose_displaced([*waiting, *others], small) is waiting[2]
    # Its own account is one of the largest.
    assert choose_displaced(waiting, build_waiting("a", 5)) is None
    assert choose_displaced(waiting[1:], build_waiting("b", 5)) is None
    assert choose_displaced(others, small) is None


def test_request_that_would_still_wait_too_long_displaces_none():
    """Guards against two refusals where one is enough."""
    queue = WaitingRequests()
    for number in range(4):
        queue.add(build_waiting("a", number))
    for number in range(3):
        queue.add(build_waiting(f"urgent-{number}", number, 0))
    queue.completion_period_s = 0.1
    small = build_waiting("b", 9)
    assert queue.find_displaced(small, 9.0) is None
    queue.completion_period_s = 0.05
    assert queue.find_displaced(small, 9.0) is queue.pending_requests[3]
