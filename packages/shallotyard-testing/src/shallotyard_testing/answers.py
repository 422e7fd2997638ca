"""Checks responses against journals, and measures how long keys are unavailable."""

import collections
from dataclasses import dataclass


@dataclass(slots=True)
class ResponseRecord:
    """One request and the response to it.

    :param identity: Idempotency-Key of the request, or ``""``.
    :param started_at: time in seconds of ``time.monotonic``.
    :param ended_at: time in seconds of ``time.monotonic``.
    :param status: HTTP status, 0 if the connection failed.
    :param request_id: id that the router assigned, ``""`` without a response.
    :param value: JSON object of the response body, or an empty dict.
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
    """Compare responses with the journals of the upstreams.

    :param records: list of `ResponseRecord`.
    :param entries: executions of the journals, as dicts.
    :return: dict with count and first example, by kind of violation.
    """
    executed_request_ids = {entry["request_id"] for entry in entries}
    executed_idempotency_keys = {entry["idempotency_key"] for entry in entries}
    verdicts_by_idempotency_key = collections.defaultdict(set)
    for record in records:
        if record.identity:
            verdicts_by_idempotency_key[record.identity].add(record.verdict)
    records_by_kind = collections.defaultdict(list)
    for record in records:
        for kind in _find_violations(record, executed_request_ids):
            records_by_kind[kind].append(record)
        idempotency_key = record.identity
        # With several verdicts for one key, another request with it may have run.
        if (
            verdicts_by_idempotency_key[idempotency_key] == {"not-run"}
            and idempotency_key in executed_idempotency_keys
        ):
            records_by_kind["not_run_but_identity_ran"].append(record)
    return {
        kind: {"count": len(violating_records), "example": str(violating_records[0])}
        for kind, violating_records in records_by_kind.items()
    }


def _find_violations(record, executed_request_ids):
    if record.verdict == "not-run" and record.request_id in executed_request_ids:
        yield "not_run_but_ran"
    if record.status == 200:
        value = record.value
        if value.get("query") != record.query or value.get("key") != record.key:
            yield "crossed_answer"
        elif value.get("request_id") not in executed_request_ids:
            yield "answer_without_run"
    elif record.status and record.verdict not in ("not-run", "may-have-run"):
        yield "no_verdict"


def measure_unavailability(records, loss_at, window_s):
    """Measure how long each key was unavailable after a loss.

    The time runs from the start of the first request that failed to the end of
    the next one that succeeded. For a key without failures it is the duration of
    the slowest request.

    :param records: list of `ResponseRecord`.
    :param loss_at: time of the loss in seconds of ``time.monotonic``.
    :param window_s: seconds after the loss in which a first failure counts.
    :return: seconds by path, key and client; ``None`` for keys that were not
        served again.
    """
    records_by_key = collections.defaultdict(list)
    for record in records:
        if record.key and loss_at <= record.started_at < loss_at + 3 * window_s:
            records_by_key[record.path, record.key, record.client].append(record)
    return {
        key: _find_longest_outage(key_records, loss_at + window_s)
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
            # Status 0 means that the connection to the ingress instance failed,
            # which says nothing about the availability of the key.
            failed_at = record.started_at
    return longest_s if failed_at is None else None


def describe_seconds(values):
    """Summarise durations.

    :param values: durations in seconds, ``None`` for keys not served again.
    :return: dict with count, number of unserved, percentiles and maximum.
    """
    sorted_values = sorted(value for value in values if value is not None)
    unserved = sum(value is None for value in values)
    if not sorted_values:
        return {"count": 0, "unserved": unserved}

    def compute_percentile(fraction):
        return round(sorted_values[int(fraction * (len(sorted_values) - 1))], 3)

    return {
        "count": len(sorted_values),
        "unserved": unserved,
        "p50_s": compute_percentile(0.5),
        "p90_s": compute_percentile(0.9),
        "p99_s": compute_percentile(0.99),
        "max_s": compute_percentile(1.0),
    }
