"""Passes events to the reducer and carries out its effects."""

import asyncio

from shallotyard_core import effects
from shallotyard_core.events import AttemptFinished
from shallotyard_core.events import AttemptKind
from shallotyard_core.events import Tick
from shallotyard_core.exceptions import InvariantError
from shallotyard_core.reducer import reduce
from shallotyard_core.timing import TICK_S
from shallotyard_core.violations import count_violation
from shallotyard_daemon.clock import read_clock
from shallotyard_daemon.logs import flush_logs
from shallotyard_daemon.logs import log_decision


class EffectsRunner:
    """Connects the reducer to clocks, networks and logs.

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
        """Register the components that carry out effects.

        :param callers: the `CallerServer`.
        :param upstreams: the `UpstreamClient`.
        :param peers: the `Peers`.
        :param platform: the `PlatformClient`.
        """
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
        """Apply an event and carry out the resulting effects."""
        for effect in reduce(self.router, event):
            try:
                self.handlers_by_type[type(effect)](effect)
            except InvariantError as error:
                self._reject_effect(effect, error)

    def _reject_effect(self, effect, error):
        """Log and count an effect that was not run because it violates an invariant."""
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
        """Dispatch a `Tick` every `TICK_S` seconds and flush the logs."""
        while True:
            self.dispatch(Tick(read_clock()))
            flush_logs()
            await asyncio.sleep(TICK_S)
