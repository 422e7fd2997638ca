"""Grants keys to upstreams: initial owners, renewals and moves of ranges."""

import itertools
import math
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from shallotyard_core.effects import LogDecision
from shallotyard_direct import key_balance
from shallotyard_direct.effects import ReadRecord
from shallotyard_direct.effects import SendGrant
from shallotyard_direct.effects import SendRelease
from shallotyard_direct.effects import WriteRecord
from shallotyard_direct.events import WriteStatus
from shallotyard_direct.granter_lease import LEASE_DURATION_S
from shallotyard_direct.granter_lease import MAX_CLOCK_DRIFT
from shallotyard_direct.granter_lease import GranterLease
from shallotyard_direct.key_table import FENCES_PER_ERA
from shallotyard_direct.key_table import KeyRange
from shallotyard_direct.key_table import KeyTable
from shallotyard_direct.key_table import KeyTableError
from shallotyard_direct.key_table import decode_table
from shallotyard_direct.key_table import encode_table
from shallotyard_direct.replica import STORE_RETURN_S

KIND = "key-tables"
# The keys of a lost owner are free this long after its last renewal.
GRANT_TTL_S = 3.0
RENEWAL_PERIOD_S = 0.75
# If the own lease has not been confirmed for this long, grants get the maximum TTL, so
# that upstreams keep their keys during an outage of the store.
UNCONFIRMED_LEASE_S = 2.0
# Subtracted from the maximum TTL, because times are rounded in transit.
MAX_GRANT_TTL_MARGIN_S = 0.1
# A grant arrives at most this long after its send deadline: its connection is reset
# shortly before, and the bytes sent by then take one trip.
GRANT_TRANSIT_S = 0.45
# A grant that has waited longer than this in this process is not sent.
GRANT_SEND_TIMEOUT_S = 0.2
OWNER_FAILURE_TIMEOUT_S = 1.2
RELEASE_TIMEOUT_S = 1.5
WRITE_RETRY_S = 0.3
BALANCE_PERIOD_S = 1.0
# Ranges that become free within this time are reassigned in one write, because every
# instance reads each change of a table.
REASSIGNMENT_BATCH_S = 0.1
# The initial owners are chosen when the number of eligible upstreams has not changed
# for this long.
JOIN_SETTLE_S = 1.0
# Time until a new granter has load reports of all instances.
FIRST_REPORTS_WAIT_S = 2.5
# If more than this fraction of all owners fail to confirm grants, the fault is probably
# at this instance.
MAX_FAILING_FRACTION = 0.5
# Bounds of the observed speed of an upstream relative to its service.
MIN_SPEED = 0.4
MAX_SPEED = 2.0


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
class _Service:
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
    expiring_since: dict[tuple[int, int], float] = field(default_factory=dict)
    creation_due_at: float = -math.inf


# Reasons of moves whose owner cannot confirm a higher fence.
_UNCONFIRMABLE_REASONS = frozenset({"gone", "failing"})


