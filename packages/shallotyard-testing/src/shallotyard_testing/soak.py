"""Randomised failure run outside CI, with a schedule that can be replayed."""

import collections
import copy
import json
import pathlib
import random
import signal
import sys
import threading
import time

from absl import flags

from shallotyard_testing.cluster import call_json
from shallotyard_testing.scenarios import find_overlaps
from shallotyard_testing.scenarios import find_repeats
from shallotyard_testing.scenarios import read_journal
from shallotyard_testing.scenarios import run_cluster
from shallotyard_testing.scenarios import wait_settled
from shallotyard_testing.traffic import BODY
from shallotyard_testing.traffic import BOOKINGS
from shallotyard_testing.traffic import STATUS
from shallotyard_testing.traffic import TILL
from shallotyard_testing.traffic import Traffic
from shallotyard_testing.traffic import check_answers
from shallotyard_testing.traffic import describe
from shallotyard_testing.traffic import measure_unavailability
from shallotyard_testing.traffic import send
from shallotyard_testing.utils import parse_flags

_FLAGS = flags.FlagValues()
flags.DEFINE_integer("seed", 1, "seed of schedule and traffic", flag_values=_FLAGS)
flags.DEFINE_float("duration_s", 600.0, "time of faults", flag_values=_FLAGS)
flags.DEFINE_enum("regions", "1", ["1", "3"], "number of regions", flag_values=_FLAGS)
flags.DEFINE_string("replay", "", "schedule to replay", flag_values=_FLAGS)
flags.DEFINE_string(
    "schedule", "", "file for the schedule; by seed if empty", flag_values=_FLAGS
)
flags.DEFINE_string("log_level", "info", "of the daemons", flag_values=_FLAGS)
flags.DEFINE_integer("threads", 16, "requests at a time", flag_values=_FLAGS)
flags.DEFINE_string("keep_logs", "", "directory for logs", flag_values=_FLAGS)

DOMAINS_BY_REGION_COUNT = {
    "1": {"dalmacija": ("d1", "d2")},
    "3": {
        "dalmacija": ("d1", "d2"),
        "slavonija": ("s1", "s2"),
        "istra": ("i1", "i2"),
    },
}
DAEMONS_BY_REGION_COUNT = {
    "1": {"a": "d1", "b": "d1", "c": "d2", "e": "d2"},
    "3": {"a": "d1", "b": "d2", "s": "s1", "t": "s2", "i": "i1", "j": "i2"},
}
UPSTREAMS_PER_REGION = 4
APART = ("bookbay-01", "statusdesk-01", "tilldesk-01")
# Long enough for a takeover and the return before the next fault.
_PAUSE_RANGE_S = (3.0, 6.0)
_LENGTH_RANGE_S = (1.0, 6.0)
_PAIR_SHARE = 0.4
_OUT_LENGTH_S = 8.0
# "A few seconds" of the requirement on failure domains that leave.
_OUT_ALLOWANCE_S = 5.0
_WINDOW_S = 8.0
_LOSSES = (
    "kill_instance",
    "pause_instance",
    "terminate_instance",
    "kill_upstream",
    "freeze_upstreams",
    "kill_domain",
    "cut_domain",
    "cut_domain_off",
)


