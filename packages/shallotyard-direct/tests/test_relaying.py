"""Tests of requests that an instance without a reach to upstreams hands to others."""

from dataclasses import replace

import pytest
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
from shallotyard_direct import relaying
from shallotyard_direct.effects import AbandonAttempt
from shallotyard_direct.effects import AbandonRelay
from shallotyard_direct.effects import CheckConfiguration
from shallotyard_direct.effects import Exit
from shallotyard_direct.effects import ReplyToRelay
from shallotyard_direct.effects import Respond
from shallotyard_direct.effects import SendAttempt
from shallotyard_direct.effects import SendRelay
from shallotyard_direct.effects import WriteRecord
from shallotyard_direct.key_table import KeyRange
from shallotyard_direct.key_table import KeyTable
from shallotyard_direct.model import MAX_KEY
from shallotyard_direct.model import RelayedRequest
from shallotyard_direct.model import RelayReply
from shallotyard_direct.model import SplitPart
from shallotyard_direct.router import DirectRouter
from shallotyard_direct.router import reduce

ORDER = {"method": "POST", "target": "/orders/1"}
MEMBERS = {
    "front-1": "split",
    "front-2": "split",
    "front-3": "zadar",
    "front-4": "osijek",
}
ROUTES = [
    build_route(),
    build_route("/orders/", "orders", idempotent=False, max_attempts=3),
]
SERVICES = [build_service(), build_service("orders")]
UPSTREAMS = [
    build_upstream("u1"),
    build_upstream("u2"),
    build_upstream("o1", "orders"),
    build_upstream("o2", "orders"),
]


def start(instance="front-1", routes=ROUTES, services=SERVICES, **changes):
    """Return a router that knows a configuration, upstreams and other instances."""
    domain = MEMBERS.get(instance, "split")
    settings = build_settings(instance, domain, **changes)
    router = DirectRouter.from_settings(settings, "run-1", 0.0, 1)
    configuration = build_configuration(routes, services)
    reduce(router, events.ConfigurationReceived(0.0, configuration))
    reduce(router, events.UpstreamsListed(0.0, UPSTREAMS))
    records = {
        name: {"domain": domain, "address": f"10.0.1.{name[-1]}:7000"}
        for name, domain in MEMBERS.items()
    }
    reduce(router, events.RecordsListed(0.0, "instances", records))
    return router


def cut_off(router, now=0.9):
    """Let the router find out that it reaches no upstream; return the effects."""
    effects = []
    for upstream in UPSTREAMS:
        tried = events.ConnectionTried(now, upstream.upstream_id, False)
        effects += reduce(router, tried)
    return effects


def heal(router, now):
    """Let a connection to an upstream be opened."""
    return reduce(router, events.ConnectionTried(now, "u1", True))


def submit(router, now=1.0, **changes):
    """Submit a request; return the effects."""
    return reduce(router, events.RequestArrived(now, build_request(**changes)))


def end_relay(router, relay, now=1.1, **fields):
    """End a relay; return the effects."""
    reply = RelayReply(**fields)
    return reduce(router, events.RelayFinished(now, relay.relay_id, reply))


def receive(router, now=1.0, elapsed_s=0.0, relayed=None, **changes):
    """Receive a request from ``front-1``; return the effects."""
    if relayed is None:
        relayed = RelayedRequest(build_request(**changes), "front-1", elapsed_s)
    return reduce(router, events.RelayRequested(now, relayed))


def find_effects(effects, effect_type):
    """Return the effects of a type."""
    return [effect for effect in effects if isinstance(effect, effect_type)]


def get_only_effect(effects, effect_type):
    """Return the only effect of a type."""
    (effect,) = find_effects(effects, effect_type)
    return effect


def find_logs(effects, decision):
    """Return the log lines of a decision."""
    return [e for e in find_effects(effects, LogDecision) if e.decision == decision]


# At the instance that is cut off


