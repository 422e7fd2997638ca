"""Tests of the local copies of the store's objects."""

import math

import pytest

from shallotyard_direct.replica import STORE_RETURN_S
from shallotyard_direct.replica import Changes
from shallotyard_direct.replica import Replica
from shallotyard_direct.replica import Snapshot


def build_replica():
    """Return a replica, and the list of updates that it applies."""
    applied = []
    return Replica(("servers", "config"), ("servers",), applied.append), applied


def list_names(replica, kind="servers"):
    """Return the names of the objects of a kind."""
    return set(replica.snapshots_by_kind[kind].items_by_name)


def test_changes_follow_a_snapshot():
    """A change was lost, or applied twice."""
    replica, applied = build_replica()
    assert not replica.apply(Changes("servers", 4, (("a", 1),)))
    replica.apply(Snapshot("servers", 5, {"a": 1, "b": 1}))
    assert not replica.is_complete
    replica.apply(Snapshot("config", 5, {}))
    assert replica.is_complete
    assert replica.apply(Changes("servers", 7, (("a", None), ("c", 1))))
    assert not replica.apply(Changes("servers", 7, (("a", 1),)))
    assert list_names(replica) == {"b", "c"}
    assert len(applied) == 3


def test_older_snapshot_is_ignored():
    """After a change of the source, a removed object reappeared."""
    replica, applied = build_replica()
    replica.apply(Snapshot("servers", 5, {"a": 1, "b": 1}))
    replica.apply(Changes("servers", 9, (("b", None),)))
    assert not replica.apply(Snapshot("servers", 8, {"a": 1, "b": 1}))
    assert list_names(replica) == {"a"}
    # Later changes of the new source are applied to the newer state.
    assert not replica.apply(Changes("servers", 9, (("b", None),)))
    assert replica.apply(Changes("servers", 11, (("d", 1),)))
    assert list_names(replica) == {"a", "d"}
    assert len(applied) == 3


def test_unchanged_snapshot_is_not_passed_on():
    """A polled kind was passed on although it had not changed."""
    replica, applied = build_replica()
    replica.apply(Snapshot("config", 5, {"a": 1}))
    assert replica.apply(Snapshot("config", 6, {"a": 1}))
    assert len(applied) == 1
    assert not replica.apply(Snapshot("config", 5, {}))


@pytest.mark.parametrize(("age_s", "kept"), [(0.1, True), (STORE_RETURN_S, False)])
def test_entries_that_lapsed_in_an_outage_are_kept_temporarily(age_s, kept):
    """Running upstreams got no requests, as the store had removed their entries."""
    replica, _ = build_replica()
    replica.apply_list(Snapshot("servers", 5, {"a": 1, "b": 1}), 0.0)
    replica.record_store_return(10.0)
    listed = Snapshot("servers", 9, {"a": 2})
    # A real removal in that time must be known within 2.5 s, so the kind is listed as
    # soon as the entries are no longer kept.
    list_at = 10.0 + STORE_RETURN_S if kept else math.inf
    assert replica.apply_list(listed, 10.0 + age_s) == list_at
    assert list_names(replica) == ({"a", "b"} if kept else {"a"})
    removal = Changes("servers", 10, (("a", None),))
    assert replica.has_uncertain_removals(removal, 10.0 + age_s) is kept


def test_only_lapsing_kinds_are_kept():
    """Domains stayed out of service after operators had returned them to service."""
    replica, _ = build_replica()
    replica.apply_list(Snapshot("config", 5, {"a": 1}), 0.0)
    replica.record_store_return(10.0)
    assert replica.apply_list(Snapshot("config", 6, {}), 10.1) == math.inf
    assert list_names(replica, "config") == set()


def test_followers_get_applied_updates():
    """A follower got an update that the replica itself had ignored."""
    replica, applied = build_replica()
    passed_on = []
    replica.followers.append(passed_on.append)
    replica.apply(Snapshot("servers", 5, {}))
    replica.apply(Snapshot("servers", 4, {"a": 1}))
    replica.apply(Changes("servers", 6, (("b", 1),)))
    assert passed_on == applied
    assert len(passed_on) == 2
