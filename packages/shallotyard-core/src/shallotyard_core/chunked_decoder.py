"""Decodes bodies in chunks, without I/O.

The load that this handles is callers with chunks of one byte. tornado awaits three
reads for each chunk, which takes several times as long.
"""

import re

from shallotyard_core.exceptions import ChunkedFormatError

# Chunk extensions are refused, as tornado does.
_SIZE_LINE = re.compile(rb"([0-9a-fA-F]{1,62})\r\n")
MAX_SIZE_LINE_BYTES = 64
_END = b"\r\n"


class ChunkedDecoder:
    """Decoder of one body.

    :ivar is_complete: whether the end of the body has been decoded.
    :ivar rest: bytes behind the end of the body.
    """

    def __init__(self):
        self.is_complete = False
        self.rest = b""
        # Bytes of the chunk in progress that have not arrived, its end not included.
        self._missing = 0
        # Whether the end of a chunk, or of the body, comes next.
        self._is_at_end = False
        self._is_last = False

    def decode(self, data):
        """Return the part of the body in the next bytes.

        :raises ChunkedFormatError: if they are malformed.
        """
        data = self.rest + data
        size = len(data)
        position = 0
        parts = []
        while position < size:
            if self._missing:
                part = data[position : position + self._missing]
                parts.append(part)
                position += len(part)
                self._missing -= len(part)
                self._is_at_end = not self._missing
            elif self._is_at_end:
                end = data[position : position + 2]
                if not _END.startswith(end):
                    raise ChunkedFormatError("improperly terminated chunk")
                if len(end) < len(_END):
                    break
                position += len(_END)
                self._is_at_end = False
                if self._is_last:
                    self.is_complete = True
                    break
            else:
                line = _SIZE_LINE.match(data, position)
                if line is None:
                    if _is_malformed(data, position):
                        raise ChunkedFormatError("invalid chunk size")
                    break
                position = line.end()
                self._missing = int(line[1], 16)
                self._is_at_end = self._is_last = not self._missing
        self.rest = data[position:]
        return b"".join(parts)


def _is_malformed(data, position):
    """Return whether more bytes cannot complete a size line."""
    line = data[position : position + MAX_SIZE_LINE_BYTES]
    return len(line) == MAX_SIZE_LINE_BYTES or _END in line
