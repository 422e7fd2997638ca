"""Tests of the network stand-in."""

import asyncio
import contextlib

import pytest

from shallotyard_testing.network import Network
from shallotyard_testing.processes import find_free_ports

_LINK = ("a", "b")


@pytest.fixture
def with_network():
    """Return a function that runs a scenario with a network and an echo server.

    The scenario gets the network and a coroutine function that opens a
    connection from ``a`` to ``b`` and returns its reader and writer.
    """

    async def run(scenario):
        port = find_free_ports(3)
        address = f"127.0.0.1:{port + 1}"
        network = Network()
        await network.add_instance("a", port, "127.0.0.1:1")
        await network.add_instance("b", port + 2, address)

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


async def _exchange(connection, data):
    """Send bytes and return those received, ``b""`` at the end of the stream."""
    connection[1].write(data)
    return await connection[0].read(100)


@pytest.mark.parametrize("direction", ["to", "from", "both"])
def test_silent_cut_drops_bytes_until_it_ends(with_network, direction):
    """Guards against a cut that passes bytes, or delivers them after its end."""

    async def scenario(network, connect):
        connection = await connect()
        assert await _exchange(connection, b"1") == b"1"
        network.cut(*_LINK, direction, "silent")
        pending_connect = asyncio.create_task(connect())
        pending_exchange = asyncio.create_task(_exchange(connection, b"2"))
        await asyncio.sleep(0.2)
        assert not pending_connect.done()
        assert not pending_exchange.done()
        name = "from" if direction == "from" else "to"
        assert network.losses == {f"a>b {name}": 1}
        network.heal()
        assert await _exchange(await pending_connect, b"3") == b"3"
        # After lost bytes, the connection could only deliver a partial frame.
        await asyncio.sleep(0.2)
        assert not pending_exchange.done()
        pending_exchange.cancel()

    with_network(scenario)


def test_reset_cut_ends_connections_and_refuses_new_ones(with_network):
    """Guards against a reset cut that affects only open or only new connections."""

    async def scenario(network, connect):
        connection = await connect()
        network.cut(*_LINK, "both", "reset")
        with pytest.raises(ConnectionResetError):
            await connection[0].read(1)
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await connect()
        network.heal(*_LINK)
        assert await _exchange(await connect(), b"1") == b"1"

    with_network(scenario)


def test_cut_affects_its_own_link_only(with_network):
    """Guards against a cut that also affects other links."""

    async def scenario(network, connect):
        network.cut("b", "a", "both", "silent")
        assert await _exchange(await connect(), b"1") == b"1"

    with_network(scenario)
