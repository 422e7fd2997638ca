"""Errors of the daemon."""

from shallotyard_core.exceptions import ShallotyardError


class PeerFormatError(ShallotyardError):
    """Raised for a message of another instance that cannot be decoded.

    :param sender: instance id in the envelope.
    :param reason: what is wrong with the message.
    """

    def __init__(self, sender, reason):
        self.sender = sender
        super().__init__(f"invalid message from instance {sender!r}: {reason}")
