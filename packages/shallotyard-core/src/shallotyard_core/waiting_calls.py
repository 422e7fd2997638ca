"""Calls that wait at the holder before they request admission to an upstream."""

MAX_PARKED_CALLS = 4096


class WaitingCalls:
    """Parked calls, and repeated calls of running requests.

    A parked call waits for a claim, a grant, a recall or a witness and is retried. A
    repeated call waits until the running request has ended and is then parked.
    """

    def __init__(self):
        self.parked_by_id = {}
        self.repeats_by_identity = {}

    @property
    def is_full(self):
        """Tell whether the limit on parked calls is reached."""
        return len(self.parked_by_id) >= MAX_PARKED_CALLS

    def park(self, call):
        """Park a call until the next retry."""
        self.parked_by_id[call.relay.call_id] = call

    def drain_parked(self):
        """Remove and return all parked calls."""
        calls = list(self.parked_by_id.values())
        self.parked_by_id.clear()
        return calls

    def pop(self, call_id):
        """Remove and return a parked call, ``None`` if it is not parked."""
        return self.parked_by_id.pop(call_id, None)

    def add_repeat(self, call):
        """Keep a call until the running request of the same identity has ended."""
        self.repeats_by_identity.setdefault(call.relay.identity, []).append(call)

    def park_repeats(self, identity):
        """Park the repeated calls of a request that has ended."""
        for call in self.repeats_by_identity.pop(identity, ()):
            self.park(call)
