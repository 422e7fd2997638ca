"""Tests of the network stand-in."""

import asyncio
import contextlib

import pytest

from shallotyard_testing.network import Network
from shallotyard_testing.processes import find_free_ports

LINK = ("a", "b")


@pytest.fixture
def with_network():
    """Return a function that runs a scenario with a network and an echo server.

    The scenario gets the network and a coroutine function that opens a
    connection from ``a`` to ``b``; it returns the reader and the writer.
    """

    async def run(scenario):
        port = find_free_ports(3)
        address = f"127.0.0.1:{port + 1}"
        network = Network()
        await network.add("a", port, "127.0.0.1:1")
        await network.add("b", port + 2, address)

        async def echo(reader, writer):
            with contextlib.suppress(OSError):
                while data := await reader.read(100):
                    writer.write(data)
            writer.close()

        await asyncio.start_server(echo, "127.0.0.1", port + 1)

        async def connect():
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(f"CONNECT {address} HTTP/1.1\r\n\r\n".encode())
            assert b" 200 " in await reader.readuntil(b"\r\n\r\n")
            return reader, writer

        async with asyncio.timeout(20.0):
            await scenario(network, connect)

    return lambda scenario: asyncio.run(run(scenario))


async def exchange(stream, data):
    """Send bytes and return those that come back, ``b""`` at the end."""
    stream[1].write(data)
    return await stream[0].read(100)


@pytest.mark.parametrize("direction", ["to", "from", "both"])
def test_silent_cut_swallows_bytes_until_it_is_healed(with_network, direction):
    """Guards against a cut that lets bytes through, or delivers old ones later."""

    async def scenario(network, connect):
        old = await connect()
        assert await exchange(old, b"1") == b"1"
        network.cut(*LINK, direction, "silent")
        waiting = asyncio.create_task(connect())
        answer = asyncio.create_task(exchange(old, b"2"))
        await asyncio.sleep(0.2)
        assert not waiting.done()
        assert not answer.done()
        name = "from" if direction == "from" else "to"
        assert network.losses == {f"a>b {name}": 1}
        network.heal()
        assert await exchange(await waiting, b"3") == b"3"
        # Half a frame would follow the lost bytes.
        await asyncio.sleep(0.2)
        assert not answer.done()
        answer.cancel()

    with_network(scenario)


def test_reset_cut_ends_connections_and_refuses_new_ones(with_network):
    """Guards against a reset that only closes what is open."""

    async def scenario(network, connect):
        old = await connect()
        network.cut(*LINK, "both", "reset")
        with pytest.raises(ConnectionResetError):
            await old[0].read(1)
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await connect()
        network.heal(*LINK)
        assert await exchange(await connect(), b"1") == b"1"

    with_network(scenario)


def test_cut_concerns_its_own_link_only(with_network):
    """Guards against a cut that also stops other links."""

    async def scenario(network, connect):
        network.cut("b", "a", "both", "silent")
        assert await exchange(await connect(), b"1") == b"1"

    with_network(scenario)
