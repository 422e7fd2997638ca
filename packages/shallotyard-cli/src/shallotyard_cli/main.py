"""Command line of ``shallotyard``."""

from __future__ import annotations

import asyncio
import importlib.metadata
import sys

from absl import flags

from shallotyard_cli import explain
from shallotyard_cli import http
from shallotyard_cli import publish
from shallotyard_cli import service
from shallotyard_cli import status
from shallotyard_cli import validate
from shallotyard_cli.report import EXIT_SUCCESS
from shallotyard_cli.report import EXIT_USAGE
from shallotyard_cli.report import print_report
from shallotyard_cli.settings import Settings

# All daemons apply a new version within 8 s.
DEFAULT_WAIT_S = 8.0

_COMMON_FLAGS = frozenset(("format", "help", "version"))
_WRITE_FLAGS = _COMMON_FLAGS | {"store", "daemons", "wait_s", "if_version"}
_FLAGS_BY_COMMAND = {
    "validate": _COMMON_FLAGS,
    "publish": _WRITE_FLAGS,
    "status": _COMMON_FLAGS | {"store", "daemons"},
    "explain": _COMMON_FLAGS,
    "domain": _WRITE_FLAGS | {"force"},
    "instance": _WRITE_FLAGS,
}
_REQUIRED_FLAG_BY_COMMAND = {
    "validate": None,
    "publish": "store",
    "status": "daemons",
    "explain": None,
    "domain": "store",
    "instance": "store",
}
_USAGE_BY_COMMAND = {
    "validate": (
        "validate FILE",
        "Check a manifest file without the store.",
    ),
    "publish": (
        "publish FILE",
        "Check a manifest file and publish it unless another one is published first.",
    ),
    "status": (
        "status",
        "Show the state of the deployment on one screen.",
    ),
    "explain": (
        "explain REQUEST-ID [FILE...]",
        "Find out from the logs of daemons why a request ended as it did.",
    ),
    "domain": (
        "domain out|in ID",
        "Take a failure domain out of service, or bring it back.",
    ),
    "instance": (
        "instance out|in ID",
        "Take a router instance or an upstream out of service, or bring it back.",
    ),
}
_OPERAND_COUNT_BY_COMMAND = {
    "validate": 1,
    "publish": 1,
    "status": 0,
    "explain": 1,
    "domain": 2,
    "instance": 2,
}
# These commands accept any number of operands after the required ones.
_VARIADIC_COMMANDS = frozenset({"explain"})


def build_flags():
    """Return the unparsed flags of all commands.

    :return: ``absl.flags.FlagValues``.
    """
    flag_values = flags.FlagValues()
    flag_values.set_gnu_getopt(True)
    flags.DEFINE_string("store", "", "URL of the store.", flag_values=flag_values)
    flags.DEFINE_list(
        "daemons", [], "Addresses of daemons, IP:PORT,IP:PORT.", flag_values=flag_values
    )
    flags.DEFINE_enum(
        "format", "text", ["text", "json"], "Output format.", flag_values=flag_values
    )
    flags.DEFINE_float(
        "wait_s",
        DEFAULT_WAIT_S,
        "Seconds to wait until every daemon in --daemons reports the change; 0 for"
        " no wait.",
        lower_bound=0.0,
        flag_values=flag_values,
    )
    flags.DEFINE_integer(
        "if_version",
        None,
        "Manifest version (publish) or service state revision (domain, instance)"
        " that the store must hold; 0 for none.",
        lower_bound=0,
        flag_values=flag_values,
    )
    flags.DEFINE_boolean(
        "force",
        False,
        "Take out even the last failure domain in service of a region.",
        flag_values=flag_values,
    )
    flags.DEFINE_boolean("help", False, "Show this help.", flag_values=flag_values)
    flags.DEFINE_boolean("version", False, "Show the version.", flag_values=flag_values)
    return flag_values


