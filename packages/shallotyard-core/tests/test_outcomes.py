import json

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from shallotyard_core.outcome_records import RETENTION_S
from shallotyard_core.outcome_records import OutcomeRecord
from shallotyard_core.outcome_records import RecordState
from shallotyard_core.outcome_records import StoredResponse
from shallotyard_core.outcomes import MAX_ATTEMPT_S
from shallotyard_core.outcomes import WITNESS_RETENTION_S
from shallotyard_core.outcomes import OutcomeStore
from shallotyard_core.outcomes import RegistrationStatus
from shallotyard_core.outcomes import WitnessStore
from shallotyard_core.verdict import Verdict


def build_response(size=10, fill=b"x"):
    return StoredResponse(200, (), fill * size)


def register(outcome_store, identity="i", now=0, fingerprint="f", slice_id="s"):
    return outcome_store.register(slice_id, identity, fingerprint, now).status


def build_outcome_store(verdict=None, now=0, fingerprint="f", response=None):
    outcome_store = OutcomeStore()
    assert (
        register(outcome_store, now=now, fingerprint=fingerprint)
        is RegistrationStatus.NEW
    )
    if verdict is not None:
        outcome_store.record_outcome("s", "i", now, verdict, response)
    return outcome_store


def test_repeat_gets_the_stored_response():
    """Guards against running a repeated request a second time."""
    outcome_store = build_outcome_store()
    assert register(outcome_store) is RegistrationStatus.RUNNING
    outcome_store.record_outcome("s", "i", 1, Verdict.RAN, build_response())
    result = outcome_store.register("s", "i", "f", 2)
    assert result.status is RegistrationStatus.DONE
    assert result.record.response == build_response()


def test_request_that_did_not_run_may_run():
    """Guards against refusing a request that is known not to have run."""
    assert register(build_outcome_store(Verdict.NOT_RUN)) is RegistrationStatus.NEW


@pytest.mark.parametrize("verdict", [Verdict.MAY_HAVE_RUN, Verdict.RAN])
def test_request_without_response_is_unknown(verdict):
    """Guards against running a request again after a lost response."""
    outcome_store = build_outcome_store(verdict)
    assert register(outcome_store) is RegistrationStatus.UNKNOWN
    outcome_store.record_outcome("s", "i", 0, Verdict.NOT_RUN)
    assert register(outcome_store) is RegistrationStatus.UNKNOWN


def test_other_request_under_the_same_key_is_a_mismatch():
    """Guards against answering a request with the response to another."""
    outcome_store = build_outcome_store(Verdict.RAN, response=build_response())
    assert register(outcome_store, fingerprint="g") is RegistrationStatus.MISMATCH


def test_running_record_outlives_the_retention_period():
    """Guards against running a repeated request while its first attempt still runs."""
    outcome_store = build_outcome_store()
    assert register(outcome_store, now=2 * RETENTION_S) is RegistrationStatus.RUNNING
    outcome_store.record_outcome("s", "i", 600, Verdict.RAN, build_response())
    assert register(outcome_store, now=600 + RETENTION_S - 1) is RegistrationStatus.DONE
    assert register(outcome_store, now=600 + RETENTION_S) is RegistrationStatus.NEW


def test_expiry_removes_records_and_responses():
    """Guards against memory that grows with every request."""
    outcome_store = OutcomeStore()
    for number in range(100):
        register(outcome_store, identity=str(number), now=number)
        outcome_store.record_outcome(
            "s", str(number), number, Verdict.RAN, build_response()
        )
    outcome_store.expire(RETENTION_S + 49)
    assert (len(outcome_store), outcome_store.response_bytes) == (50, 500)
    outcome_store.expire(RETENTION_S + 100)
    assert (len(outcome_store), outcome_store.response_bytes) == (0, 0)
    assert not outcome_store._expirations
    assert not outcome_store._records_by_slice


def test_old_responses_are_dropped_but_not_their_records():
    """Guards against running a request again after its response was dropped."""
    outcome_store = OutcomeStore(max_response_bytes=25)
    for number in range(3):
        register(outcome_store, identity=str(number))
        outcome_store.record_outcome(
            "s", str(number), 0, Verdict.RAN, build_response(10)
        )
    kinds = [register(outcome_store, identity=str(number)) for number in range(3)]
    assert kinds == [
        RegistrationStatus.UNKNOWN,
        RegistrationStatus.DONE,
        RegistrationStatus.DONE,
    ]
    register(outcome_store, identity="large")
    outcome_store.record_outcome("s", "large", 0, Verdict.RAN, build_response(26))
    assert register(outcome_store, identity="large") is RegistrationStatus.UNKNOWN
    assert outcome_store.response_bytes == 20


