"""A backend leaves a grant without a response, carries it out late, and is emptied.

The cases differ in what the router reads in place of the response.
"""

import asyncio
import json
import time
import weakref

import harness

HOST = "jepu9.example"
SERVICE = "huvo11a"
REGIONS_BY_ZONE = {"split-a": "dalmacija", "osijek-a": "slavonija"}
KEY = 5
WORK_S = 0.03
CONTACT_S = 4.0
# The pages: a grant without a response may be applied 2 to 12 s late. Its time still
# counts from its arrival, and the router's grants last for 3 s.
LATE_S = 2.1
CUT_S = 5.5
REQUESTS_PER_S = 20


class KeyedBackend(harness.Backend):
    """A backend that runs requests only for the keys that it holds."""

    def __init__(self, *arguments):
        super().__init__(*arguments, self._run)
        self.holds = []
        self.kept_connections = weakref.WeakSet()
        self.highest_fences = []
        # Called with each grant; returns whether it gets no response.
        self.leaves_unanswered = lambda call: False
        self.read_instead = None
        self.on_apply = lambda backend, call, late: None
        self.on_run = lambda backend, key: None

    def holds_key(self, key):
        now = time.monotonic()
        return self.server is not None and any(
            first <= key <= last and now < until for first, last, _, until in self.holds
        )

    async def _answer(self, head, body):
        path = head.start.split(" ")[1]
        if not path.startswith("/-/"):
            key = int(head.get("shallotyard-shard-key", "-1"))
            if not self.holds_key(key):
                return harness.encode(421, [("Shallotyard-Not-Executed", "1")])
            return await super()._answer(head, body)
        if head.get("shallotyard-expect-instance", self.id) != self.id:
            return harness.encode(421, [("Shallotyard-Not-Executed", "1")])
        call = json.loads(body)
        if path == "/-/release":
            return await self._release(call)
        arrived_at = time.monotonic()
        # On a kept connection, whose other end has had answers before.
        connection = asyncio.current_task()
        is_kept = connection in self.kept_connections
        self.kept_connections.add(connection)
        if is_kept and self.leaves_unanswered(call):
            self.record.write("grant-unanswered", backend=self.id, **call)
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_S, self._apply, call, arrived_at, True)
            return self.read_instead
        accepted = self._apply(call, arrived_at, False)
        return harness.encode(200 if accepted else 409, [])

    def _apply(self, call, arrived_at, late):
        first, last, fence = call["from"], call["to"], call["fence"]
        if any(
            seen > fence and low <= last and first <= high
            for low, high, seen in self.highest_fences
        ):
            return False
        until = arrived_at + float(call["hold_time"].removesuffix("ms")) / 1000
        if until <= time.monotonic():
            return True
        self.highest_fences.append((first, last, fence))
        self.on_apply(self, call, late)
        same = [h for h in self.holds if h[:3] == (first, last, fence)]
        until = max([until, *(h[3] for h in same)])
        self.holds = [h for h in self.holds if h not in same]
        self.holds.append((first, last, fence, until))
        self.record.write("hold", backend=self.id, late=late, **call)
        return True

    async def _release(self, call):
        first, last = call["from"], call["to"]
        self.record.write("release", backend=self.id, **call)
        kept = []
        for low, high, fence, until in self.holds:
            if fence > call["fence"] or high < first or last < low:
                kept.append((low, high, fence, until))
                continue
            if low < first:
                kept.append((low, first - 1, fence, until))
            if last < high:
                kept.append((last + 1, high, fence, until))
        self.holds = kept
        while self.running:
            await asyncio.sleep(0.005)
        return harness.encode(200, [("Shallotyard-Handover", "5c0e7a21d94b36f8")])

    async def _run(self, backend, head, body):
        self.on_run(self, int(head.get("shallotyard-shard-key")))
        await asyncio.sleep(WORK_S)
        return harness.build_answer(head, b"status")


class CuttableLink:
    """A proxy to the store that can fall silent in both directions."""

    def __init__(self, address):
        self.target = address
        self.open = asyncio.Event()
        self.open.set()

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer):
        host, _, port = self.target.rpartition(":")
        other_reader, other_writer = await asyncio.open_connection(host, int(port))

        async def pump(source, sink):
            try:
                while data := await source.read(65536):
                    await self.open.wait()
                    sink.write(data)
                    await sink.drain()
            except ConnectionError:
                pass
            finally:
                sink.close()

        await asyncio.gather(pump(reader, other_writer), pump(other_reader, writer))


