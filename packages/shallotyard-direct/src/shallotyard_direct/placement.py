"""Which upstream may get a request now, and why none may."""

import math

from shallotyard_direct.admission import UpstreamLoad
from shallotyard_direct.admission import cold_share
from shallotyard_direct.admission import has_cold_room
from shallotyard_direct.admission import has_room
from shallotyard_direct.responses import Refusal
from shallotyard_direct.selection import choose_upstream
from shallotyard_direct.selection import distance_penalty
from shallotyard_direct.selection import expected_latency
from shallotyard_direct.selection import sample_candidates


class Placement:
    """The observed load of all upstreams, and this instance's share of them.

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
        self.instances = 1
        self.rank = 0
        # Until the others count this instance, it has no share of what cold
        # upstreams take.
        self.cold_share_from = math.inf
        self.saturated_ids = set()

    def apply_saturation_report(self, in_flight, now):
        """Use the granter's report of saturated upstreams.

        :param in_flight: requests of all instances by upstream, as returned by
            `load_reports.find_saturated`.
        """
        for upstream_id in self.saturated_ids - in_flight.keys():
            self.load(upstream_id).take_told(0, now)
        for upstream_id, total in in_flight.items():
            self.load(upstream_id).take_told(total, now)
        self.saturated_ids = set(in_flight)

    def find(self, pending, service, now):
        """Return where a request can go now.

        :param service: the `Service` that it is for.
        :return: (`Upstream`, None), or (None, the `Refusal` that holds if it
            does not become possible in time).
        """
        if service.keyed:
            return self._find_owner(pending, now)
        return self._choose(pending, service, now)

    def _find_owner(self, pending, now):
        owners, directory = self.owners, self.directory
        key_range = owners.find(pending.service_id, pending.request.key)
        if key_range is None:
            return None, Refusal.KEY_WITHOUT_OWNER
        upstream = directory.upstreams_by_id.get(key_range.upstream_id)
        if upstream is None or not directory.is_in_service(upstream):
            return None, Refusal.KEY_WITHOUT_OWNER
        if upstream.started_ms != key_range.started_ms:
            return None, Refusal.KEY_WITHOUT_OWNER
        homes = pending.route.home_regions
        if homes and directory.region_of(upstream) not in homes:
            return None, Refusal.OUTSIDE_HOME
        if now < owners.usable_at(pending.service_id, key_range):
            return None, Refusal.OWNER_CHANGING
        if self.has_room(upstream, now):
            return upstream, None
        return None, Refusal.SATURATED

    def _choose(self, pending, service, now):
        homes = pending.route.home_regions
        directory = self.directory
        usable = [
            u
            for u in directory.in_service(service.service_id)
            if not homes or directory.region_of(u) in homes
        ]
        if not usable:
            return None, Refusal.NO_UPSTREAM
        untried = [u for u in usable if u.upstream_id not in pending.tried]
        candidates = [u for u in untried or usable if self.has_room(u, now)]
        if not candidates:
            return None, Refusal.SATURATED
        candidates = sample_candidates(candidates, self._distance, self.rng)
        cost_by_id = {u.upstream_id: self._cost(u, now) for u in candidates}
        return choose_upstream(candidates, cost_by_id, self.rng), None

    def _distance(self, upstream):
        settings = self.settings
        return distance_penalty(
            upstream.domain,
            self.directory.region_of(upstream),
            settings.domain,
            settings.region,
        )

    def _cost(self, upstream, now):
        load = self.load(upstream.upstream_id)
        latency_s = expected_latency(load, upstream.slots, now)
        return latency_s + self._distance(upstream)

    def has_room(self, upstream, now):
        """Return whether an upstream should get one more request now."""
        load = self.load(upstream.upstream_id)
        if not has_room(load, upstream.slots, now):
            return False
        if not self.directory.is_cold(upstream.upstream_id, now):
            return True
        if now < self.cold_share_from:
            return False
        service = self.directory.configuration.services_by_id[upstream.service_id]
        settings = self.settings
        share = cold_share(
            service.cold_rate,
            settings.cold_rate_factor,
            settings.cold_rate_slack,
            self.instances,
            self.rank,
        )
        return has_cold_room(load, share, now)

    def start(self, upstream, now):
        """Count a request that is being sent.

        :return: whether the upstream had a free slot for it.
        """
        load = self.load(upstream.upstream_id)
        unhindered = load.occupancy(now) < upstream.slots
        load.start()
        if self.directory.is_cold(upstream.upstream_id, now):
            load.cold_sends.append(now)
        return unhindered

    def load(self, upstream_id):
        """Return the `UpstreamLoad` of an upstream."""
        load = self.loads_by_id.get(upstream_id)
        if load is None:
            load = self.loads_by_id[upstream_id] = UpstreamLoad()
        return load

    def retain(self, upstream_ids):
        """Forget the upstreams that no longer exist.

        :param upstream_ids: collection of those that do.
        """
        for upstream_id in self.loads_by_id.keys() - set(upstream_ids):
            if not self.loads_by_id[upstream_id].in_flight:
                del self.loads_by_id[upstream_id]
