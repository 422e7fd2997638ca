"""Schedule of the soak run: which faults begin when, and at which targets."""

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
# Long enough for a takeover and the return before the next fault.
_PAUSE_RANGE_S = (3.0, 6.0)
_LENGTH_RANGE_S = (1.0, 6.0)
_OUT_LENGTH_S = 8.0
_PAIR_SHARE = 0.4
_FAULTS_BY_TARGET = {
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
_TARGET_BY_FAULT = {
    fault: target for target, faults in _FAULTS_BY_TARGET.items() for fault in faults
}
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


def make_schedule(seed, duration_s, regions):
    """Return the faults of a run, singly and in pairs.

    :param seed: seed of all choices.
    :param duration_s: time in which faults begin, in seconds.
    :param regions: ``"1"`` or ``"3"``.
    :return: list of dicts with ``at_s``, ``fault``, ``target``, ``length_s``.
    """
    generator = random.Random(seed)
    names_by_target = _list_targets(regions)
    events = []
    at_s = 2.0
    while at_s < duration_s:
        count = 2 if generator.random() < _PAIR_SHARE else 1
        last = at_s
        for fault in _choose_faults(generator, count):
            names = names_by_target[_TARGET_BY_FAULT[fault]]
            event, end = _draw_event(generator, fault, names, at_s)
            events.append(event)
            last = max(last, end)
        at_s = last + generator.uniform(*_PAUSE_RANGE_S)
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
    names = sorted(_TARGET_BY_FAULT)
    while True:
        chosen = generator.sample(names, count)
        if not any(len(group & set(chosen)) > 1 for group in _EXCLUSIVE):
            return chosen


def _draw_event(generator, fault, names, at_s):
    """Return an event that begins within a second, and the time of its end."""
    target = generator.choice(names)
    begin = at_s + generator.random()
    length = generator.uniform(*_LENGTH_RANGE_S)
    if fault in ("domain_out", "instance_out"):
        length = _OUT_LENGTH_S
    event = {
        "at_s": round(begin, 2),
        "fault": fault,
        "target": target,
        "length_s": round(length, 2),
    }
    return event, begin + length


def run_schedule(injector, events):
    """Carry out a schedule.

    :param injector: the ``Injector`` of the faults.
    :param events: result of :func:`make_schedule`.
    :return: (event, begin, end) of each, with seconds of ``time.monotonic``.
    """
    start = time.monotonic()
    done = []
    running = []
    pending = collections.deque(sorted(events, key=lambda event: event["at_s"]))
    while pending or running:
        now = time.monotonic() - start
        for entry in [entry for entry in running if entry[0] <= now]:
            running.remove(entry)
            _, end, event, began_at = entry
            end()
            done.append((event, began_at, time.monotonic()))
        if pending and pending[0]["at_s"] <= now:
            event = pending.popleft()
            sys.stderr.write(f"{now:.1f} {json.dumps(event)}\n")
            began_at = time.monotonic()
            end = injector.begin(event["fault"], event["target"])
            running.append((event["at_s"] + event["length_s"], end, event, began_at))
        time.sleep(0.02)
    return done
