"""Main loop of an instance in direct dispatch."""

import asyncio
import signal
import uuid
from collections.abc import Callable
from dataclasses import dataclass

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.httputil import ResponseStartLine

from shallotyard_core.effects import LogDecision
from shallotyard_core.events import Tick
from shallotyard_core.exceptions import SettingsError
from shallotyard_core.timing import TICK_S
from shallotyard_daemon.byte_counts import ByteCounts
from shallotyard_daemon.caller_guard import count_caller_fds
from shallotyard_daemon.caller_server import CallerServer
from shallotyard_daemon.clock import read_clock
from shallotyard_daemon.direct_metrics import DirectMetrics
from shallotyard_daemon.direct_peers import DirectPeers
from shallotyard_daemon.direct_relays import DirectRelays
from shallotyard_daemon.direct_upstreams import DirectUpstreams
from shallotyard_daemon.direct_upstreams import UpstreamProtocol
from shallotyard_daemon.logs import flush_logs
from shallotyard_daemon.logs import log_decision
from shallotyard_daemon.memory_budget import CALLERS
from shallotyard_daemon.memory_budget import PEERS
from shallotyard_daemon.memory_budget import STORE
from shallotyard_daemon.memory_budget import UPSTREAMS
from shallotyard_daemon.memory_budget import build_edges
from shallotyard_daemon.process_memory import read_resident_bytes
from shallotyard_daemon.process_memory import return_freed_memory
from shallotyard_daemon.tasks import FailureReporter
from shallotyard_direct import effects
from shallotyard_direct import events
from shallotyard_direct.replica import Replica
from shallotyard_direct.router import DirectRouter
from shallotyard_direct.router import reduce

RESPONSE_FLUSH_S = 0.1
# Of each connection of a caller. 128 KiB carry 64 Mbit/s at 16 ms.
RECEIVE_BUFFER_BYTES = 131_072
# Fraction of the shutdown time after which responses that callers have not read are
# given up; the rest is for the end of the process.
WRITE_FRACTION = 0.97


@dataclass(slots=True, frozen=True)
class PlatformAdapter:
    """Functions and values that are specific to a platform.

    :param build_event: see `CallerServer`.
    :param build_refusal: see `CallerServer`.
    :param encode_response: function from a `Respond` to one with all headers.
    :param upstream_protocol: the `UpstreamProtocol`.
    :param replicated_kinds: kinds of store objects that each instance replicates.
    :param lapsing_kinds: see `Replica`.
    :param rewritten_kinds: see `Replica`.
    :param create_update_handler: function that takes ``dispatch`` and returns the
        function called with each update of the `Replica`.
    :param create_store: function that takes the `Replica` and ``dispatch`` and
        returns a store client with the methods ``read``, ``write``, ``check``,
        ``probe``, ``list_instances``, ``watch`` and ``unwatch``.
    :param ready_path: path of the load balancer's readiness check.
    :param read_settings: function that reads the settings again and returns them.
    """

    build_event: Callable
    build_refusal: Callable
    encode_response: Callable
    upstream_protocol: UpstreamProtocol
    replicated_kinds: tuple[str, ...]
    lapsing_kinds: tuple[str, ...]
    rewritten_kinds: tuple[str, ...]
    create_update_handler: Callable
    create_store: Callable
    ready_path: str
    read_settings: Callable


