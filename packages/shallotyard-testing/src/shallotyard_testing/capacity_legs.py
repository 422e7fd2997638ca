"""Costs of the codec and the reducer on each leg of a request.

One leg is at the ingress instance, which accepts the request and may relay it. The
other is at the holder of the upstream. In the names of quantities, entry means the
ingress instance.
"""

import itertools

from shallotyard_core.effects import ReplyPeer
from shallotyard_core.effects import Respond
from shallotyard_core.effects import SendAttempt
from shallotyard_core.effects import SendPeer
from shallotyard_core.events import AttemptFinished
from shallotyard_core.events import AttemptKind
from shallotyard_core.events import CallerRequest
from shallotyard_core.events import PeerMessage
from shallotyard_core.events import PeerReplied
from shallotyard_core.events import RequestArrived
from shallotyard_core.messages import RelayAnswer
from shallotyard_core.reducer import reduce
from shallotyard_core.verdict import Verdict
from shallotyard_daemon.codec import decode_message
from shallotyard_daemon.codec import encode_envelope
from shallotyard_testing.capacity_builders import build_serving_router
from shallotyard_testing.slopes import measure_slopes
from shallotyard_testing.slopes import measure_us


def measure_legs():
    """Return the slopes of the reducer and codec on each leg, over body sizes.

    The figures exclude the work of libraries (tornado, libcurl, grpc);
    ``make bench-proxy`` measures the whole process.
    """
    return measure_slopes((200, 1600, 12_800), _measure_body)


def _measure_body(size):
    return {
        ("leg: entry and holder in one", "us/body byte"): _measure_local(size),
        ("leg: entry, relayed", "us/body byte"): _measure_ingress_leg(size),
        ("leg: holder, relayed", "us/body byte"): _measure_holder_leg(size),
        ("bytes of relay and answer", "B/body byte"): _count_relay_bytes(size),
    }


def _measure_local(size):
    router, credential = build_serving_router({"r1": "i1"})
    body = b"x" * size
    headers = {"Content-Type": "application/json"}
    numbers = itertools.count(1)

    def run():
        effects = _submit_request(router, credential, next(numbers), b"")
        sent = _find_effect(effects, SendAttempt)
        finished = _build_attempt_finished(sent, body, headers)
        _find_effect(reduce(router, finished), Respond)

    return measure_us(run)


def _measure_ingress_leg(size):
    router, credential = build_serving_router({"r2": "i2"})
    body = b"x" * size
    numbers = itertools.count(1)

    def run():
        effects = _submit_request(router, credential, next(numbers), b"")
        sent = _find_effect(effects, SendPeer)
        encode_envelope(sent.message, 1, 0, "r1").SerializeToString()
        relay_answer = _build_relay_answer(sent.message, {"A": "b"}, body)
        message = decode_message(encode_envelope(relay_answer, 0, 1, "r2"))
        event = PeerReplied(0.6, "r2", sent.token, 0.6, message)
        _find_effect(reduce(router, event), Respond)

    return measure_us(run)


def _measure_holder_leg(size):
    sender, credential = build_serving_router({"r2": "i2"})
    relay = _find_effect(_submit_request(sender, credential, 1, b""), SendPeer).message
    router, _ = build_serving_router({"r1": "i1"})
    envelope = encode_envelope(relay, 1, 0, "r2")
    body = b"x" * size
    numbers = itertools.count(1)

    def run():
        message = decode_message(envelope)
        message.call_id = f"c-{next(numbers)}"
        effects = reduce(router, PeerMessage(0.6, "r2", message, ("o", 1)))
        sent = _find_effect(effects, SendAttempt)
        finished = _build_attempt_finished(sent, body)
        reply = _find_effect(reduce(router, finished), ReplyPeer)
        encode_envelope(reply.message, 0, 1, "r1").SerializeToString()

    return measure_us(run)


def _count_relay_bytes(size):
    router, credential = build_serving_router({"r2": "i2"})
    body = b"x" * size
    relay = _find_effect(_submit_request(router, credential, 1, body), SendPeer).message
    relay_answer = _build_relay_answer(
        relay, {"Content-Type": "application/json"}, body
    )
    return sum(
        len(encode_envelope(each, 1, 0, "r1").SerializeToString())
        for each in (relay, relay_answer)
    )


def _find_effect(effects, kind):
    """Return the first effect of a class.

    :raises StopIteration: if there is none, because the scenario went wrong.
    """
    return next(effect for effect in effects if isinstance(effect, kind))


def _submit_request(router, credential, number, body):
    headers = {
        "authorization": f"Bearer {credential}",
        "host": "caller",
        "user-agent": "caller",
        "accept": "*/*",
    }
    request = CallerRequest(f"r-{number}", "GET", "/till/item?n=1", headers, body)
    return reduce(router, RequestArrived(0.6, request))


def _build_attempt_finished(sent, body, headers=None):
    return AttemptFinished(
        0.6,
        sent.call_id,
        AttemptKind.ANSWERED,
        status=200,
        headers=headers or {},
        body=body,
        boot_id="boot",
        verdict=Verdict.RAN,
    )


def _build_relay_answer(relay, headers, body):
    return RelayAnswer(relay.call_id, Verdict.RAN, "answered", 200, headers, body)
