"""The lease, kept in the store, under which one instance at a time grants keys."""

import math

from shallotyard_direct.effects import ReadRecord
from shallotyard_direct.effects import WriteRecord
from shallotyard_direct.events import WriteStatus

KIND = "granters"
NAME = "main"
# The holder stops granting this long after the last confirmed renewal. Together with
# the TTL of the last grants this covers store outages of about 12 s.
LEASE_DURATION_S = 4.0
# Maximum difference between the rates of two clocks, as a fraction.
MAX_CLOCK_DRIFT = 0.02
# Covers the transit of the last grant, and timers that fire late.
TAKEOVER_MARGIN_S = 0.5
# Also bounds the time until a watch that has lost its history is noticed.
RENEWAL_PERIOD_S = 1.2
READ_PERIOD_S = 1.0
# If the watch shows no renewal for this long, the record is read, which also shows
# whether the store answers.
WATCH_TIMEOUT_S = 3.0
# An instance that has resigned does not acquire the lease again for this long.
RESIGNATION_PAUSE_S = 10.0
# Random delay, so that instances do not try to acquire the lease at the same moment.
START_JITTER_S = 0.6
# Pause after an attempt to acquire the lease that the store did not carry out, doubled
# with each further one. Many instances may be turned away at the same time, and each
# call is paid for.
INITIAL_ACQUIRE_PAUSE_S = 0.3
MAX_ACQUIRE_PAUSE_S = 2.4
# Holder in a record that names none. Somebody may have the lease, so that it is not
# free until it would have expired.
UNKNOWN_HOLDER = "?"
# Higher terms and lives are invalid. The store takes integers of 64 bits.
MAX_NUMBER = 1 << 53
# Waiting for the end of longer grants would leave keys without an owner.
MAX_RECORDED_TTL_S = 60.0


