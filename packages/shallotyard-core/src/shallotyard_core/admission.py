"""Admission control of one upstream: adaptive concurrency limit and bounded queue."""

import enum
import heapq
import math
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from shallotyard_core.exceptions import InvariantError

MAX_QUEUED_PER_SLOT = 4
SLOW_LATENCY_RATIO = 3.0
CONNECTION_FAILURES_UNTIL_COLD = 3
# The service time follows the last few responses. The long-term average covers
# about a hundred, so that a burst of slow responses is still compared with the
# latency before it.
SERVICE_TIME_WEIGHT = 0.2
LONG_TERM_AVERAGE_WEIGHT = 0.02
MIN_RETRY_AFTER_S = 0.1


class AdmissionResult(enum.Enum):
    """Result of `Admission.try_admit`."""

    ADMITTED = "admitted"
    QUEUED = "queued"
    REFUSED = "refused"


class FinishKind(enum.Enum):
    """Result of an attempt for the purpose of admission control.

    ``OK`` is any complete response that does not shed load. ``FAILED`` is a
    connection that was refused, or that broke in a way that proves that the request
    is not running. ``UNKNOWN`` is only used through
    :meth:`Admission.finish_unknown`.
    """

    OK = "ok"
    SHED = "shed"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class _QueuedItem:
    item: Any
    deadline: float
    exclusive: bool


