"""Standard output that never blocks and never grows without bound."""

import os

# About a second of lines under the heaviest load; memory is small.
MAX_PENDING_BYTES = 1_048_576


class BoundedStream:
    """A text stream that drops what its reader does not take in time.

    :param descriptor: file descriptor, which becomes non-blocking.
    :param limit: bytes that may wait for the reader.
    """

    def __init__(self, descriptor, limit=MAX_PENDING_BYTES):
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.limit = limit
        self.pending = bytearray()
        self.dropped_lines = 0

    def write(self, text):
        """Take whole lines; those beyond the limit are dropped and counted."""
        data = text.encode("utf-8", "replace")
        if len(self.pending) + len(data) > self.limit:
            self.dropped_lines += text.count("\n")
            return
        self.pending += data

    def flush(self):
        """Write as much as the reader takes now."""
        while self.pending:
            try:
                written = os.write(self.descriptor, self.pending[:65_536])
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone; there is nobody to tell.
                self.dropped_lines += self.pending.count(b"\n")
                self.pending.clear()
                return
            del self.pending[:written]
