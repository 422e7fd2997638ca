"""Tests of the start and stop of child processes."""

import os
import subprocess
import sys

import psutil
import pytest

from shallotyard_testing.processes import ProcessGroup
from shallotyard_testing.processes import find_free_port

_STORE = "shallotyard_testing.store"


def test_group_kills_all_children_at_its_end():
    """Guards against child processes, also suspended ones, that run on after a test."""
    port = find_free_port()
    with ProcessGroup() as group:
        child = group.start_module("store", _STORE, f"--port={port}", port=port)
        group.pause("store")
        assert psutil.pid_exists(child.pid)
    assert child.process.returncode == -9


def test_killed_child_can_start_again():
    """Guards against a restart that fails because the port is still in use."""
    port = find_free_port()
    with ProcessGroup() as group:
        first = group.start_module("store", _STORE, f"--port={port}", port=port)
        with pytest.raises(RuntimeError, match="is running"):
            group.start_module("store", _STORE, f"--port={port}")
        group.kill("store")
        second = group.start_module("store", _STORE, f"--port={port}", port=port)
        assert first.pid != second.pid


def test_failed_start_reports_the_log():
    """Guards against an error that does not show why the process ended."""
    with ProcessGroup() as group, pytest.raises(RuntimeError, match="no_such_flag"):
        group.start_module("store", _STORE, "--no_such_flag=1", port=find_free_port())


def test_processes_use_different_ports():
    """Guards against two test runs that use the same port.

    Each may find it free before the other listens on it.
    """
    own_ports = {find_free_port() for _ in range(500)}
    # With the same process id, both searches begin at the same block.
    code = (
        f"import os; os.getpid = lambda: {os.getpid()}\n"
        "from shallotyard_testing.processes import find_free_port\n"
        "print(*[find_free_port() for _ in range(500)])"
    )
    command = [sys.executable, "-c", code]
    result = subprocess.run(command, capture_output=True, text=True, check=True)
    other_ports = {int(port) for port in result.stdout.split()}
    assert other_ports
    assert own_ports.isdisjoint(other_ports)
