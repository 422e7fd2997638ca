"""Views of the live instances of each failure domain, exchanged by heartbeats.

Each failure domain has a reader: the instance that polls the store for it and
publishes the view of its live members.
"""

from dataclasses import dataclass
from dataclasses import field

import xxhash

from shallotyard_core.messages import MemberAge
from shallotyard_core.timing import DEAD_AFTER_S
from shallotyard_core.timing import DIRECT_CONTACT_WINDOW_S
from shallotyard_core.timing import READER_REPLY_TIMEOUT_S
from shallotyard_core.timing import TICK_S

# A new reader waits this long for the view of the previous reader.
INHERITED_VIEW_WAIT_S = 0.5
# A running reader refreshes its view with each heartbeat, every 250 ms, so a longer
# gap means that the process was paused.
MAX_REFRESH_GAP_S = 0.5


@dataclass(slots=True)
class DomainView:
    """The live members of a failure domain as published by its reader.

    :param digest: digest of the members.
    :param known_at: local time for which the view is known, in seconds.
    :param members: a `MemberAge` of each live member.
    """

    digest: str
    known_at: float
    members: list[MemberAge]


@dataclass(slots=True)
class PeerKnowledge:
    """The views that another instance listed in its last message.

    :param digests_by_domain: digest of each view.
    :param known_at_by_domain: local time for which it knows each view, in seconds.
    """

    digests_by_domain: dict[str, str] = field(default_factory=dict)
    known_at_by_domain: dict[str, float] = field(default_factory=dict)


def digest_members(members):
    """Return the digest of the live members of a failure domain.

    :param members: objects with the identity fields of a `MemberAge`.
    """
    lines = sorted(
        f"{each.instance_id}\0{each.incarnation}\0{each.address}\0{each.leaving:d}"
        for each in members
    )
    return xxhash.xxh3_64_hexdigest("\n".join(lines).encode())


