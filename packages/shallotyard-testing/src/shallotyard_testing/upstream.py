"""Stand-in for upstreams; one process serves many, each on its own port."""

import asyncio
import pathlib
import sys

import orjson
import uvloop
from absl import flags
from tornado.httputil import ResponseStartLine
from tornado.ioloop import PeriodicCallback

from shallotyard_testing.journal import Execution
from shallotyard_testing.journal import Journal
from shallotyard_testing.journal import digest_key
from shallotyard_testing.upstream_state import Upstream
from shallotyard_testing.upstream_state import UpstreamConfig
from shallotyard_testing.upstream_state import Work
from shallotyard_testing.utils import build_headers
from shallotyard_testing.utils import drop_connection
from shallotyard_testing.utils import listen
from shallotyard_testing.utils import parse_flags
from shallotyard_testing.utils import read_clock_ms
from shallotyard_testing.utils import respond
from shallotyard_testing.utils import respond_json

_FLAGS = flags.FlagValues()
flags.DEFINE_string("config", None, "JSON file of the upstreams", flag_values=_FLAGS)
flags.DEFINE_integer(
    "control_port",
    0,
    "port that controls all upstreams, also those that do not listen",
    flag_values=_FLAGS,
)
flags.DEFINE_integer(
    "journal_limit", 500_000, "number of executions kept", flag_values=_FLAGS
)

_RESTART_S = 0.2
_COLLAPSE_FACTOR = 10.0
# "A few seconds" of the requirement that a leaving upstream gets no new work.
_DRAIN_ALLOWANCE_MS = 5_000.0
_KEPT_FINISHED = 10_000
_REPORT_PERIOD_MS = 50.0


def _read_int(headers, name):
    try:
        return int(headers.get(name, "0"))
    except ValueError:
        return 0


def _make_work(upstream, request):
    headers = request.headers
    deadline = float("inf")
    if "Shallotyard-Deadline-Ms" in headers:
        budget_ms = _read_int(headers, "Shallotyard-Deadline-Ms")
        deadline = upstream.clock_ms() + budget_ms
    if "Shallotyard-Expires-At-Ms" in headers:
        # On this clock, so that time in a socket buffer counts as well.
        deadline = min(deadline, float(headers["Shallotyard-Expires-At-Ms"]))
    return Work(
        request=request,
        request_id=headers.get("Shallotyard-Request-Id", ""),
        slice=headers.get("Shallotyard-Slice", ""),
        epoch=_read_int(headers, "Shallotyard-Epoch"),
        boot_id=headers.get("Shallotyard-Boot-Id", ""),
        deadline=deadline,
    )


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


def _find_refusal(upstream, work):
    """Return status and reason that refuse a request now, or ``None``."""
    if work.boot_id and work.boot_id != upstream.boot_id:
        upstream.counters.stale += 1
        return 409, "boot id"
    if upstream.is_stale(work):
        upstream.counters.stale += 1
        return 409, "stale grant"
    if upstream.clock_ms() >= work.deadline:
        upstream.counters.expired += 1
        return 504, "deadline"
    return None


def _accept(upstream, request):
    """Refuse, queue or start a request that arrived."""
    work = _make_work(upstream, request)
    counters = upstream.counters
    counters.requests += 1
    crash_on = upstream.control.crash_on
    if crash_on and crash_on.encode() in request.body:
        _crash(upstream)
        return
    refusal = _find_refusal(upstream, work)
    if refusal is not None:
        _refuse(upstream, work, *refusal)
        return
    _note_state_rules(upstream, work)
    full = upstream.count_work() >= 2 * upstream.config.slots
    if full or upstream.control.shed:
        counters.shed += 1
        _refuse(upstream, work, 503, "shed")
        return
    # A request without an id, or with one in use, still needs its own entry.
    entry = work.request_id or f"anonymous-{counters.requests}"
    if entry in upstream.running_by_id or entry in upstream.queued_by_id:
        counters.reused_request_ids += 1
        entry = f"{entry}#{counters.requests}"
    upstream.queued_by_id[entry] = work
    _start_queued(upstream)


def _note_state_rules(upstream, work):
    state = upstream.read_state()
    config = upstream.config
    if state == "cold" and upstream.count_work() >= config.cold_slots:
        upstream.counters.cold_overload += 1
        upstream.collapsed = True
        # A state set over the control call comes without warning, so that the
        # first overload after it proves no fault of the router.
        if upstream.cold_by_boot:
            detail = {"upstream": config.id, "request_id": work.request_id}
            upstream.journal.report("cold_overload", detail)
    if state == "draining":
        upstream.counters.drain_arrivals += 1
        age = upstream.clock_ms() - upstream.state_since
        if age > _DRAIN_ALLOWANCE_MS:
            detail = {"upstream": config.id, "ms_after_drain": age}
            upstream.journal.report("late_drain_arrival", detail)


