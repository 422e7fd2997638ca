"""Simulation of one instance under load, with simulated upstreams."""

import heapq
import itertools
import random

from direct_builders import build_configuration
from direct_builders import build_request
from direct_builders import build_route
from direct_builders import build_service
from direct_builders import build_settings
from direct_builders import build_upstream

from shallotyard_core.events import Tick
from shallotyard_core.verdict import Verdict
from shallotyard_direct import events
from shallotyard_direct.accounts.model import digest_key
from shallotyard_direct.effects import Respond
from shallotyard_direct.effects import SendAttempt
from shallotyard_direct.model import LoadReport
from shallotyard_direct.router import DirectRouter
from shallotyard_direct.router import reduce

MEAN_PROCESSING_S = 0.1
SLOTS = 4
UPSTREAMS = 4
# Slots plus queue length of an upstream; it never answers requests beyond these.
QUEUE_AND_SLOTS = 20


class LoadSimulation:
    """One instance under load, with simulated upstreams.

    :param seed: seed of arrivals.
    :param accounts: client accounts of the configuration, None for none.
    """

    def __init__(self, seed, accounts=None):
        self.rng = random.Random(seed)
        self.router = DirectRouter.from_settings(build_settings(), "run", 0.0, seed)
        routes = [
            build_route("/lookup/", "status", priority=2),
            build_route("/invoice/", "status", priority=0, idempotent=False),
        ]
        configuration = build_configuration(
            routes, [build_service()], accounts=accounts
        )
        upstreams = [build_upstream(f"u{n}", slots=SLOTS) for n in range(UPSTREAMS)]
        reduce(self.router, events.ConfigurationReceived(0.0, configuration))
        reduce(self.router, events.UpstreamsListed(0.0, upstreams))
        # The queue must get all requests; quotas have a simulation of their own.
        self.router.dispatcher.quotas.uses_by_account.clear()
        self.busy = {u.upstream_id: 0 for u in upstreams}
        self.queues = {u.upstream_id: [] for u in upstreams}
        self.scheduled = []
        self.order = itertools.count()
        self.arrived = {}
        self.results = {}
        self.max_at_upstream = 0

    def schedule(self, time, action):
        """Schedule an action for a simulated time."""
        heapq.heappush(self.scheduled, (time, next(self.order), action))

    def run(self, rate, seconds, invoice_fraction=0.2):
        """Submit requests at a rate per second, and run until all have ended."""
        now = 0.0
        for number in itertools.count():
            now += self.rng.expovariate(rate)
            if now > seconds:
                break
            kind = "invoice" if self.rng.random() < invoice_fraction else "lookup"
            self.schedule(now, self._build_arrival(f"{kind}-{number}", kind))
        self._run_scheduled(seconds)

    def run_accounts(self, rate_by_id, seconds):
        """Submit requests of client accounts, each at its rate per second, whose keys
        are their ids, and run until all have ended.
        """
        for account_id, rate in rate_by_id.items():
            now = 0.0
            for number in itertools.count():
                now += self.rng.expovariate(rate)
                if now > seconds:
                    break
                request_id = f"{account_id}/{number}"
                digest = digest_key(account_id.encode())
                arrival = self._build_arrival(request_id, "lookup", digest)
                self.schedule(now, arrival)
        self._run_scheduled(seconds)

    def _run_scheduled(self, seconds):
        for tick in range(int((seconds + 4) / 0.05)):
            self.schedule(tick * 0.05, lambda now: self._apply(Tick(now), now))
        while self.scheduled:
            now, _, action = heapq.heappop(self.scheduled)
            action(now)

    def _build_arrival(self, request_id, kind, key_digest=""):
        def run_action(now):
            self.arrived[request_id] = now
            request = build_request(request_id, f"/{kind}/1", key_digest=key_digest)
            self._apply(events.RequestArrived(now, request), now)

        return run_action

    def _apply(self, event, now):
        for effect in reduce(self.router, event):
            if isinstance(effect, SendAttempt):
                self._accept(effect, now)
            elif isinstance(effect, Respond):
                latency_s = now - self.arrived[effect.request_id]
                self.results[effect.request_id] = (effect.status, latency_s)

    def _accept(self, attempt, now):
        self.queues[attempt.upstream_id].append(attempt)
        at_upstream = self.busy[attempt.upstream_id] + len(
            self.queues[attempt.upstream_id]
        )
        self.max_at_upstream = max(self.max_at_upstream, at_upstream)
        self._process_queue(attempt.upstream_id, now)

    def _process_queue(self, upstream_id, now):
        queue = self.queues[upstream_id]
        while queue and self.busy[upstream_id] < SLOTS:
            attempt = queue.pop(0)
            self.busy[upstream_id] += 1
            duration_s = MEAN_PROCESSING_S * self.rng.uniform(0.5, 1.5)
            self.schedule(now + duration_s, self._build_end(attempt, upstream_id))

    def _build_end(self, attempt, upstream_id):
        def run_action(now):
            self.busy[upstream_id] -= 1
            load = LoadReport(
                self.busy[upstream_id], len(self.queues[upstream_id]), SLOTS
            )
            event = events.AttemptFinished(
                now, attempt.attempt_id, Verdict.RAN, status=200, load=load
            )
            self._apply(event, now)
            self._process_queue(upstream_id, now)

        return run_action

    def compute_success_ratio(self, kind, within_s):
        """Return the fraction of a kind's requests that succeeded within a time."""
        ids = [i for i in self.arrived if i.startswith(kind)]
        succeeded = sum(
            self.results[i][0] == 200 and self.results[i][1] <= within_s for i in ids
        )
        return succeeded / len(ids)
