"""The manifest that operators publish: its shape, its checks and its changes."""

from __future__ import annotations

import collections
import dataclasses
import ipaddress
import re
from typing import Annotated

import jsonc
import pydantic
import result

from shallotyard_core import deployment
from shallotyard_core.timing import LEASE_TTL_S
from shallotyard_core.timing import RENEWAL_PERIOD_S

# An attempt for a key must end within the lease. A lease that was renewed one
# period late still leaves this much of it.
KEYED_RUN_LIMIT_MS = round((LEASE_TTL_S - 2 * RENEWAL_PERIOD_S) * 1000)
# Witness copies of outcome records outlive the longest run by this much.
RUN_LIMIT_MS = 60_000
MAX_SLICES = 4096

_STRING = r'"(?:\\.|[^"\\\n])*"'
_COMMENT_OR_STRING = re.compile(rf"{_STRING}|//[^\n]*|/\*[\s\S]*?\*/")
_TRAILING_COMMA_OR_STRING = re.compile(rf"{_STRING}|,(?=\s*[\]}}])")


@dataclasses.dataclass(frozen=True, slots=True)
class ManifestFault:
    """One fault of a manifest.

    :param path: position, such as ``services.orders.slots`` or ``line 3 column 9``.
    :param expected: what the position must hold.
    :param found: what it holds.
    """

    path: str
    expected: str
    found: str

    def __str__(self):
        return f"{self.path}: expected {self.expected}, found {self.found}"


def _check_power_of_two(value):
    if value & (value - 1):
        raise ValueError("a power of two")
    return value


def _check_address(value):
    host, _, port = value.rpartition(":")
    try:
        if host.startswith("[") and host.endswith("]"):
            canonical = f"[{ipaddress.IPv6Address(host[1:-1])}]"
        else:
            canonical = str(ipaddress.IPv4Address(host))
    except ValueError:
        raise ValueError("an IP number and a port") from None
    # Two spellings of one address would pass the check for duplicates.
    if canonical != host:
        raise ValueError(f"the IP number spelled {canonical}")
    if not re.fullmatch(r"[1-9][0-9]{0,4}", port) or int(port) > 65535:
        raise ValueError("an IP number and a port from 1 to 65535")
    return value


_Id = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
_Positive = Annotated[int, pydantic.Field(ge=1)]
_Slices = Annotated[
    int,
    pydantic.Field(ge=1, le=MAX_SLICES),
    pydantic.AfterValidator(_check_power_of_two),
]
_Address = Annotated[str, pydantic.AfterValidator(_check_address)]
_Digest = Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]
_Method = Annotated[str, pydantic.Field(pattern=r"^[A-Z]+$")]
_Prefix = Annotated[str, pydantic.Field(pattern=r"^/([A-Za-z0-9._~-]+/)*$")]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", strict=True)


class RegionEntry(_Model):
    """Shape of a region."""

    domains: Annotated[list[_Id], pydantic.Field(min_length=1)]


class ServiceEntry(_Model):
    """Shape of a service; :class:`deployment.Service` gives the units."""

    keyed: bool
    checks_grants: bool
    idempotent_methods: list[_Method]
    slots: _Positive
    cold_slots: _Positive
    connections: _Positive
    slices: _Slices
    regions: Annotated[list[_Id], pydantic.Field(min_length=1)]
    max_run_ms: _Positive
    default_deadline_ms: _Positive
    max_body_bytes: Annotated[int, pydantic.Field(ge=0)]


class RouteEntry(_Model):
    """Shape of a route; the client ``*`` stands for all."""

    prefix: _Prefix
    service: _Id
    clients: Annotated[list[str], pydantic.Field(min_length=1)]


class ClientEntry(_Model):
    """Shape of a client account; no home regions means any region."""

    home_regions: list[_Id] = []
    credential_sha256: _Digest


class UpstreamEntry(_Model):
    """Shape of an upstream."""

    service: _Id
    domain: _Id
    address: _Address