def main(argv, stdout, stderr):
    """Run one command.

    :param argv: program name and arguments.
    :param stdout: stream for output.
    :param stderr: stream for errors.
    :return: exit code: 0 on success; 1 if the command was refused, met a conflict,
        was not accepted or had an unknown outcome; 2 for a usage error.
    """
    flag_values = build_flags()
    try:
        _, *arguments = flag_values(argv)
    except flags.Error as error:
        return _print_usage_error(str(error), stderr)
    command, *operands = arguments or [None]
    if flag_values.version:
        print(importlib.metadata.version("shallotyard-cli"), file=stdout)
        return EXIT_SUCCESS
    if flag_values.help:
        print(_format_help(flag_values, command), file=stdout)
        return EXIT_SUCCESS
    usage_error = _find_usage_error(flag_values, command, operands)
    if usage_error:
        return _print_usage_error(usage_error, stderr)
    settings = Settings.from_flags(flag_values)
    if command == "validate":
        report = validate.validate(operands[0])
    elif command == "explain":
        report = explain.explain(operands[0], operands[1:])
    else:
        report = asyncio.run(_run_command(command, operands, settings))
    print_report(report, flag_values.format, stdout, stderr)
    return report.exit_code


def run():
    """Run the installed ``shallotyard`` command."""
    sys.exit(main(sys.argv, sys.stdout, sys.stderr))


async def _run_command(command, operands, settings):
    client = http.build_client()
    try:
        if command == "publish":
            return await publish.publish(client, settings, operands[0])
        if command == "status":
            return await status.show_status(client, settings)
        change = service.ServiceChange(command, *operands)
        return await service.change_service_state(client, settings, change)
    finally:
        client.close()


def _find_usage_error(flag_values, command, operands):
    if command is None:
        return "no command given"
    if command not in _FLAGS_BY_COMMAND:
        return f"unknown command {command!r}"
    usage = _USAGE_BY_COMMAND[command][0]
    too_few = len(operands) < _OPERAND_COUNT_BY_COMMAND[command] or not all(operands)
    too_many = len(operands) > _OPERAND_COUNT_BY_COMMAND[command]
    if too_few or (too_many and command not in _VARIADIC_COMMANDS):
        return f"usage: shallotyard {usage}"
    if command in ("domain", "instance") and operands[0] not in ("out", "in"):
        return f"usage: shallotyard {usage}"
    for name in flag_values:
        if flag_values[name].present and name not in _FLAGS_BY_COMMAND[command]:
            return f"{command} has no flag --{name}"
    required_flag = _REQUIRED_FLAG_BY_COMMAND[command]
    if required_flag and not flag_values[required_flag].value:
        return f"{command} needs --{required_flag}"
    if flag_values.store and not flag_values.store.startswith(("http://", "https://")):
        return f"--store must be an http URL, found {flag_values.store!r}"
    return ""


def _print_usage_error(message, stderr):
    print(f"shallotyard: {message}", file=stderr)
    print("shallotyard --help lists the commands", file=stderr)
    return EXIT_USAGE


def _format_help(flag_values, command):
    if command in _USAGE_BY_COMMAND:
        usage, summary = _USAGE_BY_COMMAND[command]
        lines = [f"usage: shallotyard {usage} [flags]", "", summary]
        names = _FLAGS_BY_COMMAND[command]
    else:
        lines = ["usage: shallotyard COMMAND [flags]", "", "Commands:"]
        lines += [
            f"  {usage:<20}{summary}" for usage, summary in _USAGE_BY_COMMAND.values()
        ]
        names = _COMMON_FLAGS
    lines += ["", "Flags:"]
    for name in sorted(names):
        default = (flag_values[name].default_as_str or "").strip("'")
        default_text = f" Default: {default}." if default else ""
        lines.append(f"  --{name:<12}{flag_values[name].help}{default_text}")
    return "\n".join(lines)
