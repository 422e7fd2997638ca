"""Keeps the connections of callers within memory, descriptors and time limits."""

import asyncio
from collections import deque

from shallotyard_core.caller_limits import CallerLimits
from shallotyard_daemon.memory_budget import CALLERS
from shallotyard_daemon.memory_budget import build_edges
from shallotyard_daemon.memory_budget import choose_victims

SWEEP_PERIOD_S = 0.25
# A search for connections to end takes some milliseconds with thousands of them.
MIN_SEARCH_PERIOD_S = 0.05
MIN_FORCED_SEARCH_PERIOD_S = 0.01
# A body of which no byte arrives is given up. Callers within the limits send without
# pauses; the connection may be lost for some seconds.
BODY_TIMEOUT_S = 30.0
# One log line for each reason within this time.
LOG_PERIOD_S = 5.0
# Stated with refusals, with which callers come back after stalled ones were ended.
RETRY_AFTER_S = 1.0
# Work on bodies in one turn of the event loop, in seconds, and connections that go on
# in the next one if it was exceeded. Decoding what one reads takes up to 3 ms.
MAX_TURN_WORK_S = 0.005
RESUMED_PER_TURN = 4
# Descriptors kept for upstreams, other instances, the store, logs and listening
# sockets: as many of the process or as large a part of them.
MIN_RESERVED_FDS = 96
RESERVED_FDS_FRACTION = 0.25
MIN_CALLER_CONNECTIONS = 8

DEFAULT_LIMITS = CallerLimits()

ENDED_MEMORY = "memory-short"
ENDED_DESCRIPTORS = "descriptors-short"
ENDED_IDLE = "idle-timeout"
ENDED_HEAD = "head-timeout"
ENDED_BODY = "body-timeout"


def count_caller_fds(max_fds):
    """Return the number of connections of callers, 0 for any number.

    :param max_fds: descriptors that the process may open, 0 if unknown.
    """
    if not max_fds:
        return 0
    reserved = max(MIN_RESERVED_FDS, int(max_fds * RESERVED_FDS_FRACTION))
    return max(MIN_CALLER_CONNECTIONS, max_fds - reserved)


