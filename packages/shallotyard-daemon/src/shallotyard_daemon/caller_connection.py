"""Connections of callers, on which requests may be sent ahead of responses.

Tornado reads the next request of a connection when the response to the one before has
been written. Here, requests that may be processed side by side are read and dispatched
at once, and their responses are written in the order of the requests.
"""

import asyncio
import contextlib
import socket
from collections import deque

from tornado.gen import with_timeout
from tornado.httputil import HTTPInputError
from tornado.iostream import StreamClosedError
from tornado.iostream import UnsatisfiableReadError

from shallotyard_daemon.caller_guard import BODY_TIMEOUT_S
from shallotyard_daemon.caller_guard import ENDED_BODY
from shallotyard_daemon.caller_guard import ENDED_HEAD
from shallotyard_daemon.caller_guard import ENDED_IDLE
from shallotyard_daemon.caller_guard import ENDED_MEMORY
from shallotyard_daemon.exchanges import Exchange
from shallotyard_daemon.exchanges import OrderedDelegate
from shallotyard_daemon.memory_budget import Holder

# Requests of one connection without a written response. Beyond it the connection is not
# read, so that the caller's own send buffer fills.
MAX_PIPELINED_REQUESTS = 16
# After a response with "Connection: close", bytes that were on the way are read and
# discarded for this long. A connection that is closed with unread bytes is reset, and
# the caller could lose the response.
LINGER_S = 1.0
_DISCARD_CHUNK_BYTES = 16_384
# A request that was refused before its end is read and discarded for this long.
DISCARD_S = 5.0
# Memory of a connection without a request: stream, task, futures and buffers.
CONNECTION_BYTES = 16_384
# Memory of a request beside its body: events, log fields, and the transfer to an
# upstream with its buffers in libcurl.
REQUEST_BYTES = 24_576
# Memory of a header field beside its text.
FIELD_BYTES = 512
HEAD_TOO_LARGE = "head-too-large"
MALFORMED = "malformed"
REQUEST_TIMEOUT_STATUS = 408
# Written by tornado for a request that it cannot parse; it lacks the verdict.
_TORNADO_BAD_REQUEST = b"HTTP/1.1 400 Bad Request\r\n\r\n"


