"""Measures what each part costs per unit, and what that means at the design size.

The unit costs are slopes over sizes that differ by at least 8 to 1, mostly
measured in this process on the real codec and reducer. The table at the end
multiplies them by the size of design section 2; docs/CAPACITY.md explains it.
"""

import collections
import dataclasses
import datetime
import gc
import json
import random
import sys
import time
import tracemalloc

import orjson
import psutil
from absl import flags

from shallotyard_core.assignment import AssignmentTable
from shallotyard_core.assignment import ServiceTable
from shallotyard_core.assignment import SliceEntry
from shallotyard_core.assignment import UpstreamEntry
from shallotyard_core.assignment import decode_table
from shallotyard_core.assignment import encode_table
from shallotyard_core.assignment import slice_claim
from shallotyard_core.domain_views import DomainView
from shallotyard_core.domain_views import digest_members
from shallotyard_core.effects import ReplyPeer
from shallotyard_core.events import AttemptFinished
from shallotyard_core.events import AttemptKind
from shallotyard_core.events import CallerRequest
from shallotyard_core.events import PeerMessage
from shallotyard_core.events import PeerReplied
from shallotyard_core.events import RequestArrived
from shallotyard_core.events import UpstreamPolled
from shallotyard_core.lease import LeaseBook
from shallotyard_core.links import UpstreamLink
from shallotyard_core.manifest import parse_manifest
from shallotyard_core.messages import Heartbeat
from shallotyard_core.messages import HeartbeatReply
from shallotyard_core.messages import MemberAge
from shallotyard_core.messages import RelayAnswer
from shallotyard_core.messages import UpstreamReport
from shallotyard_core.planner import PlanningPauses
from shallotyard_core.planner import PlanningView
from shallotyard_core.planner import plan_changes
from shallotyard_core.reducer import Router
from shallotyard_core.reducer import reduce
from shallotyard_core.settings import Settings
from shallotyard_core.verdict import Verdict
from shallotyard_daemon import peer_pb2
from shallotyard_daemon.codec import decode_message
from shallotyard_daemon.codec import encode_envelope
from shallotyard_daemon.deflate import Deflater
from shallotyard_daemon.deflate import Inflater
from shallotyard_testing.bench import read_cpu_s
from shallotyard_testing.bench import run_load_process
from shallotyard_testing.builders import tendaris_manifest
from shallotyard_testing.cluster import Cluster
from shallotyard_testing.processes import ProcessGroup
from shallotyard_testing.processes import find_free_ports
from shallotyard_testing.utils import parse_flags

_FLAGS = flags.FlagValues()
flags.DEFINE_list(
    "daemons", ["2", "4", "8", "16"], "sizes of real deployments", flag_values=_FLAGS
)
flags.DEFINE_bool(
    "heartbeats_only", False, "measure heartbeats and nothing else", flag_values=_FLAGS
)
flags.DEFINE_float("idle_s", 4.0, "observation of each", flag_values=_FLAGS)

_REPEATS = 5
_MIN_MEASURED_S = 0.02
_PLAN_STEP_S = 0.5
_PLAN_BY_UPSTREAM = "plan of 2048 slices, nothing to do"
# Body of a request and of its answer, assumed for the volume between regions.
_BODY_BYTES = 200
# 4 Gbit/s each way between each pair of regions.
_LINK_BYTES_PER_S = 5e8
_P99_US = 12_000.0
_REGION = "dalmacija"
_REGIONS = ("dalmacija", "slavonija", "istra")


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """The size to design for, and the assumptions beside it.

    The first block is design section 2. The second block is assumed: today's
    deployments have 40 upstreams for 12 instances and three services; the
    number of client accounts is not given.
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
    clients: int = 1000
    # A restart changes the alive set three times: leaving, gone, back.
    changes_per_restart: int = 3
    # Each upstream's rate or latency changes noticeably once in this time.
    report_period_s: float = 10.0

    @property
    def upstreams(self):
        """Number of upstreams of all regions."""
        return round(self.daemons * self.upstreams_per_daemon)

    @property
    def slices_per_region(self):
        """Number of slices in one assignment object."""
        return self.services * self.slices_per_service


@dataclasses.dataclass(slots=True)
class Slope:
    """A quantity as a linear function of a size.

    :param unit: unit of the quantity, per unit of the size.
    :param points: measured (size, quantity) pairs.
    """

    name: str
    unit: str
    points: list
    slope: float
    intercept: float

    def at(self, size):
        """Return the value that the line gives for a size."""
        return self.intercept + self.slope * size


def fit_line(points):
    """Return slope and intercept of the least-squares line.

    :param points: (size, quantity) pairs with at least two sizes.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return slope, mean_y - slope * mean_x


def measure_us(function, *arguments):
    """Return the processor time of one call in microseconds, best of several.

    The best of the series is least disturbed by other processes.
    """
    best = float("inf")
    for _ in range(_REPEATS):
        calls, start, used = 0, time.process_time(), 0.0
        while used < _MIN_MEASURED_S:
            function(*arguments)
            calls += 1
            used = time.process_time() - start
        best = min(best, used / calls)
    return best * 1e6


