"""Finds out from the daemons' logs why a request ended as it did."""

from __future__ import annotations

import contextlib
import pathlib
import sys

from shallotyard_cli.log_lines import RELAY_FAILURES
from shallotyard_cli.log_lines import read_request_log
from shallotyard_cli.report import EXIT_REFUSED
from shallotyard_cli.report import EXIT_SUCCESS
from shallotyard_cli.report import build_report

# After failures an instance sends an upstream no requests for at most this long.
_MAX_PAUSE_S = 4.0
# Within this time a lost granter is replaced, and the keys of a lost owner get a new
# owner.
_REASSIGNMENT_S = 15.0
# An upstream is reported as lost after three missed heartbeats, and the report takes
# time to arrive.
_LOSS_REPORT_DELAY_S = 5.0
# Requests on any instance within this time of the request count as concurrent.
_CONCURRENT_WINDOW_S = 1.0
_MAX_EVIDENCE_LINES = 8
_CAUSE_BY_REASON = {
    "unknown-route": (
        "no route of the newest configuration matches the host and the path"
    ),
    "bad-request": "the service requires a key, and the request has none",
    "owner-outside-home-regions": (
        "the owner of the key is outside the home regions of the route"
    ),
    "not-configured": "the instance had not read any configuration yet",
    "store-unreachable": (
        "the instance did not know the route and could not reach the store to look"
        " it up"
    ),
    "stopping": "the instance was shutting down",
    "cut-off": (
        "the instance could not open connections to upstreams, and no other instance"
        " took the request"
    ),
    "quarantined": "the request was in progress during three crashes of upstreams",
    "internal": (
        "an assertion failed while the request was handled; report this as a bug"
    ),
}


def explain(request_id, paths):
    """Explain why a request ended as it did.

    :param request_id: id that the caller sent.
    :param paths: paths of log files; if there are none, standard input is read.
    :return: the report.
    """
    with contextlib.ExitStack() as stack:
        try:
            streams = [
                stack.enter_context(
                    pathlib.Path(path).open(encoding="utf-8", errors="replace")
                )
                for path in paths
            ] or [sys.stdin]
            log = read_request_log(request_id, streams)
        except OSError as error:
            line = f"refused: cannot read {error.filename}: {error.strerror}"
            return build_report(EXIT_REFUSED, "refused", line)
    if not log.request_lines:
        line = f"not found: no line with request id {request_id}"
        return build_report(EXIT_REFUSED, "not-found", line, unread=log.unparsed_count)
    cause, evidence = find_cause(log)
    if not cause:
        cause = "unknown: these logs do not show it"
    lines = [f"cause: {cause}", "", "log lines of the request:"]
    lines += [f"  {line.describe()}" for line in log.request_lines]
    lines += ["", "state of the instance at that time:"]
    lines += [f"  {line.describe()}" for line in _find_instance_state(log)]
    if evidence:
        lines += ["", "evidence:"]
        lines += [f"  {line.describe()}" for line in evidence[-_MAX_EVIDENCE_LINES:]]
    return build_report(
        EXIT_SUCCESS,
        "explained",
        *lines,
        cause=cause,
        evidence=[line.describe() for line in evidence],
    )


def find_cause(log):
    """Find the cause and the log lines that support it.

    :param log: the :class:`RequestLog`.
    :return: the cause as text, or ``""`` if it is not found; a list of the lines.
    """
    last = _find_outcome(log.request_lines)
    if last.decision == "answered":
        return _explain_response(last)
    if last.decision == "relayed" or last.decision in RELAY_FAILURES:
        return _explain_relay(last), [last]
    if last.decision == "attempt-failed":
        return _explain_failed_attempt(log, last)
    if last.reason in _CAUSE_BY_REASON:
        return _CAUSE_BY_REASON[last.reason], _find_dependency_changes(log, last)
    explain_by_reason = {
        "saturated": _explain_saturation,
        "key-without-owner": _explain_missing_owner,
        "owner-changing": _explain_missing_owner,
        "no-upstream": _explain_missing_upstream,
    }
    explain_refusal = explain_by_reason.get(last.reason)
    if explain_refusal is not None:
        return explain_refusal(log, last)
    attempts = [line for line in log.request_lines if line.decision == "attempt-failed"]
    if attempts:
        return _explain_failed_attempt(log, attempts[-1])
    if last.reason == "timeout":
        return "the request timed out while it waited for free capacity", [last]
    return "", []


