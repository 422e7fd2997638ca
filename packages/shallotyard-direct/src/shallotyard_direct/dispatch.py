"""Routes, queues, sends, retries and answers requests."""

import math
import random

from shallotyard_core.effects import LogDecision
from shallotyard_core.exceptions import InvariantError
from shallotyard_core.verdict import Verdict
from shallotyard_core.violations import count_violation
from shallotyard_direct.accounts.access import Access
from shallotyard_direct.accounts.quota_shares import UNKNOWN_RETRY_AFTER_S
from shallotyard_direct.accounts.quota_shares import AccountQuotas
from shallotyard_direct.crash_marks import CrashMarks
from shallotyard_direct.effects import AbandonAttempt
from shallotyard_direct.effects import ReplyToRelay
from shallotyard_direct.effects import SendAttempt
from shallotyard_direct.model import NO_KEY
from shallotyard_direct.model import RelayReply
from shallotyard_direct.pending import Attempt
from shallotyard_direct.placement import Placement
from shallotyard_direct.reachability import Reachability
from shallotyard_direct.refusals import refuse
from shallotyard_direct.relaying import RelayedRequests
from shallotyard_direct.relaying import Relays
from shallotyard_direct.responses import Refusal
from shallotyard_direct.retry_budget import RetryBudget
from shallotyard_direct.waiting import WaitingRequests
from shallotyard_direct.waiting import compute_max_wait

# Typical time until the keys of a lost owner have a new one: detection, the rest of
# the grant TTL, and the new grant.
OWNER_REPLACEMENT_S = 1.0
# Round-trip times to upstreams of the own region and of other regions.
SAME_REGION_RTT_S = 0.002
CROSS_REGION_RTT_S = 0.06
# A request with less time left could not be processed before its deadline.
MIN_ATTEMPT_TIME_S = 0.02
# Lower bound of the expected wait from which Retry-After is computed.
MIN_EXPECTED_WAIT_S = 0.3
# Retry-After while shutting down; another instance can serve the request at once.
STOPPING_RETRY_AFTER_S = 0.05
# Retry-After while the known keys are too old; another instance may know newer ones.
KEYS_OUTDATED_RETRY_AFTER_S = 0.5


