"""Tests of the bounds of relays, and of evidence that is not enough for a cut."""

import pytest
from direct_builders import build_route
from direct_builders import build_upstream
from test_relaying import cut_off
from test_relaying import end_relay
from test_relaying import find_effects
from test_relaying import get_only_effect
from test_relaying import heal
from test_relaying import receive
from test_relaying import start
from test_relaying import submit

from shallotyard_core.events import Tick
from shallotyard_core.verdict import Verdict
from shallotyard_direct import events
from shallotyard_direct import relaying
from shallotyard_direct.effects import ProbeUpstream
from shallotyard_direct.effects import SendAttempt
from shallotyard_direct.effects import SendRelay
from shallotyard_direct.granter_lease import LEASE_DURATION_S
from shallotyard_direct.router import reduce

DOMAINS = ("split", "zadar", "osijek")
UPSTREAMS = [
    build_upstream(f"{service}-{domain}-{number}", service, domain=domain)
    for service in ("status", "orders")
    for domain in DOMAINS
    for number in range(2)
]


def start_with_domains():
    """Return a router that knows two services in three failure domains."""
    router = start()
    reduce(router, events.UpstreamsListed(0.1, UPSTREAMS))
    return router


def lose_domain(router, domain, now=1.0):
    """Let new connections to the upstreams of a failure domain be refused."""
    for upstream in UPSTREAMS:
        if upstream.domain == domain:
            reduce(router, events.ConnectionTried(now, upstream.upstream_id, False))


@pytest.mark.parametrize("domain", DOMAINS)
def test_failure_domain_of_upstreams_that_is_down_means_no_cut(domain):
    """Guards against requests that are refused or relayed by all instances because one
    failure domain of upstreams is down.
    """
    router = start_with_domains()
    lose_domain(router, domain)
    assert not router.dispatcher.reachability.is_cut_off


def test_granter_keeps_its_lease_when_a_domain_of_upstreams_is_down():
    """Guards against a change of the granter at the moment at which the keys of a
    failure domain need new owners.
    """
    router = start_with_domains()
    lease = router.granter.lease
    lease.holder, lease.holder_incarnation = "front-1", router.incarnation
    lease.active, lease.valid_until = True, 0.9 + LEASE_DURATION_S
    assert lease.is_held(1.0)
    lose_domain(router, "zadar")
    reduce(router, Tick(1.05))
    assert lease.is_held(1.05)


def test_begin_of_a_cut_is_checked_at_once():
    """Guards against a cut without a reason that lasts until the next probe is due,
    because upstreams were probed just before it began.
    """
    router = start_with_domains()
    reduce(router, events.ConnectionTried(0.95, UPSTREAMS[0].upstream_id, False))
    assert find_effects(reduce(router, Tick(0.96)), ProbeUpstream)
    for upstream in UPSTREAMS[1:]:
        reduce(router, events.ConnectionTried(0.97, upstream.upstream_id, False))
    assert router.dispatcher.reachability.is_cut_off
    assert find_effects(reduce(router, Tick(1.0)), ProbeUpstream)


def fill_retry_budget(router):
    """Serve requests, so that retries are allowed."""
    for number in range(100):
        effects = submit(router, 0.1, request_id=f"b{number}")
        attempt_id = get_only_effect(effects, SendAttempt).attempt_id
        reduce(router, events.AttemptFinished(0.1, attempt_id, Verdict.RAN, status=200))


