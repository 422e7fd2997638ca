"""Witnesses: instances that store copies of a holder's outcome records.

After the holder is lost, the next holders recall the records from its witness.
"""

from dataclasses import dataclass
from dataclasses import field

import xxhash

from shallotyard_core.messages import RecallReply
from shallotyard_core.messages import RecallRequest
from shallotyard_core.messages import WitnessAck
from shallotyard_core.messages import WitnessRecord
from shallotyard_core.messages import WitnessSet
from shallotyard_core.outcomes import OutcomeRecord
from shallotyard_core.outcomes import WitnessStore

# A witness that has received nothing from its holder for this much longer than other
# instances no longer reports a complete set. The holder relies on another witness
# only after a longer pause, so that two different sets never both count as complete.
STALE_WITNESS_S = 2.0
SWITCH_PAUSE_S = 2.5
# Maximum delay before changes are sent to the witness.
UPDATE_PERIOD_S = 0.25
# Three consecutive keepalives may be lost before the witness counts as stale.
KEEPALIVE_PERIOD_S = 0.5
# Soon after the start, instances of other failure domains may not be known yet. A
# witness in the own domain is selected only after this delay, because a later change
# of the witness delays writes by `SWITCH_PAUSE_S`.
OWN_DOMAIN_DELAY_S = 3.0
MAX_RECORD_SETS_PER_HOLDER = 3


@dataclass(slots=True)
class WitnessSelection:
    """The witness that this holder has selected.

    :param instance_id: id of the witness, ``""`` if there is none.
    :param incarnation: incarnation of the witness.
    :param complete: whether it has confirmed a complete set of records.
    :param sent_at: send time of the last message, other than refused ones, that may
        cause a witness to report a complete set.
    :param accepted_sent_at: the same for messages that were confirmed or lost.
    :param is_responsive: whether the last reply arrived; if not, only probes are sent.
    :param usable_at: time in seconds from which the holder may rely on the witness.
    :param selected_at: time at which the witness was selected, in seconds.
    :param epochs: epochs by id of the claims of which it has confirmed all records.
    :param last_sent_set: number and epochs of the last set sent.
    :param last_refreshed_at: send time of the last set or keepalive, in seconds.
    """

    instance_id: str = ""
    incarnation: str = ""
    complete: bool = False
    sent_at: float = float("-inf")
    accepted_sent_at: float = float("-inf")
    is_responsive: bool = True
    usable_at: float = float("-inf")
    selected_at: float = float("-inf")
    epochs: dict[str, int] = field(default_factory=dict)
    last_sent_set: tuple[int, dict[str, int]] = (0, {})
    last_refreshed_at: float = float("-inf")

    def reset(self):
        """Clear the selection, so that the holder need not wait `SWITCH_PAUSE_S`.

        Only safe if the witness will never again report a complete set.
        """
        self.instance_id = ""
        self.incarnation = ""
        self.complete = False
        self.sent_at = float("-inf")
        self.accepted_sent_at = float("-inf")
        self.is_responsive = True
        self.usable_at = float("-inf")

    def record_reply(self, sent_at, refused):
        """Record the reply to a message, or its loss.

        :param sent_at: time at which the message was sent, in seconds.
        :param refused: whether it is certain that the witness did not accept it.
        """
        if not refused:
            self.accepted_sent_at = max(self.accepted_sent_at, sent_at)
        elif sent_at >= self.sent_at:
            self.sent_at = self.accepted_sent_at

    def may_run_without_copy(self, now):
        """Tell whether a request may run without a copy of its record at a witness."""
        return not self.complete and now >= self.sent_at + SWITCH_PAUSE_S


def select_witness(selection, own, live_by_id, domains, allow_own_domain=True):
    """Return the member that should be the witness, ``None`` if there is none.

    The current witness is kept while it is live, because a change requires a complete
    copy. A witness in the own failure domain is replaced once another domain has a
    candidate, because a failure of the domain would affect holder and witness.

    :param selection: current `WitnessSelection`.
    :param own: this instance's `Member`.
    :param live_by_id: live members by id.
    :param domains: failure domains of the own region.
    :param allow_own_domain: whether a member of the own domain may be selected.
    """
    others = [
        member
        for member in live_by_id.values()
        if member.instance_id != own.instance_id
        and member.domain in domains
        and not member.leaving
    ]
    outside_own_domain = [member for member in others if member.domain != own.domain]
    candidates = outside_own_domain or (others if allow_own_domain else [])
    for member in candidates:
        if (member.instance_id, member.incarnation) == (
            selection.instance_id,
            selection.incarnation,
        ):
            return member
    if not candidates:
        return None
    return max(candidates, key=lambda member: _compute_witness_weight(own, member))


