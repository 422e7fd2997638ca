"""Issues permits for requests to upstreams that name a rate, at the granter."""

import math
from dataclasses import dataclass

from shallotyard_direct.rate_limits import MIN_RATE

# Unused permits are kept for this fraction of a second at the named rate, and one more.
BURST_S = 0.5
# A request waits for this long if there are no permits, well below the time after which
# instances count the granter as lost.
MAX_HOLD_S = 0.5
# The granter reports rates that were named within this time to all instances.
MAX_RATE_AGE_S = 5.0
# The granter forgets budgets that nobody has asked for during this time.
BUDGET_RETENTION_S = 30.0


@dataclass(slots=True)
class _Budget:
    """Permits that can be issued for one upstream.

    :param rate: requests per second.
    :param observed_at: time of the newest response that named it, in seconds.
    :param permits: permits that can be issued at ``updated_at``.
    """

    rate: float
    observed_at: float
    updated_at: float
    permits: float = 1.0
    requested_at: float = -math.inf

    def refill(self, now):
        rate = max(MIN_RATE, self.rate)
        self.permits += rate * (now - self.updated_at)
        self.permits = min(self.permits, 1 + BURST_S * rate)
        self.updated_at = now


@dataclass(slots=True)
class _HeldRequest:
    """A request for permits that is not answered yet.

    :param count_by_id: number of permits requested, by upstream id.
    :param answer_by: time after which permits would be of no use, in seconds.
    """

    count_by_id: dict[str, int]
    answer_by: float


class PermitIssuer:
    """Issues permits for all instances at the granter, to the newest requests first.
    The oldest ones are those whose callers may already have been refused, and then a
    permit would not be used.
    """

    def __init__(self):
        self.budgets_by_id = {}
        self.held_by_token = {}

    def add_request(self, token, wanted, now):
        """Add a request for permits.

        :param token: identifies the request in the result of `issue`.
        :param wanted: as returned by `RateLimits.take_request`.
        """
        answer_by = now
        count_by_id = {}
        for upstream_id, (count, rate, age_s, left_s) in wanted.items():
            count_by_id[upstream_id] = count
            answer_by = max(answer_by, now + min(left_s, MAX_HOLD_S))
            budget = self.budgets_by_id.get(upstream_id)
            if budget is None:
                budget = _Budget(rate, now - age_s, now)
                self.budgets_by_id[upstream_id] = budget
            elif now - age_s >= budget.observed_at:
                budget.refill(now)
                budget.rate, budget.observed_at = rate, now - age_s
            budget.requested_at = now
        self.held_by_token[token] = _HeldRequest(count_by_id, answer_by)

    def issue(self, now):
        """Issue the permits that there are. A request is answered with the first ones,
        or without any when they would be of no use.

        :return: number of permits by upstream id, by token, of the requests that are
            answered.
        """
        answered = {}
        for token, held in reversed(list(self.held_by_token.items())):
            issued = {}
            if now <= held.answer_by:
                for upstream_id, wanted in held.count_by_id.items():
                    count = self._take_permits(upstream_id, wanted, now)
                    if count:
                        issued[upstream_id] = count
            if issued or now >= held.answer_by:
                answered[token] = issued
                del self.held_by_token[token]
        return answered

    def _take_permits(self, upstream_id, wanted, now):
        """Take up to the wanted number of permits from the budget of an upstream. If
        demand is below its rate, take one more, so that the next request need not wait.
        """
        budget = self.budgets_by_id[upstream_id]
        budget.refill(now)
        count = min(wanted, int(budget.permits))
        if budget.permits - count >= 1 + BURST_S * budget.rate / 2:
            count += 1
        budget.permits -= count
        return count

    def clear(self):
        """Forget all budgets, as another instance has issued permits meanwhile."""
        self.budgets_by_id.clear()
        self.held_by_token.clear()

    def expire_budgets(self, now):
        """Forget the budgets that are no longer asked for."""
        for upstream_id, budget in list(self.budgets_by_id.items()):
            if now >= budget.requested_at + BUDGET_RETENTION_S:
                del self.budgets_by_id[upstream_id]

    def list_rates(self, now):
        """Return the rate that was named in the last `MAX_RATE_AGE_S` and its age in
        seconds, by upstream id.
        """
        return {
            upstream_id: [budget.rate, round(now - budget.observed_at, 3)]
            for upstream_id, budget in self.budgets_by_id.items()
            if now <= budget.observed_at + MAX_RATE_AGE_S
        }

    def get_rate(self, upstream_id, now):
        """Return the rate of an upstream, None if nobody has named it for
        `MAX_RATE_AGE_S`.
        """
        budget = self.budgets_by_id.get(upstream_id)
        if budget is None or now > budget.observed_at + MAX_RATE_AGE_S:
            return None
        return budget.rate
