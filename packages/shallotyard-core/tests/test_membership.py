"""Tests of liveness, views of failure domains and reports in heartbeats."""

import dataclasses
import functools
import heapq
import itertools
import random

import pytest
from region_builders import build_manifest
from region_builders import build_member_age
from region_builders import build_router
from region_builders import build_table

from shallotyard_core.domain_views import digest_members
from shallotyard_core.effects import ReplyPeer
from shallotyard_core.effects import SendPeer
from shallotyard_core.events import DrainRequested
from shallotyard_core.events import PeerMessage
from shallotyard_core.events import PeerReplied
from shallotyard_core.events import Tick
from shallotyard_core.instance_list import ListedInstance
from shallotyard_core.messages import Heartbeat
from shallotyard_core.messages import UpstreamReport
from shallotyard_core.reducer import reduce
from shallotyard_core.timing import TICK_S
from shallotyard_core.upstream_reports import UpstreamReports

LATENCY_S = 0.001


class HeartbeatNetwork:
    """Simulated network in memory, over which routers exchange heartbeats.

    :param domains_by_id: failure domain of each instance.
    """

    def __init__(self, domains_by_id):
        self.now = 10.0
        self.routers_by_id = {}
        self.dead_ids = set()
        self.is_lost = lambda sender, receiver: False
        self.heartbeats = []
        self._queue = []
        self._order = itertools.count()
        for instance_id, domain in domains_by_id.items():
            self.start(instance_id, domain, "1")

    def start(self, instance_id, domain, incarnation):
        """Start an instance that knows all running ones."""
        router = build_router(instance_id, domain, incarnation, self.now)
        router.control.apply_object("manifest", build_manifest(), self.now, [])
        for other in self.routers_by_id.values():
            if other.own.instance_id not in self.dead_ids:
                known = dataclasses.replace(other.membership.build_own_member_age())
                router.membership.record_relayed_contact(known, self.now)
        self.routers_by_id[instance_id] = router
        self.dead_ids.discard(instance_id)
        offset = 0.007 * len(self.routers_by_id)
        self._schedule(offset, lambda: self._tick(instance_id, router))

    def _schedule(self, delay_s, action):
        heapq.heappush(self._queue, (self.now + delay_s, next(self._order), action))

    def advance(self, seconds, check=lambda: None):
        """Advance the time, and call a check after each event."""
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
            check()
        self.now = until

    def resume(self, instance_id):
        """Continue a silent instance with its previous state."""
        self.dead_ids.discard(instance_id)
        self._tick(instance_id, self.routers_by_id[instance_id])

    def _is_running(self, instance_id, router):
        return (
            instance_id not in self.dead_ids
            and self.routers_by_id[instance_id] is router
        )

    def _tick(self, instance_id, router):
        if self._is_running(instance_id, router):
            self._handle(router, Tick(self.now))
            self._schedule(TICK_S, lambda: self._tick(instance_id, router))

    def _handle(self, router, event):
        for effect in reduce(router, event):
            if isinstance(effect, SendPeer) and isinstance(effect.message, Heartbeat):
                self._send(router, effect, self.now)

    def _send(self, router, effect, sent_at):
        sender, receiver = router.own.instance_id, effect.instance_id
        self.heartbeats.append((sender, receiver, effect.message))
        replied_ids = []

        def expire():
            if not replied_ids and self._is_running(sender, router):
                event = PeerReplied(self.now, receiver, effect.token, sent_at)
                self._handle(router, event)

        self._schedule(effect.timeout_s, expire)
        if self.is_lost(sender, receiver):
            return
        message = copy_message(effect.message)

        def arrive():
            target = self.routers_by_id.get(receiver)
            if target is None or not self._is_running(receiver, target):
                return
            event = PeerMessage(self.now, sender, message, 1)
            for reply in reduce(target, event):
                if isinstance(reply, ReplyPeer) and not self.is_lost(receiver, sender):
                    self._schedule(
                        LATENCY_S,
                        functools.partial(finish, copy_message(reply.message)),
                    )

        def finish(reply):
            replied_ids.append(receiver)
            if self._is_running(sender, router):
                event = PeerReplied(self.now, receiver, effect.token, sent_at, reply)
                self._handle(router, event)

        self._schedule(LATENCY_S, arrive)

    def publish_instance_list(self):
        """Pass the platform's instance list, which is probed, to all instances."""
        listed = [
            ListedInstance(n, router.own.domain, router.own.address, False)
            for n, router in self.routers_by_id.items()
        ]
        for router in self.routers_by_id.values():
            router.membership.replace_instance_list(listed)

    def find_live_ids(self, instance_id):
        """Return the ids of the instances that an instance counts as alive."""
        return set(
            self.routers_by_id[instance_id].membership.find_live_members(self.now)
        )

    def measure_seconds_until_dead(self, observer_id, silent_ids, limit_s=4.0):
        """Return the seconds until an instance counts others as dead.

        :param observer_id: id of the instance.
        :param silent_ids: ids of the silent instances.
        :param limit_s: longest time to wait, in seconds.
        """
        started_at = self.now
        while self.find_live_ids(observer_id) & set(silent_ids):
            self.advance(TICK_S)
            assert self.now < started_at + limit_s
        return self.now - started_at