def _start_queued(upstream):
    loop = asyncio.get_running_loop()
    while upstream.queued_by_id and len(upstream.running_by_id) < upstream.config.slots:
        entry, work = upstream.queued_by_id.popitem(last=False)
        refusal = _find_refusal(upstream, work)
        if refusal is not None:
            _refuse(upstream, work, *refusal)
            continue
        work.start = read_clock_ms()
        factor = upstream.control.slow_factor
        if upstream.collapsed and upstream.read_state() == "cold":
            factor *= _COLLAPSE_FACTOR
        upstream.running_by_id[entry] = work
        running = len(upstream.running_by_id)
        upstream.counters.most_running = max(upstream.counters.most_running, running)
        delay_s = upstream.config.work_ms * factor / 1000.0
        work.timer = loop.call_later(delay_s, _finish, upstream, entry)


def _finish(upstream, entry):
    """Commit a request whose work is done, unless it became stale or late."""
    work = upstream.running_by_id.pop(entry)
    refusal = _find_refusal(upstream, work)
    if refusal is not None:
        _refuse(upstream, work, *refusal)
    else:
        _commit(upstream, work)
        upstream.finished_ids[entry] = None
        if len(upstream.finished_ids) > _KEPT_FINISHED:
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
    _answer(upstream, work, key, executions)


