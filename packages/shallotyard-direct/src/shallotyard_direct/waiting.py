"""Requests that wait for room, in the order in which they are sent."""

import random

# A request is kept waiting for at most this part of its target latency; the
# rest is for the work itself.
MAX_WAIT_RATIO = 0.5
# Weight of the newest completion in the observed rate of a queue.
RATE_WEIGHT = 0.1
# Without an observed rate, this many requests may wait.
FIRST_QUEUE_LENGTH = 8
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 2.0
# Returning callers are spread over this part of the expected wait.
RETRY_SPREAD = 0.5


class WaitingRequests:
    """The queue of one service or of one owner of keys."""

    def __init__(self):
        self.pendings = []
        self.period_s = None
        self.ended_at = None

    def __len__(self):
        return len(self.pendings)

    def note_end(self, now):
        """Count a request that ended and made room."""
        if self.ended_at is not None and self.pendings:
            period_s = now - self.ended_at
            if self.period_s is None:
                self.period_s = period_s
            else:
                self.period_s += RATE_WEIGHT * (period_s - self.period_s)
        self.ended_at = now

    def expected_wait(self, priority):
        """Return how long a request of a priority would wait, in seconds."""
        ahead = sum(p.route.priority <= priority for p in self.pendings)
        return ahead * (self.period_s or 0.0)

    def accepts(self, pending, now):
        """Return whether a request is worth keeping in the queue.

        Answers bursts: what could not start soon enough to be of full use is
        refused at once, so that the caller can come back or go elsewhere.
        """
        limit_s = max_wait(pending.route)
        if self.period_s is None:
            return len(self.pendings) < FIRST_QUEUE_LENGTH
        return self.expected_wait(pending.route.priority) <= limit_s

    def add(self, pending):
        """Add a request."""
        self.pendings.append(pending)

    def discard(self, pending):
        """Remove a request that no longer waits."""
        if pending in self.pendings:
            self.pendings.remove(pending)

    def in_order(self):
        """Return the requests, most urgent first."""
        return sorted(self.pendings, key=lambda p: (p.route.priority, p.arrived_at))


def max_wait(route):
    """Return how long a request of a route may wait for room, in seconds."""
    return route.target_latency_s * MAX_WAIT_RATIO


def retry_after(wait_s, rng=random):
    """Return when a refused caller should come back, in seconds.

    :param wait_s: time after which room is expected.
    :param rng: a ``random.Random``; callers must not return as one wave.
    """
    wait_s *= 1 + RETRY_SPREAD * rng.random()
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
