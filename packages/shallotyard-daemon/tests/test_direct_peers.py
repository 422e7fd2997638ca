"""Tests of the streams between instances in direct dispatch, over loopback."""

import asyncio

import grpc
import grpc.aio
import pytest

from shallotyard_daemon.clock import read_clock
from shallotyard_daemon.direct_peers import DirectPeers
from shallotyard_direct import effects
from shallotyard_direct import events
from shallotyard_direct.replica import Changes
from shallotyard_direct.replica import Replica
from shallotyard_direct.replica import Snapshot

LIMIT_S = 10.0


class Instance:
    """An instance with its replica; records the events and updates."""

    def __init__(self, name):
        self.name = name
        self.events = []
        self.updates = []
        self.replica = Replica(("servers",), (), self.updates.append)
        self.fresh_at = read_clock()
        self.peers = DirectPeers(
            name, self.replica, lambda: self.fresh_at, self.events.append
        )

    async def start(self):
        """Listen on a free port and set ``address``."""
        port = self.peers.server.add_insecure_port("127.0.0.1:0")
        self.address = f"127.0.0.1:{port}"
        await self.peers.server.start()

    def list_events(self, kind):
        """Return the dispatched events of a class."""
        return [event for event in self.events if isinstance(event, kind)]


def run_scenario(scenario):
    """Run a coroutine function that takes a source and a follower."""

    async def run():
        source, follower = Instance("front-1"), Instance("front-2")
        await source.start()
        await follower.start()
        try:
            await asyncio.wait_for(scenario(source, follower), LIMIT_S)
        finally:
            await follower.peers.close()
            await source.peers.close()

    asyncio.run(run())


async def wait_until(condition):
    """Wait until a condition holds."""
    while not condition():
        await asyncio.sleep(0.01)


def test_follower_receives_snapshot_and_changes():
    """Guards against a follower that misses a change."""

    async def scenario(source, follower):
        source.replica.apply(Snapshot("servers", 5, {"a": {"n": 1}}), 0.0)
        follower.peers.follow(effects.FollowInstance("front-1", source.address))
        await wait_until(lambda: follower.updates)
        source.replica.apply(Changes("servers", 6, (("a", None), ("b", {"n": 2}))), 0.0)
        await wait_until(lambda: len(follower.updates) == 2)
        assert follower.updates == source.updates
        heartbeat = follower.list_events(events.FeedHeartbeat)[0]
        assert heartbeat.source == "front-1"
        assert heartbeat.complete
        assert heartbeat.age_s >= 0
        assert source.list_events(events.FollowersChanged)[-1].count == 1
        follower.peers.unfollow(effects.UnfollowInstance())
        await wait_until(
            lambda: source.list_events(events.FollowersChanged)[-1].count == 0
        )

    run_scenario(scenario)


def test_lost_source_is_reported():
    """Guards against a follower that keeps waiting for a source that has stopped."""

    async def scenario(source, follower):
        source.replica.apply(Snapshot("servers", 5, {}), 0.0)
        follower.peers.follow(effects.FollowInstance("front-1", source.address))
        await wait_until(lambda: follower.updates)
        await source.peers.server.stop(0)
        await wait_until(lambda: follower.list_events(events.FeedLost))
        assert follower.list_events(events.FeedLost)[0].source == "front-1"

    run_scenario(scenario)


def test_load_report_reaches_the_granter():
    """Guards against a granter that does not know the loads at other instances."""

    async def scenario(source, follower):
        value = {"keys": {"status": {"3": 5.0}}, "work": {}}
        follower.peers.report(effects.ReportLoad(source.address, value))
        await wait_until(lambda: source.list_events(events.LoadReported))
        report = source.list_events(events.LoadReported)[0]
        assert (report.instance, report.value) == ("front-2", value)

    run_scenario(scenario)


def test_undelivered_load_report_does_not_raise():
    """Guards against an unreachable granter that ends the process."""

    async def scenario(source, follower):
        await source.peers.server.stop(0)
        follower.peers.report(effects.ReportLoad(source.address, {}))
        await wait_until(lambda: not follower.peers.report_tasks)

    run_scenario(scenario)


