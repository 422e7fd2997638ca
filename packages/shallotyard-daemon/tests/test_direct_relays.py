"""Tests of requests that instances hand to each other, over loopback."""

import asyncio

import grpc
import grpc.aio
import pytest
from direct_builders import build_configuration
from direct_builders import build_request
from direct_builders import build_settings
from direct_builders import build_upstream

from shallotyard_core.events import CallerDisconnected
from shallotyard_core.verdict import Verdict
from shallotyard_daemon import direct_relays
from shallotyard_daemon.clock import read_clock
from shallotyard_daemon.direct_peers import DirectPeers
from shallotyard_daemon.direct_relays import DirectRelays
from shallotyard_direct import effects
from shallotyard_direct import events
from shallotyard_direct import relaying
from shallotyard_direct.model import RelayedRequest
from shallotyard_direct.model import RelayReply
from shallotyard_direct.replica import Replica
from shallotyard_direct.router import DirectRouter
from shallotyard_direct.router import reduce

LIMIT_S = 10.0
UPSTREAMS = [build_upstream(f"u{n}") for n in range(1, 5)]


class Instance:
    """An instance that serves and sends relays; records the events.

    :param handle: function that takes the instance and each event.
    """

    def __init__(self, name, handle=lambda instance, event: None):
        self.name = name
        self.handle = handle
        self.events = []
        self.peers = DirectPeers(
            name, Replica((), (), lambda update: None), read_clock, self.dispatch
        )
        self.relays = DirectRelays(self.dispatch)

    def dispatch(self, event):
        """Record and handle an event."""
        self.events.append(event)
        self.handle(self, event)

    async def start(self, serves_relays=True):
        """Listen on a free port and set ``address``."""
        if serves_relays:
            self.relays.add_to_server(self.peers.server)
        port = self.peers.server.add_insecure_port("127.0.0.1:0")
        self.address = f"127.0.0.1:{port}"
        await self.peers.server.start()

    async def close(self):
        """Close all connections."""
        await self.relays.close()
        await self.peers.close()

    def list_events(self, kind):
        """Return the dispatched events of a class."""
        return [event for event in self.events if isinstance(event, kind)]

    async def send(self, other, timeout_s=3.0, **changes):
        """Hand a request to another instance; return the `RelayReply`."""
        relay = build_relay(other.address, timeout_s, **changes)
        self.relays.send(relay)
        await wait_until(lambda: self.list_events(events.RelayFinished))
        (event,) = self.list_events(events.RelayFinished)
        assert event.relay_id == relay.relay_id
        return event.reply


def build_relay(address, timeout_s=3.0, elapsed_s=0.0, **changes):
    """Return a `SendRelay` of a request."""
    request = build_request(caller_timeout_s=timeout_s, **changes)
    relayed = RelayedRequest(request, "front-1", elapsed_s, "status", 7, 1)
    deadline = read_clock() + timeout_s
    return effects.SendRelay("relay-1", "front-2", address, relayed, deadline)


def reply_with(**fields):
    """Return a function that replies to each relayed request."""

    def handle(instance, event):
        if isinstance(event, events.RelayRequested):
            request_id = event.relayed.request.request_id
            reply = effects.ReplyToRelay(request_id, RelayReply(**fields))
            instance.relays.reply(reply)

    return handle


def run_scenario(scenario, handle=lambda instance, event: None, serves_relays=True):
    """Run a coroutine function that takes two instances.

    :param handle: see `Instance`; of the second one.
    """

    async def run():
        first, second = Instance("front-1"), Instance("front-2", handle)
        await first.start()
        await second.start(serves_relays)
        try:
            await asyncio.wait_for(scenario(first, second), LIMIT_S)
        finally:
            await first.close()
            await second.close()

    asyncio.run(run())


async def wait_until(condition):
    """Wait until a condition holds."""
    while not condition():
        await asyncio.sleep(0.01)


