"""Tests of the streams between instances that dispatch directly, over loopback."""

import asyncio

from shallotyard_daemon.clock import read_clock
from shallotyard_daemon.direct_peers import DirectPeers
from shallotyard_direct import effects
from shallotyard_direct import events
from shallotyard_direct.replica import Changes
from shallotyard_direct.replica import Replica
from shallotyard_direct.replica import Snapshot

LIMIT_S = 10.0


class Instance:
    """One end with its replica and events."""

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
        """Listen; set the address."""
        port = self.peers.server.add_insecure_port("127.0.0.1:0")
        self.address = f"127.0.0.1:{port}"
        await self.peers.server.start()

    def seen(self, kind):
        """Return the events of a kind."""
        return [event for event in self.events if isinstance(event, kind)]


def play(scenario):
    """Run a scenario with two instances."""

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


async def until(condition):
    """Wait until a condition holds."""
    while not condition():
        await asyncio.sleep(0.01)


def test_follower_gets_everything_and_each_change():
    """An instance that follows another one missed a change."""

    async def scenario(source, follower):
        source.replica.apply(Snapshot("servers", 5, {"a": {"n": 1}}))
        follower.peers.follow(effects.FollowInstance("front-1", source.address))
        await until(lambda: follower.updates)
        source.replica.apply(Changes("servers", 6, (("a", None), ("b", {"n": 2}))))
        await until(lambda: len(follower.updates) == 2)
        assert follower.updates == source.updates
        heartbeat = follower.seen(events.FeedHeartbeat)[0]
        assert heartbeat.source == "front-1"
        assert heartbeat.complete
        assert heartbeat.age_s >= 0
        assert source.seen(events.FollowersChanged)[-1].count == 1
        follower.peers.unfollow(effects.UnfollowInstance())
        await until(lambda: source.seen(events.FollowersChanged)[-1].count == 0)

    play(scenario)


def test_lost_source_is_told():
    """An instance went on waiting for a source that had ended."""

    async def scenario(source, follower):
        source.replica.apply(Snapshot("servers", 5, {}))
        follower.peers.follow(effects.FollowInstance("front-1", source.address))
        await until(lambda: follower.updates)
        await source.peers.server.stop(0)
        await until(lambda: follower.seen(events.FeedLost))
        assert follower.seen(events.FeedLost)[0].source == "front-1"

    play(scenario)


def test_loads_reach_the_granter():
    """The granter did not learn what the other instances observed."""

    async def scenario(source, follower):
        value = {"keys": {"status": {"3": 5.0}}, "work": {}}
        follower.peers.report(effects.ReportLoad(source.address, value))
        await until(lambda: source.seen(events.LoadReported))
        report = source.seen(events.LoadReported)[0]
        assert (report.instance, report.value) == ("front-2", value)

    play(scenario)


def test_lost_report_stops_nothing():
    """A granter that could not be reached ended the process."""

    async def scenario(source, follower):
        await source.peers.server.stop(0)
        follower.peers.report(effects.ReportLoad(source.address, {}))
        await until(lambda: not follower.peers.report_tasks)

    play(scenario)
