"""Compares one daemon with the bare proxy, in alternating rounds."""

import dataclasses
import datetime
import json
import statistics
import sys

import psutil
from absl import flags

from shallotyard_testing.builders import build_clients
from shallotyard_testing.builders import build_service
from shallotyard_testing.builders import build_upstream_configs
from shallotyard_testing.builders import build_upstreams
from shallotyard_testing.cluster import Cluster
from shallotyard_testing.cluster import start_upstream_process
from shallotyard_testing.processes import ProcessGroup
from shallotyard_testing.processes import find_free_port
from shallotyard_testing.processes import find_free_ports
from shallotyard_testing.utils import parse_flags

_FLAGS = flags.FlagValues()
flags.DEFINE_integer("rounds", 3, "rounds of each proxy", flag_values=_FLAGS)
flags.DEFINE_float("round_s", 4.0, "seconds of one load", flag_values=_FLAGS)
flags.DEFINE_integer("connections", 16, "callers' connections", flag_values=_FLAGS)
flags.DEFINE_float("rate", 300.0, "requests/s, open loop", flag_values=_FLAGS)
flags.DEFINE_integer("upstream_processes", 3, "stand-ins", flag_values=_FLAGS)
flags.DEFINE_integer("seed", 1, "seed of the load", flag_values=_FLAGS)
flags.DEFINE_string("log_level", "info", "level of the daemon", flag_values=_FLAGS)
flags.DEFINE_bool("keyed", False, "keyed lookups", flag_values=_FLAGS)

_CLIENT = "market"
_CREDENTIAL = "credential-of-market"
# Large enough that admission limits nothing, since the bare proxy has no admission.
_SLOTS = 64
_WARM_UP_S = 1.5
_FIGURE_NAMES = ("requests_per_s", "p50_ms", "p99_ms", "p999_ms", "cpu_us")


@dataclasses.dataclass(slots=True)
class Sample:
    """Result of one load on one proxy, with latencies in milliseconds.

    :param cpu_us: processor time of the proxy per request, in microseconds.
    :param failed: number of requests that did not succeed.
    """

    requests_per_s: float
    p50_ms: float
    p99_ms: float
    p999_ms: float
    cpu_us: float
    failed: int


def build_manifest(upstreams, base_port, keyed):
    """Return a manifest of one region, one failure domain and one service."""
    service = build_service(keyed=keyed, slots=_SLOTS, cold_slots=_SLOTS)
    services = {"lookup": service}
    domains = {"dalmacija": ("d1",)}
    return {
        "version": 1,
        "store_region": "dalmacija",
        "regions": {"dalmacija": {"domains": ["d1"]}},
        "services": services,
        "routes": [{"prefix": "/lookup/", "service": "lookup", "clients": ["*"]}],
        "clients": build_clients({_CLIENT: _CREDENTIAL}, {}),
        "upstreams": build_upstreams(
            services, {"lookup": upstreams}, domains, base_port
        ),
    }


def start_upstreams(group, configs, processes, name="upstreams"):
    """Start the upstream stand-ins, spread over several processes.

    :param configs: value that ``build_upstream_configs`` returned.
    :param processes: number of processes.
    :return: control addresses of the processes.
    """
    return [
        start_upstream_process(
            group, f"{name}-{number}", configs["upstreams"][number::processes]
        )
        for number in range(processes)
    ]


def run_load_process(group, name, **options):
    """Run the load tool in a separate process and return its report.

    :param options: flags of the load tool.
    """
    child = start_load_process(group, name, **options)
    return finish_load_process(child)


def start_load_process(group, name, **options):
    """Start the load tool in a separate process.

    :param options: flags of the load tool.
    """
    number = len(group.children_by_name)
    arguments = [f"--{option}={value}" for option, value in options.items()]
    return group.start_module(
        f"load-{name}-{number}", "shallotyard_testing.load", *arguments
    )


def finish_load_process(child, timeout_s=300.0):
    """Wait for a load process and return its report.

    :raises RuntimeError: if the process failed.
    """
    if child.process.wait(timeout_s) != 0:
        raise RuntimeError(f"load tool failed: {child.read_log()}")
    return json.loads(child.read_log())


def read_cpu_s(child):
    """Return the processor time that a process has used, in seconds."""
    times = psutil.Process(child.pid).cpu_times()
    return times.user + times.system


def _load_options(address, duration_s, rate):
    return {
        "addresses": address,
        "credential": _CREDENTIAL,
        "duration_s": duration_s,
        "connections": _FLAGS.connections,
        "rate": rate,
        "keyed_path": "/lookup/item",
        "unkeyed_path": "/lookup/item",
        "keyed_share": 1.0 if _FLAGS.keyed else 0.0,
        "write_share": 0.0,
        "seed": _FLAGS.seed,
    }


