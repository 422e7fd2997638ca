"""Background work of a holder: claims, grants, releases, witness and recalls.

A recall collects the outcome records of a lost holder from the other instances of the
region, each of which may have been its witness.
"""

from dataclasses import dataclass
from dataclasses import field

from shallotyard_core.assignment import SPLIT_MARKER
from shallotyard_core.assignment import build_upstream_claim_id
from shallotyard_core.coordinator import build_assignment_name
from shallotyard_core.effects import LogDecision
from shallotyard_core.effects import SendPeer
from shallotyard_core.held_upstreams import build_poll
from shallotyard_core.messages import ObjectCopy
from shallotyard_core.messages import ObjectPush
from shallotyard_core.messages import RecallRequest
from shallotyard_core.messages import Release
from shallotyard_core.messages import WitnessRecord
from shallotyard_core.messages import WitnessSet
from shallotyard_core.outcomes import RETENTION_S
from shallotyard_core.outcomes import OutcomeRecord
from shallotyard_core.timing import DRIFT
from shallotyard_core.timing import LEASE_TTL_S
from shallotyard_core.timing import RENEWAL_PERIOD_S
from shallotyard_core.timing import TICK_S
from shallotyard_core.witness import KEEPALIVE_PERIOD_S
from shallotyard_core.witness import OWN_DOMAIN_DELAY_S
from shallotyard_core.witness import SWITCH_PAUSE_S
from shallotyard_core.witness import UPDATE_PERIOD_S
from shallotyard_core.witness import WitnessSelection
from shallotyard_core.witness import WitnessService
from shallotyard_core.witness import select_witness

WITNESS_TIMEOUT_S = 0.3
RECALL_TIMEOUT_S = 0.4
# Requests wait this long for a new witness, which normally confirms within
# milliseconds.
WITNESS_SELECTION_GRACE_S = 1.0


@dataclass(slots=True)
class PendingRecall:
    """Recall for slices that were taken over from a lost holder.

    :param slice_ids: ids of the slices.
    :param awaited_ids: ids of the instances that have not replied.
    :param slice_by_incomplete_claim: slice id by id of the claims for which no
        witness has reported to have all records.
    :param encoded_records_by_slice: outcome records received so far, as encoded in
        messages.
    """

    slice_ids: list[str]
    awaited_ids: set[str]
    slice_by_incomplete_claim: dict[str, str]
    encoded_records_by_slice: dict = field(default_factory=dict)


