"""Stores of outcome records, which let each non-idempotent request run at most once."""

import enum
import math
from dataclasses import dataclass
from dataclasses import replace

from shallotyard_core.outcome_records import RETENTION_S
from shallotyard_core.outcome_records import OutcomeRecord
from shallotyard_core.outcome_records import RecordState
from shallotyard_core.record_table import RecordTable
from shallotyard_core.verdict import Verdict

# A witness gets its copy before the request is sent, but the retention period starts
# when the attempt ends. Copies are therefore kept longer by the maximum duration of an
# attempt.
MAX_ATTEMPT_S = 60.0
WITNESS_RETENTION_S = RETENTION_S + MAX_ATTEMPT_S
MAX_STORED_RESPONSE_BYTES = 32 * 1024 * 1024
MAX_WITNESS_RECORDS = 500_000
# Bounds the work that one call to register or put does for expired records. It is
# greater than one so that expiry keeps up with new records.
_MAX_EXPIRATIONS_PER_CALL = 4


class RegistrationStatus(enum.Enum):
    """Result of registering a request.

    Only ``NEW`` allows the request to run. For ``RUNNING`` and ``DONE``, an earlier
    request with the same identity is running or has a stored response. For
    ``UNKNOWN`` (an earlier request may have run) and ``INCOMPLETE`` (records may be
    missing), the verdict is ``may-have-run``. ``MISMATCH`` means that the
    ``Idempotency-Key`` belongs to another request.
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
    """Result of :meth:`OutcomeStore.register`.

    :param status: whether the request may run, and why not.
    :param record: the record of the first request, ``None`` if there is none.
    """

    status: RegistrationStatus
    record: OutcomeRecord | None = None


class OutcomeStore(RecordTable):
    """Outcome records of the slices that this instance holds.

    :param max_response_bytes: bound on the stored responses in bytes; above it, the
        oldest are dropped and the state of their records becomes ``UNKNOWN``.
    """

    __slots__ = ("_incomplete_until_by_slice",)

    def __init__(self, max_response_bytes=MAX_STORED_RESPONSE_BYTES):
        super().__init__(max_response_bytes)
        self._incomplete_until_by_slice = {}

    def register(self, slice_id, identity, fingerprint, now):
        """Record a request as running unless an earlier one has the same identity.

        :param slice_id: slice of the request.
        :param identity: result of :func:`digests.compute_identity_digest`.
        :param fingerprint: result of :func:`digests.compute_request_fingerprint`.
        :param now: current time in seconds.
        :return: a :class:`RegistrationResult`.
        """
        self.expire(now, _MAX_EXPIRATIONS_PER_CALL)
        record = self._records_by_slice.get(slice_id, {}).get(identity)
        if record is not None and record.expires_at > now:
            if record.fingerprint != fingerprint:
                return RegistrationResult(RegistrationStatus.MISMATCH, record)
            return RegistrationResult(_STATUS_BY_STATE[record.state], record)
        if self.get_incomplete_until(slice_id, now) is not None:
            return RegistrationResult(RegistrationStatus.INCOMPLETE)
        record = OutcomeRecord(slice_id, identity, fingerprint, RecordState.RUNNING)
        self._insert(record)
        return RegistrationResult(RegistrationStatus.NEW, record)

    def record_outcome(self, slice_id, identity, now, verdict, response=None):
        """Record the outcome of a registered request.

        ``NOT_RUN`` removes a running record only. A record that an import made unknown
        or done describes another attempt, to which this outcome does not apply.

        :param slice_id: slice of the request.
        :param identity: result of :func:`digests.compute_identity_digest`.
        :param now: current time in seconds.
        :param verdict: combined verdict of all its attempts.
        :param response: a :class:`StoredResponse` with verdict ``RAN``, else ``None``.
        :return: the updated record, ``None`` if there is none.
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

    def list_slice_ids(self):
        """Return the ids of the slices that have records."""
        return list(self._records_by_slice)

    def get(self, slice_id, identity):
        """Return the record of an identity, ``None`` if there is none.

        :param slice_id: slice of the record.
        :param identity: result of :func:`digests.compute_identity_digest`.
        """
        return self._records_by_slice.get(slice_id, {}).get(identity)

    def export(self, slice_id):
        """Return copies of the records of a slice, to send to another instance.

        :param slice_id: the slice.
        """
        by_identity = self._records_by_slice.get(slice_id, {})
        return [replace(record) for record in by_identity.values()]

    def import_records(self, slice_id, records, now):
        """Merge records of another instance into a slice.

        Done takes precedence over unknown, and unknown over running. An imported
        running record becomes unknown, because this instance does not see its attempt
        end.

        :param slice_id: slice to merge into; it may be a part of the slice that the
            records come from.
        :param records: iterable of :class:`OutcomeRecord` with times in local time.
        :param now: current time in seconds.
        """
        for imported in records:
            if imported.expires_at <= now:
                continue
            record = replace(imported, slice_id=slice_id)
            if record.state is RecordState.RUNNING:
                record.state = RecordState.UNKNOWN
            record.expires_at = min(record.expires_at, now + RETENTION_S)
            own = self._get_stored(record)
            if own is None or own.expires_at <= now:
                self._insert(record)
            elif _PRECEDENCE_BY_STATE[record.state] > _PRECEDENCE_BY_STATE[own.state]:
                self._overwrite(own, record, now)

    def drop(self, slice_id):
        """Remove the records of a slice and the mark that some may be missing.

        :param slice_id: the slice.
        """
        super().drop(slice_id)
        self.clear_incomplete(slice_id)

    def mark_incomplete(self, slice_id, until):
        """Record that outcome records of a slice may be missing.

        :param slice_id: the slice.
        :param until: time in seconds when missing records would have expired.
        """
        before = self._incomplete_until_by_slice.get(slice_id, -math.inf)
        self._incomplete_until_by_slice[slice_id] = max(before, until)

    def clear_incomplete(self, slice_id):
        """Record that the outcome records of a slice are complete.

        :param slice_id: the slice.
        """
        self._incomplete_until_by_slice.pop(slice_id, None)

    def get_incomplete_until(self, slice_id, now):
        """Return until when outcome records of a slice may be missing.

        :param slice_id: the slice.
        :param now: current time in seconds.
        :return: time in seconds, ``None`` if the records are complete. It has to be
            sent with the records when the slice moves.
        """
        until = self._incomplete_until_by_slice.get(slice_id)
        if until is not None and until <= now:
            del self._incomplete_until_by_slice[slice_id]
            return None
        return until

    def _overwrite(self, own, imported, now):
        # The record of a running attempt must not expire before the attempt ends.
        running = own.expires_at == math.inf
        own_expires_at = now + RETENTION_S if running else own.expires_at
        # With different fingerprints, the client used one key for two requests. The
        # record keeps its own fingerprint, so it must not get the response of the
        # other request. It is kept even if its own attempt did not run, so that the
        # other request is refused as a mismatch instead of running again.
        same = own.fingerprint == imported.fingerprint
        response = imported.response if same else None
        # Updated in place, because repeated calls of the request wait on the record.
        self._finish_record(own, response, max(own_expires_at, imported.expires_at))


