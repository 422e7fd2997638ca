"""Simulation of key ownership with a store, upstreams and instances.

Time advances in small steps. Calls are delayed or lost, instances stop and restart, and
upstreams crash and restart. The store may return from an older copy. After each step it
is checked that no key is held twice, and with each grant that its fence is the highest
and that no other upstream still works on its keys.
"""

import heapq
import itertools
import random
from dataclasses import replace

from direct_builders import build_configuration
from direct_builders import build_route
from direct_builders import build_service
from direct_builders import build_settings
from direct_builders import build_upstream

from shallotyard_core.events import Tick
from shallotyard_direct import effects
from shallotyard_direct import events
from shallotyard_direct.events import WriteStatus
from shallotyard_direct.router import INSTANCES_KIND
from shallotyard_direct.router import DirectRouter
from shallotyard_direct.router import reduce

STEP_S = 0.05
NETWORK_DELAY_S = 0.02
# Clocks of upstreams run slow by this fraction.
MAX_CLOCK_DRIFT = 0.02
SERVICE = "status"


class Grantee:
    """One incarnation of an upstream, and the keys that it holds."""

    def __init__(self, upstream):
        self.upstream = upstream
        self.up = True
        self.granted_ranges = []
        self.fences = []
        # Ranges that were released while work on them was in progress, with the end of
        # that work.
        self.working_ranges = []

    def grant(self, first, last, fence, until):
        """Accept a grant unless a higher fence was accepted for one of its keys.

        :return: whether it was accepted.
        """
        for low, high, accepted_fence in self.fences:
            if low <= last and first <= high and accepted_fence > fence:
                return False
        self.fences.append((first, last, fence))
        self.granted_ranges.append((first, last, fence, until))
        return True

    def release(self, first, last):
        """Stop holding the keys of a range."""
        kept = []
        for low, high, fence, until in self.granted_ranges:
            if high < first or last < low:
                kept.append((low, high, fence, until))
                continue
            if low < first:
                kept.append((low, first - 1, fence, until))
            if last < high:
                kept.append((last + 1, high, fence, until))
        self.granted_ranges = kept

    def list_held_ranges(self, now):
        """Return the ranges that it holds now."""
        self.granted_ranges = [r for r in self.granted_ranges if r[3] > now]
        return (
            [(low, high) for low, high, _, _ in self.granted_ranges] if self.up else []
        )


