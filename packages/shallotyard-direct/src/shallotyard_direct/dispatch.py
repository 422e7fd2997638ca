"""The way of a request: route, wait for room, send, try again, respond."""

import random

from shallotyard_core.effects import LogDecision
from shallotyard_core.exceptions import InvariantError
from shallotyard_core.reducer import count_violation
from shallotyard_core.verdict import Verdict
from shallotyard_core.verdict import combine_verdicts
from shallotyard_direct.admission import shows_speed
from shallotyard_direct.crash_marks import CrashMarks
from shallotyard_direct.crash_marks import fingerprint
from shallotyard_direct.effects import AbandonAttempt
from shallotyard_direct.effects import CheckConfiguration
from shallotyard_direct.effects import Respond
from shallotyard_direct.effects import SendAttempt
from shallotyard_direct.model import NO_KEY
from shallotyard_direct.pending import Attempt
from shallotyard_direct.pending import PendingRequest
from shallotyard_direct.placement import Placement
from shallotyard_direct.responses import Refusal
from shallotyard_direct.responses import build_refusal
from shallotyard_direct.retry_budget import RetryBudget
from shallotyard_direct.traffic_split import TrafficSplit
from shallotyard_direct.waiting import WaitingRequests
from shallotyard_direct.waiting import max_wait
from shallotyard_direct.waiting import retry_after

