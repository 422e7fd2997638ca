"""Plans the owners of the slices of a service."""

from collections import Counter
from dataclasses import dataclass

from shallotyard_core.assignment import SPLIT_MARKER
from shallotyard_core.assignment import ServiceTable
from shallotyard_core.assignment import SliceEntry
from shallotyard_core.assignment import build_hot_claim_id
from shallotyard_core.assignment import build_slice_claim_id
from shallotyard_core.keys import compute_slice_number

# Largest share of a service's slices that a rebalance moves in one write, so that a
# returning failure domain is not overloaded while it is cold.
MAX_REBALANCE_SHARE = 0.125
REBALANCE_PAUSE_S = 2.0
STRAGGLER_LATENCY_RATIO = 3.0
# Largest share of a service's slices that leave stragglers in one pause. It exceeds
# that of a rebalance, because the receivers are warm, and the keys of a straggler get
# slow responses until their slices move.
MAX_STRAGGLER_SHARE = 0.25
# A straggler owns no slices for this long. Each trial afterwards costs some keys
# seconds of slow responses, so the time doubles while the upstream stays slow.
FIRST_EXCLUSION_S = 60.0
MAX_EXCLUSION_S = 960.0
# A position is hot if its rate is at least this share of an average upstream's rate.
HOT_LOAD_SHARE = 0.5
HOT_MIN_REQUESTS_PER_S = 20.0
MAX_HOT_SLICES = 64


@dataclass(slots=True)
class ExclusionPeriod:
    """Period in which a straggler owns no slices.

    :param ends_at: end of the period in seconds.
    :param length_s: length of the period in seconds.
    """

    ends_at: float
    length_s: float


def iterate_entries(service_table):
    """Yield (key, entry) for all slices, hot slices last.

    :param service_table: a `ServiceTable`.
    """
    yield from enumerate(list(service_table.slices))
    for position, entry in list(service_table.hot_by_position.items()):
        yield ("hot", position), entry


def get_entry(service_table, key):
    """Return the entry of a slice.

    :param service_table: a `ServiceTable`.
    :param key: slice number, or ``("hot", position)`` for a hot slice.
    """
    return (
        service_table.hot_by_position[key[1]]
        if isinstance(key, tuple)
        else service_table.slices[key]
    )


def set_entry(service_table, key, entry):
    """Replace the entry of a slice.

    :param service_table: a `ServiceTable`.
    :param key: slice number, or ``("hot", position)`` for a hot slice.
    :param entry: the new `SliceEntry`.
    """
    if isinstance(key, tuple):
        service_table.hot_by_position[key[1]] = entry
    else:
        service_table.slices[key] = entry


def place_slices(plan, service, usable_ids, pauses, now, urgent_only=False):
    """Add the changes for the slices of a service to a plan.

    :param plan: the `Plan`, changed in place.
    :param service: the service in the published configuration.
    :param usable_ids: ids of the upstreams that may own slices, at least one.
    :param pauses: `PlanningPauses`, updated in place.
    :param now: current time in seconds.
    :param urgent_only: whether to omit moves that are not urgent.
    """
    service_table = plan.table.services_by_id.get(service.id)
    if service_table is None:
        _create_slices(plan, service, usable_ids)
        return
    excluded = _exclude_stragglers(plan.view, usable_ids, pauses, now)
    # If all usable upstreams are excluded, slow ones are better than none.
    receivers = [name for name in usable_ids if name not in excluded] or usable_ids
    _evacuate(plan, service_table, usable_ids, receivers)
    if urgent_only:
        return
    _rebalance(plan, service_table, receivers, pauses, now)
    _move_slices_from_stragglers(plan, service_table, excluded, receivers, pauses, now)
    _adjust_hot_slices(plan, service, service_table, receivers, pauses, now)


def _create_slices(plan, service, usable_ids):
    """Spread the slices of a new service evenly over the upstreams."""
    plan.table.services_by_id[service.id] = ServiceTable(
        [
            SliceEntry(
                build_slice_claim_id(service.id, number),
                usable_ids[number % len(usable_ids)],
                1,
            )
            for number in range(service.slices)
        ]
    )
    plan.record_move(service.id, "", f"{len(usable_ids)} upstreams", "new-service")


def _count_owned(service_table, usable_ids):
    counts = Counter(dict.fromkeys(usable_ids, 0))
    counts.update(entry.owner for entry in service_table.slices)
    return counts


