"""Shows the state of a deployment on one screen."""

from __future__ import annotations

import collections

from shallotyard_cli import daemons
from shallotyard_cli import publish
from shallotyard_cli import service
from shallotyard_cli import store
from shallotyard_cli.report import EXIT_DONE
from shallotyard_cli.report import EXIT_REFUSED
from shallotyard_cli.report import build_report
from shallotyard_core import service_state
from shallotyard_core import verdict

MAX_NAMES = 6
_LABEL_WIDTH = 15


async def show_status(client, settings):
    """Read every daemon, and the store if its URL is given.

    :param client: HTTP client.
    :param settings: the command's settings.
    :return: the report; its exit code is 1 only if no daemon answered.
    """
    answers = await daemons.read_statuses(client, settings.daemons)
    stored = await _read_stored(client, settings.store) if settings.store else None
    summary = summarise(answers, stored)
    answered = any(answer.status is not None for answer in answers)
    return build_report(
        EXIT_DONE if answered else EXIT_REFUSED,
        "well" if not summary["attention"] else "attention",
        *format_summary(summary),
        **summary,
    )


async def _read_stored(client, store_url):
    manifest_read = await store.read_object(client, store_url, publish.OBJECT_NAME)
    state_read = await store.read_object(client, store_url, service.OBJECT_NAME)
    if manifest_read.is_err() or state_read.is_err():
        reads = (manifest_read, state_read)
        return {"unreadable": next(r.err_value for r in reads if r.is_err())}
    version, writer, _ = publish.describe_stored(manifest_read.ok_value.body)
    revision = 0
    if state_read.ok_value.body is not None:
        parsed = service_state.parse_service_state(state_read.ok_value.body)
        revision = parsed.ok_value.revision if parsed.is_ok() else None
    return {
        "manifest_version": version,
        "writer": writer,
        "service_state_revision": revision,
    }


def summarise(answers, stored=None):
    """Return the state of a deployment as a JSON-compatible dictionary.

    :param answers: list of :class:`daemons.Answer`.
    :param stored: what the store holds, or ``None`` if it was not read.
    """
    statuses_by_name = _index_statuses(answers)
    summary = {
        "daemons": len(answers),
        "answered": len(statuses_by_name),
        "not_answering": {a.address: a.reason for a in answers if a.status is None},
        "violations": _collect_violations(statuses_by_name),
        "requests_by_verdict": _sum_verdicts(statuses_by_name),
        "domains_out": _unite(statuses_by_name, "domains_out"),
        "instances_out": _unite(statuses_by_name, "instances_out"),
        "slices_moving": _sum_known(s.slices_moving for s in statuses_by_name.values()),
        "manifest_versions": _group(statuses_by_name, "manifest_version"),
        "service_state_revisions": _group(statuses_by_name, "service_state_revision"),
        "assignment_revisions": _group_assignments(statuses_by_name),
        "upstreams_by_state": _count_upstreams(statuses_by_name),
        "store_by_instance": _collect_store(statuses_by_name),
        "stored": stored,
    }
    summary["attention"] = list_attention(summary)
    return summary


def list_attention(summary):
    """Return the reasons why an operator must look, most serious first.

    :param summary: result of :func:`summarise` without this list.
    """
    reasons = []
    broken = sorted(
        {name for names in summary["violations"]["broken"].values() for name in names}
    )
    if broken:
        reasons.append(f"promises broken: {_join(broken)}")
    if summary["not_answering"]:
        count = len(summary["not_answering"])
        reasons.append(f"{count} of {summary['daemons']} daemons did not answer")
    if summary["violations"]["unknown"]:
        count = len(summary["violations"]["unknown"])
        reasons.append(f"promises unknown on {count} daemons")
    for label, field in (
        ("manifest", "manifest_version"),
        ("service state", "service_state_revision"),
    ):
        if not _is_everywhere(summary, field):
            reasons.append(f"{label} not in force everywhere")
    states = [entry["state"] for entry in summary["store_by_instance"].values()]
    for state in sorted(set(states) - {"reachable"}):
        reasons.append(f"store {state} from {states.count(state)} daemons")
    if summary["stored"] and "unreadable" in summary["stored"]:
        reasons.append("store not reachable from here")
    return reasons


def format_summary(summary):
    """Return the lines of the text form.

    :param summary: result of :func:`summarise`.
    """
    attention = summary["attention"]
    first = "today went well" if not attention else "attention: " + "; ".join(attention)
    assignments = "; ".join(
        f"{region} {_format_groups(groups)}"
        for region, groups in summary["assignment_revisions"].items()
    )
    rows = (
        ("promises", _format_promises(summary)),
        ("requests", _format_counts(summary["requests_by_verdict"])),
        ("domains out", _join(summary["domains_out"])),
        ("instances out", _join(summary["instances_out"])),
        ("slices moving", _or_unknown(summary["slices_moving"])),
        ("manifest", _format_version(summary, "version", "manifest_version")),
        (
            "service state",
            _format_version(summary, "revision", "service_state_revision"),
        ),
        ("assignments", assignments or "unknown"),
        ("upstreams", _format_counts(summary["upstreams_by_state"])),
        ("store", _format_store(summary)),
        ("not answering", _format_not_answering(summary["not_answering"])),
    )
    return [first, *(f"{label + ':':<{_LABEL_WIDTH}}{text}" for label, text in rows)]