class CallerGuard:
    """State of all connections of callers.

    :param report: function that takes a reason and the number of connections or
        requests that were ended for it since the last call.
    :param edge: the `EdgeBudget` of callers.
    :param max_connections: maximum number of connections, 0 for any number.
    :param get_limits: function that returns the `CallerLimits` in force, None for the
        default.
    """

    def __init__(self, report, edge=None, max_connections=0, get_limits=None):
        self.report = report
        self.edge = edge or build_edges()[CALLERS]
        self.max_connections = max_connections
        self.get_limits = get_limits or (lambda: None)
        self.loop = asyncio.get_running_loop()
        self.connections = set()
        # Idle connections, oldest first; those that never carried a request apart.
        self.unused, self.kept = {}, {}
        # Those whose last request was refused before its end.
        self.discarding = {}
        self.waiters = deque()
        self.ended_by_reason = {}
        self.reported_by_reason = {}
        self.reported_at = {}
        self.searched_at = 0.0
        # Time spent on bodies in this turn of the event loop, and those that wait.
        self.work_s = 0.0
        self.is_turn_counted = False
        self.parked = deque()

    async def wait_for_turn(self):
        """Wait until a connection may decode a part of a body, so that tiny chunks do
        not hold up ordinary requests.
        """
        if self.work_s >= MAX_TURN_WORK_S or self.parked:
            future = self.loop.create_future()
            self.parked.append(future)
            await future

    def count_work(self, work_s):
        """Count time spent on a body in this turn, in seconds."""
        self.work_s += work_s
        if not self.is_turn_counted:
            self.is_turn_counted = True
            self.loop.call_soon(self._begin_turn)

    def _begin_turn(self):
        self.work_s = 0.0
        self.is_turn_counted = bool(self.parked)
        if self.parked:
            # After the next look at the sockets, which ordinary requests wait for.
            self.loop.call_soon(self._begin_turn)
        for _ in range(min(RESUMED_PER_TURN, len(self.parked))):
            future = self.parked.popleft()
            if not future.done():
                future.set_result(None)

    @property
    def limits(self):
        """The `CallerLimits` in force."""
        return self.get_limits() or DEFAULT_LIMITS

    def admit(self, size):
        """Return whether a new connection may be opened, and end others for it."""
        if self.max_connections and len(self.connections) >= self.max_connections:
            lists = (self.unused, self.kept, self.discarding)
            oldest = next((c for by_age in lists for c in by_age), None)
            oldest = oldest or self._find_stalled()
            if oldest is None:
                self.count(ENDED_DESCRIPTORS)
                return False
            self._end(oldest, ENDED_DESCRIPTORS)
        if not self.make_room(size):
            self.count(ENDED_MEMORY)
            return False
        return True

    def _find_stalled(self):
        """Return a connection that makes no progress, None if there is none."""
        now = self.loop.time()
        if now - self.searched_at < MIN_SEARCH_PERIOD_S:
            return None
        self.searched_at = now
        holders = (c.holder for c in self.connections if c.may_be_ended())
        victims = choose_victims(holders, 1, now)
        return victims[0].connection if victims else None

    def add(self, connection):
        """Add a new connection."""
        self.connections.add(connection)
        connection.holder.mark(self.loop.time())
        self.unused[connection] = None

    def remove(self, connection):
        """Remove a connection that has ended."""
        self.connections.discard(connection)
        self.unused.pop(connection, None)
        self.kept.pop(connection, None)
        self.discarding.pop(connection, None)
        self.update(connection.holder, 0)

    def mark_idle(self, connection):
        """Record that a connection has no request."""
        if connection in self.connections:
            self.kept[connection] = None

    def mark_discarding(self, connection):
        """Record that only the rest of a refused request is read."""
        self.mark_busy(connection)
        if connection in self.connections:
            self.discarding[connection] = None

    def mark_busy(self, connection):
        """Record that a request begins on a connection."""
        self.unused.pop(connection, None)
        self.kept.pop(connection, None)

    def update(self, holder, held_bytes):
        """Set what a connection holds."""
        change = held_bytes - holder.held_bytes
        holder.held_bytes = held_bytes
        self.edge.held_bytes += change
        if change < 0 and self.waiters:
            self._wake()

    def make_room(self, size, holder_bytes=0, by_force=False):
        """Return whether bytes fit, after connections without progress were ended.

        :param size: number of bytes.
        :param holder_bytes: bytes that their holder has already.
        :param by_force: whether connections that make progress may be ended too.
        """
        if self.edge.fits(size, holder_bytes):
            return True
        now = self.loop.time()
        period_s = MIN_FORCED_SEARCH_PERIOD_S if by_force else MIN_SEARCH_PERIOD_S
        if now - self.searched_at < period_s:
            return False
        self.searched_at = now
        excess = self.edge.find_excess(size, holder_bytes)
        holders = [c.holder for c in self.connections if c.may_be_ended()]
        for holder in choose_victims(holders, excess, now, by_force):
            self._end(holder.connection, ENDED_MEMORY)
        return self.edge.fits(size, holder_bytes)

    async def wait_for_room(self, connection, size, is_waiting):
        """Wait until a connection may hold more bytes, or need not.

        :param is_waiting: function that returns whether it still wants them.
        """
        while is_waiting():
            if self.make_room(size, connection.holder.held_bytes):
                return
            waiter = self.loop.create_future()
            self.waiters.append(waiter)
            # Others may come to make no progress while nothing is freed.
            await asyncio.wait([waiter], timeout=SWEEP_PERIOD_S)
            waiter.cancel()

    def _wake(self):
        while self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def _end(self, connection, reason):
        self.count(reason)
        connection.end(reason)

    def count(self, reason):
        """Count a connection or a request that was ended or refused."""
        self.ended_by_reason[reason] = self.ended_by_reason.get(reason, 0) + 1

    def sweep(self):
        """End connections whose time is over, and report what was ended."""
        now = self.loop.time()
        limits = self.limits
        for connection in list(self.connections):
            connection.update_held_bytes()
            reason = connection.find_overdue(now, limits)
            if reason:
                self._end(connection, reason)
        # Heads and pipelined requests are counted here only.
        self.make_room(0, by_force=True)
        for reason, count in self.ended_by_reason.items():
            reported = self.reported_by_reason.get(reason, 0)
            due_at = self.reported_at.get(reason, now - LOG_PERIOD_S) + LOG_PERIOD_S
            if count > reported and now >= due_at:
                self.reported_at[reason] = now
                self.reported_by_reason[reason] = count
                self.report(reason, count - reported)
