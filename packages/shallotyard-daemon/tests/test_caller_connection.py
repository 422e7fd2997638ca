"""Tests of requests that a caller sends ahead of responses on one connection."""

import asyncio

from shallotyard_core.effects import Respond
from shallotyard_core.events import RequestArrived
from shallotyard_daemon.caller_connection import MAX_PIPELINED_REQUESTS
from shallotyard_daemon.caller_server import CallerServer
from shallotyard_testing.processes import find_free_port

SCENARIO_TIMEOUT_S = 10.0


class Scenario:
    """A server for callers, and one connection to it."""

    def __init__(self):
        self.arrived = []
        self.left = []
        self.leaving = False

    async def open(self):
        """Start the server, and open the connection."""
        self.server = CallerServer(self._dispatch, {}, lambda: self.leaving)
        address = f"127.0.0.1:{find_free_port()}"
        self.server.listen(address)
        host, port = address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        return self

    def _dispatch(self, event):
        if isinstance(event, RequestArrived):
            self.arrived.append(event.request)
        else:
            self.left.append(event.request_id)

    def send(self, *requests):
        """Send requests, given as method and path, without waiting."""
        for method, path in requests:
            length = "" if method == "GET" else "Content-Length: 0\r\n"
            head = f"{method} {path} HTTP/1.1\r\nHost: router\r\n{length}\r\n"
            self.writer.write(head.encode())

    async def wait_for(self, count):
        """Wait until a number of requests were dispatched, and for more of them."""
        while len(self.arrived) < count:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.05)
        return [request.target for request in self.arrived]

    def answer(self, target):
        """Answer the request for a target; its body is the target."""
        request = next(r for r in self.arrived if r.target == target)
        effect = Respond(request.request_id, 200, {}, target.encode())
        self.server.respond(effect)

    async def read_response(self):
        """Return the head and the body of the next response."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        length = int(head.lower().split("content-length: ")[1].split("\r\n")[0])
        return head, (await self.reader.readexactly(length)).decode()

    async def close(self):
        """Close both ends."""
        self.writer.close()
        self.server.stop()
        await self.server.close()


def play(steps):
    """Run a coroutine function with an open `Scenario`."""

    async def run():
        scenario = await Scenario().open()
        try:
            await steps(scenario)
        finally:
            await scenario.close()

    asyncio.run(asyncio.wait_for(run(), SCENARIO_TIMEOUT_S))


def test_pipelined_requests_wait_for_each_other():
    """Guards against lookups that are late because others of the same connection are
    processed first, and against responses in another order than the requests.
    """

    async def steps(scenario):
        scenario.send(("GET", "/a"), ("GET", "/b"), ("GET", "/c"))
        assert await scenario.wait_for(3) == ["/a", "/b", "/c"]
        scenario.answer("/c")
        scenario.answer("/b")
        scenario.answer("/a")
        bodies = [(await scenario.read_response())[1] for _ in range(3)]
        assert bodies == ["/a", "/b", "/c"]

    play(steps)


def test_action_runs_beside_other_requests_of_its_connection():
    """Guards against a booking that is passed on before the caller knows the responses
    to its earlier requests, or beside those that it sent behind.
    """

    async def steps(scenario):
        scenario.send(("GET", "/a"), ("POST", "/b"), ("GET", "/c"))
        assert await scenario.wait_for(1) == ["/a"]
        scenario.answer("/a")
        assert await scenario.wait_for(2) == ["/a", "/b"]
        scenario.answer("/b")
        assert await scenario.wait_for(3) == ["/a", "/b", "/c"]

    play(steps)


def test_requests_ahead_are_unbounded():
    """Guards against memory and upstream load without a bound for one connection."""

    async def steps(scenario):
        count = MAX_PIPELINED_REQUESTS + 4
        scenario.send(*[("GET", f"/{n}") for n in range(count)])
        targets = await scenario.wait_for(MAX_PIPELINED_REQUESTS)
        assert len(targets) == MAX_PIPELINED_REQUESTS
        scenario.answer("/0")
        assert len(await scenario.wait_for(MAX_PIPELINED_REQUESTS + 1)) == (
            MAX_PIPELINED_REQUESTS + 1
        )

    play(steps)


def test_caller_that_leaves_cancels_its_last_request_only():
    """Guards against upstreams that work on requests whose caller has left."""

    async def steps(scenario):
        scenario.send(("GET", "/a"), ("GET", "/b"))
        await scenario.wait_for(2)
        scenario.writer.close()
        while len(scenario.left) < 2:
            await asyncio.sleep(0.005)
        assert sorted(scenario.left) == sorted(r.request_id for r in scenario.arrived)

    play(steps)


def test_caller_that_leaves_has_its_waiting_action_dispatched():
    """Guards against an action that runs although its caller left before its turn."""

    async def steps(scenario):
        scenario.send(("GET", "/a"), ("POST", "/b"))
        await scenario.wait_for(1)
        scenario.writer.close()
        while not scenario.left:
            await asyncio.sleep(0.005)
        assert await scenario.wait_for(1) == ["/a"]

    play(steps)


def test_stop_closes_a_connection_with_dispatched_requests():
    """Guards against a response that closes the connection before those behind it: the
    caller would send these once more though they run.
    """

    async def steps(scenario):
        scenario.send(("GET", "/a"), ("GET", "/b"))
        await scenario.wait_for(2)
        scenario.leaving = True
        scenario.answer("/a")
        head, _ = await scenario.read_response()
        assert "Connection: close" not in head
        scenario.send(("POST", "/late"))
        assert await scenario.wait_for(2) == ["/a", "/b"]
        scenario.answer("/b")
        head, body = await scenario.read_response()
        assert "Connection: close" in head
        assert body == "/b"
        assert await scenario.reader.read() == b""
        assert await scenario.wait_for(2) == ["/a", "/b"]

    play(steps)


def test_malformed_request_is_refused_before_earlier_responses():
    """Guards against a 400 that passes for the response to the request before."""

    async def steps(scenario):
        scenario.send(("GET", "/a"))
        scenario.writer.write(b"hello\r\n\r\n")
        assert await scenario.wait_for(1) == ["/a"]
        scenario.answer("/a")
        assert (await scenario.read_response())[1] == "/a"
        head, _ = await scenario.read_response()
        assert head.startswith("HTTP/1.1 400 ")
        assert await scenario.reader.read() == b""

    play(steps)
