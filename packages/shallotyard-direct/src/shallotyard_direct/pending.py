"""Requests without a response yet, and their transfers to upstreams."""

from dataclasses import dataclass
from dataclasses import field

from shallotyard_core.verdict import Verdict
from shallotyard_direct.model import Request
from shallotyard_direct.model import Route
from shallotyard_direct.responses import Refusal


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request without a response yet.

    :param expires_at: when the route's timeout or the caller's patience ends.
    :param tried_upstream_ids: upstreams that it was sent to.
    :param runs: attempts that may have run.
    :param verdict: combined verdict of the attempts so far.
    """

    request: Request
    arrived_at: float
    route: Route | None = None
    service_id: str = ""
    expires_at: float = 0.0
    queue_name: str = ""
    attempt_id: str = ""
    tried_upstream_ids: set[str] = field(default_factory=set)
    runs: int = 0
    sends: int = 0
    verdict: Verdict = Verdict.NOT_RUN
    refusal: Refusal = Refusal.SATURATED


@dataclass(slots=True, eq=False)
class Attempt:
    """A transfer in progress.

    :param rtt_s: time that the way takes, there and back.
    :param had_free_slot: whether the upstream had a free slot for it.
    :param slots: slots of the upstream.
    """

    pending: PendingRequest
    upstream_id: str
    started_ms: int
    sent_at: float
    rtt_s: float = 0.0
    had_free_slot: bool = False
    slots: int = 1
    abandoned: bool = False

    @property
    def incarnation(self):
        """Return the incarnation that it was sent to."""
        return self.upstream_id, self.started_ms
