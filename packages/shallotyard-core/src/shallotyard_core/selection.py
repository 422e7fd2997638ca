"""Selection of upstreams for unkeyed requests.

Uses the power of two random choices by latency and requests in flight, and outlier
ejection.
"""

import math
import statistics
from collections import deque

LATENCY_WEIGHT = 0.2
STALE_LATENCY_WEIGHT = 0.5
# A failed attempt may be fast. It counts as taking at least this long, so that an
# upstream that refuses every request at once does not have the lowest latency.
MIN_FAILURE_LATENCY_S = 0.05
FAILURE_LATENCY_RATIO = 2.0
# Without this bound, the effect of a long series of failures would last as long as
# the series.
MAX_FAILURE_LATENCY_S = 10.0
# An upstream that is never selected because of its latency is measured again after
# this time.
STALE_LATENCY_S = 3.0
# Higher than any latency, so that an upstream without a measured latency gets a
# second request only if there is no other candidate.
UNMEASURED_LATENCY_S = 1e6

OUTLIER_LATENCY_RATIO = 3.0
# A hedge is sent after the 95th percentile of the latencies. If it wins, the first
# attempt has lasted about twice the median even if all other upstreams are healthy.
HEDGE_LOSS_LATENCY_RATIO = 1.9
MIN_OUTLIER_SAMPLES = 10
FAILURES_UNTIL_EJECTION = 5
# The smoothed latency of an upstream that is rarely selected takes many seconds to
# exceed the ratio, while requests keep being sent to it to measure it again.
SLOW_RESPONSES_UNTIL_EJECTION = 2
FIRST_EJECTION_S = 2.0
# After each ejection, every instance sends the upstream a request that may be slow.
# Unlike connection failures, high latency rarely ends within seconds.
FIRST_SLOW_EJECTION_S = 10.0
MAX_EJECTION_S = 60.0
EJECTION_BACKOFF_RESET_S = 60.0
MEDIAN_PERIOD_S = 0.25

HEDGE_SAMPLES = 256
MIN_HEDGE_SAMPLES = 50
HEDGE_PERCENTILE = 95
HEDGE_REFRESH_SAMPLES = 32
MIN_HEDGE_DELAY_S = 0.002

_MAX_CACHED_CANDIDATE_TUPLES = 16


class _UpstreamStats:
    __slots__ = (
        "ejected_until",
        "ejection_duration_s",
        "consecutive_failures",
        "finished_at",
        "in_flight",
        "latency_s",
        "on_probation",
        "sample_count",
        "service",
        "consecutive_slow_responses",
    )

    def __init__(self, service):
        self.service = service
        self.in_flight = 0
        self.latency_s = None
        self.sample_count = 0
        self.consecutive_failures = 0
        self.consecutive_slow_responses = 0
        self.finished_at = -math.inf
        self.ejected_until = -math.inf
        self.ejection_duration_s = 0.0
        # After an ejection, the result of one attempt decides on the next ejection.
        self.on_probation = False


class _ServiceStats:
    __slots__ = (
        "candidate_count",
        "ejected_by_id",
        "ejection_ends_at",
        "hedge_delay_s",
        "latencies_s",
        "median_due_at",
        "median_s",
        "usable_by_candidates_id",
        "samples_until_refresh",
        "upstreams_by_id",
    )

    def __init__(self):
        self.upstreams_by_id = {}
        self.candidate_count = 0
        self.ejected_by_id = {}
        self.ejection_ends_at = math.inf
        self.usable_by_candidates_id = {}
        self.median_s = None
        self.median_due_at = -math.inf
        self.latencies_s = deque(maxlen=HEDGE_SAMPLES)
        self.hedge_delay_s = None
        self.samples_until_refresh = MIN_HEDGE_SAMPLES


