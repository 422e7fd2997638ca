"""Tests of what is reported about new connections to upstreams."""

import asyncio
import socket
import time

import pytest
from direct_builders import build_request

from shallotyard_core.verdict import Verdict
from shallotyard_daemon.clock import read_clock
from shallotyard_daemon.direct_upstreams import DirectUpstreams
from shallotyard_daemon.direct_upstreams import UpstreamProtocol
from shallotyard_direct import effects
from shallotyard_direct import events
from shallotyard_direct.keys.timing import GRANT_SEND_TIMEOUT_S
from shallotyard_direct.keys.timing import GRANT_TRANSIT_S

LIMIT_S = 10.0
# Connections that fill the queue of a listening socket, so that later ones hang.
FILLING_CONNECTIONS = 4


def interpret_response(effect, transfer, now):
    """Return the result of an attempt."""
    verdict = Verdict.RAN if transfer.status else Verdict.NOT_RUN
    return events.AttemptFinished(
        now, effect.attempt_id, verdict, unsent=not transfer.sent
    )


def interpret_grant_response(effect, transfer, now):
    """Return the result of a grant."""
    return events.GrantFinished(now, effect.token, transfer.status == 200 or None)


PROTOCOL = UpstreamProtocol(
    lambda effect, remaining_s: [],
    interpret_response,
    lambda effect: ("/-/grant", [], b"{}"),
    lambda effect: ("/-/release", [], b"{}"),
    interpret_grant_response,
    None,
)

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class Scenario:
    """The client for upstreams, an upstream, and an address that does not respond."""

    def __init__(self):
        self.events = []
        self.may_send = True
        self.received_bytes = 0
        self.received_calls = 0
        self.received_lines = []
        self.closes_unanswered = False
        self.upstreams = DirectUpstreams(
            self.events.append, lambda attempt_id, now: self.may_send, PROTOCOL
        )
        self.hanging_sockets = []

    async def start(self):
        """Listen on free ports."""
        self.server = await asyncio.start_server(self._respond, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _respond(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.received_bytes += len(head)
                self.received_calls += 1
                self.received_lines.append(head.partition(b"\r\n")[0])
                if self.closes_unanswered:
                    break
                writer.write(RESPONSE)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    def open_hanging_address(self):
        """Return an address that does not respond to a new connection."""
        listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.hanging_sockets.append(listener)
        for _ in range(FILLING_CONNECTIONS):
            connection = socket.socket()
            connection.setblocking(False)
            connection.connect_ex(listener.getsockname())
            self.hanging_sockets.append(connection)
        return f"127.0.0.1:{listener.getsockname()[1]}"

    def close(self):
        """Close all sockets."""
        self.server.close()
        self.upstreams.pool.close()
        for opened in self.hanging_sockets:
            opened.close()

    def list_tried(self):
        """Return whether the new connections could be opened, in order."""
        return [e.opened for e in self.events if isinstance(e, events.ConnectionTried)]

    def list_ended(self, kind=events.AttemptFinished):
        """Return the results of attempts or of other calls."""
        return [event for event in self.events if isinstance(event, kind)]

    async def grant(self):
        """Send a grant and wait for its end; return its `GrantFinished`."""
        count = len(self.list_ended(events.GrantFinished))
        deadline = read_clock() + GRANT_SEND_TIMEOUT_S
        self.upstreams.grant(
            effects.SendGrant("g", "u1", self.address, 0, 9, 1, 3.0, "", deadline)
        )
        while len(self.list_ended(events.GrantFinished)) == count:
            await asyncio.sleep(0.005)
        return self.list_ended(events.GrantFinished)[-1]

    async def send(self, address, remaining_s=3.0, fresh=False, **changes):
        """Send a request and wait for its end; return its `AttemptFinished`."""
        count = len(self.list_ended())
        deadline = read_clock() + remaining_s
        effect = effects.SendAttempt(
            f"a{count}", "u1", address, build_request(**changes), deadline, fresh
        )
        self.upstreams.send(effect)
        while len(self.list_ended()) == count:
            await asyncio.sleep(0.005)
        return self.list_ended()[-1]


def run_scenario(scenario):
    """Run a coroutine function that takes a `Scenario`."""

    async def run():
        state = Scenario()
        await state.start()
        try:
            await asyncio.wait_for(scenario(state), LIMIT_S)
        finally:
            state.close()

    asyncio.run(run())


def find_closed_address():
    """Return an address at which nobody listens."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def test_new_connection_is_reported_and_an_open_one_is_not():
    """Guards against old connections that pass for a reach to upstreams while new ones
    are refused.
    """

    async def scenario(state):
        await state.send(state.address)
        assert state.list_tried() == [True]
        await state.send(state.address)
        assert state.list_tried() == [True]
        await state.send(state.address, fresh=True)
        assert state.list_tried() == [True, True]

    run_scenario(scenario)


def test_refused_connection_is_reported_before_its_attempt():
    """Guards against an attempt that is sent to the next upstream although it shows
    that none is reached.
    """

    async def scenario(state):
        ended = await state.send(find_closed_address())
        assert ended.unsent
        kinds = [type(event) for event in state.events]
        assert kinds == [events.ConnectionTried, events.AttemptFinished]
        assert state.list_tried() == [False]

    run_scenario(scenario)


def test_connection_that_hangs_is_reported():
    """Guards against a silent partition that is never noticed."""

    async def scenario(state):
        ended = await state.send(state.open_hanging_address())
        assert ended.unsent
        assert state.list_tried() == [False]

    run_scenario(scenario)


def test_end_of_the_callers_time_says_nothing_about_the_connection():
    """Guards against requests with little time left that look like a partition."""

    async def scenario(state):
        await state.send(state.open_hanging_address(), remaining_s=0.1)
        assert state.list_tried() == []

    run_scenario(scenario)


def test_stopped_process_does_not_take_its_late_timers_for_a_partition():
    """Guards against a granter that leaves its lease, or an instance that relays,
    because its process had been stopped while it opened connections.
    """

    async def scenario(state):
        address = state.open_hanging_address()
        sending = asyncio.create_task(state.send(address))
        state.upstreams.probe(effects.ProbeUpstream("u1", address))
        await asyncio.sleep(0.05)
        # Blocks the event loop, as a stop does.
        time.sleep(1.2)
        assert (await sending).unsent
        while state.upstreams.probe_tasks:
            await asyncio.sleep(0.005)
        assert state.list_tried() == []

    run_scenario(scenario)


def test_abandoned_attempt_says_nothing_about_the_connection():
    """Guards against callers that leave and so look like a partition."""

    async def scenario(state):
        address = state.open_hanging_address()
        sending = asyncio.create_task(state.send(address))
        await asyncio.sleep(0.05)
        state.upstreams.abandon(effects.AbandonAttempt("a0"))
        await sending
        assert state.list_tried() == []

    run_scenario(scenario)


def test_attempt_that_may_not_be_written_shows_that_its_connection_was_opened():
    """Guards against upstreams that left, and so look like a partition."""

    async def scenario(state):
        state.may_send = False
        ended = await state.send(state.address)
        assert ended.unsent
        assert state.list_tried() == [True]

    run_scenario(scenario)


def test_connections_for_grants_are_reported():
    """Guards against a granter without callers that never notices its partition."""

    async def scenario(state):
        for address in (state.address, find_closed_address()):
            deadline = read_clock() + 3.0
            grant = effects.SendGrant("g", "u1", address, 0, 9, 1, 3.0, "", deadline)
            count = len(state.list_ended(events.GrantFinished))
            state.upstreams.grant(grant)
            while len(state.list_ended(events.GrantFinished)) == count:
                await asyncio.sleep(0.005)
        assert state.list_tried() == [True, False]

    run_scenario(scenario)


@pytest.mark.parametrize("kind", ["open", "closed", "hanging", "malformed"])
def test_probe(kind):
    """Guards against a probe that tells the wrong result, or none."""

    async def scenario(state):
        address = {
            "open": lambda: state.address,
            "closed": find_closed_address,
            "hanging": state.open_hanging_address,
            "malformed": lambda: "127.0.0.1:99999",
        }[kind]()
        state.upstreams.probe(effects.ProbeUpstream("u1", address))
        while not state.events:
            await asyncio.sleep(0.005)
        (event,) = state.events
        assert (event.upstream_id, event.opened) == ("u1", kind == "open")
        await asyncio.sleep(0.01)
        assert not state.upstreams.probe_tasks

    run_scenario(scenario)


def test_grant_ends_before_the_granter_counts_on_no_arrival():
    """A grant without a response was given up, and its connection reset, later than the
    time up to which the granter expects its arrival.
    """

    async def scenario(state):
        transfers = []
        state.upstreams.pool.start = transfers.append
        before = read_clock()
        # Decided a while ago, as after a busy turn of the event loop.
        deadline = before + GRANT_SEND_TIMEOUT_S / 2
        effect = effects.SendGrant(
            "g1", "u1", state.address, 0, 9, 1, 3.0, "", deadline
        )
        state.upstreams.grant(effect)
        transfer = transfers[0]
        assert before + transfer.timeout_ms / 1000 < deadline + GRANT_TRANSIT_S
        assert not transfer.fresh
        effect.fresh = True
        state.upstreams.grant(effect)
        assert transfers[1].fresh

    run_scenario(scenario)


def test_bytes_of_requests_are_not_known():
    """Nobody could tell which part of the traffic between regions was requests."""

    async def scenario(state):
        state.upstreams.byte_counts.find_upstream_distance = {"u1": "region"}.get
        await state.send(state.address)
        await state.send(state.address)
        assert state.upstreams.byte_counts.sums == {
            ("requests", "region", "sent"): state.received_bytes,
            ("requests", "region", "received"): 2 * len(RESPONSE),
        }

    run_scenario(scenario)


@pytest.mark.parametrize("kind", ["grant", "request"])
def test_call_is_written_again_after_its_connection_closed(kind):
    """A grant without a response was repeated unseen, and counted as confirmed while
    its first copy was outstanding.
    """

    async def scenario(state):
        async def call():
            if kind == "grant":
                return (await state.grant()).accepted
            return not (await state.send(state.address)).unsent

        assert await call()
        assert state.received_calls == 1
        state.closes_unanswered = True
        ended = await call()
        assert ended is (None if kind == "grant" else True)
        assert state.received_calls == 2
        assert state.list_tried() == [True]
        assert state.upstreams.pool.closed_unanswered_count == 1

    run_scenario(scenario)


@pytest.mark.parametrize(
    "target",
    [
        "/a/%c5%a0?q=%c5%a0&e=",
        "/a/../b/./c",
        "/a//b/",
        "/a/b#c?d",
        "/a/\xc5\xa0",
        '/a/{x}|^`"<>[]\\',
        "/a/%zz%",
        "/a?",
        "/",
    ],
)
def test_path_is_changed_on_its_way(target):
    """Guards against paths that reach the upstream in another spelling."""

    async def scenario(state):
        assert not (await state.send(state.address, target=target)).unsent
        expected = b"GET " + target.encode("latin-1") + b" HTTP/1.1"
        assert state.received_lines == [expected]

    run_scenario(scenario)
