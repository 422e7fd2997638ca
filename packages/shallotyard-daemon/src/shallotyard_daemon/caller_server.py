"""HTTP server for callers, based on tornado."""

import uuid
import weakref

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
from shallotyard_daemon.caller_connection import CallerConnection
from shallotyard_daemon.clock import read_clock
from shallotyard_daemon.logs import log_decision
from shallotyard_daemon.tasks import FailureReporter

# Upper bound of the memory that one request body takes; each service has a
# smaller limit of its own.
MAX_BODY_BYTES = 8 * 1024 * 1024
IDLE_TIMEOUT_S = 75.0
# Bodies above the limit are read and discarded up to this size. Otherwise the
# connection would be closed before the caller has read the response.
MAX_DISCARDED_BYTES = 8 * MAX_BODY_BYTES


class IncomingRequest(HTTPMessageDelegate):
    """A caller's request, filled in while it is received.

    Used instead of tornado's request object, which parses cookies, arguments and
    forms. For small requests this costs as much as the rest of the router's work.

    :param connection: connection that the response is written to.
    :param handle: function that takes the complete request.
    :param refuse: function that responds with status 413.
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
        """HTTP method."""
        return self.start_line.method

    @property
    def target(self):
        """Path and query."""
        return self.start_line.path

    @property
    def body(self):
        """Request body received so far."""
        return b"".join(self.body_chunks)

    def headers_received(self, start_line, headers):
        """Store the headers and refuse a body whose announced length is too large.

        :raises HTTPInputError: if there is not exactly one Host header; tornado
            then responds with 400.
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
        """Append a chunk of the body unless the body exceeds the limit."""
        self.received_bytes += len(chunk)
        if self.received_bytes > MAX_BODY_BYTES:
            self.refused = True
            self.body_chunks.clear()
        elif not self.refused:
            self.body_chunks.append(chunk)

    def finish(self):
        """Pass on the complete request, or refuse it."""
        # A refusal waits until the body has been read, because tornado closes the
        # connection if the response precedes the end of the body.
        if self.refused:
            self.refuse()
        else:
            self.handle(self)

    def on_connection_close(self):
        """Discard the body of an incomplete request."""
        self.body_chunks.clear()


class _CallerHTTPServer(HTTPServer):
    """HTTP server whose error responses carry a verdict and a response body.

    Tornado's own response to a malformed request is replaced.
    """

    def initialize(self, handle, build_refusal, **options):
        super().initialize(handle, max_body_size=MAX_DISCARDED_BYTES, **options)
        self.handle_request = handle
        self.build_refusal = build_refusal

    def start_request(self, server_conn, request_conn):
        def refuse():
            effect = self.build_refusal(413, "body-too-large")
            message = _build_message("POST", effect, close_connection=True)
            _write_message(request_conn, message)

        return IncomingRequest(request_conn, self.handle_request, refuse)

    def handle_stream(self, stream, address):
        def build_malformed_response():
            return _encode_response(self.build_refusal(400, "malformed"))

        connection = CallerConnection(
            stream, self.conn_params, None, self, build_malformed_response
        )
        self._connections.add(connection)
        connection.start_serving()


