"""Messages between instances. Times travel as ages, never as clock readings."""

from dataclasses import dataclass
from dataclasses import field

from shallotyard_core.verdict import Verdict


@dataclass(slots=True)
class MemberAge:
    """What an instance knows of another.

    :param age_s: seconds since it was last heard of.
    """

    instance_id: str
    incarnation: str
    domain: str
    address: str
    leaving: bool
    age_s: float


@dataclass(slots=True)
class UpstreamReport:
    """A holder's own observation of an upstream.

    :param state: ``serving``, ``cold``, ``draining`` or ``dead``.
    :param latency_s: smoothed latency of its responses.
    :param rate: requests per second.
    :param age_s: seconds since the observation.
    :param hot_rates: requests per second by service and 16-bit position.
    :param holder: instance that made the observation.
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
    """A store object as passed between instances."""

    name: str
    revision: int
    body: str


@dataclass(slots=True)
class Heartbeat:
    """Sent every renewal period; asks for a proof and for newer objects.

    :param members: all live instances of the failure domains in ``listed``.
    :param reports: upstream reports that changed.
    :param digests: digest of the alive set by failure domain.
    :param ages_ms: age of that knowledge in ms, where it may be news.
    :param listed: failure domains whose digest the other side lacks.
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
    """Answer to a heartbeat.

    :param proof_revision: assignment revision that the proof is about, 0 if none.
    :param proof_age_s: age of the proof when the heartbeat arrived.
    :param store_age_s: age of the last proof that came from a store read.
    :param pendings: bodies of writes of unknown outcome behind the proof.
    :param digests: as in `Heartbeat`, but only those that differ from it.
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
    """Hands a newer store object to an instance that must act on it."""

    copy: ObjectCopy


@dataclass(slots=True)
class PromiseRequest:
    """Asks a coordinator to write nothing for a lease period."""

    region: str
    revision: int


@dataclass(slots=True)
class PromiseReply:
    """A coordinator's answer.

    :param incarnation: incarnation of the coordinator.
    :param granted: whether it promised.
    :param pending: body of a write of unknown outcome, ``""`` if none.
    """

    incarnation: str
    granted: bool
    pending: str = ""


@dataclass(slots=True)
class Release:
    """Tells the next holder that claims ended.

    :param epochs: released epoch by claim id.
    :param records: outcome records by claim id.
    :param incomplete_s: seconds for which records of a slice may be missing.
    """

    region: str
    epochs: dict[str, int]
    records: dict[str, list[dict]] = field(default_factory=dict)
    incomplete_s: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class WitnessSet:
    """Replaces all outcome records that a witness keeps for a holder.

    :param epochs: epoch by claim id of the claims of which the holder has had
        all records, those of its predecessors included.
    :param partial: whether the records are added to those kept already.
    """

    holder: str
    incarnation: str
    records: dict[str, list[dict]]
    epochs: dict[str, int] = field(default_factory=dict)
    partial: bool = False


@dataclass(slots=True)
class WitnessRecord:
    """Adds or updates one outcome record at the witness.

    Without a record it only shows that the holder lives.
    """

    holder: str
    incarnation: str
    record: dict | None


@dataclass(slots=True)
class WitnessAck:
    """Confirms a witness message.

    :param complete: whether the witness has a complete set of the holder.
    :param closed: incarnation of a leaving witness, which never claims to be
        complete again; ``""`` otherwise.
    """

    complete: bool
    closed: str = ""


@dataclass(slots=True)
class RecallRequest:
    """Asks for the outcome records of slices that a lost instance held.

    :param silence_s: seconds since the asker last heard of that incarnation,
        ``None`` if it never did.
    :param epochs: epoch of the lost holder by id of the claims taken over.
    """

    holder: str
    incarnation: str
    slice_ids: list[str]
    silence_s: float | None
    epochs: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class RecallReply:
    """Outcome records of a lost holder.

    :param complete: whether none can be missing.
    :param complete_claims: claims of which none can be missing.
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
    """A request on its way from the ingress instance to the holder.

    :param remaining_s: time left until the deadline.
    :param position: 16-bit position of the key, -1 for a request that any
        upstream may serve.
    :param revision: assignment revision that the ingress instance used.
    :param identity: digest of the client and its ``Idempotency-Key``, ``""`` if
        the request has none or is idempotent.
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
    """The holder's answer to a `Relay`.

    :param reason: machine-readable reason, see `shallotyard_core.calls`.
    """

    call_id: str
    verdict: Verdict
    reason: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    retry_after_s: float = 0.0