def _compute_witness_weight(own, member):
    """Return a weight that distributes the holders over the instances of a region.

    If all holders used the same order, one instance would be the witness of all.
    """
    names = f"{own.instance_id}\0{member.instance_id}".encode()
    return xxhash.xxh3_64_intdigest(names)


@dataclass(slots=True)
class _RecordSet:
    incarnation: str
    last_seen_at: float
    store: WitnessStore = field(default_factory=WitnessStore)
    epochs: dict[str, int] = field(default_factory=dict)


def _never_seen(instance_id, incarnation, now):
    return None


class WitnessService:
    """Outcome records stored for other holders, one set per incarnation.

    :param find_silence_s: function of instance id, incarnation and current time that
        returns the seconds since that incarnation was last seen, ``None`` if never.
    """

    def __init__(self, find_silence_s=_never_seen):
        self._find_silence_s = find_silence_s
        self._record_sets_by_holder = {}
        self._closed = ""

    def close(self, incarnation):
        """Stop serving as a witness; holders then need not wait until it is stale.

        :param incarnation: own incarnation, not empty.
        """
        self._closed = incarnation

    def handle(self, message, now):
        """Handle a witness message and return the reply to it.

        :param message: a `WitnessSet`, `WitnessRecord` or `RecallRequest`.
        :param now: current time in seconds.
        """
        if self._closed and not isinstance(message, RecallRequest):
            return WitnessAck(False, self._closed)
        if isinstance(message, WitnessSet):
            return self._store_set(message, now)
        if isinstance(message, WitnessRecord):
            return self._store_record(message, now)
        return self.recall(message, now)

    def _store_set(self, message, now):
        record_sets = self._record_sets_by_holder.setdefault(message.holder, {})
        record_set = record_sets.get(message.incarnation)
        if not message.partial:
            record_set = _RecordSet(message.incarnation, now)
        if record_set is None:
            return WitnessAck(False)
        all_stored = True
        for slice_id, records in message.records.items():
            for wire in records:
                record = OutcomeRecord.from_wire(wire, now)
                all_stored = record_set.store.put(slice_id, record, now) and all_stored
        if not all_stored:
            return WitnessAck(False)
        record_set.last_seen_at = now
        record_set.epochs = dict(message.epochs)
        record_sets.pop(message.incarnation, None)
        record_sets[message.incarnation] = record_set
        while len(record_sets) > MAX_RECORD_SETS_PER_HOLDER:
            del record_sets[next(iter(record_sets))]
        return WitnessAck(True)

    def _store_record(self, message, now):
        record_set = self._record_sets_by_holder.get(message.holder, {}).get(
            message.incarnation
        )
        if record_set is None:
            return WitnessAck(False)
        record_set.last_seen_at = now
        if message.record is None:
            return WitnessAck(True)
        record = OutcomeRecord.from_wire(message.record, now)
        return WitnessAck(record_set.store.put(record.slice_id, record, now))

    def recall(self, message, now):
        """Return the records stored for a lost holder.

        :param message: a `RecallRequest`.
        :param now: current time in seconds.
        """
        record_sets = self._record_sets_by_holder.get(message.holder, {})
        records = {}
        for record_set in record_sets.values():
            for record in record_set.store.recall(message.slice_ids):
                wire = record.to_wire(now)
                records.setdefault(record.slice_id, []).append(wire)
        current = [
            record_set
            for record_set in record_sets.values()
            if self._was_last_witness(message, record_set, now)
        ]
        # In one epoch, a claim is held by only one incarnation, so it is sufficient
        # to compare epochs.
        complete_claims = [
            claim_id
            for claim_id, epoch in message.epochs.items()
            if any(record_set.epochs.get(claim_id) == epoch for record_set in current)
        ]
        complete = bool(current) and len(complete_claims) == len(message.epochs)
        return RecallReply(complete, records, complete_claims)

    def _was_last_witness(self, message, record_set, now):
        """Tell whether the holder used this witness until it was lost.

        If the holder had switched to another witness, other instances would have seen
        it for longer than this one received its messages.
        """
        if self._closed:
            return False
        silences_s = [self._find_silence_s(message.holder, record_set.incarnation, now)]
        if message.incarnation == record_set.incarnation:
            silences_s.append(message.silence_s)
        silences_s = [silence_s for silence_s in silences_s if silence_s is not None]
        return (
            bool(silences_s)
            and now - record_set.last_seen_at <= min(silences_s) + STALE_WITNESS_S
        )


WITNESS_MESSAGES = (WitnessSet, WitnessRecord, RecallRequest)