def measure_memory(build):
    """Return the bytes that what ``build`` returns keeps allocated."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size


def _line(name, unit, points):
    return Slope(name, unit, points, *fit_line(points))


# Builders


def _build_manifest(upstreams, slices=64):
    domains = {_REGION: ("d1", "d2"), "slavonija": ("s1", "s2"), "istra": ("i1", "i2")}
    counts = {"statusdesk": upstreams // 2, "tilldesk": upstreams - upstreams // 2}
    # The ports only have to be valid; nothing listens on them.
    manifest, credentials = tendaris_manifest(counts, domains, 10_000)
    for service in manifest["services"].values():
        service["slices"] = slices
    return manifest, credentials


def build_table(region, slices, upstream_ids, holders, services=("statusdesk",)):
    """Return an assignment table that spreads slices and upstreams evenly.

    :param holders: incarnation by instance id.
    """
    names = list(holders)
    entries = {
        name: UpstreamEntry(
            names[number % len(names)], holders[names[number % len(names)]], 1
        )
        for number, name in enumerate(upstream_ids)
    }
    tables = {
        service: ServiceTable(
            [
                SliceEntry(
                    slice_claim(service, number),
                    upstream_ids[number % len(upstream_ids)],
                    1,
                    # Moved slices name the previous holder; the largest form.
                    names[(number + 1) % len(names)],
                )
                for number in range(slices)
            ]
        )
        for service in services
    }
    return AssignmentTable(region, 1, dict(list(holders.items())[:3]), entries, tables)


def build_members(count):
    """Return ages of as many members as given."""
    return [
        MemberAge(
            f"dalmacija-d1-{number:03}",
            f"{number:016x}",
            f"d{number % 12}",
            f"10.0.{number // 250}.{number % 250}:7000",
            False,
            0.123456789,
        )
        for number in range(count)
    ]


def build_reports(count):
    """Return reports of as many upstreams as given."""
    return [
        UpstreamReport(
            f"statusdesk-{number:04}", "serving", 2, 4, 0.0123456789, 123.456789, 0.1
        )
        for number in range(count)
    ]


def _build_router(holders):
    """Return a router that serves, with the manifest and table in force."""
    manifest, credentials = _build_manifest(24)
    settings = Settings(
        "r1", "d1", "127.0.0.1:1", "127.0.0.1:2", "http://s", "http://l"
    )
    router = Router.from_settings(settings, "i1", 0.0, 1)
    out = []
    router.control.take_object("manifest", json.dumps(manifest), 0.0, out)
    deployment = router.control.deployment
    by_service = deployment.upstreams_by_service
    ids = [
        upstream.id
        for upstreams in by_service.values()
        for upstream in upstreams
        if upstream.region == _REGION
    ]
    table = build_table(_REGION, 64, ids, holders, ("tilldesk",))
    name = f"assignments/{_REGION}"
    router.control.take_object(name, encode_table(table).decode(), 0.0, out)
    router.membership.hear(MemberAge("r2", "i2", "d1", "127.0.0.1:4", False, 0.0), 0.0)
    router.control.proofs.from_store(1, 0.5)
    for claim in router.leases.claims_by_id.values():
        claim.started = True
    for upstream_id in list(router.holder.links_by_id):
        event = UpstreamPolled(
            0.5, upstream_id, 0.5, True, False, "boot", 1000.0, "serving", True, {}, ()
        )
        reduce(router, event)
    for link in router.holder.links_by_id.values():
        link.admission.limit = link.admission.slots
    return router, credentials["ferry-stalls"]


def _arrive(router, credential, number, body):
    headers = {
        "authorization": f"Bearer {credential}",
        "host": "caller",
        "user-agent": "caller",
        "accept": "*/*",
    }
    request = CallerRequest(f"r-{number}", "GET", "/till/item?n=1", headers, body)
    return reduce(router, RequestArrived(0.6, request))


def _find(effects, kind):
    return next(each for each in effects if type(each).__name__ == kind)


# Request legs


def measure_legs():
    """Return the slopes of the reducer and codec on each leg, over body sizes.

    The libraries' own work (tornado, libcurl, grpc) is not in these figures;
    ``make bench-proxy`` has the whole process.
    """
    legs = {
        "entry and holder in one": _measure_local,
        "entry, relayed": _measure_relay_out,
        "holder, relayed": _measure_relay_in,
    }
    slopes = []
    for name, measure in legs.items():
        points = [(size, measure(size)) for size in (200, 1600, 12_800)]
        slopes.append(_line(f"leg: {name}", "us/body byte", points))
    points = [(size, _relay_bytes(size)) for size in (200, 1600, 12_800)]
    slopes.append(_line("bytes of relay and answer", "B/body byte", points))
    return slopes


def _measure_local(size):
    router, credential = _build_router({"r1": "i1"})
    body = b"x" * size
    state = {"number": 0}

    def run():
        state["number"] += 1
        sent = _find(_arrive(router, credential, state["number"], b""), "SendAttempt")
        finished = AttemptFinished(
            0.6,
            sent.call_id,
            AttemptKind.ANSWERED,
            status=200,
            headers={"Content-Type": "application/json"},
            body=body,
            boot_id="boot",
            verdict=Verdict.RAN,
        )
        _find(reduce(router, finished), "Respond")

    return measure_us(run)


def _measure_relay_out(size):
    router, credential = _build_router({"r2": "i2"})
    body = b"x" * size
    state = {"number": 0}

    def run():
        state["number"] += 1
        sent = _find(_arrive(router, credential, state["number"], b""), "SendPeer")
        encode_envelope(sent.message, 1, 0, "r1").SerializeToString()
        answer = RelayAnswer(
            sent.message.call_id, Verdict.RAN, "answered", 200, {"A": "b"}, body
        )
        envelope = encode_envelope(answer, 0, 1, "r2")
        message = decode_message(envelope)
        event = PeerReplied(0.6, "r2", sent.token, 0.6, message)
        _find(reduce(router, event), "Respond")

    return measure_us(run)


def _measure_relay_in(size):
    sender, credential = _build_router({"r2": "i2"})
    relay = _find(_arrive(sender, credential, 1, b""), "SendPeer").message
    router, _ = _build_router({"r1": "i1"})
    envelope = encode_envelope(relay, 1, 0, "r2")
    body = b"x" * size
    state = {"number": 0}

    def run():
        state["number"] += 1
        message = decode_message(envelope)
        message.call_id = f"c-{state['number']}"
        effects = reduce(router, PeerMessage(0.6, "r2", message, ("o", 1)))
        sent = _find(effects, "SendAttempt")
        finished = AttemptFinished(
            0.6,
            sent.call_id,
            AttemptKind.ANSWERED,
            status=200,
            body=body,
            boot_id="boot",
            verdict=Verdict.RAN,
        )
        reply = _find(reduce(router, finished), "ReplyPeer")
        encode_envelope(reply.message, 0, 1, "r1").SerializeToString()

    return measure_us(run)


def _relay_bytes(size):
    router, credential = _build_router({"r2": "i2"})
    relay = _find(_arrive(router, credential, 1, b"x" * size), "SendPeer").message
    answer = RelayAnswer(
        relay.call_id,
        Verdict.RAN,
        "answered",
        200,
        {"Content-Type": "application/json"},
        b"x" * size,
    )
    return sum(
        len(encode_envelope(each, 1, 0, "r1").SerializeToString())
        for each in (relay, answer)
    )


# Slices


def measure_slices():
    """Return the slopes over the number of slices in one assignment object."""
    sizes = (1536, 6144, 12_288)
    points = {}
    holders = {f"dalmacija-d1-{n:03}": f"{n:016x}" for n in range(230)}
    own = next(iter(holders))
    ids = [f"statusdesk-{n:04}" for n in range(767)]
    for size in sizes:
        table = build_table(_REGION, size, ids, holders)
        body = encode_table(table)
        grants = {slice_claim("statusdesk", n): 1 for n in range(0, size, len(ids))}
        book = LeaseBook(own, holders[own])
        book.adopt(table, 0.0)
        quantities = {
            ("encode table", "us"): measure_us(encode_table, table),
            ("decode table", "us"): measure_us(decode_table, _REGION, body),
            ("adopt table", "us"): measure_us(book.adopt, table, 0.0),
            ("object", "B"): len(body),
            ("memory of a table", "B"): measure_memory(
                lambda b=body: decode_table(_REGION, b)
            ),
            ("grant message", "B"): len(orjson.dumps(grants)),
        }
        for key, value in quantities.items():
            points.setdefault(key, []).append((size, value))
    return [_line(name, f"{unit}/slice", each) for (name, unit), each in points.items()]


def measure_plan():
    """Return the slope of planning over slices, without and with a lost domain."""
    slopes = {}
    for size in (512, 1024, 2048, 4096):
        manifest, _ = _build_manifest(96, size)
        deployment = parse_manifest(json.dumps(manifest)).unwrap()
        holders = {f"r{n:03}": "i" for n in range(24)}
        domains = {name: f"d{1 + n % 2}" for n, name in enumerate(holders)}
        view = PlanningView(holders, domains)
        empty = AssignmentTable(_REGION)
        table = plan_changes(empty, deployment, view, PlanningPauses(), 0.0).table
        lost = {name: i for name, i in holders.items() if domains[name] != "d1"}
        after = PlanningView(
            lost,
            {name: domains[name] for name in lost},
            lost_domains=frozenset({"d1"}),
        )
        for name, each in (("plan, nothing to do", view), ("plan, lost domain", after)):
            used = measure_us(
                lambda v=each, t=table, d=deployment: plan_changes(
                    t, d, v, PlanningPauses(), 0.0
                )
            )
            slopes.setdefault(name, []).append((2 * size, used))
        moved = plan_changes(table, deployment, after, PlanningPauses(), 0.0)
        slopes.setdefault("slices moved", []).append((2 * size, len(moved.raised)))
    return [
        _line(name, "slices/slice" if name == "slices moved" else "us/slice", points)
        for name, points in slopes.items()
    ]


def measure_plan_upstreams(slices=1024):
    """Return the slope of planning over the upstreams of a fixed set of slices."""
    points = []
    for size in (48, 192, 768):
        manifest, _ = _build_manifest(size, slices)
        deployment = parse_manifest(json.dumps(manifest)).unwrap()
        holders = {f"r{n:03}": "i" for n in range(24)}
        domains = {name: f"d{1 + n % 2}" for n, name in enumerate(holders)}
        view = PlanningView(holders, domains)
        empty = AssignmentTable(_REGION)
        table = plan_changes(empty, deployment, view, PlanningPauses(), 0.0).table
        used = measure_us(
            lambda t=table, d=deployment, v=view: plan_changes(
                t, d, v, PlanningPauses(), 0.0
            )
        )
        # Three regions, two services: a sixth of the upstreams for each.
        points.append((size // 6, used))
    return [_line(_PLAN_BY_UPSTREAM, "us/upstream", points)]


def measure_hot_keys(keys=45, upstreams=576, slices=256):
    """Return how long the planner takes to follow a new set of hot keys.

    All keys are in one region, and each has ten times the other load of an
    upstream. The reports follow the table at once; the seconds are those of the
    planner's own pauses.

    :return: dict with seconds and writes until the first set has its slices,
        and until the second set has replaced it.
    """
    manifest, _ = _build_manifest(upstreams, slices)
    deployment = parse_manifest(json.dumps(manifest)).unwrap()
    ids = [
        upstream.id
        for upstream in deployment.upstreams_by_service["statusdesk"]
        if upstream.region == _REGION
    ]
    view = PlanningView({"r1": "i", "r2": "i"}, {"r1": "d1", "r2": "d2"})
    pauses = PlanningPauses()
    table, now = AssignmentTable(_REGION), 0.0
    result = {}
    for name, offset in (("first set", 0), ("next set", 40_000)):
        hot = {offset + 37 * number: 1000.0 for number in range(keys)}
        started_at, writes, settled_at = now, 0, now
        while now - settled_at < 5.0:
            now += _PLAN_STEP_S
            view.reports_by_upstream = _report_hot(table, ids, hot)
            plan = plan_changes(table, deployment, view, pauses, now)
            if plan.changed:
                table = plan.table
                table.revision += 1
                writes += 1
                settled_at = now
        split = set(table.services_by_id["statusdesk"].hot)
        result[f"{name}: s"] = settled_at - started_at
        result[f"{name}: writes"] = writes
        result[f"{name}: share of keys"] = len(split & set(hot)) / keys
    return result


def _report_hot(table, ids, hot):
    service = table.services_by_id.get("statusdesk")
    if service is None:
        return {}
    rates = {name: {} for name in ids}
    for position, rate in hot.items():
        rates[service.lookup(position << 48).owner][position] = rate
    return {
        name: UpstreamReport(
            name,
            "serving",
            1,
            4,
            0.01,
            100.0 + sum(each.values()),
            0.0,
            {"statusdesk": each},
        )
        for name, each in rates.items()
    }


# Upstreams, members and configuration


def measure_members():
    """Return the slopes of a heartbeat and its reply over members and upstreams."""
    slopes = []
    points = {}
    for size in (80, 320, 690):
        for name, value in measure_exchanges(size).items():
            points.setdefault(name, []).append((size, value))
        points.setdefault("memory", []).append(
            (size, measure_memory(lambda n=size: build_members(n)))
        )
    slopes += _name_slopes(points, "member")
    own = build_members(1)[0]
    points = {}
    for size in (8, 24, 58):
        message = Heartbeat(own, {}, build_members(size), listed=["d0"])
        _measure_heartbeat(points, size, message)
    slopes += _name_slopes(points, "listed member")
    points = {}
    for size in (4, 16, 64):
        reply = HeartbeatReply(own, {"manifest": 7}, [], [], build_reports(size))
        _measure_heartbeat(points, size, reply)
        points["bytes"][-1] = (size, _measure_report_bytes(own, size))
    slopes += _name_slopes(points, "upstream report")
    points = {}
    manifest, _ = _build_manifest(96)
    deployment = parse_manifest(json.dumps(manifest)).unwrap()
    upstream = next(iter(deployment.upstreams_by_id.values()))
    service = deployment.services_by_id[upstream.service]
    for size in (16, 64, 256):
        build = [(upstream, service)] * size
        points.setdefault("memory of links", []).append(
            (
                size,
                measure_memory(
                    lambda b=build: [UpstreamLink.from_config(*e, 0.0) for e in b]
                ),
            )
        )
    return slopes + _name_slopes(points, "held upstream")


def _measure_report_bytes(own, count, rounds=40):
    """Return the mean bytes on a stream of replies with some changed reports."""
    link = _Link()
    reports = build_reports(767)
    for number in range(rounds):
        changed = random.sample(reports, count)
        for report in changed:
            report.latency_s *= random.uniform(0.7, 1.4)
            report.rate *= random.uniform(0.7, 1.4)
            report.in_flight = random.randint(0, 4)
            report.age_s = random.uniform(0.0, 0.5)
        reply = HeartbeatReply(own, {"manifest": 7}, [], [], changed)
        link.decode(link.encode(reply, 0, 1000 + number, own.instance_id))
    return link.written / rounds


def _name_slopes(points, per):
    return [
        _line(
            f"{name}, by {per}",
            "B" if "memory" in name or "bytes" in name else "us",
            each,
        )
        for name, each in points.items()
    ]


def _measure_heartbeat(points, size, message):
    envelope = encode_envelope(message, 1, 0, "r1")
    encoded = measure_us(
        lambda: encode_envelope(message, 1, 0, "r1").SerializeToString()
    )
    points.setdefault("bytes", []).append((size, envelope.ByteSize()))
    points.setdefault("encode", []).append((size, encoded))
    points.setdefault("decode", []).append((size, measure_us(decode_message, envelope)))


def measure_exchanges(count):
    """Return what a settled heartbeat and its reply cost both sides.

    Nothing changes between the heartbeats. The reader of a failure domain
    answers one of its members, and the reader of another failure domain.

    :param count: number of members in 12 failure domains.
    """
    members = build_members(count)
    reader = _build_settled(members, 0)
    result = {}
    for kind, number in (("member", 12), ("reader", 1)):
        found = _observe_exchanges(_build_settled(members, number), reader)
        result.update({f"{name} of a {kind}": each for name, each in found.items()})
    return result


def _build_settled(members, number):
    """Return the router of one of the members, which knows them all."""
    own = members[number]
    settings = Settings(
        own.instance_id, own.domain, "127.0.0.1:2", own.address, "http://s", "http://l"
    )
    router = Router.from_settings(settings, own.incarnation, 0.0, 1)
    names = ("manifest", "service-state", *(f"assignments/{r}" for r in _REGIONS))
    for name in names:
        router.control.cache.put(name, 1234, "")
    router.control.table = AssignmentTable(_REGION, 1234)
    router.control.proofs.from_store(1234, 0.0)
    for domain in {member.domain for member in members}:
        listed = [
            dataclasses.replace(member, age_s=0.0)
            for member in members
            if member.domain == domain
        ]
        view = DomainView(digest_members(listed), 0.0, listed)
        router.control.views.views_by_domain[domain] = view
        for member in listed:
            router.membership.hear_directly(member, 0.0)
    router.membership.target_readers(0.0)
    return router


def _renew(router, now):
    """Let a reader know everything as of now."""
    for member in router.membership.members_by_id.values():
        member.heard_at = member.direct_at = now
    router.control.proofs.from_store(1234, now - random.uniform(0.0, 0.25))
    for view in router.control.views.views_by_domain.values():
        view.known_at = max(view.known_at, now - random.uniform(0.0, 0.25))


def _observe_exchanges(sender, reader, rounds=40):
    best = {"us sending": float("inf"), "us answering": float("inf")}
    now = reader.now
    to_reader, to_sender = _Link(), _Link()
    for _ in range(_REPEATS):
        used = dict.fromkeys(best, 0.0)
        # The first heartbeats carry whole lists; only the last series counts.
        to_reader.written = to_sender.written = 0
        for _ in range(rounds):
            now += 0.25
            _renew(reader, now)
            sent, envelope, began = _send_heartbeat(sender, reader, now, to_reader)
            used["us sending"] += began
            start = time.process_time()
            message = to_reader.decode(envelope)
            replies = reduce(
                reader, PeerMessage(now, sender.own.instance_id, message, 1)
            )
            reply = next(e for e in replies if isinstance(e, ReplyPeer))
            answer = to_sender.encode(reply.message, 0, 1000, reader.own.instance_id)
            middle = time.process_time()
            message = to_sender.decode(answer)
            name = reader.own.instance_id
            reduce(sender, PeerReplied(now, name, sent.token, now, message))
            used["us answering"] += middle - start
            used["us sending"] += time.process_time() - middle
        for name, total in used.items():
            best[name] = min(best[name], total / rounds * 1e6)
    sizes = {
        "heartbeat bytes": to_reader.written / rounds,
        "reply bytes": to_sender.written / rounds,
    }
    return {**best, **sizes}


class _Link:
    """One direction of a stream, as the daemon's peers write and read it."""

    def __init__(self):
        self.written = 0
        self._deflater = Deflater()
        self._inflater = Inflater()

    def encode(self, message, envelope_id, reply_to, sender):
        envelope = encode_envelope(message, envelope_id, reply_to, sender)
        self._deflater.deflate(envelope)
        data = peer_pb2.Frame(envelopes=[envelope]).SerializeToString()
        self.written += len(data)
        return data

    def decode(self, data):
        (envelope,) = peer_pb2.Frame.FromString(data).envelopes
        self._inflater.inflate(envelope)
        return decode_message(envelope)


