"""Lookup of the claims that cover a call in the current assignment."""

# With less lease time left, a call waits for the next renewal.
MIN_REMAINING_LEASE_S = 0.2


def find_entry(table, relay):
    """Return the assignment entry of a request's position.

    :param table: the current `AssignmentTable`.
    :param relay: the `Relay` of a keyed request.
    :return: ``None`` if the service is not in the table.
    """
    service = table.services_by_id.get(relay.service_id)
    return service.find_entry(relay.position) if service else None


def find_covering_claim(table, leases, relay):
    """Return this instance's claim on a request's position, or ``None``.

    :param table: the current `AssignmentTable`.
    :param leases: the `LeaseRegistry` of this instance.
    :param relay: the `Relay` of a keyed request.
    """
    entry = find_entry(table, relay)
    return leases.claims_by_id.get(entry.claim_id) if entry else None


def find_outcome_slice(table, relay):
    """Return the id of the slice under which a request's outcome record is stored.

    A hot slice shares the records of the slice around it, so that no record is lost
    in a split or merge.

    :param table: the current `AssignmentTable`.
    :param relay: the `Relay` of a keyed request.
    """
    return table.services_by_id[relay.service_id].find_slice(relay.position).claim_id


def is_slice_ready(call, held_upstream, leases, now):
    """Tell whether a call's slice claim can be used at its upstream now.

    An upstream that checks grants must have acknowledged the claim's epoch.

    :param call: a `Call` with a slice claim.
    :param held_upstream: the `HeldUpstream` of its upstream.
    :param leases: the `LeaseRegistry` of this instance.
    :param now: current time in seconds.
    """
    claim = call.claim
    if not leases.is_usable(claim, now) or not held_upstream.is_clock_known:
        return False
    if leases.lease_until - now < MIN_REMAINING_LEASE_S:
        return False
    if held_upstream.service.checks_grants:
        return held_upstream.granted_epochs.get(claim.claim_id) == claim.epoch
    return True


def is_sendable(call, held_upstream, leases, now):
    """Tell whether a call may still be sent under its claims.

    :param call: a `Call` with its claims.
    :param held_upstream: the `HeldUpstream` of its upstream.
    :param leases: the `LeaseRegistry` of this instance.
    :param now: current time in seconds.
    """
    if not leases.is_usable(call.upstream_claim, now):
        return False
    return call.claim is None or is_slice_ready(call, held_upstream, leases, now)


def reassign_attempt(call, table, leases):
    """Count an attempt under the claim that covers it after a split or merge.

    Only the claim changes; the attempt stays at its upstream.

    :param call: the `Call` of the attempt.
    :param table: the current `AssignmentTable`.
    :param leases: the `LeaseRegistry` of this instance.
    """
    if call.claim is None:
        return
    claim = find_covering_claim(table, leases, call.relay)
    if claim is None or claim.claim_id == call.claim.claim_id:
        return
    if claim.upstream_id == call.claim.upstream_id:
        call.claim.in_flight -= 1
        claim.in_flight += 1
        call.claim = claim
