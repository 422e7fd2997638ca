"""Liveness of the instances, and the reader of each failure domain."""

from dataclasses import dataclass

from shallotyard_core.messages import MemberAge
from shallotyard_core.timing import DEAD_AFTER_S
from shallotyard_core.timing import DIRECT_CONTACT_WINDOW_S
from shallotyard_core.timing import INTER_REGION_DEAD_AFTER_S
from shallotyard_core.timing import READER_REPLY_TIMEOUT_S
from shallotyard_core.timing import READER_RETURN_DELAY_S

# Enough for a few restarts of each instance at the design size.
MAX_PAST_INCARNATIONS = 4096
_NEVER = float("-inf")


@dataclass(slots=True)
class Member:
    """Known state of an instance.

    :param domain: failure domain.
    :param address: address for messages of other instances.
    :param leaving: whether it is shutting down gracefully.
    :param last_seen_at: local time at which it was last known alive, in seconds.
    :param last_direct_contact_at: local time of its own last message, in seconds.
    :param reader_eligible_at: local time from which it may be a reader again after
        a silence, in seconds.
    """

    instance_id: str
    incarnation: str
    domain: str
    address: str
    leaving: bool
    last_seen_at: float
    last_direct_contact_at: float = _NEVER
    reader_eligible_at: float = _NEVER