class Injector:
    """Begins and ends faults.

    :param cluster: the ``Cluster``.
    :param log_level: log level of restarted daemons.
    """

    def __init__(self, cluster, log_level):
        self.cluster = cluster
        self.log_level = log_level
        self.lock = threading.Lock()

    def _control(self, *upstreams, **changes):
        apart = [name for name in upstreams if name in APART]
        rest = [name for name in upstreams if name not in APART]
        if rest:
            self.cluster.control_upstreams(*rest, **changes)
        if apart:
            query = "&".join(f"upstream={name}" for name in apart)
            url = f"{self.cluster.apart_control_url}/-/control?{query}"
            call_json("POST", url, changes)

    def _restart(self, instance):
        daemon = self.cluster.daemons_by_id[instance]
        self.cluster.start_daemon(instance, daemon.domain, self.log_level)

    def _command(self, *arguments):
        with self.lock:
            return self.cluster.run_command(
                *arguments, f"--store={self.cluster.store_url}", "--wait_s=0"
            )

    def begin(self, fault, target):
        """Begin a fault and return the function that ends it."""
        return getattr(self, fault)(target)

    def kill_instance(self, target):
        """End a daemon with SIGKILL."""
        self.cluster.group.kill(target)
        return lambda: self._restart(target)

    def pause_instance(self, target):
        """Freeze a daemon."""
        self.cluster.group.pause(target)
        return lambda: self.cluster.group.resume(target)

    def terminate_instance(self, target):
        """Ask a daemon to end gracefully."""
        process = self.cluster.group.children_by_name[target].process
        process.send_signal(signal.SIGTERM)

        def end():
            process.wait(90.0)
            self._restart(target)

        return end

    def kill_upstream(self, target):
        """End an upstream; it returns cold."""
        self._control(target, die=True)
        return lambda: self._control(target, die=False)

    def restart_upstream(self, target):
        """Let an upstream restart at once, cold."""
        self._control(target, die=True)
        self._control(target, die=False)
        return lambda: None

    def freeze_upstreams(self, target):
        """Freeze the process of one upstream per service."""
        self.cluster.group.pause("upstreams-apart")
        return lambda: self.cluster.group.resume("upstreams-apart")

    def silence(self, target):
        """Make the open connections of an upstream silent for good."""
        self._control(target, silent=True)
        return lambda: None

    def cold_upstream(self, target):
        """Turn an upstream cold without a restart."""
        self._control(target, state="cold")
        return lambda: None

    def drain_upstream(self, target):
        """Let an upstream drain."""
        self._control(target, state="draining")
        return lambda: self._control(target, state="serving")

    def slow_upstream(self, target):
        """Slow an upstream down."""
        self._control(target, slow_factor=5.0)
        return lambda: self._control(target, slow_factor=1.0)

    def cross_answers(self, target):
        """Cross some answers of an upstream."""
        self._control(target, cross=3)
        return lambda: self._control(target, cross=0)

    def truncate_answers(self, target):
        """Cut some answers of an upstream short."""
        self._control(target, truncate=3)
        return lambda: self._control(target, truncate=0)

    def store_down(self, target):
        """Let the store refuse all calls."""
        self.cluster.set_store_faults(down=True)
        return lambda: self.cluster.set_store_faults(down=False)

    def store_slow(self, target):
        """Slow the store down."""
        self.cluster.set_store_faults(delay_ms=500)
        return lambda: self.cluster.set_store_faults(delay_ms=0)

    def store_loses_replies(self, target):
        """Let the store lose replies of writes that took effect."""
        self.cluster.set_store_faults(lose_replies=0.6)
        return lambda: self.cluster.set_store_faults(lose_replies=0.0)

    def cut_domain_from_store(self, target):
        """Cut the daemons of a failure domain from the store."""
        denied = [
            n for n, d in self.cluster.daemons_by_id.items() if d.domain == target
        ]
        self.cluster.set_store_faults(deny_clients=denied)
        return lambda: self.cluster.set_store_faults(deny_clients=[])

    def _cut(self, domains, mode="silent", store=False):
        """Cut the daemons of failure domains from all others."""
        domain_by_id = {n: d.domain for n, d in self.cluster.daemons_by_id.items()}
        inside = [n for n, domain in domain_by_id.items() if domain in domains]
        outside = [n for n in domain_by_id if n not in inside]
        self.cluster.cut(inside, outside, mode)
        if store:
            self.cluster.set_store_faults(deny_clients=inside)

        def end():
            self.cluster.heal()
            if store:
                self.cluster.set_store_faults(deny_clients=[])

        return end

    def cut_domain(self, target):
        """Cut a failure domain from the others, but not from the store."""
        return self._cut([target])

    def reset_domain(self, target):
        """Reset and refuse the connections of a failure domain with the others."""
        return self._cut([target], "reset")

    def cut_domain_off(self, target):
        """Cut a failure domain from the others and from the store."""
        return self._cut([target], store=True)

    def cut_region_off(self, target):
        """Cut the region of a failure domain off; the store is in the first one."""
        regions = self.cluster.manifest["regions"]
        domains = next(
            region["domains"]
            for region in regions.values()
            if target in region["domains"]
        )
        store_region = regions[self.cluster.manifest["store_region"]]
        return self._cut(domains, store=domains != store_region["domains"])

    def cut_replies(self, target):
        """Lose the replies to a daemon, while its requests arrive."""
        for other in self.cluster.daemons_by_id:
            if other != target:
                self.cluster.cut_link(target, other, "from")
        return self.cluster.heal

    def kill_domain(self, target):
        """End all daemons and upstreams of a failure domain."""
        daemons = [
            n for n, d in self.cluster.daemons_by_id.items() if d.domain == target
        ]
        upstreams = self.cluster.manifest["upstreams"].items()
        names = [name for name, entry in upstreams if entry["domain"] == target]
        for name in daemons:
            self.cluster.group.kill(name)
        self._control(*names, die=True)

        def end():
            self._control(*names, die=False)
            for name in daemons:
                self._restart(name)

        return end

    def domain_out(self, target):
        """Take a failure domain out of service."""
        self._command("domain", "out", target)
        return lambda: self._command("domain", "in", target)

    def instance_out(self, target):
        """Take an instance out of service."""
        self._command("instance", "out", target)
        return lambda: self._command("instance", "in", target)

    def publish(self, target):
        """Publish a changed manifest."""
        with self.lock:
            manifest = self.cluster.manifest
            manifest["version"] += 1
            service = manifest["services"]["tilldesk"]
            service["default_deadline_ms"] = 2000 + manifest["version"] % 100
            path = self.cluster.group.directory / "soak-manifest.jsonc"
            path.write_text(json.dumps(manifest))
        status, output = self._command("publish", path)
        if status != 0:
            # A store fault may refuse it; the next attempt uses the next version.
            sys.stderr.write(f"publish: {output}\n")
        return lambda: None

    def crashing_request(self, target):
        """Send a request that crashes upstreams, and repeat it."""
        text = f"poison-{target}-{time.monotonic_ns()}"
        every = list(self.cluster.manifest["upstreams"])
        self._control(*every, crash_on=text)

        def repeat():
            generator = random.Random(target)
            for number in range(12):
                send(
                    self.cluster,
                    generator.choice(sorted(self.cluster.daemons_by_id)),
                    "ferry-stalls",
                    generator.choice((BOOKINGS, TILL)),
                    "POST",
                    "poisoned-stall",
                    f"{text}-{number}",
                    "n=poison",
                    text,
                )
                time.sleep(0.3)

        thread = threading.Thread(target=repeat)
        thread.start()

        def end():
            thread.join()
            self._control(*every, crash_on="")

        return end


