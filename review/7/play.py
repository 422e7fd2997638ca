"""Clients place orders while a backend answers 503 to some that it has run."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins_2 as stand_ins  # noqa: E402

BACKENDS = 12
# One of twelve backends fails 45 in 100 of its requests for 6.5 s.
FAILING_SHARE = 0.45
FAILING_FROM_S, FAILING_TO_S = 2.0, 8.5
DURATION_S = 12.0
PERIOD_S = 0.025
PROMISES = (408, 421, 429, 503)
MAX_RETRIES = 2


async def play(record, has_trouble):
    rng = random.Random(6)
    loop = asyncio.get_running_loop()
    began_at = loop.time()

    def fail(request_id):
        age_s = loop.time() - began_at
        is_failing = has_trouble and FAILING_FROM_S <= age_s <= FAILING_TO_S
        return 503 if is_failing and rng.random() < FAILING_SHARE else 200

    backends = [
        stand_ins.Backend(f"i-{n:08x}", "orders", record) for n in range(BACKENDS)
    ]
    backends[0].fail = fail
    _, router = await stand_ins.start_deployment(record, backends)
    began_at = loop.time()
    promised = []

    async def place(order):
        for attempt in range(MAX_RETRIES + 1):
            request_id = f"{order:05d}-{attempt}"
            headers = {
                "Shallotyard-Request-Id": request_id,
                "Shallotyard-Deadline-Ms": "4000",
            }
            record.write(f"client sends {request_id}")
            try:
                status, answer, _ = await stand_ins.exchange(
                    router.front, "POST", "/order/new", headers, b"one repair"
                )
            except OSError as error:
                record.write(f"client gets no answer to {request_id}: {error}")
                return
            record.write(f"client gets {status} for {request_id}")
            if status not in PROMISES:
                return
            # The promise: the request has not run and never will.
            promised.append((request_id, status))
            await asyncio.sleep(float(answer.get("retry-after", 0.1)))

    try:
        tasks = []
        for order in range(int(DURATION_S / PERIOD_S)):
            tasks.append(asyncio.create_task(place(order)))
            await asyncio.sleep(PERIOD_S)
        await asyncio.gather(*tasks)
    finally:
        router.end()
    runs = [request_id for backend in backends for request_id in backend.runs]
    broken = [(i, status) for i, status in promised if i in runs]
    orders = [request_id.partition("-")[0] for request_id in runs]
    twice = {order for order in orders if orders.count(order) > 1}
    record.write(f"{len(tasks)} orders, {len(runs)} runs, {len(promised)} promises")
    record.write(f"answered 408, 421, 429 or 503, and has run: {len(broken)} {broken}")
    record.write(
        f"orders that clients repeated on the promise and ran twice: {len(twice)}"
    )
    if not runs:
        raise RuntimeError("no order was run")
    return bool(broken)


stand_ins.run_case(FOLDER, play)