def _send_heartbeat(sender, reader, now, link):
    """Return the effect, its envelope on the wire, and the seconds that it took."""
    if sender.own.domain != reader.own.domain:
        _renew(sender, now)
    start = time.process_time()
    out = []
    sender.membership.target_readers(now)
    name = reader.own.instance_id
    sender.control._send_heartbeat(name, reader.own.address, [], now, out)
    envelope = link.encode(out[0].message, 1000, 0, sender.own.instance_id)
    return out[0], envelope, time.process_time() - start


def measure_configuration():
    """Return the slopes of the manifest over the number of upstreams."""
    points = {}
    for size in (96, 384, 1536):
        manifest, _ = _build_manifest(size)
        text = json.dumps(manifest, separators=(",", ":"))
        points.setdefault("parse manifest", []).append(
            (size, measure_us(parse_manifest, text))
        )
        points.setdefault("manifest bytes", []).append((size, len(text)))
        points.setdefault("memory of a manifest", []).append(
            (size, measure_memory(lambda t=text: parse_manifest(t).unwrap()))
        )
    return _name_slopes_of_configuration(points, "upstream")


def _name_slopes_of_configuration(points, per):
    return [
        _line(f"{name}, by {per}", "us" if "parse" in name else "B", each)
        for name, each in points.items()
    ]


