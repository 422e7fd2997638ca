"""How many requests an upstream gets, from own counts and its load reports."""

import math
from collections import deque
from dataclasses import dataclass
from dataclasses import field

# Requests of others beyond this age of a report have probably ended.
UPSTREAM_REPORT_HALF_LIFE_S = 0.25
# What the granter told of the requests of all instances counts half after this time.
GRANTER_REPORT_HALF_LIFE_S = 1.0
# With more than this multiple of its slots in flight, an upstream gets nothing. Its
# queue is a few times as long as its slots, and when it is full it may never respond.
# All instances stop at once, so a lower bound leaves its slots idle until they hear
# that it has room again.
MAX_IN_FLIGHT_PER_SLOT = 3.0
# Requests beyond the slots that keep an upstream busy while responses travel.
MAX_QUEUED_PER_SLOT = 0.5
# Requests that an instance may have in flight at an upstream, whatever the load
# reports say, unless the granter has reported it as saturated.
MIN_IN_FLIGHT = 1
LATENCY_WEIGHT = 0.15
# The speed of an upstream changes rarely, and the work of single requests varies.
WORK_TIME_WEIGHT = 0.04
# Work that took longer than this multiple of the usual time, as the upstream told,
# says nothing of its own speed.
MAX_SAMPLE_SLOWDOWN = 1.2
SLOWDOWN_WEIGHT = 0.1
INITIAL_PAUSE_S = 0.5
MAX_PAUSE_S = 4.0
# After this many failures without a success in between, an upstream pauses.
FAILURES_UNTIL_PAUSE = 2
COLD_WINDOW_S = 1.0


@dataclass(slots=True)
class UpstreamLoad:
    """What this instance has observed of one upstream.

    :param in_flight: own requests without a response yet.
    :param other_requests: requests of other instances when it last reported.
    :param reported_at: time of that report, in seconds.
    :param granter_other_requests: requests of other instances as the granter told.
    :param granter_reported_at: time of that, in seconds.
    :param latency_s: smoothed duration of successful attempts.
    :param slowdown: smoothed duration of work relative to the usual one, as told.
    :param work_s: smoothed duration of attempts that did not wait at the upstream,
        at its usual speed.
    :param work_samples: number of those attempts.
    :param failures: failures since the last success.
    :param paused_until: time until which it gets no requests.
    :param cold_sends: times of requests sent while it was cold.
    """

    in_flight: int = 0
    other_requests: float = 0.0
    reported_at: float = -math.inf
    granter_other_requests: float = 0.0
    granter_reported_at: float = -math.inf
    slowdown: float = 1.0
    latency_s: float | None = None
    work_s: float = 0.0
    work_samples: int = 0
    failures: int = 0
    paused_until: float = -math.inf
    pause_s: float = INITIAL_PAUSE_S
    cold_sends: deque = field(default_factory=deque)

    def record_start(self):
        """Count a request sent."""
        self.in_flight += 1

    def record_end(self):
        """Count a request that ended in whichever way."""
        self.in_flight = max(0, self.in_flight - 1)

    def apply_upstream_report(self, report, now):
        """Use a load report that came with the response of an ended request."""
        total = report.running + report.waiting
        self.other_requests = max(0.0, total - self.in_flight)
        self.reported_at = now
        self.slowdown += SLOWDOWN_WEIGHT * (report.slowdown - self.slowdown)

    @property
    def expected_work_s(self):
        """Return how long work takes there at present, without waiting."""
        return self.work_s * self.slowdown

    def record_success(self, latency_s, work_s=None):
        """Count a response.

        :param work_s: time that the upstream worked, None if it is unknown.
        """
        if work_s is not None:
            weight = max(WORK_TIME_WEIGHT, 1 / (self.work_samples + 1))
            self.work_s += weight * (work_s - self.work_s)
            self.work_samples += 1
        self.failures = 0
        self.pause_s = INITIAL_PAUSE_S
        if self.latency_s is None:
            self.latency_s = latency_s
        else:
            self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)

    def record_failure(self, now):
        """Count a failure; several in a row pause the upstream."""
        self.failures += 1
        if self.failures >= FAILURES_UNTIL_PAUSE and now >= self.paused_until:
            self.pause(now)

    def pause(self, now):
        """Send nothing for a while, longer after each time without a success."""
        self.paused_until = now + self.pause_s
        self.pause_s = min(MAX_PAUSE_S, 2 * self.pause_s)

    def estimate_occupancy(self, now):
        """Return the estimated number of requests at the upstream."""
        age_s = max(0.0, now - self.reported_at)
        return self.in_flight + self.other_requests * 0.5 ** (
            age_s / UPSTREAM_REPORT_HALF_LIFE_S
        )

    def estimate_max_occupancy(self, now):
        """Return the same, also from what the granter told, which is older."""
        return max(
            self.estimate_occupancy(now),
            self.in_flight + self.estimate_granter_other_requests(now),
        )

    def apply_granter_count(self, total, now):
        """Use the number of requests of all instances."""
        self.granter_other_requests = max(0.0, total - self.in_flight)
        self.granter_reported_at = now

    def estimate_granter_other_requests(self, now):
        """Return the estimated number of requests of others, as the granter told."""
        age_s = max(0.0, now - self.granter_reported_at)
        return self.granter_other_requests * 0.5 ** (age_s / GRANTER_REPORT_HALF_LIFE_S)


def is_speed_sample(report, slots):
    """Return whether a request that just ended probably did not wait.

    Others may have filled the upstream since its last report, and a saturated
    upstream must not look slow.

    :param report: the `LoadReport` of its response, None if it had none.
    """
    if report is None:
        return True
    full = report.waiting > 0 or report.running >= slots
    return not full and report.slowdown <= MAX_SAMPLE_SLOWDOWN


def has_room(load, slots, now):
    """Return whether an upstream should get one more request now.

    Answers overload: an upstream whose queue is full may never respond, so a
    request beyond the slots and a part of the queue waits here instead.

    :param load: the `UpstreamLoad`.
    :param slots: requests that the upstream processes at the same time.
    :param now: current time in seconds.
    """
    if now < load.paused_until:
        return False
    if load.failures >= FAILURES_UNTIL_PAUSE:
        # One request finds out whether it is back.
        return load.in_flight == 0
    if (
        load.in_flight + load.estimate_granter_other_requests(now)
        >= slots * MAX_IN_FLIGHT_PER_SLOT
    ):
        return False
    if load.in_flight < MIN_IN_FLIGHT:
        return True
    return load.estimate_occupancy(now) < slots * (1 + MAX_QUEUED_PER_SLOT)


def compute_cold_share(rate, factor, slack, instance_count, rank):
    """Return how many requests an instance may send to a cold upstream.

    The sum over all instances stays within what the upstream bears, also when
    every instance sends its share at the same moment.

    :param rate: requests per second that the upstream bears while cold.
    :param factor: tolerated multiple of the rate.
    :param slack: requests tolerated on top, per second.
    :param instance_count: number of instances that may send.
    :param rank: place of this instance among them for this upstream, from 0.
    :return: requests in any one second.
    """
    bound = int(rate * factor + slack) - 1
    share, rest = divmod(bound, max(1, instance_count))
    return share + (1 if rank < rest else 0)


def has_cold_room(load, share, now):
    """Return whether a cold upstream may get a request.

    :param share: requests that this instance may send in `COLD_WINDOW_S`.
    """
    sends = load.cold_sends
    while sends and sends[0] <= now - COLD_WINDOW_S:
        sends.popleft()
    return len(sends) < share
