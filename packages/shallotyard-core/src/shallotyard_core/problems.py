"""Error responses of the router, as RFC 9457 problem details."""

import math

import orjson

from shallotyard_core.calls import ResultReason
from shallotyard_core.effects import Respond
from shallotyard_core.not_run_statuses import contradicts
from shallotyard_core.verdict import Verdict

TYPE_PREFIX = "urn:shallotyard:problem:"
DEFAULT_RETRY_AFTER_S = 1.0
STATUS_WITHHELD = "status-withheld"

_TITLE_BY_REASON = {
    "unauthorized": "The credential is missing or unknown.",
    "unknown-route": "No route of this client matches the path.",
    "wrong-region": "This instance is outside the client's home regions.",
    "bad-request": "The path or a header of the request is invalid.",
    "malformed": "The request is not valid HTTP.",
    "body-too-large": "The request body is larger than the service accepts.",
    "head-too-large": "The head of the request is larger than the limit.",
    "head-timeout": "The head of the request did not arrive in time.",
    "body-timeout": "The request body did not arrive in time.",
    "memory-short": "This instance has no memory for the request now.",
    "not-configured": "This instance has no configuration yet.",
    STATUS_WITHHELD: (
        "The upstream ran the request and answered with a status that denies it."
    ),
    "unwritable": "The upstream's answer is malformed; the request may have run.",
    "internal": "The router refused to break one of its invariants.",
    ResultReason.MOVED: "The owner of the key is changing.",
    ResultReason.NOT_READY: "The owner of the key is not ready yet.",
    ResultReason.SATURATED: "The upstream has no room for this request.",
    ResultReason.DEADLINE: "The deadline passed before the request could be sent.",
    ResultReason.SHED: "The upstream refused the request to protect itself.",
    ResultReason.STALE_GRANT: "The upstream has no current grant for the key.",
    ResultReason.NOT_SENT: "The upstream could not be reached.",
    ResultReason.LOST: "The upstream's answer was lost; the request may have run.",
    ResultReason.HOLDER_LOST: "The router instance in charge was lost.",
    ResultReason.OUTCOME_UNKNOWN: "An earlier request with this key may have run.",
    ResultReason.IDEMPOTENCY_MISMATCH: (
        "The Idempotency-Key belongs to another request."
    ),
    ResultReason.QUARANTINED: "This request crashed upstreams and is quarantined.",
    ResultReason.CANCELLED: "The caller left before the request was sent.",
    ResultReason.NO_UPSTREAM: "No upstream of the service is in service.",
    ResultReason.OUT_OF_SERVICE: "The upstream was taken out of service.",
}

_STATUS_BY_REASON = {
    ResultReason.DEADLINE: 504,
    ResultReason.LOST: 504,
    ResultReason.HOLDER_LOST: 502,
    ResultReason.OUTCOME_UNKNOWN: 502,
    ResultReason.IDEMPOTENCY_MISMATCH: 422,
    ResultReason.QUARANTINED: 403,
}
_REASONS_WITH_RETRY_AFTER = frozenset(
    {
        ResultReason.MOVED,
        ResultReason.NOT_READY,
        ResultReason.SATURATED,
        ResultReason.SHED,
        ResultReason.STALE_GRANT,
        ResultReason.NOT_SENT,
        ResultReason.NO_UPSTREAM,
        ResultReason.OUT_OF_SERVICE,
    }
)


def build_problem(
    request_id,
    status,
    reason,
    verdict,
    detail="",
    retry_after_s=0.0,
    upstream_status=0,
):
    """Return an error response with a problem body.

    :param request_id: id of the request.
    :param status: HTTP status code.
    :param reason: last part of the problem type.
    :param verdict: verdict of the request.
    :param detail: human-readable detail, without keys and bodies.
    :param retry_after_s: value for the ``Retry-After`` header in seconds, 0 for none.
    :param upstream_status: status of the upstream's response that is withheld, 0 if
        there is none.
    :return: a `Respond` effect.
    """
    body = {
        "type": TYPE_PREFIX + str(reason),
        "title": _TITLE_BY_REASON.get(reason, str(reason)),
        "status": status,
        "verdict": verdict.value,
        "request_id": request_id,
    }
    if detail:
        body["detail"] = detail
    if upstream_status:
        body["upstream_status"] = upstream_status
    headers = {
        "Content-Type": "application/problem+json",
        "Shallotyard-Request-Id": request_id,
        "Shallotyard-Verdict": verdict.value,
    }
    if retry_after_s > 0:
        headers["Retry-After"] = str(math.ceil(retry_after_s))
    return Respond(request_id, status, headers, orjson.dumps(body))


def build_response(request_id, idempotent, status, headers, body):
    """Return the response to a request that an upstream answered: the upstream's, or a
    failure if its status says that an action has not run.

    Nothing of the upstream goes with the failure, as its Retry-After would ask for a
    repetition, and other fields may describe the body.

    :param idempotent: whether the request may run again.
    :param headers: header values by name.
    :return: a `Respond` effect.
    """
    verdict = Verdict.RAN
    if not idempotent and contradicts(status, verdict):
        return build_problem(
            request_id, 502, STATUS_WITHHELD, verdict, upstream_status=status
        )
    headers = dict(headers)
    headers["Shallotyard-Request-Id"] = request_id
    headers["Shallotyard-Verdict"] = verdict.value
    return Respond(request_id, status, headers, body)


def build_failure(request_id, reason, verdict, retry_after_s=0.0):
    """Return the error response of a request without a response from an upstream.

    :param request_id: id of the request.
    :param reason: a `ResultReason`.
    :param verdict: combined verdict of all attempts.
    :param retry_after_s: estimate of the holder in seconds, 0 if it gave none.
    """
    status = _STATUS_BY_REASON.get(reason, 503)
    if contradicts(status, verdict):
        status = 502
    if verdict is not Verdict.NOT_RUN:
        # Retry-After would ask for a repetition that may run twice.
        retry_after_s = 0.0
    elif reason in _REASONS_WITH_RETRY_AFTER and not retry_after_s:
        retry_after_s = DEFAULT_RETRY_AFTER_S
    return build_problem(
        request_id, status, reason, verdict, retry_after_s=retry_after_s
    )
