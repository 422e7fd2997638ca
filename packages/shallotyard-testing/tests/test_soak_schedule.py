import pytest

from shallotyard_testing.soak_schedule import make_schedule


@pytest.mark.parametrize("regions", ["1", "3"])
def test_schedule_depends_on_the_seed_only(regions):
    """Guards against a run that cannot be repeated with its seed."""
    events = make_schedule(5, 300.0, regions)
    assert events == make_schedule(5, 300.0, regions)
    assert events != make_schedule(6, 300.0, regions)
    assert len({event["fault"] for event in events}) > 8
