"""Journal of committed executions that checks invariants at each commit."""

import collections
import hashlib
from dataclasses import asdict
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Execution:
    """One committed execution.

    :param start: start time in ms of ``CLOCK_BOOTTIME``.
    :param end: time of the commit in ms of ``CLOCK_BOOTTIME``.
    """

    upstream: str
    slice: str
    epoch: int
    key_digest: str
    request_id: str
    idempotency_key: str
    method: str
    start: float
    end: float


def digest_key(service, client, key):
    """Return the digest that identifies a key in the journal.

    :param service: service of the key.
    :param client: client or credential of the request.
    :param key: the key, or an empty string.
    :return: 16 hexadecimal digits; an empty string for an empty key.
    """
    if not key:
        return ""
    text = "\0".join((service, client, key)).encode()
    return hashlib.blake2b(text, digest_size=8).hexdigest()


class Journal:
    """Executions of all upstreams of one process, and counts of violations.

    :param limit: maximum number of executions kept; the oldest are dropped.
    """

    def __init__(self, limit):
        self._executions = collections.deque(maxlen=limit)
        self._count = 0
        self._ends_by_upstream_by_key = {}
        self._highest_epochs_by_slice = {}
        self._seen_idempotency_keys = set()
        self.executions_by_key = collections.Counter()
        self.violations_by_kind = collections.Counter()
        self.examples_by_kind = {}

    def record_violation(self, kind, detail):
        """Count a violation and keep its first example.

        :param kind: name of the violated rule.
        :param detail: description of the violation, as a JSON value.
        """
        self.violations_by_kind[kind] += 1
        self.examples_by_kind.setdefault(kind, detail)

    def commit(self, execution, slice_scope, client, service, keyed):
        """Record an execution and check it against earlier ones.

        :param execution: the ``Execution``.
        :param slice_scope: service and region in which the slice id is unique.
        :param client: client or credential of the request.
        :param service: service of the upstream.
        :param keyed: whether each key of the service has one owner.
        :return: number of executions of the key so far.
        """
        self._executions.append(execution)
        self._count += 1
        if keyed:
            self._check_owner(execution)
            self._check_epoch(execution, slice_scope)
        if execution.idempotency_key and execution.method not in ("GET", "HEAD"):
            scoped_key = (service, client, execution.idempotency_key)
            if scoped_key in self._seen_idempotency_keys:
                self.record_violation("repeated_execution", asdict(execution))
            self._seen_idempotency_keys.add(scoped_key)
        if not execution.key_digest:
            return 1
        self.executions_by_key[execution.key_digest] += 1
        return self.executions_by_key[execution.key_digest]

    def _check_owner(self, execution):
        if not execution.key_digest:
            return
        ends_by_upstream = self._ends_by_upstream_by_key.setdefault(
            execution.key_digest, {}
        )
        for upstream, end in ends_by_upstream.items():
            if upstream != execution.upstream and end > execution.start:
                detail = {**asdict(execution), "other": upstream, "other_end": end}
                self.record_violation("two_owners", detail)
        ends_by_upstream[execution.upstream] = execution.end

    def _check_epoch(self, execution, slice_scope):
        if not execution.slice:
            return
        scoped_slice = (*slice_scope, execution.slice)
        highest = self._highest_epochs_by_slice.get(scoped_slice, 0)
        if execution.epoch < highest:
            self.record_violation(
                "epoch_regress", {**asdict(execution), "highest": highest}
            )
        self._highest_epochs_by_slice[scoped_slice] = max(highest, execution.epoch)

    def read(self, since):
        """Return the executions from a position on.

        :param since: number of executions to skip, counted from the first one.
        :return: dict with ``entries``, the ``next`` position, and ``dropped``, the
            number of requested executions that are no longer kept.
        """
        first_kept_position = self._count - len(self._executions)
        skipped = max(since - first_kept_position, 0)
        entries = [
            asdict(execution)
            for number, execution in enumerate(self._executions)
            if number >= skipped
        ]
        dropped = max(first_kept_position - since, 0)
        return {"entries": entries, "next": self._count, "dropped": dropped}
