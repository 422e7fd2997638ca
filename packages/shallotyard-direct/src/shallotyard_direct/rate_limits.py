"""Keeps to the rates that upstreams name, with permits of the `PermitIssuer`.

An instance sees only a part of the requests to an upstream, so the granter issues
permits for single requests from one budget for each limited upstream. An unused permit
expires, which bounds the requests in any period, whoever holds permits.
"""

import math
import zlib
from collections import deque
from dataclasses import dataclass
from dataclasses import field

# A permit must be used within this time after it was requested.
PERMIT_VALIDITY_S = 1.0
# Without an answer of the granter for this long, an instance sends at its share of the
# rate, without permits.
GRANTER_TIMEOUT_S = 1.0
# An upstream that names a lower rate still gets single requests, because only its
# responses show that the limit has ended.
MIN_RATE = 0.25
# Permit requests that the granter handles.
MAX_PERMIT_REQUESTS_PER_S = 200
MIN_PERMIT_REQUEST_PERIOD_S = 0.05
# The shortest time between request and answer grows by this factor with each answer, so
# that it follows a new granter at a larger distance.
TRANSIT_GROWTH = 1.1
# Instances that may send to an upstream without permits: this number, and more for each
# request per second of its rate. Each may send one request at any moment, whatever its
# share.
MIN_UNPERMITTED_INSTANCES = 3
UNPERMITTED_INSTANCES_PER_RATE = 0.5


@dataclass(slots=True)
class RateLimit:
    """The rate that an upstream names in its responses.

    :param rate: requests per second from all instances together.
    :param observed_at: time of the newest response that named it, in seconds.
    :param refused_at_by_request: requests that wait for a permit, and when each will
        be refused without one, in seconds.
    :param permits: times at which the unused permits expire, in seconds.
    :param requested_by_time: number of permits requested and not answered yet, by the
        time of the request in seconds.
    :param share_usable_at: time from which the next request may be sent without a
        permit, in seconds; None until the granter has not answered in time.
    """

    rate: float
    observed_at: float
    refused_at_by_request: dict[str, float] = field(default_factory=dict)
    permits: deque = field(default_factory=deque)
    requested_by_time: dict[float, int] = field(default_factory=dict)
    share_usable_at: float | None = None


