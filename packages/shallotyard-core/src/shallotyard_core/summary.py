"""Summary of a deployment for ``shallotyard status`` and the daemons' status pages."""

from __future__ import annotations

import collections
import dataclasses
from typing import Annotated

import pydantic

from shallotyard_core import verdict
from shallotyard_core.guarantees import BROKEN
from shallotyard_core.guarantees import KEPT
from shallotyard_core.guarantees import TEXT_BY_GUARANTEE

MAX_LISTED_NAMES = 6
_LABEL_WIDTH = 15


def _validate_or_none(value, handler):
    try:
        return handler(value)
    except pydantic.ValidationError:
        return None


_NONE_IF_INVALID = pydantic.WrapValidator(_validate_or_none)
_OptionalCounts = Annotated[dict[str, int] | None, _NONE_IF_INVALID]
_OptionalInt = Annotated[int | None, _NONE_IF_INVALID]
_OptionalText = Annotated[str | None, _NONE_IF_INVALID]
_OptionalIds = Annotated[list[str] | None, _NONE_IF_INVALID]


class StoreStatus(pydantic.BaseModel):
    """State of the store as seen by a daemon; ``None`` stands for unknown.

    :param state: ``reachable`` or ``unreachable``.
    :param since_s: seconds since the daemon last reached the store.
    """

    state: _OptionalText = None
    since_s: Annotated[float | None, _NONE_IF_INVALID] = None


class UpstreamStatus(pydantic.BaseModel):
    """State of an upstream as seen by a daemon; ``None`` stands for unknown.

    :param state: ``serving``, ``draining``, ``cold`` or ``dead``.
    :param in_flight: requests in flight that the daemon admitted.
    :param limit: largest number of requests in flight that the daemon admits.
    """

    state: _OptionalText = None
    in_flight: _OptionalInt = None
    limit: _OptionalInt = None


class DaemonStatus(pydantic.BaseModel):
    """The status that a daemon serves; ``None`` stands for unknown.

    :param instance: id of the instance.
    :param domain: id of its failure domain.
    :param region: id of its region.
    :param manifest_version: version of the manifest in force.
    :param service_state_revision: revision of the service state in force.
    :param assignment_revision: revision of the region's assignment in force.
    :param requests_by_verdict: number of requests by verdict.
    :param invariant_violations: number of violations by name of the invariant.
    :param promises: ``kept`` or ``broken`` by name of the guarantee.
    :param slices_moving: slices that the instance is about to take over or hand over.
    :param domains_out: ids of the failure domains out of service.
    :param instances_out: ids of the instances and upstreams out of service.
    :param upstreams: upstreams that the instance holds, by id.
    :param store: state of the store.
    """

    instance: _OptionalText = None
    domain: _OptionalText = None
    region: _OptionalText = None
    manifest_version: _OptionalInt = None
    service_state_revision: _OptionalInt = None
    assignment_revision: Annotated[int | str | None, _NONE_IF_INVALID] = None
    requests_by_verdict: _OptionalCounts = None
    invariant_violations: _OptionalCounts = None
    promises: Annotated[dict[str, str] | None, _NONE_IF_INVALID] = None
    slices_moving: _OptionalInt = None
    domains_out: _OptionalIds = None
    instances_out: _OptionalIds = None
    upstreams: Annotated[dict[str, UpstreamStatus] | None, _NONE_IF_INVALID] = None
    store: Annotated[StoreStatus | None, _NONE_IF_INVALID] = None


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonReply:
    """The reply of a daemon to a status request.

    :param address: address of the daemon.
    :param status: status of the daemon, ``None`` if there is no valid reply.
    :param reason: why there is no status, otherwise an empty string.
    """

    address: str
    status: DaemonStatus | None
    reason: str = ""


def summarise(replies, stored=None, known_versions=None):
    """Summarise the replies of the daemons of a deployment.

    :param replies: list of :class:`DaemonReply`.
    :param stored: versions in the store, or ``None`` if the store was not read.
    :param known_versions: in the summary of a single daemon, the versions of other
        instances that this daemon knows, by instance id.
    :return: the summary as a dict of JSON types.
    """
    statuses_by_name = _index_statuses_by_name(replies)
    summary = {
        "daemons": len(replies),
        "answered": len(statuses_by_name),
        "not_answering": {r.address: r.reason for r in replies if r.status is None},
        "violations": _collect_violations(statuses_by_name),
        "promises": _merge_guarantees(statuses_by_name),
        "requests_by_verdict": _sum_verdicts(statuses_by_name),
        "domains_out": _merge_ids(statuses_by_name, "domains_out"),
        "instances_out": _merge_ids(statuses_by_name, "instances_out"),
        "slices_moving": _sum_known_values(
            status.slices_moving for status in statuses_by_name.values()
        ),
        "manifest_versions": _group_names_by_value(
            statuses_by_name, "manifest_version", known_versions
        ),
        "service_state_revisions": _group_names_by_value(
            statuses_by_name, "service_state_revision", known_versions
        ),
        "assignment_revisions": _group_assignments_by_region(statuses_by_name),
        "upstreams_by_state": _count_upstreams_by_state(statuses_by_name),
        "store_by_instance": _collect_store_states(statuses_by_name),
        "stored": stored,
    }
    summary["attention"] = list_attention_reasons(summary)
    return summary


