"""Tests of the upstream stand-in."""

import asyncio

import orjson
import pytest

from shallotyard_testing.journal import Journal
from shallotyard_testing.processes import find_free_port
from shallotyard_testing.upstream import start_upstreams
from shallotyard_testing.upstream_lifecycle import apply_control
from shallotyard_testing.upstream_state import UpstreamConfig

# No request or cold start of this duration ends within a test.
_LONGER_THAN_TEST_MS = 3_600_000.0


class _Harness:
    """Client of one upstream that runs in the event loop of the test."""

    def __init__(self, call, upstream):
        self._call = call
        self.upstream = upstream
        self.base = f"http://127.0.0.1:{upstream.config.port}"

    async def send(self, request_id, method="GET", body=None, **headers):
        all_headers = {"Shallotyard-Request-Id": request_id, "Shallotyard-Key": "k"}
        for name, value in headers.items():
            all_headers["Shallotyard-" + name.replace("_", "-")] = str(value)
        return await self._call(method, f"{self.base}/x", body, all_headers)

    async def start(self, request_id, **headers):
        """Send a request and wait until the upstream has accepted it."""
        pending = asyncio.ensure_future(self.send(request_id, **headers))
        while not (
            request_id in self.upstream.running_by_id
            or request_id in self.upstream.queued_by_id
        ):
            await asyncio.sleep(0.001)
        return pending

    async def post(self, path, method="POST", **value):
        url = f"{self.base}{path}"
        response = await self._call(method, url, orjson.dumps(value))
        return orjson.loads(response.body)

    async def grant(self, epochs, expires_in_ms=60_000.0, boot_id=None, revoked=()):
        value = await self.post(
            "/-/grants",
            "PUT",
            boot_id=boot_id or self.upstream.boot_id,
            expires_at_ms=self.upstream.clock_ms() + expires_in_ms,
            epochs=epochs,
            revoked=list(revoked),
        )
        return value["accepted"]


@pytest.fixture
def with_upstream(call):
    """Return a function that runs a scenario against a new upstream.

    The scenario gets a `_Harness`; keyword arguments are fields of
    ``UpstreamConfig``.
    """

    async def run(scenario, options):
        config = UpstreamConfig("u1", find_free_port(), "statusdesk", **options)
        upstream = start_upstreams([config], Journal(1000))["u1"]
        try:
            await scenario(_Harness(call, upstream))
        finally:
            apply_control(upstream, {"die": True})

    return lambda scenario, **options: asyncio.run(run(scenario, options))


def _read_status_and_verdict(response):
    return response.code, response.headers.get("Shallotyard-Verdict")


def _count_commits(harness):
    return harness.upstream.counters.committed


def test_response_has_request_id_boot_id_and_executions(with_upstream):
    """Guards against responses that cannot be matched to their request."""

    async def scenario(harness):
        await harness.send("r1")
        response = await harness.send("r2")
        assert response.headers["Shallotyard-Request-Id"] == "r2"
        assert response.headers["Shallotyard-Boot-Id"] == harness.upstream.boot_id
        value = orjson.loads(response.body)
        assert (value["request_id"], value["key"]) == ("r2", "k")
        assert value["executions"] == 2

    with_upstream(scenario, work_ms=0)


def test_ungranted_epoch_is_refused(with_upstream):
    """Guards against the execution of requests of a fenced holder."""

    async def scenario(harness):
        assert _read_status_and_verdict(await harness.send("r1")) == (409, "not-run")
        assert await harness.grant({"7": 3})
        assert (await harness.send("r2", Slice=7, Epoch=3)).code == 200
        for epoch in (2, 4):
            response = await harness.send("r3", Slice=7, Epoch=epoch)
            assert _read_status_and_verdict(response) == (409, "not-run")
        assert _count_commits(harness) == 1

    with_upstream(scenario, work_ms=0, checks_grants=True)