def _evacuate(plan, service_table, usable_ids, receivers):
    """Move all slices off upstreams that may not own any."""
    counts = _count_owned(service_table, receivers)
    allowed = set(usable_ids)
    for key, entry in iterate_entries(service_table):
        if entry.owner not in allowed:
            target = min(receivers, key=lambda name: (counts[name], name))
            counts[target] += 1
            plan.set_owner(service_table, key, target, "owner-out-of-service")


def _rebalance(plan, service_table, receivers, pauses, now):
    """Move some slices from upstreams with many slices to those with few."""
    if now - pauses.rebalanced_at < REBALANCE_PAUSE_S:
        return
    counts = _count_owned(service_table, receivers)
    remaining_moves = max(1, int(len(service_table.slices) * MAX_REBALANCE_SHARE))
    if max(counts.values()) - min(counts[name] for name in receivers) < 2:
        return
    allowed = set(receivers)
    open_receivers = list(receivers)
    moved = False
    for number, entry in enumerate(list(service_table.slices)):
        if remaining_moves == 0 or not open_receivers:
            break
        target = min(open_receivers, key=lambda name: (counts[name], name))
        if entry.owner not in allowed or counts[entry.owner] - counts[target] < 2:
            continue
        counts[entry.owner] -= 1
        counts[target] += 1
        remaining_moves -= 1
        moved = True
        plan.set_owner(service_table, number, target, "rebalance")
        if target in pauses.exclusions_by_upstream:
            # One slice is enough to find out whether a former straggler is still slow.
            open_receivers.remove(target)
    if moved:
        pauses.rebalanced_at = now


def _find_latencies(view, names):
    """Return the reported latency of each upstream that receives requests.

    The reported latency of an upstream without requests is out of date.
    """
    reports = view.reports_by_upstream
    return {
        name: reports[name].latency_s
        for name in names
        if name in reports and reports[name].latency_s > 0 and reports[name].rate > 0
    }


