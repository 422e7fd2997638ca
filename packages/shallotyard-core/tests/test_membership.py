"""Tests of the liveness that heartbeats carry."""

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
from shallotyard_core.membership import ListedInstance
from shallotyard_core.messages import Heartbeat
from shallotyard_core.messages import UpstreamReport
from shallotyard_core.reducer import reduce
from shallotyard_core.timing import TICK_S
from shallotyard_core.upstream_reports import UpstreamReports

LATENCY_S = 0.001


class HeartbeatNetwork:
    """Routers that exchange heartbeats in memory.

    :param domains_by_id: failure domain of each instance.
    """

    def __init__(self, domains_by_id):
        self.now = 10.0
        self.routers = {}
        self.dead = set()
        self.lost = lambda sender, receiver: False
        self.heartbeats = []
        self._queue = []
        self._order = itertools.count()
        for instance_id, domain in domains_by_id.items():
            self.start(instance_id, domain, "1")

    def start(self, instance_id, domain, incarnation):
        """Start an instance that knows the first of each failure domain."""
        router = build_router(instance_id, domain, incarnation, self.now)
        router.control.apply_object("manifest", build_manifest(), self.now, [])
        for other in self.routers.values():
            if other.own.instance_id not in self.dead:
                known = dataclasses.replace(other.membership.build_own_member_age())
                router.membership.record_relayed_contact(known, self.now)
        self.routers[instance_id] = router
        self.dead.discard(instance_id)
        offset = 0.007 * len(self.routers)
        self._at(offset, lambda: self._tick(instance_id, router))

    def _at(self, delay_s, action):
        heapq.heappush(self._queue, (self.now + delay_s, next(self._order), action))

    def advance(self, seconds, check=lambda: None):
        """Let time pass; call a check after each step."""
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
            check()
        self.now = until

    def resume(self, instance_id):
        """Let an instance that was silent go on with the state that it had."""
        self.dead.discard(instance_id)
        self._tick(instance_id, self.routers[instance_id])

    def _runs(self, instance_id, router):
        return instance_id not in self.dead and self.routers[instance_id] is router

    def _tick(self, instance_id, router):
        if self._runs(instance_id, router):
            self._handle(router, Tick(self.now))
            self._at(TICK_S, lambda: self._tick(instance_id, router))

    def _handle(self, router, event):
        for effect in reduce(router, event):
            if isinstance(effect, SendPeer) and isinstance(effect.message, Heartbeat):
                self._send(router, effect, self.now)

    def _send(self, router, effect, sent_at):
        sender, receiver = router.own.instance_id, effect.instance_id
        self.heartbeats.append((sender, receiver, effect.message))
        answered = []

        def expire():
            if not answered and self._runs(sender, router):
                event = PeerReplied(self.now, receiver, effect.token, sent_at)
                self._handle(router, event)

        self._at(effect.timeout_s, expire)
        if self.lost(sender, receiver):
            return
        message = copy(effect.message)

        def arrive():
            target = self.routers.get(receiver)
            if target is None or not self._runs(receiver, target):
                return
            event = PeerMessage(self.now, sender, message, 1)
            for reply in reduce(target, event):
                if isinstance(reply, ReplyPeer) and not self.lost(receiver, sender):
                    self._at(LATENCY_S, functools.partial(finish, copy(reply.message)))

        def finish(answer):
            answered.append(receiver)
            if self._runs(sender, router):
                event = PeerReplied(self.now, receiver, effect.token, sent_at, answer)
                self._handle(router, event)

        self._at(LATENCY_S, arrive)

    def list_instances(self):
        """Give all instances the platform's list, from which they probe."""
        listed = [
            ListedInstance(n, router.own.domain, router.own.address, False)
            for n, router in self.routers.items()
        ]
        for router in self.routers.values():
            router.membership.replace_instance_list(listed)

    def alive(self, instance_id):
        """Return the ids that an instance counts as alive."""
        return set(self.routers[instance_id].membership.find_live_members(self.now))

    def measure_seconds_until_dead(self, watcher, gone, limit_s=4.0):
        """Return the seconds until a watcher counts instances as dead."""
        began = self.now
        while self.alive(watcher) & set(gone):
            self.advance(TICK_S)
            assert self.now < began + limit_s
        return self.now - began


