"""Refuses, queues, runs and cancels the requests of the upstream stand-ins."""

import asyncio

import orjson
from tornado.httputil import ResponseStartLine

from shallotyard_testing.journal import Execution
from shallotyard_testing.journal import digest_key
from shallotyard_testing.upstream_lifecycle import crash
from shallotyard_testing.upstream_state import WorkItem
from shallotyard_testing.utils import build_headers
from shallotyard_testing.utils import drop_connection
from shallotyard_testing.utils import read_clock_ms
from shallotyard_testing.utils import respond_json

_OVERLOAD_SLOWDOWN_FACTOR = 10.0
# The requirements allow new requests at a draining upstream only for a few
# seconds.
_DRAIN_GRACE_MS = 5_000.0
_MAX_FINISHED_IDS = 10_000


def handle_request(upstream, request):
    """Refuse, queue or start a received request.

    :param upstream: the ``Upstream``.
    :param request: the ``HTTPServerRequest``.
    """
    work = _build_work_item(upstream, request)
    counters = upstream.counters
    counters.requests += 1
    crash_on = upstream.control.crash_on
    if crash_on and crash_on.encode() in request.body:
        crash(upstream)
        return
    refusal = _find_refusal(upstream, work)
    if refusal is not None:
        _refuse(upstream, work, *refusal)
        return
    _record_cold_or_drain_arrival(upstream, work)
    is_full = upstream.count_open_requests() >= 2 * upstream.config.slots
    if is_full or upstream.control.shed:
        counters.shed += 1
        _refuse(upstream, work, 503, "shed")
        return
    _enqueue(upstream, work)
    _start_queued(upstream)


def _enqueue(upstream, work):
    counters = upstream.counters
    # A request whose id is missing or already in use needs an id of its own here.
    work_id = work.request_id or f"anonymous-{counters.requests}"
    if work_id in upstream.running_by_id or work_id in upstream.queued_by_id:
        counters.reused_request_ids += 1
        work_id = f"{work_id}#{counters.requests}"
    upstream.queued_by_id[work_id] = work


def _build_work_item(upstream, request):
    headers = request.headers
    deadline = float("inf")
    if "Shallotyard-Deadline-Ms" in headers:
        budget_ms = _read_int(headers, "Shallotyard-Deadline-Ms")
        deadline = upstream.clock_ms() + budget_ms
    if "Shallotyard-Expires-At-Ms" in headers:
        # The header gives a time of this upstream's clock, so that time spent in
        # a socket buffer counts.
        deadline = min(deadline, float(headers["Shallotyard-Expires-At-Ms"]))
    return WorkItem(
        request=request,
        request_id=headers.get("Shallotyard-Request-Id", ""),
        slice=headers.get("Shallotyard-Slice", ""),
        epoch=_read_int(headers, "Shallotyard-Epoch"),
        boot_id=headers.get("Shallotyard-Boot-Id", ""),
        deadline=deadline,
    )


def _read_int(headers, name):
    try:
        return int(headers.get(name, "0"))
    except ValueError:
        return 0


def _find_refusal(upstream, work):
    """Check the boot id, the grant and the deadline of a request.

    :return: status and reason of a refusal, or ``None`` to accept the request.
    """
    if work.boot_id and work.boot_id != upstream.boot_id:
        upstream.counters.stale += 1
        return 409, "boot id"
    if upstream.is_ungranted(work):
        upstream.counters.stale += 1
        return 409, "stale grant"
    if upstream.clock_ms() >= work.deadline:
        upstream.counters.expired += 1
        return 504, "deadline"
    return None


def _refuse(upstream, work, status, reason):
    if work.request.connection.stream in upstream.silent_streams:
        return
    headers = {
        "Shallotyard-Request-Id": work.request_id,
        "Shallotyard-Boot-Id": upstream.boot_id,
        "Shallotyard-Verdict": "not-run",
    }
    value = {"upstream": upstream.config.id, "refused": reason}
    respond_json(work.request, value, status, headers)


def _record_cold_or_drain_arrival(upstream, work):
    state = upstream.read_state()
    if state == "cold" and upstream.count_open_requests() >= upstream.config.cold_slots:
        _record_cold_overload(upstream, work)
    if state == "draining":
        _record_drain_arrival(upstream)


def _record_cold_overload(upstream, work):
    upstream.counters.cold_overload += 1
    upstream.is_overloaded = True
    # The router cannot foresee a state that a control call sets, so an overload
    # after such a call is no fault of the router.
    if upstream.is_cold_start:
        detail = {"upstream": upstream.config.id, "request_id": work.request_id}
        upstream.journal.record_violation("cold_overload", detail)


