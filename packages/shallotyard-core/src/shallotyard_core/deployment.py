"""Data classes of the published configuration, built from a manifest."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Region:
    """A region and its failure domains.

    :param id: id of the region.
    :param domains: ids of its failure domains.
    """

    id: str
    domains: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Domain:
    """A failure domain and its region.

    :param id: id of the failure domain.
    :param region: id of its region.
    """

    id: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and its limits.

    :param id: id of the service.
    :param keyed: whether each key has exactly one upstream.
    :param checks_grants: whether the upstreams check grants and refuse stale epochs.
    :param idempotent_methods: HTTP methods whose requests may be repeated.
    :param slots: largest number of requests in flight on one upstream.
    :param cold_slots: the same for an upstream in a cold start.
    :param connections: largest number of connections to one upstream.
    :param slices: slices per region, a power of two.
    :param regions: ids of the regions that serve it.
    :param max_run_ms: longest permitted run of one attempt, in milliseconds.
    :param default_deadline_ms: time budget of a request without a deadline, in
        milliseconds.
    :param max_body_bytes: largest accepted request body, in bytes.
    """

    id: str
    keyed: bool
    checks_grants: bool
    idempotent_methods: frozenset[str]
    slots: int
    cold_slots: int
    connections: int
    slices: int
    regions: tuple[str, ...]
    max_run_ms: int
    default_deadline_ms: int
    max_body_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A mapping from a path prefix to a service.

    :param prefix: path prefix that starts and ends with a slash.
    :param service: id of the service.
    :param clients: ids of the clients that may use the route, ``None`` for all clients.
    """

    prefix: str
    service: str
    clients: frozenset[str] | None


@dataclasses.dataclass(frozen=True, slots=True)
class Client:
    """A client account.

    :param id: id of the client.
    :param home_regions: ids of the only regions that may serve it; empty for any.
    :param credential_sha256: SHA-256 digest of its credential, 64 hexadecimal digits.
    """

    id: str
    home_regions: tuple[str, ...]
    credential_sha256: str


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """An upstream, its service and its location.

    :param id: id of the upstream.
    :param service: id of the service it runs.
    :param domain: id of its failure domain.
    :param region: id of the region of its failure domain.
    :param address: IP address and TCP port, such as ``127.0.0.1:9101``.
    """

    id: str
    service: str
    domain: str
    region: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """One version of the published configuration.

    :param version: version of the manifest, which grows with each publication.
    :param store_region: id of the region of the store.
    :param regions_by_id: regions by id.
    :param domains_by_id: failure domains by id.
    :param services_by_id: services by id.
    :param routes: routes, those with the longest prefix first.
    :param clients_by_id: clients by id.
    :param clients_by_digest: clients by the digest of their credential.
    :param upstreams_by_id: upstreams by id, in the order of ids.
    :param upstreams_by_service: upstreams in the order of ids, by the id of their
        service; a service without upstreams has an empty tuple.
    """

    version: int
    store_region: str
    regions_by_id: dict[str, Region]
    domains_by_id: dict[str, Domain]
    services_by_id: dict[str, Service]
    routes: tuple[Route, ...]
    clients_by_id: dict[str, Client]
    clients_by_digest: dict[str, Client]
    upstreams_by_id: dict[str, Upstream]
    upstreams_by_service: dict[str, tuple[Upstream, ...]]

    def find_region_of_domain(self, domain_id):
        """Return the region of a failure domain.

        :param domain_id: id of the failure domain.
        :return: id of the region, ``""`` if the manifest has no such failure domain.
        """
        domain = self.domains_by_id.get(domain_id)
        return domain.region if domain else ""

    @classmethod
    def from_manifest(cls, manifest):
        """Build a deployment from a valid manifest.

        :param manifest: a :class:`shallotyard_core.manifest_schema.Manifest` whose
            references were checked.
        :return: the deployment.
        """
        regions = {
            region_id: Region(region_id, tuple(region.domains))
            for region_id, region in manifest.regions.items()
        }
        domains = {
            domain_id: Domain(domain_id, region.id)
            for region in regions.values()
            for domain_id in region.domains
        }
        services = {
            service_id: _build_service(service_id, service)
            for service_id, service in manifest.services.items()
        }
        clients = {
            client_id: Client(
                client_id, tuple(client.home_regions), client.credential_sha256
            )
            for client_id, client in manifest.clients.items()
        }
        upstreams = {
            upstream_id: Upstream(
                upstream_id,
                upstream.service,
                upstream.domain,
                domains[upstream.domain].region,
                upstream.address,
            )
            for upstream_id, upstream in sorted(manifest.upstreams.items())
        }
        routes = sorted(
            manifest.routes, key=lambda route: (-len(route.prefix), route.prefix)
        )
        return cls(
            version=manifest.version,
            store_region=manifest.store_region,
            regions_by_id=regions,
            domains_by_id=domains,
            services_by_id=services,
            routes=tuple(_build_route(route) for route in routes),
            clients_by_id=clients,
            clients_by_digest={c.credential_sha256: c for c in clients.values()},
            upstreams_by_id=upstreams,
            upstreams_by_service={
                service_id: tuple(
                    upstream
                    for upstream in upstreams.values()
                    if upstream.service == service_id
                )
                for service_id in services
            },
        )


def _build_service(service_id, service):
    return Service(
        id=service_id,
        keyed=service.keyed,
        checks_grants=service.checks_grants,
        idempotent_methods=frozenset(service.idempotent_methods),
        slots=service.slots,
        cold_slots=service.cold_slots,
        connections=service.connections,
        slices=service.slices,
        regions=tuple(service.regions),
        max_run_ms=service.max_run_ms,
        default_deadline_ms=service.default_deadline_ms,
        max_body_bytes=service.max_body_bytes,
    )


def _build_route(route):
    clients = None if "*" in route.clients else frozenset(route.clients)
    return Route(route.prefix, route.service, clients)