class Granter:
    """Assigns the keys of all services to upstreams while its lease is valid.

    :param settings: the `DirectSettings`.
    :param directory: the `Directory`.
    :param owners: the `Owners` that receive new key tables.
    :param get_relative_speed: function from an upstream id to its relative speed.
    :param find_rate_in_slots: function from an upstream to the slots of usual speed
        that its rate keeps in use.
    :param incarnation: unique id of this run of the process.
    :param rng: a ``random.Random``.
    """

    def __init__(
        self,
        settings,
        directory,
        owners,
        get_relative_speed,
        find_rate_in_slots,
        incarnation,
        rng,
    ):
        self.settings = settings
        self.directory = directory
        self.owners = owners
        self.get_relative_speed = get_relative_speed
        self.find_rate_in_slots = find_rate_in_slots
        self.max_grant_ttl_s = settings.max_grant_ttl_s - MAX_GRANT_TTL_MARGIN_S
        self.lease = GranterLease(
            settings.instance, incarnation, rng, self.max_grant_ttl_s
        )
        self.services_by_id = {}
        self.range_states_by_token = {}
        self.counts_by_service = {}
        self.token_numbers = itertools.count(1)

    # Events

    def tick(self, now, effects):
        """Renew the lease, and do what is due for each keyed service."""
        self.lease.tick(now, effects)
        if not self.lease.is_held(now) or not self.directory.listed:
            return
        configuration = self.directory.configuration
        if configuration is None:
            return
        for service in configuration.services_by_id.values():
            if service.keyed:
                self._process_service(
                    self._get_service(service.service_id), now, effects
                )
        self._settle(now)
        self._resign_if_isolated(now, effects)

    def _settle(self, now):
        """Let the lease say that no grants of earlier lives of the store are unknown,
        once that is so and the tables were written in this life.
        """
        lease = self.lease
        if lease.knows_all_grants or now >= self._compute_earlier_life_end():
            services = self.services_by_id.values()
            if all(s.fenced and s.era == lease.era for s in services if s.range_states):
                lease.settled_era = lease.era

    def apply_record(self, event, effects):
        """Apply the record of a key table from the store, unless it is known."""
        service = self._get_service(event.name)
        known = service.revision
        position = (event.era, event.revision)
        if known is not None and position <= (service.era, known):
            return
        self._apply_value(service, event, effects)

    def _apply_value(self, service, event, effects):
        if self._is_outdated(service, event):
            self._keep_known_table(service, event, effects)
            return
        service.era = max(service.era, event.era)
        self._begin_fences_of_life(service, service.era)
        proposal = service.proposal
        if proposal is not None and event.value == encode_table(proposal):
            # The watch can be faster than the response to the own write.
            self._commit(service, event.revision, event.now, effects)
            return
        try:
            self._apply_table(service, event.revision, event.value, event.now)
        except KeyTableError as error:
            effects.append(LogDecision("store-record-invalid", str(error), {}))

    def _begin_fences_of_life(self, service, era):
        """Let the next fence exceed all fences of earlier lives of the store."""
        service.next_fence = max(service.next_fence, era * FENCES_PER_ERA)

    def _is_outdated(self, service, event):
        """Return whether the stored table is missing or older than the known one,
        because the store has returned from an older copy, or because a write of an
        earlier life took effect late in this one.
        """
        if not service.range_states:
            return False
        if event.value is None:
            return True
        is_new_life = event.era > service.era
        try:
            table = decode_table(service.service_id, event.revision, event.value)
        except KeyTableError:
            return is_new_life
        if is_new_life:
            return table.next_fence <= service.known_next_fence
        return table.next_fence < service.known_next_fence

    def _keep_known_table(self, service, event, effects):
        """Keep the known table, which the granter writes again."""
        service.era = max(service.era, event.era)
        self._begin_fences_of_life(service, service.era)
        service.revision = event.revision if event.value is not None else 0
        service.proposal = None
        service.fenced = False
        fields = {"service": service.service_id, "era": event.era}
        effects.append(LogDecision("key-table", "the stored one is older", fields))

    def handle_write_result(self, event, effects):
        """Handle the result of a write of a key table."""
        service = self._get_service(event.name)
        service.writing = False
        if event.status is WriteStatus.DONE and event.era != service.proposed_era:
            # Written under a condition on a revision of an earlier life.
            service.proposal = None
            service.fenced = False
            effects.append(ReadRecord(KIND, service.service_id))
            return
        proposal = service.proposal
        if proposal is None or event.token != self._format_proposal_token(proposal):
            return
        if event.status is WriteStatus.DONE:
            self._commit(service, event.revision, event.now, effects)
            return
        if event.status is WriteStatus.CONFLICT:
            # The record in conflict is a newer one, or that of an own write whose
            # response was lost. There is none if the store has forgotten it.
            self._apply_value(service, event, effects)
            return
        service.retry_at = event.now + WRITE_RETRY_S

    def handle_grant_result(self, event, effects):
        """Handle the result of a grant."""
        range_state, expires_at_before, grant_expires_at = (
            self.range_states_by_token.pop(event.token, (None, 0.0, 0.0))
        )
        if range_state is None or range_state.token != event.token:
            return
        range_state.token = ""
        fence_raise_pending, range_state.fence_raise_pending = (
            range_state.fence_raise_pending,
            False,
        )
        if event.accepted:
            range_state.failing_since = None
            if fence_raise_pending:
                range_state.unconfirmed_until = -math.inf
            return
        if event.unsent:
            range_state.expires_at = expires_at_before
        elif event.accepted is False:
            range_state.refused = True
        else:
            range_state.unconfirmed_until = max(
                range_state.unconfirmed_until, grant_expires_at
            )
        if range_state.failing_since is None:
            range_state.failing_since = event.now
        fields = {
            "upstream": range_state.owner[0],
            "first": range_state.first,
            "last": range_state.last,
            "fence": range_state.fence,
            "refused": event.accepted is False,
            "unsent": event.unsent,
            "detail": event.detail,
        }
        effects.append(LogDecision("grant-failed", "no confirmation", fields))

    def handle_release_result(self, event, effects):
        """Handle the result of a release."""
        for service in self.services_by_id.values():
            for range_state in service.range_states:
                move = range_state.move
                if move is None or move.token != event.token:
                    continue
                move.token = ""
                if event.released:
                    # A grant without a reply may be applied after the release.
                    move.free_at = max(event.now, range_state.unconfirmed_until)
                    range_state.handover = event.handover
                else:
                    move.free_at = range_state.expires_at
                self._advance_moves(service, event.now, effects)
                return

    # State

    def _get_service(self, service_id):
        service = self.services_by_id.get(service_id)
        if service is None:
            service = self.services_by_id[service_id] = _Service(service_id)
        return service

    def _apply_table(self, service, revision, value, now):
        """Apply a table that another instance may have written."""
        service.revision = revision
        service.proposal = None
        if value is None:
            # The record was removed and must be created again.
            service.revision = 0
            service.range_states = []
            return
        table = decode_table(service.service_id, revision, value)
        service.next_fence = max(service.next_fence, table.next_fence)
        service.known_next_fence = table.next_fence
        before = service.range_states
        self._record_expiring(service, table, now)
        service.range_states = [
            self._build_range_state(service, r, before, now) for r in table.ranges
        ]
        self.owners.apply_table(table, now)

    def _record_expiring(self, service, table, now):
        """Record since when ranges are expiring; they have not been renewed since."""
        since = service.expiring_since
        range_ids = [(r.first, r.fence) for r in table.ranges if r.expiring]
        service.expiring_since = {
            range_id: since.get(range_id, now) for range_id in range_ids
        }

    def _build_range_state(self, service, key_range, before, now):
        """Return the state of a stored range. Grants of other instances are unknown, so
        the maximum grant TTL is assumed from now on.

        :param before: the range states known so far.
        """
        range_state = RangeState(
            key_range.first,
            key_range.last,
            key_range.owner,
            key_range.fence,
            key_range.handover,
            expiring=key_range.expiring,
        )
        range_state.expires_at = range_state.unconfirmed_until = (
            self._compute_latest_expiry(service, range_state, now)
        )
        for old in before:
            if old.last < range_state.first or range_state.last < old.first:
                continue
            range_state.not_before = max(range_state.not_before, old.not_before)
        return range_state

    def _compute_latest_expiry(self, service, range_state, now):
        """Return the time until which an owner may use grants of other instances."""
        since = service.expiring_since.get((range_state.first, range_state.fence), now)
        return (
            since
            + self.lease.recorded_grant_ttl_s * (1 + MAX_CLOCK_DRIFT)
            + GRANT_TRANSIT_S
        )

    def handle_lease_acquired(self, now, effects):
        """Prepare to grant after the lease was acquired. Earlier holders may have
        granted until now.
        """
        for service in self.services_by_id.values():
            service.fenced = False
            service.proposal = None
            service.balance_due_at = now + FIRST_REPORTS_WAIT_S
            for range_state in service.range_states:
                range_state.move = None
                range_state.token = ""
                range_state.fence_raise_pending = range_state.fence_raised = False
                latest = self._compute_latest_expiry(service, range_state, now)
                range_state.expires_at = range_state.unconfirmed_until = latest
            service.owners_checked = False
        effects.append(LogDecision("granter", "acquired", {"term": self.lease.term}))

    def _distrust_outdated_owners(self, service):
        """Let grants of earlier lives of the store expire, and give the ranges new
        fences. The store may have forgotten newer owners.
        """
        if self.lease.is_settled:
            return
        self._begin_fences_of_life(service, self.lease.era)
        for range_state in service.range_states:
            range_state.fence = service.next_fence
            service.next_fence += 1
            range_state.handover = ""
            range_state.not_before = max(
                range_state.not_before, self._compute_earlier_life_end()
            )

    def _compute_earlier_life_end(self):
        """Return the time at which all grants of earlier lives of the store have
        expired. A holder of the lease may have granted until its lease ended.
        """
        lease = self.lease
        if not lease.had_earlier_life:
            return -math.inf
        held_s = LEASE_DURATION_S + lease.recorded_grant_ttl_s
        margin_s = GRANT_SEND_TIMEOUT_S + GRANT_TRANSIT_S
        return lease.life_known_at + held_s * (1 + MAX_CLOCK_DRIFT) + margin_s

    # Services

    def _process_service(self, service, now, effects):
        if service.writing:
            self._renew(service, now, effects)
            return
        if service.proposal is not None:
            if now >= service.retry_at:
                self._write_proposal(service, effects)
        elif service.revision is None or service.era < self.lease.era:
            # A revision of an earlier life is no condition for a write in this one.
            self._read_table(service, now, effects)
        elif not service.range_states:
            self._create_table(service, now, effects)
        elif not service.fenced:
            if not service.owners_checked:
                service.owners_checked = True
                self._distrust_outdated_owners(service)
            # A write increases the revision, so that writes of an earlier holder that
            # are still in transit fail.
            self._propose(
                service, [state.as_range() for state in service.range_states], effects
            )
        else:
            self._follow_restarted_owners(service, now, effects)
            self._begin_required_moves(service, now, effects)
            self._balance(service, now, effects)
            self._advance_moves(service, now, effects)
        self._renew(service, now, effects)

    def _read_table(self, service, now, effects):
        if now >= service.retry_at:
            service.retry_at = now + WRITE_RETRY_S
            effects.append(ReadRecord(KIND, service.service_id))

    def _create_table(self, service, now, effects):
        if now < self._compute_earlier_life_end():
            # The store may have forgotten a table.
            return
        self._begin_fences_of_life(service, self.lease.era)
        eligible = self._list_eligible(service.service_id, now)
        if len(eligible) != service.eligible_count:
            service.eligible_count = len(eligible)
            service.creation_due_at = now + JOIN_SETTLE_S
        if not eligible or now < service.creation_due_at:
            return
        capacity_by_owner = self._compute_capacities(eligible)
        ranges = key_balance.build_initial_ranges(
            sorted(capacity_by_owner), capacity_by_owner
        )
        first_fence = service.next_fence
        ranges = [replace(r, fence=r.fence + first_fence) for r in ranges]
        self._propose(service, ranges, effects)

    def _list_eligible(self, service_id, now):
        return [
            upstream
            for upstream in self.directory.list_in_service(service_id)
            if not self.directory.is_cold(upstream.upstream_id, now)
        ]

    def _compute_capacities(self, upstreams):
        return {
            (u.upstream_id, u.started_ms): key_balance.compute_capacity(
                u.slots,
                min(MAX_SPEED, max(MIN_SPEED, self.get_relative_speed(u.upstream_id))),
                self.find_rate_in_slots(u),
            )
            for u in upstreams
        }

    def _find_owner_entry(self, service, range_state):
        """Return the entry of an owner, which may show a later incarnation. It is None
        without one, and if the id is now that of an upstream of another service.
        """
        upstream = self.directory.upstreams_by_id.get(range_state.owner[0])
        if upstream is None or upstream.service_id != service.service_id:
            return None
        return upstream

    def _find_owner_fault(self, service, range_state, now):
        """Return why an owner must lose its keys, ``""`` if it keeps them."""
        upstream = self._find_owner_entry(service, range_state)
        if range_state.expiring:
            return "gone"
        if upstream is None:
            if now < self.directory.store_returned_at + STORE_RETURN_S:
                return ""
            return "gone"
        if upstream.leaving:
            return "leaving"
        if upstream.domain in self.directory.domains_out:
            return "out-of-service"
        if range_state.refused:
            return "refused"
        since = range_state.failing_since
        if since is not None and now >= since + OWNER_FAILURE_TIMEOUT_S:
            return "failing"
        return ""

    def _follow_restarted_owners(self, service, now, effects):
        """Give the keys of owners that have restarted to their next incarnations, with
        higher fences. Those may have accepted grants to the former ones, since they
        know no fences, so that the end of an incarnation does not free its keys. A next
        incarnation that is not eligible confirms its fence and releases the keys, so
        that others need not wait until all grants have expired.
        """
        eligible = None
        for range_state in service.range_states:
            upstream_id, started_ms = range_state.owner
            upstream = self._find_owner_entry(service, range_state)
            if upstream is None or upstream.started_ms == started_ms:
                continue
            if eligible is None:
                eligible = self._list_eligible(service.service_id, now)
            range_state.owner = (upstream_id, upstream.started_ms)
            range_state.handover = ""
            range_state.expiring = range_state.refused = False
            range_state.failing_since = range_state.move = None
            range_state.fence_raised = False
            # The result of a grant in progress would confirm the former fence.
            range_state.token = ""
            range_state.unconfirmed_until = range_state.expires_at
            self._raise_fence(service, range_state, now)
            if eligible and upstream not in eligible:
                self._begin_move(service, range_state, Move("restarted"), now, effects)
                range_state.fence_raised = True

    def _raise_fence(self, service, range_state, now):
        """Give a range a higher fence, which its owner gets when it is stored."""
        range_state.fence = service.next_fence
        service.next_fence += 1
        range_state.fence_raise_pending = service.table_write_due = True
        range_state.renewal_due_at = now

    def _begin_required_moves(self, service, now, effects):
        eligible = None
        for range_state in service.range_states:
            if range_state.move is not None:
                continue
            fault = self._find_owner_fault(service, range_state, now)
            if not fault:
                continue
            if eligible is None:
                eligible = self._list_eligible(service.service_id, now)
            if not eligible and fault != "refused":
                continue
            self._begin_move(service, range_state, Move(fault), now, effects)
            if fault in ("gone", "failing") and not range_state.expiring:
                # Stored, so that the next granter need not wait as long again.
                range_state.expiring = service.table_write_due = True

    def _begin_move(self, service, range_state, move, now, effects):
        range_state.move = move
        fields = {
            "service": service.service_id,
            "upstream": range_state.owner[0],
            "first": range_state.first,
            "last": range_state.last,
            "fence": range_state.fence,
            "hold_s": round(range_state.expires_at - now, 2),
        }
        effects.append(LogDecision("keys-move", move.reason, fields))

    def _release(self, service, range_state, now, effects):
        move = range_state.move
        move.release_requested = True
        upstream_id = range_state.owner[0]
        address = self.directory.find_last_address(upstream_id)
        is_listed = upstream_id in self.directory.upstreams_by_id
        if is_listed and self._find_owner_entry(service, range_state) is None:
            # It would release keys of its own service.
            address = ""
        if not address:
            move.free_at = range_state.expires_at
            return
        move.token = f"release-{next(self.token_numbers)}"
        effects.append(
            SendRelease(
                move.token,
                upstream_id,
                address,
                range_state.first,
                range_state.last,
                range_state.fence,
                RELEASE_TIMEOUT_S,
            )
        )

    def _advance_moves(self, service, now, effects):
        """Request releases, and reassign the ranges that are free."""
        if service.writing or service.proposal is not None:
            return
        if service.table_write_due:
            service.table_write_due = False
            self._propose(
                service, [state.as_range() for state in service.range_states], effects
            )
            return
        moving = [state for state in service.range_states if state.move is not None]
        free = [
            state
            for state in moving
            if not state.token and self._advance_move(service, state, now, effects)
        ]
        if not free:
            service.free_since = None
            return
        if service.free_since is None:
            service.free_since = now
        if len(free) == len(moving) or now >= service.free_since + REASSIGNMENT_BATCH_S:
            service.free_since = None
            self._reassign(service, free, now, effects)

    def _advance_move(self, service, range_state, now, effects):
        """Advance a move by one step.

        :return: whether the old owner has certainly stopped using the keys.
        """
        move = range_state.move
        upstream = self._find_owner_entry(service, range_state)
        if upstream is None:
            range_state.fence_raise_pending = False
        if not move.release_requested and self._needs_higher_fence(range_state, now):
            self._raise_fence(service, range_state, now)
            range_state.fence_raised = True
            # The owner has seen a higher fence than the former one.
            range_state.refused = False
        if range_state.fence_raise_pending:
            return False
        if not move.release_requested:
            self._release(service, range_state, now, effects)
        free_at = min(move.free_at, range_state.expires_at)
        return not move.token and now >= max(free_at, range_state.not_before)

    def _needs_higher_fence(self, range_state, now):
        """Return whether the owner must confirm a higher fence before the release. A
        grant of an earlier granter may be applied after the release, unless the owner
        has confirmed a higher fence and so refuses it.
        """
        return (
            not range_state.fence_raised
            and range_state.move.reason not in _UNCONFIRMABLE_REASONS
            and range_state.unconfirmed_until > now + GRANT_TRANSIT_S
        )

    def _reassign(self, service, free, now, effects):
        eligible = self._list_eligible(service.service_id, now)
        if not eligible:
            return
        capacity_by_owner = self._compute_capacities(eligible)
        load_map = self._build_load_map(service.service_id)
        kept = [state.as_range() for state in service.range_states if state not in free]
        loads = key_balance.compute_relative_loads(kept, load_map, capacity_by_owner)
        total = load_map.total
        mean = total / sum(capacity_by_owner.values())
        ranges = list(kept)
        fence = service.next_fence
        for range_state in free:
            target = range_state.move.target
            if range_state.move.reason == "refused":
                upstream = self._find_owner_entry(service, range_state)
                if upstream is not None and upstream in eligible:
                    target = (upstream.upstream_id, upstream.started_ms)
            if target in capacity_by_owner:
                pieces = [(range_state.first, range_state.last, target)]
            else:
                pieces = key_balance.divide_range(
                    range_state.as_range(), load_map, loads, capacity_by_owner, mean
                )
            for first, last, owner in pieces:
                fence += 1
                ranges.append(
                    KeyRange(first, last, *owner, fence, handover=range_state.handover)
                )
        ranges.sort(key=lambda r: r.first)
        self._propose(service, ranges, effects)

    def _propose(self, service, ranges, effects):
        next_fence = max(service.next_fence, 1 + max(r.fence for r in ranges)) + 1
        service.proposal = KeyTable(service.service_id, 0, next_fence, tuple(ranges))
        self._write_proposal(service, effects)

    def _format_proposal_token(self, proposal):
        return f"table-{proposal.next_fence}"

    def _write_proposal(self, service, effects):
        service.writing = True
        service.proposed_era = service.era
        proposal = service.proposal
        effects.append(
            WriteRecord(
                KIND,
                service.service_id,
                encode_table(proposal),
                service.revision,
                self._format_proposal_token(proposal),
            )
        )

    def _commit(self, service, revision, now, effects):
        """Apply the proposed table, which has been stored."""
        table = replace(service.proposal, revision=revision)
        service.proposal = None
        service.revision = revision
        service.fenced = service.owners_checked = True
        service.next_fence = max(service.next_fence, table.next_fence)
        service.known_next_fence = table.next_fence
        self._record_expiring(service, table, now)
        before = service.range_states
        kept = {
            (state.first, state.last, state.owner, state.fence): state
            for state in before
        }
        range_states = []
        for r in table.ranges:
            range_state = kept.get((r.first, r.last, r.owner, r.fence))
            if range_state is None:
                range_state = RangeState(r.first, r.last, r.owner, r.fence, r.handover)
                # No other instance has granted the range, and the old owner has stopped
                # using it, so that nothing must expire before the first grant.
            range_states.append(range_state)
        service.range_states = range_states
        self.owners.apply_table(table, now)
        if self.lease.is_held(now):
            self._renew(service, now, effects)

    def _balance(self, service, now, effects):
        if now < service.balance_due_at or any(
            state.move for state in service.range_states
        ):
            return
        service.balance_due_at = now + BALANCE_PERIOD_S
        if now > self.lease.confirmed_at + UNCONFIRMED_LEASE_S:
            return
        eligible = self._list_eligible(service.service_id, now)
        capacity_by_owner = self._compute_capacities(eligible)
        load_map = self._build_load_map(service.service_id)
        ranges = [state.as_range() for state in service.range_states]
        for first, last, target in key_balance.find_moves(
            ranges, load_map, capacity_by_owner
        ):
            range_state = next(
                state
                for state in service.range_states
                if state.first <= first <= state.last
            )
            if range_state.token:
                # A grant in progress may be applied after the release.
                service.balance_due_at = now
                continue
            if range_state.unconfirmed_until > now:
                continue
            part = self._split_range_state(service, range_state, first, last)
            self._begin_move(service, part, Move("load", target), now, effects)

    def _split_range_state(self, service, range_state, first, last):
        """Split a range state, and return the part from first to last."""
        index = service.range_states.index(range_state)
        parts = []
        for low, high in (
            (range_state.first, first - 1),
            (first, last),
            (last + 1, range_state.last),
        ):
            if low <= high:
                parts.append(replace(range_state, first=low, last=high, move=None))
        service.range_states[index : index + 1] = parts
        return next(part for part in parts if part.first == first)

    def _build_load_map(self, service_id):
        return key_balance.LoadMap(self.counts_by_service.get(service_id, {}))

    def _renew(self, service, now, effects):
        if not service.fenced:
            return
        # A raised fence must be stored before it is granted.
        table_stored = service.proposal is None and not service.table_write_due
        lease_unconfirmed = now > self.lease.confirmed_at + UNCONFIRMED_LEASE_S
        ttl_s = self.max_grant_ttl_s if lease_unconfirmed else GRANT_TTL_S
        for range_state in service.range_states:
            if range_state.token or now < range_state.renewal_due_at:
                continue
            if range_state.fence_raise_pending:
                if not table_stored:
                    continue
            elif range_state.move is not None:
                continue
            if now < range_state.not_before or range_state.refused:
                continue
            if range_state.expiring:
                # The next granter counts the last grant from when this was stored.
                continue
            upstream = self._find_owner_entry(service, range_state)
            if upstream is None or upstream.started_ms != range_state.owner[1]:
                continue
            range_state.renewal_due_at = now + RENEWAL_PERIOD_S
            range_state.token = f"grant-{next(self.token_numbers)}"
            grant_expires_at = (
                now
                + GRANT_SEND_TIMEOUT_S
                + ttl_s * (1 + MAX_CLOCK_DRIFT)
                + GRANT_TRANSIT_S
            )
            self.range_states_by_token[range_state.token] = (
                range_state,
                range_state.expires_at,
                grant_expires_at,
            )
            range_state.expires_at = max(range_state.expires_at, grant_expires_at)
            effects.append(
                SendGrant(
                    range_state.token,
                    range_state.owner[0],
                    upstream.address,
                    range_state.first,
                    range_state.last,
                    range_state.fence,
                    ttl_s,
                    range_state.handover,
                    min(now + GRANT_SEND_TIMEOUT_S, self.lease.valid_until),
                    # Its confirmation ends all earlier grants.
                    fresh=range_state.fence_raise_pending,
                )
            )

    def _resign_if_isolated(self, now, effects):
        """Resign in favor of another instance if most owners are unreachable."""
        owners = {}
        for service in self.services_by_id.values():
            for range_state in service.range_states:
                since = range_state.failing_since
                failing = (
                    since is not None and now >= since + OWNER_FAILURE_TIMEOUT_S / 2
                )
                owners[range_state.owner] = (
                    owners.get(range_state.owner, False) or failing
                )
        failing = sum(owners.values())
        if failing >= 2 and failing > MAX_FAILING_FRACTION * len(owners):
            fields = {"failing": failing, "owners": len(owners)}
            effects.append(
                LogDecision("granter", "gave up: owners unreachable", fields)
            )
            self.lease.resign(now, effects)