def _record_drain_arrival(upstream):
    upstream.counters.drain_arrivals += 1
    age_ms = upstream.clock_ms() - upstream.state_since
    if age_ms > _DRAIN_GRACE_MS:
        detail = {"upstream": upstream.config.id, "ms_after_drain": age_ms}
        upstream.journal.record_violation("late_drain_arrival", detail)


def _start_queued(upstream):
    while upstream.queued_by_id and len(upstream.running_by_id) < upstream.config.slots:
        work_id, work = upstream.queued_by_id.popitem(last=False)
        refusal = _find_refusal(upstream, work)
        if refusal is not None:
            _refuse(upstream, work, *refusal)
        else:
            _start_execution(upstream, work_id, work)


def _start_execution(upstream, work_id, work):
    work.start = read_clock_ms()
    factor = upstream.control.slow_factor
    if upstream.is_overloaded and upstream.read_state() == "cold":
        factor *= _OVERLOAD_SLOWDOWN_FACTOR
    upstream.running_by_id[work_id] = work
    running = len(upstream.running_by_id)
    upstream.counters.most_running = max(upstream.counters.most_running, running)
    delay_s = upstream.config.work_ms * factor / 1000.0
    loop = asyncio.get_running_loop()
    work.timer = loop.call_later(delay_s, _finish_execution, upstream, work_id)


def _finish_execution(upstream, work_id):
    """Commit an executed request unless it must be refused by now."""
    work = upstream.running_by_id.pop(work_id)
    refusal = _find_refusal(upstream, work)
    if refusal is not None:
        _refuse(upstream, work, *refusal)
    else:
        _commit(upstream, work)
        upstream.finished_ids[work_id] = None
        if len(upstream.finished_ids) > _MAX_FINISHED_IDS:
            upstream.finished_ids.popitem(last=False)
    _start_queued(upstream)


def _commit(upstream, work):
    headers = work.request.headers
    config = upstream.config
    key = headers.get("Shallotyard-Key", "")
    client = headers.get("Shallotyard-Client") or headers.get("Authorization", "")
    execution = Execution(
        upstream=config.id,
        slice=work.slice,
        epoch=work.epoch,
        key_digest=digest_key(config.service, client, key),
        request_id=work.request_id,
        idempotency_key=headers.get("Idempotency-Key", ""),
        method=work.request.method,
        start=work.start,
        end=read_clock_ms(),
    )
    upstream.counters.committed += 1
    scope = (config.service, config.region)
    executions = upstream.journal.commit(
        execution, scope, client, config.service, config.keyed
    )
    _respond_with_result(upstream, work, key, executions)


def _respond_with_result(upstream, work, key, executions):
    request_id = work.request_id
    control = upstream.control
    if control.cross > 0:
        control.cross -= 1
        others = (other for other in upstream.finished_ids if other != request_id)
        request_id = next(others, f"crossed-{request_id}")
    value = {
        "upstream": upstream.config.id,
        "request_id": request_id,
        "key": key,
        "executions": executions,
        "epoch": work.epoch,
        "query": work.request.query,
    }
    headers = {
        "Shallotyard-Request-Id": request_id,
        "Shallotyard-Boot-Id": upstream.boot_id,
        "Shallotyard-Verdict": "ran",
    }
    if work.request.connection.stream in upstream.silent_streams:
        return
    if control.truncate > 0:
        control.truncate -= 1
        _respond_truncated(work.request, orjson.dumps(value), headers)
        return
    respond_json(work.request, value, 200, headers)


def _respond_truncated(request, body, headers):
    connection = request.connection
    if connection.stream is None or connection.stream.closed():
        return
    start_line = ResponseStartLine("HTTP/1.1", 200, "OK")
    response_headers = build_headers(body, headers)
    write_future = connection.write_headers(
        start_line, response_headers, body[: len(body) // 2]
    )
    write_future.add_done_callback(lambda _: drop_connection(request))


def cancel(upstream, request_id):
    """Cancel a request and send a refusal as its response.

    :param upstream: the ``Upstream``.
    :param request_id: id of the request.
    :return: ``cancelled``, ``running``, ``finished`` or ``unknown``.
    """
    if request_id in upstream.queued_by_id:
        work = upstream.queued_by_id.pop(request_id)
    elif request_id in upstream.running_by_id:
        if not upstream.config.cancellable:
            return "running"
        work = upstream.running_by_id.pop(request_id)
        work.timer.cancel()
    else:
        return "finished" if request_id in upstream.finished_ids else "unknown"
    upstream.counters.cancelled += 1
    _refuse(upstream, work, 503, "cancelled")
    _start_queued(upstream)
    return "cancelled"
