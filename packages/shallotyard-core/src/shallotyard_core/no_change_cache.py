"""Caches the inputs of the last plan without changes, to skip equal plans."""

from dataclasses import dataclass
from typing import Any

# Moves because of rates and latencies are followed by pauses of seconds, so planning
# need not follow each change of these; at the design size one plan takes about 10 ms.
LOAD_PLAN_PERIOD_S = 0.5
# Limits the delay after a change of an input that is not compared.
MAX_PLAN_GAP_S = 5.0


@dataclass(slots=True)
class _PlanInputs:
    table: Any
    deployment: Any
    urgent_inputs: tuple
    loads: dict
    recorded_at: float
    expires_at: float


class NoChangeCache:
    """Inputs of the last plan that changed nothing, until one of them changes."""

    def __init__(self):
        self._last_inputs = None

    def is_unchanged(self, table, deployment, view, now):
        """Tell whether the inputs equal those of the last plan without changes.

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
            and _collect_urgent_inputs(view) == last.urgent_inputs
            and (
                now < last.recorded_at + LOAD_PLAN_PERIOD_S
                or _collect_loads(view) == last.loads
            )
        )

    def record_no_change(self, table, deployment, view, pauses, now):
        """Record that a plan with these inputs changed nothing.

        :param table: current `AssignmentTable`.
        :param deployment: published configuration.
        :param view: a `PlanningView`.
        :param pauses: the `PlanningPauses` after the plan.
        :param now: current time in seconds.
        """
        expires_at = min(now + MAX_PLAN_GAP_S, pauses.find_next_end(now))
        self._last_inputs = _PlanInputs(
            table,
            deployment,
            _collect_urgent_inputs(view),
            _collect_loads(view),
            now,
            expires_at,
        )

    def clear(self):
        """Discard the inputs, so that the next plan is made."""
        self._last_inputs = None


def _collect_urgent_inputs(view):
    states = {name: each.state for name, each in view.reports_by_upstream.items()}
    return (
        view.eligible_incarnations_by_id,
        view.domain_by_instance,
        view.out_of_service_ids,
        view.lost_domains,
        states,
    )


def _collect_loads(view):
    return {
        name: (each.latency_s, each.rate, each.hot_rates)
        for name, each in view.reports_by_upstream.items()
    }
