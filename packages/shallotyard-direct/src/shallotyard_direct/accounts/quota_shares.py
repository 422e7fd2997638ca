"""Keeps the requests of client accounts within their quotas, at each instance.

Handles accounts with a few requests a second up to several hundred, spread over up to
126 instances, and sudden surges to ten times the usual rate. An instance admits a
request of an account while its share of the account's quota has room. The shares of all
instances together never exceed the quota, so that an instance that is cut off cannot
spend what others spend. See docs/design/account-quotas.md.
"""

import enum
import heapq
import math
import zlib
from collections import deque
from dataclasses import dataclass
from dataclasses import field

# The granter counts a share as in use for this long after it was granted, and for one
# window more.
SHARE_VALIDITY_S = 8.0
# A request may be admitted with a share until this long before it expires, as it may
# wait for an upstream before it is sent.
LATE_SEND_S = 1.0
MIN_REQUEST_PERIOD_S = 0.05
# Without an answer for this long, the granter is taken for lost. It is asked again at
# the longer period.
GRANTER_TIMEOUT_S = 0.3
LOST_GRANTER_PERIOD_S = 0.5
# A request waits for a share for at most the timeout above, and for at most this
# fraction of its target latency.
MAX_WAIT_PER_TARGET_LATENCY = 0.25
# The granter is not asked again for this long after it granted less than was needed.
DENIAL_S = 0.5
MIN_RETRY_AFTER_S = 0.2
RETRY_JITTER = 0.5
UNKNOWN_RETRY_AFTER_S = 0.5
# Part of the tolerated excess that instances may use without the granter. The rest is
# for restarts and for requests in transit.
MARGIN_FRACTION = 0.5
# Requests of one account that are counted as demand in a window.
MAX_DEMAND = 5000


class AdmissionResult(enum.Enum):
    """What becomes of a request of an account."""

    ADMITTED = "admitted"
    WAIT = "wait"
    EXCEEDED = "exceeded"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class Admission:
    """Answer to a request of an account.

    :param retry_after_s: delay before a retry of a refused request, in seconds.
    :param capacity: requests of the account in a window, 0 without a quota.
    :param source: ``granter`` if the share decided, ``margin`` if it was the part that
        is used without the granter, ``""`` if the account has no quota.
    """

    result: AdmissionResult
    retry_after_s: float = 0.0
    source: str = ""
    capacity: int = 0


# Life of the store, term of the lease and number of the acquisition.
NO_GRANTER = (0, 0, 0)
UNLIMITED = Admission(AdmissionResult.ADMITTED)
_ADMITTED = Admission(AdmissionResult.ADMITTED, source="granter")
_WAIT = Admission(AdmissionResult.WAIT)


def compute_capacity(account, window_s):
    """Return the number of requests of an `Account` in a window, None for no limit."""
    if not account.rate:
        return None
    return max(1, int(account.rate * window_s + account.burst))


def compute_capacities(accounts, window_s):
    """Return the capacities of the accounts that have a quota, by account id."""
    capacities = {a.account_id: compute_capacity(a, window_s) for a in accounts}
    return {i: capacity for i, capacity in capacities.items() if capacity is not None}


def compute_margin(capacity, settings):
    """Return the requests by which a capacity may be exceeded in a window."""
    return settings.quota_overage * capacity + settings.quota_slack


class _Credits:
    """Requests that count in the current window.

    :param running: number of requests that have not ended.
    :param send_times: heap of the send times of those that have ended, in seconds.
    """

    def __init__(self, window_s):
        self.window_s = window_s
        self.running = 0
        self.send_times = []

    def count(self, now):
        """Return the number of requests that count."""
        send_times = self.send_times
        while send_times and send_times[0] + self.window_s < now:
            heapq.heappop(send_times)
        return self.running + len(send_times)


