"""Prometheus metrics of an instance, computed at each scrape."""

from aioprometheus import Counter
from aioprometheus import Gauge
from aioprometheus import Registry
from aioprometheus import render

from shallotyard_core.guarantees import TEXT_BY_GUARANTEE
from shallotyard_core.guarantees import find_guarantee
from shallotyard_core.status import build_status

_TEXT_FORMAT = "text/plain"


def render_metrics(router):
    """Return the metrics page.

    :param router: the `Router` state.
    :return: (body, content type).
    """
    registry = _build_registry(build_status(router))
    body, headers = render(registry, [_TEXT_FORMAT])
    return body, headers["Content-Type"]


def _build_registry(status):
    """Build a registry with the metrics of an instance from its status.

    Label values are verdicts, object names, guarantees and ids of upstreams. They
    must never be client ids, keys or bodies, because metrics may leave the home
    regions of a client.

    :param status: result of `build_status`.
    """
    registry = Registry()

    def add_counter(name, help_text, value):
        _set_values(
            Counter(f"shallotyard_{name}_total", help_text, registry=registry), value
        )

    def add_gauge(name, help_text, value):
        _set_values(Gauge(f"shallotyard_{name}", help_text, registry=registry), value)

    add_counter(
        "requests",
        "Requests answered, by verdict.",
        {("verdict", name): n for name, n in status["requests_by_verdict"].items()},
    )
    add_counter(
        "withheld_responses",
        "Responses to actions that have run and whose status says that they have not.",
        status["withheld_responses"],
    )
    add_gauge(
        "requests_in_progress",
        "Requests without an answer yet.",
        status["requests_in_progress"],
    )
    add_counter("attempts", "Attempts at upstreams that ended.", status["attempts"])
    add_counter("retries", "Attempts taken from the retry budget.", status["retries"])
    add_counter("hedges", "Attempts taken from the hedge budget.", status["hedges"])
    add_counter(
        "invariant_violations",
        "Violations found by assertions, by promise.",
        _count_violations(status["invariant_violations"]),
    )
    add_gauge(
        "configuration_version",
        "Versions in force, by object.",
        {
            ("object", "manifest"): status["manifest_version"],
            ("object", "service-state"): status["service_state_revision"],
            ("object", "assignments"): status["assignment_revision"],
        },
    )
    _add_ownership_metrics(status, add_counter, add_gauge)
    _add_upstream_metrics(status["upstreams"], add_gauge)
    _add_store_metrics(status["store"], add_counter, add_gauge)
    return registry


def _add_ownership_metrics(status, add_counter, add_gauge):
    add_gauge("claims", "Claims on slices and upstreams.", status["claims"])
    add_gauge(
        "claims_waiting", "Claims that have not started.", status["claims_waiting"]
    )
    add_gauge("lease_seconds", "Time left of the lease.", max(0.0, status["lease_s"]))
    add_gauge("slices_moving", "Moves in progress here.", status["slices_moving"])
    add_counter("moves", "Claims that ended here by a move.", status["moves"])
    add_gauge(
        "quarantined_fingerprints",
        "Requests refused because they crashed upstreams.",
        status["quarantined_fingerprints"],
    )


def _add_upstream_metrics(upstreams_by_id, add_gauge):
    for field, help_text in (
        ("in_flight", "Attempts in flight, by upstream held here."),
        ("limit", "Limit of attempts in flight, by upstream held here."),
    ):
        values = {
            ("upstream", upstream_id): upstream[field]
            for upstream_id, upstream in upstreams_by_id.items()
        }
        add_gauge(f"upstream_{field}", help_text, values)


def _add_store_metrics(store, add_counter, add_gauge):
    add_counter("store_reads", "Store reads started.", store["reads"])
    add_counter("store_writes", "Store writes that ended.", store["writes"])
    unreachable_s = store["since_s"] if store["state"] == "unreachable" else 0.0
    add_gauge(
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
    """Set the value of a metric.

    :param value: a number, or numbers by (label, label value).
    """
    if not isinstance(value, dict):
        metric.set({}, value)
        return
    for (label, name), number in value.items():
        metric.set({label: name}, number)
