"""Serves the calls for the upstreams that this instance holds."""

from shallotyard_core.admission import FinishKind
from shallotyard_core.admission import Offer
from shallotyard_core.assignment import slice_claim
from shallotyard_core.assignment import upstream_claim
from shallotyard_core.calls import Call
from shallotyard_core.calls import Ending
from shallotyard_core.calls import LostAttempt
from shallotyard_core.calls import Reason
from shallotyard_core.effects import CancelAttempt
from shallotyard_core.effects import LogDecision
from shallotyard_core.effects import SendAttempt
from shallotyard_core.events import AttemptKind
from shallotyard_core.exceptions import InvariantError
from shallotyard_core.keys import HOT_BITS
from shallotyard_core.links import SLOW_MEMORY_S
from shallotyard_core.links import UpstreamLink
from shallotyard_core.messages import RelayAnswer
from shallotyard_core.outcomes import BeginKind
from shallotyard_core.outcomes import OutcomeMemory
from shallotyard_core.outcomes import StoredResponse
from shallotyard_core.quarantine import Decision
from shallotyard_core.quarantine import Quarantine
from shallotyard_core.verdict import Verdict

# An attempt gives up this long before the lease ends, for the time that its
# last bytes need to be written.
LEASE_MARGIN_S = 0.02
MIN_RUN_S = 0.005
# With less lease left than this a call waits for the next renewal.
MIN_LEASE_S = 0.2
MAX_PARKED = 4096
# With more of the other upstreams slow lately, a slow one is left to the average.
MAX_SLOW_SHARE = 0.25
PARK_RETRY_AFTER_S = 1.0

_ANSWER_BY_BEGIN = {
    BeginKind.UNKNOWN: Ending(Verdict.MAY_HAVE_RUN, Reason.OUTCOME_UNKNOWN),
    BeginKind.INCOMPLETE: Ending(Verdict.MAY_HAVE_RUN, Reason.OUTCOME_UNKNOWN),
    BeginKind.MISMATCH: Ending(Verdict.NOT_RUN, Reason.IDEMPOTENCY_MISMATCH),
}