class CallerServer:
    """Receives requests of callers and writes the responses.

    :param dispatch: function that takes an event.
    :param pages: functions by path that take a tornado request and return (status,
        content type, body).
    :param is_leaving: function that returns whether the instance is draining.
    :param build_event: function from request id and `IncomingRequest` to the event
        to dispatch, or to a `Respond` if the request is invalid.
    :param build_refusal: function from request id, status and reason to the
        `Respond` for a request that is refused before it is complete, or that may have
        run and whose response cannot be written.
    :param encode_response: function from a `Respond` to one with all headers.
    """

    def __init__(
        self,
        dispatch,
        pages,
        is_leaving,
        build_event=None,
        build_refusal=None,
        encode_response=None,
    ):
        self.encode_response = encode_response or (lambda effect: effect)
        self.reporter = FailureReporter()
        self.build_event = build_event or build_request_event
        self.build_refusal = build_refusal or build_problem_refusal
        self.dispatch = dispatch
        self.pages = pages
        self.is_leaving = is_leaving
        self.requests_by_id = {}
        # Connections on which the kernel had not taken a whole response at once.
        self.writing_streams = weakref.WeakSet()
        self.id_prefix = uuid.uuid4().hex[:12]
        self.request_count = 0
        self.server = _CallerHTTPServer(
            self.handle,
            self._build_logged_refusal,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )

    def listen(self, address):
        """Accept connections.

        :param address: ``ip:port`` to listen on.
        """
        host, _, port = address.rpartition(":")
        self.server.listen(int(port), host)

    def handle(self, request):
        """Serve a page, or dispatch the event of a request.

        :param request: a complete `IncomingRequest`.
        """
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
        """Log the refusal of an incomplete request and return its response."""
        request_id = self._create_request_id()
        fields = {"request_id": request_id, "status": status}
        log_decision(LogDecision("refuse", reason, fields))
        return self.build_refusal(request_id, status, reason)

    def _handle_disconnect(self, request_id):
        if self.requests_by_id.pop(request_id, None) is not None:
            self.dispatch(CallerDisconnected(read_clock(), request_id))

    def respond(self, effect):
        """Carry out a `Respond` effect, unless the caller has disconnected."""
        request = self.requests_by_id.pop(effect.request_id, None)
        if request is not None:
            self._write(request, effect)

    def _write(self, request, effect):
        """Write a response. If it cannot be written, the caller gets a failure that
        promises nothing, or its connection is closed.
        """
        try:
            message = self._prepare_message(request, self.encode_response(effect))
        except Exception as error:
            self.reporter.report("build response", error)
            failure = self.build_refusal(effect.request_id, 502, "unwritable")
            message = self._prepare_message(request, failure)
        try:
            _write_message(request.connection, message)
            if request.connection.stream.writing():
                self.writing_streams.add(request.connection.stream)
        except Exception as error:
            self.reporter.report("write response", error)
            request.connection.close()

    def _prepare_message(self, request, effect):
        return _build_message(request.method, effect, self.is_leaving())

    def stop(self):
        """Stop accepting connections."""
        self.server.stop()

    def count_unanswered(self):
        """Return the number of requests whose responses are not written yet."""
        writing = sum(
            not stream.closed() and stream.writing() for stream in self.writing_streams
        )
        return len(self.requests_by_id) + writing

    async def close(self):
        """Close the remaining connections. What is not written yet is discarded."""
        await self.server.close_all_connections()


def build_request_event(request_id, request):
    """Return the `RequestArrived` of a request in the router's own protocol.

    :param request: a complete `IncomingRequest`.
    """
    headers, repeated = _collect_headers(request.headers)
    return RequestArrived(
        read_clock(),
        CallerRequest(
            request_id, request.method, request.target, headers, request.body, repeated
        ),
    )


def build_problem_refusal(request_id, status, reason):
    """Return the problem response to a request that was refused before it was complete,
    or failed afterwards, with a status of 500 or above.
    """
    verdict = Verdict.NOT_RUN if status < 500 else Verdict.MAY_HAVE_RUN
    return build_problem(request_id, status, reason, verdict)


def _collect_headers(headers):
    """Return header values by lower-case name, and the repeated names."""
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


def _list_headers(effect):
    """Return (name, value) pairs of a `Respond`, whose headers may be a dict."""
    headers = effect.headers
    return headers.items() if isinstance(headers, dict) else headers


def _build_message(method, effect, close_connection):
    """Return start line, headers and body, None without one, of a response.

    :param effect: a `Respond`.
    :param close_connection: whether to add ``Connection: close``.
    :raises HTTPInputError: if a header is malformed.
    """
    status, body = effect.status, effect.body
    response_headers = HTTPHeaders()
    for name, value in _list_headers(effect):
        response_headers.add(name, value)
    if close_connection:
        response_headers["Connection"] = "close"
    if status not in (204, 304):
        response_headers["Content-Length"] = response_headers.get(
            "Content-Length", str(len(body))
        )
    start_line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
    chunk = None if method == "HEAD" else body
    return start_line, response_headers, chunk or None


def _write_message(connection, message):
    connection.write_headers(*message)
    connection.finish()


def _encode_response(effect):
    """Return a complete response with ``Connection: close`` as bytes."""
    lines = [f"HTTP/1.1 {effect.status} {responses[effect.status]}"]
    lines += [f"{name}: {value}" for name, value in _list_headers(effect)]
    lines += [f"Content-Length: {len(effect.body)}", "Connection: close", "", ""]
    return "\r\n".join(lines).encode("latin-1") + effect.body
