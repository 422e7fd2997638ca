"""Tests of upstreams that send bytes until their connection is closed."""

import asyncio
import contextlib
import tracemalloc
from types import SimpleNamespace

import pycurl
import pytest

from shallotyard_core.events import StoreStatus
from shallotyard_daemon import platform_client
from shallotyard_daemon.curl_pool import MAX_BODY_BYTES
from shallotyard_daemon.curl_pool import MAX_CHUNKS_PER_CALL
from shallotyard_daemon.curl_pool import TOO_LARGE
from shallotyard_daemon.curl_pool import CurlPool
from shallotyard_daemon.platform_client import PlatformClient
from shallotyard_daemon.transfers import Transfer

SCENARIO_TIMEOUT_S = 30.0
TRANSFER_TIMEOUT_MS = 20_000
# libcurl passes on a body in chunks of at most this size.
LIBCURL_CHUNK_BYTES = 16_384
# Memory of the smallest instance in the deployments.
SMALLEST_MEMORY_BYTES = 200_000_000
_FILLER = b"a" * 1000
# Bytes sent once, and bytes repeated after them.
HEADS_BY_NAME = {
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"X-Filler: " + _FILLER + b"\r\n"),
    "header line": (b"HTTP/1.1 200 OK\r\nX-Filler: ", _FILLER),
    "status line": (b"HTTP/1.1 200 ", _FILLER),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 50),
    "no response": (b"", b"\x00\x17" * 500),
    "trailers": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-Filler: " + _FILLER + b"\r\n",
    ),
    "chunk extension": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=",
        _FILLER,
    ),
}
TINY_CHUNK = b"2\r\nab\r\n"
TINY_CHUNKS_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
TINY_CHUNK_COUNT = 50_000
# Memory that a body may take for each of its bytes, with the copy that is passed on.
MAX_MEMORY_RATIO = 4
BODIES_BY_NAME = {
    "until close": (b"HTTP/1.1 200 OK\r\n\r\n", _FILLER * 64),
    "chunked": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"fa00\r\n" + _FILLER * 64 + b"\r\n",
    ),
}


def build_transfer(port, finish):
    """Return a transfer that the limits on its size must end, not its timeout."""
    return Transfer(
        f"http://127.0.0.1:{port}/",
        "GET",
        [],
        b"",
        500,
        TRANSFER_TIMEOUT_MS,
        False,
        b"",
        lambda: True,
        finish,
    )


async def serve_without_end(first, repeated, reader, writer):
    """Respond with bytes until the connection is closed."""
    with contextlib.suppress(ConnectionError):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(first)
        while True:
            writer.write(repeated)
            await writer.drain()
    writer.close()


def get_port(server):
    """Return the port of a server."""
    return server.sockets[0].getsockname()[1]


def run_transfers(first, repeated, count):
    """Run transfers from a server that never ends a response.

    :param first: bytes sent once.
    :param repeated: bytes sent again and again.
    :return: the ended transfers, and the highest number of buffered bytes.
    """

    async def run():
        server = await asyncio.start_server(
            lambda *streams: serve_without_end(first, repeated, *streams),
            "127.0.0.1",
            0,
        )
        pool = CurlPool(force_instance=True)
        ended = []
        peak_bytes = 0
        for _ in range(count):
            pool.start(build_transfer(get_port(server), ended.append))
        while len(ended) < count:
            peak_bytes = max(peak_bytes, pool.buffered_bytes)
            await asyncio.sleep(0)
        assert pool.buffered_bytes == 0
        server.close()
        pool.close()
        return ended, peak_bytes

    return asyncio.run(asyncio.wait_for(run(), SCENARIO_TIMEOUT_S))


@pytest.mark.parametrize("name", HEADS_BY_NAME)
def test_head_without_end_is_given_up(name, monkeypatch):
    """Guards against a head that occupies memory until the deadline."""
    chunks = []
    must_pause = CurlPool.must_pause

    def record_chunk(pool, transfer):
        chunks.append(transfer)
        return must_pause(pool, transfer)

    monkeypatch.setattr(CurlPool, "must_pause", record_chunk)
    ((transfer,), _) = run_transfers(*HEADS_BY_NAME[name], 1)
    assert transfer.error not in (0, pycurl.E_OPERATION_TIMEDOUT)
    # The body of a transfer that failed is empty in any case.
    assert not chunks


@pytest.mark.parametrize("name", BODIES_BY_NAME)
def test_body_without_end_is_given_up(name):
    """Guards against a body that occupies memory until the deadline."""
    ((transfer,), peak_bytes) = run_transfers(*BODIES_BY_NAME[name], 1)
    assert transfer.error == pycurl.E_WRITE_ERROR
    assert peak_bytes <= MAX_BODY_BYTES + LIBCURL_CHUNK_BYTES


def test_bodies_without_end_share_one_bound():
    """Guards against many bodies that together exceed the memory of an instance."""
    ended, peak_bytes = run_transfers(*BODIES_BY_NAME["until close"], 40)
    assert {transfer.error for transfer in ended} == {pycurl.E_WRITE_ERROR}
    assert peak_bytes <= SMALLEST_MEMORY_BYTES // 4


