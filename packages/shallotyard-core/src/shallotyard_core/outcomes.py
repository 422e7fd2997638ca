"""Memory of non-idempotent requests, so that each runs at most once."""

import enum
import math
from dataclasses import dataclass
from dataclasses import replace

from shallotyard_core.outcome_records import RETENTION_S
from shallotyard_core.outcome_records import OutcomeRecord
from shallotyard_core.outcome_records import RecordState
from shallotyard_core.record_table import RecordTable
from shallotyard_core.verdict import Verdict

# A witness gets its copy before the first send, but the retention period starts
# when the attempt ends.
MAX_RUN_S = 60.0
WITNESS_RETENTION_S = RETENTION_S + MAX_RUN_S
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
MAX_WITNESS_RECORDS = 500_000
# Bounds the work that one begin or put does for records of the past; above one,
# so that expiry keeps up with new records.
_MAX_EXPIRATIONS_PER_CALL = 4


class RegistrationStatus(enum.Enum):
    """Answer to a request that wants to start.

    Only ``NEW`` allows the request to run. ``UNKNOWN`` and ``INCOMPLETE`` are
    answered with ``may-have-run``.
    """

    NEW = "fresh"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    INCOMPLETE = "incomplete"


_PRECEDENCE_BY_STATE = {
    RecordState.RUNNING: 0,
    RecordState.UNKNOWN: 1,
    RecordState.DONE: 2,
}
_STATUS_BY_STATE = {
    RecordState.RUNNING: RegistrationStatus.RUNNING,
    RecordState.UNKNOWN: RegistrationStatus.UNKNOWN,
    RecordState.DONE: RegistrationStatus.DONE,
}


@dataclass(frozen=True, slots=True)
class RegistrationResult:
    """Answer of :meth:`OutcomeStore.register`.

    :param status: what the request may do.
    :param record: the record of the first request, where there is one.
    """

    status: RegistrationStatus
    record: OutcomeRecord | None = None


