"""Quarantine of requests that crash upstreams.

Requests are identified by fingerprint. A request gets marks when an upstream crashes
while it is in flight there.
"""

import enum
from collections import OrderedDict
from dataclasses import dataclass

from shallotyard_core.exceptions import InvariantError

MARK_TTL_S = 600.0
QUARANTINE_S = 600.0
MARKS_UNTIL_EXCLUSIVE = 2
MARKS_UNTIL_QUARANTINE = 3
# Each crash of an upstream marks at most one fingerprint per slot, so the crashes
# within ``MARK_TTL_S`` produce far fewer marks than this.
MAX_FINGERPRINTS = 16_384


class QuarantineDecision(enum.Enum):
    """Whether and how a request may run.

    ``RUN_EXCLUSIVELY`` means that no other request may be in flight at its upstream.
    """

    RUN = "run"
    RUN_EXCLUSIVELY = "run-alone"
    REFUSE = "refuse"


@dataclass(slots=True)
class _Mark:
    count: int
    expires_at: float


class Quarantine:
    """Marks of fingerprints; a fingerprint with three marks is quarantined.

    Only a request that ran exclusively, on this instance or on one that shared its
    marks, can get the third mark.

    :param max_fingerprints: maximum number of fingerprints; the oldest are dropped.
    """

    __slots__ = ("_mark_by_fingerprint", "_max_fingerprints")

    def __init__(self, max_fingerprints=MAX_FINGERPRINTS):
        self._max_fingerprints = max_fingerprints
        # Ordered by expiry, because every change sets the same time to live and moves
        # the entry to the end.
        self._mark_by_fingerprint = OrderedDict()

    def __len__(self):
        return len(self._mark_by_fingerprint)

    def decide(self, fingerprint, now):
        """Return the `QuarantineDecision` for a request.

        :param fingerprint: fingerprint of the request.
        :param now: current time in seconds.
        """
        marks = self._count_marks(fingerprint, now)
        if marks < MARKS_UNTIL_EXCLUSIVE:
            return QuarantineDecision.RUN
        if marks < MARKS_UNTIL_QUARANTINE:
            return QuarantineDecision.RUN_EXCLUSIVELY
        return QuarantineDecision.REFUSE

    def record_upstream_crash(self, fingerprints_in_flight, exclusive, now):
        """Mark the requests that were in flight at an upstream that crashed.

        :param fingerprints_in_flight: their fingerprints; repeats count once.
        :param exclusive: whether the only request in flight was run exclusively.
        :param now: current time in seconds.
        :return: list of changed (fingerprint, marks), to share in the region.
        :raises InvariantError: if ``exclusive`` is set with several fingerprints.
        """
        fingerprints = dict.fromkeys(fingerprints_in_flight)
        if exclusive and len(fingerprints) > 1:
            raise InvariantError(
                "quarantine-alone",
                f"{len(fingerprints)} exclusive requests in flight together",
            )
        changed = []
        for fingerprint in fingerprints:
            before = self._count_marks(fingerprint, now)
            if exclusive:
                marks = MARKS_UNTIL_QUARANTINE
            elif before == MARKS_UNTIL_QUARANTINE:
                continue
            else:
                # A request that ran concurrently with others is never quarantined,
                # however often its upstreams crash.
                marks = min(before + 1, MARKS_UNTIL_EXCLUSIVE)
            self._set_marks(fingerprint, marks, now)
            changed.append((fingerprint, marks))
        return changed

    def record_exclusive_success(self, fingerprint, now):
        """Clear the marks of a request that ran exclusively and got a response.

        :param fingerprint: fingerprint of the request.
        :param now: current time in seconds.
        :return: list of changed (fingerprint, marks), to share in the region.
        """
        if self._count_marks(fingerprint, now) == 0:
            return []
        del self._mark_by_fingerprint[fingerprint]
        return [(fingerprint, 0)]

    def count_quarantined(self, now):
        """Return the number of quarantined fingerprints.

        :param now: current time in seconds.
        """
        return sum(
            mark.count == MARKS_UNTIL_QUARANTINE and mark.expires_at > now
            for mark in self._mark_by_fingerprint.values()
        )

    def merge_marks(self, marks, now):
        """Merge marks from another instance.

        The higher count is kept, so a repeated message changes nothing and does not
        extend the time to live. A count of zero clears the marks unless the
        fingerprint is quarantined.

        :param marks: iterable of (fingerprint, marks).
        :param now: current time in seconds.
        """
        for fingerprint, count in marks:
            before = self._count_marks(fingerprint, now)
            if count > before:
                self._set_marks(fingerprint, min(count, MARKS_UNTIL_QUARANTINE), now)
            elif count == 0 and 0 < before < MARKS_UNTIL_QUARANTINE:
                del self._mark_by_fingerprint[fingerprint]

    def _count_marks(self, fingerprint, now):
        mark = self._mark_by_fingerprint.get(fingerprint)
        if mark is None:
            return 0
        if mark.expires_at <= now:
            del self._mark_by_fingerprint[fingerprint]
            return 0
        return mark.count

    def _set_marks(self, fingerprint, marks, now):
        ttl_s = QUARANTINE_S if marks == MARKS_UNTIL_QUARANTINE else MARK_TTL_S
        mark_by_fingerprint = self._mark_by_fingerprint
        mark_by_fingerprint[fingerprint] = _Mark(marks, now + ttl_s)
        mark_by_fingerprint.move_to_end(fingerprint)
        while len(mark_by_fingerprint) > self._max_fingerprints or (
            next(iter(mark_by_fingerprint.values())).expires_at <= now
        ):
            mark_by_fingerprint.popitem(last=False)
