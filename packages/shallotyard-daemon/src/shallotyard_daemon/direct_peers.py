"""gRPC between instances in direct dispatch: store updates and load reports.

Messages are JSON, because they contain store objects as their writers encode them.
"""

import asyncio
import contextlib
import uuid
from dataclasses import replace

import grpc
import grpc.aio
import orjson
import pydantic

from shallotyard_core.effects import LogDecision
from shallotyard_daemon.byte_counts import PURPOSE_FEED
from shallotyard_daemon.byte_counts import PURPOSE_LOAD_REPORTS
from shallotyard_daemon.byte_counts import PURPOSE_PERMITS
from shallotyard_daemon.byte_counts import PURPOSE_SHARES
from shallotyard_daemon.byte_counts import ByteCounts
from shallotyard_daemon.clock import read_clock
from shallotyard_daemon.direct_messages import decode_load_message
from shallotyard_daemon.direct_messages import decode_load_reply
from shallotyard_daemon.direct_messages import decode_permit_message
from shallotyard_daemon.direct_messages import decode_permits
from shallotyard_daemon.direct_messages import decode_share_message
from shallotyard_daemon.direct_messages import decode_shares
from shallotyard_daemon.direct_messages import decode_stream_message
from shallotyard_daemon.exceptions import PeerFormatError
from shallotyard_daemon.grpc_options import DIRECT_OPTIONS
from shallotyard_daemon.logs import log_decision
from shallotyard_daemon.tasks import FailureReporter
from shallotyard_daemon.tasks import start_task
from shallotyard_direct.events import DecisionMade
from shallotyard_direct.events import FeedHeartbeat
from shallotyard_direct.events import FeedLost
from shallotyard_direct.events import FollowersChanged
from shallotyard_direct.events import LoadReported
from shallotyard_direct.events import PermitsIssued
from shallotyard_direct.events import PermitsRequested
from shallotyard_direct.events import SaturationReported
from shallotyard_direct.events import SharesGranted
from shallotyard_direct.events import SharesRequested
from shallotyard_direct.events import StoreReturned
from shallotyard_direct.feed_source import NEVER_CURRENT_AGE_S
from shallotyard_direct.feed_source import STALE_AFTER_S
from shallotyard_direct.feed_source import StreamDelay
from shallotyard_direct.rate_limits import PERMIT_VALIDITY_S
from shallotyard_direct.replica import Snapshot
from shallotyard_direct.upstream_events import MAX_LOGGED_IDS

_SERVICE = "shallotyard.direct.v1.Instance"
_FOLLOW = "Follow"
_REPORT_LOAD = "ReportLoad"
_REQUEST_PERMITS = "RequestPermits"
_REQUEST_SHARES = "RequestShares"
# Several heartbeats fit into the time after which a follower leaves a source from
# which it has received nothing.
HEARTBEAT_PERIOD_S = 0.4
REPORT_TIMEOUT_S = 1.0
# Permits that arrive later have expired.
PERMITS_TIMEOUT_S = PERMIT_VALIDITY_S
# Also bounds the time for which answers of a former granter may arrive.
SHARES_TIMEOUT_S = 1.0
# A follower with this many unread updates has stopped reading; its stream is ended.
MAX_QUEUED_UPDATES = 5000
MAX_LOGGED_FAULTS = 5


