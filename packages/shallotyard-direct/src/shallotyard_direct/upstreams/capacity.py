"""Estimates the work time, speed and limit of each upstream at one instance.

Loads handled: an instance sees a request of an upstream every few seconds; speeds of
one service differ by factors of 0.5 to 1.6, and an upstream may become 4 to 12 times
slower for some seconds.
"""

import math
import statistics
from dataclasses import dataclass

# A response that reports more than this slowdown shows a busy machine more than the
# speed of the upstream; its weight is reduced.
MAX_SAMPLE_SLOWDOWN = 1.2
SLOWED_SAMPLE_FACTOR = 0.25
# Weight of a request that may have waited at the upstream.
QUEUED_SAMPLE_WEIGHT = 0.5
# A request in flight for this multiple of its expected duration is a sample.
OVERDUE_RATIO = 2.5
OVERDUE_SAMPLE_WEIGHT = 0.5
OWN_HALF_LIFE_S = 2.5
MAX_FLEET_WEIGHT = 8.0
# Weight of the median for an upstream that the granter does not name.
UNNAMED_FLEET_WEIGHT = 4.0
# The fleet's value counts as one sample if this weight of own samples differs from it
# by this factor: the news of a change take up to three seconds.
MIN_OWN_CHANGE_WEIGHT = 1.5
CHANGE_RATIO = 1.8
# Differences from the median up to this factor are taken for chance, so that instances
# do not all prefer the same one of equal upstreams.
MIN_DIFFERENCE_RATIO = 1.15
# After this time without a reply, the values of the fleet lose weight.
FLEET_VALUE_VALIDITY_S = 3.0
FLEET_VALUE_HALF_LIFE_S = 10.0
# Weight of the service's median. Without it, an upstream without new samples would keep
# its last value forever.
PRIOR_WEIGHT = 0.5
# Upstreams with less weight do not count in the median.
MIN_MEDIAN_WEIGHT = 1.0
MIN_FLEET_SPEED = 0.001
CONFIDENCE_HALF_WEIGHT = 4.0
# Half of the slots adds less than a tenth of the throughput from this factor on.
MAX_USEFUL_KNEE = 1.8
MAX_KNEE = 4.0
MAX_IN_FLIGHT_PER_SLOT = 1.5
# Fraction of the target latency that processing and waiting at an upstream may take.
TARGET_FRACTION = 0.75
# With a lower speed, an upstream does not keep one request per slot.
MIN_FULL_SPEED = 0.5
# With a lower speed, an upstream gets trials only, if they would be late.
MIN_REGULAR_SPEED = 0.5
# Mean time between trials of an upstream, of all instances together.
TRIAL_PERIOD_S = 0.5
# Fraction of the time left that the expected duration of a trial may take.
TRIAL_TIME_FRACTION = 0.8
OCCUPANCY_WEIGHT = 0.3
OCCUPANCY_HALF_LIFE_S = 0.5
REFRESH_PERIOD_S = 0.2
# Half-life of what a load report tells about the requests at its upstream.
REPORT_HALF_LIFE_S = 1.0


@dataclass(slots=True)
class SampleSum:
    """Weighted sum of work times.

    :param total: sum of weight times work, in seconds.
    """

    total: float = 0.0
    weight: float = 0.0

    def add(self, work_s, weight):
        """Add a sample."""
        self.total += work_s * weight
        self.weight += weight

    def scale(self, factor):
        """Reduce the weight of all samples."""
        self.total *= factor
        self.weight *= factor

    @property
    def mean_s(self):
        """Return the mean work time in seconds, None without samples."""
        return self.total / self.weight if self.weight else None


