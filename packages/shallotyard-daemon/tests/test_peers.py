"""Tests of the gRPC streams between instances."""

import asyncio

from shallotyard_core.effects import SendPeer
from shallotyard_core.events import PeerReplied
from shallotyard_core.messages import WitnessAck
from shallotyard_daemon.peers import Peers
from shallotyard_testing.network import Network
from shallotyard_testing.processes import find_free_ports


def test_replaced_stream_uses_a_new_connection(monkeypatch):
    """Guards against a new stream on a connection that no longer delivers data.

    By default, channels to one address share a connection, even if the second
    channel is opened while the first one is being closed.
    """
    port = find_free_ports(3)
    monkeypatch.setenv("grpc_proxy", f"http://127.0.0.1:{port}")
    monkeypatch.setenv("no_grpc_proxy", "none.invalid")
    address = f"127.0.0.1:{port + 1}"

    async def run():
        network = Network()
        await network.add_instance("a", port, "127.0.0.1:1")
        await network.add_instance("b", port + 2, address)
        replies = asyncio.Queue()
        own = Peers("a", replies.put_nowait)
        other = Peers("b", lambda event: other.reply(event.reply_to, event.message))
        await other.listen(address)

        async def exchange():
            own.send(SendPeer("b", address, WitnessAck(True), "token", 0.2))
            event = await replies.get()
            assert isinstance(event, PeerReplied)
            return event.message is not None

        async def wait_for_reply():
            while not await exchange():
                await asyncio.sleep(0.05)

        async with asyncio.timeout(30.0):
            await wait_for_reply()
            network.cut("a", "b", "both", "silent")
            assert not await exchange()
            network.heal()
            await wait_for_reply()
        await own.close()
        await other.close()

    asyncio.run(run())
