"""Load tool: sends seeded requests to daemons and checks the responses."""

import asyncio
import bisect
import itertools
import random
import secrets
import sys
import time
from dataclasses import asdict
from dataclasses import dataclass

import orjson
import uvloop
from absl import flags
from hdrh.histogram import HdrHistogram

from shallotyard_testing.load_report import Recorder
from shallotyard_testing.utils import parse_flags

_FLAGS = flags.FlagValues()
flags.DEFINE_list("addresses", [], "addresses of the daemons", flag_values=_FLAGS)
flags.DEFINE_string("credential", "", "bearer credential", flag_values=_FLAGS)
flags.DEFINE_float("duration_s", 10.0, "sending time", flag_values=_FLAGS)
flags.DEFINE_integer("connections", 32, "connections in all", flag_values=_FLAGS)
flags.DEFINE_float(
    "rate", 0.0, "requests/s in an open loop; 0 for a closed loop", flag_values=_FLAGS
)
flags.DEFINE_string("keyed_path", "/status/item", "keyed path", flag_values=_FLAGS)
flags.DEFINE_string("unkeyed_path", "/till/item", "unkeyed path", flag_values=_FLAGS)
flags.DEFINE_float("keyed_share", 0.5, "share of keyed", flag_values=_FLAGS)
flags.DEFINE_float("write_share", 0.1, "share of POST", flag_values=_FLAGS)
flags.DEFINE_integer("keys", 1000, "number of keys", flag_values=_FLAGS)
flags.DEFINE_float("zipf_s", 1.0, "exponent of the keys", flag_values=_FLAGS)
flags.DEFINE_integer("seed", 1, "seed of all choices", flag_values=_FLAGS)
flags.DEFINE_integer("deadline_ms", 2000, "deadline sent", flag_values=_FLAGS)
flags.DEFINE_float("timeout_s", 10.0, "longest wait", flag_values=_FLAGS)
flags.DEFINE_integer("repeats", 0, "own repeats", flag_values=_FLAGS)
flags.DEFINE_integer("upstreams", 0, "upstreams per path", flag_values=_FLAGS)

# Pause after a refused connection, so that a closed loop does not spin.
_RECONNECT_PAUSE_S = 0.05
_LATENCY_LIMIT_US = 120_000_000


@dataclass(frozen=True)
class LoadOptions:
    """Options of a load run; each is also a flag.

    :param addresses: ``ip:port`` of the daemons, used in turn by the connections.
    :param rate: requests/s of an open loop; 0 for a closed loop.
    :param keyed_share: share of requests for ``keyed_path``.
    :param write_share: share of POST requests; the others are GET.
    :param zipf_s: exponent of the Zipf distribution of the keys.
    :param timeout_s: maximum wait for a response in seconds.
    :param repeats: maximum number of repeats of a failed request.
    :param upstreams: number of upstreams per path for the imbalance; 0 for those
        named in responses.
    """

    addresses: tuple = ()
    credential: str = ""
    duration_s: float = 10.0
    connections: int = 32
    rate: float = 0.0
    keyed_path: str = "/status/item"
    unkeyed_path: str = "/till/item"
    keyed_share: float = 0.5
    write_share: float = 0.1
    keys: int = 1000
    zipf_s: float = 1.0
    seed: int = 1
    deadline_ms: int = 2000
    timeout_s: float = 10.0
    repeats: int = 0
    upstreams: int = 0


@dataclass(frozen=True, slots=True)
class Request:
    """One request of the load; ``payload`` holds its bytes on the wire."""

    path: str
    key: str
    query: str
    payload: bytes


@dataclass(slots=True)
class Response:
    """The parts of a response that the load tool checks."""

    status: int
    verdict: str
    request_id: str
    body: bytes
    closes_connection: bool


