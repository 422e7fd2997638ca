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
    assert not replica.apply(Changes("servers", 4, (("a", 1),)), 0.0)
    replica.apply(Snapshot("servers", 5, {"a": 1, "b": 1}), 0.0)
    assert not replica.is_complete
    replica.apply(Snapshot("config", 5, {}), 0.0)
    assert replica.is_complete
    assert replica.apply(Changes("servers", 7, (("a", None), ("c", 1))), 0.0)
    assert not replica.apply(Changes("servers", 7, (("a", 1),)), 0.0)
    assert list_names(replica) == {"b", "c"}
    assert len(applied) == 3


def test_older_snapshot_is_ignored():
    """After a change of the source, a removed object reappeared."""
    replica, applied = build_replica()
    replica.apply(Snapshot("servers", 5, {"a": 1, "b": 1}), 0.0)
    replica.apply(Changes("servers", 9, (("b", None),)), 0.0)
    assert not replica.apply(Snapshot("servers", 8, {"a": 1, "b": 1}), 0.0)
    assert list_names(replica) == {"a"}
    # Later changes of the new source are applied to the newer state.
    assert not replica.apply(Changes("servers", 9, (("b", None),)), 0.0)
    assert replica.apply(Changes("servers", 11, (("d", 1),)), 0.0)
    assert list_names(replica) == {"a", "d"}
    assert len(applied) == 3


def test_unchanged_snapshot_is_not_passed_on():
    """A polled kind was passed on although it had not changed."""
    replica, applied = build_replica()
    replica.apply(Snapshot("config", 5, {"a": 1}), 0.0)
    assert replica.apply(Snapshot("config", 6, {"a": 1}), 0.0)
    assert len(applied) == 1
    assert not replica.apply(Snapshot("config", 5, {}), 0.0)


def list_used_names(applied):
    """Return the names of the upstreams in use after the applied updates."""
    names = set()
    for update in applied:
        if isinstance(update, Snapshot):
            names = set(update.items_by_name)
            continue
        for name, item in update.items:
            names = names - {name} if item is None else names | {name}
    return names


LAPSES = (
    Snapshot("servers", 9, {"a": 2}),
    Changes("servers", 9, (("a", 2), ("b", None))),
)


@pytest.mark.parametrize("lapse", LAPSES)
@pytest.mark.parametrize(("age_s", "kept"), [(0.1, True), (STORE_RETURN_S, False)])
def test_entries_that_lapsed_in_an_outage_are_kept_temporarily(age_s, kept, lapse):
    """Running upstreams got no requests, as the store had removed their entries."""
    replica, applied = build_replica()
    replica.apply(Snapshot("servers", 5, {"a": 1, "b": 1}), 0.0)
    replica.record_store_loss()
    replica.record_contact(10.0)
    replica.apply(lapse, 10.0 + age_s)
    assert list_used_names(applied) == ({"a", "b"} if kept else {"a"})
    # The copy that followers get is what the store said, whether or not it is kept.
    assert list_names(replica) == {"a"}
    replica.expire_kept(10.0 + STORE_RETURN_S - 0.01)
    assert list_used_names(applied) == ({"a", "b"} if kept else {"a"})
    replica.expire_kept(10.0 + STORE_RETURN_S)
    # A real removal in that time must be in force within 2.5 s.
    assert list_used_names(applied) == {"a"}


@pytest.mark.parametrize("lapse", LAPSES)
def test_kept_entries_are_not_passed_on(lapse):
    """Followers that knew a removal sent requests to the removed upstream again."""
    source, _ = build_replica()
    follower, applied = build_replica()
    source.apply(Snapshot("servers", 5, {"a": 1, "b": 1}), 0.0)
    follower.apply(Snapshot("servers", 8, {"a": 1}), 0.0)
    source.followers.append(lambda update: follower.apply(update, 10.0))
    source.record_store_loss()
    source.record_contact(10.0)
    source.apply(lapse, 10.0)
    assert list_used_names(applied) == {"a"}
    # The same holds for a follower whose stream begins now.
    follower.apply(source.snapshots_by_kind["servers"], 10.0)
    assert list_used_names(applied) == {"a"}


def test_follower_keeps_entries_that_lapsed_in_an_outage_of_its_own():
    """Followers had no upstreams for two seconds after an outage of the store."""
    follower, applied = build_replica()
    follower.apply(Snapshot("servers", 5, {"a": 1, "b": 1}), 0.0)
    follower.record_store_loss()
    follower.apply(Snapshot("servers", 9, {"a": 1}), 10.0)
    assert list_used_names(applied) == {"a", "b"}
    follower.expire_kept(10.0 + STORE_RETURN_S)
    assert list_used_names(applied) == {"a"}