def test_grant_is_checked_again_at_commit(with_upstream):
    """Guards against the commit of a request whose epoch has been replaced."""

    async def scenario(harness):
        await harness.grant({"7": 3})
        pending = await harness.start("r1", Slice=7, Epoch=3)
        assert await harness.grant({"7": 4})
        assert _read_status_and_verdict(await pending) == (409, "not-run")
        assert _count_commits(harness) == 0

    with_upstream(scenario, work_ms=200, checks_grants=True)


def test_delayed_or_expired_grant_is_refused(with_upstream):
    """Guards against a delayed message that restores an old grant."""

    async def scenario(harness):
        await harness.grant({"7": 4})
        assert not await harness.grant({"7": 3})
        assert not await harness.grant({"7": 4}, expires_in_ms=-1.0)
        assert not await harness.grant({"7": 5}, boot_id="another")
        assert (await harness.send("r1", Slice=7, Epoch=4)).code == 200
        expired_at = harness.upstream.clock_ms() - 1.0
        harness.upstream.grant_table.grants_by_slice["7"] = (4, expired_at)
        response = await harness.send("r2", Slice=7, Epoch=4)
        assert _read_status_and_verdict(response) == (409, "not-run")

    with_upstream(scenario, work_ms=0, checks_grants=True)


def test_grants_of_slices_are_independent(with_upstream):
    """Guards against a renewal that ends or extends the grant of another slice."""

    async def scenario(harness):
        await harness.grant({"7": 4, "8": 4})
        assert await harness.grant({"8": 5})
        assert (await harness.send("r1", Slice=7, Epoch=4)).code == 200
        value = await harness.post(
            "/-/grants",
            "PUT",
            boot_id=harness.upstream.boot_id,
            expires_at_ms=0,
            epochs={},
            revoked=["7"],
        )
        assert value["accepted"]
        response = await harness.send("r2", Slice=7, Epoch=4)
        assert _read_status_and_verdict(response) == (409, "not-run")
        assert (await harness.send("r3", Slice=8, Epoch=5)).code == 200

    with_upstream(scenario, work_ms=0, checks_grants=True)


def test_other_boot_id_is_refused(with_upstream):
    """Guards against a request for an earlier boot that runs after a restart."""

    async def scenario(harness):
        response = await harness.send("r1", Boot_Id="another")
        assert _read_status_and_verdict(response) == (409, "not-run")

    with_upstream(scenario, work_ms=0)


def test_deadline_prevents_the_commit(with_upstream):
    """Guards against the commit of a request after its deadline."""

    async def scenario(harness):
        response = await harness.send("r1", Deadline_Ms=20)
        assert _read_status_and_verdict(response) == (504, "not-run")
        assert _count_commits(harness) == 0

    with_upstream(scenario, work_ms=200)


def test_cancelled_work_never_commits(with_upstream):
    """Guards against a confirmed cancellation of a request that still runs."""

    async def scenario(harness):
        pending = await harness.start("r1")
        queued = await harness.start("r2")
        timer = harness.upstream.running_by_id["r1"].timer
        for request_id in ("r2", "r1"):
            state = await harness.post("/-/cancel", request_id=request_id)
            assert state == {"state": "cancelled"}
        assert _read_status_and_verdict(await pending) == (503, "not-run")
        assert _read_status_and_verdict(await queued) == (503, "not-run")
        assert harness.upstream.count_open_requests() == 0
        assert timer.cancelled()
        assert await harness.post("/-/cancel", request_id="r3") == {"state": "unknown"}

    with_upstream(scenario, work_ms=_LONGER_THAN_TEST_MS, slots=1)


def test_cancellation_of_finished_request_returns_finished(with_upstream):
    """Guards against a committed request that is reported as cancelled."""

    async def scenario(harness):
        await harness.send("r1")
        assert await harness.post("/-/cancel", request_id="r1") == {"state": "finished"}

    with_upstream(scenario, work_ms=0)


def test_sheds_above_twice_the_slots(with_upstream):
    """Guards against unbounded queueing and more running requests than slots."""

    async def scenario(harness):
        for number in range(4):
            await harness.start(f"r{number}")
        assert len(harness.upstream.running_by_id) == 2
        assert _read_status_and_verdict(await harness.send("r5")) == (503, "not-run")

    with_upstream(scenario, work_ms=_LONGER_THAN_TEST_MS, slots=2)


