"""Tests of instances while the store returns from an older copy."""

import random

from direct_builders import build_configuration
from direct_builders import build_settings
from direct_builders import build_upstream

from shallotyard_core.events import Tick
from shallotyard_direct import events
from shallotyard_direct.effects import WriteRecord
from shallotyard_direct.events import WriteStatus
from shallotyard_direct.granter_lease import GranterLease
from shallotyard_direct.key_table import KeyRange
from shallotyard_direct.key_table import KeyTable
from shallotyard_direct.key_table import encode_table
from shallotyard_direct.model import MAX_KEY
from shallotyard_direct.owners import Owners
from shallotyard_direct.router import INSTANCES_KIND
from shallotyard_direct.router import DirectRouter
from shallotyard_direct.router import reduce
from shallotyard_direct.upstream_events import CRASHES_KIND

RECORD = {"instance": "front-9", "incarnation": "run-9", "term": 3, "era": 1}


def build_lease():
    """Return a lease of an instance that knows the record of another one."""
    lease = GranterLease("front-1", "run-1", random.Random(1), 9.9)
    lease.apply_record(7, RECORD, 10.0, 1)
    return lease


def start():
    """Return a router that knows an upstream."""
    router = DirectRouter.from_settings(build_settings(), "run-1", 0.0, 1)
    reduce(router, events.ConfigurationReceived(0.0, build_configuration()))
    reduce(router, events.UpstreamsListed(0.0, [build_upstream("u1")], 9, 1))
    return router


def list_writes(effects, kind):
    """Return the writes of records of a kind."""
    return [e for e in effects if isinstance(e, WriteRecord) and e.kind == kind]


def test_free_lease_of_an_older_copy_is_not_acquired_at_once():
    """Two instances granted, because an older copy showed the lease as free."""
    lease = build_lease()
    lease.apply_record(3, {"instance": "", "term": 2, "era": 1}, 12.0, 2)
    effects = []
    lease.tick(16.5, effects)
    assert not list_writes(effects, "granters")
    lease.tick(16.7, effects)
    assert list_writes(effects, "granters")


def test_holder_writes_the_lease_again_after_the_store_returned():
    """The holder lost the lease, and keys were not renewed for seconds."""
    lease = build_lease()
    lease.apply_record(8, None, 12.0, 1)
    effects = []
    lease.tick(13.0, effects)
    done = events.RecordWritten(
        13.1, "granters", "main", "lease", WriteStatus.DONE, 13.0, 9, None, 1
    )
    assert lease.apply_write_result(done, 13.1)
    lease.apply_record(5, RECORD, 14.0, 2)
    assert lease.is_held(14.0)
    effects = []
    lease.tick(14.0, effects)
    assert [(w.revision, w.value["era"]) for w in effects] == [(5, 2)]


def test_write_that_took_effect_in_another_life_does_not_confirm_the_lease():
    """A late write with a revision that was given out again confirmed a lease."""
    lease = build_lease()
    lease.apply_record(8, None, 12.0, 1)
    lease.tick(13.0, [])
    assert lease.writing
    done = events.RecordWritten(
        13.1, "granters", "main", "lease", WriteStatus.DONE, 13.0, 9, None, 2
    )
    assert not lease.apply_write_result(done, 13.1)
    assert not lease.is_held(13.1)


def test_older_table_does_not_replace_the_known_one():
    """Requests went to former owners after the store had returned from a copy."""
    owners = Owners()
    new = KeyTable("status", 50, 9, (KeyRange(0, MAX_KEY, "u2", 1, 8),))
    old = KeyTable("status", 60, 5, (KeyRange(0, MAX_KEY, "u1", 1, 3),))
    assert owners.apply_table(new, 1.0)
    assert not owners.apply_table(old, 2.0)
    assert owners.find_range("status", 7).upstream_id == "u2"


