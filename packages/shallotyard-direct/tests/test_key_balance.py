"""Tests of the assignment of key ranges by load."""

import random

import pytest

from shallotyard_direct.key_balance import LoadMap
from shallotyard_direct.key_balance import build_initial_ranges
from shallotyard_direct.key_balance import compute_relative_loads
from shallotyard_direct.key_balance import divide_range
from shallotyard_direct.key_balance import find_moves
from shallotyard_direct.key_table import KeyRange
from shallotyard_direct.key_table import KeyTable
from shallotyard_direct.key_table import KeyTableError
from shallotyard_direct.key_table import decode_table
from shallotyard_direct.key_table import encode_table
from shallotyard_direct.model import MAX_KEY

OWNERS = [("u1", 1), ("u2", 1), ("u3", 1), ("u4", 1)]
EQUAL_CAPACITIES = dict.fromkeys(OWNERS, 4.0)


def balance(ranges, load_map, capacity_by_owner, rounds=10):
    """Carry out moves, and return the final relative loads."""
    for _ in range(rounds):
        for first, last, owner in find_moves(ranges, load_map, capacity_by_owner):
            ranges = reassign(ranges, first, last, owner)
    return compute_relative_loads(ranges, load_map, capacity_by_owner)


def reassign(ranges, first, last, owner):
    """Return the ranges after the keys from first to last got a new owner."""
    after = []
    for r in ranges:
        if last < r.first or r.last < first:
            after.append(r)
            continue
        if r.first < first:
            after.append(KeyRange(r.first, first - 1, *r.owner, fence=r.fence))
        if last < r.last:
            after.append(KeyRange(last + 1, r.last, *r.owner, fence=r.fence))
    after.append(KeyRange(first, last, *owner, fence=99))
    return sorted(after, key=lambda r: r.first)


def test_first_ranges_cover_all_keys():
    """Some keys had no owner at the start."""
    ranges = build_initial_ranges(OWNERS, EQUAL_CAPACITIES)
    assert ranges[0].first == 0
    assert ranges[-1].last == MAX_KEY
    assert all(a.last + 1 == b.first for a, b in zip(ranges, ranges[1:], strict=False))


def test_hot_keys_are_distributed():
    """Adjacent hot keys stayed with a single owner."""
    counts = {160 + 16 * n: 50.0 for n in range(12)}
    loads = balance(
        build_initial_ranges(OWNERS, EQUAL_CAPACITIES),
        LoadMap(counts),
        EQUAL_CAPACITIES,
    )
    assert max(loads.values()) <= 1.5 * sum(loads.values()) / 4


def test_joined_owner_gets_keys():
    """An upstream that joined got no keys."""
    counts = {n: 1.0 for n in range(0, MAX_KEY, 160)}
    capacities = EQUAL_CAPACITIES | {("u5", 1): 4.0}
    loads = balance(
        build_initial_ranges(OWNERS, EQUAL_CAPACITIES), LoadMap(counts), capacities
    )
    assert loads[("u5", 1)] > 0.5 * loads[("u1", 1)]


def test_slow_owner_gets_less_load():
    """A slow upstream had as many requests as a fast one."""
    counts = {n: 1.0 for n in range(0, MAX_KEY, 160)}
    capacities = EQUAL_CAPACITIES | {("u1", 1): 1.6}
    load_map = LoadMap(counts)
    loads = balance(
        build_initial_ranges(OWNERS, EQUAL_CAPACITIES), load_map, capacities
    )
    assert max(loads.values()) <= 1.5 * min(loads.values())


def test_balanced_ranges_are_not_moved():
    """Keys were moved although the loads were balanced."""
    counts = {n: 1.0 for n in range(0, MAX_KEY, 160)}
    assert not find_moves(
        build_initial_ranges(OWNERS, EQUAL_CAPACITIES),
        LoadMap(counts),
        EQUAL_CAPACITIES,
    )


def test_lost_keys_go_to_several_owners():
    """One upstream got all keys of a lost one, and was overloaded."""
    counts = {n: 1.0 for n in range(0, MAX_KEY, 160)}
    load_map = LoadMap(counts)
    lost, *kept = build_initial_ranges(OWNERS, EQUAL_CAPACITIES)
    capacities = {owner: 4.0 for owner in OWNERS if owner != lost.owner}
    loads = compute_relative_loads(kept, load_map, capacities)
    mean = load_map.sums[-1] / sum(capacities.values())
    pieces = divide_range(lost, load_map, loads, capacities, mean)
    assert len({owner for _, _, owner in pieces}) > 1
    assert pieces[0][0] == lost.first
    assert pieces[-1][1] == lost.last


def test_table_round_trip():
    """A decoded table differed from the encoded one."""
    table = KeyTable(
        "status", 7, 9, tuple(build_initial_ranges(OWNERS, EQUAL_CAPACITIES))
    )
    assert decode_table("status", 7, encode_table(table)) == table


