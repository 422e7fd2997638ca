"""Plays instances that keep client accounts within their quotas."""

import heapq
import math
import random
from bisect import bisect_right

from direct_builders import build_settings
from rate_simulation import RateSimulation

from shallotyard_direct.accounts.model import Account
from shallotyard_direct.accounts.quota_granter import QuotaGranter
from shallotyard_direct.accounts.quota_shares import AccountQuotas
from shallotyard_direct.accounts.quota_shares import AdmissionResult
from shallotyard_direct.accounts.quota_shares import compute_capacity

MAX_TRANSIT_S = 0.035
LOST_MESSAGES = 0.005
LATE_MESSAGES = 0.2
CALL_TIMEOUT_S = 1.0
REPORT_PERIOD_S = 1.0
TARGET_LATENCY_S = 0.5
# Time from the loss of the granter until another instance has acquired the lease.
TAKEOVER_S = 4.6
# The same after the start of an instance that held the lease before.
REACQUISITION_S = 0.6
PROCESSING_S = 0.1
USUAL_DEMAND = 0.63
MAX_SMALL_RATE = 20.0
WINDOW_S = 5.0


class QuotaSimulation(RateSimulation):
    """Instances with client accounts, without routers and a store.

    :param usual_rates: usual requests per second of each account.
    :param is_equal: whether each instance has an equal share, without a granter.
    :param is_strict: whether the rule tolerates nothing, requests arrive upstream at
        once, and some messages are late and overtake each other.
    :param spread: number of instances at which the callers of a small account are
        connected. In a surge, they call at all instances.
    """

    def __init__(
        self,
        seed,
        instance_count,
        usual_rates,
        is_equal=False,
        spread=None,
        is_strict=False,
    ):
        super().__init__(seed, 0, {})
        self.tolerance = {"quota_overage": 0.0, "quota_slack": 0.0} if is_strict else {}
        self.max_transit_s = 0.0 if is_strict else MAX_TRANSIT_S
        self.is_equal = is_equal
        self.spread = spread or instance_count
        self.instance_count = instance_count
        self.usual_rates = dict(usual_rates)
        self.factors_by_account = dict.fromkeys(usual_rates, 1.0)
        self.accounts = {
            account_id: Account(account_id, frozenset(), None, rate, rate)
            for account_id, usual in usual_rates.items()
            for rate in [usual / USUAL_DEMAND]
        }
        self.order_by_account = {
            account_id: self.rng.sample(range(instance_count), instance_count)
            for account_id in usual_rates
        }
        self.sends_by_account = {account_id: [] for account_id in usual_rates}
        self.results = []
        # Accounts of waiting requests, by instance and request.
        self.waiting = {}
        self.ended_credits = {}
        self.largest_excess = -math.inf
        self.largest_by_account = {}
        self._record_largest()
        # Instances at which all requests arrive, by number; empty for any.
        self.focus = []
        self.calls = []
        self.report_sizes = []
        self.granter, self.holder, self.term = None, None, 0
        self.quotas_by_instance = {}
        for number in range(instance_count):
            self._start(0.0, number)
        self.acquire(0.0, 0)

    def _start(self, now, number):
        settings = build_settings(f"front-{number:03}", **self.tolerance)
        rng = random.Random(self.rng.random())
        quotas = AccountQuotas(settings, f"run-{number}-{now}", now, rng)
        quotas.apply_configuration(self.accounts, now)
        quotas.instance_count, quotas.rank = self.instance_count, number
        quotas.margin_from = now
        self.quotas_by_instance[number] = quotas
        if self.is_equal:
            self._set_equal_shares(quotas)
        else:
            self.schedule(now + self.rng.random(), lambda at: self._report(quotas, at))

    def _set_equal_shares(self, quotas):
        for use in quotas.uses_by_account.values():
            rest = use.capacity % self.instance_count
            use.share = use.capacity // self.instance_count + (quotas.rank < rest)
            use.expires_at = use.denied_until = math.inf

    # Faults

    def acquire(self, now, number):
        """Let an instance acquire the lease of the granter."""
        self.term += 1
        self.holder = number
        self.granter = QuotaGranter(self.quotas_by_instance[number].settings)
        self.granter.apply_configuration(self.accounts)
        members = [f"front-{n:03}" for n in range(self.instance_count)]
        self.granter.apply_members(members)
        self.granter.acquire(now, 1, self.term, is_first=self.term == 1)

    def kill(self, now, numbers, restart_s=None):
        """End processes, and start them again after a time."""
        for number in numbers:
            self._keep_credits(now, self.quotas_by_instance[number])
            self.quotas_by_instance[number] = None
            if number == self.holder:
                self.lose_granter(now, restart_s)
            if restart_s is not None:
                delay_s = restart_s * self.rng.uniform(0.7, 1.3)
                self.schedule(now + delay_s, lambda at, n=number: self._start(at, n))

    def _keep_credits(self, now, quotas):
        """Count what a process has sent after its end."""
        for credit in quotas.credits_by_request.values() if quotas else ():
            if credit.credits is credit.use.shared and credit.sent_at is not None:
                credit.use.shared.send_times.append(credit.sent_at)
        for account_id, use in quotas.uses_by_account.items() if quotas else ():
            use.shared.send_times.sort()
            use.shared.running = 0
            self.ended_credits.setdefault(account_id, []).append(use.shared)

    def _check_sum(self, account_id, now):
        """Record by how much the requests that count in shares exceed the quota."""
        counted = [
            quotas.uses_by_account[account_id].shared
            for quotas in self.quotas_by_instance.values()
            if quotas
        ]
        counted += self.ended_credits.get(account_id, [])
        total = sum(credits.count(now) for credits in counted)
        excess = total - self.largest_by_account[account_id]
        self.largest_excess = max(self.largest_excess, excess)

    def lose_granter(self, now, restart_s=None):
        """Let the lease pass to another instance, or to the next run of the process."""
        former, self.holder, self.granter = self.holder, None, None

        def take_over(at):
            numbers = [
                number
                for number, quotas in self.quotas_by_instance.items()
                if quotas and number != former and number not in self.cut
            ]
            if numbers and self.holder is None:
                self.acquire(at, self.rng.choice(numbers))
            else:
                self.schedule(at + 0.1, take_over)

        def resume(at):
            if self.holder is None and self.quotas_by_instance[former]:
                self.acquire(at, former)

        if restart_s is not None:
            self.schedule(now + 1.3 * restart_s + REACQUISITION_S, resume)
        self.schedule(now + TAKEOVER_S, take_over)

    def hand_over(self, now):
        """Let the granter resign, and another instance acquire the lease at once."""
        running = [n for n, q in self.quotas_by_instance.items() if q]
        others = [n for n in running if n not in {self.holder, *self.cut}]
        if self.holder is not None and others:
            self.acquire(now, self.rng.choice(others))

    def set_cut(self, now, numbers):
        """Cut instances off from all others."""
        self.cut = set(numbers)
        if self.holder in self.cut:
            self.lose_granter(now)

    def change_quota(self, now, factor):
        """Publish a configuration that changes all quotas."""
        self.accounts = {
            i: Account(i, frozenset(), None, a.rate * factor, a.burst * factor)
            for i, a in self.accounts.items()
        }
        self._record_largest()
        for quotas in self.quotas_by_instance.values():
            if quotas:
                at = now + self.rng.random()
                self.schedule(at, lambda t, q=quotas: self._configure(q, t))

    def _record_largest(self):
        for account_id, account in self.accounts.items():
            capacity = compute_capacity(account, WINDOW_S)
            largest = max(capacity, self.largest_by_account.get(account_id, 0))
            self.largest_by_account[account_id] = largest

    def _configure(self, quotas, now):
        quotas.apply_configuration(self.accounts, now)
        if self.is_equal:
            self._set_equal_shares(quotas)
        if quotas.rank == self.holder:
            self.granter.apply_configuration(self.accounts)

    # Messages

    def _is_running(self, quotas):
        return self.quotas_by_instance[quotas.rank] is quotas

    def _report(self, quotas, now):
        if not self._is_running(quotas):
            return
        report = quotas.build_report(now)
        self.report_sizes.append(len(str(report)))
        self._send_message(quotas, report, "handle_report", now)
        self.schedule(now + REPORT_PERIOD_S, lambda at: self._report(quotas, at))

    def _poll(self, quotas, now):
        wanted = {} if self.is_equal else quotas.take_request(now)
        if wanted:
            self.calls.append(now)
            self._send_message(quotas, wanted, "handle_request", now)

    def _draw_transit(self):
        if self.tolerance and self.rng.random() < LATE_MESSAGES:
            return self.rng.random() * CALL_TIMEOUT_S
        return self.rng.random() * MAX_TRANSIT_S

    def _send_message(self, quotas, message, method, sent_at):
        instance = quotas.settings.instance
        is_local = quotas.rank == self.holder
        transit_s, return_s = (
            0.0 if is_local else self._draw_transit() for _ in range(2)
        )

        def is_passed():
            ends = {quotas.rank, self.holder}
            is_lost = not is_local and self.rng.random() < LOST_MESSAGES
            return self.holder is not None and not ends & self.cut and not is_lost

        def arrive(now):
            if is_passed():
                reply = getattr(self.granter, method)(instance, message, now)
                if is_passed() and now + return_s < sent_at + CALL_TIMEOUT_S:
                    self.schedule(now + return_s, lambda at: deliver(reply, at))

        def deliver(reply, now):
            if self._is_running(quotas):
                quotas.apply_shares(reply, sent_at, now)
                self._settle_waiting(quotas, now)
                self._poll(quotas, now)

        self.schedule(sent_at + transit_s, arrive)

    # Requests

    def run(self, seconds):
        """Play callers and instances for a time."""
        for account_id in self.usual_rates:
            self.schedule(0.0, lambda at, i=account_id: self._arrive(i, at))
        while self.scheduled and self.scheduled[0][0] < seconds:
            at, _, action = heapq.heappop(self.scheduled)
            action(at)

    def _arrive(self, account_id, now):
        rate = self.usual_rates[account_id] * self.factors_by_account[account_id]
        next_at = now + self.rng.expovariate(rate)
        self.schedule(next_at, lambda at: self._arrive(account_id, at))
        is_small = rate <= MAX_SMALL_RATE
        count = min(self.spread, self.instance_count) if is_small else None
        numbers = self.focus or self.order_by_account[account_id][:count]
        quotas = self.quotas_by_instance[self.rng.choice(numbers)]
        if quotas is None:
            running = [q for q in self.quotas_by_instance.values() if q]
            if not running:
                return
            quotas = self.rng.choice(running)
        request_id = f"r{next(self.order)}"
        admission = quotas.admit(account_id, request_id, now)
        if admission.result is not AdmissionResult.WAIT:
            self._end_decision(quotas, account_id, request_id, admission, now)
            return
        self.waiting.setdefault(quotas, {})[request_id] = account_id
        wait_s = TARGET_LATENCY_S / 4
        if quotas.is_granter_lost(now):
            wait_s = 0.0
        self._poll(quotas, now)
        self.schedule(now + wait_s, lambda at: self._give_up(quotas, request_id, at))
        due_at = max(now, quotas.request_due_at)
        self.schedule(due_at, lambda at: self._poll(quotas, at))

    def _give_up(self, quotas, request_id, now):
        account_id = self.waiting[quotas].pop(request_id, None)
        if account_id is not None and self._is_running(quotas):
            admission = quotas.settle(account_id, request_id, now, is_late=True)
            self._end_decision(quotas, account_id, request_id, admission, now)

    def _settle_waiting(self, quotas, now):
        waiting = self.waiting.get(quotas, {})
        for request_id, account_id in list(waiting.items()):
            admission = quotas.settle(account_id, request_id, now)
            if admission.result is not AdmissionResult.WAIT:
                del waiting[request_id]
                self._end_decision(quotas, account_id, request_id, admission, now)

    def _end_decision(self, quotas, account_id, request_id, admission, now):
        if not self._is_running(quotas):
            return
        self.results.append((now, account_id, admission.result))
        if admission.result is AdmissionResult.ADMITTED:
            if self.tolerance:
                self._check_sum(account_id, now)
            delay_s = self.rng.expovariate(1 / 0.005)
            delay_s += 0.3 * (self.rng.random() < 0.05)
            send = self._build_send(quotas, account_id, request_id)
            self.schedule(now + delay_s, send)

    def _build_send(self, quotas, account_id, request_id):
        def send(now):
            if not self._is_running(quotas):
                return
            quotas.record_send(request_id, now)
            fate = self.rng.random()
            if fate < 0.02:
                self.schedule(now + 0.01, lambda at: quotas.give_back(request_id))
                return
            transit_s = self.rng.random() * self.max_transit_s
            self.sends_by_account[account_id].append(now + transit_s)
            self.schedule(now + PROCESSING_S, retry if fate < 0.04 else end)

        def retry(now):
            if quotas.repeat(request_id, now):
                send(now)
            else:
                end(now)

        def end(now):
            quotas.forget(request_id)

        return send

    # Results

    def count_calls(self, since, until):
        """Return the requests for shares a second in a period."""
        return sum(since <= at < until for at in self.calls) / (until - since)

    def count_refused(self, since=0.0):
        """Return the requests refused, those of them while the account was below its
        quota, and the requests admitted.
        """
        for sends in self.sends_by_account.values():
            sends.sort()
        refused = below = admitted = 0
        for at, account_id, result in self.results:
            if at < since:
                continue
            if result is AdmissionResult.ADMITTED:
                admitted += 1
                continue
            sends = self.sends_by_account[account_id]
            count = bisect_right(sends, at) - bisect_right(sends, at - WINDOW_S)
            refused += 1
            below += count < compute_capacity(self.accounts[account_id], WINDOW_S)
        return refused, below, admitted

    def count_excess(self, accounts=None, since=0.0):
        """Return the largest number of requests by which an account exceeded what the
        rule tolerates in a window, and the number of requests above the quotas.

        :param accounts: accounts whose quotas count, by default the present ones.
        """
        settings = build_settings(**self.tolerance)
        worst, above = -math.inf, 0
        for account_id, sends in self.sends_by_account.items():
            account = (accounts or self.accounts)[account_id]
            quota = account.rate * WINDOW_S + account.burst
            limit = quota * (1 + settings.quota_overage) + settings.quota_slack
            times = sorted(at for at in sends if at >= since)
            for number, at in enumerate(times):
                count = number + 1 - bisect_right(times, at - WINDOW_S)
                worst = max(worst, count - math.floor(limit))
                above += count > quota
        return worst, above


def build_usual_rates(seed, account_count, total):
    """Return usual rates of a few large and many small accounts, in all `total`."""
    rng = random.Random(seed)
    large = min(6, account_count // 10)
    rates = [94.0] * large + [rng.uniform(3, 7) for _ in range(account_count - large)]
    factor = total / sum(rates)
    return {f"account-{n:02}": rate * factor for n, rate in enumerate(rates)}
