"""Encoding and decoding of messages between instances."""

import orjson
from pydantic import TypeAdapter
from pydantic import ValidationError

from shallotyard_core import messages
from shallotyard_core.calls import ResultReason
from shallotyard_core.response_head import FRAMING_FIELDS
from shallotyard_core.response_head import is_field_line
from shallotyard_core.verdict import Verdict
from shallotyard_daemon import peer_pb2
from shallotyard_daemon.exceptions import PeerFormatError

_CONTROL_CLASSES = (
    messages.CancelCall,
    messages.Heartbeat,
    messages.HeartbeatReply,
    messages.Marks,
    messages.ObjectPush,
    messages.PromiseReply,
    messages.PromiseRequest,
    messages.RecallReply,
    messages.RecallRequest,
    messages.Release,
    messages.WitnessAck,
    messages.WitnessRecord,
    messages.WitnessSet,
)
_ADAPTERS_BY_KIND = {cls.__name__: TypeAdapter(cls) for cls in _CONTROL_CLASSES}
_RELAY_FIELDS = tuple(messages.Relay.__dataclass_fields__)


def encode_envelope(message, envelope_id, reply_to, sender):
    """Return the envelope of a message.

    :param message: an instance of a data class of `shallotyard_core.messages`.
    :param envelope_id: id that the reply refers to, 0 if no reply is expected.
    :param reply_to: id of the envelope that this one replies to, 0 if none.
    :param sender: own instance id.
    """
    envelope = peer_pb2.Envelope(id=envelope_id, reply_to=reply_to, sender=sender)
    if isinstance(message, messages.Relay):
        envelope.relay.MergeFrom(_encode_relay(message))
    elif isinstance(message, messages.RelayAnswer):
        envelope.relay_answer.MergeFrom(_encode_relay_answer(message))
    else:
        envelope.control.kind = type(message).__name__
        envelope.control.payload = orjson.dumps(message, option=orjson.OPT_NON_STR_KEYS)
    return envelope


def _encode_relay(message):
    return peer_pb2.Relay(**{name: getattr(message, name) for name in _RELAY_FIELDS})


def _encode_relay_answer(message):
    return peer_pb2.RelayAnswer(
        call_id=message.call_id,
        verdict=message.verdict.value,
        reason=message.reason,
        status=message.status,
        headers=message.headers,
        body=message.body,
        retry_after_s=message.retry_after_s,
    )


def decode_message(envelope):
    """Return the message of an envelope.

    :raises PeerFormatError: if the kind is unknown or the message is invalid.
    """
    kind = envelope.WhichOneof("body")
    if kind == "relay":
        return _decode_relay(envelope.relay)
    if kind == "relay_answer":
        try:
            return _decode_relay_answer(envelope.relay_answer)
        except ValueError as error:
            raise PeerFormatError(envelope.sender, str(error)) from error
    if kind != "control":
        raise PeerFormatError(envelope.sender, "envelope without a body")
    adapter = _ADAPTERS_BY_KIND.get(envelope.control.kind)
    if adapter is None:
        raise PeerFormatError(
            envelope.sender, f"unknown message kind {envelope.control.kind!r}"
        )
    try:
        return adapter.validate_json(envelope.control.payload)
    except ValidationError as error:
        raise PeerFormatError(envelope.sender, str(error)) from error


def _decode_relay(encoded):
    return messages.Relay(
        encoded.call_id,
        encoded.request_id,
        encoded.client_id,
        encoded.service_id,
        encoded.upstream_id,
        encoded.position,
        encoded.revision,
        encoded.method,
        encoded.target,
        dict(encoded.headers),
        encoded.body,
        encoded.identity,
        encoded.fingerprint,
        encoded.remaining_s,
        encoded.idempotent,
        encoded.fresh,
    )


def _decode_relay_answer(encoded):
    """Return the `RelayAnswer` of its encoding.

    :raises ValueError: if it cannot be passed on to a caller, or has an unknown verdict
        or reason.
    """
    answer = messages.RelayAnswer(
        encoded.call_id,
        Verdict(encoded.verdict),
        encoded.reason,
        encoded.status,
        dict(encoded.headers),
        encoded.body,
        encoded.retry_after_s,
    )
    if answer.verdict is Verdict.RAN:
        _check_response(answer)
    else:
        # The reason decides whether the call is sent again.
        ResultReason(answer.reason)
    return answer


def _check_response(answer):
    """Check the upstream's response in a `RelayAnswer`.

    :raises ValueError: if its status or a field is malformed, or if its framing is that
        of another message.
    """
    if not 200 <= answer.status < 600:
        raise ValueError(f"response with status {answer.status}")
    for name, value in answer.headers.items():
        if not is_field_line(f"{name}: {value}".encode("latin-1")):
            raise ValueError("response with a malformed field")
        # The response to HEAD has the length of the body that GET would return.
        is_length_of_get = name.lower() == "content-length" and not answer.body
        if name.lower() in FRAMING_FIELDS and not is_length_of_get:
            raise ValueError("response with the framing of another message")
