"""Tests of the encoding of messages between instances."""

import pytest

from shallotyard_core import messages
from shallotyard_core.verdict import Verdict
from shallotyard_daemon import codec
from shallotyard_daemon import peer_pb2
from shallotyard_daemon.exceptions import PeerFormatError

AGE = messages.MemberAge("r1", "i1", "d1", "127.0.0.1:1", True, 0.25)
REPORT = messages.UpstreamReport(
    "book-1", "cold", 1, 4, 0.5, 2.5, 0.1, {"book": {65535: 7.5}}, "r1"
)
COPY = messages.ObjectCopy("manifest", 3, '{"a": "\u010d"}')
RELAY = messages.Relay(
    "c.1",
    "q",
    "client",
    "book",
    "book-1",
    -1,
    7,
    "POST",
    "/book/1?a=\u010d",
    {"A": "b"},
    b"\x00\xff",
    "identity",
    "fingerprint",
    1.5,
    False,
    True,
)
MESSAGES = [
    messages.CancelCall("c.1"),
    messages.Heartbeat(
        AGE, {"manifest": 3}, [AGE], [REPORT], {"d1": "f0"}, {"d1": 7}, ["d1"]
    ),
    messages.HeartbeatReply(
        AGE,
        {"manifest": 3},
        [COPY],
        [AGE],
        [REPORT],
        4,
        0.1,
        0.2,
        ["body"],
        {"d1": "f0"},
        {"d1": 7},
        ["d1"],
    ),
    messages.Marks({"fingerprint": 2}),
    messages.ObjectPush(COPY),
    messages.PromiseReply("i1", True, "body"),
    messages.PromiseRequest("istra", 4),
    messages.RecallReply(True, {"book/1": [{"state": "done"}]}),
    messages.RecallRequest("r1", "i1", ["book/1"], 0.5),
    messages.Release("istra", {"book/1": 4}, {"book/1": [{"state": "done"}]}),
    messages.WitnessAck(False, "i1"),
    messages.WitnessRecord("r1", "i1", None),
    messages.WitnessSet("r1", "i1", {"book/1": [{"state": "done"}]}),
    RELAY,
    messages.RelayAnswer(
        "c.1", Verdict.MAY_HAVE_RUN, "lost", 200, {"A": "b"}, b"\x00\xff", 1.5
    ),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda value: type(value).__name__)
def test_round_trip(message):
    """Guards against fields that are lost or changed by encoding."""
    envelope = codec.encode_envelope(message, 5, 6, "r1")
    received = peer_pb2.Envelope.FromString(envelope.SerializeToString())
    assert (received.id, received.reply_to, received.sender) == (5, 6, "r1")
    assert codec.decode_message(received) == message


def test_each_message_has_a_round_trip():
    """Guards against a new message class that `MESSAGES` does not contain."""
    covered = {type(message) for message in MESSAGES}
    nested = {messages.MemberAge, messages.UpstreamReport, messages.ObjectCopy}
    known = {
        value
        for value in vars(messages).values()
        if hasattr(value, "__dataclass_fields__")
    }
    assert known - nested == covered


@pytest.mark.parametrize(
    "changes",
    [
        {"verdict": "perhaps"},
        {"status": 0},
        {"status": 100},
        {"status": 1000},
        {"headers": {"A b": "c"}},
        {"headers": {"A": "b\r\nContent-Length: 0"}},
        {"headers": {"A": "\u010d"}},
        {"headers": {"Transfer-Encoding": "chunked"}},
        {"headers": {"content-length": "3"}},
        {"verdict": "not-run", "reason": "of a later version"},
    ],
)
def test_answer_that_cannot_be_passed_on_is_taken(changes):
    """Answers of other instances went to callers unchecked, and an unknown reason or
    verdict left the request without an answer.
    """
    values = {"call_id": "c.1", "verdict": "ran", "reason": "answered"}
    values |= {"status": 200, "headers": {"A": "b"}, "body": b"whole"}
    envelope = peer_pb2.Envelope(sender="r1")
    envelope.relay_answer.MergeFrom(peer_pb2.RelayAnswer(**values | changes))
    with pytest.raises(PeerFormatError, match="'r1'"):
        codec.decode_message(envelope)


@pytest.mark.parametrize(
    "changes",
    [
        {},
        {"status": 599, "headers": {"A": "\xff", "B": ""}},
        {"body": b"", "headers": {"Content-Length": "5"}},
        {"reason": "of a later version"},
    ],
)
def test_sound_answer_is_refused(changes):
    """Guards against checks that are stricter than HTTP."""
    values = {"call_id": "c.1", "verdict": "ran", "reason": "answered"}
    values |= {"status": 200, "headers": {"A": "b"}, "body": b"whole"}
    envelope = peer_pb2.Envelope(sender="r1")
    envelope.relay_answer.MergeFrom(peer_pb2.RelayAnswer(**values | changes))
    assert codec.decode_message(envelope).verdict is Verdict.RAN


def test_invalid_messages():
    """Guards against errors other than `PeerFormatError`, which end the stream.

    Another version may send such messages.
    """
    unknown = peer_pb2.Envelope(sender="r1")
    unknown.control.kind = "Unknown"
    broken = peer_pb2.Envelope(sender="r1")
    broken.control.kind = "Marks"
    broken.control.payload = b"{"
    for envelope in (peer_pb2.Envelope(sender="r1"), unknown, broken):
        with pytest.raises(PeerFormatError, match="'r1'"):
            codec.decode_message(envelope)
