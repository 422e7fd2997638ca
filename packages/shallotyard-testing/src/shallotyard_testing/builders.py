"""Builders of manifests and of configurations of the upstream stand-ins."""

import hashlib

TENDARIS_DOMAINS_BY_REGION = {
    "dalmacija": ("d1", "d2"),
    "slavonija": ("s1", "s2"),
    "istra": ("i1", "i2"),
}
TENDARIS_UPSTREAM_COUNTS = {"statusdesk": 16, "bookbay": 12, "tilldesk": 12}
_PREFIXES_BY_SERVICE = {
    "statusdesk": "/status/",
    "bookbay": "/bookings/",
    "tilldesk": "/till/",
}


def digest_credential(credential):
    """Return the digest of a credential for the manifest.

    :param credential: bearer credential of a caller.
    :return: SHA-256 in hexadecimal digits.
    """
    return hashlib.sha256(credential.encode()).hexdigest()


def build_service(**changes):
    """Return one service entry of a manifest.

    :param changes: fields that replace those of an unkeyed service with 4 slots.
    :return: dict with times in milliseconds and sizes in bytes.
    """
    service = {
        "keyed": False,
        "checks_grants": False,
        "idempotent_methods": ["GET", "HEAD"],
        "slots": 4,
        "cold_slots": 1,
        "connections": 100,
        "slices": 64,
        "regions": ["dalmacija"],
        # Must be below TTL - 2 x renewal period for services without grants.
        "max_run_ms": 800,
        "default_deadline_ms": 2000,
        "max_body_bytes": 65536,
    }
    return {**service, **changes}


def build_upstreams(services, upstream_counts, domains_by_region, base_port):
    """Return the upstreams of a manifest, spread over failure domains.

    :param services: service entries by name.
    :param upstream_counts: number of upstreams by service.
    :param domains_by_region: names of failure domains by region.
    :param base_port: port of the first upstream; the others follow.
    :return: upstream entries by id.
    """
    upstreams_by_id = {}
    port = base_port
    for service, count in upstream_counts.items():
        regions = services[service]["regions"]
        # Interleaved by region, so that a few upstreams cover all regions.
        domain_rows = zip(*(domains_by_region[name] for name in regions), strict=True)
        domains = [domain for row in domain_rows for domain in row]
        for number in range(count):
            upstreams_by_id[f"{service}-{number + 1:02}"] = {
                "service": service,
                "domain": domains[number % len(domains)],
                "address": f"127.0.0.1:{port}",
            }
            port += 1
    return upstreams_by_id


def build_clients(credentials_by_client, home_regions_by_client):
    """Return the clients of a manifest.

    :param credentials_by_client: credential of each client.
    :param home_regions_by_client: home regions; clients left out have none.
    :return: client entries by name.
    """
    return {
        name: {
            "home_regions": list(home_regions_by_client.get(name, ())),
            "credential_sha256": digest_credential(credential),
        }
        for name, credential in credentials_by_client.items()
    }


def build_tendaris_manifest(
    upstream_counts=None, domains_by_region=None, base_port=9101, version=1
):
    """Return a manifest like that of the Tendaris deployment.

    The client ``ferry-stalls`` has no home region. Each region is the home region
    of one client, ``<region>-market``; the first one also of ``split-market``.

    :param upstream_counts: number of upstreams by service.
    :param domains_by_region: failure domains by region, the same number for each
        region; the store is in the first region.
    :param base_port: port of the first upstream; the others follow.
    :param version: version of the manifest.
    :return: the manifest and the credentials by client.
    """
    counts = dict(
        TENDARIS_UPSTREAM_COUNTS if upstream_counts is None else upstream_counts
    )
    domains = domains_by_region or TENDARIS_DOMAINS_BY_REGION
    regions = list(domains)
    home_regions_by_client = {f"{region}-market": [region] for region in regions}
    home_regions_by_client["split-market"] = [regions[0]]
    names = ["ferry-stalls", *home_regions_by_client]
    credentials_by_client = {name: f"credential-of-{name}" for name in names}
    all_services = {
        "statusdesk": build_service(
            keyed=True, checks_grants=True, regions=regions, max_run_ms=1000
        ),
        "bookbay": build_service(keyed=True, regions=regions),
        "tilldesk": build_service(regions=regions),
    }
    services = {name: all_services[name] for name in counts}
    manifest = {
        "version": version,
        "store_region": regions[0],
        "regions": {name: {"domains": list(domains[name])} for name in regions},
        "services": services,
        "routes": [
            {"prefix": _PREFIXES_BY_SERVICE[name], "service": name, "clients": ["*"]}
            for name in services
        ],
        "clients": build_clients(credentials_by_client, home_regions_by_client),
        "upstreams": build_upstreams(services, counts, domains, base_port),
    }
    return manifest, credentials_by_client


def build_upstream_configs(manifest, **changes):
    """Return the configuration of the upstream stand-ins of a manifest.

    :param manifest: manifest as a dict.
    :param changes: fields to set in every entry, for example ``work_ms``.
    :return: content of the JSON file for ``--config`` of ``upstream.py``.
    """
    regions_by_domain = {
        domain: region
        for region, entry in manifest["regions"].items()
        for domain in entry["domains"]
    }
    entries = []
    for upstream_id, upstream in manifest["upstreams"].items():
        service = manifest["services"][upstream["service"]]
        address, port = upstream["address"].rsplit(":", 1)
        entry = {
            "id": upstream_id,
            "address": address,
            "port": int(port),
            "service": upstream["service"],
            "region": regions_by_domain[upstream["domain"]],
            "keyed": service["keyed"],
            "slots": service["slots"],
            "cold_slots": service["cold_slots"],
            "checks_grants": service["checks_grants"],
            "work_ms": 5,
            "cold_ms": 1000,
            "lag_ms": 500,
        }
        entries.append({**entry, **changes})
    return {"upstreams": entries}
