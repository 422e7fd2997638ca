import pytest

from shallotyard_testing.capacity import format_value


@pytest.mark.parametrize(
    ("value", "shown"), [(0.0331, "0.0331 "), (5_000, "5 k"), (104e6, "104 M")]
)
def test_format_value(value, shown):
    """Guards against a wrong power of ten in the table."""
    assert format_value(value) == shown
