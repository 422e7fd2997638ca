"""Exceptions raised by the daemon."""

from shallotyard_core.exceptions import ShallotyardError


class PeerFormatError(ShallotyardError):
    """Raised if a message from another instance cannot be decoded.

    :param sender: instance id given in the envelope.
    :param reason: description of the fault.
    """

    def __init__(self, sender, reason):
        self.sender = sender
        super().__init__(f"invalid message from instance {sender!r}: {reason}")