def test_instance_without_a_reach_to_upstreams_serves_its_callers():
    """Guards against callers that are refused at an instance that reaches no upstream,
    although other instances reach them.
    """
    router = start()
    now = 1.0
    effects = submit(router, now, request_id="r0")
    while not find_effects(effects, SendRelay):
        sent = find_effects(effects, SendAttempt)
        assert sent, "the request was neither sent nor relayed"
        now += 0.01
        upstream_id = sent[0].upstream_id
        effects = reduce(router, events.ConnectionTried(now, upstream_id, False))
        other = "o1" if upstream_id[0] == "u" else "u1"
        effects += reduce(router, events.ConnectionTried(now, other, False))
        ended = events.AttemptFinished(
            now, sent[0].attempt_id, Verdict.NOT_RUN, "refused", unsent=True
        )
        effects += reduce(router, ended)
    relay = get_only_effect(effects, SendRelay)
    effects = end_relay(
        router, relay, now, verdict=Verdict.RAN, status=200, body=b"whole"
    )
    response = get_only_effect(effects, Respond)
    assert (response.request_id, response.status) == ("r0", 200)
    assert response.body == b"whole"
    assert router.is_ready()
    assert not router.dispatcher.pending_by_id
    assert not router.dispatcher.relays.counts_by_member


def test_cut_and_relays_are_logged():
    """Guards against a cut that no log line shows."""
    router = start()
    assert find_logs(cut_off(router), "cut-off")[0].reason == "began"
    relay = get_only_effect(submit(router), SendRelay)
    effects = end_relay(router, relay, verdict=Verdict.RAN, status=200)
    line = find_logs(effects, "relayed")[0]
    assert line.fields["relayed_to"] == relay.instance
    assert line.fields["request_id"] == "caller-r1"
    assert (line.fields["status"], line.fields["upstream_status"]) == (200, 200)
    assert (line.fields["route"], line.fields["idempotent"]) == ("route-/status/", True)
    ended = find_logs(heal(router, 3.0), "cut-off")[0]
    assert (ended.reason, ended.fields["duration_ms"]) == ("ended", 2100)


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_reply_of_another_instance_says_that_an_action_has_not_run(status):
    """Instances of the version in production reply with the status of the upstream, and
    callers took it for a refusal.
    """
    router = start()
    cut_off(router)
    relay = get_only_effect(submit(router, **ORDER), SendRelay)
    headers = [("Shallotyard-Response-Seal", "s"), ("Retry-After", "2")]
    effects = end_relay(
        router, relay, verdict=Verdict.RAN, status=status, headers=headers
    )
    response = get_only_effect(effects, Respond)
    assert response.status == 502
    assert [name for name, _ in response.headers] == ["Content-Type"]
    line = find_logs(effects, "relayed")[0]
    assert line.reason == "502"
    assert (line.fields["status"], line.fields["upstream_status"]) == (502, status)


def test_relayed_answer_to_a_safe_request_is_replaced():
    """Guards against other answers than the upstream's for requests that may be
    repeated anyway.
    """
    router = start()
    cut_off(router)
    relay = get_only_effect(submit(router), SendRelay)
    headers = [("Shallotyard-Response-Seal", "s"), ("Retry-After", "2")]
    effects = end_relay(router, relay, verdict=Verdict.RAN, status=503, headers=headers)
    response = get_only_effect(effects, Respond)
    assert (response.status, response.headers) == (503, headers)


def test_requests_go_to_upstreams_again_after_the_cut():
    """Guards against an instance that relays, or pauses upstreams, after the cut."""
    router = start()
    for upstream in UPSTREAMS[:2]:
        for _ in range(3):
            router.dispatcher.placement.get_load(upstream.upstream_id).record_failure(1)
    cut_off(router)
    heal(router, 1.0)
    assert find_effects(submit(router, 1.1), SendAttempt)


def test_waiting_requests_are_relayed_when_the_cut_is_noticed():
    """Guards against requests that wait for upstreams until they are refused."""
    router = start()
    sent = 0
    for number in range(16):
        effects = submit(router, 0.8, request_id=f"r{number}")
        sent += len(find_effects(effects, SendAttempt))
    assert sent < 16
    relays = find_effects(cut_off(router, 0.85), SendRelay)
    assert len(relays) == 16 - sent
    assert not find_effects(reduce(router, Tick(2.0)), Respond)


def test_relay_carries_the_time_since_the_arrival():
    """Guards against a relay that prolongs the deadline of the caller."""
    router = start()
    attempt = get_only_effect(submit(router, 0.5, caller_timeout_s=1.2), SendAttempt)
    cut_off(router, 0.9)
    ended = events.AttemptFinished(
        1.0, attempt.attempt_id, Verdict.NOT_RUN, "timed out", unsent=True
    )
    relay = get_only_effect(reduce(router, ended), SendRelay)
    assert relay.relayed.elapsed_s == pytest.approx(0.5)
    assert relay.relayed.request.caller_timeout_s == pytest.approx(1.2)
    assert relay.deadline == pytest.approx(1.7)


