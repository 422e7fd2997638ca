"""What the instances report of keys and upstreams, put together."""

import statistics

# Fewer observations say little about the speed of an upstream.
MIN_SAMPLES = 8
# Observations beyond these of one instance add no weight.
MAX_WEIGHT = 100


def add_up_keys(values):
    """Return the requests by block of keys, by service.

    :param values: records of the instances.
    """
    sums = {}
    for value in values:
        keys = value.get("keys")
        for service_id, counts in (keys if isinstance(keys, dict) else {}).items():
            totals = sums.setdefault(service_id, {})
            for block, count in counts.items():
                totals[int(block)] = totals.get(int(block), 0.0) + count
    return sums


def compare_speeds(values, directory):
    """Return the speed of upstreams relative to the median of their service.

    :param values: records of the instances.
    :param directory: the `Directory`.
    """
    sums = {}
    for value in values:
        works = value.get("work")
        for upstream_id, (work_s, samples) in (
            works if isinstance(works, dict) else {}
        ).items():
            weight = min(samples, MAX_WEIGHT)
            total, weights = sums.get(upstream_id, (0.0, 0))
            sums[upstream_id] = (total + work_s * weight, weights + weight)
    speeds = {}
    for ids in directory.ids_by_service.values():
        work_by_id = {
            upstream_id: sums[upstream_id][0] / sums[upstream_id][1]
            for upstream_id in ids
            if upstream_id in sums and sums[upstream_id][1] >= MIN_SAMPLES
        }
        if len(work_by_id) < 2:
            continue
        median_s = statistics.median(work_by_id.values())
        for upstream_id, work_s in work_by_id.items():
            speeds[upstream_id] = median_s / max(work_s, 1e-6)
    return speeds
