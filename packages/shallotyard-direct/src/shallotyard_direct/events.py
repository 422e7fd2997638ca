"""What can happen to an instance. ``now`` is CLOCK_BOOTTIME in seconds."""

import enum
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from shallotyard_core.verdict import Verdict
from shallotyard_direct.model import Configuration
from shallotyard_direct.model import LoadReport
from shallotyard_direct.model import Request
from shallotyard_direct.model import Upstream
from shallotyard_direct.settings import DirectSettings


@dataclass(slots=True)
class RequestArrived:
    """A caller sent a whole request."""

    now: float
    request: Request


@dataclass(slots=True)
class AttemptFinished:
    """A transfer to an upstream ended.

    :param verdict: ``NOT_RUN`` only if no byte was written or the upstream said
        so; ``RAN`` if a whole response of the upstream arrived.
    :param reason: what went wrong, ``""`` for a response of the upstream.
    :param unsent: whether no byte of the request was written.
    :param misdirected: whether the upstream does not own the key, or is not the
        expected one.
    :param load: what the upstream told of its load, if it did.
    :param cold_left_s: how much longer the upstream is cold, None if unknown.
    """

    now: float
    attempt_id: str
    verdict: Verdict
    reason: str = ""
    unsent: bool = False
    misdirected: bool = False
    status: int = 0
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    load: LoadReport | None = None


@dataclass(slots=True)
class ConfigurationReceived:
    """The store returned a configuration."""

    now: float
    configuration: Configuration


@dataclass(slots=True)
class ConfigurationChecked:
    """A read asked for by `CheckConfiguration` ended.

    :param store_answered: whether the store answered.
    """

    now: float
    store_answered: bool


@dataclass(slots=True)
class UpstreamsListed:
    """The store returned all upstreams."""

    now: float
    upstreams: list[Upstream]


@dataclass(slots=True)
class UpstreamChanged:
    """An entry changed; ``upstream`` is None if it is gone or unusable."""

    now: float
    upstream_id: str
    upstream: Upstream | None


@dataclass(slots=True)
class DomainsOutReceived:
    """The failure domains that operators have taken out of service."""

    now: float
    domains: frozenset[str]


@dataclass(slots=True)
class StoreReachable:
    """The store began or ceased to answer this instance."""

    now: float
    reachable: bool


class WriteStatus(enum.Enum):
    """Result of a conditional write. ``UNCLEAR`` may take effect even later."""

    DONE = "done"
    CONFLICT = "conflict"
    FAILED = "failed"
    UNCLEAR = "unclear"


@dataclass(slots=True)
class RecordReceived:
    """One of the router's own records was read or watched.

    :param revision: revision of the record, 0 if it does not exist.
    :param value: decoded JSON value, None if it does not exist.
    """

    now: float
    kind: str
    name: str
    revision: int
    value: Any


@dataclass(slots=True)
class RecordWritten:
    """A write asked for by `WriteRecord` ended.

    :param began_at: when the call was started.
    :param revision: new revision, or that of the record in the way.
    :param value: the record in the way after a conflict, else None.
    """

    now: float
    kind: str
    name: str
    token: str
    status: WriteStatus
    began_at: float
    revision: int = 0
    value: Any = None


@dataclass(slots=True)
class RecordsListed:
    """All records of a kind.

    :param values: decoded values by name.
    """

    now: float
    kind: str
    values: dict[str, Any]


@dataclass(slots=True)
class FeedHeartbeat:
    """The instance that is followed sent a heartbeat.

    :param source: its id.
    :param age_s: time since the store was known to answer there, in seconds.
    :param complete: whether it has delivered all kinds.
    """

    now: float
    source: str
    age_s: float
    complete: bool


@dataclass(slots=True)
class FeedLost:
    """The stream from the instance that is followed has ended."""

    now: float
    source: str
    reason: str


@dataclass(slots=True)
class FollowersChanged:
    """Other instances began or ceased to follow this one."""

    now: float
    count: int


@dataclass(slots=True)
class LoadReported:
    """An instance told what it observed.

    :param value: as returned by `LoadReporter.build_report`.
    """

    now: float
    instance: str
    value: Any


@dataclass(slots=True)
class SaturationReported:
    """The granter reported which upstreams are saturated.

    :param in_flight: requests of all instances by upstream.
    """

    now: float
    in_flight: dict[str, int]


@dataclass(slots=True)
class GrantFinished:
    """A grant or its renewal ended.

    :param accepted: True if taken, False if a higher fence was seen, None if
        the outcome is unknown.
    :param unsent: whether it surely never left this process.
    """

    now: float
    token: str
    accepted: bool | None
    unsent: bool = False


@dataclass(slots=True)
class ReleaseFinished:
    """A release ended.

    :param released: whether the upstream confirmed that no work is left.
    :param handover: token that lets the next owner begin warm, ``""`` if none.
    """

    now: float
    token: str
    released: bool
    handover: str = ""


@dataclass(slots=True)
class SettingsRead:
    """The settings file was read again, and is valid."""

    now: float
    settings: DirectSettings


@dataclass(slots=True)
class StopRequested:
    """The process was asked to shut down gracefully."""

    now: float
