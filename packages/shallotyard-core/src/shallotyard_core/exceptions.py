"""Exceptions of the project, all with the same base class."""


class ShallotyardError(Exception):
    """Base class of all exceptions raised by this project."""


class SettingsError(ShallotyardError):
    """Raised for an invalid settings file.

    :param path: path of the settings file.
    :param faults: one message per invalid value, with its position in the file.
    """

    def __init__(self, path, faults):
        self.path = path
        self.faults = tuple(faults)
        super().__init__(f"invalid settings {path!r}: " + "; ".join(self.faults))


class AssignmentFormatError(ShallotyardError):
    """Raised for an assignment object that cannot be decoded.

    :param region: region whose object is invalid.
    :param reason: why it cannot be decoded.
    """

    def __init__(self, region, reason):
        self.region = region
        super().__init__(f"invalid assignment object of region {region!r}: {reason}")


class InvariantError(ShallotyardError):
    """Raised when an operation would violate an invariant.

    :param invariant: name of the invariant or of the guarantee that it belongs to.
    :param detail: the values involved, without keys and bodies.
    """

    def __init__(self, invariant, detail):
        self.invariant = invariant
        super().__init__(f"invariant {invariant!r} violated: {detail}")


class ChunkedFormatError(ShallotyardError):
    """Raised for bytes that are no body in the chunked transfer coding."""
