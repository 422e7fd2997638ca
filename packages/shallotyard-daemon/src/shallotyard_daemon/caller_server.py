"""Serves callers with tornado's HTTP server."""

import uuid

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPInputError
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import HTTPServerRequest
from tornado.httputil import ResponseStartLine
from tornado.httputil import responses

from shallotyard_core.effects import LogDecision
from shallotyard_core.effects import Respond
from shallotyard_core.events import CallerDisconnected
from shallotyard_core.events import CallerRequest
from shallotyard_core.events import RequestArrived
from shallotyard_core.problems import build_problem
from shallotyard_core.verdict import Verdict
from shallotyard_daemon.clock import read_clock
from shallotyard_daemon.logs import log_decision

# Services have their own, smaller limits; this one bounds the memory of a
# request that is refused.
MAX_BODY_BYTES = 8 * 1024 * 1024
IDLE_TIMEOUT_S = 75.0
# The rest of a body that was refused is read and dropped up to this size, so
# that the caller can read the answer before it meets a closed connection.
MAX_DISCARDED_BYTES = 8 * MAX_BODY_BYTES
# What tornado writes, without a verdict, for a request that it cannot parse.
_TORNADO_BAD_REQUEST = b"HTTP/1.1 400 Bad Request\r\n\r\n"


class IncomingRequest(HTTPMessageDelegate):
    """One request of a caller while it is read, and after.

    Tornado's own request object parses cookies, arguments and forms, which
    costs as much as the rest of the router's work on a small request.

    :param connection: connection that the response is written to.
    :param handle: function that takes the whole message.
    :param refuse: function that answers with 413.
    """

    def __init__(self, connection, handle, refuse):
        self.connection = connection
        self.handle = handle
        self.refuse = refuse
        self.start_line = None
        self.headers = None
        self.body_chunks = []
        self.received_bytes = 0
        self.refused = False

    @property
    def method(self):
        """Return the HTTP method."""
        return self.start_line.method

    @property
    def target(self):
        """Return path and query."""
        return self.start_line.path

    @property
    def body(self):
        """Return the body."""
        return b"".join(self.body_chunks)

    def headers_received(self, start_line, headers):
        """Take the head, and refuse a body that is announced as too large.

        :raises HTTPInputError: if the request does not name exactly one host;
            tornado answers with 400 then.
        """
        hosts = headers.get_list("Host")
        if len(hosts) > 1 or (not hosts and start_line.version == "HTTP/1.1"):
            raise HTTPInputError("expected exactly one Host header")
        self.start_line = start_line
        self.headers = headers
        length = headers.get("Content-Length", "")
        if length.isdigit() and int(length) > MAX_BODY_BYTES:
            self.refused = True
            if int(length) > MAX_DISCARDED_BYTES or "Expect" in headers:
                self.refuse()
            return

    def data_received(self, chunk):
        """Take a part of the body."""
        self.received_bytes += len(chunk)
        if self.received_bytes > MAX_BODY_BYTES:
            self.refused = True
            self.body_chunks.clear()
        elif not self.refused:
            self.body_chunks.append(chunk)

    def finish(self):
        """Hand the whole message on."""
        # Tornado closes the connection after an answer that comes earlier.
        if self.refused:
            self.refuse()
        else:
            self.handle(self)

    def on_connection_close(self):
        """Drop a message that the caller did not finish."""
        self.body_chunks.clear()


class _CallerHTTPServer(HTTPServer):
    """A server whose own refusals have a problem body and a verdict."""

    def initialize(self, handle, build_refusal, **options):
        super().initialize(handle, max_body_size=MAX_DISCARDED_BYTES, **options)
        self.handle_request = handle
        self.build_refusal = build_refusal

    def start_request(self, server_conn, request_conn):
        def refuse():
            effect = self.build_refusal(413, "body-too-large")
            _write_response(request_conn, "POST", effect, close_connection=True)

        return IncomingRequest(request_conn, self.handle_request, refuse)

    def handle_stream(self, stream, address):
        write = stream.write

        def write_or_refuse(data):
            if data == _TORNADO_BAD_REQUEST:
                data = _encode_response(self.build_refusal(400, "malformed"))
            return write(data)

        stream.write = write_or_refuse
        super().handle_stream(stream, address)


