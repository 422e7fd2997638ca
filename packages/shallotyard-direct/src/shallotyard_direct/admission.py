"""Limits requests to upstreams by own counts and by load reports."""

import math
from collections import deque
from dataclasses import dataclass
from dataclasses import field

# Half-life of the other instances' requests in the last load report of an upstream;
# beyond this age of the report they have probably ended.
UPSTREAM_REPORT_HALF_LIFE_S = 0.25
# Half-life of the other instances' requests in the granter's last report.
GRANTER_REPORT_HALF_LIFE_S = 1.0
# With at least this multiple of its slots in flight, an upstream gets no more requests.
# Its queue is a few times as long as its slots, and when the queue is full it may never
# respond. All instances stop at once, so a lower bound leaves slots idle until the next
# report shows that there is room again.
MAX_IN_FLIGHT_PER_SLOT = 3.0
# Requests per slot beyond the slots; they keep an upstream busy while responses are in
# transit.
MAX_QUEUED_PER_SLOT = 0.5
# Requests that an instance may have in flight at an upstream regardless of the load
# reports, unless the granter has reported it as saturated.
MIN_IN_FLIGHT = 1
LATENCY_WEIGHT = 0.15
# Low, because the speed of an upstream changes rarely while the processing times of
# single requests vary.
PROCESSING_TIME_WEIGHT = 0.04
# If an upstream reports a higher slowdown with a response, the duration of the request
# does not show its usual speed.
MAX_SPEED_SAMPLE_SLOWDOWN = 1.2
SLOWDOWN_WEIGHT = 0.1
INITIAL_PAUSE_S = 0.5
MAX_PAUSE_S = 4.0
# After this many failures without a success in between, an upstream is paused.
FAILURES_UNTIL_PAUSE = 2
COLD_WINDOW_S = 1.0


@dataclass(slots=True)
class UpstreamLoad:
    """Load of one upstream as observed by this instance.

    :param in_flight: number of own requests that have no response yet.
    :param other_requests: number of requests of other instances in the last load
        report of the upstream.
    :param reported_at: time of that report, in seconds.
    :param granter_other_requests: number of requests of other instances in the last
        report of the granter.
    :param granter_reported_at: time of that report, in seconds.
    :param latency_s: smoothed latency of successful attempts, in seconds.
    :param slowdown: smoothed slowdown that the upstream reported.
    :param processing_s: smoothed processing time at the usual speed, in seconds; only
        of attempts that did not wait at the upstream.
    :param processing_samples: number of those attempts.
    :param responses: number of successful attempts.
    :param failures: number of failures since the last success.
    :param paused_until: time until which it gets no requests, in seconds.
    :param pause_s: duration of the next pause, in seconds.
    :param cold_sends: times of requests sent while it was cold, in seconds.
    """

    in_flight: int = 0
    other_requests: float = 0.0
    reported_at: float = -math.inf
    granter_other_requests: float = 0.0
    granter_reported_at: float = -math.inf
    slowdown: float = 1.0
    latency_s: float | None = None
    processing_s: float = 0.0
    processing_samples: int = 0
    responses: int = 0
    failures: int = 0
    paused_until: float = -math.inf
    pause_s: float = INITIAL_PAUSE_S
    cold_sends: deque = field(default_factory=deque)

    def record_start(self):
        """Record that a request was sent."""
        self.in_flight += 1

    def record_end(self):
        """Record that a request ended, with or without a response."""
        self.in_flight = max(0, self.in_flight - 1)

    def apply_upstream_report(self, report, now):
        """Apply a load report that arrived with a response."""
        total = report.running + report.waiting
        self.other_requests = max(0.0, total - self.in_flight)
        self.reported_at = now
        self.slowdown += SLOWDOWN_WEIGHT * (report.slowdown - self.slowdown)

    @property
    def expected_processing_s(self):
        """Return the current processing time without queueing, in seconds."""
        return self.processing_s * self.slowdown

    def record_success(self, latency_s, processing_s=None):
        """Record a response.

        :param processing_s: processing time in seconds, None if it is unknown.
        """
        if processing_s is not None:
            weight = max(PROCESSING_TIME_WEIGHT, 1 / (self.processing_samples + 1))
            self.processing_s += weight * (processing_s - self.processing_s)
            self.processing_samples += 1
        self.responses += 1
        self.failures = 0
        self.pause_s = INITIAL_PAUSE_S
        if self.latency_s is None:
            self.latency_s = latency_s
        else:
            self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)

    def record_failure(self, now):
        """Record a failure; several in a row pause the upstream."""
        self.failures += 1
        if self.failures >= FAILURES_UNTIL_PAUSE and now >= self.paused_until:
            self.pause(now)

    def forget_failures(self):
        """End the pause after failures that the upstream did not cause."""
        self.failures = 0
        self.paused_until = -math.inf
        self.pause_s = INITIAL_PAUSE_S

    def pause(self, now):
        """Pause the upstream; the pause doubles until the next success."""
        self.paused_until = now + self.pause_s
        self.pause_s = min(MAX_PAUSE_S, 2 * self.pause_s)

    def estimate_occupancy(self, now):
        """Return the number of requests at the upstream by its own reports."""
        age_s = max(0.0, now - self.reported_at)
        return self.in_flight + self.other_requests * 0.5 ** (
            age_s / UPSTREAM_REPORT_HALF_LIFE_S
        )

    def estimate_max_occupancy(self, now):
        """Return the higher of the estimates by the reports of the upstream and by
        those of the granter, which are older.
        """
        return max(
            self.estimate_occupancy(now),
            self.in_flight + self.estimate_granter_other_requests(now),
        )

    def apply_granter_count(self, total, now):
        """Apply the number of requests of all instances from the granter's report."""
        self.granter_other_requests = max(0.0, total - self.in_flight)
        self.granter_reported_at = now

    def estimate_granter_other_requests(self, now):
        """Return the number of other instances' requests by the granter's reports."""
        age_s = max(0.0, now - self.granter_reported_at)
        return self.granter_other_requests * 0.5 ** (age_s / GRANTER_REPORT_HALF_LIFE_S)


