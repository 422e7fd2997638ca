"""Hands requests to other instances while this one cannot reach any upstream.

A relayed request is dispatched by the other instance as if it had arrived there, with
the time that has passed since its arrival, and is never relayed a second time.
"""

import math
from collections import Counter
from dataclasses import dataclass
from dataclasses import replace

from shallotyard_core.effects import LogDecision
from shallotyard_core.exceptions import InvariantError
from shallotyard_core.verdict import Verdict
from shallotyard_core.verdict import combine_verdicts
from shallotyard_direct.effects import AbandonRelay
from shallotyard_direct.effects import SendRelay
from shallotyard_direct.feed_source import Member
from shallotyard_direct.model import RelayedRequest
from shallotyard_direct.pending import PendingRequest
from shallotyard_direct.responses import Refusal
from shallotyard_direct.responses import build_response

# Instances to which a request is handed before it is refused.
MAX_RELAY_TRIES = 5
# Requests that an instance has handed to all others, and to a single one.
MAX_RELAYS = 256
MAX_RELAYS_PER_MEMBER = 64
# Requests that an instance dispatches for others.
MAX_RELAYED_REQUESTS = 128
# Bytes of the bodies of requests that an instance has handed to others, and of those
# that it dispatches for others, where the settings do not name its memory.
MAX_RELAYED_BYTES = 32 * 1024 * 1024
# Messages of more than 16 MiB are refused on arrival, which looks like a lost reply.
MAX_RELAYED_BODY_BYTES = 8 * 1024 * 1024
# An instance that declined or was not reached is avoided for the first time. The time
# doubles with each further failure if it was not reached or is cut off itself: records
# of instances that are gone are never removed, and most others may be cut off.
AVOIDANCE_S = 1.0
MAX_AVOIDANCE_S = 8.0
# An instance that does not know the method is updated first.
UNSUPPORTED_AVOIDANCE_S = 10.0
# Retry-After of requests that no instance takes; other instances can serve them at
# once.
CUT_OFF_RETRY_AFTER_S = 0.1
# With less time left, a connection to another region may not even be opened.
MIN_RELAY_TIME_S = 0.1
# Time for which the instance is not ready after no other one has taken a request, and
# none has replied to one for a shorter time.
UNACCEPTED_S = 3.0
ACCEPTANCE_S = 1.0
# Costs of the distance to an instance, in requests in flight there: bytes between
# failure domains and between regions are paid for.
CROSS_DOMAIN_COST = 3
CROSS_REGION_COST = 10
# Cost of each avoided instance in the failure domain, as a whole one may be cut off.
AVOIDED_NEIGHBOR_COST = 4
# An instance that has replied to none of the requests in flight there for this long may
# be frozen; others come first.
SILENT_AFTER_S = 0.8
SILENCE_COST = 1000

# Reasons for which an instance declines a request that it has not dispatched to an
# upstream. They leave the process, and other versions may send further ones.
DECLINED_CUT_OFF = "cut-off"
DECLINED_BUSY = "busy"
DECLINED_STOPPING = "stopping"
DECLINED_OUTDATED = "outdated-configuration"
DECLINED_UNSUPPORTED = "unsupported"
DECLINED_MALFORMED = "malformed"
DECLINED_UNREACHED = "unreached"
# Refusals of a request that has not run which another instance may not share.
_DECLINING_REFUSALS = frozenset(
    {
        Refusal.NOT_CONFIGURED,
        Refusal.STORE_UNREACHABLE,
        Refusal.UNREACHABLE,
        Refusal.CUT_OFF,
        Refusal.STOPPING,
        Refusal.KEYS_OUTDATED,
    }
)


@dataclass(slots=True, eq=False)
class Relay:
    """A request handed to another instance, until its reply or its failure.

    :param max_runs: how often it may run there.
    """

    pending: PendingRequest
    member: Member
    sent_at: float
    max_runs: int


