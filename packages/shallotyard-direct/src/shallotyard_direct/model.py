"""Routes, services, upstreams and requests of a deployment."""

from dataclasses import dataclass
from dataclasses import field

from shallotyard_core.caller_limits import CallerLimits
from shallotyard_core.verdict import Verdict
from shallotyard_direct.accounts.model import Account

NO_KEY = -1
# Keys are integers from 0 to this one, inclusive.
MAX_KEY = 65_535


@dataclass(slots=True, frozen=True)
class SplitPart:
    """A service in the traffic split of a route.

    :param weight: weight relative to the other parts.
    """

    service_id: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Maps requests with a host and path prefix to services.

    :param prefix: path prefix; begins and ends with a slash.
    :param idempotent: whether a request may run more than once.
    :param timeout_s: maximum time until the response, in seconds.
    :param target_latency_s: latency objective, in seconds.
    :param priority: priority of its requests; 0 is the highest.
    :param parts: services of the traffic split.
    :param max_attempts: maximum number of attempts per request that may have run.
    :param home_regions: regions whose upstreams may serve its requests; empty for
        any region.
    :param public: whether its requests need no key of a client account.
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
    public: bool = False


@dataclass(slots=True, frozen=True)
class Service:
    """A group of upstreams that serve the same requests.

    :param health_path: path of the health check.
    :param connections: maximum number of connections that an upstream accepts from
        all instances together.
    :param cold_s: time after its start for which an upstream is cold, in seconds.
    :param cold_rate: maximum requests per second of a cold upstream.
    :param keyed: whether each key has one owner among the upstreams.
    :param warming_s: time for which requests for a key are slow after its owner
        changed without a handover, in seconds.
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
    """One version of all routes and services.

    :param version: increases with every change, by one or more.
    :param routes_by_host: routes by host name, longest prefix first.
    :param has_accounts: whether it lists client accounts, possibly none. Otherwise
        no request needs a key.
    :param accounts_by_digest: client accounts by the digest of each of their keys.
    :param caller_limits: the `CallerLimits`.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    services_by_id: dict[str, Service]
    has_accounts: bool = False
    accounts_by_id: dict[str, Account] = field(default_factory=dict)
    accounts_by_digest: dict[str, Account] = field(default_factory=dict)
    caller_limits: CallerLimits = CallerLimits()

    def find_route(self, host, path):
        """Return the route with the longest prefix that matches a path.

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
    """A back end, as described by its own registration.

    :param domain: its failure domain.
    :param slots: number of requests that it processes concurrently.
    :param leaving: whether it is draining.
    :param cold_left_s: remaining time for which it is cold, in seconds.
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

    @property
    def incarnation(self):
        """Return its id, and the start of this incarnation in Unix milliseconds."""
        return self.upstream_id, self.started_ms


@dataclass(slots=True)
class Request:
    """A request of a caller.

    :param request_id: id assigned by the router.
    :param caller_id: request id sent by the caller.
    :param host: host name in lower case, without port.
    :param target: path and query.
    :param headers: headers to forward, in order.
    :param key: key of the request, `NO_KEY` if it has none.
    :param caller_timeout_s: timeout of the caller, in seconds; None if unknown.
    :param key_digest: digest of the key of a client account, ``""`` if it has none.
    :param withheld_headers: headers that are forwarded only if no accounts are
        configured; see `split_headers`.
    """

    request_id: str
    caller_id: str
    host: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    key: int = NO_KEY
    caller_timeout_s: float | None = None
    key_digest: str = ""
    withheld_headers: list[tuple[str, str]] = field(default_factory=list, repr=False)


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Load that an upstream reported with a response.

    :param running: number of requests in progress.
    :param waiting: number of requests in its queue.
    :param slowdown: processing time relative to the usual one.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclass(slots=True)
class RelayedRequest:
    """A request that one instance hands to another.

    :param request: its ``request_id`` is assigned by the instance that dispatches it;
        its timeout is the time from its arrival to its deadline.
    :param origin: id of the instance at which it arrived.
    :param elapsed_s: time since its arrival there, in seconds.
    :param service_id: service that was chosen by the traffic split of its route.
    :param configuration_version: configuration by which its route was found.
    :param runs: number of attempts that may have run.
    :param needs_accounts: whether only an instance that knows client accounts may
        dispatch it.
    """

    request: Request
    origin: str
    elapsed_s: float
    service_id: str = ""
    configuration_version: int = 0
    runs: int = 0
    needs_accounts: bool = False


@dataclass(slots=True)
class RelayReply:
    """What became of a relayed request.

    :param declined: reason for which it was not dispatched and never will be, ``""``
        if it was.
    :param lost: whether no reply arrived to a request that may have been dispatched.
    :param verdict: combined verdict of the attempts of the other instance.
    :param refusal: reason for which no upstream answered, ``""`` if one did.
    :param wait_s: expected wait until a retry can be served, in seconds; 0 if unknown.
    :param detail: error of the call.
    :param leaving: incarnations of upstreams that said in the response that they are
        leaving, as lists of upstream id and start in Unix milliseconds.
    """

    declined: str = ""
    lost: bool = False
    verdict: Verdict = Verdict.NOT_RUN
    refusal: str = ""
    wait_s: float = 0.0
    status: int = 0
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    detail: str = ""
    leaving: list[list] = field(default_factory=list)
