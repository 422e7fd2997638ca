"""Tests of flags, help and usage errors."""

import pytest

from shallotyard_cli import main

COMMANDS = ("validate", "publish", "status", "explain", "domain", "instance")


@pytest.mark.parametrize(
    "arguments",
    [
        (),
        ("explode",),
        ("validate",),
        ("validate", "a", "b"),
        ("publish", "a"),
        ("publish", "a", "--store=ftp://127.0.0.1"),
        ("publish", "a", "--store=http://127.0.0.1:1", "--wait_s=-1"),
        ("publish", "a", "--store=http://127.0.0.1:1", "--if_version=x"),
        ("publish", "a", "--store=http://127.0.0.1:1", "--force"),
        ("status",),
        ("status", "--daemons=127.0.0.1:1", "--format=xml"),
        ("domain", "up", "d1", "--store=http://127.0.0.1:1"),
        ("domain", "out", "--store=http://127.0.0.1:1"),
        ("instance", "out", "", "--store=http://127.0.0.1:1"),
        ("explain",),
        ("explain", ""),
        ("explain", "r1", "--store=http://127.0.0.1:1"),
        ("--bogus",),
    ],
)
def test_usage_errors_exit_2(run, arguments):
    """Guards against a usage error that exits like a refusal or runs the command."""
    result = run(*arguments)
    assert result.exit_code == 2
    assert result.stdout == ""
    assert result.stderr


@pytest.mark.parametrize("command", COMMANDS)
def test_help_names_each_flag_of_the_command(run, command):
    """Guards against a flag that is missing in the help of its command."""
    result = run(command, "--help")
    assert result.exit_code == 0
    shown = {line.split()[0] for line in result.stdout.splitlines() if "  --" in line}
    assert shown == {f"--{name}" for name in main._FLAGS_BY_COMMAND[command]}


def test_general_help_names_each_command(run):
    """Guards against a command that is missing in the general help."""
    result = run("--help")
    assert result.exit_code == 0
    assert all(f"  {command} " in result.stdout for command in COMMANDS)


def test_version(run):
    """Guards against a usage error for --version without a command."""
    result = run("--version")
    assert (result.exit_code, result.stderr) == (0, "")
    assert result.stdout.strip()
