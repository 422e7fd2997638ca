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
from shallotyard_direct import effects
from shallotyard_direct import events
from shallotyard_direct.accounts.authentication import MAX_UNKNOWN_KEYS
from shallotyard_direct.accounts.model import digest_key
from shallotyard_direct.model import RelayedRequest
from shallotyard_direct.model import RelayReply
from shallotyard_direct.router import DirectRouter
from shallotyard_direct.router import reduce

OPEN = build_route(public=True)
ROUTES = [build_route(), build_route("/open/", public=True)]
WITHHELD = [("Authorization", "Token kotor")]


def build(version=2, accounts=(build_account(),), routes=ROUTES):
    """Return a configuration, by default with the account ``kotor``."""
    return build_configuration(routes, [build_service()], version, accounts)


WITHOUT_KEYS = build(accounts=())
WITHOUT_ACCOUNTS = build(accounts=None)


def start(configuration=None, slots=4, cut_off=False, **changes):
    """Return a router that knows accounts and upstreams."""
    settings = build_settings(**changes)
    router = DirectRouter.from_settings(settings, "run-1", 0.0, 1)
    configuration = build(1) if configuration is None else configuration
    reduce(router, events.ConfigurationReceived(0.0, configuration))
    upstreams = [build_upstream(f"u{n}", slots=slots) for n in range(1 + cut_off)]
    reduce(router, events.UpstreamsListed(0.0, upstreams))
    records = {
        f"front-{n}": {"domain": "osijek", "address": f"10.0.1.{n}:70"} for n in (2, 3)
    }
    reduce(router, events.RecordsListed(0.0, "instances", records))
    for upstream in upstreams if cut_off else ():
        reduce(router, events.ConnectionTried(0.9, upstream.upstream_id, False))
    return router


def build_keyed(key, request_id="r1", target="/status/1"):
    """Return a request with a key, ``""`` for none."""
    digest = digest_key(key.encode()) if key else ""
    return build_request(
        request_id, target, key_digest=digest, withheld_headers=list(WITHHELD)
    )


def submit(router, key="kotor", now=1.0, *args):
    """Submit a request; return the effects."""
    return reduce(router, events.RequestArrived(now, build_keyed(key, *args)))


def receive(router, version, now=1.0):
    """Receive a request of another instance; return the effects."""
    relayed = RelayedRequest(build_keyed("kotor"), "front-2", 0.0, "status", version)
    return reduce(router, events.RelayRequested(now, relayed))


def apply(router, configuration, now=1.05):
    """Let a configuration arrive; return the effects."""
    return reduce(router, events.ConfigurationReceived(now, configuration))


def check(router, now=1.1, store_answered=True):
    """End a read of the configuration; return the effects."""
    return reduce(router, events.ConfigurationChecked(now, store_answered))


def finish(router, attempt, verdict=Verdict.RAN, now=1.1, **fields):
    """End an attempt; return the effects."""
    event = events.AttemptFinished(now, attempt.attempt_id, verdict, **fields)
    return reduce(router, event)


def find(found, effect_type):
    """Return the effects of a type."""
    return [effect for effect in found if isinstance(effect, effect_type)]


def summarize(found):
    """Return a word for each effect that concerns a request."""
    words = []
    for effect in found:
        match effect:
            case effects.SendAttempt():
                words.append(f"send {effect.account_id}")
            case effects.SendRelay():
                words.append("relay")
            case effects.CheckConfiguration():
                words.append("read")
            case effects.Respond():
                words.append(str(effect.status))
            case effects.ReplyToRelay():
                reply = effect.reply
                words.append(reply.refusal or f"declined {reply.declined}")
    return words


