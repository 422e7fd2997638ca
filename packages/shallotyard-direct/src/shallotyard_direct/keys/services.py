"""Looks up the owners of a service's keys, and until when they may use them."""

import math

from shallotyard_direct import key_balance
from shallotyard_direct.granter_lease import LEASE_DURATION_S
from shallotyard_direct.granter_lease import MAX_CLOCK_DRIFT
from shallotyard_direct.key_table import FENCES_PER_ERA
from shallotyard_direct.keys.state import ServiceKeys
from shallotyard_direct.keys.timing import GRANT_SEND_TIMEOUT_S
from shallotyard_direct.keys.timing import GRANT_TRANSIT_S

# Bounds of the observed speed of an upstream relative to its service.
MIN_SPEED = 0.4
MAX_SPEED = 2.0
# An owner that lost keys because it confirmed no grants gets no others for this long.
FAILED_OWNER_AVOIDANCE_S = 15.0


def get_service(granter, service_id):
    """Return the state of the keys of a service; create it if needed."""
    service = granter.services_by_id.get(service_id)
    if service is None:
        service = granter.services_by_id[service_id] = ServiceKeys(service_id)
    return service


def begin_fences_of_life(service, era):
    """Let the next fence exceed all fences of earlier lives of the store."""
    service.next_fence = max(service.next_fence, era * FENCES_PER_ERA)


def compute_latest_expiry(granter, service, range_state, now):
    """Return the time until which an owner may use grants of other instances."""
    since = service.expiring_since.get((range_state.first, range_state.fence), now)
    return (
        since
        + granter.lease.recorded_grant_ttl_s * (1 + MAX_CLOCK_DRIFT)
        + GRANT_TRANSIT_S
    )


def compute_earlier_life_end(granter):
    """Return the time at which all grants of earlier lives of the store have
    expired. A holder of the lease may have granted until its lease ended.
    """
    lease = granter.lease
    if not lease.had_earlier_life:
        return -math.inf
    held_s = LEASE_DURATION_S + lease.recorded_grant_ttl_s
    margin_s = GRANT_SEND_TIMEOUT_S + GRANT_TRANSIT_S
    return lease.life_known_at + held_s * (1 + MAX_CLOCK_DRIFT) + margin_s


def list_eligible(granter, service_id, now):
    """Return the upstreams of a service that may get keys."""
    return [
        upstream
        for upstream in granter.directory.list_in_service(service_id)
        if not granter.directory.is_cold(upstream.upstream_id, now)
    ]


def list_targets(granter, service, now):
    """Return the upstreams that may get keys of others. An owner that confirms no
    grants has lost its keys, and as the least loaded one it would get them again.
    """
    failing = {
        state.owner for state in service.range_states if state.failing_since is not None
    }
    failing.update(
        owner
        for owner, failed_at in service.failed_at_by_owner.items()
        if now < failed_at + FAILED_OWNER_AVOIDANCE_S
    )
    eligible = list_eligible(granter, service.service_id, now)
    return [u for u in eligible if u.incarnation not in failing] or eligible


def compute_capacities(granter, upstreams):
    """Return the capacity of upstreams by incarnation, in slots of usual speed."""
    return {
        (u.upstream_id, u.started_ms): key_balance.compute_capacity(
            u.slots,
            min(MAX_SPEED, max(MIN_SPEED, granter.get_relative_speed(u.upstream_id))),
            granter.find_rate_in_slots(u),
        )
        for u in upstreams
    }


def find_owner_entry(granter, service, range_state):
    """Return the entry of an owner, which may show a later incarnation. It is None
    without one, and if the id is now that of an upstream of another service.
    """
    upstream = granter.directory.upstreams_by_id.get(range_state.owner[0])
    if upstream is None or upstream.service_id != service.service_id:
        return None
    return upstream


def build_load_map(granter, service_id):
    """Return the `LoadMap` of the reported requests of a service."""
    return key_balance.LoadMap(granter.counts_by_service.get(service_id, {}))
