"""Compression of the control messages in one direction of a stream.

Consecutive heartbeats differ only in a few digits, so each message is compressed
with the preceding ones as context. As in RFC 7692, the four bytes that end each
flush are not sent.
"""

import zlib

from shallotyard_daemon.exceptions import PeerFormatError

# Larger messages are not compressed: compressing the object of a region for each
# of 57 members would block the event loop for a quarter of a second.
MAX_DEFLATED_BYTES = 16 * 1024
# A window of 8 KB holds the latest heartbeats. A compressor and a decompressor
# with these settings take 60 KB together.
_WINDOW_BITS = -13
_MEMORY_LEVEL = 5
_COMPRESSION_LEVEL = 6
_FLUSH_TRAILER = b"\x00\x00\xff\xff"


class Deflater:
    """Compresses the control messages of a stream, in the order of writing."""

    def __init__(self):
        self._state = zlib.compressobj(
            _COMPRESSION_LEVEL, zlib.DEFLATED, _WINDOW_BITS, _MEMORY_LEVEL
        )

    def deflate(self, envelope):
        """Compress the control message of an envelope in place.

        Its kind and sender are moved into the compressed payload. Relays and
        messages above `MAX_DEFLATED_BYTES` are left as they are.

        :param envelope: the `Envelope` that is written next.
        """
        if envelope.WhichOneof("body") != "control":
            return
        control = envelope.control
        if len(control.payload) > MAX_DEFLATED_BYTES:
            return
        header = f"{control.kind}\n{envelope.sender}\n".encode()
        compressed = self._state.compress(header + control.payload)
        compressed += self._state.flush(zlib.Z_SYNC_FLUSH)
        control.payload = compressed.removesuffix(_FLUSH_TRAILER)
        control.kind = ""
        envelope.sender = ""


class Inflater:
    """Decompresses the control messages of a stream, in the order of arrival."""

    def __init__(self):
        self._state = zlib.decompressobj(_WINDOW_BITS)

    def inflate(self, envelope):
        """Decompress the control message of an envelope in place.

        :param envelope: the `Envelope` that was received.
        :raises PeerFormatError: if the message is invalid; later messages of the
            stream cannot be decompressed then.
        """
        if envelope.WhichOneof("body") != "control" or envelope.control.kind:
            return
        control = envelope.control
        limit = 2 * MAX_DEFLATED_BYTES
        try:
            data = self._state.decompress(control.payload + _FLUSH_TRAILER, limit)
        except zlib.error as error:
            raise PeerFormatError(envelope.sender, str(error)) from error
        kind, _, rest = data.partition(b"\n")
        sender, separator, payload = rest.partition(b"\n")
        if not separator or self._state.unconsumed_tail or self._state.eof:
            raise PeerFormatError(
                envelope.sender, "compressed message is malformed or too large"
            )
        try:
            control.kind, envelope.sender = kind.decode(), sender.decode()
        except UnicodeDecodeError as error:
            raise PeerFormatError("", str(error)) from error
        control.payload = payload
