"""Local copies of the store's objects, read from the store or another instance."""

import math
from dataclasses import dataclass
from typing import Any

# Entries that lapsed during an outage of the store are kept for this time after its
# return, as running writers write them again within it. The others are removed then.
STORE_RETURN_S = 2.2


@dataclass(slots=True, frozen=True)
class Snapshot:
    """All objects of a kind.

    :param revision: revision of the store at which they were read.
    :param items_by_name: objects as their writers encode them.
    """

    kind: str
    revision: int
    items_by_name: dict[str, Any]


@dataclass(slots=True, frozen=True)
class Changes:
    """Changes to objects of a kind.

    :param revision: revision of the store after the changes.
    :param items: pairs of name and object; the object is None if it was removed.
    """

    kind: str
    revision: int
    items: tuple[tuple[str, Any], ...]


class Replica:
    """Copies of the store's objects, whose revision never decreases. If the source
    changes, the new one may be behind the old one. Its updates are ignored until it
    has caught up, because a removed object must not reappear.

    :param kinds: kinds that are copied.
    :param lapsing_kinds: kinds whose objects the store removes in outages, though
        their writers are running.
    :param handle_update: function that gets each applied `Snapshot` and `Changes`.
    """

    def __init__(self, kinds, lapsing_kinds, handle_update):
        self.kinds = kinds
        self.lapsing_kinds = lapsing_kinds
        self.handle_update = handle_update
        self.snapshots_by_kind = {}
        self.followers = []
        self.store_returned_at = -math.inf

    @property
    def is_complete(self):
        """Return whether all kinds are known."""
        return len(self.snapshots_by_kind) == len(self.kinds)

    def record_store_return(self, now):
        """Record that the store answers again after an outage."""
        self.store_returned_at = now

    def apply_list(self, snapshot, now):
        """Apply a list read from the store. For some time after an outage, objects of
        lapsing kinds that are missing in the list are kept.

        :return: time at which the kind must be listed again because missing objects
            were kept, in seconds; infinite if none were.
        """
        before = self.snapshots_by_kind.get(snapshot.kind)
        missing = {}
        if before is not None and self._may_have_lapsed(snapshot.kind, now):
            known = before.items_by_name
            missing = {n: known[n] for n in known.keys() - snapshot.items_by_name}
        if missing:
            items = missing | snapshot.items_by_name
            snapshot = Snapshot(snapshot.kind, snapshot.revision, items)
        self.apply(snapshot)
        return self.store_returned_at + STORE_RETURN_S if missing else math.inf

    def has_uncertain_removals(self, changes, now):
        """Return whether removals may be due to an outage of the store; if so, the
        kind must be listed.
        """
        removed = any(item is None for _, item in changes.items)
        return removed and self._may_have_lapsed(changes.kind, now)

    def _may_have_lapsed(self, kind, now):
        return (
            kind in self.lapsing_kinds and now < self.store_returned_at + STORE_RETURN_S
        )

    def apply(self, update):
        """Apply a `Snapshot` or `Changes`, unless a newer revision is known.

        :return: whether it was applied.
        """
        before = self.snapshots_by_kind.get(update.kind)
        if isinstance(update, Snapshot):
            if before is not None and update.revision < before.revision:
                return False
            items = dict(update.items_by_name)
            if before is not None and items == before.items_by_name:
                # Polled kinds rarely change; an unchanged one is not passed on.
                self.snapshots_by_kind[update.kind] = update
                return True
        else:
            if before is None or update.revision <= before.revision:
                return False
            items = before.items_by_name
            for name, item in update.items:
                if item is None:
                    items.pop(name, None)
                else:
                    items[name] = item
        self.snapshots_by_kind[update.kind] = Snapshot(
            update.kind, update.revision, items
        )
        self.handle_update(update)
        for follower in list(self.followers):
            follower(update)
        return True
