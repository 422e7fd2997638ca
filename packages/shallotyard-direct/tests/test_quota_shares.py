"""Tests of single steps by which the shares of a quota stay within it."""

import random

from direct_builders import build_account
from direct_builders import build_settings

from shallotyard_direct.accounts.quota_granter import QuotaGranter
from shallotyard_direct.accounts.quota_shares import AccountQuotas
from shallotyard_direct.accounts.quota_shares import AdmissionResult

# Ten requests in five seconds.
ACCOUNTS = {"kotor": build_account(rate=2.0)}
SETTINGS = build_settings(quota_overage=0.0, quota_slack=0.0)


def build_quotas(incarnation="run-1", now=0.0):
    """Return the quotas of an instance."""
    quotas = AccountQuotas(SETTINGS, incarnation, now, random.Random(1))
    quotas.apply_configuration(ACCOUNTS, now)
    return quotas


def build_granter(now=0.0, term=1):
    """Return a granter; that of the first term knows that no shares exist."""
    granter = QuotaGranter(SETTINGS)
    granter.apply_configuration(ACCOUNTS)
    granter.apply_members(["front-1", "front-2"])
    granter.acquire(now, 0, term, is_first=term == 1)
    return granter


def admit(quotas, count, now):
    """Submit requests; return how many were admitted."""
    ids = [f"{now}-{number}" for number in range(count)]
    results = [quotas.admit("kotor", i, now).result for i in ids]
    return sum(result is AdmissionResult.ADMITTED for result in results)


def request(granter, quotas, instance, count, now):
    """Submit requests for which shares are requested; return the answer."""
    admit(quotas, count, now)
    return granter.handle_request(instance, quotas.take_request(now), now)


def report(granter, quotas, instance, now):
    """Report, and apply the answer."""
    answer = granter.handle_report(instance, quotas.build_report(now), now)
    quotas.apply_shares(answer, now, now)


def test_answer_on_the_way_counts():
    """Guards against a share that is granted to two instances, because the first has
    not said yet that it has got it.
    """
    granter, first, second = build_granter(), build_quotas(), build_quotas()
    answer = request(granter, first, "front-1", 8, 1.0)
    wanted = first.build_report(1.1) | {"shares": {"kotor": [0, 0.0, 0, 1, 1]}}
    granter.handle_request("front-1", wanted, 1.1)
    second.apply_shares(request(granter, second, "front-2", 8, 1.2), 1.2, 1.2)
    first.apply_shares(answer, 1.0, 1.3)
    assert admit(first, 20, 1.3) + admit(second, 20, 1.3) <= 10


def test_lower_share_is_free_when_no_window_exceeds_it():
    """Guards against a share that is given to others while the instance that held it
    has used it within the window.
    """
    granter, first = build_granter(), build_quotas()
    first.apply_shares(request(granter, first, "front-1", 8, 1.0), 1.0, 1.0)
    lower = {"granter": [0, 1, 1], "serial": 9, "complete": True}
    assert admit(first, 6, 2.0) == 6
    first.apply_shares(lower | {"shares": {"kotor": [2, 8.0]}}, 2.0, 2.1)
    assert first.build_report(2.2)["shares"]["kotor"][0] == 6


def test_older_answer_is_not_applied():
    """Guards against an answer that overtakes a newer one, which the granter takes for
    superseded.
    """
    granter, quotas = build_granter(), build_quotas()
    older = request(granter, quotas, "front-1", 8, 1.0)
    newer = dict(older, serial=older["serial"] + 1, shares={"kotor": [1, 8.0]})
    quotas.apply_shares(newer, 1.1, 1.2)
    quotas.apply_shares(older, 1.0, 1.3)
    assert admit(quotas, 20, 1.4) == 1


def test_new_granter_waits_for_answers_of_the_former_one():
    """Guards against a granter that gives away what an answer of its predecessor still
    gives to another instance.
    """
    former, first, second = build_granter(), build_quotas(), build_quotas()
    answer = request(former, first, "front-1", 8, 19.9)
    granter = build_granter(20.0, term=2)
    report(granter, second, "front-2", 20.1)
    granter.handle_report("front-1", first.build_report(20.1), 20.1)
    first.apply_shares(answer, 19.9, 20.2)
    assert not request(granter, second, "front-2", 8, 20.3)
    for now in (21.2, 22.2):
        report(granter, first, "front-1", now)
        report(granter, second, "front-2", now)
    assert admit(first, 20, 22.3) + admit(second, 20, 22.3) <= 10
    # All have reported, and none of them is a new process.
    assert granter.known_from <= 22.2


def test_share_ends_before_it_is_given_to_others():
    """Guards against an instance that is cut off and sends what others have got."""
    granter, first, second = build_granter(), build_quotas(), build_quotas()
    first.apply_shares(request(granter, first, "front-1", 8, 1.0), 1.0, 1.0)
    assert admit(first, 1, 7.9) == 1
    assert admit(first, 20, 8.1) == 0
    answer = request(granter, second, "front-2", 8, 13.5)
    assert answer["shares"]["kotor"][0] <= 2
    answer = request(granter, second, "front-2", 8, 14.5)
    assert answer["shares"]["kotor"][0] >= 8


def test_former_run_of_a_process_counts():
    """Guards against a restart that lets an instance send its share twice."""
    granter, first, second = build_granter(), build_quotas(), build_quotas()
    first.apply_shares(request(granter, first, "front-1", 8, 1.0), 1.0, 1.0)
    assert admit(first, 8, 2.0) == 8
    restarted = build_quotas("run-2", 3.0)
    report(granter, restarted, "front-1", 3.5)
    answer = request(granter, second, "front-2", 8, 4.0)
    assert answer["shares"]["kotor"][0] <= 2
    # The next granter does not know the former run.
    granter = build_granter(3.6, term=2)
    report(granter, restarted, "front-1", 5.0)
    report(granter, second, "front-2", 5.0)
    assert granter.known_from == 8.0


def test_lower_quota_scales_the_share_at_once():
    """Guards against an instance that uses its former share without the granter."""
    granter, quotas = build_granter(), build_quotas()
    quotas.apply_shares(request(granter, quotas, "front-1", 10, 1.0), 1.0, 1.0)
    quotas.apply_configuration({"kotor": build_account(rate=1.0)}, 2.0)
    assert admit(quotas, 20, 2.0) == 5
