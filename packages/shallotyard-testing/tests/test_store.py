"""Tests of the object store stand-in."""

import asyncio

import orjson
import pytest

from shallotyard_testing.processes import find_free_port
from shallotyard_testing.store import MAX_OBJECT_BYTES
from shallotyard_testing.store import Store
from shallotyard_testing.store import make_handler
from shallotyard_testing.utils import listen

_CREATE = {"If-None-Match": "*"}


@pytest.fixture
def with_store(call):
    """Return a function that runs a scenario against a new store.

    The scenario gets the URL of an object and a coroutine function that sets faults.
    """

    async def run(scenario):
        port = find_free_port()
        server = listen(make_handler(Store(seed=1)), port)
        base = f"http://127.0.0.1:{port}"

        async def set_faults(**faults):
            await call("POST", f"{base}/-/faults", orjson.dumps(faults))

        try:
            await scenario(f"{base}/v1/objects/assignments/istra", set_faults)
        finally:
            server.stop()
            await server.close_all_connections()

    return lambda scenario: asyncio.run(run(scenario))


def test_conditional_writes_refuse_an_outdated_version(call, with_store):
    """Guards against two successful writes that expect the same version."""

    async def scenario(url, set_faults):
        created = await call("PUT", url, b"a", _CREATE)
        assert (created.code, created.headers["ETag"]) == (200, '"1"')
        again = await call("PUT", url, b"b", _CREATE)
        assert (again.code, again.headers["ETag"], again.body) == (412, '"1"', b"a")
        first = await call("PUT", url, b"b", {"If-Match": '"1"'})
        second = await call("PUT", url, b"c", {"If-Match": '"1"'})
        assert (first.code, first.headers["ETag"]) == (200, '"2"')
        assert (second.code, second.headers["ETag"], second.body) == (412, '"2"', b"b")
        assert (await call("PUT", url, b"d")).code == 428

    with_store(scenario)


def test_object_above_the_size_limit_is_refused(call, with_store):
    """Guards against a stand-in that accepts objects which the platform refuses."""

    async def scenario(url, set_faults):
        body = b"x" * (MAX_OBJECT_BYTES + 1)
        assert (await call("PUT", url, body, _CREATE)).code == 413
        assert (await call("PUT", url, body[1:], _CREATE)).code == 200

    with_store(scenario)


def test_write_with_lost_response_is_applied(call, with_store):
    """Guards against a write that is not applied because its response is lost."""

    async def scenario(url, set_faults):
        await set_faults(lose_next_writes=1)
        assert (await call("PUT", url, b"a", _CREATE)).code == 599
        read = await call("GET", url)
        assert (read.code, read.body) == (200, b"a")
        assert (await call("PUT", url, b"b", {"If-Match": '"1"'})).code == 200

    with_store(scenario)


def test_denied_instance_gets_no_response(call, with_store):
    """Guards against a denied instance whose reads or writes are still served."""

    async def scenario(url, set_faults):
        await set_faults(deny_clients=["i1"])
        headers = {**_CREATE, "Shallotyard-Instance": "i1"}
        assert (await call("PUT", url, b"a", headers)).code == 599
        assert (await call("GET", url, None, headers)).code == 599
        headers["Shallotyard-Instance"] = "i2"
        assert (await call("GET", url, None, headers)).code == 404

    with_store(scenario)


def test_watch_returns_the_newer_version(call, with_store):
    """Guards against a watch that is not completed by a write or an outage."""

    async def start_watch(url, count):
        task = asyncio.ensure_future(call("GET", url))
        stats = url.split("/v1/")[0] + "/-/stats"
        while orjson.loads((await call("GET", stats)).body)["watches"] < count:
            await asyncio.sleep(0.001)
        return task

    async def scenario(url, set_faults):
        await call("PUT", url, b"a", _CREATE)
        unchanged = await call("GET", f"{url}?watch=1&timeout_ms=1")
        assert unchanged.code == 304
        # Longer than the client's time-out, so that a missed write gives 599.
        watch = f"{url}?watch=1&timeout_ms=60000"
        pending_watch = await start_watch(watch, 2)
        await call("PUT", url, b"b", {"If-Match": '"1"'})
        assert (await pending_watch).body == b"b"
        assert (await call("GET", watch)).headers["ETag"] == '"2"'
        pending_watch = await start_watch(watch.replace("=1&", "=2&"), 4)
        await set_faults(down=True)
        assert (await pending_watch).code == 503

    with_store(scenario)