class Selector:
    """Selects upstreams by statistics that this ingress instance collects."""

    __slots__ = ("_services_by_id", "_upstreams_by_id")

    def __init__(self):
        self._services_by_id = {}
        self._upstreams_by_id = {}

    def select(self, service_id, candidates, rng, now, exclude=()):
        """Select the candidate with the lower cost out of two random ones.

        :param service_id: id of the service.
        :param candidates: ids of the upstreams that may be used. Results are cached
            for a tuple that is the same object in several calls.
        :param rng: a ``random.Random``.
        :param now: current time in seconds.
        :param exclude: ids of upstreams to exclude, for example those that have failed.
        :return: an upstream id, ``None`` if no candidate is left.
        """
        service = self._services_by_id.get(service_id)
        if service is None:
            service = self._services_by_id[service_id] = _ServiceStats()
        service.candidate_count = len(candidates)
        usable = candidates
        if service.ejected_by_id:
            if now >= service.ejection_ends_at:
                _end_ejections(service, now)
            usable = _find_usable(service, candidates)
        if exclude:
            usable = _remove_excluded(usable, exclude) or _remove_excluded(
                candidates, exclude
            )
        count = len(usable)
        if count == 0:
            return None
        first = int(rng.random() * count)
        first_id = usable[first]
        first_upstream = self._get_upstream_stats(first_id, service)
        if count == 1:
            return first_id
        second = int(rng.random() * (count - 1))
        second_id = usable[second if second < first else second + 1]
        first_cost = _compute_cost(first_upstream, now)
        second_cost = _compute_cost(self._get_upstream_stats(second_id, service), now)
        return first_id if first_cost <= second_cost else second_id

    def record_start(self, upstream_id):
        """Record that an attempt was started.

        :param upstream_id: upstream of the attempt.
        """
        self._get_upstream_stats(upstream_id).in_flight += 1

    def record_finish(self, upstream_id, now, latency_s, ok):
        """Record that an attempt ended, and eject its upstream if it is an outlier.

        :param upstream_id: upstream of the attempt.
        :param now: current time in seconds.
        :param latency_s: duration of the attempt in seconds.
        :param ok: whether a complete response arrived; false for connection failures,
            timeouts and load shedding.
        """
        upstream = self._get_upstream_stats(upstream_id)
        upstream.in_flight = max(0, upstream.in_flight - 1)
        _record_latency(upstream, now, latency_s, ok)
        service = upstream.service
        if service is None:
            return
        if ok:
            _record_hedge_sample(service, latency_s)
        if now >= service.median_due_at:
            service.median_due_at = now + MEDIAN_PERIOD_S
            service.median_s = _compute_median_latency_s(service)
        if _is_slow(latency_s, service.median_s):
            upstream.consecutive_slow_responses += 1
        elif ok:
            upstream.consecutive_slow_responses = 0
        if upstream_id in service.ejected_by_id:
            return
        if _is_outlier(upstream, service.median_s):
            _start_ejection(service, upstream_id, upstream, now)
        elif ok:
            upstream.on_probation = False

    def eject_reported(self, service_id, upstream_ids, now):
        """Eject upstreams that their holders observe to be slow.

        A holder sees the requests of all ingress instances, so it detects a slow
        upstream earlier than each of them.

        :param service_id: the service.
        :param upstream_ids: ids of the slow upstreams.
        :param now: current time in seconds.
        """
        service = self._services_by_id.get(service_id)
        if service is None or not service.candidate_count:
            return
        for upstream_id in upstream_ids:
            upstream = self._get_upstream_stats(upstream_id, service)
            if upstream_id not in service.ejected_by_id:
                _start_ejection(service, upstream_id, upstream, now)
                continue
            # Some ingress instance has just used it, and it is still slow.
            until = now + FIRST_SLOW_EJECTION_S
            upstream.ejected_until = max(upstream.ejected_until, until)

    def record_hedge_loss(self, upstream_id, now, waited_s):
        """Record that an attempt was cancelled because its hedge was faster.

        The latency of the attempt is unknown. If it lasted much longer than the
        median, the upstream is ejected at once, because the cancelled attempt does not
        contribute to the averages that would reveal a slow upstream later.

        :param upstream_id: upstream of the cancelled attempt.
        :param now: current time in seconds.
        :param waited_s: duration of the attempt until then, in seconds.
        """
        self.record_cancellation(upstream_id)
        upstream = self._get_upstream_stats(upstream_id)
        service = upstream.service
        if service is None or service.median_s is None:
            return
        is_ejected = upstream_id in service.ejected_by_id
        if not is_ejected and waited_s > HEDGE_LOSS_LATENCY_RATIO * service.median_s:
            _start_ejection(service, upstream_id, upstream, now)

    def record_cancellation(self, upstream_id):
        """Record that an attempt was cancelled or not sent.

        It counts neither as a success nor as a failure.

        :param upstream_id: upstream of the attempt.
        """
        upstream = self._get_upstream_stats(upstream_id)
        upstream.in_flight = max(0, upstream.in_flight - 1)

    def get_hedge_delay_s(self, service_id):
        """Return the delay between a first attempt and its hedge.

        :param service_id: id of the service.
        :return: delay in seconds, ``None`` while too few latencies are known.
        """
        service = self._services_by_id.get(service_id)
        return None if service is None else service.hedge_delay_s

    def is_ejected(self, upstream_id, now):
        """Tell whether an upstream is ejected.

        :param upstream_id: id of the upstream.
        :param now: current time in seconds.
        """
        upstream = self._upstreams_by_id.get(upstream_id)
        return upstream is not None and now < upstream.ejected_until

    def retain(self, upstream_ids):
        """Remove the statistics of upstreams that no longer exist.

        :param upstream_ids: ids of the existing upstreams.
        """
        for upstream_id in self._upstreams_by_id.keys() - set(upstream_ids):
            service = self._upstreams_by_id.pop(upstream_id).service
            if service is not None:
                del service.upstreams_by_id[upstream_id]
                service.ejected_by_id.pop(upstream_id, None)
                service.usable_by_candidates_id.clear()

    def _get_upstream_stats(self, upstream_id, service=None):
        upstream = self._upstreams_by_id.get(upstream_id)
        if upstream is None:
            upstream = self._upstreams_by_id[upstream_id] = _UpstreamStats(service)
        if service is not None and upstream_id not in service.upstreams_by_id:
            upstream.service = service
            service.upstreams_by_id[upstream_id] = upstream
        return upstream


