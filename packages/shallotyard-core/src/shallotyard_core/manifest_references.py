"""Checks of what the parts of a manifest say about each other.

The checks read the decoded JSON and not the models, so that a manifest with a
fault of shape still shows its faults of reference. Values of another type are
left to the shape check.
"""

from shallotyard_core.manifest_faults import ManifestFault
from shallotyard_core.timing import LEASE_TTL_S
from shallotyard_core.timing import RENEWAL_PERIOD_S

# An attempt for a key must end within the lease. A lease that was renewed one
# period late still leaves this much of it.
KEYED_RUN_LIMIT_MS = round((LEASE_TTL_S - 2 * RENEWAL_PERIOD_S) * 1000)
# Witness copies of outcome records outlive the longest run by this much.
RUN_LIMIT_MS = 60_000


def check_references(raw):
    """Return the faults of names, limits and coverage.

    :param raw: the decoded manifest.
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


def _check_known(path, value, known, kind):
    if value is None or value in known:
        return []
    return [ManifestFault(path, f"a known {kind}", repr(value))]


def _check_unique(pairs, kind):
    """Return a fault for each value that an earlier path holds already."""
    paths_by_value = {}
    faults = []
    for path, value in pairs:
        if value is None:
            continue
        first = paths_by_value.setdefault(value, path)
        if first != path:
            faults.append(
                ManifestFault(path, f"a unique {kind}", f"the {kind} of {first}")
            )
    return faults


def _check_list(path, values, known, kind):
    faults = _check_unique(
        ((f"{path}.{index}", value) for index, value in enumerate(values)), kind
    )
    for index, value in enumerate(values):
        faults += _check_known(f"{path}.{index}", value, known, kind)
    return faults


def _check_regions(raw):
    regions = _read_entries(raw, "regions")
    faults = _check_known(
        "store_region", _read_text(raw, "store_region"), regions, "region"
    )
    domains = (
        (f"regions.{region_id}.domains.{index}", domain)
        for region_id, region in regions.items()
        for index, domain in enumerate(_read_texts(region, "domains"))
    )
    return faults + _check_unique(domains, "failure domain")


def _check_services(raw):
    regions = _read_entries(raw, "regions")
    faults = []
    for service_id, service in _read_entries(raw, "services").items():
        path = f"services.{service_id}"
        faults += _check_list(
            f"{path}.regions", _read_texts(service, "regions"), regions, "region"
        )
        faults += _check_service_limits(path, service)
    return faults


def _check_service_limits(path, service):
    faults = []
    slots = _read_integer(service, "slots")
    cold_slots = _read_integer(service, "cold_slots")
    if slots is not None and cold_slots is not None and cold_slots > slots:
        faults.append(
            ManifestFault(
                f"{path}.cold_slots", f"at most slots ({slots})", str(cold_slots)
            )
        )
    max_run_ms = _read_integer(service, "max_run_ms")
    if max_run_ms is not None:
        faults += _check_run_limit(f"{path}.max_run_ms", service, max_run_ms)
    return faults


def _check_run_limit(path, service, max_run_ms):
    if service.get("keyed") is not True:
        limit, kind = RUN_LIMIT_MS, "at most {} ms"
    elif service.get("checks_grants") is True:
        limit, kind = KEYED_RUN_LIMIT_MS, "at most {} ms for a keyed service"
    else:
        limit = KEYED_RUN_LIMIT_MS - 1
        kind = "below {} ms for a keyed service that does not check grants"
    if max_run_ms <= limit:
        return []
    named = KEYED_RUN_LIMIT_MS if kind.startswith("below") else limit
    return [ManifestFault(path, kind.format(named), f"{max_run_ms} ms")]


def _check_routes(raw):
    services = _read_entries(raw, "services")
    clients = _read_entries(raw, "clients")
    routes = _read_routes(raw)
    faults = _check_unique(
        ((f"{path}.prefix", _read_text(route, "prefix")) for path, route in routes),
        "prefix",
    )
    for path, route in routes:
        faults += _check_known(
            f"{path}.service", _read_text(route, "service"), services, "service"
        )
        names = _read_texts(route, "clients")
        if "*" not in names:
            faults += _check_list(f"{path}.clients", names, clients, "client")
        elif len(names) > 1:
            faults.append(
                ManifestFault(f"{path}.clients", "'*' alone or client ids", str(names))
            )
    return faults


def _check_clients(raw):
    regions = _read_entries(raw, "regions")
    clients = _read_entries(raw, "clients")
    faults = _check_unique(
        (
            (
                f"clients.{client_id}.credential_sha256",
                _read_text(c, "credential_sha256"),
            )
            for client_id, c in clients.items()
        ),
        "credential digest",
    )
    for client_id, client in clients.items():
        faults += _check_list(
            f"clients.{client_id}.home_regions",
            _read_texts(client, "home_regions"),
            regions,
            "region",
        )
    return faults


def _regions_by_domain(raw):
    return {
        domain: region_id
        for region_id, region in _read_entries(raw, "regions").items()
        for domain in _read_texts(region, "domains")
    }


def _check_upstreams(raw):
    services = _read_entries(raw, "services")
    regions_by_domain = _regions_by_domain(raw)
    upstreams = _read_entries(raw, "upstreams")
    faults = _check_unique(
        (
            (f"upstreams.{upstream_id}.address", _read_text(upstream, "address"))
            for upstream_id, upstream in upstreams.items()
        ),
        "address",
    )
    for upstream_id, upstream in upstreams.items():
        path = f"upstreams.{upstream_id}"
        service_id = _read_text(upstream, "service")
        domain = _read_text(upstream, "domain")
        faults += _check_known(f"{path}.service", service_id, services, "service")
        faults += _check_known(
            f"{path}.domain", domain, regions_by_domain, "failure domain"
        )
        region = regions_by_domain.get(domain)
        served = _read_texts(services.get(service_id, {}), "regions")
        if region is not None and served and region not in served:
            faults.append(
                ManifestFault(
                    f"{path}.domain",
                    f"a failure domain in a region of service {service_id!r}",
                    f"{domain!r} of region {region!r}",
                )
            )
    return faults


def _check_coverage(raw):
    covered = _list_covered(raw)
    faults = []
    for service_id, service in _read_entries(raw, "services").items():
        if service.get("keyed") is not True:
            continue
        faults += [
            ManifestFault(
                f"services.{service_id}.regions",
                f"an upstream of keyed service {service_id!r} in each region",
                f"none in region {region!r}",
            )
            for region in _read_texts(service, "regions")
            if _is_uncovered(raw, service_id, region, covered)
        ]
    for client_id, client in _read_entries(raw, "clients").items():
        faults += _check_home_coverage(raw, client_id, client, covered)
    return faults


def _list_covered(raw):
    """Return the pairs of a service and the region of one of its upstreams."""
    regions_by_domain = _regions_by_domain(raw)
    return {
        (
            _read_text(upstream, "service"),
            regions_by_domain.get(_read_text(upstream, "domain")),
        )
        for upstream in _read_entries(raw, "upstreams").values()
    }


def _is_uncovered(raw, service_id, region, covered):
    # An upstream in an unknown failure domain has a fault of its own and may be the
    # one that the region needs.
    return (
        region in _read_entries(raw, "regions")
        and (service_id, None) not in covered
        and (service_id, region) not in covered
    )


def _check_home_coverage(raw, client_id, client, covered):
    services = _read_entries(raw, "services")
    routed = {
        _read_text(route, "service")
        for _, route in _read_routes(raw)
        if not {"*", client_id}.isdisjoint(_read_texts(route, "clients"))
    }
    return [
        ManifestFault(
            f"clients.{client_id}.home_regions",
            f"an upstream of service {service_id!r}, which is on a route of the"
            " client, in each home region",
            f"none in region {region!r}",
        )
        for region in _read_texts(client, "home_regions")
        for service_id in sorted(routed & services.keys())
        if _is_uncovered(raw, service_id, region, covered)
    ]


def _read_entries(raw, section):
    entries = raw.get(section) if isinstance(raw, dict) else None
    if not isinstance(entries, dict):
        return {}
    return {key: entry for key, entry in entries.items() if isinstance(entry, dict)}


def _read_routes(raw):
    routes = raw.get("routes") if isinstance(raw, dict) else None
    if not isinstance(routes, list):
        return []
    return [
        (f"routes.{index}", route)
        for index, route in enumerate(routes)
        if isinstance(route, dict)
    ]


def _read_text(entry, field):
    value = entry.get(field)
    return value if isinstance(value, str) else None


def _read_texts(entry, field):
    values = entry.get(field)
    if not isinstance(values, list):
        return []
    return [value for value in values if isinstance(value, str)]


def _read_integer(entry, field):
    value = entry.get(field)
    return value if type(value) is int else None
