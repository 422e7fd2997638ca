"""The status of one instance for operators."""

from shallotyard_core.coordinator import build_assignment_name
from shallotyard_core.guarantees import evaluate_guarantees
from shallotyard_core.objects import MANIFEST
from shallotyard_core.objects import SERVICE_STATE
from shallotyard_core.timing import DEAD_AFTER_S


def build_status(router):
    """Return the status of an instance.

    :param router: the `Router` state.
    :return: dict of JSON types.
    """
    control = router.control
    now = router.now
    store_age_s = now - control.store_reached_at
    return {
        "instance": router.own.instance_id,
        "domain": router.own.domain,
        "region": control.region,
        "leaving": router.own.leaving,
        "uptime_s": round(now - control.started_at, 1),
        "manifest_version": max(0, control.cache.get_revision(MANIFEST)),
        "service_state_revision": max(0, control.cache.get_revision(SERVICE_STATE)),
        "assignment_revision": control.table.revision if control.table else 0,
        "requests_by_verdict": dict(router.ingress.requests_by_verdict),
        "withheld_responses": router.ingress.withheld_responses,
        "requests_in_progress": len(router.ingress.pending_by_id),
        "attempts": router.ingress.attempts,
        "retries": router.ingress.retry_budget.spent,
        "hedges": router.ingress.hedge_budget.spent,
        "invariant_violations": dict(router.invariant_violations),
        "promises": evaluate_guarantees(router.invariant_violations),
        "slices_moving": _count_moving_slices(router),
        "moves": router.leases.lost_claim_count,
        "claims": len(router.leases.claims_by_id),
        "lease_s": round(router.leases.lease_until - now, 3)
        if router.leases.proof.revision
        else 0.0,
        "domains_out": sorted(control.service_state.domains_out),
        "instances_out": sorted(control.service_state.instances_out),
        "quarantined_fingerprints": router.holder.quarantine.count_quarantined(now),
        "claims_waiting": _count_waiting_claims(router),
        "known_versions": _list_known_versions(router),
        "members": sorted(router.membership.find_live_members(now)),
        "stewards": sorted(control.table.coordinators) if control.table else [],
        "witness": {
            "instance": control.maintenance.witness_selection.instance_id,
            "complete": control.maintenance.is_witness_current,
        },
        "upstreams": {
            upstream_id: {
                "state": held_upstream.get_reported_state(now),
                "in_flight": held_upstream.admission.in_flight,
                "limit": held_upstream.admission.limit,
            }
            for upstream_id, held_upstream in sorted(
                router.holder.held_upstreams_by_id.items()
            )
        },
        "store": {
            "state": "reachable" if store_age_s <= 2 * DEAD_AFTER_S else "unreachable",
            "since_s": round(store_age_s, 1),
            "reads": control.store_read_count,
            "writes": control.store_write_count,
        },
    }


def _count_waiting_claims(router):
    return sum(not claim.started for claim in router.leases.claims_by_id.values())


def _count_moving_slices(router):
    return _count_waiting_claims(router) + len(router.leases.draining_claims_by_key)


def _list_known_versions(router):
    """Return the versions that live instances reported in their last heartbeat."""
    control = router.control
    own_assignment = build_assignment_name(control.region)
    return {
        instance_id: {
            "manifest_version": max(0, revisions.get(MANIFEST, 0)),
            "service_state_revision": max(0, revisions.get(SERVICE_STATE, 0)),
            "assignment_revision": revisions.get(own_assignment),
        }
        for instance_id, revisions in sorted(control.revisions_by_instance.items())
        if router.membership.is_alive(instance_id, router.now)
    }