def test_request_without_time_left_is_not_relayed():
    """Guards against instances that are avoided because a request had no time left."""
    router = start()
    cut_off(router)
    effects = submit(router, caller_timeout_s=0.05)
    assert not find_effects(effects, SendRelay)
    assert get_only_effect(effects, Respond).status == 503


def test_nearest_instance_comes_first():
    """Guards against bytes between failure domains and regions that cost money."""
    router = start()
    cut_off(router)
    relays = [
        get_only_effect(submit(router, request_id=f"r{n}"), SendRelay)
        for n in range(20)
    ]
    instances = [relay.instance for relay in relays]
    assert instances[:3] == ["front-2"] * 3
    assert "front-1" not in instances
    counts = {name: instances.count(name) for name in MEMBERS}
    assert counts["front-2"] > counts["front-3"] > counts["front-4"]


def test_declined_request_goes_to_another_instance():
    """Guards against a request that is refused as soon as one instance declines it."""
    router = start()
    cut_off(router)
    first = get_only_effect(submit(router, **ORDER), SendRelay)
    effects = end_relay(router, first, declined=relaying.DECLINED_CUT_OFF)
    second = get_only_effect(effects, SendRelay)
    assert second.instance != first.instance
    # The next request avoids the one that declined.
    third = get_only_effect(submit(router, 1.2, request_id="r2"), SendRelay)
    assert third.instance != first.instance
    later = get_only_effect(submit(router, 2.2, request_id="r3"), SendRelay)
    assert later.instance == first.instance


@pytest.mark.parametrize("reason", ["unreached", "cut-off"])
def test_instances_that_cannot_serve_are_avoided_for_longer(reason):
    """Guards against requests that wait for instances that are gone, or try many that
    are cut off as well.
    """
    router = start()
    cut_off(router)
    now = 1.0
    tries = 0
    for number in range(40):
        now += 0.25
        effects = submit(router, now, request_id=f"r{number}")
        relay = get_only_effect(effects, SendRelay)
        if relay.instance == "front-2":
            tries += 1
            effects = end_relay(router, relay, now, declined=reason)
            relay = get_only_effect(effects, SendRelay)
        end_relay(router, relay, now, verdict=Verdict.RAN, status=200)
    assert 2 <= tries <= 4


def test_requests_declined_together_count_as_one_failure():
    """Guards against an instance that is avoided for seconds after one short cut."""
    router = start()
    cut_off(router)
    relays = [
        get_only_effect(submit(router, request_id=f"r{n}"), SendRelay) for n in range(3)
    ]
    assert {relay.instance for relay in relays} == {"front-2"}
    for relay in relays:
        end_relay(router, relay, declined=relaying.DECLINED_CUT_OFF)
    later = get_only_effect(submit(router, 2.2, request_id="r9"), SendRelay)
    assert later.instance == "front-2"


def test_routes_that_nobody_may_serve_leave_the_instance_ready():
    """Guards against an instance that is not ready although others take its requests,
    because no instance of the home regions of one route does.
    """
    nowhere = build_route("/orders/", "orders", home_regions=frozenset({"north"}))
    router = start(routes=[build_route(), nowhere])
    cut_off(router)
    relay = get_only_effect(submit(router), SendRelay)
    end_relay(router, relay, verdict=Verdict.RAN, status=200)
    effects = submit(router, 1.2, request_id="r2", target="/orders/1")
    assert get_only_effect(effects, Respond).status == 503
    assert router.is_ready()


def test_domain_that_is_cut_off_is_left_after_few_tries():
    """Guards against a request that is refused after it was handed to one instance
    after the other of a failure domain that is cut off as a whole.
    """
    router = start()
    records = {
        f"front-2{n}": {"domain": "split", "address": f"10.0.1.2{n}:7000"}
        for n in range(20)
    }
    reduce(router, events.RecordsListed(0.1, "instances", records))
    cut_off(router)
    effects = submit(router)
    while (relay := get_only_effect(effects, SendRelay)).instance.startswith("front-2"):
        effects = end_relay(router, relay, declined=relaying.DECLINED_CUT_OFF)
    assert relay.instance == "front-3"
    assert len(router.dispatcher.pending_by_id["r1"].tried_members) == 2


