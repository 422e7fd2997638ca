"""Splits the requests of a route between services."""


class TrafficSplit:
    """Smooth weighted round robin, which follows the weights over short periods too.

    :param parts: the `SplitPart` entries of a route.
    """

    def __init__(self, parts):
        self.parts = parts
        self.total = sum(part.weight for part in parts)
        self.credits_by_service = {part.service_id: 0.0 for part in parts}

    def choose(self):
        """Return the service of the next request."""
        credits_by_service = self.credits_by_service
        for part in self.parts:
            credits_by_service[part.service_id] += part.weight
        chosen = max(credits_by_service, key=credits_by_service.get)
        credits_by_service[chosen] -= self.total
        return chosen
