"""Tests of the HTTP client of the command."""

import asyncio

import pytest

from shallotyard_cli import http

SCENARIO_TIMEOUT_S = 10.0
OK_LINE = b"HTTP/1.1 200 OK\r\n"
LENGTH_LINE = b"Content-Length: 5\r\n"
CHUNKED_LINE = b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"5\r\nhello\r\n0\r\n\r\n"


def fetch_from(answer):
    """Return the result of a request to a server that sends some bytes."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()
        writer.close()

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = http.build_client()
        fetched = await http.fetch(client, f"http://127.0.0.1:{port}/status")
        client.close()
        server.close()
        return fetched

    return asyncio.run(asyncio.wait_for(run(), SCENARIO_TIMEOUT_S))


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 000 OK\r\n" + LENGTH_LINE + b"\r\nhello",
        b"HTTP/1.1 600 OK\r\n" + LENGTH_LINE + b"\r\nhello",
        b"HTTP/1.1 2000 OK\r\n" + LENGTH_LINE + b"\r\nhello",
        OK_LINE + b"a b: c\r\n" + LENGTH_LINE + b"\r\nhello",
        OK_LINE + b"X\x01: a\r\n" + LENGTH_LINE + b"\r\nhello",
        OK_LINE + b"no colon\r\n" + LENGTH_LINE + b"\r\nhello",
        OK_LINE + b"X: a\x0b\r\n" + LENGTH_LINE + b"\r\nhello",
        OK_LINE + b"Content-Length: 5x\r\n\r\nhello",
        OK_LINE + b"Content-Length: 18446744073709551621\r\n\r\nhello and more",
        OK_LINE + b"Transfer-Encoding:\r\n\r\n" + CHUNKS,
        OK_LINE + CHUNKED_LINE + LENGTH_LINE + b"\r\n" + CHUNKS,
        b"HTTP/1.0 200 OK\r\n" + CHUNKED_LINE + b"\r\n" + CHUNKS,
        OK_LINE + CHUNKED_LINE + b"\r\n0x5\r\n\r\n",
        OK_LINE + CHUNKED_LINE + b"\r\n6\r\nhello\r\n0\r\n\r\n",
        OK_LINE + LENGTH_LINE,
    ],
)
def test_malformed_answer_passes_for_a_response(answer):
    """The command reported a write as accepted that the store had not confirmed, or
    read a status that a daemon had not sent.
    """
    assert fetch_from(answer).is_err()


@pytest.mark.parametrize(
    "answer",
    [
        OK_LINE + LENGTH_LINE + b"\r\nhello",
        OK_LINE + b"Content-Length: 5, 5 \r\nX:\r\nY: \xff\r\n\r\nhello",
        OK_LINE + CHUNKED_LINE + b"\r\n" + CHUNKS,
        OK_LINE + CHUNKED_LINE + b"\r\n5;a=b\r\nhello\r\n0\r\nX: 1\r\n\r\n",
        OK_LINE + b"\r\nhello",
        b"HTTP/1.0 200 OK\r\n\r\nhello",
        b"HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n"
        + OK_LINE
        + LENGTH_LINE
        + b"\r\nhello",
    ],
)
def test_sound_answer_of_unusual_form_is_refused(answer):
    """Guards against checks of responses that are stricter than HTTP."""
    response = fetch_from(answer).ok_value
    assert (response.code, response.body) == (200, b"hello")


@pytest.mark.parametrize("status", [204, 304])
def test_chunks_of_a_response_without_a_body_are_awaited(status):
    """Guards against responses that fail because no chunk follows."""
    answer = b"HTTP/1.1 %d OK\r\n" % status + CHUNKED_LINE + b"\r\n"
    assert fetch_from(answer).ok_value.code == status


@pytest.mark.parametrize(
    "answer", [b"", b"hello", b"HTTP/1.1 000 OK\r\n" + LENGTH_LINE + b"\r\nhello"]
)
def test_request_without_an_answer_counts_as_not_sent(answer):
    """A write whose answer was no HTTP response was reported as not accepted, although
    the store might have carried it out.
    """
    assert fetch_from(answer).err_value.may_have_arrived
