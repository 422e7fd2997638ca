"""Curl client with low overhead per request, based on tornado's.

For each request, tornado's client sets about 25 options, builds a header object and
resets the handle, which costs more than the transfer itself. Here, options that
never change are set once per handle.
"""

import asyncio
import contextlib
from urllib.parse import urlsplit

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient

from shallotyard_core.chunked_decoder import ChunkedDecoder
from shallotyard_core.exceptions import ChunkedFormatError
from shallotyard_core.response_head import BODILESS_STATUSES
from shallotyard_core.response_head import is_status_line
from shallotyard_daemon.tasks import FailureReporter
from shallotyard_daemon.transfers import MAX_IDLE_CONNECTION_S
from shallotyard_daemon.transfers import USER_AGENT
from shallotyard_daemon.transfers import open_socket

# Responses are passed on whole, so they are held in memory. libcurl itself ends a
# response with more than 300 KiB of headers, interim responses included.
MAX_BODY_BYTES = 8 * 1024 * 1024
# Headers and bodies of all responses in progress, where the settings do not name the
# memory of the instance.
MAX_BUFFERED_BYTES = 32 * 1024 * 1024
# Memory of a header line beside its bytes: the object and its place in the list.
LINE_OVERHEAD_BYTES = 64
MAX_INTERIM_RESPONSES = 32
# Parts and chunks of bodies after which a transfer waits for the next turn of the event
# loop, so that a peer with tiny chunks does not hold it up. A part has up to 16 KiB.
MAX_CHUNKS_PER_CALL = 32
FIRST_FAILURE_STATUS = 400
CLOSED_UNANSWERED = "open connection closed without a response"
# libcurl rounds the idle time of connections to seconds.
SUSPECT_CONNECTION_S = MAX_IDLE_CONNECTION_S + 2.0
# Expected by calls without a request id: a response with one belongs to a request.
NO_REQUEST_ID = b"\0"
_REQUEST_ID_HEADER = b"shallotyard-request-id:"
# Statuses of responses that end an exchange.
FINAL_STATUSES = range(200, 600)
TOO_MANY_INTERIM_RESPONSES = "too many interim responses"
TOO_LARGE = "response too large"
BROKEN_OFF = "response body broken off"
_TIMER_SLACK_S = 0.001
# A connection that is given up later than this after its time to connect shows that
# this process had stopped, for example by SIGSTOP, and not that the peer is silent.
MAX_CONNECT_DELAY_S = 0.25


