"""Reports that commands return and print."""

from __future__ import annotations

import dataclasses
import json

EXIT_SUCCESS = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Outcome of a command in text and JSON form.

    :param exit_code: one of the ``EXIT_`` constants.
    :param lines: lines of the text form.
    :param data: dictionary of the JSON form.
    """

    exit_code: int
    lines: tuple[str, ...]
    data: dict


def build_report(exit_code, outcome, *lines, **data):
    """Build a report whose JSON form has the outcome and the lines.

    :param exit_code: one of the ``EXIT_`` constants.
    :param outcome: fixed word for the outcome, such as ``conflict``.
    :param lines: lines of the text form.
    :param data: further fields of the JSON form.
    :return: the :class:`Report`.
    """
    return Report(
        exit_code, lines, {"outcome": outcome, "messages": list(lines), **data}
    )


def print_report(report, output_format, stdout, stderr):
    """Print a report.

    :param report: the :class:`Report`.
    :param output_format: ``text`` or ``json``.
    :param stdout: stream for JSON, and for the text of a command that succeeded.
    :param stderr: stream for the text of a command that did not succeed.
    """
    if output_format == "json":
        print(json.dumps(report.data, indent=2, sort_keys=True), file=stdout)
        return
    stream = stdout if report.exit_code == EXIT_SUCCESS else stderr
    for line in report.lines:
        print(line, file=stream)
