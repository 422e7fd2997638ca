"""Requests of a caller's connection, and the responses to them."""

import time

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPMessageDelegate

from shallotyard_daemon.chunked_body import ChunkedBody

# Methods whose requests are dispatched beside others of the same connection. What a
# route allows to run twice is not known when a request is read, so that all others wait
# until the responses before them have been written.
CONCURRENT_METHODS = frozenset({"GET", "HEAD"})
# Responses of this size are not joined with their head, which would copy them.
SEPARATE_BODY_BYTES = 65_536


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
            if self._read_finished:
                self.owner.close_stream()
            else:
                self.end_reading()
                self.owner.discard_rest()
        elif not self.stream.closed():
            self.stream.set_nodelay(False)

    async def _read_chunked_body(self, delegate):
        decoder, guard = ChunkedBody(), self.owner.guard
        while not decoder.is_complete:
            data = await self.stream.read_bytes(self.params.chunk_size, partial=True)
            await guard.wait_for_turn()
            began_at = time.perf_counter()
            body = decoder.decode(data)
            guard.count_work(time.perf_counter() - began_at)
            if body:
                await self._deliver_body(delegate, body)
        if decoder.rest:
            # The next request begins in what was read.
            self.stream._read_buffer[:0] = decoder.rest
            self.stream._read_buffer_size += len(decoder.rest)

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
        self.is_dispatched = False
        self.close_callback = None
        self.held_bytes = 0

    def hold(self, size):
        """Set the number of bytes that the request or its response takes."""
        self.owner.message_bytes += size - self.held_bytes
        self.held_bytes = size
        self.owner.update_held_bytes()

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
        if self.response is not None and self.response[2]:
            size = len(self.response[2])
            self.owner.guard.make_room(size, by_force=True)
            self.hold(size)
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
        start_line, headers, chunk = self.response
        if chunk and len(chunk) > SEPARATE_BODY_BYTES:
            self.message.write_headers(start_line, headers)
            self.message.write(chunk)
        else:
            self.message.write_headers(start_line, headers, chunk)
        self.message.finish()


class OrderedDelegate(HTTPMessageDelegate):
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
        self.owner.begin_message(self.exchange, self.delegate, headers)
        return self.delegate.headers_received(start_line, headers)

    def data_received(self, chunk):
        """Pass on a part of the body."""
        self.owner.count_received(len(chunk))
        return self.delegate.data_received(chunk)

    def finish(self):
        """Pass on the complete request, and let the next one be read. A request that
        was on the way when the connection began to end is not passed on; the caller
        takes it for not read.
        """
        self.owner.receiving = None
        if self.owner.may_dispatch():
            self.exchange.is_dispatched = True
            self.owner.is_ending |= self.exchange.message.closes_connection
            self.delegate.finish()
        else:
            self.owner.discard(self.exchange)
            self.delegate.on_connection_close()
        self.exchange.message.end_reading()

    def on_connection_close(self):
        """Tell the delegate that the request will not be complete."""
        self.owner.receiving = None
        self.delegate.on_connection_close()
