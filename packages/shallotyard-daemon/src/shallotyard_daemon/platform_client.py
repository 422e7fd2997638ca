"""HTTP client for the platform's store and instance list."""

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient

from shallotyard_core.events import InstancesListed
from shallotyard_core.events import StoreReadFinished
from shallotyard_core.events import StoreStatus
from shallotyard_core.events import StoreWriteFinished
from shallotyard_core.instance_list import ListedInstance
from shallotyard_core.response_head import is_malformed_status_line
from shallotyard_core.utils import format_etag
from shallotyard_core.utils import parse_etag
from shallotyard_daemon.clock import read_clock
from shallotyard_daemon.json_http import decode_json
from shallotyard_daemon.transfers import create_request
from shallotyard_daemon.transfers import set_control_options

READ_TIMEOUT_S = 1.0
WRITE_TIMEOUT_S = 2.0
MAX_HANDLES = 32


class _StrictCurlClient(CurlAsyncHTTPClient):
    """Curl client that fails responses with a malformed status line.

    It overrides an undocumented method of tornado 6.6, which is pinned in
    requirements.txt.
    """

    def _curl_header_callback(self, headers, header_callback, line):
        if is_malformed_status_line(line):
            # libcurl fails a transfer if not all bytes are accepted.
            return 0
        super()._curl_header_callback(headers, header_callback, line)
        return None


class PlatformClient:
    """Client for the store and the instance list.

    :param settings: the `Settings`.
    :param dispatch: function that takes an event.
    """

    def __init__(self, settings, dispatch):
        self.settings = settings
        self.dispatch = dispatch
        self.client = _StrictCurlClient(force_instance=True, max_clients=MAX_HANDLES)

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

        def finish(response):
            status = _READ_STATUS_BY_CODE.get(response.code, StoreStatus.FAILED)
            etag = parse_etag(response.headers.get("ETag", "")) or effect.etag
            body = response.body or b""
            self.dispatch(
                StoreReadFinished(
                    read_clock(), effect.name, started_at, status, etag, body
                )
            )

        self._start_request(
            self._build_object_url(effect.name),
            "GET",
            headers,
            None,
            READ_TIMEOUT_S,
            finish,
        )

    def write(self, effect):
        """Carry out a `WriteStore` effect."""
        if effect.etag:
            headers = {"If-Match": format_etag(effect.etag)}
        else:
            headers = {"If-None-Match": "*"}

        def finish(response):
            self.dispatch(
                StoreWriteFinished(
                    read_clock(),
                    effect.name,
                    effect.nonce,
                    _interpret_write_response(response),
                    parse_etag(response.headers.get("ETag", "")),
                )
            )

        url = self._build_object_url(effect.name)
        self._start_request(url, "PUT", headers, effect.body, WRITE_TIMEOUT_S, finish)

    def list_instances(self):
        """Carry out a `ListInstances` effect."""

        def finish(response):
            entries = decode_json(response).get("instances")
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
        self._start_request(url, "GET", {}, None, READ_TIMEOUT_S, finish)

    def _build_object_url(self, name):
        return f"{self.settings.store_url}/v1/objects/{name}"

    def _start_request(self, url, method, headers, body, timeout_s, finish):
        headers["Shallotyard-Instance"] = self.settings.instance
        request = create_request(
            url, method, headers, body, timeout_s, timeout_s, set_control_options
        )
        self.client.fetch_impl(request, finish)


_READ_STATUS_BY_CODE = {
    200: StoreStatus.DONE,
    304: StoreStatus.NOT_MODIFIED,
    404: StoreStatus.ABSENT,
}


def _interpret_write_response(response):
    if response.code == 200:
        return StoreStatus.DONE
    if response.code == 412:
        return StoreStatus.CONFLICT
    if response.code == 503:
        # By the store's protocol, a refused call has no effect.
        return StoreStatus.FAILED
    if getattr(response.error, "errno", None) == pycurl.E_COULDNT_CONNECT:
        return StoreStatus.FAILED
    return StoreStatus.UNCLEAR
