"""Compares four daemons with the baseline proxy under slow and failing upstreams."""

import dataclasses
import datetime
import json
import os
import sys
import time

from absl import flags

from shallotyard_testing.baseline import read_routes
from shallotyard_testing.bench import finish_load_process
from shallotyard_testing.bench import start_load_process
from shallotyard_testing.bench import start_upstreams
from shallotyard_testing.builders import build_tendaris_manifest
from shallotyard_testing.builders import build_upstream_configs
from shallotyard_testing.cluster import Cluster
from shallotyard_testing.cluster import call_json
from shallotyard_testing.processes import ProcessGroup
from shallotyard_testing.processes import find_free_port
from shallotyard_testing.processes import find_free_ports
from shallotyard_testing.utils import parse_flags

_FLAGS = flags.FlagValues()
flags.DEFINE_list(
    "sections",
    ["unkeyed", "keyed", "domain", "zipf", "failing"],
    "parts",
    flag_values=_FLAGS,
)
flags.DEFINE_float("load_s", 8.0, "seconds of one load", flag_values=_FLAGS)
flags.DEFINE_integer("rounds", 2, "rounds of slow upstreams", flag_values=_FLAGS)
flags.DEFINE_float("rate", 200.0, "requests/s", flag_values=_FLAGS)
flags.DEFINE_float("work_ms", 20.0, "work of a request", flag_values=_FLAGS)
flags.DEFINE_integer("slow", 2, "slowed upstreams of 16", flag_values=_FLAGS)
flags.DEFINE_integer("keys", 1000, "number of keys", flag_values=_FLAGS)
flags.DEFINE_integer("seed", 1, "seed of the loads", flag_values=_FLAGS)
flags.DEFINE_string(
    "other_core",
    "",
    "source directory of another version of shallotyard_core to compare",
    flag_values=_FLAGS,
)

_DOMAINS = ("d1", "d2")
_UPSTREAMS = 16
_FAILING_UPSTREAMS = 5
_SLOW_FACTOR = 5.0
_CLIENT = "ferry-stalls"
_CONNECTIONS = 64
_UPSTREAM_PROCESSES = 2
# The requirement allows "a few seconds" until a failure domain that leaves may be
# switched off.
_SWITCH_OFF_AFTER_S = 5.0
_RECOVERY_S = 4.0
_SLOWDOWN_DELAY_S = 2.5


@dataclasses.dataclass(slots=True)
class ComparedRouter:
    """One of the routers that are compared.

    :param name: ``product``, ``other`` or ``baseline``.
    :param addresses: addresses that callers connect to.
    :param control_addresses: control addresses of its upstream stand-ins.
    :param cluster: the `Cluster`, ``None`` for the baseline.
    """

    name: str
    addresses: list
    control_addresses: list
    cluster: object = None


def _control(router, upstream_ids, **changes):
    """Change the state of upstreams, each at the process that runs it."""
    for address in router.control_addresses:
        served = call_json("GET", f"http://{address}/-/stats")[1]["upstreams"]
        names = [name for name in upstream_ids if name in served]
        query = "&".join(f"upstream={name}" for name in names)
        if names:
            call_json("POST", f"http://{address}/-/control?{query}", changes)


def _start_load(group, router, duration_s, keyed_share, addresses=None, **options):
    return start_load_process(
        group,
        router.name,
        **{
            "addresses": ",".join(addresses or router.addresses),
            "credential": f"credential-of-{_CLIENT}",
            "duration_s": duration_s,
            "connections": _CONNECTIONS,
            "rate": _FLAGS.rate,
            "keyed_share": keyed_share,
            "write_share": 0.0,
            "keys": _FLAGS.keys,
            "zipf_s": 0.0,
            "seed": _FLAGS.seed,
            "upstreams": _UPSTREAMS,
            **options,
        },
    )


def _run_load(group, router, duration_s, keyed_share, **options):
    child = _start_load(group, router, duration_s, keyed_share, **options)
    return finish_load_process(child)


def start_product(group, name="product", core_path=""):
    """Start the product: four daemons in two failure domains, and their upstreams.

    :param name: name of the compared router.
    :param core_path: source directory of another version of ``shallotyard_core``.
    """
    original_path = os.environ.get("PYTHONPATH", "")
    os.environ["PYTHONPATH"] = core_path or original_path
    try:
        return _start_daemons(group, name)
    finally:
        os.environ["PYTHONPATH"] = original_path


def _start_daemons(group, name):
    manifest, credentials = _build_manifest()
    control_addresses = start_upstreams(
        group,
        build_upstream_configs(manifest, work_ms=_FLAGS.work_ms),
        _UPSTREAM_PROCESSES,
        f"{name}-upstreams",
    )
    cluster = Cluster(manifest, credentials, group, name)
    cluster.start_store()
    status, output = cluster.publish()
    if status != 0:
        raise RuntimeError(f"publish failed: {output}")
    for domain in _DOMAINS:
        for letter in "ab":
            cluster.start_daemon(f"{name}-{domain}-{letter}", domain)
    cluster.wait_ready()
    addresses = [each.http_address for each in cluster.daemons_by_id.values()]
    return ComparedRouter(name, addresses, control_addresses, cluster)