def _compute_cost(upstream, now):
    in_flight = upstream.in_flight
    latency_s = upstream.latency_s
    if latency_s is None:
        return UNMEASURED_LATENCY_S * in_flight
    if in_flight == 0 and now - upstream.finished_at > STALE_LATENCY_S:
        return 0.0
    return (in_flight + 1) * latency_s


def _remove_excluded(candidates, exclude):
    return [candidate for candidate in candidates if candidate not in exclude]


def _find_usable(service, candidates):
    """Return the candidates that are not ejected, but at least half of all.

    If more are ejected, those whose ejection ends first are included.
    """
    # Only tuples are cached, because a list may change between calls.
    is_cacheable = type(candidates) is tuple
    usable_by_candidates_id = service.usable_by_candidates_id
    if is_cacheable:
        cached = usable_by_candidates_id.get(id(candidates))
        if cached is not None and cached[0] is candidates:
            return cached[1]
    ejected_by_id = service.ejected_by_id
    ejected = [candidate for candidate in candidates if candidate in ejected_by_id]
    ejected.sort(key=lambda candidate: ejected_by_id[candidate].ejected_until)
    excluded = set(ejected[len(ejected) - min(len(ejected), len(candidates) // 2) :])
    usable = tuple(_remove_excluded(candidates, excluded))
    if is_cacheable:
        if len(usable_by_candidates_id) >= _MAX_CACHED_CANDIDATE_TUPLES:
            usable_by_candidates_id.clear()
        # The entry keeps a reference to the tuple, so its id is not reused.
        usable_by_candidates_id[id(candidates)] = (candidates, usable)
    return usable


def _record_latency(upstream, now, latency_s, ok):
    # The smoothed latency of an upstream that was not used recently is unreliable.
    stale = now - upstream.finished_at > STALE_LATENCY_S
    weight = STALE_LATENCY_WEIGHT if stale else LATENCY_WEIGHT
    upstream.finished_at = now
    upstream.sample_count += 1
    if ok:
        if upstream.consecutive_failures >= FAILURES_UNTIL_EJECTION:
            upstream.latency_s = None
        upstream.consecutive_failures = 0
    else:
        upstream.consecutive_failures += 1
        penalty_s = FAILURE_LATENCY_RATIO * (upstream.latency_s or 0.0)
        penalty_s = min(penalty_s, MAX_FAILURE_LATENCY_S)
        latency_s = max(latency_s, MIN_FAILURE_LATENCY_S, penalty_s)
    if upstream.latency_s is None:
        upstream.latency_s = latency_s
    else:
        upstream.latency_s += weight * (latency_s - upstream.latency_s)


def _record_hedge_sample(service, latency_s):
    service.latencies_s.append(latency_s)
    service.samples_until_refresh -= 1
    if service.samples_until_refresh <= 0:
        service.samples_until_refresh = HEDGE_REFRESH_SAMPLES
        latencies_s = sorted(service.latencies_s)
        rank = math.ceil(len(latencies_s) * HEDGE_PERCENTILE / 100) - 1
        service.hedge_delay_s = max(MIN_HEDGE_DELAY_S, latencies_s[rank])


def _compute_median_latency_s(service):
    latencies_s = [
        upstream.latency_s
        for upstream in service.upstreams_by_id.values()
        if upstream.latency_s is not None
    ]
    return statistics.median(latencies_s) if latencies_s else None


def _is_slow(latency_s, median_s):
    return median_s is not None and latency_s > OUTLIER_LATENCY_RATIO * median_s


def _is_outlier(upstream, median_s):
    if upstream.on_probation:
        if upstream.consecutive_failures:
            return True
    elif upstream.consecutive_failures >= FAILURES_UNTIL_EJECTION:
        return True
    elif upstream.sample_count < MIN_OUTLIER_SAMPLES:
        return False
    if upstream.consecutive_slow_responses >= SLOW_RESPONSES_UNTIL_EJECTION:
        return True
    return _is_slow(upstream.latency_s, median_s)


def _start_ejection(service, upstream_id, upstream, now):
    if len(service.ejected_by_id) >= service.candidate_count // 2:
        return
    if now - upstream.ejected_until > EJECTION_BACKOFF_RESET_S:
        failing = upstream.consecutive_failures > 0
        upstream.ejection_duration_s = (
            FIRST_EJECTION_S if failing else FIRST_SLOW_EJECTION_S
        )
    else:
        upstream.ejection_duration_s = min(
            MAX_EJECTION_S, 2 * upstream.ejection_duration_s
        )
    upstream.ejected_until = now + upstream.ejection_duration_s
    service.ejected_by_id[upstream_id] = upstream
    service.ejection_ends_at = min(service.ejection_ends_at, upstream.ejected_until)
    service.usable_by_candidates_id.clear()


def _end_ejections(service, now):
    ejection_ends_at = math.inf
    for upstream_id, upstream in list(service.ejected_by_id.items()):
        if upstream.ejected_until > now:
            ejection_ends_at = min(ejection_ends_at, upstream.ejected_until)
            continue
        del service.ejected_by_id[upstream_id]
        # Without a latency, it gets one request at a time until it is measured.
        upstream.latency_s = None
        upstream.sample_count = 0
        upstream.consecutive_failures = 0
        upstream.consecutive_slow_responses = 0
        upstream.on_probation = True
    service.ejection_ends_at = ejection_ends_at
    service.usable_by_candidates_id.clear()
