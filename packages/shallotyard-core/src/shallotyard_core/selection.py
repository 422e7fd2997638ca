"""Choice of an upstream for unkeyed services."""

import math
import statistics
from collections import deque

LATENCY_WEIGHT = 0.2
STALE_LATENCY_WEIGHT = 0.5
# A failed attempt may be fast. It counts as at least this long, so that an
# upstream that refuses everything at once does not look like the best one.
MIN_FAILURE_LATENCY_S = 0.05
FAILURE_LATENCY_RATIO = 2.0
# Without a bound, a long series of failures would take as long to forget.
MAX_FAILURE_LATENCY_S = 10.0
# An upstream that loses every comparison is measured again after this time.
STALE_LATENCY_S = 3.0
# Above any latency: a second request goes to an upstream without a measured
# latency only when nothing else is left.
UNMEASURED_LATENCY_S = 1e6

OUTLIER_LATENCY_RATIO = 3.0
# A hedge starts after the 95th percentile, so its winner overtakes an attempt that
# has lasted about twice the median even when the rest is healthy.
HEDGE_LOSS_LATENCY_RATIO = 1.9
MIN_OUTLIER_SAMPLES = 10
FAILURES_UNTIL_EJECTION = 5
# The smoothed latency of an upstream that is hardly chosen any more takes many
# seconds to cross the ratio, while it is measured again and again by requests.
SLOW_UNTIL_EJECTION = 2
FIRST_EJECTION_S = 2.0
# Each end of an ejection costs every instance one slow request. Unlike a
# failed connection, slowness rarely ends within seconds.
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
        "ejection_s",
        "failures_in_row",
        "finished_at",
        "in_flight",
        "latency_s",
        "on_probation",
        "samples",
        "service",
        "slow_in_row",
    )

    def __init__(self, service):
        self.service = service
        self.in_flight = 0
        self.latency_s = None
        self.samples = 0
        self.failures_in_row = 0
        self.slow_in_row = 0
        self.finished_at = -math.inf
        self.ejected_until = -math.inf
        self.ejection_s = 0.0
        # After an ejection, one attempt decides whether the next one follows.
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
    """Latencies and requests in flight as this instance observes them."""

    __slots__ = ("_services_by_id", "_upstreams_by_id")

    def __init__(self):
        self._services_by_id = {}
        self._upstreams_by_id = {}

    def select(self, service_id, candidates, rng, now, exclude=()):
        """Choose the better of two random candidates.

        :param service_id: the service.
        :param candidates: upstream ids that may be used. A tuple that stays the
            same object between calls is cheapest.
        :param rng: a ``random.Random``.
        :param now: current time in seconds.
        :param exclude: upstream ids to leave out, for example already tried ones.
        :return: an upstream id, or None if no candidate is left.
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
            usable = _exclude(usable, exclude) or _exclude(candidates, exclude)
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
        """Count an attempt in flight.

        :param upstream_id: the upstream it goes to.
        """
        self._get_upstream_stats(upstream_id).in_flight += 1

    def record_finish(self, upstream_id, now, latency_s, ok):
        """Count an attempt that ended, and eject its upstream if it is an outlier.

        :param upstream_id: the upstream it went to.
        :param now: current time in seconds.
        :param latency_s: duration of the attempt in seconds.
        :param ok: whether a whole response arrived; false for connection failures,
            timeouts and shedding.
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
            upstream.slow_in_row += 1
        elif ok:
            upstream.slow_in_row = 0
        if upstream_id in service.ejected_by_id:
            return
        if _is_outlier(upstream, service.median_s):
            _start_ejection(service, upstream_id, upstream, now)
        elif ok:
            upstream.on_probation = False

    def eject_reported(self, service_id, upstream_ids, now):
        """Eject upstreams that their holders observe to be slow.

        One holder sees the requests of all ingress instances, so it knows before each
        of them has found out by itself.

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
            # Some ingress has tried it just now, and it is still slow.
            until = now + FIRST_SLOW_EJECTION_S
            upstream.ejected_until = max(upstream.ejected_until, until)

    def record_hedge_loss(self, upstream_id, now, waited_s):
        """Count an attempt that was given up because its hedge was faster.

        Its latency is unknown, but one that had lasted much longer than the
        median shows a slow upstream at once; a cancelled attempt adds nothing to
        the averages that would show it later.

        :param upstream_id: the upstream of the slower attempt.
        :param now: current time in seconds.
        :param waited_s: how long the attempt had lasted, in seconds.
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
        """Count an attempt that ended without telling anything of its upstream.

        :param upstream_id: the upstream a cancelled or unsent attempt was for.
        """
        upstream = self._get_upstream_stats(upstream_id)
        upstream.in_flight = max(0, upstream.in_flight - 1)

    def hedge_delay_s(self, service_id):
        """Return how long to wait for a first attempt before a second one.

        :param service_id: the service.
        :return: delay in seconds, or None while too few latencies are known.
        """
        service = self._services_by_id.get(service_id)
        return None if service is None else service.hedge_delay_s

    def is_ejected(self, upstream_id, now):
        """Return whether an upstream is ejected.

        :param upstream_id: the upstream.
        :param now: current time in seconds.
        """
        upstream = self._upstreams_by_id.get(upstream_id)
        return upstream is not None and now < upstream.ejected_until

    def retain(self, upstream_ids):
        """Forget the upstreams that no longer exist.

        :param upstream_ids: collection of those that do.
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


def _exclude(candidates, exclude):
    return [candidate for candidate in candidates if candidate not in exclude]


def _find_usable(service, candidates):
    """Return the candidates without ejected ones, at least half of them."""
    # Only tuples are remembered, because a list may change between calls.
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
    usable = tuple(_exclude(candidates, excluded))
    if is_cacheable:
        if len(usable_by_candidates_id) >= _MAX_CACHED_CANDIDATE_TUPLES:
            usable_by_candidates_id.clear()
        # The entry keeps the tuple alive, so its id is not used again.
        usable_by_candidates_id[id(candidates)] = (candidates, usable)
    return usable


def _record_latency(upstream, now, latency_s, ok):
    # What is known of an upstream that was hardly used is of little worth.
    stale = now - upstream.finished_at > STALE_LATENCY_S
    weight = STALE_LATENCY_WEIGHT if stale else LATENCY_WEIGHT
    upstream.finished_at = now
    upstream.samples += 1
    if ok:
        if upstream.failures_in_row >= FAILURES_UNTIL_EJECTION:
            upstream.latency_s = None
        upstream.failures_in_row = 0
    else:
        upstream.failures_in_row += 1
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
        if upstream.failures_in_row:
            return True
    elif upstream.failures_in_row >= FAILURES_UNTIL_EJECTION:
        return True
    elif upstream.samples < MIN_OUTLIER_SAMPLES:
        return False
    if upstream.slow_in_row >= SLOW_UNTIL_EJECTION:
        return True
    return _is_slow(upstream.latency_s, median_s)


def _start_ejection(service, upstream_id, upstream, now):
    if len(service.ejected_by_id) >= service.candidate_count // 2:
        return
    if now - upstream.ejected_until > EJECTION_BACKOFF_RESET_S:
        failing = upstream.failures_in_row > 0
        upstream.ejection_s = FIRST_EJECTION_S if failing else FIRST_SLOW_EJECTION_S
    else:
        upstream.ejection_s = min(MAX_EJECTION_S, 2 * upstream.ejection_s)
    upstream.ejected_until = now + upstream.ejection_s
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
        # Without a latency it is tried again with one request at a time.
        upstream.latency_s = None
        upstream.samples = 0
        upstream.failures_in_row = 0
        upstream.slow_in_row = 0
        upstream.on_probation = True
    service.ejection_ends_at = ejection_ends_at
    service.usable_by_candidates_id.clear()
