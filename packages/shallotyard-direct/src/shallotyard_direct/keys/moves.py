"""Moves ranges of keys to other owners."""

from dataclasses import replace

from shallotyard_core.effects import LogDecision
from shallotyard_direct import key_balance
from shallotyard_direct.effects import SendRelease
from shallotyard_direct.key_table import KeyRange
from shallotyard_direct.keys import services
from shallotyard_direct.keys import tables
from shallotyard_direct.keys.grants import UNCONFIRMED_LEASE_S
from shallotyard_direct.keys.state import Move
from shallotyard_direct.keys.timing import GRANT_TRANSIT_S
from shallotyard_direct.replica import STORE_RETURN_S

OWNER_FAILURE_TIMEOUT_S = 1.2
RELEASE_TIMEOUT_S = 1.5
BALANCE_PERIOD_S = 1.0
# Ranges that become free within this time are reassigned in one write, because every
# instance reads each change of a table.
REASSIGNMENT_BATCH_S = 0.1
# Reasons of moves whose owner cannot confirm a higher fence.
_UNCONFIRMABLE_REASONS = frozenset({"gone", "failing"})


def handle_release_result(granter, event, effects):
    """Handle the result of a release."""
    for service in granter.services_by_id.values():
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
            advance_moves(granter, service, event.now, effects)
            return


def _find_owner_fault(granter, service, range_state, now):
    """Return why an owner must lose its keys, ``""`` if it keeps them."""
    upstream = services.find_owner_entry(granter, service, range_state)
    if range_state.expiring:
        return "gone"
    if upstream is None:
        if now < granter.directory.store_returned_at + STORE_RETURN_S:
            return ""
        return "gone"
    if upstream.leaving:
        return "leaving"
    if upstream.domain in granter.directory.domains_out:
        return "out-of-service"
    if range_state.refused:
        return "refused"
    since = range_state.failing_since
    if since is not None and now >= since + OWNER_FAILURE_TIMEOUT_S:
        return "failing"
    return ""


def follow_restarted_owners(granter, service, now, effects):
    """Give the keys of owners that have restarted to their next incarnations, with
    higher fences. Those may have accepted grants to the former ones, since they
    know no fences, so that the end of an incarnation does not free its keys. A next
    incarnation that is not eligible confirms its fence and releases the keys, so
    that others need not wait until all grants have expired.
    """
    eligible = None
    for range_state in service.range_states:
        upstream_id, started_ms = range_state.owner
        upstream = services.find_owner_entry(granter, service, range_state)
        if upstream is None or upstream.started_ms == started_ms:
            continue
        if eligible is None:
            eligible = services.list_eligible(granter, service.service_id, now)
        range_state.owner = (upstream_id, upstream.started_ms)
        range_state.handover = ""
        range_state.expiring = range_state.refused = False
        range_state.failing_since = range_state.move = None
        range_state.confirmed = False
        range_state.fence_raised = False
        # The result of a grant in progress would confirm the former fence.
        range_state.token = ""
        range_state.unconfirmed_until = range_state.expires_at
        _raise_fence(service, range_state, now)
        if eligible and upstream not in eligible:
            _begin_move(service, range_state, Move("restarted"), now, effects)
            range_state.fence_raised = True


def _raise_fence(service, range_state, now):
    """Give a range a higher fence, which its owner gets when it is stored."""
    range_state.fence = service.next_fence
    service.next_fence += 1
    range_state.fence_raise_pending = service.table_write_due = True
    range_state.renewal_due_at = now


def begin_required_moves(granter, service, now, effects):
    """Begin the moves of ranges whose owners must lose their keys."""
    eligible = None
    for range_state in service.range_states:
        if range_state.move is not None:
            continue
        fault = _find_owner_fault(granter, service, range_state, now)
        if not fault:
            continue
        if eligible is None:
            eligible = services.list_eligible(granter, service.service_id, now)
        if not eligible and fault != "refused":
            continue
        _begin_move(service, range_state, Move(fault), now, effects)
        if fault == "failing":
            service.failed_at_by_owner[range_state.owner] = now
        if fault in ("gone", "failing") and not range_state.expiring:
            # Stored, so that the next granter need not wait as long again.
            range_state.expiring = service.table_write_due = True


