"""Processes the calls to the upstreams that this instance holds."""

from shallotyard_core.admission import AdmissionResult
from shallotyard_core.assignment import build_upstream_claim_id
from shallotyard_core.attempts import build_attempt
from shallotyard_core.attempts import build_reply
from shallotyard_core.attempts import classify_for_admission
from shallotyard_core.attempts import find_violated_guarantee
from shallotyard_core.attempts import interpret_attempt
from shallotyard_core.calls import Call
from shallotyard_core.calls import CallResult
from shallotyard_core.calls import ResultReason
from shallotyard_core.claim_lookup import find_covering_claim
from shallotyard_core.claim_lookup import find_outcome_slice
from shallotyard_core.claim_lookup import is_sendable
from shallotyard_core.claim_lookup import is_slice_ready
from shallotyard_core.claim_lookup import reassign_attempt
from shallotyard_core.effects import CancelAttempt
from shallotyard_core.effects import LogDecision
from shallotyard_core.exceptions import InvariantError
from shallotyard_core.held_upstreams import SLOW_WINDOW_S
from shallotyard_core.held_upstreams import HeldUpstream
from shallotyard_core.outcome_records import StoredResponse
from shallotyard_core.outcomes import OutcomeStore
from shallotyard_core.outcomes import RegistrationStatus
from shallotyard_core.quarantine import Quarantine
from shallotyard_core.quarantine import QuarantineDecision
from shallotyard_core.service_state import is_out_of_service
from shallotyard_core.suspects import is_crash_suspect
from shallotyard_core.suspects import mark_suspects
from shallotyard_core.unresolved_attempts import add_unresolved_attempt
from shallotyard_core.unresolved_attempts import decrement_in_flight
from shallotyard_core.unresolved_attempts import resolve_attempt
from shallotyard_core.unresolved_attempts import resolve_due_attempts
from shallotyard_core.unresolved_attempts import resolve_former_attempts
from shallotyard_core.verdict import Verdict
from shallotyard_core.waiting_calls import WaitingCalls

# An attempt times out this long before the lease ends, which leaves time to write
# its last bytes.
LEASE_END_MARGIN_S = 0.02
MIN_ATTEMPT_S = 0.005
# If a larger fraction of the other upstreams was slow recently, a slow upstream is
# not reported at once, but only once its smoothed latency has risen.
MAX_SLOW_FRACTION = 0.25
PARK_RETRY_AFTER_S = 1.0

_RESULT_BY_REGISTRATION_STATUS = {
    RegistrationStatus.UNKNOWN: CallResult(
        Verdict.MAY_HAVE_RUN, ResultReason.OUTCOME_UNKNOWN
    ),
    RegistrationStatus.INCOMPLETE: CallResult(
        Verdict.MAY_HAVE_RUN, ResultReason.OUTCOME_UNKNOWN
    ),
    RegistrationStatus.MISMATCH: CallResult(
        Verdict.NOT_RUN, ResultReason.IDEMPOTENCY_MISMATCH
    ),
}


