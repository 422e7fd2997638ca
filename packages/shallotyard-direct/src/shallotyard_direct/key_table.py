"""Tables of the ranges of keys that the upstreams of a service own."""

import bisect
from dataclasses import dataclass
from typing import Annotated

import orjson
import pydantic

from shallotyard_core.exceptions import ShallotyardError
from shallotyard_direct.model import MAX_KEY

# Each life of the store has this many fences. A store that returns from an older copy
# has forgotten fences, so those of a new life exceed all that were given before.
FENCES_PER_ERA = 1 << 32

# Upstreams may read integers as floats, and the store takes 64 bits.
MAX_NUMBER = 1 << 53
_Number = Annotated[int, pydantic.Field(ge=0, le=MAX_NUMBER)]


class KeyTableError(ShallotyardError):
    """Raised if a stored key table is invalid.

    :param name: id of the service.
    :param detail: the fault.
    """

    def __init__(self, name, detail):
        super().__init__(f"invalid key table of service {name!r}: {detail}")


@dataclass(slots=True, frozen=True)
class KeyRange:
    """A range of keys owned by one incarnation of an upstream.

    :param first: first key.
    :param last: last key, inclusive.
    :param upstream_id: id of the owner.
    :param started_ms: start of the owner's incarnation, in Unix milliseconds.
    :param fence: fencing token of the ownership.
    :param handover: token of the previous owner, ``""`` if none.
    :param expiring: whether the owner is lost and gets no more grants.
    """

    first: int
    last: int
    upstream_id: str
    started_ms: int
    fence: int
    handover: str = ""
    expiring: bool = False

    @property
    def owner(self):
        """Return the owner as (upstream id, start of the incarnation)."""
        return self.upstream_id, self.started_ms

    @property
    def size(self):
        """Return the number of keys."""
        return self.last - self.first + 1


@dataclass(slots=True, frozen=True)
class KeyTable:
    """All ranges of a service, sorted by key.

    :param revision: revision of the stored record.
    :param next_fence: greater than every fencing token used so far. It rises with each
        table, also across returns of the store, and so is the order of tables.
    """

    service_id: str
    revision: int
    next_fence: int
    ranges: tuple[KeyRange, ...]

    @property
    def era(self):
        """Return the life of the store in which the table was written."""
        return self.next_fence // FENCES_PER_ERA

    def find_range(self, key):
        """Return the `KeyRange` that contains a key."""
        index = bisect.bisect_right(self.ranges, key, key=lambda r: r.first)
        return self.ranges[index - 1]


class _TableModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", strict=True)

    next_fence: _Number
    # Rows of first key, upstream id, start of its incarnation, fence, handover token
    # and expiring. The format is compact, as every instance reads each change: a range
    # ends where the next one begins.
    ranges: list[tuple[_Number, str, _Number, _Number, str, bool]]


def decode_table(service_id, revision, value):
    """Return the `KeyTable` of a stored record.

    :param value: decoded JSON value.
    :raises KeyTableError: if ranges are missing, overlap or have a wrong shape.
    """
    try:
        model = _TableModel.model_validate_json(orjson.dumps(value))
    except (pydantic.ValidationError, TypeError) as error:
        raise KeyTableError(service_id, str(error)) from error
    ranges = []
    ends = [row[0] - 1 for row in model.ranges[1:]] + [MAX_KEY]
    for row, last in zip(model.ranges, ends, strict=False):
        first, upstream_id, started_ms, fence, handover, expiring = row
        if last < first or (not ranges and first != 0):
            raise KeyTableError(service_id, f"range at key {first}")
        if fence >= model.next_fence:
            raise KeyTableError(service_id, f"fence {fence} out of order")
        ranges.append(
            KeyRange(first, last, upstream_id, started_ms, fence, handover, expiring)
        )
    if not ranges:
        raise KeyTableError(service_id, "no ranges")
    return KeyTable(service_id, revision, model.next_fence, tuple(ranges))


def encode_table(table):
    """Return the JSON value of a table, without its revision."""
    return {
        "next_fence": table.next_fence,
        "ranges": [
            [r.first, *r.owner, r.fence, r.handover, r.expiring] for r in table.ranges
        ],
    }
