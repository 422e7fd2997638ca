"""State of the keys of services at the granter."""

import math
from dataclasses import dataclass
from dataclasses import field

from shallotyard_direct.key_table import KeyRange
from shallotyard_direct.key_table import KeyTable


@dataclass(slots=True, eq=False)
class Move:
    """A move of a range of keys to another owner.

    :param reason: why the owner must give up the keys.
    :param target: the next owner, None for any.
    :param release_requested: whether the release was requested or is not needed.
    :param token: token of the release in progress, ``""`` if none.
    :param free_at: time at which the old owner has certainly stopped using the keys,
        in seconds.
    """

    reason: str
    target: tuple[str, int] | None = None
    release_requested: bool = False
    token: str = ""
    free_at: float = math.inf


@dataclass(slots=True, eq=False)
class RangeState:
    """A range of keys with one owner, and the state of its grants.

    :param expires_at: latest time at which a grant of the owner expires, in seconds.
    :param unconfirmed_until: the same for grants without a reply, which may still be
        applied late.
    :param not_before: time before which the keys must not be granted, as an earlier
        owner may still use them.
    :param renewal_due_at: time at which the next grant is due, in seconds.
    :param token: token of the grant in progress, ``""`` if none.
    :param own_until: latest time at which a grant of this instance since it acquired
        the lease expires, in seconds.
    :param confirmed: whether the owner has accepted a grant of this instance since it
        acquired the lease.
    :param failing_since: time of the first failed grant since the last accepted one.
    :param refused: whether the owner has refused a grant.
    :param move: the move in progress, None if there is none.
    :param expiring: whether the owner is lost and gets no more grants.
    :param fence_raise_pending: whether the owner must confirm a higher fence before
        the release.
    :param fence_raised: whether the fence was raised for the move in progress.
    """

    first: int
    last: int
    owner: tuple[str, int]
    fence: int
    handover: str = ""
    expires_at: float = -math.inf
    unconfirmed_until: float = -math.inf
    not_before: float = -math.inf
    renewal_due_at: float = -math.inf
    token: str = ""
    own_until: float = -math.inf
    confirmed: bool = False
    failing_since: float | None = None
    refused: bool = False
    move: Move | None = None
    expiring: bool = False
    fence_raise_pending: bool = False
    fence_raised: bool = False

    def as_range(self):
        """Return the `KeyRange` to store."""
        return KeyRange(
            self.first, self.last, *self.owner, self.fence, self.handover, self.expiring
        )


@dataclass(slots=True, eq=False)
class ServiceKeys:
    """State of the keys of one service.

    :param revision: revision of the stored table, None if it has not been read, 0 if
        there is none.
    :param era: life of the store to which the revision belongs.
    :param known_next_fence: ``next_fence`` of the known table, which is its version.
    :param proposal: table that is being written, None if there is none.
    :param proposed_era: life of the store in which the last write began.
    :param fenced: whether a table was written since the lease was acquired.
    :param owners_checked: whether the owners were checked since the lease was acquired,
        see `Granter._distrust_outdated_owners`.
    :param eligible_count: number of eligible upstreams before the first table.
    :param free_since: time since which ranges are free, None if none are.
    :param table_write_due: whether expiring ranges or raised fences must be stored.
    :param granted_term: term of the lease in which this instance last kept the states
        of grants, 0 if another one has replaced them.
    :param former_grants: that term, the time at which it was over, and rows of first
        key, last key, upstream id, start of its incarnation, and end of its grants.
    :param failed_at_by_owner: time at which an owner lost keys because it confirmed no
        grants.
    :param expiring_since: time at which this instance first saw that a range is
        expiring, by first key and fence.
    """

    service_id: str
    revision: int | None = None
    era: int = 0
    next_fence: int = 1
    known_next_fence: int = 0
    range_states: list[RangeState] = field(default_factory=list)
    proposal: KeyTable | None = None
    proposed_era: int = 0
    writing: bool = False
    retry_at: float = -math.inf
    fenced: bool = False
    owners_checked: bool = False
    balance_due_at: float = -math.inf
    eligible_count: int = 0
    free_since: float | None = None
    table_write_due: bool = False
    granted_term: int = 0
    former_grants: tuple[int, float, list[tuple]] = (0, -math.inf, [])
    failed_at_by_owner: dict[tuple[str, int], float] = field(default_factory=dict)
    expiring_since: dict[tuple[int, int], float] = field(default_factory=dict)
    creation_due_at: float = -math.inf
