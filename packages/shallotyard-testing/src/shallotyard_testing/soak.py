"""Randomised failure test, run outside CI, with a schedule that can be replayed.

``soak_schedule`` chooses the faults, ``soak_faults`` injects them, ``traffic`` sends
the requests, and ``soak_checks`` finds violations of the guarantees.
"""

import collections
import copy
import json
import pathlib
import sys
import time

from absl import flags

from shallotyard_testing.answers import describe_seconds
from shallotyard_testing.answers import measure_unavailability
from shallotyard_testing.scenarios import run_cluster
from shallotyard_testing.scenarios import wait_settled
from shallotyard_testing.soak_checks import VersionMonitor
from shallotyard_testing.soak_checks import check_served
from shallotyard_testing.soak_checks import collect_violations
from shallotyard_testing.soak_faults import SEPARATE_UPSTREAM_IDS
from shallotyard_testing.soak_faults import Injector
from shallotyard_testing.soak_schedule import DAEMONS_BY_REGION_COUNT
from shallotyard_testing.soak_schedule import DOMAINS_BY_REGION_COUNT
from shallotyard_testing.soak_schedule import UPSTREAMS_PER_REGION
from shallotyard_testing.soak_schedule import make_schedule
from shallotyard_testing.soak_schedule import run_schedule
from shallotyard_testing.traffic import Traffic
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

# Time after a loss in which the first failure of a key is attributed to the loss.
_FIRST_FAILURE_WINDOW_S = 8.0
_LOSS_FAULTS = (
    "kill_instance",
    "pause_instance",
    "terminate_instance",
    "kill_upstream",
    "freeze_upstreams",
    "kill_domain",
    "cut_domain",
    "cut_domain_off",
)


def build_report(records, finished_faults, violations):
    """Return the report: counts, unavailability after losses, and violations.

    :param records: list of `ResponseRecord`, one for each request.
    :param finished_faults: result of ``run_schedule``.
    :param violations: violations by kind.
    """
    durations_s_by_loss = collections.defaultdict(list)
    for event, began_at, _ in finished_faults:
        if event["fault"] in _LOSS_FAULTS:
            durations_s_by_key = measure_unavailability(
                records, began_at, _FIRST_FAILURE_WINDOW_S
            )
            durations_s_by_loss[event["fault"]] += durations_s_by_key.values()
    statuses = collections.Counter(str(record.status) for record in records)
    return {
        "requests": len(records),
        "statuses": dict(statuses),
        "verdicts": dict(collections.Counter(record.verdict for record in records)),
        "faults": dict(
            collections.Counter(event["fault"] for event, _, _ in finished_faults)
        ),
        "key_unavailable_s_by_loss": {
            name: describe_seconds(durations_s)
            for name, durations_s in durations_s_by_loss.items()
        },
        "violations": violations,
    }


def run_soak(seed, events, regions, log_level, threads, keep_logs=""):
    """Run a schedule against a new cluster and return the report.

    :param seed: seed of the traffic.
    :param events: result of ``make_schedule``.
    :param regions: ``"1"`` or ``"3"``.
    :param log_level: log level of the daemons.
    :param threads: number of concurrent requests.
    :param keep_logs: directory for the logs of all processes; not kept if empty.
    """
    with _start_cluster(regions, log_level) as cluster:
        traffic = Traffic(
            cluster, seed, threads, home_clients=_list_home_clients(regions)
        )
        version_monitor = VersionMonitor(cluster)
        try:
            finished_faults = run_schedule(
                Injector(cluster, log_level), copy.deepcopy(events)
            )
            unsettled = _find_unsettled_reason(cluster)
            time.sleep(1.0)
        finally:
            records = traffic.stop()
            reverted = version_monitor.stop()
        # Comes before the journal is read, because the upstream process does not
        # respond while it sends the whole journal.
        unserved = check_served(cluster, traffic, 20)
        violations = collect_violations(cluster, traffic, records, finished_faults)
        extra = {
            "reverted": reverted,
            "unsettled": unsettled,
            "unserved_at_end": unserved,
        }
        violations.update({kind: value for kind, value in extra.items() if value})
        if keep_logs:
            _keep_logs(cluster, pathlib.Path(keep_logs))
        return build_report(records, finished_faults, violations)


def _start_cluster(regions, log_level):
    count = UPSTREAMS_PER_REGION * int(regions)
    return run_cluster(
        dict.fromkeys(("statusdesk", "bookbay", "tilldesk"), count),
        DAEMONS_BY_REGION_COUNT[regions],
        DOMAINS_BY_REGION_COUNT[regions],
        log_level,
        separate_upstream_ids=SEPARATE_UPSTREAM_IDS,
        network=True,
        work_ms=15,
    )


def _list_home_clients(regions):
    """Return (client, instances) for each region's home client."""
    daemons = DAEMONS_BY_REGION_COUNT[regions].items()
    return [
        (f"{region}-market", [name for name, domain in daemons if domain in domains])
        for region, domains in DOMAINS_BY_REGION_COUNT[regions].items()
    ]


def _find_unsettled_reason(cluster):
    """Wait until the daemons have settled.

    :return: why they did not settle, ``""`` if they did.
    """
    try:
        wait_settled(cluster, timeout_s=60.0)
    except AssertionError as error:
        return str(error)
    return ""


def _keep_logs(cluster, directory):
    directory.mkdir(parents=True, exist_ok=True)
    for name, child in cluster.group.children_by_name.items():
        (directory / f"{name}.log").write_text(child.read_log())


def main(argv):
    """Run the soak test and return its exit status, 1 if there are violations."""
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
