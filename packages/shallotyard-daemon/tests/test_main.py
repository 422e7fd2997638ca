"""Tests of the installed commands."""

import pathlib
import subprocess
import sys

import pytest


def run(command, *arguments):
    path = pathlib.Path(sys.executable).with_name(command)
    return subprocess.run([path, *arguments], capture_output=True, text=True)


@pytest.mark.parametrize("command", ["shallotyard", "shallotyardd"])
def test_help_and_version(command):
    """Guards against an installed command that does not start."""
    shown = run(command, "--help")
    assert (shown.returncode, shown.stderr) == (0, "")
    assert shown.stdout.startswith(f"usage: {command} ")
    version = run(command, "--version")
    assert (version.returncode, version.stderr) == (0, "")
    assert version.stdout.strip()[0].isdigit()


def test_help_names_every_flag():
    """Guards against help that does not say how to start the daemon."""
    text = run("shallotyardd", "--help").stdout
    assert "--settings" in text and "--version" in text


@pytest.mark.parametrize(
    "arguments", [(), ("--bogus",), ("--settings=x", "operand"), ("--settings",)]
)
def test_usage_error(arguments):
    """Guards against a usage error that looks like bad settings."""
    done = run("shallotyardd", *arguments)
    assert done.returncode == 2
    assert "Traceback" not in done.stderr


def test_bad_settings(tmp_path):
    """Guards against a daemon that starts, or fails without a reason."""
    path = tmp_path / "settings.jsonc"
    path.write_text('{"instance": "a"}')
    done = run("shallotyardd", f"--settings={path}")
    assert done.returncode == 1
    assert f"{path}: domain: " in done.stderr
    assert run("shallotyardd", f"--settings={tmp_path}/none").returncode == 1
