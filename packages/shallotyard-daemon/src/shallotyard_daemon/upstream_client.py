"""Sends requests to upstreams with tornado's curl client."""

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient

from shallotyard_core.events import AttemptCancelled
from shallotyard_core.events import AttemptFinished
from shallotyard_core.events import AttemptKind
from shallotyard_core.events import UpstreamPolled
from shallotyard_core.exceptions import InvariantError
from shallotyard_core.verdict import Verdict
from shallotyard_daemon.clock import read_clock
from shallotyard_daemon.json_http import decode_json
from shallotyard_daemon.json_http import encode_json
from shallotyard_daemon.transfers import MAX_IDLE_S
from shallotyard_daemon.transfers import create_request
from shallotyard_daemon.transfers import prepare_control

CONNECT_TIMEOUT_S = 0.5
CONTROL_TIMEOUT_S = 0.5
MAX_HANDLES = 2000
_ECHO_HEADER = b"shallotyard-request-id:"
_DROPPED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "transfer-encoding",
        "shallotyard-verdict",
        "shallotyard-boot-id",
        "shallotyard-request-id",
        "x-http-reason",
    }
)
_VERDICT_BY_NAME = {verdict.value: verdict for verdict in Verdict}


class _Transfer:
    """Marks of one transfer that libcurl's callbacks set."""

    __slots__ = ("crossed", "sent")

    def __init__(self):
        self.sent = False
        self.crossed = False


class UpstreamClient:
    """Transfers to upstreams.

    :param dispatch: function that takes an event.
    :param may_send: function from call id and time to whether the lease still
        allows the request to be written.
    """

    def __init__(self, dispatch, may_send):
        self.dispatch = dispatch
        self.may_send = may_send
        self.client = CurlAsyncHTTPClient(force_instance=True, max_clients=MAX_HANDLES)
        self.attempts = 0

    def send(self, effect):
        """Carry out a `SendAttempt` effect."""
        if effect.home_regions and effect.region not in effect.home_regions:
            raise InvariantError("home-region", f"send to {effect.region}")
        self.attempts += 1
        transfer = _Transfer()
        now = read_clock()
        method = effect.method
        body = effect.body if method in ("POST", "PUT", "PATCH") else None
        request = create_request(
            f"http://{effect.address}{effect.target}",
            method,
            effect.headers,
            body,
            CONNECT_TIMEOUT_S,
            max(0.001, effect.deadline - now),
            self._prepare(effect, transfer),
        )

        def finish(response):
            self.dispatch(_judge_response(effect, transfer, response))

        self.client.fetch_impl(request, finish)

    def _prepare(self, effect, transfer):
        def may_write(*_):
            # The process may have been frozen since the decision to send.
            if not self.may_send(effect.call_id, read_clock()):
                return pycurl.PREREQFUNC_ABORT
            transfer.sent = True
            return pycurl.PREREQFUNC_OK

        expected = effect.request_id.encode()

        def prepare(curl):
            curl.setopt(pycurl.PREREQFUNCTION, may_write)
            curl.setopt(pycurl.FRESH_CONNECT, effect.fresh)
            curl.setopt(pycurl.MAXAGE_CONN, MAX_IDLE_S)
            curl.setopt(pycurl.NOPROXY, "*")
            headers = curl.info["headers"]
            parse = self.client._curl_header_callback

            def on_header(line):
                is_echo = line[:23].lower() == _ECHO_HEADER
                if is_echo and line[23:].strip() != expected:
                    # Failing the transfer closes the connection, whose
                    # further answers would be crossed as well.
                    transfer.crossed = True
                    return 0
                parse(headers, None, line)
                return len(line)

            curl.setopt(pycurl.HEADERFUNCTION, on_header)

        return prepare

    def cancel(self, effect):
        """Carry out a `CancelAttempt` effect."""

        def finish(response):
            state = decode_json(response).get("state")
            stopped = state in ("cancelled", "finished")
            self.dispatch(AttemptCancelled(read_clock(), effect.call_id, stopped))

        body = encode_json({"request_id": effect.request_id})
        self._call(f"http://{effect.address}/-/cancel", "POST", body, finish)

    def poll(self, effect):
        """Carry out a `PollUpstream` effect."""
        sent_at = read_clock()

        def finish(response):
            self.dispatch(_judge_poll(effect, sent_at, response))

        if not effect.grants:
            self._call(f"http://{effect.address}/-/health", "GET", None, finish)
            return
        body = encode_json(
            {
                "boot_id": effect.boot_id,
                "expires_at_ms": effect.expires_at_ms,
                "epochs": effect.epochs,
                "revoked": list(effect.revoked),
            }
        )
        self._call(f"http://{effect.address}/-/grants", "PUT", body, finish)

    def _call(self, url, method, body, finish):
        request = create_request(
            url,
            method,
            {},
            body,
            CONTROL_TIMEOUT_S,
            CONTROL_TIMEOUT_S,
            prepare_control,
        )
        self.client.fetch_impl(request, finish)


def _judge_response(effect, transfer, response):
    now = read_clock()
    if response.error is not None and response.code == 599:
        kind = AttemptKind.LOST if transfer.sent else AttemptKind.NOT_SENT
        reason = "crossed" if transfer.crossed else str(response.error)
        return AttemptFinished(now, effect.call_id, kind, reason)
    headers = response.headers
    if headers.get("Shallotyard-Request-Id") != effect.request_id:
        return AttemptFinished(
            now, effect.call_id, AttemptKind.LOST, "response without request id"
        )
    if not _has_known_length(effect.method, response):
        return AttemptFinished(
            now, effect.call_id, AttemptKind.LOST, "response of unknown length"
        )
    return AttemptFinished(
        now,
        effect.call_id,
        AttemptKind.ANSWERED,
        "",
        response.code,
        {
            name: value
            for name, value in headers.get_all()
            if name.lower() not in _DROPPED_HEADERS
        },
        response.body or b"",
        headers.get("Shallotyard-Boot-Id", ""),
        _VERDICT_BY_NAME.get(headers.get("Shallotyard-Verdict", "")),
    )


def _has_known_length(method, response):
    """Tell whether the end of the body can be told from a broken connection."""
    headers = response.headers
    if method == "HEAD" or response.code in (204, 304):
        return True
    return "Content-Length" in headers or "Transfer-Encoding" in headers


def _judge_poll(effect, sent_at, response):
    now = read_clock()
    value = decode_json(response)
    if response.code != 200 or "boot_id" not in value:
        refused = getattr(response.error, "errno", None) == pycurl.E_COULDNT_CONNECT
        return UpstreamPolled(now, effect.upstream_id, sent_at, False, refused)
    return UpstreamPolled(
        now,
        effect.upstream_id,
        sent_at,
        True,
        False,
        str(value["boot_id"]),
        float(value.get("clock_ms", 0.0)),
        str(value.get("state", "serving")),
        bool(value.get("accepted", False)),
        effect.epochs,
        effect.revoked,
    )