def make_schedule(seed, duration_s, regions):
    """Return the faults of a run, singly and in pairs.

    :param duration_s: time in which faults begin.
    :param regions: ``"1"`` or ``"3"``.
    :return: list of dicts with ``at_s``, ``fault``, ``target``, ``length_s``.
    """
    generator = random.Random(seed)
    daemons = DAEMONS_BY_REGION_COUNT[regions]
    domains = [d for ds in DOMAINS_BY_REGION_COUNT[regions].values() for d in ds]
    count = UPSTREAMS_PER_REGION * int(regions)
    upstreams = [
        f"{service}-{number + 1:02}"
        for service in ("statusdesk", "bookbay", "tilldesk")
        for number in range(count)
    ]
    faults = _list_faults()
    events = []
    at_s = 2.0
    while at_s < duration_s:
        pair = generator.random() < _PAIR_SHARE
        chosen = _choose_faults(generator, faults, 2 if pair else 1)
        last = at_s
        for fault in chosen:
            kind = faults[fault]
            targets = {"instance": list(daemons), "upstream": upstreams}
            targets["domain"] = domains
            target = generator.choice(targets.get(kind, [""]))
            begin = at_s + generator.random()
            length = generator.uniform(*_LENGTH_RANGE_S)
            if fault in ("domain_out", "instance_out"):
                length = _OUT_LENGTH_S
            events.append(
                {
                    "at_s": round(begin, 2),
                    "fault": fault,
                    "target": target,
                    "length_s": round(length, 2),
                }
            )
            last = max(last, begin + length)
        at_s = last + generator.uniform(*_PAUSE_RANGE_S)
    return events


def _list_faults():
    """Return the kind of target by fault."""
    by_kind = {
        "instance": (
            "kill_instance",
            "pause_instance",
            "terminate_instance",
            "cut_replies",
        ),
        "instance-out": (),
        "upstream": (
            "kill_upstream",
            "restart_upstream",
            "silence",
            "cold_upstream",
            "drain_upstream",
            "slow_upstream",
            "cross_answers",
            "truncate_answers",
        ),
        "domain": (
            "cut_domain_from_store",
            "kill_domain",
            "domain_out",
            "cut_domain",
            "reset_domain",
            "cut_domain_off",
            "cut_region_off",
        ),
        "": (
            "freeze_upstreams",
            "store_down",
            "store_slow",
            "store_loses_replies",
            "publish",
            "crashing_request",
        ),
    }
    kinds = {fault: kind for kind, names in by_kind.items() for fault in names}
    return {**kinds, "instance_out": "instance"}


