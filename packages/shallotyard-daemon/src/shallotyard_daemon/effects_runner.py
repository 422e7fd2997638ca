"""Feeds events to the reducer and carries out its effects."""

import asyncio

from shallotyard_core import effects
from shallotyard_core.events import AttemptFinished
from shallotyard_core.events import AttemptKind
from shallotyard_core.events import Tick
from shallotyard_core.exceptions import InvariantError
from shallotyard_core.reducer import count_violation
from shallotyard_core.reducer import reduce
from shallotyard_core.timing import TICK_S
from shallotyard_daemon.clock import read_clock
from shallotyard_daemon.logs import flush_logs
from shallotyard_daemon.logs import log_decision


class EffectsRunner:
    """Connects the reducer to the outside.

    :param router: the `Router` state.
    """

    def __init__(self, router):
        self.router = router
        self.handlers_by_type = {
            effects.LogDecision: log_decision,
            effects.StartTimer: self._start_timer,
        }
        self.exit_requested = asyncio.Event()

    def register_handlers(self, callers, upstreams, peers, platform):
        """Name the parts that carry out effects."""
        self.handlers_by_type.update(
            {
                effects.Respond: callers.respond,
                effects.SendAttempt: upstreams.send,
                effects.CancelAttempt: upstreams.cancel,
                effects.PollUpstream: upstreams.poll,
                effects.SendPeer: peers.send,
                effects.ReplyPeer: lambda e: peers.reply(e.reply_to, e.message),
                effects.ReadStore: platform.read,
                effects.WriteStore: platform.write,
                effects.ListInstances: lambda e: platform.list_instances(),
                effects.Exit: lambda e: self.exit_requested.set(),
            }
        )

    def dispatch(self, event):
        """Apply an event and carry out what follows from it."""
        for effect in reduce(self.router, event):
            try:
                self.handlers_by_type[type(effect)](effect)
            except InvariantError as error:
                self._reject_effect(effect, error)

    def _reject_effect(self, effect, error):
        """Report an effect that would break an invariant; it was not carried out."""
        log_decision(count_violation(self.router, error))
        if isinstance(effect, effects.SendAttempt):
            event = AttemptFinished(
                read_clock(), effect.call_id, AttemptKind.NOT_SENT, error.invariant
            )
            asyncio.get_running_loop().call_soon(self.dispatch, event)

    def _start_timer(self, effect):
        asyncio.get_running_loop().call_later(
            effect.delay_s, self._dispatch_timer_event, effect.event
        )

    def _dispatch_timer_event(self, event):
        event.now = read_clock()
        self.dispatch(event)

    async def tick_forever(self):
        """Deliver a `Tick` every `TICK_S`."""
        while True:
            self.dispatch(Tick(read_clock()))
            flush_logs()
            await asyncio.sleep(TICK_S)
