"""Long-lived gRPC streams between instances."""

import asyncio
import contextlib
import itertools
from dataclasses import dataclass
from typing import Any

import grpc
import grpc.aio

from shallotyard_core.events import PeerMessage
from shallotyard_core.events import PeerReplied
from shallotyard_daemon import peer_pb2
from shallotyard_daemon.clock import read_clock
from shallotyard_daemon.codec import decode_message
from shallotyard_daemon.codec import encode_envelope
from shallotyard_daemon.deflate import Deflater
from shallotyard_daemon.deflate import Inflater
from shallotyard_daemon.exceptions import PeerFormatError
from shallotyard_daemon.grpc_options import CHANNEL_OPTIONS

_SERVICE = "shallotyard.peer.v1.Peer"
_METHOD = f"/{_SERVICE}/Exchange"
# A `Release` may contain all stored responses of a slice.
_OPTIONS = (
    ("grpc.max_receive_message_length", 64 * 1024 * 1024),
    ("grpc.max_send_message_length", 64 * 1024 * 1024),
    *CHANNEL_OPTIONS,
)
# Consecutive reply timeouts after which a stream is replaced.
_UNRESPONSIVE_AFTER_TIMEOUTS = 2
_MAX_QUEUED_ENVELOPES = 10_000
# Otherwise each retry towards an unreachable instance would open a channel.
_MIN_REOPEN_INTERVAL_S = 0.1
_MAX_FRAME_ENVELOPES = 256


@dataclass(slots=True)
class _PendingReply:
    """A message whose reply has not arrived yet."""

    instance_id: str
    token: Any
    sent_at: float
    timer: Any
    written: bool = False


class _Outbox:
    """Queue of envelopes to be written, grouped into frames."""

    def __init__(self):
        self.envelopes = []
        self.not_empty = asyncio.Event()
        self.deflater = Deflater()

    def put(self, envelope):
        self.envelopes.append(envelope)
        self.not_empty.set()

    async def iter_frames(self, before_write=None):
        """Yield frames of queued envelopes; wait while the queue is empty.

        :param before_write: function that takes the envelopes of a frame before it
            is yielded.
        """
        while True:
            await self.not_empty.wait()
            batch = self.envelopes[:_MAX_FRAME_ENVELOPES]
            del self.envelopes[:_MAX_FRAME_ENVELOPES]
            if not self.envelopes:
                self.not_empty.clear()
            if before_write is not None:
                before_write(batch)
            # The receiver decompresses messages in the order of writing, so an
            # envelope is compressed only when it is certain to be written next.
            for envelope in batch:
                self.deflater.deflate(envelope)
            yield peer_pb2.Frame(envelopes=batch)


class PeerStream:
    """A stream that this instance opened to another one.

    :param instance_id: id of the other instance.
    :param address: ``ip:port`` of the other instance.
    :param own_id: own instance id.
    :param dispatch: function that takes an event.
    """

    def __init__(self, instance_id, address, own_id, dispatch):
        self.instance_id = instance_id
        self.address = address
        self.own_id = own_id
        self.dispatch = dispatch
        self.outbox = _Outbox()
        self.inflater = Inflater()
        self.pending_replies_by_id = {}
        self.consecutive_timeouts = 0
        self.task = asyncio.get_running_loop().create_task(self._run())

    def send(self, message, envelope_id, pending_reply):
        """Queue a message.

        :param envelope_id: id that the reply refers to, 0 if none is expected.
        :param pending_reply: the `_PendingReply`, ``None`` if none is expected.
        """
        if pending_reply is not None:
            self.pending_replies_by_id[envelope_id] = pending_reply
        self.outbox.put(encode_envelope(message, envelope_id, 0, self.own_id))

    async def _run(self):
        try:
            async with grpc.aio.insecure_channel(
                self.address, options=_OPTIONS
            ) as channel:
                exchange = channel.stream_stream(
                    _METHOD,
                    request_serializer=peer_pb2.Frame.SerializeToString,
                    response_deserializer=peer_pb2.Frame.FromString,
                )
                call = exchange()
                await call.wait_for_connection()
                writer = asyncio.create_task(self._write(call))
                try:
                    async for frame in call:
                        self._handle_frame(frame)
                finally:
                    writer.cancel()
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError, PeerFormatError):
            pass
        finally:
            self._fail_pending_replies()

    async def _write(self, call):
        with contextlib.suppress(grpc.aio.AioRpcError, asyncio.InvalidStateError):
            async for frame in self.outbox.iter_frames(self._mark_written):
                await call.write(frame)

    def _mark_written(self, batch):
        for envelope in batch:
            pending_reply = self.pending_replies_by_id.get(envelope.id)
            if pending_reply is not None:
                pending_reply.written = True

    def _handle_frame(self, frame):
        self.consecutive_timeouts = 0
        for envelope in frame.envelopes:
            # Late replies must be decompressed too: later messages depend on them.
            self.inflater.inflate(envelope)
            pending_reply = self.pending_replies_by_id.pop(envelope.reply_to, None)
            if pending_reply is None:
                continue
            pending_reply.timer.cancel()
            try:
                message = decode_message(envelope)
            except PeerFormatError:
                message = None
            self._dispatch_reply(pending_reply, message)

    def _dispatch_reply(self, pending_reply, message):
        unsent = message is None and not pending_reply.written
        self.dispatch(
            PeerReplied(
                read_clock(),
                pending_reply.instance_id,
                pending_reply.token,
                pending_reply.sent_at,
                message,
                unsent,
            )
        )

    def expire_reply(self, envelope_id):
        """Report that a reply has not arrived within its timeout."""
        pending_reply = self.pending_replies_by_id.pop(envelope_id, None)
        if pending_reply is None:
            return
        if not pending_reply.written:
            # The message is reported as unsent, so it must not be written later.
            self.outbox.envelopes = [
                e for e in self.outbox.envelopes if e.id != envelope_id
            ]
        self.consecutive_timeouts += 1
        self._dispatch_reply(pending_reply, None)

    @property
    def is_unresponsive(self):
        """Whether replies keep timing out although the stream is open."""
        return self.consecutive_timeouts >= _UNRESPONSIVE_AFTER_TIMEOUTS

    def _fail_pending_replies(self):
        pending_replies_by_id, self.pending_replies_by_id = (
            self.pending_replies_by_id,
            {},
        )
        for pending_reply in pending_replies_by_id.values():
            pending_reply.timer.cancel()
            self._dispatch_reply(pending_reply, None)

    def close(self):
        """Close the stream and report that the pending replies will not arrive."""
        self.task.cancel()


