"""Requests, grants and releases that direct dispatch sends to upstreams."""

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from shallotyard_core.verdict import Verdict
from shallotyard_daemon.byte_counts import PURPOSE_GRANTS
from shallotyard_daemon.byte_counts import PURPOSE_REQUESTS
from shallotyard_daemon.byte_counts import ByteCounts
from shallotyard_daemon.clock import read_clock
from shallotyard_daemon.curl_pool import MAX_CONNECT_DELAY_S
from shallotyard_daemon.curl_pool import NO_REQUEST_ID
from shallotyard_daemon.curl_pool import CurlPool
from shallotyard_daemon.tasks import FailureReporter
from shallotyard_daemon.transfers import Transfer
from shallotyard_daemon.transfers import open_socket
from shallotyard_direct.events import AttemptFinished
from shallotyard_direct.events import ConnectionTried
from shallotyard_direct.keys.timing import GRANT_TRANSIT_S

# Several round trips to another region. The retransmission of a lost SYN packet,
# after one second, is not waited for.
CONNECT_TIMEOUT_MS = 500
# A grant that is not confirmed this long after its send deadline has an unknown
# outcome. Its connection is reset, as the granter counts on no later arrival.
GRANT_CONFIRMATION_S = GRANT_TRANSIT_S - 0.05


@dataclass(slots=True, frozen=True)
class UpstreamProtocol:
    """Functions that encode requests to upstreams and interpret responses.

    :param build_headers: function from a `SendAttempt` and the time until its
        deadline in seconds to header lines.
    :param interpret_response: function from a `SendAttempt`, the finished `Transfer`
        and the time to an `AttemptFinished`.
    :param build_grant: function from a `SendGrant` to (path, header lines, body).
    :param build_release: function from a `SendRelease` to (path, header lines,
        body).
    :param interpret_grant_response: function from a `SendGrant`, the finished
        `Transfer` and the time to a `GrantFinished`.
    :param interpret_release_response: function from a `SendRelease`, the finished
        `Transfer` and the time to a `ReleaseFinished`.
    """

    build_headers: Callable
    interpret_response: Callable
    build_grant: Callable
    build_release: Callable
    interpret_grant_response: Callable
    interpret_release_response: Callable


class DirectUpstreams:
    """HTTP client for upstreams.

    :param dispatch: function that takes an event.
    :param may_send: function from attempt id and time to whether the request may
        still be written.
    :param protocol: the `UpstreamProtocol`.
    :param byte_counts: the `ByteCounts`, None to count for this client alone.
    """

    def __init__(self, dispatch, may_send, protocol, byte_counts=None):
        self.byte_counts = byte_counts or ByteCounts()
        self.dispatch = dispatch
        self.may_send = may_send
        self.protocol = protocol
        self.pool = CurlPool(force_instance=True)
        self.pool.reporter = FailureReporter(dispatch)
        self.transfers_by_attempt_id = {}
        self.probe_tasks = set()

    def send(self, effect):
        """Carry out a `SendAttempt` effect."""
        attempt_id = effect.attempt_id
        request = effect.request
        remaining_s = max(0.001, effect.deadline - read_clock())

        def may_write():
            # The process may have been suspended since the decision to send.
            return self.may_send(attempt_id, read_clock())

        def finish(transfer):
            self.transfers_by_attempt_id.pop(attempt_id, None)
            upstream_id = effect.upstream_id
            self.byte_counts.add_transfer(PURPOSE_REQUESTS, upstream_id, transfer)
            now = read_clock()
            try:
                event = self.protocol.interpret_response(effect, transfer, now)
            except Exception as error:
                self.pool.reporter.report("interpret response", error)
                verdict = Verdict.MAY_HAVE_RUN if transfer.sent else Verdict.NOT_RUN
                event = AttemptFinished(
                    now, attempt_id, verdict, "not readable", unsent=not transfer.sent
                )
            self.dispatch(event)

        transfer = Transfer(
            f"http://{effect.address}{request.target}",
            request.method,
            self.protocol.build_headers(effect, remaining_s),
            request.body,
            CONNECT_TIMEOUT_MS,
            max(1, int(remaining_s * 1000)),
            effect.fresh,
            request.caller_id.encode("latin-1", "replace"),
            may_write,
            finish,
            partial(self._report_connection, effect.upstream_id),
        )
        self.transfers_by_attempt_id[attempt_id] = transfer
        self.pool.start(transfer)

    def abandon(self, effect):
        """Carry out an `AbandonAttempt` effect."""
        transfer = self.transfers_by_attempt_id.get(effect.attempt_id)
        if transfer is not None:
            self.pool.abandon(transfer)

    def grant(self, effect):
        """Carry out a `SendGrant` effect."""

        def may_write():
            return read_clock() < effect.deadline

        def finish(transfer):
            self.dispatch(
                self.protocol.interpret_grant_response(effect, transfer, read_clock())
            )

        encoded_request = self.protocol.build_grant(effect)
        remaining_s = effect.deadline + GRANT_CONFIRMATION_S - read_clock()
        timeout_ms = max(1, int(remaining_s * 1000))
        self._start_transfer(
            effect, encoded_request, timeout_ms, may_write, finish, effect.fresh
        )

    def release(self, effect):
        """Carry out a `SendRelease` effect."""

        def finish(transfer):
            self.dispatch(
                self.protocol.interpret_release_response(effect, transfer, read_clock())
            )

        encoded_request = self.protocol.build_release(effect)
        timeout_ms = int(effect.timeout_s * 1000)
        # On an open connection, a late response to a grant would confirm the release.
        self._start_transfer(
            effect, encoded_request, timeout_ms, _always_true, finish, fresh=True
        )

    def _start_transfer(
        self, effect, encoded_request, timeout_ms, may_write, finish, fresh
    ):
        path, header_lines, body = encoded_request

        def count_and_finish(transfer):
            upstream_id = effect.upstream_id
            self.byte_counts.add_transfer(PURPOSE_GRANTS, upstream_id, transfer)
            finish(transfer)

        self.pool.start(
            Transfer(
                f"http://{effect.address}{path}",
                "POST",
                header_lines,
                body,
                CONNECT_TIMEOUT_MS,
                timeout_ms,
                fresh,
                NO_REQUEST_ID,
                may_write,
                count_and_finish,
                partial(self._report_connection, effect.upstream_id),
            )
        )

    def _report_connection(self, upstream_id, opened):
        self.dispatch(ConnectionTried(read_clock(), upstream_id, opened))

    def probe(self, effect):
        """Carry out a `ProbeUpstream` effect."""
        task = asyncio.get_running_loop().create_task(self._probe(effect))
        self.probe_tasks.add(task)
        task.add_done_callback(self.probe_tasks.discard)

    async def _probe(self, effect):
        host, _, port = effect.address.rpartition(":")
        address = (socket.AF_INET, socket.SOCK_STREAM, 0, None)
        loop = asyncio.get_running_loop()
        timeout_s = CONNECT_TIMEOUT_MS / 1000
        latest_end = loop.time() + timeout_s + MAX_CONNECT_DELAY_S
        opened = False
        with open_socket(None, address) as connection:
            connection.setblocking(False)
            try:
                async with asyncio.timeout(timeout_s):
                    await loop.sock_connect(connection, (host, int(port)))
                opened = True
            except (OSError, TimeoutError, ValueError, OverflowError):
                pass
        if opened or loop.time() < latest_end:
            self._report_connection(effect.upstream_id, opened)


def _always_true():
    return True