# Real daemons


def measure_daemons(counts, domains=2):
    """Return what idle deployments of several sizes use, per daemon.

    :param counts: numbers of daemons.
    :return: dicts with store calls/s, processor share and resident bytes.
    """
    rows = []
    for count in counts:
        with ProcessGroup() as group:
            rows.append(_observe_deployment(group, count, domains))
    return rows


def _observe_deployment(group, count, domains):
    names = tuple(f"d{number}" for number in range(1, domains + 1))
    manifest, credentials = tendaris_manifest(
        {"statusdesk": 12, "tilldesk": 12}, {_REGION: names}, find_free_ports(24)
    )
    cluster = Cluster(manifest, credentials, group)
    cluster.start_platform()
    cluster.publish()
    for number in range(count):
        cluster.start_daemon(f"r{number:02}", names[number % domains])
    cluster.wait_ready(60.0)
    time.sleep(2.0)
    before = _read_use(group, cluster)
    start = time.monotonic()
    time.sleep(_FLAGS.idle_s)
    after = _read_use(group, cluster)
    elapsed = time.monotonic() - start
    return {
        "daemons": count,
        "domains": domains,
        "store_reads_per_s": (after["reads"] - before["reads"]) / elapsed,
        "store_writes_per_s": (after["writes"] - before["writes"]) / elapsed,
        "cpu_share": (after["cpu"] - before["cpu"]) / elapsed / count,
        "cpu_share_most": max(
            (after["cpus"][name] - before["cpus"][name]) / elapsed
            for name in after["cpus"]
        ),
        "resident_mb": after["resident"] / count / 1e6,
    }


