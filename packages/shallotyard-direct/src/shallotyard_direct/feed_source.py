"""Selects the source of changes: the store or another instance.

One instance of each region reads the store. The first instance of each other
failure domain follows it, and the other instances follow the first one of their
domain. Calls to the store are paid for and limited, and with this scheme their number
grows more slowly than the fleet.

An instance that starts reads the list of instances first, and the store only if it is
to read it or no source has delivered a copy in time. When all instances of a large
fleet start, what each of them would list is the largest part of what the store sends.
"""

import math
from dataclasses import dataclass

from shallotyard_core.effects import LogDecision
from shallotyard_direct.effects import FollowInstance
from shallotyard_direct.effects import ListInstances
from shallotyard_direct.effects import ProbeStore
from shallotyard_direct.effects import UnfollowInstance
from shallotyard_direct.effects import UnwatchStore
from shallotyard_direct.effects import WatchStore

# A source is no longer followed if it has had no contact with the store for this long.
# Changes must be applied within 2.5 s after the store acknowledged them; the other half
# of that time is for reading them.
STALE_AFTER_S = 1.3
# Instances that are followed check at this period that the store answers.
PROBE_PERIOD_S = 0.6
# A new source is no longer followed if it sends no heartbeat for this long.
CONNECT_TIMEOUT_S = 2.5
# An instance that has just started waits this long for a copy of a source. Callers are
# sent elsewhere until it is ready.
START_WAIT_S = 1.5
# At a start, a source that refused a stream is followed once more after this time,
# because it may be starting as well.
START_RETRY_S = 0.2
# At a start, a source that has sent nothing for this long is taken for lost. Instances
# that are gone for good stay on the list.
START_CONNECT_S = 0.4
# Time between the own registration and the list that shows the instances which started
# at the same moment.
REGISTRATION_SPREAD_S = 0.5
# Reported as the age of a copy that has never been up to date.
NEVER_CURRENT_AGE_S = 1e6
# Largest relative difference between the clock rates of two instances.
MAX_CLOCK_DRIFT = 0.001
ORIGIN_STORE = "store"
SILENT = "silent"
# A former source is not followed again for this long.
SOURCE_AVOIDANCE_S = 10.0


@dataclass(slots=True, frozen=True)
class Member:
    """A registered instance of the router.

    :param domain: its failure domain.
    :param address: ``ip:port`` at which it serves other instances.
    """

    instance: str
    domain: str
    address: str


def decode_members(values):
    """Return the `Member` entries by id, from the records of instances.

    :param values: records by instance id; malformed ones are skipped.
    """
    members = {}
    for instance, value in values.items():
        value = value if isinstance(value, dict) else {}
        domain, address = value.get("domain"), value.get("address")
        if isinstance(domain, str) and isinstance(address, str):
            members[instance] = Member(instance, domain, address)
    return members


def choose_source(members, own_id, own_domain, region_by_domain, avoided):
    """Return the `Member` to follow, None if the store must be read. An instance
    follows the first one of its failure domain; the first one there follows the first
    one of its region. Both precede it in the order of domain and id, so that no two
    instances follow each other.

    :param members: collection of `Member`.
    :param avoided: ids of instances that must not be followed now.
    """
    own = (own_domain, own_id)
    region = region_by_domain.get(own_domain)
    earlier = sorted(
        (m.domain, m.instance, m)
        for m in members
        if region_by_domain.get(m.domain) == region
        and (m.domain, m.instance) < own
        and m.instance not in avoided
    )
    in_own_domain = [m for domain, _, m in earlier if domain == own_domain]
    if in_own_domain:
        return in_own_domain[0]
    return earlier[0][2] if earlier else None


class StreamDelay:
    """Measures how late the messages of a stream arrive. The clocks of two instances
    differ by an unknown time, so the fastest message counts as not delayed.
    """

    def __init__(self):
        self.offset_s = math.inf
        self.measured_at = -math.inf

    def measure(self, sent_at, received_at):
        """Return the delay of a message in seconds.

        :param sent_at: time of the sender's clock, in seconds.
        :param received_at: time of the own clock, in seconds.
        """
        offset_s = received_at - sent_at
        drift_s = MAX_CLOCK_DRIFT * (received_at - self.measured_at)
        if offset_s <= self.offset_s + drift_s:
            self.offset_s, self.measured_at = offset_s, received_at
            return 0.0
        return offset_s - self.offset_s - drift_s


