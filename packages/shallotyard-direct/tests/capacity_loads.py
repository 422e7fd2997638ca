"""Loads of a service whose upstreams differ in what they can do, played twice with the
same seed: with the static rule for limits, and with learned ones.
"""

import random
from dataclasses import dataclass

from direct_builders import build_request
from fleet_simulation import PREPARATION_S
from fleet_simulation import SLOTS
from fleet_simulation import FleetSimulation

from shallotyard_direct.model import LoadReport
from shallotyard_direct.pending import Attempt
from shallotyard_direct.pending import PendingRequest
from shallotyard_direct.upstreams.capacity import LearnedCapacities
from shallotyard_direct.upstreams.shared_capacity import FleetCapacities

PROCESSING_S = 0.2
TARGET_LATENCY_S = 0.7
TIMEOUT_S = 3.0
EQUAL_SPEEDS = (1.0,)
MIXED_SPEEDS = (0.5, 0.8, 1.0, 1.0, 1.3, 1.6)
# The upstream that steps change is one of usual speed.
STEPPED_ID = "u-east-a-2"


@dataclass
class Result:
    """What a play showed.

    :param in_target: share of calls answered with 200 within the target latency.
    :param timeouts: share of calls that ended with 504.
    :param longest_queue: most requests that waited at an upstream at once.
    """

    in_target: float
    timeouts: float
    longest_queue: int
    simulation: FleetSimulation

    def count_sends(self, upstream_id, since, until):
        """Return how many requests an upstream got in a period, in seconds."""
        times = self.simulation.send_times_by_id.get(upstream_id, [])
        return sum(since <= at - PREPARATION_S < until for at in times)

    def sum_report_bytes(self, since, until):
        """Return the bytes of load reports and replies in a period, as plain JSON and
        as they are sent.
        """
        sizes = [
            size[1:]
            for size in self.simulation.report_sizes
            if since <= size[0] - PREPARATION_S < until
        ]
        return tuple(map(sum, zip(*sizes, strict=True)))


def play(
    seed,
    learned,
    load=0.7,
    instances=18,
    upstreams=36,
    seconds=6.0,
    steps=(),
    since=0.0,
    **changes,
):
    """Play a fleet.

    :param learned: whether limits are learned.
    :param load: requests a second, as a share of what upstreams of usual speed can do.
    :param instances: number of instances, a multiple of six.
    :param upstreams: number of upstreams, a multiple of six.
    :param steps: (time since the first call in seconds, slowdown of `STEPPED_ID`).
    :param since: time from which calls are counted, in seconds since the first call.
    """
    values = {
        "processing_s": PROCESSING_S,
        "target_latency_s": TARGET_LATENCY_S,
        "timeout_s": TIMEOUT_S,
        "speeds": MIXED_SPEEDS,
        "is_silent_when_full": True,
        "times_out": True,
        "settings": {"learned_limits": learned},
    }
    simulation = FleetSimulation(
        seed, instances // 6, upstreams // 6, **values | changes
    )
    for at, slowdown in steps:
        simulation.schedule(PREPARATION_S + at, build_step(simulation, slowdown))
    simulation.run(load * upstreams * SLOTS / PROCESSING_S, seconds)
    since += PREPARATION_S
    return Result(
        simulation.compute_share(200, TARGET_LATENCY_S, since),
        simulation.compute_share(504, since=since),
        simulation.longest_queue,
        simulation,
    )


def build_step(simulation, slowdown):
    """Return an action that changes the slowdown of the stepped upstream."""
    return lambda now: simulation.slowdown_by_id.update({STEPPED_ID: slowdown})


def play_both(seed, **load):
    """Return the `Result` of the static rule and that of the learned one."""
    return play(seed, False, **load), play(seed, True, **load)


def build_attempt(upstream_id, sent_at):
    """Return an attempt of the service ``status`` at an idle upstream."""
    pending = PendingRequest(build_request(), sent_at, service_id="status")
    return Attempt(pending, upstream_id, 1, sent_at, slots=SLOTS)


def build_learned(work_by_id):
    """Return estimates of an instance that has seen eight responses of each upstream.

    :param work_by_id: duration of the responses by upstream id, in seconds.
    """
    learned = LearnedCapacities(random.Random(1))
    for upstream_id, work_s in work_by_id.items():
        for _ in range(8):
            attempt = build_attempt(upstream_id, 10.0 - work_s)
            learned.record_response(attempt, LoadReport(0, 0, SLOTS), 10.0)
    learned.refresh({"status": tuple(work_by_id)}, 10.0)
    return learned


def build_taught_fleet(work_by_id):
    """Return the estimates of a granter that got 20 samples of each upstream.

    :param work_by_id: mean work time by upstream id, in seconds.
    """
    fleet = FleetCapacities("run-1")
    samples = {
        upstream_id: [work_s, 20.0] for upstream_id, work_s in work_by_id.items()
    }
    fleet.apply_report({"samples": samples}, 1.0)
    fleet.publish({"status": tuple(work_by_id)}, 1.0)
    return fleet
