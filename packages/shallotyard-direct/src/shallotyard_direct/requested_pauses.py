"""Keeps to the pauses that upstreams ask for when they turn a request away.

At the end of a pause requests wait for the upstream, here and at other instances. It
gets few at first and more with each response, because it would turn most of a burst
away and ask for the next pause.
"""

import math
from dataclasses import dataclass

# Where more instances than the upstream has slots may wait for the end of a pause, each
# goes on at its own time within this fraction of the pause.
RESUMPTION_SPREAD = 0.25
MAX_RESUMPTION_SPREAD_S = 1.0
# After a pause one request may be in flight, and one more with each response and after
# each such time, so that a slow request does not hold up all others.
RAMP_STEP_S = 0.25
# The ramp ends after this many responses per slot.
RAMP_RESPONSES_PER_SLOT = 1.5
# Pauses that are remembered of incarnations without an entry, which may return with an
# older copy of the store.
MAX_FORMER_PAUSES = 1000
# A pause that ends later than known by less is not worth a log line.
MIN_LOGGED_EXTENSION_S = 1.0


@dataclass(slots=True)
class RequestedPause:
    """A pause that an incarnation of an upstream asked for.

    :param ends_at: end that it asked for, in seconds.
    :param resumes_at: time from which it gets requests again, in seconds.
    :param first_sent_at: time of the first request since then, in seconds; infinity if
        there was none.
    :param in_flight: requests sent to it since then that have not ended.
    :param responses: responses to requests sent since then.
    """

    ends_at: float
    resumes_at: float
    first_sent_at: float = math.inf
    in_flight: int = 0
    responses: int = 0


class RequestedPauses:
    """Pauses by the incarnation that asked, which is (upstream id, start).

    :param rng: a ``random.Random``.
    """

    def __init__(self, rng):
        self.rng = rng
        self.pauses_by_incarnation = {}

    def record_request(self, incarnation, pause_s, is_spread, now):
        """Record that an upstream wants nothing for a time. Of several pauses the one
        that ends last counts.

        :param is_spread: whether the resumption is spread, see `RESUMPTION_SPREAD`.
        :return: whether it was not paused before, or only for a shorter time.
        """
        before = self.pauses_by_incarnation.get(incarnation)
        ends_at = now + pause_s
        if before is not None and ends_at <= before.ends_at:
            return False
        resumes_at = ends_at
        if is_spread:
            spread_s = min(MAX_RESUMPTION_SPREAD_S, RESUMPTION_SPREAD * pause_s)
            resumes_at += spread_s * self.rng.random()
        if before is not None:
            resumes_at = max(resumes_at, before.resumes_at)
        self.pauses_by_incarnation[incarnation] = RequestedPause(ends_at, resumes_at)
        if before is None or now >= before.ends_at:
            return True
        return ends_at >= before.ends_at + MIN_LOGGED_EXTENSION_S

    def is_paused(self, incarnation, now):
        """Return whether an upstream wants nothing now."""
        pause = self.pauses_by_incarnation.get(incarnation)
        return pause is not None and now < pause.resumes_at

    def find_resumption(self, incarnation):
        """Return the end of the last pause of an upstream, in seconds."""
        pause = self.pauses_by_incarnation.get(incarnation)
        return -math.inf if pause is None else pause.resumes_at

    def allows(self, incarnation, now):
        """Return whether an upstream may get one more request now."""
        pause = self.pauses_by_incarnation.get(incarnation)
        if pause is None:
            return True
        if now < pause.resumes_at:
            return False
        steps = max(0.0, now - pause.first_sent_at) // RAMP_STEP_S
        return pause.in_flight < 1 + pause.responses + steps

    def record_send(self, incarnation, now):
        """Record that a request was sent."""
        pause = self.pauses_by_incarnation.get(incarnation)
        if pause is not None:
            pause.first_sent_at = min(pause.first_sent_at, now)
            pause.in_flight += 1

    def record_end(self, incarnation, sent_at, responded, slots):
        """Record that a request ended.

        :param sent_at: time at which it was sent, in seconds.
        :param responded: whether the upstream responded and did not turn it away.
        :param slots: slots of the upstream.
        :return: whether this is the first response after a pause.
        """
        pause = self.pauses_by_incarnation.get(incarnation)
        if pause is None or sent_at < pause.resumes_at:
            return False
        pause.in_flight -= 1
        if not responded:
            return False
        pause.responses += 1
        if pause.responses >= RAMP_RESPONSES_PER_SLOT * slots:
            del self.pauses_by_incarnation[incarnation]
        return pause.responses == 1

    def forget_former(self, is_known):
        """Forget the oldest pauses of incarnations without an entry.

        :param is_known: function from an incarnation to whether it has an entry.
        """
        former = [i for i in self.pauses_by_incarnation if not is_known(i)]
        for incarnation in former[:-MAX_FORMER_PAUSES]:
            del self.pauses_by_incarnation[incarnation]
