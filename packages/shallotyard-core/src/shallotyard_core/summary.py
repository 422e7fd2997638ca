"""The state of a deployment in words, for the operators' command and the daemons."""

from __future__ import annotations

import collections
import dataclasses
from typing import Annotated

import pydantic

from shallotyard_core import verdict
from shallotyard_core.guarantees import BROKEN
from shallotyard_core.guarantees import KEPT
from shallotyard_core.guarantees import TEXT_BY_GUARANTEE

MAX_NAMES = 6
_LABEL_WIDTH = 15


def _accept_or_unknown(value, handler):
    try:
        return handler(value)
    except pydantic.ValidationError:
        return None


_Unknown = pydantic.WrapValidator(_accept_or_unknown)
_Counts = Annotated[dict[str, int] | None, _Unknown]
_Number = Annotated[int | None, _Unknown]
_Text = Annotated[str | None, _Unknown]
_Ids = Annotated[list[str] | None, _Unknown]


class StoreStatus(pydantic.BaseModel):
    """How a daemon sees the store; ``None`` stands for unknown.

    :param since_s: seconds since the state began.
    """

    state: _Text = None
    since_s: Annotated[float | None, _Unknown] = None


class UpstreamStatus(pydantic.BaseModel):
    """How a daemon sees an upstream; ``None`` stands for unknown."""

    state: _Text = None
    in_flight: _Number = None
    limit: _Number = None


class DaemonStatus(pydantic.BaseModel):
    """The status that a daemon serves; ``None`` stands for unknown."""

    instance: _Text = None
    domain: _Text = None
    region: _Text = None
    manifest_version: _Number = None
    service_state_revision: _Number = None
    assignment_revision: Annotated[int | str | None, _Unknown] = None
    requests_by_verdict: _Counts = None
    invariant_violations: _Counts = None
    promises: Annotated[dict[str, str] | None, _Unknown] = None
    slices_moving: _Number = None
    domains_out: _Ids = None
    instances_out: _Ids = None
    upstreams: Annotated[dict[str, UpstreamStatus] | None, _Unknown] = None
    store: Annotated[StoreStatus | None, _Unknown] = None


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonReply:
    """The answer of one daemon.

    :param address: its address.
    :param status: its status, or ``None`` if it did not answer.
    :param reason: why there is no status, or an empty string.
    """

    address: str
    status: DaemonStatus | None
    reason: str = ""


def summarise(answers, stored=None, known_versions=None):
    """Return the state of a deployment as a JSON-compatible dictionary.

    :param answers: list of :class:`DaemonReply`.
    :param stored: what the store holds, or ``None`` if it was not read.
    :param known_versions: for the view of one daemon, the versions that it knows
        of other instances, by instance id.
    """
    statuses_by_name = _index_statuses(answers)
    summary = {
        "daemons": len(answers),
        "answered": len(statuses_by_name),
        "not_answering": {a.address: a.reason for a in answers if a.status is None},
        "violations": _collect_violations(statuses_by_name),
        "promises": _unite_guarantees(statuses_by_name),
        "requests_by_verdict": _sum_verdicts(statuses_by_name),
        "domains_out": _unite(statuses_by_name, "domains_out"),
        "instances_out": _unite(statuses_by_name, "instances_out"),
        "slices_moving": _sum_known(s.slices_moving for s in statuses_by_name.values()),
        "manifest_versions": _group(
            statuses_by_name, "manifest_version", known_versions
        ),
        "service_state_revisions": _group(
            statuses_by_name, "service_state_revision", known_versions
        ),
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


def list_rows(summary):
    """Return the label and the text of each line below the first.

    :param summary: result of :func:`summarise`.
    """
    assignments = "; ".join(
        f"{region} {_format_groups(groups)}"
        for region, groups in summary["assignment_revisions"].items()
    )
    return (
        ("promises", _format_guarantees(summary)),
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


def format_headline(summary):
    """Return the first line: whether anything needs attention.

    :param summary: result of :func:`summarise`.
    """
    attention = summary["attention"]
    return "attention: " + "; ".join(attention) if attention else "today went well"


def format_summary(summary):
    """Return the lines of the text form.

    :param summary: result of :func:`summarise`.
    """
    return [
        format_headline(summary),
        *(f"{label + ':':<{_LABEL_WIDTH}}{text}" for label, text in list_rows(summary)),
    ]


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


def _unite_guarantees(statuses_by_name):
    """Return for each guarantee whether all daemons kept it."""
    known = [status.promises for status in statuses_by_name.values()]
    names = dict.fromkeys(TEXT_BY_GUARANTEE)
    for guarantees in known:
        names.update(dict.fromkeys(guarantees or ()))
    return {name: _unite_guarantee(name, known) for name in names}


def _unite_guarantee(name, known):
    states = [(guarantees or {}).get(name, "unknown") for guarantees in known]
    if BROKEN in states:
        return BROKEN
    return KEPT if states and set(states) == {KEPT} else "unknown"


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


def _group(statuses_by_name, field, known_versions=None):
    """Return the names of the daemons by the value they report, as text."""
    values = {name: getattr(s, field) for name, s in statuses_by_name.items()}
    for name, versions in (known_versions or {}).items():
        values[name] = versions[field]
    groups = collections.defaultdict(list)
    for name, value in values.items():
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


def _format_guarantees(summary):
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
