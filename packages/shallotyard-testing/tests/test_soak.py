"""Tests of the schedule and of the checks of the soak run."""

import pytest

from shallotyard_testing.scenarios import find_overlaps
from shallotyard_testing.scenarios import find_repeats
from shallotyard_testing.soak import make_schedule
from shallotyard_testing.traffic import Answer
from shallotyard_testing.traffic import check_answers
from shallotyard_testing.traffic import describe
from shallotyard_testing.traffic import measure_unavailability


def build_answer(**changes):
    """Return an answer that ran at 1.0 s, with some fields changed."""
    value = {"query": "n=1", "key": "k", "request_id": "r1"}
    fields = {
        "instance": "a",
        "client": "c",
        "path": "/p",
        "method": "POST",
        "key": "k",
        "identity": "i1",
        "query": "n=1",
        "started_at": 1.0,
        "ended_at": 1.1,
        "status": 200,
        "verdict": "ran",
        "request_id": "r1",
        "value": value,
    }
    return Answer(**{**fields, **changes})


def build_execution(**changes):
    """Return a journal entry of request ``r1``."""
    entry = {
        "upstream": "bookbay-01",
        "slice": "bookbay/1",
        "key_digest": "d",
        "request_id": "r1",
        "idempotency_key": "i1",
        "method": "POST",
        "start": 0.0,
        "end": 10.0,
    }
    return {**entry, **changes}


@pytest.mark.parametrize("regions", ["1", "3"])
def test_schedule_depends_on_the_seed_only(regions):
    """A run that found a fault must be repeatable by its seed."""
    events = make_schedule(5, 300.0, regions)
    assert events == make_schedule(5, 300.0, regions)
    assert events != make_schedule(6, 300.0, regions)
    assert len({event["fault"] for event in events}) > 8


@pytest.mark.parametrize(
    ("answer", "kind"),
    [
        (
            build_answer(status=503, verdict="not-run", value={}, identity=""),
            "not_run_but_ran",
        ),
        (
            build_answer(status=503, verdict="not-run", value={}, request_id="r2"),
            "not_run_but_identity_ran",
        ),
        (build_answer(query="n=2"), "crossed_answer"),
        (build_answer(value={**build_answer().value, "request_id": "r2"}), None),
        (build_answer(status=503, verdict="", value={}), "no_verdict"),
        (build_answer(), None),
    ],
)
def test_answers_are_compared_with_the_journal(answer, kind):
    """A false ``not-run`` or a foreign response must not go unseen."""
    entries = [build_execution()]
    if kind is None and answer.value["request_id"] == "r2":
        kind = "answer_without_run"
    assert list(check_answers([answer], entries)) == ([kind] if kind else [])


def test_refused_repeat_of_a_request_that_ran_is_no_violation():
    """``not-run`` speaks of its own request, not of an earlier one."""
    refused = build_answer(status=503, verdict="not-run", value={}, request_id="r2")
    assert check_answers([build_answer(), refused], [build_execution()]) == {}


def test_overlaps_and_repeats_are_found():
    """Two owners and a second run must be seen over several upstream processes."""
    other = build_execution(upstream="bookbay-02", start=5.0, end=12.0)
    assert len(find_overlaps([build_execution(), other])) == 1
    assert find_repeats([build_execution(), other]) == [("bookbay", "i1")]
    later = build_execution(upstream="bookbay-02", start=10.0, end=12.0)
    assert find_overlaps([build_execution(), later]) == []


def test_unavailable_time_runs_from_failure_to_service():
    """A key that is never served again must not count as quick."""
    failed = build_answer(started_at=1.0, ended_at=2.0, status=503)
    served = build_answer(started_at=3.0, ended_at=4.0)
    spans = measure_unavailability([failed, served], 0.5, 8.0)
    assert list(spans.values()) == [3.0]
    assert list(measure_unavailability([failed], 0.5, 8.0).values()) == [None]
    assert describe([None, 3.0])["unserved"] == 1
