"""What the reducer wants done. Effects are data; the daemon carries them out."""

from dataclasses import dataclass
from typing import Any

from shallotyard_direct.model import Request


@dataclass(slots=True)
class Respond:
    """Send a response to a caller.

    :param retry_after_s: when to come back, in seconds; 0 if not stated.
    """

    request_id: str
    status: int
    headers: list[tuple[str, str]]
    body: bytes
    retry_after_s: float = 0.0


@dataclass(slots=True)
class SendAttempt:
    """Send a request to an upstream.

    :param deadline: local time at which the caller's patience or the route's
        timeout ends.
    :param fresh: whether to open a new connection.
    """

    attempt_id: str
    upstream_id: str
    address: str
    request: Request
    deadline: float
    fresh: bool


@dataclass(slots=True)
class AbandonAttempt:
    """Close the connection of an attempt whose response nobody awaits."""

    attempt_id: str


@dataclass(slots=True)
class CheckConfiguration:
    """Read the configuration now, and report `ConfigurationChecked`."""


@dataclass(slots=True)
class ReadRecord:
    """Read one of the router's own records."""

    kind: str
    name: str


@dataclass(slots=True)
class WriteRecord:
    """Write a record if it still has a revision, 0 if it must not exist yet.

    :param token: identifies the result.
    :param revision: None to write whatever is there.
    """

    kind: str
    name: str
    value: Any
    revision: int | None
    token: str


@dataclass(slots=True)
class SendGrant:
    """Grant a range of keys to an upstream, or renew the grant.

    :param first: first key of the range.
    :param last: last key, included.
    :param deadline: local time after which it must not be sent any more.
    """

    token: str
    upstream_id: str
    address: str
    first: int
    last: int
    fence: int
    ttl_s: float
    handover: str
    deadline: float


@dataclass(slots=True)
class SendRelease:
    """Take a range of keys back.

    :param timeout_s: how long to wait for the work in progress.
    """

    token: str
    upstream_id: str
    address: str
    first: int
    last: int
    fence: int
    timeout_s: float


@dataclass(slots=True)
class StopListening:
    """Accept no more connections; those that are open go on."""


@dataclass(slots=True)
class Exit:
    """Stop the process; everything in flight has finished."""


@dataclass(slots=True)
class FollowInstance:
    """Take changes from another instance, and report `FeedHeartbeat` and `FeedLost`.

    :param address: its ``ip:port`` for other instances.
    """

    instance: str
    address: str


@dataclass(slots=True)
class UnfollowInstance:
    """End the stream from the instance that is followed."""


@dataclass(slots=True)
class WatchStore:
    """List all kinds of the store, and watch them."""


@dataclass(slots=True)
class UnwatchStore:
    """End all watches of the store."""


@dataclass(slots=True)
class ProbeStore:
    """Find out at a low price whether the store answers."""


@dataclass(slots=True)
class ReportLoad:
    """Tell the granter what this instance observed.

    :param address: the granter's ``ip:port`` for other instances.
    """

    address: str
    value: dict[str, Any]


@dataclass(slots=True)
class ReplyToLoadReport:
    """Answer a `LoadReported` with the requests in flight at saturated upstreams."""

    instance: str
    in_flight: dict[str, int]
