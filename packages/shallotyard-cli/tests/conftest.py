"""Fixtures: a server that stands in for the store and daemons, and a command runner."""

import asyncio
import collections
import dataclasses
import io
import json
import pathlib
import threading

import pytest
from tornado import httpserver
from tornado import netutil
from tornado import web

from shallotyard_cli import http
from shallotyard_cli import main
from shallotyard_cli import store

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


class StandInPlatform:
    """State of a store and of daemons that one server stands in for.

    ``put_faults`` and ``get_faults`` hold one fault for each of the next requests:
    ``lose`` (the request takes effect and the connection is closed), ``drop`` (it has
    no effect and the connection is closed), ``silent`` (it takes effect and gets no
    response), ``down`` (503) or ``""`` (none). If ``awaited_reader_count`` is not
    0, reads are held back until that many have arrived. ``before_put`` and
    ``after_put`` are called once, before and after the next write.
    """

    def __init__(self):
        self.objects_by_name = {}
        self.put_faults = collections.deque()
        self.get_faults = collections.deque()
        self.before_put = None
        self.after_put = None
        self.awaited_reader_count = 0
        self.put_count = 0
        self.all_readers_arrived = None
        self.statuses_by_index = {}
        self.address = ""

    @property
    def url(self):
        return f"http://{self.address}"

    def read(self, name):
        return json.loads(self.objects_by_name[name][1])

    def write(self, name, body):
        version = self.objects_by_name.get(name, (0, b""))[0] + 1
        self.objects_by_name[name] = (version, body)

    def daemon_address(self, index):
        return f"{self.address}/daemons/{index}"


class _ObjectHandler(web.RequestHandler):
    def initialize(self, platform):
        self.platform = platform

    def close_connection(self):
        self._auto_finish = False
        self.request.connection.stream.close()

    async def get(self, name):
        platform = self.platform
        fault = platform.get_faults.popleft() if platform.get_faults else ""
        if fault == "down":
            self.send_error(503)
            return
        if fault:
            self.close_connection()
            return
        stored = platform.objects_by_name.get(name)
        if platform.awaited_reader_count:
            platform.awaited_reader_count -= 1
            if not platform.awaited_reader_count:
                platform.all_readers_arrived.set()
            await platform.all_readers_arrived.wait()
        if stored is None:
            self.send_error(404)
            return
        self.set_header("ETag", f'"{stored[0]}"')
        self.write(stored[1])

    def compute_etag(self):
        return None

    async def put(self, name):
        platform = self.platform
        platform.put_count += 1
        fault = platform.put_faults.popleft() if platform.put_faults else ""
        if fault == "down":
            self.send_error(503)
            return
        if fault == "drop":
            self.close_connection()
            return
        if platform.before_put is not None:
            callback, platform.before_put = platform.before_put, None
            callback()
        version = platform.objects_by_name.get(name, (0, b""))[0]
        expected = self.request.headers.get("If-Match")
        if expected is None and self.request.headers.get("If-None-Match") != "*":
            raise AssertionError("an unconditional write would lose updates")
        if expected != (f'"{version}"' if version else None):
            self.set_status(412)
            self.set_header("ETag", f'"{version}"')
            return
        platform.write(name, self.request.body)
        if platform.after_put is not None:
            callback, platform.after_put = platform.after_put, None
            callback()
        if fault == "silent":
            await asyncio.Event().wait()
        if fault == "lose":
            self.close_connection()
            return
        self.set_header("ETag", f'"{version + 1}"')


class _StatusHandler(web.RequestHandler):
    def initialize(self, platform):
        self.platform = platform

    def get(self, index):
        statuses = self.platform.statuses_by_index[int(index)]
        # The last status is served repeatedly, the earlier ones once each.
        status = statuses[0] if len(statuses) == 1 else statuses.pop(0)
        self.write(status if isinstance(status, str) else json.dumps(status))


async def _serve(platform, started, loop_and_stop_event):
    stop = asyncio.Event()
    platform.all_readers_arrived = asyncio.Event()
    arguments = {"platform": platform}
    application = web.Application(
        [
            (r"/v1/objects/(.+)", _ObjectHandler, arguments),
            (r"/daemons/(\d+)/status", _StatusHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
    sockets = netutil.bind_sockets(0, "127.0.0.1")
    server = httpserver.HTTPServer(application)
    server.add_sockets(sockets)
    platform.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
    loop_and_stop_event.extend((asyncio.get_running_loop(), stop))
    started.set()
    await stop.wait()
    server.stop()


@pytest.fixture
def platform(monkeypatch):
    """Run the stand-in of a store and daemons; the command retries without delay."""
    monkeypatch.setattr(store, "RETRY_DELAY_S", 0.0)
    stand_in = StandInPlatform()
    started = threading.Event()
    loop_and_stop_event = []
    thread = threading.Thread(
        target=lambda: asyncio.run(_serve(stand_in, started, loop_and_stop_event)),
        daemon=True,
    )
    thread.start()
    started.wait()
    yield stand_in
    loop, stop = loop_and_stop_event
    loop.call_soon_threadsafe(stop.set)
    thread.join()


@pytest.fixture
def short_timeout(monkeypatch):
    """Shorten the timeout of the command's requests."""
    monkeypatch.setattr(http, "REQUEST_TIMEOUT_S", 2.0)


@dataclasses.dataclass(frozen=True)
class CommandResult:
    """Exit code and output of one command."""

    exit_code: int
    stdout: str
    stderr: str


@pytest.fixture
def run():
    """Return a function that runs the command in this process."""

    def run_command(*arguments):
        stdout = io.StringIO()
        stderr = io.StringIO()
        exit_code = main.main(["shallotyard", *arguments], stdout, stderr)
        return CommandResult(exit_code, stdout.getvalue(), stderr.getvalue())

    return run_command


@pytest.fixture
def manifest_file(tmp_path):
    """Return a function that writes a copy of an example manifest."""

    def write(version=1, name="tendaris", change=lambda text: text):
        text = (EXAMPLES / f"{name}.jsonc").read_text()
        assert text.count('"version": 1,') == 1
        text = change(text.replace('"version": 1,', f'"version": {version},'))
        path = tmp_path / f"{name}-{version}-{len(list(tmp_path.iterdir()))}.jsonc"
        path.write_text(text)
        return str(path)

    return write
