"""Routes, queues, sends, retries and answers requests."""

import math
import random

from shallotyard_core.effects import LogDecision
from shallotyard_core.exceptions import InvariantError
from shallotyard_core.reducer import count_violation
from shallotyard_core.verdict import Verdict
from shallotyard_core.verdict import combine_verdicts
from shallotyard_direct.admission import is_speed_sample
from shallotyard_direct.crash_marks import CrashMarks
from shallotyard_direct.crash_marks import compute_fingerprint
from shallotyard_direct.effects import AbandonAttempt
from shallotyard_direct.effects import CheckConfiguration
from shallotyard_direct.effects import ReplyToRelay
from shallotyard_direct.effects import Respond
from shallotyard_direct.effects import SendAttempt
from shallotyard_direct.model import NO_KEY
from shallotyard_direct.model import RelayReply
from shallotyard_direct.pending import Attempt
from shallotyard_direct.pending import PendingRequest
from shallotyard_direct.placement import Placement
from shallotyard_direct.reachability import Reachability
from shallotyard_direct.relaying import DECLINED_BUSY
from shallotyard_direct.relaying import DECLINED_CUT_OFF
from shallotyard_direct.relaying import DECLINED_OUTDATED
from shallotyard_direct.relaying import DECLINED_STOPPING
from shallotyard_direct.relaying import RelayedRequests
from shallotyard_direct.relaying import Relays
from shallotyard_direct.relaying import find_decline_reason
from shallotyard_direct.responses import Refusal
from shallotyard_direct.responses import build_refusal
from shallotyard_direct.retry_budget import RetryBudget
from shallotyard_direct.traffic_split import TrafficSplit
from shallotyard_direct.waiting import WaitingRequests
from shallotyard_direct.waiting import choose_retry_after
from shallotyard_direct.waiting import compute_max_wait

# Pause before the next request for a key is sent to an owner that refused the key.
MISDIRECTED_OWNER_PAUSE_S = 0.15
# Typical time until the keys of a lost owner have a new one: detection, the rest of
# the grant TTL, and the new grant.
OWNER_REPLACEMENT_S = 1.0
# Round-trip times to upstreams of the own region and of other regions.
SAME_REGION_RTT_S = 0.002
CROSS_REGION_RTT_S = 0.06
# A request with less time left could not be processed before its deadline.
MIN_ATTEMPT_TIME_S = 0.02
# Retry-After for callers while the route cannot be looked up.
UNCONFIGURED_RETRY_AFTER_S = 0.5
# At a start, a request waits this long for the first configuration, which another
# instance or the store sends within a few tenths of a second.
MAX_UNCONFIGURED_WAIT_S = 0.5
# Lower bound of the expected wait from which Retry-After is computed.
MIN_EXPECTED_WAIT_S = 0.3
# Retry-After while shutting down; another instance can serve the request at once.
STOPPING_RETRY_AFTER_S = 0.05