def copy(message):
    """Return a message as it would arrive, without shared members."""
    members = [dataclasses.replace(member) for member in message.members]
    reports = [dataclasses.replace(report) for report in message.reports]
    return dataclasses.replace(message, members=members, reports=reports)


def build_net():
    """Return eight instances in two failure domains that know each other."""
    net = HeartbeatNetwork({f"r{n}": f"d{1 + n % 2}" for n in range(1, 9)})
    net.advance(3.0)
    return net


def test_all_instances_learn_of_each_other():
    """Guards against digests that agree on an incomplete member list."""
    net = build_net()
    for instance_id in net.routers:
        assert net.alive(instance_id) == set(net.routers)


def test_settled_heartbeats_carry_no_members():
    """Guards against member lists in every heartbeat, 100 KB each at 690 daemons."""
    net = build_net()
    net.heartbeats.clear()
    net.advance(2.0)
    assert net.heartbeats
    assert not any(beat.members or beat.listed for _, _, beat in net.heartbeats)


def test_nobody_is_taken_for_dead_while_all_live():
    """Guards against ages that grow while only digests travel."""
    net = build_net()

    def check():
        for instance_id in net.routers:
            assert net.alive(instance_id) == set(net.routers)

    net.advance(5.0, check)


@pytest.mark.parametrize("gone", ["r6", "r8"])
@pytest.mark.parametrize("watcher", ["r1", "r2"])
def test_silent_member_is_dead_in_time(watcher, gone):
    """Guards against relayed views that keep a dead instance alive."""
    net = build_net()
    net.dead.add(gone)
    assert net.measure_seconds_until_dead(watcher, [gone]) <= 1.35
    net.advance(3.0)
    for instance_id in set(net.routers) - net.dead:
        assert net.alive(instance_id) == set(net.routers) - net.dead


def test_silent_failure_domain_is_found_at_once():
    """Guards against a lost failure domain that loses its instances one by one."""
    net = build_net()
    gone = {n for n, router in net.routers.items() if router.own.domain == "d1"}
    net.dead |= gone
    sizes = set()
    began = net.now
    while net.alive("r1") & gone:
        sizes.add(len(net.alive("r1") & gone))
        net.advance(TICK_S)
    assert net.now - began <= 1.3
    assert sizes == {len(gone)}


def test_loss_of_a_reader_leaves_its_members_alive():
    """Guards against a failure domain counted as lost when only its reader died."""
    net = build_net()
    net.dead.add("r2")
    others = {"r4", "r6", "r8"}

    def check():
        assert others <= net.alive("r1")
        assert others <= net.alive("r3")

    net.advance(4.0, check)
    assert "r2" not in net.alive("r1")
    assert net.routers["r1"].membership.find_readers_by_domain(net.now)["d1"] == "r4"


def test_restarted_reader_takes_over_without_losing_members():
    """Guards against a new reader that announces an empty failure domain."""
    net = build_net()
    net.dead.add("r2")
    net.advance(4.0)
    others = {"r4", "r6", "r8"}

    def check():
        assert others <= net.alive("r1")
        assert others <= net.alive("r3")

    net.start("r2", "d1", "2")
    net.advance(4.0, check)
    for instance_id in net.routers:
        assert net.alive(instance_id) == set(net.routers)
        assert net.routers[instance_id].membership.find_incarnation("r2") == "2"


@pytest.mark.parametrize("restarted", ["r2", "r6"])
def test_quick_restart_reaches_everyone(restarted):
    """Guards against a new incarnation hidden behind views of the old one."""
    net = build_net()
    net.start(restarted, net.routers[restarted].own.domain, "2")
    net.advance(3.0)
    for instance_id, router in net.routers.items():
        assert net.alive(instance_id) == set(net.routers)
        assert router.membership.find_incarnation(restarted) == "2"


def test_leaving_reaches_everyone():
    """Guards against a digest that leaves out that an instance is leaving."""
    net = build_net()
    reduce(net.routers["r6"], DrainRequested(net.now))
    net.advance(1.5)
    for instance_id, router in net.routers.items():
        if instance_id != "r6":
            assert router.membership.members_by_id["r6"].leaving


