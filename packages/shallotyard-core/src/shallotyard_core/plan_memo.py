"""Remembers the inputs of a plan that found nothing to do."""

from dataclasses import dataclass
from typing import Any

# Changes of rates and latencies lead to moves that pause for seconds anyway; at the
# design size one plan takes about 10 ms.
LOAD_PLAN_PERIOD_S = 0.5
# Bounds the effect of an input that the comparison does not cover.
MAX_PLAN_GAP_S = 5.0


@dataclass(slots=True)
class _Settled:
    table: Any
    deployment: Any
    urgent: tuple
    loads: dict
    at: float
    due_at: float


class PlanMemo:
    """Tells whether planning again would find nothing to do again."""

    def __init__(self):
        self._settled = None

    def is_settled(self, table, deployment, view, now):
        """Tell whether no input has changed since a plan without changes.

        :param table: current `AssignmentTable`.
        :param deployment: published configuration.
        :param view: a `PlanningView`.
        :param now: current time in seconds.
        """
        last = self._settled
        return (
            last is not None
            and now < last.due_at
            and table is last.table
            and deployment is last.deployment
            and _urgent_inputs(view) == last.urgent
            and (now < last.at + LOAD_PLAN_PERIOD_S or _loads(view) == last.loads)
        )

    def settle(self, table, deployment, view, pauses, now):
        """Record that a plan with these inputs changed nothing.

        :param pauses: the `PlanningPauses` after the plan.
        """
        due_at = min(now + MAX_PLAN_GAP_S, pauses.next_end(now))
        self._settled = _Settled(
            table, deployment, _urgent_inputs(view), _loads(view), now, due_at
        )

    def clear(self):
        """Forget the inputs, because there is something to do."""
        self._settled = None


def _urgent_inputs(view):
    states = {name: each.state for name, each in view.reports_by_upstream.items()}
    return (
        view.incarnations,
        view.domain_by_instance,
        view.out,
        view.lost_domains,
        states,
    )


def _loads(view):
    return {
        name: (each.latency_s, each.rate, each.hot_rates)
        for name, each in view.reports_by_upstream.items()
    }
