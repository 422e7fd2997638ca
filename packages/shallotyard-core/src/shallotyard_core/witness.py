"""Copies of outcome records at another instance, in case the holder is lost."""

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

# A witness whose holder has been silent to it for this much longer than to
# others no longer claims to be complete; a holder relies on another witness
# only after a longer pause, so that two complete sets never differ.
STALE_WITNESS_S = 2.0
SWITCH_PAUSE_S = 2.5
# News for the witness waits no longer than this.
UPDATE_PERIOD_S = 0.25
# Three in a row may be lost before a witness counts as stale.
KEEPALIVE_PERIOD_S = 0.5
# Soon after the start, instances of other failure domains may not be known yet,
# and a later change of the witness holds writes back for the pause above.
STAY_DELAY_S = 3.0
MAX_SETS_PER_HOLDER = 3


@dataclass(slots=True)
class WitnessSelection:
    """The witness of this holder.

    :param instance_id: chosen instance, ``""`` if there is none.
    :param complete: whether it has confirmed a full copy.
    :param sent_at: time of the last message from which a witness may take itself
        for complete, refused ones left out.
    :param addressed_at: the same, of those that were confirmed or lost.
    :param answers: whether its last reply came; if not, only probes are sent.
    :param usable_at: when the chosen witness may be relied on, in seconds.
    :param chosen_at: when it was chosen, in seconds.
    :param epochs: claims of which it has confirmed all records.
    :param offered: number and epochs of the last set that was sent.
    :param kept_at: time of the last set or keepalive, in seconds.
    """

    instance_id: str = ""
    incarnation: str = ""
    complete: bool = False
    sent_at: float = float("-inf")
    addressed_at: float = float("-inf")
    answers: bool = True
    usable_at: float = float("-inf")
    chosen_at: float = float("-inf")
    epochs: dict[str, int] = field(default_factory=dict)
    offered: tuple[int, dict[str, int]] = (0, {})
    kept_at: float = float("-inf")

    def forget(self):
        """Forget a witness that will never again claim to be complete."""
        self.instance_id = ""
        self.incarnation = ""
        self.complete = False
        self.sent_at = float("-inf")
        self.addressed_at = float("-inf")
        self.answers = True
        self.usable_at = float("-inf")

    def note_reply(self, sent_at, refused):
        """Record how a message ended.

        :param sent_at: time at which it was sent.
        :param refused: whether the witness certainly did not take it.
        """
        if not refused:
            self.addressed_at = max(self.addressed_at, sent_at)
        elif sent_at >= self.sent_at:
            self.sent_at = self.addressed_at

    def may_go_without(self, now):
        """Tell whether a request may run without a copy at a witness."""
        return not self.complete and now >= self.sent_at + SWITCH_PAUSE_S


def choose_witness(choice, own, live_by_id, domains, stay=True):
    """Return the member that should be the witness, ``None`` if there is none.

    The current one is kept while it lives, because a change sends a full copy. One
    in the own failure domain is left for another domain, because both would be lost
    together.

    :param choice: current `WitnessSelection`.
    :param own: this instance's `Member`.
    :param live_by_id: live members by id.
    :param domains: failure domains of the own region.
    :param stay: whether a member of the own failure domain may be chosen.
    """
    others = [
        member
        for member in live_by_id.values()
        if member.instance_id != own.instance_id
        and member.domain in domains
        and not member.leaving
    ]
    away = [member for member in others if member.domain != own.domain]
    allowed = away or (others if stay else [])
    for member in allowed:
        if (member.instance_id, member.incarnation) == (
            choice.instance_id,
            choice.incarnation,
        ):
            return member
    if not allowed:
        return None
    return max(allowed, key=lambda member: _witness_weight(own, member))


def _witness_weight(own, member):
    """Return a weight that spreads the holders over the instances of a region.

    With one order for all holders, the first instance would be the witness of all.
    """
    names = f"{own.instance_id}\0{member.instance_id}".encode()
    return xxhash.xxh3_64_intdigest(names)


