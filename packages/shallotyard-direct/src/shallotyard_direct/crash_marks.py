"""Detects requests that crash the upstreams that run them."""

import hashlib
from collections import OrderedDict

# A request that was in progress at this many crashes is refused.
CRASHES_UNTIL_REFUSED = 3
# Maximum time between the end of an attempt by a crash and the detection of the crash:
# three missed heartbeats, and the transit of the change.
CRASH_DETECTION_S = 5.0
MAX_FINGERPRINTS = 4096
MAX_UNRESOLVED_ATTEMPTS = 512
# Maximum number of requests marked for one crash; an upstream runs only as many at a
# time as it has slots.
MAX_MARKS_PER_CRASH = 16


def compute_fingerprint(request):
    """Return a digest that is the same for repetitions of a request."""
    digest = hashlib.blake2s(digest_size=10)
    for part in (request.method, request.host, request.target, str(request.key)):
        digest.update(part.encode("utf-8", "replace"))
        digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()


class CrashMarks:
    """Crashes of upstreams, by fingerprint of the requests in progress at them."""

    def __init__(self):
        self._crashes_by_fingerprint = OrderedDict()
        self._unresolved_attempts = []

    def record_unresolved_attempt(self, fingerprint, incarnation, now):
        """Record an attempt that ended without a response, which a crash may have
        caused.

        :param fingerprint: fingerprint of the request.
        :param incarnation: upstream id and start of the upstream's incarnation.
        """
        self._unresolved_attempts = [
            entry
            for entry in self._unresolved_attempts[-MAX_UNRESOLVED_ATTEMPTS:]
            if entry[2] > now - CRASH_DETECTION_S
        ]
        self._unresolved_attempts.append((fingerprint, incarnation, now))

    def record_upstream_crash(self, incarnation, now):
        """Record a crash for the requests that were in progress at an incarnation.

        :return: fingerprints for which this crash was not recorded before.
        """
        fingerprints = []
        for fingerprint, attempt_incarnation, at in self._unresolved_attempts:
            recent = attempt_incarnation == incarnation and at > now - CRASH_DETECTION_S
            if recent and fingerprint not in fingerprints:
                fingerprints.append(fingerprint)
        fingerprints = fingerprints[:MAX_MARKS_PER_CRASH]
        return [
            fingerprint
            for fingerprint in fingerprints
            if self.add_crash(fingerprint, incarnation)
        ]

    def add_crash(self, fingerprint, incarnation):
        """Add a crash that this or another instance has detected.

        :return: whether it was new.
        """
        crashes = self._crashes_by_fingerprint.setdefault(fingerprint, set())
        self._crashes_by_fingerprint.move_to_end(fingerprint)
        while len(self._crashes_by_fingerprint) > MAX_FINGERPRINTS:
            self._crashes_by_fingerprint.popitem(last=False)
        if incarnation in crashes:
            return False
        crashes.add(incarnation)
        return True

    def count_crashes(self, fingerprint):
        """Return the number of recorded crashes of a request."""
        return len(self._crashes_by_fingerprint.get(fingerprint, ()))

    def is_refused(self, request):
        """Return whether a request must be refused because of its crashes."""
        if not self._crashes_by_fingerprint:
            return False
        return self.count_crashes(compute_fingerprint(request)) >= CRASHES_UNTIL_REFUSED

    def record_response(self, request):
        """Delete the crashes of a request that an upstream answered, unless the
        request is refused already.
        """
        if not self._crashes_by_fingerprint:
            return
        fingerprint = compute_fingerprint(request)
        if 0 < self.count_crashes(fingerprint) < CRASHES_UNTIL_REFUSED:
            del self._crashes_by_fingerprint[fingerprint]
