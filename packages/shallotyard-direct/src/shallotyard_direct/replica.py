"""Local copies of the store's objects, read from the store or another instance."""

import math
from dataclasses import dataclass
from typing import Any

# Objects that lapsed during an outage of the store are used for this time after its
# return, as running writers write them again within it.
STORE_RETURN_S = 2.2
# Objects lapse after several missed heartbeats of their writers, so a shorter time
# without contact is no outage in which they could have.
MIN_OUTAGE_S = 1.5


@dataclass(slots=True, frozen=True)
class Snapshot:
    """All objects of a kind.

    :param revision: revision of the store at which they were read.
    :param items_by_name: objects as their writers encode them.
    :param era: life of the store; revisions of different lives have no order.
    """

    kind: str
    revision: int
    items_by_name: dict[str, Any]
    era: int = 0

    @property
    def position(self):
        """Return the life of the store and the revision in it, which have an order."""
        return self.era, self.revision


@dataclass(slots=True, frozen=True)
class Changes:
    """Changes to objects of a kind.

    :param revision: revision of the store after the changes.
    :param items: pairs of name and object; the object is None if it was removed.
    :param era: life of the store; revisions of different lives have no order.
    """

    kind: str
    revision: int
    items: tuple[tuple[str, Any], ...]
    era: int = 0

    @property
    def position(self):
        """Return the life of the store and the revision in it, which have an order."""
        return self.era, self.revision


@dataclass(slots=True, frozen=True)
class _KeptObject:
    """An object that is still used although the store has removed it.

    :param item: the object as it was last known.
    :param expires_at: time from which it is no longer used, in seconds.
    """

    item: Any
    expires_at: float


class Replica:
    """Copies of the store's objects, whose position never decreases. If the source
    changes, the new one may be behind the old one. Its updates are ignored until it
    has caught up, because a removed object must not reappear.

    A store that returns from an older copy begins a new life, in which revisions are
    given out again. The copy is then what the store says in its new life, which
    changes of an earlier life must not be mixed with.

    After an outage of the store, this instance goes on using objects that may have
    lapsed in it. They are not part of the copies: followers get only what the store
    has said, because they may know that such an object was really removed.

    :param kinds: kinds that are copied.
    :param lapsing_kinds: kinds whose objects the store removes in outages, though
        their writers are running.
    :param rewritten_kinds: kinds whose writers write their objects again after the
        store has returned from an older copy.
    :param handle_update: function that gets each applied `Snapshot` and `Changes`,
        without the removals of objects that are still used.
    """

    def __init__(self, kinds, lapsing_kinds, handle_update, rewritten_kinds=()):
        self.kinds = kinds
        self.lapsing_kinds = lapsing_kinds
        self.handle_update = handle_update
        self.snapshots_by_kind = {}
        self.rewritten_kinds = rewritten_kinds
        self.kept_by_kind = {kind: {} for kind in (*lapsing_kinds, *rewritten_kinds)}
        self.era = 0
        self.followers = []
        self.store_lost = False
        self.contact_at = -math.inf
        self.store_returned_at = -math.inf

    @property
    def is_complete(self):
        """Return whether all kinds are known."""
        return len(self.snapshots_by_kind) == len(self.kinds)

    def record_store_loss(self):
        """Record that the store does not answer this instance."""
        self.store_lost = True

    def record_contact(self, now):
        """Record that the store answers this instance or its source. This ends an
        outage, if neither had contact for `MIN_OUTAGE_S`.
        """
        if self.store_lost and now > self.contact_at + MIN_OUTAGE_S:
            self.store_returned_at = now
        self.store_lost = False
        self.contact_at = now

    def record_era(self, era, now):
        """Record the life of the store that an answer shows.

        :return: whether the store has returned from an older copy.
        """
        before, self.era = self.era, max(self.era, era)
        if era <= before or not self.snapshots_by_kind:
            return False
        self.store_returned_at = now
        return True

    def apply(self, update, now):
        """Apply a `Snapshot` or `Changes`, unless a newer position is known.

        :return: whether it was applied.
        """
        if update.era < self.era:
            return False
        self.record_era(update.era, now)
        before = self.snapshots_by_kind.get(update.kind)
        is_new_life = before is not None and update.era > before.era
        if isinstance(update, Snapshot):
            if before is not None and update.position < before.position:
                return False
            items = dict(update.items_by_name)
            if before is not None and before.position == update.position:
                return True
            if not is_new_life and before and items == before.items_by_name:
                # Polled kinds rarely change; an unchanged one is not passed on.
                self.snapshots_by_kind[update.kind] = update
                return True
        else:
            if before is None or is_new_life or update.position <= before.position:
                return False
            items = dict(before.items_by_name)
            for name, item in update.items:
                if item is None:
                    items.pop(name, None)
                else:
                    items[name] = item
        self.snapshots_by_kind[update.kind] = Snapshot(
            update.kind, update.revision, items, update.era
        )
        self.record_contact(now)
        if update.kind in self.kept_by_kind:
            items_before = {} if before is None else before.items_by_name
            self._keep_lapsed(update.kind, items_before, items, now, is_new_life)
        self._handle(update, before)
        for follower in list(self.followers):
            follower(update)
        return True

    def _handle(self, update, before):
        """Pass an update on, and restore the copy if this fails, because the same list
        must then be handled again.

        :param before: `Snapshot` before the update, None if there was none.
        """
        try:
            self.handle_update(self._restore_kept(update))
        except Exception:
            if before is None:
                del self.snapshots_by_kind[update.kind]
            else:
                self.snapshots_by_kind[update.kind] = before
            raise

    def _keep_lapsed(self, kind, before, after, now, is_new_life):
        """Keep the removed objects that may have lapsed in an outage, or that a copy of
        the store from before they were written lacks.
        """
        kept = self.kept_by_kind[kind]
        expires_at = self.store_returned_at + STORE_RETURN_S
        may_return = kind in self.lapsing_kinds or is_new_life
        if may_return and now < expires_at:
            for name in before.keys() - after:
                kept[name] = _KeptObject(before[name], expires_at)
        for name in kept.keys() & after:
            del kept[name]

    def _restore_kept(self, update):
        """Return an update without the removals of objects that are kept."""
        kept = self.kept_by_kind.get(update.kind)
        if not kept:
            return update
        if isinstance(update, Snapshot):
            items_by_name = {name: entry.item for name, entry in kept.items()}
            items_by_name |= update.items_by_name
            return Snapshot(update.kind, update.revision, items_by_name, update.era)
        items = tuple((name, item) for name, item in update.items if name not in kept)
        return Changes(update.kind, update.revision, items, update.era)

    def expire_kept(self, now):
        """Remove the kept objects that were not written again after the outage."""
        for kind, kept in self.kept_by_kind.items():
            expired = sorted(n for n, entry in kept.items() if now >= entry.expires_at)
            if not expired:
                continue
            for name in expired:
                del kept[name]
            items = tuple((name, None) for name in expired)
            era, revision = self.snapshots_by_kind[kind].position
            self.handle_update(Changes(kind, revision, items, era))
