"""Requests, sockets and options of curl transfers."""

import socket
import struct
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from shallotyard_core.chunked_decoder import ChunkedDecoder
from shallotyard_core.response_head import ResponseHead

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
# SO_LINGER with a timeout of 0: close() resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(slots=True, eq=False)
class Transfer:
    """One HTTP request and its response.

    :param header_lines: header lines as bytes.
    :param connect_timeout_ms: connect timeout in milliseconds.
    :param timeout_ms: timeout of the whole transfer in milliseconds.
    :param fresh: whether to use a new connection and close it afterwards.
    :param expected_request_id: request id that the response must have if it has
        one, ``b""`` for any, `NO_REQUEST_ID` if it must have none.
    :param may_write: function called immediately before the request is written;
        if it returns false, the transfer is aborted.
    :param finish: function that takes the finished transfer.
    :param repeatable: whether libcurl may write the request again on another connection
        if an open one closes before any byte of the response. The peer may act on both
        copies, and on the first one later.
    :param report_connection: function that takes whether the new connection of the
        transfer was opened; not called if an open one is used, or if the transfer ends
        for another reason before.
    :param connecting: whether a new connection is being opened.
    :param started_at: start of the transfer by the time of the event loop, in seconds.
    :param sent: whether the request may have been written.
    :param repeats: number of times that it was written again.
    :param closed_unanswered: whether an open connection closed before any byte of the
        response, and the request was not written again.
    :param reused: whether an open connection was used.
    :param mismatched: whether the response had the id of another request.
    :param fault: why the response was given up here, ``""`` if it was not.
    :param error: libcurl's error number, 0 if the response is complete.
    :param error_message: libcurl's description of the error.
    :param status: HTTP status of the response.
    :param head: the `ResponseHead`.
    :param decoder: the `ChunkedDecoder`, None before the first byte of chunks.
    :param response_lines: header lines of the response.
    :param received_body: body of the response received so far.
    :param held_bytes: memory of the response, as counted by the pool.
    :param sent_bytes: bytes of the request, 0 until the end.
    :param received_bytes: bytes of the response, 0 until the end.
    :param handle: the handle in use while the transfer runs.
    """

    url: str
    method: str
    header_lines: list[bytes]
    body: bytes
    connect_timeout_ms: int
    timeout_ms: int
    fresh: bool
    expected_request_id: bytes
    may_write: Any
    finish: Any
    report_connection: Any = None
    repeatable: bool = False
    connecting: bool = False
    started_at: float = 0.0
    sent: bool = False
    repeats: int = 0
    closed_unanswered: bool = False
    reused: bool = False
    mismatched: bool = False
    fault: str = ""
    error: int = 0
    error_message: str = ""
    status: int = 0
    head: ResponseHead = field(default_factory=ResponseHead)
    decoder: ChunkedDecoder | None = None
    response_lines: list[bytes] = field(default_factory=list)
    received_body: bytearray = field(default_factory=bytearray)
    held_bytes: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    handle: Any = None

    @property
    def response_body(self):
        """Body of the response."""
        return bytes(self.received_body)

    def response_headers(self):
        """Return (name, value) pairs of the headers of the final response."""
        pairs = []
        for line in self.response_lines:
            name, colon, value = line.partition(b":")
            if colon:
                pairs.append((name.decode("latin-1"), value.strip().decode("latin-1")))
        return pairs


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