class DirectDaemon:
    """Connects the reducer of direct dispatch to signals, networks and logs.

    :param settings: the `DirectSettings`.
    :param adapter: the `PlatformAdapter`.
    :param log_stream: the `BoundedStream` that logs are written to, if any.
    """

    def __init__(self, settings, adapter, log_stream=None):
        self.settings = settings
        self.adapter = adapter
        self.incarnation = uuid.uuid4().hex[:16]
        self.router = DirectRouter.from_settings(
            settings, self.incarnation, read_clock(), uuid.uuid4().int
        )
        self.exit_requested = asyncio.Event()
        self.reporter = FailureReporter(self.dispatch)
        router = self.router
        self.edges = build_edges(
            int(settings.memory_mb * 1_000_000), read_resident_bytes()
        )
        self.callers = CallerServer(
            self.dispatch,
            {},
            router.is_stopping,
            adapter.build_event,
            adapter.build_refusal,
            adapter.encode_response,
            self.edges[CALLERS],
            count_caller_fds(settings.max_fds),
            self._get_caller_limits,
            RECEIVE_BUFFER_BYTES if settings.memory_mb else 0,
        )
        self.callers.reporter = self.reporter
        self.byte_counts = ByteCounts(
            router.find_upstream_distance, router.find_instance_distance
        )
        self.upstreams = DirectUpstreams(
            self.dispatch,
            router.may_send,
            adapter.upstream_protocol,
            self.byte_counts,
        )
        handle_update = adapter.create_update_handler(self.dispatch)
        self.replica = Replica(
            adapter.replicated_kinds,
            adapter.lapsing_kinds,
            handle_update,
            adapter.rewritten_kinds,
        )
        self.store = adapter.create_store(self.replica, self.dispatch)
        if settings.memory_mb:
            return_freed_memory()
            self._bound_transfers()
        self.peers = DirectPeers(
            settings.instance,
            self.replica,
            router.feed.get_fresh_at,
            self.dispatch,
            self.byte_counts,
        )
        self.relays = DirectRelays(self.dispatch)
        self.relays.add_to_server(self.peers.server)
        self.handlers_by_type = {
            LogDecision: self._log,
            effects.Respond: self.callers.respond,
            effects.SendAttempt: self.upstreams.send,
            effects.AbandonAttempt: self.upstreams.abandon,
            effects.ProbeUpstream: self.upstreams.probe,
            effects.SendRelay: self.relays.send,
            effects.AbandonRelay: self.relays.abandon,
            effects.ReplyToRelay: self.relays.reply,
            effects.SendGrant: self.upstreams.grant,
            effects.SendRelease: self.upstreams.release,
            effects.CheckConfiguration: self.store.check,
            effects.ReadRecord: self.store.read,
            effects.WriteRecord: self.store.write,
            effects.WatchStore: self.store.watch,
            effects.UnwatchStore: self.store.unwatch,
            effects.ListInstances: self.store.list_instances,
            effects.ProbeStore: self.store.probe,
            effects.FollowInstance: self.peers.follow,
            effects.UnfollowInstance: self.peers.unfollow,
            effects.ReportLoad: self.peers.report,
            effects.ReplyToLoadReport: self.peers.reply,
            effects.RequestPermits: self.peers.request_permits,
            effects.IssuePermits: self.peers.issue_permits,
            effects.RequestShares: self.peers.request_shares,
            effects.AnswerShareRequest: self.peers.answer_share_request,
            effects.StopListening: lambda effect: self.callers.stop(),
            effects.Exit: lambda effect: self.exit_requested.set(),
        }
        self.metrics = DirectMetrics(
            router,
            log_stream,
            self.store,
            self.byte_counts,
            self.upstreams.pool,
            self.callers.guard,
        )

    def dispatch(self, event):
        """Apply an event and carry out the resulting effects."""
        for effect in reduce(self.router, event):
            try:
                self.handlers_by_type[type(effect)](effect)
            except Exception as error:
                # The effects after it concern other requests and upstreams.
                self.reporter.report(type(effect).__name__, error)

    def _bound_transfers(self):
        """Let responses and relays have no more than their share of the memory."""
        pool = self.upstreams.pool
        pool.max_buffered_bytes = self.edges[UPSTREAMS].limit_bytes
        self.store.calls.pool.max_buffered_bytes = self.edges[STORE].limit_bytes
        # Bodies on the way to other instances, and those that come from them.
        self.router.dispatcher.relays.max_bytes = self.edges[PEERS].limit_bytes // 2
        self.router.dispatcher.relayed_requests.max_bytes = (
            self.edges[PEERS].limit_bytes // 2
        )

    def _get_caller_limits(self):
        configuration = self.router.directory.configuration
        return None if configuration is None else configuration.caller_limits

    def _log(self, effect):
        self.metrics.observe(effect)
        log_decision(effect)

    def _reload_settings(self):
        """Read the settings again, and keep the current ones if they are invalid."""
        try:
            settings = self.adapter.read_settings()
        except SettingsError as error:
            fields = {"faults": list(error.faults)}
            log_decision(LogDecision("settings", "invalid, kept the old ones", fields))
            return
        self.dispatch(events.SettingsRead(read_clock(), settings))

    async def run(self):
        """Run until the instance has drained after SIGTERM or SIGINT."""
        ready_server = HTTPServer(self._write_ready_response)
        _listen(ready_server, self.settings.ready_address)
        metrics_server = HTTPServer(self._write_metrics_response)
        _listen(metrics_server, self.settings.metrics_address)
        self.callers.listen(self.settings.caller_address)
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(
                signal_number, lambda: self.dispatch(events.StopRequested(read_clock()))
            )
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        # A SIGHUP that arrived after the settings were first read, but before its
        # handler was installed, had no effect.
        self._reload_settings()
        fields = {"incarnation": self.incarnation, "domain": self.settings.domain}
        log_decision(LogDecision("start", "process started", fields))
        await self.peers.start(self.settings.peer_address)
        while not self.exit_requested.is_set():
            self._tick()
            await asyncio.sleep(TICK_S)
        # Replies to other instances may not have been sent yet.
        await asyncio.sleep(RESPONSE_FLUSH_S)
        await self._finish_writing()
        await self.callers.close()
        await self.relays.close()
        await self.peers.close()
        log_decision(LogDecision("stop", "drained", {}))
        flush_logs()

    async def _finish_writing(self):
        """Wait until callers have read their responses, or the stop has to end."""
        shutdown = self.router.shutdown
        limit_s = self.router.settings.shutdown_s * WRITE_FRACTION
        while count := self.callers.count_unanswered():
            if shutdown is None or read_clock() >= shutdown.requested_at + limit_s:
                fields = {"responses": count}
                log_decision(LogDecision("stop", "responses not read", fields))
                return
            await asyncio.sleep(TICK_S)

    def _tick(self):
        """Handle all that is due. An exception must not end the process."""
        now = read_clock()
        try:
            self.replica.expire_kept(now)
            self.dispatch(Tick(now))
        except Exception as error:
            self.reporter.report("tick", error)
        flush_logs()

    def _write_ready_response(self, request):
        is_ready_path = request.path == self.adapter.ready_path
        status = 404 if not is_ready_path else 200 if self.router.is_ready() else 503
        start = ResponseStartLine("HTTP/1.1", status, "")
        headers = HTTPHeaders({"Content-Length": "0"})
        request.connection.write_headers(start, headers)
        request.connection.finish()

    def _write_metrics_response(self, request):
        body, content_type = self.metrics.render()
        start = ResponseStartLine("HTTP/1.1", 200, "OK")
        headers = HTTPHeaders(
            {"Content-Type": content_type, "Content-Length": str(len(body))}
        )
        request.connection.write_headers(start, headers, body)
        request.connection.finish()


def _listen(server, address):
    host, _, port = address.rpartition(":")
    server.listen(int(port), host)