def test_late_write_of_an_earlier_life_does_not_replace_the_known_table():
    """A write of an earlier life took effect in the current one, because its revision
    was given out again. Keys went back to a former owner with a lower fence.
    """
    router = start()
    old = KeyTable("status", 0, 5, (KeyRange(0, MAX_KEY, "u1", 1, 3),))
    new = KeyTable("status", 0, 9, (KeyRange(0, MAX_KEY, "u2", 1, 8),))
    for revision, table in ((8, new), (9, old)):
        value = encode_table(table)
        event = events.RecordReceived(1.0, "key-tables", "status", revision, value, 2)
        reduce(router, event)
    service = router.granter.services_by_id["status"]
    assert [state.owner for state in service.range_states] == [("u2", 1)]
    assert (service.revision, service.known_next_fence) == (9, 9)


def test_upstream_that_left_does_not_return_with_an_older_copy():
    """Requests reached upstreams that an older copy showed before they left."""
    router = start()
    leaving = build_upstream("u1", leaving=True)
    reduce(router, events.UpstreamChanged(1.0, "u1", leaving, 10))
    reduce(router, events.StoreReturned(5.0, 2))
    reduce(router, events.UpstreamsListed(5.1, [build_upstream("u1")], 4, 2))
    assert not router.directory.list_in_service("status")
    # Another incarnation is a new upstream.
    started = build_upstream("u1", started_ms=2)
    reduce(router, events.UpstreamChanged(6.0, "u1", started, 6))
    assert router.directory.list_in_service("status") == [started]


def test_upstream_whose_entry_lapsed_is_used_again_if_it_lives_on():
    """A running upstream got nothing for good after the store's return."""
    router = start()
    reduce(router, events.UpstreamChanged(1.0, "u1", None, 10))
    reduce(router, events.StoreReturned(5.0, 2))
    reduce(router, events.UpstreamsListed(5.1, [build_upstream("u1")], 4, 2))
    assert not router.directory.list_in_service("status")
    reduce(router, Tick(8.9))
    assert not router.directory.list_in_service("status")
    reduce(router, Tick(9.0))
    assert router.directory.list_in_service("status")


def test_own_records_are_written_again_after_the_store_returned():
    """Instances and crashes that the store had forgotten were never written again."""
    router = start()
    router.crash_records_by_name["c"] = {"fingerprint": "f"}
    own_id = router.settings.instance
    reduce(router, events.RecordsListed(1.0, INSTANCES_KIND, {own_id: {}}))
    router.registered = True
    effects = reduce(router, events.StoreReturned(5.0, 2))
    assert list_writes(effects, CRASHES_KIND)
    assert list_writes(reduce(router, Tick(5.05)), INSTANCES_KIND)


def test_members_that_an_older_copy_lacks_are_still_counted():
    """Each instance took a larger share of rates after the store had returned."""
    router = start()
    records = {f"front-{n}": {} for n in range(9)}
    reduce(router, events.RecordsListed(1.0, INSTANCES_KIND, records))
    reduce(router, events.RecordsListed(6.0, INSTANCES_KIND, {"front-1": {}}))
    assert router.dispatcher.placement.instance_count == 9


def test_ended_incarnation_of_an_older_copy_replaces_the_running_one():
    """Keys of a running owner were granted to another one as those of an ended one."""
    router = start()
    restarted = build_upstream("u1", started_ms=2)
    reduce(router, events.UpstreamChanged(1.0, "u1", restarted, 10))
    reduce(router, events.StoreReturned(5.0, 2))
    reduce(router, events.UpstreamsListed(5.1, [build_upstream("u1")], 4, 2))
    assert router.directory.list_in_service("status") == [restarted]
    # It is not used either when the running one is gone.
    reduce(router, events.UpstreamChanged(5.2, "u1", None, 5))
    reduce(router, events.StoreReturned(6.0, 3))
    reduce(router, events.UpstreamsListed(6.1, [build_upstream("u1")], 4, 3))
    assert not router.directory.list_in_service("status")
