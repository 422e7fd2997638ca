"""Assigns ranges of keys to upstreams by measured load."""

import bisect
import itertools
import math
from dataclasses import replace

from shallotyard_direct.key_table import KeyRange
from shallotyard_direct.model import MAX_KEY

# Load of a key without requests, so that idle ranges are distributed as well.
IDLE_KEY_LOAD = 0.00125
# A range is moved if its owner has at least this multiple of the mean load, ...
OVERLOAD_RATIO = 1.3
# ... or if another owner has at most this multiple of it.
UNDERLOAD_RATIO = 0.65
# A move must transfer at least this fraction of the mean load to be worth its cost.
MIN_MOVED_LOAD_RATIO = 0.1
# After a move, the load of the new owner must be below this fraction of the former load
# of the old one. Of the old one much may be left, as each other has room for a little.
MAX_LOAD_RATIO_AFTER_MOVE = 0.92
# Least loaded owners that are considered as the target of a move.
MAX_TARGETS = 3
# Moves that are started at the same time. More are started, up to one for each owner,
# from owners whose surplus is this multiple of the standard deviation of the number of
# requests that they would have had: in a large fleet each other owner has room for a
# little of it only. One write of the table stores all moves.
MAX_MOVES = 6
SIGNIFICANT_DEVIATIONS = 3.0
# Marks ranges whose move is planned in the current call of `find_moves`.
PLANNED_MOVE_FENCE = 0
# Lowest capacity in slots, of an upstream that names a very low rate.
MIN_CAPACITY = 0.05
# The keys of a lost owner are divided between at most this many others.
MAX_PIECES = 4


class LoadMap:
    """Load of keys, with fast sums over ranges of keys.

    :param counts: number of requests by key.
    """

    def __init__(self, counts):
        self.keys = sorted(counts)
        loads = (counts[key] for key in self.keys)
        self.sums = list(itertools.accumulate(loads, initial=0.0))

    @property
    def total(self):
        """Return the load of all keys."""
        return self.sum_below(MAX_KEY + 1)

    def sum_below(self, key):
        """Return the load of all keys below a key, in requests."""
        return IDLE_KEY_LOAD * key + self.sums[bisect.bisect_left(self.keys, key)]

    def sum_range(self, key_range):
        """Return the load of a range, in requests."""
        return self.sum_below(key_range.last + 1) - self.sum_below(key_range.first)

    def find_split_key(self, first, last, fraction):
        """Return the key up to which a range has a given fraction of its load.

        :param fraction: between 0 and 1.
        """
        begin = self.sum_below(first)
        target = begin + fraction * (self.sum_below(last + 1) - begin)
        low, high = first, last
        while low < high:
            middle = (low + high) // 2
            if self.sum_below(middle + 1) >= target:
                high = middle
            else:
                low = middle + 1
        return min(low, last)


def compute_relative_loads(ranges, load_map, capacity_by_owner):
    """Return the load of every owner relative to its capacity.

    :param capacity_by_owner: work that an owner can do per second, in any unit.
    """
    loads = dict.fromkeys(capacity_by_owner, 0.0)
    for key_range in ranges:
        if key_range.owner in loads:
            loads[key_range.owner] += load_map.sum_range(key_range)
    return {o: load / capacity_by_owner[o] for o, load in loads.items()}


def build_initial_ranges(owners, capacity_by_owner):
    """Return the ranges of a service whose keys have no owners yet.

    :param owners: incarnations, in the order of their ranges.
    """
    total = sum(capacity_by_owner[o] for o in owners)
    ranges = []
    first = 0
    share = 0.0
    for number, owner in enumerate(owners):
        share += capacity_by_owner[owner] / total
        end = number == len(owners) - 1
        last = MAX_KEY if end else max(first, round(share * (MAX_KEY + 1)) - 1)
        ranges.append(KeyRange(first, last, *owner, fence=number + 1))
        first = last + 1
    return ranges


def divide_range(key_range, load_map, loads, capacity_by_owner, mean):
    """Divide a range of a lost owner between the least loaded others.

    :param loads: relative load by owner, updated for those that get keys.
    :param mean: mean relative load of the owners.
    :return: list of (first, last, owner).
    """
    pieces = []
    first = key_range.first
    for number in range(MAX_PIECES):
        owner = min(loads, key=lambda o: (loads[o], o))
        rest = load_map.sum_below(key_range.last + 1) - load_map.sum_below(first)
        room = max(0.0, mean * OVERLOAD_RATIO - loads[owner])
        room *= capacity_by_owner[owner]
        last = key_range.last
        if number < MAX_PIECES - 1 and rest > room > 0:
            last = load_map.find_split_key(first, key_range.last, room / rest)
        load = load_map.sum_below(last + 1) - load_map.sum_below(first)
        loads[owner] += load / capacity_by_owner[owner]
        pieces.append((first, last, owner))
        first = last + 1
        if first > key_range.last:
            break
    return pieces


