"""Attempts of calls at upstreams: creation, checks against guarantees, and results."""

from shallotyard_core.admission import FinishKind
from shallotyard_core.calls import CallResult
from shallotyard_core.calls import ResultReason
from shallotyard_core.effects import SendAttempt
from shallotyard_core.events import AttemptKind
from shallotyard_core.messages import RelayAnswer
from shallotyard_core.verdict import Verdict


def build_attempt(call, held_upstream, home_regions, limit, now):
    """Return the effect that sends a call to its upstream.

    :param call: an admitted `Call`.
    :param held_upstream: the `HeldUpstream` of its upstream.
    :param home_regions: home regions of the client, empty for any.
    :param limit: deadline of the attempt in local time, in seconds.
    :param now: current time in seconds.
    """
    relay = call.relay
    return SendAttempt(
        relay.call_id,
        held_upstream.upstream.id,
        held_upstream.upstream.address,
        relay.method,
        relay.target,
        _build_headers(call, held_upstream, limit, now),
        relay.body,
        relay.request_id,
        limit,
        relay.fresh
        or not relay.idempotent
        or now < held_upstream.fresh_connections_until,
        held_upstream.service.connections,
        home_regions,
        held_upstream.upstream.region,
    )


def _build_headers(call, held_upstream, limit, now):
    headers = dict(call.relay.headers)
    headers["Shallotyard-Request-Id"] = call.relay.request_id
    headers["Shallotyard-Deadline-Ms"] = str(int((limit - now) * 1000))
    if call.claim is not None:
        headers["Shallotyard-Slice"] = call.claim.claim_id
        headers["Shallotyard-Epoch"] = str(call.claim.epoch)
        # A deadline relative to the arrival would be extended by the time that the
        # request waits in the socket of a frozen upstream.
        expires_at_ms = held_upstream.to_upstream_clock_ms(limit)
        headers["Shallotyard-Expires-At-Ms"] = f"{expires_at_ms:.3f}"
    if held_upstream.is_clock_known:
        # An upstream that has restarted since its last poll response refuses the
        # request. Otherwise it could get more requests than its cold slots.
        headers["Shallotyard-Boot-Id"] = held_upstream.boot_id
    return headers


def find_violated_guarantee(call, held_upstream, home_regions, limit, leases):
    """Return the first guarantee that an attempt would violate.

    :param leases: the `LeaseRegistry`; the other arguments as in `build_attempt`.
    :return: (name, detail) for an `InvariantError`, ``None`` if the attempt violates
        no guarantee.
    """
    if call.sent_at:
        return "at-most-once", f"call {call.relay.call_id} was sent before"
    if home_regions and held_upstream.upstream.region not in home_regions:
        return "home-region", f"send to {held_upstream.upstream.region}"
    claim = call.claim
    if claim is None:
        return None
    current = leases.claims_by_id.get(claim.claim_id) is claim
    if not (current and claim.started and limit < leases.lease_until):
        return "one-owner", f"claim {claim.claim_id} epoch {claim.epoch}"
    return None


def interpret_attempt(call, held_upstream, event):
    """Return the `CallResult` of a call from its finished attempt.

    A grant that the upstream refused as stale is removed, so that the slice is not
    used until a poll has renewed the grant.

    :param call: the `Call` of the attempt.
    :param held_upstream: the `HeldUpstream` of its upstream.
    :param event: an `AttemptFinished`.
    """
    if event.kind is AttemptKind.NOT_SENT:
        return CallResult(Verdict.NOT_RUN, ResultReason.NOT_SENT)
    if event.kind is AttemptKind.LOST:
        return CallResult(Verdict.MAY_HAVE_RUN, ResultReason.LOST)
    if event.verdict is Verdict.NOT_RUN:
        if event.status == 409:
            held_upstream.granted_epochs.pop(
                call.claim.claim_id if call.claim else "", None
            )
            return CallResult(Verdict.NOT_RUN, ResultReason.STALE_GRANT)
        # An upstream refuses a cancelled request in the same way as it sheds load.
        reason = ResultReason.CANCELLED if call.cancelled else ResultReason.SHED
        return CallResult(Verdict.NOT_RUN, reason)
    return CallResult(
        event.verdict or Verdict.RAN,
        ResultReason.ANSWERED,
        event.status,
        event.headers,
        event.body,
    )


def classify_for_admission(event, call_result):
    """Return the `FinishKind` of an attempt for the admission of its upstream.

    :param event: an `AttemptFinished` with a known outcome.
    :param call_result: the `CallResult` of the call.
    """
    if event.kind is AttemptKind.NOT_SENT:
        return FinishKind.FAILED
    if call_result.reason is ResultReason.SHED:
        return FinishKind.SHED
    return FinishKind.OK


def build_reply(call, call_result):
    """Return the `RelayAnswer` for the ingress instance that sent a call."""
    return RelayAnswer(
        call.relay.call_id,
        call_result.verdict,
        str(call_result.reason),
        call_result.status,
        call_result.headers or {},
        call_result.body,
        call_result.retry_after_s,
    )
