"""What a deployment consists of, as the decisions see it."""

from dataclasses import dataclass

NO_KEY = -1
# Keys are numbers from 0 to this one, both inclusive.
MAX_KEY = 65_535


@dataclass(slots=True, frozen=True)
class SplitPart:
    """A service that gets a share of the requests of a route.

    :param weight: share relative to the other parts.
    """

    service_id: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Which requests go to which services.

    :param prefix: path prefix, begins and ends with a slash.
    :param idempotent: whether a request may run more than once.
    :param timeout_s: longest time until the response, in seconds.
    :param target_latency_s: time within which a response is of full use, in
        seconds.
    :param priority: rank among the routes, 0 is the highest.
    :param max_attempts: upstreams that one request may be sent to.
    :param home_regions: regions whose upstreams may serve it, empty for any.
    """

    route_id: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    target_latency_s: float
    priority: int
    parts: tuple[SplitPart, ...]
    max_attempts: int
    home_regions: frozenset[str]


@dataclass(slots=True, frozen=True)
class Service:
    """A group of upstreams that do the same work.

    :param health_path: path of the health check.
    :param connections: connections that an upstream accepts from all instances.
    :param cold_s: time for which a started upstream is cold, in seconds.
    :param cold_rate: requests per second that a cold upstream bears.
    :param keyed: whether each key has one owner among the upstreams.
    :param warming_s: time for which keys without handover are slow, in seconds.
    """

    service_id: str
    health_path: str
    connections: int
    cold_s: float
    cold_rate: float
    keyed: bool
    warming_s: float


@dataclass(slots=True, frozen=True)
class Configuration:
    """The routes and services in force.

    :param version: grows with every change, in uneven steps.
    :param routes_by_host: routes of a host, those with longer prefixes first.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    services_by_id: dict[str, Service]

    def find_route(self, host, path):
        """Return the route with the longest prefix that begins a path.

        :param host: host name in lower case, without port.
        :param path: path without query.
        :return: a `Route`, or None if no route matches.
        """
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


@dataclass(slots=True, frozen=True)
class Upstream:
    """A back end as it describes itself.

    :param domain: its failure domain.
    :param slots: requests that it processes at the same time.
    :param leaving: whether it drains before it stops.
    :param cold_left_s: how much longer it is cold, in seconds.
    :param started_ms: start of this incarnation in Unix milliseconds; 0 if
        unknown.
    """

    upstream_id: str
    service_id: str
    address: str
    domain: str
    slots: int
    leaving: bool = False
    cold_left_s: float = 0.0
    started_ms: int = 0


@dataclass(slots=True)
class Request:
    """A request as read from a caller.

    :param request_id: id that the router gave it.
    :param caller_id: id that the caller gave it.
    :param host: host name in lower case, without port.
    :param target: path and query.
    :param headers: headers to pass on, in order.
    :param key: key of the request, `NO_KEY` if it has none.
    :param budget_s: how long the caller waits, in seconds; None if unknown.
    """

    request_id: str
    caller_id: str
    host: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    key: int = NO_KEY
    budget_s: float | None = None


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Load that an upstream told with a response.

    :param running: requests in progress.
    :param waiting: requests in its queue.
    :param slowdown: duration of work relative to the usual one.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0
