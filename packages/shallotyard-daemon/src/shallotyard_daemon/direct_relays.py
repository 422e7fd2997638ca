"""gRPC between instances in direct dispatch: relayed requests.

A message is the length of its head in four bytes, the head in JSON, and the body of the
request or response.
"""

import asyncio
import struct
import uuid

import grpc
import grpc.aio
import orjson

from shallotyard_core.events import CallerDisconnected
from shallotyard_core.response_head import FRAMING_FIELDS
from shallotyard_core.verdict import Verdict
from shallotyard_daemon.clock import read_clock
from shallotyard_daemon.grpc_options import DIRECT_OPTIONS
from shallotyard_daemon.tasks import FailureReporter
from shallotyard_direct.accounts.credentials import find_key_digest
from shallotyard_direct.accounts.credentials import split_headers
from shallotyard_direct.events import RelayFinished
from shallotyard_direct.events import RelayRequested
from shallotyard_direct.model import NO_KEY
from shallotyard_direct.model import RelayedRequest
from shallotyard_direct.model import RelayReply
from shallotyard_direct.model import Request
from shallotyard_direct.relaying import DECLINED_MALFORMED
from shallotyard_direct.relaying import DECLINED_UNREACHED
from shallotyard_direct.relaying import DECLINED_UNSUPPORTED

_SERVICE = "shallotyard.direct.v1.Relay"
_RELAY = "Relay"
# An instance that does not know client accounts could neither check the key of a
# request nor name its account to the upstream. It does not know this method either.
_RELAY_FOR_ACCOUNT = "RelayForAccount"
_OPTIONS = (
    *DIRECT_OPTIONS,
    # A call that was written once must not be written again.
    ("grpc.enable_retries", 0),
    # A connection that has been idle may be gone without a sign of it.
    ("grpc.client_idle_timeout_ms", 5000),
)
# Several round trips to another region. Requests wait for it.
CONNECT_TIMEOUT_S = 0.3
# The other instance answers at the deadline; its answer takes some time.
REPLY_MARGIN_S = 0.1
_HEAD_LENGTH = struct.Struct(">I")


class DirectRelays:
    """Hands requests to other instances, and receives theirs.

    :param dispatch: function that takes an event.
    """

    def __init__(self, dispatch):
        self.dispatch = dispatch
        self.reporter = FailureReporter(dispatch)
        self.channels_by_address = {}
        self.tasks_by_relay_id = {}
        self.replies_by_request_id = {}

    def add_to_server(self, server):
        """Add the handler of relayed requests to a gRPC server."""
        handler = grpc.unary_unary_rpc_method_handler(self._handle_request)
        handlers = dict.fromkeys((_RELAY, _RELAY_FOR_ACCOUNT), handler)
        generic = grpc.method_handlers_generic_handler(_SERVICE, handlers)
        server.add_generic_rpc_handlers((generic,))

    async def close(self):
        """Cancel the relays in progress and close all channels."""
        for task in list(self.tasks_by_relay_id.values()):
            task.cancel()
        channels, self.channels_by_address = self.channels_by_address, {}
        for channel in channels.values():
            await channel.close()

    # Requests handed to other instances

    def send(self, effect):
        """Carry out a `SendRelay` effect."""
        task = asyncio.get_running_loop().create_task(self._send(effect))
        self.tasks_by_relay_id[effect.relay_id] = task
        task.add_done_callback(
            lambda _: self.tasks_by_relay_id.pop(effect.relay_id, None)
        )

    def abandon(self, effect):
        """Carry out an `AbandonRelay` effect."""
        task = self.tasks_by_relay_id.get(effect.relay_id)
        if task is not None:
            task.cancel()

    async def _send(self, effect):
        try:
            reply = await self._call(effect)
        except Exception as error:
            self.reporter.report("relay", error)
            # Nothing says whether the call was written.
            reply = RelayReply(
                lost=True, verdict=Verdict.MAY_HAVE_RUN, detail=type(error).__name__
            )
        self.dispatch(RelayFinished(read_clock(), effect.relay_id, reply))

    async def _call(self, effect):
        """Return the `RelayReply` of the other instance, or one that says what is known
        without it.
        """
        channel = self.channels_by_address.get(effect.address)
        if channel is None:
            channel = grpc.aio.insecure_channel(effect.address, options=_OPTIONS)
            self.channels_by_address[effect.address] = channel
        began_at = read_clock()
        remaining_s = max(0.0, effect.deadline - began_at)
        if not await _connect(channel, min(CONNECT_TIMEOUT_S, remaining_s)):
            return RelayReply(declined=DECLINED_UNREACHED)
        now = read_clock()
        try:
            message = _encode_request(effect.relayed, now - began_at)
        except (TypeError, ValueError) as error:
            self.reporter.report("encode relay", error)
            return RelayReply(declined=DECLINED_MALFORMED)
        method = _RELAY_FOR_ACCOUNT if effect.relayed.needs_accounts else _RELAY
        call = channel.unary_unary(f"/{_SERVICE}/{method}")
        try:
            encoded = await call(
                message, timeout=max(0.0, effect.deadline - now) + REPLY_MARGIN_S
            )
            return _decode_reply(encoded)
        except grpc.aio.AioRpcError as error:
            if error.code() is grpc.StatusCode.UNIMPLEMENTED:
                # An instance of an earlier version has no such method.
                return RelayReply(declined=DECLINED_UNSUPPORTED)
            detail = error.code().name.lower()
        except ValueError:
            detail = "malformed reply"
        return RelayReply(lost=True, verdict=Verdict.MAY_HAVE_RUN, detail=detail)

    # Requests of other instances

    async def _handle_request(self, message, context):
        request_id = f"relayed-{uuid.uuid4().hex}"
        try:
            relayed = _decode_request(message, request_id)
        except ValueError:
            return _encode_reply(RelayReply(declined=DECLINED_MALFORMED))
        future = asyncio.get_running_loop().create_future()
        self.replies_by_request_id[request_id] = future
        try:
            self.dispatch(RelayRequested(read_clock(), relayed))
            return _encode_reply(await future)
        except asyncio.CancelledError:
            self.dispatch(CallerDisconnected(read_clock(), request_id))
            raise
        finally:
            del self.replies_by_request_id[request_id]

    def reply(self, effect):
        """Carry out a `ReplyToRelay` effect, unless the other instance has left."""
        future = self.replies_by_request_id.get(effect.request_id)
        if future is not None and not future.done():
            future.set_result(effect.reply)


