"""Tests of the ingress of requests."""

import json

import pytest
from region_builders import CREDENTIAL
from region_builders import REGION
from region_builders import build_deployment
from region_builders import build_member_age
from region_builders import build_router
from region_builders import build_table

from shallotyard_core.calls import ResultReason
from shallotyard_core.effects import Respond
from shallotyard_core.effects import SendPeer
from shallotyard_core.events import CallerDisconnected
from shallotyard_core.events import CallerRequest
from shallotyard_core.events import HedgeDue
from shallotyard_core.events import PeerReplied
from shallotyard_core.events import RequestArrived
from shallotyard_core.events import RetryDue
from shallotyard_core.messages import Relay
from shallotyard_core.messages import RelayAnswer
from shallotyard_core.problems import build_failure
from shallotyard_core.reducer import reduce
from shallotyard_core.verdict import Verdict

# (holder, epoch, previous holder) by upstream id.
HOLDERS = {"book-1": ("r2", 1, ""), "book-2": ("r2", 1, "")}
# (upstream id, epoch, previous holder) by slice number.
SLICES = [("book-1", 1, ""), ("book-2", 1, "")]


@pytest.fixture
def router():
    """Return an ingress whose keys are all held by the other instance ``r2``."""
    router = build_router()
    router.control.deployment = build_deployment()
    router.ingress.apply_deployment(router.control.deployment, REGION)
    router.ingress.tables_by_region[REGION] = build_table(1, HOLDERS, SLICES)
    router.membership.record_relayed_contact(build_member_age("r2"), 0.0)
    return router


def send_request(router, method="POST", now=0.0, request_id="q", **headers):
    """Send a request to the ingress and return the effects."""
    all_headers = {
        "authorization": f"Bearer {CREDENTIAL}",
        "shallotyard-key": "stall-1",
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    request = CallerRequest(request_id, method, "/book/1", all_headers, b"x")
    return reduce(router, RequestArrived(now, request))


def find_relays(effects):
    """Return the relayed requests among effects."""
    return [
        effect.message
        for effect in effects
        if isinstance(effect, SendPeer) and isinstance(effect.message, Relay)
    ]


def find_response(effects):
    """Return (status, problem) of the response among effects, ``None`` if none."""
    for effect in effects:
        if isinstance(effect, Respond):
            return effect.status, json.loads(effect.body)
    return None


def deliver_reply(router, relay, now, message=None, unsent=False):
    """Deliver the reply to a relay, or its loss."""
    token = ("relay", relay.call_id)
    return reduce(router, PeerReplied(now, "r2", token, 0.0, message, unsent))


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        ({"authorization": "Bearer wrong"}, 401),
        ({"authorization": ""}, 401),
        ({"shallotyard_key": ""}, 400),
        ({"shallotyard_deadline_ms": "soon"}, 400),
        ({"shallotyard_deadline_ms": "-5"}, 400),
        ({"idempotency_key": "k" * 600}, 400),
    ],
)
def test_bad_requests_are_refused_as_not_run(router, headers, status):
    """Guards against an invalid request that reaches an upstream."""
    effects = send_request(router, **headers)
    assert not find_relays(effects)
    found, problem = find_response(effects)
    assert (found, problem["verdict"]) == (status, "not-run")
    assert not router.ingress.pending_by_id


def test_lost_holder_gives_may_have_run_without_a_retry(router):
    """Guards against a non-idempotent request sent again after its holder was lost."""
    (relay,) = find_relays(send_request(router))
    status, problem = find_response(deliver_reply(router, relay, 0.5))
    assert (status, problem["verdict"]) == (502, "may-have-run")


@pytest.mark.parametrize("reason", ["answered", "repeated"])
@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_action_that_has_run_is_answered_with_a_promise(router, status, reason):
    """HTTP clients repeat even a booking after these statuses, and the upstream's was
    passed on although the booking had run.
    """
    (relay,) = find_relays(send_request(router))
    headers = {"Retry-After": "2"}
    ran = RelayAnswer(relay.call_id, Verdict.RAN, reason, status, headers, b"full")
    effects = deliver_reply(router, relay, 0.5, ran)
    (response,) = [effect for effect in effects if isinstance(effect, Respond)]
    assert response.status == 502
    assert "Retry-After" not in response.headers
    assert response.headers["Shallotyard-Verdict"] == "ran"
    problem = json.loads(response.body)
    assert problem["type"] == "urn:shallotyard:problem:status-withheld"
    assert problem["upstream_status"] == status
    assert router.ingress.withheld_responses == 1


def test_failure_of_an_idempotent_request_is_withheld(router):
    """Guards against callers that lose the upstream's answer to a request that they may
    repeat.
    """
    (relay,) = find_relays(send_request(router, method="GET"))
    headers = {"Retry-After": "2"}
    ran = RelayAnswer(relay.call_id, Verdict.RAN, "answered", 503, headers, b"full")
    effects = deliver_reply(router, relay, 0.5, ran)
    (response,) = [effect for effect in effects if isinstance(effect, Respond)]
    assert (response.status, response.body) == (503, b"full")
    assert response.headers["Retry-After"] == "2"


