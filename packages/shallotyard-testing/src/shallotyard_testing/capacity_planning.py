"""Costs of the assignment object, its planning, and the manifest."""

import json

import orjson

from shallotyard_core.assignment import AssignmentTable
from shallotyard_core.assignment import build_slice_claim_id
from shallotyard_core.assignment import decode_table
from shallotyard_core.assignment import encode_table
from shallotyard_core.lease import LeaseRegistry
from shallotyard_core.manifest import parse_manifest
from shallotyard_core.messages import UpstreamReport
from shallotyard_core.planner import PlanningPauses
from shallotyard_core.planner import PlanningView
from shallotyard_core.planner import plan_changes
from shallotyard_testing.capacity_builders import REGION
from shallotyard_testing.capacity_builders import build_deployment
from shallotyard_testing.capacity_builders import build_manifest
from shallotyard_testing.capacity_builders import build_table
from shallotyard_testing.capacity_builders import list_upstreams
from shallotyard_testing.slopes import measure_memory
from shallotyard_testing.slopes import measure_slopes
from shallotyard_testing.slopes import measure_us

PLAN_BY_UPSTREAM = "plan of 2048 slices, nothing to do"
_PLAN_STEP_S = 0.5
# Longer than REBALANCE_PAUSE_S, so that a planner that writes nothing for this time has
# nothing left to change.
_SETTLED_AFTER_S = 5.0


def measure_slices():
    """Return the slopes of an assignment object over its number of slices."""
    return measure_slopes((1536, 6144, 12_288), _measure_table)


def _measure_table(size):
    holders = {f"dalmacija-d1-{n:03}": f"{n:016x}" for n in range(230)}
    own = next(iter(holders))
    ids = [f"statusdesk-{n:04}" for n in range(767)]
    table = build_table(REGION, size, ids, holders)
    body = encode_table(table)
    grants = {
        build_slice_claim_id("statusdesk", n): 1 for n in range(0, size, len(ids))
    }
    lease_registry = LeaseRegistry(own, holders[own])
    lease_registry.apply_assignment(table, 0.0)
    return {
        ("encode table", "us/slice"): measure_us(encode_table, table),
        ("decode table", "us/slice"): measure_us(decode_table, REGION, body),
        ("adopt table", "us/slice"): measure_us(
            lease_registry.apply_assignment, table, 0.0
        ),
        ("object", "B/slice"): len(body),
        ("memory of a table", "B/slice"): measure_memory(decode_table, REGION, body),
        ("grant message", "B/slice"): len(orjson.dumps(grants)),
    }


def measure_plan():
    """Return the slopes of planning over slices, with and without a lost domain."""
    return measure_slopes((1024, 2048, 4096, 8192), _measure_plan)


