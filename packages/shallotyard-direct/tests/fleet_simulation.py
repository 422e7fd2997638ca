"""Plays a fleet of instances in three regions that share the upstreams of a service."""

import gzip
import heapq
import itertools
import json
import random
from dataclasses import dataclass

from direct_builders import build_configuration
from direct_builders import build_request
from direct_builders import build_route
from direct_builders import build_service
from direct_builders import build_settings
from direct_builders import build_upstream

from shallotyard_core.events import Tick
from shallotyard_core.verdict import Verdict
from shallotyard_direct import effects
from shallotyard_direct import events
from shallotyard_direct.events import WriteStatus
from shallotyard_direct.model import MAX_KEY
from shallotyard_direct.model import NO_KEY
from shallotyard_direct.model import LoadReport
from shallotyard_direct.router import INSTANCES_KIND
from shallotyard_direct.router import DirectRouter
from shallotyard_direct.router import reduce

REGION_BY_DOMAIN = {
    f"{region}-{part}": region
    for region in ("east", "south", "west")
    for part in ("a", "b")
}
SLOTS = 4
QUEUE_LENGTH = 16
# Upstreams of one service differ in speed.
SPEEDS = (0.5, 1.0, 1.0, 1.5)
IN_DOMAIN_TRANSIT_S = 0.0002
CROSS_DOMAIN_TRANSIT_S = 0.0009
CROSS_REGION_TRANSIT_S = 0.03
TICK_S = 0.05
STORE_DELAY_S = 0.03
# Time after which a grant without an answer fails.
UNANSWERED_S = 0.6
# Time for the lease and the first grants, before the first call.
PREPARATION_S = 6.0
# On shared machines, work takes this much longer for such periods.
NOISE_SLOWDOWN = 3.0
NOISE_PERIOD_S = 0.4
# Tries of a caller, and the fraction of its time left that it waits between them.
MAX_TRIES = 3
MAX_WAIT_FRACTION = 1 / 3


@dataclass(slots=True)
class Call:
    """What one caller asks for, over all its tries.

    :param began_at: time of the first try, in seconds.
    :param status: status of the last answer, 0 without one.
    """

    domain: str
    began_at: float
    key: int
    tries: int = 0
    status: int = 0
    ended_at: float = 0.0


