"""Which instances are alive, and which of them reads the store for a domain."""

from dataclasses import dataclass

from shallotyard_core.messages import MemberAge
from shallotyard_core.timing import DEAD_AFTER_S

# A few restarts of each instance at the size that the design is for.
MAX_PAST_INCARNATIONS = 4096


@dataclass(slots=True)
class Member:
    """An instance as last heard of.

    :param heard_at: local time at which it was last known alive, in seconds.
    """

    instance_id: str
    incarnation: str
    domain: str
    address: str
    leaving: bool
    heard_at: float


@dataclass(slots=True, frozen=True)
class ListedInstance:
    """An entry of the platform's lagging instance list."""

    instance_id: str
    domain: str
    address: str
    leaving: bool


class Membership:
    """Liveness of all instances as seen by one of them.

    :param own: this instance.
    """

    def __init__(self, own):
        self.own = own
        self.members_by_id = {}
        self._past_heard_at = {}
        self.listed_by_id = {}

    def hear(self, age, now):
        """Record a direct or relayed observation of an instance.

        :param age: a `MemberAge`.
        :param now: current time in seconds.
        :return: whether the instance or its incarnation was unknown.
        """
        if age.instance_id == self.own.instance_id:
            return False
        heard_at = now - age.age_s
        known = self.members_by_id.get(age.instance_id)
        if known and known.heard_at >= heard_at:
            return False
        if known and known.incarnation != age.incarnation:
            past = (known.instance_id, known.incarnation)
            self._past_heard_at[past] = known.heard_at
            if len(self._past_heard_at) > MAX_PAST_INCARNATIONS:
                del self._past_heard_at[next(iter(self._past_heard_at))]
        self.members_by_id[age.instance_id] = Member(
            age.instance_id,
            age.incarnation,
            age.domain,
            age.address,
            age.leaving,
            heard_at,
        )
        return known is None or known.incarnation != age.incarnation

    def list_instances(self, listed):
        """Take over the platform's list; it only adds addresses to try."""
        self.listed_by_id = {
            entry.instance_id: entry
            for entry in listed
            if entry.instance_id != self.own.instance_id
        }

    def is_alive(self, instance_id, now):
        """Tell whether an instance was heard of recently; oneself always is."""
        if instance_id == self.own.instance_id:
            return True
        member = self.members_by_id.get(instance_id)
        return member is not None and now - member.heard_at <= DEAD_AFTER_S

    def alive(self, now):
        """Return the live members by id, this instance included."""
        live = {
            member.instance_id: member
            for member in self.members_by_id.values()
            if now - member.heard_at <= DEAD_AFTER_S
        }
        live[self.own.instance_id] = self.own
        return live

    def silence_s(self, instance_id, incarnation, now):
        """Return the seconds since an incarnation was last heard of.

        :return: ``None`` if this instance never heard of it.
        """
        member = self.members_by_id.get(instance_id)
        if member and member.incarnation == incarnation:
            return now - member.heard_at
        heard_at = self._past_heard_at.get((instance_id, incarnation))
        return None if heard_at is None else now - heard_at

    def incarnation_of(self, instance_id):
        """Return the last known incarnation of an instance, ``""`` if unknown."""
        if instance_id == self.own.instance_id:
            return self.own.incarnation
        member = self.members_by_id.get(instance_id)
        return member.incarnation if member else ""

    def address_of(self, instance_id):
        """Return the address of an instance for peers, ``""`` if unknown."""
        member = self.members_by_id.get(instance_id)
        if member:
            return member.address
        listed = self.listed_by_id.get(instance_id)
        return listed.address if listed else ""

    def readers_by_domain(self, now):
        """Return the instance that reads the store for each domain."""
        readers = {}
        for instance_id, member in sorted(self.alive(now).items()):
            if member.domain not in readers or self._prefer(readers, member):
                readers[member.domain] = instance_id
        return readers

    def _prefer(self, readers, member):
        current = readers[member.domain]
        current_leaving = (
            self.own.leaving
            if current == self.own.instance_id
            else self.members_by_id[current].leaving
        )
        return current_leaving and not member.leaving

    def silent_listed(self, now):
        """Return listed instances that are not known to be alive."""
        return [
            entry.instance_id
            for entry in self.listed_by_id.values()
            if not self.is_alive(entry.instance_id, now)
        ]

    def ages(self, now):
        """Return what to tell others: own state first, then live members."""
        own = self.own
        ages = [
            MemberAge(
                own.instance_id,
                own.incarnation,
                own.domain,
                own.address,
                own.leaving,
                0.0,
            )
        ]
        for member in self.members_by_id.values():
            age_s = now - member.heard_at
            if age_s <= DEAD_AFTER_S:
                ages.append(
                    MemberAge(
                        member.instance_id,
                        member.incarnation,
                        member.domain,
                        member.address,
                        member.leaving,
                        age_s,
                    )
                )
        return ages
