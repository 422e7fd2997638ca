"""Tests of the checks of the failure scenarios."""

from shallotyard_testing.answer_builders import build_execution
from shallotyard_testing.scenarios import find_overlaps
from shallotyard_testing.scenarios import find_repeats


def test_overlaps_and_repeats_are_found():
    """Guards against undetected violations between upstreams of two processes."""
    other = build_execution(upstream="bookbay-02", start=5.0, end=12.0)
    assert len(find_overlaps([build_execution(), other])) == 1
    assert find_repeats([build_execution(), other]) == [("bookbay", "i1")]
    later = build_execution(upstream="bookbay-02", start=10.0, end=12.0)
    assert find_overlaps([build_execution(), later]) == []