@dataclass(slots=True, eq=False)
class _Use:
    """The share of this instance in the quota of an account, and its use.

    :param capacity: requests of all instances in a window, None for no limit.
    :param expires_at: time at which the share expires, in seconds.
    :param demand: times at which requests arrived in the last window, in seconds.
    :param waiting: requests that wait for a share.
    :param denied_until: time until which the granter is not asked again.
    :param is_denial_certain: whether the granter knew all shares when it granted less.
    :param asked_at: time of the unanswered request for a share, in seconds.
    :param needed: what that request asked for.
    :param is_lowered: whether the granter waits for the confirmation of a lower share.
    """

    capacity: int | None
    rate: float
    shared: _Credits
    margin: _Credits
    share: int = 0
    expires_at: float = -math.inf
    demand: deque = field(default_factory=lambda: deque(maxlen=MAX_DEMAND))
    waiting: set[str] = field(default_factory=set)
    denied_until: float = -math.inf
    is_denial_certain: bool = True
    asked_at: float = -math.inf
    needed: int = 0
    is_lowered: bool = False

    def get_share(self, now):
        """Return how many requests in a window this instance may admit."""
        return self.share if now < self.expires_at - LATE_SEND_S else 0

    def count_demand(self, window_s, now):
        """Return the number of requests that arrived in the last window."""
        demand = self.demand
        while demand and demand[0] + window_s < now:
            demand.popleft()
        return len(demand)


@dataclass(slots=True, eq=False)
class _Credit:
    """What a request has taken from a share or a margin."""

    credits: _Credits
    use: _Use
    sent_at: float | None = None


