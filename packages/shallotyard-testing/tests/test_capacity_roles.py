import pytest

from shallotyard_testing.capacity_roles import Size
from shallotyard_testing.capacity_roles import extrapolate
from shallotyard_testing.capacity_roles import extrapolate_heartbeats
from shallotyard_testing.slopes import Slope


def test_size_is_that_of_the_design():
    """Guards against figures for a size other than that of design section 2."""
    size = Size()
    assert (size.daemons, size.requests_per_s, size.domains) == (690, 3.7e6, 12)
    assert size.upstreams == 2300
    assert size.slices_per_region == 12_288


def test_a_reader_exchanges_more_heartbeats_than_a_member():
    """Guards against counting the exchanges of a reader like those of a member."""
    names = (
        *(
            f"{quantity} of a {kind}, by member"
            for quantity in (
                "heartbeat bytes",
                "reply bytes",
                "us sending",
                "us answering",
            )
            for kind in ("member", "reader")
        ),
        "bytes, by listed member",
        "bytes, by upstream report",
        "object",
        "decode table",
        "adopt table",
        "manifest bytes, by upstream",
        "parse manifest, by upstream",
        "memory of a table",
        "memory of a manifest, by upstream",
        "memory, by member",
        "plan, nothing to do",
        "plan, lost domain",
        "plan of 2048 slices, nothing to do",
        "bytes of relay and answer",
        "slices moved",
    )
    slopes = {name: Slope(name, "", [], 1.0, 0.0) for name in names}
    # Lists and reports are sent only when something changes.
    for name in ("bytes, by listed member", "bytes, by upstream report"):
        slopes[name] = Slope(name, "", [], 0.0, 0.0)
    value_by_row = {row[:2]: row[2] for row in extrapolate(slopes, Size())}
    ratio = (
        value_by_row["reader", "heartbeat bytes"]
        / (value_by_row["member", "heartbeat bytes"])
    )
    # 690 / 12 - 1 members, 3 other readers of the region in both directions,
    # 3 coordinators; 8 readers of other regions in both directions once a second.
    assert ratio == pytest.approx(56.5 + 6 + 3 + 16 / 4)


def test_changes_add_to_the_heartbeats():
    """Guards against a model that omits the cost of restarts and reports."""
    names = [
        f"{quantity} of a {kind}, by member"
        for quantity in ("heartbeat bytes", "reply bytes", "us sending", "us answering")
        for kind in ("member", "reader")
    ]
    slopes = {name: Slope(name, "", [], 0.0, 0.0) for name in names}
    slopes["bytes, by listed member"] = Slope("", "", [], 1.0, 0.0)
    slopes["bytes, by upstream report"] = Slope("", "", [], 1.0, 0.0)
    size = Size()
    rows = extrapolate_heartbeats(slopes, size)
    value_by_row = {row[:2]: row[2] for row in rows}
    # Each of 222 restarts and failures a day changes the list of a failure domain's
    # 690 / 12 = 57.5 members 3 times. Each of a region's 2300 / 3 upstreams is reported
    # once in 10 s.
    lists = 3 * 222 / 86_400 * 57.5
    assert value_by_row["member", "heartbeat bytes"] == pytest.approx(
        lists + 2300 / 3 / 10
    )
    assert value_by_row["reader", "heartbeat bytes"] == pytest.approx(
        lists * 59.5 + (57.5 + 6) * 2300 / 3 / 10
    )