class Relays:
    """The requests that this instance has handed to others.

    :param settings: the `DirectSettings`.
    :param dispatch: function from a `PendingRequest`, the time and a list of effects
        that dispatches the request again.
    :param refuse: function from a `PendingRequest`, the `Refusal`, the time, a list of
        effects and the expected wait in seconds that refuses the request.
    :param respond: function from a `PendingRequest`, the `Respond` and a list of
        effects that answers the request.
    :param try_spend_retry: function from a service id and the time to whether a
        request of the service may be retried.
    :param rng: a ``random.Random``.
    :param access: the `Access`.
    :param quotas: the `AccountQuotas`.
    """

    def __init__(
        self, settings, dispatch, refuse, respond, try_spend_retry, rng, access, quotas
    ):
        self.settings = settings
        self.max_bytes = MAX_RELAYED_BYTES
        self.dispatch = dispatch
        self.refuse = refuse
        self.respond = respond
        self.try_spend_retry = try_spend_retry
        self.rng = rng
        self.access = access
        self.quotas = quotas
        self.members_by_id = {}
        self.relays_by_id = {}
        self.body_bytes = 0
        self.counts_by_member = {}
        # Time of the last reply, or of the first request since none was in flight.
        self.heard_at_by_member = {}
        self.avoid_until_by_member = {}
        self.failures_by_member = {}
        self.relay_count = 0
        self.accepted_at = -math.inf
        self.unaccepted_until = -math.inf

    def forget_failures(self):
        """Avoid no instance because of failures in a cut that has ended."""
        self.avoid_until_by_member.clear()
        self.failures_by_member.clear()

    def is_unaccepted(self, now):
        """Return whether no other instance has taken a request recently."""
        return now < self.unaccepted_until

    def relay(self, pending, now, effects):
        """Hand a request to another instance, or refuse it if none takes it."""
        if pending.relayed_from or pending.expires_at - now < MIN_RELAY_TIME_S:
            self.refuse(pending, Refusal.CUT_OFF, now, effects, CUT_OFF_RETRY_AFTER_S)
            return
        member = self._choose_member(pending, now)
        if member is None:
            is_rejected = not self._list_candidates(pending, now)
            if is_rejected and now > self.accepted_at + ACCEPTANCE_S:
                self.unaccepted_until = now + UNACCEPTED_S
            self.refuse(pending, Refusal.CUT_OFF, now, effects, CUT_OFF_RETRY_AFTER_S)
            return
        self._check_invariants(pending, member)
        self.relay_count += 1
        relay_id = f"{pending.request.request_id}/r{self.relay_count:x}"
        pending.relay_id = relay_id
        pending.tried_members.add(member.instance)
        remaining = pending.route.max_attempts - pending.runs
        # One attempt is kept for the case that the reply is lost.
        max_runs = max(1, remaining - 1)
        request_id = pending.request.request_id
        if self.quotas.has_credit(request_id):
            max_runs = 1
            # It may be sent there until it expires.
            self.quotas.record_send(request_id, pending.expires_at)
        self.relays_by_id[relay_id] = Relay(pending, member, now, max_runs)
        self.body_bytes += len(pending.request.body)
        if member.instance not in self.counts_by_member:
            self.heard_at_by_member[member.instance] = now
        self._add_to_count(member, 1)
        timeout_s = pending.expires_at - pending.arrived_at
        relayed = RelayedRequest(
            replace(pending.request, caller_timeout_s=timeout_s),
            self.settings.instance,
            now - pending.arrived_at,
            pending.service_id,
            pending.configuration_version,
            pending.runs + max(0, remaining - max_runs),
            self.access.has_accounts(),
        )
        effects.append(
            SendRelay(
                relay_id, member.instance, member.address, relayed, pending.expires_at
            )
        )

    def _check_invariants(self, pending, member):
        if pending.verdict is not Verdict.NOT_RUN and not pending.route.idempotent:
            raise InvariantError(
                "at-most-once", f"second run requested at instance {member.instance}"
            )
        if not pending.may_run_in(self._find_region(member)):
            raise InvariantError(
                "home-region", f"relay outside home regions to {member.domain}"
            )

    def _find_region(self, member):
        return self.settings.region_by_domain.get(member.domain, "")

    def _list_candidates(self, pending, now):
        """Return the instances that may take a request, of any region."""
        if (
            len(pending.tried_members) >= MAX_RELAY_TRIES
            or len(self.relays_by_id) >= MAX_RELAYS
            or self.body_bytes + len(pending.request.body) > self.max_bytes
            or len(pending.request.body) > MAX_RELAYED_BODY_BYTES
        ):
            return []
        return [
            member
            for member in self.members_by_id.values()
            if member.instance != self.settings.instance
            and member.instance not in pending.tried_members
            and not self._is_avoided(member, now)
            and self.counts_by_member.get(member.instance, 0) < MAX_RELAYS_PER_MEMBER
        ]

    def _choose_member(self, pending, now):
        candidates = [
            member
            for member in self._list_candidates(pending, now)
            if pending.may_run_in(self._find_region(member))
        ]
        if not candidates:
            return None
        avoided_count_by_domain = Counter(
            member.domain
            for member in self.members_by_id.values()
            if self._is_avoided(member, now)
        )
        return min(
            candidates,
            key=lambda m: (
                self._compute_cost(m, now)
                + AVOIDED_NEIGHBOR_COST * avoided_count_by_domain[m.domain],
                self.rng.random(),
            ),
        )

    def _is_avoided(self, member, now):
        return now < self.avoid_until_by_member.get(member.instance, -math.inf)

    def _compute_cost(self, member, now):
        cost = self.counts_by_member.get(member.instance, 0)
        heard_at = self.heard_at_by_member.get(member.instance, now)
        if cost and now > heard_at + SILENT_AFTER_S:
            cost += SILENCE_COST
        if member.domain == self.settings.domain:
            return cost
        is_same_region = self._find_region(member) == self.settings.region
        return cost + (CROSS_DOMAIN_COST if is_same_region else CROSS_REGION_COST)

    def _add_to_count(self, member, change):
        count = self.counts_by_member.get(member.instance, 0) + change
        if count:
            self.counts_by_member[member.instance] = count
        else:
            self.counts_by_member.pop(member.instance, None)

    def _end(self, relay_id):
        relay = self.relays_by_id.pop(relay_id, None)
        if relay is not None:
            self.body_bytes -= len(relay.pending.request.body)
            self._add_to_count(relay.member, -1)
            relay.pending.relay_id = ""
        return relay

    def cancel(self, pending, effects):
        """End the relay of a request whose caller no longer waits."""
        if pending.relay_id:
            effects.append(AbandonRelay(pending.relay_id))
            self._end(pending.relay_id)

    def handle_result(self, event, effects):
        """Handle a `RelayFinished`."""
        relay = self._end(event.relay_id)
        if relay is None:
            return
        now, pending, reply = event.now, relay.pending, event.reply
        if not (reply.lost or reply.declined == DECLINED_UNREACHED):
            self.heard_at_by_member[relay.member.instance] = now
        if reply.declined:
            self._handle_declined(relay, reply, now, effects)
            return
        if not reply.lost:
            self.accepted_at = now
            self.unaccepted_until = -math.inf
            self.failures_by_member.pop(relay.member.instance, None)
        pending.verdict = combine_verdicts(pending.verdict, reply.verdict)
        if reply.lost:
            self._handle_lost(relay, reply, now, effects)
        elif not reply.refusal:
            # An instance of an earlier version also replies with what the upstream
            # answered.
            response = build_response(pending, reply.status, reply.headers, reply.body)
            fields = {
                "total_ms": round((now - pending.arrived_at) * 1000),
                "status": response.status,
                "upstream_status": reply.status,
                "route": pending.route.route_id,
                "idempotent": pending.route.idempotent,
            }
            self._log(relay, "relayed", str(response.status), now, effects, fields)
            self.respond(pending, response, effects)
        else:
            self._log(relay, "relayed", reply.refusal, now, effects)
            refusal = parse_refusal(reply)
            if refusal is Refusal.LOST and self._retry(relay, now, effects):
                return
            self.refuse(pending, refusal, now, effects, reply.wait_s)

    def _handle_declined(self, relay, reply, now, effects):
        """Hand a request that has not run to the next instance."""
        # Requests that were in flight together count as one failure.
        if not self._is_avoided(relay.member, now):
            self._avoid(relay.member, reply.declined, now)
        self._log(relay, "relay-failed", reply.declined, now, effects)
        self.dispatch(relay.pending, now, effects)

    def _avoid(self, member, reason, now):
        avoidance_s = AVOIDANCE_S
        if reason == DECLINED_UNSUPPORTED:
            avoidance_s = UNSUPPORTED_AVOIDANCE_S
        elif reason in (DECLINED_UNREACHED, DECLINED_CUT_OFF):
            failures = self.failures_by_member.get(member.instance, 0) + 1
            self.failures_by_member[member.instance] = failures
            avoidance_s = min(MAX_AVOIDANCE_S, AVOIDANCE_S * 2 ** (failures - 1))
        self.avoid_until_by_member[member.instance] = now + avoidance_s

    def _handle_lost(self, relay, reply, now, effects):
        """Retry or refuse a request that may have run without a reply."""
        pending = relay.pending
        self.avoid_until_by_member[relay.member.instance] = now + AVOIDANCE_S
        fields = {"detail": reply.detail}
        self._log(relay, "relay-failed", "reply lost", now, effects, fields)
        if self._retry(relay, now, effects):
            return
        expired = now >= pending.expires_at
        refusal = Refusal.TIMEOUT if expired else Refusal.LOST
        self.refuse(pending, refusal, now, effects, 0.0)

    def _retry(self, relay, now, effects):
        """Dispatch a request that may have run at another instance again, if it may run
        again.

        :return: whether it was dispatched.
        """
        pending = relay.pending
        pending.runs += relay.max_runs
        may_retry = (
            pending.route.idempotent
            and now < pending.expires_at
            and pending.runs < pending.route.max_attempts
            and self.try_spend_retry(pending.service_id, now)
            and self.quotas.repeat(pending.request.request_id, now)
        )
        if may_retry:
            self.dispatch(pending, now, effects)
        return may_retry

    def _log(self, relay, decision, reason, now, effects, more_fields=None):
        pending = relay.pending
        fields = {
            "request_id": pending.request.caller_id,
            "relayed_to": relay.member.instance,
            "service": pending.service_id,
            "verdict": pending.verdict.value,
            **self.access.describe(pending),
            "waited_ms": round((relay.sent_at - pending.arrived_at) * 1000),
            "duration_ms": round((now - relay.sent_at) * 1000),
            **(more_fields or {}),
        }
        effects.append(LogDecision(decision, reason, fields))