@pytest.mark.parametrize("every", [2, 3, 7])
def test_lost_messages_delay_but_do_not_hide_members(every):
    """Guards against a list that counts as delivered although it was lost."""
    net = build_net()
    numbers = itertools.count()
    net.lost = lambda sender, receiver: next(numbers) % every == 0
    net.start("r9", "d2", "1")
    net.dead.add("r7")
    net.list_instances()
    net.advance(3.0)
    net.lost = lambda sender, receiver: False
    net.advance(2.0)
    for instance_id in set(net.routers) - net.dead:
        assert net.alive(instance_id) == set(net.routers) - net.dead


def test_reader_cut_off_from_one_member_keeps_the_others_alive():
    """Guards against a member that replaces its reader's view by its own."""
    net = build_net()
    pair = {"r2", "r4"}
    net.lost = lambda sender, receiver: {sender, receiver} == pair

    def check():
        assert {"r2", "r6", "r8"} <= net.alive("r1")
        view = net.routers["r1"].control.views.views_by_domain["d1"]
        assert {"r2", "r6", "r8"} <= {member.instance_id for member in view.members}

    net.advance(4.0, check)


def test_reader_counts_only_what_it_hears_itself():
    """Guards against two readers that keep a dead member alive for each other."""
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


def test_cut_between_failure_domains_heals():
    """Guards against views that stay unequal after a partition."""
    net = build_net()
    domain = {n: router.own.domain for n, router in net.routers.items()}
    net.lost = lambda sender, receiver: domain[sender] != domain[receiver]
    net.advance(3.0)
    assert net.alive("r1") == {n for n in domain if domain[n] == "d2"}
    net.lost = lambda sender, receiver: False
    net.list_instances()
    net.advance(3.0)
    for instance_id in net.routers:
        assert net.alive(instance_id) == set(net.routers)


def test_other_regions_are_heard_every_second():
    """Guards against heartbeats between regions at the pace of the lease."""
    net = build_net()
    for router in net.routers.values():
        far = "d1" if router.own.domain == "d2" else "d2"
        router.membership.far_domains = frozenset([far])
    net.advance(1.0)
    net.heartbeats.clear()

    def check():
        for instance_id in net.routers:
            assert net.alive(instance_id) == set(net.routers)

    net.advance(4.0, check)
    assert 3 <= sum(beat[:2] == ("r1", "r2") for beat in net.heartbeats) <= 5
    net.dead.add("r6")
    assert net.measure_seconds_until_dead("r1", ["r6"]) <= 3.5


def test_digest_covers_what_others_act_on():
    """Guards against changes of an instance that no digest shows."""
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
    ("change", "travels"),
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
def test_reports_travel_when_they_change(change, travels):
    """Guards against repeated reports, and against changes that are not sent."""
    reports = UpstreamReports("r1")
    first = build_report()
    assert reports.select_unconfirmed([first], "r9", 1.0) == [first]
    assert reports.select_unconfirmed([first], "r9", 1.2) == [first]
    reports.record_confirmed("r9", "1", [(first, 1.2)])
    changed = build_report(**change)
    assert bool(reports.select_unconfirmed([changed], "r9", 1.5)) is travels


def test_report_that_is_not_serving_is_repeated():
    """Guards against a cold or dead upstream forgotten by the coordinators."""
    reports = UpstreamReports("r1")
    report = build_report(state="cold")
    reports.record_confirmed("r9", "1", [(report, 1.0)])
    assert not reports.select_unconfirmed([report], "r9", 1.5)
    assert reports.select_unconfirmed([report], "r9", 2.0)


def test_restarted_peer_gets_all_reports():
    """Guards against reports that only the former run of a peer has got."""
    reports = UpstreamReports("r1")
    report = build_report()
    reports.record_confirmed("r9", "1", [(report, 1.0)])
    reports.record_confirmed("r9", "2", [])
    assert reports.select_unconfirmed([report], "r9", 1.5) == [report]


def test_serving_report_lasts_as_long_as_its_holder():
    """Guards against loads that vanish because they do not change."""
    reports = UpstreamReports("r1")
    reports.record([build_report(), build_report(upstream_id="b", state="cold")], 1.0)
    kept = reports.collect_current(lambda name: True, 60.0)
    assert [report.upstream_id for report in kept] == ["book-1"]
    assert reports.collect_current(lambda name: False, 61.0) == []


