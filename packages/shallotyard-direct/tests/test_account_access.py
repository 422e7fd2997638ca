"""Tests of which requests are served by the keys of client accounts."""

from dataclasses import replace

import pytest
from direct_builders import build_account
from direct_builders import build_configuration
from direct_builders import build_request
from direct_builders import build_route
from direct_builders import build_service
from direct_builders import build_settings
from direct_builders import build_upstream

from shallotyard_core.effects import LogDecision
from shallotyard_core.events import Tick
from shallotyard_core.verdict import Verdict
from shallotyard_direct import events
from shallotyard_direct.accounts.authentication import MAX_UNKNOWN_KEYS
from shallotyard_direct.accounts.model import digest_key
from shallotyard_direct.effects import CheckConfiguration
from shallotyard_direct.effects import Respond
from shallotyard_direct.effects import SendAttempt
from shallotyard_direct.router import DirectRouter
from shallotyard_direct.router import reduce

ROUTES = [
    build_route(),
    build_route("/open/", public=True),
    build_route("/orders/", idempotent=False),
]
KEY = {"key_digest": digest_key(b"kotor")}
WRONG_KEY = {"key_digest": digest_key(b"wrong")}


def build_accounts(version=1, accounts=None, routes=ROUTES):
    """Return a configuration with accounts, by default with ``kotor`` only."""
    accounts = [build_account()] if accounts is None else accounts
    return build_configuration(routes, [build_service()], version, accounts)


def start(configuration=None, slots=4, **changes):
    """Return a router that knows accounts and upstreams."""
    settings = build_settings(**changes)
    router = DirectRouter.from_settings(settings, "run-1", 0.0, 1)
    configuration = configuration or build_accounts()
    reduce(router, events.ConfigurationReceived(0.0, configuration))
    upstreams = [build_upstream("u1", slots=slots)]
    reduce(router, events.UpstreamsListed(0.0, upstreams))
    return router


def apply(router, configuration, now):
    """Let a configuration arrive; return the effects."""
    return reduce(router, events.ConfigurationReceived(now, configuration))


def check(router, now, store_answered=True):
    """End a read of the configuration; return the effects."""
    return reduce(router, events.ConfigurationChecked(now, store_answered))


def set_fresh(router, now):
    """Let the copy of the store be known as current at a time, in seconds."""
    router.dispatcher.access.get_fresh_at = lambda: now


def submit(router, now=1.0, request_id="r1", **changes):
    """Submit a request; return the effects."""
    request = build_request(request_id, **changes)
    return reduce(router, events.RequestArrived(now, request))


def find_effects(effects, effect_type):
    """Return the effects of a type."""
    return [effect for effect in effects if isinstance(effect, effect_type)]


def get_only_effect(effects, effect_type):
    """Return the only effect of a type."""
    (effect,) = find_effects(effects, effect_type)
    return effect


def assert_unauthorized(effects):
    """Assert that the only response is a complete 401."""
    response = get_only_effect(effects, Respond)
    assert response.status == 401
    assert response.retry_after_s == 0
    assert b'"urn:shallotyard:problem:unauthorized"' in response.body
    assert b'"verdict":"not-run"' in response.body


def test_key_is_served_and_names_its_account():
    """Guards against a valid key that is refused, or an account that is not named."""
    attempt = get_only_effect(submit(start(), **KEY), SendAttempt)
    assert (attempt.account_id, attempt.has_accounts) == ("kotor", True)


@pytest.mark.parametrize("fields", [{}, WRONG_KEY])
def test_unknown_key_is_refused_after_a_read(fields):
    """Guards against a request without a valid key that is served, or refused by a
    configuration that may be old.
    """
    router = start()
    effects = submit(router, **fields)
    assert find_effects(effects, CheckConfiguration)
    assert not find_effects(effects, Respond)
    assert_unauthorized(check(router, 1.1))


def test_key_of_a_newer_configuration_is_served():
    """Guards against a new key that gets 401 until the instance hears of it."""
    router = start()
    submit(router, **WRONG_KEY)
    newer = build_accounts(2, [build_account(), build_account("wrong")])
    apply(router, newer, 1.05)
    attempt = get_only_effect(check(router, 1.1), SendAttempt)
    assert attempt.account_id == "wrong"


def test_route_of_a_newer_configuration_is_public():
    """Guards against 401 on a route that needs no key any more."""
    router = start()
    submit(router)
    apply(router, build_accounts(2, routes=[build_route(public=True)]), 1.05)
    assert find_effects(check(router, 1.1), SendAttempt)