class AccountQuotas:
    """Shares of this instance in the quotas of client accounts.

    :param settings: the `DirectSettings`.
    :param incarnation: unique id of this run of the process.
    :param now: start of the process in seconds.
    :param rng: a ``random.Random``.
    """

    def __init__(self, settings, incarnation, now, rng):
        self.settings = settings
        self.incarnation = incarnation
        self.started_at = now
        self.rng = rng
        self.uses_by_account = {}
        self.credits_by_request = {}
        self.instance_count = 1
        self.rank = 0
        # Time from which the other instances count this one when they use the margin.
        self.margin_from = math.inf
        # Newest answer that was applied: its granter, its number, and when.
        self.granter = NO_GRANTER
        self.serial = 0
        self.applied_at = -math.inf
        self.unanswered_since = None
        self.request_due_at = -math.inf
        self.has_waiting = False

    @property
    def is_active(self):
        """Return whether there are accounts with a quota."""
        return bool(self.uses_by_account)

    def apply_configuration(self, accounts_by_id, now):
        """Apply the quotas of a configuration.

        :param accounts_by_id: all `Account` entries.
        """
        window_s = self.settings.quota_window_s
        for account_id, account in accounts_by_id.items():
            capacity = compute_capacity(account, window_s)
            use = self.uses_by_account.get(account_id)
            if use is None:
                if capacity is None:
                    continue
                credits = _Credits(window_s), _Credits(window_s)
                use = _Use(capacity, account.rate, *credits)
                self.uses_by_account[account_id] = use
            if None not in (capacity, use.capacity) and capacity < use.capacity:
                use.share = use.share * capacity // use.capacity
            use.capacity, use.rate = capacity, account.rate
        for account_id, use in list(self.uses_by_account.items()):
            if account_id not in accounts_by_id:
                use.capacity = None
            # What was sent before counts if the account gets a quota again.
            is_idle = not use.shared.count(now) and not use.margin.count(now)
            if use.capacity is None and is_idle and now >= use.expires_at:
                del self.uses_by_account[account_id]

    # Requests

    def admit(self, account_id, request_id, now):
        """Decide on a request that has just arrived."""
        use = self.uses_by_account.get(account_id)
        if use is None or use.capacity is None:
            return UNLIMITED
        use.demand.append(now)
        return self._decide(account_id, use, request_id, now)

    def settle(self, account_id, request_id, now, is_late=False):
        """Decide on a request that waits for a share.

        :param is_late: whether it can wait no longer.
        """
        use = self.uses_by_account.get(account_id)
        if use is None or use.capacity is None:
            return UNLIMITED
        admission = self._decide(account_id, use, request_id, now)
        if admission is _WAIT and is_late:
            use.waiting.discard(request_id)
            return self._use_margin(account_id, use, request_id, now)
        return admission

    def _decide(self, account_id, use, request_id, now):
        share = use.get_share(now)
        if share and use.shared.count(now) < share:
            use.waiting.discard(request_id)
            self._take_credit(use, use.shared, request_id)
            return _ADMITTED
        if now < use.denied_until:
            use.waiting.discard(request_id)
            if not use.is_denial_certain:
                return self._use_margin(account_id, use, request_id, now)
            retry_after_s = self._compute_retry_after(use, now)
            return Admission(
                AdmissionResult.EXCEEDED, retry_after_s, "granter", use.capacity
            )
        use.waiting.add(request_id)
        self.has_waiting = True
        return _WAIT

    def is_granter_lost(self, now):
        """Return whether the granter has not answered in time. Requests without a share
        then do not wait for it.
        """
        since = self.unanswered_since
        return since is not None and now >= since + GRANTER_TIMEOUT_S

    def _use_margin(self, account_id, use, request_id, now):
        if use.margin.count(now) < self._compute_margin(account_id, use, now):
            self._take_credit(use, use.margin, request_id)
            return Admission(AdmissionResult.ADMITTED, source="margin")
        retry_after_s = UNKNOWN_RETRY_AFTER_S * (1 + self.rng.random())
        return Admission(AdmissionResult.UNKNOWN, retry_after_s, "margin", use.capacity)

    def _compute_margin(self, account_id, use, now):
        """Return how many requests in a window this instance may admit without the
        granter. A previous run of the process may have used the margin until its end.
        """
        window_s = self.settings.quota_window_s
        if now < max(self.margin_from, self.started_at + window_s):
            return 0
        margin = MARGIN_FRACTION * compute_margin(use.capacity, self.settings)
        if margin >= self.instance_count:
            return int(margin / self.instance_count)
        offset = zlib.crc32(account_id.encode())
        return int((self.rank + offset) % self.instance_count < int(margin))

    def _take_credit(self, use, credits, request_id):
        credits.running += 1
        self.credits_by_request[request_id] = _Credit(credits, use)

    def _compute_retry_after(self, use, now):
        """Return the time until the share or the quota has room, in seconds."""
        window_s = self.settings.quota_window_s
        wait_s = 1 / use.rate if use.rate else window_s
        if use.shared.send_times:
            wait_s = use.shared.send_times[0] + window_s - now
        wait_s = min(max(wait_s, MIN_RETRY_AFTER_S), window_s)
        return wait_s * (1 + RETRY_JITTER * self.rng.random())

    def record_send(self, request_id, now):
        """Record that a request is sent to an upstream. An earlier send must not have
        run; see `repeat`.
        """
        credit = self.credits_by_request.get(request_id)
        if credit is not None:
            credit.sent_at = now

    def has_credit(self, request_id):
        """Return whether a request counts in a quota."""
        return request_id in self.credits_by_request

    def may_send(self, request_id, now):
        """Return whether a request may be sent. It may have waited until after the end
        of the share.
        """
        credit = self.credits_by_request.get(request_id)
        if credit is None or credit.credits is not credit.use.shared:
            return True
        return now < credit.use.expires_at

    def repeat(self, request_id, now):
        """Take one more credit for a request that may have run and is sent again.

        :return: whether there was room for it.
        """
        credit = self.credits_by_request.get(request_id)
        if credit is None or credit.sent_at is None:
            return True
        use = credit.use
        if credit.credits is not use.shared:
            return False
        if use.shared.count(now) >= use.get_share(now):
            return False
        heapq.heappush(use.shared.send_times, credit.sent_at)
        credit.sent_at = None
        return True

    def give_back(self, request_id):
        """Give back the credit of a request that ended without having run."""
        credit = self.credits_by_request.pop(request_id, None)
        if credit is not None:
            credit.credits.running -= 1

    def forget(self, request_id):
        """Record the end of a request that has or may have run."""
        credit = self.credits_by_request.pop(request_id, None)
        if credit is not None:
            credit.credits.running -= 1
            if credit.sent_at is not None:
                heapq.heappush(credit.credits.send_times, credit.sent_at)

    def stop_waiting(self, account_id, request_id):
        """Record that a request no longer waits for a share."""
        use = self.uses_by_account.get(account_id)
        if use is not None:
            use.waiting.discard(request_id)

    # Messages

    def take_request(self, now, is_granter=False):
        """Return the message that asks for shares, ``{}`` if none is due.

        :param is_granter: whether this instance is the granter.
        """
        if not self.has_waiting or (now < self.request_due_at and not is_granter):
            return {}
        wanted = {}
        self.has_waiting = False
        for account_id, use in self.uses_by_account.items():
            if not use.waiting:
                continue
            self.has_waiting = True
            if now < use.asked_at + GRANTER_TIMEOUT_S:
                continue
            use.asked_at = now
            use.needed = use.shared.count(now) + len(use.waiting)
            wanted[account_id] = self._describe(use, now)
            wanted[account_id].append(use.needed)
        if not wanted:
            return {}
        for account_id, use in self.uses_by_account.items():
            if use.is_lowered and account_id not in wanted:
                wanted[account_id] = self._describe(use, now)
            use.is_lowered = False
        is_lost = self.is_granter_lost(now)
        period_s = LOST_GRANTER_PERIOD_S if is_lost else MIN_REQUEST_PERIOD_S
        self.request_due_at = now + period_s
        if self.unanswered_since is None:
            self.unanswered_since = now
        return self._build_message(wanted, now)

    def build_report(self, now):
        """Return the field ``accounts`` of the load report, ``{}`` without quotas."""
        if not self.is_active:
            return {}
        shares = {}
        for account_id, use in self.uses_by_account.items():
            described = self._describe(use, now)
            if any(described):
                shares[account_id] = described
        return self._build_message(shares, now)

    def _describe(self, use, now):
        """Return what may count from now on, the remaining validity of the share in
        seconds, and the sends and the requests of the last window.
        """
        used = use.shared.count(now)
        share = use.share if now < use.expires_at else 0
        validity_s = max(0.0, use.expires_at - now) if share else 0.0
        demand = use.count_demand(self.settings.quota_window_s, now)
        return [max(share, used), round(validity_s, 1), used, demand]

    def _build_message(self, shares, now):
        return {
            "incarnation": self.incarnation,
            "age": round(now - self.started_at, 3),
            "granter": list(self.granter),
            "serial": self.serial,
            "shares": shares,
        }

    def apply_shares(self, reply, requested_at, now):
        """Apply an answer of the granter.

        :param reply: as returned by `QuotaGranter`.
        :param requested_at: time of the message that it answers, in seconds.
        """
        if not reply:
            return
        granter, serial = tuple(reply["granter"]), reply["serial"]
        is_newer = (granter, serial) > (self.granter, self.serial)
        if not is_newer and now < self.applied_at + SHARE_VALIDITY_S:
            return
        self.granter, self.serial, self.applied_at = granter, serial, now
        self.unanswered_since = None
        for account_id, (share, validity_s) in reply["shares"].items():
            use = self.uses_by_account.get(account_id)
            if use is None or use.capacity is None:
                continue
            use.is_lowered = share < use.share
            use.share = min(share, use.capacity)
            use.expires_at = requested_at + validity_s
            if use.share > use.shared.count(now):
                use.denied_until = -math.inf
            if use.asked_at == requested_at:
                use.asked_at = -math.inf
                if use.share < use.needed:
                    use.denied_until = now + DENIAL_S
                    use.is_denial_certain = reply["complete"]
