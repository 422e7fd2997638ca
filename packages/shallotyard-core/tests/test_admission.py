from types import SimpleNamespace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from shallotyard_core.admission import Admission
from shallotyard_core.admission import AdmissionResult
from shallotyard_core.admission import FinishKind
from shallotyard_core.exceptions import InvariantError


def build_admission(slots=4, cold_slots=1):
    return Admission.from_config(SimpleNamespace(slots=slots, cold_slots=cold_slots), 0)


def run_one(admission, kind=FinishKind.OK, latency_s=0.01):
    assert admission.try_admit(object(), 100, 0) is AdmissionResult.ADMITTED
    admission.finish(0, latency_s, kind)


def warm_up(admission):
    while admission.limit < admission.slots:
        run_one(admission)


def fill(admission, count):
    for number in range(count):
        assert admission.try_admit(("fill", number), 100, 0) is AdmissionResult.ADMITTED


def test_limit_grows_by_one_after_as_many_successes_as_the_limit():
    """Guards against overloading an upstream during a cold start."""
    admission = build_admission(slots=4, cold_slots=1)
    limits = []
    for _ in range(8):
        limits.append(admission.limit)
        run_one(admission)
    assert limits == [1, 2, 2, 3, 3, 3, 4, 4]


@pytest.mark.parametrize(
    "kind, latency_s", [(FinishKind.SHED, 0.001), (FinishKind.OK, 0.1)]
)
def test_limit_halves_once_per_as_many_responses_as_the_limit(kind, latency_s):
    """Guards against ignoring overload, and several reductions for one burst."""
    admission = build_admission(slots=8, cold_slots=1)
    warm_up(admission)
    fill(admission, 8)
    limits = []
    for _ in range(8):
        admission.finish(0, latency_s, kind)
        limits.append(admission.limit)
    assert limits == [4] * 8
    run_one(admission, FinishKind.SHED)
    assert admission.limit == 2
    for _ in range(20):
        run_one(admission, FinishKind.SHED)
    assert admission.limit == 1


def test_consecutive_connection_failures_reset_the_limit():
    """Guards against full load on an upstream that has restarted cold."""
    admission = build_admission()
    warm_up(admission)
    for kind in (FinishKind.FAILED, FinishKind.FAILED, FinishKind.OK):
        run_one(admission, kind)
    assert admission.limit == 4
    for _ in range(3):
        run_one(admission, FinishKind.FAILED)
    assert admission.limit == 1


def test_responses_from_before_restart_do_not_count():
    """Guards against raising the limit by responses from before a restart."""
    admission = build_admission()
    warm_up(admission)
    fill(admission, 4)
    admission.reset_limit(0)
    assert admission.try_admit("next", 100, 0) is AdmissionResult.QUEUED
    for _ in range(4):
        admission.finish(0, 0.01, FinishKind.OK)
    assert admission.limit == 1


def test_unknown_outcome_occupies_its_slot():
    """Guards against counting an attempt as ended that may still be running."""
    admission = build_admission(slots=1)
    admission.try_admit("a", 100, 0)
    admission.try_admit("b", 100, 0)
    admission.finish_unknown(1, 5)
    assert admission.get_next_due_at() == 5
    assert admission.pop_ready(4.9) == []
    assert admission.estimate_retry_after_s(1) >= 4
    with pytest.raises(InvariantError):
        admission.finish(2, 0.01, FinishKind.OK)
    assert admission.pop_ready(5) == ["b"]
    admission.finish_unknown(5, 9)
    assert admission.resolve_unknown(6, 9)
    assert not admission.resolve_unknown(6, 9)
    assert admission.in_flight == 0


def test_deadline_that_cannot_be_met_is_refused():
    """Guards against queueing a request that cannot be answered in time."""
    admission = build_admission(slots=1)
    run_one(admission, latency_s=1.0)
    assert admission.try_admit("late", 0, 0) is AdmissionResult.REFUSED
    assert admission.try_admit("a", 0.5, 0) is AdmissionResult.ADMITTED
    assert admission.try_admit("b", 1.9, 0) is AdmissionResult.REFUSED
    assert admission.try_admit("b", 2.1, 0) is AdmissionResult.QUEUED
    assert admission.try_admit("c", 2.9, 0) is AdmissionResult.REFUSED