def test_slice_with_missing_records_runs_no_new_request():
    """Guards against repeating a request whose record was lost with its holder."""
    outcome_store = build_outcome_store(Verdict.RAN, response=build_response())
    outcome_store.mark_incomplete("s", 100)
    outcome_store.mark_incomplete("s", 50)
    assert register(outcome_store) is RegistrationStatus.DONE
    assert (
        register(outcome_store, identity="j", now=99) is RegistrationStatus.INCOMPLETE
    )
    assert outcome_store.get_incomplete_until("s", 99) == 100
    assert register(outcome_store, identity="j", now=100) is RegistrationStatus.NEW
    outcome_store.mark_incomplete("s", 200)
    outcome_store.clear_incomplete("s")
    assert register(outcome_store, identity="k", now=101) is RegistrationStatus.NEW


def test_moved_records_are_used_by_the_new_holder():
    """Guards against running a request again after its slice moved."""
    old = build_outcome_store(Verdict.RAN, now=1000, response=build_response())
    register(old, identity="j", now=1000)
    wires = json.loads(json.dumps([r.to_wire(1100) for r in old.export("s")]))
    old.drop("s")
    assert (len(old), old.response_bytes) == (0, 0)
    new = OutcomeStore()
    new.import_records("s", [OutcomeRecord.from_wire(w, 5) for w in wires], 5)
    assert register(new, now=6) is RegistrationStatus.DONE
    assert register(new, identity="j", now=6) is RegistrationStatus.UNKNOWN
    assert register(new, now=5 + RETENTION_S - 100) is RegistrationStatus.NEW


@pytest.mark.parametrize("own", [None, Verdict.MAY_HAVE_RUN, Verdict.RAN])
@pytest.mark.parametrize("other", [None, Verdict.MAY_HAVE_RUN, Verdict.RAN])
def test_merge_keeps_the_record_of_higher_precedence(own, other):
    """Guards against losing a response, or a running attempt, in a merge."""
    outcome_store = build_outcome_store(own, response=build_response(fill=b"o"))
    copies = build_outcome_store(other, response=build_response(fill=b"c")).export("s")
    waited_for = outcome_store.register("s", "i", "f", 0).record
    outcome_store.import_records("s", copies, 0)
    done = Verdict.RAN in (own, other)
    assert register(outcome_store) is (
        RegistrationStatus.DONE if done else RegistrationStatus.UNKNOWN
    )
    assert outcome_store.register("s", "i", "f", 0).record is waited_for
    if done:
        fill = b"o" if own is Verdict.RAN else b"c"
        assert waited_for.response == build_response(fill=fill)


def test_merge_never_combines_two_requests():
    """Guards against storing a response with another request's fingerprint."""
    outcome_store = build_outcome_store()
    others = build_outcome_store(
        Verdict.RAN, fingerprint="g", response=build_response()
    )
    outcome_store.import_records("s", others.export("s"), 0)
    outcome_store.record_outcome("s", "i", 0, Verdict.NOT_RUN)
    assert register(outcome_store) is RegistrationStatus.UNKNOWN
    assert register(outcome_store, fingerprint="g") is RegistrationStatus.MISMATCH


def test_import_does_not_shorten_a_running_record():
    """Guards against removing the record of a running attempt with an old copy."""
    outcome_store = build_outcome_store()
    record = OutcomeRecord("s", "i", "f", RecordState.UNKNOWN, expires_at=1)
    outcome_store.import_records("s", [record], 0)
    assert register(outcome_store, now=2) is RegistrationStatus.UNKNOWN


def test_witness_copies_stop_a_repeat_after_takeover():
    """Guards against running a request again after its holder was lost."""
    record = build_outcome_store().register("s", "i", "f", 0).record
    witness = WitnessStore(max_records=1)
    assert witness.put("s", record, 0)
    assert witness.put("s", record, 1)
    assert not witness.put("s", OutcomeRecord("s", "j", "f", record.state), 1)
    outcome_store = OutcomeStore()
    outcome_store.import_records("s", witness.recall(["r", "s"]), 2)
    assert register(outcome_store, now=3) is RegistrationStatus.UNKNOWN
    witness.expire(WITNESS_RETENTION_S)
    assert len(witness) == 1
    witness.expire(1 + WITNESS_RETENTION_S)
    assert witness.recall(["s"]) == []
    witness.put("s", record, 500)
    witness.remove("s", "i")
    witness.remove("s", "i")
    assert len(witness) == 0


def test_witness_copy_outlives_the_longest_attempt():
    """Guards against running a request again within the retention period."""
    witness = WitnessStore()
    witness.put("s", build_outcome_store().register("s", "i", "f", 0).record, 0)
    last = MAX_ATTEMPT_S + RETENTION_S - 1
    witness.expire(last)
    outcome_store = OutcomeStore()
    outcome_store.import_records("s", witness.recall(["s"]), last)
    assert register(outcome_store, now=last) is RegistrationStatus.UNKNOWN


