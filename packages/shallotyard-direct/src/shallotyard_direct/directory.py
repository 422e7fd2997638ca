"""The configuration, upstreams and failure domains known to an instance."""

import math
from dataclasses import replace

# Added to the cold time of upstreams whose failure domain returns to service. They may
# be cold again, which is not known until their next report.
COLD_AFTER_RETURN_MARGIN_S = 1.0
# An entry whose upstream is gone lapses within this time after the store's return.
LAPSE_S = 4.0
# Longer than the age of a copy from which the store returns.
DEPARTED_RETENTION_S = 120.0
# Upstreams write their entries again within this time after the store's return.
REWRITE_S = 10.0
# Longer than any grant TTL, so that keys can be released after the entry was removed.
ADDRESS_RETENTION_S = 30.0
# Incarnations that left by their own answer and are remembered without an entry, which
# may return with an older copy.
MAX_FORMER_LEAVERS = 1000


class Directory:
    """The latest state of the platform known to this instance.

    :param settings: the `DirectSettings`.
    """

    def __init__(self, settings):
        self.settings = settings
        self.configuration = None
        self.upstreams_by_id = {}
        self.upstreams_revision = 0
        self.ids_by_service = {}
        self.domains_out = frozenset()
        self.cold_until_by_id = {}
        self.former_addresses_by_id = {}
        # Incarnations known to be leaving or gone, and since when.
        self.departed_by_id = {}
        # Upstreams that an older copy of the store shows as usual although they were
        # leaving or gone, and until when they are not used.
        self.distrusted_until_by_id = {}
        # Incarnations that said in an answer that they are leaving, and since when.
        self.leaving_since_by_incarnation = {}
        self.store_life_began_at = -math.inf
        self.listed = False
        self.store_reachable = False
        self.store_returned_at = -math.inf

    def apply_configuration(self, configuration):
        """Apply a configuration unless the same or a newer version is known.

        :return: whether it was applied.
        """
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        return True

    def apply_upstream_list(self, upstreams, now):
        """Replace all upstreams."""
        removed_ids = self.upstreams_by_id.keys() - {u.upstream_id for u in upstreams}
        for upstream_id in removed_ids:
            self.apply_upstream_change(upstream_id, None, now)
        for upstream in upstreams:
            self.apply_upstream_change(upstream.upstream_id, upstream, now)
        self.listed = True

    def apply_upstream_change(self, upstream_id, upstream, now):
        """Add, replace or remove one upstream."""
        before = self.upstreams_by_id.pop(upstream_id, None)
        if before is not None:
            ids = self.ids_by_service[before.service_id]
            self.ids_by_service[before.service_id] = tuple(
                other_id for other_id in ids if other_id != upstream_id
            )
        if upstream is None:
            self.cold_until_by_id.pop(upstream_id, None)
            self.distrusted_until_by_id.pop(upstream_id, None)
            if before is not None:
                self._retain_address(before, now)
                self._record_departed(before, is_leaving=before.leaving, now=now)
            return
        if (
            before is not None
            and upstream.started_ms < before.started_ms
            and now < self.store_life_began_at + REWRITE_S
        ):
            # An older copy of the store shows an incarnation that has ended.
            upstream = before
        upstream = self._check_departed(upstream, now)
        self.upstreams_by_id[upstream_id] = upstream
        ids = self.ids_by_service.get(upstream.service_id, ())
        self.ids_by_service[upstream.service_id] = (*ids, upstream_id)
        if upstream.cold_left_s > 0:
            self.record_cold(upstream_id, upstream.cold_left_s, now)

    def begin_store_life(self, now):
        """Begin a new life of the store, which has returned from an older copy."""
        self.store_life_began_at = now
        self.store_returned_at = now

    def record_leaving_by_answer(self, upstream_id, started_ms, now):
        """Record that an incarnation of an upstream said in an answer that it is
        leaving. It gets no new requests, whatever the store shows of it later.

        :param started_ms: start of the incarnation, in Unix milliseconds.
        :return: whether it got new requests until now.
        """
        since = self.leaving_since_by_incarnation
        if (upstream_id, started_ms) in since:
            return False
        since[upstream_id, started_ms] = now
        if len(since) > MAX_FORMER_LEAVERS + len(self.upstreams_by_id):
            del since[next(i for i in since if not self.is_known(i))]
        if not self.is_known((upstream_id, started_ms)):
            return False
        before = self.upstreams_by_id[upstream_id]
        self.upstreams_by_id[upstream_id] = self._check_departed(before, now)
        return not before.leaving

    def is_known(self, incarnation):
        """Return whether an incarnation of an upstream is the known one.

        :param incarnation: upstream id, and start in Unix milliseconds.
        """
        upstream_id, started_ms = incarnation
        upstream = self.upstreams_by_id.get(upstream_id)
        return upstream is not None and upstream.started_ms == started_ms

    def list_leaving_by_answer(self):
        """Return the known incarnations that said in an answer that they are leaving,
        as lists of upstream id and start in Unix milliseconds.
        """
        return [list(i) for i in self.leaving_since_by_incarnation if self.is_known(i)]

    def _record_departed(self, upstream, is_leaving, now):
        departed = self.departed_by_id
        departed.pop(upstream.upstream_id, None)
        departed[upstream.upstream_id] = (upstream.started_ms, is_leaving, now)

    def _check_departed(self, upstream, now):
        """Return an upstream as leaving if it said so in an answer, or if an older copy
        of the store shows it as usual although it was leaving or gone.
        """
        upstream_id = upstream.upstream_id
        if (upstream_id, upstream.started_ms) in self.leaving_since_by_incarnation:
            upstream = replace(upstream, leaving=True)
        if upstream.leaving:
            self._record_departed(upstream, is_leaving=True, now=now)
            self.distrusted_until_by_id.pop(upstream_id, None)
            return upstream
        started_ms, was_leaving, at = self.departed_by_id.get(
            upstream_id, (None, False, math.inf)
        )
        is_ended = started_ms is not None and upstream.started_ms < started_ms
        is_known = is_ended or upstream.started_ms == started_ms
        if not is_known or at >= self.store_life_began_at:
            self.distrusted_until_by_id.pop(upstream_id, None)
            return upstream
        # An entry that lapsed is written again, and then lives on.
        until = self.store_life_began_at + LAPSE_S
        if was_leaving or is_ended:
            until = math.inf
        if now >= until:
            return upstream
        self.distrusted_until_by_id[upstream_id] = until
        return replace(upstream, leaving=True)

    def expire_departed(self, now):
        """Use the upstreams whose entries have outlived the time to lapse, and forget
        those that departed long ago.
        """
        for upstream_id, until in list(self.distrusted_until_by_id.items()):
            if now >= until:
                del self.distrusted_until_by_id[upstream_id]
                upstream = self.upstreams_by_id[upstream_id]
                self.upstreams_by_id[upstream_id] = replace(upstream, leaving=False)
        departed = self.departed_by_id
        forgotten_before = now - DEPARTED_RETENTION_S
        while departed and next(iter(departed.values()))[2] < forgotten_before:
            del departed[next(iter(departed))]

    def record_cold(self, upstream_id, left_s, now):
        """Record that an upstream is cold.

        :param left_s: remaining time for which it is cold, in seconds.
        """
        until = max(self.cold_until_by_id.get(upstream_id, 0.0), now + left_s)
        self.cold_until_by_id[upstream_id] = until

    def apply_domains_out(self, domains, now):
        """Replace the failure domains out of service; upstreams of those that return
        to service are treated as cold.
        """
        returned = self.domains_out - domains
        self.domains_out = domains
        if not returned or self.configuration is None:
            return
        for upstream in self.upstreams_by_id.values():
            service = self.configuration.services_by_id.get(upstream.service_id)
            if upstream.domain in returned and service is not None:
                cold_s = service.cold_s + COLD_AFTER_RETURN_MARGIN_S
                self.record_cold(upstream.upstream_id, cold_s, now)

    def record_store_reachable(self, reachable, now):
        """Record whether the store answers this instance."""
        if reachable and not self.store_reachable:
            self.store_returned_at = now
        self.store_reachable = reachable

    def is_cold(self, upstream_id, now):
        """Return whether an upstream is cold."""
        return now < self.cold_until_by_id.get(upstream_id, 0.0)

    def find_region(self, upstream):
        """Return the region of an upstream, ``""`` if its domain is unknown."""
        return self.settings.region_by_domain.get(upstream.domain, "")

    def is_in_service(self, upstream):
        """Return whether an upstream may get new requests."""
        return not upstream.leaving and upstream.domain not in self.domains_out

    def list_in_service(self, service_id):
        """Return the upstreams of a service that may get new requests."""
        upstreams = self.upstreams_by_id
        return [
            upstreams[upstream_id]
            for upstream_id in self.ids_by_service.get(service_id, ())
            if self.is_in_service(upstreams[upstream_id])
        ]

    def _retain_address(self, upstream, now):
        kept = self.former_addresses_by_id
        kept.pop(upstream.upstream_id, None)
        kept[upstream.upstream_id] = (upstream.address, now + ADDRESS_RETENTION_S)
        while next(iter(kept.values()))[1] <= now:
            del kept[next(iter(kept))]

    def find_last_address(self, upstream_id):
        """Return the address of an upstream, also for some time after its entry was
        removed; ``""`` if unknown.
        """
        upstream = self.upstreams_by_id.get(upstream_id)
        if upstream is not None:
            return upstream.address
        return self.former_addresses_by_id.get(upstream_id, ("", 0.0))[0]