class Admission:
    """Admission state of one upstream at its holder.

    Items are hashable and distinct. The queue is first in, first out, so an
    exclusive item blocks later ones only while it is at the head of the queue, until
    it is admitted or its deadline passes. The limit does not grow while ``cold`` is
    set.

    :param slots: maximum number of requests in flight.
    :param cold_slots: initial limit, also after a restart of the upstream.
    """

    __slots__ = (
        "cold",
        "draining",
        "in_flight",
        "limit",
        "max_queue",
        "slots",
        "_exclusive_running",
        "_cold_slots",
        "_connection_failures",
        "_expired",
        "_next_deadline",
        "_responses_until_reduction",
        "_service_time_s",
        "_long_term_average_s",
        "_successes",
        "_unknown_release_times",
        "_queued_by_item",
    )

    def __init__(self, slots, cold_slots):
        self._configure(slots, cold_slots)
        self.limit = self._cold_slots
        self.in_flight = 0
        self.cold = False
        self.draining = False
        self._exclusive_running = False
        self._connection_failures = 0
        self._expired = []
        # Lower bound on the deadlines of the queued items.
        self._next_deadline = math.inf
        self._responses_until_reduction = 0
        self._service_time_s = None
        self._long_term_average_s = None
        self._successes = 0
        self._unknown_release_times = []
        self._queued_by_item = OrderedDict()

    @classmethod
    def from_config(cls, service, now):
        """Return the admission state of a cold upstream.

        :param service: object with ``slots`` and ``cold_slots``.
        :param now: current time in seconds.
        """
        return cls(service.slots, service.cold_slots)

    def reconfigure(self, service):
        """Apply changed slots and keep the requests in flight and in the queue.

        :param service: object with ``slots`` and ``cold_slots``.
        """
        self._configure(service.slots, service.cold_slots)
        self.limit = min(max(self.limit, self._cold_slots), self.slots)

    @property
    def queue_length(self):
        return len(self._queued_by_item)

    def try_admit(self, item, deadline, now, exclusive=False):
        """Admit, queue or refuse an item.

        :param item: hashable value that identifies the request.
        :param deadline: time in seconds after which the item is dropped.
        :param now: current time in seconds.
        :param exclusive: whether no other item may be in flight at the same time.
        :return: an :class:`AdmissionResult`; with ``ADMITTED``, the item counts as in
            flight.
        """
        self._release_unknown(now)
        if self.draining or deadline <= now:
            return AdmissionResult.REFUSED
        queued_by_item = self._queued_by_item
        if not queued_by_item and self._has_free_slot(exclusive):
            self._occupy_slot(exclusive)
            return AdmissionResult.ADMITTED
        if len(queued_by_item) >= self.max_queue:
            return AdmissionResult.REFUSED
        if now + self._estimate_wait_s() + (self._service_time_s or 0.0) > deadline:
            return AdmissionResult.REFUSED
        if item in queued_by_item:
            raise InvariantError("admission-queue", "item is already queued")
        queued_by_item[item] = _QueuedItem(item, deadline, exclusive)
        if deadline < self._next_deadline:
            self._next_deadline = deadline
        return AdmissionResult.QUEUED

    def finish(self, now, latency_s, kind):
        """Free the slot of an admitted item and adapt the limit.

        :param now: current time in seconds.
        :param latency_s: duration of the attempt in seconds.
        :param kind: a :class:`FinishKind` other than ``UNKNOWN``.
        :raises InvariantError: if no such item is in flight.
        """
        if kind is FinishKind.UNKNOWN:
            raise InvariantError(
                "admission-limit", "an attempt of unknown outcome frees no slot"
            )
        self._require_item_in_flight()
        limit_in_use = self.in_flight >= self.limit
        self._free_slot()
        if kind is FinishKind.FAILED:
            self._connection_failures += 1
            if self._connection_failures >= CONNECTION_FAILURES_UNTIL_COLD:
                self.reset_limit(now)
            return
        self._connection_failures = 0
        if self._responses_until_reduction > 0:
            self._responses_until_reduction -= 1
        slow = kind is not FinishKind.SHED and self._record_latency(latency_s)
        # Below the limit, a slow response is not caused by too many requests, and a
        # lower limit would only delay other requests.
        if kind is FinishKind.SHED or (slow and limit_in_use):
            self._reduce_limit()
            return
        if self.cold:
            # Fast responses do not prove that a cold upstream can handle more requests.
            return
        self._successes += 1
        if self._successes >= self.limit:
            self._successes = 0
            self.limit = min(self.limit + 1, self.slots)

    def finish_unknown(self, now, release_at):
        """End an attempt that may still be running; its slot stays occupied.

        :param now: current time in seconds.
        :param release_at: time in seconds when the attempt has ended for certain.
        :raises InvariantError: if no such item is in flight.
        """
        self._require_item_in_flight()
        heapq.heappush(self._unknown_release_times, release_at)
        self._release_unknown(now)

    def release_slot(self):
        """Free the slot of an admitted item that was not sent, or was cancelled."""
        self._require_item_in_flight()
        self._free_slot()

    def resolve_unknown(self, now, release_at):
        """Free the slot of an attempt of unknown outcome that is known to have ended.

        :param now: current time in seconds.
        :param release_at: the value given to :meth:`finish_unknown`.
        :return: whether a slot was freed; false if ``release_at`` had passed already.
        """
        self._release_unknown(now)
        # There is at most one entry per slot, so a linear search is cheap.
        if release_at not in self._unknown_release_times:
            return False
        self._unknown_release_times.remove(release_at)
        heapq.heapify(self._unknown_release_times)
        self._free_slot()
        return True

    def reset_limit(self, now):
        """Return to the cold limit after a restart or repeated connection failures.

        :param now: current time in seconds.
        """
        self.limit = self._cold_slots
        # Responses to attempts from before the restart do not prove that the
        # restarted upstream is warm.
        self._successes = -self.in_flight
        self._responses_until_reduction = 0
        self._connection_failures = 0

    def pop_ready(self, now):
        """Admit the queued items that fit.

        :param now: current time in seconds.
        :return: the admitted items, each counted in flight, oldest first.
        """
        self._release_unknown(now)
        queued_by_item = self._queued_by_item
        ready = []
        if self.draining:
            return ready
        while queued_by_item:
            queued_item = next(iter(queued_by_item.values()))
            if queued_item.deadline <= now:
                self._expired.append(queued_item.item)
            elif self._has_free_slot(queued_item.exclusive):
                self._occupy_slot(queued_item.exclusive)
                ready.append(queued_item.item)
            else:
                break
            queued_by_item.popitem(last=False)
        return ready

    def pop_expired(self, now):
        """Remove the queued items whose deadline has passed.

        :param now: current time in seconds.
        :return: the removed items; none of them was admitted.
        """
        expired = self._expired
        self._expired = []
        if now < self._next_deadline:
            return expired
        next_deadline = math.inf
        for queued_item in list(self._queued_by_item.values()):
            if queued_item.deadline <= now:
                expired.append(queued_item.item)
                del self._queued_by_item[queued_item.item]
            else:
                next_deadline = min(next_deadline, queued_item.deadline)
        self._next_deadline = next_deadline
        return expired

    def cancel(self, item):
        """Remove an item from the queue.

        :param item: the item passed to :meth:`try_admit`.
        :return: whether it was queued.
        """
        if item in self._expired:
            self._expired.remove(item)
            return True
        return self._queued_by_item.pop(item, None) is not None

    def drain_queue(self):
        """Remove all queued items, to redirect or refuse them.

        :return: the items, oldest first; none of them was admitted.
        """
        items = self._expired + list(self._queued_by_item)
        self._expired = []
        self._queued_by_item.clear()
        self._next_deadline = math.inf
        return items

    def get_next_due_at(self):
        """Return when to call :meth:`pop_expired` and :meth:`pop_ready` next.

        :return: time in seconds, or ``None`` if nothing is due; items may be ready
            earlier if others finish.
        """
        due = math.inf
        if self._queued_by_item or self._expired:
            due = self._next_deadline
        if self._unknown_release_times:
            due = min(due, self._unknown_release_times[0])
        return None if due == math.inf else due

    def estimate_retry_after_s(self, now):
        """Return the delay after which a refused request may be admitted.

        :param now: current time in seconds.
        :return: delay in seconds, at least ``MIN_RETRY_AFTER_S``.
        """
        delay_s = self._estimate_wait_s()
        release_times = self._unknown_release_times
        if release_times and len(release_times) >= min(self.in_flight, self.limit):
            delay_s = max(delay_s, release_times[0] - now)
        return max(MIN_RETRY_AFTER_S, delay_s)

    def _configure(self, slots, cold_slots):
        self.slots = slots
        self.max_queue = MAX_QUEUED_PER_SLOT * slots
        # With a limit of zero no request is sent, so no response could raise it.
        self._cold_slots = max(1, min(cold_slots, slots))

    def _has_free_slot(self, exclusive):
        if exclusive:
            return self.in_flight == 0
        return self.in_flight < self.limit and not self._exclusive_running

    def _occupy_slot(self, exclusive):
        if self._exclusive_running or (exclusive and self.in_flight):
            raise InvariantError(
                "admission-alone", f"{self.in_flight} other items in flight"
            )
        self.in_flight += 1
        if self.in_flight > self.slots:
            raise InvariantError(
                "admission-limit", f"{self.in_flight} in flight, {self.slots} slots"
            )
        self._exclusive_running = exclusive

    def _free_slot(self):
        self.in_flight -= 1
        if self.in_flight == 0:
            self._exclusive_running = False

    def _require_item_in_flight(self):
        if self.in_flight <= len(self._unknown_release_times):
            raise InvariantError("admission-limit", "finish without an item in flight")

    def _release_unknown(self, now):
        release_times = self._unknown_release_times
        while release_times and release_times[0] <= now:
            heapq.heappop(release_times)
            self._free_slot()

    def _estimate_wait_s(self):
        if self._service_time_s is None:
            return 0.0
        return (len(self._queued_by_item) + 1) * self._service_time_s / self.limit

    def _record_latency(self, latency_s):
        """Update the averages and return whether the response was slow."""
        if self._service_time_s is None:
            self._service_time_s = latency_s
            self._long_term_average_s = latency_s
            return False
        slow = latency_s > SLOW_LATENCY_RATIO * self._long_term_average_s
        self._service_time_s += SERVICE_TIME_WEIGHT * (latency_s - self._service_time_s)
        self._long_term_average_s += LONG_TERM_AVERAGE_WEIGHT * (
            latency_s - self._long_term_average_s
        )
        return slow

    def _reduce_limit(self):
        # Requests that are already in flight are part of the same overload, so their
        # responses do not reduce the limit a second time.
        if self._responses_until_reduction == 0:
            self._responses_until_reduction = self.limit
            self.limit = max(self._cold_slots, self.limit // 2)
        self._successes = min(self._successes, 0)
