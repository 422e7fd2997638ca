"""Events of the reducer. ``now`` is CLOCK_BOOTTIME in seconds."""

import enum
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from shallotyard_core.effects import LogDecision
from shallotyard_core.verdict import Verdict
from shallotyard_direct.model import Configuration
from shallotyard_direct.model import LoadReport
from shallotyard_direct.model import RelayedRequest
from shallotyard_direct.model import RelayReply
from shallotyard_direct.model import Request
from shallotyard_direct.model import Upstream
from shallotyard_direct.settings import DirectSettings


@dataclass(slots=True)
class RequestArrived:
    """A complete request of a caller arrived."""

    now: float
    request: Request


@dataclass(slots=True)
class AttemptFinished:
    """An attempt at an upstream ended.

    :param verdict: ``NOT_RUN`` only if no byte was written or the upstream
        reported that it did not run the request; ``RAN`` if a complete response
        of the upstream arrived.
    :param reason: error, ``""`` if the upstream responded.
    :param unsent: whether no byte of the request was written.
    :param closed_unanswered: whether an open connection closed before any byte of the
        response, as idle ones do; this shows no fault of the upstream.
    :param misdirected: whether the upstream does not own the key, or is not the
        expected one.
    :param load: load that the upstream reported, None if it reported none.
    :param rate_limit: requests per second that the upstream takes from all instances
        together, None if it named no rate.
    :param rate_limit_known: whether the response shows what rate the upstream names.
    :param leaving: whether the upstream says with the response that it is leaving.
    :param requested_pause_s: time for which the upstream wants no more requests from
        this instance, in seconds; None if it does not say so.
    """

    now: float
    attempt_id: str
    verdict: Verdict
    reason: str = ""
    unsent: bool = False
    closed_unanswered: bool = False
    misdirected: bool = False
    status: int = 0
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    load: LoadReport | None = None
    rate_limit: float | None = None
    rate_limit_known: bool = False
    leaving: bool = False
    requested_pause_s: float | None = None


@dataclass(slots=True)
class ConnectionTried:
    """A new connection to an upstream was opened, or could not be opened."""

    now: float
    upstream_id: str
    opened: bool


@dataclass(slots=True)
class RelayRequested:
    """Another instance handed a request to this one."""

    now: float
    relayed: RelayedRequest


@dataclass(slots=True)
class RelayFinished:
    """The relay of a request ended."""

    now: float
    relay_id: str
    reply: RelayReply


@dataclass(slots=True)
class ConfigurationReceived:
    """A configuration was read from the store."""

    now: float
    configuration: Configuration


@dataclass(slots=True)
class ConfigurationChecked:
    """The read requested by `CheckConfiguration` ended.

    :param store_answered: whether the store answered.
    """

    now: float
    store_answered: bool


@dataclass(slots=True)
class UpstreamsListed:
    """All upstreams were listed.

    :param revision: revision of the store that the list shows, 0 if unknown.
    :param era: life of the store.
    """

    now: float
    upstreams: list[Upstream]
    revision: int = 0
    era: int = 0


@dataclass(slots=True)
class UpstreamChanged:
    """The entry of an upstream changed.

    :param upstream: None if the entry was removed or is invalid.
    :param revision: revision of the store after the change, 0 if unknown.
    """

    now: float
    upstream_id: str
    upstream: Upstream | None
    revision: int = 0


@dataclass(slots=True)
class DomainsOutReceived:
    """The set of failure domains that are out of service was read.

    :param domains: failure domains that operators have taken out of service.
    """

    now: float
    domains: frozenset[str]


@dataclass(slots=True)
class StoreReachable:
    """The store became reachable or unreachable for this instance."""

    now: float
    reachable: bool


@dataclass(slots=True)
class StoreReturned:
    """The store has returned from an older copy.

    :param era: its life, which rises with each return.
    """

    now: float
    era: int


@dataclass(slots=True)
class WatchesChanged:
    """Whether all changes in the store reach this instance has changed.

    :param complete: whether all kinds were listed, and none of the watches that began
        with these lists has failed since.
    """

    now: float
    complete: bool


class WriteStatus(enum.Enum):
    """Result of a conditional write. An ``UNCLEAR`` one may still take effect."""

    DONE = "done"
    CONFLICT = "conflict"
    FAILED = "failed"
    UNCLEAR = "unclear"


@dataclass(slots=True)
class RecordReceived:
    """The current state of a record of the router was received.

    :param revision: revision of the record, 0 if it does not exist.
    :param value: decoded JSON value, None if it does not exist.
    :param era: life of the store to which the revision belongs.
    """

    now: float
    kind: str
    name: str
    revision: int
    value: Any
    era: int = 0


