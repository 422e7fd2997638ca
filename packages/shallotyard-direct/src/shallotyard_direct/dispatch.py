"""The way of a request: route, wait for room, send, try again, respond."""

import math
import random
from dataclasses import dataclass
from dataclasses import field

from shallotyard_core.effects import LogDecision
from shallotyard_core.exceptions import InvariantError
from shallotyard_core.verdict import Verdict
from shallotyard_core.verdict import combine_verdicts
from shallotyard_direct.admission import UpstreamLoad
from shallotyard_direct.admission import cold_share
from shallotyard_direct.admission import has_cold_room
from shallotyard_direct.admission import has_room
from shallotyard_direct.crash_marks import CrashMarks
from shallotyard_direct.crash_marks import fingerprint
from shallotyard_direct.effects import AbandonAttempt
from shallotyard_direct.effects import CheckConfiguration
from shallotyard_direct.effects import Respond
from shallotyard_direct.effects import SendAttempt
from shallotyard_direct.model import NO_KEY
from shallotyard_direct.model import Request
from shallotyard_direct.model import Route
from shallotyard_direct.responses import Refusal
from shallotyard_direct.responses import build_refusal
from shallotyard_direct.retry_budget import RetryBudget
from shallotyard_direct.selection import choose_upstream
from shallotyard_direct.selection import distance_penalty
from shallotyard_direct.selection import expected_latency
from shallotyard_direct.traffic_split import TrafficSplit
from shallotyard_direct.waiting import WaitingRequests
from shallotyard_direct.waiting import max_wait
from shallotyard_direct.waiting import retry_after

# Pause before an owner that refused a key is asked again.
MISDIRECTED_PAUSE_S = 0.15
# Keys without a usable owner are back after about this time: detection, the
# rest of the hold and the new grant.
OWNER_LOSS_S = 1.0
# Way to an upstream and back, in the own region and to another one.
NEAR_TRAVEL_S = 0.002
FAR_TRAVEL_S = 0.06
# With less time left, a request could not be processed any more.
MIN_ATTEMPT_S = 0.02
# Callers that find an instance without configuration come back after this time.
UNCONFIGURED_RETRY_S = 0.5
# Another instance can serve at once what a stopping one refuses.
STOPPING_RETRY_S = 0.05


@dataclass(slots=True, eq=False)
class Pending:
    """A request without a response yet.

    :param expires_at: when the route's timeout or the caller's patience ends.
    :param tried: upstreams that it was sent to.
    :param runs: attempts that may have run.
    :param verdict: combined verdict of the attempts so far.
    """

    request: Request
    arrived_at: float
    route: Route | None = None
    service_id: str = ""
    expires_at: float = 0.0
    queue_name: str = ""
    attempt_id: str = ""
    tried: set[str] = field(default_factory=set)
    runs: int = 0
    sends: int = 0
    verdict: Verdict = Verdict.NOT_RUN
    refusal: Refusal = Refusal.SATURATED


@dataclass(slots=True, eq=False)
class Attempt:
    """A transfer in progress.

    :param travel_s: time that the way takes, there and back.
    :param unhindered: whether the upstream had a free slot for it.
    """

    pending: Pending
    upstream_id: str
    started_ms: int
    sent_at: float
    travel_s: float = 0.0
    unhindered: bool = False
    abandoned: bool = False

    @property
    def owner(self):
        """Return the incarnation that it was sent to."""
        return self.upstream_id, self.started_ms


