"""Command line and main loop of the daemon ``shallotyardd``."""

import asyncio
import contextlib
import importlib.metadata
import signal
import sys
import uuid

import uvloop
from absl import flags

from shallotyard_core.effects import LogDecision
from shallotyard_core.events import DrainRequested
from shallotyard_core.exceptions import SettingsError
from shallotyard_core.reducer import Router
from shallotyard_core.settings import Settings
from shallotyard_daemon.caller_server import CallerServer
from shallotyard_daemon.clock import read_clock
from shallotyard_daemon.effects_runner import EffectsRunner
from shallotyard_daemon.logs import configure_logs
from shallotyard_daemon.logs import log_decision
from shallotyard_daemon.pages import build_pages
from shallotyard_daemon.peers import Peers
from shallotyard_daemon.platform_client import PlatformClient
from shallotyard_daemon.upstream_client import UpstreamClient

EXIT_SUCCESS = 0
DRAIN_POLL_S = 0.02
LATE_REQUEST_WAIT_S = 0.5
EXIT_INVALID_SETTINGS = 1
EXIT_USAGE = 2


async def serve(settings):
    """Run the daemon until it has drained after SIGTERM or SIGINT.

    :param settings: validated `Settings`.
    """
    seed = settings.seed if settings.seed is not None else uuid.uuid4().int
    incarnation = uuid.uuid4().hex[:16]
    router = Router.from_settings(settings, incarnation, read_clock(), seed)
    runner = EffectsRunner(router)
    callers = CallerServer(
        runner.dispatch, build_pages(router), lambda: router.own.leaving
    )
    upstreams = UpstreamClient(runner.dispatch, router.holder.may_send)
    peers = Peers(settings.instance, runner.dispatch)
    platform = PlatformClient.from_settings(settings, runner.dispatch)
    runner.register_handlers(callers, upstreams, peers, platform)
    # Bind the peer address first: a second process with the same instance id must
    # fail here, before it sends or accepts anything.
    await peers.listen(settings.peer_address)
    callers.listen(settings.http_address)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(
            signal_number, lambda: runner.dispatch(DrainRequested(read_clock()))
        )
    fields = {"incarnation": incarnation, "http": settings.http_address}
    log_decision(LogDecision("start", "process started", fields))
    tick_task = asyncio.create_task(runner.tick_forever())
    await _wait_for_exit(runner, tick_task)
    callers.stop()
    await _drain_callers(callers, settings.drain_s)
    tick_task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await tick_task
    await peers.close()
    log_decision(LogDecision("stop", "drained", {}))


async def _wait_for_exit(runner, tick_task):
    exit_task = asyncio.create_task(runner.exit_requested.wait())
    done, _ = await asyncio.wait(
        (exit_task, tick_task), return_when=asyncio.FIRST_COMPLETED
    )
    if tick_task in done:
        exit_task.cancel()
        tick_task.result()


async def _drain_callers(callers, limit_s):
    """Wait for the requests in progress, then close the connections.

    :param limit_s: maximum wait in seconds.
    """
    # A connection accepted just before the server stopped accepting may still deliver
    # a request.
    await asyncio.sleep(LATE_REQUEST_WAIT_S)
    deadline = read_clock() + limit_s
    while callers.count_unanswered() and read_clock() < deadline:
        await asyncio.sleep(DRAIN_POLL_S)
    await callers.close()


def build_flags():
    """Return the unparsed command-line flags."""
    values = flags.FlagValues()
    flags.DEFINE_string(
        "settings", "", "Path of the settings file (required).", flag_values=values
    )
    flags.DEFINE_boolean("help", False, "Show this help.", flag_values=values)
    flags.DEFINE_boolean("version", False, "Show the version.", flag_values=values)
    return values


def main(argv, stdout, stderr):
    """Parse the command line and run the daemon.

    :param argv: program name and arguments.
    :param stdout: stream for help and version.
    :param stderr: stream for errors.
    :return: exit status: 0 on success, 1 for invalid settings, 2 for a usage error.
    """
    values = build_flags()
    try:
        _, *operands = values(argv)
    except flags.Error as error:
        return _report_usage_error(str(error), stderr)
    if values.version:
        print(importlib.metadata.version("shallotyard-daemon"), file=stdout)
        return EXIT_SUCCESS
    if values.help:
        print(_format_help(values), file=stdout)
        return EXIT_SUCCESS
    if operands:
        return _report_usage_error(f"unexpected argument {operands[0]!r}", stderr)
    if not values.settings:
        return _report_usage_error("--settings is required", stderr)
    try:
        settings = Settings.from_file(values.settings)
    except SettingsError as error:
        for fault in error.faults:
            print(f"{error.path}: {fault}", file=stderr)
        return EXIT_INVALID_SETTINGS
    configure_logs(settings.log_level, settings.instance)
    uvloop.run(serve(settings))
    return EXIT_SUCCESS


def _report_usage_error(message, stderr):
    print(f"shallotyardd: {message}", file=stderr)
    print("shallotyardd --help lists the flags", file=stderr)
    return EXIT_USAGE


def _format_help(values):
    lines = [
        "usage: shallotyardd --settings=FILE",
        "",
        "Route requests until SIGTERM or SIGINT, then drain and stop.",
        "examples/settings.jsonc describes the settings.",
        "",
        "Flags:",
    ]
    lines += [
        f"  --{name:<10}{values[name].help}" for name in ("help", "settings", "version")
    ]
    return "\n".join(lines)


def run():
    """Run the installed ``shallotyardd`` command."""
    sys.exit(main(sys.argv, sys.stdout, sys.stderr))


if __name__ == "__main__":
    run()