class _Outbox:
    """Bounded queue of encoded messages for one follower."""

    def __init__(self):
        self.messages = []
        self.overflowed = False
        self.not_empty = asyncio.Event()

    def put(self, message):
        if len(self.messages) < MAX_QUEUED_UPDATES:
            self.messages.append(message)
        else:
            self.overflowed = True
        self.not_empty.set()

    async def drain(self):
        """Wait up to `HEARTBEAT_PERIOD_S` for messages, then remove and return them."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.not_empty.wait(), HEARTBEAT_PERIOD_S)
        self.not_empty.clear()
        messages, self.messages = self.messages, []
        return messages


class DirectPeers:
    """Exchanges store updates and load reports with other instances.

    :param instance: id of this instance.
    :param replica: the `Replica` that received updates are applied to and whose
        updates are sent to followers.
    :param fresh_at: function that returns the time, in seconds, at which the replica
        was last known to be up to date.
    :param dispatch: function that takes an event.
    :param byte_counts: the `ByteCounts`, None to count for this server alone.
    """

    def __init__(self, instance, replica, fresh_at, dispatch, byte_counts=None):
        self.byte_counts = byte_counts or ByteCounts()
        self.instance = instance
        self.replica = replica
        self.fresh_at = fresh_at
        self.dispatch = dispatch
        self.reporter = FailureReporter(dispatch)
        self.outboxes = set()
        self.follow_task = None
        self.report_address = ""
        self.report_channel = None
        self.report_tasks = set()
        self.replies_by_instance = {}
        self.permit_futures_by_token = {}
        self.share_answers_by_token = {}
        replica.followers.append(self._publish)
        self.server = grpc.aio.server(options=DIRECT_OPTIONS)
        handlers = {
            _FOLLOW: grpc.unary_stream_rpc_method_handler(self._serve_follower),
            _REPORT_LOAD: grpc.unary_unary_rpc_method_handler(self._handle_report),
            _REQUEST_PERMITS: grpc.unary_unary_rpc_method_handler(
                self._handle_permit_request
            ),
            _REQUEST_SHARES: grpc.unary_unary_rpc_method_handler(
                self._handle_share_request
            ),
        }
        generic = grpc.method_handlers_generic_handler(_SERVICE, handlers)
        self.server.add_generic_rpc_handlers((generic,))

    async def start(self, address):
        """Accept connections of other instances.

        :param address: ``ip:port`` to listen on.
        """
        self.server.add_insecure_port(address)
        await self.server.start()

    async def close(self):
        """Close all streams and cancel load reports in progress."""
        self.unfollow(None)
        for report in list(self.report_tasks):
            report.cancel()
        if self.report_channel is not None:
            await self.report_channel.close()
        await self.server.stop(0)

    # Streams to followers, and received load reports

    def _publish(self, update):
        if not self.outboxes:
            return
        message = self._encode_update(update)
        for outbox in self.outboxes:
            outbox.put(message)

    def _encode_update(self, update):
        """Return an update as a message, without objects that cannot be encoded."""
        try:
            return _encode(update)
        except TypeError:
            names = _list_unencodable(update)
        fields = {"kind": update.kind, "entries": names[:MAX_LOGGED_IDS]}
        decision = LogDecision("entry-unreadable", "not passed on", fields)
        self.dispatch(DecisionMade(read_clock(), decision))
        return _encode(_remove_objects(update, names))

    async def _serve_follower(self, request, context):
        outbox = _Outbox()
        follower = request.decode("utf-8", "replace")
        for snapshot in self.replica.snapshots_by_kind.values():
            outbox.put(self._encode_update(snapshot))
        self.outboxes.add(outbox)
        self.dispatch(FollowersChanged(read_clock(), len(self.outboxes)))
        try:
            while not outbox.overflowed:
                messages = await outbox.drain()
                for message in (*messages, self._encode_heartbeat()):
                    size = len(message)
                    self.byte_counts.add_message(PURPOSE_FEED, follower, sent=size)
                    yield message
        finally:
            self.outboxes.discard(outbox)
            self.dispatch(FollowersChanged(read_clock(), len(self.outboxes)))

    def _encode_heartbeat(self):
        now = read_clock()
        return orjson.dumps(
            {
                "age_s": min(now - self.fresh_at(), NEVER_CURRENT_AGE_S),
                "sent_at": now,
                "complete": self.replica.is_complete,
                "era": self.replica.era,
            }
        )

    async def _handle_report(self, request, context):
        try:
            message = decode_load_message(request)
        except ValueError as error:
            self._report_invalid("load report", error)
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "invalid")
        event = LoadReported(read_clock(), message["instance"], message["load"])
        self.dispatch(event)
        reply = self.replies_by_instance.pop(message["instance"], None)
        in_flight = {} if reply is None else reply.in_flight
        if not message.get("takes_rates"):
            # Instances of earlier versions know the first part only.
            return orjson.dumps(in_flight)
        rates_by_id = {} if reply is None else reply.rates_by_id
        leaving = [] if reply is None else reply.leaving
        message = {"in_flight": in_flight, "rates": rates_by_id, "leaving": leaving}
        if reply is not None and reply.shares:
            message["shares"] = reply.shares
        if reply is not None and reply.capacity:
            message["capacity"] = reply.capacity
            context.set_compression(grpc.Compression.Gzip)
        return orjson.dumps(message)

    def reply(self, effect):
        """Carry out a `ReplyToLoadReport`, an effect of a `LoadReported` event."""
        self.replies_by_instance[effect.instance] = effect

    async def _handle_permit_request(self, request, context):
        try:
            wanted = decode_permit_message(request)
        except ValueError as error:
            self._report_invalid("request for permits", error)
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "invalid")
        token = uuid.uuid4().hex
        future = asyncio.get_running_loop().create_future()
        self.permit_futures_by_token[token] = future
        try:
            self.dispatch(PermitsRequested(read_clock(), token, wanted))
            async with asyncio.timeout(PERMITS_TIMEOUT_S):
                count_by_id = await future
        finally:
            del self.permit_futures_by_token[token]
        if count_by_id is None:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "not the granter")
        return orjson.dumps(count_by_id)

    def issue_permits(self, effect):
        """Carry out an `IssuePermits` effect."""
        future = self.permit_futures_by_token.get(effect.token)
        if future is not None and not future.done():
            future.set_result(effect.count_by_id)

    async def _handle_share_request(self, request, context):
        try:
            instance, wanted = decode_share_message(request)
        except ValueError as error:
            self._report_invalid("request for shares", error)
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "invalid")
        token = uuid.uuid4().hex
        self.dispatch(SharesRequested(read_clock(), token, instance, wanted))
        answer = self.share_answers_by_token.pop(token, None)
        if answer is None:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "not the granter")
        return orjson.dumps(answer)

    def answer_share_request(self, effect):
        """Carry out an `AnswerShareRequest`, an effect of a `SharesRequested` event."""
        self.share_answers_by_token[effect.token] = effect.answer

    # Stream from a source, and sent load reports

    def follow(self, effect):
        """Carry out a `FollowInstance` effect."""
        self.unfollow(None)
        loop = asyncio.get_running_loop()
        self.follow_task = loop.create_task(
            self._follow(effect.instance, effect.address)
        )

    def unfollow(self, effect):
        """Carry out an `UnfollowInstance` effect."""
        if self.follow_task is not None:
            self.follow_task.cancel()
            self.follow_task = None

    async def _follow(self, source, address):
        reason = "stream ended"
        delay = StreamDelay()
        try:
            async with grpc.aio.insecure_channel(
                address, options=DIRECT_OPTIONS
            ) as channel:
                follow = channel.unary_stream(f"/{_SERVICE}/{_FOLLOW}")
                async for message in follow(self.instance.encode()):
                    size = len(message)
                    self.byte_counts.add_message(PURPOSE_FEED, source, received=size)
                    self._handle_message(source, message, delay)
        except grpc.aio.AioRpcError as error:
            reason = f"{error.code().name.lower()}: {error.details()}"
        except PeerFormatError:
            reason = "invalid message"
        except Exception as error:
            reason = "failed"
            self.reporter.report("follow", error)
        self.follow_task = None
        self.dispatch(FeedLost(read_clock(), source, reason))

    def _handle_message(self, source, text, delay):
        try:
            message = decode_stream_message(text, self.replica.era)
        except ValueError as error:
            self._report_invalid("stream", error)
            raise PeerFormatError(source, type(error).__name__) from error
        now = read_clock()
        if isinstance(message, dict):
            # Instances of earlier versions do not send the time.
            delay_s = delay.measure(message.get("sent_at", now), now)
            age_s = max(0.0, message["age_s"]) + delay_s
            if message.get("era", self.replica.era) < self.replica.era:
                # The source does not know yet that the store has returned from a copy.
                age_s = NEVER_CURRENT_AGE_S
            heartbeat = FeedHeartbeat(now, source, age_s, message["complete"])
            if heartbeat.age_s <= STALE_AFTER_S:
                self.replica.record_contact(now)
            self.dispatch(heartbeat)
        else:
            if self.replica.record_era(message.era, now):
                self.dispatch(StoreReturned(now, message.era))
            self.replica.apply(message, now)

    def _report_invalid(self, subject, error):
        """Dispatch that a message of another instance was left out, without its text,
        which may contain keys.
        """
        fields = {"subject": subject, "detail": type(error).__name__}
        if isinstance(error, pydantic.ValidationError):
            faults = error.errors(include_url=False, include_context=False)
            fields["faults"] = [fault["type"] for fault in faults[:MAX_LOGGED_FAULTS]]
        decision = LogDecision("peer-message-invalid", "left out", fields)
        self.dispatch(DecisionMade(read_clock(), decision))

    def report(self, effect):
        """Carry out a `ReportLoad` effect."""
        self._spawn(self._report(effect))

    def request_permits(self, effect):
        """Carry out a `RequestPermits` effect."""
        self._spawn(self._request_permits(effect))

    def _spawn(self, coroutine):
        start_task(coroutine, self.report_tasks, self.reporter)

    async def _open_granter_channel(self, address):
        """Return the channel to the granter, and close that to an earlier one."""
        if self.report_address != address:
            previous_channel, self.report_channel = self.report_channel, None
            self.report_address = address
            if previous_channel is not None:
                await previous_channel.close()
        if self.report_channel is None:
            self.report_channel = grpc.aio.insecure_channel(
                address, options=DIRECT_OPTIONS
            )
        return self.report_channel

    async def _request_permits(self, effect):
        channel = await self._open_granter_channel(effect.address)
        request = channel.unary_unary(f"/{_SERVICE}/{_REQUEST_PERMITS}")
        message = orjson.dumps({"instance": self.instance, "wanted": effect.wanted})
        try:
            reply = await request(message, timeout=PERMITS_TIMEOUT_S)
            sizes = len(message), len(reply)
            self.byte_counts.add_message(PURPOSE_PERMITS, effect.instance, *sizes)
        except grpc.aio.AioRpcError as error:
            fields = {"address": effect.address, "code": error.code().name}
            log_decision(LogDecision("permits-lost", "no reply", fields))
            return
        try:
            permits = decode_permits(reply)
        except ValueError as error:
            self._report_invalid("permits", error)
            return
        self.dispatch(PermitsIssued(read_clock(), effect.requested_at, permits))

    def request_shares(self, effect):
        """Carry out a `RequestShares` effect."""
        self._spawn(self._request_shares(effect))

    async def _request_shares(self, effect):
        channel = await self._open_granter_channel(effect.address)
        request = channel.unary_unary(f"/{_SERVICE}/{_REQUEST_SHARES}")
        message = orjson.dumps({"instance": self.instance, "wanted": effect.wanted})
        try:
            reply = await request(message, timeout=SHARES_TIMEOUT_S)
            sizes = len(message), len(reply)
            self.byte_counts.add_message(PURPOSE_SHARES, effect.instance, *sizes)
        except grpc.aio.AioRpcError as error:
            fields = {"address": effect.address, "code": error.code().name}
            log_decision(LogDecision("shares-lost", "no reply", fields))
            return
        try:
            shares = decode_shares(reply)
        except ValueError as error:
            self._report_invalid("shares", error)
            return
        self.dispatch(SharesGranted(read_clock(), effect.requested_at, shares))

    async def _report(self, effect):
        channel = await self._open_granter_channel(effect.address)
        report = channel.unary_unary(f"/{_SERVICE}/{_REPORT_LOAD}")
        load = effect.value
        if "capacity" in load:
            # Makes room for it: all fields have defaults, and most are empty mostly.
            load = {name: value for name, value in load.items() if value}
        message = orjson.dumps(
            {"instance": self.instance, "load": load, "takes_rates": True}
        )
        # Learned capacity takes most of a report, and compresses to a third.
        options = {}
        if "capacity" in effect.value:
            options["compression"] = grpc.Compression.Gzip
        try:
            reply = await report(message, timeout=REPORT_TIMEOUT_S, **options)
            sizes = len(message), len(reply)
            self.byte_counts.add_message(PURPOSE_LOAD_REPORTS, effect.instance, *sizes)
        except grpc.aio.AioRpcError as error:
            fields = {"address": effect.address, "code": error.code().name}
            log_decision(LogDecision("load-report-lost", "not delivered", fields))
            return
        try:
            values = decode_load_reply(reply)
        except ValueError as error:
            self._report_invalid("reply to a load report", error)
            return
        in_flight, rates_by_id, leaving, shares, changes = values
        event = SaturationReported(
            read_clock(),
            in_flight,
            rates_by_id,
            leaving,
            shares,
            effect.requested_at,
            changes,
        )
        self.dispatch(event)


def _encode(update):
    """Encode a `Snapshot` or `Changes` as a message."""
    message = {"kind": update.kind, "revision": update.revision, "era": update.era}
    if isinstance(update, Snapshot):
        message["objects"] = update.items_by_name
    else:
        message["changes"] = update.items
    return orjson.dumps(message)


def _list_unencodable(update):
    """Return the names of the objects that cannot be encoded."""
    is_snapshot = isinstance(update, Snapshot)
    pairs = update.items_by_name.items() if is_snapshot else update.items
    names = []
    for name, item in pairs:
        try:
            # Messages nest an object by three levels.
            orjson.dumps([[[item]]])
        except TypeError:
            names.append(name)
    return names


def _remove_objects(update, names):
    """Return an update in which the objects with these names are missing."""
    if isinstance(update, Snapshot):
        items = {n: item for n, item in update.items_by_name.items() if n not in names}
        return replace(update, items_by_name=items)
    items = tuple((n, None if n in names else item) for n, item in update.items)
    return replace(update, items=items)
