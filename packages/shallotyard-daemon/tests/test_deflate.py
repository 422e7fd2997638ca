"""Tests of the compression of control messages."""

import dataclasses

import pytest

from shallotyard_core import messages
from shallotyard_daemon import deflate
from shallotyard_daemon import peer_pb2
from shallotyard_daemon.codec import decode_message
from shallotyard_daemon.codec import encode_envelope
from shallotyard_daemon.exceptions import PeerFormatError

AGE = messages.MemberAge("r1", "i1", "d1", "127.0.0.1:1", False, 0.0)
DIGESTS = {f"d{number}": f"{number:016x}" for number in range(12)}


def build_heartbeat(number):
    """Return a heartbeat; heartbeats of different numbers differ in one version."""
    return messages.Heartbeat(AGE, {"manifest": number}, digests=DIGESTS)


def encode(deflater, message, envelope_id=1):
    """Encode and compress a message; return the bytes written to the stream."""
    envelope = encode_envelope(message, envelope_id, 0, "r1")
    deflater.deflate(envelope)
    return envelope.SerializeToString()


def decode(inflater, data):
    """Decompress and decode bytes of a stream; return the message and its sender."""
    envelope = peer_pb2.Envelope.FromString(data)
    inflater.inflate(envelope)
    return decode_message(envelope), envelope.sender


def test_messages_are_restored():
    """Guards against a compression state that damages later messages."""
    deflater, inflater = deflate.Deflater(), deflate.Inflater()
    relay = messages.Relay(
        *("c", "q", "client", "book", "book-1"),
        *(-1, 7, "POST", "/book/", {}, b"\x00\xff", "", "f", 1.5, False),
    )
    large = messages.ObjectPush(
        messages.ObjectCopy("manifest", 1, "x" * deflate.MAX_DEFLATED_BYTES)
    )
    sent = [build_heartbeat(1), relay, large, build_heartbeat(2), large, relay]
    sent += [messages.CancelCall(f"c.{number}") for number in range(2000)]
    for message in sent:
        found = decode(inflater, encode(deflater, message))
        assert found == (message, "r1")


def test_repeated_heartbeat_is_small():
    """Guards against heartbeats that take too much bandwidth in the steady state."""
    deflater = deflate.Deflater()
    sizes = [len(encode(deflater, build_heartbeat(number))) for number in range(20)]
    assert sizes[0] > 200
    assert max(sizes[1:]) < 40


def test_missing_message_is_detected():
    """Guards against decompressing messages without those before them."""
    deflater = deflate.Deflater()
    encode(deflater, build_heartbeat(1))
    later = encode(deflater, build_heartbeat(2))
    with pytest.raises(PeerFormatError):
        decode(deflate.Inflater(), later)


@pytest.mark.parametrize("payload", [b"", b"\xff\xff", b"\x00" * 40])
def test_invalid_payload_is_a_format_error(payload):
    """Guards against invalid bytes of a peer that raise another exception."""
    envelope = peer_pb2.Envelope(id=1, control=peer_pb2.Control(payload=payload))
    with pytest.raises(PeerFormatError):
        deflate.Inflater().inflate(envelope)


def test_expansion_is_limited():
    """Guards against a small message that expands to fill the memory."""
    deflater = deflate.Deflater()
    message = messages.ObjectPush(messages.ObjectCopy("manifest", 1, "x" * 10**6))
    envelope = encode_envelope(message, 1, 0, "r1")
    limit = deflate.MAX_DEFLATED_BYTES
    deflate.MAX_DEFLATED_BYTES = 10**7
    try:
        deflater.deflate(envelope)
    finally:
        deflate.MAX_DEFLATED_BYTES = limit
    with pytest.raises(PeerFormatError):
        deflate.Inflater().inflate(envelope)


def test_heartbeat_reply_keeps_every_field():
    """Guards against fields that compression drops."""
    reply = messages.HeartbeatReply(AGE, {"a": 1}, [], [AGE], [], 7, 0.25, 0.5, ["p"])
    found, _ = decode(deflate.Inflater(), encode(deflate.Deflater(), reply))
    assert dataclasses.asdict(found) == dataclasses.asdict(reply)
