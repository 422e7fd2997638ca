"""Fair order between the client accounts whose requests wait at one queue."""

import heapq
import math
from collections import deque

# Service received earlier than this counts little, in seconds. Accounts may exceed
# their usual rate for about as long.
SERVICE_TIME_CONSTANT_S = 5.0
# Requests per second. Usual rates of accounts are 3 to 10, and about 100 of a few.
DEFAULT_WEIGHT = 10.0
# Number of accounts from which those without recent service are forgotten.
MIN_FORGETTING_COUNT = 256
NEGLIGIBLE_SERVICE = 0.01


def get_account_id(pending):
    """Return the account of a request, ``""`` for all callers without one."""
    return "" if pending.account is None else pending.account.account_id


def get_weight(account):
    """Return the weight of an account in the order, which is its rate. A large account
    within its rate comes before a small one that exceeds its own.
    """
    return DEFAULT_WEIGHT if account is None else account.rate or DEFAULT_WEIGHT


class RecentService:
    """Number of requests that a queue has sent recently, by account."""

    def __init__(self):
        self._service_by_id = {}
        self._forgetting_count = MIN_FORGETTING_COUNT

    def record(self, account_id, now):
        """Record that a request was sent."""
        count = self.get(account_id, now) + 1
        self._service_by_id[account_id] = (count, now)
        if len(self._service_by_id) >= self._forgetting_count:
            self._forget_idle(now)

    def get(self, account_id, now):
        """Return the decayed number of requests sent for an account."""
        count, at = self._service_by_id.get(account_id, (0.0, now))
        return count * math.exp(min(0.0, at - now) / SERVICE_TIME_CONSTANT_S)

    def _forget_idle(self, now):
        for account_id in list(self._service_by_id):
            if self.get(account_id, now) < NEGLIGIBLE_SERVICE:
                del self._service_by_id[account_id]
        count = 2 * len(self._service_by_id)
        self._forgetting_count = max(MIN_FORGETTING_COUNT, count)


def order_fairly(pending_requests, service, now):
    """Return requests of one priority in the order in which they are sent.

    Handles an account that sends ten times its usual rate: the next request is that of
    the account with the least recent service by its weight, where each request ahead in
    the order counts as sent. Equal accounts, and the requests of one account, are
    ordered by arrival.

    :param pending_requests: requests by time of arrival.
    :param service: the `RecentService` of the queue.
    """
    waiting_by_id = {}
    for number, pending in enumerate(pending_requests):
        waiting = waiting_by_id.setdefault(get_account_id(pending), deque())
        waiting.append((number, pending))
    if len(waiting_by_id) < 2:
        return list(pending_requests)
    heap = []
    for account_id, waiting in waiting_by_id.items():
        number, pending = waiting[0]
        weight = get_weight(pending.account)
        tag = service.get(account_id, now) / weight
        heap.append((tag, number, account_id, weight))
    heapq.heapify(heap)
    ordered = []
    while heap:
        tag, _, account_id, weight = heap[0]
        waiting = waiting_by_id[account_id]
        ordered.append(waiting.popleft()[1])
        if waiting:
            entry = (tag + 1 / weight, waiting[0][0], account_id, weight)
            heapq.heapreplace(heap, entry)
        else:
            heapq.heappop(heap)
    return ordered


def choose_displaced(pending_requests, pending):
    """Return the waiting request to refuse in place of a new one at a full queue, None
    to refuse the new one.

    Handles an account that fills a queue: the newest request of the account with the
    most waiting requests is refused. Requests of other priorities stay, as do those
    that were sent before.

    :param pending_requests: the waiting requests.
    :param pending: the new request.
    """
    newest_by_id, count_by_id = {}, {}
    for other in pending_requests:
        if other.priority != pending.priority or other.sends:
            continue
        account_id = get_account_id(other)
        count_by_id[account_id] = count_by_id.get(account_id, 0) + 1
        newest = newest_by_id.get(account_id)
        if newest is None or other.arrived_at >= newest.arrived_at:
            newest_by_id[account_id] = other
    if not count_by_id:
        return None
    own_count = count_by_id.get(get_account_id(pending), 0) + 1
    largest_id = max(count_by_id, key=count_by_id.get)
    return newest_by_id[largest_id] if count_by_id[largest_id] > own_count else None
