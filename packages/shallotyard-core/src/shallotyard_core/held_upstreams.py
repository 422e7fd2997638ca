"""State of the upstreams that this instance holds."""

import math
from collections import Counter
from dataclasses import dataclass
from dataclasses import field

from shallotyard_core.admission import Admission
from shallotyard_core.effects import PollUpstream
from shallotyard_core.messages import UpstreamReport
from shallotyard_core.timing import DEAD_AFTER_S
from shallotyard_core.timing import DRIFT

RATE_WINDOW_S = 2.0
MAX_HOT_POSITIONS_REPORTED = 8
LATENCY_WEIGHT = 0.1
# The smoothed latency takes ten responses to reflect a fivefold increase; a run of
# consecutive slow responses indicates it earlier.
SLOW_RUN_RATIO = 3.0
SLOW_RUN_RESPONSES = 3
# Below this latency, CPU contention on the machine alone can exceed `SLOW_RUN_RATIO`.
MIN_SLOW_RUN_LATENCY_S = 0.05
# Slow responses of other upstreams within this time indicate CPU contention on the
# machine instead of a slow upstream.
SLOW_WINDOW_S = 2.0
# Without this bound, a single pause of one second would triple an average of 50 ms.
MAX_SAMPLE_RATIO = 5.0
# Longer than the daemon keeps an idle connection open.
FRESH_CONNECTIONS_S = 6.0
# Positions with fewer requests per second are not reported as hot, because rates below
# this one are noise.
MIN_HOT_REPORT_RATE = 5.0
# Health reports lag, so one that says "serving" this soon after a restart may
# describe the process before the restart.
HEALTH_LAG_S = 1.0


@dataclass(slots=True)
class SlowRun:
    """Consecutive slow responses of one upstream.

    :param baseline_s: smoothed latency before the first slow response, in seconds.
    :param count: number of slow responses.
    :param first_ended_at: time at which the first of them arrived, in seconds.
    :param min_latency_s: lowest latency among them, in seconds.
    """

    baseline_s: float
    count: int = 0
    first_ended_at: float = 0.0
    min_latency_s: float = math.inf

    @classmethod
    def from_first_response(cls, baseline_s, latency_s, sent_at):
        """Return an empty run whose first slow response arrives at the given time.

        :param baseline_s: smoothed latency before the response, in seconds.
        :param latency_s: latency of the response in seconds.
        :param sent_at: time at which its request was sent, in seconds.
        """
        return cls(baseline_s, 0, sent_at + latency_s)

    def add(self, latency_s, sent_at):
        """Count a slow response and tell whether the run indicates a slow upstream.

        A single pause of a process delays all requests in flight. Only a request that
        was sent after the first slow response arrived indicates that the upstream is
        still slow.

        :param latency_s: latency of the response in seconds.
        :param sent_at: time at which its request was sent, in seconds.
        """
        self.count += 1
        self.min_latency_s = min(self.min_latency_s, latency_s)
        return self.count >= SLOW_RUN_RESPONSES and sent_at >= self.first_ended_at


