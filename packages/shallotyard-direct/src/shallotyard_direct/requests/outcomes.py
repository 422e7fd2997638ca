"""Handles the results of attempts at upstreams: responses, retries and failures."""

from shallotyard_core.effects import LogDecision
from shallotyard_core.verdict import Verdict
from shallotyard_core.verdict import combine_verdicts
from shallotyard_direct.admission import is_speed_sample
from shallotyard_direct.crash_marks import compute_fingerprint
from shallotyard_direct.dispatch import MIN_ATTEMPT_TIME_S
from shallotyard_direct.dispatch import OWNER_REPLACEMENT_S
from shallotyard_direct.effects import ReplyToRelay
from shallotyard_direct.model import NO_KEY
from shallotyard_direct.model import RelayReply
from shallotyard_direct.requests import quota_waits
from shallotyard_direct.responses import Refusal
from shallotyard_direct.responses import build_response
from shallotyard_direct.waiting import compute_max_wait

# Pause before the next request for a key is sent to an owner that refused the key.
MISDIRECTED_OWNER_PAUSE_S = 0.15


def handle_attempt_result(dispatcher, event, effects):
    """Handle the result of an attempt."""
    attempt = dispatcher.attempts_by_id.pop(event.attempt_id, None)
    if attempt is None:
        return
    now = event.now
    load = dispatcher.placement.get_load(attempt.upstream_id)
    load.record_end()
    if event.load is not None:
        load.apply_upstream_report(event.load, now)
    if event.rate_limit_known:
        _record_rate(dispatcher, attempt, event, effects)
    pending = attempt.pending
    queue = dispatcher.get_queue(pending.queue_name)
    if dispatcher.placement.record_end(attempt, event):
        queue.restart_period()
    if event.requested_pause_s is not None:
        _record_pause(dispatcher, attempt, event, effects)
    if not attempt.abandoned:
        _handle_outcome(dispatcher, attempt, event, load, effects)
    queue.record_completion(now)
    dispatcher.send_waiting(pending.queue_name, now, effects)


def _record_rate(dispatcher, attempt, event, effects):
    """Record the rate that an upstream names with a response."""
    if dispatcher.directory.upstreams_by_id.get(attempt.upstream_id) is None:
        return
    limits = dispatcher.placement.rate_limits
    if limits.record_response(attempt.upstream_id, event.rate_limit, event.now):
        fields = {"upstream": attempt.upstream_id, "rate": event.rate_limit}
        reason = "ended" if event.rate_limit is None else "named"
        effects.append(LogDecision("rate-limit", reason, fields))


def _record_pause(dispatcher, attempt, event, effects):
    """Record the pause that an upstream asks for with a response."""
    pause_s = event.requested_pause_s
    if dispatcher.placement.record_requested_pause(attempt, pause_s, event.now):
        fields = {
            "upstream": attempt.upstream_id,
            "service": attempt.pending.service_id,
            "pause_s": pause_s,
        }
        effects.append(LogDecision("upstream-pause", "paused until", fields))


