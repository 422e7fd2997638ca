"""Records the responses of a load run and builds its report."""

import collections
from dataclasses import dataclass

import orjson


@dataclass
class LoadReport:
    """Result of a load run; latencies include only requests that succeeded.

    :param statuses: attempts by HTTP status or by failure: ``timeout``,
        ``refused``, ``reset`` or ``malformed``.
    :param mismatched: successful responses that do not match their request.
    :param imbalance_by_path: largest number of executions of an upstream divided
        by the mean.
    :param keys_unavailable: number of keys that were unavailable for a time.
    :param unavailable_s_by_key: longest time in seconds from a first failure to
        the next success, by path and key; keys without failures are left out.
    """

    duration_s: float
    requests: int
    succeeded: int
    attempts: int
    requests_per_s: float
    p50_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float
    statuses: dict
    verdicts: dict
    mismatched: int
    imbalance_by_path: dict
    executions_by_path: dict
    owner_changes: int
    keys_seen: int
    max_unavailable_s: float
    keys_unavailable: int
    keys_unavailable_at_end: int
    unavailable_s_by_key: dict


class Recorder:
    """Counts of one load run.

    :param histogram: ``HdrHistogram`` of latencies in microseconds.
    """

    def __init__(self, histogram):
        self._histogram = histogram
        self._requests = 0
        self._succeeded = 0
        self._attempts = 0
        self._mismatched = 0
        self._owner_changes = 0
        self._statuses = collections.Counter()
        self._verdicts = collections.Counter()
        self._executions_by_path = collections.defaultdict(collections.Counter)
        self._owners_by_key = {}
        self._failed_since_by_key = {}
        self._unavailable_s_by_key = {}

    def record_latency(self, latency_s, succeeded):
        """Record a request after its last attempt.

        :param latency_s: seconds from the time it was due until its end.
        :param succeeded: whether the last attempt succeeded.
        """
        self._requests += 1
        if succeeded:
            self._succeeded += 1
            self._histogram.record_value(max(int(latency_s * 1e6), 1))

    def record_attempt(self, request, response, now, repeated=False):
        """Record one attempt.

        :param request: the request sent.
        :param response: the response, or the name of a failure.
        :param now: end of the attempt, in seconds of the monotonic clock.
        :param repeated: whether the load tool sent the request before; the
            response may then be the stored one of an earlier attempt.
        :return: whether it succeeded.
        """
        self._attempts += 1
        if isinstance(response, str):
            self._statuses[response] += 1
            self._verdicts["none"] += 1
            succeeded = False
        else:
            self._statuses[str(response.status)] += 1
            self._verdicts[response.verdict] += 1
            succeeded = 200 <= response.status < 300
        if succeeded:
            self._check_response(request, response, repeated)
        if request.key:
            self._record_availability((request.path, request.key), succeeded, now)
        return succeeded

    def _check_response(self, request, response, repeated):
        try:
            value = orjson.loads(response.body)
            # The id sent to an upstream may have an attempt number appended to the id
            # that the router returns to the caller.
            has_matching_id = value["request_id"].startswith(response.request_id)
            is_mismatched = (
                not (has_matching_id or repeated)
                or value["key"] != request.key
                or value["query"] != request.query
            )
            upstream = value["upstream"]
        except (AttributeError, KeyError, TypeError, ValueError):
            self._mismatched += 1
            return
        if is_mismatched:
            self._mismatched += 1
            return
        self._executions_by_path[request.path][upstream] += 1
        if request.key:
            key = (request.path, request.key)
            owner = self._owners_by_key.setdefault(key, upstream)
            if owner != upstream:
                self._owner_changes += 1
                self._owners_by_key[key] = upstream

    def _record_availability(self, key, succeeded, now):
        if not succeeded:
            self._failed_since_by_key.setdefault(key, now)
            return
        failed_since = self._failed_since_by_key.pop(key, None)
        if failed_since is not None:
            longest_s = self._unavailable_s_by_key.get(key, 0.0)
            self._unavailable_s_by_key[key] = max(longest_s, now - failed_since)

    def build_report(self, duration_s, upstreams):
        """Build the report of the run.

        :param duration_s: length of the run in seconds.
        :param upstreams: number of upstreams per path, or 0 for those named in
            responses.
        :return: the ``LoadReport``.
        """
        unavailable_s_by_name = {
            f"{path} {key}": unavailable_s
            for (path, key), unavailable_s in self._unavailable_s_by_key.items()
        }
        read_percentile = self._histogram.get_value_at_percentile
        return LoadReport(
            duration_s=duration_s,
            requests=self._requests,
            succeeded=self._succeeded,
            attempts=self._attempts,
            requests_per_s=self._requests / duration_s,
            p50_ms=read_percentile(50.0) / 1e3,
            p99_ms=read_percentile(99.0) / 1e3,
            p999_ms=read_percentile(99.9) / 1e3,
            max_ms=self._histogram.get_max_value() / 1e3,
            statuses=dict(self._statuses),
            verdicts=dict(self._verdicts),
            mismatched=self._mismatched,
            imbalance_by_path={
                path: compute_imbalance(counts.values(), upstreams)
                for path, counts in self._executions_by_path.items()
            },
            executions_by_path={
                path: dict(counts) for path, counts in self._executions_by_path.items()
            },
            owner_changes=self._owner_changes,
            keys_seen=len(self._owners_by_key),
            max_unavailable_s=max(unavailable_s_by_name.values(), default=0.0),
            keys_unavailable=len(unavailable_s_by_name),
            keys_unavailable_at_end=len(self._failed_since_by_key),
            unavailable_s_by_key=unavailable_s_by_name,
        )


def compute_imbalance(counts, upstreams=0):
    """Return the largest count divided by the mean.

    :param counts: number of executions of each upstream that ran at least one.
    :param upstreams: number of upstreams, or 0 for the number of counts.
    """
    counts = list(counts)
    if not counts:
        return 0.0
    return max(counts) * max(upstreams, len(counts)) / sum(counts)
