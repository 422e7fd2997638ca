"""Tests of `UpstreamClient`."""

import asyncio

import pytest

from shallotyard_core.effects import SendAttempt
from shallotyard_core.events import AttemptKind
from shallotyard_daemon.clock import read_clock
from shallotyard_daemon.upstream_client import UpstreamClient


@pytest.mark.parametrize("allowed", [True, False])
def test_request_is_written_only_if_the_lease_permits_it(allowed):
    """Guards against writing a request after the lease has expired.

    This happens if the process is suspended between the decision to send and the
    write. Tests with real processes cannot suspend a daemon at that moment.
    """
    received = []

    async def receive(reader, writer):
        received.append(await reader.read(65536))
        writer.close()

    async def run():
        server = await asyncio.start_server(receive, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        finished = asyncio.get_running_loop().create_future()
        client = UpstreamClient(finished.set_result, lambda call_id, now: allowed)
        address = f"127.0.0.1:{port}"
        deadline = read_clock() + 30.0
        client.send(
            SendAttempt(
                *("c.1", "book-1", address, "POST", "/", {}, b"order", "q.1"),
                deadline,
                fresh=True,
                connections=4,
            )
        )
        event = await finished
        server.close()
        await asyncio.sleep(0.05)
        return event

    event = asyncio.run(run())
    assert event.kind is (AttemptKind.LOST if allowed else AttemptKind.NOT_SENT)
    assert any(received) is allowed


def test_list_of_lengths_is_passed_on_for_head():
    """Guards against callers that refuse or misread a list of equal lengths."""

    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 200 OK\r\nShallotyard-Request-Id: q.1\r\n"
            b"Content-Length: 14, 14\r\n\r\n"
        )
        await writer.drain()
        writer.close()

    async def run():
        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        finished = asyncio.get_running_loop().create_future()
        client = UpstreamClient(finished.set_result, lambda call_id, now: True)
        client.send(
            SendAttempt(
                *("c.1", "book-1", address, "HEAD", "/", {}, b"", "q.1"),
                read_clock() + 30.0,
                fresh=True,
                connections=4,
            )
        )
        event = await finished
        server.close()
        return event

    event = asyncio.run(run())
    assert event.kind is AttemptKind.ANSWERED
    assert event.headers["Content-Length"] == "14"