# Two of one group would end each other or leave nothing to serve with.
_EXCLUSIVE = (
    {
        "kill_instance",
        "terminate_instance",
        "pause_instance",
        "kill_domain",
        "domain_out",
        "instance_out",
    },
    {
        "cut_domain_from_store",
        "cut_domain",
        "reset_domain",
        "cut_domain_off",
        "cut_region_off",
        "cut_replies",
    },
    {"store_down", "publish", "domain_out", "instance_out", "kill_domain"},
    {"freeze_upstreams", "crashing_request", "kill_domain", "kill_upstream"},
    {"freeze_upstreams", "cross_answers", "truncate_answers", "drain_upstream"},
    {"freeze_upstreams", "restart_upstream", "silence", "cold_upstream"},
    {"freeze_upstreams", "slow_upstream", "domain_out", "kill_domain"},
)


def _choose_faults(generator, faults, count):
    names = sorted(faults)
    while True:
        chosen = generator.sample(names, count)
        if not any(len(group & set(chosen)) > 1 for group in _EXCLUSIVE):
            return chosen


def run_schedule(injector, events):
    """Carry out a schedule; return (event, begin, end) with monotonic times."""
    start = time.monotonic()
    done = []
    ends = []
    pending = collections.deque(sorted(events, key=lambda event: event["at_s"]))
    while pending or ends:
        now = time.monotonic() - start
        for entry in [entry for entry in ends if entry[0] <= now]:
            ends.remove(entry)
            entry[1]()
            done.append((*entry[2:], time.monotonic()))
        if pending and pending[0]["at_s"] <= now:
            event = pending.popleft()
            sys.stderr.write(f"{now:.1f} {json.dumps(event)}\n")
            began_at = time.monotonic()
            end = injector.begin(event["fault"], event["target"])
            ends.append((event["at_s"] + event["length_s"], end, event, began_at))
        time.sleep(0.02)
    return done


class Monitor:
    """Reads the status of all daemons and notes configurations that go back.

    :param cluster: the ``Cluster``.
    """

    def __init__(self, cluster):
        self._cluster = cluster
        self._stopped = threading.Event()
        self.faults = []
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def stop(self):
        """End the thread and return what was noted."""
        self._stopped.set()
        self._thread.join()
        return self.faults

    def _run(self):
        highest = {}
        while not self._stopped.wait(0.3):
            for instance in list(self._cluster.daemons_by_id):
                report = self._cluster.status(instance)
                if not report or not report["manifest_version"]:
                    continue
                version = report["manifest_version"]
                if version < highest.get(instance, 0):
                    self.faults.append([instance, highest[instance], version])
                highest[instance] = max(version, highest.get(instance, 0))


def find_leaks(cluster, traffic):
    """Return the texts of callers that occur in the store or in logs."""
    dump = call_json("GET", f"{cluster.store_url}/-/dump", timeout_s=30.0)[1]
    dump.pop("manifest", None)
    places = {"store": json.dumps(dump)}
    for name in cluster.daemons_by_id:
        log = cluster.group.children_by_name[name].read_log()
        places[f"log of {name}"] = log
    texts = [f"{traffic.prefix}-stall-", f"{traffic.prefix}-identity-", BODY]
    texts += list(cluster.credentials.values())
    return [
        f"{text} in {place}"
        for place, content in places.items()
        for text in texts
        if text in content
    ]


def find_log_faults(cluster):
    """Return tracebacks and violated invariants in the logs."""
    faults = {}
    for name in cluster.daemons_by_id:
        log = cluster.group.children_by_name[name].read_log()
        for mark in ("Traceback", "invariant-violation"):
            if mark in log:
                position = log.index(mark)
                faults[f"{mark} of {name}"] = log[max(0, position - 200) :][:1500]
    return faults


def find_late_work(cluster, entries, done, clock_offset_s):
    """Return executions in a failure domain long after it went out of service."""
    late = []
    upstreams = cluster.manifest["upstreams"]
    for event, began_at, ended_at in done:
        if event["fault"] != "domain_out":
            continue
        first = (began_at + clock_offset_s + _OUT_ALLOWANCE_S) * 1000.0
        # Ends at the call that brings it back, less the time of the command.
        last = (ended_at + clock_offset_s - 1.0) * 1000.0
        late += [
            entry
            for entry in entries
            if upstreams[entry["upstream"]]["domain"] == event["target"]
            and first < entry["start"] < last
        ]
    return late


