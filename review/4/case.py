"""Some backends hand out a few answers with a wrong byte in a header line."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import harness  # noqa: E402

HOST = "jepu9.example"
SERVICE = "wuno96b"
ZONE = "split-a"
CONTACT_S = 4.0
TIMEOUT_S = 1.5
SLACK_S = 0.5
DEADLINE_MS = 4000
BACKENDS = 10
# The disruption: these backends, this part of their answers, for this time.
FAULTY_BACKENDS = 6
ANSWERS_PER_FAULT = 34
FAULT_S = 5.5
REQUESTS_PER_S = 150
WORK_S = 0.05
SOUND_LINE = ("Content-Type", "text/plain")
# One bit of the slash is flipped.
WRONG_LINE = ("Content-Type", "text\x0fplain")


async def scenario(folder, record, processes):
    answer_counts = {}
    is_faulty = False

    async def answer(backend, head, body):
        await asyncio.sleep(WORK_S)
        line = SOUND_LINE
        if is_faulty and backend.number < FAULTY_BACKENDS:
            count = answer_counts[backend.id] = answer_counts.get(backend.id, 0) + 1
            if count % ANSWERS_PER_FAULT == 10:
                line = WRONG_LINE
                request_id = head.get("shallotyard-request-id")
                record.write("wrong-byte", backend=backend.id, id=request_id)
        return harness.build_answer(head, b"booked", more_headers=[line])

    store = harness.Store()
    await store.start()
    route = [
        "r-1",
        HOST,
        "/xapu221/",
        "unsafe",
        "1500ms",
        "600ms",
        1,
        None,
        2,
        [],
        SERVICE,
    ]
    store.put("config", "main", harness.build_configuration(1, [route], [SERVICE]))
    for number in range(BACKENDS):
        backend = harness.Backend(store, record, f"i-{number}", SERVICE, ZONE, answer)
        backend.number = number
        await backend.start()
    router = harness.Router(
        folder, record, "front-1", ZONE, {ZONE: "dalmacija"}, store.address
    )
    processes.append(router)
    router.start()
    await router.wait_ready()
    await asyncio.sleep(CONTACT_S + 1.0)

    async def send(number):
        request_id = f"order-{number:04d}"
        reader, writer = await asyncio.open_connection(router.ip, router.FRONT)
        began_at = time.monotonic()
        record.write("sent", id=request_id)
        writer.write(
            harness.build_request(
                "POST", HOST, "/xapu221/1", request_id, DEADLINE_MS, b"order"
            )
        )
        try:
            head, _ = await asyncio.wait_for(
                harness.read_answer(reader), DEADLINE_MS / 1000
            )
            status = head.start.split(" ")[1]
        except TimeoutError:
            status = "none"
        except (asyncio.IncompleteReadError, ConnectionError):
            status = "closed"
        waited_s = time.monotonic() - began_at
        record.write(
            "answered", id=request_id, status=status, after_s=f"{waited_s:.3f}"
        )
        writer.close()
        return waited_s

    is_faulty = harness.has_trouble()
    tasks = []
    ends_at = time.monotonic() + FAULT_S
    while time.monotonic() < ends_at:
        tasks.append(asyncio.create_task(send(len(tasks))))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    is_faulty = False
    waits_s = await asyncio.gather(*tasks)
    at_timeout = sum(wait_s > TIMEOUT_S for wait_s in waits_s)
    late = sum(wait_s > TIMEOUT_S + SLACK_S for wait_s in waits_s)
    record.write(
        "checked",
        requests=len(tasks),
        unanswered_at_timeout=at_timeout,
        half_a_second_later=late,
    )
    return 2 * late <= at_timeout


harness.run_case(FOLDER, scenario)
