"""Metrics of one instance, computed from its state when they are scraped."""

from aioprometheus import Counter
from aioprometheus import Gauge
from aioprometheus import Registry
from aioprometheus import render

from shallotyard_core.guarantees import TEXT_BY_GUARANTEE
from shallotyard_core.guarantees import find_guarantee
from shallotyard_core.status import build_status

_TEXT_FORMAT = "text/plain"


def render_metrics(router):
    """Return the metrics as (body, content type).

    :param router: the `Router` state.
    """
    registry = _collect(build_status(router))
    body, headers = render(registry, [_TEXT_FORMAT])
    return body, headers["Content-Type"]


def _collect(status):
    """Return a registry with the values of a status.

    Labels hold verdicts and ids of the manifest only, never a client id, a key
    or a body.
    """
    registry = Registry()

    def count(name, text, value):
        _set_values(
            Counter(f"shallotyard_{name}_total", text, registry=registry), value
        )

    def gauge(name, text, value):
        _set_values(Gauge(f"shallotyard_{name}", text, registry=registry), value)

    count(
        "requests",
        "Requests answered, by verdict.",
        {("verdict", name): n for name, n in status["requests_by_verdict"].items()},
    )
    gauge(
        "requests_in_progress",
        "Requests without an answer yet.",
        status["requests_in_progress"],
    )
    count("attempts", "Attempts at upstreams that ended.", status["attempts"])
    count("retries", "Attempts taken from the retry budget.", status["retries"])
    count("hedges", "Attempts taken from the hedge budget.", status["hedges"])
    count(
        "invariant_violations",
        "Violations found by assertions, by promise.",
        _count_violations(status["invariant_violations"]),
    )
    gauge(
        "configuration_version",
        "Versions in force, by object.",
        {
            ("object", "manifest"): status["manifest_version"],
            ("object", "service-state"): status["service_state_revision"],
            ("object", "assignments"): status["assignment_revision"],
        },
    )
    _collect_ownership(status, count, gauge)
    _collect_upstreams(status["upstreams"], gauge)
    _collect_store(status["store"], count, gauge)
    return registry


def _collect_ownership(status, count, gauge):
    gauge("claims", "Claims on slices and upstreams.", status["claims"])
    gauge("claims_waiting", "Claims that have not started.", status["claims_waiting"])
    gauge("lease_seconds", "Time left of the lease.", max(0.0, status["lease_s"]))
    gauge("slices_moving", "Moves in progress here.", status["slices_moving"])
    count("moves", "Claims that ended here by a move.", status["moves"])
    gauge(
        "quarantined_fingerprints",
        "Requests refused because they crashed upstreams.",
        status["quarantined_fingerprints"],
    )


def _collect_upstreams(upstreams_by_id, gauge):
    for field, text in (
        ("in_flight", "Attempts in flight, by upstream held here."),
        ("limit", "Limit of attempts in flight, by upstream held here."),
    ):
        values = {
            ("upstream", upstream_id): upstream[field]
            for upstream_id, upstream in upstreams_by_id.items()
        }
        gauge(f"upstream_{field}", text, values)


def _collect_store(store, count, gauge):
    count("store_reads", "Store reads started.", store["reads"])
    count("store_writes", "Store writes that ended.", store["writes"])
    unreachable_s = store["since_s"] if store["state"] == "unreachable" else 0.0
    gauge(
        "store_unreachable_seconds",
        "Time since the last answer of the store, 0 while it answers.",
        unreachable_s,
    )


def _count_violations(invariant_violations):
    counts = {("promise", name): 0 for name in TEXT_BY_GUARANTEE}
    for invariant, number in invariant_violations.items():
        label = ("promise", find_guarantee(invariant))
        counts[label] = counts.get(label, 0) + number
    return counts


def _set_values(metric, value):
    """Set one value, or one for each label pair."""
    if not isinstance(value, dict):
        metric.set({}, value)
        return
    for (label, name), number in value.items():
        metric.set({label: name}, number)
