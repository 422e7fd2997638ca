"""Table of outcome records with expiry and a bound on response bytes."""

import math
from collections import OrderedDict
from collections import deque

from shallotyard_core.outcome_records import RecordState


class RecordTable:
    """Outcome records by slice and identity.

    :param max_response_bytes: bound on the stored responses in bytes; above it, the
        oldest are dropped and the state of their records becomes ``UNKNOWN``.
    """

    __slots__ = (
        "_expirations",
        "_max_response_bytes",
        "_records_by_slice",
        "_response_bytes",
        "_records_with_response",
        "_record_count",
    )

    def __init__(self, max_response_bytes):
        self._max_response_bytes = max_response_bytes
        self._records_by_slice = {}
        # In order of insertion. Imported records may expire earlier than those
        # before them. They are then kept longer than necessary, which is safe.
        self._expirations = deque()
        self._records_with_response = OrderedDict()
        self._response_bytes = 0
        self._record_count = 0

    def __len__(self):
        return self._record_count

    @property
    def response_bytes(self):
        """Total size of the stored responses in bytes."""
        return self._response_bytes

    def expire(self, now, max_records=None):
        """Remove records whose retention period has passed.

        :param now: current time in seconds.
        :param max_records: maximum number of entries examined, ``None`` for all.
        """
        expirations = self._expirations
        budget = len(expirations) if max_records is None else max_records
        while budget > 0 and expirations:
            expires_at, record = expirations[0]
            if expires_at > now:
                return
            expirations.popleft()
            budget -= 1
            # A record that was replaced or extended has a later entry.
            if record.expires_at <= now and self._get_stored(record) is record:
                self._remove(record)

    def drop(self, slice_id):
        """Remove all records of a slice, for example after a release.

        :param slice_id: the slice.
        """
        for record in list(self._records_by_slice.get(slice_id, {}).values()):
            self._remove(record)

    def _get_stored(self, record):
        return self._records_by_slice.get(record.slice_id, {}).get(record.identity)

    def _insert(self, record):
        by_identity = self._records_by_slice.setdefault(record.slice_id, {})
        previous = by_identity.get(record.identity)
        if previous is not None:
            self._remove(previous)
            by_identity = self._records_by_slice.setdefault(record.slice_id, {})
        by_identity[record.identity] = record
        self._record_count += 1
        if record.expires_at != math.inf:
            self._expirations.append((record.expires_at, record))
        response = record.response
        record.response = None
        if record.state is RecordState.DONE:
            self._store_response(record, response)

    def _remove(self, record):
        by_identity = self._records_by_slice[record.slice_id]
        del by_identity[record.identity]
        if not by_identity:
            del self._records_by_slice[record.slice_id]
        self._record_count -= 1
        self._remove_response(record)

    def _finish_record(self, record, response, expires_at):
        """Set a record to done (with a response) or unknown (without)."""
        self._remove_response(record)
        record.expires_at = expires_at
        self._expirations.append((expires_at, record))
        self._store_response(record, response)

    def _store_response(self, record, response):
        size_bytes = math.inf if response is None else response.compute_size_bytes()
        if size_bytes > self._max_response_bytes:
            record.state = RecordState.UNKNOWN
            return
        record.state = RecordState.DONE
        record.response = response
        self._response_bytes += size_bytes
        records_with_response = self._records_with_response
        records_with_response[record.slice_id, record.identity] = record
        while self._response_bytes > self._max_response_bytes:
            oldest = next(iter(records_with_response.values()))
            self._remove_response(oldest)
            oldest.state = RecordState.UNKNOWN

    def _remove_response(self, record):
        if record.response is not None:
            self._response_bytes -= record.response.compute_size_bytes()
            record.response = None
            del self._records_with_response[record.slice_id, record.identity]
