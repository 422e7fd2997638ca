"""Token bucket that limits extra attempts to a ratio of the requests."""

# Ten additions of 0.1 yield slightly less than 1.0 in binary floating point.
_ROUNDING_TOLERANCE = 1e-9


class RatioBudget:
    """Budget of extra attempts, refilled by requests rather than by time.

    After n requests, at most ``burst + ratio * n`` extra attempts have been made. The
    bucket starts full. ``spent`` is the number of extra attempts so far.

    :param ratio: tokens added per request, at least 0.
    :param burst: maximum number of tokens in the bucket.
    """

    __slots__ = ("_burst", "_ratio", "_tokens", "spent")

    def __init__(self, ratio, burst):
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst
        self.spent = 0

    def record_request(self):
        """Count one request."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_spend(self):
        """Take a token for an extra attempt.

        :return: whether the attempt is within the budget.
        """
        if self._tokens < 1.0 - _ROUNDING_TOLERANCE:
            return False
        self._tokens -= 1.0
        self.spent += 1
        return True
