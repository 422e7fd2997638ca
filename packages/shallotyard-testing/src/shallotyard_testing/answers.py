"""Answers to callers: compared with the journals, and what they say of outages."""

import collections
from dataclasses import dataclass


@dataclass(slots=True)
class Answer:
    """One request and its answer; times in seconds of ``time.monotonic``.

    :param status: HTTP status, 0 if the connection broke or was refused.
    :param request_id: id that the router gave, ``""`` if it did not answer.
    """

    instance: str
    client: str
    path: str
    method: str
    key: str
    identity: str
    query: str
    started_at: float
    ended_at: float
    status: int
    verdict: str
    request_id: str
    value: dict


def check_answers(answers, entries):
    """Compare answers with the journals of the upstreams.

    :param answers: list of `Answer`.
    :param entries: executions as dicts.
    :return: first example and count of each kind of violation.
    """
    ran_ids = {entry["request_id"] for entry in entries}
    ran_identities = {entry["idempotency_key"] for entry in entries}
    verdicts_by_identity = collections.defaultdict(set)
    for answer in answers:
        if answer.identity:
            verdicts_by_identity[answer.identity].add(answer.verdict)
    answers_by_kind = collections.defaultdict(list)
    for answer in answers:
        for kind in _find_violations(answer, ran_ids):
            answers_by_kind[kind].append(answer)
        identity = answer.identity
        # With several requests under one key, another one may have run.
        if verdicts_by_identity[identity] == {"not-run"} and identity in ran_identities:
            answers_by_kind["not_run_but_identity_ran"].append(answer)
    return {
        kind: {"count": len(violating), "example": str(violating[0])}
        for kind, violating in answers_by_kind.items()
    }


def _find_violations(answer, ran_ids):
    if answer.verdict == "not-run" and answer.request_id in ran_ids:
        yield "not_run_but_ran"
    if answer.status == 200:
        value = answer.value
        if value.get("query") != answer.query or value.get("key") != answer.key:
            yield "crossed_answer"
        elif value.get("request_id") not in ran_ids:
            yield "answer_without_run"
    elif answer.status and answer.verdict not in ("not-run", "may-have-run"):
        yield "no_verdict"


def measure_unavailability(answers, lost_at, window_s):
    """Return how long each key was not served after a loss.

    The time runs from the start of the first request that failed to the end
    of the first one after it that ran. Keys without a failure count with their
    slowest request.

    :param answers: list of `Answer`.
    :param lost_at: time of the loss.
    :param window_s: seconds after the loss in which a first failure counts.
    :return: seconds by key; ``None`` for keys that were not served again.
    """
    answers_by_key = collections.defaultdict(list)
    for answer in answers:
        if answer.key and lost_at <= answer.started_at < lost_at + 3 * window_s:
            answers_by_key[answer.path, answer.key, answer.client].append(answer)
    return {
        key: _find_longest_outage(key_answers, lost_at + window_s)
        for key, key_answers in answers_by_key.items()
    }


def _find_longest_outage(answers, window_end):
    answers.sort(key=lambda answer: answer.started_at)
    failed_at = None
    longest_s = 0.0
    for answer in answers:
        if answer.status == 200:
            if failed_at is not None:
                longest_s = max(longest_s, answer.ended_at - failed_at)
                failed_at = None
            if answer.started_at < window_end:
                longest_s = max(longest_s, answer.ended_at - answer.started_at)
        elif (
            answer.status != 0 and failed_at is None and answer.started_at < window_end
        ):
            # A dead ingress instance (status 0) says nothing about the key.
            failed_at = answer.started_at
    return longest_s if failed_at is None else None


def describe_seconds(values):
    """Return count, percentiles and maximum of seconds.

    :param values: seconds; ``None`` counts as unserved.
    """
    ordered = sorted(value for value in values if value is not None)
    unserved = sum(value is None for value in values)
    if not ordered:
        return {"count": 0, "unserved": unserved}

    def read_percentile(fraction):
        return round(ordered[int(fraction * (len(ordered) - 1))], 3)

    return {
        "count": len(ordered),
        "unserved": unserved,
        "p50_s": read_percentile(0.5),
        "p90_s": read_percentile(0.9),
        "p99_s": read_percentile(0.99),
        "max_s": read_percentile(1.0),
    }