class _Handle:
    """A libcurl handle; its callbacks act on the current transfer.

    :param pool: the `CurlPool`.
    """

    __slots__ = ("curl", "pool", "transfer")

    def __init__(self, pool):
        self.pool = pool
        self.transfer = None
        curl = self.curl = pycurl.Curl()
        curl.handle = self
        curl.setopt(pycurl.PROTOCOLS, pycurl.PROTO_HTTP)
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.USERAGENT, USER_AGENT)
        curl.setopt(pycurl.FOLLOWLOCATION, 0)
        curl.setopt(pycurl.PATH_AS_IS, 1)
        curl.setopt(pycurl.MAXAGE_CONN, MAX_IDLE_CONNECTION_S)
        curl.setopt(pycurl.OPENSOCKETFUNCTION, self._open_socket)
        curl.setopt(pycurl.HEADERFUNCTION, self._handle_header)
        curl.setopt(pycurl.WRITEFUNCTION, self._handle_body_chunk)
        curl.setopt(pycurl.PREREQFUNCTION, self._check_write)
        # libcurl takes junk behind the size of a chunk, and a size that is one byte too
        # large, so that chunks are decoded here.
        curl.setopt(pycurl.HTTP_TRANSFER_DECODING, 0)

    def prepare(self, transfer):
        """Set the options of a transfer."""
        self.transfer = transfer
        curl = self.curl
        origin, slash, path = transfer.url.partition("://")[2].partition("/")
        curl.setopt(pycurl.URL, f"http://{origin}/")
        # libcurl rewrites the path of a URL, such as %c5 to %C5.
        curl.setopt(pycurl.REQUEST_TARGET, f"{slash or '/'}{path}".encode("latin-1"))
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, transfer.connect_timeout_ms)
        curl.setopt(pycurl.TIMEOUT_MS, transfer.timeout_ms)
        curl.setopt(pycurl.FRESH_CONNECT, transfer.fresh)
        # If fresh connections were kept open, they would accumulate at the upstream.
        curl.setopt(pycurl.FORBID_REUSE, transfer.fresh)
        lines = transfer.header_lines
        method = transfer.method
        if transfer.body or method in ("POST", "PUT", "PATCH"):
            curl.setopt(pycurl.POST, 1)
            # POSTFIELDS, because COPYPOSTFIELDS rejects bodies that contain zero bytes.
            curl.setopt(pycurl.POSTFIELDS, transfer.body)
            curl.setopt(pycurl.CUSTOMREQUEST, method)
            # Empty values stop libcurl from adding these headers itself.
            lines = [*lines, b"Expect:"]
            if not any(line[:13].lower() == b"content-type:" for line in lines):
                lines.append(b"Content-Type:")
        elif method == "HEAD":
            curl.unsetopt(pycurl.CUSTOMREQUEST)
            curl.setopt(pycurl.NOBODY, 1)
        else:
            curl.setopt(pycurl.HTTPGET, 1)
            if method == "GET":
                curl.unsetopt(pycurl.CUSTOMREQUEST)
            else:
                curl.setopt(pycurl.CUSTOMREQUEST, method)
        curl.setopt(pycurl.HTTPHEADER, lines)

    def _open_socket(self, purpose, address):
        if self._refuses_repeat():
            return pycurl.SOCKET_BAD
        self.transfer.connecting = True
        return open_socket(purpose, address)

    def _refuses_repeat(self):
        """Return whether the request was written and must not be written again. Nothing
        would tell the response to the second copy from one to the first, which may
        still take effect.
        """
        transfer = self.transfer
        if transfer.sent and not transfer.repeatable:
            transfer.closed_unanswered = True
        return transfer.closed_unanswered

    def _check_write(self, *_):
        if self._refuses_repeat():
            return pycurl.PREREQFUNC_ABORT
        transfer = self.transfer
        if transfer.connecting:
            transfer.connecting = False
            if transfer.report_connection is not None:
                # libcurl may not be called again from its own callback.
                loop = asyncio.get_running_loop()
                loop.call_soon(transfer.report_connection, True)
        if not transfer.may_write():
            return pycurl.PREREQFUNC_ABORT
        transfer.repeats += transfer.sent
        transfer.sent = True
        return pycurl.PREREQFUNC_OK

    def _handle_header(self, line):
        transfer = self.transfer
        head = transfer.head
        transfer.fault = head.add_line(line)
        if transfer.fault:
            return 0
        if is_status_line(line):
            # The headers so far, if any, belong to an interim (1xx) response.
            transfer.response_lines.clear()
            if head.count > MAX_INTERIM_RESPONSES + 1:
                transfer.fault = TOO_MANY_INTERIM_RESPONSES
                return 0
            return None
        is_request_id = (
            transfer.expected_request_id and line[:23].lower() == _REQUEST_ID_HEADER
        )
        if is_request_id and line[23:].strip() != transfer.expected_request_id:
            # Failing the transfer closes the connection. Later responses on it
            # would be assigned to the wrong requests as well.
            transfer.mismatched = True
            return 0
        if not self.pool.accepts(transfer, len(line) + LINE_OVERHEAD_BYTES):
            transfer.fault = TOO_LARGE
            return 0
        transfer.response_lines.append(line)
        return None

    def _handle_body_chunk(self, chunk):
        transfer = self.transfer
        # Until the body begins, the decoder bounds what may arrive.
        if transfer.received_body and self.pool.must_pause(transfer):
            # libcurl passes the chunk on again, together with those that follow.
            return pycurl.WRITEFUNC_PAUSE
        if transfer.head.is_chunked:
            decoder = transfer.decoder
            if decoder is None:
                decoder = transfer.decoder = ChunkedDecoder(accepts_extensions=True)
            former_count = decoder.chunk_count
            try:
                chunk = decoder.decode(chunk)
            except ChunkedFormatError as error:
                transfer.fault = str(error)
                return 0
            self.pool.count_chunks(decoder.chunk_count - former_count)
        if not self.pool.accepts(transfer, len(chunk)):
            transfer.fault = TOO_LARGE
            return 0
        transfer.received_body += chunk
        return None