def _find_stragglers(view, usable_ids):
    """Return the upstreams whose reported latency is far above the median."""
    latency_by_id = _find_latencies(view, usable_ids)
    if len(latency_by_id) < 3:
        return set()
    ordered = sorted(latency_by_id.values())
    median = ordered[(len(ordered) - 1) // 2]
    return {
        name
        for name, latency_s in latency_by_id.items()
        if latency_s > STRAGGLER_LATENCY_RATIO * median
    }


def _exclude_stragglers(view, usable_ids, pauses, now):
    """Return the stragglers that must own no slices now, at most half of all.

    New stragglers get an exclusion period.
    """
    exclusions = pauses.exclusions_by_upstream
    excluded = {
        name
        for name in usable_ids
        if name in exclusions and now < exclusions[name].ends_at
    }
    for name in sorted(_find_stragglers(view, usable_ids) - excluded):
        if 2 * (len(excluded) + 1) > len(usable_ids):
            break
        exclusion = exclusions.get(name)
        length_s = FIRST_EXCLUSION_S
        if exclusion is not None and now < exclusion.ends_at + exclusion.length_s:
            length_s = min(MAX_EXCLUSION_S, 2 * exclusion.length_s)
        exclusions[name] = ExclusionPeriod(now + length_s, length_s)
        excluded.add(name)
    return excluded


def _move_slices_from_stragglers(plan, service_table, excluded, receivers, pauses, now):
    """Move some slices of excluded upstreams to the receivers."""
    if not excluded:
        return
    if now - pauses.straggler_window_started_at >= REBALANCE_PAUSE_S:
        pauses.straggler_window_started_at = now
        pauses.straggler_move_count = 0
    counts = _count_owned(service_table, receivers)
    # Upstreams that become slow together are found one after another. The second one
    # does not wait for the next pause if the share allows more moves.
    remaining_moves = (
        max(1, int(len(service_table.slices) * MAX_STRAGGLER_SHARE))
        - pauses.straggler_move_count
    )
    latency_by_id = _find_latencies(plan.view, receivers)
    for key, entry in iterate_entries(service_table):
        if entry.owner not in excluded or remaining_moves <= 0:
            continue
        # Prefer the fastest among receivers with equally many slices, because a
        # slower one may be the next straggler.
        target = min(receivers, key=lambda n: (counts[n], latency_by_id.get(n, 0.0), n))
        counts[target] += 1
        remaining_moves -= 1
        pauses.straggler_move_count += 1
        plan.set_owner(service_table, key, target, "straggler")


def _adjust_hot_slices(plan, service, service_table, usable_ids, pauses, now):
    """Make at most one kind of change to hot slices: merge, move or split."""
    if now - pauses.hot_slices_changed_at < REBALANCE_PAUSE_S:
        return
    rate_by_position = _sum_hot_rates(plan.view, service.id, usable_ids)
    rate_by_upstream = {
        name: plan.view.reports_by_upstream[name].rate
        for name in usable_ids
        if name in plan.view.reports_by_upstream
    }
    for change in (_merge_cooled_slice, _move_hot_slice, _split_hot_positions):
        if change(plan, service_table, rate_by_position, rate_by_upstream):
            pauses.hot_slices_changed_at = now
            return


def _sum_hot_rates(view, service_id, usable_ids):
    """Return the request rate of each hot position over all upstreams."""
    rate_by_position = Counter()
    for name in usable_ids:
        report = view.reports_by_upstream.get(name)
        if report:
            for position, rate in report.hot_rates.get(service_id, {}).items():
                rate_by_position[int(position)] += rate
    return rate_by_position


def _merge_cooled_slice(plan, service_table, rate_by_position, rate_by_upstream):
    """Merge a hot slice into its surrounding slice once its rate is low.

    It first moves to that slice's owner. The merge raises the epoch of the surrounding
    slice, because its holder then serves a position that another instance may have
    held.
    """
    for position, entry in service_table.hot_by_position.items():
        if rate_by_position[position] >= HOT_MIN_REQUESTS_PER_S / 4:
            continue
        number = compute_slice_number(position, len(service_table.slices))
        parent = service_table.slices[number]
        if (
            parent.claim_id in plan.raised_claim_ids
            or entry.claim_id in plan.raised_claim_ids
        ):
            continue
        if entry.owner != parent.owner:
            plan.set_owner(
                service_table, ("hot", position), parent.owner, "hot-key-cooled"
            )
            return True
        del service_table.hot_by_position[position]
        plan.set_owner(service_table, number, parent.owner, "hot-key-merged")
        return True
    return False


def _move_hot_slice(plan, service_table, rate_by_position, rate_by_upstream):
    """Move the hot slice with the highest rate whose move reduces the imbalance."""
    for position, rate in sorted(rate_by_position.items(), key=lambda item: -item[1]):
        entry = service_table.hot_by_position.get(position)
        if (
            entry is None
            or entry.claim_id in plan.raised_claim_ids
            or not rate_by_upstream
        ):
            continue
        target = min(rate_by_upstream, key=lambda name: (rate_by_upstream[name], name))
        if (
            rate_by_upstream.get(entry.owner, 0.0) - rate_by_upstream[target]
            > 1.5 * rate
        ):
            plan.set_owner(service_table, ("hot", position), target, "hot-key-moved")
            return True
    return False


def _split_hot_positions(plan, service_table, rate_by_position, rate_by_upstream):
    """Split hot positions off as slices of their own, with unchanged owner.

    A new slice starts at the revision as its epoch. Epochs never exceed the revision,
    so the epochs of a position also increase when it is split off again later.
    """
    mean = sum(rate_by_upstream.values()) / max(1, len(rate_by_upstream))
    threshold = max(HOT_MIN_REQUESTS_PER_S, HOT_LOAD_SHARE * mean)
    split = False
    for position, rate in sorted(rate_by_position.items(), key=lambda item: -item[1]):
        parent = service_table.find_slice(position)
        is_full = len(service_table.hot_by_position) >= MAX_HOT_SLICES
        if rate < threshold or is_full or position in service_table.hot_by_position:
            continue
        if parent.claim_id in plan.raised_claim_ids:
            continue
        service_id = parent.claim_id.partition("/")[0]
        claim_id = build_hot_claim_id(service_id, position)
        revision = plan.base.revision + 1
        service_table.hot_by_position[position] = SliceEntry(
            claim_id, parent.owner, revision, SPLIT_MARKER
        )
        plan.raised_claim_ids.add(claim_id)
        plan.record_move(claim_id, parent.owner, parent.owner, "hot-key")
        split = True
    return split
