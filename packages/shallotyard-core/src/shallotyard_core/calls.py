"""Calls (requests at their holder) and the reasons of their results."""

import enum
from dataclasses import dataclass
from typing import Any

from shallotyard_core.messages import Relay
from shallotyard_core.verdict import Verdict


class ResultReason(enum.StrEnum):
    """Why a call ended with its result, which may be a success.

    The value is also the last part of the URN of a problem type.
    """

    ANSWERED = "answered"
    MOVED = "moved"
    NOT_READY = "not-ready"
    SATURATED = "saturated"
    DEADLINE = "deadline"
    SHED = "shed"
    STALE_GRANT = "stale-grant"
    NOT_SENT = "not-sent"
    LOST = "lost"
    REPEATED = "repeated"
    OUTCOME_UNKNOWN = "outcome-unknown"
    IDEMPOTENCY_MISMATCH = "idempotency-mismatch"
    QUARANTINED = "quarantined"
    CANCELLED = "cancelled"
    HOLDER_LOST = "holder-lost"
    NO_UPSTREAM = "no-upstream"
    OUT_OF_SERVICE = "out-of-service"


# After these, another call may succeed immediately or after a short delay.
RETRYABLE_REASONS = frozenset(
    {
        ResultReason.MOVED,
        ResultReason.NOT_READY,
        ResultReason.SHED,
        ResultReason.STALE_GRANT,
        ResultReason.NOT_SENT,
        ResultReason.LOST,
        ResultReason.HOLDER_LOST,
        ResultReason.OUT_OF_SERVICE,
    }
)


@dataclass(slots=True, eq=False)
class Call:
    """A relayed request at the holder.

    :param relay: the request.
    :param origin: id of the ingress instance, ``""`` for this instance.
    :param reply_to: destination of the reply to a remote ingress instance.
    :param deadline: deadline in local time, in seconds.
    :param claim: slice claim that covers the request, ``None`` for unkeyed requests.
    :param upstream_claim: claim on the upstream that the request is sent to.
    :param sent_at: time at which the attempt was sent, in seconds; 0 before.
    :param attempt_deadline: time at which the attempt has ended for certain, in
        seconds.
    :param boot_id: boot id of the upstream when the attempt was sent.
    :param exclusive: whether no other request may be in flight at the upstream
        meanwhile, because of quarantine marks.
    :param is_registered: whether the outcome store has a running record of it.
    :param cancelled: whether the ingress instance has cancelled it.
    :param has_crash_mark: whether it has got a quarantine mark because its upstream
        crashed during the attempt.
    """

    relay: Relay
    origin: str
    reply_to: Any
    deadline: float
    claim: Any = None
    upstream_claim: Any = None
    sent_at: float = 0.0
    attempt_deadline: float = 0.0
    boot_id: str = ""
    exclusive: bool = False
    is_registered: bool = False
    cancelled: bool = False
    has_crash_mark: bool = False


@dataclass(slots=True)
class UnresolvedAttempt:
    """An attempt of unknown outcome that may still be running.

    :param release_at: time at which it has ended for certain and its slot is freed,
        in seconds.
    """

    call: Call
    release_at: float


@dataclass(slots=True)
class CallResult:
    """Result of a call, from which its `RelayAnswer` is built."""

    verdict: Verdict
    reason: ResultReason
    status: int = 0
    headers: dict[str, str] | None = None
    body: bytes = b""
    retry_after_s: float = 0.0
