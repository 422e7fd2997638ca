"""Tests of calls at their holder, mainly during assignment changes."""

import pytest
import region_builders as builders

from shallotyard_core import events
from shallotyard_core.admission import AdmissionResult
from shallotyard_core.calls import ResultReason
from shallotyard_core.effects import CancelAttempt
from shallotyard_core.effects import SendAttempt
from shallotyard_core.effects import SendPeer
from shallotyard_core.events import AttemptKind
from shallotyard_core.exceptions import InvariantError
from shallotyard_core.held_upstreams import build_poll
from shallotyard_core.holder import create_call
from shallotyard_core.lease import Claim
from shallotyard_core.lease import Proof
from shallotyard_core.messages import Heartbeat
from shallotyard_core.reducer import reduce
from shallotyard_core.verdict import Verdict

# (holder, epoch, previous holder) by upstream id.
HOLDERS = {"book-1": ("r1", 1, ""), "book-2": ("r2", 1, "")}
# (upstream id, epoch, previous holder) by slice number.
SLICES = [("book-1", 1, ""), ("book-2", 1, "")]
HOT_POSITION = 5


def apply_assignment(router, table, now):
    effects = []
    router.control.table = table
    router.holder.apply_assignment(table, now)
    router.holder.retry_parked(now, effects)
    return effects


def build_holder(now=0.0):
    """Return an instance that can use its claims and knows the clock of book-1."""
    router = builders.build_router("r1", now=now)
    router.control.region = builders.REGION
    router.control.deployment = builders.build_deployment()
    router.holder.apply_deployment(router.control.deployment, now)
    apply_assignment(router, builders.build_table(10, HOLDERS, SLICES), now)
    router.leases.record_proof(Proof(10, now + 0.01, now + 0.01))
    held_upstream = router.holder.held_upstreams_by_id["book-1"]
    held_upstream.boot_id, held_upstream.clock_ms, held_upstream.clock_at = (
        "boot-1",
        1000.0,
        now,
    )
    router.holder.request_witness_copy = None
    return router


def accept_hot_call(router, call_id, now, **changes):
    effects = []
    relay = builders.build_relay(call_id, HOT_POSITION, **changes)
    router.holder.accept_call(create_call(relay, "r2", None, now), now, effects)
    return effects


def apply_moved_hot_slice(router, revision, now):
    """Apply a table in which the hot slice has moved to r2."""
    hot = {HOT_POSITION: ("book-2", revision, "r1")}
    return apply_assignment(
        router, builders.build_table(revision, HOLDERS, SLICES, hot), now
    )


def apply_split(router, now):
    hot = {HOT_POSITION: ("book-1", 11, "*")}
    return apply_assignment(router, builders.build_table(11, HOLDERS, SLICES, hot), now)


def find_attempts(effects):
    return [effect for effect in effects if isinstance(effect, SendAttempt)]


def pop_drained_ids(router):
    return {claim.claim_id for claim in router.leases.pop_drained(lambda _: True)}


def test_call_waiting_for_witness_is_parked_when_its_upstream_moves():
    """Guards against a crash when the witness replies after the upstream has moved."""
    router = build_holder()
    router.holder.request_witness_copy = lambda call, now, effects: "wait"
    accept_hot_call(router, "q1.1", 0.1, identity="i1", idempotent=False)
    holders = {**HOLDERS, "book-1": ("r2", 2, "r1")}
    slices = [("book-1", 2, "r1"), ("book-2", 1, "")]
    apply_assignment(router, builders.build_table(11, holders, slices), 0.2)
    reduce(router, events.Tick(0.25))
    effects = []
    router.holder.handle_witness_reply("q1.1", True, 0.3, effects)
    assert find_attempts(effects) == []
    assert router.holder.outcome_store.export("book/0") == []
    assert [call.relay.call_id for call, _ in router.holder.completed_calls] == []
    assert "q1.1" not in router.holder.calls_by_id