@pytest.mark.parametrize(
    "value",
    [
        None,
        {},
        {"next_fence": 9, "ranges": []},
        {"next_fence": 9, "ranges": [[5, "u1", 1, 1, "", False]]},
        {"next_fence": 9, "ranges": [[0, "u1", 1, 9, "", False]]},
        {
            "next_fence": 9,
            "ranges": [[0, "u1", 1, 1, "", False], [0, "u2", 1, 2, "", False]],
        },
        {"next_fence": "9", "ranges": [[0, "u1", 1, 1, "", False]]},
        "unreadable",
        {"next_fence": 2**64 - 1, "ranges": [[0, "u1", 1, 1, "", False]]},
        {"next_fence": 2**62, "ranges": [[0, "u1", 1, 1, "", False]]},
        {"next_fence": 9, "ranges": [[0, "u1", 1, -1, "", False]]},
        {"next_fence": 9, "ranges": [[0, "u1", -1, 1, "", False]]},
        {"next_fence": 9, "ranges": [[0, "u1", 2**62, 1, "", False]]},
        {"next_fence": 9.5, "ranges": [[0, "u1", 1, 1, "", False]]},
        {"next_fence": 9, "ranges": [[0, "u1", 1, 1, "", [[]]]]},
        {"next_fence": 9, "ranges": [[False, "u1", 1, 1, "", False]]},
        {"next_fence": 9, "ranges": [[0, "u1", 1, 1, "", False], []]},
    ],
)
def test_invalid_table_is_refused(value):
    """An invalid table was accepted."""
    with pytest.raises(KeyTableError):
        decode_table("status", 1, value)


def test_one_hot_key_does_not_block_other_moves():
    """One key that was too hot for any owner blocked the moves of other keys."""
    counts = {n: 1.0 for n in range(0, MAX_KEY, 160)} | {40_000: 400.0}
    # Keys below 8000 get more requests than the others.
    counts |= {n: 8.0 for n in range(0, 8_000, 160)}
    ranges = build_initial_ranges(OWNERS, EQUAL_CAPACITIES)
    load_map = LoadMap(counts)
    for _ in range(12):
        for first, last, owner in find_moves(ranges, load_map, EQUAL_CAPACITIES):
            ranges = reassign(ranges, first, last, owner)
    loads = compute_relative_loads(ranges, load_map, EQUAL_CAPACITIES)
    hot = next(r.owner for r in ranges if r.first <= 40_000 <= r.last)
    rest = [load for owner, load in loads.items() if owner != hot]
    assert max(rest) <= 1.5 * min(rest)
    # The owner of the hot key has little else to do.
    assert loads[hot] * EQUAL_CAPACITIES[hot] <= 1.1 * 400


def test_hot_key_goes_to_the_fastest_owner():
    """The hottest key stayed with a slow owner."""
    counts = {n: 1.0 for n in range(0, MAX_KEY, 160)} | {40_000: 900.0}
    capacities = EQUAL_CAPACITIES | {("u2", 1): 6.0, ("u3", 1): 2.0}
    ranges = build_initial_ranges(OWNERS, EQUAL_CAPACITIES)
    for _ in range(12):
        for first, last, owner in find_moves(ranges, LoadMap(counts), capacities):
            ranges = reassign(ranges, first, last, owner)
    hot = next(r.owner for r in ranges if r.first <= 40_000 <= r.last)
    assert hot == ("u2", 1)


def test_balance_with_a_hot_key_is_stable():
    """A hot key moved repeatedly, and was unavailable during each move."""
    counts = {n: 1.0 for n in range(0, MAX_KEY, 160)} | {40_000: 900.0}
    ranges = build_initial_ranges(OWNERS, EQUAL_CAPACITIES)
    load_map = LoadMap(counts)
    for _ in range(12):
        for first, last, owner in find_moves(ranges, load_map, EQUAL_CAPACITIES):
            ranges = reassign(ranges, first, last, owner)
    assert not find_moves(ranges, load_map, EQUAL_CAPACITIES)


def build_equal_ranges(count):
    """Return equal ranges of owners ``u0`` and so on, and their capacities."""
    capacity_by_owner = {(f"u{number:03}", 1): 4.0 for number in range(count)}
    return build_initial_ranges(sorted(capacity_by_owner), capacity_by_owner)


def test_owner_of_all_busy_keys_is_relieved_in_one_round():
    """Six moves were started at a time. In a large fleet, in which each owner has room
    for a little, an overloaded one was relieved after ten seconds only.
    """
    ranges = build_equal_ranges(60)
    counts = dict.fromkeys(range(0, MAX_KEY, 100), 1.0)
    counts |= dict.fromkeys(range(30_000, 30_600, 2), 2.0)
    owners = {r.owner: 4.0 for r in ranges}
    moves = find_moves(ranges, LoadMap(counts), owners)
    assert len(moves) > 20
    assert len({owner for _, _, owner in moves}) > 10


def test_chance_moves_more_keys_in_a_large_fleet():
    """With 13 requests for each of 200 owners, many differ from the mean by a third. At
    most six moves are worth their cost then.
    """
    rng = random.Random(1)
    ranges = build_equal_ranges(200)
    counts = {}
    for _ in range(200 * 13):
        key = rng.randint(0, MAX_KEY)
        counts[key] = counts.get(key, 0.0) + 1.0
    moves = find_moves(ranges, LoadMap(counts), {r.owner: 4.0 for r in ranges})
    assert len(moves) <= 6