def run(folder, read_instead):
    """Run the case, and exit with its result.

    :param folder: folder of the case.
    :param read_instead: what the router reads in place of the response; None if the
        backend closes the connection.
    """

    async def scenario(folder, record, processes):
        trouble = harness.has_trouble()
        store = harness.Store()
        await store.start()
        route = [
            "r-1",
            HOST,
            "/lepu270/",
            "safe",
            "1500ms",
            "500ms",
            2,
            None,
            2,
            [],
            SERVICE,
        ]
        configuration = harness.build_configuration(1, [route], [SERVICE])
        configuration["services"]["rows"][0][7:10] = [True, "5s", "call"]
        store.put("config", "main", configuration)
        backends = [
            KeyedBackend(store, record, f"i-{n}", SERVICE, "split-a") for n in range(2)
        ]
        for backend in backends:
            await backend.start()
        link = CuttableLink(store.address)
        await link.start()
        # Each router reads the store: they are in different regions.
        addresses = (store.address, link.address)
        routers = [
            harness.Router(
                folder, record, f"front-{zone}-1", zone, REGIONS_BY_ZONE, address
            )
            for zone, address in zip(REGIONS_BY_ZONE, addresses, strict=True)
        ]
        processes += routers
        for router in routers:
            router.start()
            await router.wait_ready()
            # The first one becomes the one that grants keys.
            await asyncio.sleep(3.0)

        faults = {"fence not above": 0}
        fence_by_backend = {}
        runners_in_overlap = {}

        def check_apply(backend, call, late):
            if not call["from"] <= KEY <= call["to"]:
                return
            fence = call["fence"]
            others = [f for name, f in fence_by_backend.items() if name != backend.id]
            if others and fence <= max(others):
                faults["fence not above"] += 1
                record.write(
                    "fence-not-above",
                    backend=backend.id,
                    fence=fence,
                    others=max(others),
                )
            fence_by_backend[backend.id] = max(
                fence, fence_by_backend.get(backend.id, 0)
            )

        def check_run(backend, key):
            for other in backends:
                if other is not backend and other.holds_key(key):
                    pair = frozenset((backend.id, other.id))
                    runners_in_overlap.setdefault(pair, set()).add(backend.id)
                    record.write(
                        "run-beside-holder",
                        backend=backend.id,
                        holder=other.id,
                        key=key,
                    )

        for backend in backends:
            backend.on_apply, backend.on_run = check_apply, check_run

        tasks = set()

        async def send(number):
            router = routers[number % len(routers)]
            request_id = f"req-{number:05d}"
            status = "failed"
            try:
                reader, writer = await asyncio.open_connection(router.ip, router.FRONT)
                message = harness.build_request(
                    "GET", HOST, "/lepu270/2f", request_id, 1500
                )
                message = (
                    message[:-2] + f"Shallotyard-Shard-Key: {KEY}\r\n\r\n".encode()
                )
                record.write("sent", id=request_id, router=router.name)
                writer.write(message)
                head, _ = await asyncio.wait_for(harness.read_answer(reader), 1.5)
                status = head.start.split(" ")[1]
                writer.close()
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            record.write("answered", id=request_id, router=router.name, status=status)

        async def send_all():
            number = 0
            while True:
                task = asyncio.create_task(send(number))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                number += 1
                await asyncio.sleep(1 / REQUESTS_PER_S)

        traffic = asyncio.create_task(send_all())
        await asyncio.sleep(CONTACT_S + 1.0)
        owner = next((b for b in backends if b.holds_key(KEY)), None)
        if (
            owner is None
            or store.objects["granters", "main"]["spec"]["instance"] != routers[0].name
        ):
            raise harness.NotRun("no owner, or another granter")
        left_unanswered = asyncio.Event()

        def leave_one_unanswered(call):
            if left_unanswered.is_set() or not call["from"] <= KEY <= call["to"]:
                return False
            left_unanswered.set()
            return True

        if trouble:
            record.write("cut", router=routers[1].name)
            link.open.clear()
            await asyncio.sleep(0.3)
            owner.read_instead = read_instead
            owner.leaves_unanswered = leave_one_unanswered
            await asyncio.wait_for(left_unanswered.wait(), 5.0)
        # The backend is emptied: it keeps serving.
        owner.state = "draining"
        owner.write_entry()
        record.write("draining", backend=owner.id)
        await asyncio.sleep(CUT_S - 1.5)
        link.open.set()
        traffic.cancel()
        await asyncio.gather(*tasks)
        both = [
            sorted(names) for names in runners_in_overlap.values() if len(names) > 1
        ]
        record.write(
            "checked", fence_not_above=faults["fence not above"], both_ran=both
        )
        return not both and not faults["fence not above"]

    harness.run_case(folder, scenario)