def copy_message(message):
    """Return a message as received, which shares no members with the sent one."""
    members = [dataclasses.replace(member) for member in message.members]
    reports = [dataclasses.replace(report) for report in message.reports]
    return dataclasses.replace(message, members=members, reports=reports)


def build_network():
    """Return eight instances in two failure domains that know each other."""
    network = HeartbeatNetwork({f"r{n}": f"d{1 + n % 2}" for n in range(1, 9)})
    network.advance(3.0)
    return network


def test_all_instances_discover_each_other():
    """Guards against equal digests of incomplete member lists."""
    network = build_network()
    for instance_id in network.routers_by_id:
        assert network.find_live_ids(instance_id) == set(network.routers_by_id)


def test_steady_heartbeats_carry_no_members():
    """Guards against member lists in each heartbeat, 100 KB each with 690 daemons."""
    network = build_network()
    network.heartbeats.clear()
    network.advance(2.0)
    assert network.heartbeats
    assert not any(
        heartbeat.members or heartbeat.listed for _, _, heartbeat in network.heartbeats
    )


def test_live_instances_never_count_as_dead():
    """Guards against ages that grow while heartbeats carry only digests."""
    network = build_network()

    def check_members():
        for instance_id in network.routers_by_id:
            assert network.find_live_ids(instance_id) == set(network.routers_by_id)

    network.advance(5.0, check_members)


@pytest.mark.parametrize("silent_id", ["r6", "r8"])
@pytest.mark.parametrize("observer_id", ["r1", "r2"])
def test_silent_member_counts_as_dead_in_time(observer_id, silent_id):
    """Guards against relayed views that keep a dead instance alive."""
    network = build_network()
    network.dead_ids.add(silent_id)
    assert network.measure_seconds_until_dead(observer_id, [silent_id]) <= 1.35
    network.advance(3.0)
    for instance_id in set(network.routers_by_id) - network.dead_ids:
        assert (
            network.find_live_ids(instance_id)
            == set(network.routers_by_id) - network.dead_ids
        )


def test_instances_of_a_silent_domain_count_as_dead_at_once():
    """Guards against a lost failure domain that loses its instances one at a time."""
    network = build_network()
    silent_ids = {
        n for n, router in network.routers_by_id.items() if router.own.domain == "d1"
    }
    network.dead_ids |= silent_ids
    sizes = set()
    started_at = network.now
    while network.find_live_ids("r1") & silent_ids:
        sizes.add(len(network.find_live_ids("r1") & silent_ids))
        network.advance(TICK_S)
    assert network.now - started_at <= 1.3
    assert sizes == {len(silent_ids)}


def test_loss_of_a_reader_leaves_its_members_alive():
    """Guards against a failure domain counted as lost when only its reader is lost."""
    network = build_network()
    network.dead_ids.add("r2")
    others = {"r4", "r6", "r8"}

    def check_members():
        assert others <= network.find_live_ids("r1")
        assert others <= network.find_live_ids("r3")

    network.advance(4.0, check_members)
    assert "r2" not in network.find_live_ids("r1")
    assert (
        network.routers_by_id["r1"].membership.find_readers_by_domain(network.now)["d1"]
        == "r4"
    )


