"""Renews the grants of owners."""

import math

from shallotyard_core.effects import LogDecision
from shallotyard_direct.effects import SendGrant
from shallotyard_direct.granter_lease import MAX_CLOCK_DRIFT
from shallotyard_direct.keys import services
from shallotyard_direct.keys.timing import GRANT_SEND_TIMEOUT_S
from shallotyard_direct.keys.timing import GRANT_TRANSIT_S

# The keys of a lost owner are free this long after its last renewal.
GRANT_TTL_S = 3.0
RENEWAL_PERIOD_S = 0.75
# If the own lease has not been confirmed for this long, grants get the maximum TTL, so
# that upstreams keep their keys during an outage of the store.
UNCONFIRMED_LEASE_S = 2.0


def handle_grant_result(granter, event, effects):
    """Handle the result of a grant."""
    range_state, expires_at_before, grant_expires_at = (
        granter.range_states_by_token.pop(event.token, (None, 0.0, 0.0))
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
        range_state.confirmed = True
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


def renew(granter, service, now, effects):
    """Send the grants that are due."""
    if not service.fenced:
        return
    # A raised fence must be stored before it is granted.
    table_stored = service.proposal is None and not service.table_write_due
    lease_unconfirmed = now > granter.lease.confirmed_at + UNCONFIRMED_LEASE_S
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
        upstream = services.find_owner_entry(granter, service, range_state)
        if upstream is None or upstream.started_ms != range_state.owner[1]:
            continue
        range_state.renewal_due_at = now + RENEWAL_PERIOD_S
        # Keys of an owner that confirms nothing are free sooner with the usual TTL.
        is_long = lease_unconfirmed and range_state.failing_since is None
        ttl_s = granter.max_grant_ttl_s if is_long else GRANT_TTL_S
        range_state.token = f"grant-{next(granter.token_numbers)}"
        grant_expires_at = (
            now + GRANT_SEND_TIMEOUT_S + ttl_s * (1 + MAX_CLOCK_DRIFT) + GRANT_TRANSIT_S
        )
        granter.range_states_by_token[range_state.token] = (
            range_state,
            range_state.expires_at,
            grant_expires_at,
        )
        range_state.expires_at = max(range_state.expires_at, grant_expires_at)
        range_state.own_until = max(range_state.own_until, grant_expires_at)
        service.granted_term = granter.lease.record_term
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
                min(now + GRANT_SEND_TIMEOUT_S, granter.lease.valid_until),
                # Its confirmation ends all earlier grants.
                fresh=range_state.fence_raise_pending,
            )
        )