class WitnessStore(RecordTable):
    """Copies of outcome records that a witness stores for other instances.

    A full store refuses further copies instead of dropping old ones, because the
    holder must know which records would be missing after a takeover.

    :param max_records: maximum number of records.
    :param max_response_bytes: bound on the stored responses in bytes.
    """

    __slots__ = ("_max_records",)

    def __init__(
        self,
        max_records=MAX_WITNESS_RECORDS,
        max_response_bytes=MAX_STORED_RESPONSE_BYTES,
    ):
        super().__init__(max_response_bytes)
        self._max_records = max_records

    def put(self, slice_id, record, now):
        """Store a copy of a record for ``WITNESS_RETENTION_S``.

        :param slice_id: slice of the record.
        :param record: an :class:`OutcomeRecord`; it is copied.
        :param now: current time in seconds.
        :return: whether the copy was stored; false if the store is full.
        """
        self.expire(now, _MAX_EXPIRATIONS_PER_CALL)
        copy = replace(record, slice_id=slice_id, expires_at=now + WITNESS_RETENTION_S)
        if self._get_stored(copy) is None and len(self) >= self._max_records:
            return False
        self._insert(copy)
        return True

    def recall(self, slice_ids):
        """Return copies of the records of some slices, for their new holder.

        :param slice_ids: iterable of slice ids.
        """
        return [
            replace(record)
            for slice_id in slice_ids
            for record in self._records_by_slice.get(slice_id, {}).values()
        ]

    def remove(self, slice_id, identity):
        """Remove a copy, for example of a request that did not run.

        :param slice_id: slice of the record.
        :param identity: result of :func:`digests.compute_identity_digest`.
        """
        record = self._records_by_slice.get(slice_id, {}).get(identity)
        if record is not None:
            self._remove(record)
