"""Requests that wait for room, in the order in which they are sent."""

import random

# A request is kept waiting for at most this part of its target latency; the
# rest is for the work itself.
MAX_WAIT_RATIO = 0.5
# Weight of the newest completion in the observed rate of a queue.
COMPLETION_PERIOD_WEIGHT = 0.1
# Without an observed rate, this many requests may wait.
INITIAL_QUEUE_LENGTH = 8
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 2.0
# Returning callers are spread over this part of the expected wait.
RETRY_JITTER = 0.5


class WaitingRequests:
    """The queue of one service or of one owner of keys."""

    def __init__(self):
        self.pending_requests = []
        self.completion_period_s = None
        self.completed_at = None

    def __len__(self):
        return len(self.pending_requests)

    def record_completion(self, now):
        """Count a request that ended and made room."""
        if self.completed_at is not None and self.pending_requests:
            completion_period_s = now - self.completed_at
            if self.completion_period_s is None:
                self.completion_period_s = completion_period_s
            else:
                self.completion_period_s += COMPLETION_PERIOD_WEIGHT * (
                    completion_period_s - self.completion_period_s
                )
        self.completed_at = now

    def estimate_wait(self, priority):
        """Return how long a request of a priority would wait, in seconds."""
        ahead = sum(p.route.priority <= priority for p in self.pending_requests)
        return ahead * (self.completion_period_s or 0.0)

    def accepts(self, pending, now):
        """Return whether a request is worth keeping in the queue.

        Answers bursts: what could not start soon enough to be of full use is
        refused at once, so that the caller can come back or go elsewhere.
        """
        limit_s = compute_max_wait(pending.route)
        if self.completion_period_s is None:
            return len(self.pending_requests) < INITIAL_QUEUE_LENGTH
        return self.estimate_wait(pending.route.priority) <= limit_s

    def add(self, pending):
        """Add a request."""
        self.pending_requests.append(pending)

    def discard(self, pending):
        """Remove a request that no longer waits."""
        if pending in self.pending_requests:
            self.pending_requests.remove(pending)

    def list_by_urgency(self):
        """Return the requests, most urgent first."""
        return sorted(
            self.pending_requests, key=lambda p: (p.route.priority, p.arrived_at)
        )


def compute_max_wait(route):
    """Return how long a request of a route may wait for room, in seconds."""
    return route.target_latency_s * MAX_WAIT_RATIO


def choose_retry_after(wait_s, rng=random):
    """Return when a refused caller should come back, in seconds.

    :param wait_s: time after which room is expected.
    :param rng: a ``random.Random``; callers must not return as one wave.
    """
    wait_s *= 1 + RETRY_JITTER * rng.random()
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
