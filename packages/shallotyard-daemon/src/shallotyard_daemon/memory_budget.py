"""Bounds what callers, upstreams, other instances and the store make a process hold.

The load that this handles is a crowd of connections that send or read almost nothing,
or many at once with large bodies. Everything here is without I/O.
"""

from dataclasses import dataclass
from typing import Any

CALLERS = "callers"
UPSTREAMS = "upstreams"
PEERS = "peers"
STORE = "store"
# Callers hold bodies of requests and unread responses, the others only what is in
# transfer. The share of callers lets one body of 64 MiB fit into 300 MB.
SHARE_BY_EDGE = {CALLERS: 0.5, UPSTREAMS: 0.2, PEERS: 0.15, STORE: 0.15}
# Resident memory for each accounted byte: spare room of growing buffers and
# fragments of the allocator.
RESIDENT_BYTES_PER_BYTE = 1.25
# Tables of routes and upstreams, logs, and connections of gRPC, which grow after the
# start.
GROWTH_BYTES = 12_000_000
# An instance whose memory is exhausted at its start still serves small requests.
MIN_TOTAL_BYTES = 8 * 1024 * 1024
# Where the settings name no limit. It is far above what callers hold on usual days.
DEFAULT_TOTAL_BYTES = 1024 * 1024 * 1024
# The rest of an edge is kept for holders of little, which ordinary requests are.
LARGE_FRACTION = 0.8
# A body of unknown length makes a holder a large one.
SMALL_HOLDER_BYTES = 96 * 1024
# A holder whose bytes moved less than this within the time makes no progress. 32 kbit/s
# is far below what callers within the limits send or read.
PROGRESS_BYTES = 4096
STALLED_S = 1.0
# Room that is made in one go, so that holders are not searched for each request.
SPARE_FRACTION = 0.05


@dataclass(slots=True)
class EdgeBudget:
    """Bytes of one edge.

    :param limit_bytes: bytes that its holders may take together.
    :param held_bytes: bytes that they take now.
    """

    limit_bytes: int
    held_bytes: int = 0

    def fits(self, size, holder_bytes=0):
        """Return whether a holder may take more bytes.

        :param size: number of bytes to add.
        :param holder_bytes: bytes that the holder has already.
        """
        is_small = holder_bytes + size <= SMALL_HOLDER_BYTES
        limit = self.limit_bytes * (1.0 if is_small else LARGE_FRACTION)
        return self.held_bytes + size <= limit

    def find_excess(self, size, holder_bytes=0):
        """Return the number of bytes to free before a holder may take more, with some
        spare room.
        """
        is_small = holder_bytes + size <= SMALL_HOLDER_BYTES
        limit = self.limit_bytes * (1.0 if is_small else LARGE_FRACTION)
        spare = self.limit_bytes * SPARE_FRACTION
        return max(0.0, self.held_bytes + size + spare - limit)


def build_edges(memory_bytes=0, resident_bytes=0):
    """Return the `EdgeBudget` of each edge by its name.

    :param memory_bytes: limit of the resident memory of the process, 0 if unknown.
    :param resident_bytes: resident memory at the start.
    """
    total = DEFAULT_TOTAL_BYTES
    if memory_bytes:
        room = memory_bytes - resident_bytes - GROWTH_BYTES
        total = max(MIN_TOTAL_BYTES, room / RESIDENT_BYTES_PER_BYTE)
    return {name: EdgeBudget(int(total * s)) for name, s in SHARE_BY_EDGE.items()}


@dataclass(slots=True, eq=False)
class Holder:
    """What one connection holds, and how its bytes move.

    :param connection: the connection.
    :param held_bytes: bytes that it takes.
    :param moved_bytes: bytes of messages received and sent on it.
    :param marked_bytes: the same at the last mark.
    :param marked_at: time since which it has made no progress, in seconds.
    """

    connection: Any
    held_bytes: int = 0
    moved_bytes: int = 0
    marked_bytes: int = 0
    marked_at: float = 0.0

    def mark(self, now):
        """Begin to measure the progress anew."""
        self.marked_bytes = self.moved_bytes
        self.marked_at = now

    def observe(self, now):
        """Take note of the progress since the last mark."""
        if self.moved_bytes - self.marked_bytes >= PROGRESS_BYTES:
            self.mark(now)

    def is_stalled(self, now):
        """Return whether it makes no progress."""
        return now - self.marked_at >= STALLED_S


def choose_victims(holders, excess_bytes, now, by_force=False):
    """Return holders to end until enough bytes are free: those that hold most and make
    least progress first.

    :param holders: the `Holder` of each connection that may be ended.
    :param excess_bytes: number of bytes to free.
    :param by_force: whether holders that make progress may be ended too.
    """
    candidates = [h for h in holders if by_force or h.is_stalled(now)]
    candidates.sort(
        key=lambda h: (h.is_stalled(now), h.held_bytes * (now - h.marked_at)),
        reverse=True,
    )
    victims = []
    freed = 0
    for holder in candidates:
        if freed >= excess_bytes:
            break
        victims.append(holder)
        freed += holder.held_bytes
    return victims
