"""Demonstration that operates a deployment under load and checks its guarantees."""

import asyncio
import pathlib
import signal
import subprocess
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from dataclasses import field

import jsonc

from shallotyard_testing.cluster import Cluster
from shallotyard_testing.cluster import call_json
from shallotyard_testing.load import LoadOptions
from shallotyard_testing.load import run_load
from shallotyard_testing.processes import ProcessGroup
from shallotyard_testing.processes import find_free_ports

EXAMPLE = pathlib.Path(__file__).parents[4] / "examples" / "tendaris.jsonc"
EVACUATED_DOMAIN = "dalmacija-1"
RESTARTED_DOMAIN = "slavonija-2"
# Long enough that requests are in flight when a shutdown begins.
WORK_MS = 20
WARM_UP_S = 2.0
# The requirement allows "a few seconds" until a failure domain that was taken out of
# service gets no new work.
EVACUATION_GRACE_PERIOD_S = 4.0
OBSERVATION_S = 2.0
LOAD_S = 18.0
REQUESTS_IN_FLIGHT = 24
DRAIN_TIMEOUT_S = 20.0
EXIT_KEPT = 0
EXIT_BROKEN = 1


@dataclass
class CheckResults:
    """Results of the checks; ``broken`` lists the guarantees that do not hold."""

    broken: list = field(default_factory=list)

    def check(self, kept, text):
        """Print the result of a check and record the guarantee if it is broken.

        :param kept: whether the guarantee holds.
        :param text: description of the guarantee.
        """
        print(f"  {'kept' if kept else 'BROKEN'}: {text}", flush=True)
        if not kept:
            self.broken.append(text)


def _print_heading(text):
    print(f"\n{text}", flush=True)


def load_example(path=EXAMPLE):
    """Return the example manifest with free loopback addresses, and its credentials.

    :param path: path of the manifest file.
    :return: the manifest as a dict and the credential by client.
    """
    manifest = jsonc.loads(path.read_text())
    port = find_free_ports(len(manifest["upstreams"]))
    for number, upstream in enumerate(manifest["upstreams"].values()):
        upstream["address"] = f"127.0.0.1:{port + number}"
    credentials_by_client = {
        client: f"example-credential-{client}" for client in manifest["clients"]
    }
    return manifest, credentials_by_client


def _name_instance(domain):
    return f"router-{domain}"


def _list_domains(manifest):
    return [
        domain
        for region in manifest["regions"].values()
        for domain in region["domains"]
    ]


def start_deployment(cluster, results):
    """Start the stand-ins, publish, and start one daemon in each failure domain."""
    manifest = cluster.manifest
    domains = _list_domains(manifest)
    _print_heading(
        f"Starting the store, the instance list, {len(manifest['upstreams'])} upstreams"
        f" and {len(domains)} daemons in {len(manifest['regions'])} regions"
    )
    cluster.start_platform(work_ms=WORK_MS)
    status, output = cluster.publish()
    print(f"  shallotyard publish: {output.strip()}")
    results.check(status == 0, "the manifest is accepted")
    for domain in domains:
        cluster.start_daemon(_name_instance(domain), domain)
    began = time.monotonic()
    cluster.wait_ready()
    elapsed_s = time.monotonic() - began
    print(f"  every key has an owner {elapsed_s:.1f} s after the last daemon started")


def send_requests(cluster, results):
    """Send single requests of each kind and check the responses."""
    _print_heading("Single requests")
    home = _name_instance("dalmacija-1")
    other_region = _name_instance("slavonija-1")

    def expect(text, response, status, verdict):
        found = response[:2]
        print(f"  {text}: {found[0]}, verdict {found[1] or 'none'}")
        results.check(found == (status, verdict), f"{text} gets {status}, {verdict}")
        return response[2]

    keyed = {"Shallotyard_Key": "stall-17"}
    order = {"body": b"two seats", "method": "POST", "Idempotency_Key": "order-1"}
    lookup = cluster.request(home, "/status/stall", "split-market", **keyed)
    expect("a keyed lookup", lookup, 200, "ran")
    till = cluster.request(home, "/tills/open", "split-market")
    expect("an unkeyed lookup", till, 200, "ran")
    booking = cluster.request(home, "/bookings/new", "split-market", **keyed, **order)
    first = expect("a keyed booking", booking, 200, "ran")
    again = cluster.request(home, "/bookings/new", "split-market", **keyed, **order)
    second = expect("the same booking again", again, 200, "ran")
    results.check(
        first == second, "a repeated Idempotency-Key gets the stored response"
    )
    order["Idempotency_Key"] = "till-1"
    sale = cluster.request(home, "/tills/sale", "split-market", **order)
    expect("an unkeyed sale", sale, 200, "ran")
    wrong = cluster.request(other_region, "/status/stall", "split-market", **keyed)
    expect("a request in the wrong region", wrong, 421, "not-run")
    address = cluster.daemons_by_id[home].http_address
    status, problem = call_json("GET", f"http://{address}/status/stall")
    unknown = (status, (problem or {}).get("verdict", ""), problem)
    expect("a request without a credential", unknown, 401, "not-run")