def test_request_that_nobody_takes_is_refused_at_once():
    """Guards against a caller that waits although no instance takes its request, and
    against an instance that stays ready without serving anybody.
    """
    router = start()
    cut_off(router)
    effects = submit(router)
    tries = 0
    while find_effects(effects, SendRelay):
        tries += 1
        relay = get_only_effect(effects, SendRelay)
        effects = end_relay(router, relay, declined=relaying.DECLINED_BUSY)
    assert tries == 3
    response = get_only_effect(effects, Respond)
    assert response.status == 503
    assert 0 < response.retry_after_s < 0.5
    assert not router.is_ready()
    # Another instance may take requests later.
    reduce(router, Tick(1.1 + relaying.UNACCEPTED_S))
    assert router.is_ready()


def test_instance_is_ready_when_a_relay_is_accepted():
    """Guards against an instance that is not ready while its callers are served."""
    router = start()
    cut_off(router)
    relays = [
        get_only_effect(submit(router, request_id=f"r{n}"), SendRelay) for n in range(2)
    ]
    router.dispatcher.relays.unaccepted_until = 9.0
    assert not router.is_ready()
    end_relay(router, relays[0], verdict=Verdict.RAN, status=200)
    assert router.is_ready()


def test_unready_instance_is_ready_after_the_cut():
    """Guards against an instance that is not ready although it reaches upstreams."""
    router = start()
    cut_off(router)
    router.dispatcher.relays.unaccepted_until = 9.0
    assert not router.is_ready()
    heal(router, 1.0)
    assert router.is_ready()


def test_action_with_a_lost_reply_is_not_sent_again():
    """Guards against a non-idempotent request that runs twice, or that is reported as
    not run although it may have run at the other instance.
    """
    router = start()
    cut_off(router)
    relay = get_only_effect(submit(router, **ORDER), SendRelay)
    effects = end_relay(router, relay, lost=True, verdict=Verdict.MAY_HAVE_RUN)
    assert not find_effects(effects, SendRelay)
    assert not find_effects(effects, SendAttempt)
    assert get_only_effect(effects, Respond).status == 502


def test_lost_reply_at_the_deadline_is_a_timeout():
    """Guards against an answer that promises that a request has not run."""
    router = start()
    cut_off(router)
    relay = get_only_effect(submit(router, **ORDER), SendRelay)
    effects = end_relay(router, relay, 2.6, lost=True, verdict=Verdict.MAY_HAVE_RUN)
    assert get_only_effect(effects, Respond).status == 504


def test_action_that_may_have_run_is_not_relayed():
    """Guards against a non-idempotent request that is relayed after its connection to
    an upstream broke.
    """
    router = start()
    attempt = get_only_effect(submit(router, **ORDER), SendAttempt)
    cut_off(router, 1.1)
    ended = events.AttemptFinished(
        1.2, attempt.attempt_id, Verdict.MAY_HAVE_RUN, "reset"
    )
    effects = reduce(router, ended)
    assert not find_effects(effects, SendRelay)
    assert get_only_effect(effects, Respond).status == 502


def test_relay_of_an_action_that_may_have_run_violates_an_invariant():
    """Guards against a second run by a fault in the dispatch."""
    router = start()
    cut_off(router)
    relay = get_only_effect(submit(router, **ORDER), SendRelay)
    router.dispatcher.pending_by_id["r1"].verdict = Verdict.MAY_HAVE_RUN
    effects = end_relay(router, relay, declined=relaying.DECLINED_BUSY)
    assert not find_effects(effects, SendRelay)
    assert find_logs(effects, "invariant-violation")
    assert get_only_effect(effects, Respond).status == 500


def test_idempotent_request_with_a_lost_reply_is_retried_within_its_limits():
    """Guards against retries of relays beyond the attempts of a route or the budget."""
    router = start()
    for number in range(100):
        attempt = get_only_effect(
            submit(router, 0.1, request_id=f"b{number}"), SendAttempt
        )
        ended = events.AttemptFinished(0.1, attempt.attempt_id, Verdict.RAN, status=200)
        reduce(router, ended)
    cut_off(router)
    first = get_only_effect(submit(router), SendRelay)
    effects = end_relay(router, first, lost=True, verdict=Verdict.MAY_HAVE_RUN)
    second = get_only_effect(effects, SendRelay)
    assert second.instance != first.instance
    assert second.relayed.runs == 1
    effects = end_relay(router, second, 1.2, lost=True, verdict=Verdict.MAY_HAVE_RUN)
    assert not find_effects(effects, SendRelay)
    assert get_only_effect(effects, Respond).status == 502