class UpstreamCapacity:
    """Estimate of one upstream.

    ``work_s`` is the time that one request takes without waiting and with at most half
    of the slots in use, None if unknown; ``knee`` the factor with more slots in use;
    ``speed`` is relative to the median of the service.
    """

    def __init__(self):
        self.own = SampleSum()
        self.updated_at = -math.inf
        # None if the granter has not named it; it is then like the median.
        self.fleet_speed = None
        self.fleet_weight = 0.0
        self.knee = 1.0
        self.work_s = None
        self.weight = 0.0
        self.speed = 1.0
        self.usual_occupancy = 0.0
        self.trial_at = -math.inf
        # Latest time at which a request was sent that has its response.
        self.answered_until = -math.inf
        # Samples for the next load report, with few and with many slots in use.
        self.unreported_few = SampleSum()
        self.unreported_many = SampleSum()
        self.unreported_since = math.inf

    @property
    def confidence(self):
        """Return the confidence in the estimate, from 0 to 1."""
        return self.weight / (self.weight + CONFIDENCE_HALF_WEIGHT)

    def add_sample(self, work_s, weight, many, now):
        """Add a sample.

        :param many: whether more than half of the slots were in use.
        """
        self.own.add(work_s / self.knee if many else work_s, weight)
        (self.unreported_many if many else self.unreported_few).add(work_s, weight)
        self.unreported_since = min(self.unreported_since, now)

    def record_occupancy(self, occupancy):
        """Record the number of requests that the upstream reported."""
        self.usual_occupancy += OCCUPANCY_WEIGHT * (occupancy - self.usual_occupancy)

    def update(self, prior_s, replied_at, now, has_fleet_median=False):
        """Compute the estimate from own samples, the fleet's value and the prior.

        :param prior_s: median of the service in seconds, None if unknown.
        :param replied_at: time of the granter's last reply, in seconds.
        :param has_fleet_median: whether the median is that of the fleet.
        """
        elapsed_s = min(now - self.updated_at, 60.0)
        self.updated_at = now
        self.own.scale(0.5 ** (elapsed_s / OWN_HALF_LIFE_S))
        self.usual_occupancy *= 0.5 ** (elapsed_s / OCCUPANCY_HALF_LIFE_S)
        total, weight = self.own.total, self.own.weight
        if has_fleet_median:
            fleet_work_s, fleet_weight = prior_s, UNNAMED_FLEET_WEIGHT
            if self.fleet_speed is not None:
                fleet_work_s = prior_s / self.fleet_speed
                fleet_weight = min(self.fleet_weight, MAX_FLEET_WEIGHT)
            overdue_s = max(0.0, now - replied_at - FLEET_VALUE_VALIDITY_S)
            if self._contradicts(fleet_work_s):
                fleet_weight = min(1.0, fleet_weight)
            fleet_weight *= 0.5 ** (min(overdue_s, 600.0) / FLEET_VALUE_HALF_LIFE_S)
            total += fleet_weight * fleet_work_s
            weight += fleet_weight
        self.weight = weight
        if prior_s is not None:
            total += PRIOR_WEIGHT * prior_s
            weight += PRIOR_WEIGHT
        self.work_s = total / weight if weight else None
        is_comparable = prior_s is not None and self.work_s
        self.speed = prior_s / self.work_s if is_comparable else 1.0
        ratio = MIN_DIFFERENCE_RATIO
        if is_comparable and 1 / ratio < self.speed < ratio:
            self.work_s, self.speed = prior_s, 1.0

    def _contradicts(self, work_s):
        if self.own.weight < MIN_OWN_CHANGE_WEIGHT:
            return False
        return not 1 / CHANGE_RATIO < self.own.mean_s / max(work_s, 1e-6) < CHANGE_RATIO

    def estimate_work(self, occupancy, slots):
        """Return the work time of a request among others, in seconds.

        :param occupancy: number of requests at the upstream, with this one.
        """
        return self.work_s * (self.knee if occupancy > slots / 2 else 1.0)

    def estimate_duration(self, occupancy, slots):
        """Return the expected duration of one more request, in seconds.

        :param occupancy: number of requests at the upstream before.
        """
        occupancy = max(occupancy, self.usual_occupancy)
        queued = max(0.0, occupancy + 1 - slots) / slots
        # Weighs a free slot of a busy upstream below one of an idle upstream.
        factor = 1 + queued + occupancy / (4 * slots)
        return self.estimate_work(occupancy + 1, slots) * factor

    def compute_herd_factor(self, report_age_s):
        """Return the factor that makes the expected durations of upstreams alike, the
        more the older the last report of this one is. Many instances without reports
        would all choose the fastest upstream, and fill its queue.
        """
        return self.speed ** (1 - 0.5 ** (report_age_s / REPORT_HALF_LIFE_S))

    def estimate_rate(self, slots, default_work_s):
        """Return the requests per second that all slots can do.

        :param default_work_s: work time if it is unknown, in seconds.
        """
        return slots / max(self.work_s or default_work_s, 1e-6)