class DomainViews:
    """Views of all failure domains, and which of them each peer has.

    Only the reader of a failure domain creates new views of it, from the messages
    of its members; all other instances relay views with their age. Otherwise two
    instances could confirm a dead one to each other indefinitely.

    :param membership: the `Membership` that the views update.
    """

    def __init__(self, membership):
        self.membership = membership
        self.views_by_domain = {}
        self.knowledge_by_peer_id = {}
        self._reader_since = None
        self._publishing_since = None
        self._refreshed_at = float("-inf")
        self._last_message_at = float("-inf")

    def refresh(self, now):
        """Update the view of the own failure domain if this instance is its reader.

        :param now: current time in seconds.
        """
        membership = self.membership
        own = membership.own
        if membership.find_own_reader(now) != own.instance_id:
            self._reader_since = self._publishing_since = None
            self._refreshed_at = now
            return
        if now - self._refreshed_at > MAX_REFRESH_GAP_S:
            # No messages were received during a pause of this process, so silence
            # does not show that a member is dead.
            self._reader_since = self._publishing_since = None
            self.views_by_domain.pop(own.domain, None)
        self._refreshed_at = now
        if self._reader_since is None:
            self._reader_since = now
        view = self.views_by_domain.get(own.domain)
        if self._publishing_since is None:
            if view is None and now < self._reader_since + INHERITED_VIEW_WAIT_S:
                return
            self._publishing_since = now
        elif now - view.known_at < TICK_S and not membership.members_changed:
            return
        membership.members_changed = False
        alive = [
            MemberAge(
                each.instance_id,
                each.incarnation,
                each.domain,
                each.address,
                each.leaving,
                0.0,
            )
            for each in (own, *self._find_live_members(now))
        ]
        view = DomainView(digest_members(alive), now, alive)
        self.views_by_domain[own.domain] = view

    def _find_live_members(self, now):
        """Return members with a recent direct contact, and inherited members."""
        inherited_ids = {
            member.instance_id for member in self.find_inherited_members(now)
        }
        return [
            member
            for member in self.membership.members_by_id.values()
            if member.domain == self.membership.own.domain
            and (
                member.instance_id in inherited_ids
                or now - member.last_direct_contact_at <= DIRECT_CONTACT_WINDOW_S
            )
        ]

    def find_inherited_members(self, now):
        """Return members that this reader knows only from the previous reader.

        They count as alive for the time that they may need to find this reader.

        :param now: current time in seconds.
        :return: list of `Member`.
        """
        since = self._publishing_since
        if since is None or now - since >= DIRECT_CONTACT_WINDOW_S:
            return []
        return [
            member
            for member in self.membership.members_by_id.values()
            if member.domain == self.membership.own.domain
            and since - member.last_seen_at <= DEAD_AFTER_S
            and now - member.last_direct_contact_at > DIRECT_CONTACT_WINDOW_S
            and not self.membership.is_unresponsive(member.instance_id, now)
        ]

    @property
    def publishes_view(self):
        """Whether this instance publishes the view of its failure domain."""
        return self._publishing_since is not None

    def build_update(self, peer, now):
        """Return the part of a message that brings a peer's views up to date.

        :param peer: `PeerKnowledge` of the peer.
        :param now: current time in seconds.
        :return: digests by domain, ages in ms by domain, ids of the domains whose
            members are listed, and the `MemberAge` of these members.
        """
        self.refresh(now)
        digests, ages_ms, listed, members = {}, {}, [], []
        for domain, view in self.views_by_domain.items():
            age_s = now - view.known_at
            if age_s > self.membership.get_dead_after_s(domain):
                continue
            digests[domain] = view.digest
            ages_ms[domain] = round(age_s * 1000)
            differs = peer.digests_by_domain.get(domain) != view.digest
            newer = view.known_at > peer.known_at_by_domain.get(domain, float("-inf"))
            if differs and newer:
                listed.append(domain)
                members += view.members
        return digests, ages_ms, listed, members

    def apply_message(self, message, sent_digests, now, sender_returned=False):
        """Apply the views in a heartbeat or its reply.

        :param message: the `Heartbeat` or `HeartbeatReply`.
        :param sent_digests: digests of the heartbeat that a reply belongs to; the
            reply omits those that are equal.
        :param now: current time in seconds.
        :param sender_returned: whether the sender was silent or has restarted.
        """
        sender = message.member
        if self.publishes_view and now - self._last_message_at > READER_REPLY_TIMEOUT_S:
            # This reader was isolated, so its members may have switched to another
            # reader. Recently seen members count as inherited again.
            self._publishing_since = now
        self._last_message_at = now
        digests = {d: sent_digests.get(d, "") for d in message.ages_ms}
        digests.update(message.digests)
        known_at = {d: now - ms / 1000.0 for d, ms in message.ages_ms.items()}
        self.knowledge_by_peer_id[sender.instance_id] = PeerKnowledge(digests, known_at)
        if sender_returned:
            # The sender has had no recent contact with its members. It receives
            # them from the views listed in the next message.
            self.knowledge_by_peer_id[sender.instance_id] = PeerKnowledge()
        members_by_domain = {domain: [] for domain in message.listed}
        for member in message.members:
            members_by_domain.setdefault(member.domain, []).append(member)
        for domain, at in known_at.items():
            if self._accepts_view_from(sender, domain, now):
                members = members_by_domain.get(domain)
                self._apply_view(domain, digests[domain], at, members, now)

    def _accepts_view_from(self, sender, domain, now):
        """Tell whether a sender's view of a domain may replace the known one.

        A member that alone cannot reach its live reader publishes a view of its own
        that lacks the other members; so does a reader that was isolated itself.
        """
        if sender.domain != domain:
            return True
        members_by_id = self.membership.members_by_id
        if now < members_by_id[sender.instance_id].reader_eligible_at:
            return False
        reader_id = self.membership.find_readers_by_domain(now).get(domain)
        if reader_id in (None, sender.instance_id, self.membership.own.instance_id):
            return True
        reader = members_by_id[reader_id]
        silent = now - reader.last_direct_contact_at > READER_REPLY_TIMEOUT_S
        return silent or now < reader.reader_eligible_at

    def _apply_view(self, domain, digest, known_at, members, now):
        """Apply a newer view of a domain, or a newer confirmation of the known one."""
        membership = self.membership
        if domain == membership.own.domain and self.publishes_view:
            self._import_members(members or (), known_at, now)
            return
        view = self.views_by_domain.get(domain)
        if view is not None and known_at <= view.known_at:
            return
        if members is not None:
            view = DomainView(digest_members(members), known_at, members)
            self.views_by_domain[domain] = view
            present = {member.instance_id for member in members}
            membership.limit_last_seen(domain, present, known_at)
        elif view is not None and view.digest == digest:
            view.known_at = known_at
        else:
            return
        for member in view.members:
            member.age_s = now - known_at
            membership.record_relayed_contact(member, now)

    def _import_members(self, members, known_at, now):
        """Add members of the own failure domain from the view of another reader."""
        view = self.views_by_domain[self.membership.own.domain]
        present = {member.instance_id for member in view.members}
        for member in members:
            member.age_s = now - known_at
            self.membership.record_relayed_contact(member, now)
            if member.instance_id not in present:
                self._publishing_since = now
                self.membership.members_changed = True