def test_lost_replies_are_not_retried_beyond_the_budget():
    """Guards against retries of relays that nobody counts."""
    router = start()
    cut_off(router)
    retries = 0
    for number in range(50):
        now = 1.0 + number / 1000
        relay = get_only_effect(submit(router, now, request_id=f"r{number}"), SendRelay)
        effects = end_relay(router, relay, now, lost=True, verdict=Verdict.MAY_HAVE_RUN)
        retries += len(find_effects(effects, SendRelay))
        # Ends the pause of the instance.
        router.dispatcher.relays.avoid_until_by_member.clear()
    assert retries <= 50 * 0.2 * 0.6


@pytest.mark.parametrize(
    ("refusal", "verdict", "status"),
    [
        ("saturated", Verdict.NOT_RUN, 503),
        ("timeout", Verdict.MAY_HAVE_RUN, 504),
        ("response-lost", Verdict.MAY_HAVE_RUN, 502),
        ("unknown-route", Verdict.NOT_RUN, 404),
        ("of-a-later-version", Verdict.NOT_RUN, 503),
        ("of-a-later-version", Verdict.MAY_HAVE_RUN, 502),
    ],
)
def test_refusal_of_the_other_instance_is_passed_on(refusal, verdict, status):
    """Guards against a verdict that gets lost on the way back."""
    router = start()
    cut_off(router)
    relay = get_only_effect(submit(router), SendRelay)
    effects = end_relay(router, relay, verdict=verdict, refusal=refusal, wait_s=0.4)
    response = get_only_effect(effects, Respond)
    assert response.status == status
    assert (response.retry_after_s >= 0.4) == (status == 503)
    assert not find_effects(effects, SendRelay)


def test_request_with_home_regions_is_relayed_within_them():
    """Guards against a body that is sent to a region that may not have it."""
    routes = [build_route(home_regions=frozenset({"east"}))]
    router = start(routes=routes)
    cut_off(router)
    for number in range(5):
        relay = get_only_effect(submit(router, request_id=f"r{number}"), SendRelay)
        assert relay.instance == "front-4"
    effects = end_relay(router, relay, declined=relaying.DECLINED_BUSY)
    assert not find_effects(effects, SendRelay)
    assert get_only_effect(effects, Respond).status == 503


def test_relay_outside_home_regions_violates_an_invariant():
    """Guards against a body in the wrong region by a fault in the choice."""
    router = start()
    cut_off(router)
    relay = get_only_effect(submit(router), SendRelay)
    pending = router.dispatcher.pending_by_id["r1"]
    members = router.dispatcher.relays.members_by_id
    pending.route = replace(pending.route, home_regions=frozenset({"east"}))
    # The choice and the check read the region of the same member at different times.
    chosen = members["front-3"]
    router.dispatcher.relays._choose_member = lambda pending, now: chosen
    effects = end_relay(router, relay, declined=relaying.DECLINED_BUSY)
    assert find_logs(effects, "invariant-violation")
    assert get_only_effect(effects, Respond).status == 500


def test_caller_that_leaves_cancels_the_relay():
    """Guards against work for a caller that has left."""
    router = start()
    cut_off(router)
    relay = get_only_effect(submit(router), SendRelay)
    effects = reduce(router, CallerDisconnected(1.1, "r1"))
    assert get_only_effect(effects, AbandonRelay).relay_id == relay.relay_id
    assert not router.dispatcher.relays.relays_by_id
    assert not end_relay(router, relay, 1.2, verdict=Verdict.RAN, status=200)


def test_relays_in_flight_are_bounded():
    """Guards against one instance that takes the whole fleet, or all memory."""
    router = start()
    cut_off(router)
    relays = []
    for number in range(2 * relaying.MAX_RELAYS):
        relays += find_effects(submit(router, request_id=f"r{number}"), SendRelay)
    instances = [relay.instance for relay in relays]
    assert len(instances) == 3 * relaying.MAX_RELAYS_PER_MEMBER
    assert len(instances) <= relaying.MAX_RELAYS


