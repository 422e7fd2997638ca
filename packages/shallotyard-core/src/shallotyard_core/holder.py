"""Serves the calls for the upstreams that this instance holds."""

from shallotyard_core.admission import Offer
from shallotyard_core.assignment import build_upstream_claim_id
from shallotyard_core.attempts import build_answer
from shallotyard_core.attempts import build_attempt
from shallotyard_core.attempts import classify_finish
from shallotyard_core.attempts import find_broken_guarantee
from shallotyard_core.attempts import judge_attempt
from shallotyard_core.calls import Call
from shallotyard_core.calls import CallResult
from shallotyard_core.calls import Reason
from shallotyard_core.coverage import find_covering_claim
from shallotyard_core.coverage import find_outcome_slice
from shallotyard_core.coverage import is_sendable
from shallotyard_core.coverage import is_slice_ready
from shallotyard_core.coverage import retag_call
from shallotyard_core.effects import CancelAttempt
from shallotyard_core.effects import LogDecision
from shallotyard_core.exceptions import InvariantError
from shallotyard_core.held_upstreams import SLOW_MEMORY_S
from shallotyard_core.held_upstreams import HeldUpstream
from shallotyard_core.outcome_records import StoredResponse
from shallotyard_core.outcomes import BeginKind
from shallotyard_core.outcomes import OutcomeStore
from shallotyard_core.quarantine import Decision
from shallotyard_core.quarantine import Quarantine
from shallotyard_core.service_state import is_out_of_service
from shallotyard_core.suspects import is_suspect
from shallotyard_core.suspects import mark_suspects
from shallotyard_core.unresolved_attempts import add_unresolved_attempt
from shallotyard_core.unresolved_attempts import drop_in_flight
from shallotyard_core.unresolved_attempts import resolve_attempt
from shallotyard_core.unresolved_attempts import resolve_due_attempts
from shallotyard_core.unresolved_attempts import resolve_former_attempts
from shallotyard_core.verdict import Verdict
from shallotyard_core.waiting_calls import WaitingCalls

# An attempt gives up this long before the lease ends, for the time that its
# last bytes need to be written.
LEASE_MARGIN_S = 0.02
MIN_RUN_S = 0.005
# With more of the other upstreams slow lately, a slow one is left to the average.
MAX_SLOW_SHARE = 0.25
PARK_RETRY_AFTER_S = 1.0

_ANSWER_BY_BEGIN = {
    BeginKind.UNKNOWN: CallResult(Verdict.MAY_HAVE_RUN, Reason.OUTCOME_UNKNOWN),
    BeginKind.INCOMPLETE: CallResult(Verdict.MAY_HAVE_RUN, Reason.OUTCOME_UNKNOWN),
    BeginKind.MISMATCH: CallResult(Verdict.NOT_RUN, Reason.IDEMPOTENCY_MISMATCH),
}


