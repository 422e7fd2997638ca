"""The daemon `shallotyardd`."""

import asyncio
import contextlib
import importlib.metadata
import signal
import sys
import uuid

import uvloop
from absl import app
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

_SETTINGS = flags.DEFINE_string("settings", None, "path of the settings file")
_VERSION = flags.DEFINE_bool("version", False, "print the version and exit")

EXIT_REFUSED = 1
EXIT_USAGE = 2


async def serve(settings):
    """Run the daemon until it is asked to stop and has drained.

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
    runner.connect(callers, upstreams, peers, platform)
    # Listening for peers comes first: a second process of the same instance id
    # must fail here, before it takes part in anything.
    await peers.listen(settings.peer_address)
    callers.listen(settings.http_address)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(
            number, lambda: runner.dispatch(DrainRequested(read_clock()))
        )
    fields = {"incarnation": incarnation, "http": settings.http_address}
    log_decision(LogDecision("start", "process started", fields))
    ticks = asyncio.create_task(runner.tick_forever())
    await _wait_for_exit(runner, ticks)
    callers.stop()
    await _finish_callers(callers)
    ticks.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await ticks
    await peers.close()
    log_decision(LogDecision("stop", "drained", {}))


async def _wait_for_exit(runner, ticks):
    exited = asyncio.create_task(runner.exit.wait())
    done, _ = await asyncio.wait((exited, ticks), return_when=asyncio.FIRST_COMPLETED)
    if ticks in done:
        exited.cancel()
        ticks.result()


async def _finish_callers(callers):
    """Let the last responses be written before connections are closed."""
    for _ in range(100):
        if not callers.requests_by_id:
            break
        await asyncio.sleep(0.05)
    await callers.close()


def _main(argv):
    if _VERSION.value:
        print(f"shallotyardd {importlib.metadata.version('shallotyard-daemon')}")
        return 0
    if len(argv) > 1 or not _SETTINGS.value:
        print("usage: shallotyardd --settings FILE", file=sys.stderr)
        return EXIT_USAGE
    try:
        settings = Settings.from_file(_SETTINGS.value)
    except SettingsError as error:
        for fault in error.faults:
            print(f"{error.path}: {fault}", file=sys.stderr)
        return EXIT_REFUSED
    configure_logs(settings.log_level, settings.instance)
    uvloop.run(serve(settings))
    return 0


def run():
    """Entry point of the ``shallotyardd`` command."""
    app.run(_main)


if __name__ == "__main__":
    run()