class HolderMaintenance:
    """Claims, witness and recalls of the holder role of one instance.

    ``is_assignment_absent`` tells whether the store had no assignment object of the
    own region. ``_previous_incarnation_by_claim`` has the incarnation of the previous
    holder by (claim id, epoch), and ``_complete_epoch_by_claim`` the last epoch for
    which this instance had all outcome records, by claim id.

    :param control: the `Control` that this belongs to.
    """

    def __init__(self, control):
        self.control = control
        self.router = control.router
        self.is_assignment_absent = False
        self.stored_revision = -1
        self.witness_service = WitnessService(self.router.membership.find_silence_s)
        self.witness_selection = WitnessSelection()
        self.pending_recalls_by_number = {}
        self._last_recall_number = 0
        self._previous_incarnation_by_claim = {}
        self._complete_epoch_by_claim = {}
        self.router.holder.request_witness_copy = self._request_witness_copy

    # Assignment changes

    def handle_assignment_change(self, assignment_change, previous_table, now, effects):
        """Handle a new assignment table.

        :param assignment_change: the `AssignmentChange` of this instance.
        :param previous_table: previous `AssignmentTable`, ``None`` if there was none.
        :param now: current time in seconds.
        :param effects: list that effects are appended to.
        """
        incarnations_by_epoch = (
            _map_incarnations_by_epoch(previous_table)
            if previous_table is not None
            else {}
        )
        self._mark_merged_incomplete(previous_table, now)
        previous_holders = set()
        incarnations = {}
        for claim in assignment_change.waiting_claims:
            previous_holders.add(claim.previous_holder)
            key = (claim.claim_id, claim.epoch)
            known = incarnations_by_epoch.get((claim.claim_id, claim.epoch - 1), "")
            incarnations[key] = self._previous_incarnation_by_claim.get(key, known)
        self._previous_incarnation_by_claim = incarnations
        previous_holders -= {"", SPLIT_MARKER, self.control.own.instance_id}
        self.push_table(previous_holders, effects)
        for claim in assignment_change.lost_claims:
            fields = {"claim": claim.claim_id, "epoch": claim.epoch}
            effects.append(LogDecision("claim-lost", "assignment changed", fields))
        self.tick(now, effects)

    def push_table(self, instance_ids, effects):
        """Send the own region's table to instances without waiting for a heartbeat.

        :param instance_ids: ids of the instances.
        :param effects: list that effects are appended to.
        """
        table = self.control.table
        name = build_assignment_name(table.region)
        cached = self.control.cache.objects_by_name[name]
        message = ObjectPush(ObjectCopy(name, cached.revision, cached.body))
        for instance_id in sorted(instance_ids):
            address = self.router.membership.find_address(instance_id)
            if address:
                effects.append(SendPeer(instance_id, address, message))

    # Claims

    def tick(self, now, effects):
        """Start claims, renew grants, release drained claims, update the witness."""
        self._start_claims(now, effects)
        self._poll_upstreams(now, effects)
        self.release_drained(now, effects)
        if self.control.reschedule_if_due("witness", UPDATE_PERIOD_S, now):
            self._update_witness(now, effects)

    def _start_claims(self, now, effects):
        """Start due claims, and recall the outcome records of lost holders."""
        started = self.router.leases.start_due_claims(now)
        if not started:
            return
        claims_by_lost_holder = {}
        for claim in started:
            released = self.router.leases.was_released(claim)
            held_upstream = self.router.holder.held_upstreams_by_id.get(
                claim.upstream_id
            )
            if held_upstream is not None:
                held_upstream.polled_at = float("-inf")
            fields = {"claim": claim.claim_id, "epoch": claim.epoch}
            reason = "released" if released else "lease of the previous holder over"
            effects.append(LogDecision("claim-started", reason, fields))
            key = (claim.claim_id, claim.epoch)
            incarnation = self._previous_incarnation_by_claim.pop(key, "")
            if released or _is_upstream_claim(claim):
                continue
            if claim.previous_holder in ("", SPLIT_MARKER) or self._held_previous_epoch(
                claim
            ):
                self._mark_incomplete_if_records_missing(claim, now)
            else:
                claims_by_lost_holder.setdefault(
                    (claim.previous_holder, incarnation), []
                ).append(claim)
        for (holder, incarnation), claims in claims_by_lost_holder.items():
            self._start_recall(holder, incarnation, claims, now, effects)
        # The end of a recall starts parked calls, so all recalls must have been
        # registered before one ends.
        for number, recall in list(self.pending_recalls_by_number.items()):
            if not recall.awaited_ids:
                self._finish_recall(number, now, effects)
        self._update_complete_epochs(now)
        self.control.next_due_at_by_task["witness"] = 0.0
        self.router.holder.retry_parked(now, effects)

    def _held_previous_epoch(self, claim):
        """Tell whether this process had all records of the preceding epoch.

        If the previous holder has this instance's id but this process did not have
        all records, it was an earlier incarnation. Its records are recalled like
        those of any other holder.
        """
        complete_epoch = self._complete_epoch_by_claim.get(claim.claim_id)
        own = claim.previous_holder == self.control.own.instance_id
        return own and complete_epoch == claim.epoch - 1

    def _mark_incomplete_if_records_missing(self, claim, now):
        """Mark a slice as incomplete if records may be missing that cannot be recalled.

        The claim was split off here, or its preceding epoch had no other holder than
        this process. Records of an earlier holder are present only if the claim had
        started here, and after a merge only if this instance served both parts.
        """
        if claim.previous_holder == SPLIT_MARKER:
            parent_id = self._find_outcome_slice(claim.claim_id)
            parent = self.router.leases.claims_by_id.get(parent_id)
            complete = parent is not None and parent.started
        elif claim.previous_holder:
            complete = claim.may_start_early
        else:
            complete = claim.epoch == 1
        if not complete:
            self._mark_incomplete(claim.claim_id, now)

    def _mark_merged_incomplete(self, previous_table, now):
        """Mark own slices incomplete after a merge of hot slices of other holders."""
        if previous_table is None:
            return
        claims = self.router.leases.claims_by_id
        current_parents = self.router.leases.parent_by_hot_claim
        parents = previous_table.list_hot_parents()
        for service in previous_table.services_by_id.values():
            for entry in service.hot_by_position.values():
                merged = entry.claim_id not in current_parents
                complete = (
                    self._complete_epoch_by_claim.get(entry.claim_id) == entry.epoch
                )
                if merged and not complete and parents[entry.claim_id] in claims:
                    self._mark_incomplete(parents[entry.claim_id], now)

    def _mark_incomplete(self, claim_id, now):
        slice_id = self._find_outcome_slice(claim_id)
        self.router.holder.outcome_store.mark_incomplete(slice_id, now + RETENTION_S)

    def _update_complete_epochs(self, now):
        """Update the epochs of the claims for which this instance has all records.

        Lost claims are kept, because their records are kept as well.
        """
        holder = self.router.holder
        for claim in self.router.leases.claims_by_id.values():
            if not claim.started or _is_upstream_claim(claim):
                continue
            slice_id = self._find_outcome_slice(claim.claim_id)
            complete = (
                slice_id not in holder.recalling_slice_ids
                and holder.outcome_store.get_incomplete_until(slice_id, now) is None
            )
            if complete:
                self._complete_epoch_by_claim[claim.claim_id] = claim.epoch

    def apply_release(self, message, now, effects):
        """Apply a `Release` of the previous holder.

        :param message: the `Release`.
        :param now: current time in seconds.
        :param effects: list that effects are appended to.
        """
        outcome_store = self.router.holder.outcome_store
        for slice_id, remaining_s in message.incomplete_s.items():
            outcome_store.mark_incomplete(slice_id, now + remaining_s * (1 + DRIFT))
        for slice_id, encoded_records in message.records.items():
            records = [
                OutcomeRecord.from_wire(encoded_record, now)
                for encoded_record in encoded_records
            ]
            outcome_store.import_records(slice_id, records, now)
        for claim_id, epoch in message.epochs.items():
            self.router.leases.record_release(claim_id, epoch, now)
        self._start_claims(now, effects)
        self._poll_upstreams(now, effects)

    def release_drained(self, now, effects):
        """Release the lost claims on which no attempt or grant depends any more."""
        drained = self.router.leases.pop_drained(
            lambda claim: self._has_grant_ended(claim, now)
        )
        if not drained:
            return
        claims_by_holder = {}
        for claim in drained:
            claims_by_holder.setdefault(claim.next_holder, []).append(claim)
            if _is_upstream_claim(claim):
                self._drop_held_upstream(claim.upstream_id)
        for holder_id, claims in claims_by_holder.items():
            message = self._build_release(claims, now)
            if holder_id == self.control.own.instance_id:
                message.incomplete_s.clear()
                self.apply_release(message, now, effects)
                continue
            address = self.router.membership.find_address(holder_id)
            if address:
                effects.append(SendPeer(holder_id, address, message))

    def _has_grant_ended(self, claim, now):
        """Tell whether the grant of a lost claim is revoked or has expired."""
        held_upstream = self.router.holder.held_upstreams_by_id.get(claim.upstream_id)
        if (
            held_upstream is None
            or claim.claim_id not in held_upstream.revoked_claim_ids
        ):
            return True
        # The grant expires on the upstream's clock at the end of the lease at the
        # latest; the two clocks may drift apart until then.
        return now >= claim.lease_ends_at + LEASE_TTL_S * DRIFT

    def _drop_held_upstream(self, upstream_id):
        holder = self.router.holder
        held_upstream = holder.held_upstreams_by_id.get(upstream_id)
        if held_upstream is None or holder.get_admission_claim(upstream_id) is not None:
            return
        if not held_upstream.calls and not held_upstream.revoked_claim_ids:
            del holder.held_upstreams_by_id[upstream_id]

    def _build_release(self, claims, now):
        """Return the `Release` of lost claims, with their outcome records."""
        outcome_store = self.router.holder.outcome_store
        records = {}
        incomplete_s = {}
        for slice_id in {self._find_outcome_slice(claim.claim_id) for claim in claims}:
            exported = outcome_store.export(slice_id)
            if exported:
                records[slice_id] = [record.to_wire(now) for record in exported]
            until = outcome_store.get_incomplete_until(slice_id, now)
            if slice_id in self.router.holder.recalling_slice_ids:
                until = now + RETENTION_S
            if until is not None:
                incomplete_s[slice_id] = until - now
        epochs = {claim.claim_id: claim.epoch for claim in claims}
        return Release(self.control.region, epochs, records, incomplete_s)

    def _find_outcome_slice(self, claim_id):
        """Return the id of the slice whose outcome records include a claim's."""
        return self.router.leases.parent_by_hot_claim.get(claim_id, claim_id)

    # Grants and health

    def _poll_upstreams(self, now, effects):
        """Send the due grant or health calls."""
        holder = self.router.holder
        due_upstreams = [
            held_upstream
            for held_upstream in holder.held_upstreams_by_id.values()
            if not held_upstream.poll_outstanding
            and now - held_upstream.polled_at >= RENEWAL_PERIOD_S
        ]
        if not due_upstreams:
            return
        epochs_by_upstream = {
            held_upstream.upstream.id: {} for held_upstream in due_upstreams
        }
        for claim in self.router.leases.claims_by_id.values():
            epochs = epochs_by_upstream.get(claim.upstream_id)
            if epochs is not None and claim.started and not _is_upstream_claim(claim):
                epochs[claim.claim_id] = claim.epoch
        for held_upstream in due_upstreams:
            held_upstream.polled_at = now
            held_upstream.poll_outstanding = True
            epochs = epochs_by_upstream[held_upstream.upstream.id]
            effects.append(
                build_poll(held_upstream, epochs, self.router.leases.lease_until, now)
            )

    def handle_poll_result(self, event, effects):
        """Handle the result of a grant or health call to an upstream.

        :param event: an `UpstreamPolled`.
        :param effects: list that effects are appended to.
        """
        holder = self.router.holder
        held_upstream = holder.held_upstreams_by_id.get(event.upstream_id)
        if held_upstream is None:
            return
        held_upstream.poll_outstanding = False
        now = event.now
        if not event.reached:
            held_upstream.require_fresh_connections(now)
            return
        held_upstream.last_response_at = now
        known_boot = held_upstream.boot_id
        holder.record_boot_id(held_upstream, event.boot_id, now, effects)
        holder.clear_suspects(held_upstream, event.sent_at)
        held_upstream.clock_ms = event.clock_ms
        held_upstream.clock_at = now
        self._record_state(held_upstream, event.state, now, effects)
        held_upstream.set_cold_from_poll(event.state, event.accepted, event.sent_at)
        if event.accepted and known_boot == event.boot_id:
            self._record_grants(held_upstream, event)
        elif known_boot != event.boot_id:
            self._poll_upstreams(now, effects)
        holder.start_queued(held_upstream, now, effects)
        holder.retry_parked(now, effects)

    def _record_grants(self, held_upstream, event):
        """Record the claims that an upstream has granted or revoked."""
        claims = self.router.leases.claims_by_id
        for claim_id, epoch in event.epochs.items():
            claim = claims.get(claim_id)
            if claim is not None and claim.epoch == epoch:
                held_upstream.granted_epochs[claim_id] = epoch
        held_upstream.revoked_claim_ids.difference_update(event.revoked)

    def _record_state(self, held_upstream, state, now, effects):
        if state == held_upstream.state:
            return
        if state == "cold" and held_upstream.state != "unknown":
            held_upstream.admission.reset_limit(now)
        held_upstream.state = state
        held_upstream.admission.draining = state == "draining"
        fields = {"upstream": held_upstream.upstream.id, "state": state}
        effects.append(LogDecision("upstream-state", "reported", fields))
        if state == "draining":
            self.router.holder.park_queued(held_upstream, now)

    # Witness

    def _update_witness(self, now, effects):
        """Select the witness, and send it the next set, keepalive or probe."""
        # Needed even without a witness, because this instance may take a slice over
        # from itself.
        self._update_complete_epochs(now)
        selection = self.witness_selection
        members = {m.instance_id: m for m in self.control.list_region_members(now)}
        domains = {m.domain for m in members.values()}
        stay = now >= self.control.started_at + OWN_DOMAIN_DELAY_S
        member = select_witness(selection, self.control.own, members, domains, stay)
        if member is None:
            selection.instance_id = ""
            selection.complete = False
            return
        if (member.instance_id, member.incarnation) != (
            selection.instance_id,
            selection.incarnation,
        ):
            selection.instance_id = member.instance_id
            selection.incarnation = member.incarnation
            selection.complete = False
            selection.is_responsive = True
            selection.selected_at = now
            selection.epochs = {}
            selection.usable_at = selection.sent_at + SWITCH_PAUSE_S
        if not selection.is_responsive:
            self._probe_witness(member, effects)
            return
        number = 0
        if self.is_witness_current:
            # Ticks are not exact. Without this tolerance, a keepalive that is due just
            # after a tick would wait for the next one.
            if now - selection.last_refreshed_at < KEEPALIVE_PERIOD_S - TICK_S:
                return
            message = self._build_witness_record(None)
        else:
            message = self._build_witness_set(now)
            number = selection.last_sent_set[0] + 1
            selection.last_sent_set = (number, message.epochs)
        selection.last_refreshed_at = now
        token = ("witness-set", member.instance_id, number)
        effect = SendPeer(
            member.instance_id, member.address, message, token, WITNESS_TIMEOUT_S
        )
        effects.append(effect)
        selection.sent_at = now

    def _probe_witness(self, member, effects):
        """Test whether the witness replies, with a message that changes nothing there.

        If only the replies are lost, any other message would let the witness continue
        to count as complete while this holder runs requests without it.
        """
        message = WitnessSet(self.control.own.instance_id, "", {}, {}, True)
        token = ("witness-probe", member.instance_id)
        effect = SendPeer(
            member.instance_id, member.address, message, token, WITNESS_TIMEOUT_S
        )
        effects.append(effect)

    @property
    def is_witness_current(self):
        """Whether the witness has confirmed the records of all claims."""
        return (
            self.witness_selection.complete
            and self.witness_selection.epochs == self._complete_epoch_by_claim
        )

    def _build_witness_record(self, record):
        own = self.control.own
        return WitnessRecord(own.instance_id, own.incarnation, record)

    def _build_witness_set(self, now):
        """Return a message with all records, or the unconfirmed ones of new claims.

        The unconfirmed records suffice if the witness has confirmed a full copy.
        """
        own = self.control.own
        selection = self.witness_selection
        outcome_store = self.router.holder.outcome_store
        epochs = dict(self._complete_epoch_by_claim)
        slice_ids = outcome_store.list_slice_ids()
        if selection.complete:
            new = epochs.items() - selection.epochs.items()
            slice_ids = {self._find_outcome_slice(claim_id) for claim_id, _ in new}
        records = {}
        for slice_id in slice_ids:
            records[slice_id] = [r.to_wire(now) for r in outcome_store.export(slice_id)]
        partial = selection.complete
        return WitnessSet(own.instance_id, own.incarnation, records, epochs, partial)

    def _request_witness_copy(self, call, now, effects):
        """Send the record of a non-idempotent call to the witness, if possible.

        :return: ``"wait"`` if its record was sent to the witness, whose confirmation
            starts the call; ``"go"`` if it may run without a copy; ``"park"`` if it
            has to wait for a witness.
        """
        selection = self.witness_selection
        if selection.complete and now >= selection.usable_at:
            slice_id = self.router.holder.find_outcome_slice(call.relay)
            record = self.router.holder.outcome_store.get(slice_id, call.relay.identity)
            member = self.router.membership.members_by_id[selection.instance_id]
            message = self._build_witness_record(record.to_wire(now))
            token = ("witness", call.relay.call_id)
            effect = SendPeer(
                selection.instance_id, member.address, message, token, WITNESS_TIMEOUT_S
            )
            effects.append(effect)
            selection.sent_at = now
            return "wait"
        chosen = selection.instance_id != ""
        if chosen and now < selection.selected_at + WITNESS_SELECTION_GRACE_S:
            return "park"
        return "go" if selection.may_run_without_copy(now) else "park"

    def flush_outcomes(self, now, effects):
        """Send changed outcome records to the witness, if it has a full copy.

        :param now: current time in seconds.
        :param effects: list that effects are appended to.
        """
        outcomes = self.router.holder.unreplicated_records
        if not outcomes:
            return
        selection = self.witness_selection
        member = self.router.membership.members_by_id.get(selection.instance_id)
        for record in outcomes if member and selection.complete else ():
            message = self._build_witness_record(record.to_wire(now))
            effects.append(SendPeer(member.instance_id, member.address, message))
            selection.sent_at = selection.accepted_sent_at = now
        outcomes.clear()

    def handle_peer_reply(self, event, effects):
        """Handle the reply to a witness or recall message, or its loss.

        :param event: a `PeerReplied`.
        :param effects: list that effects are appended to.
        """
        kind = event.token[0]
        if kind == "recall":
            self._handle_recall_reply(event, effects)
            return
        selection = self.witness_selection
        stored = event.message is not None and event.message.complete
        closed = event.message.closed if event.message is not None else ""
        if kind != "witness-probe":
            refused = event.unsent if event.message is None else not stored
            selection.record_reply(event.sent_at, refused)
        if closed and closed == selection.incarnation:
            selection.reset()
        elif event.instance_id == selection.instance_id and kind == "witness-probe":
            if event.message is not None and not selection.is_responsive:
                selection.is_responsive = True
                self._update_witness(event.now, effects)
        elif event.instance_id == selection.instance_id:
            if event.message is None:
                selection.is_responsive = False
            if stored and event.token[2:] == selection.last_sent_set[:1]:
                selection.epochs = selection.last_sent_set[1]
            selection.complete = (
                stored if kind == "witness-set" else (selection.complete and stored)
            )
        if kind == "witness":
            # If a call was cancelled and started again, the reply may come from a
            # previous witness, whose copies a takeover would not rely on.
            relied_on = (
                event.instance_id == selection.instance_id and selection.complete
            )
            stored = stored and relied_on
            self.router.holder.handle_witness_reply(
                event.token[1], stored, event.now, effects
            )

    # Recall

    def _start_recall(self, holder, incarnation, claims, now, effects):
        """Request the outcome records of a lost holder from the region's instances."""
        slice_ids = sorted(
            {self._find_outcome_slice(claim.claim_id) for claim in claims}
        )
        silence_s = self.router.membership.find_silence_s(holder, incarnation, now)
        epochs = {claim.claim_id: claim.epoch - 1 for claim in claims}
        request = RecallRequest(holder, incarnation, slice_ids, silence_s, epochs)
        members = self.control.list_region_members(now)
        self._last_recall_number += 1
        awaited_ids = {member.instance_id for member in members}
        slice_by_claim = {name: self._find_outcome_slice(name) for name in epochs}
        recall = PendingRecall(slice_ids, awaited_ids, slice_by_claim)
        self.pending_recalls_by_number[self._last_recall_number] = recall
        self.router.holder.recalling_slice_ids.update(slice_ids)
        self._merge_recall_reply(recall, self.witness_service.recall(request, now))
        for member in members:
            token = ("recall", self._last_recall_number, member.instance_id)
            effect = SendPeer(
                member.instance_id, member.address, request, token, RECALL_TIMEOUT_S
            )
            effects.append(effect)

    def _merge_recall_reply(self, recall, reply):
        if reply.complete:
            recall.slice_by_incomplete_claim.clear()
        for claim_id in reply.complete_claims:
            recall.slice_by_incomplete_claim.pop(claim_id, None)
        for slice_id, encoded_records in reply.records.items():
            recall.encoded_records_by_slice.setdefault(slice_id, []).extend(
                encoded_records
            )

    def _handle_recall_reply(self, event, effects):
        _, number, instance_id = event.token
        recall = self.pending_recalls_by_number.get(number)
        if recall is None:
            return
        recall.awaited_ids.discard(instance_id)
        if event.message is not None:
            self._merge_recall_reply(recall, event.message)
        if not recall.awaited_ids:
            self._finish_recall(number, event.now, effects)

    def _finish_recall(self, number, now, effects):
        """Import the recalled records, and mark incomplete slices."""
        recall = self.pending_recalls_by_number.pop(number)
        outcome_store = self.router.holder.outcome_store
        incomplete = set(recall.slice_by_incomplete_claim.values())
        for slice_id in recall.slice_ids:
            encoded_records = recall.encoded_records_by_slice.get(slice_id, ())
            records = [
                OutcomeRecord.from_wire(encoded_record, now)
                for encoded_record in encoded_records
            ]
            outcome_store.import_records(slice_id, records, now)
            if slice_id in incomplete:
                outcome_store.mark_incomplete(slice_id, now + RETENTION_S)
        # Another pending recall may concern a hot slice within the same slice.
        self.router.holder.recalling_slice_ids = {
            slice_id
            for other in self.pending_recalls_by_number.values()
            for slice_id in other.slice_ids
        }
        self._update_complete_epochs(now)
        fields = {"slices": len(recall.slice_ids), "incomplete": len(incomplete)}
        effects.append(LogDecision("recall", "slices taken over", fields))
        self.router.holder.retry_parked(now, effects)


def _map_incarnations_by_epoch(table):
    """Return the incarnations of the holders by (claim id, epoch).

    They stay valid for epochs that later revisions keep, because a change of the
    holder raises the epoch.

    :param table: an `AssignmentTable`.
    """
    incarnations = {}
    for service in table.services_by_id.values():
        for entry in service.entries():
            upstream = table.upstreams_by_id.get(entry.owner)
            if upstream is not None:
                incarnations[entry.claim_id, entry.epoch] = upstream.incarnation
    return incarnations


def _is_upstream_claim(claim):
    return claim.claim_id == build_upstream_claim_id(claim.upstream_id)