@pytest.mark.parametrize("waits_for_witness", [True, False])
def test_waiting_call_is_not_sent_for_position_that_moved_in_a_skipped_revision(
    waits_for_witness,
):
    """Guards against two owners of a key after a split in a skipped revision."""
    router = build_holder()
    if waits_for_witness:
        router.holder.request_witness_copy = lambda call, now, effects: "wait"
    else:
        accept_hot_call(router, "q0.1", 0.1)
    accept_hot_call(router, "q1.1", 0.1, identity="i1", idempotent=False)
    apply_moved_hot_slice(router, 12, 0.2)
    effects = []
    router.holder.handle_witness_reply("q1.1", True, 0.3, effects)
    finished = events.AttemptFinished(0.3, "q0.1", AttemptKind.ANSWERED, status=200)
    router.holder.handle_attempt_finished(finished, effects)
    assert find_attempts(effects) == []


def test_unresolved_attempt_delays_release_of_split_slice():
    """Guards against a release while an unresolved attempt of the hot slice may run."""
    router = build_holder()
    accept_hot_call(router, "q1.1", 0.1)
    router.holder.handle_attempt_finished(
        events.AttemptFinished(0.2, "q1.1", AttemptKind.LOST), []
    )
    apply_split(router, 0.3)
    apply_moved_hot_slice(router, 12, 0.4)
    assert pop_drained_ids(router) == set()
    router.holder.resolve("q1.1", 0.5)
    assert pop_drained_ids(router) == {f"book/hot-{HOT_POSITION}"}


def test_running_attempt_delays_release_after_merge():
    """Guards against a release while an attempt of the merged slice may run."""
    router = build_holder()
    apply_split(router, 0.1)
    accept_hot_call(router, "q1.1", 0.2)
    merged = [("book-1", 2, "r1"), ("book-2", 1, "")]
    apply_assignment(router, builders.build_table(12, HOLDERS, merged), 0.3)
    router.leases.claims_by_id["book/0"].started = True
    pop_drained_ids(router)
    moved = [("book-2", 3, "r1"), ("book-2", 1, "")]
    apply_assignment(router, builders.build_table(13, HOLDERS, moved), 0.4)
    assert pop_drained_ids(router) == set()
    finished = events.AttemptFinished(0.5, "q1.1", AttemptKind.ANSWERED, status=200)
    router.holder.handle_attempt_finished(finished, [])
    assert pop_drained_ids(router) == {"book/0"}


def test_late_response_of_old_process_does_not_resolve_attempts_of_the_new_one():
    """Guards against freeing the slot and claim of an attempt that is still running."""
    router = build_holder()
    held_upstream = router.holder.held_upstreams_by_id["book-1"]
    accept_hot_call(router, "q1.1", 0.1)
    router.holder.record_boot_id(held_upstream, "boot-2", 0.2, [])
    held_upstream.clock_ms, held_upstream.admission.limit = 2000.0, 2
    accept_hot_call(router, "q2.1", 0.3)
    router.holder.handle_attempt_finished(
        events.AttemptFinished(0.4, "q2.1", AttemptKind.LOST), []
    )
    late = events.AttemptFinished(
        0.5, "q1.1", AttemptKind.ANSWERED, status=200, boot_id="boot-1"
    )
    router.holder.handle_attempt_finished(late, [])
    assert held_upstream.boot_id == "boot-2"
    assert list(held_upstream.unresolved_attempts_by_id) == ["q2.1"]


def test_upstream_published_after_its_assignment_is_served():
    """Guards against a new upstream that is not served until the next assignment."""
    router = build_holder()
    holders = {**HOLDERS, "book-3": ("r1", 1, "")}
    apply_assignment(router, builders.build_table(11, holders, SLICES), 0.1)
    assert router.holder.get_admission_claim("book-3") is None
    router.holder.apply_deployment(builders.build_deployment(2, ("book-3",)), 0.2)
    assert router.holder.get_admission_claim("book-3") is not None
    assert "book-3" in router.holder.held_upstreams_by_id


