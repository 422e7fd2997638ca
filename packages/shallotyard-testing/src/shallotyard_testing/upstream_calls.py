"""HTTP handlers for ``/-/`` of the upstream stand-ins and for the control port."""

import orjson

from shallotyard_testing.upstream_lifecycle import apply_control
from shallotyard_testing.upstream_work import cancel
from shallotyard_testing.upstream_work import handle_request
from shallotyard_testing.utils import respond
from shallotyard_testing.utils import respond_json


def _update_grants(upstream, request):
    message = orjson.loads(request.body)
    epochs = {str(name): int(epoch) for name, epoch in message["epochs"].items()}
    expires_at = float(message["expires_at_ms"])
    accepted = message["boot_id"] == upstream.boot_id
    accepted = accepted and upstream.grant_table.is_current(epochs)
    if epochs and expires_at <= upstream.clock_ms():
        accepted = False
    if accepted:
        upstream.grant_table.update(epochs, expires_at, message.get("revoked", ()))
    value = {
        "boot_id": upstream.boot_id,
        "clock_ms": upstream.clock_ms(),
        "state": upstream.read_state(),
        "accepted": accepted,
    }
    respond_json(request, value)


def _cancel(upstream, request):
    request_id = orjson.loads(request.body)["request_id"]
    respond_json(request, {"state": cancel(upstream, request_id)})


def _report_health(upstream, request):
    state, _ = upstream.read_reported_state()
    value = {"boot_id": upstream.boot_id, "clock_ms": upstream.clock_ms()}
    respond_json(request, {**value, "state": state})


def _report_load(upstream, request):
    _, load = upstream.read_reported_state()
    slots = upstream.config.slots
    respond_json(request, {"in_flight": load, "slots": slots})


def _handle_control(upstream, request):
    changes = orjson.loads(request.body)
    unknown = set(changes) - {*vars(upstream.control), "state", "silent"}
    if unknown:
        respond_json(request, {"unknown": sorted(unknown)}, 400)
        return
    # The response is sent first, because the change may close its connection.
    respond_json(request, {"changed": sorted(changes)})
    apply_control(upstream, changes, request.connection.stream)


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


_HANDLERS_BY_METHOD_AND_PATH = {
    ("PUT", "/-/grants"): _update_grants,
    ("GET", "/-/health"): _report_health,
    ("POST", "/-/cancel"): _cancel,
    ("GET", "/-/load"): _report_load,
    ("POST", "/-/control"): _handle_control,
}


def _handle_process_wide_call(upstream, journal, upstreams_by_id, request):
    """Respond to a call that concerns the whole process.

    :return: whether the request was such a call.
    """
    if request.path == "/-/journal":
        since = int(request.arguments.get("since", [b"0"])[0])
        respond_json(request, journal.read(since))
    elif request.path == "/-/stats":
        _report_stats(upstream, journal, upstreams_by_id, request)
    else:
        return False
    return True


def make_handler(upstream, upstreams_by_id):
    """Return the request handler of one upstream.

    :param upstream: the ``Upstream`` to serve.
    :param upstreams_by_id: all upstreams of the process.
    :return: function that takes an ``HTTPServerRequest``.
    """

    def handle(request):
        if request.connection.stream in upstream.silent_streams:
            return
        if not request.path.startswith("/-/"):
            handle_request(upstream, request)
            return
        handler = _HANDLERS_BY_METHOD_AND_PATH.get((request.method, request.path))
        try:
            if handler is not None:
                handler(upstream, request)
            elif not _handle_process_wide_call(
                upstream, upstream.journal, upstreams_by_id, request
            ):
                respond(request, 404)
        except (KeyError, TypeError, ValueError) as error:
            respond_json(request, {"error": repr(error)}, 400)

    return handle


def make_control_handler(journal, upstreams_by_id):
    """Return the request handler of the control port.

    :param journal: the ``Journal`` of the process.
    :param upstreams_by_id: all upstreams of the process.
    :return: function that takes an ``HTTPServerRequest``;
        ``/-/control?upstream=<id>`` changes the named upstreams, and all of
        them if the parameter is missing.
    """

    def handle(request):
        if _handle_process_wide_call(None, journal, upstreams_by_id, request):
            return
        upstream_ids = [name.decode() for name in request.arguments.get("upstream", ())]
        are_known = set(upstream_ids) <= set(upstreams_by_id)
        if (request.method, request.path) != ("POST", "/-/control") or not are_known:
            respond(request, 404)
            return
        changes = orjson.loads(request.body)
        for upstream_id in upstream_ids or upstreams_by_id:
            apply_control(upstreams_by_id[upstream_id], changes)
        respond_json(request, {"changed": sorted(changes)})

    return handle