def test_silent_instance_gets_no_more_requests():
    """Guards against a frozen instance that gets all requests of its domain."""
    router = start()
    cut_off(router)
    first = get_only_effect(submit(router, 1.0), SendRelay)
    assert first.instance == "front-2"
    later = get_only_effect(submit(router, 2.0, request_id="r2"), SendRelay)
    assert later.instance != "front-2"


def test_stopping_instance_answers_its_relays():
    """Guards against a process that ends without an answer to relayed requests."""
    router = start()
    cut_off(router)
    get_only_effect(submit(router, 1.0, caller_timeout_s=60.0, **ORDER), SendRelay)
    reduce(router, events.StopRequested(1.0))
    reduce(router, Tick(4.4))
    assert not find_effects(reduce(router, Tick(4.5)), Exit)
    effects = reduce(router, Tick(6.8))
    assert find_effects(effects, AbandonRelay)
    assert get_only_effect(effects, Respond).status == 504
    assert find_effects(effects, Exit)


def test_deadline_of_a_stopping_instance_is_passed_on():
    """Guards against an answer that arrives after the end of the process."""
    routes = [build_route(timeout_s=30.0)]
    router = start(routes=routes)
    cut_off(router)
    reduce(router, events.StopRequested(1.0))
    relay = get_only_effect(submit(router, 1.5, caller_timeout_s=30.0), SendRelay)
    assert relay.relayed.request.caller_timeout_s < 6.0 * 0.95 - 0.5


def test_cut_off_granter_leaves_the_lease():
    """Guards against grants that all fail while other instances could renew them."""
    router = start()
    reduce(router, events.RecordReceived(0.1, "granters", "main", 0, None))
    effects = reduce(router, Tick(0.8))
    write = [e for e in find_effects(effects, WriteRecord) if e.kind == "granters"][0]
    done = events.RecordWritten(
        0.81, "granters", "main", write.token, events.WriteStatus.DONE, 0.8, 5
    )
    reduce(router, done)
    assert router.granter.lease.is_held(0.85)
    effects = cut_off(router, 0.9)
    write = [e for e in find_effects(effects, WriteRecord) if e.kind == "granters"][0]
    assert write.value["instance"] == ""
    assert not router.granter.lease.is_held(0.9)


def test_cut_off_instance_does_not_acquire_the_lease():
    """Guards against a granter that reaches no owner of keys."""
    router = start()
    cut_off(router, 0.1)
    reduce(router, events.RecordReceived(0.2, "granters", "main", 0, None))
    for number in range(100):
        now = 0.2 + number / 20
        kinds = [e.kind for e in find_effects(reduce(router, Tick(now)), WriteRecord)]
        assert "granters" not in kinds


# At the other instance


def test_relayed_request_is_dispatched_and_replied_to():
    """Guards against a response that is lost on the way back."""
    router = start("front-2")
    attempt = get_only_effect(receive(router), SendAttempt)
    ended = events.AttemptFinished(
        1.2, attempt.attempt_id, Verdict.RAN, status=200, body=b"whole"
    )
    effects = reduce(router, ended)
    reply = get_only_effect(effects, ReplyToRelay).reply
    assert (reply.status, reply.body, reply.verdict) == (200, b"whole", Verdict.RAN)
    assert not find_effects(effects, Respond)
    assert find_logs(effects, "answered")[0].fields["relayed_from"] == "front-1"
    assert not router.dispatcher.relayed_requests.sizes_by_id


def test_reply_keeps_the_status_of_the_upstream():
    """Guards against an instance that cannot log the upstream's status for its caller's
    request.
    """
    router = start("front-2")
    attempt = get_only_effect(receive(router, **ORDER), SendAttempt)
    ended = events.AttemptFinished(1.2, attempt.attempt_id, Verdict.RAN, status=503)
    reply = get_only_effect(reduce(router, ended), ReplyToRelay).reply
    assert (reply.status, reply.verdict) == (503, Verdict.RAN)


def test_leaving_upstream_of_a_relayed_response_gets_no_requests_after_the_cut():
    """Guards against requests to an upstream that said that it leaves in a response
    which was relayed, once the instance that passed it on reaches the upstreams again.
    """
    other = start("front-2")
    attempt = get_only_effect(receive(other), SendAttempt)
    ended = events.AttemptFinished(
        1.2, attempt.attempt_id, Verdict.RAN, status=200, leaving=True
    )
    reply = get_only_effect(reduce(other, ended), ReplyToRelay).reply
    router = start()
    cut_off(router)
    relay = get_only_effect(submit(router), SendRelay)
    reduce(router, events.RelayFinished(1.3, relay.relay_id, reply))
    assert router.directory.upstreams_by_id[attempt.upstream_id].leaving


