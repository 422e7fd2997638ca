"""Memory of non-idempotent requests, so that each runs at most once."""

import base64
import enum
import math
from collections import OrderedDict
from collections import deque
from dataclasses import dataclass
from dataclasses import replace

import xxhash

from shallotyard_core.verdict import Verdict

RETENTION_S = 300.0
# A witness gets its copy before the first send, but the retention period starts
# when the attempt ends.
MAX_RUN_S = 60.0
WITNESS_RETENTION_S = RETENTION_S + MAX_RUN_S
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
MAX_WITNESS_RECORDS = 500_000
# Bounds the work that one begin or put does for records of the past; above one,
# so that expiry keeps up with new records.
_EXPIRIES_PER_CALL = 4


class RecordState(enum.Enum):
    """What is known of a recorded request."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


class BeginKind(enum.Enum):
    """Answer to a request that wants to start.

    Only ``FRESH`` allows the request to run. ``UNKNOWN`` and ``INCOMPLETE`` are
    answered with ``may-have-run``.
    """

    FRESH = "fresh"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    INCOMPLETE = "incomplete"


_STRENGTH_BY_STATE = {
    RecordState.RUNNING: 0,
    RecordState.UNKNOWN: 1,
    RecordState.DONE: 2,
}
_KIND_BY_STATE = {
    RecordState.RUNNING: BeginKind.RUNNING,
    RecordState.UNKNOWN: BeginKind.UNKNOWN,
    RecordState.DONE: BeginKind.DONE,
}


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """Whole response kept for repeated requests.

    :param status: HTTP status code.
    :param headers: pairs of header name and value.
    :param body: the body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def size_bytes(self):
        """Return the number of bytes that count against the bound."""
        return len(self.body) + sum(
            len(name) + len(value) for name, value in self.headers
        )

    def to_wire(self):
        """Return a dict of JSON types."""
        return {
            "status": self.status,
            "headers": [list(pair) for pair in self.headers],
            "body": base64.b64encode(self.body).decode("ascii"),
        }

    @classmethod
    def from_wire(cls, wire):
        """Return the response that :meth:`to_wire` described."""
        return cls(
            status=wire["status"],
            headers=tuple((name, value) for name, value in wire["headers"]),
            body=base64.b64decode(wire["body"]),
        )


@dataclass(slots=True)
class OutcomeRecord:
    """One non-idempotent request.

    :param slice_id: slice of the request.
    :param identity: result of :func:`identity_digest`.
    :param fingerprint: result of :func:`request_fingerprint`.
    :param state: what is known of it.
    :param expires_at: time in seconds when it may be forgotten; infinite while
        it runs here.
    :param response: the response, in state ``DONE`` only.
    """

    slice_id: str
    identity: str
    fingerprint: str
    state: RecordState
    expires_at: float = math.inf
    response: StoredResponse | None = None

    def to_wire(self, now):
        """Return a dict of JSON types, without any client id.

        :param now: current time in seconds; the dict holds the time left, because
            instances have different clocks.
        """
        running = self.expires_at == math.inf
        return {
            "slice": self.slice_id,
            "identity": self.identity,
            "fingerprint": self.fingerprint,
            "state": self.state.value,
            "ttl_s": None if running else max(0.0, self.expires_at - now),
            "response": None if self.response is None else self.response.to_wire(),
        }

    @classmethod
    def from_wire(cls, wire, now):
        """Return the record that :meth:`to_wire` described.

        :param wire: dict from another instance.
        :param now: current time in seconds on this instance.
        """
        ttl_s = wire["ttl_s"]
        response = wire["response"]
        return cls(
            slice_id=wire["slice"],
            identity=wire["identity"],
            fingerprint=wire["fingerprint"],
            state=RecordState(wire["state"]),
            expires_at=math.inf if ttl_s is None else now + min(ttl_s, RETENTION_S),
            response=None if response is None else StoredResponse.from_wire(response),
        )


@dataclass(frozen=True, slots=True)
class BeginResult:
    """Answer of :meth:`OutcomeMemory.begin`.

    :param kind: what the request may do.
    :param record: the record of the first request, where there is one.
    """

    kind: BeginKind
    record: OutcomeRecord | None = None


def identity_digest(client_id, idempotency_key):
    """Return the digest that names one client's idempotency key.

    :param client_id: client account of the caller.
    :param idempotency_key: value of the ``Idempotency-Key`` header.
    :return: 32 hexadecimal digits.
    """
    return _digest((client_id, idempotency_key))


def request_fingerprint(client_id, method, target, key, body):
    """Return the digest that tells whether two requests are the same.

    :param client_id: client account of the caller.
    :param method: HTTP method.
    :param target: path and query.
    :param key: value of the ``Shallotyard-Key`` header, or None.
    :param body: body as bytes.
    :return: 32 hexadecimal digits.
    """
    return _digest((client_id, method, target, key, body))


def _digest(parts):
    # Each part is preceded by its length, so that no two different lists of
    # parts give the same bytes. None has a length that no part has.
    digest = xxhash.xxh3_128()
    for part in parts:
        if part is None:
            digest.update(b"-1:")
            continue
        data = part.encode("utf-8", "surrogatepass") if isinstance(part, str) else part
        digest.update(b"%d:" % len(data))
        digest.update(data)
    return digest.hexdigest()


