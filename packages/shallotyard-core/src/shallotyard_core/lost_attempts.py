"""Attempts of unknown outcome, which count as in flight until they surely ended."""

from shallotyard_core.calls import UnresolvedAttempt
from shallotyard_core.effects import CancelAttempt


def lose_attempt(call, link, now, out):
    """Keep an attempt as lost, suspect it, and ask the upstream to cancel it.

    :param call: the `Call` of the attempt.
    :param link: the `HeldUpstream` of its upstream.
    :param now: current time in seconds.
    :param out: list that effects are appended to.
    """
    link.distrust_connections(now)
    until = max(call.attempt_deadline, now)
    link.lost[call.relay.call_id] = UnresolvedAttempt(call, until)
    link.suspects.append((now, call))
    link.polled_at = float("-inf")
    link.admission.finish_unknown(now, until)
    out.append(
        CancelAttempt(call.relay.call_id, link.upstream.address, call.relay.request_id)
    )


def settle_attempt(links, call_id, now):
    """Record that a lost attempt has surely ended at its upstream.

    :param links: iterable of `HeldUpstream`.
    :param now: current time in seconds.
    """
    for link in links:
        lost = link.lost.pop(call_id, None)
        if lost is not None:
            link.admission.settle_unknown(now, lost.until)
            drop_in_flight(lost.call)
            return


def settle_due_attempts(links, now):
    """Settle the lost attempts whose deadline has passed."""
    for link in links:
        for call_id, lost in list(link.lost.items()):
            if lost.until <= now:
                del link.lost[call_id]
                drop_in_flight(lost.call)


def settle_former_attempts(link, now):
    """Settle the lost attempts of a process that was replaced."""
    for call_id, lost in list(link.lost.items()):
        if lost.call.boot_id != link.boot_id:
            settle_attempt((link,), call_id, now)


def drop_in_flight(call):
    """Count an attempt as ended for the claims that it ran under."""
    call.upstream_claim.in_flight -= 1
    if call.claim is not None:
        call.claim.in_flight -= 1