def test_unknown_key_while_the_store_is_down():
    """Guards against 401 for a key that may be newer than the known configuration."""
    router = start()
    submit(router, **WRONG_KEY)
    response = get_only_effect(check(router, 1.1, store_answered=False), Respond)
    assert response.status == 503
    assert response.retry_after_s > 0


def test_without_a_configuration_no_key_is_refused():
    """Guards against 401 from an instance that has just started."""
    router = DirectRouter.from_settings(build_settings(), "run-1", 0.0, 1)
    assert get_only_effect(submit(router, 2.0), Respond).status == 503


def test_public_route_needs_no_key():
    """Guards against a public route that refuses callers, or that ignores their key."""
    router = start()
    names = {"r1": {}, "r2": WRONG_KEY, "r3": KEY}
    accounts = [
        get_only_effect(
            submit(router, request_id=request_id, target="/open/1", **fields),
            SendAttempt,
        ).account_id
        for request_id, fields in names.items()
    ]
    assert accounts == ["", "", "kotor"]


def test_deployment_without_accounts_needs_no_key():
    """Guards against a change for deployments that have no accounts."""
    router = start(build_configuration(ROUTES, [build_service()]))
    headers = [("Authorization", "Basic x")]
    effects = submit(router, withheld_headers=headers, **WRONG_KEY)
    attempt = get_only_effect(effects, SendAttempt)
    assert (attempt.account_id, attempt.has_accounts) == ("", False)
    assert attempt.request.withheld_headers == headers
    ended = events.AttemptFinished(1.1, attempt.attempt_id, Verdict.RAN, status=200)
    (line,) = find_effects(reduce(router, ended), LogDecision)
    assert "account" not in line.fields


def test_many_invalid_keys_cause_few_reads():
    """Guards against a read of the store for each request with an invalid key, and
    against requests that get no answer in between.
    """
    router = start()
    reads, answered, reading_since = 0, [], None
    now = 1.0
    for number in range(1000):
        now += 0.01
        if reading_since is not None and now >= reading_since + 0.03:
            answered += find_effects(check(router, now), Respond)
            reading_since = None
        fields = {"key_digest": digest_key(b"%d" % number)}
        effects = submit(router, now, f"r{number}", **fields)
        effects += reduce(router, Tick(now))
        answered += find_effects(effects, Respond)
        started = find_effects(effects, CheckConfiguration)
        assert not (started and reading_since is not None)
        if started:
            assert len(started) == 1
            reads, reading_since = reads + 1, now
    assert 15 <= reads <= 20
    assert {response.status for response in answered} == {401}
    assert len(answered) >= 995


def test_keys_between_reads_wait_if_the_copy_is_old():
    """Guards against 401 from a copy that is seconds old, where the read that it should
    wait for is not due yet.
    """
    router = start()
    submit(router, 1.0, **WRONG_KEY)
    check(router, 1.1, store_answered=False)
    assert not submit(router, 1.2, "r2", **WRONG_KEY)
    assert not find_effects(reduce(router, Tick(1.4)), CheckConfiguration)
    assert find_effects(reduce(router, Tick(1.5)), CheckConfiguration)
    assert_unauthorized(check(router, 1.6))


def test_fresh_copy_answers_between_reads():
    """Guards against callers that wait although the copy is known to be current."""
    router = start()
    submit(router, 1.0, **WRONG_KEY)
    check(router, 1.1, store_answered=False)
    set_fresh(router, 0.3)
    assert_unauthorized(submit(router, 1.2, "r2", **WRONG_KEY))


def test_late_answer_of_the_store_does_not_refuse_newer_requests():
    """Guards against 401 by an answer that is older than the request by seconds."""
    router = start()
    submit(router, 1.0, **WRONG_KEY)
    submit(router, 2.9, "r2", **WRONG_KEY)
    response = get_only_effect(check(router, 3.0), Respond)
    assert response.request_id == "r1"
    assert find_effects(reduce(router, Tick(3.05)), CheckConfiguration)
    assert_unauthorized(check(router, 3.1))


def test_requests_with_unknown_keys_are_bounded():
    """Guards against an instance whose memory callers with invalid keys can fill, and
    against callers that wait longer than they can.
    """
    router = start()
    submit(router, 1.0, **WRONG_KEY)
    check(router, 1.1, store_answered=False)
    refused = []
    for number in range(MAX_UNKNOWN_KEYS + 10):
        refused += find_effects(submit(router, 1.2, f"x{number}"), Respond)
    assert [response.status for response in refused] == [503] * 10
    reduce(router, Tick(1.5))
    late = find_effects(reduce(router, Tick(2.8)), Respond)
    assert {response.status for response in late} == {503}
    assert len(late) == MAX_UNKNOWN_KEYS


