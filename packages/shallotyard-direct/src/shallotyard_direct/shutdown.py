"""Graceful shutdown of an instance."""

from dataclasses import dataclass

from shallotyard_core.effects import LogDecision
from shallotyard_direct.effects import Exit
from shallotyard_direct.effects import StopListening

# Fraction of the shutdown time during which new requests are still accepted. The load
# balancer needs a few seconds to notice that an instance is not ready, and keeps
# sending callers to the last instance of a failure domain. The rest of the time is for
# answering the accepted requests.
LISTEN_FRACTION = 0.55
# Fraction of the shutdown time after which only requests are accepted whose time ends
# before that of the instance. The load balancer has noticed the stop by then, so that
# the others are served elsewhere.
ACCEPT_ALL_FRACTION = 0.45
# Fraction of the shutdown time after which requests without a response are answered by
# the router.
FINISH_FRACTION = 0.95
# Upstreams stop work on requests this long before, so that callers get the upstream's
# own answer.
LAST_RESPONSE_MARGIN_S = 0.3


@dataclass(slots=True)
class Shutdown:
    """A graceful shutdown in progress.

    :param requested_at: time of the request to stop, in seconds.
    :param refusing: whether new requests are refused.
    """

    requested_at: float
    refusing: bool = False


def handle_stop_request(router, event, effects):
    """Begin a graceful shutdown."""
    if router.shutdown is None:
        router.shutdown = Shutdown(event.now)
        finish_at = event.now + router.settings.shutdown_s * FINISH_FRACTION
        router.dispatcher.responses_due_at = finish_at - LAST_RESPONSE_MARGIN_S
        router.dispatcher.accept_all_until = (
            event.now + router.settings.shutdown_s * ACCEPT_ALL_FRACTION
        )
        router.granter.lease.resign(event.now, effects)
        effects.append(LogDecision("stop", "requested", {}))


def advance_shutdown(router, now, effects):
    """Refuse new requests after `LISTEN_FRACTION` of the shutdown time, and exit when
    the accepted ones are answered, at the latest after `FINISH_FRACTION`. Those that
    still have no response then get one that does not say whether they have run.
    """
    shutdown = router.shutdown
    limit_s = router.settings.shutdown_s
    age_s = now - shutdown.requested_at
    if age_s >= limit_s * LISTEN_FRACTION and not shutdown.refusing:
        shutdown.refusing = router.dispatcher.stopping = True
        effects.append(StopListening())
        return
    busy = bool(router.dispatcher.pending_by_id or router.dispatcher.attempts_by_id)
    done = shutdown.refusing and not busy
    if not router.exiting and (done or age_s >= limit_s * FINISH_FRACTION):
        router.exiting = True
        router.dispatcher.answer_all(now, effects)
        effects.append(Exit())
