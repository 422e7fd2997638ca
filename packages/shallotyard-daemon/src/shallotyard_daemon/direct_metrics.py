"""Prometheus metrics of an instance in direct dispatch."""

from aioprometheus import Counter
from aioprometheus import Gauge
from aioprometheus import Histogram
from aioprometheus import Registry
from aioprometheus import render

from shallotyard_daemon.byte_counts import DISTANCE_UNKNOWN
from shallotyard_daemon.memory_budget import CALLERS
from shallotyard_daemon.memory_budget import PEERS
from shallotyard_daemon.memory_budget import STORE
from shallotyard_daemon.memory_budget import UPSTREAMS

# Upper bounds around the latency objectives and timeouts of routes.
LATENCY_BUCKETS_S = [0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0]
# Reported until the store has been reached for the first time.
MAX_FEED_AGE_S = 1e6
_TEXT_FORMAT = "text/plain"
# Accounts with label values of their own; all further ones share one.
MAX_ACCOUNTS = 100
OTHER_ACCOUNTS = "other"
NO_ACCOUNT = "none"
RESULT_SERVED = "served"


class DirectMetrics:
    """Counts log decisions, and reads the other values at each scrape.

    Label values are decisions, reasons, services, HTTP methods and results, and ids of
    known upstreams for what is learned about them. They must never be keys or callers.
    Client accounts are named by digests.

    :param router: the `DirectRouter` state.
    :param log_stream: the `BoundedStream` that logs are written to, if any.
    :param store: the store client; ``calls.pool`` is its `CurlPool`, ``calls.counts``
        a dict from (method, result) to the number of calls, ``calls.bytes`` one from
        the direction to bytes.
    :param byte_counts: the `ByteCounts`.
    :param upstream_pool: the `CurlPool` of the transfers to upstreams.
    :param caller_guard: the `CallerGuard`, None to leave its values out.
    """

    def __init__(
        self, router, log_stream, store, byte_counts, upstream_pool, caller_guard=None
    ):
        self.caller_guard = caller_guard
        self.upstream_pool = upstream_pool
        self.byte_counts = byte_counts
        self.router = router
        self.log_stream = log_stream
        self.store = store
        self.registry = Registry()
        self.counts_by_decision = {}
        self.counts_by_account = {}
        self.withheld_by_status = {}
        self.account_labels = set()
        self.request_seconds = Histogram(
            "shallotyard_request_seconds",
            "Time from the whole request to its response, by service and outcome.",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.decisions_total = Counter(
            "shallotyard_decisions_total",
            "Decisions, by kind and reason.",
            registry=self.registry,
        )
        self.store_calls_total = Counter(
            "shallotyard_store_calls_total",
            "Calls to the store, by method and status or curl error.",
            registry=self.registry,
        )
        self.account_requests_total = Counter(
            "shallotyard_account_requests_total",
            "Requests of client accounts, by account and result.",
            registry=self.registry,
        )
        self.withheld_responses_total = Counter(
            "shallotyard_withheld_responses_total",
            "Responses to actions that have run and whose status says that they have"
            " not, by status of the upstream.",
            registry=self.registry,
        )
        self.bytes_total = Counter(
            "shallotyard_bytes_total",
            "Bytes sent and received, by purpose and distance.",
            registry=self.registry,
        )
        self.closed_unanswered_total = Counter(
            "shallotyard_closed_unanswered_total",
            "Open connections that closed before any byte of a response, by peer.",
            registry=self.registry,
        )
        self.repeated_calls_total = Counter(
            "shallotyard_repeated_calls_total",
            "Calls written again after their connection closed, by peer.",
            registry=self.registry,
        )
        self.accounted_bytes = Gauge(
            "shallotyard_accounted_bytes",
            "Memory of messages in transfer, by edge.",
            registry=self.registry,
        )
        self.callers_ended_total = Counter(
            "shallotyard_callers_ended_total",
            "Connections and requests of callers ended or refused, by reason.",
            registry=self.registry,
        )
        self.gauges_by_name = {
            name: Gauge(f"shallotyard_{name}", text, registry=self.registry)
            for name, text in _HELP_BY_GAUGE.items()
        }
        self.capacity_gauges_by_name = {
            name: Gauge(f"shallotyard_{name}", text, registry=self.registry)
            for name, text in _HELP_BY_CAPACITY_GAUGE.items()
        }

    def _set_capacities(self):
        """Set the gauges by upstream, without those that have gone."""
        values_by_id = self.router.dispatcher.placement.describe_capacities()
        for name, gauge in self.capacity_gauges_by_name.items():
            gauge.values.store.clear()
            for upstream_id, values in values_by_id.items():
                gauge.set({"upstream": upstream_id}, values[name])

    def observe(self, effect):
        """Count a `LogDecision` and record the latency that it contains, if any."""
        reason = effect.reason if effect.decision in _DECISIONS_WITH_REASON else ""
        key = (effect.decision, reason)
        self.counts_by_decision[key] = self.counts_by_decision.get(key, 0) + 1
        self._count_withheld(effect.fields)
        total_ms = effect.fields.get("total_ms")
        if total_ms is not None:
            labels = {
                "service": effect.fields.get("service", ""),
                "outcome": effect.decision,
            }
            self.request_seconds.observe(labels, total_ms / 1000)
            if "account" in effect.fields and "relayed_from" not in effect.fields:
                self._count_account(effect)

    def _count_withheld(self, fields):
        status = fields.get("upstream_status")
        if status is not None and status != fields["status"]:
            count = self.withheld_by_status.get(status, 0)
            self.withheld_by_status[status] = count + 1

    def _count_account(self, effect):
        """Count a request that arrived at this instance and has its response."""
        label = effect.fields["account"] or NO_ACCOUNT
        if label not in self.account_labels:
            if len(self.account_labels) < MAX_ACCOUNTS:
                self.account_labels.add(label)
            else:
                label = OTHER_ACCOUNTS
        is_refused = effect.decision == "refused"
        key = (label, str(effect.reason) if is_refused else RESULT_SERVED)
        self.counts_by_account[key] = self.counts_by_account.get(key, 0) + 1

    def render(self):
        """Return the metrics page as (body, content type)."""
        for (decision, reason), count in self.counts_by_decision.items():
            self.decisions_total.set({"decision": decision, "reason": reason}, count)
        for (account, result), count in self.counts_by_account.items():
            labels = {"account": account, "result": result}
            self.account_requests_total.set(labels, count)
        for status, count in self.withheld_by_status.items():
            labels = {"upstream_status": str(status)}
            self.withheld_responses_total.set(labels, count)
        for (method, result), count in self.store.calls.counts.items():
            self.store_calls_total.set({"method": method, "result": str(result)}, count)
        sums = dict(self.byte_counts.sums)
        # It is not known in which failure domain the store is.
        for direction, count in self.store.calls.bytes.items():
            sums["store", DISTANCE_UNKNOWN, direction] = count
        for (purpose, distance, direction), count in sums.items():
            labels = {"purpose": purpose, "distance": distance, "direction": direction}
            self.bytes_total.set(labels, count)
        pools = (("store", self.store.calls.pool), ("upstream", self.upstream_pool))
        for peer, pool in pools:
            labels = {"peer": peer}
            self.closed_unanswered_total.set(labels, pool.closed_unanswered_count)
            self.repeated_calls_total.set(labels, pool.repeat_count)
        for edge, size in self._count_accounted_bytes().items():
            self.accounted_bytes.set({"edge": edge}, size)
        if self.caller_guard is not None:
            for reason, count in self.caller_guard.ended_by_reason.items():
                self.callers_ended_total.set({"reason": reason}, count)
        for name, value in self._read_gauges().items():
            self.gauges_by_name[name].set({}, value)
        self._set_capacities()
        body, headers = render(self.registry, [_TEXT_FORMAT])
        return body, headers["Content-Type"]

    def _count_accounted_bytes(self):
        dispatcher, guard = self.router.dispatcher, self.caller_guard
        return {
            CALLERS: 0 if guard is None else guard.edge.held_bytes,
            UPSTREAMS: self.upstream_pool.buffered_bytes,
            PEERS: dispatcher.relays.body_bytes
            + dispatcher.relayed_requests.total_size,
            STORE: self.store.calls.pool.buffered_bytes,
        }

    def _read_gauges(self):
        router = self.router
        directory = router.directory
        configuration = directory.configuration
        range_states = [
            range_state
            for service in router.granter.services_by_id.values()
            for range_state in service.range_states
        ]
        violations = router.dispatcher.invariant_violations
        guard = self.caller_guard
        return {
            "caller_connections": 0 if guard is None else len(guard.connections),
            "configuration_version": configuration.version if configuration else 0,
            "ready": int(router.is_ready()),
            "store_reachable": int(directory.store_reachable),
            "upstreams": len(directory.upstreams_by_id),
            "upstreams_rate_limited": len(
                router.dispatcher.placement.rate_limits.limits_by_id
            ),
            "upstreams_leaving_by_answer": len(directory.list_leaving_by_answer()),
            "upstreams_paused": router.dispatcher.placement.count_paused(router.now),
            "domains_out": len(directory.domains_out),
            "requests_in_progress": len(router.dispatcher.pending_by_id),
            "attempts_in_progress": len(router.dispatcher.attempts_by_id),
            "cut_off": int(router.dispatcher.reachability.is_cut_off),
            "relays_in_progress": len(router.dispatcher.relays.relays_by_id),
            "relayed_requests_in_progress": len(
                router.dispatcher.relayed_requests.sizes_by_id
            ),
            "instances": router.dispatcher.placement.instance_count,
            "store_watched": int(router.feed.watching),
            "followers": router.feed.followers,
            "feed_age_seconds": min(
                router.now - router.feed.get_fresh_at(), MAX_FEED_AGE_S
            ),
            "store_era": router.store_era,
            "copy_revision": directory.upstreams_revision,
            "granter": int(router.granter.lease.is_held(router.now)),
            "key_ranges": len(range_states),
            "key_ranges_moving": sum(
                range_state.move is not None for range_state in range_states
            ),
            "invariant_violations": sum(violations.values()),
            "log_lines_dropped": self.log_stream.dropped_lines
            if self.log_stream
            else 0,
        }


# Decisions whose reason becomes a label value. Reasons of the others may contain a
# version or an error text, so the number of label values would be unbounded.
_DECISIONS_WITH_REASON = frozenset(
    {
        "answered",
        "refused",
        "attempt-failed",
        "cut-off",
        "keys-move",
        "relay-declined",
        "relay-failed",
        "relayed",
        "store",
        "stop",
        "settings",
    }
)
_HELP_BY_CAPACITY_GAUGE = {
    "upstream_limit": "Learned limit of requests of all instances, by upstream.",
    "upstream_speed": "Learned speed relative to the service's median, by upstream.",
    "upstream_confidence": "Confidence in the learned speed, 0 to 1, by upstream.",
}
_HELP_BY_GAUGE = {
    "configuration_version": "Version of the configuration in force.",
    "caller_connections": "Open connections of callers.",
    "ready": "Whether the load balancer should send callers here.",
    "store_reachable": "Whether the store answers this instance.",
    "upstreams": "Upstreams known.",
    "upstreams_rate_limited": "Upstreams that name the rate that they take.",
    "upstreams_leaving_by_answer": "Upstreams that said so in an answer.",
    "upstreams_paused": "Upstreams that want no requests of this instance for a time.",
    "domains_out": "Failure domains that operators took out of service.",
    "requests_in_progress": "Requests without a response yet.",
    "attempts_in_progress": "Requests sent to upstreams without a response yet.",
    "cut_off": "Whether this instance reaches no upstream.",
    "relays_in_progress": "Requests handed to other instances, without a reply yet.",
    "relayed_requests_in_progress": "Requests dispatched for other instances.",
    "instances": "Instances that have registered.",
    "store_watched": "Whether this instance watches the store itself.",
    "followers": "Instances that take changes of the store from this one.",
    "feed_age_seconds": "Time since the copy of the store was up to date.",
    "store_era": "Life of the store that this instance knows.",
    "copy_revision": "Revision of the store that the known upstreams show.",
    "granter": "Whether this instance grants keys.",
    "key_ranges": "Ranges of keys with one owner.",
    "key_ranges_moving": "Ranges of keys on the way to another owner.",
    "invariant_violations": "Violations found by assertions.",
    "log_lines_dropped": "Log lines that the reader of the log did not take.",
}