class RelayedRequests:
    """The requests that this instance dispatches for others."""

    def __init__(self):
        self.sizes_by_id = {}
        self.total_size = 0
        self.max_bytes = MAX_RELAYED_BYTES

    def has_room(self, request):
        """Return whether one more request may be dispatched for others."""
        return (
            len(self.sizes_by_id) < MAX_RELAYED_REQUESTS
            and self.total_size + len(request.body) <= self.max_bytes
        )

    def add(self, request):
        """Record that a request is dispatched."""
        self.sizes_by_id[request.request_id] = len(request.body)
        self.total_size += len(request.body)

    def discard(self, request_id):
        """Record that a request has ended."""
        self.total_size -= self.sizes_by_id.pop(request_id, 0)


def find_decline_reason(refusal, verdict):
    """Return the reason with which a refused request is declined, so that its instance
    may hand it to another one; ``""`` if the refusal is final.

    :param refusal: the `Refusal`.
    :param verdict: combined verdict of the attempts of this instance.
    """
    is_declined = refusal in _DECLINING_REFUSALS and verdict is Verdict.NOT_RUN
    return refusal.value if is_declined else ""


def parse_refusal(reply):
    """Return the `Refusal` of a reply; another version may send one that is unknown."""
    try:
        return Refusal(reply.refusal)
    except ValueError:
        is_not_run = reply.verdict is Verdict.NOT_RUN
        return Refusal.CUT_OFF if is_not_run else Refusal.LOST
