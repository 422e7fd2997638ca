"""Tests of the HTTP server for callers, over real connections."""

import asyncio
import io
import json
import logging

import pytest

from shallotyard_core.effects import Respond
from shallotyard_core.events import RequestArrived
from shallotyard_daemon import caller_server
from shallotyard_daemon.caller_server import MAX_BODY_BYTES
from shallotyard_daemon.caller_server import CallerServer
from shallotyard_daemon.logs import configure_logs
from shallotyard_testing.processes import find_free_port

SCENARIO_TIMEOUT_S = 10.0
HEAD = b"POST /till/1 HTTP/1.1\r\nHost: router\r\n"


@pytest.fixture
def log_text():
    """Configure logging; return a function that returns the text logged so far."""
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    stream = io.StringIO()
    configure_logs("info", "router-a", stream)

    def read_log():
        for handler in logging.getLogger("shallotyard").handlers:
            handler.flush()
        return stream.getvalue()

    yield read_log
    root.handlers[:] = handlers
    root.setLevel(level)


def send_request(payload, headers=None, body=b"answer"):
    """Send bytes to a server.

    :return: (response head, response body, requests that were dispatched).
    """
    arrived = []

    async def run():
        def dispatch(event):
            if isinstance(event, RequestArrived):
                arrived.append(event.request)
                request_id = event.request.request_id
                server.respond(Respond(request_id, 200, dict(headers or {}), body))

        server = CallerServer(dispatch, {}, lambda: False)
        address = f"127.0.0.1:{find_free_port()}"
        server.listen(address)
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(payload)
        head = await reader.readuntil(b"\r\n\r\n")
        writer.write_eof()
        rest = await reader.read()
        writer.close()
        server.stop()
        await server.close()
        return head.decode(), rest

    head, rest = asyncio.run(asyncio.wait_for(run(), SCENARIO_TIMEOUT_S))
    return head, rest, arrived


def check_problem(head, rest):
    """Check the headers of a refusal; return the end of its problem type."""
    assert "Shallotyard-Verdict: not-run" in head
    assert "Shallotyard-Request-Id: " in head
    assert "Content-Type: application/problem+json" in head
    return json.loads(rest)["type"].rpartition(":")[2]


@pytest.mark.parametrize(
    "payload",
    [
        b"hello\r\n\r\n",
        b"GET /till/1 HTTP/1.1\r\n\r\n",
        HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
        HEAD + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
    ],
)
def test_malformed_request(payload):
    """Guards against dispatching a malformed request, or refusing it without a verdict.

    A request with two lengths could contain a second, smuggled request.
    """
    head, rest, arrived = send_request(payload)
    assert head.startswith("HTTP/1.1 400 ")
    assert check_problem(head, rest) == "malformed"
    assert not arrived


def test_content_length_above_the_limit():
    """Guards against status 400 without a verdict, and against storing the body."""
    length = MAX_BODY_BYTES + 1
    payload = HEAD + f"Content-Length: {length}\r\n\r\n".encode() + b"x" * length
    head, rest, arrived = send_request(payload)
    assert head.startswith("HTTP/1.1 413 ")
    assert check_problem(head, rest) == "body-too-large"
    assert not arrived


def test_chunked_body_above_the_limit():
    """Guards against a limit that is only checked against Content-Length."""
    chunk = b"100000\r\n" + b"x" * 0x100000 + b"\r\n"
    payload = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk * 9 + b"0\r\n\r\n"
    head, rest, arrived = send_request(payload)
    assert head.startswith("HTTP/1.1 413 ")
    assert check_problem(head, rest) == "body-too-large"
    assert not arrived


def test_response_to_head():
    """Guards against a response to HEAD that has a body, or the length 0."""
    request = b"HEAD /till/1 HTTP/1.1\r\nHost: router\r\n\r\n"
    head, rest, _ = send_request(request, {"Content-Length": "101"}, b"")
    assert "Content-Length: 101" in head
    assert rest == b""


def test_length_of_another_body():
    """Guards against a caller that waits for a body which is not sent."""
    payload = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
    head, rest, _ = send_request(payload, {"Content-Length": "101"}, b"")
    assert "Content-Length: 0" in head


def test_repeated_headers_are_joined():
    """Guards against repeated headers of which only the last value is kept."""
    lines = b"Accept: a\r\nAccept: b\r\nCookie: c=1\r\nCookie: d=2\r\n\r\n"
    _, _, arrived = send_request(b"GET /till/1 HTTP/1.1\r\nHost: router\r\n" + lines)
    assert arrived[0].headers["accept"] == "a, b"
    assert arrived[0].headers["cookie"] == "c=1; d=2"
    assert arrived[0].repeated_headers == ("accept", "cookie")


def test_log_of_a_malformed_request(log_text):
    """Guards against keys in the log: tornado's messages quote invalid headers."""
    request = (
        b"GET /till/1 HTTP/1.1\r\nHost: router\r\nShallotyard-Key: st\x01ll\r\n\r\n"
    )
    send_request(request)
    lines = [json.loads(line) for line in log_text().splitlines()]
    assert [line["reason"] for line in lines] == ["malformed"]
    assert "st\\x01" not in log_text() and "Shallotyard-Key" not in log_text()


@pytest.mark.parametrize(
    "headers", [{"X": "a\x0fb"}, {"a b": "c"}, {"X": "a\r\nY: b"}, {"X": None}]
)
def test_request_whose_response_cannot_be_written_waits_for_ever(headers, log_text):
    """Guards against callers without any answer because a header of it is malformed."""
    head, rest, arrived = send_request(HEAD + b"\r\n", headers)
    assert len(arrived) == 1
    assert head.startswith("HTTP/1.1 502 ")
    assert "Shallotyard-Verdict: may-have-run" in head
    assert json.loads(rest)["type"].endswith(":unwritable")
    assert "build response" in log_text()


def test_connection_stays_open_after_a_response_that_was_not_written(monkeypatch):
    """Guards against callers that wait for the rest of a response."""

    def fail(connection, message):
        raise ValueError

    monkeypatch.setattr(caller_server, "_write_message", fail)
    with pytest.raises(asyncio.IncompleteReadError):
        send_request(HEAD + b"\r\n")
