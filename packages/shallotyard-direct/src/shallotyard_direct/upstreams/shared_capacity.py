"""Learned capacity in load reports and in their replies, and its aggregation by the
granter.

Loads handled: up to 300 instances that each see a few requests of an upstream, on links
of a few Mbit/s.
"""

import math
import statistics
import zlib
from dataclasses import dataclass
from dataclasses import field

from shallotyard_direct.upstreams.capacity import MAX_KNEE
from shallotyard_direct.upstreams.capacity import MIN_MEDIAN_WEIGHT
from shallotyard_direct.upstreams.capacity import SampleSum

LONG_HALF_LIFE_S = 10.0
SHORT_HALF_LIFE_S = 1.5
KNEE_HALF_LIFE_S = 30.0
# The upstream has changed if the short mean differs from the long one by this factor
# with at least this weight. Six samples of exponentially distributed work differ by
# half of the mean.
CHANGE_RATIO = 1.8
MIN_CHANGE_WEIGHT = 3.0
# Weight of the service's median.
PRIOR_WEIGHT = 2.0
KNEE_PRIOR_WEIGHT = 8.0
# Weight of a value that the former granter told.
INHERITED_WEIGHT = 4.0
# Instances are told a value that has changed by this factor.
PUBLISHED_CHANGE_RATIO = 1.25
# The same upstream is named again after this time, or after a change by `CHANGE_RATIO`.
PUBLISHED_PERIOD_S = 3.0
# An upstream is named with this weight, or after such a change.
MIN_PUBLISHED_WEIGHT = 2.0
MAX_PUBLISHED_WEIGHT = 8.0
# Samples are reported with this weight, after this time, or if they differ from what is
# known by this factor.
MIN_REPORTED_WEIGHT = 3.0
MAX_REPORT_DELAY_S = 3.0
REPORTED_CHANGE_RATIO = 2.5


def build_report(capacities, now):
    """Return the field ``capacity`` of a load report: what is known, and the samples
    since the last report.

    :param capacities: the `LearnedCapacities`.
    :return: ``samples`` by upstream id as a list of mean work time in seconds and
        weight with few slots in use, then the same with many, if there are any.
    """
    samples_by_id = {}
    for upstream_id, capacity in capacities.capacities_by_id.items():
        few, many = capacity.unreported_few, capacity.unreported_many
        if not few.weight and not many.weight:
            continue
        is_due = few.weight + many.weight >= MIN_REPORTED_WEIGHT
        is_due |= now - capacity.unreported_since >= MAX_REPORT_DELAY_S
        if not is_due and not _differs(capacity):
            continue
        parts = [few, many] if many.weight else [few]
        samples_by_id[upstream_id] = [
            value
            for part in parts
            for value in (_round(part.mean_s or 0.0), round(part.weight, 2))
        ]
        capacity.unreported_few, capacity.unreported_many = SampleSum(), SampleSum()
        capacity.unreported_since = math.inf
    report = {"known": capacities.known}
    if samples_by_id:
        report["samples"] = samples_by_id
    return report


def _round(value):
    """Round to three significant digits, to keep messages short."""
    return float(f"{value:.3g}")


def _differs(capacity):
    """Return whether unreported samples differ from what is known."""
    if capacity.work_s is None:
        return True
    total = capacity.unreported_few.total
    total += capacity.unreported_many.total / capacity.knee
    weight = capacity.unreported_few.weight + capacity.unreported_many.weight
    ratio = total / weight / max(capacity.work_s, 1e-6)
    return not 1 / REPORTED_CHANGE_RATIO < ratio < REPORTED_CHANGE_RATIO


@dataclass(slots=True)
class _FleetEstimate:
    """Sums of one upstream.

    :param few: samples with few slots in use, relative to the work at that time.
    :param many: the same with many slots in use.
    :param published: speed, weight and knee that instances were told.
    :param version: number of the change in which they were told.
    """

    updated_at: float
    long: SampleSum = field(default_factory=SampleSum)
    short: SampleSum = field(default_factory=SampleSum)
    few: SampleSum = field(default_factory=SampleSum)
    many: SampleSum = field(default_factory=SampleSum)
    knee: float = 1.0
    published: list[float] | None = None
    version: int = 0
    published_at: float = -math.inf

    def decay(self, now):
        elapsed_s = min(now - self.updated_at, 600.0)
        self.updated_at = now
        self.long.scale(0.5 ** (elapsed_s / LONG_HALF_LIFE_S))
        self.short.scale(0.5 ** (elapsed_s / SHORT_HALF_LIFE_S))
        knee_factor = 0.5 ** (elapsed_s / KNEE_HALF_LIFE_S)
        self.few.scale(knee_factor)
        self.many.scale(knee_factor)

    def add(self, mean_s, weight, many):
        work_s = mean_s / self.knee if many else mean_s
        self.short.add(work_s, weight)
        self.long.add(work_s, weight)
        relative = min(MAX_KNEE, mean_s / max(self.long.mean_s, 1e-6))
        (self.many if many else self.few).add(relative, weight)

    def detect_change(self):
        if self.short.weight < MIN_CHANGE_WEIGHT or not self.short.mean_s:
            return
        ratio = self.short.mean_s / max(self.long.mean_s, 1e-6)
        if not 1 / CHANGE_RATIO < ratio < CHANGE_RATIO:
            self.long = SampleSum(self.short.total, self.short.weight)

    def update_knee(self):
        prior = KNEE_PRIOR_WEIGHT
        many = (self.many.total + prior) / (self.many.weight + prior)
        few = (self.few.total + prior) / (self.few.weight + prior)
        self.knee = min(MAX_KNEE, max(1.0, many / few))

    def estimate(self, prior_s):
        total, weight = self.long.total, self.long.weight
        if prior_s is not None:
            total += PRIOR_WEIGHT * prior_s
            weight += PRIOR_WEIGHT
        return total / weight


