"""Takes requests from callers and finds the holder that serves each."""

import statistics
from dataclasses import dataclass
from dataclasses import field

from shallotyard_core.budgets import RatioBudget
from shallotyard_core.calls import RETRYABLE
from shallotyard_core.calls import Reason
from shallotyard_core.digests import identity_digest
from shallotyard_core.digests import request_fingerprint
from shallotyard_core.effects import LogDecision
from shallotyard_core.effects import Respond
from shallotyard_core.effects import SendPeer
from shallotyard_core.effects import StartTimer
from shallotyard_core.events import HedgeDue
from shallotyard_core.events import RetryDue
from shallotyard_core.exceptions import InvariantError
from shallotyard_core.holder import create_call
from shallotyard_core.keys import choose_region
from shallotyard_core.keys import hot_position
from shallotyard_core.keys import key_position
from shallotyard_core.messages import CancelCall
from shallotyard_core.messages import Relay
from shallotyard_core.messages import RelayAnswer
from shallotyard_core.problems import build_failure
from shallotyard_core.problems import build_problem
from shallotyard_core.request_checks import authenticate
from shallotyard_core.request_checks import check_headers
from shallotyard_core.request_checks import check_target
from shallotyard_core.request_checks import forwarded_headers
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
RETRY_PAUSE_S = 0.01
MAX_RETRY_PAUSE_S = 0.08
MAX_CALLS = 400
# A median of fewer upstreams says little about a slow one.
MIN_REPORTS = 4
# A request that crashes upstreams must not go through all of them before its
# marks are known.
MAX_LOST = 2
# The holder answers by the deadline; this covers the way back.
ANSWER_GRACE_S = 0.05
MAX_DEADLINE_S = 60.0
# The holder refused these calls before an attempt.
_NEVER_ATTEMPTED = frozenset({Reason.MOVED, Reason.NOT_READY, Reason.OUT_OF_SERVICE})


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A caller's request in progress.

    :param position: 16-bit position, -1 if any upstream may serve it.
    :param region: region that serves the key, ``""`` if any.
    :param calls: (holder, upstream, started) of the calls in progress by call id.
    :param verdict: combined verdict of the calls that ended.
    :param reason: reason of the last call that ended.
    :param tried: upstreams that failed.
    :param lost_count: calls that ended without a response.
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
    reason: Reason = Reason.NO_UPSTREAM
    retry_after_s: float = 0.0
    tried: tuple = ()
    call_count: int = 0
    lost_count: int = 0
    hedged: bool = False

    @property
    def remembered(self):
        """Tell whether holders recognise a repeat of this request."""
        return self.identity != "" and self.position >= 0