class Dispatcher:
    """Handles the requests in progress at this instance.

    :param settings: the `DirectSettings`.
    :param directory: the `Directory`.
    :param owners: the `Owners` of keys.
    :param describe_copy: function from the time to log fields that describe the copy
        of the store's objects.
    :param rng: a ``random.Random``.
    :param get_fresh_at: see `Access`.
    :param incarnation: unique id of this run of the process.
    :param now: start of the process in seconds.
    """

    def __init__(
        self,
        settings,
        directory,
        owners,
        describe_copy,
        rng=random,
        get_fresh_at=lambda: -math.inf,
        incarnation="",
        now=0.0,
    ):
        self.settings = settings
        self.directory = directory
        self.owners = owners
        self.describe_copy = describe_copy
        self.access = Access(settings, directory, get_fresh_at)
        self.quotas = AccountQuotas(settings, incarnation, now, rng)
        # Requests that wait for a share, their account ids and deadlines, by id.
        self.unshared = {}
        self.rng = rng
        self.placement = Placement(settings, directory, owners, rng)
        self.reachability = Reachability(directory, rng)
        self.relays = Relays(
            settings,
            self.dispatch,
            self.refuse,
            self._respond_relayed,
            self._try_spend_retry,
            rng,
            self.access,
            self.quotas,
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

    # Dispatch

    def dispatch(self, pending, now, effects):
        """Send, queue, relay or refuse a request whose route is known."""
        if self.refuse_unauthorized(pending, now, effects):
            return
        if now > self.accept_all_until and not (pending.sends or pending.fits_shutdown):
            self.refuse(pending, Refusal.STOPPING, now, effects, STOPPING_RETRY_AFTER_S)
            return
        if self.crash_marks.is_refused(pending.request):
            self.refuse(pending, Refusal.QUARANTINED, now, effects)
            return
        service = self.find_service(pending)
        if service is None:
            self.refuse(pending, Refusal.NO_UPSTREAM, now, effects, OWNER_REPLACEMENT_S)
            return
        if service.keyed and pending.request.key == NO_KEY:
            self.refuse(pending, Refusal.BAD_REQUEST, now, effects)
            return
        self._assign_queue(pending, service)
        if self.reachability.is_cut_off:
            self._relay(pending, now, effects)
            return
        queue = self.get_queue(pending.queue_name)
        if not len(queue) and self._try_send(pending, now, effects):
            return
        if pending.request.request_id in self.pending_by_id:
            self._enqueue(pending, queue, now, effects)

    def _assign_queue(self, pending, service):
        if service.keyed:
            key_range = self.owners.find_range(pending.service_id, pending.request.key)
            owner = key_range.upstream_id if key_range is not None else ""
            pending.queue_name = f"{pending.service_id}/{owner}"
            if not pending.key_counted:
                pending.key_counted = True
                self.owners.count_request(pending.service_id, pending.request.key)
        else:
            pending.queue_name = pending.service_id

    def _enqueue(self, pending, queue, now, effects):
        cannot_wait = pending.refusal in (
            Refusal.NO_UPSTREAM,
            Refusal.KEY_WITHOUT_OWNER,
        )
        pause_s = self.compute_pause_left(pending, now)
        if pause_s:
            pending.refusal = Refusal.UPSTREAM_PAUSED
            cannot_wait |= self._has_waited_too_long(pending, now + pause_s)
        if cannot_wait or not queue.accepts(pending, now, pause_s):
            displaced = None
            if not cannot_wait:
                displaced = queue.find_displaced(pending, now, pause_s)
            self._refuse_waiting(displaced or pending, queue, now, effects)
            if displaced is None:
                return
        queue.add(pending)
        self.send_waiting(pending.queue_name, now, effects)

    # Client accounts

    def refuse_unauthorized(self, pending, now, effects):
        """Refuse a request that the known configuration does not allow. One that may
        have run keeps its verdict.

        :return: whether it was refused.
        """
        refusal = self.access.apply(pending, now)
        if refusal is None:
            return False
        if pending.verdict is not Verdict.NOT_RUN:
            refusal = Refusal.LOST
        is_outdated = refusal is Refusal.KEYS_OUTDATED
        wait_s = KEYS_OUTDATED_RETRY_AFTER_S if is_outdated else 0.0
        self.refuse(pending, refusal, now, effects, wait_s)
        return True

    def _refuse_unsendable(self, pending, now, effects):
        """Refuse a request that may not be sent now.

        :return: whether it was refused.
        """
        if self.refuse_unauthorized(pending, now, effects):
            return True
        if self.quotas.may_send(pending.request.request_id, now):
            return False
        is_not_run = pending.verdict is Verdict.NOT_RUN
        refusal = Refusal.QUOTA_UNKNOWN if is_not_run else Refusal.LOST
        self.refuse(pending, refusal, now, effects, UNKNOWN_RETRY_AFTER_S)
        return True

    def refuse_waiting_unauthorized(self, now, effects):
        """Apply a new configuration to the waiting requests."""
        for queue in list(self.queues_by_name.values()):
            for pending in list(queue.pending_requests):
                if pending.request.request_id in self.pending_by_id:
                    self.refuse_unauthorized(pending, now, effects)

    # Relays

    def _relay(self, pending, now, effects):
        if self._refuse_unsendable(pending, now, effects):
            return
        try:
            self.relays.relay(pending, now, effects)
        except InvariantError as error:
            effects.append(count_violation(self, error))
            self.refuse(pending, Refusal.INTERNAL, now, effects)

    def relay_waiting(self, now, effects):
        """Hand all waiting requests to other instances."""
        for queue in self.queues_by_name.values():
            for pending in queue.list_by_urgency(now):
                queue.discard(pending)
                if pending.request.request_id in self.pending_by_id:
                    self._relay(pending, now, effects)

    def _respond_relayed(self, pending, response, effects):
        """Answer a request for which another instance got a response."""
        self.remove_pending(pending)
        self.crash_marks.record_response(pending.request)
        effects.append(response)

    def decline(self, pending, reason, effects):
        """Return a relayed request that has not run to the instance that sent it."""
        self.remove_pending(pending)
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
        for pending in queue.list_by_urgency(now):
            if pending.request.request_id not in self.pending_by_id or self._try_send(
                pending, now, effects
            ):
                queue.discard(pending)
            elif pending.refusal is Refusal.UPSTREAM_PAUSED:
                pause_s = self.compute_pause_left(pending, now)
                if self._has_waited_too_long(pending, now + pause_s):
                    self._refuse_waiting(pending, queue, now, effects)

    def compute_pause_left(self, pending, now):
        """Return the time until an upstream takes a request, in seconds; 0 unless all
        that may serve it have asked for a pause.
        """
        service = self.find_service(pending)
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
        service = self.find_service(pending)
        if service is None:
            return False
        upstream, refusal = self.placement.find_upstream(pending, service, now)
        if upstream is None:
            pending.refusal = refusal
            if refusal is Refusal.OUTSIDE_HOME:
                self.refuse(pending, refusal, now, effects)
            return refusal is Refusal.OUTSIDE_HOME
        if self._refuse_unsendable(pending, now, effects):
            return True
        try:
            self._check_invariants(pending, upstream)
        except InvariantError as error:
            effects.append(count_violation(self, error))
            self.refuse(pending, Refusal.INTERNAL, now, effects)
            return True
        self._send(pending, upstream, now, effects)
        return True

    def _check_invariants(self, pending, upstream):
        if pending.verdict is not Verdict.NOT_RUN and not pending.route.idempotent:
            raise InvariantError(
                "at-most-once", f"second run requested at service {pending.service_id}"
            )
        if not pending.may_run_in(self.directory.find_region(upstream)):
            raise InvariantError(
                "home-region", f"send outside home regions to {upstream.domain}"
            )

    def _send(self, pending, upstream, now, effects):
        occupancy = self.placement.estimate_occupancy(upstream, now)
        had_free_slot = self.placement.record_send(upstream, now)
        self.quotas.record_send(pending.request.request_id, now)
        self.attempt_count += 1
        attempt_id = f"{pending.request.request_id}/{self.attempt_count:x}"
        is_same_region = self.directory.find_region(upstream) == self.settings.region
        has_accounts = self.access.has_accounts()
        account_id = pending.account.account_id if pending.account else ""
        if has_accounts:
            self.get_queue(pending.queue_name).record_send(pending, now)
        self.attempts_by_id[attempt_id] = Attempt(
            pending,
            upstream.upstream_id,
            upstream.started_ms,
            now,
            SAME_REGION_RTT_S if is_same_region else CROSS_REGION_RTT_S,
            had_free_slot,
            upstream.slots,
            self.describe_copy(now),
            account_id=account_id,
            has_accounts=has_accounts,
            occupancy=occupancy,
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
                account_id,
                has_accounts,
            )
        )

    # Cancellation, expiry and refusal

    def cancel_request(self, request_id, now, effects):
        """Drop a request whose caller has disconnected, and abort its attempt if the
        route is idempotent.
        """
        pending = self.pending_by_id.get(request_id)
        if pending is None:
            return
        self.remove_pending(pending)
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
            self.refuse(pending, refusal, now, effects, STOPPING_RETRY_AFTER_S)

    def _has_waited_too_long(self, pending, now):
        if now >= pending.expires_at - MIN_ATTEMPT_TIME_S:
            return True
        return now >= pending.arrived_at + compute_max_wait(pending.route)

    def _refuse_waiting(self, pending, queue, now, effects):
        wait_s = queue.estimate_wait(pending.priority)
        wait_s = max(wait_s, MIN_EXPECTED_WAIT_S)
        pause_s = self.compute_pause_left(pending, now)
        self.refuse(pending, pending.refusal, now, effects, wait_s, pause_s)

    def refuse(self, pending, refusal, now, effects, wait_s=0.0, pause_s=0.0):
        """Answer a request that no upstream answered."""
        refuse(self, pending, refusal, now, effects, wait_s, pause_s)

    def remove_pending(self, pending):
        """Forget a request that has its response, or whose caller has left."""
        request_id = pending.request.request_id
        self.pending_by_id.pop(request_id, None)
        is_in_progress = pending.relay_id or pending.attempt_id in self.attempts_by_id
        if pending.verdict is Verdict.NOT_RUN and not is_in_progress:
            self.quotas.give_back(request_id)
        else:
            self.quotas.forget(request_id)
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

    def find_configuration_version(self):
        """Return the version of the known configuration, 0 without one."""
        configuration = self.directory.configuration
        return 0 if configuration is None else configuration.version

    def find_service(self, pending):
        """Return the `Service` of a request, None if it is not configured."""
        services = self.directory.configuration.services_by_id
        return services.get(pending.service_id)

    def get_queue(self, name):
        """Return the queue of a service or owner; create it if needed."""
        queue = self.queues_by_name.get(name)
        if queue is None:
            queue = self.queues_by_name[name] = WaitingRequests()
        return queue

    def _try_spend_retry(self, service_id, now):
        return self.get_budget(service_id).try_spend(now)

    def get_budget(self, service_id):
        """Return the `RetryBudget` of a service; create it if needed."""
        budget = self.budgets_by_service.get(service_id)
        if budget is None:
            budget = self.budgets_by_service[service_id] = RetryBudget(
                self.settings.retry_ratio, self.settings.retry_window_s
            )
        return budget
