"""Tests of exceptions in one task, effect or transfer that must not stop others."""

import asyncio
from types import SimpleNamespace

import pytest

from shallotyard_core.effects import LogDecision
from shallotyard_core.events import Tick
from shallotyard_core.verdict import Verdict
from shallotyard_daemon import direct_daemon
from shallotyard_daemon.clock import read_clock
from shallotyard_daemon.curl_pool import CurlPool
from shallotyard_daemon.direct_daemon import DirectDaemon
from shallotyard_daemon.direct_upstreams import DirectUpstreams
from shallotyard_daemon.transfers import Transfer
from shallotyard_direct import effects
from shallotyard_direct.model import Request
from shallotyard_direct.settings import DirectSettings

SCENARIO_TIMEOUT_S = 5.0
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
SETTINGS = DirectSettings(
    "front-1",
    "a",
    {"a": "r"},
    *["127.0.0.1:1"] * 4,
    shutdown_s=6.0,
    retry_ratio=0.2,
    retry_window_s=10.0,
    cold_rate_factor=1.5,
    cold_rate_slack=5.0,
    max_grant_ttl_s=10.0,
)


def build_transfer(url, finish, lines=()):
    """Return a GET transfer."""
    return Transfer(
        url, "GET", list(lines), b"", 500, 5000, False, b"", lambda: True, finish
    )


def run_with_server(scenario):
    """Run a scenario with a pool and the URL of a server."""

    async def answer(reader, writer):
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(ANSWER)

    async def run():
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        pool = CurlPool(force_instance=True)
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"
        try:
            await asyncio.wait_for(scenario(pool, url), SCENARIO_TIMEOUT_S)
        finally:
            pool.close()
            server.close()

    asyncio.run(run())


@pytest.mark.parametrize("lines", [["X: \ud800"], [7]], ids=["surrogate", "type"])
def test_transfer_that_cannot_be_prepared_finishes(lines):
    """Guards against a request without any end because its headers or address are not
    accepted by libcurl.
    """

    async def scenario(pool, url):
        ended = []
        pool.start(build_transfer(url, ended.append, lines))
        while not ended:
            await asyncio.sleep(0.005)
        assert ended[0].error
        assert not ended[0].sent
        pool.start(build_transfer(url, ended.append))
        while len(ended) < 2:
            await asyncio.sleep(0.005)
        assert ended[1].status == 200

    run_with_server(scenario)


def test_failure_at_the_end_of_a_transfer_keeps_other_transfers():
    """Guards against transfers that never end because another one's end failed."""

    async def scenario(pool, url):
        ended = []

        def fail(transfer):
            raise KeyError("secret")

        reported = []
        pool.reporter = SimpleNamespace(report=lambda *args: reported.append(args))
        for number in range(20):
            pool.start(build_transfer(url, ended.append if number % 2 else fail))
        while len(ended) < 10:
            await asyncio.sleep(0.005)
        assert len(reported) == 10

    run_with_server(scenario)


def test_response_that_raises_ends_its_attempt():
    """Guards against a request without any response because that of its upstream raised
    when it was read.
    """

    async def scenario(pool, url):
        def interpret(effect, transfer, now):
            raise KeyError("secret")

        protocol = SimpleNamespace(
            build_headers=lambda effect, remaining_s: [], interpret_response=interpret
        )
        dispatched = []
        upstreams = DirectUpstreams(dispatched.append, lambda *args: True, protocol)
        request = Request("r1", "abc", "a.example", "GET", "/a/1", [], b"")
        address = url.removeprefix("http://").rstrip("/")
        upstreams.send(
            effects.SendAttempt("a1", "u1", address, request, read_clock() + 4.0, True)
        )
        while len(dispatched) < 3:
            await asyncio.sleep(0.005)
        connection, decision, finished = dispatched
        assert connection.opened
        assert decision.decision.decision == "task-failed"
        assert finished.attempt_id == "a1"
        assert finished.verdict is Verdict.MAY_HAVE_RUN
        upstreams.pool.close()

    run_with_server(scenario)


def build_daemon(monkeypatch, reduce):
    """Return a daemon with a stand-in of the reducer, and its logged decisions."""
    logged = []
    monkeypatch.setattr(direct_daemon, "reduce", reduce)
    monkeypatch.setattr(direct_daemon, "log_decision", logged.append)
    store = SimpleNamespace(
        **dict.fromkeys(
            (
                "read",
                "write",
                "check",
                "probe",
                "list_instances",
                "watch",
                "unwatch",
            ),
            None,
        )
    )
    adapter = SimpleNamespace(
        build_event=None,
        build_refusal=None,
        encode_response=None,
        upstream_protocol=None,
        replicated_kinds=(),
        lapsing_kinds=(),
        rewritten_kinds=(),
        create_update_handler=lambda dispatch: None,
        create_store=lambda replica, dispatch: store,
    )
    return DirectDaemon(SETTINGS, adapter), logged


def test_failed_effect_keeps_other_effects(monkeypatch):
    """Guards against effects that are lost because one before them failed."""

    async def run():
        def reduce(router, event):
            if isinstance(event, Tick):
                return [effects.ReadRecord("kind", "name"), LogDecision("x", "", {})]
            return [event.decision]

        daemon, logged = build_daemon(monkeypatch, reduce)
        daemon.dispatch(Tick(read_clock()))
        assert [decision.decision for decision in logged] == ["task-failed", "x"]

    asyncio.run(run())


def test_failed_tick_does_not_end_the_process(monkeypatch):
    """Guards against a process that ends because of one exception of the reducer."""

    async def run():
        ticks = []

        def reduce(router, event):
            ticks.append(event)
            raise KeyError("secret")

        daemon, _ = build_daemon(monkeypatch, reduce)
        daemon.settings = SimpleNamespace(
            ready_address="127.0.0.1:0",
            metrics_address="127.0.0.1:0",
            caller_address="127.0.0.1:0",
            peer_address="127.0.0.1:0",
            domain="a",
        )
        daemon._reload_settings = lambda: None
        task = asyncio.create_task(daemon.run())
        while len([event for event in ticks if isinstance(event, Tick)]) < 2:
            assert not task.done()
            await asyncio.sleep(0.01)
        daemon.exit_requested.set()
        await task

    asyncio.run(run())
