"""Reads the JSON lines that daemons log."""

from __future__ import annotations

import dataclasses
import datetime
import json

# Lines about other requests; the bulk of a log.
_REQUEST_DECISIONS = frozenset({"answered", "refused", "attempt-failed"})


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One decision of one instance.

    :param logged_at: Unix time in seconds.
    :param fields: all further fields.
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
        clock = time.strftime("%H:%M:%S.%f")[:-3]
        return f"{clock} {self.instance} {self.decision}: {self.reason} {fields}"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLog:
    """What the logs say of one request, and what happened around it.

    :param request_lines: lines with the request's id, in order of time.
    :param other_failures: lines about failures of other requests.
    :param state_changes: lines that changed what an instance believed.
    :param unparsed_count: lines that are no JSON objects of a daemon.
    """

    request_lines: list[LogLine]
    other_failures: list[LogLine]
    state_changes: list[LogLine]
    unparsed_count: int


def parse_line(text):
    """Return the :class:`LogLine` of a line, ``None`` if it is none.

    :param text: the line; anything before its first brace is left out, because
        collectors of logs put names and times there.
    """
    json_start = text.find("{")
    if json_start < 0:
        return None
    try:
        value = json.loads(text[json_start:])
        at = datetime.datetime.fromisoformat(value.pop("time")).timestamp()
        value.pop("level", None)
        instance, decision = value.pop("instance"), value.pop("decision")
        return LogLine(at, instance, decision, str(value.pop("reason", "")), value)
    except (ValueError, KeyError, AttributeError, TypeError):
        return None


def read_request_log(request_id, streams):
    """Return the :class:`RequestLog` of a request.

    :param request_id: id that the caller sent.
    :param streams: iterables of lines, each of one instance or of several.
    """
    request_lines, other_failures, state_changes = [], [], []
    unparsed_count = 0
    for stream in streams:
        for text in stream:
            mentions_request = request_id in text
            if not mentions_request and '"answered"' in text:
                continue
            line = parse_line(text)
            if line is None:
                unparsed_count += bool(text.strip())
            elif line.fields.get("request_id") == request_id:
                request_lines.append(line)
            elif line.decision not in _REQUEST_DECISIONS:
                state_changes.append(line)
            elif line.decision != "answered":
                other_failures.append(line)
    for lines in (request_lines, other_failures, state_changes):
        lines.sort(key=lambda line: line.logged_at)
    return RequestLog(request_lines, other_failures, state_changes, unparsed_count)