def test_restarted_reader_takes_over_without_losing_members():
    """Guards against a new reader that publishes a view without members."""
    network = build_network()
    network.dead_ids.add("r2")
    network.advance(4.0)
    others = {"r4", "r6", "r8"}

    def check_members():
        assert others <= network.find_live_ids("r1")
        assert others <= network.find_live_ids("r3")

    network.start("r2", "d1", "2")
    network.advance(4.0, check_members)
    for instance_id in network.routers_by_id:
        assert network.find_live_ids(instance_id) == set(network.routers_by_id)
        assert (
            network.routers_by_id[instance_id].membership.find_incarnation("r2") == "2"
        )


@pytest.mark.parametrize("restarted", ["r2", "r6"])
def test_quick_restart_is_known_to_all_instances(restarted):
    """Guards against a new incarnation hidden behind views of the old one."""
    network = build_network()
    network.start(restarted, network.routers_by_id[restarted].own.domain, "2")
    network.advance(3.0)
    for instance_id, router in network.routers_by_id.items():
        assert network.find_live_ids(instance_id) == set(network.routers_by_id)
        assert router.membership.find_incarnation(restarted) == "2"


def test_leaving_state_is_known_to_all_instances():
    """Guards against a digest that does not cover the leaving state."""
    network = build_network()
    reduce(network.routers_by_id["r6"], DrainRequested(network.now))
    network.advance(1.5)
    for instance_id, router in network.routers_by_id.items():
        if instance_id != "r6":
            assert router.membership.members_by_id["r6"].leaving


@pytest.mark.parametrize("every", [2, 3, 7])
def test_lost_messages_delay_but_do_not_hide_members(every):
    """Guards against a member list that counts as received although it was lost."""
    network = build_network()
    numbers = itertools.count()
    network.is_lost = lambda sender, receiver: next(numbers) % every == 0
    network.start("r9", "d2", "1")
    network.dead_ids.add("r7")
    network.publish_instance_list()
    network.advance(3.0)
    network.is_lost = lambda sender, receiver: False
    network.advance(2.0)
    for instance_id in set(network.routers_by_id) - network.dead_ids:
        assert (
            network.find_live_ids(instance_id)
            == set(network.routers_by_id) - network.dead_ids
        )


def test_reader_cut_off_from_one_member_keeps_the_others_alive():
    """Guards against a member whose own view replaces that of its reader."""
    network = build_network()
    pair = {"r2", "r4"}
    network.is_lost = lambda sender, receiver: {sender, receiver} == pair

    def check_members():
        assert {"r2", "r6", "r8"} <= network.find_live_ids("r1")
        view = network.routers_by_id["r1"].control.views.views_by_domain["d1"]
        assert {"r2", "r6", "r8"} <= {member.instance_id for member in view.members}

    network.advance(4.0, check_members)


def test_reader_counts_only_members_with_direct_contact():
    """Guards against two readers that confirm a dead member to each other."""
    router = build_router("r2", "d1")
    views = router.control.views
    router.membership.record_direct_contact(build_member_age("r6", domain="d1"), 10.0)
    for step in range(12):
        router.membership.record_direct_contact(
            build_member_age("r6", domain="d1"), 10.0 + 0.1 * step
        )
        views.apply_message(
            Heartbeat(build_member_age("r1"), {}), {}, 10.0 + 0.1 * step
        )
        views.refresh(10.0 + 0.1 * step)
    members = views.views_by_domain["d1"].members
    assert [member.instance_id for member in members] == ["r2", "r6"]
    message = Heartbeat(
        build_member_age("r1"),
        {},
        [build_member_age("r6", domain="d1")],
        [],
        {"d1": "other"},
        {"d1": 0},
        ["d1"],
    )
    for step in range(8):
        views.apply_message(message, {}, 11.2 + 0.1 * step)
        views.refresh(11.2 + 0.1 * step)
    members = views.views_by_domain["d1"].members
    assert [member.instance_id for member in members] == ["r2"]


def test_views_converge_after_a_partition():
    """Guards against views that still differ after a partition."""
    network = build_network()
    domain = {n: router.own.domain for n, router in network.routers_by_id.items()}
    network.is_lost = lambda sender, receiver: domain[sender] != domain[receiver]
    network.advance(3.0)
    assert network.find_live_ids("r1") == {n for n in domain if domain[n] == "d2"}
    network.is_lost = lambda sender, receiver: False
    network.publish_instance_list()
    network.advance(3.0)
    for instance_id in network.routers_by_id:
        assert network.find_live_ids(instance_id) == set(network.routers_by_id)