def test_request_and_response_travel_unchanged():
    """Guards against a relay that changes or loses a part of a request or response."""
    body = bytes(range(256)) * 4096
    headers = [("Accept", "text/plain"), ("X-Name", "Ljube\xe7"), ("Accept", "*/*")]

    async def scenario(first, second):
        reply = await first.send(
            second,
            target="/status/1?a=%00&b",
            headers=headers,
            body=body,
            method="PUT",
            key=9,
            elapsed_s=0.25,
        )
        assert reply.verdict is Verdict.RAN
        assert (reply.status, reply.body) == (200, body[::-1])
        assert reply.headers == [("X-Seal", "\xe9"), ("X-Seal", "2")]
        assert reply.leaving == [["u1", 5]]
        assert not (reply.declined or reply.lost or reply.refusal)
        relayed = second.list_events(events.RelayRequested)[0].relayed
        request = relayed.request
        assert (request.method, request.target) == ("PUT", "/status/1?a=%00&b")
        assert (request.headers, request.body) == (headers, body)
        assert (request.key, request.caller_timeout_s) == (9, 3.0)
        assert (request.host, request.caller_id) == ("example", "caller-r1")
        assert request.request_id != "r1"
        assert (relayed.origin, relayed.service_id) == ("front-1", "status")
        assert (relayed.configuration_version, relayed.runs) == (7, 1)
        # The time to open the connection is added.
        assert 0.25 <= relayed.elapsed_s < 3.0

    handle = reply_with(
        verdict=Verdict.RAN,
        status=200,
        headers=[("X-Seal", "\xe9"), ("X-Seal", "2")],
        body=body[::-1],
        leaving=[["u1", 5]],
    )
    run_scenario(scenario, handle)


def test_refusal_travels_with_its_verdict():
    """Guards against a verdict that changes on the way back."""

    async def scenario(first, second):
        reply = await first.send(second)
        assert reply.verdict is Verdict.MAY_HAVE_RUN
        assert (reply.refusal, reply.wait_s) == ("timeout", 0.75)

    handle = reply_with(verdict=Verdict.MAY_HAVE_RUN, refusal="timeout", wait_s=0.75)
    run_scenario(scenario, handle)


def test_declined_request_is_known_not_to_have_run():
    """Guards against a declined request that is not handed to another instance."""

    async def scenario(first, second):
        reply = await first.send(second)
        assert (reply.declined, reply.verdict) == ("busy", Verdict.NOT_RUN)

    run_scenario(scenario, reply_with(declined="busy"))


def test_instance_of_an_earlier_version_declines():
    """Guards against an update during which requests are lost at instances that do not
    know the method.
    """

    async def scenario(first, second):
        reply = await first.send(second)
        assert reply.declined == relaying.DECLINED_UNSUPPORTED
        assert not second.list_events(events.RelayRequested)

    run_scenario(scenario, serves_relays=False)


def test_instance_that_is_not_reached_declines():
    """Guards against a request that may run twice, or is given up, because the chosen
    instance has ended.
    """

    async def scenario(first, second):
        await second.peers.server.stop(0)
        reply = await first.send(second)
        assert reply.declined == relaying.DECLINED_UNREACHED

    run_scenario(scenario)


def test_request_at_an_instance_that_ends_may_have_run():
    """Guards against an action that is sent again after its first instance ended."""

    async def scenario(first, second):
        sending = asyncio.create_task(first.send(second))
        await wait_until(lambda: second.list_events(events.RelayRequested))
        await second.peers.server.stop(0)
        reply = await sending
        assert (reply.lost, reply.verdict) == (True, Verdict.MAY_HAVE_RUN)
        assert not reply.declined

    run_scenario(scenario)


def test_request_without_a_reply_ends_at_its_deadline():
    """Guards against a caller that waits for a frozen instance."""

    async def scenario(first, second):
        reply = await first.send(second, timeout_s=0.4)
        assert (reply.lost, reply.verdict) == (True, Verdict.MAY_HAVE_RUN)
        # The other instance gives up as well.
        await wait_until(lambda: second.list_events(CallerDisconnected))

    run_scenario(scenario)