def test_relayed_request_keeps_its_deadline():
    """Guards against a deadline that begins anew at the other instance."""
    router = start("front-2")
    effects = receive(router, elapsed_s=0.4, caller_timeout_s=1.0)
    assert get_only_effect(effects, SendAttempt).deadline == pytest.approx(1.6)


def test_relayed_request_is_not_relayed_again():
    """Guards against requests that travel between instances that are cut off."""
    router = start("front-2")
    attempt = get_only_effect(receive(router), SendAttempt)
    cut_off(router, 1.1)
    ended = events.AttemptFinished(
        1.2, attempt.attempt_id, Verdict.NOT_RUN, "refused", unsent=True
    )
    effects = reduce(router, ended)
    assert not find_effects(effects, SendRelay)
    reply = get_only_effect(effects, ReplyToRelay).reply
    assert reply.declined == relaying.DECLINED_CUT_OFF
    effects = receive(router, 1.3, request_id="r2")
    assert get_only_effect(effects, ReplyToRelay).reply.declined


def test_waiting_relayed_requests_are_declined_when_the_cut_is_noticed():
    """Guards against a relayed request that waits at an instance that is cut off."""
    router = start("front-2")
    for number in range(16):
        submit(router, 0.8, request_id=f"r{number}")
    assert not find_effects(receive(router, 0.82, request_id="x1"), ReplyToRelay)
    effects = cut_off(router, 0.85)
    assert get_only_effect(effects, ReplyToRelay).reply.declined


def test_action_that_may_have_run_is_not_declined():
    """Guards against a decline that lets a third instance run an action again."""
    router = start("front-2")
    attempt = get_only_effect(receive(router, **ORDER), SendAttempt)
    cut_off(router, 1.1)
    ended = events.AttemptFinished(
        1.2, attempt.attempt_id, Verdict.MAY_HAVE_RUN, "reset"
    )
    reply = get_only_effect(reduce(router, ended), ReplyToRelay).reply
    assert not reply.declined
    assert reply.verdict is Verdict.MAY_HAVE_RUN
    assert reply.refusal == "response-lost"


def test_relayed_request_is_counted_once():
    """Guards against a retry budget, or a load of keys, that counts relays twice."""
    keyed = [build_service(keyed=True)]
    routes = [build_route()]
    first = start(routes=routes, services=keyed)
    other = start("front-2", routes, keyed)
    table = KeyTable("status", 1, 2, (KeyRange(0, MAX_KEY, "u1", 1, 1),))
    for router in (first, other):
        router.owners.apply_table(table, 0.5)
    cut_off(first)
    relay = get_only_effect(submit(first, key=7), SendRelay)
    effects = end_relay(first, relay, declined=relaying.DECLINED_BUSY)
    relay = get_only_effect(effects, SendRelay)
    assert find_effects(receive(other, relayed=relay.relayed), SendAttempt)
    assert first.owners.pop_counts() == {"status": {7: 1.0}}
    assert not other.owners.pop_counts().get("status")
    budgets = [r.dispatcher.get_budget("status") for r in (first, other)]
    assert [len(budget.requests) for budget in budgets] == [1, 0]


def test_relayed_request_keeps_the_service_of_its_split():
    """Guards against a traffic split that is decided twice."""
    parts = (SplitPart("status", 50), SplitPart("orders", 50))
    router = start("front-2", routes=[build_route(parts=parts)])
    for number in range(10):
        request = build_request(f"r{number}")
        relayed = RelayedRequest(request, "front-1", 0.0, "orders")
        attempt = get_only_effect(receive(router, relayed=relayed), SendAttempt)
        assert attempt.upstream_id[0] == "o"
        ended = events.AttemptFinished(1.0, attempt.attempt_id, Verdict.RAN, status=200)
        reduce(router, ended)


