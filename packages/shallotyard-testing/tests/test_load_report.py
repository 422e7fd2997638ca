"""Tests of the report of a load run."""

from hdrh.histogram import HdrHistogram

from shallotyard_testing.load import Request
from shallotyard_testing.load import Response
from shallotyard_testing.load_report import Recorder
from shallotyard_testing.load_report import compute_imbalance


def _make_recorder():
    return Recorder(HdrHistogram(1, 1_000_000, 3))


def _build_response(upstream="u1", request_id="r", key="k", query="n=1"):
    body = (
        f'{{"upstream": "{upstream}", "request_id": "{request_id}", '
        f'"key": "{key}", "query": "{query}"}}'
    )
    return Response(200, "ran", "r", body.encode(), False)


_REQUEST = Request("/status/item", "k", "n=1", b"")


def test_crossed_responses_are_mismatches():
    """Guards against the response of another request that counts as a success."""
    recorder = _make_recorder()
    for fault in ({"request_id": "x"}, {"key": "x"}, {"query": "n=2"}):
        recorder.record_attempt(_REQUEST, _build_response(**fault), 0.0)
    recorder.record_attempt(_REQUEST, Response(200, "ran", "r", b"{", False), 0.0)
    recorder.record_attempt(_REQUEST, _build_response(), 0.0)
    report = recorder.build_report(1.0, 0)
    assert report.mismatched == 4
    assert report.executions_by_path == {"/status/item": {"u1": 1}}


def test_unavailable_time_includes_all_failures():
    """Guards against a measurement that restarts at each further failure."""
    recorder = _make_recorder()
    for response, now in (
        (_build_response(), 1.0),
        ("reset", 2.0),
        ("timeout", 4.0),
        (_build_response(upstream="u2"), 5.0),
        ("reset", 6.0),
        (_build_response(upstream="u2"), 7.0),
    ):
        recorder.record_attempt(_REQUEST, response, now)
    report = recorder.build_report(1.0, 0)
    assert report.max_unavailable_s == 3.0
    assert report.owner_changes == 1
    assert report.keys_unavailable_at_end == 0


def test_imbalance_counts_idle_upstreams():
    """Guards against a low imbalance when some upstreams get no requests."""
    assert compute_imbalance([10, 10]) == 1.0
    assert compute_imbalance([10, 10], upstreams=4) == 2.0
    assert compute_imbalance([]) == 0.0
