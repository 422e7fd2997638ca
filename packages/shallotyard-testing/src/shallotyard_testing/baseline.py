"""Comparison proxies on tornado's HTTP server and curl client.

``bare`` forwards every request to the next upstream. ``baseline`` sends unkeyed
requests round robin and keyed ones by a static hash of the key. Neither limits
requests in flight, hedges or retries.
"""

import asyncio
import itertools
import pathlib
import sys
import zlib

import orjson
import uvloop
from absl import flags
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPRequest
from tornado.httputil import HTTPHeaders

from shallotyard_testing.utils import parse_flags
from shallotyard_testing.utils import respond
from shallotyard_testing.utils import serve_forever

_FLAGS = flags.FlagValues()
flags.DEFINE_enum("mode", "bare", ["bare", "baseline"], "kind", flag_values=_FLAGS)
flags.DEFINE_string("address", "127.0.0.1", "IP address", flag_values=_FLAGS)
flags.DEFINE_integer("port", 9002, "TCP port", flag_values=_FLAGS)
flags.DEFINE_list(
    "upstreams", [], "addresses that serve every path", flag_values=_FLAGS
)
flags.DEFINE_string(
    "manifest", None, "manifest whose routes are served", flag_values=_FLAGS
)
flags.DEFINE_integer("max_clients", 2000, "curl transfers at once", flag_values=_FLAGS)
flags.DEFINE_float("timeout_s", 30.0, "limit per transfer", flag_values=_FLAGS)

# Hop-by-hop headers, and those that the proxy writes itself.
_HOP_BY_HOP_HEADERS = (
    "Connection",
    "Keep-Alive",
    "Transfer-Encoding",
    "Content-Length",
)


def read_routes(manifest):
    """Return the upstream addresses of each route of a manifest.

    :param manifest: manifest as a dict.
    :return: pairs of path prefix and addresses, longest prefix first.
    """
    addresses_by_service = {}
    for upstream in manifest["upstreams"].values():
        addresses = addresses_by_service.setdefault(upstream["service"], [])
        addresses.append(upstream["address"])
    routes = [
        (route["prefix"], addresses_by_service.get(route["service"], []))
        for route in manifest["routes"]
    ]
    return sorted(routes, key=lambda route: -len(route[0]))


def make_chooser(routes, hash_keys):
    """Return the function that selects an upstream.

    :param routes: pairs of path prefix and addresses.
    :param hash_keys: whether keyed requests are routed by the hash of their key.
    :return: function of path and key that returns an address or ``None``.
    """
    address_cycles_by_prefix = {
        prefix: itertools.cycle(each) for prefix, each in routes if each
    }

    def choose(path, key):
        for prefix, addresses in routes:
            if path.startswith(prefix) and addresses:
                if hash_keys and key:
                    return addresses[zlib.crc32(key.encode()) % len(addresses)]
                return next(address_cycles_by_prefix[prefix])
        return None

    return choose


def _copy_headers(headers):
    copied = HTTPHeaders(headers)
    for name in _HOP_BY_HOP_HEADERS:
        copied.pop(name, None)
    return copied


def make_handler(choose, client, timeout_s):
    """Return the request callback of a proxy.

    :param choose: function of path and key that returns an address.
    :param client: tornado HTTP client.
    :param timeout_s: limit of one transfer, in seconds.
    :return: function that takes an ``HTTPServerRequest``.
    """
    tasks = set()

    async def forward(request, address):
        outgoing = HTTPRequest(
            f"http://{address}{request.uri}",
            method=request.method,
            headers=_copy_headers(request.headers),
            body=request.body or None,
            allow_nonstandard_methods=True,
            follow_redirects=False,
            decompress_response=False,
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
        )
        response = await client.fetch(outgoing, raise_error=False)
        if response.error is not None and response.code == 599:
            respond(request, 502)
            return
        headers = _copy_headers(response.headers)
        respond(request, response.code, response.body, headers)

    def handle(request):
        address = choose(request.path, request.headers.get("Shallotyard-Key"))
        if address is None:
            respond(request, 404)
            return
        task = asyncio.get_running_loop().create_task(forward(request, address))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    return handle


async def _serve():
    AsyncHTTPClient.configure(
        "tornado.curl_httpclient.CurlAsyncHTTPClient", max_clients=_FLAGS.max_clients
    )
    if _FLAGS.manifest:
        manifest = orjson.loads(pathlib.Path(_FLAGS.manifest).read_bytes())
        routes = read_routes(manifest)
    else:
        routes = [("/", _FLAGS.upstreams)]
    choose = make_chooser(routes, _FLAGS.mode == "baseline")
    handle = make_handler(choose, AsyncHTTPClient(), _FLAGS.timeout_s)
    await serve_forever(handle, _FLAGS.port, _FLAGS.address)


if __name__ == "__main__":
    parse_flags(_FLAGS, sys.argv)
    uvloop.run(_serve())
