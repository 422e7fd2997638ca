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
from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPMessageDelegate
from tornado.iostream import StreamClosedError
from tornado.iostream import UnsatisfiableReadError

# Requests of one connection without a written response. Beyond it the connection is not
# read, so that the caller's own send buffer fills.
MAX_PIPELINED_REQUESTS = 16
# Methods whose requests are dispatched beside others of the same connection. What a
# route allows to run twice is not known when a request is read, so that all others wait
# until the responses before them have been written.
CONCURRENT_METHODS = frozenset({"GET", "HEAD"})
# After a response with "Connection: close", bytes that were on the way are read and
# discarded for this long. A connection that is closed with unread bytes is reset, and
# the caller could lose the response.
LINGER_S = 1.0
_DISCARD_CHUNK_BYTES = 65_536
# Written by tornado for a request that it cannot parse; it lacks the verdict.
_TORNADO_BAD_REQUEST = b"HTTP/1.1 400 Bad Request\r\n\r\n"


class _Message(HTTP1Connection):
    """One request of a connection, and the response to it.

    It overrides undocumented methods of tornado 6.6, which is pinned in
    requirements.txt: the callbacks of the stream belong to the `CallerConnection`, and
    reading does not wait for the response.

    :param owner: the `CallerConnection`.
    """

    def __init__(self, owner):
        self.owner = owner
        super().__init__(owner.stream, False, owner.params, owner.context)

    def end_reading(self):
        """Let the next request be read before the response has been written."""
        if not self._finish_future.done():
            self._finish_future.set_result(None)

    @property
    def closes_connection(self):
        """Return whether the connection ends with the response, because the caller
        wants it or because the rest of the request is not read.
        """
        return self._disconnect_on_finish

    def _clear_callbacks(self):
        self._write_callback = None
        self._write_future = None
        self._close_callback = None

    def _finish_request(self, future):
        if self._disconnect_on_finish:
            self.owner.close_stream()
        elif not self.stream.closed():
            self.stream.set_nodelay(False)

    def close(self):
        """End the connection after the responses to the requests before this one."""
        self.end_reading()
        self.owner.close_after_responses()


class Exchange:
    """A request and its response on a connection, as used by the `CallerServer`.

    :param owner: the `CallerConnection`.
    """

    def __init__(self, owner):
        self.owner = owner
        self.stream = owner.stream
        self.context = owner.context
        self.message = _Message(owner)
        self.response = None
        self.raw_response = b""
        self.finished = False
        self.is_concurrent = False
        self.close_callback = None

    def set_close_callback(self, callback):
        """Set the function that is called if the connection ends before the response
        is written.
        """
        self.close_callback = callback

    def write_headers(self, start_line, headers, chunk=None):
        """Set the response; it is written after `finish`, when its turn has come."""
        self.response = (start_line, headers, chunk)

    def finish(self):
        """Write the response, unless responses to earlier requests are missing."""
        self.finished = True
        self.close_callback = None
        self.owner.write_responses()

    def close(self):
        """Close the connection at once."""
        self.owner.close_stream()

    def asks_to_close(self):
        """Return whether the response tells the caller to send nothing more."""
        if self.raw_response:
            return True
        return self.response[1].get("Connection", "").lower() == "close"

    def tell_whether_to_close(self, is_last):
        """Say with the response whether it is the last one of the connection."""
        if self.raw_response:
            return
        headers = self.response[1]
        if is_last:
            headers["Connection"] = "close"
        elif "Connection" in headers:
            del headers["Connection"]

    def write(self):
        """Write the response to the stream."""
        if self.raw_response:
            self.owner.write_bytes(self.raw_response)
            return
        self.message.write_headers(*self.response)
        self.message.finish()


class _OrderedDelegate(HTTPMessageDelegate):
    """Passes on a request to its delegate, and gives it its place on the connection.

    :param owner: the `CallerConnection`.
    :param exchange: the `Exchange`.
    :param delegate: the delegate of the server.
    """

    def __init__(self, owner, exchange, delegate):
        self.owner = owner
        self.exchange = exchange
        self.delegate = delegate

    def headers_received(self, start_line, headers):
        """Begin the exchange, when earlier ones have ended if it may not run beside
        them.
        """
        self.exchange.is_concurrent = start_line.method in CONCURRENT_METHODS
        if self.exchange.is_concurrent or not self.owner.exchanges:
            return self._begin(start_line, headers)
        return self._begin_alone(start_line, headers)

    async def _begin_alone(self, start_line, headers):
        await self.owner.wait_for_responses(0)
        self._begin(start_line, headers)

    def _begin(self, start_line, headers):
        self.owner.exchanges.append(self.exchange)
        return self.delegate.headers_received(start_line, headers)

    def data_received(self, chunk):
        """Pass on a part of the body."""
        return self.delegate.data_received(chunk)

    def finish(self):
        """Pass on the complete request, and let the next one be read. A request that
        was on the way when the connection began to end is not passed on; the caller
        takes it for not read.
        """
        if self.owner.may_dispatch():
            self.owner.is_ending |= self.exchange.message.closes_connection
            self.delegate.finish()
        else:
            self.owner.discard(self.exchange)
            self.delegate.on_connection_close()
        self.exchange.message.end_reading()

    def on_connection_close(self):
        """Tell the delegate that the request will not be complete."""
        self.delegate.on_connection_close()


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
            ordered = _OrderedDelegate(self, self.reading, delegate)
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
