"""Tests of the client for the store and the instance list."""

import asyncio
from types import SimpleNamespace

import pytest

from shallotyard_core.events import StoreStatus
from shallotyard_daemon.platform_client import PlatformClient

SCENARIO_TIMEOUT_S = 10.0
OK_LINE = b"HTTP/1.1 200 OK\r\n"


def read_once(answer):
    """Return the event of a read to which a store answers with some bytes."""
    return call_once(answer, "read", SimpleNamespace(name="manifest", etag=""))


def write_once(answer):
    """Return the event of a write to which a store answers with some bytes."""
    effect = SimpleNamespace(name="manifest", etag="1", nonce="n", body=b"{}")
    return call_once(answer, "write", effect)


def call_once(answer, method, effect):
    """Return the event of a call to which a store answers with some bytes."""

    async def run():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        settings = SimpleNamespace(
            instance="front-1", store_url=f"http://127.0.0.1:{port}"
        )
        ended = asyncio.get_running_loop().create_future()
        client = PlatformClient.from_settings(settings, ended.set_result)
        getattr(client, method)(effect)
        event = await ended
        server.close()
        client.pool.close()
        return event

    return asyncio.run(asyncio.wait_for(run(), SCENARIO_TIMEOUT_S))


@pytest.mark.parametrize("status", [b"2000", b"200OK", b"304\t", b"000"])
def test_malformed_status_line_passes_for_an_object(status):
    """Guards against a manifest or an assignment that the store never returned."""
    answer = b"HTTP/1.1 " + status + b"\r\nContent-Length: 2\r\n\r\n{}"
    assert read_once(answer).status is StoreStatus.FAILED


@pytest.mark.parametrize(
    "answer",
    [
        OK_LINE + b"a b: c\r\nContent-Length: 2\r\n\r\n{}",
        OK_LINE + b"X\x01: a\r\nContent-Length: 2\r\n\r\n{}",
        OK_LINE + b"no colon\r\nContent-Length: 2\r\n\r\n{}",
        OK_LINE + b"X: a\x0b\r\nContent-Length: 2\r\n\r\n{}",
        OK_LINE + b"Content-Length: 2x\r\n\r\n{}",
        OK_LINE + b"Content-Length: 18446744073709551618\r\n\r\n{} and more",
        OK_LINE + b"Transfer-Encoding:\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        OK_LINE
        + b"Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n"
        + b"2\r\n{}\r\n0\r\n\r\n",
        OK_LINE + b"Transfer-Encoding: chunked\r\n\r\n3\r\n{}\r\n0\r\n\r\n",
        OK_LINE + b"ETag: 2\r\n",
    ],
)
def test_malformed_answer_passes_for_an_object(answer):
    """Guards against a manifest or an assignment that the store never returned, and
    against a write that counts as done before the store has said so.
    """
    assert read_once(answer).status is StoreStatus.FAILED
    assert write_once(answer).status is StoreStatus.UNCLEAR


def test_object_is_read():
    """Guards against failures of all reads."""
    event = read_once(OK_LINE + b'ETag: "7"\r\nContent-Length: 2\r\n\r\n{}')
    assert (event.status, event.etag, event.body) == (StoreStatus.DONE, "7", b"{}")


def test_object_is_written():
    """Guards against failures of all writes."""
    event = write_once(OK_LINE + b'etag: "8"\r\nContent-Length: 0\r\n\r\n')
    assert (event.status, event.etag) == (StoreStatus.DONE, "8")
