"""Bound on retries, summed over all instances without messages between them."""

from collections import deque

# Part of the permitted ratio that is used. The rest covers requests that an
# instance counted in a window in which others count fewer.
USED_FRACTION = 0.6


class RetryBudget:
    """Retries of one service at this instance.

    Each instance keeps to the ratio of its own requests, so the sum over all
    instances keeps to the ratio of all requests, whoever is known to live.

    :param ratio: permitted retries per request.
    :param window_s: sliding window in seconds.
    """

    def __init__(self, ratio, window_s):
        self.ratio = ratio * USED_FRACTION
        self.window_s = window_s
        self.requests = deque()
        self.retries = deque()

    def record(self, now):
        """Count a request of a caller."""
        self.requests.append(now)
        self._expire(now)

    def try_spend(self, now):
        """Take a retry from the budget.

        :return: whether it may be sent.
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