def test_heartbeats_between_regions_are_sent_every_second():
    """Guards against heartbeats between regions at the rate of lease renewals."""
    network = build_network()
    for router in network.routers_by_id.values():
        other_domain = "d1" if router.own.domain == "d2" else "d2"
        router.membership.other_region_domains = frozenset([other_domain])
    network.advance(1.0)
    network.heartbeats.clear()

    def check_members():
        for instance_id in network.routers_by_id:
            assert network.find_live_ids(instance_id) == set(network.routers_by_id)

    network.advance(4.0, check_members)
    assert (
        3 <= sum(heartbeat[:2] == ("r1", "r2") for heartbeat in network.heartbeats) <= 5
    )
    network.dead_ids.add("r6")
    assert network.measure_seconds_until_dead("r1", ["r6"]) <= 3.5


def test_digest_covers_the_fields_that_others_use():
    """Guards against changes of an instance that leave the digest unchanged."""
    member = build_member_age("r1")
    plain = digest_members([member])
    for change in (
        {"instance_id": "r2"},
        {"incarnation": "2"},
        {"address": "peer:other"},
        {"leaving": True},
    ):
        assert digest_members([dataclasses.replace(member, **change)]) != plain
    assert digest_members([dataclasses.replace(member, age_s=9.0)]) == plain


def build_report(**changes):
    """Return a report of a serving upstream at a holder."""
    report = UpstreamReport("book-1", "serving", 1, 4, 0.1, 100.0, holder="r2")
    return dataclasses.replace(report, **changes)


@pytest.mark.parametrize(
    ("change", "is_sent"),
    [
        ({"in_flight": 3}, False),
        ({"latency_s": 0.11}, False),
        ({"latency_s": 0.2}, True),
        ({"rate": 110.0}, False),
        ({"rate": 10.0}, True),
        ({"limit": 2}, True),
        ({"state": "dead"}, True),
        ({"holder": "r3"}, True),
        ({"hot_rates": {"book": {7: 50.0}}}, True),
    ],
)
def test_reports_are_sent_when_they_change(change, is_sent):
    """Guards against repeated reports and against changes that are not sent."""
    reports = UpstreamReports("r1")
    first = build_report()
    assert reports.select_unconfirmed([first], "r9", 1.0) == [first]
    assert reports.select_unconfirmed([first], "r9", 1.2) == [first]
    reports.record_confirmed("r9", "1", [(first, 1.2)])
    changed = build_report(**change)
    assert bool(reports.select_unconfirmed([changed], "r9", 1.5)) is is_sent


def test_report_that_is_not_serving_is_repeated():
    """Guards against coordinators whose report of a cold or dead upstream expires."""
    reports = UpstreamReports("r1")
    report = build_report(state="cold")
    reports.record_confirmed("r9", "1", [(report, 1.0)])
    assert not reports.select_unconfirmed([report], "r9", 1.5)
    assert reports.select_unconfirmed([report], "r9", 2.0)


def test_restarted_peer_gets_all_reports():
    """Guards against reports that only a peer's previous incarnation received."""
    reports = UpstreamReports("r1")
    report = build_report()
    reports.record_confirmed("r9", "1", [(report, 1.0)])
    reports.record_confirmed("r9", "2", [])
    assert reports.select_unconfirmed([report], "r9", 1.5) == [report]


def test_serving_report_is_valid_while_its_holder_is_alive():
    """Guards against load reports that expire because they do not change."""
    reports = UpstreamReports("r1")
    reports.record([build_report(), build_report(upstream_id="b", state="cold")], 1.0)
    kept = reports.collect_current(lambda name: True, 60.0)
    assert [report.upstream_id for report in kept] == ["book-1"]
    assert reports.collect_current(lambda name: False, 61.0) == []


