"""HTTP server for callers, based on tornado."""

import socket
import uuid

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPServerRequest
from tornado.httputil import ResponseStartLine
from tornado.httputil import responses
from tornado.ioloop import IOLoop
from tornado.ioloop import PeriodicCallback
from tornado.netutil import bind_sockets

from shallotyard_core.effects import LogDecision
from shallotyard_core.effects import Respond
from shallotyard_core.events import CallerDisconnected
from shallotyard_core.events import CallerRequest
from shallotyard_core.events import RequestArrived
from shallotyard_core.problems import build_problem
from shallotyard_core.verdict import Verdict
from shallotyard_daemon.caller_connection import CONNECTION_BYTES
from shallotyard_daemon.caller_connection import HEAD_TOO_LARGE
from shallotyard_daemon.caller_connection import MALFORMED
from shallotyard_daemon.caller_connection import CallerConnection
from shallotyard_daemon.caller_guard import DEFAULT_LIMITS
from shallotyard_daemon.caller_guard import RETRY_AFTER_S
from shallotyard_daemon.caller_guard import SWEEP_PERIOD_S
from shallotyard_daemon.caller_guard import CallerGuard
from shallotyard_daemon.clock import read_clock
from shallotyard_daemon.incoming_request import ANY_BODY_BYTES
from shallotyard_daemon.incoming_request import BODY_TOO_LARGE
from shallotyard_daemon.incoming_request import IncomingRequest
from shallotyard_daemon.logs import log_decision
from shallotyard_daemon.tasks import FailureReporter

# Upper bound of a request body where the configuration names none.
MAX_BODY_BYTES = DEFAULT_LIMITS.max_body_bytes
# Read at a time. It is allocated anew for each read.
READ_BYTES = 16_384
# A connection with its first request takes up to a millisecond.
ACCEPTED_PER_TURN = 16


class _CallerHTTPServer(HTTPServer):
    """HTTP server whose error responses carry a verdict and a response body.

    Tornado's own response to a malformed request is replaced.
    """

    def initialize(self, handle, build_refusal, guard):
        super().initialize(handle, max_body_size=ANY_BODY_BYTES, chunk_size=READ_BYTES)
        # The guard ends idle connections.
        self.conn_params.header_timeout = None
        self.handle_request = handle
        self.build_refusal = build_refusal
        self.guard = guard

    def start_request(self, server_conn, request_conn):
        self.conn_params.max_header_size = self.guard.limits.max_header_bytes

        def refuse(status, reason):
            effect = self.build_refusal(status, reason)
            message = _build_message("POST", effect, close_connection=True)
            _write_message(request_conn, message)

        return IncomingRequest(request_conn, self.handle_request, refuse)

    def add_sockets(self, sockets):
        """Accept few connections in a turn of the event loop. tornado accepts 128."""
        for listening in sockets:
            number = listening.fileno()
            self._sockets[number] = listening
            self._handlers[number] = self._accept_from(listening)

    def _accept_from(self, listening):
        """Accept connections of a socket; return the function that stops it."""
        loop = IOLoop.current()

        def accept(*_):
            for _ in range(ACCEPTED_PER_TURN):
                try:
                    connection, address = listening.accept()
                except (BlockingIOError, ConnectionAbortedError):
                    return
                self._handle_connection(connection, address)

        def stop():
            loop.remove_handler(listening)

        loop.add_handler(listening, accept, IOLoop.READ)
        return stop

    def handle_stream(self, stream, address):
        if not self.guard.admit(CONNECTION_BYTES):
            stream.close()
            return

        def build_raw_refusal(status, reason):
            return _encode_response(self.build_refusal(status, reason))

        connection = CallerConnection(
            stream, self.conn_params, None, self, build_raw_refusal, self.guard
        )
        self._connections.add(connection)
        self.guard.add(connection)
        connection.update_held_bytes()
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
    :param edge: the `EdgeBudget` of callers, None for a default.
    :param max_connections: maximum number of connections, 0 for any number.
    :param get_limits: function that returns the `CallerLimits` of the configuration,
        None for a default.
    :param receive_buffer_bytes: size of the kernel's buffer of a connection, 0 for the
        kernel's choice.
    """

    def __init__(
        self,
        dispatch,
        pages,
        is_leaving,
        build_event=None,
        build_refusal=None,
        encode_response=None,
        edge=None,
        max_connections=0,
        get_limits=None,
        receive_buffer_bytes=0,
    ):
        self.encode_response = encode_response or (lambda effect: effect)
        self.reporter = FailureReporter()
        self.build_event = build_event or build_request_event
        self.build_refusal = build_refusal or build_problem_refusal
        self.dispatch = dispatch
        self.pages = pages
        self.is_leaving = is_leaving
        self.requests_by_id = {}
        self.receive_buffer_bytes = receive_buffer_bytes
        self.guard = CallerGuard(_log_ended, edge, max_connections, get_limits)
        self.id_prefix = uuid.uuid4().hex[:12]
        self.request_count = 0
        self.server = _CallerHTTPServer(
            self.handle,
            self._build_logged_refusal,
            self.guard,
        )
        self.sweeping = PeriodicCallback(self.guard.sweep, SWEEP_PERIOD_S * 1000)

    def listen(self, address):
        """Accept connections.

        :param address: ``ip:port`` to listen on.
        """
        host, _, port = address.rpartition(":")
        sockets = bind_sockets(int(port), host)
        for listening in sockets:
            if self.receive_buffer_bytes:
                # Connections inherit it. Without it, the kernel may hold megabytes of
                # each connection that is not read.
                listening.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer_bytes
                )
        self.server.add_sockets(sockets)
        self.sweeping.start()

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
        """Log or count the refusal of an incomplete request, and return its response.
        The guard has counted those that it asked for, and reports them together, as a
        crowd would fill the log.
        """
        request_id = self._create_request_id()
        if reason in (BODY_TOO_LARGE, HEAD_TOO_LARGE):
            self.guard.count(reason)
        elif reason == MALFORMED:
            fields = {"request_id": request_id, "status": status}
            log_decision(LogDecision("refuse", reason, fields))
        return self.encode_response(self.build_refusal(request_id, status, reason))

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
        writing = sum(c.has_unsent() for c in self.guard.connections)
        return len(self.requests_by_id) + writing

    async def close(self):
        """Close the remaining connections. What is not written yet is discarded."""
        self.sweeping.stop()
        await self.server.close_all_connections()


def _log_ended(reason, count):
    log_decision(LogDecision("callers-ended", reason, {"count": count}))


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
    or failed afterwards, with a status of 502.
    """
    verdict = Verdict.MAY_HAVE_RUN if status == 502 else Verdict.NOT_RUN
    retry_after_s = RETRY_AFTER_S if status == 503 else 0.0
    return build_problem(
        request_id, status, reason, verdict, retry_after_s=retry_after_s
    )


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
        # The response to HEAD may name the length of the body that GET would return.
        length = response_headers.get("Content-Length") if method == "HEAD" else None
        response_headers["Content-Length"] = length or str(len(body))
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
