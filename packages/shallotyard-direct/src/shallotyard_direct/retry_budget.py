"""Limits the retries of all instances without communication between them."""

from collections import deque

# Fraction of the permitted ratio that is used. The rest covers windows in which other
# instances count fewer requests than this one.
USED_FRACTION = 0.6


class RetryBudget:
    """Limits the retries of one service at this instance. Each instance keeps to the
    ratio of its own requests, so all instances together keep to the ratio of all
    requests, regardless of which instances are running.

    :param ratio: permitted retries per request.
    :param window_s: sliding window in seconds.
    """

    def __init__(self, ratio, window_s):
        self.ratio = ratio * USED_FRACTION
        self.window_s = window_s
        self.requests = deque()
        self.retries = deque()

    def record(self, now):
        """Record a request of a caller."""
        self.requests.append(now)
        self._expire(now)

    def try_spend(self, now):
        """Spend a retry of the budget, if there is one left.

        :return: whether the retry may be sent.
        """
        self._expire(now)
        if len(self.retries) + 1 > self.ratio * len(self.requests):
            return False
        self.retries.append(now)
        return True

    def _expire(self, now):
        for times in (self.requests, self.retries):
            while times and times[0] <= now - self.window_s:
                times.popleft()
