"""Builds requests for tornado's curl client."""

import pycurl
from tornado.httpclient import HTTPRequest
from tornado.httputil import HTTPHeaders

USER_AGENT = "shallotyard"
# A connection that something on the way has forgotten is silent for good, so
# idle connections are not trusted for long.
MAX_IDLE_S = 5


def create_request(url, method, headers, body, connect_timeout_s, timeout_s, prepare):
    """Return a request with every option set that the curl client reads.

    ``fetch_impl`` is called without tornado's layer of defaults, which costs
    more per request than the transfer's own set-up.

    :param timeout_s: total time in seconds.
    :param prepare: function that sets further options of the handle.
    """
    return HTTPRequest(
        url,
        method=method,
        headers=HTTPHeaders(headers),
        body=body,
        connect_timeout=connect_timeout_s,
        request_timeout=timeout_s,
        follow_redirects=False,
        max_redirects=0,
        decompress_response=False,
        allow_nonstandard_methods=True,
        validate_cert=True,
        user_agent=USER_AGENT,
        prepare_curl_callback=prepare,
    )


def prepare_control(curl):
    """Set the options of calls that are not caller requests.

    Handles are reused, so every option that another request sets must be set
    here.
    """
    curl.setopt(pycurl.PREREQFUNCTION, _always_write)
    curl.setopt(pycurl.FRESH_CONNECT, 0)
    curl.setopt(pycurl.MAXAGE_CONN, MAX_IDLE_S)
    curl.setopt(pycurl.NOPROXY, "*")


def _always_write(*_):
    return pycurl.PREREQFUNC_OK