def test_queue_is_bounded_and_its_items_can_be_cancelled():
    """Guards against an unbounded queue, and against sending cancelled items."""
    admission = build_admission(slots=1)
    results = [admission.try_admit(number, 100, 0) for number in range(6)]
    assert results == [AdmissionResult.ADMITTED] + [AdmissionResult.QUEUED] * 4 + [
        AdmissionResult.REFUSED
    ]
    assert admission.cancel(2)
    assert not admission.cancel(2)
    admission.finish(0, 0.01, FinishKind.OK)
    assert admission.pop_ready(0) == [1]
    assert admission.drain_queue() == [3, 4]


def test_draining_upstream_admits_no_new_items():
    """Guards against new requests at an upstream that is draining."""
    admission = build_admission(slots=1)
    admission.try_admit("a", 100, 0)
    admission.try_admit("b", 100, 0)
    admission.draining = True
    admission.finish(0, 0.01, FinishKind.OK)
    assert admission.pop_ready(0) == []
    assert admission.try_admit("c", 100, 0) is AdmissionResult.REFUSED
    assert admission.drain_queue() == ["b"]


def test_exclusive_item_runs_without_others():
    """Guards against running requests along with one that may crash the upstream."""
    admission = build_admission(slots=2, cold_slots=2)
    admission.try_admit("a", 100, 0)
    assert (
        admission.try_admit("exclusive", 100, 0, exclusive=True)
        is AdmissionResult.QUEUED
    )
    assert admission.try_admit("b", 100, 0) is AdmissionResult.QUEUED
    assert admission.pop_ready(0) == []
    admission.finish(0, 0.01, FinishKind.OK)
    assert admission.pop_ready(0) == ["exclusive"]
    assert admission.try_admit("c", 100, 0) is AdmissionResult.QUEUED
    admission.finish_unknown(1, 5)
    assert admission.pop_ready(4) == []
    assert admission.pop_ready(5) == ["b", "c"]


def test_expired_exclusive_item_blocks_nothing():
    """Guards against a queue that is blocked by an expired item."""
    admission = build_admission(slots=2, cold_slots=2)
    admission.try_admit("a", 100, 0)
    admission.try_admit("exclusive", 3, 0, exclusive=True)
    admission.try_admit("b", 100, 0)
    assert admission.get_next_due_at() == 3
    assert admission.pop_ready(3) == ["b"]
    assert admission.pop_expired(3) == ["exclusive"]
    assert admission.get_next_due_at() is None


def test_fewer_slots_apply_to_new_items():
    """Guards against ignoring fewer slots, or failing if more items are in flight."""
    admission = build_admission(slots=4, cold_slots=4)
    fill(admission, 4)
    admission.reconfigure(SimpleNamespace(slots=2, cold_slots=1))
    assert (admission.limit, admission.max_queue) == (2, 8)
    for _ in range(2):
        admission.finish(0, 0.01, FinishKind.OK)
        assert admission.try_admit("next", 100, 0) is AdmissionResult.QUEUED
        admission.cancel("next")
    admission.finish(0, 0.01, FinishKind.OK)
    assert admission.try_admit("next", 100, 0) is AdmissionResult.ADMITTED


