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
from tornado.iostream import StreamClosedError
from tornado.iostream import UnsatisfiableReadError

from shallotyard_daemon.exchanges import Exchange
from shallotyard_daemon.exchanges import OrderedDelegate

# Requests of one connection without a written response. Beyond it the connection is not
# read, so that the caller's own send buffer fills.
MAX_PIPELINED_REQUESTS = 16
# After a response with "Connection: close", bytes that were on the way are read and
# discarded for this long. A connection that is closed with unread bytes is reset, and
# the caller could lose the response.
LINGER_S = 1.0
_DISCARD_CHUNK_BYTES = 65_536
# Written by tornado for a request that it cannot parse; it lacks the verdict.
_TORNADO_BAD_REQUEST = b"HTTP/1.1 400 Bad Request\r\n\r\n"


class CallerConnection:
    """A connection of a caller.

    :param stream: tornado's stream.
    :param params: tornado's connection parameters.
    :param context: tornado's context of the connection.
    :param server: the server, which creates the delegates of requests.
    :param build_malformed_response: function that returns the whole response to a
        malformed request as bytes.
    """

    def __init__(self, stream, params, context, server, build_malformed_response):
        self.stream = stream
        self.params = params
        self.context = context
        self.server = server
        self.build_malformed_response = build_malformed_response
        self.exchanges = deque()
        self.reading = None
        # Whether no further request of this connection is dispatched.
        self.is_ending = False
        self.writing = False
        self.task = None
        self.progress = asyncio.Event()
        self.write_bytes = stream.write
        stream.write = self._write_for_tornado

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
            self.server.on_close(self)

    async def _read_requests(self):
        while not self.is_ending:
            self.reading = Exchange(self)
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
                exchange = self.exchanges.popleft()
                self.is_ending |= exchange.asks_to_close()
                if self.is_ending:
                    # Requests behind this one have been dispatched. Callers would take
                    # them for not read, and send them again.
                    exchange.tell_whether_to_close(not self.exchanges)
                exchange.write()
        finally:
            self.writing = False
            self.progress.set()

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
        if not self.exchanges and not self.stream.writing():
            self.close_stream()

    def close_stream(self):
        """Close the connection at once, as for a caller that has left."""
        self.is_ending = True
        if not self.stream.closed():
            self.stream.close()
        self._drop_exchanges()
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
        deadline = self.stream.io_loop.time() + LINGER_S
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
        exchange = self.reading
        if exchange not in self.exchanges:
            self.exchanges.append(exchange)
        exchange.raw_response = self.build_malformed_response()
        exchange.finish()
        written = asyncio.get_running_loop().create_future()
        written.set_result(None)
        return written
