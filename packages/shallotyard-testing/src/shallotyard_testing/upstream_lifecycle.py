"""Ports, crashes, restarts and fault injection of the upstream stand-ins."""

import asyncio

from shallotyard_testing.utils import listen

_RESTART_DELAY_S = 0.2


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


def _close_port(upstream):
    if upstream.server is not None:
        upstream.server.stop()
        upstream.server = None


def _drop_requests_and_connections(upstream):
    """Drop all requests and connections, as at the end of a process."""
    for work in upstream.running_by_id.values():
        work.timer.cancel()
    upstream.running_by_id.clear()
    upstream.queued_by_id.clear()
    for stream in list(upstream.streams):
        stream.close()
    upstream.streams.clear()
    upstream.silent_streams.clear()


def crash(upstream):
    """Simulate a crash of the upstream process, followed by a restart.

    :param upstream: the ``Upstream``.
    """
    _close_port(upstream)
    _drop_requests_and_connections(upstream)
    asyncio.get_running_loop().call_later(_RESTART_DELAY_S, _restart, upstream)


def _restart(upstream):
    if upstream.control.die or upstream.server is not None:
        return
    upstream.counters.restarts += 1
    upstream.boot()
    if not upstream.control.refuse:
        open_port(upstream)


def apply_control(upstream, changes, exempt_stream=None):
    """Apply changed faults and settings.

    :param upstream: the ``Upstream``.
    :param changes: values by name: fields of ``Control``; ``state``, the state to
        enter; ``silent``, whether to stop responses on connections now open.
    :param exempt_stream: stream to which ``silent`` does not apply.
    """
    control = upstream.control
    was_stopped = control.die
    was_refusing = control.refuse
    for name in set(changes) & set(vars(control)):
        setattr(control, name, changes[name])
    if "state" in changes:
        upstream.set_state(changes["state"])
    if changes.get("silent"):
        upstream.silent_streams |= upstream.streams - {exempt_stream}
    if control.die and not was_stopped:
        _close_port(upstream)
        _drop_requests_and_connections(upstream)
    elif was_stopped and not control.die:
        _restart(upstream)
    elif control.refuse:
        _close_port(upstream)
    elif was_refusing and upstream.server is None and not control.die:
        open_port(upstream)