def test_permits_are_requested_from_the_granter():
    """Guards against an instance that gets no permits, or those of another request."""

    async def scenario(source, follower):
        wanted = {"u1": [2, 5.0, 0.1, 0.2]}
        follower.peers.request_permits(
            effects.RequestPermits(source.address, wanted, 7.0)
        )
        await wait_until(lambda: source.list_events(events.PermitsRequested))
        request = source.list_events(events.PermitsRequested)[0]
        assert request.wanted == wanted
        source.peers.issue_permits(effects.IssuePermits(request.token, {"u1": 1}))
        await wait_until(lambda: follower.list_events(events.PermitsIssued))
        issued = follower.list_events(events.PermitsIssued)[0]
        assert (issued.requested_at, issued.count_by_id) == (7.0, {"u1": 1})

    run_scenario(scenario)


def test_request_for_permits_at_another_instance_than_the_granter_fails():
    """Guards against an answer without permits that counts as one of the granter."""

    async def scenario(source, follower):
        follower.peers.request_permits(effects.RequestPermits(source.address, {}, 7.0))
        await wait_until(lambda: source.list_events(events.PermitsRequested))
        request = source.list_events(events.PermitsRequested)[0]
        source.peers.issue_permits(effects.IssuePermits(request.token, None))
        await wait_until(lambda: not follower.peers.report_tasks)
        assert not follower.list_events(events.PermitsIssued)

    run_scenario(scenario)


def test_rates_reach_instances_that_have_not_seen_them():
    """Guards against instances that send at any rate until they have seen a limit."""

    async def scenario(source, follower):
        reply = effects.ReplyToLoadReport("front-2", {"u1": 4}, {"u2": [5.0, 0.1]})
        source.peers.reply(reply)
        follower.peers.report(effects.ReportLoad(source.address, {}))
        await wait_until(lambda: follower.list_events(events.SaturationReported))
        report = follower.list_events(events.SaturationReported)[0]
        assert report.in_flight == {"u1": 4}
        assert report.rates_by_id == {"u2": [5.0, 0.1]}

    run_scenario(scenario)


def test_learned_capacity_is_exchanged():
    """Guards against samples or values that are lost in messages, which leaves each
    instance with the few responses that it sees.
    """
    report = {"known": [7, 2], "samples": {"u1": [0.2, 3.0, 0.4, 1.0]}}
    changes = {
        "epoch": 7,
        "version": 3,
        "medians": {"status": 0.2},
        "upstreams": {"u1": [0.5, 8.0, 1.5], "u2": [1.4, 3.0]},
    }

    async def scenario(source, follower):
        reply = effects.ReplyToLoadReport("front-2", {}, {}, capacity=changes)
        source.peers.reply(reply)
        value = {"keys": {}, "in_flight": {"u1": 1}, "capacity": report}
        follower.peers.report(effects.ReportLoad(source.address, value))
        await wait_until(lambda: follower.list_events(events.SaturationReported))
        received = source.list_events(events.LoadReported)[0].value
        assert received == {"in_flight": {"u1": 1}, "capacity": report}
        assert follower.list_events(events.SaturationReported)[0].capacity == changes

    run_scenario(scenario)


def test_object_that_cannot_be_encoded_is_left_out():
    """Guards against one object that ends the stream of all others."""
    deep = []
    for _ in range(300):
        deep = [deep]

    async def scenario(source, follower):
        source.replica.apply(Snapshot("servers", 5, {"a": 1, "deep": deep}), 0.0)
        follower.peers.follow(effects.FollowInstance("front-1", source.address))
        await wait_until(lambda: follower.updates)
        source.replica.apply(Changes("servers", 6, (("b", 2), ("deep", deep))), 0.0)
        await wait_until(lambda: len(follower.updates) == 2)
        snapshot = follower.replica.snapshots_by_kind["servers"]
        assert snapshot.items_by_name == {"a": 1, "b": 2}
        decisions = source.list_events(events.DecisionMade)
        assert [e.decision.fields["entries"] for e in decisions] == [["deep"]] * 2

    run_scenario(scenario)


def test_failure_while_following_is_reported():
    """Guards against a stream that ends by an exception without being left."""

    async def scenario(source, follower):
        def fail(update):
            raise KeyError("secret")

        follower.replica.handle_update = fail
        source.replica.apply(Snapshot("servers", 5, {}), 0.0)
        follower.peers.follow(effects.FollowInstance("front-1", source.address))
        await wait_until(lambda: follower.list_events(events.FeedLost))
        (event,) = follower.list_events(events.DecisionMade)
        assert (event.decision.decision, event.decision.reason) == (
            "task-failed",
            "KeyError",
        )
        assert "secret" not in str(event.decision.fields)

    run_scenario(scenario)


