"""What the reducer wants done. Effects are data; the daemon carries them out."""

from dataclasses import dataclass
from dataclasses import field
from typing import Any


@dataclass(slots=True)
class Respond:
    """Send a response to a caller."""

    request_id: str
    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class SendAttempt:
    """Send a request to an upstream.

    :param deadline: local time after which the transfer is given up, in seconds.
    :param fresh: whether to open a new connection.
    :param home_regions: regions the request may be sent to, empty for any.
    :param region: region of the upstream.
    """

    call_id: str
    upstream_id: str
    address: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    request_id: str
    deadline: float
    fresh: bool
    connections: int
    home_regions: tuple[str, ...] = ()
    region: str = ""


@dataclass(slots=True)
class CancelAttempt:
    """Ask an upstream to cancel a request and to acknowledge it."""

    call_id: str
    address: str
    request_id: str


@dataclass(slots=True)
class SendPeer:
    """Send a message to another instance.

    :param token: identifies the reply; ``None`` if no reply is wanted.
    :param timeout_s: time after which the reply counts as lost.
    """

    instance_id: str
    address: str
    message: Any
    token: Any = None
    timeout_s: float = 1.0


@dataclass(slots=True)
class ReplyPeer:
    """Answer a message of another instance."""

    reply_to: Any
    message: Any


@dataclass(slots=True)
class ReadStore:
    """Read an object unless it still has the given ETag."""

    name: str
    etag: str = ""


@dataclass(slots=True)
class WriteStore:
    """Write an object if it still has the given ETag, or if absent for ``""``."""

    name: str
    body: bytes
    etag: str
    nonce: str


@dataclass(slots=True)
class ListInstances:
    """Read the platform's instance list."""


@dataclass(slots=True)
class PollUpstream:
    """Renew a grant, or read the health of an upstream that takes none.

    :param boot_id: boot id the expiry refers to.
    :param expires_at_ms: expiry on the upstream's clock.
    :param epochs: granted epoch by claim id.
    :param revoked: claim ids that the upstream must forget.
    :param fresh: whether to open a new connection.
    """

    upstream_id: str
    address: str
    grants: bool
    boot_id: str = ""
    expires_at_ms: float = 0.0
    epochs: dict[str, int] = field(default_factory=dict)
    revoked: tuple[str, ...] = ()
    fresh: bool = False


@dataclass(slots=True)
class StartTimer:
    """Deliver an event after a delay in seconds."""

    delay_s: float
    event: Any


@dataclass(slots=True)
class LogDecision:
    """Write one log line about a routing or placement decision."""

    decision: str
    reason: str
    fields: dict[str, Any]


@dataclass(slots=True)
class Exit:
    """Stop the process; everything in flight has finished."""
