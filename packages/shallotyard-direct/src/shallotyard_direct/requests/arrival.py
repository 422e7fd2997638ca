"""Accepts requests of callers and of other instances, and finds their routes."""

import math

from shallotyard_direct.accounts.authentication import MAX_COPY_AGE_S
from shallotyard_direct.accounts.authentication import MAX_UNKNOWN_KEYS
from shallotyard_direct.dispatch import STOPPING_RETRY_AFTER_S
from shallotyard_direct.effects import CheckConfiguration
from shallotyard_direct.effects import ReplyToRelay
from shallotyard_direct.model import RelayReply
from shallotyard_direct.pending import PendingRequest
from shallotyard_direct.relaying import DECLINED_BUSY
from shallotyard_direct.relaying import DECLINED_CUT_OFF
from shallotyard_direct.relaying import DECLINED_OUTDATED
from shallotyard_direct.relaying import DECLINED_STOPPING
from shallotyard_direct.requests import quota_waits
from shallotyard_direct.responses import Refusal
from shallotyard_direct.traffic_split import TrafficSplit

# Retry-After for callers while the route cannot be looked up.
UNCONFIGURED_RETRY_AFTER_S = 0.5
# At a start, a request waits this long for the first configuration, which another
# instance or the store sends within a few tenths of a second.
MAX_UNCONFIGURED_WAIT_S = 0.5


def handle_request(dispatcher, request, now, effects):
    """Accept, queue or refuse a request of a caller."""
    pending = PendingRequest(request, now)
    dispatcher.pending_by_id[request.request_id] = pending
    if dispatcher.stopping:
        dispatcher.refuse(
            pending, Refusal.STOPPING, now, effects, STOPPING_RETRY_AFTER_S
        )
        return
    if not _is_configured(dispatcher) and now < dispatcher.start_ends_at:
        dispatcher.unconfigured.append(pending)
        return
    _route_if_configured(dispatcher, pending, now, effects)


def _is_configured(dispatcher):
    return (
        dispatcher.directory.configuration is not None and dispatcher.directory.listed
    )


def _route_if_configured(dispatcher, pending, now, effects):
    if dispatcher.directory.configuration is not None:
        _route(dispatcher, pending, now, effects)
        return
    dispatcher.refuse(
        pending, Refusal.NOT_CONFIGURED, now, effects, UNCONFIGURED_RETRY_AFTER_S
    )


def route_unconfigured(dispatcher, now, effects):
    """Route the requests that arrived before the configuration and the upstreams
    were known, and refuse those that have waited for too long.
    """
    waiting, dispatcher.unconfigured = dispatcher.unconfigured, []
    for pending in waiting:
        if pending.request.request_id not in dispatcher.pending_by_id:
            continue
        is_late = now >= pending.arrived_at + MAX_UNCONFIGURED_WAIT_S
        if is_late or _is_configured(dispatcher):
            _route_if_configured(dispatcher, pending, now, effects)
        else:
            dispatcher.unconfigured.append(pending)


def _route(dispatcher, pending, now, effects):
    if _assign_route(dispatcher, pending, now):
        _authenticate(dispatcher, pending, now, effects)
    elif _is_current(dispatcher, pending, now):
        dispatcher.refuse(pending, Refusal.UNKNOWN_ROUTE, now, effects)
    else:
        # The route may be newer than the known configuration.
        dispatcher.unrouted.append(pending)
        _check_configuration(dispatcher, now, effects)


def _is_current(dispatcher, pending, now):
    """Return whether a route that the known configuration lacks does not exist. A new
    route need not be in force before 2.5 s have passed, and a read of the store for
    each request for an unknown one is paid for.
    """
    if _is_outdated_for(dispatcher, pending):
        return False
    return dispatcher.access.compute_copy_age(now) <= MAX_COPY_AGE_S


def _check_configuration(dispatcher, now, effects):
    if dispatcher.access.reads.begin(now):
        effects.append(CheckConfiguration())


def _authenticate(dispatcher, pending, now, effects):
    """Find the client account of a request; refuse it or look its key up if the
    configuration does not allow the request.
    """
    if dispatcher.access.apply(pending, now) is Refusal.UNAUTHORIZED:
        _look_up_key(dispatcher, pending, now, effects)
    else:
        _admit(dispatcher, pending, now, effects)


def _look_up_key(dispatcher, pending, now, effects):
    reads = dispatcher.access.reads
    has_room = len(dispatcher.access.unauthenticated) < MAX_UNKNOWN_KEYS
    if has_room and (reads.in_progress or reads.is_due_for_keys(now)):
        # The key may be newer than the known configuration.
        dispatcher.access.unauthenticated.append(pending)
        _check_configuration(dispatcher, now, effects)
    elif dispatcher.access.compute_copy_age(now) <= MAX_COPY_AGE_S:
        dispatcher.refuse(pending, Refusal.UNAUTHORIZED, now, effects)
    elif has_room:
        dispatcher.access.unauthenticated.append(pending)
    else:
        dispatcher.refuse(
            pending, Refusal.SATURATED, now, effects, UNCONFIGURED_RETRY_AFTER_S
        )


def _admit(dispatcher, pending, now, effects):
    """Dispatch a request whose account is known, unless its account may not be served
    or has used up its quota.
    """
    if not dispatcher.refuse_unauthorized(pending, now, effects):
        quota_waits.admit(dispatcher, pending, now, effects)