ODD_LOADS = [
    b"",
    b"\xff",
    b"[" * 100_000,
    b"[]",
    b"{}",
    b'{"instance": 7, "load": {}}',
    b'{"instance": "a", "load": []}',
    b'{"instance": "a", "load": {"in_flight": [1]}}',
    b'{"instance": "a", "load": {"in_flight": {"u1": "4"}}}',
    b'{"instance": "a", "load": {"in_flight": {"u1": -4}}}',
    b'{"instance": "a", "load": {"in_flight": {"u1": 1e400}}}',
    b'{"instance": "a", "load": {"work": {"u1": [0.1]}}}',
    b'{"instance": "a", "load": {"leaving": [["u1"]]}}',
    b'{"instance": "a", "load": {"work": {"u1": [1e300, 9]}}}',
    b'{"instance": "a", "load": {"keys": {"s": {"x": 1}}}}',
    b'{"instance": "a", "load": {"keys": {"s": {"5": null}}}}',
]
ODD_PERMIT_REQUESTS = [
    b"\xff",
    b"{}",
    b'{"wanted": []}',
    b'{"wanted": {"u1": [1, 5.0, 0.1]}}',
    b'{"wanted": {"u1": [1000000000, 5.0, 0.1, 0.2]}}',
    b'{"wanted": {"u1": [1, 1e300, 0.1, 0.2]}}',
    b'{"wanted": {"u1": ["1", 5.0, 0.1, 0.2]}}',
]


@pytest.mark.parametrize(
    ("method", "text"),
    [("ReportLoad", text) for text in ODD_LOADS]
    + [("RequestPermits", text) for text in ODD_PERMIT_REQUESTS],
)
def test_odd_call_of_another_instance(method, text):
    """Guards against a message of another instance that reaches the reducer, where it
    raises or makes sums infinite.
    """

    async def scenario(source, follower):
        async with grpc.aio.insecure_channel(source.address) as channel:
            call = channel.unary_unary(f"/shallotyard.direct.v1.Instance/{method}")
            with pytest.raises(grpc.aio.AioRpcError) as caught:
                await call(text, timeout=5.0)
        assert caught.value.code() is grpc.StatusCode.INVALID_ARGUMENT
        (event,) = source.events
        assert event.decision.decision == "peer-message-invalid"

    run_scenario(scenario)


@pytest.mark.parametrize(
    "text",
    [
        b"\xff",
        b"[]",
        b"{}",
        b"7",
        b'{"age_s": -100, "complete": true}',
        b'{"age_s": "1", "complete": true}',
        b'{"age_s": 0.1}',
        b'{"age_s": 0.1, "complete": true, "sent_at": "x"}',
        b'{"age_s": 0.1, "complete": true, "era": 1000000000}',
        b'{"kind": "servers", "revision": "9", "objects": {}}',
        b'{"kind": "servers", "revision": 9, "era": 1000000000, "objects": {}}',
        b'{"kind": "servers", "revision": 9}',
        b'{"kind": "servers", "revision": 9, "objects": []}',
        b'{"kind": "servers", "revision": 9, "changes": [["a"]]}',
        b'{"kind": "servers", "revision": 9, "changes": [[7, null]]}',
        b'{"kind": "servers", "revision": 9, "changes": {}}',
    ],
)
def test_odd_message_of_a_source(text):
    """Guards against a stream that ends without being left, and against a copy that
    takes no more updates because of an impossible life of the store.
    """

    async def scenario(source, follower):
        source.peers._encode_heartbeat = lambda: text
        follower.peers.follow(effects.FollowInstance("front-1", source.address))
        await wait_until(lambda: follower.list_events(events.FeedLost))
        assert follower.list_events(events.FeedLost)[0].reason == "invalid message"
        (event,) = follower.list_events(events.DecisionMade)
        assert event.decision.decision == "peer-message-invalid"
        assert follower.replica.era == 0
        assert not follower.updates

    run_scenario(scenario)


