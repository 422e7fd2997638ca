"""Owners of keys as known to an instance that sends requests."""

import math

# Delay of requests to a new owner, until its grant has arrived.
NEW_OWNER_DELAY_S = 0.08


class Owners:
    """Key tables by service, suspended ranges, and request counts by key."""

    def __init__(self):
        self.tables_by_service = {}
        self.usable_at_by_range = {}
        self.counts_by_service = {}

    def apply_table(self, table, now):
        """Apply a table unless the same or a newer one is known.

        :return: whether it was applied.
        """
        before = self.tables_by_service.get(table.service_id)
        if before is not None and table.next_fence <= before.next_fence:
            return False
        if before is not None:
            known = {r.fence: r.owner for r in before.ranges}
            for key_range in table.ranges:
                if known.get(key_range.fence) != key_range.owner:
                    until = now + NEW_OWNER_DELAY_S
                    self.suspend(table.service_id, key_range, until)
        self.tables_by_service[table.service_id] = table
        return True

    def find_range(self, service_id, key):
        """Return the `KeyRange` that contains a key, None without a table."""
        table = self.tables_by_service.get(service_id)
        return None if table is None else table.find_range(key)

    def list_upstream_ids(self):
        """Return the ids of all owners."""
        return {
            key_range.upstream_id
            for table in self.tables_by_service.values()
            for key_range in table.ranges
        }

    def suspend(self, service_id, key_range, until):
        """Send no requests to the owner of a range until a time.

        :param until: time in seconds.
        """
        range_id = (service_id, key_range.first, key_range.fence)
        self.usable_at_by_range[range_id] = until

    def find_usable_at(self, service_id, key_range):
        """Return the time from which requests may be sent to the owner of a range."""
        range_id = (service_id, key_range.first, key_range.fence)
        return self.usable_at_by_range.get(range_id, -math.inf)

    def expire_suspensions(self, now):
        """Delete suspensions that have ended."""
        ended = [
            range_id for range_id, at in self.usable_at_by_range.items() if at <= now
        ]
        for range_id in ended:
            del self.usable_at_by_range[range_id]

    def count_request(self, service_id, key):
        """Count a request for a key, for the next load report."""
        counts = self.counts_by_service.setdefault(service_id, {})
        counts[key] = counts.get(key, 0) + 1

    def pop_counts(self):
        """Return and reset the numbers of requests by service and key."""
        counts, self.counts_by_service = self.counts_by_service, {}
        return counts
