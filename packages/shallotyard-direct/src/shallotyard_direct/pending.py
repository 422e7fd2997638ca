"""Pending requests, and their attempts at upstreams."""

from dataclasses import dataclass
from dataclasses import field

from shallotyard_core.verdict import Verdict
from shallotyard_direct.accounts.model import Account
from shallotyard_direct.model import Request
from shallotyard_direct.model import Route
from shallotyard_direct.responses import Refusal


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that has no response yet.

    :param expires_at: time at which the timeout of the route or of the caller ends,
        in seconds.
    :param fits_shutdown: whether its timeout ends before the instance stops.
    :param queue_name: name of its `WaitingRequests` queue.
    :param attempt_id: id of the attempt in progress, ``""`` if none.
    :param tried_upstream_ids: upstreams that it was sent to.
    :param runs: number of attempts that may have run.
    :param sends: number of attempts.
    :param verdict: combined verdict of the attempts so far.
    :param refusal: reason with which it is refused if it cannot be sent before its
        maximum wait or its timeout ends.
    :param key_counted: whether it was counted for the load of its key.
    :param configuration_version: version of the configuration by which its route was
        found; of a relayed request, the oldest one by which it may be dispatched.
    :param relayed_from: instance that handed it to this one, ``""`` if it arrived here.
    :param relay_id: id of the relay in progress, ``""`` if none.
    :param tried_members: instances that it was handed to.
    :param account: client account of its key, None without one.
    """

    request: Request
    arrived_at: float
    route: Route | None = None
    service_id: str = ""
    expires_at: float = 0.0
    fits_shutdown: bool = True
    queue_name: str = ""
    attempt_id: str = ""
    tried_upstream_ids: set[str] = field(default_factory=set)
    runs: int = 0
    sends: int = 0
    verdict: Verdict = Verdict.NOT_RUN
    refusal: Refusal = Refusal.SATURATED
    key_counted: bool = False
    configuration_version: int = 0
    relayed_from: str = ""
    relay_id: str = ""
    tried_members: set[str] = field(default_factory=set)
    account: Account | None = None

    @property
    def priority(self):
        """Return its priority; 0 is the highest."""
        if self.account is None or self.account.priority is None:
            return self.route.priority
        return self.account.priority

    def may_run_in(self, region):
        """Return whether its route and its account allow a region."""
        homes = self.route.home_regions
        if homes and region not in homes:
            return False
        own_homes = self.account.home_regions if self.account is not None else None
        return not own_homes or region in own_homes


@dataclass(slots=True, eq=False)
class Attempt:
    """A request sent to an upstream, until the transfer ends.

    :param started_ms: start of the upstream's incarnation, in Unix milliseconds.
    :param rtt_s: typical round-trip time to the upstream, in seconds.
    :param had_free_slot: whether the upstream had a free slot for it.
    :param slots: slots of the upstream.
    :param occupancy: requests that were expected at the upstream before this one.
    :param overdue_at: time from which its duration shows a slow upstream, in seconds;
        0 if it has not been computed yet.
    :param copy_fields: log fields that describe the copy of the store's objects from
        which the upstream was selected.
    :param abandoned: whether its result is ignored, as the caller has disconnected.
    :param account_id: client account named to the upstream, ``""`` for none.
    :param has_accounts: whether accounts were configured when it was encoded.
    """

    pending: PendingRequest
    upstream_id: str
    started_ms: int
    sent_at: float
    rtt_s: float = 0.0
    had_free_slot: bool = False
    slots: int = 1
    copy_fields: dict[str, object] = field(default_factory=dict)
    abandoned: bool = False
    account_id: str = ""
    has_accounts: bool = False
    occupancy: float = 0.0
    overdue_at: float = 0.0

    @property
    def incarnation(self):
        """Return the upstream incarnation that it was sent to."""
        return self.upstream_id, self.started_ms
