"""Tests of the choice of the store or another instance as the source of changes."""

import math

import pytest
from direct_builders import REGION_BY_DOMAIN
from direct_builders import build_settings

from shallotyard_direct import events
from shallotyard_direct.effects import FollowInstance
from shallotyard_direct.effects import ListInstances
from shallotyard_direct.effects import ProbeStore
from shallotyard_direct.effects import UnfollowInstance
from shallotyard_direct.effects import UnwatchStore
from shallotyard_direct.effects import WatchStore
from shallotyard_direct.feed_source import CONNECT_TIMEOUT_S
from shallotyard_direct.feed_source import NEVER_CURRENT_AGE_S
from shallotyard_direct.feed_source import SOURCE_AVOIDANCE_S
from shallotyard_direct.feed_source import STALE_AFTER_S
from shallotyard_direct.feed_source import FeedSource
from shallotyard_direct.feed_source import Member
from shallotyard_direct.feed_source import StreamDelay
from shallotyard_direct.feed_source import choose_source
from shallotyard_direct.feed_source import decode_members

MEMBERS = [
    Member("front-1", "split", "1"),
    Member("front-2", "split", "2"),
    Member("front-3", "split", "3"),
    Member("front-4", "zadar", "4"),
    Member("front-5", "zadar", "5"),
    Member("front-6", "osijek", "6"),
]


def choose_source_id(own_id, avoided=()):
    """Return the id of the source of an instance, ``""`` for the store."""
    own = next(m for m in MEMBERS if m.instance == own_id)
    source = choose_source(
        MEMBERS, own_id, own.domain, REGION_BY_DOMAIN, frozenset(avoided)
    )
    return source.instance if source else ""


def test_one_instance_of_a_region_reads_the_store():
    """Every instance read the store."""
    sources = {m.instance: choose_source_id(m.instance) for m in MEMBERS}
    assert sources == {
        "front-1": "",
        "front-2": "front-1",
        "front-3": "front-1",
        # The first of its failure domain follows the first of the region.
        "front-4": "front-1",
        "front-5": "front-4",
        "front-6": "",
    }


@pytest.mark.parametrize(
    ("own", "avoided", "source"),
    [
        ("front-2", {"front-1"}, ""),
        ("front-3", {"front-1"}, "front-2"),
        ("front-5", {"front-4"}, "front-1"),
        ("front-4", {"front-1"}, "front-2"),
    ],
)
def test_next_source_after_a_loss(own, avoided, source):
    """After the loss of a source, two instances followed each other."""
    assert choose_source_id(own, avoided) == source


def test_malformed_records_are_skipped():
    """A malformed record caused a crash of the process."""
    values = {
        "a": {"domain": "split", "address": "1"},
        "b": None,
        "c": {"domain": 7},
    }
    assert list(decode_members(values)) == ["a"]


class Source:
    """The source of front-2, which may follow front-1."""

    def __init__(self):
        self.feed = FeedSource(build_settings("front-2"))
        self.feed.members_by_id = {m.instance: m for m in MEMBERS[:2]}

    def tick(self, now, is_granter=False):
        """Tick; return the types of the effects that concern the source."""
        effects = []
        self.feed.tick(now, is_granter, effects)
        return list_effect_types(effects)

    def heartbeat(self, now, age_s=0.1, complete=True):
        """Handle a heartbeat of front-1; return the types of the effects."""
        effects = []
        self.feed.handle_heartbeat(
            events.FeedHeartbeat(now, "front-1", age_s, complete), effects
        )
        return list_effect_types(effects)

    def follow(self):
        """Run the start until front-1 is the source."""
        assert self.tick(0.0) == [WatchStore, FollowInstance]
        assert self.heartbeat(0.1) == [UnwatchStore]


def list_effect_types(effects):
    """Return the types of the effects other than log lines."""
    return [type(e) for e in effects if type(e).__name__ != "LogDecision"]


def test_store_is_read_until_the_source_has_delivered_everything():
    """A new instance had no objects until its source had sent them."""
    source = Source()
    assert source.tick(0.0) == [WatchStore, FollowInstance]
    assert source.heartbeat(0.1, complete=False) == []
    assert source.heartbeat(0.2, age_s=STALE_AFTER_S + 1) == []
    assert source.heartbeat(0.3) == [UnwatchStore]
    assert source.tick(0.4) == []