class CallerServer:
    """Connections of callers.

    :param dispatch: function that takes an event.
    :param pages: functions by path that return (status, content type, body).
    :param is_leaving: function that tells whether the instance drains.
    :param build_event: function that makes the event of a whole message, from its
        id and the `IncomingRequest`; it may return a `Respond` for one that is invalid.
    :param build_refusal: function that makes the `Respond` to a request that is
        refused before it is whole, from its id, status and reason.
    """

    def __init__(
        self, dispatch, pages, is_leaving, build_event=None, build_refusal=None
    ):
        self.build_event = build_event or build_request_event
        self.build_refusal = build_refusal or build_problem_refusal
        self.dispatch = dispatch
        self.pages = pages
        self.is_leaving = is_leaving
        self.requests_by_id = {}
        self.id_prefix = uuid.uuid4().hex[:12]
        self.request_count = 0
        self.server = _CallerHTTPServer(
            self.handle,
            self._build_logged_refusal,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )

    def listen(self, address):
        """Listen on an ``ip:port``."""
        host, _, port = address.rpartition(":")
        self.server.listen(int(port), host)

    def handle(self, request):
        """Take a whole `IncomingRequest`."""
        page = self.pages.get(request.target.partition("?")[0])
        if page is not None:
            self._write_page(page, request)
            return
        request_id = self._create_request_id()
        event = self.build_event(request_id, request)
        if isinstance(event, Respond):
            self._write(request, event)
            return
        self.requests_by_id[request_id] = request
        request.connection.set_close_callback(
            lambda: self._handle_disconnect(request_id)
        )
        self.dispatch(event)

    def _create_request_id(self):
        self.request_count += 1
        return f"{self.id_prefix}-{self.request_count:x}"

    def _write_page(self, page, request):
        if request.method not in ("GET", "HEAD"):
            self._write(request, Respond("", 405, {"Allow": "GET, HEAD"}, b""))
            return
        full_request = HTTPServerRequest(
            connection=request.connection,
            start_line=request.start_line,
            headers=request.headers,
        )
        status, content_type, body = page(full_request)
        headers = {"Content-Type": content_type}
        self._write(request, Respond("", status, headers, body))

    def _build_logged_refusal(self, status, reason):
        """Return the answer to a request that is refused before it is whole."""
        request_id = self._create_request_id()
        fields = {"request_id": request_id, "status": status}
        log_decision(LogDecision("refuse", reason, fields))
        return self.build_refusal(request_id, status, reason)

    def _handle_disconnect(self, request_id):
        if self.requests_by_id.pop(request_id, None) is not None:
            self.dispatch(CallerDisconnected(read_clock(), request_id))

    def respond(self, effect):
        """Carry out a `Respond` effect; a caller that left is ignored."""
        request = self.requests_by_id.pop(effect.request_id, None)
        if request is not None:
            self._write(request, effect)

    def _write(self, request, effect):
        _write_response(request.connection, request.method, effect, self.is_leaving())

    def stop(self):
        """Accept no more connections."""
        self.server.stop()

    async def close(self):
        """Close the connections that are left."""
        await self.server.close_all_connections()


def build_request_event(request_id, request):
    """Return the event of a request in the router's own protocol.

    :param request: a whole `IncomingRequest`.
    """
    headers, repeated = _collect_headers(request.headers)
    return RequestArrived(
        read_clock(),
        CallerRequest(
            request_id, request.method, request.target, headers, request.body, repeated
        ),
    )


def build_problem_refusal(request_id, status, reason):
    """Return the response to a request that was refused before it was whole."""
    return build_problem(request_id, status, reason, Verdict.NOT_RUN)


def _collect_headers(headers):
    """Return header values by lower-case name, and the names given repeatedly."""
    values_by_name = {}
    repeated = ()
    for name, value in headers.get_all():
        lower_name = name.lower()
        if lower_name in values_by_name:
            separator = "; " if lower_name == "cookie" else ", "
            value = f"{values_by_name[lower_name]}{separator}{value}"
            repeated = (*repeated, lower_name)
        values_by_name[lower_name] = value
    return values_by_name, repeated


def _write_response(connection, method, effect, close_connection):
    """Write a whole response.

    :param effect: a `Respond`.
    :param close_connection: whether to tell the caller that the connection ends.
    """
    status, body = effect.status, effect.body
    headers = effect.headers
    lines = HTTPHeaders()
    for name, value in headers.items() if isinstance(headers, dict) else headers:
        lines.add(name, value)
    if close_connection:
        lines["Connection"] = "close"
    if status not in (204, 304):
        lines["Content-Length"] = lines.get("Content-Length", str(len(body)))
    start = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
    chunk = None if method == "HEAD" else body
    connection.write_headers(start, lines, chunk or None)
    connection.finish()


def _encode_response(effect):
    """Return the bytes of a response after which the connection closes."""
    lines = [f"HTTP/1.1 {effect.status} {responses[effect.status]}"]
    lines += [f"{name}: {value}" for name, value in effect.headers.items()]
    lines += [f"Content-Length: {len(effect.body)}", "Connection: close", "", ""]
    return "\r\n".join(lines).encode("latin-1") + effect.body