# Pause before an owner that refused a key is asked again.
MISDIRECTED_PAUSE_S = 0.15
# Keys without a usable owner are back after about this time: detection, the
# rest of the grant's TTL and the new grant.
OWNER_LOSS_S = 1.0
# Way to an upstream and back, in the own region and to another one.
NEAR_TRAVEL_S = 0.002
FAR_TRAVEL_S = 0.06
# With less time left, a request could not be processed any more.
MIN_ATTEMPT_S = 0.02
# Callers that find an instance without configuration come back after this time.
UNCONFIGURED_RETRY_S = 0.5
# Least wait told to callers for whom there is no room.
MIN_EXPECTED_WAIT_S = 0.3
# Another instance can serve at once what a stopping one refuses.
STOPPING_RETRY_S = 0.05


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
        self.placement = Placement(settings, directory, owners, rng)
        self.pending_by_id = {}
        self.attempts_by_id = {}
        self.queues_by_name = {}
        self.budgets_by_service = {}
        self.splits_by_route = {}
        self.unchecked = []
        self.attempt_count = 0
        self.stopping = False
        self.invariant_violations = {}
        self.crash_marks = CrashMarks()

    # Arrival

    def arrive(self, request, now, effects):
        """Take a request of a caller."""
        pending = PendingRequest(request, now)
        self.pending_by_id[request.request_id] = pending
        if self.stopping:
            self._refuse(pending, Refusal.STOPPING, now, effects, STOPPING_RETRY_S)
            return
        if self.directory.configuration is None:
            self._refuse(
                pending, Refusal.NOT_CONFIGURED, now, effects, UNCONFIGURED_RETRY_S
            )
            return
        if not self._find_route(pending, now):
            # The route may have been added a moment ago.
            self.unchecked.append(pending)
            if len(self.unchecked) == 1:
                effects.append(CheckConfiguration())
            return
        self._place(pending, now, effects)

    def configuration_checked(self, reached, now, effects):
        """Decide about the requests whose route was unknown."""
        unchecked, self.unchecked = self.unchecked, []
        for pending in unchecked:
            if pending.request.request_id not in self.pending_by_id:
                continue
            if self._find_route(pending, now):
                self._place(pending, now, effects)
            elif reached:
                self._refuse(pending, Refusal.UNKNOWN_ROUTE, now, effects)
            else:
                self._refuse(
                    pending,
                    Refusal.STORE_UNREACHABLE,
                    now,
                    effects,
                    UNCONFIGURED_RETRY_S,
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

    def _place(self, pending, now, effects):
        if self.crash_marks.is_refused(pending.request):
            self._refuse(pending, Refusal.QUARANTINED, now, effects)
            return
        service = self._service(pending)
        if service is None:
            self._refuse(pending, Refusal.NO_UPSTREAM, now, effects, OWNER_LOSS_S)
            return
        if service.keyed:
            if pending.request.key == NO_KEY:
                self._refuse(pending, Refusal.BAD_REQUEST, now, effects)
                return
            key_range = self.owners.find(pending.service_id, pending.request.key)
            owner = key_range.upstream_id if key_range is not None else ""
            pending.queue_name = f"{pending.service_id}/{owner}"
            if not pending.sends:
                self.owners.count(pending.service_id, pending.request.key)
        else:
            pending.queue_name = pending.service_id
        queue = self._queue(pending.queue_name)
        if not len(queue) and self._try_send(pending, now, effects):
            return
        if pending.request.request_id not in self.pending_by_id:
            return
        hopeless = pending.refusal in (Refusal.NO_UPSTREAM, Refusal.KEY_WITHOUT_OWNER)
        if hopeless or not queue.accepts(pending, now):
            self._refuse_waiting(pending, queue, now, effects)
            return
        queue.add(pending)
        self.pump(pending.queue_name, now, effects)

    # Sending

    def pump(self, queue_name, now, effects):
        """Send what has room."""
        queue = self.queues_by_name.get(queue_name)
        if queue is None:
            return
        for pending in queue.in_order():
            if pending.request.request_id not in self.pending_by_id or self._try_send(
                pending, now, effects
            ):
                queue.discard(pending)

    def _try_send(self, pending, now, effects):
        """Send a request if an upstream has room.

        :return: whether it was sent, or answered because it cannot be served.
        """
        if pending.expires_at - now < MIN_ATTEMPT_S:
            return False
        service = self._service(pending)
        if service is None:
            return False
        upstream, refusal = self.placement.find(pending, service, now)
        if upstream is None:
            pending.refusal = refusal
            if refusal is Refusal.OUTSIDE_HOME:
                self._refuse(pending, refusal, now, effects)
            return refusal is Refusal.OUTSIDE_HOME
        try:
            self._check_send(pending, upstream)
        except InvariantError as error:
            effects.append(count_violation(self, error))
            self._refuse(pending, Refusal.INTERNAL, now, effects)
            return True
        self._send(pending, upstream, now, effects)
        return True

    def _check_send(self, pending, upstream):
        if pending.verdict is not Verdict.NOT_RUN and not pending.route.idempotent:
            raise InvariantError("at-most-once", f"second run of {pending.service_id}")
        homes = pending.route.home_regions
        if homes and self.directory.region_of(upstream) not in homes:
            raise InvariantError("home-region", f"send to {upstream.domain}")

    def _send(self, pending, upstream, now, effects):
        unhindered = self.placement.start(upstream, now)
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
            upstream.slots,
        )
        pending.attempt_id = attempt_id
        pending.tried.add(upstream.upstream_id)
        pending.sends += 1
        effects.append(
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

    def finish(self, event, effects):
        """Use the result of an attempt."""
        attempt = self.attempts_by_id.pop(event.attempt_id, None)
        if attempt is None:
            return
        now = event.now
        load = self.placement.load(attempt.upstream_id)
        load.end()
        if event.load is not None:
            load.take_report(event.load, now)
        pending = attempt.pending
        queue = self._queue(pending.queue_name)
        if not attempt.abandoned:
            self._judge(attempt, event, load, effects)
        queue.note_end(now)
        self.pump(pending.queue_name, now, effects)

    def _judge(self, attempt, event, load, effects):
        pending = attempt.pending
        now = event.now
        pending.attempt_id = ""
        pending.verdict = combine_verdicts(pending.verdict, event.verdict)
        if event.verdict is Verdict.RAN:
            pending.runs += 1
            latency_s = now - attempt.sent_at
            work_s = max(0.0, latency_s - attempt.travel_s)
            shown = attempt.unhindered and shows_speed(event.load, attempt.slots)
            load.succeed(latency_s, work_s if shown else None)
            self.crash_marks.note_answered(pending.request)
            if self._may_repeat_failure(pending, event, now):
                self._place(pending, now, effects)
            else:
                self._deliver(pending, attempt, event, effects)
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
            if event.misdirected and pending.request.key != NO_KEY:
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
        effects.append(LogDecision("attempt-failed", refusal, fields))
        budget = self._budget(pending.service_id)
        if may_repeat and (event.unsent or budget.try_spend(now)):
            pending.refusal = refusal
            self._place(pending, now, effects)
        else:
            self._refuse(pending, refusal, now, effects, OWNER_LOSS_S)

    def _may_repeat_failure(self, pending, event, now):
        """Return whether a failure that an upstream answered is tried elsewhere."""
        return (
            event.status >= 500
            and pending.route.idempotent
            and pending.request.key == NO_KEY
            and pending.runs < pending.route.max_attempts
            and now < pending.arrived_at + max_wait(pending.route)
            and self._budget(pending.service_id).try_spend(now)
        )

    def _deliver(self, pending, attempt, event, effects):
        self._forget(pending)
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
        effects.append(LogDecision("answered", str(event.status), fields))
        effects.append(
            Respond(pending.request.request_id, event.status, event.headers, event.body)
        )

    # Endings

    def cancel_request(self, request_id, now, effects):
        """Stop the work for a caller that has left, where nothing depends on it."""
        pending = self.pending_by_id.get(request_id)
        if pending is None:
            return
        self._forget(pending)
        attempt = self.attempts_by_id.get(pending.attempt_id)
        if attempt is None:
            return
        attempt.abandoned = True
        if pending.route.idempotent:
            effects.append(AbandonAttempt(pending.attempt_id))

    def expire(self, now, effects):
        """Refuse the requests that have waited for too long."""
        for name, queue in list(self.queues_by_name.items()):
            for pending in list(queue.pendings):
                if pending.request.request_id not in self.pending_by_id:
                    queue.discard(pending)
                elif self._has_waited_too_long(pending, now):
                    queue.discard(pending)
                    self._refuse_waiting(pending, queue, now, effects)
            self.pump(name, now, effects)

    def _has_waited_too_long(self, pending, now):
        if now >= pending.expires_at - MIN_ATTEMPT_S:
            return True
        return now >= pending.arrived_at + max_wait(pending.route)

    def _refuse_waiting(self, pending, queue, now, effects):
        wait_s = queue.expected_wait(pending.route.priority)
        wait_s = max(wait_s, MIN_EXPECTED_WAIT_S)
        self._refuse(pending, pending.refusal, now, effects, wait_s)

    def _refuse(self, pending, refusal, now, effects, wait_s=0.0):
        self._forget(pending)
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
        effects.append(LogDecision("refused", refusal, fields))
        effects.append(effect)

    def _forget(self, pending):
        self.pending_by_id.pop(pending.request.request_id, None)
        queue = self.queues_by_name.get(pending.queue_name)
        if queue is not None:
            queue.discard(pending)

    def retain(self, upstream_ids):
        """Forget what concerns only upstreams that no longer exist.

        :param upstream_ids: collection of those that do.
        """
        self.placement.retain(upstream_ids)
        for name, queue in list(self.queues_by_name.items()):
            owner = name.partition("/")[2]
            if owner and owner not in upstream_ids and not len(queue):
                del self.queues_by_name[name]

    # Look-ups

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
