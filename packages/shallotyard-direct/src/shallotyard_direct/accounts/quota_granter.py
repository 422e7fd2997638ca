"""Grants shares of the quotas of client accounts to instances, at the granter.

Handles 126 instances and some hundred accounts with a report of each instance every
second, and the requests for shares of instances that see an account for the first time
or in a surge. See docs/design/account-quotas.md.
"""

import math
from dataclasses import dataclass
from dataclasses import field

from shallotyard_direct.accounts.quota_shares import SHARE_VALIDITY_S
from shallotyard_direct.accounts.quota_shares import compute_capacities
from shallotyard_direct.accounts.quota_shares import compute_margin

SHARE_PER_DEMAND = 1.5
MIN_SHARE = 2
# Part of what nobody wants that is granted in addition to what instances want. The rest
# is kept for instances that see the account for the first time. With nearly all of it
# granted, these refused requests of accounts that used half of their quota.
SURPLUS_FRACTION = 0.3
# Shares of idle instances are kept while more than this fraction of a quota is free.
IDLE_FREE_FRACTION = 0.3
# Shares above the present need are granted while more than this fraction is free.
ROOMY_FREE_FRACTION = 0.1
# Unused shares are revoked with any answer while less than this fraction is free.
SHORT_FREE_FRACTION = 0.2
# Part of the tolerated excess that is granted while previous runs of instances may have
# sent up to the quota in the last window.
START_FRACTION = 0.4
# Time after the lease was acquired in which answers of an earlier granter may arrive:
# the longest time-out of a call, and the lateness of a busy process.
SETTLING_S = 1.1
UPDATE_PERIOD_S = 0.2


@dataclass(slots=True, eq=False)
class _Holding:
    """The share of one instance in one quota.

    :param bound: what the instance may use at most, for all that is known.
    :param told: the share in the newest answer.
    :param want: what it should have for its demand.
    :param used: requests that counted in its last window.
    :param demand: requests that arrived in its last window.
    :param expires_at: time at which the newest answer expires, in seconds.
    :param answers: serials and shares of the answers that are not known to have been
        applied or superseded.
    """

    bound: int = 0
    told: int = 0
    want: int = 0
    used: int = 0
    demand: int = 0
    expires_at: float = -math.inf
    answers: list[tuple[int, int]] = field(default_factory=list)


class _Account:
    """The shares in one quota.

    :param capacity: requests of all instances in a window.
    """

    def __init__(self, capacity):
        self.capacity = capacity
        self.holdings_by_instance = {}
        self.bound_sum = 0
        self.want_sum = 0
        # Requests of ended processes, and when they no longer count, in seconds.
        self.ended_uses = []
        # What instances held when they first reported to this granter.
        self.reported_sum = 0
        self.reported_by_instance = {}
        self.settled_instances = set()
        self.update_due_at = -math.inf
        self.level = math.inf

    def set_bound(self, holding, bound):
        self.bound_sum += bound - holding.bound
        holding.bound = bound

    def set_want(self, holding, want):
        self.want_sum += want - holding.want
        holding.want = want

    def record_reported(self, instance, share):
        """Record what an instance holds of an earlier granter's shares."""
        self.reported_sum += share - self.reported_by_instance.get(instance, 0)
        self.reported_by_instance[instance] = share

    def discard(self, instance):
        holding = self.holdings_by_instance.pop(instance, None)
        if holding is not None:
            self.bound_sum -= holding.bound
            self.want_sum -= holding.want
        return holding

    def count_free(self, limit, now):
        """Return how many requests in a window may be granted."""
        if self.ended_uses:
            self.ended_uses = [use for use in self.ended_uses if now <= use[1]]
        return limit - self.bound_sum - sum(count for count, _ in self.ended_uses)


@dataclass(slots=True, eq=False)
class _Reporter:
    """A process that has sent messages.

    :param age_s: its age at the newest message, in seconds.
    :param started_at: its start, in seconds.
    :param has_reported: whether it has sent a load report.
    """

    incarnation: str
    started_at: float
    age_s: float = -math.inf
    has_reported: bool = False


