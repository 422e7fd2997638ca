"""Accepts requests of callers and sends each to a holder."""

import statistics
from dataclasses import dataclass
from dataclasses import field

from shallotyard_core.budgets import RatioBudget
from shallotyard_core.calls import RETRYABLE_REASONS
from shallotyard_core.calls import ResultReason
from shallotyard_core.digests import compute_identity_digest
from shallotyard_core.digests import compute_request_fingerprint
from shallotyard_core.effects import LogDecision
from shallotyard_core.effects import SendPeer
from shallotyard_core.effects import StartTimer
from shallotyard_core.events import HedgeDue
from shallotyard_core.events import RetryDue
from shallotyard_core.exceptions import InvariantError
from shallotyard_core.holder import create_call
from shallotyard_core.keys import choose_region
from shallotyard_core.keys import compute_key_position
from shallotyard_core.keys import shorten_position
from shallotyard_core.messages import CancelCall
from shallotyard_core.messages import Relay
from shallotyard_core.messages import RelayAnswer
from shallotyard_core.problems import STATUS_WITHHELD
from shallotyard_core.problems import build_failure
from shallotyard_core.problems import build_problem
from shallotyard_core.problems import build_response
from shallotyard_core.request_checks import authenticate
from shallotyard_core.request_checks import build_forwarded_headers
from shallotyard_core.request_checks import check_headers
from shallotyard_core.request_checks import check_target
from shallotyard_core.request_checks import match_route
from shallotyard_core.selection import OUTLIER_LATENCY_RATIO
from shallotyard_core.selection import Selector
from shallotyard_core.service_state import is_out_of_service
from shallotyard_core.timing import DEAD_AFTER_S
from shallotyard_core.verdict import Verdict
from shallotyard_core.verdict import combine_verdicts