def _read_use(group, cluster):
    reports = [cluster.status(name) for name in cluster.daemons_by_id]
    children = {name: group.children_by_name[name] for name in cluster.daemons_by_id}
    cpus = {name: read_cpu_s(child) for name, child in children.items()}
    return {
        "reads": sum(each["store"]["reads"] for each in reports),
        "writes": sum(each["store"]["writes"] for each in reports),
        "cpus": cpus,
        "cpu": sum(cpus.values()),
        "resident": sum(
            psutil.Process(child.pid).memory_info().rss for child in children.values()
        ),
    }


def measure_processes(rates=(40, 120, 320), duration_s=4.0):
    """Return the processor time of real daemons over the rate of requests.

    All callers connect to the first of two daemons, which holds half of the
    upstreams; the second one serves what is relayed to it. A third daemon
    alone, in a deployment of its own, serves everything without a relay.
    """
    points = {}
    for count in (1, 2):
        with ProcessGroup() as group:
            cluster = _start_small(group, count)
            for rate in rates:
                for name, value in _observe_load(group, cluster, rate, duration_s):
                    points.setdefault(f"{name} of {count}", []).append(value)
    return [_line(name, "us/request", each) for name, each in points.items()]


def _start_small(group, count):
    manifest, credentials = tendaris_manifest(
        {"tilldesk": 8}, {_REGION: ("d1",)}, find_free_ports(8)
    )
    cluster = Cluster(manifest, credentials, group)
    cluster.start_platform(work_ms=1, cold_ms=0)
    cluster.publish()
    for number in range(count):
        cluster.start_daemon(f"r{number}", "d1")
    cluster.wait_ready()
    time.sleep(3.0)
    return cluster