class Holder:
    """Calls, held upstreams and outcome store of one instance.

    Completed calls are collected in ``completed_calls`` as (call, `RelayAnswer`); the
    reducer delivers the replies to the ingress instances that sent the calls.
    ``unshared_marks`` and ``unreplicated_records`` collect changed quarantine marks
    and outcome records, which `Control` and `HolderMaintenance` send to other
    instances. ``request_witness_copy`` is set by `HolderMaintenance`.

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
        self.waiting_calls = WaitingCalls()
        self.completed_calls = []
        self.unshared_marks = []
        self.unreplicated_records = []
        self.request_witness_copy = None
        self.recalling_slice_ids = set()
        self.out_of_service_ids = frozenset()
        self.report_due = False
        self._claim_by_upstream = {}

    # Configuration and assignment

    def apply_deployment(self, deployment, now):
        """Apply a newer deployment.

        :param deployment: the newer `Deployment`.
        :param now: current time in seconds.
        """
        self.deployment = deployment
        for upstream_id, held_upstream in self.held_upstreams_by_id.items():
            upstream = deployment.upstreams_by_id.get(upstream_id)
            if upstream is not None:
                held_upstream.upstream = upstream
                held_upstream.service = deployment.services_by_id[upstream.service]
                held_upstream.admission.reconfigure(held_upstream.service)
        if self.table is not None:
            # The assignment may name an upstream that only the newer manifest contains.
            self._update_held_upstreams(now)

    def apply_assignment(self, table, now):
        """Apply a newer assignment table and return the `AssignmentChange`.

        :param table: the newer `AssignmentTable` of the own region.
        :param now: current time in seconds.
        """
        hot_before = self.leases.parent_by_hot_claim
        assignment_change = self.leases.apply_assignment(table, now)
        self.table = table
        for claim in assignment_change.lost_claims:
            self._handle_lost_claim(claim, now)
        if hot_before != self.leases.parent_by_hot_claim:
            # If revisions were skipped, a position may have moved to another holder
            # although no claim of this instance has ended.
            self._park_all_queued(now)
        self._update_held_upstreams(now)
        self._park_calls_without_current_claims(now)
        self._reassign_attempts()
        return assignment_change

    def _update_held_upstreams(self, now):
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

    def _handle_lost_claim(self, claim, now):
        held_upstream = self.held_upstreams_by_id.get(claim.upstream_id)
        if held_upstream is None:
            return
        was_granted = held_upstream.granted_epochs.pop(claim.claim_id, None) is not None
        # If the slice stays at this upstream, the next grant replaces this one.
        if was_granted and claim.next_upstream != claim.upstream_id:
            held_upstream.revoked_claim_ids.add(claim.claim_id)
            # The revocation is sent at once because the next holder waits for it.
            held_upstream.polled_at = float("-inf")
        self.park_queued(held_upstream, now)

    def park_queued(self, held_upstream, now):
        """Park the calls in the admission queue of an upstream.

        :param held_upstream: the `HeldUpstream`.
        :param now: current time in seconds.
        """
        for call in held_upstream.admission.drain_queue():
            self.park_unsent(call, now)

    def park_unsent(self, call, now):
        """Park a call that was not sent, and remove its claims and running record.

        :param call: a `Call` that is new, queued or admitted.
        :param now: current time in seconds.
        """
        self._finish_registration(call, Verdict.NOT_RUN, None, now)
        call.claim = call.upstream_claim = None
        self.waiting_calls.park(call)

    def _park_all_queued(self, now):
        for held_upstream in self.held_upstreams_by_id.values():
            self.park_queued(held_upstream, now)

    def _park_calls_without_current_claims(self, now):
        """Park the calls that wait for a witness and whose claims have ended."""
        for call in list(self.calls_by_id.values()):
            if call.sent_at or self._has_current_claims(call):
                continue
            self._undo_admission(
                call, self.held_upstreams_by_id[call.relay.upstream_id]
            )
            self.park_unsent(call, now)

    def _has_current_claims(self, call):
        """Tell whether a call's claims are current and cover its position."""
        if self.get_admission_claim(call.relay.upstream_id) is not call.upstream_claim:
            return False
        if call.claim is None:
            return True
        claim = find_covering_claim(self.table, self.leases, call.relay)
        return claim is call.claim

    def _reassign_attempts(self):
        """Count attempts under the claims that cover them after a split or merge.

        This includes unresolved attempts, because a claim must not be released while
        they may still be running.
        """
        calls = [call for call in self.calls_by_id.values() if call.sent_at]
        for held_upstream in self.held_upstreams_by_id.values():
            calls += [
                unresolved.call
                for unresolved in held_upstream.unresolved_attempts_by_id.values()
            ]
        for call in calls:
            reassign_attempt(call, self.table, self.leases)

    def find_outcome_slice(self, relay):
        """Return the id of the slice that stores a request's outcome record.

        :param relay: the `Relay` of a keyed request.
        """
        return find_outcome_slice(self.table, relay)

    def get_admission_claim(self, upstream_id):
        """Return this instance's claim on an upstream, ``None`` if it has none."""
        return self._claim_by_upstream.get(upstream_id)

    def apply_out_of_service(self, out_of_service_ids, now, effects):
        """Stop sending unkeyed requests to upstreams that are out of service.

        An ingress instance may get the service state later than this instance. Keyed
        requests continue until their slices have moved.

        :param out_of_service_ids: ids of failure domains, instances and upstreams.
        :param now: current time in seconds.
        :param effects: list that effects are appended to.
        """
        self.out_of_service_ids = out_of_service_ids
        for held_upstream in self.held_upstreams_by_id.values():
            if self._is_out_of_service(held_upstream.upstream):
                self.park_queued(held_upstream, now)
        self.retry_parked(now, effects)

    def _is_out_of_service(self, upstream):
        return is_out_of_service(upstream.id, upstream.domain, self.out_of_service_ids)

    # Calls

    def accept_call(self, call, now, effects):
        """Start, queue, park or complete a call.

        :param call: a new or previously parked `Call`.
        :param now: current time in seconds.
        :param effects: list that effects are appended to.
        """
        if call.deadline <= now:
            self._complete_call(
                call, CallResult(Verdict.NOT_RUN, ResultReason.DEADLINE), now, effects
            )
            return
        held_upstream = self.held_upstreams_by_id.get(call.relay.upstream_id)
        if (
            call.relay.position < 0
            and held_upstream is not None
            and self._is_out_of_service(held_upstream.upstream)
        ):
            self._complete_call(
                call,
                CallResult(Verdict.NOT_RUN, ResultReason.OUT_OF_SERVICE),
                now,
                effects,
            )
            return
        ready = self._find_claims(call, now)
        if ready is None:
            self._complete_call(
                call, CallResult(Verdict.NOT_RUN, ResultReason.MOVED), now, effects
            )
        elif not ready:
            self._park_or_refuse(call, now, effects)
        else:
            self._start_call(call, now, effects)

    def _find_claims(self, call, now):
        """Look up the claims of a call and store them in it.

        :return: ``None`` if this instance does not have them, else whether they can
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

    def _park_or_refuse(self, call, now, effects):
        if self.waiting_calls.is_full:
            call_result = CallResult(Verdict.NOT_RUN, ResultReason.SATURATED)
            call_result.retry_after_s = PARK_RETRY_AFTER_S
            self._complete_call(call, call_result, now, effects)
            return
        self.waiting_calls.park(call)

    def retry_parked(self, now, effects):
        """Retry all parked calls.

        :param now: current time in seconds.
        :param effects: list that effects are appended to.
        """
        for call in self.waiting_calls.drain_parked():
            self.accept_call(call, now, effects)

    def _start_call(self, call, now, effects):
        relay = call.relay
        held_upstreams = self.held_upstreams_by_id.values()
        if not relay.idempotent and is_crash_suspect(held_upstreams, relay.fingerprint):
            # Parked until it is known whether the same request has crashed an upstream.
            self._park_or_refuse(call, now, effects)
            return
        if relay.identity and relay.position >= 0 and not call.is_registered:
            slice_id = self.find_outcome_slice(relay)
            if slice_id in self.recalling_slice_ids:
                self._park_or_refuse(call, now, effects)
                return
            result = self.outcome_store.register(
                slice_id, relay.identity, relay.fingerprint, now
            )
            if not self._apply_registration(call, result, now, effects):
                return
        decision = self.quarantine.decide(relay.fingerprint, now)
        if decision is QuarantineDecision.REFUSE:
            self._complete_call(
                call,
                CallResult(Verdict.NOT_RUN, ResultReason.QUARANTINED),
                now,
                effects,
            )
            return
        call.exclusive = decision is QuarantineDecision.RUN_EXCLUSIVELY
        self._request_admission(call, now, effects)

    def _apply_registration(self, call, result, now, effects):
        """Handle a `RegistrationResult` and return whether the request may run."""
        if result.status is RegistrationStatus.NEW:
            call.is_registered = True
            return True
        if result.status is RegistrationStatus.RUNNING:
            self.waiting_calls.add_repeat(call)
            return False
        if result.status is RegistrationStatus.DONE:
            response = result.record.response
            headers = dict(response.headers)
            call_result = CallResult(
                Verdict.RAN,
                ResultReason.REPEATED,
                response.status,
                headers,
                response.body,
            )
        else:
            call_result = _RESULT_BY_REGISTRATION_STATUS[result.status]
        self._complete_call(call, call_result, now, effects)
        return False

    def _request_admission(self, call, now, effects):
        held_upstream = self.held_upstreams_by_id[call.relay.upstream_id]
        if held_upstream.state == "draining" and call.claim is not None:
            # The slice will move to another upstream soon; the call waits until then.
            self.park_unsent(call, now)
            return
        admission_result = held_upstream.admission.try_admit(
            call, call.deadline, now, call.exclusive
        )
        if admission_result is AdmissionResult.ADMITTED:
            self._send_after_witness(call, held_upstream, now, effects)
        elif admission_result is AdmissionResult.REFUSED:
            call_result = CallResult(Verdict.NOT_RUN, ResultReason.SATURATED)
            call_result.retry_after_s = held_upstream.admission.estimate_retry_after_s(
                now
            )
            self._complete_call(call, call_result, now, effects)

    def _send_after_witness(self, call, held_upstream, now, effects):
        """Send an admitted call, if required after a witness has stored its record."""
        if call.cancelled or call.deadline <= now:
            held_upstream.admission.release_slot()
            reason = ResultReason.CANCELLED if call.cancelled else ResultReason.DEADLINE
            self._complete_call(call, CallResult(Verdict.NOT_RUN, reason), now, effects)
            return
        if call.is_registered and self.request_witness_copy is not None:
            witness_decision = self.request_witness_copy(call, now, effects)
            if witness_decision == "wait":
                self.calls_by_id[call.relay.call_id] = call
                return
            if witness_decision == "park":
                held_upstream.admission.release_slot()
                self.park_unsent(call, now)
                return
        self.send_attempt(call, now, effects)

    def handle_witness_reply(self, call_id, stored, now, effects):
        """Send a call that waits for its witness, or park it.

        :param call_id: id of the call.
        :param stored: whether the witness has stored the record; false also if its
            reply was lost.
        :param now: current time in seconds.
        :param effects: list that effects are appended to.
        """
        call = self.calls_by_id.get(call_id)
        if call is None or call.sent_at:
            return
        if stored:
            self.send_attempt(call, now, effects)
            return
        self._undo_admission(call, self.held_upstreams_by_id[call.relay.upstream_id])
        self.park_unsent(call, now)

    def send_attempt(self, call, now, effects):
        """Send an admitted call to its upstream if its claims still allow it.

        :param call: an admitted `Call`.
        :param now: current time in seconds.
        :param effects: list that effects are appended to.
        :raises InvariantError: if the attempt would violate a guarantee.
        """
        relay = call.relay
        held_upstream = self.held_upstreams_by_id[relay.upstream_id]
        limit = min(call.deadline, now + held_upstream.service.max_run_ms / 1000.0)
        if call.claim is not None:
            limit = min(limit, self.leases.lease_until - LEASE_END_MARGIN_S)
        if not is_sendable(call, held_upstream, self.leases, now):
            self._undo_admission(call, held_upstream)
            self.park_unsent(call, now)
            return
        if limit - now < MIN_ATTEMPT_S:
            self._undo_admission(call, held_upstream)
            self._complete_call(
                call, CallResult(Verdict.NOT_RUN, ResultReason.DEADLINE), now, effects
            )
            return
        self._check_guarantees(call, held_upstream, limit, now, effects)
        call.sent_at = now
        call.attempt_deadline = limit
        call.boot_id = held_upstream.boot_id
        call.upstream_claim.in_flight += 1
        if call.claim is not None:
            call.claim.in_flight += 1
            held_upstream.count_position(relay.position)
        self.calls_by_id[relay.call_id] = call
        held_upstream.calls[relay.call_id] = call
        home_regions = self._get_home_regions(relay)
        effects.append(build_attempt(call, held_upstream, home_regions, limit, now))

    def _get_home_regions(self, relay):
        client = self.deployment.clients_by_id.get(relay.client_id)
        return client.home_regions if client else ()

    def _undo_admission(self, call, held_upstream):
        """Free the slot of an admitted call that was not sent."""
        self.calls_by_id.pop(call.relay.call_id, None)
        held_upstream.admission.release_slot()

    def _check_guarantees(self, call, held_upstream, limit, now, effects):
        """Refuse an attempt that would violate a guarantee.

        :raises InvariantError: if it would; the call is completed as not run.
        """
        home_regions = self._get_home_regions(call.relay)
        fault = find_violated_guarantee(
            call, held_upstream, home_regions, limit, self.leases
        )
        if fault is None:
            return
        self._undo_admission(call, held_upstream)
        self._complete_call(
            call, CallResult(Verdict.NOT_RUN, ResultReason.NOT_READY), now, effects
        )
        raise InvariantError(*fault)

    def may_send(self, call_id, now):
        """Tell whether the request of an attempt may be written now.

        Called immediately before the bytes are written, because the process may
        have been frozen since the attempt was created.

        :param call_id: id of the call.
        :param now: current time in seconds.
        """
        call = self.calls_by_id.get(call_id)
        if call is None or now >= call.attempt_deadline:
            return False
        # A claim that has moved in the meantime keeps its previous lease end, which
        # also bounds the deadline of the attempt.
        return now < self.leases.lease_until or now < call.upstream_claim.lease_ends_at

    # Finished attempts

    def handle_attempt_finished(self, event, effects):
        """Handle the result of an attempt.

        :param event: an `AttemptFinished`.
        :param effects: list that effects are appended to.
        """
        call = self.calls_by_id.pop(event.call_id, None)
        if call is None:
            return
        held_upstream = self.held_upstreams_by_id[call.relay.upstream_id]
        held_upstream.calls.pop(event.call_id, None)
        now = event.now
        # A response from the process that the request was sent to is no evidence of a
        # restart: it may be handled after a poll that the next process answered.
        if event.boot_id and event.boot_id != call.boot_id:
            self.record_boot_id(held_upstream, event.boot_id, now, effects)
        call_result = interpret_attempt(call, held_upstream, event)
        if call_result.verdict is Verdict.MAY_HAVE_RUN:
            add_unresolved_attempt(call, held_upstream, now, effects)
        elif call_result.reason is ResultReason.CANCELLED:
            decrement_in_flight(call)
            held_upstream.admission.release_slot()
        else:
            decrement_in_flight(call)
            kind = classify_for_admission(event, call_result)
            held_upstream.admission.finish(now, now - call.sent_at, kind)
        if call_result.verdict is Verdict.RAN:
            held_upstream.last_response_at = now
            if held_upstream.record_latency(now - call.sent_at, call.sent_at):
                self._report_slow_upstream(held_upstream, effects)
            if call.exclusive:
                marks = self.quarantine.record_exclusive_success(
                    call.relay.fingerprint, now
                )
                self.unshared_marks.extend(marks)
        self._complete_call(call, call_result, now, effects)
        self.start_queued(held_upstream, now, effects)

    def _report_slow_upstream(self, held_upstream, effects):
        """Report an upstream as slow at once, unless this machine may be the cause.

        A daemon without enough CPU time sees slow responses of many upstreams. If it
        has only one upstream in use, it cannot distinguish the two causes and does
        not report the upstream at once.
        """
        slow = others = 0
        for other in self.held_upstreams_by_id.values():
            if other is not held_upstream and other.rate > 0:
                others += 1
                slow += held_upstream.last_slow_at - other.last_slow_at < SLOW_WINDOW_S
        if others and slow <= MAX_SLOW_FRACTION * others:
            held_upstream.apply_slow_run()
            self.report_due = True
            fields = {
                "upstream": held_upstream.upstream.id,
                "latency_s": held_upstream.latency_s,
            }
            effects.append(
                LogDecision("upstream-slow", "slow responses in a row", fields)
            )

    def resolve(self, call_id, now):
        """Record that an unresolved attempt has ended for certain at its upstream.

        :param call_id: id of the call.
        :param now: current time in seconds.
        """
        resolve_attempt(self.held_upstreams_by_id.values(), call_id, now)

    def resolve_due(self, now):
        """Resolve the unresolved attempts whose deadline has passed."""
        resolve_due_attempts(self.held_upstreams_by_id.values(), now)

    def record_boot_id(self, held_upstream, boot_id, now, effects):
        """Record the boot id of an upstream and handle a restart if it changed.

        :param held_upstream: the `HeldUpstream`.
        :param boot_id: boot id in a response of the upstream.
        :param now: current time in seconds.
        :param effects: list that effects are appended to.
        """
        if held_upstream.boot_id == boot_id:
            return
        restarted = held_upstream.boot_id != ""
        held_upstream.boot_id = boot_id
        held_upstream.granted_epochs.clear()
        held_upstream.revoked_claim_ids.clear()
        # The clock of the new process is not known until the next poll.
        held_upstream.clock_ms = 0.0
        held_upstream.clock_at = now
        held_upstream.polled_at = float("-inf")
        if restarted:
            held_upstream.admission.reset_limit(now)
            held_upstream.admission.cold = True
            held_upstream.restarted_at = now
            self._mark_suspects(held_upstream, "boot id changed", now, effects)
            resolve_former_attempts(held_upstream, now)

    def clear_suspects(self, held_upstream, sent_at):
        """Remove the suspects recorded until a poll was sent that got a response.

        :param held_upstream: the `HeldUpstream`.
        :param sent_at: time at which the poll was sent, in seconds.
        """
        held_upstream.suspects = [
            suspect for suspect in held_upstream.suspects if suspect[0] > sent_at
        ]

    def mark_suspects_at_silent_upstreams(self, now, effects):
        """Add quarantine marks to the suspects at upstreams that do not respond.

        :param now: current time in seconds.
        :param effects: list that effects are appended to.
        """
        for held_upstream in self.held_upstreams_by_id.values():
            if (
                held_upstream.suspects
                and held_upstream.get_reported_state(now) == "dead"
            ):
                self._mark_suspects(held_upstream, "silent", now, effects)

    def _mark_suspects(self, held_upstream, reason, now, effects):
        changed = mark_suspects(held_upstream, reason, self.quarantine, now, effects)
        self.unshared_marks.extend(changed)

    def start_queued(self, held_upstream, now, effects):
        """Send queued calls that are admitted, and fail expired ones.

        :param held_upstream: the `HeldUpstream`.
        :param now: current time in seconds.
        :param effects: list that effects are appended to.
        """
        for call in held_upstream.admission.pop_expired(now):
            self._complete_call(
                call, CallResult(Verdict.NOT_RUN, ResultReason.DEADLINE), now, effects
            )
        for call in held_upstream.admission.pop_ready(now):
            self._send_after_witness(call, held_upstream, now, effects)

    # Results

    def _complete_call(self, call, call_result, now, effects):
        if call.is_registered:
            self._finish_registration(call, call_result.verdict, call_result, now)
        self.completed_calls.append((call, build_reply(call, call_result)))

    def _finish_registration(self, call, verdict, call_result, now):
        """Record the outcome of a registered request and park its repeated calls."""
        if not call.is_registered:
            return
        call.is_registered = False
        relay = call.relay
        response = None
        if verdict is Verdict.RAN:
            headers = tuple((call_result.headers or {}).items())
            response = StoredResponse(call_result.status, headers, call_result.body)
        slice_id = self.find_outcome_slice(relay)
        record = self.outcome_store.record_outcome(
            slice_id, relay.identity, now, verdict, response
        )
        if record is not None:
            self.unreplicated_records.append(record)
        self.waiting_calls.park_repeats(relay.identity)

    def cancel_call(self, call_id, effects):
        """Cancel a call whose reply is no longer needed.

        :param call_id: id of the call.
        :param effects: list that effects are appended to.
        """
        call = self.calls_by_id.get(call_id) or self.waiting_calls.pop(call_id)
        if call is None or call.is_registered:
            return
        call.cancelled = True
        held_upstream = self.held_upstreams_by_id.get(call.relay.upstream_id)
        if held_upstream and call_id in held_upstream.calls:
            address = held_upstream.upstream.address
            effects.append(CancelAttempt(call_id, address, call.relay.request_id))

    @property
    def has_calls(self):
        """Tell whether calls are in progress."""
        return bool(self.calls_by_id or self.waiting_calls.parked_by_id)


def create_call(relay, origin, reply_to, now):
    """Return the `Call` of a relayed request.

    :param relay: the `Relay`.
    :param origin: id of the ingress instance, ``""`` for this instance.
    :param reply_to: destination of the reply to a remote ingress instance.
    :param now: current time in seconds, from which the deadline is computed.
    """
    return Call(relay, origin, reply_to, now + relay.remaining_s)
