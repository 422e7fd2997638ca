"""The reducer of an instance: applies events to its state and returns effects."""

import random

from shallotyard_core import control
from shallotyard_core import events
from shallotyard_core.calls import ResultReason
from shallotyard_core.control import Control
from shallotyard_core.effects import ReplyPeer
from shallotyard_core.exceptions import InvariantError
from shallotyard_core.holder import Holder
from shallotyard_core.holder import create_call
from shallotyard_core.ingress import Ingress
from shallotyard_core.lease import LeaseRegistry
from shallotyard_core.membership import Member
from shallotyard_core.membership import Membership
from shallotyard_core.messages import CancelCall
from shallotyard_core.messages import Relay
from shallotyard_core.messages import RelayAnswer
from shallotyard_core.problems import build_problem
from shallotyard_core.verdict import Verdict
from shallotyard_core.violations import count_violation


class Router:
    """State of one instance.

    :param settings: validated `Settings`.
    :param incarnation: unique id of this run of the process.
    :param now: start time of the process in seconds.
    :param seed: seed of the random number generator.
    """

    def __init__(self, settings, incarnation, now, seed):
        own = Member(
            settings.instance,
            incarnation,
            settings.domain,
            settings.peer_address,
            False,
            now,
        )
        self.settings = settings
        self.own = own
        self.now = now
        self.invariant_violations = {}
        self.leases = LeaseRegistry(own.instance_id, incarnation)
        self.membership = Membership(own)
        self.holder = Holder(self.leases)
        self.ingress = Ingress(own, self.holder, self.membership, random.Random(seed))
        self.control = Control(self, now)

    @classmethod
    def from_settings(cls, settings, incarnation, now, seed):
        """Create the state of a newly started daemon."""
        return cls(settings, incarnation, now, seed)


def reduce(router, event):
    """Apply one event.

    An operation that would violate an invariant is refused, and the violation is
    counted and logged. A request that caused it gets an error response; all other
    work continues.

    :param router: the `Router` state, changed in place.
    :param event: one of the classes of `shallotyard_core.events`.
    :return: list of effects in the order in which they must be executed.
    """
    effects = []
    router.now = event.now
    try:
        _HANDLER_BY_EVENT_TYPE[type(event)](router, event, effects)
        _deliver_replies(router, event.now, effects)
    except InvariantError as error:
        _report_violation(router, event, error, effects)
    return effects


def _report_violation(router, event, error, effects):
    effects.append(count_violation(router, error))
    if isinstance(event, events.RequestArrived):
        router.ingress.pending_by_id.pop(event.request.request_id, None)
        effects.append(
            build_problem(
                event.request.request_id, 500, "internal", Verdict.MAY_HAVE_RUN
            )
        )


def _deliver_replies(router, now, effects):
    completed_calls = router.holder.completed_calls
    while completed_calls:
        call, reply = completed_calls.pop(0)
        if call.reply_to is not None:
            if reply.reason == ResultReason.MOVED:
                router.control.send_table_once(call.origin, effects)
            effects.append(ReplyPeer(call.reply_to, reply))
        elif call.origin == "":
            router.ingress.handle_reply(reply, now, effects)
    router.control.broadcast_marks(effects)
    router.control.maintenance.flush_outcomes(now, effects)


def _handle_request(router, event, effects):
    router.ingress.handle_request(event, effects)


def _handle_attempt_finished(router, event, effects):
    router.holder.handle_attempt_finished(event, effects)
    if router.holder.report_due:
        control.send_reports_now(router, event.now, effects)
    if router.leases.draining_claims_by_key:
        router.control.maintenance.release_drained(event.now, effects)


def _handle_attempt_cancelled(router, event, effects):
    if event.stopped:
        router.holder.resolve(event.call_id, event.now)


def _handle_peer_message(router, event, effects):
    message = event.message
    if isinstance(message, Relay):
        call = create_call(message, event.sender, event.reply_to, event.now)
        router.holder.accept_call(call, event.now, effects)
    elif isinstance(message, CancelCall):
        router.holder.cancel_call(message.call_id, effects)
    else:
        control.handle_message(router, event, effects)


def _handle_peer_reply(router, event, effects):
    kind = event.token[0]
    if kind != "relay":
        control.handle_reply(router, event, effects)
        return
    reply = event.message
    if not isinstance(reply, RelayAnswer) or reply.call_id != event.token[1]:
        # A message that was handed to the transport may have arrived.
        verdict = Verdict.NOT_RUN if event.unsent else Verdict.MAY_HAVE_RUN
        reason = ResultReason.NOT_READY if event.unsent else ResultReason.HOLDER_LOST
        reply = RelayAnswer(event.token[1], verdict, str(reason))
    router.ingress.handle_reply(reply, event.now, effects)


def _handle_hedge_due(router, event, effects):
    router.ingress.handle_hedge_due(event, effects)


def _handle_retry_due(router, event, effects):
    router.ingress.handle_retry_due(event, effects)


def _handle_caller_disconnected(router, event, effects):
    router.ingress.cancel_request(event, effects)


_HANDLER_BY_EVENT_TYPE = {
    events.RequestArrived: _handle_request,
    events.CallerDisconnected: _handle_caller_disconnected,
    events.AttemptFinished: _handle_attempt_finished,
    events.AttemptCancelled: _handle_attempt_cancelled,
    events.PeerMessage: _handle_peer_message,
    events.PeerReplied: _handle_peer_reply,
    events.HedgeDue: _handle_hedge_due,
    events.RetryDue: _handle_retry_due,
    events.Tick: control.handle_tick,
    events.StoreReadFinished: control.handle_store_read,
    events.StoreWriteFinished: control.handle_store_write,
    events.InstancesListed: control.handle_instances,
    events.UpstreamPolled: control.handle_upstream_polled,
    events.DrainRequested: control.handle_drain,
}
