"""Tests of what callers get from the quotas of client accounts."""

import orjson
import pytest
from direct_builders import build_account
from direct_builders import build_configuration
from direct_builders import build_request
from direct_builders import build_route
from direct_builders import build_service
from direct_builders import build_settings
from direct_builders import build_upstream

from shallotyard_core.effects import LogDecision
from shallotyard_core.events import CallerDisconnected
from shallotyard_core.events import Tick
from shallotyard_core.verdict import Verdict
from shallotyard_direct import events
from shallotyard_direct import granter_lease
from shallotyard_direct.accounts.model import digest_key
from shallotyard_direct.effects import AnswerShareRequest
from shallotyard_direct.effects import ReplyToLoadReport
from shallotyard_direct.effects import ReportLoad
from shallotyard_direct.effects import RequestShares
from shallotyard_direct.effects import Respond
from shallotyard_direct.effects import SendAttempt
from shallotyard_direct.effects import SendRelay
from shallotyard_direct.effects import WriteRecord
from shallotyard_direct.router import INSTANCES_KIND
from shallotyard_direct.router import DirectRouter
from shallotyard_direct.router import reduce

MEMBERS = {
    f"front-{n}": {"domain": "split", "address": f"127.0.0.1:{n}"} for n in (1, 2)
}
# Ten requests in five seconds.
QUOTA = {"rate": 1.0, "burst": 5.0}


def start(instance="front-1", **account_changes):
    """Return a router that knows an account, an upstream and another instance."""
    settings = build_settings(instance, retry_ratio=1.0)
    router = DirectRouter.from_settings(settings, f"run-{instance}", 0.0, 1)
    accounts = [build_account(**QUOTA | account_changes)]
    configuration = build_configuration(
        [build_route()], [build_service(cold_s=0.0)], accounts=accounts
    )
    reduce(router, events.ConfigurationReceived(0.0, configuration))
    reduce(router, events.UpstreamsListed(0.0, [build_upstream(slots=50)]))
    reduce(router, events.RecordsListed(0.0, INSTANCES_KIND, MEMBERS))
    return router


def make_granter(router, now=1.0):
    """Let a router acquire the lease for the first time."""
    kind, name = granter_lease.KIND, granter_lease.NAME
    reduce(router, events.RecordReceived(now, kind, name, 0, None))
    writes = [e for e in reduce(router, Tick(now)) if isinstance(e, WriteRecord)]
    (write,) = [write for write in writes if write.kind == kind]
    done = events.WriteStatus.DONE
    reduce(router, events.RecordWritten(now, kind, name, write.token, done, now, 1))
    return write.value


def submit(router, now, number):
    """Submit a request of the account; return the effects."""
    request = build_request(f"r{number}", key_digest=digest_key(b"kotor"))
    return reduce(router, events.RequestArrived(now, request))


def find_effects(effects, effect_type):
    """Return the effects of a type."""
    return [effect for effect in effects if isinstance(effect, effect_type)]


def finish(router, effects, verdict, now):
    """End the attempts among effects; return the effects of that."""
    ended = []
    for attempt in find_effects(effects, SendAttempt):
        status = 200 if verdict is Verdict.RAN else 0
        event = events.AttemptFinished(now, attempt.attempt_id, verdict, status=status)
        ended += reduce(router, event)
    return ended


def count_sent(router, now, count):
    """Submit requests; return how many were sent."""
    effects = [submit(router, now, f"{now}-{n}") for n in range(count)]
    return sum(len(find_effects(e, SendAttempt)) for e in effects)


def test_request_above_the_quota_is_refused():
    """Guards against requests that exceed a quota, and against a refusal that does not
    say when to come back, or which quota refused.
    """
    router = start()
    make_granter(router)
    for number in range(10):
        finish(router, submit(router, 2.0, number), Verdict.RAN, 2.1)
    effects = submit(router, 2.5, "last")
    (response,) = find_effects(effects, Respond)
    assert (response.status, orjson.loads(response.body)["verdict"]) == (429, "not-run")
    assert 4.5 <= response.retry_after_s <= 7.5
    (line,) = find_effects(effects, LogDecision)
    assert line.reason == "quota-exceeded"
    assert (line.fields["quota"], line.fields["quota_source"]) == (10, "granter")
    assert line.fields["account"] not in ("", "kotor")


