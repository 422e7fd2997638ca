"""Responses of the router itself, with RFC 9457 problem bodies."""

import enum

import orjson

from shallotyard_core.problems import TYPE_PREFIX
from shallotyard_core.verdict import Verdict
from shallotyard_direct.effects import Respond


class Refusal(enum.StrEnum):
    """Reason for which the router itself answers a request."""

    NOT_CONFIGURED = "not-configured"
    STORE_UNREACHABLE = "store-unreachable"
    UNKNOWN_ROUTE = "unknown-route"
    BAD_REQUEST = "bad-request"
    NO_UPSTREAM = "no-upstream"
    OUTSIDE_HOME = "owner-outside-home-regions"
    KEY_WITHOUT_OWNER = "key-without-owner"
    OWNER_CHANGING = "owner-changing"
    SATURATED = "saturated"
    RATE_LIMITED = "rate-limited"
    UPSTREAM_PAUSED = "upstream-paused"
    NOT_EXECUTED = "not-executed"
    UNREACHABLE = "upstream-unreachable"
    QUARANTINED = "quarantined"
    LOST = "response-lost"
    TIMEOUT = "timeout"
    CUT_OFF = "cut-off"
    STOPPING = "stopping"
    INTERNAL = "internal"
    UNAUTHORIZED = "unauthorized"
    KEYS_OUTDATED = "keys-outdated"
    QUOTA_EXCEEDED = "quota-exceeded"
    QUOTA_UNKNOWN = "quota-unknown"


_STATUS_BY_REFUSAL = {
    Refusal.UNKNOWN_ROUTE: 404,
    Refusal.BAD_REQUEST: 400,
    Refusal.UNAUTHORIZED: 401,
    Refusal.QUOTA_EXCEEDED: 429,
    Refusal.QUARANTINED: 502,
    Refusal.LOST: 502,
    Refusal.TIMEOUT: 504,
    Refusal.INTERNAL: 500,
}
# Callers take these for a proof that the request has not run.
_NOT_RUN_STATUSES = frozenset({401, 429, 503})


def build_refusal(request, refusal, verdict, retry_after_s=0.0):
    """Return the response to a request that no upstream answered.

    :param request: the `Request`.
    :param refusal: the reason.
    :param verdict: combined verdict of all attempts; only ``NOT_RUN`` allows a
        status that says the request has not run.
    :param retry_after_s: delay before a retry, in seconds; 0 if not stated.
    """
    status = _STATUS_BY_REFUSAL.get(refusal, 503)
    if status in _NOT_RUN_STATUSES and verdict is not Verdict.NOT_RUN:
        status = 502
    body = orjson.dumps(
        {"type": TYPE_PREFIX + refusal, "status": status, "verdict": verdict.value}
    )
    headers = [("Content-Type", "application/problem+json")]
    if status == 401:
        headers.append(("WWW-Authenticate", "Token"))
    return Respond(
        request.request_id,
        status,
        headers,
        body,
        retry_after_s if status in (429, 503) else 0.0,
    )