class OutcomeStore(RecordTable):
    """Outcomes of the slices that this instance holds.

    :param max_response_bytes: bound on the stored responses; above it, the oldest
        are dropped and their records say only that the request ran or may have.
    """

    __slots__ = ("_incomplete_until_by_slice",)

    def __init__(self, max_response_bytes=MAX_RESPONSE_BYTES):
        super().__init__(max_response_bytes)
        self._incomplete_until_by_slice = {}

    def register(self, slice_id, identity, fingerprint, now):
        """Record a request as running, or find what is known of it.

        :param slice_id: slice of the request.
        :param identity: result of :func:`digests.identity_digest`.
        :param fingerprint: result of :func:`digests.request_fingerprint`.
        :param now: current time in seconds.
        :return: a :class:`RegistrationResult`.
        """
        self.expire(now, _MAX_EXPIRATIONS_PER_CALL)
        record = self._records_by_slice.get(slice_id, {}).get(identity)
        if record is not None and record.expires_at > now:
            if record.fingerprint != fingerprint:
                return RegistrationResult(RegistrationStatus.MISMATCH, record)
            return RegistrationResult(_STATUS_BY_STATE[record.state], record)
        if self.incomplete_until(slice_id, now) is not None:
            return RegistrationResult(RegistrationStatus.INCOMPLETE)
        record = OutcomeRecord(slice_id, identity, fingerprint, RecordState.RUNNING)
        self._insert(record)
        return RegistrationResult(RegistrationStatus.NEW, record)

    def record_outcome(self, slice_id, identity, now, verdict, response=None):
        """Record the outcome of a request that had begun.

        ``NOT_RUN`` forgets a running record only: one that became unknown or done
        by an import describes another attempt, which this outcome says nothing
        about.

        :param slice_id: slice of the request.
        :param identity: result of :func:`digests.identity_digest`.
        :param now: current time in seconds.
        :param verdict: combined verdict of all its attempts.
        :param response: a :class:`StoredResponse` with verdict ``RAN``, or None.
        :return: the record as it is now, or None if there is none.
        """
        record = self._records_by_slice.get(slice_id, {}).get(identity)
        if record is None or record.state is RecordState.DONE:
            return record
        if verdict is Verdict.NOT_RUN:
            if record.state is RecordState.RUNNING:
                self._remove(record)
                return None
            return record
        if verdict is not Verdict.RAN:
            response = None
        self._finish_record(record, response, now + RETENTION_S)
        return record

    def slice_ids(self):
        """Return the slices that have records."""
        return list(self._records_by_slice)

    def get(self, slice_id, identity):
        """Return the record of an identity, or None."""
        return self._records_by_slice.get(slice_id, {}).get(identity)

    def export(self, slice_id):
        """Return copies of the records of a slice, to send with its release.

        :param slice_id: the slice.
        """
        by_identity = self._records_by_slice.get(slice_id, {})
        return [replace(record) for record in by_identity.values()]

    def import_records(self, slice_id, records, now):
        """Merge records of another instance into a slice.

        Done beats unknown, which beats running. An imported running record becomes
        unknown, because its attempt ends where nobody here sees it.

        :param slice_id: slice to merge into; it may be a part of the records' own.
        :param records: iterable of :class:`OutcomeRecord`, in local time.
        :param now: current time in seconds.
        """
        for imported in records:
            if imported.expires_at <= now:
                continue
            record = replace(imported, slice_id=slice_id)
            if record.state is RecordState.RUNNING:
                record.state = RecordState.UNKNOWN
            record.expires_at = min(record.expires_at, now + RETENTION_S)
            own = self._get(record)
            if own is None or own.expires_at <= now:
                self._insert(record)
            elif _PRECEDENCE_BY_STATE[record.state] > _PRECEDENCE_BY_STATE[own.state]:
                self._overwrite(own, record, now)

    def drop(self, slice_id):
        """Forget a slice and whether its records were complete.

        :param slice_id: the slice.
        """
        super().drop(slice_id)
        self.clear_incomplete(slice_id)

    def mark_incomplete(self, slice_id, until):
        """Note that records of a slice may be missing.

        :param slice_id: the slice.
        :param until: time in seconds when missing records would have expired.
        """
        before = self._incomplete_until_by_slice.get(slice_id, -math.inf)
        self._incomplete_until_by_slice[slice_id] = max(before, until)

    def clear_incomplete(self, slice_id):
        """Note that the records of a slice are complete.

        :param slice_id: the slice.
        """
        self._incomplete_until_by_slice.pop(slice_id, None)

    def incomplete_until(self, slice_id, now):
        """Return until when records of a slice may be missing.

        :param slice_id: the slice.
        :param now: current time in seconds.
        :return: time in seconds, or None if the records are complete. It has to
            travel with the records when the slice moves.
        """
        until = self._incomplete_until_by_slice.get(slice_id)
        if until is not None and until <= now:
            del self._incomplete_until_by_slice[slice_id]
            return None
        return until

    def _overwrite(self, own, imported, now):
        # A running attempt must not be forgotten before it ends.
        running = own.expires_at == math.inf
        own_expires_at = now + RETENTION_S if running else own.expires_at
        # The client used one key for two requests. The record keeps its own
        # fingerprint, so that it never holds the response of the other request,
        # and is not forgotten if its attempt did not run, so that the other
        # request is refused as a mismatch instead of running again.
        same = own.fingerprint == imported.fingerprint
        response = imported.response if same else None
        # In place, because callers that repeated the request wait on the record.
        self._finish_record(own, response, max(own_expires_at, imported.expires_at))


class WitnessStore(RecordTable):
    """Copies of records held for other instances.

    A full store refuses further copies instead of dropping old ones, because the
    holder must know which records would be missing after a takeover.

    :param max_records: number of records kept.
    :param max_response_bytes: bound on the stored responses.
    """

    __slots__ = ("_max_records",)

    def __init__(
        self, max_records=MAX_WITNESS_RECORDS, max_response_bytes=MAX_RESPONSE_BYTES
    ):
        super().__init__(max_response_bytes)
        self._max_records = max_records

    def put(self, slice_id, record, now):
        """Keep a copy of a record for ``WITNESS_RETENTION_S``.

        :param slice_id: slice of the record.
        :param record: an :class:`OutcomeRecord`; it is copied.
        :param now: current time in seconds.
        :return: whether the copy is kept; false if the store is full.
        """
        self.expire(now, _MAX_EXPIRATIONS_PER_CALL)
        copy = replace(record, slice_id=slice_id, expires_at=now + WITNESS_RETENTION_S)
        if self._get(copy) is None and len(self) >= self._max_records:
            return False
        self._insert(copy)
        return True

    def recall(self, slice_ids):
        """Return copies of the records of some slices, for their new holder.

        :param slice_ids: iterable of slices.
        """
        return [
            replace(record)
            for slice_id in slice_ids
            for record in self._records_by_slice.get(slice_id, {}).values()
        ]

    def remove(self, slice_id, identity):
        """Forget a copy, for example of a request that did not run.

        :param slice_id: slice of the record.
        :param identity: result of :func:`digests.identity_digest`.
        """
        record = self._records_by_slice.get(slice_id, {}).get(identity)
        if record is not None:
            self._remove(record)