async def _connect(channel, timeout_s):
    """Return whether a channel is open; wait for that for some time.

    :param timeout_s: maximum time in seconds.
    """
    ready = grpc.ChannelConnectivity.READY
    try:
        async with asyncio.timeout(timeout_s):
            while (state := channel.get_state(try_to_connect=True)) is not ready:
                await channel.wait_for_state_change(state)
    except TimeoutError:
        return False
    return True


def _encode_request(relayed, waited_s):
    """Encode a `RelayedRequest`.

    :param waited_s: time since its ``elapsed_s`` was measured, in seconds.
    """
    request = relayed.request
    headers = request.headers
    if not relayed.needs_accounts:
        headers = [*headers, *request.withheld_headers]
    head = {
        "origin": relayed.origin,
        "elapsed_s": relayed.elapsed_s + waited_s,
        "timeout_s": request.caller_timeout_s,
        "service": relayed.service_id,
        "configuration": relayed.configuration_version,
        "runs": relayed.runs,
        "request_id": request.caller_id,
        "host": request.host,
        "method": request.method,
        "target": request.target,
        "headers": headers,
        "key": request.key,
        "key_digest": request.key_digest,
    }
    return _join(head, request.body)


def _decode_request(message, request_id):
    """Return the `RelayedRequest` of a message.

    :raises ValueError: if it is malformed.
    """
    head, body = _split(message)
    try:
        headers = [(str(name), str(value)) for name, value in head["headers"]]
        # One of an earlier version contains the key.
        key_digest = str(head.get("key_digest", "")) or find_key_digest(headers)
        forwarded, withheld = split_headers(headers)
        request = Request(
            request_id,
            str(head["request_id"]),
            str(head["host"]),
            str(head["method"]),
            str(head["target"]),
            forwarded,
            body,
            int(head.get("key", NO_KEY)),
            float(head["timeout_s"]),
            key_digest,
            withheld,
        )
        return RelayedRequest(
            request,
            str(head["origin"]),
            max(0.0, float(head["elapsed_s"])),
            str(head.get("service", "")),
            int(head.get("configuration", 0)),
            int(head.get("runs", 0)),
        )
    except (KeyError, TypeError, OverflowError) as error:
        raise ValueError("malformed head of a relayed request") from error


def _encode_reply(reply):
    head = {
        "declined": reply.declined,
        "verdict": reply.verdict.value,
        "refusal": reply.refusal,
        "wait_s": reply.wait_s,
        "status": reply.status,
        "headers": reply.headers,
        "leaving": reply.leaving,
    }
    return _join(head, reply.body)


def _decode_reply(message):
    """Return the `RelayReply` of a message.

    :raises ValueError: if it is malformed.
    """
    head, body = _split(message)
    try:
        if head.get("declined"):
            return RelayReply(declined=str(head["declined"]))
        reply = RelayReply(
            verdict=Verdict(head["verdict"]),
            refusal=str(head.get("refusal", "")),
            wait_s=float(head.get("wait_s", 0.0)),
            status=int(head.get("status", 0)),
            headers=[(str(name), str(value)) for name, value in head["headers"]],
            body=body,
            leaving=[
                [str(upstream_id), int(started_ms)]
                for upstream_id, started_ms in head.get("leaving", [])
            ],
        )
    except (KeyError, TypeError, OverflowError) as error:
        raise ValueError("malformed head of a reply") from error
    # The body of a reply is that of its message.
    if any(name.lower() in FRAMING_FIELDS for name, _ in reply.headers):
        raise ValueError("reply with the framing of another message")
    is_response = reply.verdict is Verdict.RAN and 200 <= reply.status < 600
    if not (reply.refusal or is_response):
        raise ValueError("reply without a response")
    return reply


def _join(head, body):
    encoded = orjson.dumps(head)
    return _HEAD_LENGTH.pack(len(encoded)) + encoded + body


def _split(message):
    """Return the decoded head and the body of a message.

    :raises ValueError: if it is malformed.
    """
    if len(message) < _HEAD_LENGTH.size:
        raise ValueError("message without a head")
    (length,) = _HEAD_LENGTH.unpack_from(message)
    end = _HEAD_LENGTH.size + length
    if len(message) < end:
        raise ValueError("incomplete head")
    head = orjson.loads(message[_HEAD_LENGTH.size : end])
    if not isinstance(head, dict):
        raise ValueError("head is not an object")
    return head, message[end:]