def test_renewed_record_outlives_its_first_expiry():
    """Guards against removing a response that arrived for an unknown record."""
    outcome_store = build_outcome_store(Verdict.MAY_HAVE_RUN)
    outcome_store.record_outcome("s", "i", 100, Verdict.RAN, build_response())
    outcome_store.expire(RETENTION_S)
    assert register(outcome_store, now=RETENTION_S) is RegistrationStatus.DONE


class OutcomesMachine(RuleBasedStateMachine):
    """Requests at two holders between which one slice moves back and forth.

    For each identity, the model keeps when the last attempt that may have run ended,
    and until when a copy of a record may cause refusals. No request may run again
    within the retention period. Attempts last at most ``MAX_ATTEMPT_S``.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.outcome_stores = [OutcomeStore(max_response_bytes=40) for _ in range(2)]
        self.outcome_store = self.outcome_stores[0]
        self.witness = WitnessStore()
        self.running = {}
        self.started_at = {}
        self.ended_at = {}
        self.refused_until = {}

    @rule(identity=st.sampled_from("abc"), fingerprint=st.sampled_from("fg"))
    def begin(self, identity, fingerprint):
        result = self.outcome_store.register("s", identity, fingerprint, self.now)
        ended_at = self.ended_at.get(identity)
        if result.status is RegistrationStatus.NEW:
            assert identity not in self.running
            assert ended_at is None or self.now >= ended_at + RETENTION_S
            self.running[identity] = fingerprint
            self.started_at[identity] = self.now
            self.refused_until[identity] = (
                self.now + WITNESS_RETENTION_S + MAX_ATTEMPT_S
            )
            self.witness.put("s", result.record, self.now)
            return
        assert self.now < self.refused_until[identity]
        if result.status is RegistrationStatus.DONE:
            # The body of a response is the fingerprint of its request.
            assert result.record.response.body[:1] == fingerprint.encode()
        elif result.status is RegistrationStatus.MISMATCH:
            assert result.record.fingerprint != fingerprint

    @precondition(lambda self: self.running)
    @rule(
        data=st.data(),
        verdict=st.sampled_from(Verdict),
        size=st.integers(1, 50),
        copied=st.booleans(),
    )
    def finish(self, data, verdict, size, copied):
        identity = data.draw(st.sampled_from(sorted(self.running)))
        fingerprint = self.running.pop(identity)
        response = build_response(size, fingerprint.encode())
        record = self.outcome_store.record_outcome(
            "s", identity, self.now, verdict, response
        )
        if verdict is Verdict.NOT_RUN:
            self.witness.remove("s", identity)
        else:
            self.ended_at[identity] = self.now
            if copied:
                self.witness.put("s", record, self.now)

    def move(self, records):
        self.outcome_store.drop("s")
        self.outcome_store = self.outcome_stores[
            self.outcome_store is self.outcome_stores[0]
        ]
        self.outcome_store.import_records("s", records, self.now)
        for identity in self.running:
            self.ended_at[identity] = self.now
        self.running = {}

    @rule()
    def release(self):
        """Move the slice with its records in JSON."""
        sent = [record.to_wire(self.now) for record in self.outcome_store.export("s")]
        received = json.loads(json.dumps(sent))
        self.move([OutcomeRecord.from_wire(wire, self.now) for wire in received])

    @rule()
    def take_over(self):
        """Simulate a holder loss that only the copies of the witness survive."""
        self.move(self.witness.recall(["s"]))

    @rule()
    def merge_witness_copies(self):
        """Merge late copies while attempts are running."""
        copies = self.witness.recall(["s"])
        self.outcome_store.import_records("s", copies, self.now)

    @rule(seconds=st.sampled_from([1, 10, 150, 299, 301]))
    def wait(self, seconds):
        then = self.now + seconds
        if all(then - self.started_at[i] <= MAX_ATTEMPT_S for i in self.running):
            self.now = then

    @rule()
    def expire(self):
        self.outcome_store.expire(self.now)
        self.witness.expire(self.now)

    def teardown(self):
        for outcome_store in self.outcome_stores:
            records = outcome_store.export("s")
            sizes = [r.response.compute_size_bytes() for r in records if r.response]
            assert outcome_store.response_bytes == sum(sizes) <= 40
            assert len(outcome_store) == len(records)


OutcomesMachine.TestCase.settings = settings(
    derandomize=True, max_examples=200, stateful_step_count=40, deadline=None
)
TestOutcomesMachine = OutcomesMachine.TestCase
