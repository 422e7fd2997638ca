"""Output effects of the reducer: plain data that the daemon executes."""

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

    :param deadline: local time at which the attempt times out, in seconds.
    :param fresh: whether to open a new connection.
    :param connections: number of connections that the upstream accepts.
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
    """Ask an upstream to cancel a request and to acknowledge the cancellation."""

    call_id: str
    address: str
    request_id: str


@dataclass(slots=True)
class SendPeer:
    """Send a message to another instance.

    :param token: identifies the reply; ``None`` if no reply is expected.
    :param timeout_s: time in seconds after which the reply counts as lost.
    """

    instance_id: str
    address: str
    message: Any
    token: Any = None
    timeout_s: float = 1.0


@dataclass(slots=True)
class ReplyPeer:
    """Send the reply to a message of another instance."""

    reply_to: Any
    message: Any


@dataclass(slots=True)
class ReadStore:
    """Read a store object unless it still has the given ETag."""

    name: str
    etag: str = ""


@dataclass(slots=True)
class WriteStore:
    """Write a store object if it still has the given ETag.

    :param etag: expected ETag, ``""`` if the object must not exist.
    """

    name: str
    body: bytes
    etag: str
    nonce: str


@dataclass(slots=True)
class ListInstances:
    """Read the platform's instance list."""


@dataclass(slots=True)
class PollUpstream:
    """Renew the grants of an upstream, or check its health.

    :param grants: whether to send grants; false for a health check.
    :param boot_id: boot id of the process whose clock ``expires_at_ms`` refers to.
    :param expires_at_ms: expiry of the grants on the upstream's clock.
    :param epochs: granted epochs by claim id.
    :param revoked: claim ids whose grants the upstream must remove.
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
    """Log a routing or placement decision."""

    decision: str
    reason: str
    fields: dict[str, Any]


@dataclass(slots=True)
class Exit:
    """Exit the process after a drain has finished or reached its time limit."""