def _measure_plan(slices):
    # There are two services, each with half of the slices.
    deployment, view, table = _build_settled_plan(96, slices // 2)
    view_after_loss = _build_view_without_domain(view, "d1")
    moved = _plan(table, deployment, view_after_loss).raised_claim_ids
    return {
        ("plan, nothing to do", "us/slice"): measure_us(_plan, table, deployment, view),
        ("plan, lost domain", "us/slice"): measure_us(
            _plan, table, deployment, view_after_loss
        ),
        ("slices moved", "slices/slice"): len(moved),
    }


def measure_plan_upstreams():
    """Return the slope of planning over upstreams, for a fixed number of slices."""
    return measure_slopes((8, 32, 128), _measure_plan_upstreams)


def _measure_plan_upstreams(upstreams):
    # Each of two services has a sixth of the upstreams in each of three regions.
    deployment, view, table = _build_settled_plan(6 * upstreams, 1024)
    cpu_us = measure_us(_plan, table, deployment, view)
    return {(PLAN_BY_UPSTREAM, "us/upstream"): cpu_us}


def _build_settled_plan(upstreams, slices):
    """Return deployment, view and a table that needs no changes."""
    deployment = build_deployment(upstreams, slices)
    holders = {f"r{n:03}": "i" for n in range(24)}
    domains = {name: f"d{1 + n % 2}" for n, name in enumerate(holders)}
    view = PlanningView(holders, domains)
    return deployment, view, _plan(AssignmentTable(REGION), deployment, view).table


def _build_view_without_domain(view, lost_domain):
    """Return the view after the loss of a failure domain."""
    domains = {
        name: domain
        for name, domain in view.domain_by_instance.items()
        if domain != lost_domain
    }
    incarnations_by_id = {
        name: view.eligible_incarnations_by_id[name] for name in domains
    }
    return PlanningView(
        incarnations_by_id, domains, lost_domains=frozenset({lost_domain})
    )


def _plan(table, deployment, view):
    return plan_changes(table, deployment, view, PlanningPauses(), 0.0)


def measure_hot_keys(keys=45, upstreams=576, slices=256):
    """Return how long the planner takes to adapt to a new set of hot keys.

    All keys are in one region, and each gets ten times the requests that an upstream
    gets for all other keys. The simulated reports follow a new table without delay,
    so that the time consists of the pauses of the planner only.

    :param keys: number of keys in each set.
    :return: dict with seconds, number of writes and share of the keys with slices
        of their own, for the first set and for the set that replaces it.
    """
    deployment = build_deployment(upstreams, slices)
    table, now, pauses = AssignmentTable(REGION), 0.0, PlanningPauses()
    result = {}
    for name, offset in (("first set", 0), ("next set", 40_000)):
        rate_by_position = {offset + 37 * number: 1000.0 for number in range(keys)}
        started_at = now
        table, now, settled_at, writes = _follow_load(
            table, deployment, pauses, rate_by_position, now
        )
        split = set(table.services_by_id["statusdesk"].hot_by_position)
        result[f"{name}: s"] = settled_at - started_at
        result[f"{name}: writes"] = writes
        result[f"{name}: share of keys"] = len(split & set(rate_by_position)) / keys
    return result


def _follow_load(table, deployment, pauses, rate_by_position, now):
    """Plan until nothing has changed for ``_SETTLED_AFTER_S``.

    :param rate_by_position: requests/s by key position.
    :return: table, time at the end, time of the last write, number of writes.
    """
    ids = list_upstreams(deployment, "statusdesk")
    view = PlanningView({"r1": "i", "r2": "i"}, {"r1": "d1", "r2": "d2"})
    settled_at, writes = now, 0
    while now - settled_at < _SETTLED_AFTER_S:
        now += _PLAN_STEP_S
        view.reports_by_upstream = _build_hot_reports(table, ids, rate_by_position)
        plan = plan_changes(table, deployment, view, pauses, now)
        if plan.changed:
            table = plan.table
            table.revision += 1
            writes += 1
            settled_at = now
    return table, now, settled_at, writes


def _build_hot_reports(table, ids, rate_by_position):
    service = table.services_by_id.get("statusdesk")
    if service is None:
        return {}
    rates = {name: {} for name in ids}
    for position, rate in rate_by_position.items():
        rates[service.find_entry(position).owner][position] = rate
    return {
        name: UpstreamReport(
            name,
            "serving",
            1,
            4,
            0.01,
            100.0 + sum(each.values()),
            0.0,
            {"statusdesk": each},
        )
        for name, each in rates.items()
    }


def measure_configuration():
    """Return the slopes of a manifest over its number of upstreams."""
    return measure_slopes((96, 384, 1536), _measure_manifest)


def _measure_manifest(upstreams):
    manifest, _ = build_manifest(upstreams)
    text = json.dumps(manifest, separators=(",", ":"))
    memory_b = measure_memory(lambda: parse_manifest(text).unwrap())
    return {
        ("parse manifest, by upstream", "us"): measure_us(parse_manifest, text),
        ("manifest bytes, by upstream", "B"): len(text),
        ("memory of a manifest, by upstream", "B"): memory_b,
    }