def _index_statuses(answers):
    statuses_by_name = {}
    for answer in answers:
        if answer.status is None:
            continue
        name = answer.status.instance or answer.address
        if name in statuses_by_name:
            name = f"{name} at {answer.address}"
        statuses_by_name[name] = answer.status
    return statuses_by_name


def _collect_violations(statuses_by_name):
    broken = {}
    unknown = []
    for name, status in statuses_by_name.items():
        if status.invariant_violations is None:
            unknown.append(name)
            continue
        counts = {k: n for k, n in status.invariant_violations.items() if n}
        if counts:
            broken[name] = counts
    return {"broken": broken, "unknown": unknown}


def _sum_verdicts(statuses_by_name):
    known = [
        status.requests_by_verdict
        for status in statuses_by_name.values()
        if status.requests_by_verdict is not None
    ]
    if not known:
        return None
    total = collections.Counter({member.value: 0 for member in verdict.Verdict})
    for counts in known:
        total.update(counts)
    return dict(total)


def _unite(statuses_by_name, field):
    known = [
        ids
        for status in statuses_by_name.values()
        if (ids := getattr(status, field)) is not None
    ]
    return sorted(set().union(*known)) if known else None


def _sum_known(values):
    known = [value for value in values if value is not None]
    return sum(known) if known else None


def _group(statuses_by_name, field):
    """Return the names of the daemons by the value they report, as text."""
    groups = collections.defaultdict(list)
    for name, status in statuses_by_name.items():
        value = getattr(status, field)
        groups["unknown" if value is None else str(value)].append(name)
    return dict(groups)


def _group_assignments(statuses_by_name):
    names_by_region = collections.defaultdict(dict)
    for name, status in statuses_by_name.items():
        names_by_region[status.region or "unknown region"][name] = status
    return {
        region: _group(statuses, "assignment_revision")
        for region, statuses in sorted(names_by_region.items())
    }


def _count_upstreams(statuses_by_name):
    # Several daemons may report one upstream; one that reports more than its
    # holder's "unknown" is counted.
    states = {}
    known = False
    for status in statuses_by_name.values():
        if status.upstreams is None:
            continue
        known = True
        for upstream_id, upstream in status.upstreams.items():
            if upstream.state is not None or upstream_id not in states:
                states[upstream_id] = upstream.state or "unknown"
    return dict(sorted(collections.Counter(states.values()).items())) if known else None


def _collect_store(statuses_by_name):
    return {
        name: {
            "state": (status.store and status.store.state) or "unknown",
            "since_s": status.store.since_s if status.store else None,
        }
        for name, status in statuses_by_name.items()
    }


def _is_everywhere(summary, field):
    groups = summary[f"{field}s"]
    if summary["not_answering"] or len(groups) != 1 or "unknown" in groups:
        return False
    stored = (summary["stored"] or {}).get(field)
    return stored is None or str(stored) in groups


def _format_version(summary, noun, field):
    groups = summary[f"{field}s"]
    stored = summary["stored"] or {}
    if _is_everywhere(summary, field):
        text = f"{noun} {next(iter(groups))} in force everywhere"
    elif groups:
        text = f"not in force everywhere: {_format_groups(groups)}"
    else:
        text = "unknown"
    if stored.get(field) is not None:
        text += f"; stored: {noun} {stored[field]}"
        if field == "manifest_version" and stored["writer"]:
            text += f" by writer {stored['writer']}"
    return text


def _format_groups(groups):
    if len(groups) == 1:
        value, names = next(iter(groups.items()))
        return f"{value} on {len(names)} daemons"
    largest = max(groups, key=lambda value: len(groups[value]))
    parts = [f"{largest} on {len(groups[largest])} daemons"]
    parts += [
        f"{value} on {_join(names)}"
        for value, names in groups.items()
        if value != largest
    ]
    return ", ".join(parts)


def _format_promises(summary):
    violations = summary["violations"]
    known = summary["answered"] - len(violations["unknown"])
    if not known:
        return "unknown"
    parts = [
        f"{name} {count} times on {instance}"
        for instance, counts in violations["broken"].items()
        for name, count in sorted(counts.items())
    ]
    text = "broken: " + ", ".join(parts) if parts else f"kept on {known} daemons"
    if violations["unknown"]:
        text += f"; unknown on {_join(violations['unknown'])}"
    return text


def _format_counts(counts):
    if counts is None:
        return "unknown"
    return ", ".join(f"{name} {count}" for name, count in counts.items()) or "none"


def _format_store(summary):
    by_state = collections.defaultdict(list)
    for name, entry in summary["store_by_instance"].items():
        by_state[entry["state"]].append((entry["since_s"] or 0.0, name))
    if not by_state:
        return "unknown"
    if set(by_state) == {"reachable"}:
        return "reachable"
    parts = []
    for state, entries in sorted(by_state.items()):
        part = f"{state} from {len(entries)} daemons"
        if state == "unreachable":
            part += f", longest for {max(entries)[0]:.0f} s"
        parts.append(part)
    return "; ".join(parts)


def _format_not_answering(reasons_by_address):
    return _join([f"{a} ({reason})" for a, reason in reasons_by_address.items()])


def _or_unknown(value):
    return "unknown" if value is None else str(value)


def _join(names):
    if names is None:
        return "unknown"
    if not names:
        return "none"
    shown = ", ".join(names[:MAX_NAMES])
    hidden = len(names) - MAX_NAMES
    return shown if hidden <= 0 else f"{shown} and {hidden} more"
