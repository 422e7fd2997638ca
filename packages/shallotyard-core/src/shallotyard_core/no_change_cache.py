"""Remembers the inputs of a plan that found nothing to do."""

from dataclasses import dataclass
from typing import Any

# Changes of rates and latencies lead to moves that pause for seconds anyway; at the
# design size one plan takes about 10 ms.
LOAD_PLAN_PERIOD_S = 0.5
# Bounds the effect of an input that the comparison does not cover.
MAX_PLAN_GAP_S = 5.0


@dataclass(slots=True)
class _PlanInputs:
    table: Any
    deployment: Any
    urgent_inputs: tuple
    load_inputs: dict
    recorded_at: float
    expires_at: float


class NoChangeCache:
    """Tells whether planning again would find nothing to do again."""

    def __init__(self):
        self._last_inputs = None

    def is_unchanged(self, table, deployment, view, now):
        """Tell whether no input has changed since a plan without changes.

        :param table: current `AssignmentTable`.
        :param deployment: published configuration.
        :param view: a `PlanningView`.
        :param now: current time in seconds.
        """
        last = self._last_inputs
        return (
            last is not None
            and now < last.expires_at
            and table is last.table
            and deployment is last.deployment
            and _list_urgent_inputs(view) == last.urgent_inputs
            and (
                now < last.recorded_at + LOAD_PLAN_PERIOD_S
                or _list_load_inputs(view) == last.load_inputs
            )
        )

    def record_no_change(self, table, deployment, view, pauses, now):
        """Record that a plan with these inputs changed nothing.

        :param pauses: the `PlanningPauses` after the plan.
        """
        expires_at = min(now + MAX_PLAN_GAP_S, pauses.find_next_end(now))
        self._last_inputs = _PlanInputs(
            table,
            deployment,
            _list_urgent_inputs(view),
            _list_load_inputs(view),
            now,
            expires_at,
        )

    def clear(self):
        """Forget the inputs, because there is something to do."""
        self._last_inputs = None


def _list_urgent_inputs(view):
    states = {name: each.state for name, each in view.reports_by_upstream.items()}
    return (
        view.eligible_incarnations_by_id,
        view.domain_by_instance,
        view.out_of_service_ids,
        view.lost_domains,
        states,
    )


def _list_load_inputs(view):
    return {
        name: (each.latency_s, each.rate, each.hot_rates)
        for name, each in view.reports_by_upstream.items()
    }
