"""Starts and stops child processes for tests and the demo."""

import functools
import itertools
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass

# By default, Linux assigns ports from 32768 upwards to outgoing connections.
_FIRST_PORT = 10_000
_LAST_PORT = 32_000
_PORTS_PER_BLOCK = 500
_next_port_offsets = itertools.count()
_STOP_TIMEOUT_S = 5.0
_POLL_PERIOD_S = 0.02


def _is_free(port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


@functools.cache
def _reserve_port_block():
    """Reserve a block of ports for this process.

    Two processes that probe the same port can both find it free before either
    listens on it. The reservation is a socket name in Linux's abstract namespace,
    which the kernel releases when the process ends for any reason.

    :return: the socket bound to the name, and the first port of the block.
    :raises RuntimeError: other processes have reserved all blocks.
    """
    block_count = (_LAST_PORT - _FIRST_PORT) // _PORTS_PER_BLOCK
    for offset in range(block_count):
        block = (os.getpid() + offset) % block_count
        reserved_socket = socket.socket(socket.AF_UNIX)
        try:
            reserved_socket.bind(f"\0shallotyard-ports-{block}")
        except OSError:
            reserved_socket.close()
            continue
        return reserved_socket, _FIRST_PORT + block * _PORTS_PER_BLOCK
    raise RuntimeError(f"all {block_count} blocks of ports are in use")


def find_free_ports(count):
    """Return the first of ``count`` consecutive free ports on 127.0.0.1.

    :param count: number of ports.
    :return: the lowest port; the others follow it.
    :raises RuntimeError: there is no such range in the block of this process.
    """
    _, first_port = _reserve_port_block()
    consecutive_free = 0
    for _ in range(2 * _PORTS_PER_BLOCK):
        port = first_port + next(_next_port_offsets) % _PORTS_PER_BLOCK
        # A range cannot continue from the end of the block to its start.
        if port == first_port:
            consecutive_free = 0
        consecutive_free = consecutive_free + 1 if _is_free(port) else 0
        if consecutive_free == count:
            return port - count + 1
    raise RuntimeError(f"no {count} consecutive free ports")


def find_free_port():
    """Return one free port on 127.0.0.1."""
    return find_free_ports(1)


@dataclass
class ChildProcess:
    """A child process and its log file."""

    name: str
    process: subprocess.Popen
    log_path: pathlib.Path

    @property
    def pid(self):
        """Process id."""
        return self.process.pid

    def read_log(self):
        """Return the output of the process on stdout and stderr."""
        return self.log_path.read_text(errors="replace")


class ProcessGroup:
    """Child processes by name, as a context manager that kills all at its end.

    :param directory: directory of the log files; a temporary one if ``None``.
    """

    def __init__(self, directory=None):
        self._temporary_directory = None
        if directory is None:
            self._temporary_directory = tempfile.TemporaryDirectory(
                prefix="shallotyard-"
            )
            directory = self._temporary_directory.name
        self.directory = pathlib.Path(directory)
        self.children_by_name = {}

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.stop_all()
        if self._temporary_directory is not None:
            self._temporary_directory.cleanup()

    def start(
        self,
        name,
        arguments,
        port=None,
        address="127.0.0.1",
        timeout_s=20.0,
        environment=None,
    ):
        """Start a process, in place of an ended one of the same name.

        :param name: name of the child and of its log file, which is appended to.
        :param arguments: command line; the first item is the program.
        :param port: TCP port to wait for; no wait if ``None``.
        :param address: address of that port.
        :param timeout_s: maximum wait for the port in seconds.
        :param environment: variables in addition to those of this process.
        :return: the ``ChildProcess``.
        :raises RuntimeError: a child of this name is running, or the port did not
            open in time.
        """
        previous = self.children_by_name.get(name)
        if previous is not None and previous.process.poll() is None:
            raise RuntimeError(f"process {name!r} is running")
        log_path = self.directory / f"{name}.log"
        with log_path.open("ab") as log:
            process = subprocess.Popen(
                [str(argument) for argument in arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, **(environment or {})},
            )
        child = ChildProcess(name, process, log_path)
        self.children_by_name[name] = child
        if port is not None:
            _wait_for_port(child, address, port, timeout_s)
        return child

    def start_module(self, name, module, *arguments, port=None, **options):
        """Start ``python -m module`` with this interpreter.

        :param name: name of the child.
        :param module: dotted name of the module.
        :param arguments: command line after the module.
        :param port: TCP port to wait for, or ``None``.
        :param options: further options of ``start``.
        :return: the ``ChildProcess``.
        """
        command = [sys.executable, "-m", module, *arguments]
        return self.start(name, command, port=port, **options)

    def kill(self, name):
        """Kill a child with SIGKILL and wait for its end.

        :param name: name of the child.
        """
        process = self.children_by_name[name].process
        process.kill()
        process.wait()

    def pause(self, name):
        """Suspend a child with SIGSTOP.

        :param name: name of the child.
        """
        self.children_by_name[name].process.send_signal(signal.SIGSTOP)

    def resume(self, name):
        """Resume a suspended child with SIGCONT.

        :param name: name of the child.
        """
        self.children_by_name[name].process.send_signal(signal.SIGCONT)

    def terminate(self, name, timeout_s=_STOP_TIMEOUT_S):
        """Send SIGTERM to a child, and SIGKILL if it does not end in time.

        :param name: name of the child.
        :param timeout_s: maximum wait before SIGKILL in seconds.
        :return: the exit status of the process.
        """
        process = self.children_by_name[name].process
        process.terminate()
        try:
            return process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def stop_all(self):
        """Kill all running children, each by its process id."""
        for child in self.children_by_name.values():
            if child.process.poll() is None:
                child.process.kill()
        for child in self.children_by_name.values():
            child.process.wait()


def _wait_for_port(child, address, port, timeout_s):
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if child.process.poll() is not None:
            break
        try:
            socket.create_connection((address, port), timeout=1.0).close()
            return
        except OSError:
            time.sleep(_POLL_PERIOD_S)
    raise RuntimeError(
        f"process {child.name!r} does not listen on port {port}: {child.read_log()}"
    )