class Manifest(_Model):
    """Shape of the manifest.

    :param writer: nonce that ``publish`` adds to the stored object, so that a
        writer whose reply was lost recognises its own write.
    """

    version: _Positive
    store_region: _Id
    regions: Annotated[dict[_Id, RegionEntry], pydantic.Field(min_length=1)]
    services: dict[_Id, ServiceEntry]
    routes: list[RouteEntry]
    clients: dict[_Id, ClientEntry]
    upstreams: dict[_Id, UpstreamEntry]
    writer: str | None = None


def parse_manifest(text):
    """Parse and check a manifest.

    :param text: JSON with comments, from an operator's file or the store.
    :return: ``Ok`` with the :class:`deployment.Deployment`, or ``Err`` with a list
        of every :class:`ManifestFault`.
    """
    decoded = _decode(text)
    if decoded.is_err():
        return decoded
    raw, faults = decoded.ok_value
    manifest = None
    try:
        manifest = Manifest.model_validate(raw)
    except pydantic.ValidationError as error:
        faults += [_fault_from_pydantic(detail) for detail in error.errors()]
    faults += _check_references(raw)
    if faults:
        return result.Err(faults)
    return result.Ok(deployment.Deployment.from_manifest(manifest))


def encode_manifest(text, writer):
    """Return the JSON text of the store object for a manifest without faults.

    :param text: JSON with comments that :func:`parse_manifest` accepted.
    :param writer: nonce of this write.
    :return: JSON without comments.
    :raises pydantic.ValidationError: if the manifest has a fault of shape.
    """
    manifest = Manifest.model_validate(jsonc.loads(text))
    return manifest.model_copy(update={"writer": writer}).model_dump_json()


def read_writer(text):
    """Return the nonce of the stored manifest, or ``None`` if it has none.

    :param text: JSON of the store object.
    """
    decoded = _decode(text)
    if decoded.is_err() or not isinstance(decoded.ok_value[0], dict):
        return None
    return _text(decoded.ok_value[0], "writer")


def check_change(old, new):
    """Return what forbids publishing one deployment after another.

    Two manifest versions can be in force at once for some seconds, so a change
    that gives a key or an upstream another place would give it two owners.

    :param old: deployment of the stored manifest.
    :param new: deployment of the manifest to publish.
    :return: a list of :class:`ManifestFault`, empty if the change is allowed.
    """
    faults = []
    if new.version <= old.version:
        faults.append(
            ManifestFault("version", f"a version above {old.version}", str(new.version))
        )
    for client_id, before, after in _common(old.clients_by_id, new.clients_by_id):
        faults += _check_unchanged_set(
            f"clients.{client_id}.home_regions", before.home_regions, after.home_regions
        )
    for service_id, before, after in _common(old.services_by_id, new.services_by_id):
        faults += _check_service_change(f"services.{service_id}", before, after)
    for upstream_id, before, after in _common(old.upstreams_by_id, new.upstreams_by_id):
        if before.region != after.region:
            faults.append(
                ManifestFault(
                    f"upstreams.{upstream_id}.domain",
                    f"a failure domain of region {before.region!r} as published",
                    f"{after.domain!r} of region {after.region!r}",
                )
            )
    return faults


def _common(before_by_id, after_by_id):
    return [
        (entry_id, before, after_by_id[entry_id])
        for entry_id, before in before_by_id.items()
        if entry_id in after_by_id
    ]


def _check_unchanged_set(path, before, after):
    if set(before) == set(after):
        return []
    return [ManifestFault(path, f"{sorted(before)} as published", str(sorted(after)))]


def _check_service_change(path, before, after):
    faults = []
    if before.keyed != after.keyed:
        faults.append(
            ManifestFault(
                f"{path}.keyed", f"{before.keyed} as published", str(after.keyed)
            )
        )
    # Unkeyed services have slices too, for requests with an Idempotency-Key.
    faults += _check_unchanged_set(f"{path}.regions", before.regions, after.regions)
    if before.slices != after.slices:
        faults.append(
            ManifestFault(
                f"{path}.slices", f"{before.slices} as published", str(after.slices)
            )
        )
    return faults


