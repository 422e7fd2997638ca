"""Tests of the decoder of bodies in chunks."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tornado.httputil import HTTPInputError

from shallotyard_daemon.chunked_body import ChunkedBody


@given(
    st.lists(st.binary(min_size=1, max_size=40), max_size=8),
    st.integers(min_value=1, max_value=50),
    st.binary(max_size=10),
)
def test_body_depends_on_how_it_arrives(chunks, step, behind):
    """Guards against bodies that change where a read ends within a chunk or its frame,
    and against a next request that loses its first bytes.
    """
    framed = b"".join(b"%X\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    data = framed + b"0\r\n\r\n" + behind
    decoder = ChunkedBody()
    body = b""
    position = 0
    while not decoder.is_complete:
        body += decoder.decode(data[position : position + step])
        position += step
    assert body == b"".join(chunks)
    assert decoder.rest + data[position:] == behind


@pytest.mark.parametrize(
    "data",
    [
        b"0x1\r\nx",
        b"-1\r\n",
        b" 1\r\nx",
        b"1;a\r\nx",
        b"1\r\nxy\r",
        b"0\r\nA: b",
        b"\r",
    ],
)
@pytest.mark.parametrize("is_split", [False, True])
def test_malformed_frame_is_accepted(data, is_split):
    """Guards against frames that another server reads in another way, so that a body
    could contain a second request.
    """
    decoder = ChunkedBody()
    parts = [bytes([byte]) for byte in data] if is_split else [data]
    with pytest.raises(HTTPInputError):
        for part in [*parts, b"\n" * 64]:
            decoder.decode(part)