class Membership:
    """Liveness of all instances as seen by one of them.

    :param own: the `Member` of this instance.
    """

    def __init__(self, own):
        self.own = own
        self.members_by_id = {}
        self._past_last_seen_at = {}
        self.listed_by_id = {}
        self.other_region_domains = frozenset()
        self.members_changed = False
        self._targeted_at_by_id = {}

    def record_relayed_contact(self, member_age, now):
        """Record an observation of an instance by another instance.

        :param member_age: the `MemberAge` of the observed instance.
        :param now: current time in seconds.
        :return: whether the instance or its incarnation was unknown.
        """
        if member_age.instance_id == self.own.instance_id:
            return False
        last_seen_at = now - member_age.age_s
        known = self.members_by_id.get(member_age.instance_id)
        if known and known.last_seen_at >= last_seen_at:
            return False
        # A relayed observation may concern the previous incarnation.
        restarted = known is not None and known.incarnation != member_age.incarnation
        if restarted and known.last_direct_contact_at > last_seen_at - DEAD_AFTER_S:
            return False
        return self._replace_member(member_age, last_seen_at, known)

    def record_direct_contact(self, member_age, now):
        """Record a message that an instance sent itself.

        :param member_age: the `MemberAge` of the sender.
        :param now: current time in seconds.
        :return: whether the instance or its incarnation was unknown.
        """
        if member_age.instance_id == self.own.instance_id:
            return False
        known = self.members_by_id.get(member_age.instance_id)
        was_silent = not self.is_alive(member_age.instance_id, now)
        is_new = self._replace_member(member_age, now, known)
        member = self.members_by_id[member_age.instance_id]
        member.last_direct_contact_at = now
        if is_new or was_silent:
            member.reader_eligible_at = now + READER_RETURN_DELAY_S
        self.members_changed |= is_new or known.leaving != member_age.leaving
        return is_new

    def _replace_member(self, member_age, last_seen_at, known):
        restarted = known is not None and known.incarnation != member_age.incarnation
        if restarted:
            past = (known.instance_id, known.incarnation)
            self._past_last_seen_at[past] = known.last_seen_at
            if len(self._past_last_seen_at) > MAX_PAST_INCARNATIONS:
                del self._past_last_seen_at[next(iter(self._past_last_seen_at))]
        self.members_by_id[member_age.instance_id] = Member(
            member_age.instance_id,
            member_age.incarnation,
            member_age.domain,
            member_age.address,
            member_age.leaving,
            last_seen_at,
            _NEVER if known is None or restarted else known.last_direct_contact_at,
            _NEVER if known is None else known.reader_eligible_at,
        )
        return known is None or restarted

    def replace_instance_list(self, listed):
        """Replace the platform's instance list.

        The list only provides addresses to probe; it does not affect liveness.

        :param listed: list of `ListedInstance`.
        """
        self.listed_by_id = {
            entry.instance_id: entry
            for entry in listed
            if entry.instance_id != self.own.instance_id
        }

    def limit_last_seen(self, domain, present, known_at):
        """Lower the last-seen time of members that are missing in a reader's view.

        :param domain: failure domain of the view.
        :param present: ids of the instances in the view.
        :param known_at: local time for which the view is known, in seconds.
        """
        view_seen_at = known_at - DIRECT_CONTACT_WINDOW_S
        for member in self.members_by_id.values():
            if member.domain == domain and member.instance_id not in present:
                max_seen_at = max(view_seen_at, member.last_direct_contact_at)
                member.last_seen_at = min(member.last_seen_at, max_seen_at)

    def get_dead_after_s(self, domain):
        """Return the silence in seconds after which an instance counts as dead."""
        return (
            INTER_REGION_DEAD_AFTER_S
            if domain in self.other_region_domains
            else DEAD_AFTER_S
        )

    def is_alive(self, instance_id, now):
        """Tell whether an instance was seen recently; this instance always is."""
        if instance_id == self.own.instance_id:
            return True
        member = self.members_by_id.get(instance_id)
        return member is not None and self._is_live(member, now)

    def _is_live(self, member, now):
        return now - member.last_seen_at <= self.get_dead_after_s(member.domain)

    def find_live_members(self, now):
        """Return the live members by id, including this instance."""
        live = {
            member.instance_id: member
            for member in self.members_by_id.values()
            if self._is_live(member, now)
        }
        live[self.own.instance_id] = self.own
        return live

    def find_silence_s(self, instance_id, incarnation, now):
        """Return the seconds since an incarnation was last seen.

        :param instance_id: id of the instance.
        :param incarnation: the incarnation.
        :param now: current time in seconds.
        :return: the silence in seconds, ``None`` if the incarnation is unknown.
        """
        member = self.members_by_id.get(instance_id)
        if member and member.incarnation == incarnation:
            return now - member.last_seen_at
        last_seen_at = self._past_last_seen_at.get((instance_id, incarnation))
        return None if last_seen_at is None else now - last_seen_at

    def find_incarnation(self, instance_id):
        """Return the last known incarnation of an instance, ``""`` if unknown."""
        if instance_id == self.own.instance_id:
            return self.own.incarnation
        member = self.members_by_id.get(instance_id)
        return member.incarnation if member else ""

    def find_address(self, instance_id):
        """Return the address for messages to an instance, ``""`` if unknown."""
        member = self.members_by_id.get(instance_id)
        if member:
            return member.address
        listed = self.listed_by_id.get(instance_id)
        return listed.address if listed else ""

    def find_readers_by_domain(self, now):
        """Return the instance id of the reader by failure domain."""
        best = {}
        for instance_id, member in self.find_live_members(now).items():
            rank = (member.leaving, instance_id)
            if member.domain not in best or rank < best[member.domain]:
                best[member.domain] = rank
        readers = {domain: instance_id for domain, (_, instance_id) in best.items()}
        readers[self.own.domain] = self.find_own_reader(now)
        return readers

    def find_own_reader(self, now):
        """Return the reader of the own failure domain.

        It is the first live instance that replies to this instance's heartbeats, by
        instance id, with leaving instances last.
        """
        return self._find_reader_candidates(now)[-1]

    def _find_reader_candidates(self, now):
        """Return the reader of the own domain, preceded by unresponsive ones."""
        own = self.own
        live = [
            (member.leaving, member.instance_id)
            for member in self.members_by_id.values()
            if member.domain == own.domain and self._is_live(member, now)
        ]
        candidates = []
        for _, instance_id in sorted([*live, (own.leaving, own.instance_id)]):
            candidates.append(instance_id)
            if not self.is_unresponsive(instance_id, now):
                break
        return candidates

    def is_unresponsive(self, instance_id, now):
        """Tell whether an instance does not reply to heartbeats.

        This stays true for a short time after a silence; see `READER_RETURN_DELAY_S`.
        """
        if instance_id not in self._targeted_at_by_id:
            return False
        member = self.members_by_id[instance_id]
        if now < member.reader_eligible_at:
            return True
        return self.is_silent(instance_id, self._targeted_at_by_id[instance_id], now)

    def is_silent(self, instance_id, targeted_at, now):
        """Tell whether an instance sent nothing for over `READER_REPLY_TIMEOUT_S`.

        :param instance_id: id of the instance.
        :param targeted_at: time since which heartbeats are sent to it, in seconds.
        :param now: current time in seconds.
        """
        last = max(self.members_by_id[instance_id].last_direct_contact_at, targeted_at)
        return now - last > READER_REPLY_TIMEOUT_S

    def update_reader_targets(self, now):
        """Return the reader candidates to send a heartbeat to, and record them.

        :param now: current time in seconds.
        :return: instance ids, all of the own failure domain.
        """
        targets = self._find_reader_candidates(now)
        previous_targets = self._targeted_at_by_id
        self._targeted_at_by_id = {
            instance_id: previous_targets.get(instance_id, now)
            for instance_id in targets
            if instance_id != self.own.instance_id
        }
        targets = set(self._targeted_at_by_id)
        for instance_id, targeted_at in previous_targets.items():
            if self.is_silent(instance_id, targeted_at, now):
                self._targeted_at_by_id.setdefault(instance_id, targeted_at)
        return targets

    def list_unseen_instances(self, now):
        """Return ids of instances on the platform's list that are not alive here."""
        return [
            entry.instance_id
            for entry in self.listed_by_id.values()
            if not self.is_alive(entry.instance_id, now)
        ]

    def build_own_member_age(self):
        """Return the `MemberAge` of this instance for its messages."""
        own = self.own
        return MemberAge(
            own.instance_id,
            own.incarnation,
            own.domain,
            own.address,
            own.leaving,
            0.0,
        )
