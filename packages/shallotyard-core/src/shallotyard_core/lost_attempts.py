"""Attempts of unknown outcome, which count as in flight until they surely ended."""

from shallotyard_core.calls import UnresolvedAttempt
from shallotyard_core.effects import CancelAttempt


def lose_attempt(call, held_upstream, now, out):
    """Keep an attempt as lost, suspect it, and ask the upstream to cancel it.

    :param call: the `Call` of the attempt.
    :param held_upstream: the `HeldUpstream` of its upstream.
    :param now: current time in seconds.
    :param out: list that effects are appended to.
    """
    held_upstream.distrust_connections(now)
    until = max(call.attempt_deadline, now)
    held_upstream.lost[call.relay.call_id] = UnresolvedAttempt(call, until)
    held_upstream.suspects.append((now, call))
    held_upstream.polled_at = float("-inf")
    held_upstream.admission.finish_unknown(now, until)
    out.append(
        CancelAttempt(
            call.relay.call_id, held_upstream.upstream.address, call.relay.request_id
        )
    )


def settle_attempt(held_upstreams, call_id, now):
    """Record that a lost attempt has surely ended at its upstream.

    :param held_upstreams: iterable of `HeldUpstream`.
    :param now: current time in seconds.
    """
    for held_upstream in held_upstreams:
        lost = held_upstream.lost.pop(call_id, None)
        if lost is not None:
            held_upstream.admission.settle_unknown(now, lost.until)
            drop_in_flight(lost.call)
            return


def settle_due_attempts(held_upstreams, now):
    """Settle the lost attempts whose deadline has passed."""
    for held_upstream in held_upstreams:
        for call_id, lost in list(held_upstream.lost.items()):
            if lost.until <= now:
                del held_upstream.lost[call_id]
                drop_in_flight(lost.call)


def settle_former_attempts(held_upstream, now):
    """Settle the lost attempts of a process that was replaced."""
    for call_id, lost in list(held_upstream.lost.items()):
        if lost.call.boot_id != held_upstream.boot_id:
            settle_attempt((held_upstream,), call_id, now)


def drop_in_flight(call):
    """Count an attempt as ended for the claims that it ran under."""
    call.upstream_claim.in_flight -= 1
    if call.claim is not None:
        call.claim.in_flight -= 1
