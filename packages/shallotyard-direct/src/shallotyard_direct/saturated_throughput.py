"""Measures at the granter what upstreams can do, by what they did while saturated.

It answers the load of an upstream that has become slow: the durations of its requests
contain the time in its queue, so that they do not show its speed.
"""

from dataclasses import dataclass

# Half-life of what was measured; an upstream may be slow for a few seconds only.
HALF_LIFE_S = 2.5
# After a longer time without an update, this instance did not grant, and did not get
# the reports of the others.
MAX_UPDATE_PERIOD_S = 2.0
# With less time in the decayed sum, the throughput is unknown.
MIN_SATURATED_S = 0.6


@dataclass(slots=True)
class _Measurement:
    """Decayed sums of one upstream.

    :param unassigned: responses since the last update.
    """

    responses: float = 0.0
    saturated_s: float = 0.0
    unassigned: float = 0.0
    was_saturated: bool = False


class SaturatedThroughput:
    """Responses per second of saturated upstreams, by upstream id."""

    def __init__(self):
        self.measurements_by_id = {}
        self.updated_at = None

    def record_responses(self, count_by_id):
        """Add the responses that an instance reports, by upstream id."""
        for upstream_id, count in count_by_id.items():
            measurement = self.measurements_by_id.get(upstream_id)
            if measurement is None:
                measurement = self.measurements_by_id[upstream_id] = _Measurement()
            measurement.unassigned += count

    def update(self, saturated_ids, now):
        """Count the time since the last update for the upstreams that were saturated
        at both of its ends.

        :param saturated_ids: collection of the ids of saturated upstreams.
        """
        elapsed_s = 0.0 if self.updated_at is None else now - self.updated_at
        self.updated_at = now
        is_continuous = elapsed_s <= MAX_UPDATE_PERIOD_S
        factor = 0.5 ** (elapsed_s / HALF_LIFE_S)
        for upstream_id, measurement in list(self.measurements_by_id.items()):
            is_saturated = upstream_id in saturated_ids
            measurement.responses *= factor
            measurement.saturated_s *= factor
            if is_continuous and is_saturated and measurement.was_saturated:
                measurement.responses += measurement.unassigned
                measurement.saturated_s += elapsed_s
            measurement.was_saturated = is_saturated
            measurement.unassigned = 0.0
            if not is_saturated and measurement.saturated_s < MIN_SATURATED_S:
                del self.measurements_by_id[upstream_id]

    def get_rate(self, upstream_id):
        """Return the responses per second of an upstream while it was saturated, None
        if that is unknown.
        """
        measurement = self.measurements_by_id.get(upstream_id)
        if measurement is None or measurement.saturated_s < MIN_SATURATED_S:
            return None
        return measurement.responses / measurement.saturated_s