def collect_violations(cluster, traffic, answers, done):
    """Return everything that must not have happened, by kind."""
    entries = read_journal(cluster)
    offset = time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
    found = check_answers(answers, entries)
    for url in (cluster.upstream_control_url, cluster.apart_control_url):
        stats = call_json("GET", f"{url}/-/stats")[1]
        for kind, count in stats["violations"].items():
            found[f"upstream {kind}"] = {
                "count": count,
                "example": stats["examples"][kind],
            }
    found["two_owners"] = find_overlaps(entries)[:3]
    found["repeated"] = find_repeats(entries)[:3]
    found["leaks"] = find_leaks(cluster, traffic)
    found["late_work"] = find_late_work(cluster, entries, done, offset)[:3]
    found.update(find_log_faults(cluster))
    return {kind: value for kind, value in found.items() if value}


def check_served(cluster, traffic, keys):
    """Return the keys that are not served when all faults are over."""
    missing = []
    for number in range(keys):
        for path in (BOOKINGS, STATUS):
            arguments = ("ferry-stalls", path, "GET", traffic.key(number), "", "n=end")
            instance = sorted(cluster.daemons_by_id)[number % 4]
            answer = send(cluster, instance, *arguments)
            if answer.status != 200:
                missing.append(
                    f"{path} {number} at {instance}: {answer.status} {answer.verdict}"
                )
    return missing


def build_report(answers, done, violations):
    """Return counts, the unavailable time of keys after each loss, violations."""
    times = collections.defaultdict(list)
    for event, began_at, _ in done:
        if event["fault"] in _LOSSES:
            spans = measure_unavailability(answers, began_at, _WINDOW_S)
            times[event["fault"]] += spans.values()
    statuses = collections.Counter(str(answer.status) for answer in answers)
    return {
        "requests": len(answers),
        "statuses": dict(statuses),
        "verdicts": dict(collections.Counter(a.verdict for a in answers)),
        "faults": dict(collections.Counter(event["fault"] for event, _, _ in done)),
        "key_unavailable_s_by_loss": {
            name: describe(spans) for name, spans in times.items()
        },
        "violations": violations,
    }


def run_soak(seed, events, regions, log_level, threads, keep_logs=""):
    """Run a schedule against a fresh cluster and return the report."""
    counts = dict.fromkeys(
        ("statusdesk", "bookbay", "tilldesk"), UPSTREAMS_PER_REGION * int(regions)
    )
    domains = DOMAINS_BY_REGION_COUNT[regions]
    daemons = DAEMONS_BY_REGION_COUNT[regions]
    home_clients = [
        (f"{region}-market", [n for n, d in daemons.items() if d in domains[region]])
        for region in domains
    ]
    with run_cluster(
        counts, daemons, domains, log_level, apart=APART, network=True, work_ms=15
    ) as cluster:
        traffic = Traffic(cluster, seed, threads, home_clients=home_clients)
        monitor = Monitor(cluster)
        try:
            done = run_schedule(Injector(cluster, log_level), copy.deepcopy(events))
            unsettled = ""
            try:
                wait_settled(cluster, timeout_s=60.0)
            except AssertionError as error:
                unsettled = str(error)
            time.sleep(1.0)
        finally:
            answers = traffic.stop()
            reverted = monitor.stop()
        # Reading the whole journal keeps the upstream process busy for a while,
        # in which it answers nobody.
        unserved = check_served(cluster, traffic, 20)
        violations = collect_violations(cluster, traffic, answers, done)
        extra = {
            "reverted": reverted,
            "unsettled": unsettled,
            "unserved_at_end": unserved,
        }
        violations.update({kind: value for kind, value in extra.items() if value})
        if keep_logs:
            _keep_logs(cluster, pathlib.Path(keep_logs))
        return build_report(answers, done, violations)


def _keep_logs(cluster, directory):
    directory.mkdir(parents=True, exist_ok=True)
    for name, child in cluster.group.children_by_name.items():
        (directory / f"{name}.log").write_text(child.read_log())


def main(argv):
    """Run the soak; return 1 if something was violated."""
    parse_flags(_FLAGS, argv)
    if _FLAGS.replay:
        plan = json.loads(pathlib.Path(_FLAGS.replay).read_text())
    else:
        events = make_schedule(_FLAGS.seed, _FLAGS.duration_s, _FLAGS.regions)
        plan = {"seed": _FLAGS.seed, "regions": _FLAGS.regions, "events": events}
    path = pathlib.Path(_FLAGS.schedule or f"soak-{plan['seed']}.json")
    path.write_text(json.dumps(plan, indent=1))
    report = run_soak(
        plan["seed"],
        plan["events"],
        plan["regions"],
        _FLAGS.log_level,
        _FLAGS.threads,
        _FLAGS.keep_logs,
    )
    report["seed"] = plan["seed"]
    sys.stdout.write(json.dumps(report, indent=1) + "\n")
    return 1 if report["violations"] else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
