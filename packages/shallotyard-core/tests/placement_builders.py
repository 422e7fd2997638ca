"""Builders of deployments and planning views for tests of the planner."""

import json

from shallotyard_core.manifest import parse_manifest
from shallotyard_core.planner import PlanningPauses
from shallotyard_core.planner import PlanningView
from shallotyard_core.planner import plan_changes


def build_deployment(domains=("d1", "d2"), per_domain=2, slices=16):
    """Return a deployment with one keyed service in one region."""
    upstreams = {
        f"u-{domain}-{number}": {
            "service": "statusdesk",
            "domain": domain,
            "address": f"127.0.0.1:{9000 + 10 * index + number}",
        }
        for index, domain in enumerate(domains)
        for number in range(per_domain)
    }
    service = {
        "keyed": True,
        "checks_grants": True,
        "idempotent_methods": ["GET"],
        "slots": 4,
        "cold_slots": 1,
        "connections": 100,
        "slices": slices,
        "regions": ["dalmacija"],
        "max_run_ms": 800,
        "default_deadline_ms": 2000,
        "max_body_bytes": 65536,
    }
    manifest = {
        "version": 1,
        "store_region": "dalmacija",
        "regions": {"dalmacija": {"domains": list(domains)}},
        "services": {"statusdesk": service},
        "routes": [{"prefix": "/status/", "service": "statusdesk", "clients": ["*"]}],
        "clients": {},
        "upstreams": upstreams,
    }
    return parse_manifest(json.dumps(manifest)).unwrap()


def build_view(instances, **changes):
    """Return a `PlanningView` with live instances.

    :param instances: failure domain by instance id.
    :param changes: further fields of the view.
    """
    return PlanningView(
        {name: f"{name}-1" for name in instances}, dict(instances), **changes
    )


def plan_until_stable(table, deployment, view, rounds=20):
    """Apply plans until one changes nothing, and return the table."""
    pauses = PlanningPauses()
    for number in range(rounds):
        plan = plan_changes(table, deployment, view, pauses, now=100.0 * number)
        if not plan.changed:
            return table
        table = plan.table
        table.revision += 1
    raise AssertionError("the last plan still changed the table")