def test_contact_with_the_store_ends_the_outage_of_a_follower():
    """An upstream that left long after an outage was used for two seconds more."""
    follower, applied = build_replica()
    follower.apply(Snapshot("servers", 5, {"a": 1, "b": 1}), 0.0)
    follower.record_store_loss()
    follower.record_contact(10.0)
    follower.apply(Changes("servers", 9, (("b", None),)), 10.0 + STORE_RETURN_S)
    assert list_used_names(applied) == {"a"}


def test_follower_with_contact_through_its_source_has_no_outage():
    """An upstream that left was used for two seconds more, as a follower whose source
    was up to date could not reach the store itself.
    """
    follower, applied = build_replica()
    follower.apply(Snapshot("servers", 5, {"a": 1, "b": 1}), 0.0)
    follower.record_contact(9.0)
    follower.record_contact(9.4)
    follower.record_store_loss()
    follower.apply(Changes("servers", 9, (("b", None),)), 9.6)
    assert list_used_names(applied) == {"a"}


def test_kept_entry_that_is_written_again_stays():
    """An upstream that was back after an outage got no requests."""
    replica, applied = build_replica()
    replica.apply(Snapshot("servers", 5, {"a": 1, "b": 1}), 0.0)
    replica.record_store_loss()
    replica.record_contact(10.0)
    replica.apply(Snapshot("servers", 9, {"a": 1}), 10.1)
    replica.apply(Changes("servers", 10, (("b", 2),)), 10.5)
    replica.expire_kept(10.0 + STORE_RETURN_S)
    assert list_used_names(applied) == {"a", "b"}


def test_later_outages_do_not_extend_the_use_of_a_kept_entry():
    """An upstream that had left was used as long as a store failed time and again."""
    replica, applied = build_replica()
    replica.apply(Snapshot("servers", 5, {"a": 1, "b": 1}), 0.0)
    for returned_at in (10.0, 12.0):
        replica.record_store_loss()
        replica.record_contact(returned_at)
        replica.apply(Snapshot("servers", 9, {"a": returned_at}), returned_at)
    replica.expire_kept(10.0 + STORE_RETURN_S)
    assert list_used_names(applied) == {"a"}


def test_only_lapsing_kinds_are_kept():
    """Domains stayed out of service after operators had returned them to service."""
    replica, applied = build_replica()
    replica.apply(Snapshot("config", 5, {"a": 1}), 0.0)
    replica.record_store_loss()
    replica.record_contact(10.0)
    assert replica.apply(Snapshot("config", 6, {}), 10.1)
    assert list_used_names(applied) == set()
    assert list_names(replica, "config") == set()
    # Nothing is due later.
    updates = len(applied)
    replica.expire_kept(math.inf)
    assert len(applied) == updates


def test_followers_get_applied_updates():
    """A follower got an update that the replica itself had ignored."""
    replica, applied = build_replica()
    passed_on = []
    replica.followers.append(passed_on.append)
    replica.apply(Snapshot("servers", 5, {}), 0.0)
    replica.apply(Snapshot("servers", 4, {"a": 1}), 0.0)
    replica.apply(Changes("servers", 6, (("b", 1),)), 0.0)
    assert passed_on == applied
    assert len(passed_on) == 2


def test_returned_store_is_followed_although_its_revisions_are_lower():
    """Guards against a copy that stays as it was until the revisions of the returned
    store exceed those before.
    """
    updates, passed_on = [], []
    replica = Replica(("config",), (), updates.append)
    replica.followers.append(passed_on.append)
    replica.apply(Snapshot("config", 50, {"a": 1}, 1), 0.0)
    # Changes of a new life do not belong to the copy of the earlier one.
    assert not replica.apply(Changes("config", 51, (("b", 2),), 2), 1.0)
    assert replica.apply(Snapshot("config", 20, {"a": 1}, 2), 1.1)
    assert replica.apply(Changes("config", 21, (("b", 2),), 2), 1.2)
    assert replica.snapshots_by_kind["config"].items_by_name == {"a": 1, "b": 2}
    # Followers need the unchanged snapshot as well, or they miss what follows it.
    assert [update.era for update in passed_on] == [1, 2, 2]
    assert not replica.apply(Snapshot("config", 99, {}, 1), 1.3)


def test_objects_that_a_copy_lacks_are_used_until_they_are_written_again():
    """Guards against running upstreams that get nothing after the store's return."""
    updates = []
    kind = "servers"
    replica = Replica((kind,), (), updates.append, (kind,))
    replica.apply(Snapshot(kind, 50, {"a": 1, "new": 2}, 1), 0.0)
    replica.apply(Snapshot(kind, 20, {"a": 1}, 2), 5.0)
    assert updates[-1].items_by_name == {"a": 1, "new": 2}
    replica.expire_kept(5.0 + STORE_RETURN_S)
    assert updates[-1] == Changes(kind, 20, (("new", None),), 2)
