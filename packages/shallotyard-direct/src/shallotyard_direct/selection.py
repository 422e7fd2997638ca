"""Which upstream gets a request that any upstream of a service may serve."""

# Time that the way to another region costs, there and back, beyond the way
# inside a region. Links between regions are narrow and paid by volume, so a
# request crosses only when that is clearly faster.
CROSS_REGION_PENALTY_S = 0.15
# The same for another failure domain of the region; bytes between domains are paid
# for as well, and the way is short.
CROSS_DOMAIN_PENALTY_S = 0.03
# Upstreams looked at in each of the own domain, the own region and other regions.
# Instances that all chose the best of all by old reports would all choose the same.
SAMPLES_PER_DISTANCE = 3
# Latency assumed of an upstream that has not responded yet.
DEFAULT_LATENCY_S = 0.1


def estimate_latency(load, slots, now):
    """Return the time until a request sent now is done, in seconds.

    :param load: the `UpstreamLoad`.
    :param slots: requests that the upstream processes at the same time.
    :param now: current time in seconds.
    """
    latency_s = load.latency_s if load.latency_s is not None else DEFAULT_LATENCY_S
    occupancy = load.estimate_max_occupancy(now)
    queued = max(0.0, occupancy + 1 - slots) / slots
    return latency_s * (1 + queued + occupancy / (4 * slots))


def compute_distance_penalty(domain, region, own_domain, own_region):
    """Return what the way to an upstream costs, in seconds.

    :param domain: failure domain of the upstream.
    :param region: its region.
    """
    if domain == own_domain:
        return 0.0
    return CROSS_DOMAIN_PENALTY_S if region == own_region else CROSS_REGION_PENALTY_S


def sample_candidates(candidates, compute_distance, rng):
    """Return some of the candidates at each distance.

    Answers a large fleet, in which each instance knows little of an upstream's load.

    :param compute_distance: function from an upstream to its distance class.
    :param rng: a ``random.Random``.
    """
    by_distance = {}
    for upstream in candidates:
        by_distance.setdefault(compute_distance(upstream), []).append(upstream)
    sampled = []
    for group in by_distance.values():
        sampled += (
            group
            if len(group) <= SAMPLES_PER_DISTANCE
            else rng.sample(group, SAMPLES_PER_DISTANCE)
        )
    return sampled


def choose_upstream(candidates, cost_by_id, rng):
    """Return the candidate with the lowest cost, a random one among equals.

    :param candidates: upstreams with room.
    :param cost_by_id: expected time until a response, by upstream id.
    :param rng: a ``random.Random``.
    :return: an `Upstream`, or None without candidates.
    """
    if not candidates:
        return None
    return min(candidates, key=lambda u: (cost_by_id[u.upstream_id], rng.random()))
