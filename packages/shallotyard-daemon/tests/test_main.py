"""Tests of the installed commands ``shallotyard`` and ``shallotyardd``."""

import pathlib
import subprocess
import sys

import pytest


def run_command(command, *arguments):
    """Run an installed command; return the `CompletedProcess`."""
    path = pathlib.Path(sys.executable).with_name(command)
    return subprocess.run([path, *arguments], capture_output=True, text=True)


@pytest.mark.parametrize("command", ["shallotyard", "shallotyardd"])
def test_help_and_version(command):
    """Guards against installed commands that do not start."""
    shown_help = run_command(command, "--help")
    assert (shown_help.returncode, shown_help.stderr) == (0, "")
    assert shown_help.stdout.startswith(f"usage: {command} ")
    version = run_command(command, "--version")
    assert (version.returncode, version.stderr) == (0, "")
    assert version.stdout.strip()[0].isdigit()


def test_help_names_every_flag():
    """Guards against flags that the help text does not list."""
    text = run_command("shallotyardd", "--help").stdout
    assert "--settings" in text and "--version" in text


@pytest.mark.parametrize(
    "arguments", [(), ("--bogus",), ("--settings=x", "operand"), ("--settings",)]
)
def test_usage_error(arguments):
    """Guards against a traceback, and against the exit status of invalid settings."""
    completed = run_command("shallotyardd", *arguments)
    assert completed.returncode == 2
    assert "Traceback" not in completed.stderr


def test_invalid_settings(tmp_path):
    """Guards against a start with invalid settings, or an error without the field."""
    path = tmp_path / "settings.jsonc"
    path.write_text('{"instance": "a"}')
    completed = run_command("shallotyardd", f"--settings={path}")
    assert completed.returncode == 1
    assert f"{path}: domain: " in completed.stderr
    assert run_command("shallotyardd", f"--settings={tmp_path}/none").returncode == 1