class Holder:
    """Calls, held upstreams and outcome store of one instance.

    Answers collect in ``answers`` as (call, `RelayAnswer`); the reducer hands
    them to the ingress that sent the call.

    :param leases: the `LeaseRegistry` of this instance.
    """

    def __init__(self, leases):
        self.leases = leases
        self.table = None
        self.deployment = None
        self.outcome_store = OutcomeStore()
        self.quarantine = Quarantine()
        self.held_upstreams_by_id = {}
        self.calls_by_id = {}
        self.waiting = WaitingCalls()
        self.answers = []
        self.changed_marks = []
        self.outcomes = []
        self.witness_gate = None
        self.recalling_slice_ids = set()
        self.out_of_service_ids = frozenset()
        self.report_due = False
        self._claim_by_upstream = {}

    # Configuration and assignment

    def reconfigure(self, deployment, now):
        """Put a newer deployment in force."""
        self.deployment = deployment
        for upstream_id, held_upstream in self.held_upstreams_by_id.items():
            upstream = deployment.upstreams_by_id.get(upstream_id)
            if upstream is not None:
                held_upstream.upstream = upstream
                held_upstream.service = deployment.services_by_id[upstream.service]
                held_upstream.admission.reconfigure(held_upstream.service)
        if self.table is not None:
            # The assignment may name an upstream before the manifest is here.
            self._attach_links(now)

    def apply_assignment(self, table, now):
        """Take over a newer assignment table and return the `AssignmentChange`."""
        hot_before = self.leases.parent_by_hot_claim
        assignment_change = self.leases.apply_assignment(table, now)
        self.table = table
        for claim in assignment_change.lost_claims:
            self._lose(claim, now)
        if hot_before != self.leases.parent_by_hot_claim:
            # After missed revisions a position may have moved to another holder
            # although no claim of this instance ended.
            self._requeue_all(now)
        self._attach_links(now)
        self._withdraw_unsent(now)
        self._retag_running()
        return assignment_change

    def _attach_links(self, now):
        claims = self.leases.claims_by_id
        for upstream_id in self.table.upstreams_by_id:
            claim = claims.get(build_upstream_claim_id(upstream_id))
            upstream = self.deployment.upstreams_by_id.get(upstream_id)
            if claim is None or upstream is None:
                self._claim_by_upstream.pop(upstream_id, None)
                continue
            self._claim_by_upstream[upstream_id] = claim
            if upstream_id not in self.held_upstreams_by_id:
                service = self.deployment.services_by_id[upstream.service]
                held_upstream = HeldUpstream.from_config(upstream, service, now)
                self.held_upstreams_by_id[upstream_id] = held_upstream

    def _lose(self, claim, now):
        held_upstream = self.held_upstreams_by_id.get(claim.upstream_id)
        if held_upstream is None:
            return
        granted = held_upstream.granted.pop(claim.claim_id, None) is not None
        # An upstream that also owns the next epoch will replace the grant.
        if granted and claim.next_upstream != claim.upstream_id:
            held_upstream.revoked.add(claim.claim_id)
            # The next holder waits for the revocation.
            held_upstream.polled_at = float("-inf")
        self.requeue_queued(held_upstream, now)

    def requeue_queued(self, held_upstream, now):
        """Park the calls that wait in the admission queue of an upstream."""
        for call in held_upstream.admission.take_queue():
            self.requeue(call, now)

    def requeue(self, call, now):
        """Park a call that was in an admission queue."""
        self._forget_begin(call, Verdict.NOT_RUN, None, now)
        call.claim = call.upstream_claim = None
        self.waiting.park(call)

    def _requeue_all(self, now):
        for held_upstream in self.held_upstreams_by_id.values():
            self.requeue_queued(held_upstream, now)

    def _withdraw_unsent(self, now):
        """Park the calls that wait for a witness although their claims ended."""
        for call in list(self.calls_by_id.values()):
            if call.sent_at or self._is_covered(call):
                continue
            self._withdraw(call, self.held_upstreams_by_id[call.relay.upstream_id])
            self.requeue(call, now)

    def _is_covered(self, call):
        """Tell whether a call's claims are current and cover its position."""
        if self.admission_claim(call.relay.upstream_id) is not call.upstream_claim:
            return False
        if call.claim is None:
            return True
        claim = find_covering_claim(self.table, self.leases, call.relay)
        return claim is call.claim

    def _retag_running(self):
        """Count attempts under the claim that covers them after a split or merge.

        This includes unresolved attempts: a claim must not be released while they may
        still run.
        """
        calls = [call for call in self.calls_by_id.values() if call.sent_at]
        for held_upstream in self.held_upstreams_by_id.values():
            calls += [
                unresolved.call
                for unresolved in held_upstream.unresolved_attempts_by_id.values()
            ]
        for call in calls:
            retag_call(call, self.table, self.leases)

    def outcome_slice(self, relay):
        """Return the slice that outcome records of a request are kept under."""
        return find_outcome_slice(self.table, relay)

    def admission_claim(self, upstream_id):
        """Return the claim on an upstream, ``None`` if another instance has it."""
        return self._claim_by_upstream.get(upstream_id)

    def take_out_of_service(self, out_of_service_ids, now, effects):
        """Stop starting unkeyed requests on upstreams that are out of service.

        An ingress may learn of it later than this instance. Keyed requests go on
        until their slices have moved.

        :param out_of_service_ids: ids of failure domains, instances and upstreams.
        :param now: current time in seconds.
        :param effects: list that effects are appended to.
        """
        self.out_of_service_ids = out_of_service_ids
        for held_upstream in self.held_upstreams_by_id.values():
            if self._is_out_of_service(held_upstream.upstream):
                self.requeue_queued(held_upstream, now)
        self.retry_parked(now, effects)

    def _is_out_of_service(self, upstream):
        return is_out_of_service(upstream.id, upstream.domain, self.out_of_service_ids)

    # Calls

    def accept(self, call, now, effects):
        """Start, queue, park or answer a call.

        :param call: a new or parked `Call`.
        :param now: current time in seconds.
        :param effects: list that effects are appended to.
        """
        if call.deadline <= now:
            self._end(call, CallResult(Verdict.NOT_RUN, Reason.DEADLINE), now, effects)
            return
        held_upstream = self.held_upstreams_by_id.get(call.relay.upstream_id)
        if (
            call.relay.position < 0
            and held_upstream is not None
            and self._is_out_of_service(held_upstream.upstream)
        ):
            self._end(
                call, CallResult(Verdict.NOT_RUN, Reason.OUT_OF_SERVICE), now, effects
            )
            return
        ready = self._find_claims(call, now)
        if ready is None:
            self._end(call, CallResult(Verdict.NOT_RUN, Reason.MOVED), now, effects)
        elif not ready:
            self._park(call, now, effects)
        else:
            self._begin(call, now, effects)

    def _find_claims(self, call, now):
        """Attach claims to a call.

        :return: ``None`` if another instance holds them, else whether they can
            be used now.
        """
        relay = call.relay
        if self.table is None or relay.revision > self.table.revision:
            return False
        claim = None
        upstream_id = relay.upstream_id
        if relay.position >= 0:
            claim = find_covering_claim(self.table, self.leases, relay)
            if claim is None:
                return None
            upstream_id = claim.upstream_id
        admission_claim = self._claim_by_upstream.get(upstream_id)
        held_upstream = self.held_upstreams_by_id.get(upstream_id)
        if admission_claim is None or held_upstream is None:
            return None
        relay.upstream_id = upstream_id
        call.claim = claim
        call.upstream_claim = admission_claim
        if not self.leases.is_usable(admission_claim, now):
            return False
        return claim is None or is_slice_ready(call, held_upstream, self.leases, now)

    def _park(self, call, now, effects):
        if self.waiting.full:
            call_result = CallResult(Verdict.NOT_RUN, Reason.SATURATED)
            call_result.retry_after_s = PARK_RETRY_AFTER_S
            self._end(call, call_result, now, effects)
            return
        self.waiting.park(call)

    def retry_parked(self, now, effects):
        """Try all parked calls again."""
        for call in self.waiting.take_parked():
            self.accept(call, now, effects)

    def _begin(self, call, now, effects):
        relay = call.relay
        held_upstreams = self.held_upstreams_by_id.values()
        if not relay.idempotent and is_suspect(held_upstreams, relay.fingerprint):
            # Until it is known whether the same request just ended an upstream.
            self._park(call, now, effects)
            return
        if relay.identity and relay.position >= 0 and not call.begun:
            slice_id = self.outcome_slice(relay)
            if slice_id in self.recalling_slice_ids:
                self._park(call, now, effects)
                return
            result = self.outcome_store.begin(
                slice_id, relay.identity, relay.fingerprint, now
            )
            if not self._use_begin(call, result, now, effects):
                return
        decision = self.quarantine.decide(relay.fingerprint, now)
        if decision is Decision.REFUSE:
            self._end(
                call, CallResult(Verdict.NOT_RUN, Reason.QUARANTINED), now, effects
            )
            return
        call.alone = decision is Decision.RUN_ALONE
        self._offer(call, now, effects)

    def _use_begin(self, call, result, now, effects):
        """Act on what the outcome store knows; true if the request may run."""
        if result.kind is BeginKind.FRESH:
            call.begun = True
            return True
        if result.kind is BeginKind.RUNNING:
            self.waiting.add_repeat(call)
            return False
        if result.kind is BeginKind.DONE:
            response = result.record.response
            headers = dict(response.headers)
            call_result = CallResult(
                Verdict.RAN, Reason.REPEATED, response.status, headers, response.body
            )
        else:
            call_result = _ANSWER_BY_BEGIN[result.kind]
        self._end(call, call_result, now, effects)
        return False

    def _offer(self, call, now, effects):
        held_upstream = self.held_upstreams_by_id[call.relay.upstream_id]
        if held_upstream.state == "draining" and call.claim is not None:
            # The slice is about to move; the call waits for its new owner.
            self.requeue(call, now)
            return
        offer = held_upstream.admission.offer(call, call.deadline, now, call.alone)
        if offer is Offer.ADMITTED:
            self._prepare(call, held_upstream, now, effects)
        elif offer is Offer.REFUSED:
            call_result = CallResult(Verdict.NOT_RUN, Reason.SATURATED)
            call_result.retry_after_s = held_upstream.admission.retry_after_s(now)
            self._end(call, call_result, now, effects)

    def _prepare(self, call, held_upstream, now, effects):
        """Send an admitted call, after its witness has a copy of its record."""
        if call.cancelled or call.deadline <= now:
            held_upstream.admission.abandon()
            reason = Reason.CANCELLED if call.cancelled else Reason.DEADLINE
            self._end(call, CallResult(Verdict.NOT_RUN, reason), now, effects)
            return
        if call.begun and self.witness_gate is not None:
            gate = self.witness_gate(call, now, effects)
            if gate == "wait":
                self.calls_by_id[call.relay.call_id] = call
                return
            if gate == "park":
                held_upstream.admission.abandon()
                self.requeue(call, now)
                return
        self.launch(call, now, effects)

    def witnessed(self, call_id, stored, now, effects):
        """Continue a call whose witness answered, or did not."""
        call = self.calls_by_id.get(call_id)
        if call is None or call.sent_at:
            return
        if stored:
            self.launch(call, now, effects)
            return
        self._withdraw(call, self.held_upstreams_by_id[call.relay.upstream_id])
        self.requeue(call, now)

    def launch(self, call, now, effects):
        """Send an admitted call to its upstream, if its claims still allow it."""
        relay = call.relay
        held_upstream = self.held_upstreams_by_id[relay.upstream_id]
        limit = min(call.deadline, now + held_upstream.service.max_run_ms / 1000.0)
        if call.claim is not None:
            limit = min(limit, self.leases.lease_until - LEASE_MARGIN_S)
        if not is_sendable(call, held_upstream, self.leases, now):
            self._withdraw(call, held_upstream)
            self.requeue(call, now)
            return
        if limit - now < MIN_RUN_S:
            self._withdraw(call, held_upstream)
            self._end(call, CallResult(Verdict.NOT_RUN, Reason.DEADLINE), now, effects)
            return
        self._refuse_broken(call, held_upstream, limit, now, effects)
        call.sent_at = now
        call.attempt_deadline = limit
        call.boot_id = held_upstream.boot_id
        call.upstream_claim.in_flight += 1
        if call.claim is not None:
            call.claim.in_flight += 1
            held_upstream.count_position(relay.position)
        self.calls_by_id[relay.call_id] = call
        held_upstream.calls[relay.call_id] = call
        home_regions = self._home_regions(relay)
        effects.append(build_attempt(call, held_upstream, home_regions, limit, now))

    def _home_regions(self, relay):
        client = self.deployment.clients_by_id.get(relay.client_id)
        return client.home_regions if client else ()

    def _withdraw(self, call, held_upstream):
        """Give back the slot of an admitted call that was not sent."""
        self.calls_by_id.pop(call.relay.call_id, None)
        held_upstream.admission.abandon()

    def _refuse_broken(self, call, held_upstream, limit, now, effects):
        """Refuse an attempt that would break a guarantee.

        :raises InvariantError: if it would; the call is answered as not run.
        """
        home_regions = self._home_regions(call.relay)
        fault = find_broken_guarantee(
            call, held_upstream, home_regions, limit, self.leases
        )
        if fault is None:
            return
        self._withdraw(call, held_upstream)
        self._end(call, CallResult(Verdict.NOT_RUN, Reason.NOT_READY), now, effects)
        raise InvariantError(*fault)

    def may_send(self, call_id, now):
        """Tell whether a transfer may write its request at this moment.

        Called immediately before the bytes are written, because the process may
        have been frozen since the decision to send.
        """
        call = self.calls_by_id.get(call_id)
        if call is None or now >= call.attempt_deadline:
            return False
        # A claim that moves meanwhile still has its old lease, which bounds the
        # attempt's deadline.
        return now < self.leases.lease_until or now < call.upstream_claim.lease_ends_at

    # Ends of attempts

    def finish(self, event, effects):
        """Handle the end of a transfer.

        :param event: an `AttemptFinished`.
        :param effects: list that effects are appended to.
        """
        call = self.calls_by_id.pop(event.call_id, None)
        if call is None:
            return
        held_upstream = self.held_upstreams_by_id[call.relay.upstream_id]
        held_upstream.calls.pop(event.call_id, None)
        now = event.now
        # A response of the process that the request was sent to may be handled
        # after a poll that showed its successor, and says nothing new.
        if event.boot_id and event.boot_id != call.boot_id:
            self.note_boot(held_upstream, event.boot_id, now, effects)
        call_result = judge_attempt(call, held_upstream, event)
        if call_result.verdict is Verdict.MAY_HAVE_RUN:
            add_unresolved_attempt(call, held_upstream, now, effects)
        elif call_result.reason is Reason.CANCELLED:
            drop_in_flight(call)
            held_upstream.admission.abandon()
        else:
            drop_in_flight(call)
            kind = classify_finish(event, call_result)
            held_upstream.admission.finish(now, now - call.sent_at, kind)
        if call_result.verdict is Verdict.RAN:
            held_upstream.reached_at = now
            if held_upstream.observe(now - call.sent_at, call.sent_at):
                self._report_slow(held_upstream, effects)
            if call.alone:
                marks = self.quarantine.succeeded_alone(call.relay.fingerprint, now)
                self.changed_marks.extend(marks)
        self._end(call, call_result, now, effects)
        self.pump(held_upstream, now, effects)

    def _report_slow(self, held_upstream, effects):
        """Report an upstream as slow at once, unless the machine may be the cause.

        A daemon that is short of processor time sees slow responses of many upstreams,
        and cannot tell with a single one.
        """
        slow = others = 0
        for other in self.held_upstreams_by_id.values():
            if other is not held_upstream and other.rate > 0:
                others += 1
                slow += held_upstream.slow_at - other.slow_at < SLOW_MEMORY_S
        if others and slow <= MAX_SLOW_SHARE * others:
            held_upstream.use_slow_run()
            self.report_due = True
            fields = {
                "upstream": held_upstream.upstream.id,
                "latency_s": held_upstream.latency_s,
            }
            effects.append(
                LogDecision("upstream-slow", "slow responses in a row", fields)
            )

    def resolve(self, call_id, now):
        """Record that an unresolved attempt has surely ended at the upstream."""
        resolve_attempt(self.held_upstreams_by_id.values(), call_id, now)

    def resolve_due(self, now):
        """Resolve the unresolved attempts whose deadline has passed."""
        resolve_due_attempts(self.held_upstreams_by_id.values(), now)

    def note_boot(self, held_upstream, boot_id, now, effects):
        """Notice a restart of an upstream by its boot id."""
        if held_upstream.boot_id == boot_id:
            return
        restarted = held_upstream.boot_id != ""
        held_upstream.boot_id = boot_id
        held_upstream.granted.clear()
        held_upstream.revoked.clear()
        # The clock of the new process is unknown until the next poll.
        held_upstream.clock_ms = 0.0
        held_upstream.clock_at = now
        held_upstream.polled_at = float("-inf")
        if restarted:
            held_upstream.admission.restart(now)
            held_upstream.admission.cold = True
            held_upstream.restarted_at = now
            self._mark_suspects(held_upstream, "boot id changed", now, effects)
            resolve_former_attempts(held_upstream, now)

    def clear_suspects(self, held_upstream, sent_at):
        """Note that an upstream lives which was asked at ``sent_at``."""
        held_upstream.suspects = [
            each for each in held_upstream.suspects if each[0] > sent_at
        ]

    def mark_dead(self, now, effects):
        """Mark the requests that were in flight at upstreams that went silent."""
        for held_upstream in self.held_upstreams_by_id.values():
            if held_upstream.suspects and held_upstream.report_state(now) == "dead":
                self._mark_suspects(held_upstream, "silent", now, effects)

    def _mark_suspects(self, held_upstream, reason, now, effects):
        changed = mark_suspects(held_upstream, reason, self.quarantine, now, effects)
        self.changed_marks.extend(changed)

    def pump(self, held_upstream, now, effects):
        """Start queued calls that fit and drop those whose deadline passed."""
        for call in held_upstream.admission.drop_expired(now):
            self._end(call, CallResult(Verdict.NOT_RUN, Reason.DEADLINE), now, effects)
        for call in held_upstream.admission.take_ready(now):
            self._prepare(call, held_upstream, now, effects)

    # Answers

    def _end(self, call, call_result, now, effects):
        if call.begun:
            self._forget_begin(call, call_result.verdict, call_result, now)
        self.answers.append((call, build_answer(call, call_result)))

    def _forget_begin(self, call, verdict, call_result, now):
        """Write the outcome of a begun request and wake the repeats of it."""
        if not call.begun:
            return
        call.begun = False
        relay = call.relay
        response = None
        if verdict is Verdict.RAN:
            headers = tuple((call_result.headers or {}).items())
            response = StoredResponse(call_result.status, headers, call_result.body)
        slice_id = self.outcome_slice(relay)
        record = self.outcome_store.finish(
            slice_id, relay.identity, now, verdict, response
        )
        if record is not None:
            self.outcomes.append(record)
        self.waiting.park_repeats(relay.identity)

    def cancel(self, call_id, effects):
        """Cancel a call whose answer is no longer wanted."""
        call = self.calls_by_id.get(call_id) or self.waiting.remove(call_id)
        if call is None or call.begun:
            return
        call.cancelled = True
        held_upstream = self.held_upstreams_by_id.get(call.relay.upstream_id)
        if held_upstream and call_id in held_upstream.calls:
            address = held_upstream.upstream.address
            effects.append(CancelAttempt(call_id, address, call.relay.request_id))

    @property
    def busy(self):
        """Tell whether calls are in progress."""
        return bool(self.calls_by_id or self.waiting.parked_by_id)


def create_call(relay, origin, reply_to, now):
    """Return the call of a relayed request, with its deadline in local time."""
    return Call(relay, origin, reply_to, now + relay.remaining_s)
