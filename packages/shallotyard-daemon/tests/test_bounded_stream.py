"""Tests of the non-blocking log stream."""

import os

from shallotyard_daemon.bounded_stream import BoundedStream


def test_stalled_reader_does_not_block_the_writer():
    """Guards against a blocked standard output that stops the process.

    Lines that the reader does not read must not fill the memory either.
    """
    reader, writer = os.pipe()
    stream = BoundedStream(writer, limit=100_000)
    for number in range(5000):
        stream.write(f"line {number} {'x' * 90}\n")
        stream.flush()
    assert len(stream.pending) <= 100_000
    assert stream.dropped_lines > 0
    os.set_blocking(reader, False)
    data = os.read(reader, 1_000_000)
    assert data.startswith(b"line 0 ")
    stream.flush()
    os.close(reader)
    stream.write("after the reader has closed\n")
    stream.flush()
    assert not stream.pending
    os.close(writer)