def _find_outcome(lines):
    """Return the last line that shows a cause. Of a relayed request, the lines of the
    other instance show more than those about the relay.
    """
    is_relay = {"relayed", *RELAY_FAILURES}
    causes = [line for line in lines if line.decision not in is_relay]
    return causes[-1] if causes else lines[-1]


def _explain_relay(line):
    other = line.fields.get("relayed_to") or line.fields.get("relayed_from")
    if line.decision == "relayed":
        return f"instance {other} replied {line.reason}; its log shows why"
    return f"it was handed to or from instance {other}, which failed: {line.reason}"


def _select_upstream_lines(lines, decision, upstream, start, end):
    """Return the lines with a decision about an upstream between two times."""
    return [
        line
        for line in lines
        if line.decision == decision
        and line.fields.get("upstream") == upstream
        and start <= line.logged_at <= end
    ]


def _explain_response(line):
    fields = line.fields
    waited_ms, duration_ms = fields.get("waited_ms", 0), fields.get("duration_ms", 0)
    upstream = fields.get("upstream")
    sends = fields.get("sends", 1)
    status = fields.get("upstream_status", line.reason)
    parts = [f"upstream {upstream} answered {status} after {duration_ms} ms"]
    if str(status) != line.reason:
        parts.append(
            f"the caller got {line.reason}, because {status} says that an action has"
            " not run which has"
        )
    if waited_ms:
        parts.append(
            f"it waited {waited_ms} ms for free capacity or for earlier attempts"
        )
    if sends > 1:
        parts.append(f"it was sent {sends} times")
    return "; ".join(parts), [line]


def _explain_failed_attempt(log, attempt):
    """Explain an attempt that ended without a usable response."""
    upstream = attempt.fields.get("upstream")
    detail = attempt.fields.get("detail")
    duration_ms = attempt.fields.get("duration_ms")
    at = attempt.logged_at
    concurrent_failures = _select_upstream_lines(
        log.other_failures,
        "attempt-failed",
        upstream,
        at - _MAX_PAUSE_S,
        at + _MAX_PAUSE_S,
    )
    upstream_changes = _select_upstream_lines(
        log.state_changes,
        "upstream",
        upstream,
        at - _CONCURRENT_WINDOW_S,
        at + _LOSS_REPORT_DELAY_S,
    )
    cause = f"upstream {upstream} gave no usable response in {duration_ms} ms: {detail}"
    if any(line.reason == "gone" for line in upstream_changes):
        cause += "; the upstream was lost or removed at that time"
    if concurrent_failures:
        cause += (
            f"; {len(concurrent_failures)} other attempts there failed within"
            f" {_MAX_PAUSE_S:g} s"
        )
    return cause, [*concurrent_failures[-4:], *upstream_changes[:4]]