@dataclass(slots=True)
class Connection:
    """A keep-alive connection to one daemon, opened by the first request."""

    address: str
    reader: object = None
    writer: object = None

    def close(self):
        """Close the connection; the next request opens a new one."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def make_key_chooser(keys, zipf_s, generator):
    """Return a function that draws keys from a Zipf distribution.

    :param keys: number of keys.
    :param zipf_s: exponent; 0 makes all keys equally likely.
    :param generator: seeded ``random.Random``.
    """
    weights = (1.0 / rank**zipf_s for rank in range(1, keys + 1))
    cumulative = list(itertools.accumulate(weights))

    def draw_key():
        position = bisect.bisect(cumulative, generator.random() * cumulative[-1])
        return f"key-{min(position, keys - 1)}"

    return draw_key


def make_request_builder(options):
    """Return a function that builds the next request of the seeded sequence.

    :param options: the ``LoadOptions``.
    """
    generator = random.Random(options.seed)
    draw_key = make_key_chooser(options.keys, options.zipf_s, generator)
    numbers = itertools.count()
    # Two runs with the same seed must not use the same idempotency keys.
    run_id = secrets.token_hex(4)

    def build_request():
        is_keyed = generator.random() < options.keyed_share
        is_write = generator.random() < options.write_share
        query = f"n={run_id}-{next(numbers)}"
        path = options.keyed_path if is_keyed else options.unkeyed_path
        key = draw_key() if is_keyed else ""
        body = f"write {query}".encode() if is_write else b""
        lines = [
            f"{'POST' if is_write else 'GET'} {path}?{query} HTTP/1.1",
            "Host: load",
            f"Authorization: Bearer {options.credential}",
            f"Shallotyard-Deadline-Ms: {options.deadline_ms}",
        ]
        if is_keyed:
            lines.append(f"Shallotyard-Key: {key}")
        if is_write:
            lines.append(f"Idempotency-Key: load-{query}")
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode("latin-1")
        return Request(path, key, query, head + b"\r\n\r\n" + body)

    return build_request


async def _read_response(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status_line, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers["content-length"]))
    return Response(
        status=int(status_line.split(" ", 2)[1]),
        verdict=headers.get("shallotyard-verdict", "none"),
        request_id=headers.get("shallotyard-request-id", ""),
        body=body,
        closes_connection=headers.get("connection", "").lower() == "close",
    )


async def _exchange(connection, payload):
    if connection.writer is None:
        host, port = connection.address.rsplit(":", 1)
        connection.reader, connection.writer = await asyncio.open_connection(host, port)
    connection.writer.write(payload)
    return await _read_response(connection.reader)


async def _send(connection, request, timeout_s):
    """Send a request and return its response, or the name of the failure."""
    try:
        async with asyncio.timeout(timeout_s):
            response = await _exchange(connection, request.payload)
    except TimeoutError:
        connection.close()
        return "timeout"
    except ConnectionRefusedError:
        await asyncio.sleep(_RECONNECT_PAUSE_S)
        return "refused"
    except (OSError, EOFError):
        connection.close()
        return "reset"
    except (KeyError, ValueError, IndexError):
        connection.close()
        return "malformed"
    if response.closes_connection:
        connection.close()
    return response


async def _run_request(options, recorder, connection, request, due_at):
    for attempt in itertools.count():
        response = await _send(connection, request, options.timeout_s)
        now = time.monotonic()
        succeeded = recorder.record_attempt(request, response, now, attempt > 0)
        if succeeded or attempt >= options.repeats:
            break
    recorder.record_latency(now - due_at, succeeded)


async def _run_closed_loop(options, recorder, connection, build_request, ends_at):
    while time.monotonic() < ends_at:
        request = build_request()
        due_at = time.monotonic()
        await _run_request(options, recorder, connection, request, due_at)
    connection.close()


async def _run_open_loop(options, recorder, connection, queue):
    while (item := await queue.get()) is not None:
        request, due_at = item
        await _run_request(options, recorder, connection, request, due_at)
    connection.close()


async def _queue_due_requests(options, build_request, queue, ends_at):
    """Queue each request when it is due, independently of earlier responses."""
    generator = random.Random(options.seed + 1)
    due_at = time.monotonic()
    while due_at < ends_at:
        delay = due_at - time.monotonic()
        if delay > 0:
            await asyncio.sleep(delay)
        queue.put_nowait((build_request(), due_at))
        due_at += generator.expovariate(options.rate)
    for _ in range(options.connections):
        queue.put_nowait(None)


async def run_load(options):
    """Send requests for ``duration_s`` and return the report.

    In an open loop, latencies are measured from the time a request was due.

    :param options: the ``LoadOptions``.
    :return: the ``LoadReport``.
    """
    build_request = make_request_builder(options)
    histogram = HdrHistogram(1, _LATENCY_LIMIT_US, 3)
    recorder = Recorder(histogram)
    addresses = itertools.cycle(options.addresses)
    connections = [Connection(next(addresses)) for _ in range(options.connections)]
    started_at = time.monotonic()
    ends_at = started_at + options.duration_s
    if options.rate > 0:
        queue = asyncio.Queue()
        coroutines = [
            _run_open_loop(options, recorder, connection, queue)
            for connection in connections
        ]
        coroutines.append(_queue_due_requests(options, build_request, queue, ends_at))
    else:
        coroutines = [
            _run_closed_loop(options, recorder, connection, build_request, ends_at)
            for connection in connections
        ]
    await asyncio.gather(*coroutines)
    return recorder.build_report(time.monotonic() - started_at, options.upstreams)


def _print_report(report):
    value = asdict(report)
    # One entry for each key is too much to print; callers of ``run_load`` get it.
    del value["unavailable_s_by_key"]
    sys.stdout.write(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode() + "\n")


if __name__ == "__main__":
    parse_flags(_FLAGS, sys.argv)
    _names = LoadOptions.__dataclass_fields__
    _print_report(
        uvloop.run(
            run_load(LoadOptions(**{name: _FLAGS[name].value for name in _names}))
        )
    )
