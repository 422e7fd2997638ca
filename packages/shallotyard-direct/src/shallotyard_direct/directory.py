"""The configuration, upstreams and failure domains known to an instance."""

import math

# Added to the cold time of upstreams whose failure domain returns to service. They may
# be cold again, which is not known until their next report.
COLD_AFTER_RETURN_MARGIN_S = 1.0
# Longer than any grant TTL, so that keys can be released after the entry was removed.
ADDRESS_RETENTION_S = 30.0


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
            if before is not None:
                self._retain_address(before, now)
            return
        self.upstreams_by_id[upstream_id] = upstream
        ids = self.ids_by_service.get(upstream.service_id, ())
        self.ids_by_service[upstream.service_id] = (*ids, upstream_id)
        if upstream.cold_left_s > 0:
            self.record_cold(upstream_id, upstream.cold_left_s, now)

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
