"""Tests of the execution journal and its checks."""

from dataclasses import replace

from shallotyard_testing.journal import Execution
from shallotyard_testing.journal import Journal
from shallotyard_testing.journal import digest_key

_EXECUTION = Execution(
    upstream="u1",
    slice="7",
    epoch=3,
    key_digest="k",
    request_id="r1",
    idempotency_key="",
    method="GET",
    start=10.0,
    end=20.0,
)


def _count_violations(*executions, keyed=True):
    journal = Journal(limit=100)
    for execution in executions:
        journal.commit(execution, ("s", "r"), "client", "s", keyed)
    return dict(journal.violations_by_kind)


def test_overlapping_executions_of_a_key_are_violations():
    """Guards against two owners of a key whose overlap is not recorded."""
    overlapping = replace(_EXECUTION, upstream="u2", start=19.0, end=25.0)
    assert _count_violations(_EXECUTION, overlapping) == {"two_owners": 1}
    enclosing = replace(_EXECUTION, upstream="u2", start=5.0, end=25.0)
    assert _count_violations(_EXECUTION, enclosing) == {"two_owners": 1}


def test_successive_owners_are_no_violation():
    """Guards against a false violation after a regular move of a key."""
    later = replace(_EXECUTION, upstream="u2", epoch=4, start=20.0, end=25.0)
    assert _count_violations(_EXECUTION, later) == {}
    assert _count_violations(later, _EXECUTION, keyed=False) == {}


def test_lower_epoch_after_a_higher_one_is_a_violation():
    """Guards against an execution in a fenced epoch that is not recorded."""
    stale = replace(_EXECUTION, key_digest="other", epoch=2, start=30.0, end=35.0)
    assert _count_violations(_EXECUTION, stale) == {"epoch_regress": 1}


def test_repeated_post_is_a_violation():
    """Guards against a second run of a POST that is not recorded."""
    post = replace(_EXECUTION, method="POST", idempotency_key="i")
    again = replace(post, request_id="r2", start=30.0, end=35.0)
    assert _count_violations(post, again) == {"repeated_execution": 1}
    assert (
        _count_violations(_EXECUTION, replace(_EXECUTION, start=30.0, end=35.0)) == {}
    )


def test_read_reports_dropped_executions():
    """Guards against dropped executions that a reader of the journal cannot detect."""
    journal = Journal(limit=2)
    for number in range(4):
        execution = replace(_EXECUTION, request_id=f"r{number}")
        journal.commit(execution, ("s", "r"), "client", "s", False)
    value = journal.read(1)
    assert [entry["request_id"] for entry in value["entries"]] == ["r2", "r3"]
    assert (value["next"], value["dropped"]) == (4, 1)
    assert [e["request_id"] for e in journal.read(3)["entries"]] == ["r3"]


def test_digest_depends_on_the_client():
    """Guards against false owner violations for equal keys of two clients."""
    assert digest_key("s", "a", "k") != digest_key("s", "b", "k")