def start_baseline(group):
    """Start four baseline proxies and the same kind of upstreams."""
    manifest, _ = _build_manifest()
    path = group.directory / "baseline-manifest.json"
    path.write_text(json.dumps(manifest))
    # The baseline sends no grants, so its upstreams must not require them.
    configs = build_upstream_configs(
        manifest, work_ms=_FLAGS.work_ms, checks_grants=False
    )
    control_addresses = start_upstreams(
        group, configs, _UPSTREAM_PROCESSES, "baseline-upstreams"
    )
    addresses = []
    for number in range(2 * len(_DOMAINS)):
        port = find_free_port()
        group.start_module(
            f"baseline-{number}",
            "shallotyard_testing.baseline",
            "--mode=baseline",
            f"--port={port}",
            f"--manifest={path}",
            port=port,
        )
        addresses.append(f"127.0.0.1:{port}")
    return ComparedRouter("baseline", addresses, control_addresses)


def _build_manifest():
    counts = {"statusdesk": _UPSTREAMS, "tilldesk": _UPSTREAMS}
    manifest, credentials = build_tendaris_manifest(
        counts, {"dalmacija": _DOMAINS}, find_free_ports(2 * _UPSTREAMS)
    )
    if any(not addresses for _, addresses in read_routes(manifest)):
        raise RuntimeError("a route has no upstreams")
    return manifest, credentials


def list_first_upstreams(service, count):
    """Return the ids of the first upstreams of a service."""
    return [f"{service}-{number + 1:02}" for number in range(count)]


def _print_load(label, report):
    failed = report["requests"] - report["succeeded"]
    print(
        f"{label:<34}{report['requests']:>8}{failed:>8}"
        f"{report['p50_ms']:>10.1f}{report['p99_ms']:>10.1f}{report['p999_ms']:>10.1f}"
        f"{report['max_unavailable_s']:>9.2f}{report['owner_changes']:>9}"
        f"  {report['statuses']}",
        flush=True,
    )


def _print_header(title):
    print(
        f"\n{title}\n{'':<34}{'requests':>8}{'failed':>8}{'p50 ms':>10}{'p99 ms':>10}"
        f"{'p99.9 ms':>10}{'unav. s':>9}{'changes':>9}  statuses",
        flush=True,
    )


def run_unkeyed(group, routers):
    """Measure tail latency of unkeyed lookups while upstreams are slow."""
    _run_slow(group, routers, "tilldesk", 0.0)


def run_keyed(group, routers):
    """Measure tail latency of keyed lookups while upstreams are slow."""
    _run_slow(group, routers, "statusdesk", 1.0)


def _run_slow(group, routers, service, keyed_share):
    _print_header(f"{service}, {_FLAGS.slow} of {_UPSTREAMS} upstreams slowed fivefold")
    for router in routers:
        report = _run_load(group, router, _FLAGS.load_s / 2, keyed_share)
        _print_load(f"{router.name}, none slowed", report)
    names = list_first_upstreams(service, _FLAGS.slow)
    for number in range(_FLAGS.rounds):
        p99_ms_by_router = {}
        for router in routers:
            child = _start_load(group, router, _FLAGS.load_s, keyed_share)
            if number == 0:
                # In a deployment upstreams slow down under load, not before it begins.
                time.sleep(_SLOWDOWN_DELAY_S)
            _control(router, names, slow_factor=_SLOW_FACTOR)
            report = finish_load_process(child)
            _print_load(f"{router.name}, slowed, round {number + 1}", report)
            p99_ms_by_router[router.name] = report["p99_ms"]
        for name, p99_ms in p99_ms_by_router.items():
            ratio = compute_ratio(p99_ms_by_router["baseline"], p99_ms)
            print(f"  p99 baseline / {name}: {ratio:.2f}")
    for router in routers:
        _control(router, names, slow_factor=1.0)


def compute_ratio(value, reference):
    """Return a value divided by a reference, or 0 if the reference is 0."""
    return value / reference if reference else 0.0


def run_domain(group, routers):
    """Measure a load while a failure domain leaves, is switched off and returns."""
    _print_header("failure domain d1 leaves, is switched off for 4 s and returns")
    for router in routers:
        duration_s = _SWITCH_OFF_AFTER_S + 4.0 + 2 * _RECOVERY_S + 2.0
        halves = {"callers of d1": router.addresses[:2], "of d2": router.addresses[2:]}
        children = {
            label: _start_load(
                group, router, duration_s, 0.5, addresses, rate=_FLAGS.rate / 2
            )
            for label, addresses in halves.items()
        }
        time.sleep(2.0)
        _run_domain_command(router, "out")
        time.sleep(_SWITCH_OFF_AFTER_S)
        leaving_upstream_ids = [
            f"{service}-{number + 1:02}"
            for service in ("statusdesk", "tilldesk")
            for number in range(0, _UPSTREAMS, len(_DOMAINS))
        ]
        _control(router, leaving_upstream_ids, die=True)
        time.sleep(4.0)
        _control(router, leaving_upstream_ids, die=False)
        time.sleep(1.0)
        _run_domain_command(router, "in")
        for label, child in children.items():
            _print_load(f"{router.name}, {label}", finish_load_process(child))