def test_reply_to_another_call_answers_a_request(router):
    """Guards against a caller that gets the response to the request of another one."""
    (relay,) = find_relays(send_request(router))
    (other_relay,) = find_relays(send_request(router, request_id="q2"))
    crossed = RelayAnswer(other_relay.call_id, Verdict.RAN, "answered", 200, {}, b"{}")
    status, problem = find_response(deliver_reply(router, relay, 0.5, crossed))
    assert (status, problem["request_id"]) == (502, "q")


def test_unsent_request_is_sent_again(router):
    """Guards against failing a request that never left this process."""
    (relay,) = find_relays(send_request(router))
    assert find_response(deliver_reply(router, relay, 0.5, unsent=True)) is None
    assert find_relays(reduce(router, RetryDue(0.6, "q")))


def test_request_with_idempotency_key_is_retried_after_holder_loss(router):
    """Guards against a lost response that the outcome store could have returned."""
    (relay,) = find_relays(send_request(router, idempotency_key="k"))
    assert find_response(deliver_reply(router, relay, 0.5)) is None
    (retried_relay,) = find_relays(reduce(router, RetryDue(0.6, "q")))
    assert retried_relay.identity == relay.identity != ""
    stored = RelayAnswer(retried_relay.call_id, Verdict.RAN, "repeated", 200, {}, b"{}")
    assert find_response(deliver_reply(router, retried_relay, 0.7, stored))[0] == 200


def test_verdict_stays_may_have_run_after_a_refused_retry(router):
    """Guards against a "not-run" verdict although an earlier attempt may have run."""
    (relay,) = find_relays(send_request(router, idempotency_key="k"))
    deliver_reply(router, relay, 0.5)
    (retried_relay,) = find_relays(reduce(router, RetryDue(0.6, "q")))
    refused = RelayAnswer(retried_relay.call_id, Verdict.NOT_RUN, "saturated")
    status, problem = find_response(deliver_reply(router, retried_relay, 0.7, refused))
    assert (status, problem["verdict"]) == (502, "may-have-run")


@pytest.mark.parametrize(
    ("reason", "verdict", "retry_after"),
    [
        (ResultReason.SATURATED, "may-have-run", None),
        (ResultReason.LOST, "may-have-run", None),
        (ResultReason.SATURATED, "not-run", "3"),
    ],
)
def test_failure_that_promises_nothing_asks_for_a_repetition(
    reason, verdict, retry_after
):
    """A booking that may have run was answered 502 with a refusal's Retry-After."""
    response = build_failure("q", reason, Verdict(verdict), retry_after_s=2.5)
    assert response.headers.get("Retry-After") == retry_after


def test_idempotent_request_is_retried_when_its_holder_is_silent(router):
    """Guards against a request that waits for a frozen holder until its deadline."""
    (relay,) = find_relays(send_request(router, method="GET"))
    effects = []
    router.ingress.fail_expired(0.9, effects)
    assert relay.call_id in router.ingress.request_id_by_call_id
    router.ingress.fail_expired(1.2, effects)
    assert relay.call_id not in router.ingress.request_id_by_call_id
    assert "q" in router.ingress.pending_by_id
    assert find_relays(reduce(router, RetryDue(1.3, "q")))


def test_late_reply_after_the_deadline_is_ignored(router):
    """Guards against a response that is sent for the next request of a connection."""
    (relay,) = find_relays(send_request(router))
    effects = []
    router.ingress.fail_expired(2.1, effects)
    assert find_response(effects)[1]["verdict"] == "may-have-run"
    late_reply = RelayAnswer(relay.call_id, Verdict.RAN, "answered", 200, {}, b"{}")
    assert find_response(deliver_reply(router, relay, 2.2, late_reply)) is None


def test_attempt_that_loses_to_its_hedge_is_counted(router):
    """Guards against a count of attempts that omits the hedges."""
    holders = {"till-1": ("r2", 1, ""), "till-2": ("r2", 1, "")}
    table = build_table(1, holders, [], service="till")
    router.ingress.tables_by_region[REGION] = table
    router.ingress.clear_candidates()
    headers = {"authorization": f"Bearer {CREDENTIAL}"}
    request = CallerRequest("q", "GET", "/till/1", headers, b"")
    (first,) = find_relays(reduce(router, RequestArrived(0.0, request)))
    (second,) = find_relays(reduce(router, HedgeDue(0.1, "q")))
    winning_reply = RelayAnswer(second.call_id, Verdict.RAN, "answered", 200, {}, b"{}")
    deliver_reply(router, second, 0.2, winning_reply)
    assert router.ingress.attempts == 2
    late_reply = RelayAnswer(first.call_id, Verdict.RAN, "answered", 200, {}, b"{}")
    deliver_reply(router, first, 0.3, late_reply)
    assert router.ingress.attempts == 2


def test_attempt_for_a_caller_that_disconnected_is_counted(router):
    """Guards against attempts that upstreams run but that are not counted."""
    send_request(router, method="GET")
    reduce(router, CallerDisconnected(0.1, "q"))
    assert router.ingress.attempts == 1