class _RecordTable:
    """Records by slice and identity, with expiry and a bound on response bytes."""

    __slots__ = (
        "_expiring",
        "_max_response_bytes",
        "_records_by_slice",
        "_response_bytes",
        "_responding_by_identity",
        "_record_count",
    )

    def __init__(self, max_response_bytes):
        self._max_response_bytes = max_response_bytes
        self._records_by_slice = {}
        # In order of insertion. Imported records may expire earlier than those
        # before them; they are then kept longer than needed, which is safe.
        self._expiring = deque()
        self._responding_by_identity = OrderedDict()
        self._response_bytes = 0
        self._record_count = 0

    def __len__(self):
        return self._record_count

    @property
    def response_bytes(self):
        """Total size of the stored responses in bytes."""
        return self._response_bytes

    def expire(self, now, max_records=None):
        """Forget records whose retention period has passed.

        :param now: current time in seconds.
        :param max_records: largest number of entries examined, or None for all.
        """
        expiring = self._expiring
        budget = len(expiring) if max_records is None else max_records
        while budget > 0 and expiring:
            expires_at, record = expiring[0]
            if expires_at > now:
                return
            expiring.popleft()
            budget -= 1
            # A record that was replaced or renewed has a later entry.
            if record.expires_at <= now and self._get(record) is record:
                self._remove(record)

    def drop(self, slice_id):
        """Forget all records of a slice, for example after a release.

        :param slice_id: the slice.
        """
        for record in list(self._records_by_slice.get(slice_id, {}).values()):
            self._remove(record)

    def _get(self, record):
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
            self._expiring.append((record.expires_at, record))
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
        self._forget_response(record)

    def _settle(self, record, response, expires_at):
        """End a running record as done (with a response) or unknown (without)."""
        self._forget_response(record)
        record.expires_at = expires_at
        self._expiring.append((expires_at, record))
        self._store_response(record, response)

    def _store_response(self, record, response):
        size_bytes = math.inf if response is None else response.size_bytes()
        if size_bytes > self._max_response_bytes:
            record.state = RecordState.UNKNOWN
            return
        record.state = RecordState.DONE
        record.response = response
        self._response_bytes += size_bytes
        responding = self._responding_by_identity
        responding[record.slice_id, record.identity] = record
        while self._response_bytes > self._max_response_bytes:
            oldest = next(iter(responding.values()))
            self._forget_response(oldest)
            oldest.state = RecordState.UNKNOWN

    def _forget_response(self, record):
        if record.response is not None:
            self._response_bytes -= record.response.size_bytes()
            record.response = None
            del self._responding_by_identity[record.slice_id, record.identity]


class OutcomeMemory(_RecordTable):
    """Outcomes of the slices that this instance holds.

    :param max_response_bytes: bound on the stored responses; above it, the oldest
        are dropped and their records say only that the request ran or may have.
    """

    __slots__ = ("_incomplete_until_by_slice",)

    def __init__(self, max_response_bytes=MAX_RESPONSE_BYTES):
        super().__init__(max_response_bytes)
        self._incomplete_until_by_slice = {}

    def begin(self, slice_id, identity, fingerprint, now):
        """Record a request as running, or find what is known of it.

        :param slice_id: slice of the request.
        :param identity: result of :func:`identity_digest`.
        :param fingerprint: result of :func:`request_fingerprint`.
        :param now: current time in seconds.
        :return: a :class:`BeginResult`.
        """
        self.expire(now, _EXPIRIES_PER_CALL)
        record = self._records_by_slice.get(slice_id, {}).get(identity)
        if record is not None and record.expires_at > now:
            if record.fingerprint != fingerprint:
                return BeginResult(BeginKind.MISMATCH, record)
            return BeginResult(_KIND_BY_STATE[record.state], record)
        if self.incomplete_until(slice_id, now) is not None:
            return BeginResult(BeginKind.INCOMPLETE)
        record = OutcomeRecord(slice_id, identity, fingerprint, RecordState.RUNNING)
        self._insert(record)
        return BeginResult(BeginKind.FRESH, record)

    def finish(self, slice_id, identity, now, verdict, response=None):
        """Record the outcome of a request that had begun.

        ``NOT_RUN`` forgets a running record only: one that became unknown or done
        by an import describes another attempt, which this outcome says nothing
        about.

        :param slice_id: slice of the request.
        :param identity: result of :func:`identity_digest`.
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
        self._settle(record, response, now + RETENTION_S)
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
            elif _STRENGTH_BY_STATE[record.state] > _STRENGTH_BY_STATE[own.state]:
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
        self._settle(own, response, max(own_expires_at, imported.expires_at))


class WitnessStore(_RecordTable):
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
        self.expire(now, _EXPIRIES_PER_CALL)
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
        :param identity: result of :func:`identity_digest`.
        """
        record = self._records_by_slice.get(slice_id, {}).get(identity)
        if record is not None:
            self._remove(record)
