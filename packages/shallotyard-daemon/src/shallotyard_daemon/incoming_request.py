"""A caller's request while it is received."""

import io

from tornado.httputil import HTTPInputError
from tornado.httputil import HTTPMessageDelegate

from shallotyard_daemon.caller_guard import ENDED_MEMORY
from shallotyard_daemon.memory_budget import SMALL_HOLDER_BYTES

# Beyond any length, because tornado's own response to a longer body has no verdict.
ANY_BODY_BYTES = 2**62
MAX_LENGTH_DIGITS = 18
# Memory that a body of unknown length may take before more is reserved.
READ_AHEAD_BYTES = 65_536
BODY_TOO_LARGE = "body-too-large"


class IncomingRequest(HTTPMessageDelegate):
    """A caller's request, filled in while it is received.

    Used instead of tornado's request object, which parses cookies, arguments and
    forms. For small requests this costs as much as the rest of the router's work.

    :param connection: the `Exchange` that the response is written to.
    :param handle: function that takes the complete request.
    :param refuse: function that responds with a status and a reason.
    """

    def __init__(self, connection, handle, refuse):
        self.connection = connection
        self.handle = handle
        self.refuse = refuse
        self.start_line = None
        self.headers = None
        # One chunk, or a buffer that grows. A list of chunks would take many times the
        # size of a body in tiny chunks, and a joined body twice its size.
        self.buffer = b""
        self.received_bytes = 0
        self.reserved_bytes = 0
        self.is_announced = False
        self.refused = False

    @property
    def method(self):
        """HTTP method."""
        return self.start_line.method

    @property
    def target(self):
        """Path and query."""
        return self.start_line.path

    @property
    def body(self):
        """Request body received so far."""
        if isinstance(self.buffer, bytes):
            return self.buffer
        # It shares the memory of the buffer.
        return self.buffer.getvalue()

    def headers_received(self, start_line, headers):
        """Store the headers, and refuse a body whose announced length is too large, or
        for which there is no memory.

        :raises HTTPInputError: if there is not exactly one Host header; tornado
            then responds with 400.
        """
        hosts = headers.get_list("Host")
        if len(hosts) > 1 or (not hosts and start_line.version == "HTTP/1.1"):
            raise HTTPInputError("expected exactly one Host header")
        self.start_line = start_line
        self.headers = headers
        guard = self.connection.owner.guard
        length = headers.get("Content-Length", "")
        # tornado also takes repeated equal lengths, and refuses all else.
        self.is_announced = length.isdecimal()
        size = 0
        if self.is_announced:
            is_huge = len(length) > MAX_LENGTH_DIGITS
            size = ANY_BODY_BYTES if is_huge else int(length)
        elif length or "Transfer-Encoding" in headers:
            size = READ_AHEAD_BYTES
        if self.is_announced and size > guard.limits.max_body_bytes:
            self.refuse_early(413, BODY_TOO_LARGE)
        elif not self._reserve(size):
            guard.count(ENDED_MEMORY)
            self.refuse_early(503, ENDED_MEMORY)
        self._abort_refused()

    def _reserve(self, size):
        """Return whether memory for more of the body was reserved."""
        connection = self.connection
        guard = connection.owner.guard
        held_bytes = connection.owner.holder.held_bytes
        # Ordinary requests come before bodies that are on the way.
        is_small = held_bytes + size <= SMALL_HOLDER_BYTES
        if not guard.make_room(size, held_bytes, by_force=is_small):
            return False
        if size:
            self.reserved_bytes += size
            connection.hold(connection.held_bytes + size)
        return True

    def refuse_early(self, status, reason):
        """Refuse the request before its body is complete; the rest is discarded."""
        if not self.refused:
            self.refused = True
            self.buffer = b""
            self.connection.hold(0)
            self.refuse(status, reason)

    def _abort_refused(self):
        """Let tornado read no more of a request whose refusal has been written."""
        if self.connection.owner.is_discarding:
            raise HTTPInputError("refused")

    def data_received(self, chunk):
        """Append a chunk of the body unless the body exceeds the limit.

        :return: None, or an awaitable that ends when more may be read.
        """
        if self.refused:
            self._abort_refused()
            return None
        guard = self.connection.owner.guard
        self.received_bytes += len(chunk)
        if self.received_bytes > guard.limits.max_body_bytes:
            self.refuse_early(413, BODY_TOO_LARGE)
            self._abort_refused()
            return None
        if not self.buffer:
            self.buffer = chunk
        else:
            if isinstance(self.buffer, bytes):
                first, self.buffer = self.buffer, io.BytesIO()
                self.buffer.write(first)
            self.buffer.write(chunk)
        if self.is_announced:
            return None
        if self.received_bytes + READ_AHEAD_BYTES <= self.reserved_bytes:
            return None
        if self._reserve(READ_AHEAD_BYTES):
            return None
        return self._wait_for_room()

    async def _wait_for_room(self):
        """Read nothing more until memory is free, or the request has been refused."""
        owner = self.connection.owner
        owner.is_paused = True
        await owner.guard.wait_for_room(
            owner,
            READ_AHEAD_BYTES,
            lambda: not (self.refused or owner.stream.closed()),
        )
        owner.is_paused = False
        self._abort_refused()
        if not self.refused and not owner.stream.closed():
            self._reserve(READ_AHEAD_BYTES)

    def finish(self):
        """Pass on the complete request, unless it was refused."""
        if not self.refused:
            self.handle(self)

    def on_connection_close(self):
        """Discard the body of an incomplete request."""
        self.buffer = b""