class GranterLease:
    """Acquires, renews and resigns the granter lease.

    :param instance: id of this instance.
    :param incarnation: unique id of this run of the process.
    :param rng: a ``random.Random``.
    :param max_grant_ttl_s: maximum grant TTL of this instance, in seconds.
    """

    def __init__(self, instance, incarnation, rng, max_grant_ttl_s):
        self.max_grant_ttl_s = max_grant_ttl_s
        self.recorded_grant_ttl_s = max_grant_ttl_s
        self.instance = instance
        self.incarnation = incarnation
        self.rng = rng
        self.revision = None
        self.era = 0
        # Since when the life of the store is known, and whether there was an earlier
        # one.
        self.life_known_at = -math.inf
        self.had_earlier_life = False
        # Whether the record was written in an earlier life of the store. What was
        # written since is gone, so that another instance may hold the lease.
        self.is_outdated = False
        # Newest life of the store in which all grants of earlier ones have expired or
        # are known to the holder.
        self.settled_era = 0
        # Whether this instance has held the lease since the earlier life of the store.
        self.knows_all_grants = False
        self.holder = ""
        self.holder_incarnation = ""
        self.term = 0
        # Term of the record, and of the one that the own acquisition replaced; 0 if it
        # is unknown.
        self.record_term = 0
        self.former_term = 0
        self.proposed_term = 0
        self.replaced_term = 0
        self.record_seen_at = -math.inf
        self.valid_until = -math.inf
        self.writing = False
        self.read_due_at = -math.inf
        self.renew_due_at = -math.inf
        self.paused_until = -math.inf
        self.confirmed_at = -math.inf
        self.proposed_holder = ""
        self.proposed_era = 0
        self.acquire_not_before = -math.inf
        self.acquire_pause_s = INITIAL_ACQUIRE_PAUSE_S
        self.active = False

    def start(self, now):
        """Schedule the first read of the record and the first attempt to acquire."""
        self.acquire_not_before = self.read_due_at = (
            now + self.rng.random() * START_JITTER_S
        )

    def is_held(self, now):
        """Return whether this instance may grant keys."""
        return now < self.valid_until

    @property
    def is_settled(self):
        """Return whether no grants of earlier lives of the store are unknown."""
        return self.settled_era >= self.era

    @property
    def is_own(self):
        """Return whether the record names this run of the process as the holder."""
        return self.holder_incarnation == self.incarnation

    def tick(self, now, effects):
        """Renew the own lease, or acquire or read that of another instance."""
        if self.writing:
            return
        if self.is_own:
            if now >= self.renew_due_at:
                self._write(now, effects)
            return
        if self.revision is not None and self._may_acquire(now):
            self.term += 1
            self._write(now, effects)
        elif now >= max(self.read_due_at, self.record_seen_at + WATCH_TIMEOUT_S):
            self.read_due_at = now + READ_PERIOD_S * (0.8 + 0.4 * self.rng.random())
            effects.append(ReadRecord(KIND, NAME))

    def _may_acquire(self, now):
        if now < max(self.paused_until, self.acquire_not_before):
            return False
        if self.holder in ("", self.instance) and not self.is_outdated:
            # A previous run of this process has ended and cannot grant.
            return True
        return (
            now
            >= self.record_seen_at
            + LEASE_DURATION_S * (1 + MAX_CLOCK_DRIFT)
            + TAKEOVER_MARGIN_S
        )

    def _write(self, now, effects, holder=None):
        self.writing = True
        self.renew_due_at = now + RENEWAL_PERIOD_S
        self.proposed_holder = self.instance if holder is None else holder
        self.proposed_era = self.era
        self.proposed_term = self.term
        self.replaced_term = self.record_term
        value = {
            "instance": self.proposed_holder,
            "incarnation": self.incarnation if self.proposed_holder else "",
            "term": self.term,
            "longest_hold_s": self.max_grant_ttl_s,
            "era": self.era,
            "settled_era": self.settled_era,
            # Makes every renewal a change that the other instances' watches show.
            "renewal": self.rng.getrandbits(32),
        }
        effects.append(WriteRecord(KIND, NAME, value, self.revision, "lease"))

    def apply_record(self, revision, value, now, era=0):
        """Apply the record as received from the store.

        :param era: life of the store to which the revision belongs.
        """
        if self.revision is not None and (era, revision) <= (self.era, self.revision):
            # This also skips a stale copy from before the record was created.
            return
        is_new_life = self.revision is not None and era > self.era
        was_settled = self.is_settled or self.knows_all_grants
        if self.revision is None or is_new_life:
            self.life_known_at = now
        # A removed record must be created again.
        self.revision = revision if value is not None else 0
        self.era = era
        self.record_seen_at = now
        self.is_outdated = is_new_life or (
            value is not None and _get_era(value, "era", 0) < self.era
        )
        if self.is_outdated:
            self.had_earlier_life = True
            self.record_term = 0
            self._apply_outdated_record(value, now)
            self.knows_all_grants = self.is_held(now) and was_settled
            return
        if not self.is_held(now):
            self.knows_all_grants = False
            known_era = 0 if self.had_earlier_life else self.era
            record_era = _get_era(value, "era", known_era)
            settled_era = _get_era(value, "settled_era", known_era)
            # A record cannot know of a later life than its own.
            self.settled_era = settled_era if settled_era <= record_era else 0
            self.had_earlier_life |= not self.is_settled
        before = self.holder
        self.holder, self.holder_incarnation = _get_holder(value)
        ttl_s = _get_grant_ttl(value)
        if ttl_s is not None and not self.is_own:
            self.recorded_grant_ttl_s = max(ttl_s, self.max_grant_ttl_s)
        self.record_term = _get_term(value)
        self.term = max(self.term, self.record_term)
        if before and not self.holder:
            # All instances see at the same moment that the lease is free.
            self.acquire_not_before = now + self.rng.random() * START_JITTER_S
        if not self.is_own:
            self.active = False
            self.valid_until = -math.inf

    def _apply_outdated_record(self, value, now):
        """Apply a record of an earlier life of the store. Nobody can have acquired the
        lease while this instance held it, so the holder writes the record again. The
        others wait as long as they would after a renewal.
        """
        ttl_s = _get_grant_ttl(value)
        if ttl_s is not None:
            self.recorded_grant_ttl_s = max(ttl_s, self.recorded_grant_ttl_s)
        if now < self.valid_until:
            self.holder, self.holder_incarnation = self.instance, self.incarnation
            self.renew_due_at = now
            return
        self.holder = self.holder_incarnation = ""
        self.active = False
        self.valid_until = -math.inf

    def apply_write_result(self, event, now):
        """Handle the result of a write.

        :return: whether this instance has just acquired the lease.
        """
        self.writing = False
        if event.status is WriteStatus.DONE and event.era != self.proposed_era:
            # Written under a condition on a revision of an earlier life.
            value = {"era": self.proposed_era}
            self.apply_record(event.revision, value, now, event.era)
            return False
        if event.status in (WriteStatus.DONE, WriteStatus.CONFLICT):
            self.acquire_pause_s = INITIAL_ACQUIRE_PAUSE_S
        elif not self.is_own:
            self.acquire_not_before = now + self.acquire_pause_s
            self.acquire_pause_s = min(MAX_ACQUIRE_PAUSE_S, 2 * self.acquire_pause_s)
        if event.status is WriteStatus.DONE:
            self.is_outdated = False
            self.revision = event.revision
            self.record_seen_at = now
            self.holder = self.proposed_holder
            self.holder_incarnation = self.incarnation if self.holder else ""
            self.record_term = self.proposed_term
            if not self.is_own:
                return False
            if not self.active:
                self.former_term = self.replaced_term
            self.confirmed_at = event.began_at
            self.valid_until = event.began_at + LEASE_DURATION_S
            acquired, self.active = not self.active, True
            return acquired
        if event.status is WriteStatus.CONFLICT:
            self.apply_record(event.revision, event.value, now, event.era)
            # The record is the own one if an earlier write took effect without a
            # known result.
            self.renew_due_at = now
        elif event.status is WriteStatus.FAILED or self.is_own:
            self.renew_due_at = now + 0.3
            self.read_due_at = min(self.read_due_at, now + 0.5)
        return False

    def pause_acquiring(self, until):
        """Leave the lease to other instances until a time, in seconds."""
        self.paused_until = max(self.paused_until, until)

    def resign(self, now, effects, pause_s=RESIGNATION_PAUSE_S):
        """Stop granting, and let another instance acquire the lease at once.

        :param pause_s: time for which this instance does not acquire it, in seconds.
        """
        self.valid_until = -math.inf
        self.active = False
        self.paused_until = now + pause_s
        if self.is_own and not self.writing:
            self.holder = self.holder_incarnation = ""
            self._write(now, effects, "")


def _get_era(value, name, default):
    """Return a life of the store that a record names."""
    era = value.get(name, default) if isinstance(value, dict) else default
    return era if type(era) is int and 0 <= era <= MAX_NUMBER else default


def _get_holder(value):
    """Return the holder that a record names, and its incarnation."""
    if value is None:
        return "", ""
    value = value if isinstance(value, dict) else {}
    holder, incarnation = value.get("instance"), value.get("incarnation", "")
    if not isinstance(holder, str) or not isinstance(incarnation, str):
        return UNKNOWN_HOLDER, ""
    return holder, incarnation


def _get_grant_ttl(value):
    """Return the longest grant TTL that a record names in seconds, None if unknown."""
    ttl_s = value.get("longest_hold_s") if isinstance(value, dict) else None
    is_number = type(ttl_s) in (int, float)
    return ttl_s if is_number and 0 <= ttl_s <= MAX_RECORDED_TTL_S else None


def _get_term(value):
    """Return the term of a record, 0 if it names none."""
    term = value.get("term") if isinstance(value, dict) else 0
    return term if type(term) is int and 0 <= term <= MAX_NUMBER else 0