class AdmissionMachine(RuleBasedStateMachine):
    """Compares `Admission` with a model of the queue and the items in flight."""

    @initialize(slots=st.integers(1, 5), cold_slots=st.integers(1, 5))
    def start(self, slots, cold_slots):
        self.cold_slots = min(slots, cold_slots)
        self.admission = build_admission(slots, cold_slots)
        self.now = 0.0
        self.exclusive_by_item = {}
        self.deadline_by_item = {}
        self.queue = []
        self.running = []
        self.releases = []

    @rule(ttl_s=st.integers(0, 20), exclusive=st.sampled_from([False, False, True]))
    def offer(self, ttl_s, exclusive):
        item = len(self.exclusive_by_item)
        self.exclusive_by_item[item] = exclusive
        self.deadline_by_item[item] = self.now + ttl_s
        result = self.admission.try_admit(item, self.now + ttl_s, self.now, exclusive)
        if result is AdmissionResult.ADMITTED:
            assert not self.queue
            self.admit(item)
        elif result is AdmissionResult.QUEUED:
            self.queue.append(item)

    def admit(self, item):
        self.releases = [at for at in self.releases if at > self.now]
        assert self.deadline_by_item[item] > self.now
        assert len(self.running) + len(self.releases) < self.admission.limit
        if self.exclusive_by_item[item]:
            assert not self.running and not self.releases
        assert not any(self.exclusive_by_item[other] for other in self.running)
        self.running.append(item)

    @precondition(lambda self: self.running)
    @rule(
        data=st.data(),
        latency_s=st.sampled_from([0.01, 0.02, 0.5, 3.0]),
        kind=st.sampled_from(FinishKind),
    )
    def finish(self, data, latency_s, kind):
        self.running.remove(data.draw(st.sampled_from(self.running)))
        if kind is FinishKind.UNKNOWN:
            release_at = self.now + data.draw(st.integers(0, 10))
            self.releases.append(release_at)
            self.admission.finish_unknown(self.now, release_at)
        else:
            self.admission.finish(self.now, latency_s, kind)

    @precondition(lambda self: self.releases)
    @rule(data=st.data())
    def settle(self, data):
        release_at = data.draw(st.sampled_from(self.releases))
        resolved = self.admission.resolve_unknown(self.now, release_at)
        assert resolved == (release_at > self.now)
        self.releases.remove(release_at)

    @rule()
    def take_ready(self):
        for item in self.admission.pop_ready(self.now):
            earlier = self.queue[: self.queue.index(item)]
            assert all(self.deadline_by_item[i] <= self.now for i in earlier)
            self.queue.remove(item)
            self.admit(item)

    @rule()
    def drop_expired(self):
        dropped = set(self.admission.pop_expired(self.now))
        assert dropped == {
            i for i in self.queue if self.deadline_by_item[i] <= self.now
        }
        self.queue = [item for item in self.queue if item not in dropped]

    @precondition(lambda self: self.queue)
    @rule(data=st.data())
    def cancel(self, data):
        item = data.draw(st.sampled_from(self.queue))
        assert self.admission.cancel(item)
        assert not self.admission.cancel(item)
        self.queue.remove(item)

    @rule()
    def restart(self):
        self.admission.reset_limit(self.now)
        assert self.admission.limit == self.cold_slots

    @rule(seconds=st.integers(0, 5))
    def wait(self, seconds):
        self.now += seconds

    @invariant()
    def counts_are_right(self):
        admission = self.admission
        held = len(self.running) + sum(at > self.now for at in self.releases)
        assert held <= admission.in_flight <= len(self.running) + len(self.releases)
        assert admission.in_flight <= admission.slots
        assert self.cold_slots <= admission.limit <= admission.slots
        assert admission.queue_length <= admission.max_queue

    def teardown(self):
        """Check that all queued items are admitted or expire once others finish."""
        if not hasattr(self, "admission"):
            return
        self.now = max([self.now, *self.releases])
        for _ in range(2 * len(self.queue) + 2):
            while self.running:
                self.running.pop()
                self.admission.finish(self.now, 0.01, FinishKind.OK)
            self.take_ready()
        self.drop_expired()
        assert not self.queue
        assert self.admission.in_flight == 0


AdmissionMachine.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)
TestAdmissionMachine = AdmissionMachine.TestCase


def test_limit_does_not_grow_while_the_upstream_is_cold():
    """Guards against overloading a cold upstream after fast responses."""
    admission = Admission(slots=4, cold_slots=1)
    admission.cold = True
    for number in range(20):
        assert admission.try_admit(number, 10.0, 0.0) is AdmissionResult.ADMITTED
        admission.finish(0.0, 0.005, FinishKind.OK)
    assert admission.limit == 1
    admission.cold = False
    for number in range(20, 23):
        admission.try_admit(number, 10.0, 0.0)
        admission.finish(0.0, 0.005, FinishKind.OK)
    assert admission.limit > 1


def test_slow_response_below_the_limit_does_not_reduce_it():
    """Guards against a queue at a slow upstream that has free slots."""
    admission = build_admission()
    for _ in range(20):
        run_one(admission)
    assert admission.limit == 4
    run_one(admission, latency_s=0.1)
    assert admission.limit == 4