@dataclass(slots=True)
class HeldUpstream:
    """State of one held upstream, created when this instance gets the claim on it.

    :param upstream: the upstream in the deployment.
    :param service: its service in the deployment.
    :param admission: concurrency limit and queue.
    :param calls: calls with an attempt in flight, by call id.
    :param unresolved_attempts_by_id: attempts of unknown outcome by call id.
    :param suspects: (time, call) of the attempts that ended without a response since
        the upstream last responded to a poll; one of them may have crashed it.
    :param state: state in its last poll response.
    :param clock_ms: the upstream's clock in its last poll response, in milliseconds.
    :param clock_at: local time at which that response arrived, in seconds.
    :param last_response_at: time of the last response to a poll or request.
    :param polled_at: time of the last poll, minus infinity to poll at once.
    :param poll_outstanding: whether a poll is in progress.
    :param fresh_connections_until: time in seconds until which only new connections
        are used.
    :param granted_epochs: acknowledged epochs by claim id.
    :param revoked_claim_ids: claim ids whose revocation the upstream has not confirmed.
    :param restarted_at: time at which a restart was last detected, in seconds.
    :param latency_s: smoothed latency in seconds, 0 before the first response.
    :param rate: responses per second in the last window.
    :param slow_run: current run of slow responses, ``None`` if the last was not slow.
    :param last_slow_at: time at which the last slow response arrived, in seconds.
    :param count_by_position: requests per 16-bit position in the current window.
    :param hot_rates: requests per second of the hottest positions.
    :param finished_count: number of responses in the current window.
    :param window_started_at: start of the current window, in seconds.
    """

    upstream: object
    service: object
    admission: Admission
    calls: dict = field(default_factory=dict)
    unresolved_attempts_by_id: dict = field(default_factory=dict)
    suspects: list = field(default_factory=list)
    boot_id: str = ""
    state: str = "unknown"
    clock_ms: float = 0.0
    clock_at: float = 0.0
    last_response_at: float = 0.0
    polled_at: float = float("-inf")
    poll_outstanding: bool = False
    fresh_connections_until: float = float("-inf")
    granted_epochs: dict[str, int] = field(default_factory=dict)
    revoked_claim_ids: set[str] = field(default_factory=set)
    restarted_at: float = float("-inf")
    latency_s: float = 0.0
    rate: float = 0.0
    slow_run: SlowRun | None = None
    last_slow_at: float = float("-inf")
    count_by_position: Counter = field(default_factory=Counter)
    hot_rates: dict[int, float] = field(default_factory=dict)
    finished_count: int = 0
    window_started_at: float = 0.0

    @classmethod
    def from_config(cls, upstream, service, now):
        """Create the state of an upstream that has not been polled yet.

        :param upstream: the upstream in the deployment.
        :param service: its service in the deployment.
        :param now: current time in seconds.
        """
        return cls(
            upstream,
            service,
            Admission.from_config(service, now),
            last_response_at=now,
            window_started_at=now,
        )

    @property
    def is_clock_known(self):
        """Tell whether local times can be converted to the upstream's clock."""
        return self.boot_id != ""

    def to_upstream_clock_ms(self, local_s):
        """Return a lower bound in ms on the upstream's clock at a local time.

        The response with the clock reading was sent before it arrived here, so the
        upstream's clock at `clock_at` was at least `clock_ms`.

        :param local_s: local time in seconds, not before `clock_at`.
        """
        elapsed_s = max(0.0, local_s - self.clock_at)
        return self.clock_ms + elapsed_s * (1 - DRIFT) * 1000.0

    def set_cold_from_poll(self, state, is_current, sent_at):
        """Keep the limit at the cold slots while the upstream may be cold.

        :param state: the state in a poll response.
        :param is_current: whether the state is current; that of a health check may lag,
            that of an accepted grant does not.
        :param sent_at: local time at which the poll was sent, in seconds.
        """
        if state == "cold":
            self.admission.cold = True
        elif is_current or sent_at >= self.restarted_at + HEALTH_LAG_S:
            self.admission.cold = False

    def get_reported_state(self, now):
        """Return the state to report to the coordinators."""
        if now - self.last_response_at > DEAD_AFTER_S:
            return "dead"
        return self.state if self.state in ("draining", "cold") else "serving"

    def require_fresh_connections(self, now):
        """Use new connections until those that are idle now have been closed.

        After a call without a response, the other idle connections may be broken too.
        """
        self.fresh_connections_until = now + FRESH_CONNECTIONS_S

    def record_latency(self, latency_s, sent_at):
        """Record the latency of a complete response.

        :param latency_s: the latency in seconds.
        :param sent_at: when the request was sent, in seconds.
        :return: whether a run of slow responses indicates a slow upstream that the
            smoothed latency does not reflect yet.
        """
        self.finished_count += 1
        if self.latency_s == 0.0:
            self.latency_s = latency_s
        is_slow = self._extend_slow_run(latency_s, sent_at)
        sample_s = min(latency_s, MAX_SAMPLE_RATIO * self.latency_s)
        self.latency_s += (sample_s - self.latency_s) * LATENCY_WEIGHT
        return is_slow

    def _extend_slow_run(self, latency_s, sent_at):
        run = self.slow_run
        baseline_s = run.baseline_s if run else self.latency_s
        if latency_s <= max(MIN_SLOW_RUN_LATENCY_S, SLOW_RUN_RATIO * baseline_s):
            self.slow_run = None
            return False
        self.last_slow_at = sent_at + latency_s
        if run is None:
            run = self.slow_run = SlowRun.from_first_response(
                baseline_s, latency_s, sent_at
            )
        return run.add(latency_s, sent_at) and self.latency_s < run.min_latency_s

    def apply_slow_run(self):
        """Raise the smoothed latency to the lowest latency of the slow run."""
        self.latency_s = max(self.latency_s, self.slow_run.min_latency_s)

    def count_position(self, position):
        """Count a request for a 16-bit position."""
        self.count_by_position[position] += 1

    def update_rates(self, now):
        """Compute the rates and reset the counters, once per window."""
        elapsed_s = now - self.window_started_at
        if elapsed_s < RATE_WINDOW_S:
            return
        self.rate = self.finished_count / elapsed_s
        self.hot_rates = {
            position: count / elapsed_s
            for position, count in self.count_by_position.most_common(
                MAX_HOT_POSITIONS_REPORTED
            )
            if count / elapsed_s >= MIN_HOT_REPORT_RATE
        }
        self.finished_count = 0
        self.count_by_position.clear()
        self.window_started_at = now

    def build_report(self, now):
        """Return the upstream report for the coordinators."""
        return UpstreamReport(
            self.upstream.id,
            self.get_reported_state(now),
            self.admission.in_flight,
            self.admission.limit,
            self.latency_s,
            self.rate,
            0.0,
            {self.service.id: self.hot_rates} if self.hot_rates else {},
        )


def build_poll(held_upstream, epochs, lease_until, now):
    """Return the effect that renews the grants of an upstream or checks its health.

    :param held_upstream: the `HeldUpstream`.
    :param epochs: epochs of the started claims by claim id.
    :param lease_until: end of the lease in seconds.
    :param now: current time in seconds.
    """
    fresh = now < held_upstream.fresh_connections_until
    grants = held_upstream.service.checks_grants and held_upstream.is_clock_known
    if not grants:
        return PollUpstream(
            held_upstream.upstream.id,
            held_upstream.upstream.address,
            False,
            fresh=fresh,
        )
    return PollUpstream(
        held_upstream.upstream.id,
        held_upstream.upstream.address,
        True,
        boot_id=held_upstream.boot_id,
        expires_at_ms=held_upstream.to_upstream_clock_ms(lease_until),
        epochs=epochs,
        revoked=tuple(sorted(held_upstream.revoked_claim_ids)),
        fresh=fresh,
    )
