"""Requests, cancellations and polls sent to upstreams."""

import orjson
import pycurl

from shallotyard_core.events import AttemptCancelled
from shallotyard_core.events import AttemptFinished
from shallotyard_core.events import AttemptKind
from shallotyard_core.events import UpstreamPolled
from shallotyard_core.exceptions import InvariantError
from shallotyard_core.response_head import BODILESS_STATUSES
from shallotyard_core.verdict import Verdict
from shallotyard_daemon.clock import read_clock
from shallotyard_daemon.curl_pool import CurlPool
from shallotyard_daemon.json_http import decode_json
from shallotyard_daemon.transfers import Transfer

CONNECT_TIMEOUT_MS = 500
CONTROL_TIMEOUT_MS = 500
_JSON_LINES = [b"Content-Type: application/json"]
_NOT_FORWARDED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "transfer-encoding",
        "shallotyard-verdict",
        "shallotyard-boot-id",
        "shallotyard-request-id",
    }
)
_VERDICTS_BY_NAME = {verdict.value: verdict for verdict in Verdict}


class UpstreamClient:
    """HTTP client for upstreams.

    :param dispatch: function that takes an event.
    :param may_send: function from call id and time to whether the lease still
        permits writing the request.
    """

    def __init__(self, dispatch, may_send):
        self.dispatch = dispatch
        self.may_send = may_send
        self.pool = CurlPool(force_instance=True)
        self.attempts = 0

    def send(self, effect):
        """Carry out a `SendAttempt` effect."""
        if effect.home_regions and effect.region not in effect.home_regions:
            raise InvariantError("home-region", f"send to {effect.region}")
        self.attempts += 1
        call_id = effect.call_id
        timeout_s = effect.deadline - read_clock()

        def may_write():
            # The process may have been suspended since the decision to send.
            return self.may_send(call_id, read_clock())

        def finish(transfer):
            self.dispatch(_interpret_response(effect, transfer))

        self.pool.start(
            Transfer(
                f"http://{effect.address}{effect.target}",
                effect.method,
                [
                    f"{name}: {value}".encode("latin-1", "replace")
                    for name, value in effect.headers.items()
                ],
                effect.body,
                CONNECT_TIMEOUT_MS,
                max(1, int(timeout_s * 1000)),
                effect.fresh,
                effect.request_id.encode(),
                may_write,
                finish,
            )
        )

    def cancel(self, effect):
        """Carry out a `CancelAttempt` effect."""

        def finish(transfer):
            state = decode_json(transfer).get("state")
            stopped = state in ("cancelled", "finished")
            self.dispatch(AttemptCancelled(read_clock(), effect.call_id, stopped))

        body = orjson.dumps({"request_id": effect.request_id})
        self._start_control_transfer(
            f"http://{effect.address}/-/cancel", "POST", body, finish
        )

    def poll(self, effect):
        """Carry out a `PollUpstream` effect."""
        sent_at = read_clock()

        def finish(transfer):
            self.dispatch(_interpret_poll_response(effect, sent_at, transfer))

        if not effect.grants:
            url = f"http://{effect.address}/-/health"
            self._start_control_transfer(url, "GET", b"", finish, effect.fresh)
            return
        body = orjson.dumps(
            {
                "boot_id": effect.boot_id,
                "expires_at_ms": effect.expires_at_ms,
                "epochs": effect.epochs,
                "revoked": list(effect.revoked),
            }
        )
        url = f"http://{effect.address}/-/grants"
        self._start_control_transfer(url, "PUT", body, finish, effect.fresh)

    def _start_control_transfer(self, url, method, body, finish, fresh=False):
        self.pool.start(
            Transfer(
                url,
                method,
                _JSON_LINES if body else [],
                body,
                CONTROL_TIMEOUT_MS,
                CONTROL_TIMEOUT_MS,
                fresh,
                b"",
                _always_true,
                finish,
                repeatable=method == "GET",
            )
        )


def _always_true():
    return True


def _interpret_response(effect, transfer):
    now = read_clock()
    if transfer.error:
        kind = AttemptKind.LOST if transfer.sent else AttemptKind.NOT_SENT
        reason = "crossed" if transfer.mismatched else transfer.error_message
        return AttemptFinished(now, effect.call_id, kind, reason)
    headers = {}
    unforwarded_headers = {}
    for name, value in transfer.response_headers():
        lower = name.lower()
        if lower in _NOT_FORWARDED_HEADERS:
            unforwarded_headers[lower] = value
        elif name in headers:
            headers[name] = f"{headers[name]}, {value}"
        else:
            headers[name] = value
    if effect.method == "HEAD" and transfer.head.length is not None:
        # For HEAD, this is the length of the body that GET would return. RFC 9110 does
        # not allow to forward a list of equal lengths.
        headers["Content-Length"] = str(transfer.head.length)
    fault = _find_response_fault(effect, transfer, unforwarded_headers)
    if fault:
        return AttemptFinished(now, effect.call_id, AttemptKind.LOST, fault)
    return AttemptFinished(
        now,
        effect.call_id,
        AttemptKind.ANSWERED,
        "",
        transfer.status,
        headers,
        transfer.response_body,
        unforwarded_headers.get("shallotyard-boot-id", ""),
        _VERDICTS_BY_NAME.get(unforwarded_headers.get("shallotyard-verdict", "")),
    )


def _find_response_fault(effect, transfer, unforwarded_headers):
    """Return why a response must not be used, ``""`` if it is valid."""
    if unforwarded_headers.get("shallotyard-request-id") != effect.request_id:
        return "response without request id"
    if effect.method == "HEAD" or transfer.status in BODILESS_STATUSES:
        return ""
    if (
        "content-length" in unforwarded_headers
        or "transfer-encoding" in unforwarded_headers
    ):
        return ""
    # The end of such a body cannot be distinguished from a broken connection.
    return "response of unknown length"


def _interpret_poll_response(effect, sent_at, transfer):
    now = read_clock()
    value = decode_json(transfer)
    if "boot_id" not in value:
        refused = transfer.error == pycurl.E_COULDNT_CONNECT
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
