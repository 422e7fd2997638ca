"""Stand-in for the platform's object store, with fault injection."""

import asyncio
import random
import sys
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field

import orjson
import uvloop
from absl import flags

from shallotyard_testing.utils import drop_connection
from shallotyard_testing.utils import parse_flags
from shallotyard_testing.utils import respond
from shallotyard_testing.utils import respond_json
from shallotyard_testing.utils import serve_forever

_FLAGS = flags.FlagValues()
flags.DEFINE_string("address", "127.0.0.1", "IP address", flag_values=_FLAGS)
flags.DEFINE_integer("port", 9000, "TCP port", flag_values=_FLAGS)
flags.DEFINE_integer("seed", 1, "seed of lost replies", flag_values=_FLAGS)

MAX_OBJECT_BYTES = 1_000_000
_MAX_WATCH_MS = 60_000
_OBJECT_PREFIX = "/v1/objects/"


@dataclass
class Faults:
    """Active faults; ``POST /-/faults`` sets the fields named in its JSON body.

    :param down: calls for objects get status 503.
    :param delay_ms: delay of each call in milliseconds.
    :param lose_replies: probability that the response to a write is lost.
    :param lose_next_writes: number of writes whose responses will be lost.
    :param deny_clients: ids of instances whose connections are closed.
    """

    down: bool = False
    delay_ms: float = 0.0
    lose_replies: float = 0.0
    lose_next_writes: int = 0
    deny_clients: list = field(default_factory=list)