def _decode(text):
    duplicates = []

    def build_object(pairs):
        counts = collections.Counter(key for key, _ in pairs)
        duplicates.extend(key for key, count in counts.items() if count > 1)
        return dict(pairs)

    try:
        if isinstance(text, bytes):
            text = text.decode("utf-8")
        raw = jsonc.loads(_blank_comments(text), object_pairs_hook=build_object)
    except jsonc.JSONDecodeError as error:
        fault = ManifestFault(
            f"line {error.lineno} column {error.colno}",
            "JSON with comments",
            error.msg,
        )
        return result.Err([fault])
    except (ValueError, RecursionError) as error:
        return result.Err([ManifestFault("manifest", "JSON in UTF-8", str(error))])
    faults = [
        ManifestFault(key, "each field once in its object", f"{key!r} more than once")
        for key in duplicates
    ]
    return result.Ok((raw, faults))


def _blank_comments(text):
    # jsonc removes comments and trailing commas before it decodes, which shifts the
    # positions in its error messages. Blanks of the same size keep them.
    def blank(match):
        token = match.group()
        return token if token[0] == '"' else re.sub(r"[^\n]", " ", token)

    return _TRAILING_COMMA_OR_STRING.sub(blank, _COMMENT_OR_STRING.sub(blank, text))


def _fault_from_pydantic(detail):
    path = ".".join(str(part) for part in detail["loc"]) or "manifest"
    if detail["type"] == "extra_forbidden":
        return ManifestFault(path, "no such field", repr(detail["loc"][-1]))
    if detail["type"] == "missing":
        return ManifestFault(path, "a value", "nothing")
    if detail["type"] in ("model_type", "dict_type"):
        expected = "an object"
    else:
        expected = detail["msg"]
    for prefix in ("Input should be ", "Value error, ", "String should "):
        expected = expected.removeprefix(prefix)
    return ManifestFault(path, expected, _describe_input(detail))


def _describe_input(detail):
    # An operator may have put the credential itself in the place of its digest.
    if "credential_sha256" in detail["loc"]:
        return "another value"
    found = repr(detail["input"])
    return found if len(found) <= 80 else found[:77] + "..."


# The checks below read the decoded JSON and not the models, so that a manifest with
# a fault of shape still shows its faults of reference. Values of another type are
# left to the shape check.


def _entries(raw, section):
    entries = raw.get(section) if isinstance(raw, dict) else None
    if not isinstance(entries, dict):
        return {}
    return {key: entry for key, entry in entries.items() if isinstance(entry, dict)}


def _routes(raw):
    routes = raw.get("routes") if isinstance(raw, dict) else None
    if not isinstance(routes, list):
        return []
    return [
        (f"routes.{index}", route)
        for index, route in enumerate(routes)
        if isinstance(route, dict)
    ]


def _text(entry, field):
    value = entry.get(field)
    return value if isinstance(value, str) else None


def _texts(entry, field):
    values = entry.get(field)
    if not isinstance(values, list):
        return []
    return [value for value in values if isinstance(value, str)]


def _integer(entry, field):
    value = entry.get(field)
    return value if type(value) is int else None


def _check_references(raw):
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
    regions = _entries(raw, "regions")
    faults = _check_known("store_region", _text(raw, "store_region"), regions, "region")
    domains = (
        (f"regions.{region_id}.domains.{index}", domain)
        for region_id, region in regions.items()
        for index, domain in enumerate(_texts(region, "domains"))
    )
    return faults + _check_unique(domains, "failure domain")


def _check_services(raw):
    regions = _entries(raw, "regions")
    faults = []
    for service_id, service in _entries(raw, "services").items():
        path = f"services.{service_id}"
        faults += _check_list(
            f"{path}.regions", _texts(service, "regions"), regions, "region"
        )
        faults += _check_service_limits(path, service)
    return faults


