"""Checks of a manifest that concern several of its entries.

The checks read the decoded JSON instead of the models, so that they also report
faults of a manifest that does not match the schema. They ignore values of a wrong
type, which the schema validation reports.
"""

from shallotyard_core.manifest_faults import ManifestFault
from shallotyard_core.timing import LEASE_TTL_S
from shallotyard_core.timing import RENEWAL_PERIOD_S

# An attempt for a key must end within the lease. This much of the lease remains if
# its last renewal was one period late.
MAX_KEYED_RUN_MS = round((LEASE_TTL_S - 2 * RENEWAL_PERIOD_S) * 1000)
# A witness keeps its copies of outcome records this much longer than holders keep
# theirs, to cover the longest run.
MAX_RUN_MS = 60_000


def check_references(raw):
    """Check references between entries, limits and the coverage of regions.

    :param raw: the decoded JSON of the manifest, of any type.
    :return: list of :class:`ManifestFault`.
    """
    if not isinstance(raw, dict):
        return []
    return [
        *_check_regions(raw),
        *_check_services(raw),
        *_check_routes(raw),
        *_check_clients(raw),
        *_check_upstreams(raw),
        *_check_coverage(raw),
    ]


def _check_reference(path, value, known_ids, kind):
    if value is None or value in known_ids:
        return []
    return [ManifestFault(path, f"a known {kind}", repr(value))]


def _check_unique(path_value_pairs, kind):
    """Return a fault for each value that occurs at an earlier path as well."""
    paths_by_value = {}
    faults = []
    for path, value in path_value_pairs:
        if value is None:
            continue
        first_path = paths_by_value.setdefault(value, path)
        if first_path != path:
            faults.append(
                ManifestFault(path, f"a unique {kind}", f"the {kind} of {first_path}")
            )
    return faults


def _check_references_in_list(path, values, known_ids, kind):
    faults = _check_unique(
        ((f"{path}.{index}", value) for index, value in enumerate(values)), kind
    )
    for index, value in enumerate(values):
        faults += _check_reference(f"{path}.{index}", value, known_ids, kind)
    return faults


def _check_regions(raw):
    regions = _get_entries(raw, "regions")
    faults = _check_reference(
        "store_region", _get_string(raw, "store_region"), regions, "region"
    )
    domains = (
        (f"regions.{region_id}.domains.{index}", domain)
        for region_id, region in regions.items()
        for index, domain in enumerate(_get_strings(region, "domains"))
    )
    return faults + _check_unique(domains, "failure domain")


def _check_services(raw):
    regions = _get_entries(raw, "regions")
    faults = []
    for service_id, service in _get_entries(raw, "services").items():
        path = f"services.{service_id}"
        faults += _check_references_in_list(
            f"{path}.regions", _get_strings(service, "regions"), regions, "region"
        )
        faults += _check_service_limits(path, service)
    return faults


def _check_service_limits(path, service):
    faults = []
    slots = _get_integer(service, "slots")
    cold_slots = _get_integer(service, "cold_slots")
    if slots is not None and cold_slots is not None and cold_slots > slots:
        faults.append(
            ManifestFault(
                f"{path}.cold_slots", f"at most slots ({slots})", str(cold_slots)
            )
        )
    max_run_ms = _get_integer(service, "max_run_ms")
    if max_run_ms is not None:
        faults += _check_run_limit(f"{path}.max_run_ms", service, max_run_ms)
    return faults


def _check_run_limit(path, service, max_run_ms):
    if service.get("keyed") is not True:
        limit, expected_format = MAX_RUN_MS, "at most {} ms"
    elif service.get("checks_grants") is True:
        limit, expected_format = MAX_KEYED_RUN_MS, "at most {} ms for a keyed service"
    else:
        limit = MAX_KEYED_RUN_MS - 1
        expected_format = "below {} ms for a keyed service that does not check grants"
    if max_run_ms <= limit:
        return []
    shown_limit = MAX_KEYED_RUN_MS if expected_format.startswith("below") else limit
    return [
        ManifestFault(path, expected_format.format(shown_limit), f"{max_run_ms} ms")
    ]


def _check_routes(raw):
    services = _get_entries(raw, "services")
    clients = _get_entries(raw, "clients")
    routes = _get_routes(raw)
    faults = _check_unique(
        ((f"{path}.prefix", _get_string(route, "prefix")) for path, route in routes),
        "prefix",
    )
    for path, route in routes:
        faults += _check_reference(
            f"{path}.service", _get_string(route, "service"), services, "service"
        )
        client_ids = _get_strings(route, "clients")
        if "*" not in client_ids:
            faults += _check_references_in_list(
                f"{path}.clients", client_ids, clients, "client"
            )
        elif len(client_ids) > 1:
            faults.append(
                ManifestFault(
                    f"{path}.clients", "'*' alone or client ids", str(client_ids)
                )
            )
    return faults