@pytest.mark.parametrize("name", BODIES_BY_NAME)
def test_body_of_the_store_without_end_is_given_up(name, monkeypatch):
    """Guards against a store that fills the memory of an instance."""

    async def run():
        server = await asyncio.start_server(
            lambda *streams: serve_without_end(*BODIES_BY_NAME[name], *streams),
            "127.0.0.1",
            0,
        )
        settings = SimpleNamespace(
            instance="front-1", store_url=f"http://127.0.0.1:{get_port(server)}"
        )
        ended = asyncio.get_running_loop().create_future()
        client = PlatformClient.from_settings(settings, ended.set_result)
        client.read(SimpleNamespace(name="manifest", etag=""))
        (transfer,) = client.pool.transfers
        event = await ended
        server.close()
        client.pool.close()
        return event, transfer

    # The limits on the size must end the transfer, not its timeout.
    monkeypatch.setattr(platform_client, "READ_TIMEOUT_S", TRANSFER_TIMEOUT_MS / 1000)
    event, transfer = asyncio.run(asyncio.wait_for(run(), SCENARIO_TIMEOUT_S))
    assert (transfer.error, transfer.fault) == (pycurl.E_WRITE_ERROR, TOO_LARGE)
    assert (event.status, event.body) == (StoreStatus.FAILED, b"")


def test_small_response_arrives_beside_bodies_without_end():
    """Guards against a response that is dropped because others are too large."""

    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsome")
        # The rest follows only after bodies were given up.
        while not ended:
            await asyncio.sleep(0.01)
        writer.write(b" body")
        await writer.drain()
        writer.close()

    async def run():
        endless = await asyncio.start_server(
            lambda *streams: serve_without_end(*BODIES_BY_NAME["chunked"], *streams),
            "127.0.0.1",
            0,
        )
        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        pool = CurlPool(force_instance=True)
        small = []
        pool.start(build_transfer(get_port(server), small.append))
        for _ in range(20):
            pool.start(build_transfer(get_port(endless), ended.append))
        while not small or len(ended) < 20:
            await asyncio.sleep(0.01)
        endless.close()
        server.close()
        pool.close()
        return small[0]

    ended = []
    transfer = asyncio.run(asyncio.wait_for(run(), SCENARIO_TIMEOUT_S))
    assert (transfer.status, transfer.response_body) == (200, b"some body")


def run_tiny_chunks(watch):
    """Run a transfer whose body is many tiny chunks; return it.

    :param watch: function called with the pool and with each turn of the event loop.
    """

    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(TINY_CHUNKS_HEAD + TINY_CHUNK * TINY_CHUNK_COUNT + b"0\r\n\r\n")
        await writer.drain()

    async def run():
        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        pool = CurlPool(force_instance=True)
        ended = []
        pool.start(build_transfer(get_port(server), ended.append))
        while not ended:
            watch(pool)
            await asyncio.sleep(0)
        pool.close()
        server.close()
        return ended[0]

    return asyncio.run(asyncio.wait_for(run(), SCENARIO_TIMEOUT_S))


def test_tiny_chunks_hold_up_the_event_loop(monkeypatch):
    """Callers of other upstreams waited for seconds while one sent tiny chunks."""
    counts_by_turn = [0]
    accepts = CurlPool.accepts

    def count_and_accept(pool, transfer, size):
        counts_by_turn[-1] += 1
        return accepts(pool, transfer, size)

    monkeypatch.setattr(CurlPool, "accepts", count_and_accept)
    transfer = run_tiny_chunks(lambda pool: counts_by_turn.append(0))
    assert (transfer.error, transfer.status) == (0, 200)
    assert transfer.response_body == b"ab" * TINY_CHUNK_COUNT
    # A turn may have an event, a timer and a resumption.
    assert max(counts_by_turn) <= 3 * MAX_CHUNKS_PER_CALL


def test_tiny_chunks_take_many_times_the_memory_that_is_counted():
    """An instance ran out of memory although the bytes of bodies were bounded."""
    tracemalloc.start()
    try:
        # The bytes that the stand-in sends are in the same process.
        sent_bytes = len(TINY_CHUNK) * TINY_CHUNK_COUNT
        transfer = run_tiny_chunks(lambda pool: None)
        held, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    body_bytes = len(transfer.response_body)
    assert body_bytes == 2 * TINY_CHUNK_COUNT
    assert peak <= 3 * sent_bytes + MAX_MEMORY_RATIO * body_bytes


def test_paused_transfer_that_is_abandoned_is_resumed(capfd):
    """Guards against a handle that is resumed while it carries another transfer, and
    against callbacks of libcurl that fail at the end of an abandoned one.
    """

    async def run():
        server = await asyncio.start_server(
            lambda *streams: serve_without_end(
                TINY_CHUNKS_HEAD, TINY_CHUNK * 1000, *streams
            ),
            "127.0.0.1",
            0,
        )
        pool = CurlPool(force_instance=True)
        ended = []
        for count in range(1, 20):
            transfer = build_transfer(get_port(server), ended.append)
            pool.start(transfer)
            while not transfer.received_body:
                await asyncio.sleep(0)
            # Reads of chunked responses are counted from the next turn on.
            await asyncio.sleep(0)
            pool.abandon(transfer)
            assert len(ended) == count
        assert pool.buffered_bytes == 0
        pool.close()
        server.close()

    asyncio.run(asyncio.wait_for(run(), SCENARIO_TIMEOUT_S))
    assert "Traceback" not in capfd.readouterr().err