@dataclass(slots=True)
class RecordWritten:
    """A write requested by `WriteRecord` ended.

    :param token: token of the `WriteRecord`.
    :param began_at: start of the call, in seconds.
    :param revision: new revision; after a conflict, that of the existing record.
    :param value: existing record after a conflict, else None.
    :param era: life of the store in which the write ended.
    """

    now: float
    kind: str
    name: str
    token: str
    status: WriteStatus
    began_at: float
    revision: int = 0
    value: Any = None
    era: int = 0


@dataclass(slots=True)
class RecordsListed:
    """All records of a kind were listed.

    :param values: decoded values by name, None for one that is invalid.
    """

    now: float
    kind: str
    values: dict[str, Any]


@dataclass(slots=True)
class FeedHeartbeat:
    """The followed instance sent a heartbeat.

    :param source: id of the followed instance.
    :param age_s: time since its copy was last known to be up to date, in seconds,
        including the time that the heartbeat was on the way.
    :param complete: whether it has sent all kinds of objects.
    """

    now: float
    source: str
    age_s: float
    complete: bool


@dataclass(slots=True)
class FeedLost:
    """The stream from the followed instance ended."""

    now: float
    source: str
    reason: str


@dataclass(slots=True)
class FollowersChanged:
    """The number of instances that follow this one changed."""

    now: float
    count: int


@dataclass(slots=True)
class LoadReported:
    """An instance reported the load that it observed.

    :param value: as returned by `LoadReporter.build_report`.
    """

    now: float
    instance: str
    value: Any


@dataclass(slots=True)
class SaturationReported:
    """The granter reported which upstreams are saturated, which name a rate, and which
    say that they are leaving.

    :param in_flight: number of requests of all instances, by upstream id.
    :param rates_by_id: as returned by `PermitIssuer.list_rates`.
    :param leaving: as returned by `Directory.list_leaving_by_answer`.
    :param shares: as returned by `QuotaGranter.handle_report`.
    :param requested_at: time of the report, in seconds.
    :param capacity: as returned by `FleetCapacities.list_changes`.
    """

    now: float
    in_flight: dict[str, int]
    rates_by_id: dict[str, list[float]] = field(default_factory=dict)
    leaving: list[list] = field(default_factory=list)
    shares: dict[str, Any] = field(default_factory=dict)
    requested_at: float = 0.0
    capacity: dict = field(default_factory=dict)


@dataclass(slots=True)
class PermitsRequested:
    """An instance requested permits for limited upstreams.

    :param token: identifies the answer.
    :param wanted: as returned by `RateLimits.take_request`.
    """

    now: float
    token: str
    wanted: dict[str, list[float]]


@dataclass(slots=True)
class PermitsIssued:
    """The granter issued permits.

    :param requested_at: time of the request, in seconds.
    :param count_by_id: number of permits by upstream id.
    """

    now: float
    requested_at: float
    count_by_id: dict[str, int]


@dataclass(slots=True)
class SharesRequested:
    """An instance requested shares of quotas of client accounts.

    :param token: identifies the answer.
    :param wanted: as returned by `AccountQuotas.take_request`.
    """

    now: float
    token: str
    instance: str
    wanted: dict[str, Any]


@dataclass(slots=True)
class SharesGranted:
    """The granter answered a request for shares.

    :param requested_at: time of the request, in seconds.
    :param shares: as returned by `QuotaGranter.handle_request`.
    """

    now: float
    requested_at: float
    shares: dict[str, Any]


@dataclass(slots=True)
class GrantFinished:
    """The call for a grant or a renewal ended.

    :param accepted: True if the upstream accepted it, False if the upstream has
        seen a higher fence, None if the outcome is unknown.
    :param unsent: whether no byte of the call left this process.
    :param detail: error, ``""`` if the upstream responded.
    """

    now: float
    token: str
    accepted: bool | None
    unsent: bool = False
    detail: str = ""


@dataclass(slots=True)
class ReleaseFinished:
    """The call for a release ended.

    :param released: whether the upstream confirmed that no request for the keys is
        in progress.
    :param handover: token with which the next owner starts warm, ``""`` if none.
    """

    now: float
    token: str
    released: bool
    handover: str = ""


@dataclass(slots=True)
class DecisionMade:
    """A decision was made outside the reducer. It is logged and counted like others.

    :param decision: the `LogDecision`.
    """

    now: float
    decision: LogDecision


@dataclass(slots=True)
class SettingsRead:
    """Valid settings were read again."""

    now: float
    settings: DirectSettings


@dataclass(slots=True)
class StopRequested:
    """The process was asked to shut down gracefully."""

    now: float
