"""Finds an upstream that may get a request now."""

import itertools
import math
from functools import partial

from shallotyard_core.verdict import Verdict
from shallotyard_direct.admission import MIN_IN_FLIGHT
from shallotyard_direct.admission import UpstreamLoad
from shallotyard_direct.admission import compute_cold_share
from shallotyard_direct.admission import has_room
from shallotyard_direct.admission import is_within_cold_share
from shallotyard_direct.rate_limits import RateLimits
from shallotyard_direct.requested_pauses import RequestedPauses
from shallotyard_direct.responses import Refusal
from shallotyard_direct.selection import DEFAULT_LATENCY
from shallotyard_direct.selection import choose_upstream
from shallotyard_direct.selection import compute_distance_penalty
from shallotyard_direct.selection import estimate_latency
from shallotyard_direct.selection import sample_candidates
from shallotyard_direct.upstreams.capacity import MAX_IN_FLIGHT_PER_SLOT
from shallotyard_direct.upstreams.capacity import LearnedCapacities
from shallotyard_direct.upstreams.capacity import compute_limit
from shallotyard_direct.waiting import compute_max_wait


class Placement:
    """Tracks the load of upstreams, and selects those that may get requests.

    :param settings: the `DirectSettings`.
    :param directory: the `Directory`.
    :param owners: the `Owners` of keys.
    :param rng: a ``random.Random``.
    """

    def __init__(self, settings, directory, owners, rng):
        self.settings = settings
        self.directory = directory
        self.owners = owners
        self.rng = rng
        self.loads_by_id = {}
        self.rate_limits = RateLimits(rng)
        self.pauses = RequestedPauses(rng)
        self.capacities = LearnedCapacities(rng)
        self.instance_count = 1
        self.rank = 0
        # Time from which this instance uses its share of the rate of cold upstreams.
        # Before, the other instances do not know it and use the whole rate.
        self.cold_share_from = math.inf
        self.saturated_ids = set()

    def apply_members(self, instance_count, rank):
        """Apply the number of instances, and the index of this one among them."""
        self.instance_count = self.rate_limits.instance_count = instance_count
        self.capacities.instance_count = instance_count
        self.rank = self.rate_limits.rank = rank

    def use_shares_from(self, at):
        """Use this instance's share of rates from a time, in seconds."""
        self.cold_share_from = min(self.cold_share_from, at)
        self.rate_limits.share_from = self.cold_share_from

    def apply_saturation_report(self, in_flight, now):
        """Apply the granter's report of saturated upstreams.

        :param in_flight: number of requests of all instances by upstream id, as
            returned by `load_reports.find_saturated`.
        """
        for upstream_id in self.saturated_ids - in_flight.keys():
            self.get_load(upstream_id).apply_granter_count(0, now)
        for upstream_id, total in in_flight.items():
            self.get_load(upstream_id).apply_granter_count(total, now)
        self.saturated_ids = set(in_flight)

    def find_upstream(self, pending, service, now):
        """Return the upstream that a request can be sent to now.

        :param service: the `Service` of the request.
        :return: (`Upstream`, None), or (None, the `Refusal` to use if the request
            cannot be sent before its maximum wait or its timeout ends).
        """
        if service.keyed:
            return self._find_owner(pending, now)
        return self._choose_upstream(pending, service, now)

    def find_resumption(self, pending, service, now):
        """Return the time at which the first of the upstreams that may serve a request
        takes requests again, in seconds; the current time unless all have asked for a
        pause.
        """
        if not self.pauses.pauses_by_incarnation:
            return now
        if service.keyed:
            owner, _ = self._get_owner(pending)
            upstreams = [] if owner is None else [owner]
        else:
            upstreams = self._list_usable(pending, service)
        times = [self._find_resumption(upstream, now) for upstream in upstreams]
        return min(times, default=now)

    def _find_resumption(self, upstream, now):
        if not self.pauses.is_paused(upstream.incarnation, now):
            return now
        # The pause after a refusal binds as well.
        load = self.get_load(upstream.upstream_id)
        resumes_at = self.pauses.find_resumption(upstream.incarnation)
        return max(resumes_at, load.paused_until)

    def record_requested_pause(self, attempt, pause_s, now):
        """Record that an upstream wants no more requests for a time.

        :return: whether that is worth a log line.
        """
        is_spread = self.instance_count > attempt.slots
        return self.pauses.record_request(attempt.incarnation, pause_s, is_spread, now)

    def record_end(self, attempt, event):
        """Record the end of an attempt.

        :param event: the `AttemptFinished`.
        :return: whether it is the first response of the upstream after a pause.
        """
        responded = event.verdict is Verdict.RAN and event.requested_pause_s is None
        return self.pauses.record_end(
            attempt.incarnation, attempt.sent_at, responded, attempt.slots
        )

    def count_paused(self, now):
        """Return how many known upstreams want no requests now."""
        return sum(
            self.directory.is_known(incarnation)
            and self.pauses.is_paused(incarnation, now)
            for incarnation in self.pauses.pauses_by_incarnation
        )

    def is_still_selected(self, attempt, now):
        """Return whether the upstream of an attempt may still get its request."""
        upstream = self.directory.upstreams_by_id.get(attempt.upstream_id)
        if upstream is None or not self.directory.is_in_service(upstream):
            return False
        if upstream.started_ms != attempt.started_ms:
            return False
        if self.pauses.is_paused(attempt.incarnation, now):
            return False
        pending = attempt.pending
        service = self.directory.configuration.services_by_id.get(pending.service_id)
        if service is None or not service.keyed:
            return True
        key_range = self.owners.find_range(pending.service_id, pending.request.key)
        return key_range is not None and key_range.owner == attempt.incarnation

    def _get_owner(self, pending):
        """Return the owner of a request's key and its `KeyRange`, (None, None) if no
        upstream in service owns it.
        """
        directory = self.directory
        key_range = self.owners.find_range(pending.service_id, pending.request.key)
        if key_range is None:
            return None, None
        upstream = directory.upstreams_by_id.get(key_range.upstream_id)
        if upstream is None or not directory.is_in_service(upstream):
            return None, None
        if upstream.incarnation != key_range.owner:
            return None, None
        return upstream, key_range

    def _find_owner(self, pending, now):
        owners, directory = self.owners, self.directory
        upstream, key_range = self._get_owner(pending)
        if upstream is None:
            return None, Refusal.KEY_WITHOUT_OWNER
        if upstream.service_id != pending.service_id:
            return None, Refusal.KEY_WITHOUT_OWNER
        if not pending.may_run_in(directory.find_region(upstream)):
            return None, Refusal.OUTSIDE_HOME
        if now < owners.find_usable_at(pending.service_id, key_range):
            return None, Refusal.OWNER_CHANGING
        if self.pauses.is_paused(upstream.incarnation, now):
            return None, Refusal.UPSTREAM_PAUSED
        if not self.has_room(upstream, now, pending.route.target_latency_s):
            return None, Refusal.SATURATED
        if not self._has_permit(upstream, pending, now):
            return None, Refusal.RATE_LIMITED
        return upstream, None

    def _list_usable(self, pending, service):
        """Return the upstreams in service that may serve a request."""
        directory = self.directory
        return [
            u
            for u in directory.list_in_service(service.service_id)
            if pending.may_run_in(directory.find_region(u))
        ]

    def _choose_upstream(self, pending, service, now):
        usable = self._list_usable(pending, service)
        if not usable:
            return None, Refusal.NO_UPSTREAM
        usable = [u for u in usable if not self.pauses.is_paused(u.incarnation, now)]
        if not usable:
            return None, Refusal.UPSTREAM_PAUSED
        untried = [u for u in usable if u.upstream_id not in pending.tried_upstream_ids]
        target_latency_s = pending.route.target_latency_s
        candidates = [
            u for u in untried or usable if self.has_room(u, now, target_latency_s)
        ]
        trial = None
        if self.is_learned(service.service_id):
            candidates, trial = self._exclude_late(candidates, pending, now)
        if trial is not None and self._has_permit(trial, pending, now):
            return trial, None
        if not candidates:
            return None, Refusal.SATURATED
        permitted = self._sample_permitted(candidates, pending, now)
        if not permitted:
            return None, Refusal.RATE_LIMITED
        cost_by_id = {
            u.upstream_id: self._estimate_cost(u, target_latency_s, now)
            for u in permitted
        }
        return choose_upstream(permitted, cost_by_id, self.rng), None

    def _exclude_late(self, candidates, pending, now):
        """Return the candidates without those that are too slow for a request, and one
        of these if the request tries it.
        """
        capacities, route = self.capacities, pending.route
        fast, trial = [], None
        for upstream in candidates:
            capacity = capacities.get(upstream.upstream_id)
            if capacity.work_s is None:
                fast.append(upstream)
                continue
            duration_s = self._estimate_latency(upstream, route.target_latency_s, now)
            if not capacities.is_late(capacity, duration_s, route.target_latency_s):
                fast.append(upstream)
            elif trial is None and route.idempotent and not pending.sends:
                left_s = pending.expires_at - now
                if capacities.take_trial(capacity, duration_s, left_s, now):
                    trial = upstream
        return fast, trial

    def _sample_permitted(self, candidates, pending, now):
        """Return a sample of the upstreams that may get a request by their rate. If a
        limited one without a permit would be chosen, a permit is requested for it, so
        that limited upstreams go on serving what they can.
        """
        limits = self.rate_limits
        target_latency_s = pending.route.target_latency_s
        compute_distance = partial(
            self._compute_distance, target_latency_s=target_latency_s
        )
        get_weight = self._find_weight_function(pending)
        sample = sample_candidates(candidates, compute_distance, self.rng, get_weight)
        if not limits.limits_by_id:
            return sample
        cheapest = min(
            sample, key=lambda u: self._estimate_cost(u, target_latency_s, now)
        )
        self._has_permit(cheapest, pending, now)
        permitted = [u for u in candidates if limits.allows(u.upstream_id, now)]
        return sample_candidates(permitted, compute_distance, self.rng, get_weight)

    def _has_permit(self, upstream, pending, now):
        """Return whether the rate of an upstream allows a request now. If not, the
        request waits for a permit.
        """
        limits = self.rate_limits
        if limits.allows(upstream.upstream_id, now):
            return True
        request_id = pending.request.request_id
        refused_at = pending.arrived_at + compute_max_wait(pending.route)
        refused_at = min(refused_at, pending.expires_at)
        limits.add_waiting(upstream.upstream_id, request_id, refused_at)
        return False

    def _compute_distance(self, upstream, target_latency_s):
        settings = self.settings
        return compute_distance_penalty(
            upstream.domain,
            self.directory.find_region(upstream),
            settings.domain,
            settings.region,
            target_latency_s,
        )

    def _estimate_cost(self, upstream, target_latency_s, now):
        latency_s = self._estimate_latency(upstream, target_latency_s, now)
        capacity = self._find_learned(upstream)
        if capacity is not None:
            load = self.get_load(upstream.upstream_id)
            latency_s *= capacity.compute_herd_factor(now - load.reported_at)
        return latency_s + self._compute_distance(upstream, target_latency_s)

    def _estimate_latency(self, upstream, target_latency_s, now):
        load = self.get_load(upstream.upstream_id)
        capacity = self._find_learned(upstream)
        if capacity is None:
            return estimate_latency(load, upstream.slots, target_latency_s, now)
        occupancy = load.estimate_max_occupancy(now)
        return capacity.estimate_duration(occupancy, upstream.slots)

    def _find_weight_function(self, pending):
        """Return the function from an upstream to its weight in samples of candidates,
        None if all have the same.
        """
        if not self.is_learned(pending.service_id):
            return None
        default_work_s = DEFAULT_LATENCY * pending.route.target_latency_s

        def get_weight(upstream):
            capacity = self.capacities.get(upstream.upstream_id)
            return capacity.estimate_rate(upstream.slots, default_work_s)

        return get_weight

    def is_learned(self, service_id):
        """Return whether the limits of a service's upstreams are learned."""
        return self.capacities.is_active(self.settings.learned_limits, service_id)

    def _find_learned(self, upstream):
        """Return the `UpstreamCapacity` that holds for an upstream, None if the static
        rule holds.
        """
        if not self.is_learned(upstream.service_id):
            return None
        capacity = self.capacities.get(upstream.upstream_id)
        return None if capacity.work_s is None else capacity

    def compute_limit(self, upstream, target_latency_s):
        """Return how many requests of all instances may be at an upstream, None if the
        static rule holds.
        """
        capacity = self._find_learned(upstream)
        if capacity is None:
            return None
        service = self.directory.configuration.services_by_id.get(upstream.service_id)
        is_owner = service is not None and service.keyed
        return compute_limit(capacity, upstream.slots, target_latency_s, is_owner)

    def estimate_occupancy(self, upstream, now):
        """Return the expected number of requests at an upstream."""
        load = self.get_load(upstream.upstream_id)
        capacity = self._find_learned(upstream)
        usual = 0.0 if capacity is None else capacity.usual_occupancy
        return max(usual, load.estimate_max_occupancy(now))

    def describe_capacities(self):
        """Return what is learned by upstream id, as gauges by name. Limits are those
        for the route of the service with the lowest target latency.
        """
        configuration = self.directory.configuration
        if configuration is None:
            return {}
        target_by_service = {}
        for route in itertools.chain(*configuration.routes_by_host.values()):
            for part in route.parts:
                target_s = target_by_service.get(part.service_id, math.inf)
                target_by_service[part.service_id] = min(
                    target_s, route.target_latency_s
                )
        gauges_by_id = {}
        for upstream in self.directory.upstreams_by_id.values():
            capacity = self._find_learned(upstream)
            target_s = target_by_service.get(upstream.service_id)
            if capacity is not None and target_s is not None:
                gauges_by_id[upstream.upstream_id] = {
                    "upstream_limit": self.compute_limit(upstream, target_s),
                    "upstream_speed": capacity.speed,
                    "upstream_confidence": capacity.confidence,
                }
        return gauges_by_id

    def record_duration(self, attempt, report, now):
        """Record what a response shows about the capacity of its upstream."""
        if self.settings.learned_limits is False:
            return
        if not self.directory.is_cold(attempt.upstream_id, now):
            self.capacities.record_response(attempt, report, now)

    def record_missing_response(self, attempt, now):
        """Record that a request got no response in its time."""
        if self.is_learned(attempt.pending.service_id):
            self.capacities.record_lost_response(attempt, now)

    def has_room(self, upstream, now, target_latency_s):
        """Return whether an upstream may get one more request now.

        :param target_latency_s: latency objective of the request, in seconds.
        """
        load, slots = self.get_load(upstream.upstream_id), upstream.slots
        limit = self.compute_limit(upstream, target_latency_s)
        is_limited = limit is not None and limit < slots * MAX_IN_FLIGHT_PER_SLOT
        # Many instances with one request each would exceed a lower limit.
        min_in_flight = 0 if is_limited else MIN_IN_FLIGHT
        if not has_room(load, slots, now, limit, min_in_flight):
            return False
        if limit is not None and self._find_learned(upstream).usual_occupancy >= limit:
            return False
        if not self.pauses.allows(upstream.incarnation, now):
            return False
        if not self.directory.is_cold(upstream.upstream_id, now):
            return True
        if now < self.cold_share_from:
            return False
        service = self.directory.configuration.services_by_id[upstream.service_id]
        settings = self.settings
        share = compute_cold_share(
            service.cold_rate,
            settings.cold_rate_factor,
            settings.cold_rate_slack,
            self.instance_count,
            self.rank,
        )
        return is_within_cold_share(load, share, now)

    def record_send(self, upstream, now):
        """Record that a request is sent to an upstream.

        :return: whether the upstream had a free slot for it.
        """
        load = self.get_load(upstream.upstream_id)
        had_free_slot = load.estimate_occupancy(now) < upstream.slots
        load.record_start()
        self.pauses.record_send(upstream.incarnation, now)
        self.rate_limits.record_send(upstream.upstream_id, now)
        if self.directory.is_cold(upstream.upstream_id, now):
            load.cold_sends.append(now)
        return had_free_slot

    def forget_failures(self):
        """Use all upstreams again whose connections failed because of own links."""
        for load in self.loads_by_id.values():
            if load.failures:
                load.forget_failures()

    def get_load(self, upstream_id):
        """Return the `UpstreamLoad` of an upstream; create it if needed."""
        load = self.loads_by_id.get(upstream_id)
        if load is None:
            load = self.loads_by_id[upstream_id] = UpstreamLoad()
        return load

    def retain_upstreams(self, upstream_ids):
        """Delete the loads of upstreams that no longer exist.

        :param upstream_ids: collection of the ids of existing upstreams.
        """
        self.rate_limits.retain_upstreams(upstream_ids)
        self.capacities.retain_upstreams(upstream_ids)
        self.pauses.forget_former(self.directory.is_known)
        for upstream_id in self.loads_by_id.keys() - set(upstream_ids):
            if not self.loads_by_id[upstream_id].in_flight:
                del self.loads_by_id[upstream_id]
