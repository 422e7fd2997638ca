"""Costs of daemon processes, idle and under load."""

import collections
import time

import psutil

from shallotyard_testing.bench import read_cpu_s
from shallotyard_testing.bench import run_load_process
from shallotyard_testing.builders import build_tendaris_manifest
from shallotyard_testing.capacity_builders import REGION
from shallotyard_testing.cluster import Cluster
from shallotyard_testing.processes import ProcessGroup
from shallotyard_testing.processes import find_free_ports
from shallotyard_testing.slopes import fit_slopes


def measure_daemons(counts, idle_s, domains=2):
    """Return the resource use of idle deployments of several sizes.

    :param counts: numbers of daemons.
    :param idle_s: time to observe each deployment, in seconds.
    :param domains: number of failure domains.
    :return: list of dicts, one for each size, with store calls/s of all daemons,
        processor share and resident megabytes per daemon.
    """
    rows = []
    for count in counts:
        with ProcessGroup() as group:
            rows.append(_observe_deployment(group, count, idle_s, domains))
    return rows


def _observe_deployment(group, count, idle_s, domains):
    cluster = _start_idle_cluster(group, count, domains)
    before = _read_usage(group, cluster)
    start = time.monotonic()
    time.sleep(idle_s)
    after = _read_usage(group, cluster)
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


def _start_idle_cluster(group, count, domains):
    names = tuple(f"d{number}" for number in range(1, domains + 1))
    manifest, credentials = build_tendaris_manifest(
        {"statusdesk": 12, "tilldesk": 12}, {REGION: names}, find_free_ports(24)
    )
    cluster = Cluster(manifest, credentials, group)
    cluster.start_platform()
    cluster.publish()
    for number in range(count):
        cluster.start_daemon(f"r{number:02}", names[number % domains])
    cluster.wait_ready(60.0)
    time.sleep(2.0)
    return cluster


def _read_usage(group, cluster):
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

    One deployment has a single daemon, which relays nothing. The other has two
    daemons: all callers connect to the first one, which holds half of the upstreams,
    and the second one serves the requests that are relayed to it.

    :param rates: requests per second.
    :param duration_s: duration of the load at each rate, in seconds.
    """
    return fit_slopes(_observe_clusters(rates, duration_s))


def _observe_clusters(rates, duration_s):
    for count in (1, 2):
        with ProcessGroup() as group:
            cluster = _start_loaded_cluster(group, count)
            for rate in rates:
                samples = _observe_load(group, cluster, rate, duration_s)
                for name, per_s, quantity in samples:
                    yield (f"{name} of {count}", "us/request"), per_s, quantity


def _start_loaded_cluster(group, count):
    manifest, credentials = build_tendaris_manifest(
        {"tilldesk": 8}, {REGION: ("d1",)}, find_free_ports(8)
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
    """Yield (name, requests/s, quantity) samples of each daemon under load."""
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
    for name, child in children.items():
        used_us = (read_cpu_s(child) - before[name]) / report["duration_s"] * 1e6
        share = 1.0 if name == "r0" else _compute_served_share(cluster, name, report)
        role = "entry" if name == "r0" else "holder"
        yield f"process: {role}", report["requests_per_s"] * share, used_us
        connection_count = _count_connections(child, cluster.manifest)
        yield "connections to one upstream", report["requests_per_s"], connection_count


def _compute_served_share(cluster, name, report):
    """Return the share of all requests that ran at the upstreams a daemon holds."""
    executions = report["executions_by_path"]["/till/item"]
    held = cluster.status(name)["upstreams"]
    served = sum(executions.get(upstream_id, 0) for upstream_id in held)
    return served / report["requests"]


def _count_connections(child, manifest):
    """Return the largest number of connections to one upstream."""
    addresses = {each["address"] for each in manifest["upstreams"].values()}
    counts = collections.Counter(
        f"{connection.raddr.ip}:{connection.raddr.port}"
        for connection in psutil.Process(child.pid).net_connections("tcp")
        if connection.raddr and connection.status == psutil.CONN_ESTABLISHED
    )
    return max((counts[address] for address in addresses), default=0)
