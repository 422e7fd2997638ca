"""Tests of request validation at the ingress."""

import json

import pytest

from shallotyard_core.effects import LogDecision
from shallotyard_core.effects import Respond
from shallotyard_core.effects import SendAttempt
from shallotyard_core.effects import SendPeer
from shallotyard_core.events import CallerRequest
from shallotyard_core.events import RequestArrived
from shallotyard_core.reducer import reduce
from shallotyard_testing.builders import build_tendaris_manifest
from shallotyard_testing.state_builders import build_router


def send_request(target, repeated=()):
    """Return the effects of one request of a client."""
    manifest, credentials = build_tendaris_manifest()
    router = build_router(json.dumps(manifest))
    headers = {
        "authorization": f"Bearer {credentials['ferry-stalls']}",
        "shallotyard-key": "stall-1",
    }
    request = CallerRequest("q", "GET", target, headers, b"private-body", repeated)
    return reduce(router, RequestArrived(100.0, request))


def read_refusal(effects):
    assert not any(isinstance(each, (SendAttempt, SendPeer)) for each in effects)
    responses = [each for each in effects if isinstance(each, Respond)]
    return [(each.status, json.loads(each.body)["verdict"]) for each in responses]


@pytest.mark.parametrize(
    "target",
    [
        "/till/../-/grants",
        "/till/%2e%2E/-/grants",
        "/till/..%2f-/grants",
        "/till/./x",
        "/till/..",
    ],
)
def test_dot_segments_are_refused(target):
    """Guards against callers that reach the grant and cancel endpoints of upstreams."""
    assert read_refusal(send_request(target)) == [(400, "not-run")]


@pytest.mark.parametrize("target", ["/till/a.b/..c", "/till/a?x=/../b", "/till/%41"])
def test_other_dots_are_accepted(target):
    """Guards against the refusal of file names and queries with dots."""
    assert read_refusal(send_request(target)) == []


@pytest.mark.parametrize(
    "name", ["shallotyard-key", "idempotency-key", "shallotyard-deadline-ms"]
)
def test_repeated_control_header_is_refused(name):
    """Guards against a key that router and upstream read differently."""
    assert read_refusal(send_request("/status/x", (name,))) == [(400, "not-run")]


def test_log_lines_contain_no_caller_data():
    """Guards against a key, a body or a client id in a decision log line."""
    for target in ("/status/x", "/nowhere/x", "/till/x"):
        effects = send_request(target)
        text = str([each for each in effects if isinstance(each, LogDecision)])
        for secret in ("stall-1", "ferry-stalls", "credential", "private-body"):
            assert secret not in text