def _begin_move(service, range_state, move, now, effects):
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


def _release(granter, service, range_state, now, effects):
    move = range_state.move
    move.release_requested = True
    upstream_id = range_state.owner[0]
    address = granter.directory.find_last_address(upstream_id)
    is_listed = upstream_id in granter.directory.upstreams_by_id
    if is_listed and services.find_owner_entry(granter, service, range_state) is None:
        # It would release keys of its own service.
        address = ""
    if not address:
        move.free_at = range_state.expires_at
        return
    move.token = f"release-{next(granter.token_numbers)}"
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


def advance_moves(granter, service, now, effects):
    """Request releases, and reassign the ranges that are free."""
    if service.writing or service.proposal is not None:
        return
    if service.table_write_due:
        service.table_write_due = False
        tables.propose(
            granter,
            service,
            [state.as_range() for state in service.range_states],
            effects,
        )
        return
    moving = [state for state in service.range_states if state.move is not None]
    free = [
        state
        for state in moving
        if not state.token and _advance_move(granter, service, state, now, effects)
    ]
    if not free:
        service.free_since = None
        return
    if service.free_since is None:
        service.free_since = now
    if len(free) == len(moving) or now >= service.free_since + REASSIGNMENT_BATCH_S:
        service.free_since = None
        _reassign(granter, service, free, now, effects)


def _advance_move(granter, service, range_state, now, effects):
    """Advance a move by one step.

    :return: whether the old owner has certainly stopped using the keys.
    """
    move = range_state.move
    upstream = services.find_owner_entry(granter, service, range_state)
    if upstream is None:
        range_state.fence_raise_pending = False
    if not move.release_requested and _needs_higher_fence(range_state, now):
        _raise_fence(service, range_state, now)
        range_state.fence_raised = True
        # The owner has seen a higher fence than the former one.
        range_state.refused = False
    if range_state.fence_raise_pending:
        return False
    if not move.release_requested:
        _release(granter, service, range_state, now, effects)
    free_at = min(move.free_at, range_state.expires_at)
    return not move.token and now >= max(free_at, range_state.not_before)


def _needs_higher_fence(range_state, now):
    """Return whether the owner must confirm a higher fence before the release. A
    grant of an earlier granter may be applied after the release, unless the owner
    has confirmed a higher fence and so refuses it.
    """
    return (
        not range_state.fence_raised
        and range_state.move.reason not in _UNCONFIRMABLE_REASONS
        and range_state.unconfirmed_until > now + GRANT_TRANSIT_S
    )


def _reassign(granter, service, free, now, effects):
    eligible = services.list_targets(granter, service, now)
    if not eligible:
        return
    capacity_by_owner = services.compute_capacities(granter, eligible)
    load_map = services.build_load_map(granter, service.service_id)
    kept = [state.as_range() for state in service.range_states if state not in free]
    loads = key_balance.compute_relative_loads(kept, load_map, capacity_by_owner)
    total = load_map.total
    mean = total / sum(capacity_by_owner.values())
    ranges = list(kept)
    fence = service.next_fence
    for range_state in free:
        target = range_state.move.target
        if range_state.move.reason == "refused":
            upstream = services.find_owner_entry(granter, service, range_state)
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
    tables.propose(granter, service, ranges, effects)


def balance(granter, service, now, effects):
    """Begin moves of keys for load, if they are due."""
    if now < service.balance_due_at or any(
        state.move for state in service.range_states
    ):
        return
    service.balance_due_at = now + BALANCE_PERIOD_S
    if now > granter.lease.confirmed_at + UNCONFIRMED_LEASE_S:
        return
    eligible = services.list_targets(granter, service, now)
    capacity_by_owner = services.compute_capacities(granter, eligible)
    load_map = services.build_load_map(granter, service.service_id)
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
        if not _may_move(range_state):
            continue
        part = _split_range_state(service, range_state, first, last)
        _begin_move(service, part, Move("load", target), now, effects)


def _may_move(range_state):
    """Return whether the owner of a range can confirm a higher fence before it releases
    keys. Grants of an earlier granter may be applied until then.
    """
    return (
        range_state.confirmed
        and range_state.failing_since is None
        and not range_state.fence_raise_pending
    )


def _split_range_state(service, range_state, first, last):
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
