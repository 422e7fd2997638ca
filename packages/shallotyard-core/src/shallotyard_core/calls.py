"""A request on its way through the holder, and the reasons of its answers."""

import enum
from dataclasses import dataclass
from typing import Any

from shallotyard_core.messages import Relay
from shallotyard_core.verdict import Verdict


class Reason(enum.StrEnum):
    """Why a call ended as it did; the last part of a problem type."""

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


# After these, another attempt may succeed at once or a moment later.
RETRYABLE = frozenset(
    {
        Reason.MOVED,
        Reason.NOT_READY,
        Reason.SHED,
        Reason.STALE_GRANT,
        Reason.NOT_SENT,
        Reason.LOST,
        Reason.HOLDER_LOST,
        Reason.OUT_OF_SERVICE,
    }
)


@dataclass(slots=True, eq=False)
class Call:
    """A relayed request at the holder.

    :param relay: the request.
    :param origin: ingress instance, ``""`` for this one.
    :param reply_to: where the answer goes, for a remote origin.
    :param deadline: local time in seconds.
    :param claim: slice claim that the attempt runs under, if any.
    :param upstream_claim: claim on the upstream that the attempt runs under.
    :param sent_at: when the attempt was sent, in seconds.
    :param attempt_deadline: when the attempt has surely ended, in seconds.
    :param exclusive: whether it runs alone because of quarantine marks.
    :param is_registered: whether the outcome store holds it as running.
    :param has_crash_mark: whether it was marked for the death of its upstream.
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

    :param release_at: when it has surely ended, in seconds.
    """

    call: Call
    release_at: float


@dataclass(slots=True)
class CallResult:
    """How a call ended, before it is turned into an answer."""

    verdict: Verdict
    reason: Reason
    status: int = 0
    headers: dict[str, str] | None = None
    body: bytes = b""
    retry_after_s: float = 0.0