def list_attention_reasons(summary):
    """Return the reasons why a deployment needs an operator's attention.

    :param summary: result of :func:`summarise`, without ``attention``.
    :return: list of texts, the most serious first.
    """
    reasons = []
    broken_guarantees = sorted(
        {name for names in summary["violations"]["broken"].values() for name in names}
    )
    if broken_guarantees:
        reasons.append(f"promises broken: {_join_names(broken_guarantees)}")
    if summary["not_answering"]:
        daemon_count = len(summary["not_answering"])
        reasons.append(f"{daemon_count} of {summary['daemons']} daemons did not answer")
    if summary["violations"]["unknown"]:
        daemon_count = len(summary["violations"]["unknown"])
        reasons.append(f"promises unknown on {daemon_count} daemons")
    for label, field in (
        ("manifest", "manifest_version"),
        ("service state", "service_state_revision"),
    ):
        if not _is_in_force_everywhere(summary, field):
            reasons.append(f"{label} not in force everywhere")
    states = [entry["state"] for entry in summary["store_by_instance"].values()]
    for state in sorted(set(states) - {"reachable"}):
        reasons.append(f"store {state} from {states.count(state)} daemons")
    if summary["stored"] and "unreadable" in summary["stored"]:
        reasons.append("store not reachable from here")
    return reasons