# Removal of keys


def test_removed_key_is_refused():
    """Guards against a key that works on after its removal, and one that works again
    after the store returned from an older copy.
    """
    router = start()
    apply(router, build_accounts(2, []), 1.0)
    apply(router, build_accounts(1), 1.05)
    submit(router, 1.1, **KEY)
    apply(router, build_accounts(1), 1.15)
    assert_unauthorized(check(router, 1.2))


def test_queued_request_of_a_removed_key_is_refused():
    """Guards against a request that is sent after its key was removed."""
    router = start(slots=1)
    attempts = fill_upstream(router)
    submit(router, 1.0, "r1", **KEY)
    assert_unauthorized(find_by_id(apply(router, build_accounts(2, []), 1.05), "r1"))
    ended = events.AttemptFinished(1.1, attempts[0].attempt_id, Verdict.RAN, status=200)
    assert not find_effects(reduce(router, ended), SendAttempt)


def fill_upstream(router):
    """Submit requests until one waits; return the attempts of the others."""
    attempts = []
    for number in range(9):
        sent = find_effects(submit(router, 1.0, f"f{number}", **KEY), SendAttempt)
        if not sent:
            break
        attempts += sent
    return attempts


def find_by_id(effects, request_id):
    """Return the responses to a request."""
    responses = find_effects(effects, Respond)
    return [e for e in responses if e.request_id == request_id]


def test_waiting_request_is_checked_before_its_send():
    """Guards against a send by a key that was removed without a look at the queue."""
    router = start(slots=1)
    attempts = fill_upstream(router)
    router.directory.apply_configuration(build_accounts(2, []))
    ended = events.AttemptFinished(1.1, attempts[0].attempt_id, Verdict.RAN, status=200)
    effects = reduce(router, ended)
    assert not find_effects(effects, SendAttempt)
    assert 401 in {response.status for response in find_effects(effects, Respond)}


@pytest.mark.parametrize(
    "configuration",
    [
        build_accounts(2, []),
        build_accounts(2, [build_account("other", ["kotor"])]),
        build_configuration(ROUTES, [build_service()], 2),
    ],
)
def test_request_is_not_written_as_it_was_encoded_before_a_change(configuration):
    """Guards against a request that is written with the name of an account that its key
    no longer belongs to, while the connection to the upstream opened.
    """
    router = start()
    attempt = get_only_effect(submit(router, **KEY), SendAttempt)
    assert router.may_send(attempt.attempt_id, 1.0)
    apply(router, configuration, 1.05)
    assert not router.may_send(attempt.attempt_id, 1.1)
    ended = events.AttemptFinished(
        1.1, attempt.attempt_id, Verdict.NOT_RUN, unsent=True
    )
    effects = reduce(router, ended)
    if configuration.has_accounts and not configuration.accounts_by_id:
        assert_unauthorized(effects)
    else:
        again = get_only_effect(effects, SendAttempt)
        assert again.account_id in ("other", "")
    # The upstream has no part in it.
    assert not router.dispatcher.placement.get_load("u1").failures


def test_request_encoded_with_its_headers_is_not_written_once_accounts_are_known():
    """Guards against a key that reaches an upstream because accounts were configured
    while the connection opened.
    """
    router = start(build_configuration(ROUTES, [build_service()]))
    headers = [("Authorization", "Token kotor")]
    effects = submit(router, withheld_headers=headers, **KEY)
    attempt = get_only_effect(effects, SendAttempt)
    apply(router, build_accounts(2), 1.05)
    assert not router.may_send(attempt.attempt_id, 1.1)
    ended = events.AttemptFinished(
        1.1, attempt.attempt_id, Verdict.NOT_RUN, unsent=True
    )
    again = get_only_effect(reduce(router, ended), SendAttempt)
    assert (again.account_id, again.request.withheld_headers) == ("kotor", [])


