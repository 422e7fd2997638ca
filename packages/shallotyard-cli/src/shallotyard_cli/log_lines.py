"""Reads the JSON log lines of daemons."""

from __future__ import annotations

import dataclasses
import datetime
import json

# Decisions about requests that another instance did not serve.
RELAY_FAILURES = frozenset({"relay-failed", "relay-declined"})
# Decisions about single requests, which make up most lines of a log.
_REQUEST_DECISIONS = frozenset(
    {"answered", "refused", "attempt-failed", "relayed", *RELAY_FAILURES}
)


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """A decision that an instance logged.

    :param logged_at: Unix time in seconds.
    :param instance: id of the instance.
    :param decision: kind of the decision, such as ``refused``.
    :param reason: why it was taken, or an empty string.
    :param fields: all other fields of the line.
    """

    logged_at: float
    instance: str
    decision: str
    reason: str
    fields: dict

    def describe(self):
        """Return the line as text."""
        time = datetime.datetime.fromtimestamp(self.logged_at, datetime.UTC)
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        time_of_day = time.strftime("%H:%M:%S.%f")[:-3]
        return f"{time_of_day} {self.instance} {self.decision}: {self.reason} {fields}"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLog:
    """The log lines that help to explain one request.

    :param request_lines: lines with the request's id, ordered by time.
    :param other_failures: lines about refusals and failed attempts of other requests,
        ordered by time.
    :param state_changes: lines about changes of the state of an instance, ordered by
        time.
    :param unparsed_count: number of lines that are not decisions of a daemon.
    """

    request_lines: list[LogLine]
    other_failures: list[LogLine]
    state_changes: list[LogLine]
    unparsed_count: int


def parse_line(text):
    """Parse a line of a log.

    :param text: the line; anything before its first brace is skipped, because log
        collectors add names and times there.
    :return: the :class:`LogLine`, or ``None`` if the line is not a decision.
    """
    json_start = text.find("{")
    if json_start < 0:
        return None
    try:
        value = json.loads(text[json_start:])
        logged_at = datetime.datetime.fromisoformat(value.pop("time")).timestamp()
        value.pop("level", None)
        instance, decision = value.pop("instance"), value.pop("decision")
        return LogLine(
            logged_at, instance, decision, str(value.pop("reason", "")), value
        )
    except (ValueError, KeyError, AttributeError, TypeError):
        return None


def _is_success(text):
    """Return whether a line that is not parsed is about a request with an answer."""
    return '"answered"' in text or '"relayed"' in text


def read_request_log(request_id, streams):
    """Collect the log lines that help to explain a request.

    :param request_id: id that the caller sent.
    :param streams: iterables of lines, each from one instance or several.
    :return: the :class:`RequestLog`.
    """
    request_lines, other_failures, state_changes = [], [], []
    unparsed_count = 0
    for stream in streams:
        for text in stream:
            mentions_request = request_id in text
            if not mentions_request and _is_success(text):
                continue
            line = parse_line(text)
            if line is None:
                unparsed_count += bool(text.strip())
            elif line.fields.get("request_id") == request_id:
                request_lines.append(line)
            elif line.decision not in _REQUEST_DECISIONS:
                state_changes.append(line)
            elif line.decision not in ("answered", "relayed"):
                other_failures.append(line)
    for lines in (request_lines, other_failures, state_changes):
        lines.sort(key=lambda line: line.logged_at)
    return RequestLog(request_lines, other_failures, state_changes, unparsed_count)
