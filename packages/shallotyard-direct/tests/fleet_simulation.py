"""Plays a fleet of instances in three regions that share the upstreams of a service."""

import heapq
import itertools
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
from shallotyard_direct import events
from shallotyard_direct.effects import Respond
from shallotyard_direct.effects import SendAttempt
from shallotyard_direct.key_table import KeyRange
from shallotyard_direct.key_table import KeyTable
from shallotyard_direct.load_reports import LoadAggregator
from shallotyard_direct.load_reports import find_saturated
from shallotyard_direct.model import MAX_KEY
from shallotyard_direct.model import NO_KEY
from shallotyard_direct.model import LoadReport
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
REPORT_PERIOD_S = 1.0
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
    :param keyed: whether each key has one owner; ranges of keys are equal.
    :param draw_key: function from a ``random.Random`` to the key of a call.
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
        **route_changes,
    ):
        self.rng = random.Random(seed)
        self.processing_s = processing_s
        self.draw_key = draw_key or (lambda rng: rng.randint(0, MAX_KEY))
        self.keyed = keyed
        self.scheduled = []
        self.order = itertools.count()
        self.calls_by_request_id = {}
        self.calls = []
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
            upstream_id: SPEEDS[number // len(domains) % len(SPEEDS)]
            for number, upstream_id in enumerate(self.upstreams_by_id)
        }
        self.running_by_id = dict.fromkeys(self.upstreams_by_id, 0)
        self.waiting_by_id = {i: [] for i in self.upstreams_by_id}
        self.route = build_route(**route_changes)
        self.aggregator = LoadAggregator()
        self.routers_by_domain = {
            domain: [
                self._start_instance(domain, number)
                for number in range(instances_per_domain)
            ]
            for domain in domains
        }

    def _start_instance(self, domain, number):
        settings = build_settings(
            f"{domain}-{number:03}", domain, region_by_domain=REGION_BY_DOMAIN
        )
        seed = self.rng.random()
        router = DirectRouter.from_settings(settings, "run", 0.0, seed)
        service = build_service(keyed=self.keyed)
        configuration = build_configuration([self.route], [service])
        upstreams = list(self.upstreams_by_id.values())
        reduce(router, events.ConfigurationReceived(0.0, configuration))
        reduce(router, events.UpstreamsListed(0.0, upstreams))
        if self.keyed:
            router.owners.apply_table(self._build_table(), 0.0)
        return router

    def _build_table(self):
        count = len(self.upstreams_by_id)
        bounds = [number * (MAX_KEY + 1) // count for number in range(count + 1)]
        ranges = [
            KeyRange(first, end - 1, upstream_id, 1, number + 1)
            for number, (first, end, upstream_id) in enumerate(
                zip(bounds, bounds[1:], self.upstreams_by_id, strict=False)
            )
        ]
        return KeyTable("status", 1, count + 1, tuple(ranges))

    def schedule(self, at, action):
        """Call a function with the time at a time, in seconds."""
        heapq.heappush(self.scheduled, (at, next(self.order), action))

    def run(self, per_s, seconds):
        """Let callers of all domains call at a rate for all together, until all calls
        have ended.
        """
        at = 0.0
        while at < seconds:
            at += self.rng.expovariate(per_s)
            domain = self.rng.choice(sorted(self.routers_by_domain))
            call = Call(domain, at, self.draw_key(self.rng) if self.keyed else NO_KEY)
            self.calls.append(call)
            self.schedule(at, self._build_try(call))
        for router in self._list_routers():
            offset_s = self.rng.random() * TICK_S
            for number in range(int((seconds + 3 * self.route.timeout_s) / TICK_S)):
                self.schedule(number * TICK_S + offset_s, self._build_tick(router))
            for number in range(int(seconds / REPORT_PERIOD_S)):
                report_at = (number + self.rng.random()) * REPORT_PERIOD_S
                self.schedule(report_at, self._build_report(router))
        while self.scheduled:
            at, _, action = heapq.heappop(self.scheduled)
            action(at)

    def _list_routers(self):
        return [r for routers in self.routers_by_domain.values() for r in routers]

    def compute_share(self, status, within_s=float("inf")):
        """Return the share of calls that ended with a status within a time."""
        ended = [
            call
            for call in self.calls
            if call.status == status and call.ended_at - call.began_at <= within_s
        ]
        return len(ended) / len(self.calls)

    def _build_tick(self, router):
        return lambda now: self._apply(router, Tick(now))

    def _build_report(self, router):
        def report(now):
            instance = router.settings.instance
            self.aggregator.apply_report(
                instance, router.reporter.build_report("granter"), now
            )
            saturated = find_saturated(self.aggregator, self.upstreams_by_id, now)
            self._apply(router, events.SaturationReported(now, saturated, {}, []))

        return report

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
        for effect in reduce(router, event):
            if isinstance(effect, SendAttempt):
                self._deliver(router, effect, event.now)
            elif isinstance(effect, Respond):
                self._end_try(effect, event.now)

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
        self.schedule(now + transit_s, self._build_arrival(router, attempt, transit_s))

    def _build_arrival(self, router, attempt, transit_s):
        def arrive(now):
            waiting = self.waiting_by_id[attempt.upstream_id]
            if self.running_by_id[attempt.upstream_id] < SLOTS:
                self._begin(router, attempt, transit_s, now)
            elif len(waiting) < QUEUE_LENGTH:
                waiting.append((router, attempt, transit_s))
            else:
                self.turned_away += 1
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
        self.schedule(now + work_s / self.speed_by_id[upstream_id], end)

    def _answer(self, router, attempt, transit_s, verdict, now):
        upstream_id = attempt.upstream_id
        load = LoadReport(
            self.running_by_id[upstream_id],
            len(self.waiting_by_id[upstream_id]),
            SLOTS,
        )

        def answer(now):
            status = 200 if verdict is Verdict.RAN else 503
            event = events.AttemptFinished(
                now, attempt.attempt_id, verdict, status=status, load=load
            )
            self._apply(router, event)

        self.schedule(now + transit_s, answer)