@pytest.mark.parametrize(
    ("key", "target", "read", "expected"),
    [
        ("kotor", "/status/1", None, "send kotor"),
        ("kotor", "/open/1", None, "send kotor"),
        ("", "/open/1", None, "send "),
        ("wrong", "/open/1", None, "send "),
        ("", "/status/1", True, "401"),
        ("wrong", "/status/1", True, "401"),
        ("", "/status/1", False, "503"),
        ("wrong", "/status/1", False, "503"),
        ("wrong", "/status/1", build(accounts=[build_account("wrong")]), "send wrong"),
        ("", "/status/1", build(routes=[OPEN]), "send "),
        ("", "/status/1", WITHOUT_ACCOUNTS, "send "),
    ],
)
def test_access(key, target, read, expected):
    """Guards against requests without a valid key that are served, valid keys that are
    refused, and 401 by a configuration that may be old.

    ``read`` is what the store answers before a refusal, None if it is not asked.
    """
    router = start()
    words = summarize(submit(router, key, 1.0, "r1", target))
    if read is not None:
        assert words == ["read"]
        if not isinstance(read, bool):
            apply(router, read)
        words = summarize(check(router, store_answered=bool(read)))
    assert words == [expected]


def test_no_key_is_refused_without_a_configuration_or_accounts():
    """Guards against 401 from a new instance or in a deployment without accounts."""
    router = DirectRouter.from_settings(build_settings(), "run-1", 0.0, 1)
    assert summarize(submit(router, "x", 2.0)) == ["503"]
    router = start(WITHOUT_ACCOUNTS)
    (attempt,) = find(submit(router, ""), effects.SendAttempt)
    assert attempt.request.withheld_headers == WITHHELD
    assert not attempt.has_accounts
    (line,) = find(finish(router, attempt, status=200), LogDecision)
    assert "account" not in line.fields


# Reads for unknown keys


def test_many_invalid_keys_cause_few_reads():
    """Guards against a read for each invalid key, two at once, and keys without an
    answer in between.
    """
    router, words, read_ends_at, now = start(), [], None, 1.0
    for number in range(1000):
        now += 0.01
        if read_ends_at is not None and now >= read_ends_at:
            words += summarize(check(router, now))
            read_ends_at = None
        added = summarize(submit(router, f"x{number}", now, f"r{number}"))
        added += summarize(reduce(router, Tick(now)))
        if "read" in added:
            assert read_ends_at is None
            read_ends_at = now + 0.03
        words += added
    assert 15 <= words.count("read") <= 20
    assert words.count("401") >= 995


def test_keys_between_reads_get_no_answer_from_an_old_copy():
    """Guards against 401 from a copy or an answer of the store that is seconds old, and
    callers that wait although the copy is current.
    """
    router = start()
    submit(router, "x")
    check(router, 1.1, store_answered=False)
    assert not summarize(submit(router, "x", 1.2, "r2"))
    assert not summarize(reduce(router, Tick(1.4)))
    assert summarize(reduce(router, Tick(1.5))) == ["read"]
    submit(router, "x", 2.6, "r3")
    assert summarize(check(router, 2.7)) == ["401"]
    assert summarize(reduce(router, Tick(2.8))) == ["read"]
    check(router, 2.9, store_answered=False)
    router.dispatcher.access.get_fresh_at = lambda: 2.0
    assert summarize(submit(router, "x", 3.0, "r4")) == ["401"]


def test_requests_with_unknown_keys_are_bounded():
    """Guards against an instance whose memory callers with invalid keys can fill, and
    against callers that wait longer than they can.
    """
    router = start()
    submit(router, "x")
    check(router, 1.1, store_answered=False)
    words = []
    for number in range(MAX_UNKNOWN_KEYS + 10):
        words += summarize(submit(router, "x", 1.2, f"x{number}"))
    assert words == ["503"] * 10
    reduce(router, Tick(1.5))
    assert summarize(reduce(router, Tick(2.8))) == ["503"] * MAX_UNKNOWN_KEYS


# Removal of keys


