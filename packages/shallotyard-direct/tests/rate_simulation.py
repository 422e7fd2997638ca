"""Plays instances that send to upstreams that name a rate."""

import heapq
import itertools
import random

from direct_builders import build_configuration
from direct_builders import build_request
from direct_builders import build_service
from direct_builders import build_settings
from direct_builders import build_upstream

from shallotyard_core.events import Tick
from shallotyard_core.verdict import Verdict
from shallotyard_direct import effects
from shallotyard_direct import events
from shallotyard_direct import granter_lease
from shallotyard_direct.router import INSTANCES_KIND
from shallotyard_direct.router import DirectRouter
from shallotyard_direct.router import reduce

LATENCY_S = 0.03
PROCESSING_S = 0.1


class RateSimulation:
    """Instances with one service, and a store that holds the granter's record only.

    :param instance_count: number of instances; the first one becomes the granter.
    :param rate_by_id: rate that each upstream names, None for none.
    """

    def __init__(self, seed, instance_count, rate_by_id):
        self.rng = random.Random(seed)
        self.rate_by_id = rate_by_id
        self.scheduled = []
        self.order = itertools.count()
        self.lease_revision = 0
        self.lease_value = None
        self.sends_by_id = {upstream_id: [] for upstream_id in rate_by_id}
        self.statuses = []
        self.permit_requests_by_token = {}
        # Instances that cannot reach others, by number.
        self.cut = set()
        self.routers = [
            self._start_instance(number, instance_count)
            for number in range(instance_count)
        ]

    def _start_instance(self, number, instance_count):
        settings = build_settings(f"front-{number:03}")
        router = DirectRouter.from_settings(settings, f"run-{number}", 0.0, number)
        configuration = build_configuration(services=[build_service()])
        upstreams = [build_upstream(i, slots=50) for i in self.rate_by_id]
        members = {
            f"front-{n:03}": {"domain": "split", "address": str(n)}
            for n in range(instance_count)
        }
        reduce(router, events.ConfigurationReceived(0.0, configuration))
        reduce(router, events.UpstreamsListed(0.0, upstreams))
        reduce(router, events.RecordsListed(0.0, INSTANCES_KIND, members))
        return router

    def schedule(self, at, action):
        """Call a function with the time at a time."""
        heapq.heappush(self.scheduled, (at, next(self.order), action))

    def run(self, seconds, per_s):
        """Submit requests to random instances, at a rate for all together."""
        at = 0.0
        for request in itertools.count():
            at += self.rng.expovariate(per_s)
            if at > seconds:
                break
            # Few instances get most requests, as callers are spread unevenly.
            number = int(len(self.routers) * self.rng.random() ** 2)
            event = events.RequestArrived(at, build_request(f"r{request}"))
            self._schedule_event(at, number, event)
        for tick in range(int(seconds / 0.05)):
            for number in range(len(self.routers)):
                at = tick * 0.05 + number * 0.0001
                self._schedule_event(at, number, Tick(at))
        while self.scheduled:
            at, _, action = heapq.heappop(self.scheduled)
            action(at)

    def _schedule_event(self, at, number, event):
        self.schedule(at, lambda now: self._apply(number, event))

    def _apply(self, number, event):
        now = event.now
        for effect in reduce(self.routers[number], event):
            if isinstance(effect, effects.SendAttempt):
                self._answer(number, effect, now)
            elif isinstance(effect, effects.Respond):
                self.statuses.append(effect.status)
            elif isinstance(effect, effects.RequestPermits):
                self._request_permits(number, effect, now)
            elif isinstance(effect, effects.IssuePermits):
                self._answer_permit_request(effect, now)
            elif isinstance(effect, effects.ReportLoad):
                self._report_load(number, effect, now)
            elif isinstance(effect, effects.ReplyToLoadReport):
                self.reply = effect
            elif isinstance(effect, effects.ReadRecord | effects.WriteRecord):
                self._call_store(number, effect, now)

    def _answer(self, number, effect, now):
        self.sends_by_id[effect.upstream_id].append(now + LATENCY_S)
        ended_at = now + 2 * LATENCY_S + PROCESSING_S
        event = events.AttemptFinished(
            ended_at,
            effect.attempt_id,
            Verdict.RAN,
            status=200,
            rate_limit=self.rate_by_id[effect.upstream_id],
            rate_limit_known=True,
        )
        self._schedule_event(ended_at, number, event)

    def _request_permits(self, number, effect, now):
        target = int(effect.address)
        if {number, target} & self.cut:
            return

        token = f"{next(self.order)}"
        self.permit_requests_by_token[token] = (number, effect.requested_at)
        at = now + LATENCY_S
        event = events.PermitsRequested(at, token, effect.wanted)
        self._schedule_event(at, target, event)

    def _answer_permit_request(self, effect, now):
        number, requested_at = self.permit_requests_by_token.pop(effect.token)
        if effect.count_by_id is not None and number not in self.cut:
            at = now + LATENCY_S
            event = events.PermitsIssued(at, requested_at, effect.count_by_id)
            self._schedule_event(at, number, event)

    def _report_load(self, number, effect, now):
        target = int(effect.address)
        if {number, target} & self.cut:
            return
        self.reply = None
        instance = self.routers[number].settings.instance
        self._apply(target, events.LoadReported(now, instance, effect.value))
        if self.reply is not None:
            at = now + 2 * LATENCY_S
            event = events.SaturationReported(
                at, self.reply.in_flight, self.reply.rates_by_id
            )
            self._schedule_event(at, number, event)

    def _call_store(self, number, effect, now):
        if effect.kind != granter_lease.KIND or number in self.cut:
            return
        if isinstance(effect, effects.ReadRecord):
            event = events.RecordReceived(
                now, effect.kind, effect.name, self.lease_revision, self.lease_value
            )
        elif effect.revision == self.lease_revision:
            self.lease_revision += 1
            self.lease_value = effect.value
            event = events.RecordWritten(
                now,
                effect.kind,
                effect.name,
                effect.token,
                events.WriteStatus.DONE,
                now,
                self.lease_revision,
            )
        else:
            event = events.RecordWritten(
                now,
                effect.kind,
                effect.name,
                effect.token,
                events.WriteStatus.CONFLICT,
                now,
                self.lease_revision,
                self.lease_value,
            )
        self._schedule_event(now, number, event)

    def find_granter(self, now):
        """Return the number of the instance that grants, None if none does."""
        for number, router in enumerate(self.routers):
            if router.granter.lease.is_held(now):
                return number
        return None


def count_in_windows(times, since, window_s):
    """Return the largest number of times in any window that begins after a time."""
    times = sorted(at for at in times if at >= since)
    return max(
        (sum(1 for t in times if at <= t < at + window_s) for at in times), default=0
    )
