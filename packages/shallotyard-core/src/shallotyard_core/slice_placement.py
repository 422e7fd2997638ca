"""Places the slices of a service on its upstreams."""

from collections import Counter
from dataclasses import dataclass

from shallotyard_core.assignment import SPLIT
from shallotyard_core.assignment import ServiceTable
from shallotyard_core.assignment import SliceEntry
from shallotyard_core.assignment import hot_claim
from shallotyard_core.assignment import slice_claim
from shallotyard_core.keys import compute_slice_number

# A rebalance moves at most this share of a service's slices per write, so that
# a returning failure domain is not flooded while it is cold.
REBALANCE_SHARE = 0.125
REBALANCE_PAUSE_S = 2.0
STRAGGLER_RATIO = 3.0
# Larger than the share of a rebalance, because the receivers are warm, and slices of
# a straggler cost their keys slow responses until they move.
STRAGGLER_SHARE = 0.25
# A straggler owns nothing for this long. Each return costs its keys some
# seconds of slow responses, so the time doubles while it stays slow.
FIRST_BAR_S = 60.0
MAX_BAR_S = 960.0
# A position is hot when it alone carries this share of an average upstream's load.
HOT_SHARE = 0.5
HOT_MIN_RATE = 20.0
MAX_HOT_SLICES = 64


@dataclass(slots=True)
class Bar:
    """Period in which a straggler owns no slices.

    :param until: end of the period in seconds.
    :param length_s: its length.
    """

    until: float
    length_s: float


def numbered(service):
    """Yield the slices of a `ServiceTable` with the keys that name them."""
    yield from enumerate(list(service.slices))
    for position, entry in list(service.hot.items()):
        yield ("hot", position), entry


def entry_at(service, key):
    """Return a slice; ``key`` is a slice number or ("hot", position)."""
    return service.hot[key[1]] if isinstance(key, tuple) else service.slices[key]


def put_entry(service, key, entry):
    """Replace a slice; ``key`` is a slice number or ("hot", position)."""
    if isinstance(key, tuple):
        service.hot[key[1]] = entry
    else:
        service.slices[key] = entry


def place_slices(plan, service, usable, pauses, now, urgent_only=False):
    """Add to a plan what has to change for the slices of a service.

    :param plan: the `Plan`, changed in place.
    :param service: the service as published.
    :param usable: ids of the upstreams that may own slices, at least one.
    :param pauses: `PlanningPauses`, updated in place.
    :param now: current time in seconds.
    :param urgent_only: whether to leave out the moves that can wait.
    """
    slices = plan.table.services_by_id.get(service.id)
    if slices is None:
        _create_slices(plan, service, usable)
        return
    barred = _bar_stragglers(plan.view, usable, pauses, now)
    # With the others out of service, slow upstreams are better than none.
    receivers = [name for name in usable if name not in barred] or usable
    _evacuate(plan, slices, usable, receivers)
    if urgent_only:
        return
    _rebalance(plan, slices, receivers, pauses, now)
    _relieve_stragglers(plan, slices, barred, receivers, pauses, now)
    _spread_hot(plan, service, slices, receivers, pauses, now)


def _create_slices(plan, service, usable):
    plan.table.services_by_id[service.id] = ServiceTable(
        [
            SliceEntry(slice_claim(service.id, number), usable[number % len(usable)], 1)
            for number in range(service.slices)
        ]
    )
    plan.note_move(service.id, "", f"{len(usable)} upstreams", "new-service")


def _count_owned(slices, usable):
    counts = Counter(dict.fromkeys(usable, 0))
    counts.update(entry.owner for entry in slices.slices)
    return counts


def _evacuate(plan, slices, usable, receivers):
    counts = _count_owned(slices, receivers)
    allowed = set(usable)
    for key, entry in numbered(slices):
        if entry.owner not in allowed:
            target = min(receivers, key=lambda name: (counts[name], name))
            counts[target] += 1
            plan.set_owner(slices, key, target, "owner-out-of-service")


def _rebalance(plan, slices, receivers, pauses, now):
    if now - pauses.rebalanced_at < REBALANCE_PAUSE_S:
        return
    counts = _count_owned(slices, receivers)
    budget = max(1, int(len(slices.slices) * REBALANCE_SHARE))
    if max(counts.values()) - min(counts[name] for name in receivers) < 2:
        return
    allowed = set(receivers)
    open_to = list(receivers)
    moved = False
    for number, entry in enumerate(list(slices.slices)):
        if budget == 0 or not open_to:
            break
        target = min(open_to, key=lambda name: (counts[name], name))
        if entry.owner not in allowed or counts[entry.owner] - counts[target] < 2:
            continue
        counts[entry.owner] -= 1
        counts[target] += 1
        budget -= 1
        moved = True
        plan.set_owner(slices, number, target, "rebalance")
        if target in pauses.bars_by_upstream:
            # One slice shows whether a former straggler is still slow.
            open_to.remove(target)
    if moved:
        pauses.rebalanced_at = now


def _latencies(view, names):
    """Return the observed latency of each upstream that gets requests.

    The latency of an upstream without requests is an old one.
    """
    reports = view.reports_by_upstream
    return {
        name: reports[name].latency_s
        for name in names
        if name in reports and reports[name].latency_s > 0 and reports[name].rate > 0
    }