def test_attempt_that_would_violate_a_guarantee_is_refused_and_counted():
    """Guards against an attempt that reaches an upstream despite wrong claims."""
    router = builders.build_router("r1")
    holders = {"book-1": ("r1", 1, "")}
    table = builders.build_table(1, holders, [("book-1", 1, "")])
    router.control.deployment = builders.build_deployment()
    router.control.region = builders.REGION
    router.holder.apply_deployment(router.control.deployment, 0.0)
    router.holder.apply_assignment(table, 0.0)
    router.leases.record_proof(Proof(1, 0.0, 0.0))
    held_upstream = router.holder.held_upstreams_by_id["book-1"]
    held_upstream.boot_id = "boot"
    call = create_call(builders.build_relay("q.1"), "r2", object(), 0.1)
    call.claim = Claim("book/0", "book-1", 1, "", 0.0, started=True)
    call.upstream_claim = router.holder.get_admission_claim("book-1")
    call.relay.upstream_id = "book-1"
    assert held_upstream.admission.try_admit(call, 1.0, 0.1) is AdmissionResult.ADMITTED
    effects = []
    with pytest.raises(InvariantError, match="one-owner"):
        router.holder._check_guarantees(call, held_upstream, 0.5, 0.1, effects)
    assert held_upstream.admission.in_flight == 0
    (_, reply) = router.holder.completed_calls[-1]
    assert reply.verdict is Verdict.NOT_RUN


def test_unresolved_attempt_makes_the_next_ones_open_new_connections():
    """Guards against a failed request for each broken idle connection."""
    router = build_holder()
    apply_assignment(router, builders.build_table(1, HOLDERS, SLICES), 0.0)
    held_upstream = router.holder.held_upstreams_by_id["book-1"]
    assert not build_poll(held_upstream, {}, 1.5, 0.1).fresh
    first_call = create_call(builders.build_relay("q.1"), "", None, 0.1)
    effects = []
    router.holder.accept_call(first_call, 0.1, effects)
    (attempt,) = [each for each in effects if isinstance(each, SendAttempt)]
    assert not attempt.fresh
    lost = events.AttemptFinished(0.5, "q.1", AttemptKind.LOST, "timeout")
    reduce(router, lost)
    assert build_poll(held_upstream, {}, 1.5, 0.6).fresh
    router.holder.resolve("q.1", 0.6)
    effects = []
    second_call = create_call(builders.build_relay("q.2"), "", None, 0.7)
    router.holder.accept_call(second_call, 0.7, effects)
    (attempt,) = [each for each in effects if isinstance(each, SendAttempt)]
    assert attempt.fresh


def accept_unkeyed_call(router, call_id, now):
    effects = []
    relay = builders.build_relay(call_id, -1, upstream_id="book-1")
    router.holder.accept_call(create_call(relay, "r2", None, now), now, effects)
    return effects


def put_out_of_service(router, now):
    domain = router.holder.held_upstreams_by_id["book-1"].upstream.domain
    router.holder.apply_out_of_service(frozenset({domain}), now, [])


def test_unkeyed_call_for_upstream_out_of_service_is_refused():
    """Guards against new requests at a domain that is out of service.

    An ingress instance may not have the new service state yet.
    """
    router = build_holder()
    put_out_of_service(router, 0.1)
    assert not find_attempts(accept_unkeyed_call(router, "c1", 0.2))
    ((_, reply),) = router.holder.completed_calls
    assert reply.verdict is Verdict.NOT_RUN
    assert reply.reason == ResultReason.OUT_OF_SERVICE


def test_queued_unkeyed_calls_are_refused_when_their_domain_is_taken_out():
    """Guards against queued calls that are sent after the domain was taken out."""
    router = build_holder()
    started = 0
    while accept_unkeyed_call(router, f"c{started}", 0.1):
        started += 1
    put_out_of_service(router, 0.2)
    ((call, reply),) = router.holder.completed_calls
    assert call.relay.call_id == f"c{started}"
    assert reply.reason == ResultReason.OUT_OF_SERVICE


def build_slow_holder(quick_ids, slow_ids=()):
    """Return a holder for which one more slow response completes a run at book-1.

    :param quick_ids: other upstreams in use, without slow responses.
    :param slow_ids: other upstreams in use, with a recent slow response.
    """
    router = build_holder()
    holders = {name: ("r1", 1, "") for name in ("book-1", *quick_ids, *slow_ids)}
    apply_assignment(router, builders.build_table(11, holders, SLICES), 0.0)
    router.leases.record_proof(Proof(11, 9.9, 9.9))
    for name in holders:
        held_upstream = router.holder.held_upstreams_by_id[name]
        held_upstream.rate = 10.0
        held_upstream.record_latency(0.02, 5.0)
        if name not in quick_ids:
            held_upstream.record_latency(0.1, 9.0)
    router.holder.held_upstreams_by_id["book-1"].record_latency(0.1, 9.5)
    return router


