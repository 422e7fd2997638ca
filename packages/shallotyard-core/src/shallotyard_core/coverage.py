"""Which claims cover a call under the assignment in force."""

# With less lease left than this a call waits for the next renewal.
MIN_LEASE_S = 0.2


def find_entry(table, relay):
    """Return the assignment entry of a request's position.

    :param table: the `AssignmentTable` in force.
    :return: ``None`` if the table does not have the service.
    """
    service = table.services_by_id.get(relay.service_id)
    return service.find_entry(relay.position) if service else None


def find_covering_claim(table, leases, relay):
    """Return this instance's claim on a request's position, or ``None``."""
    entry = find_entry(table, relay)
    return leases.claims_by_id.get(entry.claim_id) if entry else None


def find_outcome_slice(table, relay):
    """Return the slice that outcome records of a request are kept under.

    Hot slices share the records of the slice around them, so that a split
    or a merge loses none.
    """
    return table.services_by_id[relay.service_id].find_slice(relay.position).claim_id


def is_slice_ready(call, held_upstream, leases, now):
    """Tell whether a call's slice claim can be used at its upstream now."""
    claim = call.claim
    if not leases.is_usable(claim, now) or not held_upstream.clock_known:
        return False
    if leases.lease_until - now < MIN_LEASE_S:
        return False
    if held_upstream.service.checks_grants:
        return held_upstream.granted.get(claim.claim_id) == claim.epoch
    return True


def is_sendable(call, held_upstream, leases, now):
    """Tell whether a call's claims still allow to send it."""
    if not leases.is_usable(call.upstream_claim, now):
        return False
    return call.claim is None or is_slice_ready(call, held_upstream, leases, now)


def retag_call(call, table, leases):
    """Count an attempt under the claim that covers it after a split or merge."""
    if call.claim is None:
        return
    claim = find_covering_claim(table, leases, call.relay)
    if claim is None or claim.claim_id == call.claim.claim_id:
        return
    if claim.upstream_id == call.claim.upstream_id:
        call.claim.in_flight -= 1
        claim.in_flight += 1
        call.claim = claim