def build_sample(duration_s, expected_occupancy, slots, report):
    """Return what the duration of a request shows, as (work time in seconds, weight,
    whether more than half of the slots were in use).

    :param duration_s: duration without the round-trip time, in seconds.
    :param expected_occupancy: requests that were expected at the upstream when this one
        was sent, without it.
    :param report: the `LoadReport` of the response, None if it had none.
    """
    running = waiting = 0
    weight = 1.0
    occupancy = expected_occupancy + 1
    if report is not None:
        running, waiting = report.running, report.waiting
        occupancy = max(occupancy, running + waiting + 1)
    waiting = max(waiting, expected_occupancy + 1 - slots)
    if waiting > 0 or running >= slots:
        weight = QUEUED_SAMPLE_WEIGHT
    if report is not None and report.slowdown > MAX_SAMPLE_SLOWDOWN:
        weight *= SLOWED_SAMPLE_FACTOR
    work_s = duration_s / (1 + max(0.0, waiting) / slots)
    return work_s, weight, occupancy > slots / 2


def compute_limit(capacity, slots, target_latency_s, is_owner=False):
    """Return how many requests of all instances may be at an upstream.

    :param is_owner: whether the requests can go to no other upstream.
    """
    if capacity.work_s is None:
        return slots * MAX_IN_FLIGHT_PER_SLOT
    useful, work_s = slots, capacity.work_s * capacity.knee
    highest = slots * MAX_IN_FLIGHT_PER_SLOT
    if capacity.knee >= MAX_USEFUL_KNEE and slots > 1 and not is_owner:
        useful = highest = slots / 2
        work_s = capacity.work_s
    in_target = useful * TARGET_FRACTION * target_latency_s / max(work_s, 1e-6)
    keeps_slots = is_owner or capacity.speed >= MIN_FULL_SPEED
    return max(1.0, useful if keeps_slots else 0.0, min(highest, in_target))


