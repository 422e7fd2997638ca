"""Messages between instances.

Times are sent as ages, because instances have different clocks.
"""

from dataclasses import dataclass
from dataclasses import field

from shallotyard_core.verdict import Verdict


@dataclass(slots=True)
class MemberAge:
    """What an instance knows about another instance.

    :param address: address for peer messages.
    :param leaving: whether the instance is shutting down.
    :param age_s: seconds since the instance was last seen.
    """

    instance_id: str
    incarnation: str
    domain: str
    address: str
    leaving: bool
    age_s: float


@dataclass(slots=True)
class UpstreamReport:
    """State of an upstream as its holder observes it.

    :param state: ``serving``, ``cold``, ``draining`` or ``dead``.
    :param in_flight: number of requests in flight.
    :param limit: admission limit on the requests in flight.
    :param latency_s: smoothed response latency in seconds.
    :param rate: finished requests per second.
    :param age_s: seconds since the observation.
    :param hot_rates: requests per second of the hottest 16-bit positions, by service
        and position.
    :param holder: id of the holder.
    """

    upstream_id: str
    state: str
    in_flight: int
    limit: int
    latency_s: float
    rate: float
    age_s: float = 0.0
    hot_rates: dict[str, dict[int, float]] = field(default_factory=dict)
    holder: str = ""


@dataclass(slots=True)
class ObjectCopy:
    """A copy of a store object, sent between instances."""

    name: str
    revision: int
    body: str


@dataclass(slots=True)
class Heartbeat:
    """Heartbeat, sent every renewal period; requests a proof and newer objects.

    :param member: the sender.
    :param revisions: revisions of the sender's store objects, by name.
    :param members: all live instances of the failure domains in ``listed``.
    :param reports: upstream reports that changed.
    :param digests: digest of the set of live instances, by failure domain.
    :param ages_ms: age of that information in ms, where it may be new to the receiver.
    :param listed: failure domains whose digest the receiver does not have yet.
    """

    member: MemberAge
    revisions: dict[str, int]
    members: list[MemberAge] = field(default_factory=list)
    reports: list[UpstreamReport] = field(default_factory=list)
    digests: dict[str, str] = field(default_factory=dict)
    ages_ms: dict[str, int] = field(default_factory=dict)
    listed: list[str] = field(default_factory=list)


@dataclass(slots=True)
class HeartbeatReply:
    """Reply to a heartbeat.

    :param objects: objects that are newer than the sender's of the heartbeat.
    :param proof_revision: assignment revision that the proof confirms, 0 if there is
        no proof.
    :param proof_age_s: age of the proof in seconds when the heartbeat arrived.
    :param store_age_s: age in seconds of the last proof from a store read.
    :param pendings: bodies of assignment writes of unknown outcome that the proof
        includes.
    :param digests: as in `Heartbeat`, but only those that differ from the heartbeat's.
    """

    member: MemberAge
    revisions: dict[str, int]
    objects: list[ObjectCopy]
    members: list[MemberAge]
    reports: list[UpstreamReport]
    proof_revision: int = 0
    proof_age_s: float = 0.0
    store_age_s: float = 0.0
    pendings: list[str] = field(default_factory=list)
    digests: dict[str, str] = field(default_factory=dict)
    ages_ms: dict[str, int] = field(default_factory=dict)
    listed: list[str] = field(default_factory=list)


@dataclass(slots=True)
class ObjectPush:
    """Sends a newer store object to an instance that must act on it."""

    copy: ObjectCopy


@dataclass(slots=True)
class PromiseRequest:
    """Asks a coordinator to promise not to write for a lease period."""

    region: str
    revision: int


@dataclass(slots=True)
class PromiseReply:
    """Reply of a coordinator to a `PromiseRequest`.

    :param incarnation: incarnation of the coordinator.
    :param granted: whether it made the promise.
    :param pending: body of its write of unknown outcome, ``""`` if there is none.
    """

    incarnation: str
    granted: bool
    pending: str = ""


@dataclass(slots=True)
class Release:
    """Informs the next holder that claims have ended.

    :param epochs: released epochs by claim id.
    :param records: outcome records by slice.
    :param incomplete_s: seconds for which records may still be missing, by slice.
    """

    region: str
    epochs: dict[str, int]
    records: dict[str, list[dict]] = field(default_factory=dict)
    incomplete_s: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class WitnessSet:
    """Replaces the outcome records that a witness stores for a holder.

    :param records: outcome records by slice.
    :param epochs: epochs by claim id of the claims for which the holder has all
        records, including those of earlier holders.
    :param partial: whether the records are added to the stored ones instead.
    """

    holder: str
    incarnation: str
    records: dict[str, list[dict]]
    epochs: dict[str, int] = field(default_factory=dict)
    partial: bool = False


@dataclass(slots=True)
class WitnessRecord:
    """Adds or updates one outcome record at the witness.

    :param record: the record; ``None`` for a keepalive.
    """

    holder: str
    incarnation: str
    record: dict | None


@dataclass(slots=True)
class WitnessAck:
    """Acknowledges a witness message.

    :param complete: whether the witness has all records of the holder.
    :param closed: incarnation of a witness that is shutting down and will never
        again report a complete set; ``""`` otherwise.
    """

    complete: bool
    closed: str = ""


@dataclass(slots=True)
class RecallRequest:
    """Asks a witness for the outcome records of slices that a lost instance held.

    :param holder: id of the lost instance.
    :param silence_s: seconds since the sender last saw that incarnation, ``None`` if
        it never did.
    :param epochs: epochs of the lost holder, by id of the claims taken over.
    """

    holder: str
    incarnation: str
    slice_ids: list[str]
    silence_s: float | None
    epochs: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class RecallReply:
    """Outcome records of a lost holder.

    :param complete: whether no record can be missing.
    :param records: outcome records by slice.
    :param complete_claims: claims for which no record can be missing.
    """

    complete: bool
    records: dict[str, list[dict]]
    complete_claims: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Marks:
    """Quarantine marks by request fingerprint."""

    marks: dict[str, int]


@dataclass(slots=True)
class CancelCall:
    """Cancels a relayed call."""

    call_id: str


@dataclass(slots=True)
class Relay:
    """A request that an ingress instance sends to a holder.

    :param upstream_id: upstream that the ingress instance selected.
    :param position: 16-bit position of the key, -1 for a request that any
        upstream may serve.
    :param revision: assignment revision that the ingress instance used, 0 for an
        unkeyed request.
    :param identity: digest of the client and its ``Idempotency-Key``, ``""`` if
        the request has no such key or is idempotent.
    :param fingerprint: result of `digests.compute_request_fingerprint`.
    :param remaining_s: time left until the deadline, in seconds.
    :param fresh: whether to open a new connection to the upstream.
    """

    call_id: str
    request_id: str
    client_id: str
    service_id: str
    upstream_id: str
    position: int
    revision: int
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    identity: str
    fingerprint: str
    remaining_s: float
    idempotent: bool
    fresh: bool = False


@dataclass(slots=True)
class RelayAnswer:
    """Reply of the holder to a `Relay`.

    :param reason: value of a `shallotyard_core.calls.ResultReason`.
    :param retry_after_s: seconds after which a retry may succeed, 0 if unknown.
    """

    call_id: str
    verdict: Verdict
    reason: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    retry_after_s: float = 0.0
