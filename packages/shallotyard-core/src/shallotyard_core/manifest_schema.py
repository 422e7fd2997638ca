"""Schema of the manifest: its fields with their types and ranges."""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated

import pydantic

MAX_SLICES = 4096


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
        raise ValueError("an IP address and a port") from None
    # The check for duplicate addresses compares strings, so each address must have
    # only one form.
    if canonical != host:
        raise ValueError(f"the IP address in its canonical form {canonical}")
    if not re.fullmatch(r"[1-9][0-9]{0,4}", port) or int(port) > 65535:
        raise ValueError("an IP address and a port from 1 to 65535")
    return value


_Id = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
_PositiveInt = Annotated[int, pydantic.Field(ge=1)]
_SliceCount = Annotated[
    int,
    pydantic.Field(ge=1, le=MAX_SLICES),
    pydantic.AfterValidator(_check_power_of_two),
]
_Address = Annotated[str, pydantic.AfterValidator(_check_address)]
_Sha256Digest = Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]
_Quota = Annotated[float, pydantic.Field(ge=0, le=1e9, allow_inf_nan=False)]
_Method = Annotated[str, pydantic.Field(pattern=r"^[A-Z]+$")]
_PathPrefix = Annotated[str, pydantic.Field(pattern=r"^/([A-Za-z0-9._~-]+/)*$")]


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", strict=True)


class RegionEntry(_StrictModel):
    """Schema of a region; see :class:`deployment.Region`."""

    domains: Annotated[list[_Id], pydantic.Field(min_length=1)]


class ServiceEntry(_StrictModel):
    """Schema of a service; see :class:`deployment.Service` for the units."""

    keyed: bool
    checks_grants: bool
    idempotent_methods: list[_Method]
    slots: _PositiveInt
    cold_slots: _PositiveInt
    connections: _PositiveInt
    slices: _SliceCount
    regions: Annotated[list[_Id], pydantic.Field(min_length=1)]
    max_run_ms: _PositiveInt
    default_deadline_ms: _PositiveInt
    max_body_bytes: Annotated[int, pydantic.Field(ge=0)]


class RouteEntry(_StrictModel):
    """Schema of a route; the client ``*`` stands for all clients."""

    prefix: _PathPrefix
    service: _Id
    clients: Annotated[list[str], pydantic.Field(min_length=1)]


class ClientEntry(_StrictModel):
    """Schema of a client account; without home regions any region may serve it.

    The router that reads the manifest accepts ``rate``, ``burst`` and ``priority``
    without any effect.

    :param rate: requests per second; 0 for no limit.
    :param burst: requests above the rate.
    :param priority: 0 is the highest.
    """

    home_regions: list[_Id] = []
    credential_sha256: _Sha256Digest
    rate: _Quota = 0.0
    burst: _Quota = 0.0
    priority: Annotated[int, pydantic.Field(ge=0)] | None = None


class UpstreamEntry(_StrictModel):
    """Schema of an upstream; see :class:`deployment.Upstream`."""

    service: _Id
    domain: _Id
    address: _Address


class Manifest(_StrictModel):
    """Schema of the manifest.

    :param writer: nonce that ``publish`` adds to the stored object. If the reply to
        its write is lost, ``publish`` recognises the write by the nonce.
    """

    version: _PositiveInt
    store_region: _Id
    regions: Annotated[dict[_Id, RegionEntry], pydantic.Field(min_length=1)]
    services: dict[_Id, ServiceEntry]
    routes: list[RouteEntry]
    clients: dict[_Id, ClientEntry]
    upstreams: dict[_Id, UpstreamEntry]
    writer: str | None = None