@pytest.mark.parametrize("is_swept", [True, False])
def test_queued_request_of_a_removed_key_is_refused(is_swept):
    """Guards against a waiting request that is sent after its key was removed."""
    router, attempts = start(slots=1), []
    while sent := find(
        submit(router, "kotor", 1.0, f"r{len(attempts)}"), effects.SendAttempt
    ):
        attempts += sent
    if is_swept:
        assert summarize(apply(router, WITHOUT_KEYS)) == ["401"]
    else:
        router.directory.apply_configuration(WITHOUT_KEYS)
    found = summarize(finish(router, attempts[0], status=200))
    assert found == (["200"] if is_swept else ["200", "401"])


def test_retry_with_a_removed_key_does_not_wait():
    """Guards against a request that waits although its key was removed."""
    accounts = [build_account(), build_account("other")]
    router = start(build(1, accounts), slots=1)
    (attempt,) = find(submit(router), effects.SendAttempt)
    for number in range(9):
        submit(router, "other", 1.0, f"o{number}")
    apply(router, build(accounts=accounts[1:]))
    found = finish(router, attempt, Verdict.NOT_RUN, unsent=True)
    assert "401" in summarize(found)


@pytest.mark.parametrize(
    ("former", "latter", "expected"),
    [
        (build(1), WITHOUT_KEYS, "401"),
        (build(1), build(accounts=[build_account("b", ["kotor"])]), "send b"),
        (build(1), WITHOUT_ACCOUNTS, "send "),
        (build(1, None), build(), "send kotor"),
    ],
)
def test_request_is_not_written_as_encoded_before_a_change(former, latter, expected):
    """Guards against a removed key, a key that reaches the upstream or a wrong account
    name, if accounts change while the connection to the upstream opens.
    """
    router = start(former)
    (attempt,) = find(submit(router), effects.SendAttempt)
    assert router.may_send(attempt.attempt_id, 1.0)
    apply(router, latter)
    assert not router.may_send(attempt.attempt_id, 1.1)
    found = finish(router, attempt, Verdict.NOT_RUN, unsent=True)
    assert summarize(found) == [expected]
    for again in find(found, effects.SendAttempt):
        assert again.request.withheld_headers == []
    # The upstream has no part in it.
    assert not router.dispatcher.placement.get_load("u0").failures


@pytest.mark.parametrize(
    ("verdict", "status", "expected"),
    [(Verdict.MAY_HAVE_RUN, 0, "502"), (Verdict.RAN, 500, "500")],
)
def test_request_that_may_have_run_keeps_its_verdict(verdict, status, expected):
    """Guards against 401 for a request that may have run, its retry with a removed key,
    and a response that is lost to that.
    """
    router = start()
    for number in range(20):
        router.dispatcher.get_budget("status").record(number / 20)
    (attempt,) = find(submit(router), effects.SendAttempt)
    apply(router, WITHOUT_KEYS)
    found = finish(router, attempt, verdict, status=status)
    assert summarize(found) == [expected]
    (response,) = find(found, effects.Respond)
    assert b"not-run" not in response.body


def test_strict_removal_refuses_with_an_old_copy():
    """Guards against an old copy that keeps removed keys valid where the deployment
    forbids it, and against refusals of requests that need no key.
    """
    router = start(strict_revoke=True, revoke_s=5.0)
    router.dispatcher.access.get_fresh_at = lambda: 1.0
    (attempt,) = find(submit(router, now=6.0), effects.SendAttempt)
    assert not router.may_send(attempt.attempt_id, 6.1)
    found = submit(router, "kotor", 6.1, "r2")
    assert summarize(found) == ["503"]
    assert find(found, effects.Respond)[0].retry_after_s > 0
    assert summarize(submit(router, "", 6.1, "r3", "/open/1")) == ["send "]
    # Another instance may be in touch.
    assert summarize(receive(router, 1, 6.1)) == ["declined keys-outdated"]
    assert summarize(submit(start(), now=99.0)) == ["send kotor"]


# Priorities, home regions, logs