def find_moves(ranges, load_map, capacity_by_owner):
    """Return moves that reduce the load of the most loaded owners. They are needed for
    hot keys, owners of unequal speed, and owners that have just joined.

    :return: list of (first, last, new owner) of ranges that do not overlap.
    """
    moves = []
    ranges = list(ranges)
    loads = compute_relative_loads(ranges, load_map, capacity_by_owner)
    while len(moves) < max(MAX_MOVES, len(capacity_by_owner)):
        found = _find_move(ranges, load_map, loads, capacity_by_owner)
        if found is None:
            break
        key_range, first, last, owner = found
        former_owner = key_range.owner
        if len(moves) >= MAX_MOVES and not _has_significant_surplus(
            former_owner, loads, capacity_by_owner
        ):
            break
        moves.append((first, last, owner))
        moved = load_map.sum_below(last + 1) - load_map.sum_below(first)
        loads[former_owner] -= moved / capacity_by_owner[former_owner]
        loads[owner] += moved / capacity_by_owner[owner]
        ranges.remove(key_range)
        # Keys whose move is planned are not moved again in this call.
        for low, high in ((key_range.first, first - 1), (last + 1, key_range.last)):
            if low <= high:
                ranges.append(replace(key_range, first=low, last=high))
        ranges.append(KeyRange(first, last, *owner, fence=PLANNED_MOVE_FENCE))
    return moves


def _has_significant_surplus(owner, loads, capacity_by_owner):
    """Return whether the load of an owner is above the mean, and not by chance."""
    total = sum(loads[o] * capacity for o, capacity in capacity_by_owner.items())
    mean = total / sum(capacity_by_owner.values())
    capacity = capacity_by_owner[owner]
    surplus = (loads[owner] - mean) * capacity
    return surplus >= SIGNIFICANT_DEVIATIONS * math.sqrt(mean * capacity)


def _find_move(ranges, load_map, loads, capacity_by_owner):
    owners = set(loads)
    while len(owners) > 1:
        total = sum(loads[o] * capacity_by_owner[o] for o in owners)
        mean = total / sum(capacity_by_owner[o] for o in owners)
        most_loaded = max(owners, key=lambda o: (loads[o], o))
        least_loaded = min(owners, key=lambda o: (loads[o], o))
        is_overloaded = loads[most_loaded] >= OVERLOAD_RATIO * mean
        if not is_overloaded and loads[least_loaded] > UNDERLOAD_RATIO * mean:
            return None
        own = [
            r
            for r in ranges
            if r.owner == most_loaded and r.fence != PLANNED_MOVE_FENCE
        ]
        targets = _choose_targets(owners - {most_loaded}, loads, capacity_by_owner)
        move = _find_best_move(own, targets, load_map, loads, capacity_by_owner, mean)
        if move is not None or not is_overloaded:
            return move
        # The load of an owner of one hot key cannot be reduced; try the other owners.
        owners.discard(most_loaded)
    return None


def _choose_targets(owners, loads, capacity_by_owner):
    """Return the least loaded owners, and the one with the highest capacity, which is
    the best owner of a key that is too hot for every owner.
    """
    by_load = sorted(owners, key=lambda o: (loads[o], o))
    fastest = max(owners, key=lambda o: (capacity_by_owner[o], -loads[o], o))
    return dict.fromkeys([*by_load[:MAX_TARGETS], fastest])


def _find_best_move(ranges, targets, load_map, loads, capacity_by_owner, mean):
    """Return the best move of keys of one owner, None if none is worth its cost."""
    best = None
    for key_range in ranges:
        most_loaded = key_range.owner
        load = load_map.sum_range(key_range)
        for target in targets:
            room = (mean - loads[target]) * capacity_by_owner[target]
            surplus = max(loads[most_loaded] - mean, MIN_MOVED_LOAD_RATIO * mean)
            excess = min(surplus * capacity_by_owner[most_loaded], room)
            fraction = excess / load if excess > 0 else 1.0
            for first, last in _list_candidate_subranges(key_range, load_map, fraction):
                moved = load_map.sum_below(last + 1) - load_map.sum_below(first)
                if moved < MIN_MOVED_LOAD_RATIO * mean * capacity_by_owner[target]:
                    continue
                target_load = loads[target] + moved / capacity_by_owner[target]
                rest = loads[most_loaded] - moved / capacity_by_owner[most_loaded]
                after = max(rest, target_load)
                if target_load < MAX_LOAD_RATIO_AFTER_MOVE * loads[most_loaded] and (
                    best is None or after < best[0]
                ):
                    best = (after, key_range, first, last, target)
    return None if best is None else best[1:]


def _list_candidate_subranges(key_range, load_map, fraction):
    if fraction >= 1:
        yield key_range.first, key_range.last
        return
    last = load_map.find_split_key(key_range.first, key_range.last, fraction)
    yield key_range.first, last
    if last > key_range.first:
        yield key_range.first, last - 1
    first = load_map.find_split_key(key_range.first, key_range.last, 1 - fraction) + 1
    if first <= key_range.last:
        yield first, key_range.last
    if first - 1 > key_range.first:
        yield first - 1, key_range.last


def compute_capacity(slots, speed=1.0, rate_in_slots=math.inf):
    """Return the capacity of an upstream, in slots of usual speed.

    :param speed: speed relative to the other upstreams of its service.
    :param rate_in_slots: slots that the rate it names keeps in use.
    """
    return max(MIN_CAPACITY, min(slots * speed, rate_in_slots))