@pytest.mark.parametrize("target", ["/status/1", "/orders/1"])
def test_request_that_may_have_run_keeps_its_verdict(target):
    """Guards against 401 with the verdict not-run for a request that may have run, and
    against its retry with a removed key.
    """
    router = start()
    router.dispatcher.get_budget("status").record(0.9)
    attempt = get_only_effect(submit(router, target=target, **KEY), SendAttempt)
    apply(router, build_accounts(2, []), 1.05)
    ended = events.AttemptFinished(
        1.1, attempt.attempt_id, Verdict.MAY_HAVE_RUN, "reset"
    )
    effects = reduce(router, ended)
    assert not find_effects(effects, SendAttempt)
    response = get_only_effect(effects, Respond)
    assert response.status == 502
    assert b'"verdict":"may-have-run"' in response.body


def test_error_response_after_the_removal_is_passed_on():
    """Guards against a response of the upstream that is lost to a retry that the
    removed key does not allow.
    """
    router = start()
    for number in range(20):
        router.dispatcher.get_budget("status").record(number / 20)
    attempt = get_only_effect(submit(router, **KEY), SendAttempt)
    apply(router, build_accounts(2, []), 1.05)
    ended = events.AttemptFinished(1.1, attempt.attempt_id, Verdict.RAN, status=500)
    assert get_only_effect(reduce(router, ended), Respond).status == 500


def test_strict_removal_refuses_with_an_old_copy():
    """Guards against an old copy that keeps removed keys valid where the deployment
    forbids it, and against refusals of requests that need no key.
    """
    router = start(strict_revoke=True, revoke_s=5.0)
    set_fresh(router, 1.0)
    attempt = get_only_effect(submit(router, 6.0, **KEY), SendAttempt)
    assert router.may_send(attempt.attempt_id, 6.0)
    assert not router.may_send(attempt.attempt_id, 6.1)
    response = get_only_effect(submit(router, 6.1, "r2", **KEY), Respond)
    assert response.status == 503
    assert response.retry_after_s > 0
    effects = submit(router, 6.1, "r3", target="/open/1", **KEY)
    assert find_effects(effects, SendAttempt)
    assert router.may_send(find_effects(effects, SendAttempt)[0].attempt_id, 6.1)
    lenient = start()
    assert find_effects(submit(lenient, 99.0, **KEY), SendAttempt)


# Priorities, home regions, logs


def test_priority_of_an_account_replaces_that_of_the_route():
    """Guards against urgent accounts that wait behind others."""
    accounts = [build_account("plain"), build_account("urgent", priority=0)]
    router = start(build_accounts(accounts=accounts), slots=1)
    sent = []
    for number in range(6):
        key = {"key_digest": digest_key(b"plain")}
        sent += find_effects(submit(router, 1.0, f"p{number}", **key), SendAttempt)
    submit(router, 1.01, "u", key_digest=digest_key(b"urgent"))
    for attempt in sent:
        ended = events.AttemptFinished(1.1, attempt.attempt_id, Verdict.RAN, status=200)
        started = find_effects(reduce(router, ended), SendAttempt)
        if started:
            break
    assert started[0].request.request_id == "u"


@pytest.mark.parametrize(
    ("route_homes", "account_homes", "status"),
    [
        ((), (), 0),
        ((), ("south",), 0),
        (("south",), (), 0),
        (("south", "east"), ("south",), 0),
        ((), ("east",), 503),
        (("east",), ("south",), 503),
    ],
)
def test_home_regions_of_route_and_account_both_apply(
    route_homes, account_homes, status
):
    """Guards against a request that leaves the home regions of its account."""
    account = build_account(home_regions=frozenset(account_homes))
    route = replace(ROUTES[0], home_regions=frozenset(route_homes))
    router = start(build_accounts(accounts=[account], routes=[route]))
    effects = submit(router, **KEY)
    assert len(find_effects(effects, SendAttempt)) == (status == 0)
    if status:
        assert get_only_effect(effects, Respond).status == status
    if route_homes and status:
        assert b"owner-outside-home-regions" in get_only_effect(effects, Respond).body


def test_log_lines_name_the_account_by_its_digest():
    """Guards against names and keys in logs, and lines that tell nothing of who was
    refused.
    """
    router = start()
    attempt = get_only_effect(submit(router, **KEY), SendAttempt)
    ended = events.AttemptFinished(1.1, attempt.attempt_id, Verdict.RAN, status=200)
    effects = reduce(router, ended)
    submit(router, 1.2, "r2", **WRONG_KEY)
    effects += check(router, 1.3)
    fields = {e.decision: e.fields for e in find_effects(effects, LogDecision)}
    assert fields["answered"]["account"] == digest_key(b"kotor")[:12]
    assert fields["refused"]["account"] == ""
    assert "kotor" not in str(effects)
