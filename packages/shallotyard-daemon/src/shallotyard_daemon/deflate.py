"""Compresses the control messages of one direction of a stream.

Consecutive heartbeats differ in a few digits. Each message is deflated with the
messages before it as context, and without the four bytes that end each flush, as in
RFC 7692.
"""

import zlib

from shallotyard_daemon.exceptions import PeerFormatError

# Deflating the object of a region for each of 57 members would stop the loop for
# a quarter of a second.
MAX_DEFLATED_BYTES = 16 * 1024
# A window of 8 KB holds the last heartbeats; a pair of states takes 60 KB.
_WINDOW_BITS = -13
_MEMORY_LEVEL = 5
_COMPRESSION_LEVEL = 6
_FLUSH_TRAILER = b"\x00\x00\xff\xff"


class Deflater:
    """Compresses control messages in the order in which they are written."""

    def __init__(self):
        self._state = zlib.compressobj(
            _COMPRESSION_LEVEL, zlib.DEFLATED, _WINDOW_BITS, _MEMORY_LEVEL
        )

    def deflate(self, envelope):
        """Compress the control message of an envelope, unless it is large.

        :param envelope: the envelope, changed in place.
        """
        if envelope.WhichOneof("body") != "control":
            return
        control = envelope.control
        if len(control.payload) > MAX_DEFLATED_BYTES:
            return
        header = f"{control.kind}\n{envelope.sender}\n".encode()
        text = self._state.compress(header + control.payload)
        text += self._state.flush(zlib.Z_SYNC_FLUSH)
        control.payload = text.removesuffix(_FLUSH_TRAILER)
        control.kind = ""
        envelope.sender = ""


class Inflater:
    """Restores the control messages of a stream in the order of their arrival."""

    def __init__(self):
        self._state = zlib.decompressobj(_WINDOW_BITS)

    def inflate(self, envelope):
        """Restore the control message of an envelope.

        :param envelope: the envelope, changed in place.
        :raises PeerFormatError: if it cannot be read; neither can later ones.
        """
        if envelope.WhichOneof("body") != "control" or envelope.control.kind:
            return
        control = envelope.control
        limit = 2 * MAX_DEFLATED_BYTES
        try:
            text = self._state.decompress(control.payload + _FLUSH_TRAILER, limit)
        except zlib.error as error:
            raise PeerFormatError(envelope.sender, str(error)) from error
        kind, _, rest = text.partition(b"\n")
        sender, separator, payload = rest.partition(b"\n")
        if not separator or self._state.unconsumed_tail or self._state.eof:
            raise PeerFormatError(envelope.sender, "compressed message without end")
        try:
            control.kind, envelope.sender = kind.decode(), sender.decode()
        except UnicodeDecodeError as error:
            raise PeerFormatError("", str(error)) from error
        control.payload = payload