class QuotaGranter:
    """Shares of all instances in the quotas of client accounts, in memory only.

    :param settings: the `DirectSettings`.
    """

    def __init__(self, settings):
        self.settings = settings
        self.capacities_by_id = {}
        self.accounts_by_id = {}
        self.reporters_by_instance = {}
        self.members = frozenset()
        # Orders the answers of all granters: life of the store, term of the lease, and
        # number of the acquisition.
        self.identity = [0, 0, 0]
        self.serial = 0
        # Whether all members have sent a load report to this granter.
        self.have_all_reported = False
        # Time from which what instances report is complete, in seconds.
        self.settled_from = -math.inf
        # Time from which no share of an earlier granter can be unknown, in seconds.
        self.known_from = -math.inf

    def apply_configuration(self, accounts_by_id):
        """Apply the quotas of a configuration."""
        self.capacities_by_id = compute_capacities(
            accounts_by_id.values(), self.settings.quota_window_s
        )
        for account_id, account in self.accounts_by_id.items():
            capacity = self.capacities_by_id.get(account_id)
            account.update_due_at = -math.inf
            if capacity is not None:
                account.capacity = capacity

    def apply_members(self, members):
        """Apply the ids of all registered instances."""
        self.members = frozenset(members)

    def acquire(self, now, era, term, is_first=False):
        """Begin to grant shares.

        :param era: life of the store.
        :param term: term of the lease.
        :param is_first: whether no instance has ever granted shares before.
        """
        self.resign()
        self.identity = [era, term, self.identity[2] + 1]
        self.settled_from = now if is_first else now + SETTLING_S
        window_s = self.settings.quota_window_s
        self.known_from = now if is_first else now + SHARE_VALIDITY_S + window_s

    def resign(self):
        """Forget all shares."""
        self.accounts_by_id.clear()
        self.reporters_by_instance.clear()
        self.have_all_reported = False
        self.serial = 0

    # Messages

    def handle_report(self, instance, report, now):
        """Return the answer to the field ``accounts`` of a load report."""
        if not self._record_process(instance, report, now):
            return {}
        if now >= self.settled_from:
            self.reporters_by_instance[instance].has_reported = True
            self._find_known_from(now)
        shares = report["shares"]
        account_ids = set(shares)
        for account_id, account in self.accounts_by_id.items():
            if instance in account.holdings_by_instance:
                account_ids.add(account_id)
        return self._answer(instance, report, account_ids, now)

    def handle_request(self, instance, wanted, now):
        """Return the answer to a request for shares, ``{}`` if nothing can be granted
        yet.
        """
        if now < self.settled_from:
            return {}
        if not self._record_process(instance, wanted, now):
            return {}
        answer = self._answer(instance, wanted, wanted["shares"], now)
        self._revoke_idle(instance, answer["shares"], now)
        return answer

    def _revoke_idle(self, instance, shares, now):
        """Add lower shares to an answer for accounts that are short, so that others
        need not wait for the next load report.
        """
        for account_id, account in self.accounts_by_id.items():
            holding = account.holdings_by_instance.get(instance)
            if holding is None or account_id in shares or holding.told <= holding.used:
                continue
            if instance not in account.settled_instances:
                # What it holds is still to be reported in full.
                continue
            limit = self._compute_limit(account, now)
            free = account.count_free(limit, now)
            if free > SHORT_FREE_FRACTION * account.capacity:
                continue
            account.set_want(holding, max(holding.used, holding.demand))
            share = max(holding.used, self._compute_target(account, holding, limit))
            if share < holding.told:
                shares[account_id] = [
                    self._renew(holding, share, now),
                    SHARE_VALIDITY_S,
                ]

    def _record_process(self, instance, message, now):
        """Record which process sent a message.

        :return: whether it is its newest message.
        """
        incarnation, age_s = message["incarnation"], message["age"]
        reporter = self.reporters_by_instance.get(instance)
        started_at = now - age_s
        if reporter is not None and reporter.incarnation == incarnation:
            if age_s < reporter.age_s:
                return False
            reporter.age_s = age_s
            return True
        if reporter is not None:
            if started_at < reporter.started_at:
                return False
            self._end_process(instance, started_at)
        reporter = _Reporter(incarnation, started_at, age_s)
        self.reporters_by_instance[instance] = reporter
        return True

    def _end_process(self, instance, ended_at):
        """Count the shares of a process that has ended for one window more."""
        until = ended_at + self.settings.quota_window_s
        for account in self.accounts_by_id.values():
            holding = account.discard(instance)
            if holding is not None and holding.bound:
                account.ended_uses.append((holding.bound, until))

    def _find_known_from(self, now):
        """Find the time from which all shares are known, when all have reported."""
        reporters = self.reporters_by_instance
        if now >= self.known_from or not self._have_all_reported():
            return
        window_s = self.settings.quota_window_s
        starts = [reporter.started_at for reporter in reporters.values()]
        self.known_from = min(self.known_from, max(starts) + window_s)

    def _have_all_reported(self):
        reporters = self.reporters_by_instance
        return bool(self.members) and all(
            member in reporters and reporters[member].has_reported
            for member in self.members
        )

    def _compute_limit(self, account, now):
        """Return what all instances together may have, for all that is known."""
        if now >= self.known_from:
            return account.capacity
        limit = account.reported_sum
        if self.have_all_reported:
            margin = compute_margin(account.capacity, self.settings)
            limit = max(limit, int(START_FRACTION * margin))
        return min(account.capacity, limit)

    def _answer(self, instance, message, account_ids, now):
        is_own = message["granter"] == self.identity
        applied_serial = message["serial"] if is_own else 0
        self.serial += 1
        if now < self.known_from:
            self.have_all_reported = self._have_all_reported()
        shares = {}
        for account_id in account_ids:
            described = message["shares"].get(account_id, (0, 0.0, 0, 0))
            account = self._get_account(account_id)
            if account is None:
                continue
            self._record_use(account, instance, described, applied_serial, now)
            share = self._grant(account, instance, described, now)
            shares[account_id] = [share, SHARE_VALIDITY_S]
        return {
            "granter": self.identity,
            "serial": self.serial,
            "complete": now >= self.known_from,
            "shares": shares,
        }

    def _get_account(self, account_id):
        account = self.accounts_by_id.get(account_id)
        if account is None and account_id in self.capacities_by_id:
            account = _Account(self.capacities_by_id[account_id])
            self.accounts_by_id[account_id] = account
        return account

    def _record_use(self, account, instance, described, applied_serial, now):
        """Record what an instance says that it may use, and what may reach it yet."""
        share, validity_s, used = described[:3]
        holding = account.holdings_by_instance.get(instance)
        if holding is None:
            holding = account.holdings_by_instance[instance] = _Holding()
            holding.expires_at = now + validity_s
        if instance not in account.settled_instances:
            account.record_reported(instance, share)
            if now >= self.settled_from:
                account.settled_instances.add(instance)
        # An answer that is older than an applied one is never applied.
        holding.answers = [a for a in holding.answers if a[0] > applied_serial]
        on_the_way = (granted for _, granted in holding.answers)
        account.set_bound(holding, max([share, *on_the_way]))
        holding.used, holding.demand = used, described[3]

    # Sizes of shares

    def _grant(self, account, instance, described, now):
        """Return the share of an instance."""
        holding = account.holdings_by_instance[instance]
        if now < self.settled_from:
            account.set_want(holding, holding.bound)
            return self._renew(holding, holding.bound, now)
        limit = self._compute_limit(account, now)
        if now >= account.update_due_at:
            self._update(account, limit, now)
        free = account.count_free(limit, now)
        needed = max(holding.used, *described[4:5], 0)
        want = self._compute_want(account, holding, described[3], needed, free)
        account.set_want(holding, want)
        target = self._compute_target(account, holding, limit)
        share = max(holding.used, min(target, holding.bound + max(0, free)))
        if not (share or holding.bound):
            account.discard(instance)
            return 0
        if share > holding.bound:
            account.set_bound(holding, share)
        return self._renew(holding, share, now)

    def _renew(self, holding, share, now):
        holding.told = share
        holding.answers.append((self.serial, share))
        holding.expires_at = now + SHARE_VALIDITY_S
        return share

    def _compute_want(self, account, holding, demand, needed, free):
        if not max(demand, needed):
            is_kept = free > IDLE_FREE_FRACTION * account.capacity
            return holding.told if is_kept else 0
        if free <= ROOMY_FREE_FRACTION * account.capacity:
            return max(needed, demand)
        return max(needed, MIN_SHARE, math.ceil(SHARE_PER_DEMAND * demand))

    def _compute_target(self, account, holding, limit):
        spare = limit - account.want_sum
        if spare >= 0:
            count = len(account.holdings_by_instance)
            surplus = int(SURPLUS_FRACTION * spare / count)
            return holding.want + surplus if holding.want else 0
        return min(holding.want, math.ceil(min(account.level, account.capacity)))

    def _update(self, account, limit, now):
        """Drop expired shares, and find the largest share when a quota is short."""
        account.update_due_at = now + UPDATE_PERIOD_S
        window_s = self.settings.quota_window_s
        for instance, holding in list(account.holdings_by_instance.items()):
            if now > holding.expires_at + window_s:
                account.discard(instance)
        wants = sorted(h.want for h in account.holdings_by_instance.values())
        account.level = compute_fair_level(wants, limit)


def compute_fair_level(wants, limit):
    """Return the largest share with which all shares together are within a limit, if
    each has what it wants up to that. Shares are then max-min fair.

    :param wants: wanted shares in ascending order.
    """
    left = max(0, limit)
    for number, want in enumerate(wants):
        level = left / (len(wants) - number)
        if want >= level:
            return level
        left -= want
    return math.inf
