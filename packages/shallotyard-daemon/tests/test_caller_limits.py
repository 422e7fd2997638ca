"""Tests of limits on memory, size and time of a caller's connection."""

import asyncio

import pytest

from shallotyard_core.caller_limits import CallerLimits
from shallotyard_core.effects import Respond
from shallotyard_daemon import caller_connection
from shallotyard_daemon.caller_server import CallerServer
from shallotyard_daemon.memory_budget import EdgeBudget
from shallotyard_testing.processes import find_free_port

SCENARIO_TIMEOUT_S = 20.0
HEAD = b"POST /a HTTP/1.1\r\nHost: router\r\n"
GET = b"GET /a HTTP/1.1\r\nHost: router\r\n"
LIMITS = CallerLimits(2048, 400_000, 0.3, 1.0)


def play(steps, limits=LIMITS, edge_bytes=2_000_000, max_connections=0, delay_s=0.0):
    """Run a coroutine function that takes a function which opens a connection. Each
    request is answered with the length of its body.

    :param delay_s: time until the answer, in seconds.
    """

    async def run():
        def dispatch(event):
            if hasattr(event, "request"):
                request = event.request
                body = str(len(request.body)).encode()
                response = Respond(request.request_id, 200, {}, body)
                if delay_s:
                    loop = asyncio.get_running_loop()
                    loop.call_later(delay_s, server.respond, response)
                else:
                    server.respond(response)

        server = CallerServer(
            dispatch,
            {},
            lambda: False,
            edge=EdgeBudget(edge_bytes),
            max_connections=max_connections,
            get_limits=lambda: limits,
        )
        port = find_free_port()
        server.listen(f"127.0.0.1:{port}")
        writers = []

        async def connect(payload):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writers.append(writer)
            writer.write(payload)
            return reader, writer

        await steps(connect)
        for writer in writers:
            writer.close()
        server.stop()
        await server.close()

    asyncio.run(asyncio.wait_for(run(), SCENARIO_TIMEOUT_S))


@pytest.mark.parametrize(
    ("payload", "status"),
    [
        (GET + b"X: " + b"x" * 2048 + b"\r\n\r\n", 431),
        (GET + b"X: " + b"x" * 200_000, 431),
        (HEAD + b"Content-Length: 400001\r\n\r\n", 413),
        (
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n61A81\r\n" + b"x" * 400_001,
            413,
        ),
        (GET + b"X: ", 408),
        (HEAD + b"Content-Length: 5\r\n\r\nx", 408),
    ],
)
def test_request_beyond_a_limit_is_read_on(payload, status, monkeypatch):
    """Guards against requests that take memory or a connection beyond the limits of the
    configuration, and against refusals without a verdict. None of these ends by itself.
    """
    monkeypatch.setattr(caller_connection, "BODY_TIMEOUT_S", 0.3)
    monkeypatch.setattr(caller_connection, "DISCARD_S", 0.3)

    async def steps(connect):
        reader, _ = await connect(payload)
        response = (await reader.read()).decode()
        assert response.startswith(f"HTTP/1.1 {status} ")
        assert "Shallotyard-Verdict: not-run" in response
        assert "Connection: close" in response
        assert response.count("HTTP/1.1") == 1

    play(steps)


@pytest.mark.parametrize("first", [GET + b"\r\n", HEAD + b"Content-Length: 0\r\n\r\n"])
@pytest.mark.parametrize(
    "rest",
    [
        GET + b"X: ",
        GET + b"X: " + b"x" * 200_000,
        GET + b"X\r\n\r\n",
        HEAD + b"Content-Length: 400001\r\n\r\n",
        HEAD + b"Content-Length: 5\r\n\r\nx",
    ],
)
def test_refusal_of_the_next_request_answers_one_that_was_passed_on(
    first, rest, monkeypatch
):
    """Guards against 408, 413, 431 or 503 of the connection itself for a request that
    has been dispatched and may have run.
    """
    monkeypatch.setattr(caller_connection, "BODY_TIMEOUT_S", 0.3)
    monkeypatch.setattr(caller_connection, "DISCARD_S", 0.3)

    async def steps(connect):
        reader, _ = await connect(first + rest)
        response = (await reader.read()).decode()
        statuses = [part[:3] for part in response.split("HTTP/1.1 ")[1:]]
        assert statuses[0] == "200"
        assert "200" not in statuses[1:]

    play(steps, delay_s=0.8)


def test_body_within_the_limits_is_refused():
    """Guards against limits that a request at their very size does not pass."""

    async def steps(connect):
        reader, _ = await connect(
            HEAD + b"Content-Length: 400000\r\n\r\n" + b"x" * 400_000
        )
        assert (await reader.readuntil(b"400000")).startswith(b"HTTP/1.1 200 ")

    play(steps)


def test_idle_connection_stays_open():
    """Guards against idle connections that are never closed, or before a request on
    them is answered.
    """

    async def steps(connect):
        reader, _ = await connect(GET + b"\r\n")
        assert (await reader.read()).startswith(b"HTTP/1.1 200 ")

    play(steps)


def test_announced_bodies_exceed_the_memory():
    """Guards against bodies that are read although no memory is left, ordinary requests
    that are refused beside them, and stalled ones that keep the memory.
    """
    announced = HEAD + b"Content-Length: 390000\r\n\r\n"

    async def steps(connect):
        # Three fit into four fifths of the memory, beside the connections themselves.
        held = [await connect(announced) for _ in range(3)]
        await asyncio.sleep(0.1)
        reader, _ = await connect(announced)
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: 1\r\n" in head
        reader, _ = await connect(HEAD + b"Content-Length: 5\r\n\r\norder")
        assert (await reader.readuntil(b"5")).startswith(b"HTTP/1.1 200 ")
        while True:
            await asyncio.sleep(0.05)
            reader, _ = await connect(announced + b"x" * 390_000)
            if (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 "):
                break
        lines = [asyncio.create_task(reader.readline()) for reader, _ in held]
        ended, others = await asyncio.wait(lines, return_when=asyncio.FIRST_COMPLETED)
        assert ended.pop().result().startswith(b"HTTP/1.1 503 ")
        for line in others:
            line.cancel()

    play(steps, CallerLimits(), 1_700_000)


def test_new_connection_is_refused_beside_idle_ones():
    """Guards against idle connections that take all descriptors."""

    async def steps(connect):
        idle = [await connect(b"") for _ in range(4)]
        await asyncio.sleep(0.1)
        reader, _ = await connect(GET + b"\r\n")
        assert (await reader.readuntil(b"\r\n")).startswith(b"HTTP/1.1 200 ")
        assert await idle[0][0].read() == b""

    play(steps, CallerLimits(), max_connections=4)