class RateLimits:
    """Limited upstreams as known to an instance, with its permits.

    :param rng: a ``random.Random``.
    """

    def __init__(self, rng):
        self.rng = rng
        self.limits_by_id = {}
        # Time of the newest own response without a rate, by upstream id.
        self.unlimited_at_by_id = {}
        self.instance_count = 1
        self.rank = 0
        # Time from which this instance uses its share of the rate without permits.
        # Before, the other instances do not know it and use the whole rate.
        self.share_from = math.inf
        self.unanswered_since = None
        # Shortest time between a request for permits and its answer, in seconds.
        self.transit_s = MIN_PERMIT_REQUEST_PERIOD_S
        self.request_due_at = -math.inf

    def record_response(self, upstream_id, rate, now):
        """Record the rate that a response named.

        :param rate: requests per second, None if it named none.
        :return: whether the rate has changed.
        """
        limit = self.limits_by_id.get(upstream_id)
        if rate is None:
            self.unlimited_at_by_id[upstream_id] = now
            return self.limits_by_id.pop(upstream_id, None) is not None
        if limit is None:
            self.limits_by_id[upstream_id] = RateLimit(rate, now)
            return True
        changed, limit.rate = limit.rate != rate, rate
        limit.observed_at = now
        return changed

    def apply_reported_rates(self, rates_by_id, now):
        """Apply the rates that upstreams named to other instances.

        :param rates_by_id: as returned by `PermitIssuer.list_rates`.
        """
        for upstream_id, (rate, age_s) in rates_by_id.items():
            observed_at = now - age_s
            if observed_at <= self.unlimited_at_by_id.get(upstream_id, -math.inf):
                continue
            limit = self.limits_by_id.get(upstream_id)
            if limit is None:
                self.limits_by_id[upstream_id] = RateLimit(rate, observed_at)
            elif observed_at > limit.observed_at:
                limit.rate, limit.observed_at = rate, observed_at

    def get_rate(self, upstream_id):
        """Return the rate that an upstream names, None if it names none."""
        limit = self.limits_by_id.get(upstream_id)
        return None if limit is None else limit.rate

    def allows(self, upstream_id, now):
        """Return whether an upstream may get one more request now."""
        limit = self.limits_by_id.get(upstream_id)
        if limit is None:
            return True
        while limit.permits and limit.permits[0] <= now:
            limit.permits.popleft()
        return bool(limit.permits) or self._may_use_share(upstream_id, limit, now)

    def add_waiting(self, upstream_id, request_id, refused_at):
        """Record that a request waits for a permit.

        :param refused_at: time at which it is refused without one, in seconds.
        """
        limit = self.limits_by_id.get(upstream_id)
        if limit is not None:
            limit.refused_at_by_request[request_id] = refused_at

    def record_send(self, upstream_id, now):
        """Use a permit, or the share if there is none."""
        limit = self.limits_by_id.get(upstream_id)
        if limit is None:
            return
        if limit.permits:
            limit.permits.popleft()
        elif limit.share_usable_at is not None:
            limit.share_usable_at = now + self._compute_share_period(limit.rate)

    def retain_upstreams(self, upstream_ids):
        """Delete the limits of upstreams that no longer exist."""
        for values_by_id in (self.limits_by_id, self.unlimited_at_by_id):
            for upstream_id in values_by_id.keys() - set(upstream_ids):
                del values_by_id[upstream_id]

    # Permits

    def take_request(self, now):
        """Return the permits to request, if the next request is due.

        :return: number of permits, rate, age of the rate in seconds, and time in
            seconds for which they are of use, by upstream id; empty if nothing waits.
        """
        if now < self.request_due_at:
            return {}
        wanted = {}
        for upstream_id, limit in self.limits_by_id.items():
            for at in list(limit.requested_by_time):
                if now >= at + PERMIT_VALIDITY_S:
                    del limit.requested_by_time[at]
            answer_by = max(limit.refused_at_by_request.values(), default=now)
            left_s = answer_by - now - self.transit_s
            count = len(limit.refused_at_by_request) - len(limit.permits)
            count -= sum(limit.requested_by_time.values())
            limit.refused_at_by_request.clear()
            if count > 0 and left_s > 0:
                limit.requested_by_time[now] = count
                age_s = now - limit.observed_at
                wanted[upstream_id] = [
                    count,
                    limit.rate,
                    round(age_s, 3),
                    round(left_s, 3),
                ]
        if not wanted:
            return {}
        if self.unanswered_since is None:
            self.unanswered_since = now
        self.request_due_at = now + max(
            MIN_PERMIT_REQUEST_PERIOD_S,
            self.instance_count / MAX_PERMIT_REQUESTS_PER_S,
        )
        return wanted

    def apply_permits(self, count_by_id, requested_at, now):
        """Add permits that the granter has issued.

        :param requested_at: time of the request, in seconds.
        """
        self.unanswered_since = None
        self.transit_s = min(now - requested_at, self.transit_s * TRANSIT_GROWTH)
        for limit in self.limits_by_id.values():
            limit.share_usable_at = None
            limit.requested_by_time.pop(requested_at, None)
        for upstream_id, count in count_by_id.items():
            limit = self.limits_by_id.get(upstream_id)
            if limit is not None:
                expires_at = requested_at + PERMIT_VALIDITY_S
                limit.permits.extend([expires_at] * count)

    # Share without the granter

    def _may_use_share(self, upstream_id, limit, now):
        since = self.unanswered_since
        if since is None or now < max(since + GRANTER_TIMEOUT_S, self.share_from):
            return False
        count = count_unpermitted_instances(limit.rate, self.instance_count)
        # Other upstreams get requests from other instances.
        offset = zlib.crc32(upstream_id.encode())
        if (self.rank + offset) % max(1, self.instance_count) >= count:
            return False
        if limit.share_usable_at is None:
            period_s = self._compute_share_period(limit.rate)
            limit.share_usable_at = now + period_s * self.rng.random()
        return now >= limit.share_usable_at

    def _compute_share_period(self, rate):
        count = count_unpermitted_instances(rate, self.instance_count)
        return count / max(MIN_RATE, rate)


def count_unpermitted_instances(rate, instance_count):
    """Return how many instances may send to an upstream without the granter.

    :param rate: requests per second that the upstream names.
    """
    count = int(
        min(
            instance_count,
            MIN_UNPERMITTED_INSTANCES + UNPERMITTED_INSTANCES_PER_RATE * rate,
        )
    )
    return max(1, count)