@pytest.mark.parametrize("seed", range(6))
def test_random_deaths_restarts_and_losses_converge(seed):
    """Guards against combinations of faults after which the views stay apart."""
    choices = random.Random(seed)
    net = build_net()
    runs_by_id = dict.fromkeys(net.routers, 1)
    for _ in range(12):
        share = choices.choice([0.0, 0.05, 0.2])
        net.lost = lambda sender, receiver, s=share: choices.random() < s
        name = choices.choice(sorted(net.routers))
        if name in net.dead or choices.random() < 0.3:
            runs_by_id[name] += 1
            domain = net.routers[name].own.domain
            net.start(name, domain, str(runs_by_id[name]))
            net.list_instances()
        elif len(net.dead) < 6:
            net.dead.add(name)
        net.advance(choices.choice([0.1, 0.5, 1.0, 2.0]))
    net.lost = lambda sender, receiver: False
    net.list_instances()
    net.advance(4.5)
    live = set(net.routers) - net.dead
    for instance_id in live:
        membership = net.routers[instance_id].membership
        assert net.alive(instance_id) == live
        for other in live:
            assert membership.find_incarnation(other) == str(runs_by_id[other])


@pytest.mark.parametrize("pause_s", [0.6, 0.9, 1.2, 5.0])
def test_reader_that_froze_and_returns_loses_no_members(pause_s):
    """Guards against a reader that takes its own pause for silence of the others."""
    net = build_net()
    net.list_instances()
    net.dead.add("r2")
    net.advance(pause_s)
    others = {"r4", "r6", "r8"}

    def check():
        assert others <= net.alive("r1")
        assert others <= net.alive("r3")

    net.resume("r2")
    net.advance(4.0, check)
    for instance_id in net.routers:
        assert net.alive(instance_id) == set(net.routers)


@pytest.mark.parametrize("cut_s", [0.6, 0.9, 1.2, 5.0])
def test_reader_that_was_cut_off_and_returns_loses_no_members(cut_s):
    """Guards against a reader whose lonely view replaces that of its stand-in."""
    net = build_net()
    net.list_instances()
    net.lost = lambda sender, receiver: "r2" in (sender, receiver)
    others = {"r4", "r6", "r8"}

    def check():
        assert others <= net.alive("r1")
        assert others <= net.alive("r3")

    net.advance(cut_s, check)
    net.lost = lambda sender, receiver: False
    net.advance(4.0, check)
    for instance_id in net.routers:
        assert net.alive(instance_id) == set(net.routers)


def test_reports_reach_the_coordinators_and_then_rest():
    """Guards against a report that stops at the reader, or is sent for ever."""
    net = build_net()
    holder = net.routers["r8"]
    net.routers["r1"].control.table = build_table(1, {}, [], coordinators=("r1", "r3"))
    net.routers["r2"].control.table = build_table(1, {}, [], coordinators=("r1", "r3"))
    report = build_report(holder="r8")
    # As if r8 had seen it itself: a heartbeat of its own carries it.
    holder.control.record_reports([report], net.now)
    net.advance(1.0)
    for coordinator in ("r1", "r3"):
        assert "book-1" in net.routers[coordinator].control.reports.reports_by_upstream
    net.heartbeats.clear()
    net.advance(1.0)
    assert not any(beat.reports for _, _, beat in net.heartbeats)
    net.advance(10.0)
    for coordinator in ("r1", "r3"):
        net.routers[coordinator].control.collect_reports(net.now)
        assert "book-1" in net.routers[coordinator].control.reports.reports_by_upstream
    net.dead.add("r8")
    net.advance(2.0)
    net.routers["r1"].control.collect_reports(net.now)
    assert "book-1" not in net.routers["r1"].control.reports.reports_by_upstream


def test_reports_reach_members_although_replies_are_lost():
    """Guards against a report that counts as sent in a reply that was lost."""
    net = HeartbeatNetwork({"r1": "d1", "r2": "d1"})
    net.advance(3.0)
    net.lost = lambda sender, receiver: (sender, receiver) == ("r1", "r2")
    net.routers["r1"].control.record_reports([build_report(holder="r1")], net.now)
    net.advance(0.4)
    reports = net.routers["r2"].control.reports_by_upstream
    assert "book-1" not in reports
    net.lost = lambda sender, receiver: False
    net.advance(1.6)
    assert "book-1" in reports
