"""The assignment object of a region: owners of slices and holders of upstreams."""

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

import orjson
from pydantic import TypeAdapter
from pydantic import ValidationError

from shallotyard_core.exceptions import AssignmentFormatError
from shallotyard_core.keys import compute_slice_number

# Previous holder in the entry of a hot slice whose owner and holder have not changed
# since it was split off.
SPLIT_MARKER = "*"


@dataclass(slots=True, frozen=True)
class UpstreamEntry:
    """The holder of an upstream.

    :param holder: instance id that admits requests for the upstream.
    :param incarnation: incarnation of that instance.
    :param epoch: increases with every change of the entry.
    :param previous_holder: instance id of the previous holder, ``""`` if none.
    """

    holder: str
    incarnation: str
    epoch: int
    previous_holder: str = ""


@dataclass(slots=True, frozen=True)
class SliceEntry:
    """The owner of a slice.

    :param claim_id: id of the claim on the slice, unique in the region.
    :param owner: id of the upstream that serves the slice.
    :param epoch: increases with every change of the owner or of its holder.
    :param previous_holder: instance id of the previous holder, ``""`` if none, or
        `SPLIT_MARKER` for a hot slice since it was split off.
    """

    claim_id: str
    owner: str
    epoch: int
    previous_holder: str = ""


@dataclass(slots=True)
class ServiceTable:
    """Owners of one service's slices.

    :param slices: entries by slice number.
    :param hot_by_position: entries of hot slices by 16-bit position. They take
        precedence over the surrounding slice.
    """

    slices: list[SliceEntry]
    hot_by_position: dict[int, SliceEntry] = field(default_factory=dict)

    def find_entry(self, position):
        """Return the entry that covers a 16-bit position."""
        return self.hot_by_position.get(position) or self.find_slice(position)

    def find_slice(self, position):
        """Return the entry of the slice around a 16-bit position.

        Hot slices are ignored.
        """
        return self.slices[compute_slice_number(position, len(self.slices))]

    def entries(self):
        """Yield all entries, hot slices last."""
        yield from self.slices
        yield from self.hot_by_position.values()


@dataclass(slots=True)
class AssignmentTable:
    """One version of a region's assignment object.

    :param region: region id.
    :param revision: increases by one with every write.
    :param coordinators: incarnations of the instances that may write, by id.
    :param upstreams_by_id: `UpstreamEntry` by upstream id.
    :param services_by_id: `ServiceTable` by service id.
    :param writer: nonce of the write that created this version.
    :param candidate: ``"id:incarnation"`` of the instance that waits to replace the
        coordinators after all of them were lost, ``""`` if there is none.
    """

    region: str
    revision: int = 0
    coordinators: dict[str, str] = field(default_factory=dict)
    upstreams_by_id: dict[str, UpstreamEntry] = field(default_factory=dict)
    services_by_id: dict[str, ServiceTable] = field(default_factory=dict)
    writer: str = ""
    candidate: str = ""

    def copy(self):
        """Return a copy whose collections can be changed independently."""
        return replace(
            self,
            coordinators=dict(self.coordinators),
            upstreams_by_id=dict(self.upstreams_by_id),
            services_by_id={
                service_id: ServiceTable(
                    list(table.slices), dict(table.hot_by_position)
                )
                for service_id, table in self.services_by_id.items()
            },
        )

    def has_same_content(self, other):
        """Tell whether two versions differ at most in revision and writer."""
        return (
            self.coordinators == other.coordinators
            and self.candidate == other.candidate
            and self.upstreams_by_id == other.upstreams_by_id
            and self.services_by_id == other.services_by_id
        )

    def find_holder(self, upstream_id):
        """Return the id of the instance that holds an upstream, ``""`` if none."""
        entry = self.upstreams_by_id.get(upstream_id)
        return entry.holder if entry else ""

    def list_hot_parents(self):
        """Return the claim id of the surrounding slice by claim id of hot slices."""
        parents = {}
        for table in self.services_by_id.values():
            for position, entry in table.hot_by_position.items():
                parents[entry.claim_id] = table.find_slice(position).claim_id
        return parents

    def find_claims(self, instance_id, incarnation):
        """Return the claims of an instance.

        :param instance_id: id of the instance.
        :param incarnation: its incarnation.
        :return: dict from claim id to (upstream id, epoch, previous holder). The
            claim on an upstream itself has the id of `build_upstream_claim_id`.
        """
        claims = {}
        held = set()
        for upstream_id, entry in self.upstreams_by_id.items():
            if entry.holder == instance_id and entry.incarnation == incarnation:
                held.add(upstream_id)
                claim_id = build_upstream_claim_id(upstream_id)
                claims[claim_id] = (upstream_id, entry.epoch, entry.previous_holder)
        for table in self.services_by_id.values():
            for entry in table.entries():
                if entry.owner in held:
                    claims[entry.claim_id] = (
                        entry.owner,
                        entry.epoch,
                        entry.previous_holder,
                    )
        return claims