def is_speed_sample(report, slots):
    """Return whether the duration of an ended request shows the upstream's speed, as
    the request probably did not wait there. Other instances may have filled the
    upstream since its last report, and a saturated upstream must not appear slow.

    :param report: the `LoadReport` of the response, None if it had none.
    """
    if report is None:
        return True
    full = report.waiting > 0 or report.running >= slots
    return not full and report.slowdown <= MAX_SPEED_SAMPLE_SLOWDOWN


def has_room(load, slots, now, limit=None, min_in_flight=MIN_IN_FLIGHT):
    """Return whether an upstream may get one more request now. An upstream whose queue
    is full may never respond, so requests beyond the slots and a part of the queue
    wait at this instance instead.

    :param load: the `UpstreamLoad`.
    :param slots: number of requests that the upstream processes concurrently.
    :param now: current time in seconds.
    :param limit: learned limit of the requests of all instances, None without one.
    :param min_in_flight: own requests in flight up to which no limit is checked.
    """
    if now < load.paused_until:
        return False
    if load.failures >= FAILURES_UNTIL_PAUSE:
        # A single request tests whether the upstream has recovered.
        return load.in_flight == 0
    if (
        load.in_flight + load.estimate_granter_other_requests(now)
        >= slots * MAX_IN_FLIGHT_PER_SLOT
    ):
        return False
    if load.in_flight < min_in_flight:
        return True
    if limit is None:
        limit = slots * (1 + MAX_QUEUED_PER_SLOT)
    return load.estimate_occupancy(now) < limit


def compute_cold_share(rate, factor, slack, instance_count, rank):
    """Return how many requests an instance may send to a cold upstream per second. The
    sum over all instances stays within the tolerated rate, also if every instance
    sends its share at the same moment.

    :param rate: maximum requests per second of the upstream while it is cold.
    :param factor: tolerated multiple of the rate.
    :param slack: requests per second tolerated in addition.
    :param instance_count: number of instances that may send.
    :param rank: index of this instance among them, from 0.
    :return: maximum number of requests in any period of one second.
    """
    bound = int(rate * factor + slack) - 1
    share, rest = divmod(bound, max(1, instance_count))
    return share + (1 if rank < rest else 0)


def is_within_cold_share(load, share, now):
    """Return whether a cold upstream may get one more request now.

    :param share: requests that this instance may send in `COLD_WINDOW_S`.
    """
    sends = load.cold_sends
    while sends and sends[0] <= now - COLD_WINDOW_S:
        sends.popleft()
    return len(sends) < share
