"""Tests of the client for the store and the instance list."""

import asyncio
from types import SimpleNamespace

import pytest

from shallotyard_core.events import StoreStatus
from shallotyard_daemon.platform_client import PlatformClient

SCENARIO_TIMEOUT_S = 10.0


def read_once(status_line):
    """Return the event of a read that a store answers with a status line."""

    async def run():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(status_line + b"\r\nContent-Length: 2\r\n\r\n{}")
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        settings = SimpleNamespace(
            instance="front-1", store_url=f"http://127.0.0.1:{port}"
        )
        ended = asyncio.get_running_loop().create_future()
        client = PlatformClient.from_settings(settings, ended.set_result)
        client.read(SimpleNamespace(name="manifest", etag=""))
        event = await ended
        server.close()
        client.client.close()
        return event

    return asyncio.run(asyncio.wait_for(run(), SCENARIO_TIMEOUT_S))


@pytest.mark.parametrize("status", [b"2000", b"200OK", b"304\t"])
def test_malformed_status_line_passes_for_an_object(status):
    """Guards against a manifest or an assignment that the store never returned."""
    assert read_once(b"HTTP/1.1 " + status).status is StoreStatus.FAILED


def test_object_is_read():
    """Guards against failures of all reads."""
    assert read_once(b"HTTP/1.1 200 OK").status is StoreStatus.DONE
