"""Copies of store objects, of which the newest revision is kept."""

from dataclasses import dataclass

from shallotyard_core.messages import ObjectCopy

MANIFEST = "manifest"
SERVICE_STATE = "service-state"


@dataclass(slots=True)
class CachedObject:
    """The newest known copy of a store object.

    :param revision: revision inside the object; it only grows.
    :param body: JSON text.
    """

    revision: int
    body: str


class ObjectCache:
    """Newest known objects by name."""

    def __init__(self):
        self.objects_by_name = {}

    def revisions(self):
        """Return the known revision by object name."""
        return {name: copy.revision for name, copy in self.objects_by_name.items()}

    def revision(self, name):
        """Return the known revision of an object, -1 if none is known."""
        copy = self.objects_by_name.get(name)
        return copy.revision if copy else -1

    def put(self, name, revision, body):
        """Keep a copy if it is newer; older copies never replace newer ones.

        :return: whether it was newer.
        """
        if revision <= self.revision(name):
            return False
        self.objects_by_name[name] = CachedObject(revision, body)
        return True

    def list_newer_copies(self, revisions):
        """Return copies of the objects that are newer than given revisions.

        :param revisions: revisions known to another instance, by name.
        """
        return [
            ObjectCopy(name, copy.revision, copy.body)
            for name, copy in self.objects_by_name.items()
            if copy.revision > revisions.get(name, -1)
        ]