def _explain_saturation(log, refusal):
    service, _, owner = refusal.fields.get("queue", "").partition("/")
    failed_attempts = [
        line
        for line in log.other_failures
        if line.instance == refusal.instance
        and line.decision == "attempt-failed"
        and refusal.logged_at - _MAX_PAUSE_S <= line.logged_at <= refusal.logged_at
        and (not owner or line.fields.get("upstream") == owner)
    ]
    concurrent_refusals = [
        line
        for line in log.other_failures
        if line.reason == "saturated"
        and line.fields.get("queue") == refusal.fields.get("queue")
        and abs(line.logged_at - refusal.logged_at) <= _CONCURRENT_WINDOW_S
    ]
    waited_ms = refusal.fields.get("total_ms", 0)
    where = f"owner {owner} of the key" if owner else f"upstreams of {service}"
    cause = f"no free capacity at {where}, refused after {waited_ms} ms"
    if len(failed_attempts) > 1:
        cause += (
            f"; {len(failed_attempts)} attempts from this instance had failed shortly"
            " before, which may have paused an upstream"
        )
    if concurrent_refusals:
        cause += (
            f"; {len(concurrent_refusals)} other requests were refused for this reason"
            f" within {_CONCURRENT_WINDOW_S:g} s"
        )
    cold_changes = [
        line
        for line in log.state_changes
        if line.decision == "upstream"
        and line.instance == refusal.instance
        and line.fields.get("service") == service
        and refusal.logged_at - _REASSIGNMENT_S <= line.logged_at <= refusal.logged_at
        and (line.fields.get("cold_s") or 0) > 0
        and (not owner or line.fields.get("upstream") == owner)
    ]
    if cold_changes:
        cause += "; cold upstreams get only a limited rate of requests"
    return cause, [*failed_attempts[-3:], *concurrent_refusals[-3:], *cold_changes[-2:]]


def _explain_missing_owner(log, refusal):
    _, _, owner = refusal.fields.get("queue", "").partition("/")
    start, end = (
        refusal.logged_at - _REASSIGNMENT_S,
        refusal.logged_at + _CONCURRENT_WINDOW_S,
    )
    key_moves = _select_upstream_lines(
        log.state_changes, "keys-move", owner, start, end
    )
    upstream_changes = _select_upstream_lines(
        log.state_changes, "upstream", owner, start, end
    )
    dependency_changes = _find_dependency_changes(log, refusal)
    attempts = [line for line in log.request_lines if line.decision == "attempt-failed"]
    if key_moves:
        cause = f"the keys of {owner} were moving: {key_moves[-1].reason}"
    elif upstream_changes:
        cause = f"owner {owner} changed: {upstream_changes[-1].reason}"
    elif any(line.decision == "granter" for line in dependency_changes):
        cause = "the granter had changed and had not granted the keys yet"
    elif any(line.decision == "start" for line in dependency_changes):
        cause = "the instance had just started, and the keys were not granted yet"
    elif any(
        line.decision == "feed-left" or line.reason == "lost"
        for line in dependency_changes
    ):
        cause = (
            "the key table of the instance was out of date because its source was lost"
        )
    elif attempts:
        cause = f"{attempts[-1].fields.get('upstream')} no longer owned the key"
    elif not owner:
        cause = "no keys had been granted yet"
    else:
        return "", []
    return cause, [*key_moves[-3:], *upstream_changes[-3:], *dependency_changes[-3:]]


def _explain_missing_upstream(log, refusal):
    evidence = [
        line
        for line in log.state_changes
        if line.instance == refusal.instance
        and refusal.logged_at - _REASSIGNMENT_S <= line.logged_at <= refusal.logged_at
        and (
            line.decision == "domains-out"
            or (line.decision == "upstream" and line.reason == "gone")
        )
    ]
    service = refusal.fields.get("service")
    return f"no upstream of {service} is in service for the route", evidence


def _find_dependency_changes(log, line):
    """Return recent changes of components on which a line's instance depends."""
    decisions = (
        "store",
        "feed-left",
        "granter",
        "start",
        "stop",
        "crash-mark",
        "cut-off",
    )
    return [
        change
        for change in log.state_changes
        if change.decision in decisions
        and line.logged_at - _REASSIGNMENT_S <= change.logged_at <= line.logged_at
        and (change.decision == "granter" or change.instance == line.instance)
    ]


def _find_instance_state(log):
    """Return the newest state change of each kind before the end of the request."""
    last = log.request_lines[-1]
    decisions = (
        "configuration",
        "domains-out",
        "store",
        "feed",
        "feed-left",
        "cut-off",
    )
    newest_by_decision = {
        line.decision: line
        for line in log.state_changes
        if line.instance == last.instance
        and line.logged_at <= last.logged_at
        and line.decision in decisions
    }
    return sorted(newest_by_decision.values(), key=lambda line: line.logged_at)