class LearnedCapacities:
    """Estimates of all upstreams at one instance.

    :param rng: a ``random.Random``.
    """

    def __init__(self, rng):
        self.rng = rng
        self.capacities_by_id = {}
        self.reporting_services = set()
        self.instance_count = 1
        self.refreshed_at = -math.inf
        self.replied_at = -math.inf
        self.median_by_service = {}
        self.fleet_median_by_service = {}
        # What the granter's last reply said to be known.
        self.known = [0, 0]

    def is_active(self, setting, service_id):
        """Return whether the learned rule holds for a service.

        :param setting: ``learned_limits`` of the settings. None stands for the services
            whose upstreams report load.
        """
        return service_id in self.reporting_services if setting is None else setting

    def is_known(self, service_id):
        """Return whether anything is known about the upstreams of a service."""
        services = self.reporting_services, self.fleet_median_by_service
        return any(service_id in known for known in (*services, self.median_by_service))

    def get(self, upstream_id):
        """Return the `UpstreamCapacity` of an upstream; create it if needed."""
        capacity = self.capacities_by_id.get(upstream_id)
        if capacity is None:
            capacity = self.capacities_by_id[upstream_id] = UpstreamCapacity()
        return capacity

    def record_response(self, attempt, report, now):
        """Record a response.

        :param attempt: the `Attempt`.
        :param report: the `LoadReport` of the response, None if it had none.
        """
        service_id = attempt.pending.service_id
        capacity = self.get(attempt.upstream_id)
        capacity.answered_until = max(capacity.answered_until, attempt.sent_at)
        if report is not None:
            self.reporting_services.add(service_id)
            capacity.record_occupancy(report.running + report.waiting)
        duration_s = max(0.0, now - attempt.sent_at - attempt.rtt_s)
        sample = build_sample(duration_s, attempt.occupancy, attempt.slots, report)
        capacity.add_sample(*sample, now)
        if capacity.work_s is not None and sample[0] * CHANGE_RATIO < capacity.work_s:
            # A trial that shows a recovery is repeated at once.
            capacity.trial_at = min(capacity.trial_at, now)
        self._update(capacity, service_id, now)

    def _update(self, capacity, service_id, now):
        prior_s = self.fleet_median_by_service.get(service_id)
        has_fleet_median = prior_s is not None
        if not has_fleet_median:
            prior_s = self.median_by_service.get(service_id)
        capacity.update(prior_s, self.replied_at, now, has_fleet_median)

    def record_lost_response(self, attempt, now, weight=1.0):
        """Record that a request has no response yet, or never gets one."""
        capacity = self.get(attempt.upstream_id)
        if capacity.answered_until > attempt.sent_at:
            # The upstream has left it out, as its queue was full.
            return
        occupancy, slots = attempt.occupancy, attempt.slots
        sample = build_sample(now - attempt.sent_at, occupancy, slots, None)
        work_s, _, many = sample
        if capacity.work_s is not None and work_s > capacity.work_s:
            capacity.add_sample(work_s, weight, many, now)
            self._update(capacity, attempt.pending.service_id, now)

    def record_overdue(self, attempts, now):
        """Record the requests in flight that take far longer than expected.

        :param attempts: the `Attempt` objects without a result.
        """
        for attempt in attempts:
            capacity = self.capacities_by_id.get(attempt.upstream_id)
            if capacity is None or capacity.work_s is None:
                continue
            if not attempt.overdue_at:
                duration_s = capacity.estimate_duration(
                    attempt.occupancy, attempt.slots
                )
                attempt.overdue_at = attempt.sent_at + OVERDUE_RATIO * duration_s
            if now >= attempt.overdue_at:
                attempt.overdue_at = 2 * now - attempt.sent_at
                self.record_lost_response(attempt, now, OVERDUE_SAMPLE_WEIGHT)

    def refresh(self, ids_by_service, now):
        """Compute all estimates.

        :param ids_by_service: upstream ids by service id.
        """
        self.refreshed_at = now
        for service_id, ids in ids_by_service.items():
            if not self.is_known(service_id):
                continue
            known = []
            for upstream_id in ids:
                capacity = self.get(upstream_id)
                self._update(capacity, service_id, now)
                if capacity.own.weight >= MIN_MEDIAN_WEIGHT:
                    known.append(capacity.work_s)
            if known:
                # Of two upstreams, the slow one must count as slow.
                self.median_by_service[service_id] = statistics.median_low(known)

    def apply_reply(self, reply, now):
        """Apply the values of the fleet from a reply to a load report.

        :param reply: as returned by `FleetCapacities.list_changes`.
        """
        self.replied_at = now
        if not reply:
            return
        self.known = [reply["epoch"], reply["version"]]
        self.fleet_median_by_service.update(reply["medians"])
        for upstream_id, values in reply["upstreams"].items():
            capacity = self.get(upstream_id)
            capacity.fleet_speed = max(values[0], MIN_FLEET_SPEED)
            capacity.fleet_weight = values[1]
            knee = values[2] if len(values) > 2 else 1.0
            capacity.knee = min(MAX_KNEE, max(1.0, knee))

    def is_late(self, capacity, duration_s, target_latency_s):
        """Return whether an upstream is so much slower than the others of its service
        that a request would be late there.

        :param duration_s: expected duration in seconds.
        """
        return capacity.speed < MIN_REGULAR_SPEED and duration_s > target_latency_s

    def take_trial(self, capacity, duration_s, left_s, now):
        """Return whether a request tries an upstream that is expected to be late.

        :param duration_s: expected duration in seconds.
        :param left_s: time until the request expires, in seconds.
        """
        if duration_s > TRIAL_TIME_FRACTION * left_s:
            return False
        is_due = now >= capacity.trial_at > -math.inf
        if is_due or capacity.trial_at == -math.inf:
            mean_s = TRIAL_PERIOD_S * self.instance_count
            capacity.trial_at = now + self.rng.expovariate(1 / mean_s)
        return is_due

    def retain_upstreams(self, upstream_ids):
        """Delete the estimates of upstreams that no longer exist.

        :param upstream_ids: collection of the ids of existing upstreams.
        """
        for upstream_id in self.capacities_by_id.keys() - set(upstream_ids):
            del self.capacities_by_id[upstream_id]
