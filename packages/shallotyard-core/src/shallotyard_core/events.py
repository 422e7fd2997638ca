"""Input events of the reducer. ``now`` is the time by CLOCK_BOOTTIME in seconds."""

import enum
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from shallotyard_core.instance_list import ListedInstance
from shallotyard_core.verdict import Verdict


@dataclass(slots=True)
class CallerRequest:
    """A parsed request of a caller.

    :param request_id: id that the router assigned to the request.
    :param target: path and query.
    :param headers: header values by lower-case name; the values of a repeated
        header are joined.
    :param repeated_headers: lower-case names of headers that occur more than once.
    """

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    repeated_headers: tuple[str, ...] = ()


@dataclass(slots=True)
class RequestArrived:
    """A request was received completely."""

    now: float
    request: CallerRequest


@dataclass(slots=True)
class CallerDisconnected:
    """A caller closed its connection before it got its response."""

    now: float
    request_id: str


class AttemptKind(enum.Enum):
    """Result of an attempt at an upstream.

    ``NOT_SENT`` means that no byte of the request was written. ``LOST`` covers
    timeouts, resets and responses that failed validation.
    """

    ANSWERED = "answered"
    NOT_SENT = "not-sent"
    LOST = "lost"


@dataclass(slots=True)
class AttemptFinished:
    """An attempt at an upstream ended.

    :param reason: cause of the failure if there is no response.
    :param verdict: verdict stated by the upstream, ``None`` if it stated none.
    """

    now: float
    call_id: str
    kind: AttemptKind
    reason: str = ""
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    boot_id: str = ""
    verdict: Verdict | None = None


@dataclass(slots=True)
class AttemptCancelled:
    """An upstream replied to a cancellation.

    :param stopped: whether the attempt is no longer running.
    """

    now: float
    call_id: str
    stopped: bool


@dataclass(slots=True)
class PeerMessage:
    """A message from another instance.

    :param reply_to: destination of the reply, ``None`` if none is expected.
    """

    now: float
    sender: str
    message: Any
    reply_to: Any = None


@dataclass(slots=True)
class PeerReplied:
    """A message was replied to, was lost or timed out.

    :param token: the token of the `SendPeer` effect.
    :param sent_at: time at which the message was handed to the transport, in
        seconds.
    :param message: the reply; ``None`` if the message or its reply was lost or
        timed out.
    :param unsent: whether it is certain that the message never left this process.
    """

    now: float
    instance_id: str
    token: Any
    sent_at: float
    message: Any = None
    unsent: bool = False


class StoreStatus(enum.Enum):
    """Result of a store call. A write that ended ``UNCLEAR`` may have taken effect."""

    DONE = "done"
    NOT_MODIFIED = "not-modified"
    ABSENT = "absent"
    CONFLICT = "conflict"
    UNCLEAR = "unclear"
    FAILED = "failed"


@dataclass(slots=True)
class StoreReadFinished:
    """A conditional read of the store ended.

    :param began_at: time at which the read was started, in seconds.
    """

    now: float
    name: str
    began_at: float
    status: StoreStatus
    etag: str = ""
    body: bytes = b""


@dataclass(slots=True)
class StoreWriteFinished:
    """A conditional write to the store ended."""

    now: float
    name: str
    nonce: str
    status: StoreStatus
    etag: str = ""


@dataclass(slots=True)
class InstancesListed:
    """The platform's instance list was read."""

    now: float
    instances: list[ListedInstance]


@dataclass(slots=True)
class UpstreamPolled:
    """A grant call or health check of an upstream ended.

    :param sent_at: time at which the call was sent, in seconds.
    :param reached: whether the upstream responded.
    :param refused: whether the connection was refused.
    :param clock_ms: the upstream's clock in milliseconds.
    :param accepted: whether the upstream accepted the grant.
    :param epochs: epochs sent with the grant, by claim id.
    :param revoked: claim ids whose revocation was sent with the grant.
    """

    now: float
    upstream_id: str
    sent_at: float
    reached: bool
    refused: bool = False
    boot_id: str = ""
    clock_ms: float = 0.0
    state: str = ""
    accepted: bool = False
    epochs: dict[str, int] = field(default_factory=dict)
    revoked: tuple[str, ...] = ()


@dataclass(slots=True)
class Tick:
    """Periodic timer, every `timing.TICK_S` seconds."""

    now: float


@dataclass(slots=True)
class HedgeDue:
    """The hedge delay of a request has elapsed."""

    now: float
    request_id: str


@dataclass(slots=True)
class RetryDue:
    """The delay before a retry has elapsed."""

    now: float
    request_id: str


@dataclass(slots=True)
class DrainRequested:
    """A graceful shutdown of the process was requested."""

    now: float
