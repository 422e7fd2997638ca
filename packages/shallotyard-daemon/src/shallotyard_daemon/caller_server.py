"""Serves callers with tornado's HTTP server."""

import uuid

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.httputil import ResponseStartLine
from tornado.httputil import responses

from shallotyard_core.events import CallerGone
from shallotyard_core.events import CallerRequest
from shallotyard_core.events import RequestArrived
from shallotyard_daemon.clock import read_clock

# Services have their own, smaller limits; this one bounds the memory of a
# request that is refused.
MAX_BODY_BYTES = 8 * 1024 * 1024
IDLE_TIMEOUT_S = 75.0


class CallerServer:
    """Connections of callers.

    :param dispatch: function that takes an event.
    :param pages: functions by path that return (status, content type, body).
    :param is_leaving: function that tells whether the instance drains.
    """

    def __init__(self, dispatch, pages, is_leaving):
        self.dispatch = dispatch
        self.pages = pages
        self.is_leaving = is_leaving
        self.requests_by_id = {}
        self.prefix = uuid.uuid4().hex[:12]
        self.count = 0
        self.server = HTTPServer(
            self.handle,
            max_body_size=MAX_BODY_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )

    def listen(self, address):
        """Listen on an ``ip:port``."""
        host, _, port = address.rpartition(":")
        self.server.listen(int(port), host)

    def handle(self, request):
        """Take a whole request from tornado."""
        page = self.pages.get(request.path)
        if page is not None:
            status, content_type, body = page(request)
            self._write(request, status, {"Content-Type": content_type}, body)
            return
        self.count += 1
        request_id = f"{self.prefix}-{self.count:x}"
        self.requests_by_id[request_id] = request
        request.connection.set_close_callback(lambda: self._gone(request_id))
        self.dispatch(
            RequestArrived(
                read_clock(),
                CallerRequest(
                    request_id,
                    request.method,
                    request.uri,
                    {name.lower(): v for name, v in request.headers.get_all()},
                    request.body,
                ),
            )
        )

    def _gone(self, request_id):
        if self.requests_by_id.pop(request_id, None) is not None:
            self.dispatch(CallerGone(read_clock(), request_id))

    def respond(self, effect):
        """Carry out a `Respond` effect; a caller that left is ignored."""
        request = self.requests_by_id.pop(effect.request_id, None)
        if request is not None:
            self._write(request, effect.status, effect.headers, effect.body)

    def _write(self, request, status, headers, body):
        connection = request.connection
        lines = HTTPHeaders(headers)
        if self.is_leaving():
            lines["Connection"] = "close"
        if status not in (204, 304):
            lines["Content-Length"] = lines.get("Content-Length", str(len(body)))
        start = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        chunk = None if request.method == "HEAD" else body
        connection.write_headers(start, lines, chunk or None)
        connection.finish()

    def stop(self):
        """Accept no more connections."""
        self.server.stop()

    async def close(self):
        """Close the connections that are left."""
        await self.server.close_all_connections()
