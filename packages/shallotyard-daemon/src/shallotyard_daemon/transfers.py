"""Builds requests for tornado's curl client."""

import socket
import struct

import pycurl
from tornado.httpclient import HTTPRequest
from tornado.httputil import HTTPHeaders

USER_AGENT = "shallotyard"
# A connection that something on the way has forgotten is silent for good, so
# idle connections are not trusted for long.
MAX_IDLE_CONNECTION_S = 5

# An unacknowledged byte or keep-alive probe this old ends a connection.
UNACKNOWLEDGED_DATA_TIMEOUT_MS = 2000
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# SO_LINGER on, with no time to send the rest: closing resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def open_socket(_, address):
    """Return a socket that notices a silent peer and drops unsent bytes on close.

    Bytes that a partition holds up must not arrive after the transfer was given
    up, so closing resets the connection.
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
    """Return a request with every option set that the curl client reads.

    ``fetch_impl`` is called without tornado's layer of defaults, which costs
    more per request than the transfer's own set-up.

    :param timeout_s: total time in seconds.
    :param set_options: function that sets further options of the handle.
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
    """Set the options of calls that are not caller requests.

    Handles are reused, so every option that another request sets must be set
    here.
    """
    curl.setopt(pycurl.PREREQFUNCTION, _allow_write)
    curl.setopt(pycurl.FRESH_CONNECT, 0)
    curl.setopt(pycurl.MAXAGE_CONN, MAX_IDLE_CONNECTION_S)
    curl.setopt(pycurl.NOPROXY, "*")
    curl.setopt(pycurl.OPENSOCKETFUNCTION, open_socket)


def _allow_write(*_):
    return pycurl.PREREQFUNC_OK
