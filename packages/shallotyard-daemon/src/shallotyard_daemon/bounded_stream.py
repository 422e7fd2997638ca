"""Non-blocking output stream with bounded memory."""

import os

# About one second of log lines under the heaviest load. The buffer is bounded because
# instances have little memory.
MAX_PENDING_BYTES = 1_048_576


class BoundedStream:
    """A text stream that drops lines if its reader is too slow.

    :param descriptor: file descriptor; it is set to non-blocking.
    :param limit: maximum number of buffered bytes.
    """

    def __init__(self, descriptor, limit=MAX_PENDING_BYTES):
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.limit = limit
        self.pending = bytearray()
        self.dropped_lines = 0

    def write(self, text):
        """Buffer complete lines, or drop and count them if the buffer is full."""
        data = text.encode("utf-8", "replace")
        if len(self.pending) + len(data) > self.limit:
            self.dropped_lines += text.count("\n")
            return
        self.pending += data

    def flush(self):
        """Write as much of the buffer as possible without blocking."""
        while self.pending:
            try:
                written = os.write(self.descriptor, self.pending[:65_536])
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the stream, so the error cannot be logged.
                self.dropped_lines += self.pending.count(b"\n")
                self.pending.clear()
                return
            del self.pending[:written]
