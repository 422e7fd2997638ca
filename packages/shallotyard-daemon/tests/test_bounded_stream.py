"""Tests of the stream that log lines are written to."""

import os

from shallotyard_daemon.bounded_stream import BoundedStream


def test_reader_that_stops_reading_blocks_nothing():
    """A blocked standard output stopped the process, or filled its memory."""
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
    stream.write("after the reader has gone\n")
    stream.flush()
    assert not stream.pending
    os.close(writer)
