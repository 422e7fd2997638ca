"""Builders of response records and of journal entries of upstreams."""

from shallotyard_testing.answers import ResponseRecord


def build_response_record(**changes):
    """Return the record of a request that ran at 1.0 s.

    :param changes: fields that replace the defaults.
    """
    value = {"query": "n=1", "key": "k", "request_id": "r1"}
    fields = {
        "instance": "a",
        "client": "c",
        "path": "/p",
        "method": "POST",
        "key": "k",
        "identity": "i1",
        "query": "n=1",
        "started_at": 1.0,
        "ended_at": 1.1,
        "status": 200,
        "verdict": "ran",
        "request_id": "r1",
        "value": value,
    }
    return ResponseRecord(**{**fields, **changes})


def build_execution(**changes):
    """Return a journal entry of request ``r1``.

    :param changes: fields that replace the defaults.
    """
    entry = {
        "upstream": "bookbay-01",
        "slice": "bookbay/1",
        "key_digest": "d",
        "request_id": "r1",
        "idempotency_key": "i1",
        "method": "POST",
        "start": 0.0,
        "end": 10.0,
    }
    return {**entry, **changes}