@dataclass(slots=True)
class _Kept:
    incarnation: str
    last_seen_at: float
    store: WitnessStore = field(default_factory=WitnessStore)
    epochs: dict[str, int] = field(default_factory=dict)


def _never_heard(instance_id, incarnation, now):
    return None


class WitnessService:
    """Records kept for other holders, one set per incarnation.

    :param silence_s: function from instance id, incarnation and time to the
        seconds since that incarnation was last heard of, ``None`` if never.
    """

    def __init__(self, silence_s=_never_heard):
        self._silence_s = silence_s
        self._sets_by_holder = {}
        self._closed = ""

    def close(self, incarnation):
        """Stop being a witness, so that holders need not wait for silence.

        :param incarnation: own incarnation, not empty.
        """
        self._closed = incarnation

    def handle(self, message, now):
        """Carry out a witness message and return the reply to it."""
        if self._closed and not isinstance(message, RecallRequest):
            return WitnessAck(False, self._closed)
        if isinstance(message, WitnessSet):
            return self._replace(message, now)
        if isinstance(message, WitnessRecord):
            return self._put(message, now)
        return self.recall(message, now)

    def _replace(self, message, now):
        sets = self._sets_by_holder.setdefault(message.holder, {})
        kept = sets.get(message.incarnation)
        if not message.partial:
            kept = _Kept(message.incarnation, now)
        if kept is None:
            return WitnessAck(False)
        whole = True
        for slice_id, records in message.records.items():
            for wire in records:
                record = OutcomeRecord.from_wire(wire, now)
                whole = kept.store.put(slice_id, record, now) and whole
        if not whole:
            return WitnessAck(False)
        kept.last_seen_at = now
        kept.epochs = dict(message.epochs)
        sets.pop(message.incarnation, None)
        sets[message.incarnation] = kept
        while len(sets) > MAX_SETS_PER_HOLDER:
            del sets[next(iter(sets))]
        return WitnessAck(True)

    def _put(self, message, now):
        kept = self._sets_by_holder.get(message.holder, {}).get(message.incarnation)
        if kept is None:
            return WitnessAck(False)
        kept.last_seen_at = now
        if message.record is None:
            return WitnessAck(True)
        record = OutcomeRecord.from_wire(message.record, now)
        return WitnessAck(kept.store.put(record.slice_id, record, now))

    def recall(self, message, now):
        """Return the records kept for a lost holder.

        :param message: a `RecallRequest`.
        :param now: current time in seconds.
        """
        sets = self._sets_by_holder.get(message.holder, {})
        records = {}
        for kept in sets.values():
            for record in kept.store.recall(message.slice_ids):
                wire = record.to_wire(now)
                records.setdefault(record.slice_id, []).append(wire)
        current = [
            kept for kept in sets.values() if self._was_last_witness(message, kept, now)
        ]
        # Only one incarnation ever had a claim at an epoch.
        complete_claims = [
            claim_id
            for claim_id, epoch in message.epochs.items()
            if any(kept.epochs.get(claim_id) == epoch for kept in current)
        ]
        complete = bool(current) and len(complete_claims) == len(message.epochs)
        return RecallReply(complete, records, complete_claims)

    def _was_last_witness(self, message, kept, now):
        """Tell whether the holder addressed this witness until its end.

        A holder that had chosen another witness would have been heard of for
        longer than it was heard here.
        """
        if self._closed:
            return False
        known = [self._silence_s(message.holder, kept.incarnation, now)]
        if message.incarnation == kept.incarnation:
            known.append(message.silence_s)
        known = [silence_s for silence_s in known if silence_s is not None]
        return bool(known) and now - kept.last_seen_at <= min(known) + STALE_WITNESS_S


WITNESS_MESSAGES = (WitnessSet, WitnessRecord, RecallRequest)
