"""Tests of the granter lease with records that another writer may have written."""

import random

import orjson
import pytest

from shallotyard_direct.events import RecordWritten
from shallotyard_direct.events import WriteStatus
from shallotyard_direct.granter_lease import KIND
from shallotyard_direct.granter_lease import LEASE_DURATION_S
from shallotyard_direct.granter_lease import NAME
from shallotyard_direct.granter_lease import GranterLease

RECORD = {"instance": "front-9", "incarnation": "run-9", "term": 3, "era": 1}


def build_lease():
    """Return a lease of an instance that knows the record of another one."""
    lease = GranterLease("front-1", "run-1", random.Random(1), 9.9)
    lease.apply_record(7, RECORD, 10.0, 1)
    return lease


def acquire(lease, now):
    """Return the value that the lease writes by a time, None if it writes none."""
    effects = []
    lease.tick(now, effects)
    values = [effect.value for effect in effects if hasattr(effect, "value")]
    return values[0] if values else None


@pytest.mark.parametrize(
    "value",
    ["unreadable", 7, [], {}, {"era": 1}, {"instance": 7}, RECORD | {"incarnation": 1}],
)
def test_lease_with_an_odd_record_counts_as_free(value):
    """Guards against two instances that grant, as one takes a record that names no
    holder for a lease that was given up.
    """
    lease = build_lease()
    lease.apply_record(8, value, 11.0, 1)
    assert acquire(lease, 11.0 + LEASE_DURATION_S) is None
    assert acquire(lease, 16.0)["instance"] == "front-1"


@pytest.mark.parametrize("term", [2**64 - 1, 2**63, -5, 1e300, "4", True, None, [1]])
def test_odd_term(term):
    """Guards against a lease that cannot be written, as its term cannot be encoded."""
    lease = build_lease()
    lease.apply_record(8, RECORD | {"instance": "", "term": term}, 11.0, 1)
    assert acquire(lease, 16.0)["term"] == 4
    lease.tick(17.0, [])
    orjson.dumps(lease.term + 1)


@pytest.mark.parametrize(
    "ttl_s", [1e300, float("inf"), float("nan"), 1e6, -1e6, "9", True]
)
def test_odd_grant_ttl(ttl_s):
    """Guards against keys without an owner until an impossible grant has expired."""
    lease = build_lease()
    lease.apply_record(8, RECORD | {"longest_hold_s": ttl_s}, 11.0, 1)
    assert lease.recorded_grant_ttl_s == 9.9
    lease.apply_record(3, RECORD | {"longest_hold_s": ttl_s}, 12.0, 2)
    assert lease.recorded_grant_ttl_s == 9.9


@pytest.mark.parametrize("era", [2**64 - 1, 9, -1, 1e300, "1", True])
def test_odd_settled_life(era):
    """Guards against a life that counts as settled while grants are unknown."""
    lease = build_lease()
    lease.had_earlier_life = True
    lease.apply_record(8, RECORD | {"settled_era": era}, 11.0, 1)
    assert not lease.is_settled


def test_store_that_turns_writes_away_is_asked_at_every_tick():
    """Guards against a call in every tick of each instance that the store turns away,
    while it serves the others.
    """
    lease = build_lease()
    writes = 0
    for tick in range(160, 260):
        now = tick / 10
        effects = []
        lease.tick(now, effects)
        if any(hasattr(effect, "token") for effect in effects):
            writes += 1
            event = RecordWritten(
                now, KIND, NAME, "lease", WriteStatus.FAILED, began_at=now
            )
            lease.apply_write_result(event, now)
    # In 10 s: pauses of 0.3, 0.6 and 1.2 s, and then one of 2.4 s after each.
    assert writes <= 7
