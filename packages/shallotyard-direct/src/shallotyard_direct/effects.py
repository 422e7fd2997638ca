"""Effects of the reducer, which the daemon carries out."""

from dataclasses import dataclass
from dataclasses import field
from typing import Any

from shallotyard_direct.model import RelayedRequest
from shallotyard_direct.model import RelayReply
from shallotyard_direct.model import Request


@dataclass(slots=True)
class Respond:
    """Send a response to a caller.

    :param retry_after_s: delay before a retry, in seconds; 0 if not stated.
    """

    request_id: str
    status: int
    headers: list[tuple[str, str]]
    body: bytes
    retry_after_s: float = 0.0


@dataclass(slots=True)
class SendAttempt:
    """Send a request to an upstream.

    :param deadline: local time at which the timeout of the caller or of the route
        ends, in seconds.
    :param fresh: whether to open a new connection.
    :param account_id: client account to name to the upstream, ``""`` for none.
    :param has_accounts: whether accounts are configured. Only otherwise the withheld
        headers of the request are sent.
    """

    attempt_id: str
    upstream_id: str
    address: str
    request: Request
    deadline: float
    fresh: bool
    account_id: str = ""
    has_accounts: bool = False


@dataclass(slots=True)
class AbandonAttempt:
    """Close the connection of an attempt whose response is no longer needed."""

    attempt_id: str


@dataclass(slots=True)
class ProbeUpstream:
    """Open a connection to an upstream, close it, and report `ConnectionTried`."""

    upstream_id: str
    address: str


@dataclass(slots=True)
class SendRelay:
    """Hand a request to another instance, and report `RelayFinished`.

    :param address: ``ip:port`` at which it serves other instances.
    :param deadline: local time at which the timeout of the caller or of the route
        ends, in seconds.
    """

    relay_id: str
    instance: str
    address: str
    relayed: RelayedRequest
    deadline: float


@dataclass(slots=True)
class AbandonRelay:
    """Cancel a relay whose reply is no longer needed."""

    relay_id: str


@dataclass(slots=True)
class ReplyToRelay:
    """Reply to the instance that handed a request to this one."""

    request_id: str
    reply: RelayReply


@dataclass(slots=True)
class CheckConfiguration:
    """Read the configuration now, and report `ConfigurationChecked`."""


@dataclass(slots=True)
class ReadRecord:
    """Read a record of the router."""

    kind: str
    name: str


@dataclass(slots=True)
class WriteRecord:
    """Write a record if it still has the given revision.

    :param token: identifies the result.
    :param revision: 0 if the record must not exist yet, None to overwrite any
        revision.
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
    :param last: last key, inclusive.
    :param ttl_s: time for which the upstream may use the grant, in seconds.
    :param handover: token of the previous owner, ``""`` if none.
    :param deadline: local time after which it must not be sent, in seconds.
    :param fresh: whether to open a new connection, on which no late response to an
        earlier grant can arrive.
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
    fresh: bool = False


@dataclass(slots=True)
class SendRelease:
    """Ask an upstream to release a range of keys.

    :param timeout_s: timeout of the call, in seconds. The upstream responds when
        its requests for the keys have ended.
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
    """Accept no new connections; open ones stay usable."""


@dataclass(slots=True)
class Exit:
    """Stop the process; requests in progress have finished or are aborted."""


@dataclass(slots=True)
class FollowInstance:
    """Receive changes of the store from another instance, and report
    `FeedHeartbeat` and `FeedLost`.

    :param address: ``ip:port`` at which it serves other instances.
    """

    instance: str
    address: str


@dataclass(slots=True)
class UnfollowInstance:
    """End the stream from the followed instance."""


@dataclass(slots=True)
class WatchStore:
    """List and watch all kinds of objects in the store."""


@dataclass(slots=True)
class UnwatchStore:
    """End all watches of the store."""


@dataclass(slots=True)
class ListInstances:
    """List the records of all instances once.

    :param current: whether the list must not be older than this effect.
    """

    current: bool


@dataclass(slots=True)
class ProbeStore:
    """Check with a cheap call whether the store answers."""


@dataclass(slots=True)
class ReportLoad:
    """Report the load that this instance observed to the granter.

    :param address: ``ip:port`` at which the granter serves other instances.
    :param value: as returned by `LoadReporter.build_report`, with the use of quotas.
    :param instance: id of the granter.
    :param requested_at: time of the report, in seconds.
    """

    address: str
    value: dict[str, Any]
    instance: str = ""
    requested_at: float = 0.0


@dataclass(slots=True)
class RequestPermits:
    """Request permits for limited upstreams from the granter, and report
    `PermitsIssued`.

    :param address: ``ip:port`` at which the granter serves other instances.
    :param wanted: as returned by `RateLimits.take_request`.
    :param requested_at: time of the request, in seconds.
    :param instance: id of the granter.
    """

    address: str
    wanted: dict[str, list[float]]
    requested_at: float
    instance: str = ""


@dataclass(slots=True)
class IssuePermits:
    """Answer a request for permits.

    :param count_by_id: number of permits by upstream id, None if this instance is not
        the granter.
    """

    token: str
    count_by_id: dict[str, int] | None


@dataclass(slots=True)
class RequestShares:
    """Request shares of quotas of client accounts from the granter, and report
    `SharesGranted`.

    :param address: ``ip:port`` at which the granter serves other instances.
    :param wanted: as returned by `AccountQuotas.take_request`.
    :param requested_at: time of the request, in seconds.
    :param instance: id of the granter.
    """

    address: str
    wanted: dict[str, Any]
    requested_at: float
    instance: str = ""


@dataclass(slots=True)
class AnswerShareRequest:
    """Answer a request for shares.

    :param answer: as returned by `QuotaGranter.handle_request`, None if this instance
        is not the granter.
    """

    token: str
    answer: dict[str, Any] | None


@dataclass(slots=True)
class ReplyToLoadReport:
    """Reply to a load report with the requests in flight at saturated upstreams, the
    rates that upstreams name, the upstreams that say that they are leaving, and changes
    of learned capacity.

    :param shares: as returned by `QuotaGranter.handle_report`.
    :param capacity: as returned by `FleetCapacities.list_changes`.
    """

    instance: str
    in_flight: dict[str, int]
    rates_by_id: dict[str, list[float]] = field(default_factory=dict)
    leaving: list[list] = field(default_factory=list)
    shares: dict[str, Any] = field(default_factory=dict)
    capacity: dict = field(default_factory=dict)