def _check_clients(raw):
    regions = _get_entries(raw, "regions")
    clients = _get_entries(raw, "clients")
    faults = _check_unique(
        (
            (
                f"clients.{client_id}.credential_sha256",
                _get_string(client, "credential_sha256"),
            )
            for client_id, client in clients.items()
        ),
        "credential digest",
    )
    for client_id, client in clients.items():
        faults += _check_references_in_list(
            f"clients.{client_id}.home_regions",
            _get_strings(client, "home_regions"),
            regions,
            "region",
        )
    return faults


def _map_regions_by_domain(raw):
    return {
        domain: region_id
        for region_id, region in _get_entries(raw, "regions").items()
        for domain in _get_strings(region, "domains")
    }


def _check_upstreams(raw):
    services = _get_entries(raw, "services")
    regions_by_domain = _map_regions_by_domain(raw)
    upstreams = _get_entries(raw, "upstreams")
    faults = _check_unique(
        (
            (f"upstreams.{upstream_id}.address", _get_string(upstream, "address"))
            for upstream_id, upstream in upstreams.items()
        ),
        "address",
    )
    for upstream_id, upstream in upstreams.items():
        path = f"upstreams.{upstream_id}"
        service_id = _get_string(upstream, "service")
        domain = _get_string(upstream, "domain")
        faults += _check_reference(f"{path}.service", service_id, services, "service")
        faults += _check_reference(
            f"{path}.domain", domain, regions_by_domain, "failure domain"
        )
        region = regions_by_domain.get(domain)
        service_regions = _get_strings(services.get(service_id, {}), "regions")
        if region is not None and service_regions and region not in service_regions:
            faults.append(
                ManifestFault(
                    f"{path}.domain",
                    f"a failure domain in a region of service {service_id!r}",
                    f"{domain!r} of region {region!r}",
                )
            )
    return faults


def _check_coverage(raw):
    """Check that each region has the upstreams that services and clients need."""
    covered_pairs = _find_covered_pairs(raw)
    faults = []
    for service_id, service in _get_entries(raw, "services").items():
        if service.get("keyed") is not True:
            continue
        faults += [
            ManifestFault(
                f"services.{service_id}.regions",
                f"an upstream of keyed service {service_id!r} in each region",
                f"none in region {region!r}",
            )
            for region in _get_strings(service, "regions")
            if _is_uncovered(raw, service_id, region, covered_pairs)
        ]
    for client_id, client in _get_entries(raw, "clients").items():
        faults += _check_home_coverage(raw, client_id, client, covered_pairs)
    return faults


def _find_covered_pairs(raw):
    """Return all pairs of a service id and a region with an upstream of the service."""
    regions_by_domain = _map_regions_by_domain(raw)
    return {
        (
            _get_string(upstream, "service"),
            regions_by_domain.get(_get_string(upstream, "domain")),
        )
        for upstream in _get_entries(raw, "upstreams").values()
    }


def _is_uncovered(raw, service_id, region, covered_pairs):
    # An upstream in an unknown failure domain is reported on its own. It may belong to
    # this region, so the region is not reported as well.
    return (
        region in _get_entries(raw, "regions")
        and (service_id, None) not in covered_pairs
        and (service_id, region) not in covered_pairs
    )


def _check_home_coverage(raw, client_id, client, covered_pairs):
    """Check that a client's home regions have all services on its routes."""
    services = _get_entries(raw, "services")
    routed_service_ids = {
        _get_string(route, "service")
        for _, route in _get_routes(raw)
        if not {"*", client_id}.isdisjoint(_get_strings(route, "clients"))
    }
    return [
        ManifestFault(
            f"clients.{client_id}.home_regions",
            f"an upstream of service {service_id!r}, which is on a route of the"
            " client, in each home region",
            f"none in region {region!r}",
        )
        for region in _get_strings(client, "home_regions")
        for service_id in sorted(routed_service_ids & services.keys())
        if _is_uncovered(raw, service_id, region, covered_pairs)
    ]


def _get_entries(raw, section):
    entries = raw.get(section) if isinstance(raw, dict) else None
    if not isinstance(entries, dict):
        return {}
    return {key: entry for key, entry in entries.items() if isinstance(entry, dict)}


def _get_routes(raw):
    """Return pairs of the path and the decoded JSON of each route."""
    routes = raw.get("routes") if isinstance(raw, dict) else None
    if not isinstance(routes, list):
        return []
    return [
        (f"routes.{index}", route)
        for index, route in enumerate(routes)
        if isinstance(route, dict)
    ]


def _get_string(entry, field):
    value = entry.get(field)
    return value if isinstance(value, str) else None


def _get_strings(entry, field):
    values = entry.get(field)
    if not isinstance(values, list):
        return []
    return [value for value in values if isinstance(value, str)]


def _get_integer(entry, field):
    value = entry.get(field)
    return value if type(value) is int else None
