import pytest

from shallotyard_core.exceptions import InvariantError
from shallotyard_core.quarantine import Quarantine
from shallotyard_core.quarantine import QuarantineDecision


def build_quarantine(fingerprint, marks, now=0):
    quarantine = Quarantine()
    quarantine.merge_marks([(fingerprint, marks)], now)
    return quarantine


def test_request_that_crashes_its_upstream_while_exclusive_is_refused():
    """Guards against a request that keeps crashing upstreams."""
    quarantine = Quarantine()
    assert quarantine.record_upstream_crash(["a", "b"], False, 0) == [
        ("a", 1),
        ("b", 1),
    ]
    assert quarantine.decide("a", 1) is QuarantineDecision.RUN
    assert quarantine.record_upstream_crash(["a", "c"], False, 2) == [
        ("a", 2),
        ("c", 1),
    ]
    assert quarantine.decide("a", 3) is QuarantineDecision.RUN_EXCLUSIVELY
    assert quarantine.record_upstream_crash(["a"], True, 4) == [("a", 3)]
    assert quarantine.decide("a", 603) is QuarantineDecision.REFUSE
    assert quarantine.decide("a", 604) is QuarantineDecision.RUN


def test_concurrent_request_is_never_refused():
    """Guards against refusing a request because another crashed its upstream."""
    quarantine = Quarantine()
    for now in range(20):
        quarantine.record_upstream_crash(["a", "a", "b"], False, now)
    assert quarantine.decide("a", 20) is QuarantineDecision.RUN_EXCLUSIVELY
    assert quarantine.decide("b", 20) is QuarantineDecision.RUN_EXCLUSIVELY


def test_two_attempts_on_one_upstream_count_once():
    """Guards against running a request exclusively after a single crash."""
    quarantine = Quarantine()
    assert quarantine.record_upstream_crash(["a", "a"], False, 0) == [("a", 1)]


def test_several_requests_cannot_run_exclusively():
    """Guards against quarantining requests that ran concurrently."""
    with pytest.raises(InvariantError):
        Quarantine().record_upstream_crash(["a", "b"], True, 0)


def test_marks_expire():
    """Guards against running a request exclusively because of old crashes."""
    quarantine = build_quarantine("a", 2)
    assert quarantine.decide("a", 599) is QuarantineDecision.RUN_EXCLUSIVELY
    assert quarantine.decide("a", 600) is QuarantineDecision.RUN
    assert quarantine.record_upstream_crash(["a"], False, 601) == [("a", 1)]


def test_exclusive_success_clears_marks():
    """Guards against restricting a request that proved harmless."""
    quarantine = build_quarantine("a", 2)
    assert quarantine.record_exclusive_success("a", 1) == [("a", 0)]
    assert quarantine.decide("a", 1) is QuarantineDecision.RUN
    other = build_quarantine("a", 2)
    other.merge_marks([("a", 0)], 1)
    assert other.decide("a", 1) is QuarantineDecision.RUN


def test_repeated_merge_does_not_extend_marks():
    """Guards against marks that instances renew by sending them back and forth."""
    quarantine = build_quarantine("a", 3)
    for now in range(0, 600, 100):
        quarantine.merge_marks([("a", 3), ("a", 1), ("a", 0)], now)
    assert quarantine.decide("a", 599) is QuarantineDecision.REFUSE
    assert quarantine.decide("a", 600) is QuarantineDecision.RUN


def test_number_of_fingerprints_is_bounded():
    """Guards against memory that grows with every upstream crash."""
    quarantine = Quarantine(max_fingerprints=3)
    quarantine.record_upstream_crash([str(number) for number in range(10)], False, 0)
    assert len(quarantine) == 3
    assert quarantine.record_upstream_crash(["9"], False, 1) == [("9", 2)]


def test_crash_of_concurrent_requests_does_not_lift_quarantine():
    """Guards against reducing the marks of a request with a late attempt in flight."""
    quarantine = build_quarantine("a", 3)
    assert quarantine.record_upstream_crash(["a", "b"], False, 1) == [("b", 1)]
    assert quarantine.decide("a", 2) is QuarantineDecision.REFUSE