def list_rows(summary):
    """Return the rows of a summary.

    :param summary: result of :func:`summarise`.
    :return: tuple of pairs of a label and a text.
    """
    assignments = "; ".join(
        f"{region} {_format_groups(groups)}"
        for region, groups in summary["assignment_revisions"].items()
    )
    return (
        ("promises", _format_guarantees(summary)),
        ("requests", _format_counts(summary["requests_by_verdict"])),
        ("domains out", _join_names(summary["domains_out"])),
        ("instances out", _join_names(summary["instances_out"])),
        ("slices moving", _format_number(summary["slices_moving"])),
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
    """Return the first line of a summary, which tells whether it needs attention.

    :param summary: result of :func:`summarise`.
    :return: the line.
    """
    attention = summary["attention"]
    return "attention: " + "; ".join(attention) if attention else "today went well"


def format_summary(summary):
    """Format a summary as text.

    :param summary: result of :func:`summarise`.
    :return: list of lines.
    """
    return [
        format_headline(summary),
        *(f"{label + ':':<{_LABEL_WIDTH}}{text}" for label, text in list_rows(summary)),
    ]


def _index_statuses_by_name(replies):
    statuses_by_name = {}
    for reply in replies:
        if reply.status is None:
            continue
        name = reply.status.instance or reply.address
        if name in statuses_by_name:
            name = f"{name} at {reply.address}"
        statuses_by_name[name] = reply.status
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


def _merge_guarantees(statuses_by_name):
    """Return by guarantee ``broken`` if a daemon broke it, ``kept`` if all kept it."""
    daemon_guarantees = [status.promises for status in statuses_by_name.values()]
    names = dict.fromkeys(TEXT_BY_GUARANTEE)
    for guarantees in daemon_guarantees:
        names.update(dict.fromkeys(guarantees or ()))
    return {name: _merge_guarantee(name, daemon_guarantees) for name in names}


def _merge_guarantee(name, daemon_guarantees):
    values = [
        (guarantees or {}).get(name, "unknown") for guarantees in daemon_guarantees
    ]
    if BROKEN in values:
        return BROKEN
    return KEPT if values and set(values) == {KEPT} else "unknown"


def _sum_verdicts(statuses_by_name):
    known_counts = [
        status.requests_by_verdict
        for status in statuses_by_name.values()
        if status.requests_by_verdict is not None
    ]
    if not known_counts:
        return None
    total = collections.Counter(
        {verdict_member.value: 0 for verdict_member in verdict.Verdict}
    )
    for counts in known_counts:
        total.update(counts)
    return dict(total)


def _merge_ids(statuses_by_name, field):
    id_lists = [
        ids
        for status in statuses_by_name.values()
        if (ids := getattr(status, field)) is not None
    ]
    return sorted(set().union(*id_lists)) if id_lists else None


def _sum_known_values(values):
    known_values = [value for value in values if value is not None]
    return sum(known_values) if known_values else None


def _group_names_by_value(statuses_by_name, field, known_versions=None):
    """Return the names of the daemons by the text of the value that they report."""
    values_by_name = {
        name: getattr(status, field) for name, status in statuses_by_name.items()
    }
    for name, versions in (known_versions or {}).items():
        values_by_name[name] = versions[field]
    names_by_value = collections.defaultdict(list)
    for name, value in values_by_name.items():
        names_by_value["unknown" if value is None else str(value)].append(name)
    return dict(names_by_value)


def _group_assignments_by_region(statuses_by_name):
    statuses_by_region = collections.defaultdict(dict)
    for name, status in statuses_by_name.items():
        statuses_by_region[status.region or "unknown region"][name] = status
    return {
        region: _group_names_by_value(statuses, "assignment_revision")
        for region, statuses in sorted(statuses_by_region.items())
    }


def _count_upstreams_by_state(statuses_by_name):
    # Several daemons may report the same upstream. It counts as unknown only if none of
    # them reports a state.
    states_by_upstream = {}
    has_report = False
    for status in statuses_by_name.values():
        if status.upstreams is None:
            continue
        has_report = True
        for upstream_id, upstream in status.upstreams.items():
            if upstream.state is not None or upstream_id not in states_by_upstream:
                states_by_upstream[upstream_id] = upstream.state or "unknown"
    return (
        dict(sorted(collections.Counter(states_by_upstream.values()).items()))
        if has_report
        else None
    )


def _collect_store_states(statuses_by_name):
    return {
        name: {
            "state": (status.store and status.store.state) or "unknown",
            "since_s": status.store.since_s if status.store else None,
        }
        for name, status in statuses_by_name.items()
    }


def _is_in_force_everywhere(summary, field):
    """Return whether all daemons report one version, and the stored one if known."""
    names_by_value = summary[f"{field}s"]
    if (
        summary["not_answering"]
        or len(names_by_value) != 1
        or "unknown" in names_by_value
    ):
        return False
    stored = (summary["stored"] or {}).get(field)
    return stored is None or str(stored) in names_by_value


def _format_version(summary, noun, field):
    names_by_value = summary[f"{field}s"]
    stored = summary["stored"] or {}
    if _is_in_force_everywhere(summary, field):
        text = f"{noun} {next(iter(names_by_value))} in force everywhere"
    elif names_by_value:
        text = f"not in force everywhere: {_format_groups(names_by_value)}"
    else:
        text = "unknown"
    if stored.get(field) is not None:
        text += f"; stored: {noun} {stored[field]}"
        if field == "manifest_version" and stored["writer"]:
            text += f" by writer {stored['writer']}"
    return text


def _format_groups(names_by_value):
    if len(names_by_value) == 1:
        value, names = next(iter(names_by_value.items()))
        return f"{value} on {len(names)} daemons"
    most_common = max(names_by_value, key=lambda value: len(names_by_value[value]))
    parts = [f"{most_common} on {len(names_by_value[most_common])} daemons"]
    parts += [
        f"{value} on {_join_names(names)}"
        for value, names in names_by_value.items()
        if value != most_common
    ]
    return ", ".join(parts)


def _format_guarantees(summary):
    violations = summary["violations"]
    known_count = summary["answered"] - len(violations["unknown"])
    if not known_count:
        return "unknown"
    broken_texts = [
        f"{name} {count} times on {instance}"
        for instance, counts in violations["broken"].items()
        for name, count in sorted(counts.items())
    ]
    text = (
        "broken: " + ", ".join(broken_texts)
        if broken_texts
        else f"kept on {known_count} daemons"
    )
    if violations["unknown"]:
        text += f"; unknown on {_join_names(violations['unknown'])}"
    return text


def _format_counts(counts):
    if counts is None:
        return "unknown"
    return ", ".join(f"{name} {count}" for name, count in counts.items()) or "none"


def _format_store(summary):
    entries_by_state = collections.defaultdict(list)
    for name, entry in summary["store_by_instance"].items():
        entries_by_state[entry["state"]].append((entry["since_s"] or 0.0, name))
    if not entries_by_state:
        return "unknown"
    if set(entries_by_state) == {"reachable"}:
        return "reachable"
    parts = []
    for state, entries in sorted(entries_by_state.items()):
        part = f"{state} from {len(entries)} daemons"
        if state == "unreachable":
            part += f", longest for {max(entries)[0]:.0f} s"
        parts.append(part)
    return "; ".join(parts)


def _format_not_answering(reasons_by_address):
    return _join_names([f"{a} ({reason})" for a, reason in reasons_by_address.items()])


def _format_number(value):
    return "unknown" if value is None else str(value)


def _join_names(names):
    if names is None:
        return "unknown"
    if not names:
        return "none"
    shown = ", ".join(names[:MAX_LISTED_NAMES])
    hidden_count = len(names) - MAX_LISTED_NAMES
    return shown if hidden_count <= 0 else f"{shown} and {hidden_count} more"