class Holder:
    """Calls, links and outcome memory of one instance.

    Answers collect in ``answers`` as (call, `RelayAnswer`); the reducer hands
    them to the entry that sent the call.

    :param leases: the `LeaseBook` of this instance.
    """

    def __init__(self, leases):
        self.leases = leases
        self.table = None
        self.deployment = None
        self.memory = OutcomeMemory()
        self.quarantine = Quarantine()
        self.links_by_id = {}
        self.calls_by_id = {}
        self.parked_by_id = {}
        self.waiters_by_identity = {}
        self.answers = []
        self.changed_marks = []
        self.outcomes = []
        self.witness_gate = None
        self.recalling = set()
        self.report_due = False
        self._claim_by_upstream = {}

    # Configuration and assignment

    def reconfigure(self, deployment, now):
        """Put a newer deployment in force."""
        self.deployment = deployment
        for upstream_id, link in self.links_by_id.items():
            upstream = deployment.upstreams_by_id.get(upstream_id)
            if upstream is not None:
                link.upstream = upstream
                link.service = deployment.services_by_id[upstream.service]
                link.admission.reconfigure(link.service)
        if self.table is not None:
            # The assignment may name an upstream before the manifest is here.
            self._attach_links(now)

    def adopt(self, table, now):
        """Take over a newer assignment table and return the `Adoption`."""
        hot_before = self.table.parents_of_hot() if self.table else {}
        adoption = self.leases.adopt(table, now)
        self.table = table
        for claim in adoption.lost:
            self._lose(claim, now)
        if hot_before != table.parents_of_hot():
            # After missed revisions a position may have moved to another holder
            # although no claim of this instance ended.
            self._requeue_all(now)
        self._attach_links(now)
        self._withdraw_unsent(now)
        self._retag_running()
        return adoption

    def _attach_links(self, now):
        claims = self.leases.claims_by_id
        for upstream_id in self.table.upstreams_by_id:
            claim = claims.get(upstream_claim(upstream_id))
            upstream = self.deployment.upstreams_by_id.get(upstream_id)
            if claim is None or upstream is None:
                self._claim_by_upstream.pop(upstream_id, None)
                continue
            self._claim_by_upstream[upstream_id] = claim
            if upstream_id not in self.links_by_id:
                service = self.deployment.services_by_id[upstream.service]
                link = UpstreamLink.from_config(upstream, service, now)
                self.links_by_id[upstream_id] = link

    def _lose(self, claim, now):
        link = self.links_by_id.get(claim.upstream_id)
        if link is None:
            return
        granted = link.granted.pop(claim.claim_id, None) is not None
        # An upstream that also owns the next epoch will replace the grant.
        if granted and claim.next_upstream != claim.upstream_id:
            link.revoked.add(claim.claim_id)
            # The next holder waits for the revocation.
            link.polled_at = float("-inf")
        for call in link.admission.take_queue():
            self.requeue(call, now)

    def requeue(self, call, now):
        """Park a call that was in an admission queue."""
        self._forget_begin(call, Verdict.NOT_RUN, None, now)
        call.claim = call.upstream_claim = None
        self.parked_by_id[call.relay.call_id] = call

    def _requeue_all(self, now):
        for link in self.links_by_id.values():
            for call in link.admission.take_queue():
                self.requeue(call, now)

    def _withdraw_unsent(self, now):
        """Park the calls that wait for a witness although their claims ended."""
        for call_id, call in list(self.calls_by_id.items()):
            if call.sent_at or self._is_covered(call):
                continue
            del self.calls_by_id[call_id]
            self.links_by_id[call.relay.upstream_id].admission.abandon()
            self.requeue(call, now)

    def _is_covered(self, call):
        """Tell whether a call's claims are current and cover its position."""
        if self.admission_claim(call.relay.upstream_id) is not call.upstream_claim:
            return False
        if call.claim is None:
            return True
        entry = self._entry(call.relay)
        return self.leases.claims_by_id.get(entry.claim_id) is call.claim

    def _retag_running(self):
        """Count attempts under the claim that covers them after a split or merge.

        This includes lost attempts: a claim must not be released while they may
        still run.
        """
        claims = self.leases.claims_by_id
        calls = [call for call in self.calls_by_id.values() if call.sent_at]
        for link in self.links_by_id.values():
            calls += [lost.call for lost in link.lost.values()]
        for call in calls:
            if call.claim is None:
                continue
            entry = self._entry(call.relay)
            claim = claims.get(entry.claim_id) if entry else None
            if claim is None or claim.claim_id == call.claim.claim_id:
                continue
            if claim.upstream_id == call.claim.upstream_id:
                call.claim.in_flight -= 1
                claim.in_flight += 1
                call.claim = claim

    def _entry(self, relay):
        service = self.table.services_by_id.get(relay.service_id)
        return service.lookup(relay.position << (64 - HOT_BITS)) if service else None

    def memory_slice(self, relay):
        """Return the slice that outcome records of a request are kept under.

        Hot slices share the records of the slice around them, so that a split
        or a merge loses none.
        """
        slices = self.table.services_by_id[relay.service_id].slices
        return slice_claim(relay.service_id, (relay.position * len(slices)) >> HOT_BITS)

    def admission_claim(self, upstream_id):
        """Return the claim on an upstream, ``None`` if another instance has it."""
        return self._claim_by_upstream.get(upstream_id)

    # Calls

    def accept(self, call, now, out):
        """Start, queue, park or answer a call.

        :param call: a new or parked `Call`.
        :param now: current time in seconds.
        :param out: list that effects are appended to.
        """
        if call.deadline <= now:
            self._end(call, Ending(Verdict.NOT_RUN, Reason.DEADLINE), now, out)
            return
        ready = self._find_claims(call, now)
        if ready is None:
            self._end(call, Ending(Verdict.NOT_RUN, Reason.MOVED), now, out)
        elif not ready:
            self._park(call, now, out)
        else:
            self._begin(call, now, out)

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
            entry = self._entry(relay)
            claim = self.leases.claims_by_id.get(entry.claim_id) if entry else None
            if claim is None:
                return None
            upstream_id = claim.upstream_id
        admission_claim = self._claim_by_upstream.get(upstream_id)
        link = self.links_by_id.get(upstream_id)
        if admission_claim is None or link is None:
            return None
        relay.upstream_id = upstream_id
        call.claim = claim
        call.upstream_claim = admission_claim
        if not self.leases.usable(admission_claim, now):
            return False
        return claim is None or self._slice_ready(call, link, now)

    def _slice_ready(self, call, link, now):
        claim = call.claim
        if not self.leases.usable(claim, now) or not link.clock_known:
            return False
        if self.leases.lease_until - now < MIN_LEASE_S:
            return False
        if link.service.checks_grants:
            return link.granted.get(claim.claim_id) == claim.epoch
        return True

    def _park(self, call, now, out):
        if len(self.parked_by_id) >= MAX_PARKED:
            ending = Ending(Verdict.NOT_RUN, Reason.SATURATED)
            ending.retry_after_s = PARK_RETRY_AFTER_S
            self._end(call, ending, now, out)
            return
        self.parked_by_id[call.relay.call_id] = call

    def retry_parked(self, now, out):
        """Try all parked calls again."""
        if not self.parked_by_id:
            return
        parked = list(self.parked_by_id.values())
        self.parked_by_id.clear()
        for call in parked:
            self.accept(call, now, out)

    def _begin(self, call, now, out):
        relay = call.relay
        if not relay.idempotent and self._is_suspect(relay.fingerprint):
            # Until it is known whether the same request just ended an upstream.
            self._park(call, now, out)
            return
        if relay.identity and relay.position >= 0 and not call.begun:
            slice_id = self.memory_slice(relay)
            if slice_id in self.recalling:
                self._park(call, now, out)
                return
            result = self.memory.begin(slice_id, relay.identity, relay.fingerprint, now)
            if not self._use_begin(call, result, now, out):
                return
        decision = self.quarantine.decide(relay.fingerprint, now)
        if decision is Decision.REFUSE:
            self._end(call, Ending(Verdict.NOT_RUN, Reason.QUARANTINED), now, out)
            return
        call.alone = decision is Decision.RUN_ALONE
        self._offer(call, now, out)

    def _use_begin(self, call, result, now, out):
        """Act on what the outcome memory knows; true if the request may run."""
        if result.kind is BeginKind.FRESH:
            call.begun = True
            return True
        if result.kind is BeginKind.RUNNING:
            waiters = self.waiters_by_identity.setdefault(call.relay.identity, [])
            waiters.append(call)
            return False
        if result.kind is BeginKind.DONE:
            response = result.record.response
            headers = dict(response.headers)
            ending = Ending(
                Verdict.RAN, Reason.REPEATED, response.status, headers, response.body
            )
        else:
            ending = _ANSWER_BY_BEGIN[result.kind]
        self._end(call, ending, now, out)
        return False

    def _offer(self, call, now, out):
        link = self.links_by_id[call.relay.upstream_id]
        if link.state == "draining" and call.claim is not None:
            # The slice is about to move; the call waits for its new owner.
            self.requeue(call, now)
            return
        offer = link.admission.offer(call, call.deadline, now, call.alone)
        if offer is Offer.ADMITTED:
            self._prepare(call, link, now, out)
        elif offer is Offer.REFUSED:
            ending = Ending(Verdict.NOT_RUN, Reason.SATURATED)
            ending.retry_after_s = link.admission.retry_after_s(now)
            self._end(call, ending, now, out)

    def _prepare(self, call, link, now, out):
        """Send an admitted call, after its witness has a copy of its record."""
        if call.cancelled or call.deadline <= now:
            link.admission.abandon()
            reason = Reason.CANCELLED if call.cancelled else Reason.DEADLINE
            self._end(call, Ending(Verdict.NOT_RUN, reason), now, out)
            return
        if call.begun and self.witness_gate is not None:
            gate = self.witness_gate(call, now, out)
            if gate == "wait":
                self.calls_by_id[call.relay.call_id] = call
                return
            if gate == "park":
                link.admission.abandon()
                self.requeue(call, now)
                return
        self.launch(call, now, out)

    def witnessed(self, call_id, stored, now, out):
        """Continue a call whose witness answered, or did not."""
        call = self.calls_by_id.get(call_id)
        if call is None or call.sent_at:
            return
        if stored:
            self.launch(call, now, out)
            return
        link = self.links_by_id[call.relay.upstream_id]
        del self.calls_by_id[call_id]
        link.admission.abandon()
        self.requeue(call, now)

    def launch(self, call, now, out):
        """Send an admitted call to its upstream, if its claims still allow it."""
        relay = call.relay
        link = self.links_by_id[relay.upstream_id]
        limit = min(call.deadline, now + link.service.max_run_ms / 1000.0)
        if call.claim is not None:
            limit = min(limit, self.leases.lease_until - LEASE_MARGIN_S)
        if not self._still_allowed(call, link, now):
            self.calls_by_id.pop(relay.call_id, None)
            link.admission.abandon()
            self.requeue(call, now)
            return
        if limit - now < MIN_RUN_S:
            self.calls_by_id.pop(relay.call_id, None)
            link.admission.abandon()
            self._end(call, Ending(Verdict.NOT_RUN, Reason.DEADLINE), now, out)
            return
        self._refuse_broken(call, link, limit, now, out)
        call.sent_at = now
        call.attempt_deadline = limit
        call.boot_id = link.boot_id
        call.upstream_claim.in_flight += 1
        if call.claim is not None:
            call.claim.in_flight += 1
            link.count_position(relay.position)
        self.calls_by_id[relay.call_id] = call
        link.calls[relay.call_id] = call
        out.append(self._attempt(call, link, limit, now))

    def _refuse_broken(self, call, link, limit, now, out):
        """Refuse an attempt that would break a promise.

        :raises InvariantError: if it would; the call is answered as not run.
        """
        fault = self._find_broken(call, link, limit, now)
        if fault is None:
            return
        self.calls_by_id.pop(call.relay.call_id, None)
        link.admission.abandon()
        self._end(call, Ending(Verdict.NOT_RUN, Reason.NOT_READY), now, out)
        raise InvariantError(*fault)

    def _find_broken(self, call, link, limit, now):
        """Return (invariant, detail) of a promise that an attempt would break."""
        if call.sent_at:
            return "at-most-once", f"call {call.relay.call_id} was sent before"
        client = self.deployment.clients_by_id.get(call.relay.client_id)
        home_regions = client.home_regions if client else ()
        if home_regions and link.upstream.region not in home_regions:
            return "home-region", f"send to {link.upstream.region}"
        if call.claim is None:
            return None
        current = self.leases.claims_by_id.get(call.claim.claim_id) is call.claim
        if not (current and call.claim.started and limit < self.leases.lease_until):
            return "one-owner", f"claim {call.claim.claim_id} epoch {call.claim.epoch}"
        return None

    def _still_allowed(self, call, link, now):
        if not self.leases.usable(call.upstream_claim, now):
            return False
        return call.claim is None or self._slice_ready(call, link, now)

    def _attempt(self, call, link, limit, now):
        relay = call.relay
        client = self.deployment.clients_by_id.get(relay.client_id)
        home_regions = client.home_regions if client else ()
        headers = dict(relay.headers)
        headers["Shallotyard-Request-Id"] = relay.request_id
        headers["Shallotyard-Deadline-Ms"] = str(int((limit - now) * 1000))
        if call.claim is not None:
            headers["Shallotyard-Slice"] = call.claim.claim_id
            headers["Shallotyard-Epoch"] = str(call.claim.epoch)
            # A deadline that counts from arrival would grow while the request
            # waits in the socket of a frozen upstream.
            expires_at_ms = link.to_upstream_clock_ms(limit)
            headers["Shallotyard-Expires-At-Ms"] = f"{expires_at_ms:.3f}"
        if link.clock_known:
            # An upstream that restarted since the last answer refuses the
            # request, instead of getting more than its cold slots.
            headers["Shallotyard-Boot-Id"] = link.boot_id
        return SendAttempt(
            relay.call_id,
            link.upstream.id,
            link.upstream.address,
            relay.method,
            relay.target,
            headers,
            relay.body,
            relay.request_id,
            limit,
            relay.fresh or not relay.idempotent or now < link.distrust_until,
            link.service.connections,
            home_regions,
            link.upstream.region,
        )

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
        return now < self.leases.lease_until or now < call.upstream_claim.finish_until

    # Ends of attempts

    def finish(self, event, out):
        """Handle the end of a transfer.

        :param event: an `AttemptFinished`.
        :param out: list that effects are appended to.
        """
        call = self.calls_by_id.pop(event.call_id, None)
        if call is None:
            return
        link = self.links_by_id[call.relay.upstream_id]
        link.calls.pop(event.call_id, None)
        now = event.now
        # A response of the process that the request was sent to may be handled
        # after a poll that showed its successor, and says nothing new.
        if event.boot_id and event.boot_id != call.boot_id:
            self.note_boot(link, event.boot_id, now, out)
        ending = self._judge(call, link, event)
        if ending.verdict is Verdict.MAY_HAVE_RUN:
            self._lose_attempt(call, link, now, out)
        elif ending.reason is Reason.CANCELLED:
            self._drop_in_flight(call)
            link.admission.abandon()
        else:
            self._drop_in_flight(call)
            link.admission.finish(now, now - call.sent_at, _finish_kind(event, ending))
        if ending.verdict is Verdict.RAN:
            link.reached_at = now
            if link.observe(now - call.sent_at, call.sent_at):
                self._report_slow(link, out)
            if call.alone:
                marks = self.quarantine.succeeded_alone(call.relay.fingerprint, now)
                self.changed_marks.extend(marks)
        self._end(call, ending, now, out)
        self.pump(link, now, out)

    def _report_slow(self, link, out):
        """Report an upstream as slow at once, unless the machine may be the cause.

        A daemon that is short of processor time sees slow responses of many upstreams,
        and cannot tell with a single one.
        """
        slow = others = 0
        for other in self.links_by_id.values():
            if other is not link and other.rate > 0:
                others += 1
                slow += link.slow_at - other.slow_at < SLOW_MEMORY_S
        if others and slow <= MAX_SLOW_SHARE * others:
            link.use_slow_run()
            self.report_due = True
            fields = {"upstream": link.upstream.id, "latency_s": link.latency_s}
            out.append(LogDecision("upstream-slow", "slow responses in a row", fields))

    def _judge(self, call, link, event):
        if event.kind is AttemptKind.NOT_SENT:
            return Ending(Verdict.NOT_RUN, Reason.NOT_SENT)
        if event.kind is AttemptKind.LOST:
            return Ending(Verdict.MAY_HAVE_RUN, Reason.LOST)
        if event.verdict is Verdict.NOT_RUN:
            stale = event.status == 409
            if stale:
                link.granted.pop(call.claim.claim_id if call.claim else "", None)
            if stale:
                return Ending(Verdict.NOT_RUN, Reason.STALE_GRANT)
            # An upstream refuses a cancelled request in the same way as it sheds one.
            reason = Reason.CANCELLED if call.cancelled else Reason.SHED
            return Ending(Verdict.NOT_RUN, reason)
        return Ending(
            event.verdict or Verdict.RAN,
            Reason.ANSWERED,
            event.status,
            event.headers,
            event.body,
        )

    def _lose_attempt(self, call, link, now, out):
        link.distrust_connections(now)
        until = max(call.attempt_deadline, now)
        link.lost[call.relay.call_id] = LostAttempt(call, until)
        link.suspects.append((now, call))
        link.polled_at = float("-inf")
        link.admission.finish_unknown(now, until)
        out.append(
            CancelAttempt(
                call.relay.call_id, link.upstream.address, call.relay.request_id
            )
        )

    def settle(self, call_id, now):
        """Record that a lost attempt has surely ended at the upstream."""
        for link in self.links_by_id.values():
            lost = link.lost.pop(call_id, None)
            if lost is not None:
                link.admission.settle_unknown(now, lost.until)
                self._drop_in_flight(lost.call)
                return

    def settle_due(self, now):
        """Settle the lost attempts whose deadline has passed."""
        for link in self.links_by_id.values():
            for call_id, lost in list(link.lost.items()):
                if lost.until <= now:
                    del link.lost[call_id]
                    self._drop_in_flight(lost.call)

    def _drop_in_flight(self, call):
        call.upstream_claim.in_flight -= 1
        if call.claim is not None:
            call.claim.in_flight -= 1

    def note_boot(self, link, boot_id, now, out):
        """Notice a restart of an upstream by its boot id."""
        if link.boot_id == boot_id:
            return
        restarted = link.boot_id != ""
        link.boot_id = boot_id
        link.granted.clear()
        link.revoked.clear()
        # The clock of the new process is unknown until the next poll.
        link.clock_ms = 0.0
        link.clock_at = now
        link.polled_at = float("-inf")
        if restarted:
            link.admission.restart(now)
            link.admission.cold = True
            link.restarted_at = now
            self._mark_suspects(link, "boot id changed", now, out)
            self._settle_former(link, now)

    def _is_suspect(self, fingerprint):
        return any(
            call.relay.fingerprint == fingerprint
            for link in self.links_by_id.values()
            for _, call in link.suspects
        )

    def clear_suspects(self, link, sent_at):
        """Note that an upstream lives which was asked at ``sent_at``."""
        link.suspects = [each for each in link.suspects if each[0] > sent_at]

    def mark_dead(self, now, out):
        """Mark the requests that were in flight at upstreams that went silent."""
        for link in self.links_by_id.values():
            if link.suspects and link.report_state(now) == "dead":
                self._mark_suspects(link, "silent", now, out)

    def _mark_suspects(self, link, reason, now, out):
        """Mark the requests in flight at the end of an upstream's process.

        A request counts once per death, also if a restart is seen after a silence.
        """
        calls = [lost.call for lost in link.lost.values()]
        calls += [call for _, call in link.suspects]
        calls += [call for call in link.calls.values() if call.sent_at]
        suspects = [
            call
            for call in dict.fromkeys(calls)
            if not call.marked and (reason == "silent" or call.boot_id != link.boot_id)
        ]
        link.suspects.clear()
        alone = len(suspects) == 1 and suspects[0].alone
        fingerprints = [call.relay.fingerprint for call in suspects]
        self.changed_marks.extend(
            self.quarantine.upstream_died(fingerprints, alone, now)
        )
        for call in suspects:
            call.marked = True
        fields = {"upstream": link.upstream.id, "in_flight": len(suspects)}
        out.append(LogDecision("upstream-died", reason, fields))

    def _settle_former(self, link, now):
        """Settle the lost attempts of a process that was replaced."""
        for call_id, lost in list(link.lost.items()):
            if lost.call.boot_id != link.boot_id:
                self.settle(call_id, now)

    def pump(self, link, now, out):
        """Start queued calls that fit and drop those whose deadline passed."""
        for call in link.admission.drop_expired(now):
            self._end(call, Ending(Verdict.NOT_RUN, Reason.DEADLINE), now, out)
        for call in link.admission.take_ready(now):
            self._prepare(call, link, now, out)

    # Answers

    def _end(self, call, ending, now, out):
        if call.begun:
            self._forget_begin(call, ending.verdict, ending, now)
        self.answers.append((call, _answer(call, ending)))

    def _forget_begin(self, call, verdict, ending, now):
        """Write the outcome of a begun request and wake the repeats of it."""
        if not call.begun:
            return
        call.begun = False
        relay = call.relay
        response = None
        if verdict is Verdict.RAN:
            headers = tuple((ending.headers or {}).items())
            response = StoredResponse(ending.status, headers, ending.body)
        slice_id = self.memory_slice(relay)
        record = self.memory.finish(slice_id, relay.identity, now, verdict, response)
        if record is not None:
            self.outcomes.append(record)
        for waiter in self.waiters_by_identity.pop(relay.identity, ()):
            self.parked_by_id[waiter.relay.call_id] = waiter

    def cancel(self, call_id, now, out):
        """Cancel a call whose answer is no longer wanted."""
        call = self.calls_by_id.get(call_id) or self.parked_by_id.pop(call_id, None)
        if call is None or call.begun:
            return
        call.cancelled = True
        link = self.links_by_id.get(call.relay.upstream_id)
        if link and call_id in link.calls:
            address = link.upstream.address
            out.append(CancelAttempt(call_id, address, call.relay.request_id))

    @property
    def busy(self):
        """Tell whether calls are in progress."""
        return bool(self.calls_by_id or self.parked_by_id)


def _finish_kind(event, ending):
    if event.kind is AttemptKind.NOT_SENT:
        return FinishKind.FAILED
    if ending.reason is Reason.SHED:
        return FinishKind.SHED
    return FinishKind.OK


def _answer(call, ending):
    return RelayAnswer(
        call.relay.call_id,
        ending.verdict,
        str(ending.reason),
        ending.status,
        ending.headers or {},
        ending.body,
        ending.retry_after_s,
    )


def create_call(relay, origin, reply_to, now):
    """Return the call of a relayed request, with its deadline in local time."""
    return Call(relay, origin, reply_to, now + relay.remaining_s)