class Dispatcher:
    """All requests in progress at this instance.

    :param settings: the `DirectSettings`.
    :param directory: the `Directory`.
    :param owners: the `Owners` of keys.
    :param rng: a ``random.Random``.
    """

    def __init__(self, settings, directory, owners, rng=random):
        self.settings = settings
        self.directory = directory
        self.owners = owners
        self.rng = rng
        self.instances = 1
        self.rank = 0
        self.pendings_by_id = {}
        self.attempts_by_id = {}
        self.loads_by_id = {}
        self.queues_by_name = {}
        self.budgets_by_service = {}
        self.splits_by_route = {}
        self.unchecked = []
        self.attempt_count = 0
        self.outcomes = {}
        self.stopping = False
        # Until the others count this instance, it has no share of what cold
        # upstreams take.
        self.shares_from = math.inf
        self.crash_marks = CrashMarks()

    # Arrival

    def arrive(self, request, now, out):
        """Take a request of a caller."""
        pending = Pending(request, now)
        self.pendings_by_id[request.request_id] = pending
        if self.stopping:
            self._refuse(pending, Refusal.STOPPING, now, out, STOPPING_RETRY_S)
            return
        if self.directory.configuration is None:
            self._refuse(
                pending, Refusal.NOT_CONFIGURED, now, out, UNCONFIGURED_RETRY_S
            )
            return
        if not self._find_route(pending, now):
            # The route may have been added a moment ago.
            self.unchecked.append(pending)
            if len(self.unchecked) == 1:
                out.append(CheckConfiguration())
            return
        self._place(pending, now, out)

    def configuration_checked(self, reached, now, out):
        """Decide about the requests whose route was unknown."""
        unchecked, self.unchecked = self.unchecked, []
        for pending in unchecked:
            if pending.request.request_id not in self.pendings_by_id:
                continue
            if self._find_route(pending, now):
                self._place(pending, now, out)
            elif reached:
                self._refuse(pending, Refusal.UNKNOWN_ROUTE, now, out)
            else:
                self._refuse(
                    pending, Refusal.STORE_UNREACHABLE, now, out, UNCONFIGURED_RETRY_S
                )

    def _find_route(self, pending, now):
        request = pending.request
        path = request.target.partition("?")[0]
        route = self.directory.configuration.find_route(request.host, path)
        if route is None:
            return False
        pending.route = route
        pending.expires_at = pending.arrived_at + route.timeout_s
        if request.budget_s is not None:
            expires_at = pending.arrived_at + request.budget_s
            pending.expires_at = min(pending.expires_at, expires_at)
        split = self.splits_by_route.get(route.route_id)
        if split is None or split.parts != route.parts:
            split = self.splits_by_route[route.route_id] = TrafficSplit(route.parts)
        pending.service_id = split.choose()
        self._budget(pending.service_id).record(now)
        return True

    def _place(self, pending, now, out):
        if self.crash_marks.is_refused(pending.request):
            self._refuse(pending, Refusal.QUARANTINED, now, out)
            return
        service = self._service(pending)
        if service is None:
            self._refuse(pending, Refusal.NO_UPSTREAM, now, out, OWNER_LOSS_S)
            return
        if service.keyed:
            if pending.request.key == NO_KEY:
                self._refuse(pending, Refusal.BAD_REQUEST, now, out)
                return
            key_range = self.owners.find(pending.service_id, pending.request.key)
            owner = key_range.upstream_id if key_range is not None else ""
            pending.queue_name = f"{pending.service_id}/{owner}"
            self.owners.count(pending.service_id, pending.request.key)
        else:
            pending.queue_name = pending.service_id
        queue = self._queue(pending.queue_name)
        if not len(queue) and self._try_send(pending, now, out):
            return
        if pending.request.request_id not in self.pendings_by_id:
            return
        hopeless = pending.refusal in (Refusal.NO_UPSTREAM, Refusal.KEY_WITHOUT_OWNER)
        if hopeless or not queue.accepts(pending, now):
            wait_s = queue.expected_wait(pending.route.priority)
            self._refuse(pending, pending.refusal, now, out, max(wait_s, 0.3))
            return
        queue.add(pending)
        self.pump(pending.queue_name, now, out)

    # Sending

    def pump(self, queue_name, now, out):
        """Send what has room."""
        queue = self.queues_by_name.get(queue_name)
        if queue is None:
            return
        for pending in queue.in_order():
            if pending.request.request_id not in self.pendings_by_id or self._try_send(
                pending, now, out
            ):
                queue.discard(pending)

    def _try_send(self, pending, now, out):
        """Send a request if an upstream has room.

        :return: whether it was sent, or answered because it cannot be served.
        """
        if pending.expires_at - now < MIN_ATTEMPT_S:
            return False
        service = self._service(pending)
        if service is None:
            return False
        if service.keyed:
            upstream = self._find_owner(pending, now, out)
        else:
            upstream = self._choose(pending, service, now)
        if pending.request.request_id not in self.pendings_by_id:
            return True
        if upstream is None:
            return False
        self._send(pending, upstream, now, out)
        return True

    def _find_owner(self, pending, now, out):
        key = pending.request.key
        key_range = self.owners.find(pending.service_id, key)
        pending.refusal = Refusal.KEY_WITHOUT_OWNER
        if key_range is None:
            return None
        upstream = self.directory.upstreams_by_id.get(key_range.upstream_id)
        if upstream is None or not self.directory.is_in_service(upstream):
            return None
        if upstream.started_ms != key_range.started_ms:
            return None
        homes = pending.route.home_regions
        if homes and self.directory.region_of(upstream) not in homes:
            self._refuse(pending, Refusal.OUTSIDE_HOME, now, out)
            return None
        if now < self.owners.usable_at(pending.service_id, key_range):
            pending.refusal = Refusal.OWNER_CHANGING
            return None
        pending.refusal = Refusal.SATURATED
        if self._has_room(upstream, now):
            return upstream
        self.owners.crowded = True
        return None

    def _choose(self, pending, service, now):
        homes = pending.route.home_regions
        directory = self.directory
        usable = [
            u
            for u in directory.in_service(service.service_id)
            if not homes or directory.region_of(u) in homes
        ]
        pending.refusal = Refusal.SATURATED if usable else Refusal.NO_UPSTREAM
        untried = [u for u in usable if u.upstream_id not in pending.tried]
        candidates = [u for u in untried or usable if self._has_room(u, now)]
        cost_by_id = {u.upstream_id: self._cost(u, now) for u in candidates}
        return choose_upstream(candidates, cost_by_id, self.rng)

    def _cost(self, upstream, now):
        settings = self.settings
        return expected_latency(
            self.load(upstream.upstream_id), upstream.slots, now
        ) + distance_penalty(
            upstream.domain,
            self.directory.region_of(upstream),
            settings.domain,
            settings.region,
        )

    def _has_room(self, upstream, now):
        load = self.load(upstream.upstream_id)
        if not has_room(load, upstream.slots, now):
            return False
        if not self.directory.is_cold(upstream.upstream_id, now):
            return True
        if now < self.shares_from:
            return False
        service = self.directory.configuration.services_by_id[upstream.service_id]
        settings = self.settings
        share = cold_share(
            service.cold_rate,
            settings.cold_rate_factor,
            settings.cold_rate_slack,
            self.instances,
            self.rank,
        )
        return has_cold_room(load, share, now)

    def _send(self, pending, upstream, now, out):
        if pending.verdict is not Verdict.NOT_RUN and not pending.route.idempotent:
            raise InvariantError("at-most-once", f"second run of {pending.service_id}")
        homes = pending.route.home_regions
        if homes and self.directory.region_of(upstream) not in homes:
            raise InvariantError("home-region", f"send to {upstream.domain}")
        load = self.load(upstream.upstream_id)
        unhindered = load.occupancy(now) < upstream.slots
        load.start()
        if self.directory.is_cold(upstream.upstream_id, now):
            load.cold_sends.append(now)
        self.attempt_count += 1
        attempt_id = f"{pending.request.request_id}/{self.attempt_count:x}"
        near = self.directory.region_of(upstream) == self.settings.region
        self.attempts_by_id[attempt_id] = Attempt(
            pending,
            upstream.upstream_id,
            upstream.started_ms,
            now,
            NEAR_TRAVEL_S if near else FAR_TRAVEL_S,
            unhindered,
        )
        pending.attempt_id = attempt_id
        pending.tried.add(upstream.upstream_id)
        pending.sends += 1
        out.append(
            SendAttempt(
                attempt_id,
                upstream.upstream_id,
                upstream.address,
                pending.request,
                pending.expires_at,
                not pending.route.idempotent,
            )
        )

    # Results

    def finish(self, event, out):
        """Use the result of an attempt."""
        attempt = self.attempts_by_id.pop(event.attempt_id, None)
        if attempt is None:
            return
        now = event.now
        load = self.load(attempt.upstream_id)
        load.end()
        if event.load is not None:
            load.take_report(event.load, now)
        pending = attempt.pending
        queue = self._queue(pending.queue_name)
        if not attempt.abandoned:
            self._judge(attempt, event, load, out)
        queue.note_end(now)
        self.pump(pending.queue_name, now, out)

    def _judge(self, attempt, event, load, out):
        pending = attempt.pending
        now = event.now
        pending.attempt_id = ""
        pending.verdict = combine_verdicts(pending.verdict, event.verdict)
        if event.verdict is Verdict.RAN:
            pending.runs += 1
            latency_s = now - attempt.sent_at
            work_s = max(0.0, latency_s - attempt.travel_s) / load.slowdown
            load.succeed(latency_s, work_s if attempt.unhindered else None)
            self.crash_marks.note_answered(pending.request)
            if self._may_repeat_failure(pending, event, now):
                self._place(pending, now, out)
            else:
                self._deliver(pending, attempt, event, out)
            return
        if event.verdict is Verdict.MAY_HAVE_RUN:
            pending.runs += 1
            load.fail(now)
            expired = now >= pending.expires_at - MIN_ATTEMPT_S
            refusal = Refusal.TIMEOUT if expired else Refusal.LOST
            may_repeat = pending.route.idempotent and not expired
            may_repeat &= pending.runs < pending.route.max_attempts
            if not expired:
                mark = fingerprint(pending.request)
                self.crash_marks.note_lost(mark, attempt.owner, now)
                may_repeat &= self.crash_marks.count(mark) == 0
        else:
            refusal = Refusal.UNREACHABLE if event.unsent else Refusal.NOT_EXECUTED
            may_repeat = True
            if event.misdirected:
                key_range = self.owners.find(pending.service_id, pending.request.key)
                if key_range is not None:
                    until = now + MISDIRECTED_PAUSE_S
                    self.owners.suspend(pending.service_id, key_range, until)
            elif event.unsent:
                load.fail(now)
            else:
                load.pause(now)
        fields = {
            "request_id": pending.request.caller_id,
            "upstream": attempt.upstream_id,
            "verdict": event.verdict.value,
            "status": event.status,
            "detail": event.reason,
            "duration_ms": round((now - attempt.sent_at) * 1000),
        }
        out.append(LogDecision("attempt-failed", refusal, fields))
        if may_repeat and (event.unsent or self._budget_of(pending).try_spend(now)):
            pending.refusal = refusal
            self._place(pending, now, out)
        else:
            self._refuse(pending, refusal, now, out, OWNER_LOSS_S)

    def _may_repeat_failure(self, pending, event, now):
        """Return whether a failure that an upstream answered is tried elsewhere."""
        return (
            event.status >= 500
            and pending.route.idempotent
            and pending.request.key == NO_KEY
            and pending.runs < pending.route.max_attempts
            and now < pending.arrived_at + max_wait(pending.route)
            and self._budget_of(pending).try_spend(now)
        )

    def _deliver(self, pending, attempt, event, out):
        self._forget(pending)
        self._count("answered")
        fields = {
            "request_id": pending.request.caller_id,
            "upstream": attempt.upstream_id,
            "status": event.status,
            "waited_ms": round((attempt.sent_at - pending.arrived_at) * 1000),
            "duration_ms": round((event.now - attempt.sent_at) * 1000),
            "service": pending.service_id,
            "total_ms": round((event.now - pending.arrived_at) * 1000),
            "sends": pending.sends,
        }
        out.append(LogDecision("answered", str(event.status), fields))
        out.append(
            Respond(pending.request.request_id, event.status, event.headers, event.body)
        )

    # Endings

    def caller_gone(self, request_id, now, out):
        """Stop the work for a caller that has left, where nothing depends on it."""
        pending = self.pendings_by_id.get(request_id)
        if pending is None:
            return
        self._forget(pending)
        self._count("caller-gone")
        attempt = self.attempts_by_id.get(pending.attempt_id)
        if attempt is None:
            return
        attempt.abandoned = True
        if pending.route.idempotent:
            out.append(AbandonAttempt(pending.attempt_id))

    def expire(self, now, out):
        """Refuse the requests that have waited for too long."""
        for name, queue in list(self.queues_by_name.items()):
            for pending in list(queue.pendings):
                if pending.request.request_id not in self.pendings_by_id:
                    queue.discard(pending)
                elif self._has_waited_too_long(pending, now):
                    queue.discard(pending)
                    wait_s = queue.expected_wait(pending.route.priority)
                    self._refuse(pending, pending.refusal, now, out, max(wait_s, 0.3))
            self.pump(name, now, out)

    def _has_waited_too_long(self, pending, now):
        if now >= pending.expires_at - MIN_ATTEMPT_S:
            return True
        return now >= pending.arrived_at + max_wait(pending.route)

    def _refuse(self, pending, refusal, now, out, wait_s=0.0):
        self._forget(pending)
        self._count(refusal)
        retry_after_s = retry_after(wait_s, self.rng) if wait_s else 0.0
        effect = build_refusal(pending.request, refusal, pending.verdict, retry_after_s)
        fields = {
            "request_id": pending.request.caller_id,
            "route": pending.route.route_id if pending.route else "",
            "service": pending.service_id,
            "status": effect.status,
            "verdict": pending.verdict.value,
            "total_ms": round((now - pending.arrived_at) * 1000),
            "configuration": self._version(),
            "queue": pending.queue_name,
            "sends": pending.sends,
        }
        out.append(LogDecision("refused", refusal, fields))
        out.append(effect)

    def _forget(self, pending):
        self.pendings_by_id.pop(pending.request.request_id, None)
        queue = self.queues_by_name.get(pending.queue_name)
        if queue is not None:
            queue.discard(pending)

    def _count(self, outcome):
        self.outcomes[str(outcome)] = self.outcomes.get(str(outcome), 0) + 1

    # Look-ups

    def load(self, upstream_id):
        """Return the `UpstreamLoad` of an upstream."""
        load = self.loads_by_id.get(upstream_id)
        if load is None:
            load = self.loads_by_id[upstream_id] = UpstreamLoad()
        return load

    def retain(self, upstream_ids):
        """Forget the upstreams that no longer exist.

        :param upstream_ids: collection of those that do.
        """
        for upstream_id in self.loads_by_id.keys() - set(upstream_ids):
            if not self.loads_by_id[upstream_id].in_flight:
                del self.loads_by_id[upstream_id]

    def _version(self):
        configuration = self.directory.configuration
        return 0 if configuration is None else configuration.version

    def _service(self, pending):
        services = self.directory.configuration.services_by_id
        return services.get(pending.service_id)

    def _queue(self, name):
        queue = self.queues_by_name.get(name)
        if queue is None:
            queue = self.queues_by_name[name] = WaitingRequests()
        return queue

    def _budget(self, service_id):
        budget = self.budgets_by_service.get(service_id)
        if budget is None:
            budget = self.budgets_by_service[service_id] = RetryBudget(
                self.settings.retry_ratio, self.settings.retry_window_s
            )
        return budget

    def _budget_of(self, pending):
        return self._budget(pending.service_id)
