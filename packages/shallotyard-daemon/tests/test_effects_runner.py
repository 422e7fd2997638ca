"""Tests of `EffectsRunner`."""

import asyncio

from shallotyard_core.effects import SendAttempt
from shallotyard_core.events import AttemptFinished
from shallotyard_core.events import AttemptKind
from shallotyard_core.events import Tick
from shallotyard_daemon import effects_runner
from shallotyard_daemon.effects_runner import EffectsRunner
from shallotyard_daemon.upstream_client import UpstreamClient
from shallotyard_testing.state_builders import build_router


def test_attempt_outside_the_home_regions(monkeypatch):
    """Guards against an uncounted violation, and a call that never finishes.

    The attempt is not sent, so its end must be reported to the reducer.
    """
    dispatched = []
    attempt = SendAttempt(
        "c.1", "book-1", "127.0.0.1:9", "GET", "/", {}, b"", "q", 1e9, False, 4
    )
    attempt.home_regions = ("istra",)
    attempt.region = "dalmacija"

    def reduce(router, event):
        dispatched.append(event)
        return [attempt] if isinstance(event, Tick) else []

    async def run():
        router = build_router()
        runner = EffectsRunner(router)
        client = UpstreamClient(runner.dispatch, lambda call_id, now: True)
        runner.handlers_by_type[SendAttempt] = client.send
        runner.dispatch(Tick(100.0))
        await asyncio.sleep(0)
        return router.invariant_violations

    monkeypatch.setattr(effects_runner, "reduce", reduce)
    assert asyncio.run(run()) == {"home-region": 1}
    assert isinstance(dispatched[1], AttemptFinished)
    assert (dispatched[1].call_id, dispatched[1].kind) == ("c.1", AttemptKind.NOT_SENT)
