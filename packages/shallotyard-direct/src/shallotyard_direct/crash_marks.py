"""Requests that crash the upstreams which run them."""

import hashlib
from collections import OrderedDict

# A request that was in progress at this many crashes is not sent any more.
CRASHES_UNTIL_REFUSED = 3
# How long before the news of a crash an attempt may have ended by it: three
# missed heartbeats and the way of the news.
CRASH_NEWS_S = 5.0
MAX_MARKED = 4096
MAX_LOST = 512
# Attempts in progress at one crash beyond these are not marked; an upstream runs
# only as many as it has slots.
MAX_MARKS_PER_CRASH = 16


def fingerprint(request):
    """Return a digest by which a repeated request is known again."""
    digest = hashlib.blake2s(digest_size=10)
    for part in (request.method, request.host, request.target, str(request.key)):
        digest.update(part.encode("utf-8", "replace"))
        digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()


class CrashMarks:
    """Crashes by the requests that were in progress at the crashed upstream."""

    def __init__(self):
        self._crashes_by_fingerprint = OrderedDict()
        self._lost = []

    def note_lost(self, mark, owner, now):
        """Remember an attempt whose connection broke.

        :param mark: fingerprint of the request.
        :param owner: id and start of the upstream's incarnation.
        """
        self._lost = [
            entry for entry in self._lost[-MAX_LOST:] if entry[2] > now - CRASH_NEWS_S
        ]
        self._lost.append((mark, owner, now))

    def upstream_died(self, owner, now):
        """Mark the requests that an ended incarnation was running.

        :return: fingerprints that were not marked for this crash before.
        """
        marks = []
        for mark, lost_owner, at in self._lost:
            recent = lost_owner == owner and at > now - CRASH_NEWS_S
            if recent and mark not in marks:
                marks.append(mark)
        marks = marks[:MAX_MARKS_PER_CRASH]
        return [mark for mark in marks if self.add(mark, owner)]

    def add(self, mark, owner):
        """Add a crash, also one that another instance has seen.

        :return: whether it was new.
        """
        crashes = self._crashes_by_fingerprint.setdefault(mark, set())
        self._crashes_by_fingerprint.move_to_end(mark)
        while len(self._crashes_by_fingerprint) > MAX_MARKED:
            self._crashes_by_fingerprint.popitem(last=False)
        if owner in crashes:
            return False
        crashes.add(owner)
        return True

    def count(self, mark):
        """Return the number of crashes at which a request was in progress."""
        return len(self._crashes_by_fingerprint.get(mark, ()))

    def is_refused(self, request):
        """Return whether a request must not be sent any more."""
        if not self._crashes_by_fingerprint:
            return False
        return self.count(fingerprint(request)) >= CRASHES_UNTIL_REFUSED

    def note_answered(self, request):
        """Clear a request that an upstream survived, unless it is refused."""
        if not self._crashes_by_fingerprint:
            return
        mark = fingerprint(request)
        if 0 < self.count(mark) < CRASHES_UNTIL_REFUSED:
            del self._crashes_by_fingerprint[mark]
