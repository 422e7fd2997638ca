"""Objects of the store as this instance knows them, from whichever source."""

import math
from dataclasses import dataclass
from typing import Any

# Entries that lapsed while the store was down are back within this time after its
# return, and are taken as gone if they are not.
STORE_RETURN_S = 2.2


@dataclass(slots=True, frozen=True)
class Snapshot:
    """All objects of a kind.

    :param revision: revision of the store that they reflect.
    :param items_by_name: objects as their writers encode them.
    """

    kind: str
    revision: int
    items_by_name: dict[str, Any]


@dataclass(slots=True, frozen=True)
class Changes:
    """Changes to objects of a kind.

    :param revision: revision of the store that the kind reflects afterwards.
    :param items: pairs of name and object, None for one that was removed.
    """

    kind: str
    revision: int
    items: tuple[tuple[str, Any], ...]


class Replica:
    """Copies of objects that only move forward.

    Sources are switched when one of them falls behind, so a copy may come from
    one that has seen less than the one before. It is left out then: a removed
    object must not come back.

    :param kinds: kinds that are copied.
    :param lapsing_kinds: kinds whose objects the store removes in outages,
        though their writers live.
    :param handle_update: function that takes each `Snapshot` and `Changes` put in force.
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
        """Remember that the store answers again after an outage."""
        self.store_returned_at = now

    def apply_list(self, snapshot, now):
        """Use objects as the store itself lists them.

        :return: when the kind must be listed again, because missing objects were
            kept; infinite if none were.
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
        """Return whether removals may only show that the store was away.

        The kind must be listed then.
        """
        removed = any(item is None for _, item in changes.items)
        return removed and self._may_have_lapsed(changes.kind, now)

    def _may_have_lapsed(self, kind, now):
        return (
            kind in self.lapsing_kinds and now < self.store_returned_at + STORE_RETURN_S
        )

    def apply(self, update):
        """Use a `Snapshot` or `Changes`, unless more is known already.

        :return: whether it was put in force.
        """
        before = self.snapshots_by_kind.get(update.kind)
        if isinstance(update, Snapshot):
            if before is not None and update.revision < before.revision:
                return False
            items = dict(update.items_by_name)
            if before is not None and items == before.items_by_name:
                # Polled kinds rarely change.
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