@pytest.mark.parametrize(
    "encoded",
    [
        b"\0\0\0\2{}",
        direct_relays._encode_reply(RelayReply()),
        direct_relays._encode_reply(RelayReply(verdict=Verdict.RAN, status=7)),
        direct_relays._join({"verdict": "later", "headers": []}, b""),
        *(
            direct_relays._encode_reply(
                RelayReply(
                    verdict=Verdict.RAN, status=status, headers=[field], body=b"hello"
                )
            )
            for status, field in [
                (0, ("X", "1")),
                (600, ("X", "1")),
                (2000, ("X", "1")),
                (200, ("Content-Length", "3")),
                (200, ("content-length", "5, 6")),
                (200, ("Transfer-Encoding", "chunked")),
            ]
        ),
    ],
)
def test_malformed_reply_is_no_promise(encoded):
    """Guards against a request that counts as not run, or as answered, because its
    reply is not understood.
    """

    async def scenario(first, second):
        server = grpc.aio.server()

        async def handle(message, context):
            return encoded

        handler = grpc.unary_unary_rpc_method_handler(handle)
        generic = grpc.method_handlers_generic_handler(
            direct_relays._SERVICE, {"Relay": handler}
        )
        server.add_generic_rpc_handlers((generic,))
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        second.address = f"127.0.0.1:{port}"
        try:
            reply = await first.send(second)
        finally:
            await server.stop(0)
        assert (reply.lost, reply.verdict) == (True, Verdict.MAY_HAVE_RUN)

    run_scenario(scenario)


def test_caller_that_leaves_is_reported_to_the_other_instance():
    """Guards against work at an upstream for a caller that has left."""

    async def scenario(first, second):
        relay = build_relay(second.address)
        first.relays.send(relay)
        await wait_until(lambda: second.list_events(events.RelayRequested))
        first.relays.abandon(effects.AbandonRelay(relay.relay_id))
        await wait_until(lambda: second.list_events(CallerDisconnected))
        left = second.list_events(CallerDisconnected)[0]
        requested = second.list_events(events.RelayRequested)[0]
        assert left.request_id == requested.relayed.request.request_id
        assert not first.list_events(events.RelayFinished)
        # A late reply has no receiver.
        reply = effects.ReplyToRelay(left.request_id, RelayReply(status=200))
        second.relays.reply(reply)

    run_scenario(scenario)


@pytest.mark.parametrize(
    "message",
    [
        b"",
        b"\0\0\0",
        b"\0\0\0\xffx",
        b"\0\0\0\1[",
        b"\0\0\0\2[]",
        b"\0\0\0\2{}",
        direct_relays._join({"headers": 5}, b""),
        direct_relays._join({"headers": [["a"]], "elapsed_s": "x"}, b""),
    ],
)
def test_malformed_message_is_declined(message):
    """Guards against a message that ends the server, or leaves a caller waiting."""

    async def scenario(first, second):
        async with grpc.aio.insecure_channel(second.address) as channel:
            call = channel.unary_unary(f"/{direct_relays._SERVICE}/Relay")
            reply = direct_relays._decode_reply(await call(message))
        assert reply.declined == relaying.DECLINED_MALFORMED
        assert not second.events

    run_scenario(scenario)


def test_fields_of_other_versions():
    """Guards against an update during which instances do not understand each other."""
    head = {
        "origin": "front-1",
        "elapsed_s": 0.5,
        "timeout_s": 2.0,
        "request_id": "caller-1",
        "host": "example",
        "method": "GET",
        "target": "/",
        "headers": [],
        "later": {"any": 1},
    }
    relayed = direct_relays._decode_request(direct_relays._join(head, b"x"), "r1")
    assert relayed.request.body == b"x"
    assert (relayed.service_id, relayed.runs) == ("", 0)
    reply = {"verdict": "ran", "status": 200, "headers": [], "later": 1}
    decoded = direct_relays._decode_reply(direct_relays._join(reply, b"y"))
    assert (decoded.status, decoded.body) == (200, b"y")