def _answer(upstream, work, key, executions):
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
    built = build_headers(body, headers)
    written = connection.write_headers(start_line, built, body[: len(body) // 2])
    written.add_done_callback(lambda _: drop_connection(request))


def _drop_all(upstream):
    """Forget all work and close all connections, as a process end does."""
    for work in upstream.running_by_id.values():
        work.timer.cancel()
    upstream.running_by_id.clear()
    upstream.queued_by_id.clear()
    for stream in list(upstream.streams):
        stream.close()
    upstream.streams.clear()
    upstream.silent_streams.clear()


def _close_port(upstream):
    if upstream.server is not None:
        upstream.server.stop()
        upstream.server = None


def _crash(upstream):
    _close_port(upstream)
    _drop_all(upstream)
    asyncio.get_running_loop().call_later(_RESTART_S, _restart, upstream)


def _restart(upstream):
    if upstream.control.die or upstream.server is not None:
        return
    upstream.counters.restarts += 1
    upstream.boot()
    if not upstream.control.refuse:
        open_port(upstream)


def _set_grant(upstream, request):
    message = orjson.loads(request.body)
    epochs = {str(name): int(epoch) for name, epoch in message["epochs"].items()}
    grant = upstream.grant
    current_boot = message["boot_id"] == upstream.boot_id
    # An epoch below one seen before shows a late message of an earlier holder.
    newest = all(
        epoch >= grant.highest_by_slice.get(s, 0) for s, epoch in epochs.items()
    )
    expires_at = float(message["expires_at_ms"])
    accepted = current_boot and newest
    if epochs and expires_at <= upstream.clock_ms():
        accepted = False
    if accepted:
        for slice_id, epoch in epochs.items():
            grant.granted_by_slice[slice_id] = (epoch, expires_at)
        for slice_id in message.get("revoked", ()):
            revoked = grant.granted_by_slice.pop(slice_id, None)
            if revoked is not None:
                # A delayed message with that epoch must not grant it again.
                grant.highest_by_slice[slice_id] = revoked[0] + 1
        grant.highest_by_slice.update(epochs)
    value = {
        "boot_id": upstream.boot_id,
        "clock_ms": upstream.clock_ms(),
        "state": upstream.read_state(),
        "accepted": accepted,
    }
    respond_json(request, value)


def _cancel(upstream, request):
    request_id = orjson.loads(request.body)["request_id"]
    state = "unknown"
    if request_id in upstream.queued_by_id:
        work = upstream.queued_by_id.pop(request_id)
        state = "cancelled"
    elif request_id in upstream.running_by_id:
        state = "running"
        if upstream.config.cancellable:
            work = upstream.running_by_id.pop(request_id)
            work.timer.cancel()
            state = "cancelled"
    elif request_id in upstream.finished_ids:
        state = "finished"
    if state == "cancelled":
        upstream.counters.cancelled += 1
        _refuse(upstream, work, 503, "cancelled")
        _start_queued(upstream)
    respond_json(request, {"state": state})


def _report_health(upstream, request):
    state, _ = upstream.read_reported()
    value = {"boot_id": upstream.boot_id, "clock_ms": upstream.clock_ms()}
    respond_json(request, {**value, "state": state})


def _report_load(upstream, request):
    _, load = upstream.read_reported()
    slots = upstream.config.slots
    respond_json(request, {"in_flight": load, "slots": slots})


def _change_control(upstream, request):
    changes = orjson.loads(request.body)
    unknown = set(changes) - {*vars(upstream.control), "state", "silent"}
    if unknown:
        respond_json(request, {"unknown": sorted(unknown)}, 400)
        return
    # The answer is written first, because the change may close its connection.
    respond_json(request, {"changed": sorted(changes)})
    apply_control(upstream, changes, request.connection.stream)


def apply_control(upstream, changes, caller=None):
    """Put faults and settings in force.

    :param upstream: the ``Upstream``.
    :param changes: fields of ``Control``, ``state`` or ``silent`` by name.
    :param caller: stream that ``silent`` leaves alone.
    """
    control = upstream.control
    was_dead = control.die
    was_refusing = control.refuse
    for name in set(changes) & set(vars(control)):
        setattr(control, name, changes[name])
    if "state" in changes:
        upstream.set_state(changes["state"])
    if changes.get("silent"):
        upstream.silent_streams |= upstream.streams - {caller}
    if control.die and not was_dead:
        _close_port(upstream)
        _drop_all(upstream)
    elif was_dead and not control.die:
        _restart(upstream)
    elif control.refuse:
        _close_port(upstream)
    elif was_refusing and upstream.server is None and not control.die:
        open_port(upstream)


def _report_stats(upstream, journal, upstreams_by_id, request):
    value = {
        "violations": dict(journal.violations_by_kind),
        "examples": journal.examples_by_kind,
        "upstreams": {
            upstream_id: {**vars(each.counters), "boot_id": each.boot_id}
            for upstream_id, each in upstreams_by_id.items()
        },
    }
    if upstream is not None:
        value["id"] = upstream.config.id
    respond_json(request, value)


_HANDLERS_BY_CALL = {
    ("PUT", "/-/grants"): _set_grant,
    ("GET", "/-/health"): _report_health,
    ("POST", "/-/cancel"): _cancel,
    ("GET", "/-/load"): _report_load,
    ("POST", "/-/control"): _change_control,
}


def _handle_shared(upstream, journal, upstreams_by_id, request):
    """Answer the calls about the whole process; return whether it was one."""
    if request.path == "/-/journal":
        since = int(request.arguments.get("since", [b"0"])[0])
        respond_json(request, journal.read(since))
    elif request.path == "/-/stats":
        _report_stats(upstream, journal, upstreams_by_id, request)
    else:
        return False
    return True


def make_handler(upstream, upstreams_by_id):
    """Return the request callback of one upstream.

    :param upstream: the ``Upstream`` to serve.
    :param upstreams_by_id: all upstreams of the process.
    :return: function that takes an ``HTTPServerRequest``.
    """

    def handle(request):
        if request.connection.stream in upstream.silent_streams:
            return
        if not request.path.startswith("/-/"):
            _accept(upstream, request)
            return
        call = _HANDLERS_BY_CALL.get((request.method, request.path))
        try:
            if call is not None:
                call(upstream, request)
            elif not _handle_shared(
                upstream, upstream.journal, upstreams_by_id, request
            ):
                respond(request, 404)
        except (KeyError, TypeError, ValueError) as error:
            respond_json(request, {"error": repr(error)}, 400)

    return handle


def make_control_handler(journal, upstreams_by_id):
    """Return the request callback of the control port.

    :param journal: the ``Journal`` of the process.
    :param upstreams_by_id: all upstreams of the process.
    :return: function that takes an ``HTTPServerRequest``;
        ``/-/control?upstream=<id>`` controls one upstream, without the
        parameter all of them.
    """

    def handle(request):
        if _handle_shared(None, journal, upstreams_by_id, request):
            return
        ids = [name.decode() for name in request.arguments.get("upstream", ())]
        known = set(ids) <= set(upstreams_by_id)
        if (request.method, request.path) != ("POST", "/-/control") or not known:
            respond(request, 404)
            return
        changes = orjson.loads(request.body)
        for upstream_id in ids or upstreams_by_id:
            apply_control(upstreams_by_id[upstream_id], changes)
        respond_json(request, {"changed": sorted(changes)})

    return handle


def open_port(upstream):
    """Listen on the port of an upstream.

    :param upstream: the ``Upstream``, with its ``handle`` set.
    """
    config = upstream.config
    upstream.server = listen(
        upstream.handle,
        config.port,
        config.address,
        (upstream.streams, upstream.silent_streams),
    )


def start_upstreams(configs, journal):
    """Start upstreams in the running loop.

    :param configs: the ``UpstreamConfig`` entries.
    :param journal: the ``Journal`` that all of them share.
    :return: upstreams by id.
    """
    upstreams_by_id = {}
    for config in configs:
        upstream = Upstream(config, journal)
        upstreams_by_id[config.id] = upstream
        upstream.handle = make_handler(upstream, upstreams_by_id)
        open_port(upstream)
    return upstreams_by_id


def _record_reported(upstreams_by_id):
    for upstream in upstreams_by_id.values():
        if upstream.config.lag_ms > 0:
            upstream.record_reported()


async def _serve():
    entries = orjson.loads(pathlib.Path(_FLAGS.config).read_bytes())["upstreams"]
    journal = Journal(_FLAGS.journal_limit)
    configs = [UpstreamConfig(**entry) for entry in entries]
    upstreams_by_id = start_upstreams(configs, journal)
    if _FLAGS.control_port:
        listen(make_control_handler(journal, upstreams_by_id), _FLAGS.control_port)
    PeriodicCallback(
        lambda: _record_reported(upstreams_by_id), _REPORT_PERIOD_MS
    ).start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    parse_flags(_FLAGS, sys.argv)
    uvloop.run(_serve())