def _observe_load(group, cluster, rate, duration_s):
    children = {name: group.children_by_name[name] for name in cluster.daemons_by_id}
    before = {name: read_cpu_s(child) for name, child in children.items()}
    report = run_load_process(
        group,
        "r0",
        addresses=cluster.daemons_by_id["r0"].http_address,
        credential=cluster.credentials["ferry-stalls"],
        duration_s=duration_s,
        rate=rate,
        keyed_share=0.0,
        write_share=0.0,
    )
    if report["succeeded"] < report["requests"]:
        raise RuntimeError(f"requests failed: {report['statuses']}")
    executions = report["executions_by_path"]["/till/item"]
    for name, child in children.items():
        held = cluster.status(name)["upstreams"]
        served = sum(executions.get(upstream_id, 0) for upstream_id in held)
        used_us = (read_cpu_s(child) - before[name]) / report["duration_s"] * 1e6
        share = 1.0 if name == "r0" else served / report["requests"]
        role = "entry" if name == "r0" else "holder"
        yield f"process: {role}", (report["requests_per_s"] * share, used_us)
        most = _count_connections(child, cluster.manifest)
        yield "connections to one upstream", (report["requests_per_s"], most)


def _count_connections(child, manifest):
    """Return the largest number of connections to one upstream."""
    addresses = {each["address"] for each in manifest["upstreams"].values()}
    counts = collections.Counter(
        f"{connection.raddr.ip}:{connection.raddr.port}"
        for connection in psutil.Process(child.pid).net_connections("tcp")
        if connection.raddr and connection.status == psutil.CONN_ESTABLISHED
    )
    return max((counts[address] for address in addresses), default=0)