def find_changed_holders(before, after):
    """Return the ids of holders, in either of two versions, of changed entries.

    :param before: the older `AssignmentTable`.
    :param after: the newer `AssignmentTable`.
    """
    changed = {
        name
        for name, entry in after.upstreams_by_id.items()
        if before.upstreams_by_id.get(name) != entry
    }
    for service_id, service in after.services_by_id.items():
        old = before.services_by_id.get(service_id)
        if old is None:
            changed.update(entry.owner for entry in service.entries())
            continue
        changes = set(old.entries()) ^ set(service.entries())
        changed.update(entry.owner for entry in changes)
    return {table.find_holder(name) for name in changed for table in (before, after)}


def build_upstream_claim_id(upstream_id):
    """Return the id of the claim to admit requests for an upstream."""
    return f"upstream:{upstream_id}"


def build_slice_claim_id(service_id, number):
    """Return the id of the claim on a slice."""
    return f"{service_id}/{number}"


def build_hot_claim_id(service_id, position16):
    """Return the id of the claim on a hot slice."""
    return f"{service_id}/hot-{position16}"


@dataclass(slots=True)
class _ServiceWire:
    slices: list[tuple[int, int, str]]
    hot: dict[int, tuple[int, int, str]]


@dataclass(slots=True)
class _TableWire:
    region: str
    revision: int
    stewards: dict[str, str]
    upstreams: dict[str, tuple[str, str, int, str]]
    services: dict[str, _ServiceWire]
    writer: str
    candidate: str = ""


_WIRE = TypeAdapter(_TableWire)


def encode_table(table):
    """Encode a table as JSON bytes, with owners as indices into the upstreams."""
    index_by_id = {name: i for i, name in enumerate(table.upstreams_by_id)}

    def encode_entry(entry):
        return (index_by_id[entry.owner], entry.epoch, entry.previous_holder)

    wire = _TableWire(
        region=table.region,
        revision=table.revision,
        stewards=table.coordinators,
        upstreams={
            name: (entry.holder, entry.incarnation, entry.epoch, entry.previous_holder)
            for name, entry in table.upstreams_by_id.items()
        },
        services={
            service_id: _ServiceWire(
                slices=[encode_entry(entry) for entry in service.slices],
                hot={
                    key: encode_entry(entry)
                    for key, entry in service.hot_by_position.items()
                },
            )
            for service_id, service in table.services_by_id.items()
        },
        writer=table.writer,
        candidate=table.candidate,
    )
    return orjson.dumps(wire, option=orjson.OPT_NON_STR_KEYS)


def decode_table(region, data):
    """Decode and validate JSON bytes of an assignment object.

    :param region: region id for the error message.
    :param data: bytes from the store or from a peer.
    :return: an `AssignmentTable`.
    :raises AssignmentFormatError: if the bytes are not a valid object.
    """
    try:
        wire = _WIRE.validate_json(data)
        names = list(wire.upstreams)
        services_by_id = {
            service_id: _decode_service(service_id, service, names)
            for service_id, service in wire.services.items()
        }
    except (ValidationError, IndexError) as error:
        raise AssignmentFormatError(region, str(error)) from error
    return AssignmentTable(
        region=wire.region,
        revision=wire.revision,
        coordinators=wire.stewards,
        upstreams_by_id={
            name: UpstreamEntry(*entry) for name, entry in wire.upstreams.items()
        },
        services_by_id=services_by_id,
        writer=wire.writer,
        candidate=wire.candidate,
    )


def _decode_service(service_id, wire, names):
    return ServiceTable(
        slices=[
            SliceEntry(
                build_slice_claim_id(service_id, number),
                names[owner],
                epoch,
                previous_holder,
            )
            for number, (owner, epoch, previous_holder) in enumerate(wire.slices)
        ],
        hot_by_position={
            key: SliceEntry(
                build_hot_claim_id(service_id, key),
                names[owner],
                epoch,
                previous_holder,
            )
            for key, (owner, epoch, previous_holder) in wire.hot.items()
        },
    )
