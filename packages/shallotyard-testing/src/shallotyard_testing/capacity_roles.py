"""Extrapolates measured unit costs to the resource use of each role.

Every instance is a member. One member of each failure domain, the reader, polls the
store for the others. In the names of rows, entry means the ingress instance and steward
the coordinator.
"""

import dataclasses
import typing

from shallotyard_testing.capacity_planning import PLAN_BY_UPSTREAM

# Assumed size of the bodies of a request and its response together, for the traffic
# between regions.
_BODY_BYTES = 200
# 4 Gbit/s in each direction between each pair of regions.
_LINK_BYTES_PER_S = 5e8
_P99_LATENCY_US = 12_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Size that the design has to support.

    The first block of fields is from design section 2. The second block is assumed:
    current deployments have 40 upstreams for 12 instances, and three services.
    """

    daemons: int = 690
    requests_per_s: float = 3.7e6
    regions: int = 3
    domains: int = 12
    changes_per_day: int = 2300
    restarts_per_day: int = 220
    failures_per_day: int = 2
    cpu_share: float = 0.023
    memory_bytes: float = 128e6
    bytes_per_s: float = 5e3

    upstreams_per_daemon: float = 40 / 12
    services: int = 3
    slices_per_service: int = 4096
    # A restart changes the list of members three times: the instance is leaving, then
    # absent, then back.
    changes_per_restart: int = 3
    # An upstream's rate or latency changes enough to be reported once in this time.
    report_period_s: float = 10.0

    @property
    def upstreams(self):
        """Number of upstreams in all regions."""
        return round(self.daemons * self.upstreams_per_daemon)

    @property
    def slices_per_region(self):
        """Number of slices in one assignment object."""
        return self.services * self.slices_per_service

    @property
    def daemons_per_domain(self):
        """Mean number of daemons in a failure domain."""
        return self.daemons / self.domains

    @property
    def daemons_per_region(self):
        """Mean number of daemons in a region."""
        return self.daemons / self.regions

    @property
    def upstreams_per_region(self):
        """Mean number of upstreams in a region."""
        return self.upstreams / self.regions

    @property
    def config_changes_per_s(self):
        """Published configurations per second."""
        return self.changes_per_day / 86_400

    @property
    def table_writes_per_s(self):
        """Writes of assignment objects per second.

        A restart or failure takes two writes: slices leave the holder and return to it.
        """
        return 2 * (self.restarts_per_day + self.failures_per_day) / 86_400


class RoleUsage(typing.NamedTuple):
    """Resource use of one role, a row of the printed table.

    :param quantity: what is measured, as printed.
    :param limit: limit in the unit of the value; 0 means no limit.
    """

    role: str
    quantity: str
    value: float
    limit: float
    unit: str


class ObjectCosts(typing.NamedTuple):
    """Bytes of each kind of object, and microseconds to decode and apply it."""

    manifest_bytes: float
    manifest_us: float
    table_bytes: float
    table_us: float

    @classmethod
    def from_slopes(cls, slopes_by_name, size):
        """Return the costs of objects at a size."""
        slices = size.slices_per_region
        decode_us = slopes_by_name["decode table"].at(slices)
        apply_us = slopes_by_name["adopt table"].at(slices)
        return cls(
            slopes_by_name["manifest bytes, by upstream"].at(size.upstreams),
            slopes_by_name["parse manifest, by upstream"].at(size.upstreams),
            slopes_by_name["object"].at(slices),
            decode_us + apply_us,
        )


def extrapolate(slopes_by_name, size, rows=()):
    """Return the resource use of each role at a size.

    :param slopes_by_name: measured `Slope` by name.
    :param size: a `Size`.
    :param rows: result of ``measure_daemons``, ordered by size.
    :return: list of `RoleUsage`.
    """
    costs = ObjectCosts.from_slopes(slopes_by_name, size)
    base_mb = rows[-1]["resident_mb"] if rows else 0.0
    return [
        *extrapolate_heartbeats(slopes_by_name, size),
        *_extrapolate_configuration_bytes(costs, size),
        *_extrapolate_stalls(slopes_by_name, costs, size),
        _extrapolate_cross_region_traffic(slopes_by_name, size),
        *_extrapolate_object_updates(costs, size),
        _extrapolate_memory(slopes_by_name, costs, size, base_mb),
        _extrapolate_planning(slopes_by_name, size),
        RoleUsage("steward", "one write", costs.table_bytes, 1e6, "B"),
        RoleUsage("operators", "one publish", costs.manifest_bytes, 1e6, "B"),
        *_extrapolate_store(size),
        *_extrapolate_recovery(slopes_by_name, costs, size),
        *_extrapolate_requests(slopes_by_name, size),
    ]


def _extrapolate_configuration_bytes(costs, size):
    bytes_per_s = costs.manifest_bytes * size.config_changes_per_s
    to_members = bytes_per_s * size.daemons_per_domain
    limit = size.bytes_per_s
    return [
        RoleUsage("any", "configuration bytes", bytes_per_s, limit, "B/s"),
        RoleUsage(
            "reader", "configuration bytes to its members", to_members, limit, "B/s"
        ),
    ]


def _extrapolate_stalls(slopes_by_name, costs, size):
    lost_us = slopes_by_name["plan, lost domain"].at(size.slices_per_region)
    stalls = [
        ("any", "parse a manifest", costs.manifest_us),
        ("any", "decode and adopt a table", costs.table_us),
        ("steward", "plan a lost domain and adopt", costs.table_us + lost_us),
    ]
    return [
        RoleUsage(
            role, f"longest stall of the loop: {cause}", used_us, _P99_LATENCY_US, "us"
        )
        for role, cause, used_us in stalls
    ]


def _extrapolate_cross_region_traffic(slopes_by_name, size):
    # Assumes that no caller has home regions: two of three keys are in another region.
    traffic_b_per_s = size.requests_per_s * (1 - 1 / size.regions)
    traffic_b_per_s *= slopes_by_name["bytes of relay and answer"].at(_BODY_BYTES)
    links = size.regions * (size.regions - 1)
    return RoleUsage(
        "regions",
        "volume on one link, 200 B bodies, no home regions",
        traffic_b_per_s / links,
        _LINK_BYTES_PER_S,
        "B/s",
    )


def _extrapolate_object_updates(costs, size):
    manifest_cpu = costs.manifest_us * size.config_changes_per_s / 1e6
    table_cpu = costs.table_us * size.table_writes_per_s / 1e6
    table_b = costs.table_bytes * size.table_writes_per_s
    return [
        RoleUsage(
            "any", "configuration processor", manifest_cpu, size.cpu_share, "core"
        ),
        RoleUsage("any", "assignment bytes", table_b, size.bytes_per_s, "B/s"),
        RoleUsage("any", "assignment processor", table_cpu, size.cpu_share, "core"),
    ]


def _extrapolate_memory(slopes_by_name, costs, size, base_mb):
    table = slopes_by_name["memory of a table"].at(size.slices_per_region)
    memory = size.regions * (table + costs.table_bytes)
    memory += slopes_by_name["memory of a manifest, by upstream"].at(size.upstreams)
    memory += costs.manifest_bytes
    memory += slopes_by_name["memory, by member"].at(size.daemons)
    return RoleUsage("any", "memory", base_mb * 1e6 + memory, size.memory_bytes, "B")


def _extrapolate_planning(slopes_by_name, size):
    # The slope was measured over the upstreams of one of two services, so that half of
    # the upstreams of a region count.
    plan_us = slopes_by_name["plan, nothing to do"].at(size.slices_per_region)
    plan_us += slopes_by_name[PLAN_BY_UPSTREAM].slope * size.upstreams_per_region / 2
    # A coordinator plans ten times a second.
    cpu = plan_us * 10 / 1e6
    return RoleUsage("steward", "planning processor", cpu, size.cpu_share, "core")


def _extrapolate_store(size):
    # The readers and three coordinators of each region poll: renewals four times a
    # second, two configuration objects and the assignments of the other regions once.
    pollers = size.domains + 3 * size.regions
    reads_per_s = pollers * 4 + pollers * (2 + size.regions - 1)
    writes_per_s = size.table_writes_per_s + size.config_changes_per_s
    return [
        RoleUsage("store", "reads", reads_per_s, 2000, "1/s"),
        RoleUsage("store", "writes", writes_per_s, 300, "1/s"),
    ]


def _extrapolate_recovery(slopes_by_name, costs, size):
    moved = slopes_by_name["slices moved"].at(size.slices_per_region)
    # The slope was measured with two failure domains. A region of this size has more,
    # so that the loss of one moves a smaller part of the slices.
    moved *= 2 * size.regions / size.domains
    sent_b = costs.table_bytes * size.daemons_per_region
    return [
        RoleUsage("recovery", "slices of a lost failure domain", moved, 0, "slices"),
        RoleUsage(
            "recovery", "bytes of the write to one region's members", sent_b, 0, "B"
        ),
    ]


def _extrapolate_requests(slopes_by_name, size):
    ingress = slopes_by_name.get("process: entry of 2")
    holder = slopes_by_name.get("process: holder of 2")
    if not (ingress and holder):
        return []
    cost_us = ingress.slope + holder.slope
    cpu = size.requests_per_s / size.daemons * cost_us / 1e6
    return [RoleUsage("entry, holder", "processor of requests", cpu, 1.0, "core")]


def extrapolate_heartbeats(slopes_by_name, size):
    """Return the rows of `extrapolate` for heartbeats.

    :param slopes_by_name: measured `Slope` by name.
    :param size: a `Size`.
    :return: list of `RoleUsage`.
    """
    member_b, reader_b = _extrapolate_heartbeat_bytes(slopes_by_name, size)
    member_us, reader_us = _extrapolate_heartbeat_us(slopes_by_name, size)
    limit_b, limit_cpu = size.bytes_per_s, size.cpu_share
    return [
        RoleUsage("member", "heartbeat bytes", member_b, limit_b, "B/s"),
        RoleUsage("member", "heartbeat processor", member_us / 1e6, limit_cpu, "core"),
        RoleUsage("reader", "heartbeat bytes", reader_b, limit_b, "B/s"),
        RoleUsage("reader", "heartbeat processor", reader_us / 1e6, limit_cpu, "core"),
    ]


def _count_exchanges(size):
    """Return the exchanges/s of a reader: with its members, and with readers.

    Coordinators count as readers.
    """
    domains_per_region = size.domains / size.regions
    # A reader exchanges heartbeats four times a second with each member, with the other
    # readers of the region in both directions and with three coordinators. It exchanges
    # them once a second with the readers of other regions, in both directions.
    member_exchanges_per_s = 4.0 * (size.daemons_per_domain - 1)
    reader_exchanges_per_s = 4.0 * (2 * (domains_per_region - 1) + 3) + 2 * (
        size.domains - domains_per_region
    )
    return member_exchanges_per_s, reader_exchanges_per_s


def _extrapolate_heartbeat_bytes(slopes_by_name, size):
    """Return the bytes/s of a member and of a reader."""
    exchange_b = {
        kind: slopes_by_name[f"heartbeat bytes of a {kind}, by member"].at(size.daemons)
        + slopes_by_name[f"reply bytes of a {kind}, by member"].at(size.daemons)
        for kind in ("member", "reader")
    }
    per_domain = size.daemons_per_domain
    lists_per_s = size.changes_per_restart / 86_400
    lists_per_s *= size.restarts_per_day + size.failures_per_day
    list_b = lists_per_s * slopes_by_name["bytes, by listed member"].at(per_domain)
    report_b = slopes_by_name["bytes, by upstream report"].slope / size.report_period_s
    region_reports_b = size.upstreams_per_region * report_b
    # A member sends its own reports and receives those of the region.
    member_b = 4.0 * exchange_b["member"] + list_b + region_reports_b
    # A reader sends changed lists to its members and the list of its own failure domain
    # to other readers. It forwards each report to all instances except its sender.
    domains_per_region = size.domains / size.regions
    member_exchanges_per_s, reader_exchanges_per_s = _count_exchanges(size)
    reader_b = member_exchanges_per_s * exchange_b["member"]
    reader_b += reader_exchanges_per_s * exchange_b["reader"]
    reader_b += list_b * (per_domain + 2)
    reader_b += region_reports_b * (per_domain + domains_per_region + 2)
    return member_b, reader_b


def _extrapolate_heartbeat_us(slopes_by_name, size):
    """Return the microseconds/s of a member and of a reader."""

    def extrapolate_slope(name):
        return slopes_by_name[name].at(size.daemons)

    member_exchanges_per_s, reader_exchanges_per_s = _count_exchanges(size)
    reader_exchange_us = extrapolate_slope("us answering of a reader, by member")
    reader_exchange_us += extrapolate_slope("us sending of a reader, by member")
    member_us = 4.0 * extrapolate_slope("us sending of a member, by member")
    reader_us = member_exchanges_per_s * extrapolate_slope(
        "us answering of a member, by member"
    )
    # A reader sends half of the heartbeats of these exchanges itself.
    reader_us += reader_exchanges_per_s / 2 * reader_exchange_us
    return member_us, reader_us