class CurlPool(CurlAsyncHTTPClient):
    """Runs transfers on tornado's curl client without its overhead per request.

    It overrides undocumented methods of tornado 6.6, which is pinned in
    requirements.txt.
    """

    def initialize(self):
        """Initialize the client without handles, which are created on demand."""
        # The base class already starts libcurl's timer, which uses these attributes.
        self._loop = asyncio.get_running_loop()
        self._idle_handles = []
        self._timer = None
        self._timer_at = 0.0
        self.transfers = set()
        self._suspect_until_by_address = {}
        self.buffered_bytes = 0
        # Bytes that all responses in progress may take.
        self.max_buffered_bytes = MAX_BUFFERED_BYTES
        # Parts and chunks of bodies that the last call of libcurl has delivered.
        self._chunks_in_call = 0
        self.closed_unanswered_count = 0
        self.repeat_count = 0
        self.reporter = FailureReporter()
        super().initialize(max_clients=0)

    def start(self, transfer):
        """Start a transfer; its ``finish`` is called at the end."""
        handle = self._idle_handles.pop() if self._idle_handles else _Handle(self)
        if self._is_suspect(transfer):
            transfer.fresh = True
        try:
            handle.prepare(transfer)
        except (pycurl.error, TypeError, ValueError) as error:
            # Nothing was sent. The handle is not used again, as only some of its
            # options are those of this transfer.
            handle.transfer = None
            handle.curl.close()
            transfer.error = pycurl.E_URL_MALFORMAT
            transfer.error_message = f"not sent: {type(error).__name__}"
            self._loop.call_soon(self._call_finish, transfer)
            return
        transfer.handle = handle
        transfer.started_at = self._loop.time()
        self.transfers.add(transfer)
        self._multi.add_handle(handle.curl)
        self._handle_timeout()

    def abandon(self, transfer):
        """Abort a transfer and close its connection, if it is still running."""
        if transfer.handle is not None:
            # libcurl closes the connection if the response is incomplete.
            self._finish(
                transfer.handle.curl, pycurl.E_ABORTED_BY_CALLBACK, "abandoned"
            )

    def accepts(self, transfer, size):
        """Count bytes of a response, and return whether they are within the bounds.
        While all responses exceed their bound, each may have an equal share.

        :param size: number of bytes of memory.
        """
        transfer.held_bytes += size
        self.buffered_bytes += size
        if len(transfer.received_body) + size > MAX_BODY_BYTES:
            return False
        if self.buffered_bytes <= self.max_buffered_bytes:
            return True
        count = sum(1 for other in self.transfers if other.held_bytes)
        return transfer.held_bytes <= self.max_buffered_bytes // count

    def must_pause(self, transfer):
        """Count a part of a body, and return whether it has to wait for the next turn
        of the event loop.
        """
        self._chunks_in_call += 1
        if self._chunks_in_call <= MAX_CHUNKS_PER_CALL:
            return False
        self._loop.call_soon(self._resume, transfer)
        return True

    def count_chunks(self, count):
        """Count chunks that were decoded in this turn of the event loop."""
        self._chunks_in_call += count

    def _resume(self, transfer):
        """Let libcurl go on with a transfer that was paused, if it still runs."""
        if transfer.handle is None:
            return
        self._chunks_in_call = 0
        # The transfer may have failed while it was paused, which libcurl reports here
        # and at its next call.
        with contextlib.suppress(pycurl.error):
            transfer.handle.curl.pause(pycurl.PAUSE_CONT)
        self._set_timeout(0)

    def _handle_events(self, fd, events):
        self._chunks_in_call = 0
        super()._handle_events(fd, events)

    def _is_suspect(self, transfer):
        """Return whether open connections to the peer of a transfer must not be used. A
        faulty upstream may write a refusal or an error once more, and a later request
        on the connection would take it for its own response.
        """
        if not self._suspect_until_by_address:
            return False
        address = urlsplit(transfer.url).netloc
        until = self._suspect_until_by_address.get(address)
        if until is None or self._loop.time() >= until:
            self._suspect_until_by_address.pop(address, None)
            return False
        return True

    def _record_failure(self, transfer):
        """Use no open connection to a peer until those of now have been idle for too
        long to be used.
        """
        address = urlsplit(transfer.url).netloc
        until = self._loop.time() + SUSPECT_CONNECTION_S
        self._suspect_until_by_address[address] = until

    def _process_queue(self):
        pass

    def _finish(self, curl, curl_error=None, curl_message=None):
        handle = curl.handle
        transfer = handle.transfer
        handle.transfer = transfer.handle = None
        self.transfers.discard(transfer)
        self.buffered_bytes -= transfer.held_bytes
        self._multi.remove_handle(curl)
        uploaded, downloaded = pycurl.SIZE_UPLOAD, pycurl.SIZE_DOWNLOAD
        request_size, header_size = pycurl.REQUEST_SIZE, pycurl.HEADER_SIZE
        transfer.sent_bytes = curl.getinfo(request_size) + int(curl.getinfo(uploaded))
        transfer.received_bytes = curl.getinfo(header_size) + int(
            curl.getinfo(downloaded)
        )
        if not curl_error and not transfer.head.is_complete:
            # libcurl takes a connection that closes within the head as its end.
            curl_error = pycurl.E_RECV_ERROR
            curl_message = "response head broken off"
        self.repeat_count += transfer.repeats
        if transfer.closed_unanswered:
            self.closed_unanswered_count += 1
            curl_error = pycurl.E_GOT_NOTHING
            curl_message = CLOSED_UNANSWERED
        status = curl.getinfo(pycurl.HTTP_CODE)
        if transfer.fault:
            curl_message = transfer.fault
        elif not curl_error and status not in FINAL_STATUSES:
            curl_error = pycurl.E_FTP_WEIRD_SERVER_REPLY
            curl_message = f"status {status} ends no exchange"
        elif not curl_error and _lacks_chunks(transfer, status):
            curl_error = pycurl.E_PARTIAL_FILE
            curl_message = BROKEN_OFF
        if curl_error:
            transfer.error = curl_error
            transfer.error_message = curl_message
            transfer.received_body.clear()
        else:
            transfer.status = status
            transfer.reused = not curl.getinfo(pycurl.NUM_CONNECTS)
            if transfer.status >= FIRST_FAILURE_STATUS and not transfer.fresh:
                self._record_failure(transfer)
        self._idle_handles.append(handle)
        self._call_finish(transfer)

    def _call_finish(self, transfer):
        # The other transfers that libcurl has reported must still be finished.
        try:
            if transfer.report_connection is not None:
                elapsed_s = self._loop.time() - transfer.started_at
                if _has_failed_to_connect(transfer, elapsed_s):
                    transfer.report_connection(False)
        except Exception as error:
            self.reporter.report("report connection", error)
        try:
            transfer.finish(transfer)
        except Exception as error:
            self.reporter.report("finish transfer", error)

    def _set_timeout(self, msecs):
        """Set libcurl's timer, unless the current one is due early enough.

        libcurl requests a new time several times per request, usually later than
        the current one. Calling it too early is harmless.
        """
        if msecs < 0:
            return
        due_at = self._loop.time() + msecs / 1000.0
        if self._timer is not None:
            if self._timer_at <= due_at + _TIMER_SLACK_S:
                return
            self._timer.cancel()
        self._timer_at = due_at
        self._timer = self._loop.call_at(due_at, self._fire_timer)

    def _fire_timer(self):
        self._timer = None
        self._handle_timeout()

    def _handle_timeout(self):
        self._chunks_in_call = 0
        while True:
            try:
                status, _ = self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
            except pycurl.error as error:
                status = error.args[0]
            if status != pycurl.E_CALL_MULTI_PERFORM:
                break
        self._finish_pending_requests()
        self._set_timeout(self._multi.timeout())


def _lacks_chunks(transfer, status):
    """Return whether libcurl has ended a body in chunks before its last one."""
    if not transfer.head.is_chunked:
        return False
    if transfer.method == "HEAD" or status in BODILESS_STATUSES:
        return False
    return transfer.decoder is None or not transfer.decoder.is_complete


def _has_failed_to_connect(transfer, elapsed_s):
    """Return whether the peer refused a connection or did not answer in time.

    :param elapsed_s: time since the start of the transfer, in seconds.
    """
    if not transfer.connecting:
        return False
    if transfer.error == pycurl.E_COULDNT_CONNECT:
        return True
    connect_timeout_s = transfer.connect_timeout_ms / 1000
    return (
        transfer.error == pycurl.E_OPERATION_TIMEDOUT
        # The transfer's own end may come before that of the time to connect.
        and transfer.timeout_ms > transfer.connect_timeout_ms
        and elapsed_s < connect_timeout_s + MAX_CONNECT_DELAY_S
    )