class FeedSource:
    """The source of changes in use, and the decision to replace it.

    :param settings: the `DirectSettings`.
    """

    def __init__(self, settings):
        self.settings = settings
        self.members_by_id = {}
        self.followers = 0
        self.watching = False
        self.watches_complete = False
        # Time at which the copy was last known to be up to date, while no complete
        # watches keep it so.
        self.copy_current_at = -math.inf
        self.source = None
        self.source_ready = False
        self.source_last_seen_at = -math.inf
        self.source_fresh_at = -math.inf
        self.store_fresh_at = -math.inf
        self.probe_due_at = -math.inf
        self.avoid_until_by_id = {}
        # Time until which the first copy is awaited from a source, in seconds.
        self.start_ends_at = -math.inf
        self.list_due_at = math.inf
        self.is_registered = False
        self.refused_source = ""
        self.follow_due_at = -math.inf

    def begin(self, now):
        """Wait for a source before the store is read, as the instance has just
        started.
        """
        self.start_ends_at = now + START_WAIT_S
        self.list_due_at = now

    def record_registration(self, now):
        """List the instances again, if this one needs to know those that have started
        with it.
        """
        self.is_registered = True
        if self._is_starting(now):
            self.list_due_at = now + REGISTRATION_SPREAD_S

    def _is_starting(self, now):
        return now < self.start_ends_at and not (self.watching or self.source_ready)

    def _awaits_source(self, now):
        """Return whether a first copy may still come from another instance."""
        if not self._is_starting(now):
            return False
        if self._choose_source(now) is not None:
            return True
        is_listed = self.settings.instance in self.members_by_id
        return not is_listed and not self.avoid_until_by_id

    def get_origin(self):
        """Return the id of the instance that changes come from, ``store`` if they are
        read from the store.
        """
        if self.watching or self.source is None:
            return ORIGIN_STORE
        return self.source.instance

    def get_fresh_at(self):
        """Return the time at which the copy of the store's objects was last known to
        be up to date, in seconds. The answer to a call shows this only while all
        watches are open.
        """
        if not self.watching:
            return self.source_fresh_at
        return self.store_fresh_at if self.watches_complete else self.copy_current_at

    def tick(self, now, is_granter, effects):
        """Change the source if needed, and probe the store if due.

        :param is_granter: whether this instance grants keys. The granter reads the
            store itself, because it must detect an outage of the store before it
            receives the effects, such as the removal of entries.
        """
        if now >= self.list_due_at and self._is_starting(now):
            self.list_due_at = math.inf
            effects.append(ListInstances(current=self.is_registered))
        has_copy = self.watching or self.source_ready
        if not has_copy and (is_granter or not self._awaits_source(now)):
            self._watch(effects)
        if self.source is None:
            if not is_granter and now >= self.follow_due_at:
                self._follow(now, effects)
        elif is_granter:
            self._unfollow(now, "granter", effects)
        elif now > self.source_last_seen_at + self._get_silence_limit(now):
            self._unfollow(now, SILENT, effects)
        if now >= self.probe_due_at and self._needs_probe(now):
            self.probe_due_at = now + PROBE_PERIOD_S
            effects.append(ProbeStore())

    def _get_silence_limit(self, now):
        if self.source_ready:
            return STALE_AFTER_S
        return START_CONNECT_S if self._is_starting(now) else CONNECT_TIMEOUT_S

    def _needs_probe(self, now):
        if self._is_starting(now):
            return False
        if self.watching:
            return bool(self.followers) and now > self.store_fresh_at + PROBE_PERIOD_S
        return now > self.source_fresh_at + STALE_AFTER_S

    def _watch(self, effects):
        self.copy_current_at = self.get_fresh_at()
        self.watching = True
        self.watches_complete = False
        effects.append(WatchStore())

    def _choose_source(self, now):
        avoided = {i for i, until in self.avoid_until_by_id.items() if now < until}
        settings = self.settings
        return choose_source(
            self.members_by_id.values(),
            settings.instance,
            settings.domain,
            settings.region_by_domain,
            avoided,
        )

    def _follow(self, now, effects):
        source = self._choose_source(now)
        if source is None:
            return
        self.source = source
        self.source_last_seen_at = now
        effects.append(FollowInstance(source.instance, source.address))

    def _unfollow(self, now, reason, effects):
        source, self.source = self.source, None
        fields = {
            "source": source.instance,
            "heard_s": round(now - self.source_last_seen_at, 3),
            "fresh_s": round(now - self.source_fresh_at, 3),
        }
        effects.append(LogDecision("feed-left", reason, fields))
        effects.append(UnfollowInstance())
        if self._is_starting(now):
            is_first_refusal = reason != SILENT and (
                self.refused_source != source.instance
            )
            self.refused_source = source.instance
            if is_first_refusal:
                self.follow_due_at = now + START_RETRY_S
            else:
                self.avoid_until_by_id[source.instance] = now + SOURCE_AVOIDANCE_S
            return
        self.avoid_until_by_id[source.instance] = now + SOURCE_AVOIDANCE_S
        if not self.watching:
            self._watch(effects)
        self.source_ready = False

    def handle_heartbeat(self, event, effects):
        """Handle a heartbeat of the source."""
        now = event.now
        if self.source is None or self.source.instance != event.source:
            return
        self.source_last_seen_at = now
        self.source_fresh_at = now - event.age_s
        fresh = event.age_s <= STALE_AFTER_S
        if not fresh and event.complete and event.age_s < NEVER_CURRENT_AGE_S:
            # Its copy may lack removals, so the store is read at once. One that was
            # never current is that of a source which is starting as well.
            self.start_ends_at = now
        if not self.source_ready and fresh and event.complete:
            self.source_ready = True
            self.watching = False
            fields = {"source": event.source, "age_s": round(event.age_s, 3)}
            effects.append(LogDecision("feed", "followed", fields))
            effects.append(UnwatchStore())

    def handle_feed_loss(self, event, effects):
        """Handle the end of the stream from the source."""
        if self.source is not None and self.source.instance == event.source:
            self._unfollow(event.now, event.reason, effects)

    def handle_watches_change(self, event):
        """Handle a change of whether the watches are complete."""
        if not event.complete:
            self.copy_current_at = self.get_fresh_at()
        self.watches_complete = event.complete and self.watching

    def record_store_call(self, reachable, now, effects):
        """Record whether the store answered a call of this instance. If it did, a
        source that is behind the store is no longer followed.
        """
        if not reachable:
            return
        self.store_fresh_at = now
        if self.source_ready and now > self.source_fresh_at + STALE_AFTER_S:
            self._unfollow(now, "behind the store", effects)