@pytest.mark.parametrize(
    "reply",
    [b"\xff", b"[]", b'{"u1": "4"}', b'{"in_flight": {}, "rates": {"u1": [1]}}'],
)
def test_odd_reply_to_a_load_report(reply):
    """Guards against a reply that reaches the reducer, where it raises."""

    async def scenario(source, follower):
        class Channel:
            def unary_unary(self, method):
                async def answer(message, timeout):
                    return reply

                return answer

        async def open_channel(address):
            return Channel()

        follower.peers._open_granter_channel = open_channel
        follower.peers.report(effects.ReportLoad(source.address, {}))
        await wait_until(lambda: follower.events)
        assert follower.events[0].decision.decision == "peer-message-invalid"

    run_scenario(scenario)


def test_leaving_upstreams_reach_instances_that_have_not_seen_it():
    """Guards against instances that use an upstream which others know to be leaving."""

    async def scenario(source, follower):
        reply = effects.ReplyToLoadReport("front-2", {}, {}, [["u2", 5]])
        source.peers.reply(reply)
        follower.peers.report(effects.ReportLoad(source.address, {}))
        await wait_until(lambda: follower.list_events(events.SaturationReported))
        report = follower.list_events(events.SaturationReported)[0]
        assert report.leaving == [["u2", 5]]

    run_scenario(scenario)


def test_bytes_between_instances_are_not_known():
    """Nobody could tell which part of the traffic between regions was control."""

    async def scenario(source, follower):
        source.peers.byte_counts.find_instance_distance = {"front-2": "domain"}.get
        report = effects.ReportLoad(source.address, {}, "front-1")
        follower.peers.report(report)
        await wait_until(lambda: not follower.peers.report_tasks)
        sums = follower.peers.byte_counts.sums
        assert sums["load-reports", "unknown", "sent"] > 0
        assert sums["load-reports", "unknown", "received"] > 0
        source.replica.apply(Snapshot("servers", 5, {"u1": "x" * 1000}), 0.0)
        follower.peers.follow(effects.FollowInstance("front-1", source.address))
        await wait_until(lambda: follower.list_events(events.FeedHeartbeat))
        assert sums["feed", "unknown", "received"] > 1000
        assert source.peers.byte_counts.sums["feed", "domain", "sent"] > 1000

    run_scenario(scenario)


def build_share_use(share):
    """Return what an instance says about its share of one account."""
    return {
        "incarnation": "run-1",
        "age": 3.0,
        "granter": [0, 1, 1],
        "serial": 4,
        "shares": {"kotor": [share, 0.0, 0, 1, 1]},
    }


def test_shares_are_requested_from_the_granter():
    """Guards against an instance that gets no shares of quotas of client accounts."""
    answer = {
        "granter": [0, 1, 1],
        "serial": 5,
        "complete": True,
        "shares": {"kotor": [2, 8.0]},
    }

    async def scenario(source, follower):
        def answer_request(event):
            is_asked = isinstance(event, events.SharesRequested)
            value = answer if is_asked and event.wanted == wanted else None
            source.events.append(event)
            if is_asked:
                effect = effects.AnswerShareRequest(event.token, value)
                source.peers.answer_share_request(effect)

        wanted = build_share_use(1)
        source.peers.dispatch = answer_request
        follower.peers.request_shares(
            effects.RequestShares(source.address, wanted, 7.0)
        )
        await wait_until(lambda: follower.list_events(events.SharesGranted))
        granted = follower.list_events(events.SharesGranted)[0]
        assert (granted.requested_at, granted.shares) == (7.0, answer)
        # An instance that is not the granter does not answer.
        other = effects.RequestShares(source.address, build_share_use(9), 8.0)
        follower.peers.request_shares(other)
        await wait_until(lambda: not follower.peers.report_tasks)
        assert len(follower.list_events(events.SharesGranted)) == 1

    run_scenario(scenario)


def test_shares_reach_instances_with_the_reply_to_a_load_report():
    """Guards against shares that expire because they are not renewed."""

    async def scenario(source, follower):
        shares = {
            "granter": [0, 1, 1],
            "serial": 5,
            "complete": True,
            "shares": {"kotor": [2, 8.0]},
        }
        source.peers.reply(effects.ReplyToLoadReport("front-2", {}, shares=shares))
        value = {"accounts": build_share_use(1)}
        report = effects.ReportLoad(source.address, value, requested_at=6.0)
        follower.peers.report(report)
        await wait_until(lambda: follower.list_events(events.SaturationReported))
        event = follower.list_events(events.SaturationReported)[0]
        assert (event.shares, event.requested_at) == (shares, 6.0)
        assert source.list_events(events.LoadReported)[0].value == value

    run_scenario(scenario)
