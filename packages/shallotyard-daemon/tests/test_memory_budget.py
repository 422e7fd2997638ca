"""Tests of the memory budget, without connections."""

from shallotyard_daemon.caller_guard import count_caller_fds
from shallotyard_daemon.memory_budget import CALLERS
from shallotyard_daemon.memory_budget import PROGRESS_BYTES
from shallotyard_daemon.memory_budget import RESIDENT_BYTES_PER_BYTE
from shallotyard_daemon.memory_budget import SHARE_BY_EDGE
from shallotyard_daemon.memory_budget import EdgeBudget
from shallotyard_daemon.memory_budget import Holder
from shallotyard_daemon.memory_budget import build_edges
from shallotyard_daemon.memory_budget import choose_victims


def test_edges_together_exceed_the_memory():
    """Guards against shares that do not fit into the memory beside the program, and a
    share of callers without room for the largest body in 300 MB.
    """
    assert sum(SHARE_BY_EDGE.values()) <= 1.0
    edges = build_edges(300_000_000, 70_000_000)
    total = sum(edge.limit_bytes for edge in edges.values())
    assert 70_000_000 + total * RESIDENT_BYTES_PER_BYTE < 300_000_000
    assert edges[CALLERS].fits(64 * 1024 * 1024)
    assert all(edge.limit_bytes > 0 for edge in build_edges(10, 20).values())


def test_large_bodies_take_the_room_of_small_requests():
    """Guards against ordinary requests that are refused beside large bodies."""
    edge = EdgeBudget(10_000_000, held_bytes=8_000_000)
    assert not edge.fits(200_000)
    assert not edge.fits(1000, holder_bytes=200_000)
    assert edge.fits(1000)


def test_connection_that_makes_progress_is_ended_first():
    """Guards against ending callers that send, before those that hold memory idly."""
    idle, trickling, sending, small = [Holder(n) for n in range(4)]
    idle.held_bytes = trickling.held_bytes = sending.held_bytes = 1000
    small.held_bytes = 10
    trickling.moved_bytes = PROGRESS_BYTES - 1
    sending.moved_bytes = PROGRESS_BYTES
    holders = [sending, small, trickling, idle]
    for holder in holders:
        holder.observe(5.0)
    assert set(choose_victims(holders, 1500, 5.5)) == {idle, trickling}
    assert choose_victims(holders, 5000, 5.5, by_force=True)[2:] == [small, sending]


def test_callers_take_all_descriptors():
    """Guards against descriptors that upstreams, instances and the store lack."""
    assert count_caller_fds(0) == 0
    assert count_caller_fds(4100) == 3075
    assert count_caller_fds(150) == 54
