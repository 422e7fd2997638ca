"""HTTP client for the platform's store and instance list."""

import pycurl

from shallotyard_core.events import InstancesListed
from shallotyard_core.events import StoreReadFinished
from shallotyard_core.events import StoreStatus
from shallotyard_core.events import StoreWriteFinished
from shallotyard_core.instance_list import ListedInstance
from shallotyard_core.utils import format_etag
from shallotyard_core.utils import parse_etag
from shallotyard_daemon.clock import read_clock
from shallotyard_daemon.curl_pool import CurlPool
from shallotyard_daemon.json_http import decode_json
from shallotyard_daemon.transfers import Transfer

READ_TIMEOUT_S = 1.0
WRITE_TIMEOUT_S = 2.0


class PlatformClient:
    """Client for the store and the instance list.

    :param settings: the `Settings`.
    :param dispatch: function that takes an event.
    """

    def __init__(self, settings, dispatch):
        self.settings = settings
        self.dispatch = dispatch
        self.pool = CurlPool(force_instance=True)

    @classmethod
    def from_settings(cls, settings, dispatch):
        """Create a client for the URLs given in the settings."""
        return cls(settings, dispatch)

    def read(self, effect):
        """Carry out a `ReadStore` effect."""
        started_at = read_clock()
        headers = {}
        if effect.etag:
            headers["If-None-Match"] = format_etag(effect.etag)

        def finish(transfer):
            status = _READ_STATUS_BY_CODE.get(transfer.status, StoreStatus.FAILED)
            etag = _find_etag(transfer) or effect.etag
            body = transfer.response_body
            self.dispatch(
                StoreReadFinished(
                    read_clock(), effect.name, started_at, status, etag, body
                )
            )

        self._start_request(
            self._build_object_url(effect.name),
            "GET",
            headers,
            b"",
            READ_TIMEOUT_S,
            finish,
        )

    def write(self, effect):
        """Carry out a `WriteStore` effect."""
        if effect.etag:
            headers = {"If-Match": format_etag(effect.etag)}
        else:
            headers = {"If-None-Match": "*"}

        def finish(transfer):
            self.dispatch(
                StoreWriteFinished(
                    read_clock(),
                    effect.name,
                    effect.nonce,
                    _interpret_write_response(transfer),
                    _find_etag(transfer),
                )
            )

        url = self._build_object_url(effect.name)
        self._start_request(url, "PUT", headers, effect.body, WRITE_TIMEOUT_S, finish)

    def list_instances(self):
        """Carry out a `ListInstances` effect."""

        def finish(transfer):
            entries = decode_json(transfer).get("instances")
            if entries is None:
                return
            listed = [
                ListedInstance(
                    str(entry["id"]),
                    str(entry["domain"]),
                    str(entry["address"]),
                    entry.get("state") == "leaving",
                )
                for entry in entries
            ]
            self.dispatch(InstancesListed(read_clock(), listed))

        url = f"{self.settings.instance_list_url}/v1/instances"
        self._start_request(url, "GET", {}, b"", READ_TIMEOUT_S, finish)

    def _build_object_url(self, name):
        return f"{self.settings.store_url}/v1/objects/{name}"

    def _start_request(self, url, method, headers, body, timeout_s, finish):
        headers["Shallotyard-Instance"] = self.settings.instance
        timeout_ms = int(timeout_s * 1000)
        self.pool.start(
            Transfer(
                url,
                method,
                [f"{name}: {value}".encode() for name, value in headers.items()],
                body,
                timeout_ms,
                timeout_ms,
                False,
                b"",
                _always_true,
                finish,
                # A write depends on the ETag, and takes effect once.
                repeatable=True,
            )
        )


def _always_true():
    return True


def _find_etag(transfer):
    """Return the ETag of a response, ``""`` without one."""
    for name, value in transfer.response_headers():
        if name.lower() == "etag":
            return parse_etag(value)
    return ""


_READ_STATUS_BY_CODE = {
    200: StoreStatus.DONE,
    304: StoreStatus.NOT_MODIFIED,
    404: StoreStatus.ABSENT,
}


def _interpret_write_response(transfer):
    if transfer.status == 200:
        return StoreStatus.DONE
    if transfer.status == 412:
        return StoreStatus.CONFLICT
    if transfer.status == 503:
        # By the store's protocol, a refused call has no effect.
        return StoreStatus.FAILED
    if transfer.error == pycurl.E_COULDNT_CONNECT:
        return StoreStatus.FAILED
    return StoreStatus.UNCLEAR