@dataclass
class Stats:
    """Counts of calls since the process started."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    conflicts: int = 0


@dataclass
class StoredObject:
    """The current version of an object; versions start at 1."""

    version: int
    body: bytes


class Store:
    """Objects, pending watches and active faults of one store.

    :param seed: seed of the random generator that selects lost responses.
    """

    def __init__(self, seed):
        self.objects_by_name = {}
        self.watch_futures_by_name = {}
        self.faults = Faults()
        self.stats = Stats()
        self.random = random.Random(seed)

    def wake_watches(self, name):
        """Complete the pending watch futures of one object.

        :param name: name of the object.
        """
        for future in self.watch_futures_by_name.pop(name, ()):
            if not future.done():
                future.set_result(None)

    def draw_response_loss(self):
        """Decide at random whether the response to an applied write is lost.

        :return: ``True`` if it is lost.
        """
        if self.faults.lose_next_writes > 0:
            self.faults.lose_next_writes -= 1
            return True
        return self.random.random() < self.faults.lose_replies


def _respond_object(request, status, stored):
    if stored is None:
        respond(request, status)
        return
    body = b"" if status == 304 else stored.body
    respond(request, status, body, {"ETag": f'"{stored.version}"'})


def _apply_fault(store, request):
    """Fail a call if an active fault affects it, and return whether one does."""
    instance = request.headers.get("Shallotyard-Instance", "")
    if instance and instance in store.faults.deny_clients:
        drop_connection(request)
        return True
    if store.faults.down:
        respond(request, 503)
        return True
    return False


async def _wait_for_newer_version(store, name, version, timeout_ms):
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_ms / 1000.0
    while not store.faults.down:
        stored = store.objects_by_name.get(name)
        remaining_s = deadline - loop.time()
        if (stored is not None and stored.version > version) or remaining_s <= 0:
            return
        future = loop.create_future()
        futures = store.watch_futures_by_name.setdefault(name, [])
        futures.append(future)
        await asyncio.wait([future], timeout=remaining_s)
        if future in futures:
            futures.remove(future)


async def _read(store, request, name):
    arguments = request.arguments
    if "watch" in arguments:
        store.stats.watches += 1
        version = int(arguments["watch"][0])
        timeout_ms = float(arguments.get("timeout_ms", [b"0"])[0])
        await _wait_for_newer_version(
            store, name, version, min(timeout_ms, _MAX_WATCH_MS)
        )
        known_etag = f'"{version}"'
    else:
        store.stats.reads += 1
        known_etag = request.headers.get("If-None-Match")
    stored = store.objects_by_name.get(name)
    await _sleep_half_delay(store)
    if _apply_fault(store, request):
        return
    if stored is None:
        respond(request, 404)
        return
    _respond_object(
        request, 304 if known_etag == f'"{stored.version}"' else 200, stored
    )


def _find_write_error_status(store, request, name):
    """Check the size and the preconditions of a write.

    :return: error status, or ``None`` if the write is allowed.
    """
    stored = store.objects_by_name.get(name)
    if len(request.body) > MAX_OBJECT_BYTES:
        return 413
    if request.headers.get("If-None-Match") == "*":
        return 412 if stored is not None else None
    expected_etag = request.headers.get("If-Match")
    if expected_etag is None:
        return 428
    if stored is None or expected_etag != f'"{stored.version}"':
        return 412
    return None


async def _write(store, request, name):
    store.stats.writes += 1
    status = _find_write_error_status(store, request, name)
    if status == 412:
        store.stats.conflicts += 1
    stored = store.objects_by_name.get(name)
    if status is None:
        version = stored.version + 1 if stored is not None else 1
        stored = StoredObject(version, bytes(request.body))
        store.objects_by_name[name] = stored
        store.wake_watches(name)
        if store.draw_response_loss():
            drop_connection(request)
            return
    await _sleep_half_delay(store)
    if status is None and store.faults.down:
        # Clients take a 503 as proof that the write was not applied.
        drop_connection(request)
        return
    if _apply_fault(store, request):
        return
    if status == 412:
        _respond_object(request, 412, stored)
    elif status is not None:
        respond(request, status)
    else:
        respond(request, 200, b"", {"ETag": f'"{stored.version}"'})


async def _sleep_half_delay(store):
    # Called before and after the operation, with half of the delay each time, so
    # that both late writes and outdated responses occur.
    if store.faults.delay_ms > 0:
        await asyncio.sleep(store.faults.delay_ms / 2000.0)


async def _serve_object(store, request):
    if _apply_fault(store, request):
        return
    await _sleep_half_delay(store)
    name = request.path[len(_OBJECT_PREFIX) :]
    try:
        if request.method == "GET":
            await _read(store, request, name)
        elif request.method == "PUT":
            await _write(store, request, name)
        else:
            respond(request, 405)
    except ValueError:
        respond(request, 400)


def _handle_faults(store, request):
    if request.method == "POST":
        changes = orjson.loads(request.body)
        unknown = set(changes) - set(asdict(store.faults))
        if unknown:
            respond_json(request, {"unknown": sorted(unknown)}, 400)
            return
        for name, value in changes.items():
            setattr(store.faults, name, value)
        for name in list(store.watch_futures_by_name):
            store.wake_watches(name)
    respond_json(request, asdict(store.faults))


def _build_dump(store):
    return {
        name: {
            "version": stored.version,
            "body": stored.body.decode("utf-8", "replace"),
        }
        for name, stored in store.objects_by_name.items()
    }


def make_handler(store):
    """Return the request handler of a store.

    :param store: the ``Store`` to serve.
    :return: function that takes an ``HTTPServerRequest``.
    """
    tasks = set()

    def handle(request):
        if request.path.startswith(_OBJECT_PREFIX):
            task = asyncio.get_running_loop().create_task(_serve_object(store, request))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        elif request.path == "/-/faults":
            _handle_faults(store, request)
        elif request.path == "/-/stats":
            respond_json(request, asdict(store.stats))
        elif request.path == "/-/dump":
            respond_json(request, _build_dump(store))
        else:
            respond(request, 404)

    return handle


if __name__ == "__main__":
    parse_flags(_FLAGS, sys.argv)
    handler = make_handler(Store(_FLAGS.seed))
    uvloop.run(serve_forever(handler, _FLAGS.port, _FLAGS.address))