class FleetCapacities:
    """Estimates of the granter, from the samples of all instances.

    :param incarnation: unique id of this run of the process.
    """

    def __init__(self, incarnation):
        self.epoch = zlib.crc32(incarnation.encode())
        self.version = 0
        self.estimates_by_id = {}
        self.speeds_by_id = {}
        # Median that instances were told, and the number of that change, by service.
        self.medians_by_service = {}

    def inherit(self, capacities, ids_by_service, now):
        """Begin with what the former granter told this instance.

        :param capacities: the `LearnedCapacities` of this instance.
        :param ids_by_service: upstream ids by service id.
        """
        self.estimates_by_id.clear()
        for service_id, median_s in capacities.fleet_median_by_service.items():
            for upstream_id in ids_by_service.get(service_id, ()):
                capacity = capacities.get(upstream_id)
                estimate = _FleetEstimate(now, knee=capacity.knee)
                work_s = median_s / (capacity.fleet_speed or 1.0)
                estimate.long.add(work_s, INHERITED_WEIGHT)
                estimate.few.add(1.0, KNEE_PRIOR_WEIGHT)
                estimate.many.add(capacity.knee, KNEE_PRIOR_WEIGHT)
                self.estimates_by_id[upstream_id] = estimate

    def apply_report(self, report, now):
        """Apply the field ``capacity`` of a load report."""
        for upstream_id, values in report.get("samples", {}).items():
            estimate = self.estimates_by_id.get(upstream_id)
            if estimate is None:
                estimate = self.estimates_by_id[upstream_id] = _FleetEstimate(now)
            estimate.decay(now)
            for number in range(0, len(values) - 1, 2):
                mean_s, weight = values[number : number + 2]
                if mean_s > 0 and weight > 0:
                    estimate.add(mean_s, weight, number > 0)
            estimate.detect_change()
            estimate.update_knee()

    def publish(self, ids_by_service, now):
        """Compute the values of all upstreams, and number those that have changed.

        :param ids_by_service: upstream ids by service id.
        """
        existing_ids = {i for ids in ids_by_service.values() for i in ids}
        for upstream_id in self.estimates_by_id.keys() - existing_ids:
            del self.estimates_by_id[upstream_id]
        self.speeds_by_id = {}
        changed = []
        news = False
        for service_id, ids in ids_by_service.items():
            estimates_by_id = {}
            for upstream_id in ids:
                estimate = self.estimates_by_id.get(upstream_id)
                if estimate is not None and estimate.long.total:
                    estimate.decay(now)
                    estimates_by_id[upstream_id] = estimate
            news |= self._publish_service(service_id, estimates_by_id, changed, now)
        if changed or news:
            self.version += 1
            for estimate in changed:
                estimate.version = self.version

    def _publish_service(self, service_id, estimates_by_id, changed, now):
        means = [
            estimate.long.mean_s
            for estimate in estimates_by_id.values()
            if estimate.long.weight >= MIN_MEDIAN_WEIGHT
        ]
        if not means:
            return False
        prior_s = statistics.median_low(means)
        published_s, _ = self.medians_by_service.get(service_id, (None, 0))
        news = published_s is None or _differ(published_s, prior_s)
        if news:
            published_s = _round(prior_s)
            self.medians_by_service[service_id] = (published_s, self.version + 1)
        for upstream_id, estimate in estimates_by_id.items():
            work_s = estimate.estimate(prior_s)
            if len(means) > 1:
                # With a higher knee, half of the slots do more than all.
                lost = min(2.0, estimate.knee)
                self.speeds_by_id[upstream_id] = prior_s / max(work_s, 1e-6) / lost
            values = [
                round(published_s / max(work_s, 1e-6), 2),
                round(min(estimate.long.weight, MAX_PUBLISHED_WEIGHT), 1),
            ]
            if estimate.knee >= PUBLISHED_CHANGE_RATIO:
                values.append(round(estimate.knee, 1))
            if _is_news(estimate, values, now):
                estimate.published = values
                estimate.published_at = now
                changed.append(estimate)
        return news

    def list_changes(self, known):
        """Return the field ``capacity`` of the reply to a load report, empty if there
        is no news.

        :param known: epoch and version of the last reply that the instance got.
        """
        epoch, version = known
        since = version if epoch == self.epoch else 0
        if since >= self.version:
            return {}
        upstreams = {
            upstream_id: estimate.published
            for upstream_id, estimate in self.estimates_by_id.items()
            if estimate.published is not None and estimate.version > since
        }
        medians = {
            service_id: median_s
            for service_id, (median_s, version) in self.medians_by_service.items()
            if version > since
        }
        return {
            "epoch": self.epoch,
            "version": self.version,
            "medians": medians,
            "upstreams": upstreams,
        }


def _is_news(estimate, values, now):
    """Return whether instances must be told a value. An upstream that has not been
    named counts as the median.
    """
    speed, weight, knee = [*values, 1.0][:3]
    former_speed, _, former_knee = [*(estimate.published or (1.0, 0.0)), 1.0][:3]
    if _differ(former_speed, speed, CHANGE_RATIO):
        return True
    if weight < MIN_PUBLISHED_WEIGHT and estimate.published is None:
        return False
    if now < estimate.published_at + PUBLISHED_PERIOD_S:
        return False
    return _differ(former_speed, speed) or _differ(former_knee, knee)


def _differ(former, value, ratio=PUBLISHED_CHANGE_RATIO):
    return not former / ratio <= value <= former * ratio
