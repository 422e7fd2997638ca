"""Sends HTTP requests with tornado's curl client."""

from __future__ import annotations

import dataclasses

import pycurl
import result
from tornado import curl_httpclient
from tornado import httpclient

CONNECT_TIMEOUT_S = 2.0
REQUEST_TIMEOUT_S = 5.0
MAX_CONCURRENT_REQUESTS = 64

_ERRORS_BEFORE_SENDING = frozenset(
    (
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_URL_MALFORMAT,
        pycurl.E_UNSUPPORTED_PROTOCOL,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class FetchFailure:
    """A request that failed without a response.

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
    request = httpclient.HTTPRequest(
        url,
        connect_timeout=CONNECT_TIMEOUT_S,
        request_timeout=REQUEST_TIMEOUT_S,
        follow_redirects=False,
        prepare_curl_callback=_use_new_connection,
        **options,
    )
    try:
        return result.Ok(await client.fetch(request, raise_error=False))
    except curl_httpclient.CurlError as error:
        may_have_arrived = error.errno not in _ERRORS_BEFORE_SENDING
        return result.Err(FetchFailure(may_have_arrived, error.message or str(error)))
    except httpclient.HTTPError as error:
        return result.Err(FetchFailure(True, str(error)))


def _use_new_connection(curl):
    # libcurl silently repeats a request if the reused connection was closed.
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)
    # The store and the daemons are addressed by IP address, never through a proxy.
    curl.setopt(pycurl.NOPROXY, "*")