RETRY_RATIO = 0.1
RETRY_BURST = 20.0
HEDGE_RATIO = 0.05
HEDGE_BURST = 10.0
RETRY_DELAY_S = 0.01
MAX_RETRY_DELAY_S = 0.08
MAX_CALLS_PER_REQUEST = 400
# The median of fewer upstreams is no reliable reference for a slow one.
MIN_REPORTS_FOR_MEDIAN = 4
# A lost call may mean that the request crashed its upstream. Without this limit, the
# retries could crash all upstreams before its quarantine marks have been shared.
MAX_LOST_CALLS_PER_REQUEST = 2
# The holder replies by the deadline; this covers the network delay of the reply.
REPLY_GRACE_S = 0.05
MAX_DEADLINE_S = 60.0
# With these reasons the holder made no attempt at the upstream.
_REASONS_WITHOUT_ATTEMPT = frozenset(
    {ResultReason.MOVED, ResultReason.NOT_READY, ResultReason.OUT_OF_SERVICE}
)


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A caller's request in progress.

    :param started_at: time at which the request arrived, in seconds.
    :param deadline: deadline in local time, in seconds.
    :param position: 16-bit position of the key, -1 if any upstream may serve the
        request.
    :param region: region that serves the key, ``""`` for any region.
    :param identity: see `Relay`.
    :param calls: (holder, upstream, time sent) of the calls in progress, by call id.
    :param verdict: combined verdict of the finished calls.
    :param reason: reason of the last finished call.
    :param excluded_upstream_ids: upstreams that failed to serve the request.
    :param call_count: number of calls sent so far.
    :param lost_count: number of calls that ended without a response.
    :param hedged: whether a hedge was sent or attempted.
    """

    request: object
    client: object
    service: object
    started_at: float
    deadline: float
    idempotent: bool
    position: int
    region: str
    identity: str
    fingerprint: str
    headers: dict[str, str]
    calls: dict = field(default_factory=dict)
    verdict: Verdict = Verdict.NOT_RUN
    reason: ResultReason = ResultReason.NO_UPSTREAM
    retry_after_s: float = 0.0
    excluded_upstream_ids: tuple = ()
    call_count: int = 0
    lost_count: int = 0
    hedged: bool = False

    @property
    def is_deduplicated(self):
        """Tell whether holders recognise a repeated call of this request."""
        return self.identity != "" and self.position >= 0


class Ingress:
    """Requests in progress at the instance that the callers are connected to.

    :param own: this instance's `Member`.
    :param holder: the `Holder` of this instance, for local calls.
    :param membership: the `Membership` of this instance.
    :param rng: seeded ``random.Random``.
    """

    def __init__(self, own, holder, membership, rng):
        self.own = own
        self.holder = holder
        self.membership = membership
        self.rng = rng
        self.deployment = None
        self.own_region = ""
        self.out_of_service_ids = frozenset()
        self.tables_by_region = {}
        self.pending_by_id = {}
        self.request_id_by_call_id = {}
        self.selector = Selector()
        self.retry_budget = RatioBudget(RETRY_RATIO, RETRY_BURST)
        self.hedge_budget = RatioBudget(HEDGE_RATIO, HEDGE_BURST)
        self.requests_by_verdict = dict.fromkeys((v.value for v in Verdict), 0)
        # Upstreams' responses to actions in whose place callers got a failure.
        self.withheld_responses = 0
        self.attempts = 0
        self._candidates_by_service_and_regions = {}

    def apply_deployment(self, deployment, own_region):
        """Apply a newer deployment.

        :param deployment: the newer `Deployment`.
        :param own_region: region of this instance.
        """
        self.deployment = deployment
        self.own_region = own_region
        self.selector.retain(deployment.upstreams_by_id)
        self._candidates_by_service_and_regions.clear()

    def clear_candidates(self):
        """Clear the candidate lists after a change of assignments or service state."""
        self._candidates_by_service_and_regions.clear()

    def apply_upstream_reports(self, reports, now):
        """Eject upstreams that their holders report as much slower than the others.

        :param reports: fresh `UpstreamReport` objects of all services.
        :param now: current time in seconds.
        """
        reports_by_service = {}
        for report in reports:
            upstream = self.deployment.upstreams_by_id.get(report.upstream_id)
            # Without traffic the reported latency is outdated.
            if upstream is not None and report.rate > 0 and report.latency_s > 0:
                reports_by_service.setdefault(upstream.service, []).append(report)
        for service_id, service_reports in reports_by_service.items():
            if len(service_reports) < MIN_REPORTS_FOR_MEDIAN:
                continue
            median_s = statistics.median_low(
                report.latency_s for report in service_reports
            )
            slow_ids = [
                report.upstream_id
                for report in service_reports
                if report.latency_s > OUTLIER_LATENCY_RATIO * median_s
            ]
            self.selector.eject_reported(service_id, slow_ids, now)

    # New requests

    def handle_request(self, event, effects):
        """Check a new request and send it to a holder, or refuse it.

        :param event: a `RequestArrived`.
        :param effects: list that effects are appended to.
        """
        request = event.request
        refusal = self._admit_request(request, event.now, effects)
        if refusal is not None:
            status, reason, detail = refusal
            self._refuse(request, status, reason, detail, effects)

    def _admit_request(self, request, now, effects):
        """Check a request and send its first call.

        :return: (status, reason, detail) if the request is refused, else ``None``.
        """
        deployment = self.deployment
        if deployment is None:
            return 503, "not-configured", ""
        client = authenticate(deployment, request.headers)
        if client is None:
            return 401, "unauthorized", ""
        service = match_route(deployment, client, request.target)
        if service is None:
            return 404, "unknown-route", ""
        if client.home_regions and self.own_region not in client.home_regions:
            return 421, "wrong-region", "use " + ", ".join(client.home_regions)
        if len(request.body) > service.max_body_bytes:
            return 413, "body-too-large", f"at most {service.max_body_bytes} bytes"
        fault = check_target(request.target) or check_headers(service, request)
        if fault:
            return 400, "bad-request", fault
        pending = self._create_pending_request(request, client, service, now)
        self.pending_by_id[request.request_id] = pending
        self.retry_budget.record_request()
        self.hedge_budget.record_request()
        self._dispatch(pending, now, effects)
        return None

    def _create_pending_request(self, request, client, service, now):
        headers = request.headers
        key = headers.get("shallotyard-key")
        idempotency_key = headers.get("idempotency-key")
        idempotent = request.method in service.idempotent_methods
        identity = ""
        if idempotency_key and not idempotent:
            identity = compute_identity_digest(client.id, idempotency_key)
        position, region = -1, ""
        routing_key = key if service.keyed else (idempotency_key if identity else None)
        if routing_key is not None:
            full_position = compute_key_position(service.id, client.id, routing_key)
            position = shorten_position(full_position)
            regions = _list_serving_regions(service, client)
            region = choose_region(regions, position)
        budget_ms = headers.get("shallotyard-deadline-ms")
        budget_ms = int(budget_ms) if budget_ms else service.default_deadline_ms
        return PendingRequest(
            request,
            client,
            service,
            now,
            now + min(MAX_DEADLINE_S, budget_ms / 1000.0),
            idempotent,
            position,
            region,
            identity,
            compute_request_fingerprint(
                client.id, request.method, request.target, key, request.body
            ),
            build_forwarded_headers(headers, client, key),
        )

    def _refuse(self, request, status, reason, detail, effects):
        self.requests_by_verdict[Verdict.NOT_RUN.value] += 1
        effects.append(
            build_problem(request.request_id, status, reason, Verdict.NOT_RUN, detail)
        )
        effects.append(
            LogDecision(
                "refuse", reason, {"request_id": request.request_id, "status": status}
            )
        )

    # Holder selection

    def _dispatch(self, pending, now, effects, hedge=False):
        """Send a call of a pending request and return whether one was sent."""
        selected = self._select_holder(pending, now)
        if selected is None:
            if not hedge:
                pending.reason = ResultReason.NO_UPSTREAM
                self._schedule_retry(pending, now, effects)
            return False
        upstream_id, holder_id, revision, log_reason = selected
        self._send_call(
            pending, upstream_id, holder_id, revision, log_reason, now, effects
        )
        return True

    def _select_holder(self, pending, now):
        """Return (upstream, holder, revision, log reason), or ``None``."""
        if pending.position >= 0:
            table = self.tables_by_region.get(pending.region)
            services = table.services_by_id if table else {}
            slices = services.get(pending.service.id)
            if slices is None:
                return None
            entry = slices.find_entry(pending.position)
            holder_id = table.find_holder(entry.owner)
            return (
                (entry.owner, holder_id, table.revision, "owner") if holder_id else None
            )
        candidates = self._list_candidates(pending)
        upstream_id = self.selector.select(
            pending.service.id, candidates, self.rng, now, pending.excluded_upstream_ids
        )
        if upstream_id is None:
            return None
        region = self.deployment.upstreams_by_id[upstream_id].region
        table = self.tables_by_region[region]
        return upstream_id, table.find_holder(upstream_id), 0, "least-loaded"

    def _list_candidates(self, pending):
        """Return the upstreams that may serve an unkeyed request.

        Those of the own region are preferred, because traffic between regions is
        slow and billed by volume.
        """
        service = pending.service
        home_regions = pending.client.home_regions
        cached = self._candidates_by_service_and_regions.get((service.id, home_regions))
        if cached is not None:
            return cached
        ids_by_region = {}
        for upstream in self.deployment.upstreams_by_service[service.id]:
            if home_regions and upstream.region not in home_regions:
                continue
            if is_out_of_service(upstream.id, upstream.domain, self.out_of_service_ids):
                continue
            table = self.tables_by_region.get(upstream.region)
            if table and table.find_holder(upstream.id):
                ids_by_region.setdefault(upstream.region, []).append(upstream.id)
        local_ids = ids_by_region.get(self.own_region)
        if local_ids is None:
            local_ids = [name for names in ids_by_region.values() for name in names]
        candidates = tuple(local_ids)
        self._candidates_by_service_and_regions[service.id, home_regions] = candidates
        return candidates

    def _send_call(
        self, pending, upstream_id, holder_id, revision, log_reason, now, effects
    ):
        request = pending.request
        pending.call_count += 1
        call_id = f"{request.request_id}.{pending.call_count}"
        relay = Relay(
            call_id,
            request.request_id,
            pending.client.id,
            pending.service.id,
            upstream_id,
            pending.position,
            revision,
            request.method,
            request.target,
            pending.headers,
            request.body,
            pending.identity,
            pending.fingerprint,
            pending.deadline - now,
            pending.idempotent,
            fresh=pending.hedged,
        )
        pending.calls[call_id] = (holder_id, upstream_id, now)
        self.request_id_by_call_id[call_id] = request.request_id
        if pending.position < 0:
            self.selector.record_start(upstream_id)
        fields = {
            "request_id": request.request_id,
            "service": pending.service.id,
            "upstream": upstream_id,
            "holder": holder_id,
        }
        effects.append(LogDecision("route", log_reason, fields))
        if holder_id == self.own.instance_id:
            call = create_call(relay, "", None, now)
            self.holder.accept_call(call, now, effects)
        else:
            self._send_remote(pending, relay, holder_id, now, effects)
        self._schedule_hedge(pending, effects)

    def _send_remote(self, pending, relay, holder_id, now, effects):
        home_regions = pending.client.home_regions
        region = self._find_region_of_instance(holder_id)
        if home_regions and region not in home_regions:
            self.handle_reply(
                RelayAnswer(relay.call_id, Verdict.NOT_RUN, str(ResultReason.MOVED)),
                now,
                effects,
            )
            return
        timeout_s = relay.remaining_s + REPLY_GRACE_S
        address = self.membership.find_address(holder_id)
        token = ("relay", relay.call_id)
        effects.append(SendPeer(holder_id, address, relay, token, timeout_s))

    def _find_region_of_instance(self, instance_id):
        member = self.membership.members_by_id.get(instance_id)
        return self.deployment.find_region_of_domain(member.domain) if member else ""

    # Hedges

    def _schedule_hedge(self, pending, effects):
        if pending.hedged or not pending.idempotent or pending.call_count > 1:
            return
        delay_s = self.selector.get_hedge_delay_s(pending.service.id)
        if delay_s is not None:
            event = HedgeDue(0.0, pending.request.request_id)
            effects.append(StartTimer(delay_s, event))

    def handle_hedge_due(self, event, effects):
        """Send a hedge for a slow request if the hedge budget allows it.

        :param event: a `HedgeDue`.
        :param effects: list that effects are appended to.
        """
        pending = self.pending_by_id.get(event.request_id)
        if pending is None or len(pending.calls) != 1 or pending.hedged:
            return
        if event.now >= pending.deadline or not self.hedge_budget.try_spend():
            return
        pending.hedged = True
        (_, upstream_id, _) = next(iter(pending.calls.values()))
        excluded_upstream_ids = pending.excluded_upstream_ids
        if pending.position < 0:
            pending.excluded_upstream_ids = (*excluded_upstream_ids, upstream_id)
        self._dispatch(pending, event.now, effects, hedge=True)
        pending.excluded_upstream_ids = excluded_upstream_ids

    # Replies

    def handle_reply(self, reply, now, effects):
        """Handle the reply to a call, or its substitute if it was lost.

        :param reply: a `RelayAnswer`.
        :param now: current time in seconds.
        :param effects: list that effects are appended to.
        """
        request_id = self.request_id_by_call_id.pop(reply.call_id, None)
        pending = self.pending_by_id.get(request_id)
        if pending is None:
            return
        _, upstream_id, sent_at = pending.calls.pop(reply.call_id)
        self._record_attempt(pending, reply, upstream_id, now - sent_at, now)
        pending.verdict = combine_verdicts(pending.verdict, reply.verdict)
        if reply.verdict is Verdict.RAN:
            self._respond(pending, reply, upstream_id, now, effects)
            return
        pending.reason = ResultReason(reply.reason)
        pending.retry_after_s = reply.retry_after_s
        if pending.calls:
            return
        self._retry_or_fail(pending, reply, upstream_id, now, effects)

    def _record_attempt(self, pending, reply, upstream_id, latency_s, now):
        attempted = reply.reason not in _REASONS_WITHOUT_ATTEMPT
        if attempted:
            self.attempts += 1
        if pending.position >= 0:
            return
        if not attempted or reply.reason == ResultReason.CANCELLED:
            self.selector.record_cancellation(upstream_id)
        else:
            ok = reply.verdict is Verdict.RAN
            self.selector.record_finish(upstream_id, now, latency_s, ok)

    def _respond(self, pending, reply, upstream_id, now, effects):
        request_id = pending.request.request_id
        response = build_response(
            request_id, pending.idempotent, reply.status, reply.headers, reply.body
        )
        effects.append(response)
        if response.status != reply.status:
            self.withheld_responses += 1
            fields = {
                "request_id": request_id,
                "service": pending.service.id,
                "upstream": upstream_id,
                "verdict": Verdict.RAN.value,
                "status": response.status,
                "upstream_status": reply.status,
            }
            effects.append(LogDecision("fail", STATUS_WITHHELD, fields))
        self._finish_request(pending, Verdict.RAN, effects, now)

    def _retry_or_fail(self, pending, reply, upstream_id, now, effects):
        reason = pending.reason
        is_repeatable = pending.idempotent or pending.verdict is Verdict.NOT_RUN
        if reason is ResultReason.HOLDER_LOST and pending.is_deduplicated:
            # A repeated call is answered from the outcome store or, at the next
            # holder, from the copies of a witness.
            is_repeatable = True
        if reason is ResultReason.SATURATED and pending.position < 0:
            retryable = True
        else:
            retryable = reason in RETRYABLE_REASONS
        if (
            not (is_repeatable and retryable)
            or pending.call_count >= MAX_CALLS_PER_REQUEST
        ):
            self._fail(pending, effects)
            return
        if reason is ResultReason.LOST:
            pending.lost_count += 1
            if pending.lost_count >= MAX_LOST_CALLS_PER_REQUEST:
                self._fail(pending, effects)
                return
        if reason not in (
            ResultReason.MOVED,
            ResultReason.NOT_READY,
            ResultReason.STALE_GRANT,
        ):
            pending.excluded_upstream_ids = (
                *pending.excluded_upstream_ids,
                upstream_id,
            )
            costs_no_budget = reason is ResultReason.OUT_OF_SERVICE
            if not costs_no_budget and not self.retry_budget.try_spend():
                self._fail(pending, effects)
                return
        self._schedule_retry(pending, now, effects)

    def _schedule_retry(self, pending, now, effects):
        if now + RETRY_DELAY_S >= pending.deadline:
            self._fail(pending, effects)
            return
        # An unkeyed request is retried on another upstream without a delay; a keyed
        # request can only wait until the owner of its slice serves it.
        waits_for_owner = (
            pending.position >= 0 or pending.reason is ResultReason.NO_UPSTREAM
        )
        retry_delay_s = 0.0
        if waits_for_owner:
            doubled_s = RETRY_DELAY_S * 2 ** min(pending.call_count, 3)
            retry_delay_s = min(MAX_RETRY_DELAY_S, doubled_s)
        event = RetryDue(0.0, pending.request.request_id)
        effects.append(StartTimer(retry_delay_s, event))

    def handle_retry_due(self, event, effects):
        """Send a pending request again after the retry delay.

        :param event: a `RetryDue`.
        :param effects: list that effects are appended to.
        """
        pending = self.pending_by_id.get(event.request_id)
        if pending is not None and not pending.calls:
            self._dispatch(pending, event.now, effects)

    def _fail(self, pending, effects):
        if pending.calls and pending.verdict is Verdict.NOT_RUN:
            raise InvariantError("not-run", f"{len(pending.calls)} calls in progress")
        effects.append(
            build_failure(
                pending.request.request_id,
                pending.reason,
                pending.verdict,
                pending.retry_after_s,
            )
        )
        fields = {
            "request_id": pending.request.request_id,
            "service": pending.service.id,
            "verdict": pending.verdict.value,
            "calls": pending.call_count,
        }
        effects.append(LogDecision("fail", str(pending.reason), fields))
        self._finish_request(pending, pending.verdict, effects)

    def _finish_request(self, pending, verdict, effects, responded_at=None):
        self.requests_by_verdict[verdict.value] += 1
        del self.pending_by_id[pending.request.request_id]
        self._cancel_calls(pending, effects, responded_at)

    def _cancel_calls(self, pending, effects, responded_at=None):
        for call_id, (holder_id, upstream_id, sent_at) in pending.calls.items():
            self.request_id_by_call_id.pop(call_id, None)
            # Its reply will be ignored, so it is counted here: the upstream may have
            # started to run it.
            self.attempts += 1
            if pending.position < 0 and responded_at is not None:
                waited_s = responded_at - sent_at
                self.selector.record_hedge_loss(upstream_id, responded_at, waited_s)
            elif pending.position < 0:
                self.selector.record_cancellation(upstream_id)
            if holder_id == self.own.instance_id:
                self.holder.cancel_call(call_id, effects)
            else:
                address = self.membership.find_address(holder_id)
                effects.append(SendPeer(holder_id, address, CancelCall(call_id)))

    def cancel_request(self, event, effects):
        """Cancel an idempotent request whose caller disconnected.

        Other requests continue, because their upstreams may have started to run them.

        :param event: a `CallerDisconnected`.
        :param effects: list that effects are appended to.
        """
        pending = self.pending_by_id.get(event.request_id)
        if pending is not None and pending.idempotent:
            del self.pending_by_id[event.request_id]
            self._cancel_calls(pending, effects)

    def fail_expired(self, now, effects):
        """Fail the requests whose deadline passed without a response.

        :param now: current time in seconds.
        :param effects: list that effects are appended to.
        """
        for pending in list(self.pending_by_id.values()):
            if now < pending.deadline + REPLY_GRACE_S:
                self._abandon_calls_to_dead_holders(pending, now, effects)
                continue
            if pending.calls:
                pending.verdict = combine_verdicts(
                    pending.verdict, Verdict.MAY_HAVE_RUN
                )
                pending.reason = ResultReason.LOST
            self._fail(pending, effects)

    def _abandon_calls_to_dead_holders(self, pending, now, effects):
        """Treat calls to dead holders as lost if the request can be repeated safely."""
        if not (pending.idempotent or pending.is_deduplicated):
            return
        for call_id, (holder_id, _, sent_at) in list(pending.calls.items()):
            timed_out = now - sent_at > DEAD_AFTER_S
            if timed_out and not self.membership.is_alive(holder_id, now):
                reply = RelayAnswer(
                    call_id, Verdict.MAY_HAVE_RUN, str(ResultReason.HOLDER_LOST)
                )
                self.handle_reply(reply, now, effects)


def _list_serving_regions(service, client):
    if not client.home_regions:
        return service.regions
    return tuple(r for r in client.home_regions if r in service.regions)
