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
    """Return a heartbeat that differs from the others in one number."""
    return messages.Heartbeat(AGE, {"manifest": number}, digests=DIGESTS)


def send(deflater, message, envelope_id=1):
    """Return the bytes that a stream carries for a message."""
    envelope = encode_envelope(message, envelope_id, 0, "r1")
    deflater.deflate(envelope)
    return envelope.SerializeToString()


def receive(inflater, data):
    """Return the message and its sender from the bytes of a stream."""
    envelope = peer_pb2.Envelope.FromString(data)
    inflater.inflate(envelope)
    return decode_message(envelope), envelope.sender


def test_messages_arrive_as_they_were_sent():
    """Guards against messages that are damaged by those before them."""
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
        found = receive(inflater, send(deflater, message))
        assert found == (message, "r1")


def test_repeated_heartbeat_is_small():
    """Guards against settled heartbeats that exceed the bytes of control."""
    deflater = deflate.Deflater()
    sizes = [len(send(deflater, build_heartbeat(number))) for number in range(20)]
    assert sizes[0] > 200
    assert max(sizes[1:]) < 40


def test_lost_context_is_noticed():
    """Guards against a stream that goes on with messages it cannot read."""
    deflater = deflate.Deflater()
    send(deflater, build_heartbeat(1))
    later = send(deflater, build_heartbeat(2))
    with pytest.raises(PeerFormatError):
        receive(deflate.Inflater(), later)


@pytest.mark.parametrize("payload", [b"", b"\xff\xff", b"\x00" * 40])
def test_invalid_payload_is_a_format_error(payload):
    """Guards against a peer whose bytes end the task of a stream with a crash."""
    envelope = peer_pb2.Envelope(id=1, control=peer_pb2.Control(payload=payload))
    with pytest.raises(PeerFormatError):
        deflate.Inflater().inflate(envelope)


def test_expansion_is_limited():
    """Guards against a small message that takes much memory."""
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
    """Guards against a field that the compressed form drops."""
    reply = messages.HeartbeatReply(AGE, {"a": 1}, [], [AGE], [], 7, 0.25, 0.5, ["p"])
    found, _ = receive(deflate.Inflater(), send(deflate.Deflater(), reply))
    assert dataclasses.asdict(found) == dataclasses.asdict(reply)
