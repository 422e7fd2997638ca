"""Flag parsing, clock and HTTP helpers shared by the stand-ins."""

import asyncio
import http
import sys
import time

import orjson
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.httputil import ResponseStartLine
from tornado.netutil import bind_sockets

_REASON_PHRASES_BY_STATUS = {status.value: status.phrase for status in http.HTTPStatus}
# Above the store's limit of one megabyte, so that the store stand-in itself
# responds with 413.
_MAX_BODY_BYTES = 8_000_000


def parse_flags(flag_values, argv):
    """Parse a command line; flag names may use ``-`` in place of ``_``.

    ``--help`` prints the flags and exits.

    :param flag_values: the ``absl.flags.FlagValues`` of a module.
    :param argv: command line, starting with the program name.
    :raises absl.flags.Error: an unknown flag or an invalid value.
    """
    if "--help" in argv:
        print(flag_values.get_help())
        sys.exit(0)
    normalised = []
    for argument in argv:
        if argument.startswith("--"):
            name, equals, value = argument[2:].partition("=")
            argument = f"--{name.replace('-', '_')}{equals}{value}"
        normalised.append(argument)
    flag_values(normalised)


def read_clock_ms():
    """Read ``CLOCK_BOOTTIME``, which includes time in suspend.

    :return: milliseconds since boot, as a float.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


def build_headers(body, headers):
    """Return response headers that include ``Content-Length``.

    :param body: bytes of the complete body.
    :param headers: further headers by name.
    """
    built = HTTPHeaders(headers)
    built["Content-Length"] = str(len(body))
    return built


def respond(request, status, body=b"", headers=None):
    """Send a complete response unless the connection is closed.

    :param request: the ``HTTPServerRequest`` to respond to.
    :param status: HTTP status code.
    :param body: bytes of the body.
    :param headers: further headers by name.
    """
    connection = request.connection
    if connection.stream is None or connection.stream.closed():
        return
    start_line = ResponseStartLine(
        "HTTP/1.1", status, _REASON_PHRASES_BY_STATUS.get(status, "Unknown")
    )
    sent = b"" if request.method == "HEAD" else body
    connection.write_headers(start_line, build_headers(body, headers or {}), sent)
    connection.finish()


def respond_json(request, value, status=200, headers=None):
    """Send a JSON response.

    :param request: the ``HTTPServerRequest`` to respond to.
    :param value: value that orjson can encode.
    :param status: HTTP status code.
    :param headers: further headers by name.
    """
    all_headers = {"Content-Type": "application/json"}
    all_headers.update(headers or {})
    respond(request, status, orjson.dumps(value), all_headers)


def drop_connection(request):
    """Close the connection of a request without a response.

    :param request: the ``HTTPServerRequest`` that gets no response.
    """
    stream = request.connection.stream
    if stream is not None:
        stream.close()


class _StreamTrackingServer(HTTPServer):
    """HTTP server that records the streams of its open connections in a set."""

    stream_sets = ()

    def start_request(self, server_conn, request_conn):
        if self.stream_sets:
            self.stream_sets[0].add(server_conn.stream)
        return super().start_request(server_conn, request_conn)

    def on_close(self, server_conn):
        for streams in self.stream_sets:
            streams.discard(server_conn.stream)
        super().on_close(server_conn)


def listen(handle, port, address="127.0.0.1", stream_sets=()):
    """Start an HTTP server.

    :param handle: function that takes each ``HTTPServerRequest``.
    :param port: TCP port.
    :param address: IP address to bind.
    :param stream_sets: sets of streams; the stream of a new connection is added
        to the first set, and that of a closed one is removed from all.
    :return: the running ``HTTPServer``.
    """
    server = _StreamTrackingServer(handle, max_body_size=_MAX_BODY_BYTES)
    server.stream_sets = stream_sets
    server.add_sockets(bind_sockets(port, address))
    return server


async def serve_forever(handle, port, address="127.0.0.1"):
    """Serve until the process ends.

    :param handle: function that takes each ``HTTPServerRequest``.
    :param port: TCP port.
    :param address: IP address to bind.
    """
    listen(handle, port, address)
    await asyncio.Event().wait()