# Extrapolation


def extrapolate(slopes_by_name, size, rows=()):
    """Return what the roles use at the design size.

    :param slopes_by_name: measured `Slope` by name.
    :param size: a `Size`.
    :param rows: what ``measure_daemons`` returned.
    :return: (role, quantity, value, limit, unit) tuples; a limit of 0 is none.
    """

    def at(name, count):
        return slopes_by_name[name].at(count)

    per_domain = size.daemons / size.domains
    per_region = size.daemons / size.regions
    upstreams_per_region = size.upstreams / size.regions
    heartbeats = extrapolate_heartbeats(slopes_by_name, size)
    slices = size.slices_per_region
    table_b = at("object", slices)
    table_us = at("decode table", slices) + at("adopt table", slices)
    manifest_b = at("manifest bytes, by upstream", size.upstreams)
    manifest_us = at("parse manifest, by upstream", size.upstreams)
    changes_per_s = size.changes_per_day / 86_400
    # A restart takes holders away and gives them back, which is two writes.
    writes_per_s = 2 * (size.restarts_per_day + size.failures_per_day) / 86_400
    tables_b = table_b * writes_per_s
    memory = size.regions * at("memory of a table", slices)
    memory += size.regions * table_b
    memory += at("memory of a manifest, by upstream", size.upstreams) + manifest_b
    memory += at("memory, by member", size.daemons)
    base_mb = rows[-1]["resident_mb"] if rows else 0.0
    # The points of the second line have two services and no other cost.
    plan_us = at("plan, nothing to do", slices)
    plan_us += slopes_by_name[_PLAN_BY_UPSTREAM].slope * upstreams_per_region / 2
    stall_us = table_us + at("plan, lost domain", slices)
    # All callers without home regions; two of three keys are in another region.
    crossing_b = size.requests_per_s * (1 - 1 / size.regions)
    crossing_b *= at("bytes of relay and answer", _BODY_BYTES)
    links = size.regions * (size.regions - 1)
    moved = at("slices moved", slices) * 2 * size.regions / size.domains
    result = [
        *heartbeats,
        (
            "any",
            "configuration bytes",
            manifest_b * changes_per_s,
            size.bytes_per_s,
            "B/s",
        ),
        (
            "reader",
            "configuration bytes to its members",
            manifest_b * changes_per_s * per_domain,
            size.bytes_per_s,
            "B/s",
        ),
        (
            "any",
            "longest stall of the loop: parse a manifest",
            manifest_us,
            _P99_US,
            "us",
        ),
        (
            "any",
            "longest stall of the loop: decode and adopt a table",
            table_us,
            _P99_US,
            "us",
        ),
        (
            "steward",
            "longest stall of the loop: plan a lost domain and adopt",
            stall_us,
            _P99_US,
            "us",
        ),
        (
            "regions",
            "volume on one link, 200 B bodies, no home regions",
            crossing_b / links,
            _LINK_BYTES_PER_S,
            "B/s",
        ),
        (
            "any",
            "configuration processor",
            manifest_us * changes_per_s / 1e6,
            size.cpu_share,
            "core",
        ),
        ("any", "assignment bytes", tables_b, size.bytes_per_s, "B/s"),
        (
            "any",
            "assignment processor",
            table_us * writes_per_s / 1e6,
            size.cpu_share,
            "core",
        ),
        ("any", "memory", base_mb * 1e6 + memory, size.memory_bytes, "B"),
        ("steward", "planning processor", plan_us * 10 / 1e6, size.cpu_share, "core"),
        ("steward", "one write", table_b, 1e6, "B"),
        ("operators", "one publish", manifest_b, 1e6, "B"),
        (
            "store",
            "reads",
            (size.domains + 3 * size.regions) * 4
            + (size.domains + 3 * size.regions) * (2 + size.regions - 1),
            2000,
            "1/s",
        ),
        ("store", "writes", writes_per_s + changes_per_s, 300, "1/s"),
        ("recovery", "slices of a lost failure domain", moved, 0, "slices"),
        (
            "recovery",
            "bytes of the write to one region's members",
            table_b * per_region,
            0,
            "B",
        ),
    ]
    entry = slopes_by_name.get("process: entry of 2")
    holder = slopes_by_name.get("process: holder of 2")
    if entry and holder:
        cost_us = entry.slope + holder.slope
        used = size.requests_per_s / size.daemons * cost_us / 1e6
        result.append(("entry, holder", "processor of requests", used, 1.0, "core"))
    return result