def look_up_keys(dispatcher, now, effects):
    """Read the configuration if requests with unknown keys wait and a read is due, and
    refuse those that have no time left.
    """
    waiting = dispatcher.access.unauthenticated
    if not waiting:
        return
    dispatcher.access.unauthenticated = []
    for pending in waiting:
        if pending.request.request_id not in dispatcher.pending_by_id:
            continue
        if now < pending.expires_at:
            dispatcher.access.unauthenticated.append(pending)
        else:
            _refuse_without_store(dispatcher, pending, now, effects)
    is_due = dispatcher.access.reads.is_due_for_keys(now)
    if dispatcher.access.unauthenticated and is_due:
        _check_configuration(dispatcher, now, effects)


def _refuse_without_store(dispatcher, pending, now, effects):
    dispatcher.refuse(
        pending, Refusal.STORE_UNREACHABLE, now, effects, UNCONFIGURED_RETRY_AFTER_S
    )


def handle_relayed_request(dispatcher, relayed, now, effects):
    """Accept, queue or decline a request that another instance hands to this one.
    It was counted there for the retry budget and for the load of its key.
    """
    request = relayed.request
    reason = _find_decline_reason(dispatcher, request)
    if reason:
        reply = RelayReply(declined=reason)
        effects.append(ReplyToRelay(request.request_id, reply))
        return
    pending = PendingRequest(
        request,
        now - relayed.elapsed_s,
        service_id=relayed.service_id,
        runs=relayed.runs,
        key_counted=True,
        configuration_version=relayed.configuration_version,
        relayed_from=relayed.origin,
    )
    dispatcher.pending_by_id[request.request_id] = pending
    dispatcher.relayed_requests.add(request)
    _route(dispatcher, pending, now, effects)


def _find_decline_reason(dispatcher, request):
    """Return the reason to decline a relayed request, ``""`` to dispatch it."""
    if math.isfinite(dispatcher.responses_due_at):
        return DECLINED_STOPPING
    if dispatcher.directory.configuration is None:
        return Refusal.NOT_CONFIGURED.value
    if dispatcher.reachability.is_cut_off:
        return DECLINED_CUT_OFF
    return "" if dispatcher.relayed_requests.has_room(request) else DECLINED_BUSY


def handle_configuration_check(dispatcher, store_answered, now, effects):
    """Dispatch or refuse the requests whose route or key was unknown.

    :param store_answered: whether the store answered the read. Only then a
        route or key that is still unknown does not exist.
    """
    dispatcher.access.reads.end(store_answered)
    _handle_looked_up_keys(dispatcher, store_answered, now, effects)
    unrouted, dispatcher.unrouted = dispatcher.unrouted, []
    for pending in unrouted:
        if pending.request.request_id not in dispatcher.pending_by_id:
            continue
        if _assign_route(dispatcher, pending, now):
            _authenticate(dispatcher, pending, now, effects)
        elif _is_outdated_for(dispatcher, pending):
            dispatcher.decline(pending, DECLINED_OUTDATED, effects)
        elif store_answered:
            dispatcher.refuse(pending, Refusal.UNKNOWN_ROUTE, now, effects)
        else:
            _refuse_without_store(dispatcher, pending, now, effects)


def _handle_looked_up_keys(dispatcher, store_answered, now, effects):
    waiting, dispatcher.access.unauthenticated = dispatcher.access.unauthenticated, []
    for pending in waiting:
        if pending.request.request_id not in dispatcher.pending_by_id:
            continue
        _update_route(dispatcher, pending)
        if dispatcher.access.apply(pending, now) is not Refusal.UNAUTHORIZED:
            _admit(dispatcher, pending, now, effects)
        elif not store_answered:
            _refuse_without_store(dispatcher, pending, now, effects)
        elif dispatcher.access.reads.answers_for(pending.arrived_at):
            dispatcher.refuse(pending, Refusal.UNAUTHORIZED, now, effects)
        else:
            dispatcher.access.unauthenticated.append(pending)


def _update_route(dispatcher, pending):
    """Take the newest version of a request's route, which may need no key any more."""
    route = _find_route(dispatcher, pending.request)
    if route is not None and route.route_id == pending.route.route_id:
        pending.route = route


def _find_route(dispatcher, request):
    path = request.target.partition("?")[0]
    return dispatcher.directory.configuration.find_route(request.host, path)


def _is_outdated_for(dispatcher, pending):
    """Return whether the instance at which a request arrived knew a newer
    configuration.
    """
    version = dispatcher.find_configuration_version()
    return bool(pending.relayed_from) and version < pending.configuration_version


def _assign_route(dispatcher, pending, now):
    if _is_outdated_for(dispatcher, pending):
        return False
    request = pending.request
    route = _find_route(dispatcher, request)
    if route is None:
        return False
    pending.route = route
    pending.expires_at = pending.arrived_at + route.timeout_s
    if request.caller_timeout_s is not None:
        expires_at = pending.arrived_at + request.caller_timeout_s
        pending.expires_at = min(pending.expires_at, expires_at)
    pending.fits_shutdown = pending.expires_at <= dispatcher.responses_due_at
    pending.expires_at = min(pending.expires_at, dispatcher.responses_due_at)
    split = dispatcher.splits_by_route.get(route.route_id)
    if split is None or split.parts != route.parts:
        split = dispatcher.splits_by_route[route.route_id] = TrafficSplit(route.parts)
    pending.configuration_version = dispatcher.directory.configuration.version
    if pending.relayed_from:
        if pending.service_id not in {part.service_id for part in route.parts}:
            pending.service_id = split.choose()
        return True
    pending.service_id = split.choose()
    dispatcher.get_budget(pending.service_id).record(now)
    return True
