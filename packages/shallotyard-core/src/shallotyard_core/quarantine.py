"""Requests that were in flight when upstreams died, by fingerprint."""

import enum
from collections import OrderedDict
from dataclasses import dataclass

from shallotyard_core.exceptions import InvariantError

MARK_TTL_S = 600.0
QUARANTINE_S = 600.0
MARKS_UNTIL_EXCLUSIVE = 2
QUARANTINED_MARKS = 3
# Each death of an upstream marks at most one fingerprint per slot, so this bound
# is far above what deaths within ``MARK_TTL_S`` produce.
MAX_FINGERPRINTS = 16_384


class QuarantineDecision(enum.Enum):
    """How a request may run."""

    RUN = "run"
    RUN_EXCLUSIVELY = "run-alone"
    REFUSE = "refuse"


@dataclass(slots=True)
class _Mark:
    count: int
    expires_at: float


class Quarantine:
    """Marks of fingerprints; three marks mean quarantined.

    Only a fingerprint that ran alone, here or on an instance that shared its
    marks, can reach three marks.

    :param max_fingerprints: number of fingerprints kept; the oldest are dropped.
    """

    __slots__ = ("_mark_by_fingerprint", "_max_fingerprints")

    def __init__(self, max_fingerprints=MAX_FINGERPRINTS):
        self._max_fingerprints = max_fingerprints
        # Ordered by expiry, because every change sets the same time to live.
        self._mark_by_fingerprint = OrderedDict()

    def __len__(self):
        return len(self._mark_by_fingerprint)

    def decide(self, fingerprint, now):
        """Return how a request may run.

        :param fingerprint: fingerprint of the request.
        :param now: current time in seconds.
        """
        marks = self._marks(fingerprint, now)
        if marks < MARKS_UNTIL_EXCLUSIVE:
            return QuarantineDecision.RUN
        if marks < QUARANTINED_MARKS:
            return QuarantineDecision.RUN_EXCLUSIVELY
        return QuarantineDecision.REFUSE

    def record_upstream_death(self, fingerprints_in_flight, exclusive, now):
        """Mark the requests in flight on an upstream that died.

        :param fingerprints_in_flight: their fingerprints; repeats count once.
        :param exclusive: whether the only request in flight had been run alone.
        :param now: current time in seconds.
        :return: list of changed (fingerprint, marks), to share in the region.
        :raises InvariantError: if several fingerprints are said to run alone.
        """
        fingerprints = dict.fromkeys(fingerprints_in_flight)
        if exclusive and len(fingerprints) > 1:
            raise InvariantError(
                "quarantine-alone", f"{len(fingerprints)} requests ran alone together"
            )
        changed = []
        for fingerprint in fingerprints:
            before = self._marks(fingerprint, now)
            if exclusive:
                marks = QUARANTINED_MARKS
            elif before == QUARANTINED_MARKS:
                continue
            else:
                # A request beside others is never refused, however often its
                # upstreams die.
                marks = min(before + 1, MARKS_UNTIL_EXCLUSIVE)
            self._set(fingerprint, marks, now)
            changed.append((fingerprint, marks))
        return changed

    def record_exclusive_success(self, fingerprint, now):
        """Clear the marks of a request that ran alone and got a response.

        :param fingerprint: fingerprint of the request.
        :param now: current time in seconds.
        :return: list of changed (fingerprint, marks), to share in the region.
        """
        if self._marks(fingerprint, now) == 0:
            return []
        del self._mark_by_fingerprint[fingerprint]
        return [(fingerprint, 0)]

    def quarantined_count(self, now):
        """Return the number of quarantined fingerprints.

        :param now: current time in seconds.
        """
        return sum(
            mark.count == QUARANTINED_MARKS and mark.expires_at > now
            for mark in self._mark_by_fingerprint.values()
        )

    def merge_marks(self, marks, now):
        """Take over marks from another instance.

        The larger number wins, so a repeated message changes nothing and does not
        extend the time to live. Zero clears marks below quarantine.

        :param marks: iterable of (fingerprint, marks).
        :param now: current time in seconds.
        """
        for fingerprint, count in marks:
            before = self._marks(fingerprint, now)
            if count > before:
                self._set(fingerprint, min(count, QUARANTINED_MARKS), now)
            elif count == 0 and 0 < before < QUARANTINED_MARKS:
                del self._mark_by_fingerprint[fingerprint]

    def _marks(self, fingerprint, now):
        mark = self._mark_by_fingerprint.get(fingerprint)
        if mark is None:
            return 0
        if mark.expires_at <= now:
            del self._mark_by_fingerprint[fingerprint]
            return 0
        return mark.count

    def _set(self, fingerprint, marks, now):
        ttl_s = QUARANTINE_S if marks == QUARANTINED_MARKS else MARK_TTL_S
        mark_by_fingerprint = self._mark_by_fingerprint
        mark_by_fingerprint[fingerprint] = _Mark(marks, now + ttl_s)
        mark_by_fingerprint.move_to_end(fingerprint)
        while len(mark_by_fingerprint) > self._max_fingerprints or (
            next(iter(mark_by_fingerprint.values())).expires_at <= now
        ):
            mark_by_fingerprint.popitem(last=False)
