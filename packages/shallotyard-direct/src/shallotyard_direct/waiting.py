"""Queues of requests that wait for an upstream with room."""

import itertools
import random

from shallotyard_direct.accounts.fairness import RecentService
from shallotyard_direct.accounts.fairness import choose_displaced
from shallotyard_direct.accounts.fairness import get_account_id
from shallotyard_direct.accounts.fairness import order_fairly

# A request waits for at most this fraction of its target latency; the rest is for
# processing.
MAX_WAIT_PER_TARGET_LATENCY = 0.5
# Weight of the newest completion in the smoothed completion period of a queue.
COMPLETION_PERIOD_WEIGHT = 0.1
# Maximum length of a queue until a completion period has been observed.
INITIAL_QUEUE_LENGTH = 8
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 2.0
# Retries are spread over this fraction of the expected wait.
RETRY_JITTER = 0.5


class WaitingRequests:
    """The queue of a service, or of one owner of keys."""

    def __init__(self):
        self.pending_requests = []
        self.completion_period_s = None
        self.completed_at = None
        self.service = RecentService()

    def __len__(self):
        return len(self.pending_requests)

    def record_completion(self, now):
        """Update the completion period after a request ended and made room."""
        if self.completed_at is not None and self.pending_requests:
            completion_period_s = now - self.completed_at
            if self.completion_period_s is None:
                self.completion_period_s = completion_period_s
            else:
                self.completion_period_s += COMPLETION_PERIOD_WEIGHT * (
                    completion_period_s - self.completion_period_s
                )
        self.completed_at = now

    def restart_period(self):
        """Count the completion period from the next completion on, as nothing was sent
        for some time.
        """
        self.completed_at = None

    def estimate_wait(self, priority):
        """Return the expected wait of a new request of a priority, in seconds."""
        ahead = sum(p.priority <= priority for p in self.pending_requests)
        return ahead * (self.completion_period_s or 0.0)

    def accepts(self, pending, now, pause_s=0.0):
        """Return whether a request may join the queue. In a burst, a request that
        would exceed the maximum wait of its route is refused at once, so that the
        caller can retry later or elsewhere.

        :param pause_s: time until upstreams take requests again, in seconds.
        """
        limit_s = compute_max_wait(pending.route) - pause_s
        if self.completion_period_s is None:
            return len(self.pending_requests) < INITIAL_QUEUE_LENGTH
        return self.estimate_wait(pending.priority) <= limit_s

    def add(self, pending):
        """Add a request at the end."""
        self.pending_requests.append(pending)

    def discard(self, pending):
        """Remove a request if it is in the queue."""
        if pending in self.pending_requests:
            self.pending_requests.remove(pending)

    def record_send(self, pending, now):
        """Record that a request was sent for its client account."""
        self.service.record(get_account_id(pending), now)

    def find_displaced(self, pending, now, pause_s=0.0):
        """Return the waiting request to refuse in place of a new one that the queue
        does not accept, None to refuse the new one.
        """
        displaced = choose_displaced(self.pending_requests, pending)
        if displaced is None or self.completion_period_s is None:
            return displaced
        others = [p for p in self.pending_requests if p is not displaced]
        position = self._order([*others, pending], now).index(pending)
        limit_s = compute_max_wait(pending.route) - pause_s
        return displaced if position * self.completion_period_s <= limit_s else None

    def list_by_urgency(self, now):
        """Return the requests by priority, then in fair order between client accounts,
        then by time of arrival.
        """
        return self._order(self.pending_requests, now)

    def _order(self, pending_requests, now):
        by_arrival = sorted(pending_requests, key=lambda p: (p.priority, p.arrived_at))
        ordered = []
        for _, group in itertools.groupby(by_arrival, key=lambda p: p.priority):
            ordered += order_fairly(list(group), self.service, now)
        return ordered


def compute_max_wait(route):
    """Return the maximum wait of a request of a route, in seconds."""
    return route.target_latency_s * MAX_WAIT_PER_TARGET_LATENCY


def choose_retry_after(wait_s, rng=random, pause_s=0.0):
    """Return the delay after which a refused caller should retry, in seconds.

    :param wait_s: expected time until there is room, in seconds.
    :param pause_s: time until upstreams take requests again, in seconds. It is not
        bounded, because an earlier retry would be refused as well.
    :param rng: a ``random.Random``. It spreads retries, so that callers do not all
        retry at the same moment.
    """
    jitter = 1 + RETRY_JITTER * rng.random()
    wait_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s * jitter))
    return pause_s * jitter + wait_s
