"""Fixtures for the tests of the stand-ins."""

import pytest
from tornado.httpclient import HTTPError
from tornado.httpclient import HTTPRequest
from tornado.httpclient import HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient


@pytest.fixture
def call():
    """Return a coroutine function that makes one HTTP call on a new connection.

    A call without a complete response returns status 599.
    """

    async def call_once(method, url, body=None, headers=None):
        client = SimpleAsyncHTTPClient(force_instance=True)
        request = HTTPRequest(
            url,
            method=method,
            body=body,
            headers=headers or {},
            allow_nonstandard_methods=True,
        )
        try:
            return await client.fetch(request, raise_error=False)
        except (HTTPError, OSError):
            return HTTPResponse(request, 599)
        finally:
            client.close()

    return call_once