class Dispatcher:
    """Handles the requests in progress at this instance.

    :param settings: the `DirectSettings`.
    :param directory: the `Directory`.
    :param owners: the `Owners` of keys.
    :param describe_copy: function from the time to log fields that describe the copy
        of the store's objects.
    :param rng: a ``random.Random``.
    """

    def __init__(self, settings, directory, owners, describe_copy, rng=random):
        self.settings = settings
        self.directory = directory
        self.owners = owners
        self.describe_copy = describe_copy
        self.rng = rng
        self.placement = Placement(settings, directory, owners, rng)
        self.reachability = Reachability(directory, rng)
        self.relays = Relays(
            settings,
            self._dispatch,
            self._refuse,
            self._respond_relayed,
            self._try_spend_retry,
            rng,
        )
        self.relayed_requests = RelayedRequests()
        self.pending_by_id = {}
        self.attempts_by_id = {}
        self.queues_by_name = {}
        self.budgets_by_service = {}
        self.splits_by_route = {}
        self.unrouted = []
        # Time until which a request waits for the first configuration, in seconds.
        self.start_ends_at = -math.inf
        self.unconfigured = []
        self.attempt_count = 0
        self.stopping = False
        # Time at which the instance will have no more time for responses, in seconds.
        self.responses_due_at = math.inf
        # Time after which requests are refused that may need more time than that.
        self.accept_all_until = math.inf
        self.invariant_violations = {}
        self.crash_marks = CrashMarks()

    # Arrival

    def handle_request(self, request, now, effects):
        """Accept, queue or refuse a request of a caller."""
        pending = PendingRequest(request, now)
        self.pending_by_id[request.request_id] = pending
        if self.stopping:
            self._refuse(
                pending, Refusal.STOPPING, now, effects, STOPPING_RETRY_AFTER_S
            )
            return
        if not self._is_configured() and now < self.start_ends_at:
            self.unconfigured.append(pending)
            return
        self._route_if_configured(pending, now, effects)

    def _is_configured(self):
        return self.directory.configuration is not None and self.directory.listed

    def _route_if_configured(self, pending, now, effects):
        if self.directory.configuration is not None:
            self._route(pending, now, effects)
            return
        self._refuse(
            pending, Refusal.NOT_CONFIGURED, now, effects, UNCONFIGURED_RETRY_AFTER_S
        )

    def route_unconfigured(self, now, effects):
        """Route the requests that arrived before the configuration and the upstreams
        were known, and refuse those that have waited for too long.
        """
        waiting, self.unconfigured = self.unconfigured, []
        for pending in waiting:
            if pending.request.request_id not in self.pending_by_id:
                continue
            is_late = now >= pending.arrived_at + MAX_UNCONFIGURED_WAIT_S
            if is_late or self._is_configured():
                self._route_if_configured(pending, now, effects)
            else:
                self.unconfigured.append(pending)

    def _route(self, pending, now, effects):
        if not self._assign_route(pending, now):
            # The route may be newer than the known configuration.
            self.unrouted.append(pending)
            if len(self.unrouted) == 1:
                effects.append(CheckConfiguration())
            return
        self._dispatch(pending, now, effects)

    def handle_relayed_request(self, relayed, now, effects):
        """Accept, queue or decline a request that another instance hands to this one.
        It was counted there for the retry budget and for the load of its key.
        """
        request = relayed.request
        reason = self._find_decline_reason(request)
        if reason:
            reply = RelayReply(declined=reason)
            effects.append(ReplyToRelay(request.request_id, reply))
            return
        pending = PendingRequest(
            request,
            now - relayed.elapsed_s,
            service_id=relayed.service_id,
            runs=relayed.runs,
            key_counted=True,
            configuration_version=relayed.configuration_version,
            relayed_from=relayed.origin,
        )
        self.pending_by_id[request.request_id] = pending
        self.relayed_requests.add(request)
        self._route(pending, now, effects)

    def _find_decline_reason(self, request):
        """Return the reason to decline a relayed request, ``""`` to dispatch it."""
        if math.isfinite(self.responses_due_at):
            return DECLINED_STOPPING
        if self.directory.configuration is None:
            return Refusal.NOT_CONFIGURED.value
        if self.reachability.is_cut_off:
            return DECLINED_CUT_OFF
        return "" if self.relayed_requests.has_room(request) else DECLINED_BUSY

    def handle_configuration_check(self, store_answered, now, effects):
        """Dispatch or refuse the requests whose route was unknown.

        :param store_answered: whether the store answered the read. Only then a
            route that is still unknown does not exist.
        """
        unrouted, self.unrouted = self.unrouted, []
        for pending in unrouted:
            if pending.request.request_id not in self.pending_by_id:
                continue
            if self._assign_route(pending, now):
                self._dispatch(pending, now, effects)
            elif self._is_outdated_for(pending):
                self._decline(pending, DECLINED_OUTDATED, effects)
            elif store_answered:
                self._refuse(pending, Refusal.UNKNOWN_ROUTE, now, effects)
            else:
                self._refuse(
                    pending,
                    Refusal.STORE_UNREACHABLE,
                    now,
                    effects,
                    UNCONFIGURED_RETRY_AFTER_S,
                )

    def _is_outdated_for(self, pending):
        """Return whether the instance at which a request arrived knew a newer
        configuration.
        """
        version = self._find_configuration_version()
        return bool(pending.relayed_from) and version < pending.configuration_version

    def _assign_route(self, pending, now):
        if self._is_outdated_for(pending):
            return False
        request = pending.request
        path = request.target.partition("?")[0]
        route = self.directory.configuration.find_route(request.host, path)
        if route is None:
            return False
        pending.route = route
        pending.expires_at = pending.arrived_at + route.timeout_s
        if request.caller_timeout_s is not None:
            expires_at = pending.arrived_at + request.caller_timeout_s
            pending.expires_at = min(pending.expires_at, expires_at)
        pending.fits_shutdown = pending.expires_at <= self.responses_due_at
        pending.expires_at = min(pending.expires_at, self.responses_due_at)
        split = self.splits_by_route.get(route.route_id)
        if split is None or split.parts != route.parts:
            split = self.splits_by_route[route.route_id] = TrafficSplit(route.parts)
        pending.configuration_version = self.directory.configuration.version
        if pending.relayed_from:
            if pending.service_id not in {part.service_id for part in route.parts}:
                pending.service_id = split.choose()
            return True
        pending.service_id = split.choose()
        self._get_budget(pending.service_id).record(now)
        return True

    def _dispatch(self, pending, now, effects):
        if now > self.accept_all_until and not (pending.sends or pending.fits_shutdown):
            self._refuse(
                pending, Refusal.STOPPING, now, effects, STOPPING_RETRY_AFTER_S
            )
            return
        if self.crash_marks.is_refused(pending.request):
            self._refuse(pending, Refusal.QUARANTINED, now, effects)
            return
        service = self._find_service(pending)
        if service is None:
            self._refuse(
                pending, Refusal.NO_UPSTREAM, now, effects, OWNER_REPLACEMENT_S
            )
            return
        if service.keyed:
            if pending.request.key == NO_KEY:
                self._refuse(pending, Refusal.BAD_REQUEST, now, effects)
                return
            key_range = self.owners.find_range(pending.service_id, pending.request.key)
            owner = key_range.upstream_id if key_range is not None else ""
            pending.queue_name = f"{pending.service_id}/{owner}"
            if not pending.key_counted:
                pending.key_counted = True
                self.owners.count_request(pending.service_id, pending.request.key)
        else:
            pending.queue_name = pending.service_id
        if self.reachability.is_cut_off:
            self._relay(pending, now, effects)
            return
        queue = self._get_queue(pending.queue_name)
        if not len(queue) and self._try_send(pending, now, effects):
            return
        if pending.request.request_id not in self.pending_by_id:
            return
        cannot_wait = pending.refusal in (
            Refusal.NO_UPSTREAM,
            Refusal.KEY_WITHOUT_OWNER,
        )
        pause_s = self._compute_pause_left(pending, now)
        if pause_s:
            pending.refusal = Refusal.UPSTREAM_PAUSED
            cannot_wait |= self._has_waited_too_long(pending, now + pause_s)
        if cannot_wait or not queue.accepts(pending, now, pause_s):
            self._refuse_waiting(pending, queue, now, effects)
            return
        queue.add(pending)
        self.send_waiting(pending.queue_name, now, effects)

    # Relays

    def _relay(self, pending, now, effects):
        try:
            self.relays.relay(pending, now, effects)
        except InvariantError as error:
            effects.append(count_violation(self, error))
            self._refuse(pending, Refusal.INTERNAL, now, effects)

    def relay_waiting(self, now, effects):
        """Hand all waiting requests to other instances."""
        for queue in self.queues_by_name.values():
            for pending in queue.list_by_urgency():
                queue.discard(pending)
                if pending.request.request_id in self.pending_by_id:
                    self._relay(pending, now, effects)

    def _respond_relayed(self, pending, reply, effects):
        """Answer a request with the response that another instance got."""
        self._remove_pending(pending)
        self.crash_marks.record_response(pending.request)
        request_id = pending.request.request_id
        effects.append(Respond(request_id, reply.status, reply.headers, reply.body))

    def _decline(self, pending, reason, effects):
        """Return a relayed request that has not run to the instance that sent it."""
        self._remove_pending(pending)
        fields = {
            "request_id": pending.request.caller_id,
            "service": pending.service_id,
            "relayed_from": pending.relayed_from,
        }
        effects.append(LogDecision("relay-declined", reason, fields))
        reply = RelayReply(declined=reason)
        effects.append(ReplyToRelay(pending.request.request_id, reply))

    # Sending

    def send_waiting(self, queue_name, now, effects):
        """Send waiting requests to upstreams that have room, and refuse those that a
        pause of all upstreams outlasts.
        """
        queue = self.queues_by_name.get(queue_name)
        if queue is None:
            return
        for pending in queue.list_by_urgency():
            if pending.request.request_id not in self.pending_by_id or self._try_send(
                pending, now, effects
            ):
                queue.discard(pending)
            elif pending.refusal is Refusal.UPSTREAM_PAUSED:
                pause_s = self._compute_pause_left(pending, now)
                if self._has_waited_too_long(pending, now + pause_s):
                    self._refuse_waiting(pending, queue, now, effects)

    def _compute_pause_left(self, pending, now):
        """Return the time until an upstream takes a request, in seconds; 0 unless all
        that may serve it have asked for a pause.
        """
        service = self._find_service(pending)
        if service is None:
            return 0.0
        resumes_at = self.placement.find_resumption(pending, service, now)
        return max(0.0, resumes_at - now)

    def _try_send(self, pending, now, effects):
        """Send a request if an upstream has room.

        :return: whether it was sent, or refused because it cannot be served.
        """
        if pending.expires_at - now < MIN_ATTEMPT_TIME_S:
            return False
        service = self._find_service(pending)
        if service is None:
            return False
        upstream, refusal = self.placement.find_upstream(pending, service, now)
        if upstream is None:
            pending.refusal = refusal
            if refusal is Refusal.OUTSIDE_HOME:
                self._refuse(pending, refusal, now, effects)
            return refusal is Refusal.OUTSIDE_HOME
        try:
            self._check_invariants(pending, upstream)
        except InvariantError as error:
            effects.append(count_violation(self, error))
            self._refuse(pending, Refusal.INTERNAL, now, effects)
            return True
        self._send(pending, upstream, now, effects)
        return True

    def _check_invariants(self, pending, upstream):
        if pending.verdict is not Verdict.NOT_RUN and not pending.route.idempotent:
            raise InvariantError(
                "at-most-once", f"second run requested at service {pending.service_id}"
            )
        homes = pending.route.home_regions
        if homes and self.directory.find_region(upstream) not in homes:
            raise InvariantError(
                "home-region", f"send outside home regions to {upstream.domain}"
            )

    def _send(self, pending, upstream, now, effects):
        had_free_slot = self.placement.record_send(upstream, now)
        self.attempt_count += 1
        attempt_id = f"{pending.request.request_id}/{self.attempt_count:x}"
        is_same_region = self.directory.find_region(upstream) == self.settings.region
        self.attempts_by_id[attempt_id] = Attempt(
            pending,
            upstream.upstream_id,
            upstream.started_ms,
            now,
            SAME_REGION_RTT_S if is_same_region else CROSS_REGION_RTT_S,
            had_free_slot,
            upstream.slots,
            self.describe_copy(now),
        )
        pending.attempt_id = attempt_id
        # A late copy of the response to an earlier attempt has the same id.
        is_repeated = upstream.upstream_id in pending.tried_upstream_ids
        pending.tried_upstream_ids.add(upstream.upstream_id)
        pending.sends += 1
        effects.append(
            SendAttempt(
                attempt_id,
                upstream.upstream_id,
                upstream.address,
                pending.request,
                pending.expires_at,
                not pending.route.idempotent or is_repeated,
            )
        )

    # Results

    def handle_attempt_result(self, event, effects):
        """Handle the result of an attempt."""
        attempt = self.attempts_by_id.pop(event.attempt_id, None)
        if attempt is None:
            return
        now = event.now
        load = self.placement.get_load(attempt.upstream_id)
        load.record_end()
        if event.load is not None:
            load.apply_upstream_report(event.load, now)
        if event.rate_limit_known:
            self._record_rate(attempt, event, effects)
        pending = attempt.pending
        queue = self._get_queue(pending.queue_name)
        if self.placement.record_end(attempt, event):
            queue.restart_period()
        if event.requested_pause_s is not None:
            self._record_pause(attempt, event, effects)
        if not attempt.abandoned:
            self._handle_outcome(attempt, event, load, effects)
        queue.record_completion(now)
        self.send_waiting(pending.queue_name, now, effects)

    def _record_rate(self, attempt, event, effects):
        """Record the rate that an upstream names with a response."""
        if self.directory.upstreams_by_id.get(attempt.upstream_id) is None:
            return
        limits = self.placement.rate_limits
        if limits.record_response(attempt.upstream_id, event.rate_limit, event.now):
            fields = {"upstream": attempt.upstream_id, "rate": event.rate_limit}
            reason = "ended" if event.rate_limit is None else "named"
            effects.append(LogDecision("rate-limit", reason, fields))

    def _record_pause(self, attempt, event, effects):
        """Record the pause that an upstream asks for with a response."""
        pause_s = event.requested_pause_s
        if self.placement.record_requested_pause(attempt, pause_s, event.now):
            fields = {
                "upstream": attempt.upstream_id,
                "service": attempt.pending.service_id,
                "pause_s": pause_s,
            }
            effects.append(LogDecision("upstream-pause", "paused until", fields))

    def _handle_outcome(self, attempt, event, load, effects):
        pending = attempt.pending
        now = event.now
        pending.attempt_id = ""
        pending.verdict = combine_verdicts(pending.verdict, event.verdict)
        if event.status:
            self.reachability.record_response(now)
        if event.verdict is Verdict.RAN:
            pending.runs += 1
            latency_s = now - attempt.sent_at
            processing_s = max(0.0, latency_s - attempt.rtt_s)
            is_sample = attempt.had_free_slot and is_speed_sample(
                event.load, attempt.slots
            )
            load.record_success(latency_s, processing_s if is_sample else None)
            self.crash_marks.record_response(pending.request)
            if self._may_retry_error_response(pending, event, now):
                self._dispatch(pending, now, effects)
            else:
                self._respond(pending, attempt, event, effects)
            return
        if event.verdict is Verdict.MAY_HAVE_RUN:
            pending.runs += 1
            if not event.closed_unanswered:
                load.record_failure(now)
            self.reachability.record_lost_response(now)
            expired = now >= pending.expires_at - MIN_ATTEMPT_TIME_S
            refusal = Refusal.TIMEOUT if expired else Refusal.LOST
            may_retry = pending.route.idempotent and not expired
            may_retry &= pending.runs < pending.route.max_attempts
            if not expired:
                fingerprint = compute_fingerprint(pending.request)
                self.crash_marks.record_unresolved_attempt(
                    fingerprint, attempt.incarnation, now
                )
                may_retry &= self.crash_marks.count_crashes(fingerprint) == 0
        else:
            refusal = Refusal.UNREACHABLE if event.unsent else Refusal.NOT_EXECUTED
            may_retry = True
            self._record_not_run(attempt, event, load)
        fields = {
            "request_id": pending.request.caller_id,
            "upstream": attempt.upstream_id,
            "verdict": event.verdict.value,
            "status": event.status,
            "detail": event.reason,
            "duration_ms": round((now - attempt.sent_at) * 1000),
            **attempt.copy_fields,
        }
        effects.append(LogDecision("attempt-failed", refusal, fields))
        budget = self._get_budget(pending.service_id)
        if may_retry and (event.unsent or budget.try_spend(now)):
            pending.refusal = refusal
            self._dispatch(pending, now, effects)
        else:
            pause_s = self._compute_pause_left(pending, now)
            self._refuse(pending, refusal, now, effects, OWNER_REPLACEMENT_S, pause_s)

    def _record_not_run(self, attempt, event, load):
        """Record what an attempt that did not run shows about its upstream."""
        pending = attempt.pending
        now = event.now
        if event.misdirected and pending.request.key != NO_KEY:
            key_range = self.owners.find_range(pending.service_id, pending.request.key)
            if key_range is not None:
                until = now + MISDIRECTED_OWNER_PAUSE_S
                self.owners.suspend(pending.service_id, key_range, until)
        elif event.unsent:
            self.reachability.record_lost_response(now)
            # A request that is not written because of a pause shows no fault.
            if not self.placement.pauses.is_paused(attempt.incarnation, now):
                load.record_failure(now)
        elif event.requested_pause_s is None or now >= load.paused_until:
            # Several answers with the same request for a pause count once.
            load.pause(now)

    def _may_retry_error_response(self, pending, event, now):
        """Return whether to retry a request that got a status of 500 or above."""
        return (
            event.status >= 500
            and pending.route.idempotent
            and pending.request.key == NO_KEY
            and pending.runs < pending.route.max_attempts
            and now < pending.arrived_at + compute_max_wait(pending.route)
            and self._get_budget(pending.service_id).try_spend(now)
        )

    def _respond(self, pending, attempt, event, effects):
        self._remove_pending(pending)
        fields = {
            "request_id": pending.request.caller_id,
            "upstream": attempt.upstream_id,
            "status": event.status,
            "waited_ms": round((attempt.sent_at - pending.arrived_at) * 1000),
            "duration_ms": round((event.now - attempt.sent_at) * 1000),
            "service": pending.service_id,
            "total_ms": round((event.now - pending.arrived_at) * 1000),
            "sends": pending.sends,
            **attempt.copy_fields,
        }
        request_id = pending.request.request_id
        if pending.relayed_from:
            fields["relayed_from"] = pending.relayed_from
            reply = RelayReply(
                verdict=Verdict.RAN,
                status=event.status,
                headers=event.headers,
                body=event.body,
                leaving=[list(attempt.incarnation)] if event.leaving else [],
            )
            effect = ReplyToRelay(request_id, reply)
        else:
            effect = Respond(request_id, event.status, event.headers, event.body)
        effects.append(LogDecision("answered", str(event.status), fields))
        effects.append(effect)

    # Cancellation, expiry and refusal

    def cancel_request(self, request_id, now, effects):
        """Drop a request whose caller has disconnected, and abort its attempt if the
        route is idempotent.
        """
        pending = self.pending_by_id.get(request_id)
        if pending is None:
            return
        self._remove_pending(pending)
        self.relays.cancel(pending, effects)
        attempt = self.attempts_by_id.get(pending.attempt_id)
        if attempt is None:
            return
        attempt.abandoned = True
        if pending.route.idempotent:
            effects.append(AbandonAttempt(pending.attempt_id))

    def expire_waiting(self, now, effects):
        """Refuse the requests that have waited too long, and send others."""
        for name, queue in list(self.queues_by_name.items()):
            for pending in list(queue.pending_requests):
                if pending.request.request_id not in self.pending_by_id:
                    queue.discard(pending)
                elif self._has_waited_too_long(pending, now):
                    queue.discard(pending)
                    self._refuse_waiting(pending, queue, now, effects)
            self.send_waiting(name, now, effects)

    def answer_all(self, now, effects):
        """Answer all requests before the process ends. Those at an upstream may have
        run.
        """
        for pending in list(self.pending_by_id.values()):
            refusal = Refusal.STOPPING
            if pending.attempt_id in self.attempts_by_id:
                self.attempts_by_id[pending.attempt_id].abandoned = True
                pending.verdict = Verdict.MAY_HAVE_RUN
                refusal = Refusal.TIMEOUT
            if pending.relay_id:
                self.relays.cancel(pending, effects)
                pending.verdict = Verdict.MAY_HAVE_RUN
                refusal = Refusal.TIMEOUT
            self._refuse(pending, refusal, now, effects, STOPPING_RETRY_AFTER_S)

    def _has_waited_too_long(self, pending, now):
        if now >= pending.expires_at - MIN_ATTEMPT_TIME_S:
            return True
        return now >= pending.arrived_at + compute_max_wait(pending.route)

    def _refuse_waiting(self, pending, queue, now, effects):
        wait_s = queue.estimate_wait(pending.route.priority)
        wait_s = max(wait_s, MIN_EXPECTED_WAIT_S)
        pause_s = self._compute_pause_left(pending, now)
        self._refuse(pending, pending.refusal, now, effects, wait_s, pause_s)

    def _refuse(self, pending, refusal, now, effects, wait_s=0.0, pause_s=0.0):
        if pending.relayed_from:
            reason = find_decline_reason(refusal, pending.verdict)
            if reason:
                self._decline(pending, reason, effects)
                return
        self._remove_pending(pending)
        retry_after_s = choose_retry_after(wait_s, self.rng, pause_s) if wait_s else 0.0
        effect = build_refusal(pending.request, refusal, pending.verdict, retry_after_s)
        fields = {
            "request_id": pending.request.caller_id,
            "route": pending.route.route_id if pending.route else "",
            "service": pending.service_id,
            "status": effect.status,
            "verdict": pending.verdict.value,
            "total_ms": round((now - pending.arrived_at) * 1000),
            "configuration": self._find_configuration_version(),
            "queue": pending.queue_name,
            "sends": pending.sends,
        }
        if pending.relayed_from:
            fields["relayed_from"] = pending.relayed_from
            reply = RelayReply(
                verdict=pending.verdict,
                refusal=refusal.value,
                wait_s=max(wait_s, pause_s),
            )
            effect = ReplyToRelay(pending.request.request_id, reply)
        effects.append(LogDecision("refused", refusal, fields))
        effects.append(effect)

    def _remove_pending(self, pending):
        self.pending_by_id.pop(pending.request.request_id, None)
        if pending.relayed_from:
            self.relayed_requests.discard(pending.request.request_id)
        queue = self.queues_by_name.get(pending.queue_name)
        if queue is not None:
            queue.discard(pending)

    def retain_upstreams(self, upstream_ids):
        """Delete loads and queues of upstreams that no longer exist.

        :param upstream_ids: collection of the ids of existing upstreams.
        """
        self.placement.retain_upstreams(upstream_ids)
        for name, queue in list(self.queues_by_name.items()):
            owner = name.partition("/")[2]
            if owner and owner not in upstream_ids and not len(queue):
                del self.queues_by_name[name]

    # Look-ups

    def _find_configuration_version(self):
        configuration = self.directory.configuration
        return 0 if configuration is None else configuration.version

    def _find_service(self, pending):
        services = self.directory.configuration.services_by_id
        return services.get(pending.service_id)

    def _get_queue(self, name):
        queue = self.queues_by_name.get(name)
        if queue is None:
            queue = self.queues_by_name[name] = WaitingRequests()
        return queue

    def _try_spend_retry(self, service_id, now):
        return self._get_budget(service_id).try_spend(now)

    def _get_budget(self, service_id):
        budget = self.budgets_by_service.get(service_id)
        if budget is None:
            budget = self.budgets_by_service[service_id] = RetryBudget(
                self.settings.retry_ratio, self.settings.retry_window_s
            )
        return budget