def test_silent_source_is_unfollowed():
    """Changes were not received because the source was frozen."""
    source = Source()
    source.follow()
    assert source.tick(0.1 + STALE_AFTER_S) == [ProbeStore]
    left = source.tick(0.2 + STALE_AFTER_S)
    assert left == [UnfollowInstance, WatchStore]
    # The former source is followed again only after `SOURCE_AVOIDANCE_S`.
    assert source.tick(3.0) == []
    assert source.tick(0.3 + STALE_AFTER_S + SOURCE_AVOIDANCE_S) == [FollowInstance]


def test_unreachable_source_is_unfollowed():
    """An instance waited forever for a source that had stopped."""
    source = Source()
    source.tick(0.0)
    assert source.tick(CONNECT_TIMEOUT_S + 0.1) == [UnfollowInstance]
    assert source.feed.watching


def test_source_without_store_access_is_unfollowed():
    """Changes were not received because only the source could not reach the store."""
    source = Source()
    source.follow()
    now = 0.1 + STALE_AFTER_S + 0.1
    source.heartbeat(now, age_s=STALE_AFTER_S + 0.2)
    assert source.tick(now + 0.05) == [ProbeStore]
    effects = []
    source.feed.record_store_call(True, now + 0.1, effects)
    assert list_effect_types(effects) == [UnfollowInstance, WatchStore]


def test_source_is_kept_in_an_outage_of_the_store():
    """All instances kept calling a store that was down."""
    source = Source()
    source.follow()
    probes = 0
    for step in range(1, 51):
        now = 2.0 + step * 0.1
        source.heartbeat(now, age_s=now)
        probes += source.tick(now).count(ProbeStore)
        source.feed.record_store_call(False, now, [])
    assert not source.feed.watching
    assert 5 <= probes <= 10


def test_granter_reads_the_store_itself():
    """The granter followed another instance, and detected an outage of the store only
    after it had received the effects, such as the removal of entries.
    """
    source = Source()
    source.follow()
    assert source.tick(0.5, is_granter=True) == [UnfollowInstance, WatchStore]
    assert source.tick(20.0, is_granter=True) == []


def test_source_with_followers_probes_the_store():
    """A source without contact with the store appeared to be up to date."""
    source = Source()
    source.feed.members_by_id = {}
    source.tick(0.0)
    source.feed.handle_watches_change(events.WatchesChanged(0.1, True))
    source.feed.record_store_call(True, 0.1, [])
    assert source.tick(5.0) == []
    source.feed.followers = 1
    assert source.tick(5.1) == [ProbeStore]
    assert source.feed.get_fresh_at() == 0.1


def test_answered_probe_does_not_make_an_old_copy_current():
    """Followers left the store for a source that had missed changes of several
    seconds, as the store answered it again, but had not been listed yet.
    """
    source = Source()
    source.feed.members_by_id = {}
    source.tick(0.0)
    assert source.feed.get_fresh_at() == -math.inf
    source.feed.handle_watches_change(events.WatchesChanged(0.1, True))
    source.feed.record_store_call(True, 0.2, [])
    assert source.feed.get_fresh_at() == 0.2
    # The store answers again after an outage, or a watch has failed.
    source.feed.handle_watches_change(events.WatchesChanged(8.0, False))
    source.feed.record_store_call(True, 8.0, [])
    assert source.feed.get_fresh_at() == 0.2
    source.feed.handle_watches_change(events.WatchesChanged(8.2, True))
    assert source.feed.get_fresh_at() == 8.0


def test_copy_of_a_lost_source_is_not_current_before_the_store_was_listed():
    """The followers of a follower took it for up to date while it was not."""
    source = Source()
    source.follow()
    source.tick(0.2 + STALE_AFTER_S)
    assert source.feed.watching
    source.feed.record_store_call(True, 1.6, [])
    assert source.feed.get_fresh_at() == 0.0
    source.feed.handle_watches_change(events.WatchesChanged(1.7, True))
    assert source.feed.get_fresh_at() == 1.6


def test_delay_of_a_stream_is_independent_of_the_clocks():
    """Changes that were seconds on the way counted as new."""
    delay = StreamDelay()
    assert delay.measure(1000.0, 50.0) == 0.0
    assert delay.measure(1001.0, 50.9) == 0.0
    assert delay.measure(1002.0, 54.4) == pytest.approx(2.5, abs=0.01)


def test_clock_drift_does_not_count_as_delay():
    """Instances left each source after some hours, as their clocks differed."""
    delay = StreamDelay()
    for hour in range(48):
        assert delay.measure(hour * 3600.0, hour * 3600.0 * 1.0005) == 0.0