def _run_domain_command(router, direction):
    if router.cluster is None:
        return
    store = f"--store={router.cluster.store_url}"
    daemons = f"--daemons={','.join(router.addresses)}"
    status, output = router.cluster.run_command(
        "domain", direction, _DOMAINS[0], store, daemons
    )
    if status != 0:
        raise RuntimeError(f"domain {direction} failed: {output}")


def run_zipf(group, routers):
    """Measure load imbalance and changes of ownership with Zipf-distributed keys."""
    _print_header("keyed lookups with Zipf keys, exponent 1.0")
    harmonic = sum(1.0 / rank for rank in range(1, _FLAGS.keys + 1))
    bound = max(1.0, _UPSTREAMS / harmonic)
    for router in routers:
        before = _read_daemons(router)
        for label in ("first", "second"):
            report = _run_load(group, router, 1.5 * _FLAGS.load_s, 1.0, zipf_s=1.0)
            _print_load(f"{router.name}, {label} load", report)
            imbalance = report["imbalance_by_path"].get("/status/item", 0.0)
            churn = compute_ratio(report["owner_changes"], report["keys_seen"])
            print(
                f"  largest / mean executions {imbalance:.2f} (lower bound"
                f" {bound:.2f}); changes of owner per key {churn:.3f}"
            )
        after = _read_daemons(router)
        if after:
            print(f"  assignment writes {after['revision'] - before['revision']}")


def _read_daemons(router):
    if router.cluster is None:
        return {}
    reports = [router.cluster.status(name) for name in router.cluster.daemons_by_id]
    return {
        "attempts": sum(each["attempts"] for each in reports),
        "requests": sum(sum(each["requests_by_verdict"].values()) for each in reports),
        "revision": max(each["assignment_revision"] for each in reports),
        "violations": [each["invariant_violations"] for each in reports],
    }


def _count_upstream_requests(router):
    total = 0
    for address in router.control_addresses:
        served = call_json("GET", f"http://{address}/-/stats")[1]["upstreams"]
        total += sum(each["requests"] for each in served.values())
    return total


def run_failing(group, routers):
    """Measure attempts per request while a third of the upstreams fail."""
    for fault in ("refuse", "shed", "die"):
        _print_header(
            f"{_FAILING_UPSTREAMS} of {_UPSTREAMS} upstreams of both services: {fault}"
        )
        names = list_first_upstreams("statusdesk", _FAILING_UPSTREAMS)
        names += list_first_upstreams("tilldesk", _FAILING_UPSTREAMS)
        for router in routers:
            before, arrivals = _read_daemons(router), _count_upstream_requests(router)
            child = _start_load(group, router, _FLAGS.load_s, 0.5)
            time.sleep(1.0)
            _control(router, names, **{fault: True})
            report = finish_load_process(child)
            _print_load(f"{router.name}, {fault}", report)
            after = _read_daemons(router)
            arrivals = _count_upstream_requests(router) - arrivals
            line = f"  at upstreams per request {arrivals / report['requests']:.3f}"
            if after:
                attempts = after["attempts"] - before["attempts"]
                requests = after["requests"] - before["requests"]
                line += (
                    f"; attempts per request {compute_ratio(attempts, requests):.3f}"
                )
            print(line)
            _control(router, names, **{fault: False})
        time.sleep(_RECOVERY_S)


_RUNS_BY_SECTION = {
    "unkeyed": run_unkeyed,
    "keyed": run_keyed,
    "domain": run_domain,
    "zipf": run_zipf,
    "failing": run_failing,
}


def run(group):
    """Run the chosen sections and print the figures."""
    routers = [start_product(group)]
    if _FLAGS.other_core:
        routers.append(start_product(group, "other", _FLAGS.other_core))
    routers.append(start_baseline(group))
    print(
        f"{datetime.date.today()} {' '.join(sys.argv[1:])} seed {_FLAGS.seed},"
        f" {_FLAGS.rate:g} requests/s, work {_FLAGS.work_ms:g} ms"
    )
    for section in _FLAGS.sections:
        _RUNS_BY_SECTION[section](group, routers)
    print(f"\ninvariant violations {_read_daemons(routers[0])['violations']}")


if __name__ == "__main__":
    parse_flags(_FLAGS, sys.argv)
    with ProcessGroup() as children:
        run(children)
