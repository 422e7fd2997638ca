"""Everything that can happen to an instance. ``now`` is CLOCK_BOOTTIME seconds."""

import enum
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from shallotyard_core.membership import ListedInstance
from shallotyard_core.verdict import Verdict


@dataclass(slots=True)
class CallerRequest:
    """A request as read from a caller.

    :param request_id: id given by the router.
    :param target: path and query.
    :param headers: header values by lower-case name; values of a header that
        occurs more than once are joined.
    :param repeated: lower-case names of headers that occur more than once.
    """

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    repeated: tuple[str, ...] = ()


@dataclass(slots=True)
class RequestArrived:
    """A caller sent a whole request."""

    now: float
    request: CallerRequest


@dataclass(slots=True)
class CallerDisconnected:
    """A caller closed its connection before the response."""

    now: float
    request_id: str


class AttemptKind(enum.Enum):
    """How a transfer to an upstream ended.

    ``NOT_SENT`` means that no byte of the request was written. ``LOST`` covers
    timeouts, resets and responses that cannot be trusted.
    """

    ANSWERED = "answered"
    NOT_SENT = "not-sent"
    LOST = "lost"


@dataclass(slots=True)
class AttemptFinished:
    """A transfer to an upstream ended.

    :param reason: for transfers without a response, what went wrong.
    :param verdict: the upstream's own word, if it gave one.
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
    """The upstream answered a cancellation; ``stopped`` if nothing runs any more."""

    now: float
    call_id: str
    stopped: bool


@dataclass(slots=True)
class PeerMessage:
    """A message from another instance.

    :param reply_to: where to send the reply, ``None`` if none is expected.
    """

    now: float
    sender: str
    message: Any
    reply_to: Any = None


@dataclass(slots=True)
class PeerReplied:
    """The reply to a message, or its loss.

    :param token: the token of the `SendPeer` effect.
    :param sent_at: time at which the message was handed to the transport.
    :param message: the reply; ``None`` if it was lost or timed out.
    :param unsent: whether the lost message surely never left this process.
    """

    now: float
    instance_id: str
    token: Any
    sent_at: float
    message: Any = None
    unsent: bool = False


class StoreStatus(enum.Enum):
    """Result of a store call. ``UNCLEAR`` writes may have taken effect."""

    DONE = "done"
    NOT_MODIFIED = "not-modified"
    ABSENT = "absent"
    CONFLICT = "conflict"
    UNCLEAR = "unclear"
    FAILED = "failed"


@dataclass(slots=True)
class StoreReadFinished:
    """A conditional read ended; ``began_at`` is when it was started."""

    now: float
    name: str
    began_at: float
    status: StoreStatus
    etag: str = ""
    body: bytes = b""


@dataclass(slots=True)
class StoreWriteFinished:
    """A conditional write ended."""

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
    """A grant or health call to an upstream ended.

    :param sent_at: when the call was sent.
    :param reached: whether the upstream answered.
    :param refused: whether the connection was refused.
    :param clock_ms: the upstream's clock.
    :param accepted: whether it took the grant.
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
    """Periodic, every `timing.TICK_S`."""

    now: float


@dataclass(slots=True)
class HedgeDue:
    """The hedge delay of a request has passed."""

    now: float
    request_id: str


@dataclass(slots=True)
class RetryDue:
    """The pause before a retry has passed."""

    now: float
    request_id: str


@dataclass(slots=True)
class DrainRequested:
    """The process was asked to shut down gracefully."""

    now: float