def _stragglers(view, usable):
    """Return upstreams whose observed latency is far above the median."""
    latency_by_id = _latencies(view, usable)
    if len(latency_by_id) < 3:
        return set()
    ordered = sorted(latency_by_id.values())
    median = ordered[(len(ordered) - 1) // 2]
    return {
        name
        for name, latency_s in latency_by_id.items()
        if latency_s > STRAGGLER_RATIO * median
    }


def _bar_stragglers(view, usable, pauses, now):
    """Return the upstreams that must own nothing for now, at most half of them."""
    bars = pauses.bars_by_upstream
    barred = {name for name in usable if name in bars and now < bars[name].until}
    for name in sorted(_stragglers(view, usable) - barred):
        if 2 * (len(barred) + 1) > len(usable):
            break
        bar = bars.get(name)
        length_s = FIRST_BAR_S
        if bar is not None and now < bar.until + bar.length_s:
            length_s = min(MAX_BAR_S, 2 * bar.length_s)
        bars[name] = Bar(now + length_s, length_s)
        barred.add(name)
    return barred


def _relieve_stragglers(plan, slices, barred, receivers, pauses, now):
    if not barred:
        return
    if now - pauses.straggler_at >= REBALANCE_PAUSE_S:
        pauses.straggler_at = now
        pauses.straggler_moves = 0
    counts = _count_owned(slices, receivers)
    # Upstreams that slow down together are found one after another; the second one
    # need not wait while the share allows more moves.
    budget = max(1, int(len(slices.slices) * STRAGGLER_SHARE)) - pauses.straggler_moves
    latency_by_id = _latencies(plan.view, receivers)
    for key, entry in numbered(slices):
        if entry.owner not in barred or budget <= 0:
            continue
        # Among equals the fastest one, as another may be about to be found slow.
        target = min(receivers, key=lambda n: (counts[n], latency_by_id.get(n, 0.0), n))
        counts[target] += 1
        budget -= 1
        pauses.straggler_moves += 1
        plan.set_owner(slices, key, target, "straggler")


def _spread_hot(plan, service, slices, usable, pauses, now):
    """Do at most one kind of change to hot slices: merge, move or split."""
    if now - pauses.hot_at < REBALANCE_PAUSE_S:
        return
    rates = _hot_rates(plan.view, service.id, usable)
    load = {
        name: plan.view.reports_by_upstream[name].rate
        for name in usable
        if name in plan.view.reports_by_upstream
    }
    for change in (_retire_cold, _move_hot, _split_hot):
        if change(plan, slices, rates, load):
            pauses.hot_at = now
            return


def _hot_rates(view, service_id, usable):
    rates = Counter()
    for name in usable:
        report = view.reports_by_upstream.get(name)
        if report:
            for position, rate in report.hot_rates.get(service_id, {}).items():
                rates[int(position)] += rate
    return rates


def _retire_cold(plan, slices, rates, load):
    """Return a hot slice that has cooled to its surrounding slice.

    It first moves to that slice's owner. Merging raises the epoch of the
    surrounding slice, because its holder then serves a position that another
    instance may have held.
    """
    for position, entry in slices.hot.items():
        if rates[position] >= HOT_MIN_RATE / 4:
            continue
        number = compute_slice_number(position, len(slices.slices))
        parent = slices.slices[number]
        if parent.claim_id in plan.raised or entry.claim_id in plan.raised:
            continue
        if entry.owner != parent.owner:
            plan.set_owner(slices, ("hot", position), parent.owner, "hot-key-cooled")
            return True
        del slices.hot[position]
        plan.set_owner(slices, number, parent.owner, "hot-key-merged")
        return True
    return False


def _move_hot(plan, slices, rates, load):
    """Move the hot slice whose move levels the load most."""
    for position, rate in sorted(rates.items(), key=lambda item: -item[1]):
        entry = slices.hot.get(position)
        if entry is None or entry.claim_id in plan.raised or not load:
            continue
        target = min(load, key=lambda name: (load[name], name))
        if load.get(entry.owner, 0.0) - load[target] > 1.5 * rate:
            plan.set_owner(slices, ("hot", position), target, "hot-key-moved")
            return True
    return False


def _split_hot(plan, slices, rates, load):
    """Give hot positions their own slices, still with the surrounding owner.

    Epochs never exceed the revision, so starting at the new revision keeps the
    epochs of a position growing when it is split off again later.
    """
    mean = sum(load.values()) / max(1, len(load))
    threshold = max(HOT_MIN_RATE, HOT_SHARE * mean)
    split = False
    for position, rate in sorted(rates.items(), key=lambda item: -item[1]):
        parent = slices.find_slice(position)
        full = len(slices.hot) >= MAX_HOT_SLICES
        if rate < threshold or full or position in slices.hot:
            continue
        if parent.claim_id in plan.raised:
            continue
        service_id = parent.claim_id.partition("/")[0]
        claim_id = hot_claim(service_id, position)
        revision = plan.base.revision + 1
        slices.hot[position] = SliceEntry(claim_id, parent.owner, revision, SPLIT)
        plan.raised.add(claim_id)
        plan.note_move(claim_id, parent.owner, parent.owner, "hot-key")
        split = True
    return split