class Peers:
    """Manages the streams from and to all other instances.

    :param own_id: own instance id.
    :param dispatch: function that takes an event.
    """

    def __init__(self, own_id, dispatch):
        self.own_id = own_id
        self.dispatch = dispatch
        self.streams_by_id = {}
        self.opened_at_by_id = {}
        self.server = None
        self.bytes_sent = 0
        self._envelope_ids = itertools.count(1)

    async def listen(self, address):
        """Accept streams from other instances.

        :param address: ``ip:port`` to listen on.
        """
        self.server = grpc.aio.server(options=_OPTIONS)
        handler = grpc.stream_stream_rpc_method_handler(
            self._exchange,
            request_deserializer=peer_pb2.Frame.FromString,
            response_serializer=peer_pb2.Frame.SerializeToString,
        )
        self.server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(_SERVICE, {"Exchange": handler}),)
        )
        self.server.add_insecure_port(address)
        await self.server.start()

    async def _exchange(self, frames, context):
        outbox = _Outbox()
        reader = asyncio.create_task(self._read(frames, outbox))
        writer = asyncio.create_task(self._write(outbox, context))
        try:
            await asyncio.wait((reader, writer), return_when=asyncio.FIRST_COMPLETED)
        finally:
            reader.cancel()
            writer.cancel()

    async def _read(self, frames, outbox):
        inflater = Inflater()
        with contextlib.suppress(PeerFormatError):
            async for frame in frames:
                for envelope in frame.envelopes:
                    inflater.inflate(envelope)
                    self._handle_envelope(envelope, outbox)

    async def _write(self, outbox, context):
        async for frame in outbox.iter_frames():
            await context.write(frame)

    def _handle_envelope(self, envelope, outbox):
        try:
            message = decode_message(envelope)
        except PeerFormatError:
            return
        reply_to = (outbox, envelope.id) if envelope.id else None
        self.dispatch(PeerMessage(read_clock(), envelope.sender, message, reply_to))

    def reply(self, reply_to, message):
        """Reply to a message that was received on a stream.

        :param reply_to: the ``reply_to`` of its `PeerMessage`.
        """
        outbox, envelope_id = reply_to
        outbox.put(encode_envelope(message, 0, envelope_id, self.own_id))

    def send(self, effect):
        """Carry out a `SendPeer` effect."""
        stream = self._get_stream(effect.instance_id, effect.address)
        now = read_clock()
        if effect.token is None:
            if (
                stream is not None
                and len(stream.outbox.envelopes) < _MAX_QUEUED_ENVELOPES
            ):
                stream.send(effect.message, 0, None)
            return
        loop = asyncio.get_running_loop()
        if stream is None:
            event = PeerReplied(now, effect.instance_id, effect.token, now, None, True)
            loop.call_soon(self.dispatch, event)
            return
        envelope_id = next(self._envelope_ids)
        timer = loop.call_later(effect.timeout_s, stream.expire_reply, envelope_id)
        pending_reply = _PendingReply(effect.instance_id, effect.token, now, timer)
        stream.send(effect.message, envelope_id, pending_reply)

    def _get_stream(self, instance_id, address):
        stream = self.streams_by_id.get(instance_id)
        must_replace = stream is not None and (
            stream.task.done()
            or stream.is_unresponsive
            or (address and stream.address != address)
        )
        if must_replace:
            stream.close()
            stream = None
        if stream is None:
            now = read_clock()
            too_soon = (
                now
                < self.opened_at_by_id.get(instance_id, 0.0) + _MIN_REOPEN_INTERVAL_S
            )
            if not address or too_soon:
                return None
            self.opened_at_by_id[instance_id] = now
            stream = PeerStream(instance_id, address, self.own_id, self.dispatch)
            self.streams_by_id[instance_id] = stream
        return stream

    async def close(self):
        """Close all streams."""
        for stream in self.streams_by_id.values():
            stream.close()
        if self.server is not None:
            await self.server.stop(0)