def measure(group, child, address, rate, duration_s):
    """Send one load to one proxy and return the `Sample`.

    :param rate: requests/s, 0 for a closed loop.
    """
    before = read_cpu_s(child)
    report = run_load_process(
        group, child.name, **_load_options(address, duration_s, rate)
    )
    cpu_s = read_cpu_s(child) - before
    return Sample(
        requests_per_s=report["requests_per_s"],
        p50_ms=report["p50_ms"],
        p99_ms=report["p99_ms"],
        p999_ms=report["p999_ms"],
        cpu_us=cpu_s * 1e6 / max(report["requests"], 1),
        failed=report["requests"] - report["succeeded"],
    )


def merge_samples(samples):
    """Return the median of each figure and the sum of the failed requests.

    :param samples: samples of one proxy and one kind of load.
    """
    medians = {
        name: statistics.median(getattr(each, name) for each in samples)
        for name in _FIGURE_NAMES
    }
    return Sample(**medians, failed=sum(each.failed for each in samples))


def compute_ratios(product, reference):
    """Return each figure of the product divided by that of the reference."""
    return {
        name: getattr(product, name) / getattr(reference, name)
        if getattr(reference, name)
        else 0.0
        for name in _FIGURE_NAMES
    }


def format_row(label, figures):
    """Return one line of the table.

    :param figures: values by name of the figure.
    """
    cells = [f"{figures[name]:>14.2f}" for name in _FIGURE_NAMES]
    return f"{label:<22}" + "".join(cells)


def _print_report(title, samples_by_name):
    merged_by_name = {
        name: merge_samples(each) for name, each in samples_by_name.items()
    }
    print(f"\n{title}")
    print(f"{'':<22}" + "".join(f"{name:>14}" for name in _FIGURE_NAMES))
    for name, each in samples_by_name.items():
        for number, sample in enumerate(each, 1):
            figures = dataclasses.asdict(sample)
            print(format_row(f"  {name} round {number}", figures))
    for name, sample in merged_by_name.items():
        print(format_row(f"{name} median", dataclasses.asdict(sample)))
        if sample.failed:
            print(f"  {name}: {sample.failed} requests failed")
    ratios = compute_ratios(merged_by_name["daemon"], merged_by_name["bare"])
    print(format_row("daemon / bare", ratios))


def _start_bare_proxy(group, manifest):
    port = find_free_port()
    addresses = [each["address"] for each in manifest["upstreams"].values()]
    child = group.start_module(
        "bare",
        "shallotyard_testing.baseline",
        "--mode=bare",
        f"--port={port}",
        f"--upstreams={','.join(addresses)}",
        port=port,
    )
    return child, f"127.0.0.1:{port}"


def _start_daemon(group, cluster):
    cluster.start_store()
    status, output = cluster.publish()
    if status != 0:
        raise RuntimeError(f"publish failed: {output}")
    daemon = cluster.start_daemon("d1-a", "d1", _FLAGS.log_level)
    cluster.wait_ready()
    return group.children_by_name["d1-a"], daemon.http_address


def run(group):
    """Run all rounds and print the figures."""
    count = _FLAGS.upstream_processes
    manifest = build_manifest(count, find_free_ports(count), _FLAGS.keyed)
    configs = build_upstream_configs(manifest, work_ms=0, cold_ms=0)
    start_upstreams(group, configs, count)
    cluster = Cluster(manifest, {_CLIENT: _CREDENTIAL}, group)
    proxies_by_name = {
        "daemon": _start_daemon(group, cluster),
        "bare": _start_bare_proxy(group, manifest),
    }
    closed_loop = {name: [] for name in proxies_by_name}
    open_loop = {name: [] for name in proxies_by_name}
    for child, address in proxies_by_name.values():
        measure(group, child, address, 0.0, _WARM_UP_S)
    for _ in range(_FLAGS.rounds):
        for name, (child, address) in proxies_by_name.items():
            closed_loop[name].append(
                measure(group, child, address, 0.0, _FLAGS.round_s)
            )
        for name, (child, address) in proxies_by_name.items():
            sample = measure(group, child, address, _FLAGS.rate, _FLAGS.round_s)
            open_loop[name].append(sample)
    print(f"{datetime.date.today()} {' '.join(sys.argv[1:])} seed {_FLAGS.seed}")
    _print_report(f"closed loop, {_FLAGS.connections} connections", closed_loop)
    _print_report(f"open loop, {_FLAGS.rate:g} requests/s", open_loop)


if __name__ == "__main__":
    parse_flags(_FLAGS, sys.argv)
    with ProcessGroup() as children:
        run(children)
