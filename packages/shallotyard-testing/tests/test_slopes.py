import pytest

from shallotyard_testing.slopes import Slope
from shallotyard_testing.slopes import fit_line


def test_fit_line_finds_slope_and_intercept():
    """Guards against a slope that includes the fixed cost."""
    assert fit_line([(1, 12.0), (4, 18.0), (8, 26.0)]) == pytest.approx((2.0, 10.0))


def test_slope_at_a_larger_size():
    """Guards against an extrapolation that omits the fixed cost."""
    assert Slope("x", "us", [], 2.0, 10.0).at(690) == 1390.0