class FleetSimulation:
    """Instances, upstreams and callers in six failure domains of three regions.

    :param instances_per_domain: number of instances in each failure domain.
    :param upstreams_per_domain: number of upstreams in each failure domain.
    :param processing_s: mean processing time at speed 1, in seconds.
    :param keyed: whether each key has one owner; one of the instances grants keys.
    :param draw_key: function from a ``random.Random`` to the key of a call.
    :param speeds: speeds of the upstreams of each failure domain, in turn.
    :param knee: factor by which work takes longer that begins with more than half of
        the slots in use.
    :param noise: share of the periods in which work takes `NOISE_SLOWDOWN` times as
        long, which upstreams report.
    :param is_silent_when_full: whether a request beyond the queue gets no response.
    :param times_out: whether requests without a response end at their deadline.
    :param settings: settings that differ from `build_settings`.
    :param route_changes: fields of the route that differ from `build_route`.
    """

    def __init__(
        self,
        seed,
        instances_per_domain,
        upstreams_per_domain,
        processing_s,
        keyed=False,
        draw_key=None,
        speeds=SPEEDS,
        knee=1.0,
        noise=0.0,
        is_silent_when_full=False,
        times_out=False,
        settings=None,
        **route_changes,
    ):
        self.rng = random.Random(seed)
        self.noise_rng = random.Random(seed)
        self.processing_s = processing_s
        self.draw_key = draw_key or (lambda rng: rng.randint(0, MAX_KEY))
        self.keyed = keyed
        self.knee = knee
        self.noise = noise
        self.is_silent_when_full = is_silent_when_full
        self.times_out = times_out
        self.settings_changes = settings or {}
        self.noise_by_period = {}
        self.send_times_by_id = {}
        self.longest_queue = 0
        # Load reports and replies: time, bytes of JSON, bytes with compression.
        self.report_sizes = []
        self.scheduled = []
        self.order = itertools.count()
        self.calls_by_request_id = {}
        self.calls = []
        self.revision = 0
        self.records = {}
        # Time that work takes at an upstream, relative to its usual time.
        self.slowdown_by_id = {}
        self.held_ranges_by_id = {}
        # Upstreams that the granter cannot reach.
        self.unreachable_ids = set()
        self.misdirected = 0
        self.moved_keys = 0
        self.sends_by_distance = {"domain": 0, "region": 0, "other": 0}
        self.turned_away = 0
        domains = sorted(REGION_BY_DOMAIN)
        self.upstreams_by_id = {
            f"u-{domain}-{number}": build_upstream(
                f"u-{domain}-{number}", domain=domain, slots=SLOTS
            )
            for number in range(upstreams_per_domain)
            for domain in domains
        }
        self.speed_by_id = {
            upstream_id: speeds[number // len(domains) % len(speeds)]
            for number, upstream_id in enumerate(self.upstreams_by_id)
        }
        self.running_by_id = dict.fromkeys(self.upstreams_by_id, 0)
        self.waiting_by_id = {i: [] for i in self.upstreams_by_id}
        self.route = build_route(**route_changes)
        self.routers_by_address = {}
        self.routers_by_domain = {
            domain: [
                self._start_instance(domain, number)
                for number in range(instances_per_domain)
            ]
            for domain in domains
        }

    def _start_instance(self, domain, number):
        settings = build_settings(
            f"{domain}-{number:03}",
            domain,
            region_by_domain=REGION_BY_DOMAIN,
            **self.settings_changes,
        )
        seed = self.rng.random()
        incarnation = f"run-{settings.instance}"
        router = DirectRouter.from_settings(settings, incarnation, 0.0, seed)
        service = build_service(keyed=self.keyed)
        configuration = build_configuration([self.route], [service])
        upstreams = list(self.upstreams_by_id.values())
        reduce(router, events.ConfigurationReceived(0.0, configuration))
        reduce(router, events.UpstreamsListed(0.0, upstreams))
        self.routers_by_address[settings.instance] = router
        return router

    def schedule(self, at, action):
        """Call a function with the time at a time, in seconds."""
        heapq.heappush(self.scheduled, (at, next(self.order), action))

    def run(self, per_s, seconds):
        """Let callers of all domains call at a rate for all together, until all calls
        have ended.
        """
        begin = PREPARATION_S if self.keyed or self.settings_changes else 0.0
        end = begin + seconds
        at = begin
        while at < end:
            at += self.rng.expovariate(per_s)
            domain = self.rng.choice(sorted(self.routers_by_domain))
            call = Call(domain, at, self.draw_key(self.rng) if self.keyed else NO_KEY)
            self.calls.append(call)
            self.schedule(at, self._build_try(call))
        members = {
            router.settings.instance: {
                "domain": router.settings.domain,
                "address": router.settings.instance,
            }
            for router in self.list_routers()
        }
        for router in self.list_routers():
            reduce(router, events.RecordsListed(0.0, INSTANCES_KIND, members))
            offset_s = self.rng.random() * TICK_S
            for number in range(int((end + 3 * self.route.timeout_s) / TICK_S)):
                self.schedule(number * TICK_S + offset_s, self._build_tick(router))
        while self.scheduled:
            at, _, action = heapq.heappop(self.scheduled)
            action(at)

    def list_routers(self):
        """Return all instances."""
        return [r for routers in self.routers_by_domain.values() for r in routers]

    def compute_share(self, status, within_s=float("inf"), since=0.0):
        """Return the share of calls that ended with a status within a time.

        :param since: time from which calls are counted, in seconds.
        """
        calls = [call for call in self.calls if call.began_at >= since]
        ended = [
            call
            for call in calls
            if call.status == status and call.ended_at - call.began_at <= within_s
        ]
        return len(ended) / len(calls)

    def _build_tick(self, router):
        return lambda now: self._apply(router, Tick(now))

    def _build_try(self, call):
        def try_once(now):
            call.tries += 1
            request_id = f"r{len(self.calls_by_request_id)}"
            self.calls_by_request_id[request_id] = call
            left_s = call.began_at + self.route.timeout_s - now
            request = build_request(request_id, key=call.key, caller_timeout_s=left_s)
            router = self.rng.choice(self.routers_by_domain[call.domain])
            self._apply(router, events.RequestArrived(now, request))

        return try_once

    def _apply(self, router, event):
        now = event.now
        for effect in reduce(router, event):
            if isinstance(effect, effects.SendAttempt):
                self._deliver(router, effect, now)
            elif isinstance(effect, effects.Respond):
                self._end_try(effect, now)
            elif isinstance(effect, effects.ReportLoad):
                self._report_load(router, effect, now)
            elif isinstance(effect, effects.ReplyToLoadReport):
                self.reply = effect
            elif isinstance(effect, effects.ReadRecord):
                self._read(router, effect, now)
            elif isinstance(effect, effects.WriteRecord):
                self._write(router, effect, now)
            elif isinstance(effect, effects.SendGrant):
                self._grant(router, effect, now)
            elif isinstance(effect, effects.SendRelease):
                self._release(router, effect, now)

    def _schedule_event(self, at, router, event):
        self.schedule(at, lambda now: self._apply(router, event))

    def _report_load(self, router, effect, now):
        instance = router.settings.instance
        self.reply = None
        event = events.LoadReported(now, instance, effect.value)
        self._apply(self.routers_by_address[effect.address], event)
        reply, at = self.reply, now + CROSS_REGION_TRANSIT_S
        self._measure_report(effect.value, now, effect.value)
        if reply is not None:
            values = (reply.in_flight, reply.rates_by_id, reply.leaving, reply.capacity)
            names = ("in_flight", "rates", "leaving", "capacity")
            self._measure_report(
                dict(zip(names, values, strict=True)), now, ("capacity",)
            )
            event = events.SaturationReported(at, *values[:3], capacity=values[3])
            self._schedule_event(at, router, event)

    def _measure_report(self, value, now, optional):
        """Measure a report or reply as JSON, and as it is sent with learned limits:
        without empty optional fields, and compressed if that makes it shorter.
        """
        # The field is left out without learned limits.
        if not value.get("capacity"):
            value = {k: part for k, part in value.items() if k != "capacity"}
        size = len(json.dumps(value, separators=(",", ":")))
        value = {k: part for k, part in value.items() if part or k not in optional}
        message = json.dumps(value, separators=(",", ":")).encode()
        sent_size = min(len(message), len(gzip.compress(message)))
        self.report_sizes.append((now, size, sent_size))

    def _read(self, router, effect, now):
        at = now + STORE_DELAY_S
        record = self.records.get((effect.kind, effect.name), (0, None))
        event = events.RecordReceived(at, effect.kind, effect.name, *record)
        self._schedule_event(at, router, event)

    def _write(self, router, effect, now):
        key, at = (effect.kind, effect.name), now + STORE_DELAY_S
        record = self.records.get(key, (0, None))
        is_conflict = effect.revision is not None and effect.revision != record[0]
        if not is_conflict:
            self.revision += 1
            record = self.records[key] = (self.revision, effect.value)
            for other in self.list_routers():
                event = events.RecordReceived(at, *key, *record)
                self._schedule_event(at, other, event)
        status = WriteStatus.CONFLICT if is_conflict else WriteStatus.DONE
        event = events.RecordWritten(at, *key, effect.token, status, now, *record)
        self._schedule_event(at, router, event)

    def lose_keys(self, upstream_id):
        """Let an upstream lose its keys, out of reach of the granter."""
        self.unreachable_ids.add(upstream_id)
        self.held_ranges_by_id[upstream_id] = set()

    def _grant(self, router, effect, now):
        if effect.upstream_id in self.unreachable_ids:
            at = now + UNANSWERED_S
            event = events.GrantFinished(at, effect.token, None)
            self._schedule_event(at, router, event)
            return
        self.held_ranges_by_id.setdefault(effect.upstream_id, set()).add(
            (effect.first, effect.last)
        )
        at = now + CROSS_REGION_TRANSIT_S
        self._schedule_event(at, router, events.GrantFinished(at, effect.token, True))

    def _release(self, router, effect, now):
        if effect.upstream_id in self.unreachable_ids:
            at = now + effect.timeout_s
            event = events.ReleaseFinished(at, effect.token, False)
            self._schedule_event(at, router, event)
            return
        held = self.held_ranges_by_id[effect.upstream_id]
        self.moved_keys += effect.last - effect.first + 1
        kept = set()
        for first, last in held:
            if last < effect.first or effect.last < first:
                kept.add((first, last))
                continue
            if first < effect.first:
                kept.add((first, effect.first - 1))
            if effect.last < last:
                kept.add((effect.last + 1, last))
        self.held_ranges_by_id[effect.upstream_id] = kept
        at = now + 2 * CROSS_REGION_TRANSIT_S
        event = events.ReleaseFinished(at, effect.token, True, "handover")
        self._schedule_event(at, router, event)

    def _holds(self, upstream_id, key):
        held = self.held_ranges_by_id.get(upstream_id, ())
        return not self.keyed or any(first <= key <= last for first, last in held)

    def _end_try(self, response, now):
        call = self.calls_by_request_id[response.request_id]
        call.status, call.ended_at = response.status, now
        left_s = call.began_at + self.route.timeout_s - now
        wait_s = min(response.retry_after_s, left_s * MAX_WAIT_FRACTION)
        if response.status == 503 and call.tries < MAX_TRIES and left_s > 0:
            self.schedule(now + wait_s, self._build_try(call))

    def _deliver(self, router, attempt, now):
        own, domain = (
            router.settings.domain,
            self.upstreams_by_id[attempt.upstream_id].domain,
        )
        if own == domain:
            distance, transit_s = "domain", IN_DOMAIN_TRANSIT_S
        elif REGION_BY_DOMAIN[own] == REGION_BY_DOMAIN[domain]:
            distance, transit_s = "region", CROSS_DOMAIN_TRANSIT_S
        else:
            distance, transit_s = "other", CROSS_REGION_TRANSIT_S
        self.sends_by_distance[distance] += 1
        self.send_times_by_id.setdefault(attempt.upstream_id, []).append(now)
        if self.times_out:
            event = events.AttemptFinished(
                attempt.deadline, attempt.attempt_id, Verdict.MAY_HAVE_RUN
            )
            self._schedule_event(attempt.deadline, router, event)
        self.schedule(now + transit_s, self._build_arrival(router, attempt, transit_s))

    def _build_arrival(self, router, attempt, transit_s):
        def arrive(now):
            waiting = self.waiting_by_id[attempt.upstream_id]
            if not self._holds(attempt.upstream_id, attempt.request.key):
                self.misdirected += 1
                self._answer(router, attempt, transit_s, Verdict.NOT_RUN, now, 421)
            elif self.running_by_id[attempt.upstream_id] < SLOTS:
                self._begin(router, attempt, transit_s, now)
            elif len(waiting) < QUEUE_LENGTH:
                waiting.append((router, attempt, transit_s))
                self.longest_queue = max(self.longest_queue, len(waiting))
            else:
                self.turned_away += 1
                if self.is_silent_when_full:
                    return
                self._answer(router, attempt, transit_s, Verdict.NOT_RUN, now)

        return arrive

    def _begin(self, router, attempt, transit_s, now):
        upstream_id = attempt.upstream_id

        def end(now):
            self.running_by_id[upstream_id] -= 1
            self._answer(router, attempt, transit_s, Verdict.RAN, now)
            if self.waiting_by_id[upstream_id]:
                self._begin(*self.waiting_by_id[upstream_id].pop(0), now)

        self.running_by_id[upstream_id] += 1
        work_s = self.processing_s * self.rng.uniform(0.4, 1.6)
        work_s *= self.slowdown_by_id.get(upstream_id, 1.0)
        work_s /= self.speed_by_id[upstream_id]
        if self.running_by_id[upstream_id] > SLOTS / 2:
            work_s *= self.knee
        self.schedule(self._find_end(upstream_id, now, work_s), end)

    def _get_noise(self, upstream_id, at):
        """Return the factor by which work takes longer at a time."""
        if not self.noise:
            return 1.0
        key = upstream_id, int(at / NOISE_PERIOD_S)
        if key not in self.noise_by_period:
            is_slow = self.noise_rng.random() < self.noise
            self.noise_by_period[key] = NOISE_SLOWDOWN if is_slow else 1.0
        return self.noise_by_period[key]

    def _find_end(self, upstream_id, at, work_s):
        """Return the end of work that begins at a time, in seconds."""
        while self.noise:
            factor = self._get_noise(upstream_id, at)
            period_ends_at = (int(at / NOISE_PERIOD_S) + 1) * NOISE_PERIOD_S
            done_s = (period_ends_at - at) / factor
            if done_s >= work_s:
                return at + work_s * factor
            work_s -= done_s
            at = period_ends_at + 1e-9
        return at + work_s

    def _answer(self, router, attempt, transit_s, verdict, now, status=503):
        upstream_id = attempt.upstream_id
        load = LoadReport(
            self.running_by_id[upstream_id],
            len(self.waiting_by_id[upstream_id]),
            SLOTS,
            self._get_noise(upstream_id, now),
        )

        def answer(now):
            event = events.AttemptFinished(
                now,
                attempt.attempt_id,
                verdict,
                status=200 if verdict is Verdict.RAN else status,
                load=None if status == 421 else load,
                misdirected=status == 421,
            )
            self._apply(router, event)

        self.schedule(now + transit_s, answer)
