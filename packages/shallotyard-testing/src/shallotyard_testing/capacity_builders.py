"""Builders of manifests, assignment tables, members and routers of any size."""

import json

from shallotyard_core.assignment import AssignmentTable
from shallotyard_core.assignment import ServiceTable
from shallotyard_core.assignment import SliceEntry
from shallotyard_core.assignment import UpstreamEntry
from shallotyard_core.assignment import build_slice_claim_id
from shallotyard_core.assignment import encode_table
from shallotyard_core.events import UpstreamPolled
from shallotyard_core.manifest import parse_manifest
from shallotyard_core.messages import MemberAge
from shallotyard_core.messages import UpstreamReport
from shallotyard_core.reducer import Router
from shallotyard_core.reducer import reduce
from shallotyard_core.settings import Settings
from shallotyard_testing.builders import TENDARIS_DOMAINS_BY_REGION
from shallotyard_testing.builders import build_tendaris_manifest

REGION = "dalmacija"


def build_manifest(upstreams, slices=64):
    """Return a manifest with two services, and the credentials by client.

    :param upstreams: number of upstreams of both services together.
    :param slices: number of slices of each service.
    """
    counts = {"statusdesk": upstreams // 2, "tilldesk": upstreams - upstreams // 2}
    # Nothing listens on these ports; they only have to be valid.
    manifest, credentials = build_tendaris_manifest(
        counts, TENDARIS_DOMAINS_BY_REGION, 10_000
    )
    for service in manifest["services"].values():
        service["slices"] = slices
    return manifest, credentials


def build_deployment(upstreams, slices=64):
    """Return the deployment of the manifest that `build_manifest` returns.

    :param upstreams: number of upstreams of both services together.
    :param slices: number of slices of each service.
    """
    manifest, _ = build_manifest(upstreams, slices)
    return parse_manifest(json.dumps(manifest)).unwrap()


def build_table(region, slices, upstream_ids, holders, services=("statusdesk",)):
    """Return an assignment table with slices and upstreams spread evenly.

    :param slices: number of slices of each service.
    :param holders: incarnation by instance id.
    """
    instance_ids = list(holders)
    entries = {}
    for number, upstream_id in enumerate(upstream_ids):
        name = instance_ids[number % len(instance_ids)]
        entries[upstream_id] = UpstreamEntry(name, holders[name], 1)
    tables = {
        service: ServiceTable(
            _build_slices(service, slices, upstream_ids, instance_ids)
        )
        for service in services
    }
    coordinators = dict(list(holders.items())[:3])
    return AssignmentTable(region, 1, coordinators, entries, tables)


def _build_slices(service, count, upstream_ids, instance_ids):
    return [
        SliceEntry(
            build_slice_claim_id(service, number),
            upstream_ids[number % len(upstream_ids)],
            1,
            # An entry that names a previous holder, as after a move, is the largest.
            instance_ids[(number + 1) % len(instance_ids)],
        )
        for number in range(count)
    ]


def build_members(count):
    """Return a list of members in 12 failure domains."""
    return [
        MemberAge(
            f"dalmacija-d1-{number:03}",
            f"{number:016x}",
            f"d{number % 12}",
            f"10.0.{number // 250}.{number % 250}:7000",
            False,
            0.123456789,
        )
        for number in range(count)
    ]


def build_reports(count):
    """Return a list of reports, one for each of ``count`` upstreams."""
    return [
        UpstreamReport(
            f"statusdesk-{number:04}", "serving", 2, 4, 0.0123456789, 123.456789, 0.1
        )
        for number in range(count)
    ]


def list_upstreams(deployment, service):
    """Return the ids of the upstreams of a service in ``REGION``."""
    return [
        upstream.id
        for upstream in deployment.upstreams_by_service[service]
        if upstream.region == REGION
    ]


def build_serving_router(holders):
    """Return the router ``r1`` in service, and the credential of a client.

    :param holders: incarnation by instance id of those that hold the upstreams.
    """
    manifest, credentials = build_manifest(24)
    settings = Settings(
        "r1", "d1", "127.0.0.1:1", "127.0.0.1:2", "http://s", "http://l"
    )
    router = Router.from_settings(settings, "i1", 0.0, 1)
    effects = []
    router.control.apply_object("manifest", json.dumps(manifest), 0.0, effects)
    deployment = router.control.deployment
    ids = [
        upstream_id
        for service in deployment.upstreams_by_service
        for upstream_id in list_upstreams(deployment, service)
    ]
    table = build_table(REGION, 64, ids, holders, ("tilldesk",))
    name = f"assignments/{REGION}"
    router.control.apply_object(name, encode_table(table).decode(), 0.0, effects)
    router.membership.record_relayed_contact(
        MemberAge("r2", "i2", "d1", "127.0.0.1:4", False, 0.0), 0.0
    )
    router.control.proofs.record_store_proof(1, 0.5)
    _start_claims(router)
    return router, credentials["ferry-stalls"]


def _start_claims(router):
    for claim in router.leases.claims_by_id.values():
        claim.started = True
    for upstream_id in list(router.holder.held_upstreams_by_id):
        event = UpstreamPolled(
            0.5, upstream_id, 0.5, True, False, "boot", 1000.0, "serving", True, {}, ()
        )
        reduce(router, event)
    for held_upstream in router.holder.held_upstreams_by_id.values():
        held_upstream.admission.limit = held_upstream.admission.slots
