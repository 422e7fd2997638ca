"""Selects an upstream for a request that any upstream of a service may serve."""

# Added to the expected latency of upstreams in another region, as a fraction of the
# target latency of the route, and at least. It exceeds the extra round-trip time,
# because links between regions are narrow and paid by volume: a request crosses only
# when that is clearly faster, by the measure of what its caller expects.
CROSS_REGION_PENALTY = 0.3
MIN_CROSS_REGION_PENALTY_S = 0.15
# The same for another failure domain of the region. Bytes between domains are paid for
# as well, and the round-trip time is short.
CROSS_DOMAIN_PENALTY = 0.06
MIN_CROSS_DOMAIN_PENALTY_S = 0.03
# Upstreams compared in each of the own domain, the own region and other regions. If all
# instances compared all upstreams by old reports, they would choose the same one.
SAMPLES_PER_DISTANCE = 3
# Fewer are compared if they are sampled by what they can do: the faster ones are then
# in most samples, and the rest of the choice is by load.
WEIGHTED_SAMPLES_PER_DISTANCE = 2
# Assumed for an upstream that has not responded to this instance yet, as a fraction of
# the target latency. In a large fleet an instance knows few of the upstreams. If it
# expected less than of those that it knows, each request would go to an unknown one,
# however slow and far away.
DEFAULT_LATENCY = 0.3


def estimate_latency(load, slots, target_latency_s, now):
    """Return the expected latency of a request sent now, in seconds.

    :param load: the `UpstreamLoad`.
    :param slots: number of requests that the upstream processes concurrently.
    :param target_latency_s: latency objective of the request, in seconds.
    :param now: current time in seconds.
    """
    latency_s = load.latency_s
    if latency_s is None:
        latency_s = DEFAULT_LATENCY * target_latency_s
    occupancy = load.estimate_max_occupancy(now)
    queued = max(0.0, occupancy + 1 - slots) / slots
    return latency_s * (1 + queued + occupancy / (4 * slots))


def compute_distance_penalty(domain, region, own_domain, own_region, target_latency_s):
    """Return the latency penalty for the distance to an upstream, in seconds.

    :param domain: failure domain of the upstream.
    :param region: its region.
    :param target_latency_s: latency objective of the request, in seconds.
    """
    if domain == own_domain:
        return 0.0
    if region == own_region:
        return max(MIN_CROSS_DOMAIN_PENALTY_S, CROSS_DOMAIN_PENALTY * target_latency_s)
    return max(MIN_CROSS_REGION_PENALTY_S, CROSS_REGION_PENALTY * target_latency_s)


def sample_candidates(candidates, compute_distance, rng, get_weight=None):
    """Return a random sample of the candidates at each distance. In a large fleet each
    instance knows little of an upstream's load, see `SAMPLES_PER_DISTANCE`.

    :param compute_distance: function from an upstream to its distance.
    :param rng: a ``random.Random``.
    :param get_weight: function from an upstream to its weight in the choice, None if
        all have the same.
    """
    by_distance = {}
    for upstream in candidates:
        by_distance.setdefault(compute_distance(upstream), []).append(upstream)
    sampled = []
    for group in by_distance.values():
        if len(group) <= SAMPLES_PER_DISTANCE:
            sampled += group
        elif get_weight is None:
            sampled += rng.sample(group, SAMPLES_PER_DISTANCE)
        else:
            # The largest of such keys are a sample by weight without replacement.
            group.sort(key=lambda u: rng.random() ** (1 / get_weight(u)), reverse=True)
            sampled += group[:WEIGHTED_SAMPLES_PER_DISTANCE]
    return sampled


def choose_upstream(candidates, cost_by_id, rng):
    """Return the candidate with the lowest cost; ties are broken at random.

    :param candidates: upstreams with room.
    :param cost_by_id: expected latency plus penalty in seconds, by upstream id.
    :param rng: a ``random.Random``.
    :return: an `Upstream`, or None without candidates.
    """
    if not candidates:
        return None
    return min(candidates, key=lambda u: (cost_by_id[u.upstream_id], rng.random()))
