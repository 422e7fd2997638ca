"""Schedule of the soak test: times, kinds and targets of its faults."""

import collections
import json
import random
import sys
import time

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
# Long enough that slices move to other holders and back before the next fault.
_PAUSE_RANGE_S = (3.0, 6.0)
_DURATION_RANGE_S = (1.0, 6.0)
_OUT_OF_SERVICE_S = 8.0
_PAIR_PROBABILITY = 0.4
_FAULTS_BY_TARGET_KIND = {
    "instance": (
        "kill_instance",
        "pause_instance",
        "terminate_instance",
        "instance_out",
        "cut_replies",
    ),
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
_TARGET_KIND_BY_FAULT = {
    fault: kind for kind, faults in _FAULTS_BY_TARGET_KIND.items() for fault in faults
}
# Faults of one group never overlap: one would end the other, or together they would
# leave no instance or upstream that can serve.
_EXCLUSIVE_GROUPS = (
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


def make_schedule(seed, duration_s, regions):
    """Return the faults of a run, which come singly and in overlapping pairs.

    :param seed: seed of all random choices.
    :param duration_s: time in which faults begin, in seconds.
    :param regions: ``"1"`` or ``"3"``.
    :return: list of dicts with ``at_s``, ``fault``, ``target``, ``length_s``.
    """
    generator = random.Random(seed)
    names_by_target_kind = _list_targets(regions)
    events = []
    at_s = 2.0
    while at_s < duration_s:
        count = 2 if generator.random() < _PAIR_PROBABILITY else 1
        last_end_s = at_s
        for fault in _choose_faults(generator, count):
            names = names_by_target_kind[_TARGET_KIND_BY_FAULT[fault]]
            event, end_s = _draw_event(generator, fault, names, at_s)
            events.append(event)
            last_end_s = max(last_end_s, end_s)
        at_s = last_end_s + generator.uniform(*_PAUSE_RANGE_S)
    return events


def _list_targets(regions):
    """Return the names of all targets by kind."""
    upstreams = [
        f"{service}-{number + 1:02}"
        for service in ("statusdesk", "bookbay", "tilldesk")
        for number in range(UPSTREAMS_PER_REGION * int(regions))
    ]
    domains_by_region = DOMAINS_BY_REGION_COUNT[regions]
    domains = [name for names in domains_by_region.values() for name in names]
    return {
        "instance": list(DAEMONS_BY_REGION_COUNT[regions]),
        "upstream": upstreams,
        "domain": domains,
        "": [""],
    }


def _choose_faults(generator, count):
    names = sorted(_TARGET_KIND_BY_FAULT)
    while True:
        chosen = generator.sample(names, count)
        if not any(len(group & set(chosen)) > 1 for group in _EXCLUSIVE_GROUPS):
            return chosen


def _draw_event(generator, fault, names, at_s):
    """Return an event that begins within a second of ``at_s``, and its end time."""
    target = generator.choice(names)
    begin_s = at_s + generator.random()
    length_s = generator.uniform(*_DURATION_RANGE_S)
    if fault in ("domain_out", "instance_out"):
        length_s = _OUT_OF_SERVICE_S
    event = {
        "at_s": round(begin_s, 2),
        "fault": fault,
        "target": target,
        "length_s": round(length_s, 2),
    }
    return event, begin_s + length_s


def run_schedule(injector, events):
    """Inject the faults of a schedule and wait until all have ended.

    :param injector: the ``Injector`` of the faults.
    :param events: result of :func:`make_schedule`.
    :return: (event, begin, end) of each fault, with times of ``time.monotonic``.
    """
    started_at = time.monotonic()
    finished_faults = []
    active_faults = []
    pending = collections.deque(sorted(events, key=lambda event: event["at_s"]))
    while pending or active_faults:
        elapsed_s = time.monotonic() - started_at
        for entry in [entry for entry in active_faults if entry[0] <= elapsed_s]:
            active_faults.remove(entry)
            _, end_fault, event, began_at = entry
            end_fault()
            finished_faults.append((event, began_at, time.monotonic()))
        if pending and pending[0]["at_s"] <= elapsed_s:
            event = pending.popleft()
            sys.stderr.write(f"{elapsed_s:.1f} {json.dumps(event)}\n")
            began_at = time.monotonic()
            end_fault = injector.begin(event["fault"], event["target"])
            active_faults.append(
                (event["at_s"] + event["length_s"], end_fault, event, began_at)
            )
        time.sleep(0.02)
    return finished_faults
