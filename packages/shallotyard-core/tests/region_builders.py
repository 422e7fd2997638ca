"""Builders for one region: manifest, assignment table, instances, relayed requests."""

import hashlib
import json
import types

from shallotyard_core.assignment import AssignmentTable
from shallotyard_core.assignment import ServiceTable
from shallotyard_core.assignment import SliceEntry
from shallotyard_core.assignment import UpstreamEntry
from shallotyard_core.assignment import build_hot_claim_id
from shallotyard_core.assignment import build_slice_claim_id
from shallotyard_core.keys import compute_key_position
from shallotyard_core.keys import shorten_position
from shallotyard_core.manifest import parse_manifest
from shallotyard_core.messages import MemberAge
from shallotyard_core.messages import Relay
from shallotyard_core.reducer import Router

CREDENTIAL = "credential-of-split-market"
REGION = "dalmacija"
# Whether the service is keyed, whether its upstreams check grants, and its
# ``max_run_ms``.
SERVICES = {
    "desk": (True, True, 900),
    "book": (True, False, 800),
    "till": (False, False, 1000),
}


def build_manifest(version=1, extra_upstreams=()):
    """Return the JSON text of a manifest of one region with two domains."""
    upstream_ids = [f"{name}-{n}" for name in SERVICES for n in (1, 2)]
    raw = {
        "version": version,
        "store_region": REGION,
        "regions": {REGION: {"domains": ["d1", "d2"]}},
        "services": {
            name: {
                "keyed": keyed,
                "checks_grants": checks,
                "idempotent_methods": ["GET"],
                "slots": 2,
                "cold_slots": 1,
                "connections": 10,
                "slices": 2,
                "regions": [REGION],
                "max_run_ms": max_run_ms,
                "default_deadline_ms": 2000,
                "max_body_bytes": 1000,
            }
            for name, (keyed, checks, max_run_ms) in SERVICES.items()
        },
        "routes": [
            {"prefix": f"/{name}/", "service": name, "clients": ["*"]}
            for name in SERVICES
        ],
        "clients": {
            "split-market": {
                "home_regions": [REGION],
                "credential_sha256": hashlib.sha256(CREDENTIAL.encode()).hexdigest(),
            }
        },
        "upstreams": {
            upstream_id: {
                "service": upstream_id.partition("-")[0],
                "domain": "d2" if upstream_id.endswith("2") else "d1",
                "address": f"127.0.0.1:{9000 + number}",
            }
            for number, upstream_id in enumerate([*upstream_ids, *extra_upstreams])
        },
    }
    return json.dumps(raw)


def build_deployment(version=1, extra_upstreams=()):
    """Return the deployment of :func:`build_manifest`."""
    return parse_manifest(build_manifest(version, extra_upstreams)).unwrap()


def build_service_state(revision, domains_out, instances_out=()):
    """Return the JSON text of a service state."""
    state = {
        "domains_out": domains_out,
        "instances_out": list(instances_out),
        "revision": revision,
    }
    return json.dumps(state)


def compute_short_position(service, key):
    """Return the 16-bit position of a key of the test client."""
    return shorten_position(compute_key_position(service, "split-market", key))


def build_settings(instance_id, domain="d1"):
    """Return an object with the settings that the reducer reads."""
    return types.SimpleNamespace(
        instance=instance_id,
        domain=domain,
        peer_address=f"peer:{instance_id}",
        drain_s=5.0,
    )


def build_router(instance_id="r1", domain="d1", incarnation="1", now=0.0):
    """Return the state of a newly started instance."""
    settings = build_settings(instance_id, domain)
    return Router.from_settings(settings, incarnation, now, 1)


def build_member_age(instance_id, incarnation="1", domain="d2", leaving=False):
    """Return a `MemberAge` with age 0."""
    return MemberAge(
        instance_id, incarnation, domain, f"peer:{instance_id}", leaving, 0.0
    )


def build_table(
    revision,
    holders,
    slices,
    hot=None,
    service="book",
    coordinators=("r1",),
    candidate="",
):
    """Return an assignment table with one service.

    :param holders: (holder, epoch, previous holder) by upstream id.
    :param slices: list of (upstream id, epoch, previous holder).
    :param hot: the same for hot slices, by 16-bit position.
    """
    return AssignmentTable(
        REGION,
        revision,
        {name: "1" for name in coordinators},
        {
            upstream_id: UpstreamEntry(holder, "1", epoch, previous)
            for upstream_id, (holder, epoch, previous) in holders.items()
        },
        {
            service: ServiceTable(
                [
                    SliceEntry(build_slice_claim_id(service, number), *entry)
                    for number, entry in enumerate(slices)
                ],
                {
                    position: SliceEntry(build_hot_claim_id(service, position), *entry)
                    for position, entry in (hot or {}).items()
                },
            )
        },
        f"writer-{revision}",
        candidate,
    )


def build_relay(call_id, position=0, service="book", **changes):
    """Return a relayed request without ``Idempotency-Key``."""
    values = {
        "request_id": call_id.partition(".")[0],
        "client_id": "split-market",
        "service_id": service,
        "upstream_id": "",
        "position": position,
        "revision": 0,
        "method": "GET",
        "target": f"/{service}/1",
        "headers": {},
        "body": b"",
        "identity": "",
        "fingerprint": "",
        "remaining_s": 1.0,
        "idempotent": True,
    }
    return Relay(call_id, **{**values, **changes})