def test_attempts_before_the_relay_count():
    """Guards against more attempts than a route allows."""
    router = start("front-2")
    for number in range(50):
        router.dispatcher.get_budget("status").record(number / 100)
    relayed = RelayedRequest(build_request(), "front-1", 0.0, "status", runs=1)
    attempt = get_only_effect(receive(router, relayed=relayed), SendAttempt)
    ended = events.AttemptFinished(
        1.2, attempt.attempt_id, Verdict.MAY_HAVE_RUN, "reset"
    )
    effects = reduce(router, ended)
    assert not find_effects(effects, SendAttempt)
    assert get_only_effect(effects, ReplyToRelay).reply.refusal == "response-lost"


def test_caller_that_leaves_aborts_the_relayed_attempt():
    """Guards against an upstream that works on for a caller that has left."""
    router = start("front-2")
    attempt = get_only_effect(receive(router), SendAttempt)
    effects = reduce(router, CallerDisconnected(1.1, "r1"))
    assert get_only_effect(effects, AbandonAttempt).attempt_id == attempt.attempt_id
    assert not router.dispatcher.relayed_requests.sizes_by_id


def test_stopping_instance_declines_relays_and_answers_those_in_progress():
    """Guards against a relayed request that is lost with the process."""
    router = start("front-2")
    attempt = get_only_effect(receive(router, caller_timeout_s=60.0), SendAttempt)
    reduce(router, events.StopRequested(1.1))
    effects = receive(router, 1.2, request_id="r2")
    assert get_only_effect(effects, ReplyToRelay).reply.declined == "stopping"
    reduce(router, Tick(4.6))
    assert not find_effects(reduce(router, Tick(4.7)), Exit)
    ended = events.AttemptFinished(4.8, attempt.attempt_id, Verdict.RAN, status=200)
    assert find_effects(reduce(router, ended), ReplyToRelay)
    assert find_effects(reduce(router, Tick(4.9)), Exit)


def test_relayed_requests_are_bounded():
    """Guards against an instance that takes all requests of a cut domain at once."""
    router = start("front-2")
    accepted = 0
    for number in range(2 * relaying.MAX_RELAYED_REQUESTS):
        request = build_request(f"r{number}", **ORDER)
        relayed = RelayedRequest(request, "front-1", 0.0, "orders")
        replies = find_effects(receive(router, relayed=relayed), ReplyToRelay)
        accepted += not any(e.reply.declined for e in replies)
        assert (
            len(router.dispatcher.relayed_requests.sizes_by_id)
            <= relaying.MAX_RELAYED_REQUESTS
        )
    requests = relaying.RelayedRequests()
    body = bytes(8 * 1024 * 1024)
    for number in range(4):
        request = build_request(f"b{number}", body=body)
        assert requests.has_room(request)
        requests.add(request)
    assert not requests.has_room(build_request("b9", body=body))
    requests.discard("b1")
    assert requests.has_room(build_request("b9", body=body))


def test_instance_without_a_configuration_declines():
    """Guards against a new instance that refuses what others could serve."""
    router = DirectRouter.from_settings(build_settings("front-2"), "run-1", 0.0, 1)
    effects = receive(router)
    assert get_only_effect(effects, ReplyToRelay).reply.declined == "not-configured"


def test_relayed_request_is_not_handled_by_an_older_configuration():
    """Guards against a request that is handled as only an older version allows, after
    a caller has seen the newer one.
    """
    router = start("front-2")
    relayed = RelayedRequest(
        build_request(), "front-1", 0.0, "status", configuration_version=2
    )
    effects = receive(router, relayed=relayed)
    assert find_effects(effects, CheckConfiguration)
    assert not find_effects(effects, SendAttempt)
    newer = build_configuration(ROUTES, SERVICES, version=2)
    reduce(router, events.ConfigurationReceived(1.05, newer))
    effects = reduce(router, events.ConfigurationChecked(1.06, True))
    assert find_effects(effects, SendAttempt)


@pytest.mark.parametrize("store_answered", [True, False])
def test_instance_with_an_older_configuration_declines(store_answered):
    """Guards against a proper request that gets 404 from an instance behind."""
    router = start("front-2")
    request = build_request(target="/new/1")
    relayed = RelayedRequest(request, "front-1", 0.0, "status", configuration_version=2)
    receive(router, relayed=relayed)
    effects = reduce(router, events.ConfigurationChecked(1.1, store_answered))
    reply = get_only_effect(effects, ReplyToRelay).reply
    assert reply.declined == relaying.DECLINED_OUTDATED
