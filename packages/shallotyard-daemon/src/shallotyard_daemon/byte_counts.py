"""Counts the bytes that an instance sends and receives, by purpose and distance.

Headers and bodies of HTTP and messages of gRPC are counted, but not what TCP and HTTP/2
add to them.
"""

PURPOSE_REQUESTS = "requests"
PURPOSE_GRANTS = "grants"
PURPOSE_FEED = "feed"
PURPOSE_LOAD_REPORTS = "load-reports"
PURPOSE_PERMITS = "permits"
PURPOSE_SHARES = "shares"
DISTANCE_UNKNOWN = "unknown"
_SENT = "sent"
_RECEIVED = "received"


class ByteCounts:
    """Sums of bytes by (purpose, distance, direction).

    :param find_upstream_distance: function from an upstream id to its distance, as
        returned by `DirectRouter.find_distance`.
    :param find_instance_distance: the same for the id of an instance.
    """

    def __init__(self, find_upstream_distance=None, find_instance_distance=None):
        self.find_upstream_distance = find_upstream_distance or _find_no_distance
        self.find_instance_distance = find_instance_distance or _find_no_distance
        self.sums = {}

    def add_transfer(self, purpose, upstream_id, transfer):
        """Count a finished `Transfer` to an upstream."""
        distance = self.find_upstream_distance(upstream_id)
        self._add(purpose, distance, transfer.sent_bytes, transfer.received_bytes)

    def add_message(self, purpose, instance, sent=0, received=0):
        """Count messages exchanged with another instance, by their numbers of bytes."""
        self._add(purpose, self.find_instance_distance(instance), sent, received)

    def _add(self, purpose, distance, sent, received):
        for direction, count in ((_SENT, sent), (_RECEIVED, received)):
            key = (purpose, distance, direction)
            self.sums[key] = self.sums.get(key, 0) + count


def _find_no_distance(peer_id):
    return DISTANCE_UNKNOWN
