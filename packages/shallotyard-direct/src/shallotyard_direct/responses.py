"""Responses to callers: those of upstreams, and refusals of the router itself, with RFC
9457 problem bodies. None says that a request has not run which may have.
"""

import enum

import orjson

from shallotyard_core.not_run_statuses import contradicts
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
    STATUS_WITHHELD = "status-withheld"
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
    Refusal.STATUS_WITHHELD: 502,
    Refusal.TIMEOUT: 504,
    Refusal.INTERNAL: 500,
}


def build_response(pending, status, headers, body):
    """Return the response to a request that an upstream answered: the upstream's, or a
    failure if its status says that an action has not run which may have.

    Nothing of the upstream goes with the failure. Its seal belongs to its status, and
    its Retry-After would ask for a repetition.

    :param pending: the `PendingRequest`, whose verdict includes this response.
    :param headers: (name, value) pairs.
    :return: a `Respond`.
    """
    request, verdict = pending.request, pending.verdict
    if not pending.route.idempotent and contradicts(status, verdict):
        refusal = Refusal.STATUS_WITHHELD
        return build_refusal(request, refusal, verdict, upstream_status=status)
    return Respond(request.request_id, status, headers, body)


def build_refusal(request, refusal, verdict, retry_after_s=0.0, upstream_status=0):
    """Return the response to a request for which there is no response of an upstream.

    :param request: the `Request`.
    :param refusal: the reason.
    :param verdict: combined verdict of all attempts; only ``NOT_RUN`` allows a
        status that says the request has not run.
    :param retry_after_s: delay before a retry, in seconds; 0 if not stated.
    :param upstream_status: status of the upstream's response that is withheld, 0 if
        there is none.
    :return: a `Respond`.
    """
    status = _STATUS_BY_REFUSAL.get(refusal, 503)
    # 401 says that the request was not sent.
    is_untrue_401 = status == 401 and verdict is not Verdict.NOT_RUN
    if is_untrue_401 or contradicts(status, verdict):
        status = 502
    problem = {"type": TYPE_PREFIX + refusal, "status": status}
    problem["verdict"] = verdict.value
    if upstream_status:
        problem["upstream_status"] = upstream_status
    headers = [("Content-Type", "application/problem+json")]
    if status == 401:
        headers.append(("WWW-Authenticate", "Token"))
    return Respond(
        request.request_id,
        status,
        headers,
        orjson.dumps(problem),
        retry_after_s if status in (429, 503) else 0.0,
    )
