"""Answers to callers: compared with the journals, and what they say of outages."""

import collections
from dataclasses import dataclass


@dataclass(slots=True)
class ResponseRecord:
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


def check_responses(records, entries):
    """Compare answers with the journals of the upstreams.

    :param records: list of `ResponseRecord`.
    :param entries: executions as dicts.
    :return: first example and count of each kind of violation.
    """
    ran_ids = {entry["request_id"] for entry in entries}
    ran_identities = {entry["idempotency_key"] for entry in entries}
    verdicts_by_identity = collections.defaultdict(set)
    for record in records:
        if record.identity:
            verdicts_by_identity[record.identity].add(record.verdict)
    records_by_kind = collections.defaultdict(list)
    for record in records:
        for kind in _find_violations(record, ran_ids):
            records_by_kind[kind].append(record)
        identity = record.identity
        # With several requests under one key, another one may have run.
        if verdicts_by_identity[identity] == {"not-run"} and identity in ran_identities:
            records_by_kind["not_run_but_identity_ran"].append(record)
    return {
        kind: {"count": len(violating), "example": str(violating[0])}
        for kind, violating in records_by_kind.items()
    }


def _find_violations(record, ran_ids):
    if record.verdict == "not-run" and record.request_id in ran_ids:
        yield "not_run_but_ran"
    if record.status == 200:
        value = record.value
        if value.get("query") != record.query or value.get("key") != record.key:
            yield "crossed_answer"
        elif value.get("request_id") not in ran_ids:
            yield "answer_without_run"
    elif record.status and record.verdict not in ("not-run", "may-have-run"):
        yield "no_verdict"


def measure_unavailability(records, lost_at, window_s):
    """Return how long each key was not served after a loss.

    The time runs from the start of the first request that failed to the end
    of the first one after it that ran. Keys without a failure count with their
    slowest request.

    :param records: list of `ResponseRecord`.
    :param lost_at: time of the loss.
    :param window_s: seconds after the loss in which a first failure counts.
    :return: seconds by key; ``None`` for keys that were not served again.
    """
    records_by_key = collections.defaultdict(list)
    for record in records:
        if record.key and lost_at <= record.started_at < lost_at + 3 * window_s:
            records_by_key[record.path, record.key, record.client].append(record)
    return {
        key: _find_longest_outage(key_records, lost_at + window_s)
        for key, key_records in records_by_key.items()
    }


def _find_longest_outage(records, window_end):
    records.sort(key=lambda record: record.started_at)
    failed_at = None
    longest_s = 0.0
    for record in records:
        if record.status == 200:
            if failed_at is not None:
                longest_s = max(longest_s, record.ended_at - failed_at)
                failed_at = None
            if record.started_at < window_end:
                longest_s = max(longest_s, record.ended_at - record.started_at)
        elif (
            record.status != 0 and failed_at is None and record.started_at < window_end
        ):
            # A dead ingress instance (status 0) says nothing about the key.
            failed_at = record.started_at
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