class RoutedInstance(Instance):
    """An instance with its router. Its connections to upstreams fail if it is cut off;
    else upstreams respond with its name.
    """

    def __init__(self, name, is_cut_off):
        super().__init__(name)
        self.is_cut_off = is_cut_off
        self.responses = []
        self.router = DirectRouter.from_settings(
            build_settings(name), "run-1", read_clock(), 1
        )

    def dispatch(self, event):
        """Apply an event and carry out the effects."""
        super().dispatch(event)
        loop = asyncio.get_running_loop()
        for effect in reduce(self.router, event):
            if isinstance(effect, effects.SendRelay):
                self.relays.send(effect)
            elif isinstance(effect, effects.ReplyToRelay):
                self.relays.reply(effect)
            elif isinstance(effect, effects.Respond):
                self.responses.append(effect)
            elif isinstance(effect, effects.SendAttempt):
                loop.call_soon(self.end_attempt, effect)

    def end_attempt(self, effect):
        """End an attempt as the network does."""
        now = read_clock()
        tried = events.ConnectionTried(now, effect.upstream_id, not self.is_cut_off)
        self.dispatch(tried)
        if self.is_cut_off:
            ended = events.AttemptFinished(
                now, effect.attempt_id, Verdict.NOT_RUN, "refused", unsent=True
            )
        else:
            body = self.name.encode()
            ended = events.AttemptFinished(
                now, effect.attempt_id, Verdict.RAN, status=200, body=body
            )
        self.dispatch(ended)

    def learn(self, instances):
        """Make the instances, a configuration and upstreams known."""
        now = read_clock()
        records = {i.name: {"domain": "split", "address": i.address} for i in instances}
        self.dispatch(events.ConfigurationReceived(now, build_configuration()))
        self.dispatch(events.UpstreamsListed(now, UPSTREAMS))
        self.dispatch(events.RecordsListed(now, "instances", records))


def test_callers_of_an_instance_that_is_cut_off_are_served_by_another():
    """Guards against callers that are refused for the whole time in which their
    instance reaches no upstream, although other instances reach them.
    """

    async def scenario():
        instances = [
            RoutedInstance("front-1", True),
            RoutedInstance("front-2", True),
            RoutedInstance("front-3", False),
        ]
        first = instances[0]
        for instance in instances:
            await instance.start()
        for instance in instances:
            instance.learn(instances)
        try:
            # Each request finds out more about the cut; the last ones are relayed.
            for number in range(12):
                request = build_request(f"r{number}")
                first.dispatch(events.RequestArrived(read_clock(), request))
                await asyncio.sleep(0.02)
            assert first.router.dispatcher.reachability.is_cut_off
            await wait_until(lambda: len(first.responses) == 12)
            by_id = {r.request_id: r for r in first.responses}
            assert by_id["r11"].status == 200
            assert by_id["r11"].body == b"front-3"
            assert first.router.is_ready()
        finally:
            for instance in instances:
                await instance.close()

    asyncio.run(asyncio.wait_for(scenario(), LIMIT_S))


def test_relay_that_fails_before_it_is_written_ends():
    """Guards against a caller that waits forever, and a relay that is counted forever,
    after an unexpected error in the task that sends the relay.
    """

    async def scenario(first, second):
        relay = build_relay(second.address, headers=[("x-name", "\ud800")])
        first.relays.send(relay)
        await wait_until(lambda: first.list_events(events.RelayFinished))
        (event,) = first.list_events(events.RelayFinished)
        assert event.reply.declined
        (reported,) = first.list_events(events.DecisionMade)
        assert reported.decision.decision == "task-failed"

    run_scenario(scenario)


def test_relay_that_fails_in_its_call_may_have_run(monkeypatch):
    """Guards against the same after the call may have been written."""

    async def connect(channel, timeout_s):
        raise KeyError("secret")

    monkeypatch.setattr(direct_relays, "_connect", connect)

    async def scenario(first, second):
        reply = await first.send(second)
        assert reply.lost
        assert reply.verdict is Verdict.MAY_HAVE_RUN

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("is_former", "needs_accounts", "declined"),
    [(True, True, "unsupported"), (True, False, ""), (False, True, "")],
)
def test_request_of_an_account_goes_to_no_instance_that_cannot_check_it(
    is_former, needs_accounts, declined, monkeypatch
):
    """Guards against an instance of a version before accounts that serves a request
    without a look at its key, and against requests that it would serve as before.
    """
    relay_for_account = direct_relays._RELAY_FOR_ACCOUNT

    async def scenario(first, second):
        # The second instance has its methods already.
        monkeypatch.setattr(direct_relays, "_RELAY_FOR_ACCOUNT", relay_for_account)
        relay = build_relay(second.address)
        relay.relayed.needs_accounts = needs_accounts
        first.relays.send(relay)
        await wait_until(lambda: first.list_events(events.RelayFinished))
        assert first.list_events(events.RelayFinished)[0].reply.declined == declined
        assert bool(second.list_events(events.RelayRequested)) == (not declined)

    if is_former:
        monkeypatch.setattr(direct_relays, "_RELAY_FOR_ACCOUNT", "Relay")
    run_scenario(scenario, reply_with(verdict=Verdict.RAN, status=200))