def test_overload_of_a_cold_start_is_counted(with_upstream):
    """Guards against an overload during a cold start that is not recorded."""

    async def scenario(harness):
        await harness.start("r1")
        assert harness.upstream.counters.cold_overload == 0
        await harness.start("r2")
        assert harness.upstream.counters.cold_overload == 1
        assert harness.upstream.is_overloaded
        violations = harness.upstream.journal.violations_by_kind
        assert violations == {"cold_overload": 1}

    with_upstream(
        scenario,
        work_ms=_LONGER_THAN_TEST_MS,
        cold_ms=_LONGER_THAN_TEST_MS,
        cold_slots=1,
    )


def test_crashing_request_leads_to_a_new_boot_id(with_upstream):
    """Guards against a crash that keeps requests, grants or the boot id."""

    async def scenario(harness):
        boot_id = harness.upstream.boot_id
        await harness.grant({"7": 3})
        other_request = await harness.start("r1", Slice=7, Epoch=3)
        await harness.post("/-/control", crash_on="poison")
        response = await harness.send("r2", "POST", b"a poison b")
        assert response.code == 599
        assert (await other_request).code == 599
        while harness.upstream.server is None:
            await asyncio.sleep(0.01)
        response = await harness.send("r3", Slice=7, Epoch=3)
        assert response.code == 409
        assert response.headers["Shallotyard-Boot-Id"] != boot_id
        assert _count_commits(harness) == 0

    with_upstream(scenario, work_ms=_LONGER_THAN_TEST_MS, checks_grants=True)


def test_injected_faults_truncate_and_cross_responses(with_upstream):
    """Guards against injected faults that have no effect on the response."""

    async def scenario(harness):
        await harness.post("/-/control", truncate=1)
        assert (await harness.send("r1")).code == 599
        await harness.post("/-/control", cross=1)
        crossed = await harness.send("r2")
        assert crossed.headers["Shallotyard-Request-Id"] == "r1"
        intact = await harness.send("r3")
        assert intact.headers["Shallotyard-Request-Id"] == "r3"

    with_upstream(scenario, work_ms=0)


def test_silence_affects_open_connections_only(with_upstream):
    """Guards against silenced connections that still run requests.

    Connections that are opened later must get responses.
    """

    async def scenario(harness):
        port = harness.upstream.config.port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        payload = b"GET /-/health HTTP/1.1\r\nHost: u\r\n\r\n"
        writer.write(payload)
        await reader.readuntil(b"\r\n\r\n")
        await harness.post("/-/control", silent=True)
        writer.write(payload.replace(b"/-/health", b"/x"))
        assert (await harness.send("r1")).code == 200
        assert _count_commits(harness) == 1
        writer.close()

    with_upstream(scenario, work_ms=0)


def test_refusing_port_reopens_with_the_same_boot_id(with_upstream):
    """Guards against refused connections that also restart the upstream."""

    async def scenario(harness):
        boot_id = harness.upstream.boot_id
        apply_control(harness.upstream, {"refuse": True})
        assert (await harness.send("r1")).code == 599
        apply_control(harness.upstream, {"refuse": False})
        response = await harness.send("r2")
        assert response.headers["Shallotyard-Boot-Id"] == boot_id

    with_upstream(scenario, work_ms=0)


def test_revoked_slice_is_not_granted_again_by_a_delayed_message(with_upstream):
    """Guards against a delayed message that grants a slice its holder released."""

    async def scenario(harness):
        assert await harness.grant({"7": 4})
        assert await harness.grant({}, revoked=["7"])
        assert not await harness.grant({"7": 4})
        assert _read_status_and_verdict(await harness.send("r1", Slice=7, Epoch=4)) == (
            409,
            "not-run",
        )
        assert await harness.grant({}, revoked=["7"])
        assert await harness.grant({"7": 5})

    with_upstream(scenario, work_ms=0, checks_grants=True)