def extrapolate_heartbeats(slopes_by_name, size):
    """Return the rows of heartbeats of `extrapolate`; arguments as there."""

    def at(name, count=size.daemons):
        return slopes_by_name[name].at(count)

    per_domain = size.daemons / size.domains
    near = size.domains / size.regions
    # Members, readers of the region in both directions, three stewards; readers
    # of other regions, in both directions, once a second.
    answered_per_s = 4.0 * (per_domain - 1)
    between_per_s = 4.0 * (2 * (near - 1) + 3) + 2 * (size.domains - near)
    sizes = {
        kind: at(f"heartbeat bytes of a {kind}, by member")
        + at(f"reply bytes of a {kind}, by member")
        for kind in ("member", "reader")
    }
    lists_per_s = size.changes_per_restart / 86_400
    lists_per_s *= size.restarts_per_day + size.failures_per_day
    list_b = lists_per_s * at("bytes, by listed member", per_domain)
    report_b = slopes_by_name["bytes, by upstream report"].slope / size.report_period_s
    region_reports = size.upstreams / size.regions
    # A member sends its own reports and gets those of the region.
    member_b = 4.0 * sizes["member"] + list_b + region_reports * report_b
    # A reader lists to its members what changed, and to other readers its own
    # failure domain; it passes on the reports that those have not sent to it.
    reader_b = answered_per_s * sizes["member"] + between_per_s * sizes["reader"]
    reader_b += list_b * (per_domain + 2)
    reader_b += report_b * (per_domain + near + 2) * region_reports
    member_us = 4.0 * at("us sending of a member, by member")
    reader_us = answered_per_s * at("us answering of a member, by member")
    between_us = at("us answering of a reader, by member")
    between_us += at("us sending of a reader, by member")
    reader_us += between_per_s / 2 * between_us
    return [
        ("member", "heartbeat bytes", member_b, size.bytes_per_s, "B/s"),
        ("member", "heartbeat processor", member_us / 1e6, size.cpu_share, "core"),
        ("reader", "heartbeat bytes", reader_b, size.bytes_per_s, "B/s"),
        ("reader", "heartbeat processor", reader_us / 1e6, size.cpu_share, "core"),
    ]


def format_value(value):
    """Return a number with three significant digits and a unit prefix."""
    for limit, suffix in ((1e9, "G"), (1e6, "M"), (1e3, "k")):
        if abs(value) >= limit:
            return f"{value / limit:.3g} {suffix}"
    return f"{value:.3g} "


def _print_slopes(slopes):
    print(f"{'quantity':<42}{'per unit':>12}{'base':>12} {'unit':<14} points")
    for each in slopes:
        points = " ".join(f"{x:g}:{y:.4g}" for x, y in each.points)
        print(
            f"{each.name:<42}{each.slope:>12.4g}{each.intercept:>12.4g}"
            f" {each.unit:<14} {points}",
            flush=True,
        )


def _print_roles(rows):
    print(f"\n{'role':<15}{'quantity':<58}{'at size':>12}{'limit':>12}{'factor':>9}")
    for role, quantity, value, limit, unit in rows:
        factor = f"{value / limit:.3g}" if limit else ""
        bound = format_value(limit) + unit if limit else "none"
        shown = format_value(value) + unit
        print(f"{role:<15}{quantity:<58}{shown:>12}{bound:>12}{factor:>9}")


def run():
    """Measure everything and print the tables."""
    size = Size()
    print(f"{datetime.date.today()} {' '.join(sys.argv[1:])}")
    if _FLAGS.heartbeats_only:
        slopes = measure_members()
        _print_slopes(slopes)
        by_name = {each.name: each for each in slopes}
        _print_roles(extrapolate_heartbeats(by_name, size))
        return
    slopes = []
    for measure in (
        measure_legs,
        measure_slices,
        measure_plan,
        measure_plan_upstreams,
        measure_members,
        measure_configuration,
    ):
        found = measure()
        slopes += found
        _print_slopes(found)
    print(f"hot keys: {measure_hot_keys()}", flush=True)
    rows = measure_daemons([int(count) for count in _FLAGS.daemons])
    if rows:
        rows += measure_daemons([8], domains=8)
        found = measure_processes()
        slopes += found
        _print_slopes(found)
    for row in rows:
        print(" ".join(f"{name}={value:.4g}" for name, value in row.items()))
    by_name = {each.name: each for each in slopes}
    _print_roles(extrapolate(by_name, size, rows))


if __name__ == "__main__":
    parse_flags(_FLAGS, sys.argv)
    run()
