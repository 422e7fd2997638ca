"""Local copies of store objects, each at its newest known revision."""

from dataclasses import dataclass

from shallotyard_core.messages import ObjectCopy

MANIFEST = "manifest"
SERVICE_STATE = "service-state"


@dataclass(slots=True)
class CachedObject:
    """The newest known copy of a store object.

    :param revision: revision inside the object, which only increases.
    :param body: JSON text.
    """

    revision: int
    body: str


class ObjectCache:
    """The newest known copies of store objects, by name."""

    def __init__(self):
        self.objects_by_name = {}

    def list_revisions(self):
        """Return the known revisions by object name."""
        return {name: copy.revision for name, copy in self.objects_by_name.items()}

    def get_revision(self, name):
        """Return the known revision of an object, -1 if there is none."""
        copy = self.objects_by_name.get(name)
        return copy.revision if copy else -1

    def put(self, name, revision, body):
        """Store a copy if its revision is newer than the cached one.

        :param name: name of the store object.
        :param revision: revision of the copy.
        :param body: JSON text of the copy.
        :return: whether the copy was stored.
        """
        if revision <= self.get_revision(name):
            return False
        self.objects_by_name[name] = CachedObject(revision, body)
        return True

    def list_newer_copies(self, revisions):
        """Return copies of the objects that another instance has in older revisions.

        :param revisions: revisions known to that instance, by name.
        :return: list of `ObjectCopy`.
        """
        return [
            ObjectCopy(name, copy.revision, copy.body)
            for name, copy in self.objects_by_name.items()
            if copy.revision > revisions.get(name, -1)
        ]
