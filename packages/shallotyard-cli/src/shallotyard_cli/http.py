"""Sends HTTP requests with tornado's curl client."""

from __future__ import annotations

import dataclasses
import io

import pycurl
import result
from tornado import curl_httpclient
from tornado import httpclient

from shallotyard_core.chunked_decoder import ChunkedDecoder
from shallotyard_core.exceptions import ChunkedFormatError
from shallotyard_core.response_head import BODILESS_STATUSES
from shallotyard_core.response_head import ResponseHead

CONNECT_TIMEOUT_S = 2.0
REQUEST_TIMEOUT_S = 5.0
MAX_CONCURRENT_REQUESTS = 64

_ERRORS_BEFORE_SENDING = frozenset(
    (
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_URL_MALFORMAT,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class FetchFailure:
    """A request that failed without a valid response.

    :param may_have_arrived: whether the server may have received the request.
    :param reason: error message of the client.
    """

    may_have_arrived: bool
    reason: str


def build_client():
    """Build a curl client for the running event loop."""
    return curl_httpclient.CurlAsyncHTTPClient(
        force_instance=True, max_clients=MAX_CONCURRENT_REQUESTS
    )


async def fetch(client, url, **options):
    """Send a request on a new connection.

    :param client: client of :func:`build_client`.
    :param url: URL of the request.
    :param options: further arguments of ``tornado.httpclient.HTTPRequest``.
    :return: ``Ok`` with the tornado response, whatever its status, or ``Err`` with a
        :class:`FetchFailure`.
    """
    lines = []
    request = httpclient.HTTPRequest(
        url,
        connect_timeout=CONNECT_TIMEOUT_S,
        request_timeout=REQUEST_TIMEOUT_S,
        follow_redirects=False,
        decompress_response=False,
        header_callback=lines.append,
        prepare_curl_callback=_set_options,
        **options,
    )
    try:
        response = await client.fetch(request, raise_error=False)
    except curl_httpclient.CurlError as error:
        may_have_arrived = error.errno not in _ERRORS_BEFORE_SENDING
        return result.Err(FetchFailure(may_have_arrived, error.message or str(error)))
    except httpclient.HTTPError as error:
        return result.Err(FetchFailure(True, str(error)))
    fault = _decode_response(lines, response)
    if fault:
        return result.Err(FetchFailure(True, fault))
    return result.Ok(response)


def _decode_response(lines, response):
    """Check a response more strictly than libcurl, and decode the chunks of its body.

    :param lines: lines of all heads, interim ones included.
    :param response: the tornado response, with the body as it was sent.
    :return: why the response must not be used, ``""`` if it is valid.
    """
    head = ResponseHead()
    for line in lines:
        fault = head.add_line(line.encode("latin-1"))
        if fault:
            return fault
    if not head.is_complete:
        return "response head broken off"
    if not head.is_chunked or response.code in BODILESS_STATUSES:
        return ""
    decoder = ChunkedDecoder(accepts_extensions=True)
    try:
        body = decoder.decode(response.buffer.getvalue())
    except ChunkedFormatError as error:
        return str(error)
    if not decoder.is_complete:
        return "response body broken off"
    response.buffer = io.BytesIO(body)
    return ""


def _set_options(curl):
    # libcurl decodes chunks that are malformed.
    curl.setopt(pycurl.HTTP_TRANSFER_DECODING, 0)
    # libcurl silently repeats a request if the reused connection was closed.
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)
    # The store and the daemons are addressed by IP address, never through a proxy.
    curl.setopt(pycurl.NOPROXY, "*")
