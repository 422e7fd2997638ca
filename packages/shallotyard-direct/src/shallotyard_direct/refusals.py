"""Answers requests that no upstream answered."""

from shallotyard_core.effects import LogDecision
from shallotyard_direct.effects import ReplyToRelay
from shallotyard_direct.model import RelayReply
from shallotyard_direct.relaying import find_decline_reason
from shallotyard_direct.responses import build_refusal
from shallotyard_direct.waiting import choose_retry_after


def refuse(
    dispatcher,
    pending,
    refusal,
    now,
    effects,
    wait_s=0.0,
    pause_s=0.0,
    retry_after_s=None,
    more_fields=None,
):
    """Answer a request that no upstream answered.

    :param wait_s: expected wait until there is room, in seconds.
    :param pause_s: time until upstreams take requests again, in seconds.
    :param retry_after_s: delay before a retry, in seconds; None to choose it by the
        waits.
    :param more_fields: further fields of the log line.
    """
    if pending.relayed_from:
        reason = find_decline_reason(refusal, pending.verdict)
        if reason:
            dispatcher.decline(pending, reason, effects)
            return
    dispatcher.remove_pending(pending)
    if retry_after_s is None:
        retry_after_s = (
            choose_retry_after(wait_s, dispatcher.rng, pause_s) if wait_s else 0.0
        )
    effect = build_refusal(pending.request, refusal, pending.verdict, retry_after_s)
    fields = {
        "request_id": pending.request.caller_id,
        "route": pending.route.route_id if pending.route else "",
        "service": pending.service_id,
        "status": effect.status,
        "verdict": pending.verdict.value,
        "total_ms": round((now - pending.arrived_at) * 1000),
        "configuration": dispatcher.find_configuration_version(),
        "queue": pending.queue_name,
        "sends": pending.sends,
        **dispatcher.access.describe(pending),
        **(more_fields or {}),
    }
    if pending.relayed_from:
        fields["relayed_from"] = pending.relayed_from
        reply = RelayReply(
            verdict=pending.verdict,
            refusal=refusal.value,
            wait_s=max(wait_s, pause_s),
        )
        effect = ReplyToRelay(pending.request.request_id, reply)
    effects.append(LogDecision("refused", refusal, fields))
    effects.append(effect)
