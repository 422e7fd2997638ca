"""Attempts of unknown outcome.

They count as in flight until they have ended for certain.
"""

from shallotyard_core.calls import UnresolvedAttempt
from shallotyard_core.effects import CancelAttempt


def add_unresolved_attempt(call, held_upstream, now, effects):
    """Record an attempt as unresolved and ask the upstream to cancel it.

    The attempt is also recorded as a suspect in case the upstream has crashed.

    :param call: the `Call` of the attempt.
    :param held_upstream: the `HeldUpstream` of its upstream.
    :param now: current time in seconds.
    :param effects: list that effects are appended to.
    """
    held_upstream.require_fresh_connections(now)
    release_at = max(call.attempt_deadline, now)
    held_upstream.unresolved_attempts_by_id[call.relay.call_id] = UnresolvedAttempt(
        call, release_at
    )
    held_upstream.suspects.append((now, call))
    held_upstream.polled_at = float("-inf")
    held_upstream.admission.finish_unknown(now, release_at)
    effects.append(
        CancelAttempt(
            call.relay.call_id, held_upstream.upstream.address, call.relay.request_id
        )
    )


def resolve_attempt(held_upstreams, call_id, now):
    """Record that an unresolved attempt has ended for certain at its upstream.

    :param held_upstreams: iterable of `HeldUpstream`.
    :param call_id: id of the call.
    :param now: current time in seconds.
    """
    for held_upstream in held_upstreams:
        unresolved = held_upstream.unresolved_attempts_by_id.pop(call_id, None)
        if unresolved is not None:
            held_upstream.admission.resolve_unknown(now, unresolved.release_at)
            decrement_in_flight(unresolved.call)
            return


def resolve_due_attempts(held_upstreams, now):
    """Resolve the unresolved attempts whose deadline has passed.

    :param held_upstreams: iterable of `HeldUpstream`.
    :param now: current time in seconds.
    """
    for held_upstream in held_upstreams:
        for call_id, unresolved in list(
            held_upstream.unresolved_attempts_by_id.items()
        ):
            if unresolved.release_at <= now:
                del held_upstream.unresolved_attempts_by_id[call_id]
                decrement_in_flight(unresolved.call)


def resolve_former_attempts(held_upstream, now):
    """Resolve the unresolved attempts at a former process of an upstream.

    :param held_upstream: the `HeldUpstream` with its new boot id.
    :param now: current time in seconds.
    """
    for call_id, unresolved in list(held_upstream.unresolved_attempts_by_id.items()):
        if unresolved.call.boot_id != held_upstream.boot_id:
            resolve_attempt((held_upstream,), call_id, now)


def decrement_in_flight(call):
    """Stop counting an attempt as in flight under its claims."""
    call.upstream_claim.in_flight -= 1
    if call.claim is not None:
        call.claim.in_flight -= 1
