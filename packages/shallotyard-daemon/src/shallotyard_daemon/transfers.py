"""Requests, sockets, options and status lines of curl transfers."""

import re
import socket
import struct

import pycurl
from tornado.httpclient import HTTPRequest
from tornado.httputil import HTTPHeaders

USER_AGENT = "shallotyard"
# A stateful device on the path may drop an idle connection without closing it,
# and requests on it would get no response. Idle connections are therefore reused
# for a few seconds only.
MAX_IDLE_CONNECTION_S = 5

# TCP_USER_TIMEOUT: a connection fails if sent data or a keep-alive probe stays
# unacknowledged for this long.
UNACKNOWLEDGED_DATA_TIMEOUT_MS = 2000
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Objects of the store have one megabyte at most, and a list has one line for each
# instance.
MAX_CONTROL_BODY_BYTES = 8 * 1024 * 1024
# Status lines of RFC 9112 with a status of 100 to 599. libcurl reads three digits and
# takes what follows for the reason, so that 2000 passes for 200.
_STATUS_LINE = re.compile(
    rb"HTTP/1\.[01] [1-5][0-9]{2}(?: [^\x00-\x08\x0a-\x1f\x7f]*)?\r?\n?"
)
MALFORMED_STATUS_LINE = "malformed status line"
# SO_LINGER with a timeout of 0: close() resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def is_malformed_status_line(line):
    """Return whether a line of a response begins like a status line and is none.

    :param line: line as bytes, with its end.
    """
    return line[:5] == b"HTTP/" and not _STATUS_LINE.fullmatch(line)


def open_socket(_, address):
    """Return a socket that detects an unresponsive peer and resets on close.

    Data that a network partition delays must not arrive after the transfer was
    abandoned, so closing discards unsent data and resets the connection.
    """
    family, kind, protocol, _ = address
    connection = socket.socket(family, kind, protocol)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    connection.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
    connection.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    connection.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    connection.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_DATA_TIMEOUT_MS)
    connection.setsockopt(tcp, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    return connection


def create_request(
    url, method, headers, body, connect_timeout_s, timeout_s, set_options
):
    """Return a request with all options that tornado's curl client reads.

    The request is passed to ``fetch_impl`` directly, without tornado's layer of
    defaults, which costs more per request than setting up the transfer. All
    options must therefore be given here.

    :param connect_timeout_s: connect timeout in seconds.
    :param timeout_s: timeout of the whole transfer in seconds.
    :param set_options: function that sets further options of the curl handle.
    """
    return HTTPRequest(
        url,
        method=method,
        headers=HTTPHeaders(headers),
        body=body,
        connect_timeout=connect_timeout_s,
        request_timeout=timeout_s,
        follow_redirects=False,
        max_redirects=0,
        decompress_response=False,
        allow_nonstandard_methods=True,
        validate_cert=True,
        user_agent=USER_AGENT,
        prepare_curl_callback=set_options,
    )


def set_control_options(curl):
    """Set the options of calls that do not carry a caller's request.

    Handles are reused, so each option that other requests set is set here too.
    """
    curl.setopt(pycurl.PREREQFUNCTION, _allow_write)
    curl.setopt(pycurl.FRESH_CONNECT, 0)
    curl.setopt(pycurl.MAXAGE_CONN, MAX_IDLE_CONNECTION_S)
    curl.setopt(pycurl.NOPROXY, "*")
    curl.setopt(pycurl.OPENSOCKETFUNCTION, open_socket)
    # Also ends bodies of unknown length.
    curl.setopt(pycurl.MAXFILESIZE, MAX_CONTROL_BODY_BYTES)


def _allow_write(*_):
    return pycurl.PREREQFUNC_OK