def test_lost_relays_stay_within_the_attempts_of_the_route():
    """Guards against a request that runs on more upstreams than the attempts of its
    route, because an instance whose reply is lost had retried it.
    """
    origin = start()
    fill_retry_budget(origin)
    cut_off(origin)
    relays = find_effects(submit(origin), SendRelay)
    runs = 0
    while relays:
        other = start(relays[0].instance)
        fill_retry_budget(other)
        effects = receive(other, relayed=relays[0].relayed)
        while attempts := find_effects(effects, SendAttempt):
            runs += 1
            attempt_id = attempts[0].attempt_id
            ended = events.AttemptFinished(1.0, attempt_id, Verdict.MAY_HAVE_RUN)
            effects = reduce(other, ended)
        lost = {"lost": True, "verdict": Verdict.MAY_HAVE_RUN}
        relays = find_effects(end_relay(origin, relays[0], 1.1, **lost), SendRelay)
    assert runs <= build_route().max_attempts


def test_bodies_of_relays_are_bounded_at_the_first_instance():
    """Guards against an instance that runs out of memory, as each body is copied into a
    message while it is cut off.
    """
    router = start()
    records = {
        f"front-{n}": {"domain": "split", "address": f"10.0.1.{n}:7000"}
        for n in range(2, 10)
    }
    reduce(router, events.RecordsListed(0.1, "instances", records))
    cut_off(router)
    body = bytes(8 * 1024 * 1024)
    total = 0
    for number in range(relaying.MAX_RELAYS):
        for relay in find_effects(
            submit(router, request_id=f"r{number}", body=body), SendRelay
        ):
            total += len(relay.relayed.request.body)
    assert 0 < total <= relaying.MAX_RELAYED_BYTES


def test_body_that_no_message_may_carry_is_handed_on():
    """Guards against a request whose message is refused on arrival, so that it counts
    as one that may have run.
    """
    router = start()
    record = {"domain": "split", "address": "10.0.1.2:7000"}
    reduce(router, events.RecordsListed(0.1, "instances", {"front-2": record}))
    cut_off(router)
    size = relaying.MAX_RELAYED_BODY_BYTES
    assert find_effects(submit(router, request_id="r1", body=bytes(size)), SendRelay)
    effects = submit(router, request_id="r2", body=bytes(size + 1))
    assert not find_effects(effects, SendRelay)


def decline_all(router, effects, now):
    """Let all instances decline a request because they are cut off as well."""
    while relays := find_effects(effects, SendRelay):
        effects = end_relay(router, relays[0], now, declined=relaying.DECLINED_CUT_OFF)


def test_failures_of_an_earlier_cut_do_not_prolong_avoidance():
    """Guards against instances that are avoided for eight seconds after their first
    failure in a cut, because of failures in another one long ago.
    """
    router = start()
    cut_off(router)
    now = 1.0
    for number in range(4):
        effects = submit(router, now, request_id=f"r{number}")
        decline_all(router, effects, now)
        now += relaying.MAX_AVOIDANCE_S + 1.0
    heal(router, now)
    now += 3600.0
    cut_off(router, now)
    decline_all(router, submit(router, now, request_id="s1"), now)
    now += relaying.AVOIDANCE_S + 0.1
    assert find_effects(submit(router, now, request_id="s2"), SendRelay)


def test_first_request_of_a_cut_that_nobody_may_serve_leaves_the_instance_ready():
    """Guards against an instance that is not ready although no other one declined,
    because the first request of the cut is bound to regions without instances.
    """
    nowhere = build_route("/orders/", "orders", home_regions=frozenset({"north"}))
    router = start(routes=[build_route(), nowhere])
    cut_off(router)
    submit(router, target="/orders/1")
    assert router.is_ready()


def test_connection_without_an_answer_before_a_short_timeout_is_a_suspicion():
    """Guards against a cut that is not noticed because the timeouts of all requests end
    before the time to connect, and no connection was open before.
    """
    router = start()
    effects = submit(router, caller_timeout_s=0.4)
    attempt_id = get_only_effect(effects, SendAttempt).attempt_id
    ended = events.AttemptFinished(
        1.4, attempt_id, Verdict.NOT_RUN, "timeout", unsent=True
    )
    reduce(router, ended)
    assert find_effects(reduce(router, Tick(1.5)), ProbeUpstream)
