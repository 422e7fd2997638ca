"""Stand-in for the network between instances: HTTP CONNECT proxies that cut links.

Each instance opens its connections through a proxy port of its own (CONNECT: RFC
9110, section 9.3.6), so that the port identifies the source of a link and the
CONNECT target its destination.
"""

import asyncio
import collections
import contextlib
import socket
import struct
import sys

import orjson
import uvloop
from absl import flags

from shallotyard_testing.utils import listen
from shallotyard_testing.utils import parse_flags
from shallotyard_testing.utils import respond_json

_FLAGS = flags.FlagValues()
flags.DEFINE_string("address", "127.0.0.1", "IP address", flag_values=_FLAGS)
flags.DEFINE_integer("port", 9002, "TCP port of the control", flag_values=_FLAGS)

# "to" is the direction towards the destination of a connection, "from" the opposite
# one, in which responses return.
DIRECTIONS_BY_NAME = {"to": {"to"}, "from": {"from"}, "both": {"to", "from"}}
MODES = ("silent", "reset")
_CHUNK_BYTES = 65536
# SO_LINGER enabled with a time of 0 s makes the kernel send a reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def _reset(writer):
    """Close a connection with a TCP reset."""
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
    writer.transport.abort()


class Network:
    """Links between instances, and the active cuts.

    A connection that lost bytes stays silent after the cut ends, because the
    receiver could not parse the bytes after the gap; new connections work.
    """

    def __init__(self):
        self.source_by_port = {}
        self.instance_by_address = {}
        self.cuts = {}
        self.losses = collections.Counter()
        self._writers_by_link = collections.defaultdict(set)
        self._cuts_changed = asyncio.Event()

    async def add_instance(self, instance, port, address):
        """Listen on the proxy port of an instance.

        :param instance: id of the instance.
        :param port: TCP port of the proxy for connections that the instance opens.
        :param address: ``ip:port`` at which other instances reach it.
        """
        self.instance_by_address[address] = instance
        if self.source_by_port.setdefault(port, instance) == instance:

            async def handle_connection(reader, writer):
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    await self._connect(instance, reader, writer)
                writer.transport.abort()

            await asyncio.start_server(handle_connection, "127.0.0.1", port)

    def cut(self, source, destination, direction, mode):
        """Cut the connections that one instance opens to another one.

        :param source: id of the instance that opens the connections.
        :param destination: id of the instance that accepts them.
        :param direction: key of ``DIRECTIONS_BY_NAME``.
        :param mode: one of ``MODES``.
        """
        link = (source, destination)
        self.cuts[link] = (DIRECTIONS_BY_NAME[direction], mode)
        if mode == "reset":
            self._count_resets(link, len(self._writers_by_link[link]) // 2)
            for writer in list(self._writers_by_link[link]):
                _reset(writer)
        self._notify_cut_change()

    def heal(self, source="", destination=""):
        """End the cut of one link, or all cuts if ``source`` is empty.

        :param source: id of the instance that opens the connections.
        :param destination: id of the instance that accepts them.
        """
        for link in list(self.cuts) if not source else [(source, destination)]:
            self.cuts.pop(link, None)
        self._notify_cut_change()

    def _count_resets(self, link, count):
        self.losses["{}>{} resets".format(*link)] += count

    def _notify_cut_change(self):
        self._cuts_changed.set()
        self._cuts_changed = asyncio.Event()

    async def _wait_until_open(self, link):
        while self.cuts.get(link, ((), ""))[1] == "silent":
            await self._cuts_changed.wait()

    async def _connect(self, source, reader, writer):
        request = await reader.readuntil(b"\r\n\r\n")
        method, target = request.split(b" ", 2)[:2]
        if method != b"CONNECT":
            writer.write(b"HTTP/1.1 405 Method Not Allowed\r\n\r\n")
            return
        address = target.decode()
        link = (source, self.instance_by_address.get(address, ""))
        if link in self.cuts and not await self._wait_through_cut(link, reader):
            _reset(writer)
            return
        host, _, port = address.rpartition(":")
        try:
            destination_reader, destination_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.write(b"HTTP/1.1 502 Bad Gateway\r\n\r\n")
            await writer.drain()
            return
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        writers = {writer, destination_writer}
        self._writers_by_link[link] |= writers
        try:
            await asyncio.gather(
                self._copy(link, "to", reader, destination_writer),
                self._copy(link, "from", destination_reader, writer),
            )
        finally:
            self._writers_by_link[link] -= writers
            destination_writer.transport.abort()

    async def _wait_through_cut(self, link, reader):
        """Wait until a silent cut ends or the source closes its connection.

        :return: whether to open the connection; ``False`` at once for a reset.
        """
        if self.cuts[link][1] == "reset":
            self._count_resets(link, 1)
            return False
        cut_ended = asyncio.create_task(self._wait_until_open(link))
        # The source sends nothing before the response to CONNECT, so this read ends
        # only when the source closes its connection.
        source_closed = asyncio.create_task(reader.read(1))
        done, _ = await asyncio.wait(
            (cut_ended, source_closed), return_when=asyncio.FIRST_COMPLETED
        )
        cut_ended.cancel()
        source_closed.cancel()
        await asyncio.gather(source_closed, return_exceptions=True)
        return source_closed not in done and link not in self.cuts

    async def _copy(self, link, direction, reader, writer):
        has_lost_bytes = False
        # Any non-empty value starts the loop.
        data = b"-"
        while data:
            try:
                data = await reader.read(_CHUNK_BYTES)
            except OSError:
                data = b""
            has_lost_bytes = (
                has_lost_bytes or direction in self.cuts.get(link, ((), ""))[0]
            )
            if has_lost_bytes:
                self.losses["{}>{} {}".format(*link, direction)] += len(data)
            elif data:
                with contextlib.suppress(OSError):
                    writer.write(data)
                    await writer.drain()
        # While a cut is active, the other side must not see the connection close.
        await self._wait_until_open(link)
        if has_lost_bytes:
            _reset(writer)
            return
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()


def make_handler(network):
    """Return the request handler of the control endpoint.

    It serves ``PUT /-/instances`` with ``instance``, ``port`` and ``address``;
    ``POST /-/cut`` with ``source``, ``destination``, ``direction`` and ``mode``;
    ``POST /-/heal`` with ``source`` and ``destination``, or neither; and
    ``GET /-/losses``.

    :param network: the ``Network``.
    :return: function that takes an ``HTTPServerRequest``.
    """

    async def handle_instance(request, value):
        await network.add_instance(**value)
        respond_json(request, {})

    def handle(request):
        value = orjson.loads(request.body or b"{}")
        if request.path == "/-/instances":
            # The event loop keeps only a weak reference to a task.
            request.task = asyncio.create_task(handle_instance(request, value))
            return
        if request.path == "/-/cut":
            if value["direction"] not in DIRECTIONS_BY_NAME or (
                value["mode"] not in MODES
            ):
                respond_json(request, {"error": f"unknown cut {value}"}, 400)
                return
            network.cut(**value)
        elif request.path == "/-/heal":
            network.heal(**value)
        respond_json(request, network.losses)

    return handle


async def _serve():
    listen(make_handler(Network()), _FLAGS.port, _FLAGS.address)
    await asyncio.Event().wait()


if __name__ == "__main__":
    parse_flags(_FLAGS, sys.argv)
    uvloop.run(_serve())
