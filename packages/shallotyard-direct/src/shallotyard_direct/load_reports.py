"""Reports of the observed load of keys and upstreams, aggregated by the granter.

They prevent overload in a large fleet, where each instance sees only a small part of
the requests at an upstream. Without them, upstreams are filled beyond their queues
although no instance sends many requests.
"""

import math
import statistics

from shallotyard_direct.saturated_throughput import SaturatedThroughput

# With fewer observations, the speed of an upstream is unknown.
MIN_SAMPLES = 8
# Maximum weight of the observations of one instance.
MAX_WEIGHT = 100
# The processing time of an upstream is reported again after this many new observations.
REPORT_AFTER_SAMPLES = 4
# An instance without a report for longer has no more requests in flight.
REPORT_RETENTION_S = 2.5
# Half-life of the counts of requests by key.
COUNT_HALF_LIFE_S = 2.5
# Decayed counts of requests below this are deleted.
MIN_COUNT = 0.1
# Upstreams with at least this fraction of their slots in use are reported as saturated
# to all instances.
SATURATED_FRACTION = 1.0
# With this fraction, requests certainly wait at an upstream: what it does then shows
# what it can do.
QUEUEING_FRACTION = 1.5


class LoadReporter:
    """Builds the load reports of this instance.

    :param owners: the `Owners` with the counts of requests by key.
    :param loads_by_id: the `UpstreamLoad` entries of all upstreams.
    :param directory: the `Directory`.
    """

    def __init__(self, owners, loads_by_id, directory):
        self.owners = owners
        self.loads_by_id = loads_by_id
        self.directory = directory
        self.reported_samples_by_id = {}
        self.reported_responses_by_id = {}
        self.last_granter = ""

    def build_report(self, granter):
        """Return the load observed since the last report, as a JSON value.

        :param granter: id of the granter. A new one gets all processing times.
        """
        if granter != self.last_granter:
            self.last_granter = granter
            self.reported_samples_by_id.clear()
        processing_times = {}
        for owner_id in self.owners.list_upstream_ids():
            load = self.loads_by_id.get(owner_id)
            samples = load.processing_samples if load is not None else 0
            if (
                samples
                >= self.reported_samples_by_id.get(owner_id, 0) + REPORT_AFTER_SAMPLES
            ):
                self.reported_samples_by_id[owner_id] = samples
                processing_times[owner_id] = [
                    round(load.expected_processing_s, 4),
                    samples,
                ]
        counts_by_service = self.owners.pop_counts()
        return {
            "keys": {
                service_id: {str(key): count for key, count in counts.items()}
                for service_id, counts in counts_by_service.items()
            },
            "work": processing_times,
            "responses": self._count_responses(),
            "in_flight": {
                upstream_id: load.in_flight
                for upstream_id, load in self.loads_by_id.items()
                if load.in_flight
            },
            "leaving": self.directory.list_leaving_by_answer(),
        }

    def _count_responses(self):
        """Return the number of responses since the last report by owner id."""
        counts, reported = {}, self.reported_responses_by_id
        for owner_id in self.owners.list_upstream_ids():
            load = self.loads_by_id.get(owner_id)
            total = load.responses if load is not None else 0
            # The load of an upstream that was away for a time begins anew.
            count = total - min(total, reported.get(owner_id, 0))
            reported[owner_id] = total
            if count:
                counts[owner_id] = count
        for upstream_id in reported.keys() - self.loads_by_id.keys():
            del reported[upstream_id]
        return counts


class LoadAggregator:
    """Aggregates the load reports of all instances at the granter."""

    def __init__(self):
        self.counts_by_service = {}
        self.processing_times_by_instance = {}
        self.in_flight_by_instance = {}
        self.throughput = SaturatedThroughput()
        self.decayed_at = -math.inf

    def apply_report(self, instance, value, now):
        """Apply a load report.

        :param value: as returned by `LoadReporter.build_report`.
        """
        self.in_flight_by_instance[instance] = (now, value.get("in_flight", {}))
        processing_times = self.processing_times_by_instance.setdefault(instance, {})
        processing_times.update(value.get("work", {}))
        # Instances of earlier versions do not report responses.
        self.throughput.record_responses(value.get("responses", {}))
        for service_id, counts in value.get("keys", {}).items():
            sums = self.counts_by_service.setdefault(service_id, {})
            for key, count in counts.items():
                sums[int(key)] = sums.get(int(key), 0.0) + count

    def decay(self, now):
        """Decay the counts of requests with their half-life."""
        elapsed_s = min(now - self.decayed_at, 10 * COUNT_HALF_LIFE_S)
        self.decayed_at = now
        factor = 0.5 ** (elapsed_s / COUNT_HALF_LIFE_S)
        for service_id, counts in self.counts_by_service.items():
            self.counts_by_service[service_id] = {
                key: count * factor
                for key, count in counts.items()
                if count * factor >= MIN_COUNT
            }

    def sum_in_flight(self, now):
        """Return the number of requests in flight of all instances, by upstream id."""
        sums = {}
        for at, in_flight in self.in_flight_by_instance.values():
            if at >= now - REPORT_RETENTION_S:
                for upstream_id, count in in_flight.items():
                    sums[upstream_id] = sums.get(upstream_id, 0) + count
        return sums

    def compute_processing_times(self):
        """Return the mean processing time by upstream id, in seconds."""
        sums = {}
        for processing_times in self.processing_times_by_instance.values():
            for upstream_id, (processing_s, samples) in processing_times.items():
                weight = min(samples, MAX_WEIGHT)
                total, weights = sums.get(upstream_id, (0.0, 0))
                sums[upstream_id] = (total + processing_s * weight, weights + weight)
        return {
            upstream_id: total / weights
            for upstream_id, (total, weights) in sums.items()
            if weights >= MIN_SAMPLES
        }


def compute_median_processing_times(processing_time_by_id, ids_by_service):
    """Return the median processing time by service id, in seconds.

    :param processing_time_by_id: processing time by upstream id, in seconds.
    :param ids_by_service: upstream ids by service id.
    """
    medians = {}
    for service_id, ids in ids_by_service.items():
        known = [processing_time_by_id[i] for i in ids if i in processing_time_by_id]
        if known:
            medians[service_id] = statistics.median(known)
    return medians


def compute_relative_speeds(processing_time_by_id, ids_by_service):
    """Return the speed of upstreams relative to the median of their service.

    :param processing_time_by_id: processing time by upstream id, in seconds.
    :param ids_by_service: upstream ids by service id.
    """
    speeds = {}
    for ids in ids_by_service.values():
        known = {i: processing_time_by_id[i] for i in ids if i in processing_time_by_id}
        if len(known) < 2:
            continue
        median_s = statistics.median(known.values())
        for upstream_id, processing_s in known.items():
            speeds[upstream_id] = median_s / max(processing_s, 1e-6)
    return speeds


def find_saturated(load_aggregator, upstreams_by_id, now, fraction=SATURATED_FRACTION):
    """Return the number of requests in flight of each saturated upstream, by id.

    :param upstreams_by_id: the existing upstreams.
    :param fraction: requests in flight per slot from which one counts.
    """
    return {
        upstream_id: count
        for upstream_id, count in load_aggregator.sum_in_flight(now).items()
        if upstream_id in upstreams_by_id
        and count >= fraction * upstreams_by_id[upstream_id].slots
    }
