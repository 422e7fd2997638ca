"""Tests of the load tool."""

import asyncio
import collections
import random

from shallotyard_testing.journal import Journal
from shallotyard_testing.load import LoadOptions
from shallotyard_testing.load import make_key_chooser
from shallotyard_testing.load import run_load
from shallotyard_testing.processes import find_free_port
from shallotyard_testing.upstream import start_upstreams
from shallotyard_testing.upstream_lifecycle import apply_control
from shallotyard_testing.upstream_state import UpstreamConfig


def _run_load_against_upstream(control, **options):
    async def scenario():
        config = UpstreamConfig("u1", find_free_port(), "s", slots=100, work_ms=0)
        journal = Journal(100_000)
        upstream = start_upstreams([config], journal)["u1"]
        apply_control(upstream, control)
        try:
            address = f"127.0.0.1:{config.port}"
            load_options = LoadOptions(
                (address,), duration_s=0.3, connections=4, **options
            )
            return await run_load(load_options), upstream
        finally:
            apply_control(upstream, {"die": True})

    return asyncio.run(scenario())


def test_keys_depend_on_the_seed_and_the_exponent():
    """Guards against runs that cannot be repeated, or without hot keys."""
    draw_key, draw_again = (
        make_key_chooser(100, 1.0, random.Random(5)) for _ in range(2)
    )
    keys = [draw_key() for _ in range(5000)]
    assert keys == [draw_again() for _ in range(5000)]
    counts = collections.Counter(keys)
    assert counts.most_common(1)[0][0] == "key-0"
    assert counts["key-0"] > 5 * counts["key-50"]


def test_closed_loop_counts_every_request():
    """Guards against responses that are not counted or counted twice."""
    report, upstream = _run_load_against_upstream({})
    assert report.requests > 0
    assert report.statuses == {"200": report.requests}
    assert report.verdicts == {"ran": upstream.counters.committed}
    assert report.mismatched == 0
    assert not upstream.journal.violations_by_kind


def test_open_loop_counts_truncated_responses_as_resets():
    """Guards against truncated responses that count as successes."""
    report, _ = _run_load_against_upstream({"truncate": 2}, rate=200.0)
    assert report.statuses["reset"] == 2
    assert report.succeeded == report.requests - 2


def test_repeats_are_counted_as_attempts():
    """Guards against repeats that hide failed attempts."""
    report, _ = _run_load_against_upstream({"shed": True}, repeats=1)
    assert report.attempts == 2 * report.requests
    assert report.statuses == {"503": report.attempts}
    assert report.succeeded == 0