def build_loads(cluster, duration_s, excluded_instances=()):
    """Return the load of the example's clients, each in its home regions.

    :param duration_s: time in which requests are sent, in seconds.
    :param excluded_instances: instances that get no requests from the load balancer.
    :return: a list of `LoadOptions`.
    """

    def build(client, regions, rate, **options):
        domains = [
            domain
            for region in regions
            for domain in cluster.manifest["regions"][region]["domains"]
            if _name_instance(domain) not in excluded_instances
        ]
        addresses = tuple(
            cluster.daemons_by_id[_name_instance(domain)].http_address
            for domain in domains
        )
        return LoadOptions(
            addresses=addresses,
            credential=cluster.credentials[client],
            duration_s=duration_s,
            rate=rate,
            keyed_path="/bookings/item",
            unkeyed_path="/tills/item",
            write_share=0.2,
            **options,
        )

    regions = list(cluster.manifest["regions"])
    return [
        build("split-market", ["dalmacija"], 60.0, seed=1),
        build("osijek-hall", ["slavonija"], 60.0, seed=2),
        build("pula-pier", ["istra", "dalmacija"], 60.0, seed=3),
        build("travel-desk", regions, 60.0, seed=4, keyed_share=1.0),
    ]


class BackgroundLoad:
    """Load sent by a thread while the deployment is operated.

    :param loads: list of `LoadOptions`, one for each client.
    """

    def __init__(self, loads):
        self.loads = loads
        self.reports = []
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        async def run_all():
            return await asyncio.gather(*(run_load(load) for load in self.loads))

        self.reports = asyncio.run(run_all())

    def finish(self, results, text):
        """Wait until the load ends and check that every request succeeded.

        :param results: the `CheckResults`.
        :param text: description of what happened during the load.
        """
        self.thread.join()
        requests = sum(report.requests for report in self.reports)
        succeeded = sum(report.succeeded for report in self.reports)
        slowest = max((report.p99_ms for report in self.reports), default=0.0)
        print(f"  {requests} requests, {succeeded} succeeded, p99 {slowest:.0f} ms")
        for report in self.reports:
            if report.succeeded != report.requests:
                print(f"  statuses {report.statuses}, verdicts {report.verdicts}")
        results.check(
            bool(requests) and succeeded == requests,
            f"no request failed or was refused {text}",
        )
        crossed = sum(report.mismatched for report in self.reports)
        results.check(crossed == 0, "each caller got the answer to its own request")


def _count_arrivals(cluster, domain):
    stats = cluster.read_upstream_stats()["upstreams"]
    return sum(
        stats[upstream_id]["requests"]
        for upstream_id, upstream in cluster.manifest["upstreams"].items()
        if upstream["domain"] == domain
    )


def _run_operator_command(cluster, results, *arguments):
    addresses = [daemon.http_address for daemon in cluster.daemons_by_id.values()]
    began = time.monotonic()
    status, output = cluster.run_command(
        *arguments, f"--store={cluster.store_url}", f"--daemons={','.join(addresses)}"
    )
    elapsed_s = time.monotonic() - began
    print(f"  shallotyard {' '.join(arguments)}: {output.strip()} ({elapsed_s:.1f} s)")
    results.check(status == 0, f"'{' '.join(arguments)}' is in force everywhere")


def evacuate_and_restore_domain(cluster, results):
    """Take a failure domain out of service and return it, under load."""
    _print_heading(f"Failure domain {EVACUATED_DOMAIN} leaves and returns under load")
    load = BackgroundLoad(build_loads(cluster, LOAD_S))
    time.sleep(WARM_UP_S)
    _run_operator_command(cluster, results, "domain", "out", EVACUATED_DOMAIN)
    time.sleep(EVACUATION_GRACE_PERIOD_S)
    before = _count_arrivals(cluster, EVACUATED_DOMAIN)
    time.sleep(OBSERVATION_S)
    arrived = _count_arrivals(cluster, EVACUATED_DOMAIN) - before
    results.check(
        arrived == 0, f"{EVACUATED_DOMAIN} got no new work ({arrived} requests arrived)"
    )
    _run_operator_command(cluster, results, "domain", "in", EVACUATED_DOMAIN)
    load.finish(results, f"while {EVACUATED_DOMAIN} left and returned")
    arrived_after_return = _count_arrivals(cluster, EVACUATED_DOMAIN) - before - arrived
    results.check(
        arrived_after_return > 0,
        f"{EVACUATED_DOMAIN} is used again ({arrived_after_return} requests arrived)",
    )