@pytest.mark.parametrize("seed", range(6))
def test_views_converge_after_random_faults(seed):
    """Guards against combinations of faults after which the views never agree."""
    choices = random.Random(seed)
    network = build_network()
    incarnations_by_id = dict.fromkeys(network.routers_by_id, 1)
    for _ in range(12):
        loss_rate = choices.choice([0.0, 0.05, 0.2])
        network.is_lost = lambda sender, receiver, s=loss_rate: choices.random() < s
        name = choices.choice(sorted(network.routers_by_id))
        if name in network.dead_ids or choices.random() < 0.3:
            incarnations_by_id[name] += 1
            domain = network.routers_by_id[name].own.domain
            network.start(name, domain, str(incarnations_by_id[name]))
            network.publish_instance_list()
        elif len(network.dead_ids) < 6:
            network.dead_ids.add(name)
        network.advance(choices.choice([0.1, 0.5, 1.0, 2.0]))
    network.is_lost = lambda sender, receiver: False
    network.publish_instance_list()
    network.advance(4.5)
    live = set(network.routers_by_id) - network.dead_ids
    for instance_id in live:
        membership = network.routers_by_id[instance_id].membership
        assert network.find_live_ids(instance_id) == live
        for other in live:
            assert membership.find_incarnation(other) == str(incarnations_by_id[other])


@pytest.mark.parametrize("pause_s", [0.6, 0.9, 1.2, 5.0])
def test_reader_that_was_paused_loses_no_members(pause_s):
    """Guards against a reader that counts its own pause as silence of the others."""
    network = build_network()
    network.publish_instance_list()
    network.dead_ids.add("r2")
    network.advance(pause_s)
    others = {"r4", "r6", "r8"}

    def check_members():
        assert others <= network.find_live_ids("r1")
        assert others <= network.find_live_ids("r3")

    network.resume("r2")
    network.advance(4.0, check_members)
    for instance_id in network.routers_by_id:
        assert network.find_live_ids(instance_id) == set(network.routers_by_id)


@pytest.mark.parametrize("cut_s", [0.6, 0.9, 1.2, 5.0])
def test_reader_that_was_isolated_loses_no_members(cut_s):
    """Guards against a view without members from a reader that was isolated."""
    network = build_network()
    network.publish_instance_list()
    network.is_lost = lambda sender, receiver: "r2" in (sender, receiver)
    others = {"r4", "r6", "r8"}

    def check_members():
        assert others <= network.find_live_ids("r1")
        assert others <= network.find_live_ids("r3")

    network.advance(cut_s, check_members)
    network.is_lost = lambda sender, receiver: False
    network.advance(4.0, check_members)
    for instance_id in network.routers_by_id:
        assert network.find_live_ids(instance_id) == set(network.routers_by_id)


def test_reports_reach_the_coordinators_and_are_not_repeated():
    """Guards against a report that stops at the reader or is sent again and again."""
    network = build_network()
    holder = network.routers_by_id["r8"]
    network.routers_by_id["r1"].control.table = build_table(
        1, {}, [], coordinators=("r1", "r3")
    )
    network.routers_by_id["r2"].control.table = build_table(
        1, {}, [], coordinators=("r1", "r3")
    )
    report = build_report(holder="r8")
    # Recorded at r8 as an own observation, so that its heartbeats carry it.
    holder.control.record_reports([report], network.now)
    network.advance(1.0)
    for coordinator in ("r1", "r3"):
        assert (
            "book-1"
            in network.routers_by_id[coordinator].control.reports.reports_by_upstream
        )
    network.heartbeats.clear()
    network.advance(1.0)
    assert not any(heartbeat.reports for _, _, heartbeat in network.heartbeats)
    network.advance(10.0)
    for coordinator in ("r1", "r3"):
        network.routers_by_id[coordinator].control.collect_reports(network.now)
        assert (
            "book-1"
            in network.routers_by_id[coordinator].control.reports.reports_by_upstream
        )
    network.dead_ids.add("r8")
    network.advance(2.0)
    network.routers_by_id["r1"].control.collect_reports(network.now)
    assert (
        "book-1" not in network.routers_by_id["r1"].control.reports.reports_by_upstream
    )


def test_reports_reach_members_although_replies_are_lost():
    """Guards against a report that counts as received although its reply was lost."""
    network = HeartbeatNetwork({"r1": "d1", "r2": "d1"})
    network.advance(3.0)
    network.is_lost = lambda sender, receiver: (sender, receiver) == ("r1", "r2")
    network.routers_by_id["r1"].control.record_reports(
        [build_report(holder="r1")], network.now
    )
    network.advance(0.4)
    reports = network.routers_by_id["r2"].control.reports_by_upstream
    assert "book-1" not in reports
    network.is_lost = lambda sender, receiver: False
    network.advance(1.6)
    assert "book-1" in reports