def _check_service_limits(path, service):
    faults = []
    slots = _integer(service, "slots")
    cold_slots = _integer(service, "cold_slots")
    if slots is not None and cold_slots is not None and cold_slots > slots:
        faults.append(
            ManifestFault(
                f"{path}.cold_slots", f"at most slots ({slots})", str(cold_slots)
            )
        )
    max_run_ms = _integer(service, "max_run_ms")
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
    services = _entries(raw, "services")
    clients = _entries(raw, "clients")
    routes = _routes(raw)
    faults = _check_unique(
        ((f"{path}.prefix", _text(route, "prefix")) for path, route in routes), "prefix"
    )
    for path, route in routes:
        faults += _check_known(
            f"{path}.service", _text(route, "service"), services, "service"
        )
        names = _texts(route, "clients")
        if "*" not in names:
            faults += _check_list(f"{path}.clients", names, clients, "client")
        elif len(names) > 1:
            faults.append(
                ManifestFault(f"{path}.clients", "'*' alone or client ids", str(names))
            )
    return faults


def _check_clients(raw):
    regions = _entries(raw, "regions")
    clients = _entries(raw, "clients")
    faults = _check_unique(
        (
            (f"clients.{client_id}.credential_sha256", _text(c, "credential_sha256"))
            for client_id, c in clients.items()
        ),
        "credential digest",
    )
    for client_id, client in clients.items():
        faults += _check_list(
            f"clients.{client_id}.home_regions",
            _texts(client, "home_regions"),
            regions,
            "region",
        )
    return faults


def _regions_by_domain(raw):
    return {
        domain: region_id
        for region_id, region in _entries(raw, "regions").items()
        for domain in _texts(region, "domains")
    }


def _check_upstreams(raw):
    services = _entries(raw, "services")
    regions_by_domain = _regions_by_domain(raw)
    upstreams = _entries(raw, "upstreams")
    faults = _check_unique(
        (
            (f"upstreams.{upstream_id}.address", _text(upstream, "address"))
            for upstream_id, upstream in upstreams.items()
        ),
        "address",
    )
    for upstream_id, upstream in upstreams.items():
        path = f"upstreams.{upstream_id}"
        service_id = _text(upstream, "service")
        domain = _text(upstream, "domain")
        faults += _check_known(f"{path}.service", service_id, services, "service")
        faults += _check_known(
            f"{path}.domain", domain, regions_by_domain, "failure domain"
        )
        region = regions_by_domain.get(domain)
        served = _texts(services.get(service_id, {}), "regions")
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
    for service_id, service in _entries(raw, "services").items():
        if service.get("keyed") is not True:
            continue
        faults += [
            ManifestFault(
                f"services.{service_id}.regions",
                f"an upstream of keyed service {service_id!r} in each region",
                f"none in region {region!r}",
            )
            for region in _texts(service, "regions")
            if _is_uncovered(raw, service_id, region, covered)
        ]
    for client_id, client in _entries(raw, "clients").items():
        faults += _check_home_coverage(raw, client_id, client, covered)
    return faults


def _list_covered(raw):
    """Return the pairs of a service and the region of one of its upstreams."""
    regions_by_domain = _regions_by_domain(raw)
    return {
        (_text(upstream, "service"), regions_by_domain.get(_text(upstream, "domain")))
        for upstream in _entries(raw, "upstreams").values()
    }


def _is_uncovered(raw, service_id, region, covered):
    # An upstream in an unknown failure domain has a fault of its own and may be the
    # one that the region needs.
    return (
        region in _entries(raw, "regions")
        and (service_id, None) not in covered
        and (service_id, region) not in covered
    )


def _check_home_coverage(raw, client_id, client, covered):
    services = _entries(raw, "services")
    routed = {
        _text(route, "service")
        for _, route in _routes(raw)
        if not {"*", client_id}.isdisjoint(_texts(route, "clients"))
    }
    return [
        ManifestFault(
            f"clients.{client_id}.home_regions",
            f"an upstream of service {service_id!r}, which is on a route of the"
            " client, in each home region",
            f"none in region {region!r}",
        )
        for region in _texts(client, "home_regions")
        for service_id in sorted(routed & services.keys())
        if _is_uncovered(raw, service_id, region, covered)
    ]