def restart_daemon(cluster, results):
    """Restart a daemon gracefully while it has requests in flight."""
    instance = _name_instance(RESTARTED_DOMAIN)
    _print_heading(f"Instance {instance} restarts gracefully under load")
    # The platform's load balancer sends no requests to an instance that is leaving.
    load = BackgroundLoad(build_loads(cluster, 6.0, excluded_instances=(instance,)))
    time.sleep(1.0)

    def send(number):
        return cluster.request(
            instance,
            "/bookings/new",
            "osijek-hall",
            method="POST",
            body=b"one seat",
            Shallotyard_Key=f"seat-{number}",
            Idempotency_Key=f"restart-{number}",
        )

    process = cluster.group.children_by_name[instance].process
    with ThreadPoolExecutor(REQUESTS_IN_FLIGHT) as pool:
        futures = [pool.submit(send, number) for number in range(REQUESTS_IN_FLIGHT)]
        _wait_for_requests(cluster, instance)
        process.send_signal(signal.SIGTERM)
        outcomes = [_get_outcome(future) for future in futures]
    answered = outcomes.count((200, "ran"))
    print(f"  {answered} of {len(outcomes)} requests in flight were answered")
    results.check(
        answered == len(outcomes), "the shutdown interrupted no request in flight"
    )
    status = _wait_for_exit(process)
    results.check(status == 0, f"{instance} drained and stopped (status {status})")
    cluster.start_daemon(instance, RESTARTED_DOMAIN)
    load.finish(results, f"while {instance} restarted")
    cluster.wait_ready()


def _wait_for_requests(cluster, instance):
    """Wait until the daemon has requests in progress, for 50 polls at most."""
    for _ in range(50):
        if (cluster.status(instance) or {}).get("requests_in_progress", 0) > 0:
            return
        time.sleep(0.002)


def _wait_for_exit(process):
    """Return the exit status; kill the process and return ``None`` on time-out."""
    try:
        return process.wait(DRAIN_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
        return None


def _get_outcome(future):
    try:
        return future.result()[:2]
    except OSError as error:
        return str(error)


def check_guarantees(cluster, results, when):
    """Check the violations that the upstream stand-ins and the daemons counted.

    :param when: time of the check, for the printed heading.
    """
    _print_heading(f"Promises {when}")
    stats = cluster.read_upstream_stats()
    for kind, example in stats["examples"].items():
        print(f"  {kind}: {example}")
    executions = sum(each["committed"] for each in stats["upstreams"].values())
    results.check(
        not stats["violations"],
        f"{executions} executions; the upstreams saw no second owner, no repeated"
        " execution, no cold overload",
    )
    for instance in cluster.daemons_by_id:
        status = cluster.status(instance) or {}
        violations = status.get("invariant_violations")
        results.check(violations == {}, f"{instance} broke no invariant")


def show_status(cluster, results):
    """Print the status report that operators see, and check its verdict."""
    _print_heading("shallotyard status")
    addresses = [daemon.http_address for daemon in cluster.daemons_by_id.values()]
    status, output = cluster.run_command(
        "status", f"--daemons={','.join(addresses)}", f"--store={cluster.store_url}"
    )
    for line in output.splitlines():
        print(f"  {line}")
    results.check(
        status == 0 and output.startswith("today went well"), "today went well"
    )


def show_failures(cluster):
    """Print the log lines of failed requests and of errors."""
    _print_heading("Failed requests in the decision logs")
    for instance in cluster.daemons_by_id:
        log = cluster.group.children_by_name[instance].read_log()
        for line in log.splitlines():
            if '"decision":"fail"' in line or '"level":"ERROR"' in line:
                print(f"  {line}")


def run_demo(cluster):
    """Run the whole demonstration.

    :param cluster: a `Cluster` that has not been started.
    :return: the `CheckResults`.
    """
    results = CheckResults()
    start_deployment(cluster, results)
    send_requests(cluster, results)
    evacuate_and_restore_domain(cluster, results)
    # Must come before the restart, which clears the counters of a daemon.
    check_guarantees(cluster, results, "before the restart")
    restart_daemon(cluster, results)
    check_guarantees(cluster, results, "at the end")
    show_status(cluster, results)
    if results.broken:
        show_failures(cluster)
    return results


def main():
    """Run the demonstration and return the exit status."""
    began = time.monotonic()
    manifest, credentials_by_client = load_example()
    with ProcessGroup() as group:
        results = run_demo(Cluster(manifest, credentials_by_client, group))
    elapsed_s = time.monotonic() - began
    if results.broken:
        _print_heading(
            f"{len(results.broken)} promises broken after {elapsed_s:.0f} s:"
        )
        for text in results.broken:
            print(f"  {text}")
        return EXIT_BROKEN
    _print_heading(f"All promises kept; everything was stopped after {elapsed_s:.0f} s")
    return EXIT_KEPT


if __name__ == "__main__":
    sys.exit(main())