def _handle_outcome(dispatcher, attempt, event, load, effects):
    pending = attempt.pending
    now = event.now
    pending.attempt_id = ""
    pending.verdict = combine_verdicts(pending.verdict, event.verdict)
    if event.status:
        dispatcher.reachability.record_response(now)
    if event.verdict is Verdict.RAN:
        pending.runs += 1
        latency_s = now - attempt.sent_at
        processing_s = max(0.0, latency_s - attempt.rtt_s)
        is_sample = attempt.had_free_slot and is_speed_sample(event.load, attempt.slots)
        load.record_success(latency_s, processing_s if is_sample else None)
        dispatcher.placement.record_duration(attempt, event.load, now)
        dispatcher.crash_marks.record_response(pending.request)
        if _may_retry_error_response(dispatcher, pending, event, now):
            dispatcher.dispatch(pending, now, effects)
        else:
            _respond(dispatcher, pending, attempt, event, effects)
        return
    if event.verdict is Verdict.MAY_HAVE_RUN:
        pending.runs += 1
        if not event.closed_unanswered:
            load.record_failure(now)
            dispatcher.placement.record_missing_response(attempt, now)
        dispatcher.reachability.record_lost_response(now)
        expired = now >= pending.expires_at - MIN_ATTEMPT_TIME_S
        refusal = Refusal.TIMEOUT if expired else Refusal.LOST
        may_retry = pending.route.idempotent and not expired
        may_retry &= pending.runs < pending.route.max_attempts
        if not expired:
            fingerprint = compute_fingerprint(pending.request)
            dispatcher.crash_marks.record_unresolved_attempt(
                fingerprint, attempt.incarnation, now
            )
            may_retry &= dispatcher.crash_marks.count_crashes(fingerprint) == 0
    else:
        refusal = Refusal.UNREACHABLE if event.unsent else Refusal.NOT_EXECUTED
        may_retry = True
        _record_not_run(dispatcher, attempt, event, load)
    fields = {
        "request_id": pending.request.caller_id,
        "upstream": attempt.upstream_id,
        "verdict": event.verdict.value,
        "status": event.status,
        "detail": event.reason,
        "duration_ms": round((now - attempt.sent_at) * 1000),
        **attempt.copy_fields,
    }
    effects.append(LogDecision("attempt-failed", refusal, fields))
    budget = dispatcher.get_budget(pending.service_id)
    may_retry = may_retry and (event.unsent or budget.try_spend(now))
    if may_retry:
        pending.refusal = refusal
        if event.verdict is Verdict.MAY_HAVE_RUN:
            quota_waits.admit_again(dispatcher, pending, now, effects)
        else:
            dispatcher.dispatch(pending, now, effects)
    else:
        pause_s = dispatcher.compute_pause_left(pending, now)
        dispatcher.refuse(pending, refusal, now, effects, OWNER_REPLACEMENT_S, pause_s)


def _record_not_run(dispatcher, attempt, event, load):
    """Record what an attempt that did not run shows about its upstream."""
    pending = attempt.pending
    now = event.now
    if event.misdirected and pending.request.key != NO_KEY:
        key_range = dispatcher.owners.find_range(
            pending.service_id, pending.request.key
        )
        if key_range is not None:
            until = now + MISDIRECTED_OWNER_PAUSE_S
            dispatcher.owners.suspend(pending.service_id, key_range, until)
    elif event.unsent:
        dispatcher.reachability.record_lost_response(now)
        # A request that is not written because of a pause shows no fault.
        # The same holds for a change of its account.
        is_paused = dispatcher.placement.pauses.is_paused(attempt.incarnation, now)
        if not is_paused and dispatcher.access.is_still_authorized(attempt, now):
            load.record_failure(now)
    elif event.requested_pause_s is None or now >= load.paused_until:
        # Several answers with the same request for a pause count once.
        load.pause(now)


def _may_retry_error_response(dispatcher, pending, event, now):
    """Return whether to retry a request that got a status of 500 or above."""
    return (
        event.status >= 500
        and pending.route.idempotent
        and pending.request.key == NO_KEY
        and pending.runs < pending.route.max_attempts
        and now < pending.arrived_at + compute_max_wait(pending.route)
        and dispatcher.access.apply(pending, now) is None
        and dispatcher.get_budget(pending.service_id).try_spend(now)
        and dispatcher.quotas.repeat(pending.request.request_id, now)
    )


def _respond(dispatcher, pending, attempt, event, effects):
    """Answer a request with the response of its upstream, or hand the response to the
    instance at which the request arrived, which answers it.
    """
    dispatcher.remove_pending(pending)
    fields = {
        "request_id": pending.request.caller_id,
        "upstream": attempt.upstream_id,
        "upstream_status": event.status,
        "waited_ms": round((attempt.sent_at - pending.arrived_at) * 1000),
        "duration_ms": round((event.now - attempt.sent_at) * 1000),
        "route": pending.route.route_id,
        "idempotent": pending.route.idempotent,
        "service": pending.service_id,
        "total_ms": round((event.now - pending.arrived_at) * 1000),
        "sends": pending.sends,
        **attempt.copy_fields,
        **dispatcher.access.describe(pending),
    }
    if pending.relayed_from:
        fields["relayed_from"] = pending.relayed_from
        status = event.status
        reply = RelayReply(
            verdict=Verdict.RAN,
            status=status,
            headers=event.headers,
            body=event.body,
            leaving=[list(attempt.incarnation)] if event.leaving else [],
        )
        effect = ReplyToRelay(pending.request.request_id, reply)
    else:
        effect = build_response(pending, event.status, event.headers, event.body)
        status = effect.status
    fields["status"] = status
    effects.append(LogDecision("answered", str(status), fields))
    effects.append(effect)