class Ingress:
    """Requests in progress at the instance that the callers are connected to.

    :param own: this instance's `Member`.
    :param holder: the `Holder` of this instance, for calls that stay here.
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
        self.request_by_call = {}
        self.selector = Selector()
        self.retry_budget = RatioBudget(RETRY_RATIO, RETRY_BURST)
        self.hedge_budget = RatioBudget(HEDGE_RATIO, HEDGE_BURST)
        self.requests_by_verdict = dict.fromkeys((v.value for v in Verdict), 0)
        self.attempts = 0
        self._candidates_by_service = {}

    def reconfigure(self, deployment, own_region):
        """Put a newer deployment in force."""
        self.deployment = deployment
        self.own_region = own_region
        self.selector.retain(deployment.upstreams_by_id)
        self._candidates_by_service.clear()

    def assignments_changed(self):
        """Forget what was derived from assignments or the service state."""
        self._candidates_by_service.clear()

    def take_reports(self, reports, now):
        """Avoid upstreams that their holders report as much slower than the rest.

        :param reports: fresh `UpstreamReport` objects of all services.
        :param now: current time in seconds.
        """
        by_service = {}
        for report in reports:
            upstream = self.deployment.upstreams_by_id.get(report.upstream_id)
            # Without traffic the latency is an old one.
            if upstream is not None and report.rate > 0 and report.latency_s > 0:
                by_service.setdefault(upstream.service, []).append(report)
        for service_id, known in by_service.items():
            if len(known) < MIN_REPORTS:
                continue
            median_s = statistics.median_low(report.latency_s for report in known)
            slow = [
                report.upstream_id
                for report in known
                if report.latency_s > OUTLIER_LATENCY_RATIO * median_s
            ]
            self.selector.eject_reported(service_id, slow, now)

    # Arrival

    def arrive(self, event, effects):
        """Check a new request and send it on its way, or refuse it.

        :param event: a `RequestArrived`.
        :param effects: list that effects are appended to.
        """
        request = event.request
        refusal = self._admit_request(request, event.now, effects)
        if refusal is not None:
            status, reason, detail = refusal
            self._refuse(request, status, reason, detail, effects)

    def _admit_request(self, request, now, effects):
        """Create the pending request; return (status, reason, detail) to refuse."""
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
        pending = self._create_pending(request, client, service, now)
        self.pending_by_id[request.request_id] = pending
        self.retry_budget.record()
        self.hedge_budget.record()
        self._dispatch(pending, now, effects)
        return None

    def _create_pending(self, request, client, service, now):
        headers = request.headers
        key = headers.get("shallotyard-key")
        repeat_key = headers.get("idempotency-key")
        idempotent = request.method in service.idempotent_methods
        identity = ""
        if repeat_key and not idempotent:
            identity = identity_digest(client.id, repeat_key)
        position, region = -1, ""
        owned_key = key if service.keyed else (repeat_key if identity else None)
        if owned_key is not None:
            full = key_position(service.id, client.id, owned_key)
            position = hot_position(full)
            regions = _serving_regions(service, client)
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
            request_fingerprint(
                client.id, request.method, request.target, key, request.body
            ),
            forwarded_headers(headers, client, key),
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

    # Choice of the holder

    def _dispatch(self, pending, now, effects, hedge=False):
        """Send one call of a pending request; return whether one was sent."""
        chosen = self._choose(pending, now)
        if chosen is None:
            if not hedge:
                pending.reason = Reason.NO_UPSTREAM
                self._retry_later(pending, now, effects)
            return False
        upstream_id, holder_id, revision, why = chosen
        self._send_call(pending, upstream_id, holder_id, revision, why, now, effects)
        return True

    def _choose(self, pending, now):
        """Return (upstream, holder, revision, reason), ``None`` if there is none."""
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
        candidates = self._candidates(pending)
        upstream_id = self.selector.choose(
            pending.service.id, candidates, self.rng, now, pending.tried
        )
        if upstream_id is None:
            return None
        region = self.deployment.upstreams_by_id[upstream_id].region
        table = self.tables_by_region[region]
        return upstream_id, table.find_holder(upstream_id), 0, "least-loaded"

    def _candidates(self, pending):
        """Return the upstreams that may serve an unkeyed request.

        Those of the own region are preferred, because links between regions are
        slow and paid by volume.
        """
        service = pending.service
        home_regions = pending.client.home_regions
        cached = self._candidates_by_service.get((service.id, home_regions))
        if cached is not None:
            return cached
        by_region = {}
        for upstream in self.deployment.upstreams_by_service[service.id]:
            if home_regions and upstream.region not in home_regions:
                continue
            if is_out_of_service(upstream.id, upstream.domain, self.out_of_service_ids):
                continue
            table = self.tables_by_region.get(upstream.region)
            if table and table.find_holder(upstream.id):
                by_region.setdefault(upstream.region, []).append(upstream.id)
        near = by_region.get(self.own_region)
        if near is None:
            near = [name for names in by_region.values() for name in names]
        candidates = tuple(near)
        self._candidates_by_service[service.id, home_regions] = candidates
        return candidates

    def _send_call(self, pending, upstream_id, holder_id, revision, why, now, effects):
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
        self.request_by_call[call_id] = request.request_id
        if pending.position < 0:
            self.selector.started(upstream_id)
        fields = {
            "request_id": request.request_id,
            "service": pending.service.id,
            "upstream": upstream_id,
            "holder": holder_id,
        }
        effects.append(LogDecision("route", why, fields))
        if holder_id == self.own.instance_id:
            call = create_call(relay, "", None, now)
            self.holder.accept(call, now, effects)
        else:
            self._send_remote(pending, relay, holder_id, now, effects)
        self._arm_hedge(pending, effects)

    def _send_remote(self, pending, relay, holder_id, now, effects):
        home_regions = pending.client.home_regions
        region = self._region_of_instance(holder_id)
        if home_regions and region not in home_regions:
            self.deliver(
                RelayAnswer(relay.call_id, Verdict.NOT_RUN, str(Reason.MOVED)),
                now,
                effects,
            )
            return
        timeout_s = relay.remaining_s + ANSWER_GRACE_S
        address = self.membership.find_address(holder_id)
        token = ("relay", relay.call_id)
        effects.append(SendPeer(holder_id, address, relay, token, timeout_s))

    def _region_of_instance(self, instance_id):
        member = self.membership.members_by_id.get(instance_id)
        return self.deployment.region_of_domain(member.domain) if member else ""

    # Hedges

    def _arm_hedge(self, pending, effects):
        if pending.hedged or not pending.idempotent or pending.call_count > 1:
            return
        delay_s = self.selector.hedge_delay_s(pending.service.id)
        if delay_s is not None:
            event = HedgeDue(0.0, pending.request.request_id)
            effects.append(StartTimer(delay_s, event))

    def hedge(self, event, effects):
        """Send a second attempt of a slow request, if the budget allows."""
        pending = self.pending_by_id.get(event.request_id)
        if pending is None or len(pending.calls) != 1 or pending.hedged:
            return
        if event.now >= pending.deadline or not self.hedge_budget.try_spend():
            return
        pending.hedged = True
        (_, upstream_id, _) = next(iter(pending.calls.values()))
        tried = pending.tried
        if pending.position < 0:
            pending.tried = (*tried, upstream_id)
        self._dispatch(pending, event.now, effects, hedge=True)
        pending.tried = tried

    # Answers

    def deliver(self, answer, now, effects):
        """Handle the answer to a call.

        :param answer: a `RelayAnswer`.
        :param now: current time in seconds.
        :param effects: list that effects are appended to.
        """
        request_id = self.request_by_call.pop(answer.call_id, None)
        pending = self.pending_by_id.get(request_id)
        if pending is None:
            return
        _, upstream_id, sent_at = pending.calls.pop(answer.call_id)
        self._observe(pending, answer, upstream_id, now - sent_at, now)
        pending.verdict = combine_verdicts(pending.verdict, answer.verdict)
        if answer.verdict is Verdict.RAN:
            self._answer(pending, answer, upstream_id, now, effects)
            return
        pending.reason = Reason(answer.reason)
        pending.retry_after_s = answer.retry_after_s
        if pending.calls:
            return
        self._retry_or_fail(pending, answer, upstream_id, now, effects)

    def _observe(self, pending, answer, upstream_id, latency_s, now):
        attempted = answer.reason not in _NEVER_ATTEMPTED
        if attempted:
            self.attempts += 1
        if pending.position >= 0:
            return
        if not attempted or answer.reason == Reason.CANCELLED:
            self.selector.abandoned(upstream_id)
        else:
            ok = answer.verdict is Verdict.RAN
            self.selector.finished(upstream_id, now, latency_s, ok)

    def _answer(self, pending, answer, upstream_id, now, effects):
        request_id = pending.request.request_id
        headers = dict(answer.headers)
        headers["Shallotyard-Request-Id"] = request_id
        headers["Shallotyard-Verdict"] = Verdict.RAN.value
        effects.append(Respond(request_id, answer.status, headers, answer.body))
        self._close(pending, Verdict.RAN, effects, now)

    def _retry_or_fail(self, pending, answer, upstream_id, now, effects):
        reason = pending.reason
        may_repeat = pending.idempotent or pending.verdict is Verdict.NOT_RUN
        if reason is Reason.HOLDER_LOST and pending.remembered:
            # The outcome store, or a witness copy of it, answers a repeat.
            may_repeat = True
        if reason is Reason.SATURATED and pending.position < 0:
            retryable = True
        else:
            retryable = reason in RETRYABLE
        if not (may_repeat and retryable) or pending.call_count >= MAX_CALLS:
            self._fail(pending, effects)
            return
        if reason is Reason.LOST:
            pending.lost_count += 1
            if pending.lost_count >= MAX_LOST:
                self._fail(pending, effects)
                return
        if reason not in (Reason.MOVED, Reason.NOT_READY, Reason.STALE_GRANT):
            pending.tried = (*pending.tried, upstream_id)
            free = reason is Reason.OUT_OF_SERVICE
            if not free and not self.retry_budget.try_spend():
                self._fail(pending, effects)
                return
        self._retry_later(pending, now, effects)

    def _retry_later(self, pending, now, effects):
        if now + RETRY_PAUSE_S >= pending.deadline:
            self._fail(pending, effects)
            return
        # Unkeyed requests go elsewhere at once; a key has to wait for its owner.
        moving = pending.position >= 0 or pending.reason is Reason.NO_UPSTREAM
        pause_s = 0.0
        if moving:
            doubled_s = RETRY_PAUSE_S * 2 ** min(pending.call_count, 3)
            pause_s = min(MAX_RETRY_PAUSE_S, doubled_s)
        event = RetryDue(0.0, pending.request.request_id)
        effects.append(StartTimer(pause_s, event))

    def retry(self, event, effects):
        """Send a pending request again after its pause."""
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
        self._close(pending, pending.verdict, effects)

    def _close(self, pending, verdict, effects, answered_at=None):
        self.requests_by_verdict[verdict.value] += 1
        del self.pending_by_id[pending.request.request_id]
        self._cancel_calls(pending, effects, answered_at)

    def _cancel_calls(self, pending, effects, answered_at=None):
        for call_id, (holder_id, upstream_id, sent_at) in pending.calls.items():
            self.request_by_call.pop(call_id, None)
            # Its answer will be ignored, and the upstream may have begun to run it.
            self.attempts += 1
            if pending.position < 0 and answered_at is not None:
                waited_s = answered_at - sent_at
                self.selector.overtaken(upstream_id, answered_at, waited_s)
            elif pending.position < 0:
                self.selector.abandoned(upstream_id)
            if holder_id == self.own.instance_id:
                self.holder.cancel(call_id, effects)
            else:
                address = self.membership.find_address(holder_id)
                effects.append(SendPeer(holder_id, address, CancelCall(call_id)))

    def cancel_request(self, event, effects):
        """Stop work for a caller that left; what was sent is left to finish."""
        pending = self.pending_by_id.get(event.request_id)
        if pending is not None and pending.idempotent:
            del self.pending_by_id[event.request_id]
            self._cancel_calls(pending, effects)

    def expire(self, now, effects):
        """Answer the requests whose deadline passed without an answer."""
        for pending in list(self.pending_by_id.values()):
            if now < pending.deadline + ANSWER_GRACE_S:
                self._leave_dead_holders(pending, now, effects)
                continue
            if pending.calls:
                pending.verdict = combine_verdicts(
                    pending.verdict, Verdict.MAY_HAVE_RUN
                )
                pending.reason = Reason.LOST
            self._fail(pending, effects)

    def _leave_dead_holders(self, pending, now, effects):
        """Stop waiting for holders that have gone silent, where a repeat is safe."""
        if not (pending.idempotent or pending.remembered):
            return
        for call_id, (holder_id, _, sent_at) in list(pending.calls.items()):
            waited = now - sent_at > DEAD_AFTER_S
            if waited and not self.membership.is_alive(holder_id, now):
                answer = RelayAnswer(
                    call_id, Verdict.MAY_HAVE_RUN, str(Reason.HOLDER_LOST)
                )
                self.deliver(answer, now, effects)


def _serving_regions(service, client):
    if not client.home_regions:
        return service.regions
    return tuple(r for r in client.home_regions if r in service.regions)
