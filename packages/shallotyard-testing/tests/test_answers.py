"""Tests of checking responses against journals and measuring unavailable time."""

import pytest

from shallotyard_testing.answer_builders import build_execution
from shallotyard_testing.answer_builders import build_response_record
from shallotyard_testing.answers import check_responses
from shallotyard_testing.answers import describe_seconds
from shallotyard_testing.answers import measure_unavailability


@pytest.mark.parametrize(
    ("record", "kind"),
    [
        (
            build_response_record(status=503, verdict="not-run", value={}, identity=""),
            "not_run_but_ran",
        ),
        (
            build_response_record(
                status=503, verdict="not-run", value={}, request_id="r2"
            ),
            "not_run_but_identity_ran",
        ),
        (build_response_record(query="n=2"), "crossed_answer"),
        (
            build_response_record(
                value={**build_response_record().value, "request_id": "r2"}
            ),
            None,
        ),
        (build_response_record(status=503, verdict="", value={}), "no_verdict"),
        (build_response_record(), None),
    ],
)
def test_responses_are_compared_with_the_journal(record, kind):
    """Guards against a false ``not-run`` or a crossed response that is not detected."""
    entries = [build_execution()]
    if kind is None and record.value["request_id"] == "r2":
        kind = "answer_without_run"
    assert list(check_responses([record], entries)) == ([kind] if kind else [])


def test_refused_repeat_of_a_request_that_ran_is_no_violation():
    """Guards against a false violation after a repeat with the same Idempotency-Key.

    The repeat was refused as ``not-run``, but the earlier request ran.
    """
    refused = build_response_record(
        status=503, verdict="not-run", value={}, request_id="r2"
    )
    assert (
        check_responses([build_response_record(), refused], [build_execution()]) == {}
    )


def test_unavailable_time_runs_from_failure_to_success():
    """Guards against a measured time that omits the failed or the successful request.

    A key that is never served again must not count as available.
    """
    failed = build_response_record(started_at=1.0, ended_at=2.0, status=503)
    served = build_response_record(started_at=3.0, ended_at=4.0)
    spans = measure_unavailability([failed, served], 0.5, 8.0)
    assert list(spans.values()) == [3.0]
    assert list(measure_unavailability([failed], 0.5, 8.0).values()) == [None]
    assert describe_seconds([None, 3.0])["unserved"] == 1