class CallerConnection:
    """A connection of a caller.

    :param stream: tornado's stream.
    :param params: tornado's connection parameters.
    :param context: tornado's context of the connection.
    :param server: the server, which creates the delegates of requests.
    :param build_raw_refusal: function from a status and a reason to the whole response
        to a request that is refused before its head is complete, as bytes.
    :param guard: the `CallerGuard`.
    """

    def __init__(self, stream, params, context, server, build_raw_refusal, guard):
        self.stream = stream
        self.params = params
        self.context = context
        self.server = server
        self.build_raw_refusal = build_raw_refusal
        self.guard = guard
        self.holder = Holder(self)
        self.message_bytes = 0
        self.received_bytes = 0
        # Bytes of responses that the kernel has not taken yet, as the stream keeps each
        # response as a whole.
        self.writing_bytes = 0
        # The delegate of the request whose body is being read.
        self.receiving = None
        # Whether its body waits for memory.
        self.is_paused = False
        self.is_reading_head = False
        self.is_discarding = False
        self.head_fault = (400, MALFORMED)
        # Times of the event loop, in seconds.
        self.idle_since = self.received_at = guard.loop.time()
        self.head_since = None
        self.exchanges = deque()
        self.reading = None
        # Whether no further request of this connection is dispatched.
        self.is_ending = False
        self.writing = False
        self.task = None
        self.progress = asyncio.Event()
        self.write_bytes = stream.write
        stream.write = self._write_for_tornado
        self._close_stream = stream.close
        stream.close = self._close_for_tornado

    def start_serving(self):
        """Read requests until the connection ends."""
        self.task = asyncio.get_running_loop().create_task(self._serve())

    async def close(self):
        """Close the connection, and wait until nothing of it runs."""
        self.close_stream()
        with contextlib.suppress(Exception):
            await self.task

    async def _serve(self):
        try:
            # Read errors of a closed connection and of oversized heads.
            with contextlib.suppress(StreamClosedError, UnsatisfiableReadError):
                await self._read_requests()
                await self._linger()
        finally:
            self.close_stream()
            self.guard.remove(self)
            self.server.on_close(self)

    async def _read_requests(self):
        while not self.is_ending:
            self.reading = Exchange(self)
            self.is_reading_head = True
            self.head_since = None
            delegate = self.server.start_request(self, self.reading)
            ordered = OrderedDelegate(self, self.reading, delegate)
            is_open = await self.reading.message.read_response(ordered)
            if not is_open or self.stream.closed():
                break
            limit = MAX_PIPELINED_REQUESTS - 1 if self.reading.is_concurrent else 0
            await self.wait_for_responses(limit)
        await self.wait_for_responses(0)

    async def wait_for_responses(self, count):
        """Wait until at most a number of requests have no written response, or the
        connection has ended.
        """
        if len(self.exchanges) <= count or self.stream.closed():
            return
        # While nothing is read, only this shows that the caller has left.
        self.stream.set_close_callback(self._handle_close)
        while len(self.exchanges) > count and not self.stream.closed():
            self.progress.clear()
            await self.progress.wait()
        self.stream.set_close_callback(None)

    def write_responses(self):
        """Write the responses whose turn has come."""
        if self.writing:
            return
        self.writing = True
        try:
            while self.exchanges and self.exchanges[0].finished:
                if self.stream.closed():
                    break
                if self.stream.writing():
                    # The caller reads slowly. Responses that wait here count for the
                    # requests that may be read ahead.
                    break
                exchange = self.exchanges.popleft()
                self.is_ending |= exchange.asks_to_close()
                if self.is_ending:
                    # Requests behind this one have been dispatched. Callers would take
                    # them for not read, and send them again.
                    exchange.tell_whether_to_close(not self.exchanges)
                self.writing_bytes = exchange.held_bytes
                exchange.write()
                exchange.response = None
                exchange.hold(0)
                if not self.stream.closed() and self.stream.writing():
                    self.holder.mark(self.guard.loop.time())
                    self.write_bytes(b"").add_done_callback(self._handle_sent)
            if not self.exchanges:
                self.idle_since = self.guard.loop.time()
                self.guard.mark_idle(self)
        finally:
            self.writing = False
            self.progress.set()

    def _handle_sent(self, future):
        """Go on when the kernel has taken a response."""
        if not self.stream.closed():
            self.update_held_bytes()
            self.write_responses()

    def has_unsent(self):
        """Return whether a response has not been taken by the kernel."""
        if self.stream.closed():
            return False
        waits = bool(self.exchanges) and self.exchanges[0].finished
        return waits or self.stream.writing()

    def begin_message(self, exchange, delegate, headers):
        """Record that the head of a request is complete."""
        self.is_reading_head = False
        self.receiving = delegate
        self.received_at = self.guard.loop.time()
        self.holder.mark(self.received_at)
        self.exchanges.append(exchange)
        exchange.hold(REQUEST_BYTES + FIELD_BYTES * len(headers))
        self.guard.mark_busy(self)

    def count_received(self, size):
        """Record that a part of a body has arrived."""
        self.received_bytes += size
        self.received_at = self.guard.loop.time()

    def update_held_bytes(self):
        """Count what this connection holds, and how its bytes move."""
        stream, holder = self.stream, self.holder
        if stream.closed():
            return
        if not stream.writing():
            self.writing_bytes = 0
        # tornado has no public counts of its buffers.
        held = CONNECTION_BYTES + self.message_bytes + self.writing_bytes
        self.guard.update(holder, held + stream._read_buffer_size)
        holder.moved_bytes = self.received_bytes + stream._total_write_done_index
        holder.observe(self.guard.loop.time())

    def may_be_ended(self):
        """Return whether no request of this connection is in progress, or its caller
        does not read the responses.
        """
        if self.stream.closed():
            return False
        if self.is_discarding or self.stream.writing():
            return True
        return not any(e.is_dispatched and not e.finished for e in self.exchanges)

    def find_overdue(self, now, limits):
        """Return the reason for which the time of this connection is over, ``""`` if it
        is not.

        :param now: time of the event loop, in seconds.
        :param limits: the `CallerLimits`.
        """
        if self.stream.closed() or self.is_discarding:
            return ""
        if self.exchanges:
            self.head_since = None
            if self.is_paused:
                self.received_at = now
            elif self.receiving is not None:
                overdue = now - self.received_at >= BODY_TIMEOUT_S
                return ENDED_BODY if overdue else ""
            elif not self.stream.writing():
                self.holder.mark(now)
            return ""
        if self.stream.writing():
            self.idle_since = now
            return ""
        if not (self.is_reading_head and self.stream._read_buffer_size):
            self.head_since = None
        elif self.head_since is None:
            self.head_since = now
        if self.head_since is not None and limits.header_timeout_s is not None:
            overdue = now - self.head_since >= limits.header_timeout_s
            return ENDED_HEAD if overdue else ""
        return ENDED_IDLE if now - self.idle_since >= limits.idle_timeout_s else ""

    def end(self, reason):
        """End this connection, with a refusal if a request is being read."""
        if self.receiving is not None and reason in (ENDED_BODY, ENDED_MEMORY):
            status = 503 if reason == ENDED_MEMORY else REQUEST_TIMEOUT_STATUS
            self.receiving.refuse_early(status, reason)
            return
        if reason == ENDED_HEAD:
            self._refuse_head(REQUEST_TIMEOUT_STATUS, reason)
        self.close_stream()

    def discard_rest(self):
        """Read and discard the rest of a request that was refused."""
        self.is_ending = self.is_discarding = True
        self.receiving = None
        self.guard.mark_discarding(self)
        self.holder.mark(self.guard.loop.time())
        self.progress.set()
        self.guard.loop.call_later(DISCARD_S, self.close_stream)
        if self.stream._read_future is not None:
            self._fail_read("refused")

    def may_dispatch(self):
        """Return whether a request that has been read may be passed on."""
        return not self.is_ending and not self.stream.closed()

    def discard(self, exchange):
        """Forget a request that is not passed on."""
        if exchange in self.exchanges:
            self.exchanges.remove(exchange)
        self.progress.set()

    def close_after_responses(self):
        """Dispatch no further request, and let the connection end with the responses
        to those before.
        """
        self.is_ending = True
        is_refused = self.reading is not None and self.reading.raw_response
        is_refused = is_refused or self.is_discarding
        if not self.exchanges and not self.stream.writing() and not is_refused:
            self.close_stream()

    def close_stream(self):
        """Close the connection at once, as for a caller that has left."""
        self.is_ending = True
        if not self.stream.closed():
            self.stream.close()
        self._drop_exchanges()
        self.guard.remove(self)
        self.progress.set()

    def _handle_close(self):
        self.close_stream()

    def _drop_exchanges(self):
        """Cancel the requests that get no response on this connection."""
        dropped, self.exchanges = self.exchanges, deque()
        for exchange in dropped:
            callback, exchange.close_callback = exchange.close_callback, None
            if callback is not None:
                callback()

    async def _linger(self):
        """Close the sending side, and read until the caller closes its own."""
        if self.stream.closed():
            return
        if self.stream.writing():
            await self.write_bytes(b"")
        with contextlib.suppress(OSError):
            self.stream.socket.shutdown(socket.SHUT_WR)
        linger_s = DISCARD_S if self.is_discarding else LINGER_S
        deadline = self.stream.io_loop.time() + linger_s
        with contextlib.suppress(TimeoutError):
            while True:
                read = self.stream.read_bytes(_DISCARD_CHUNK_BYTES, partial=True)
                await with_timeout(deadline, read, quiet_exceptions=StreamClosedError)

    def _write_for_tornado(self, data):
        """Write bytes of tornado itself, but put its response to a malformed request in
        its place.
        """
        if data != _TORNADO_BAD_REQUEST:
            return self.write_bytes(data)
        if not self.is_discarding:
            self._refuse_head(*self.head_fault)
        written = asyncio.get_running_loop().create_future()
        written.set_result(None)
        return written

    def _refuse_head(self, status, reason):
        exchange = self.reading
        if exchange.finished:
            return
        if exchange not in self.exchanges:
            self.exchanges.append(exchange)
        exchange.raw_response = self.build_raw_refusal(status, reason)
        exchange.finish()

    def _close_for_tornado(self, exc_info=False):
        """Close the stream, but refuse a head or a line of a body that is too long;
        tornado would close it without a response.
        """
        future = self.stream._read_future
        is_refused = isinstance(exc_info, UnsatisfiableReadError) and future is not None
        if not is_refused or self.stream.closed():
            self._close_stream(exc_info=exc_info)
            return
        if self.is_reading_head:
            self.head_fault = (431, HEAD_TOO_LARGE)
        self._fail_read("line or head too long")

    def _fail_read(self, reason):
        """Let tornado give up the request that it reads, without closing the stream."""
        stream = self.stream
        future, stream._read_future = stream._read_future, None
        stream._read_bytes = stream._read_regex = stream._read_delimiter = None
        stream._read_max_bytes = None
        stream._read_partial = False
        stream._read_buffer.clear()
        stream._read_buffer_size = 0
        future.set_exception(HTTPInputError(reason))