def test_request_that_has_not_run_does_not_count():
    """Guards against accounts that pay for requests that no upstream has run."""
    router = start()
    make_granter(router)
    reduce(router, events.UpstreamsListed(1.5, []))
    for number in range(20):
        (response,) = find_effects(submit(router, 2.0, number), Respond)
        assert response.status == 503
    reduce(router, events.UpstreamsListed(2.0, [build_upstream(slots=50)]))
    submit(router, 2.0, "left")
    reduce(router, CallerDisconnected(2.0, "rleft"))
    # The upstream may have run the request of the caller that left.
    assert count_sent(router, 2.1, 20) == 9


@pytest.mark.parametrize(("used", "sends"), [(9, 0), (5, 1)])
def test_retry_counts_if_the_first_attempt_may_have_run(used, sends):
    """Guards against runs of one request that count once, beyond the quota."""
    router = start()
    make_granter(router)
    assert count_sent(router, 2.0, used) == used
    effects = submit(router, 2.0, "lost")
    retries = finish(router, effects, Verdict.MAY_HAVE_RUN, 2.1)
    assert len(find_effects(retries, SendAttempt)) == sends


def test_request_without_a_share_waits_for_the_granter():
    """Guards against an instance that refuses a request before it has asked for a
    share, or that never asks, and against an answer that is not applied.
    """
    granter, other = start(), start("front-2")
    record = make_granter(granter)
    kind, name = granter_lease.KIND, granter_lease.NAME
    reduce(other, events.RecordReceived(1.0, kind, name, 1, record))
    effects = submit(other, 2.0, 1)
    assert not find_effects(effects, Respond) + find_effects(effects, SendAttempt)
    (call,) = find_effects(effects, RequestShares)
    event = events.SharesRequested(2.01, "token", "front-2", call.wanted)
    (answer,) = find_effects(reduce(granter, event), AnswerShareRequest)
    event = events.SharesGranted(2.02, call.requested_at, answer.answer)
    assert find_effects(reduce(other, event), SendAttempt)
    # The share of the other instance is taken from the quota of the granter.
    assert count_sent(granter, 2.1, 20) < 10
    (report,) = find_effects(reduce(other, Tick(3.0)), ReportLoad)
    event = events.LoadReported(3.0, "front-2", report.value)
    (reply,) = find_effects(reduce(granter, event), ReplyToLoadReport)
    share, validity_s = reply.shares["shares"]["kotor"]
    assert share >= 1 and validity_s == 8.0


def test_request_is_refused_as_unknown_without_an_answer():
    """Guards against requests that wait for a lost granter until they expire, and
    against a refusal that claims that the quota is used up.
    """
    router = start("front-2", rate=0.1, burst=0.0)
    router.dispatcher.quotas.margin_from = 1000.0
    submit(router, 2.0, 1)
    (response,) = find_effects(reduce(router, Tick(2.13)), Respond)
    assert response.status == 503
    assert orjson.loads(response.body)["type"].endswith("quota-unknown")
    assert 0.5 <= response.retry_after_s <= 1.0
    # The next ones wait for the next tick only.
    submit(router, 2.5, 2)
    assert find_effects(reduce(router, Tick(2.51)), Respond)


def test_waiting_request_is_not_sent_after_the_end_of_its_share():
    """Guards against a share that is used after others may have got it."""
    router = start()
    make_granter(router)
    reduce(router, events.UpstreamsListed(1.5, []))
    assert not find_effects(submit(router, 2.0, 1), SendAttempt)
    quotas = router.dispatcher.quotas
    quotas.admit("kotor", "held", 2.0)
    assert quotas.may_send("held", 2.1)
    assert not quotas.may_send("held", 20.0)


def test_relayed_request_counts_once_and_runs_once():
    """Guards against a relayed request that counts at both instances, or that runs more
    often there than it counts.
    """
    router, other = start(), start("front-2")
    make_granter(router)
    router.dispatcher.reachability.is_cut_off = True
    (relay,) = find_effects(submit(router, 2.0, 1), SendRelay)
    attempts = relay.relayed.runs + 1
    assert attempts == build_route().max_attempts
    effects = reduce(other, events.RelayRequested(2.1, relay.relayed))
    assert find_effects(effects, SendAttempt)
    assert not other.dispatcher.quotas.credits_by_request