def test_priority_of_an_account_replaces_that_of_the_route():
    """Guards against urgent accounts that wait behind others."""
    accounts = [build_account(), build_account("urgent", priority=0)]
    router, attempts = start(build(1, accounts), slots=1), []
    for number in range(6):
        found = submit(router, "kotor", 1.0, f"r{number}")
        attempts += find(found, effects.SendAttempt)
    submit(router, "urgent", 1.01, "u")
    words = summarize(finish(router, attempts[0], status=200))
    assert words == ["200", "send urgent"]


@pytest.mark.parametrize(
    ("route_homes", "account_homes", "cut_off", "expected"),
    [
        ([], ["south"], False, "send kotor"),
        (["south", "east"], ["south"], False, "send kotor"),
        ([], ["east"], False, "503"),
        (["east"], ["south"], False, "503"),
        (["east", "south"], ["east"], True, "relay"),
        (["east", "south"], ["south"], True, "503"),
    ],
)
def test_home_regions_of_route_and_account(
    route_homes, account_homes, cut_off, expected
):
    """Guards against a request or a relay that leaves the home regions of its account.
    Upstreams are in the south, other instances in the east.
    """
    account = build_account(home_regions=frozenset(account_homes))
    route = replace(ROUTES[0], home_regions=frozenset(route_homes))
    router = start(build(1, [account], [route]), cut_off=cut_off)
    assert summarize(submit(router)) == [expected]


def test_log_lines_name_the_account_by_its_digest():
    """Guards against names in logs, and lines that do not tell who was refused."""
    router = start()
    (attempt,) = find(submit(router), effects.SendAttempt)
    found = finish(router, attempt, status=200)
    submit(router, "x", 1.2, "r2")
    found += check(router, 1.3)
    router = start(cut_off=True)
    (relay,) = find(submit(router), effects.SendRelay)
    reply = RelayReply(verdict=Verdict.RAN, status=200)
    found += reduce(router, events.RelayFinished(1.1, relay.relay_id, reply))
    lines = {e.decision: e.fields["account"] for e in find(found, LogDecision)}
    label = digest_key(b"kotor")[:12]
    assert lines == {"answered": label, "relayed": label, "refused": ""}


# Relays


@pytest.mark.parametrize(
    ("configuration", "headers"), [(build(), []), (WITHOUT_ACCOUNTS, WITHHELD)]
)
def test_relay_carries_the_key_only_without_accounts(configuration, headers):
    """Guards against a key that another instance gets, and lost headers without one."""
    router = start(configuration, cut_off=True)
    (relay,) = find(submit(router), effects.SendRelay)
    assert relay.relayed.needs_accounts == configuration.has_accounts
    assert relay.relayed.request.key_digest == digest_key(b"kotor")
    assert relay.relayed.request.withheld_headers == headers


@pytest.mark.parametrize(
    ("configuration", "version", "store_answered", "expected"),
    [
        (build(), 1, None, "send kotor"),
        (WITHOUT_KEYS, 1, True, "unauthorized"),
        (WITHOUT_KEYS, 1, False, "declined store-unreachable"),
        (build(1, None), 2, False, "declined outdated-configuration"),
    ],
)
def test_other_instance_checks_the_digest(
    configuration, version, store_answered, expected
):
    """Guards against a removed key that works by way of another instance, and a refusal
    of a key that a third one could check.
    """
    router = start(configuration)
    words = summarize(receive(router, version))
    if store_answered is not None:
        words = summarize(check(router, store_answered=store_answered))
    assert words == [expected]


@pytest.mark.parametrize(
    ("reply", "is_removed", "expected"),
    [
        (RelayReply(refusal="unauthorized"), False, "401"),
        (RelayReply(declined="busy"), True, "401"),
        (RelayReply(declined="busy"), False, "relay"),
    ],
)
def test_key_removed_during_a_relay(reply, is_removed, expected):
    """Guards against a removed key that is answered like an overload, and against a
    second relay with it.
    """
    router = start(cut_off=True)
    (relay,) = find(submit(router), effects.SendRelay)
    if is_removed:
        apply(router, WITHOUT_KEYS)
    found = reduce(router, events.RelayFinished(1.1, relay.relay_id, reply))
    assert summarize(found) == [expected]
