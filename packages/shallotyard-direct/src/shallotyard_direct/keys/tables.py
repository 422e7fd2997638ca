"""Reads, creates and writes the tables of owners of keys."""

from dataclasses import replace

from shallotyard_core.effects import LogDecision
from shallotyard_direct import key_balance
from shallotyard_direct.effects import ReadRecord
from shallotyard_direct.effects import WriteRecord
from shallotyard_direct.events import WriteStatus
from shallotyard_direct.key_table import KeyTable
from shallotyard_direct.key_table import KeyTableError
from shallotyard_direct.key_table import decode_table
from shallotyard_direct.key_table import encode_table
from shallotyard_direct.keys import grants
from shallotyard_direct.keys import services
from shallotyard_direct.keys import statements
from shallotyard_direct.keys.state import RangeState

KIND = "key-tables"
WRITE_RETRY_S = 0.3
# The initial owners are chosen when the number of eligible upstreams has not changed
# for this long.
JOIN_SETTLE_S = 1.0


def apply_record(granter, event, effects):
    """Apply the record of a key table from the store, unless it is known."""
    service = services.get_service(granter, event.name)
    known = service.revision
    position = (event.era, event.revision)
    if known is not None and position <= (service.era, known):
        return
    _apply_value(granter, service, event, effects)


def _apply_value(granter, service, event, effects):
    if _is_outdated(service, event):
        _keep_known_table(granter, service, event, effects)
        return
    service.era = max(service.era, event.era)
    services.begin_fences_of_life(service, service.era)
    proposal = service.proposal
    if proposal is not None and event.value == encode_table(proposal):
        # The watch can be faster than the response to the own write.
        _commit(granter, service, event.revision, event.now, effects)
        return
    try:
        _apply_table(granter, service, event.revision, event.value, event.now)
    except KeyTableError as error:
        effects.append(LogDecision("store-record-invalid", str(error), {}))


def _is_outdated(service, event):
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


def _keep_known_table(granter, service, event, effects):
    """Keep the known table, which the granter writes again."""
    service.era = max(service.era, event.era)
    services.begin_fences_of_life(service, service.era)
    service.revision = event.revision if event.value is not None else 0
    service.proposal = None
    service.fenced = False
    fields = {"service": service.service_id, "era": event.era}
    effects.append(LogDecision("key-table", "the stored one is older", fields))


def handle_write_result(granter, event, effects):
    """Handle the result of a write of a key table."""
    service = services.get_service(granter, event.name)
    service.writing = False
    if event.status is WriteStatus.DONE and event.era != service.proposed_era:
        # Written under a condition on a revision of an earlier life.
        service.proposal = None
        service.fenced = False
        effects.append(ReadRecord(KIND, service.service_id))
        return
    proposal = service.proposal
    if proposal is None or event.token != _format_proposal_token(proposal):
        return
    if event.status is WriteStatus.DONE:
        _commit(granter, service, event.revision, event.now, effects)
        return
    if event.status is WriteStatus.CONFLICT:
        # The record in conflict is a newer one, or that of an own write whose
        # response was lost. There is none if the store has forgotten it.
        _apply_value(granter, service, event, effects)
        return
    service.retry_at = event.now + WRITE_RETRY_S


def _apply_table(granter, service, revision, value, now):
    """Apply a table that another instance may have written."""
    statements.capture_grants(granter, service, now)
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
    before = [state for state in service.range_states if state.not_before > now]
    _record_expiring(service, table, now)
    service.range_states = [
        _build_range_state(granter, service, r, before, now) for r in table.ranges
    ]
    granter.owners.apply_table(table, now)


def _record_expiring(service, table, now):
    """Record since when ranges are expiring; they have not been renewed since."""
    since = service.expiring_since
    range_ids = [(r.first, r.fence) for r in table.ranges if r.expiring]
    service.expiring_since = {
        range_id: since.get(range_id, now) for range_id in range_ids
    }


def _build_range_state(granter, service, key_range, before, now):
    """Return the state of a stored range. Grants of other instances are unknown, so
    the maximum grant TTL is assumed from now on.

    :param before: the range states known so far whose keys must not be granted yet.
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
        services.compute_latest_expiry(granter, service, range_state, now)
    )
    # Those of the own term are unknown as well.
    range_state.own_until = range_state.expires_at
    for old in before:
        if old.last < range_state.first or range_state.last < old.first:
            continue
        range_state.not_before = max(range_state.not_before, old.not_before)
    return range_state


def read_table(service, now, effects):
    """Read the table of a service from the store."""
    if now >= service.retry_at:
        service.retry_at = now + WRITE_RETRY_S
        effects.append(ReadRecord(KIND, service.service_id))


def create_table(granter, service, now, effects):
    """Propose the first table of a service, once its upstreams are known."""
    if now < services.compute_earlier_life_end(granter):
        # The store may have forgotten a table.
        return
    services.begin_fences_of_life(service, granter.lease.era)
    eligible = services.list_eligible(granter, service.service_id, now)
    if len(eligible) != service.eligible_count:
        service.eligible_count = len(eligible)
        service.creation_due_at = now + JOIN_SETTLE_S
    if not eligible or now < service.creation_due_at:
        return
    capacity_by_owner = services.compute_capacities(granter, eligible)
    ranges = key_balance.build_initial_ranges(
        sorted(capacity_by_owner), capacity_by_owner
    )
    first_fence = service.next_fence
    ranges = [replace(r, fence=r.fence + first_fence) for r in ranges]
    propose(granter, service, ranges, effects)


def propose(granter, service, ranges, effects):
    """Write a new table of a service."""
    next_fence = max(service.next_fence, 1 + max(r.fence for r in ranges)) + 1
    service.proposal = KeyTable(service.service_id, 0, next_fence, tuple(ranges))
    write_proposal(granter, service, effects)


def _format_proposal_token(proposal):
    return f"table-{proposal.next_fence}"


def write_proposal(granter, service, effects):
    """Write the proposed table of a service, or write it again."""
    service.writing = True
    service.proposed_era = service.era
    proposal = service.proposal
    effects.append(
        WriteRecord(
            KIND,
            service.service_id,
            encode_table(proposal),
            service.revision,
            _format_proposal_token(proposal),
        )
    )


def _commit(granter, service, revision, now, effects):
    """Apply the proposed table, which has been stored."""
    table = replace(service.proposal, revision=revision)
    service.proposal = None
    service.revision = revision
    service.fenced = service.owners_checked = True
    service.next_fence = max(service.next_fence, table.next_fence)
    service.known_next_fence = table.next_fence
    _record_expiring(service, table, now)
    before = service.range_states
    kept = {
        (state.first, state.last, state.owner, state.fence): state for state in before
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
    granter.owners.apply_table(table, now)
    if granter.lease.is_held(now):
        grants.renew(granter, service, now, effects)
