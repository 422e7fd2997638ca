"""Tests of the instance list stand-in."""

from shallotyard_testing.instance_list import InstanceList

_ENTRY = {"domain": "d1", "address": "127.0.0.1:1", "state": "live"}


def test_list_shows_changes_after_its_lag():
    """Guards against a list that shows changes earlier or later than its lag."""
    instances = InstanceList(lag_ms=100.0)
    instances.update_instance("a", _ENTRY, 1000.0)
    instances.update_instance("b", _ENTRY, 1050.0)
    instances.update_instance("a", None, 1080.0)
    assert instances.read(1099.0) == []
    assert [entry["id"] for entry in instances.read(1100.0)] == ["a"]
    assert [entry["id"] for entry in instances.read(1150.0)] == ["a", "b"]
    assert [entry["id"] for entry in instances.read(1180.0)] == ["b"]
