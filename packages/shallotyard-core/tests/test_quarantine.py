import pytest

from shallotyard_core.exceptions import InvariantError
from shallotyard_core.quarantine import Decision
from shallotyard_core.quarantine import Quarantine


def build_quarantine(fingerprint, marks, now=0):
    quarantine = Quarantine()
    quarantine.merge([(fingerprint, marks)], now)
    return quarantine


def test_poison_request_is_refused_after_dying_alone():
    """Guards against a request that kills upstreams without end."""
    quarantine = Quarantine()
    assert quarantine.upstream_died(["a", "b"], False, 0) == [("a", 1), ("b", 1)]
    assert quarantine.decide("a", 1) is Decision.RUN
    assert quarantine.upstream_died(["a", "c"], False, 2) == [("a", 2), ("c", 1)]
    assert quarantine.decide("a", 3) is Decision.RUN_ALONE
    assert quarantine.upstream_died(["a"], True, 4) == [("a", 3)]
    assert quarantine.decide("a", 603) is Decision.REFUSE
    assert quarantine.decide("a", 604) is Decision.RUN


def test_neighbour_is_never_refused():
    """Guards against refusing a request that only ran beside a fatal one."""
    quarantine = Quarantine()
    for now in range(20):
        quarantine.upstream_died(["a", "a", "b"], False, now)
    assert quarantine.decide("a", 20) is Decision.RUN_ALONE
    assert quarantine.decide("b", 20) is Decision.RUN_ALONE


def test_two_attempts_on_one_upstream_count_once():
    """Guards against isolating a request after a single death."""
    quarantine = Quarantine()
    assert quarantine.upstream_died(["a", "a"], False, 0) == [("a", 1)]


def test_several_requests_cannot_run_alone():
    """Guards against quarantining requests that had neighbours."""
    with pytest.raises(InvariantError):
        Quarantine().upstream_died(["a", "b"], True, 0)


def test_marks_expire():
    """Guards against isolating a request for deaths long past."""
    quarantine = build_quarantine("a", 2)
    assert quarantine.decide("a", 599) is Decision.RUN_ALONE
    assert quarantine.decide("a", 600) is Decision.RUN
    assert quarantine.upstream_died(["a"], False, 601) == [("a", 1)]


def test_success_alone_clears_marks():
    """Guards against isolating a request that proved harmless."""
    quarantine = build_quarantine("a", 2)
    assert quarantine.succeeded_alone("a", 1) == [("a", 0)]
    assert quarantine.decide("a", 1) is Decision.RUN
    other = build_quarantine("a", 2)
    other.merge([("a", 0)], 1)
    assert other.decide("a", 1) is Decision.RUN


def test_repeated_merge_does_not_extend_marks():
    """Guards against marks that instances keep alive by echoing them."""
    quarantine = build_quarantine("a", 3)
    for now in range(0, 600, 100):
        quarantine.merge([("a", 3), ("a", 1), ("a", 0)], now)
    assert quarantine.decide("a", 599) is Decision.REFUSE
    assert quarantine.decide("a", 600) is Decision.RUN


def test_size_is_bounded():
    """Guards against memory that grows with every death."""
    quarantine = Quarantine(max_fingerprints=3)
    quarantine.upstream_died([str(number) for number in range(10)], False, 0)
    assert len(quarantine) == 3
    assert quarantine.upstream_died(["9"], False, 1) == [("9", 2)]


def test_death_beside_others_does_not_lift_quarantine():
    """Guards against releasing a fatal request by a late attempt of it."""
    quarantine = build_quarantine("a", 3)
    assert quarantine.upstream_died(["a", "b"], False, 1) == [("b", 1)]
    assert quarantine.decide("a", 2) is Decision.REFUSE