class Simulation:
    """Instances, a store and upstreams with random faults.

    :param seed: seed of all random choices.
    :param instances: number of instances.
    :param upstreams: number of upstreams.
    :param reports_load: whether instances know each other and report their load.
    """

    def __init__(self, seed, instances=3, upstreams=4, reports_load=False):
        self.rng = random.Random(seed)
        self.report_rng = random.Random(seed)
        self.now = 100.0
        self.order = itertools.count()
        self.scheduled = []
        self.objects = {}
        self.revision = 1
        self.era = 1
        # Copies of the store: time, revision and objects.
        self.copies = []
        self.fenced_grants = []
        self.store_up = True
        self.lost_reply_probability = 0.0
        self.late_grant_probability = 0.0
        self.late_grant_delays_s = (1.0, 9.0)
        # The upstreams whose grants may be late, None for all.
        self.late_grant_ids = None
        self.disconnected = set()
        # Instances that the store refuses, and pairs of an instance and an upstream
        # that it cannot reach.
        self.refused = set()
        self.unreachable = set()
        # Longest time for which work goes on after a release, in seconds.
        self.max_work_s = 0.0
        # Time for which the granter freezes as its next renewal is answered.
        self.freeze_at_renewal_s = 0.0
        # Age of the copy from which the store returns at the next write of a table, and
        # whether it does so before the write.
        self.return_at_table_write = None
        self.frozen_until = {}
        self.routers = {}
        self.runs = itertools.count(1)
        self.instances = instances
        self.reports_load = reports_load
        self.grantees = {}
        self.listed = {}
        self.served = {}
        for number in range(upstreams):
            self.add_upstream(f"u{number}")
        for number in range(instances):
            self.start_instance(f"front-{number}")

    # Participants

    def add_upstream(self, upstream_id, started_ms=1, cold_s=0.0, entry_delay_s=0.0):
        """Start an upstream, which registers itself.

        :param cold_s: time for which it is cold, in seconds.
        :param entry_delay_s: time until its entry is in the store, in seconds.
        """
        upstream = build_upstream(
            upstream_id, SERVICE, started_ms=started_ms, cold_left_s=cold_s
        )
        grantee = self.grantees[upstream_id] = Grantee(upstream)

        def register():
            if self.grantees[upstream_id] is grantee:
                self.listed[upstream_id] = upstream
                self._broadcast(events.UpstreamChanged(0.0, upstream_id, upstream))

        if entry_delay_s:
            self.schedule(entry_delay_s, register)
        else:
            register()

    def crash_upstream(self, upstream_id):
        """Crash an upstream; its entry in the store expires later."""
        self.grantees[upstream_id].up = False
        self.schedule(2.6, lambda: self._expire_entry(upstream_id))

    def _expire_entry(self, upstream_id):
        if not self.grantees[upstream_id].up:
            self.listed.pop(upstream_id, None)
            self._broadcast(events.UpstreamChanged(0.0, upstream_id, None))

    def drain_upstream(self, upstream_id):
        """Mark an upstream as draining; it continues to serve."""
        upstream = replace(self.listed[upstream_id], leaving=True)
        self.listed[upstream_id] = upstream
        self._broadcast(events.UpstreamChanged(0.0, upstream_id, upstream))

    def restart_upstream(self, upstream_id, cold_s=0.0, entry_delay_s=0.0):
        """Start a new incarnation under the same id.

        :param cold_s: time for which it is cold, in seconds.
        :param entry_delay_s: time until its entry is in the store, in seconds.
        """
        started_ms = self.grantees[upstream_id].upstream.started_ms + 1
        self.add_upstream(upstream_id, started_ms, cold_s, entry_delay_s)

    def start_instance(self, name):
        """Start a new run of an instance."""
        settings = build_settings(name)
        run = f"{name}-run-{next(self.runs)}"
        router = DirectRouter.from_settings(settings, run, self.now, run)
        self.routers[name] = router
        self.frozen_until.pop(name, None)
        route = build_route()
        service = build_service(SERVICE, keyed=True)
        configuration = build_configuration([route], [service])
        self.deliver(name, events.ConfigurationReceived(self.now, configuration))
        listed = list(self.listed.values())
        self.deliver(name, events.UpstreamsListed(self.now, listed))
        if self.reports_load:
            members = {
                f"front-{number}": {"domain": "split", "address": f"front-{number}"}
                for number in range(self.instances)
            }
            event = events.RecordsListed(self.now, INSTANCES_KIND, members)
            self.deliver(name, event)

    def kill_instance(self, name):
        """Kill an instance without a shutdown."""
        del self.routers[name]

    def freeze_instance(self, name, seconds):
        """Freeze an instance; its events are delayed until it continues."""
        self.frozen_until[name] = self.now + seconds

    def _broadcast(self, event):
        for name in list(self.routers):
            if name not in self.disconnected:
                self.deliver(name, event)

    def return_store(self, age_s):
        """Let the store return from the newest copy that has at least an age.

        :param age_s: age in seconds.
        """
        self.copies = [c for c in self.copies if c[0] <= self.now - age_s]
        if not self.copies:
            return
        forgotten = self.objects.keys()
        _, self.revision, objects = self.copies[-1]
        self.objects = dict(objects)
        self.era += 1
        for name in list(self.routers):
            if name in self.disconnected:
                continue
            self.deliver(name, events.StoreReturned(0.0, self.era))
            for kind, record_name in sorted(forgotten):
                self._deliver_record(name, kind, record_name)

    def _deliver_record(self, name, kind, record_name):
        if kind not in ("key-tables", "granters"):
            return
        revision, value = self.objects.get((kind, record_name), (0, None))
        update = events.RecordReceived(
            0.0, kind, record_name, revision, value, self.era
        )
        self._reply(name, self.routers[name], NETWORK_DELAY_S, update)

    def _check_fence(self, upstream_id, started_ms, first, last, fence):
        """Raise AssertionError if a new grant has no higher fence than earlier owners.

        A renewal may reach the next incarnation of its owner, which holds nothing yet.
        """
        owner = (upstream_id, started_ms)
        grant = (first, last, fence, owner)
        if grant in self.fenced_grants:
            return
        for low, high, given, other in self.fenced_grants:
            is_renewal = other[0] == upstream_id and fence == given
            if other != owner and low <= last and first <= high and not is_renewal:
                assert fence > given, (
                    f"key {max(low, first)} at {self.now:.2f} s: {owner} with {fence},"
                    f" {other} had it with {given}"
                )
        self.fenced_grants.append(grant)

    # Simulated time

    def schedule(self, delay_s, action):
        """Schedule an action to run after a delay."""
        item = (self.now + delay_s, next(self.order), action)
        heapq.heappush(self.scheduled, item)

    def run(self, seconds):
        """Advance the time by some seconds, and check after each step."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            if not self.copies or self.now >= self.copies[-1][0] + 0.5:
                self.copies.append((self.now, self.revision, dict(self.objects)))
            while self.scheduled and self.scheduled[0][0] <= self.now:
                heapq.heappop(self.scheduled)[2]()
            for name in list(self.routers):
                if self.frozen_until.get(name, 0.0) <= self.now:
                    self.deliver(name, Tick(self.now))
            self.check()

    def check(self):
        """Raise AssertionError if a key is held twice."""
        ranges = []
        for upstream_id, grantee in self.grantees.items():
            ranges += [
                (a, b, upstream_id) for a, b in grantee.list_held_ranges(self.now)
            ]
        ranges.sort()
        end, owner = -1, ""
        for first, last, upstream_id in ranges:
            assert first > end or upstream_id == owner, (
                f"key {first} at {self.now:.2f} s: {owner} and {upstream_id}"
            )
            if last > end:
                end, owner = last, upstream_id

    def count_held_keys(self):
        """Return the number of keys that have an owner."""
        return sum(
            last - first + 1
            for first, last in {
                pair
                for g in self.grantees.values()
                for pair in g.list_held_ranges(self.now)
            }
        )

    # Effects

    def deliver(self, name, event):
        """Deliver an event to an instance, and carry out the effects."""
        router = self.routers.get(name)
        if router is None:
            return
        if self.frozen_until.get(name, 0.0) > self.now:
            wait_s = self.frozen_until[name] - self.now + STEP_S
            self.schedule(wait_s, lambda: self._deliver_late(name, router, event))
            return
        event.now = self.now
        for effect in reduce(router, event):
            handler = self._HANDLERS.get(type(effect))
            if handler is not None:
                handler(self, name, router, effect)

    def _deliver_late(self, name, router, event):
        if self.routers.get(name) is router:
            self.deliver(name, event)

    def _reply(self, name, router, delay_s, event):
        self.schedule(delay_s, lambda: self._deliver_late(name, router, event))

    def _store_answers(self, name):
        return (
            self.store_up and name not in self.disconnected and name not in self.refused
        )

    def _read(self, name, router, effect):
        if not self._store_answers(name):
            return
        revision, value = self.objects.get((effect.kind, effect.name), (0, None))
        event = events.RecordReceived(
            0.0, effect.kind, effect.name, revision, value, self.era
        )
        self._reply(name, router, 2 * NETWORK_DELAY_S, event)

    def _write(self, name, router, effect):
        began_at = self.now
        key = (effect.kind, effect.name)

        def build_result(status, revision=0, value=None):
            return events.RecordWritten(
                0.0, *key, effect.token, status, began_at, revision, value, self.era
            )

        if not self._store_answers(name):
            event = build_result(
                self.rng.choice((WriteStatus.FAILED, WriteStatus.UNCLEAR))
            )
            self._reply(name, router, 1.0, event)
            return
        lost = self.rng.random() < self.lost_reply_probability
        delay_s = self.rng.uniform(0.0, 4.0) if lost else NETWORK_DELAY_S

        def write():
            revision, value = self.objects.get(key, (0, None))
            if effect.revision is not None and effect.revision != revision:
                if not lost:
                    event = build_result(WriteStatus.CONFLICT, revision, value)
                    self._reply(name, router, NETWORK_DELAY_S, event)
                return
            self.revision += 1
            self.objects[key] = (self.revision, effect.value)
            if not lost:
                event = build_result(WriteStatus.DONE, self.revision)
                self._reply(name, router, NETWORK_DELAY_S, event)
                if effect.kind == "granters":
                    self._freeze_at_renewal(name)
            for other in list(self.routers):
                if (
                    effect.kind in ("key-tables", "granters")
                    and other not in self.disconnected
                ):
                    update = events.RecordReceived(
                        0.0, *key, self.revision, effect.value, self.era
                    )
                    self._reply(other, self.routers[other], NETWORK_DELAY_S, update)

        is_table = effect.kind == "key-tables"
        self.schedule(delay_s, lambda: self._apply_write(write, is_table))
        if lost:
            self._reply(name, router, 1.0, build_result(WriteStatus.UNCLEAR))

    def _grant(self, name, router, effect):
        if (name, effect.upstream_id) in self.unreachable:
            unsent = self.rng.random() < 0.5
            event = events.GrantFinished(0.0, effect.token, None, unsent)
            self._reply(name, router, 0.3 if unsent else 0.6, event)
            return
        grantee = self.grantees[effect.upstream_id]
        arrived_at = self.now + NETWORK_DELAY_S
        until = arrived_at + effect.ttl_s * (1 + MAX_CLOCK_DRIFT)
        late = self.rng.random() < self.late_grant_probability
        if self.late_grant_ids is not None:
            late = late and effect.upstream_id in self.late_grant_ids

        def apply():
            if self.grantees[effect.upstream_id] is not grantee or not grantee.up:
                accepted = None
            else:
                accepted = grantee.grant(effect.first, effect.last, effect.fence, until)
                if accepted and until > self.now:
                    self._check_work(grantee, effect.first, effect.last)
                if accepted and not late:
                    started_ms = grantee.upstream.started_ms
                    self._check_fence(
                        effect.upstream_id,
                        started_ms,
                        effect.first,
                        effect.last,
                        effect.fence,
                    )
            if not late:
                event = events.GrantFinished(0.0, effect.token, accepted)
                self._reply(name, router, NETWORK_DELAY_S, event)

        delay_s = self.rng.uniform(*self.late_grant_delays_s) if late else 0.0
        self.schedule(delay_s or NETWORK_DELAY_S, apply)
        if late:
            event = events.GrantFinished(0.0, effect.token, None)
            self._reply(name, router, 0.6, event)

    def _apply_write(self, write, is_table):
        """Apply a write, and let the store return before or after that of a table."""
        age_s, is_before = 0.0, False
        if is_table and self.return_at_table_write is not None:
            age_s, is_before = self.return_at_table_write
            self.return_at_table_write = None
        if age_s and is_before:
            self.return_store(age_s)
        write()
        if age_s and not is_before:
            self.return_store(age_s)

    def _freeze_at_renewal(self, name):
        """Freeze an instance as its renewal is answered, if that is due."""
        seconds, self.freeze_at_renewal_s = self.freeze_at_renewal_s, 0.0
        if seconds:
            self.schedule(NETWORK_DELAY_S, lambda: self.freeze_instance(name, seconds))

    def _check_work(self, grantee, first, last):
        """Raise AssertionError if another upstream still works on keys of a grant and
        its own grant of them would not have expired yet.
        """
        for upstream_id, other in self.grantees.items():
            if other is grantee or not other.up:
                continue
            for low, high, until in other.working_ranges:
                assert until <= self.now or high < first or last < low, (
                    f"key {max(low, first)} at {self.now:.2f} s is given while"
                    f" {upstream_id} works on it"
                )

    def _release(self, name, router, effect):
        if (name, effect.upstream_id) in self.unreachable:
            event = events.ReleaseFinished(0.0, effect.token, False)
            self._reply(name, router, effect.timeout_s, event)
            return
        grantee = self.grantees[effect.upstream_id]

        def apply():
            if not grantee.up:
                event = events.ReleaseFinished(0.0, effect.token, False)
                self._reply(name, router, 1.0, event)
                return
            work_s = self._begin_last_work(grantee, effect)
            grantee.release(effect.first, effect.last)
            if work_s > effect.timeout_s:
                event = events.ReleaseFinished(0.0, effect.token, False)
                self._reply(name, router, effect.timeout_s, event)
                return
            event = events.ReleaseFinished(0.0, effect.token, True, "handover")
            self._reply(name, router, max(0.1, work_s), event)

        self.schedule(NETWORK_DELAY_S, apply)

    def _begin_last_work(self, grantee, effect):
        """Let an upstream work on after a release, until its grants expire at most.

        :return: time for which it works on, in seconds.
        """
        if not self.max_work_s:
            return 0.0
        ends_at = self.now
        work_s = self.rng.uniform(0.0, self.max_work_s)
        for low, high, _, until in grantee.granted_ranges:
            first, last = max(low, effect.first), min(high, effect.last)
            if first <= last and until > self.now:
                work_until = min(until, self.now + work_s)
                grantee.working_ranges.append((first, last, work_until))
                ends_at = max(ends_at, work_until)
        for first, last, work_until in grantee.working_ranges:
            if first <= effect.last and effect.first <= last:
                ends_at = max(ends_at, work_until)
        return ends_at - self.now

    def revoke_keys(self, upstream_id):
        """Let an upstream lose all its keys by itself."""
        self.grantees[upstream_id].granted_ranges = []

    def _report_load(self, name, router, effect):
        """Deliver a load report, perhaps late, as instances may be slow."""
        instance, value = effect.instance, effect.value
        if instance in self.routers:
            delay_s = NETWORK_DELAY_S + self.report_rng.choice((0.0, 0.0, 1.0, 4.0))
            event = events.LoadReported(0.0, name, value)
            self._reply(instance, self.routers[instance], delay_s, event)

    _HANDLERS = {
        effects.ReportLoad: _report_load,
        effects.ReadRecord: _read,
        effects.WriteRecord: _write,
        effects.SendGrant: _grant,
        effects.SendRelease: _release,
    }
