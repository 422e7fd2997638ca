"""Decodes bodies in chunks, of requests and of responses, without I/O.

The load that this handles is callers with chunks of one byte. tornado awaits three
reads for each chunk, which takes several times as long. Responses are decoded here
because libcurl accepts malformed chunks.
"""

import re

from shallotyard_core.exceptions import ChunkedFormatError
from shallotyard_core.response_head import is_field_line

# Chunk extensions are refused in requests, as tornado does.
_SIZE_LINE = re.compile(rb"([0-9a-fA-F]{1,62})\r\n")
MAX_SIZE_LINE_BYTES = 64
_EXTENDED_SIZE_LINE = re.compile(
    rb"([0-9a-fA-F]{1,16})[ \t]{0,64}(?:;[^\x00-\x08\x0a-\x1f\x7f]{0,4000})?\r\n"
)
# Size lines with extensions, and lines of trailers.
MAX_EXTENDED_LINE_BYTES = 4096
MAX_TRAILER_BYTES = 65_536
_END = b"\r\n"


class ChunkedDecoder:
    """Decoder of one body.

    :param accepts_extensions: whether chunk extensions and trailers are accepted and
        left out. Otherwise they are malformed.
    :ivar chunk_count: number of chunks that have begun, the last one included.
    :ivar is_complete: whether the end of the body has been decoded.
    :ivar rest: bytes behind the end of the body.
    """

    def __init__(self, accepts_extensions=False):
        self.chunk_count = 0
        self.is_complete = False
        self.rest = b""
        self._accepts_extensions = accepts_extensions
        if accepts_extensions:
            self._size_line = _EXTENDED_SIZE_LINE
            self._max_line_bytes = MAX_EXTENDED_LINE_BYTES
        else:
            self._size_line = _SIZE_LINE
            self._max_line_bytes = MAX_SIZE_LINE_BYTES
        self._trailer_bytes = 0
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
        while position < size and not self.is_complete:
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
                self.is_complete = self._is_last
            elif self._is_last:
                end = self._read_trailer(data, position)
                if end == position:
                    break
                position = end
            else:
                line = self._size_line.match(data, position)
                if line is None:
                    if self._has_line(data, position):
                        raise ChunkedFormatError("invalid chunk size")
                    break
                position = line.end()
                self.chunk_count += 1
                self._missing = int(line[1], 16)
                self._is_last = not self._missing
                self._is_at_end = self._is_last and not self._accepts_extensions
        self.rest = data[position:]
        return b"".join(parts)

    def _read_trailer(self, data, position):
        """Skip a line behind the last chunk, and return the position behind it, or the
        same one if its end has not arrived.
        """
        if not self._has_line(data, position):
            return position
        end = data.find(b"\n", position, position + self._max_line_bytes) + 1
        line = data[position:end]
        self._trailer_bytes += len(line)
        self.is_complete = line == _END
        is_valid = self.is_complete or (line.endswith(_END) and is_field_line(line))
        if not is_valid or self._trailer_bytes > MAX_TRAILER_BYTES:
            raise ChunkedFormatError("invalid trailer")
        return end

    def _has_line(self, data, position):
        """Return whether a line ends in the data, or is too long."""
        line = data[position : position + self._max_line_bytes]
        return len(line) == self._max_line_bytes or b"\n" in line