class StartingInstance:
    """The feed of front-2 from its start on, while front-1 may be its source."""

    def __init__(self):
        self.feed = FeedSource(build_settings("front-2"))
        self.feed.begin(0.0)
        self.effects = []

    def tick(self, now):
        """Tick; return the types of the effects that concern the source."""
        effects = []
        self.feed.tick(now, False, effects)
        self.effects += effects
        return list_effect_types(effects)

    def list_members(self, count):
        """Apply a list of the first instances."""
        self.feed.members_by_id = {m.instance: m for m in MEMBERS[:count]}


def test_every_instance_lists_the_store_when_the_fleet_starts():
    """All instances that started together listed all kinds of objects in the store, and
    got them from their sources as well.
    """
    instance = StartingInstance()
    assert instance.tick(0.0) == [ListInstances]
    assert not instance.effects[0].current
    # At the first start of the fleet nobody is registered yet.
    instance.list_members(0)
    assert instance.tick(0.1) == []
    instance.feed.record_registration(0.2)
    assert instance.tick(0.3) == []
    assert instance.tick(0.75) == [ListInstances]
    assert instance.effects[-1].current
    instance.list_members(2)
    assert instance.tick(0.8) == [FollowInstance]
    instance.feed.handle_heartbeat(
        events.FeedHeartbeat(0.9, "front-1", 0.1, True), instance.effects
    )
    assert instance.tick(2.0) == []
    assert WatchStore not in list_effect_types(instance.effects)


def test_first_instance_of_a_region_reads_the_store_at_once():
    """The instance that others wait for waited for itself."""
    instance = StartingInstance()
    instance.tick(0.0)
    instance.feed.members_by_id = {"front-2": MEMBERS[1]}
    assert instance.tick(0.05) == [WatchStore]


def test_store_is_read_if_no_source_delivers_a_copy_at_the_start():
    """An instance whose source was lost did not get ready."""
    instance = StartingInstance()
    instance.tick(0.0)
    instance.list_members(2)
    assert instance.tick(0.05) == [FollowInstance]
    lost = events.FeedLost(0.1, "front-1", "unavailable")
    instance.feed.handle_feed_loss(lost, [])
    # The source may be starting as well.
    assert instance.tick(0.2) == []
    assert instance.tick(0.35) == [FollowInstance]
    instance.feed.handle_feed_loss(events.FeedLost(0.4, "front-1", "unavailable"), [])
    assert WatchStore in instance.tick(0.45)


def test_copy_of_a_source_without_store_is_used_after_a_start():
    """A server that had left got requests from an instance that had started and taken
    the copy of a source that was cut off from the store.
    """
    instance = StartingInstance()
    instance.tick(0.0)
    instance.list_members(2)
    instance.tick(0.05)
    heartbeat = events.FeedHeartbeat(0.1, "front-1", 1.4, True)
    instance.feed.handle_heartbeat(heartbeat, instance.effects)
    assert instance.tick(0.15) == [WatchStore]


def test_store_is_read_if_the_instances_cannot_be_listed():
    """An instance that started while the store was slow waited for the list forever."""
    instance = StartingInstance()
    assert instance.tick(0.0) == [ListInstances]
    assert instance.tick(1.4) == []
    assert instance.tick(1.55) == [WatchStore]


@pytest.mark.parametrize("complete", [False, True])
def test_every_instance_reads_the_store_because_its_source_has_just_started(complete):
    """When a fleet started, the copies of all sources were not complete yet. This was
    taken for a source that the store does not answer, and all instances read the store.
    """
    instance = StartingInstance()
    instance.tick(0.0)
    instance.list_members(2)
    instance.tick(0.05)
    age_s = NEVER_CURRENT_AGE_S
    heartbeat = events.FeedHeartbeat(0.1, "front-1", age_s, complete)
    instance.feed.handle_heartbeat(heartbeat, instance.effects)
    assert instance.tick(0.15) == []
    heartbeat = events.FeedHeartbeat(0.5, "front-1", 0.0, True)
    instance.feed.handle_heartbeat(heartbeat, instance.effects)
    assert instance.tick(1.6) == []


def test_source_that_is_gone_for_good_delays_a_start():
    """The first of the failure domain had been replaced. A new instance there waited
    1.5 s for it, and its callers were refused.
    """
    instance = StartingInstance()
    instance.tick(0.0)
    instance.feed = FeedSource(build_settings("front-3"))
    instance.feed.begin(0.0)
    instance.list_members(3)
    assert instance.tick(0.05) == [ListInstances, FollowInstance]
    assert instance.effects[-1].instance == "front-1"
    # It is left, and the next one is followed.
    instance.tick(0.5)
    assert instance.tick(0.55) == [FollowInstance]
    assert instance.effects[-1].instance == "front-2"
    # Without another source, the store is read at once.
    instance.tick(1.0)
    assert WatchStore in instance.tick(1.05)