def finish_slow_call(router):
    """Finish a call of 0.1 s at book-1 and return the effects."""
    accept_hot_call(router, "q1.1", 10.0)
    response = events.AttemptFinished(
        10.1, "q1.1", AttemptKind.ANSWERED, status=200, boot_id="boot-1"
    )
    return reduce(router, response)


@pytest.mark.parametrize("collected_at", [None, 10.08])
def test_slow_upstream_is_reported_to_coordinators_at_once(collected_at):
    """Guards against keys that stay at a slow upstream until the next heartbeat.

    Reports that were collected earlier in the same tick do not show it yet.
    """
    router = build_slow_holder(["till-1", "till-2"])
    router.control.table = builders.build_table(11, {}, [], coordinators=("r2",))
    router.membership.record_direct_contact(builders.build_member_age("r2"), 10.0)
    router.control.next_due_at_by_task["heartbeat"] = 10.2
    if collected_at is not None:
        router.control.collect_reports(collected_at)
    effects = finish_slow_call(router)
    (heartbeat,) = [
        effect.message
        for effect in effects
        if isinstance(effect, SendPeer) and isinstance(effect.message, Heartbeat)
    ]
    latency_s_by_id = {each.upstream_id: each.latency_s for each in heartbeat.reports}
    assert latency_s_by_id["book-1"] == pytest.approx(0.1)
    assert latency_s_by_id["till-1"] == pytest.approx(0.02)


def test_instance_with_several_slow_upstreams_reports_none_at_once():
    """Guards against moving slices because their holder lacks CPU time."""
    router = build_slow_holder(["till-1", "till-2"], ["desk-1"])
    # The slow responses have ended, as after a pause of the machine.
    router.holder.held_upstreams_by_id["desk-1"].record_latency(0.02, 9.8)
    finish_slow_call(router)
    held_upstream = router.holder.held_upstreams_by_id["book-1"]
    assert held_upstream.slow_run.count == 3
    assert held_upstream.latency_s < 0.06


def test_revocation_of_a_lost_slice_is_due_at_once():
    """Guards against a next holder that waits a renewal period for a revocation."""
    router = build_holder()
    held_upstream = router.holder.held_upstreams_by_id["book-1"]
    held_upstream.granted_epochs["book/0"] = 1
    held_upstream.polled_at = 0.05
    apply_assignment(
        router, builders.build_table(11, HOLDERS, [("book-2", 2, "r1")]), 0.1
    )
    assert held_upstream.revoked_claim_ids == {"book/0"}
    assert held_upstream.polled_at == float("-inf")


def test_cancelled_call_stops_its_attempt():
    """Guards against a cancelled attempt that keeps its slot until its deadline."""
    router = build_holder()
    assert accept_unkeyed_call(router, "c1", 0.1)
    effects = []
    router.holder.cancel_call("c1", effects)
    (effect,) = effects
    assert isinstance(effect, CancelAttempt)
    assert effect.call_id == "c1"


def test_cancelled_attempt_does_not_reduce_the_limit_of_its_upstream():
    """Guards against cancelled hedges that are counted as load shedding."""
    router = build_holder()
    held_upstream = router.holder.held_upstreams_by_id["book-1"]
    held_upstream.admission.limit = 2
    accept_hot_call(router, "q1.1", 0.1)
    router.holder.cancel_call("q1.1", [])
    refused = events.AttemptFinished(
        0.21,
        "q1.1",
        AttemptKind.ANSWERED,
        status=503,
        boot_id="boot-1",
        verdict=Verdict.NOT_RUN,
    )
    router.holder.handle_attempt_finished(refused, [])
    assert held_upstream.admission.in_flight == 0
    assert held_upstream.admission.limit == 2
