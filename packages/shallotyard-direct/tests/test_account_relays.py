"""Tests of relayed requests of client accounts."""

import pytest
from direct_builders import build_account
from direct_builders import build_configuration
from direct_builders import build_request
from direct_builders import build_route
from direct_builders import build_service
from direct_builders import build_settings
from direct_builders import build_upstream

from shallotyard_core.effects import LogDecision
from shallotyard_core.verdict import Verdict
from shallotyard_direct import events
from shallotyard_direct.accounts.model import digest_key
from shallotyard_direct.effects import ReplyToRelay
from shallotyard_direct.effects import Respond
from shallotyard_direct.effects import SendAttempt
from shallotyard_direct.effects import SendRelay
from shallotyard_direct.model import RelayedRequest
from shallotyard_direct.model import RelayReply
from shallotyard_direct.router import DirectRouter
from shallotyard_direct.router import reduce

KEY_DIGEST = digest_key(b"kotor")
WITHHELD = [("Authorization", "Token kotor")]


def build(version=1, accounts=(build_account(),), **route_changes):
    """Return a configuration with the account ``kotor``."""
    routes = [build_route(**route_changes)]
    return build_configuration(routes, [build_service()], version, accounts)


def start(configuration, instance="front-1", cut_off=False, **changes):
    """Return a router that knows another instance."""
    settings = build_settings(instance, **changes)
    router = DirectRouter.from_settings(settings, "run-1", 0.0, 1)
    reduce(router, events.ConfigurationReceived(0.0, configuration))
    upstreams = [build_upstream(f"u{n}") for n in range(3)]
    reduce(router, events.UpstreamsListed(0.0, upstreams))
    records = {
        name: {"domain": domain, "address": f"10.0.1.{name[-1]}:7000"}
        for name, domain in {"front-1": "split", "front-2": "osijek"}.items()
    }
    reduce(router, events.RecordsListed(0.0, "instances", records))
    if cut_off:
        for upstream in upstreams:
            tried = events.ConnectionTried(0.9, upstream.upstream_id, False)
            reduce(router, tried)
    return router


def submit(router, key_digest=KEY_DIGEST):
    """Submit a request with a key; return the effects."""
    request = build_request(key_digest=key_digest, withheld_headers=list(WITHHELD))
    return reduce(router, events.RequestArrived(1.0, request))


def receive(router, key_digest=KEY_DIGEST, version=1):
    """Receive a request of another instance; return the effects."""
    request = build_request(key_digest=key_digest, withheld_headers=list(WITHHELD))
    relayed = RelayedRequest(request, "front-1", 0.0, "status", version)
    return reduce(router, events.RelayRequested(1.0, relayed))


def get_only_effect(effects, effect_type):
    """Return the only effect of a type."""
    (effect,) = [effect for effect in effects if isinstance(effect, effect_type)]
    return effect


def test_relay_carries_the_digest_and_no_key():
    """Guards against a key that another instance gets, and against a relay that an
    instance without accounts would serve unchecked.
    """
    relayed = get_only_effect(submit(start(build(), cut_off=True)), SendRelay).relayed
    assert relayed.needs_accounts
    assert relayed.request.key_digest == KEY_DIGEST
    assert relayed.request.withheld_headers == []


def test_relay_without_accounts_carries_all_headers():
    """Guards against headers that are lost where no accounts are configured."""
    router = start(build(accounts=None), cut_off=True)
    relayed = get_only_effect(submit(router), SendRelay).relayed
    assert not relayed.needs_accounts
    assert relayed.request.withheld_headers == WITHHELD


def test_other_instance_checks_the_digest():
    """Guards against a removed key that works by way of another instance."""
    attempt = get_only_effect(receive(start(build(), "front-2")), SendAttempt)
    assert (attempt.account_id, attempt.request.withheld_headers) == ("kotor", [])
    router = start(build(2, []), "front-2")
    receive(router)
    effects = reduce(router, events.ConfigurationChecked(1.1, True))
    reply = get_only_effect(effects, ReplyToRelay).reply
    assert (reply.refusal, reply.verdict) == ("unauthorized", Verdict.NOT_RUN)


def test_instance_that_cannot_check_a_key_declines():
    """Guards against a refusal of a key that a third instance could check."""
    router = start(build(2, []), "front-2")
    receive(router)
    effects = reduce(router, events.ConfigurationChecked(1.1, False))
    assert get_only_effect(effects, ReplyToRelay).reply.declined == "store-unreachable"
    strict = start(build(), "front-2", strict_revoke=True)
    reply = get_only_effect(receive(strict), ReplyToRelay).reply
    assert reply.declined == "keys-outdated"


def test_instance_with_a_configuration_before_accounts_declines():
    """Guards against a request that an older configuration lets pass without a key."""
    router = start(build(1, None), "front-2")
    receive(router, version=2)
    effects = reduce(router, events.ConfigurationChecked(1.1, False))
    reply = get_only_effect(effects, ReplyToRelay).reply
    assert reply.declined == "outdated-configuration"


def test_refusal_of_the_other_instance_is_401():
    """Guards against a removed key that is answered like an overload."""
    router = start(build(), cut_off=True)
    relay = get_only_effect(submit(router), SendRelay)
    reply = RelayReply(refusal="unauthorized")
    effects = reduce(router, events.RelayFinished(1.1, relay.relay_id, reply))
    response = get_only_effect(effects, Respond)
    assert (response.status, response.retry_after_s) == (401, 0)


def test_key_removed_between_two_relays():
    """Guards against a second relay with a key that was removed meanwhile."""
    router = start(build(), cut_off=True)
    relay = get_only_effect(submit(router), SendRelay)
    reduce(router, events.ConfigurationReceived(1.05, build(2, [])))
    reply = RelayReply(declined="busy")
    effects = reduce(router, events.RelayFinished(1.1, relay.relay_id, reply))
    assert get_only_effect(effects, Respond).status == 401


@pytest.mark.parametrize(("homes", "relays"), [({"east"}, 1), ({"south"}, 0)])
def test_relay_stays_in_the_home_regions_of_the_account(homes, relays):
    """Guards against a body that is sent to a region that may not have it."""
    account = build_account(home_regions=frozenset(homes))
    effects = submit(start(build(accounts=[account]), cut_off=True))
    assert sum(isinstance(effect, SendRelay) for effect in effects) == relays


def test_relayed_response_names_the_account_in_the_log():
    """Guards against served requests that no account is counted for."""
    router = start(build(), cut_off=True)
    relay = get_only_effect(submit(router), SendRelay)
    reply = RelayReply(verdict=Verdict.RAN, status=200)
    effects = reduce(router, events.RelayFinished(1.1, relay.relay_id, reply))
    line = get_only_effect(effects, LogDecision)
    assert line.fields["account"] == KEY_DIGEST[:12]
