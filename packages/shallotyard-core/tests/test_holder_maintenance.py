"""Tests that outcome records are kept when holders move or are lost."""

import itertools

import pytest
import region_builders as builders
from simulation import Simulation

from shallotyard_core.effects import SendAttempt
from shallotyard_core.effects import SendPeer
from shallotyard_core.events import PeerReplied
from shallotyard_core.holder import create_call
from shallotyard_core.lease import Proof
from shallotyard_core.messages import MemberAge
from shallotyard_core.messages import RecallReply
from shallotyard_core.messages import RecallRequest
from shallotyard_core.messages import Release
from shallotyard_core.messages import WitnessAck
from shallotyard_core.messages import WitnessRecord
from shallotyard_core.messages import WitnessSet
from shallotyard_core.outcomes import RETENTION_S
from shallotyard_core.witness import KEEPALIVE_PERIOD_S
from shallotyard_core.witness import UPDATE_PERIOD_S
from shallotyard_core.witness import WitnessService

HEADERS = {"shallotyard-key": "a", "idempotency-key": "k1"}


def build_maintenance(now=0.0):
    """Return the maintenance state of an instance that holds both slices."""
    router = builders.build_router("r1", now=now)
    holders = {"book-1": ("r1", 1, "")}
    slices = [("book-1", 1, ""), ("book-1", 1, "")]
    router.control.deployment = builders.build_deployment()
    router.control.region = builders.REGION
    router.holder.apply_deployment(router.control.deployment, now)
    apply_assignment(router, builders.build_table(1, holders, slices), now)
    return router.control.maintenance


def apply_assignment(router, table, now):
    """Apply an assignment table, and discard the effects."""
    name = f"assignments/{builders.REGION}"
    router.control.cache.put(name, table.revision, "")
    router.control._apply_assignment(table, now, [])


def find_holder_node(simulation, service, viewer_id="r3"):
    """Return the node of the holder of the slice of key ``a``.

    :param viewer_id: id of the instance whose assignment table is used.
    """
    table = simulation.nodes[viewer_id].router.control.table
    position = builders.compute_short_position(service, "a")
    owner = table.services_by_id[service].find_entry(position).owner
    return simulation.nodes[table.find_holder(owner)]


@pytest.mark.parametrize("orderly", [True, False])
@pytest.mark.parametrize("service", ["desk", "book"])
def test_record_survives_two_changes_of_holder(service, orderly):
    """Guards against a second run after the next holder is lost as well."""
    simulation = Simulation()
    simulation.advance(6.0)
    simulation.send(simulation.nodes["r3"], "POST", f"/{service}/", HEADERS)
    simulation.advance(1.0)
    first = find_holder_node(simulation, service)
    others = [node for node in simulation.nodes.values() if node is not first]
    if orderly:
        service_state = builders.build_service_state(2, [], [first.id])
        simulation.put_object("service-state", service_state.encode())
    else:
        simulation.kill(first)
    simulation.advance(6.0)
    second = find_holder_node(simulation, service, others[0].id)
    assert second is not first
    (last,) = (node for node in others if node is not second)
    simulation.kill(second)
    simulation.advance(6.0)
    assert find_holder_node(simulation, service, last.id) is last
    repeated = simulation.send(last, "POST", f"/{service}/", HEADERS)
    simulation.advance(3.0)
    assert simulation.violations == []
    (response,) = simulation.responses[repeated]
    assert response.headers["Shallotyard-Verdict"] != "not-run"


def test_release_reports_slices_with_missing_records():
    """Guards against a second run after a slice with missing records has moved."""
    maintenance = build_maintenance()
    holder = maintenance.router.holder
    holder.outcome_store.mark_incomplete("book/0", 100.0)
    holder.recalling_slice_ids.add("book/1")
    claims = [holder.leases.claims_by_id[f"book/{n}"] for n in (0, 1)]
    message = maintenance._build_release(claims, 40.0)
    assert message.incomplete_s == {"book/0": 60.0, "book/1": RETENTION_S}
    other = build_maintenance()
    other.apply_release(message, 10.0, [])
    assert (
        other.router.holder.outcome_store.get_incomplete_until("book/0", 60.0)
        is not None
    )


def test_slice_is_recalled_until_all_its_recalls_end():
    """Guards against a run before the records of a hot slice are collected."""
    maintenance = build_maintenance()
    for name in ("r2", "r3"):
        maintenance.router.membership.record_relayed_contact(
            builders.build_member_age(name), 0.0
        )
    claim = maintenance.router.leases.claims_by_id["book/0"]
    for name in ("r4", "r5"):
        maintenance._start_recall(name, "1", [claim], 0.1, [])
    for number, instance_id in ((1, "r2"), (1, "r3"), (2, "r2")):
        token = ("recall", number, instance_id)
        reply = PeerReplied(0.2, instance_id, token, 0.1, RecallReply(True, {}))
        maintenance.handle_peer_reply(reply, [])
        assert maintenance.router.holder.recalling_slice_ids == {"book/0"}
    reply.token = ("recall", 2, "r3")
    maintenance.handle_peer_reply(reply, [])
    assert maintenance.router.holder.recalling_slice_ids == set()


def test_no_call_starts_before_all_recalls_are_registered():
    """Guards against a second run if the first of several recalls ends at once."""
    maintenance = build_maintenance()
    router = maintenance.router
    holders = {"book-1": ("r1", 3, "r2"), "book-2": ("r1", 3, "r3")}
    slices = [("book-1", 3, "r2"), ("book-2", 3, "r3")]
    apply_assignment(router, builders.build_table(5, holders, slices), 1.0)
    held_upstream = router.holder.held_upstreams_by_id["book-2"]
    held_upstream.boot_id, held_upstream.state = "boot-1", "serving"
    router.leases.proof.proven_at = 3.0
    relay = builders.build_relay("q1.1", 40000, identity="i1", idempotent=False)
    router.holder.accept_call(create_call(relay, "r2", None, 3.0), 3.0, [])
    effects = []
    maintenance.tick(3.1, effects)
    assert not [effect for effect in effects if isinstance(effect, SendAttempt)]
    ((_, reply),) = router.holder.completed_calls
    assert reply.reason == "outcome-unknown"


def test_witness_reports_complete_only_for_epochs_it_received():
    """Guards against a recall that relies on a witness with missing records."""
    witness_service = WitnessService()
    witness_service.handle(WitnessSet("r1", "1", {}, {"book/0": 3}), 1.0)

    def is_complete(epoch):
        request = RecallRequest("r1", "1", ["book/0"], 0.0, {"book/0": epoch})
        return witness_service.recall(request, 1.1).complete

    assert is_complete(3)
    assert not is_complete(2)
    assert not is_complete(4)
    witness_service.handle(WitnessSet("r1", "1", {}, {"book/0": 4}, partial=True), 1.2)
    assert is_complete(4)


def test_claim_that_moves_during_its_takeover_lacks_records():
    """Guards against a second run if the epoch changes during a takeover."""
    maintenance = build_maintenance()
    router = maintenance.router
    holders = {"book-1": ("r1", 1, ""), "book-2": ("r2", 1, "")}
    revisions = [
        [("book-2", 2, "r1"), ("book-1", 1, "")],
        [("book-1", 3, "r2"), ("book-1", 1, "")],
        [("book-1", 4, "r1"), ("book-1", 1, "")],
    ]
    for number, slices in enumerate(revisions):
        table = builders.build_table(number + 2, holders, slices)
        apply_assignment(router, table, 0.1 * number)
    router.leases.proof.proven_at = 2.0
    maintenance.tick(3.0, [])
    assert router.leases.claims_by_id["book/0"].started
    assert router.holder.outcome_store.get_incomplete_until("book/0", 3.0) is not None
    assert router.holder.outcome_store.get_incomplete_until("book/1", 3.0) is None


def test_instance_without_a_witness_relies_on_its_own_records():
    """Guards against refused writes after a move between two upstreams of one holder.

    The only instance of a region has no witness from which to recall its records.
    """
    maintenance = build_maintenance()
    router = maintenance.router
    maintenance.tick(0.5, [])
    # An attempt in progress delays the instance's release to itself.
    router.leases.claims_by_id["book/0"].in_flight = 1
    slices = [("book-1", 2, "r1"), ("book-1", 1, "")]
    holders = {"book-1": ("r1", 1, "")}
    apply_assignment(router, builders.build_table(2, holders, slices), 0.6)
    router.leases.record_proof(Proof(2, 2.0, 2.0))
    maintenance.tick(2.2, [])
    assert router.leases.claims_by_id["book/0"].started
    assert maintenance.pending_recalls_by_number == {}
    assert router.holder.outcome_store.get_incomplete_until("book/0", 2.2) is None


def test_merge_of_an_unserved_hot_slice_lacks_records():
    """Guards against a second run if a hot slice is merged during its takeover."""
    maintenance = build_maintenance()
    router = maintenance.router
    holders = {"book-1": ("r1", 1, ""), "book-2": ("r2", 1, "")}
    whole = [("book-1", 1, ""), ("book-1", 1, "")]
    merged = [("book-1", 2, "r1"), ("book-1", 1, "")]
    for revision, owner, previous in ((2, "book-2", "r2"), (3, "book-1", "r2")):
        hot = {5: (owner, revision, previous)}
        apply_assignment(
            router, builders.build_table(revision, holders, whole, hot), 0.1
        )
    apply_assignment(router, builders.build_table(4, holders, merged), 0.2)
    assert router.holder.outcome_store.get_incomplete_until("book/0", 0.3) is not None


def test_release_without_incompleteness_is_accepted():
    """Guards against an exception on the shorter message of an older version."""
    maintenance = build_maintenance()
    maintenance.apply_release(Release(builders.REGION, {"book/0": 1}), 1.0, [])
    assert (
        maintenance.router.holder.outcome_store.get_incomplete_until("book/0", 1.0)
        is None
    )


def test_reply_of_a_former_witness_starts_no_attempt():
    """Guards against a run whose record only a previous witness has."""
    maintenance = build_maintenance()
    holder = maintenance.router.holder
    results = []
    holder.handle_witness_reply = lambda call_id, stored, now, effects: results.append(
        stored
    )
    (
        maintenance.witness_selection.instance_id,
        maintenance.witness_selection.complete,
    ) = "r3", True
    for instance_id in ("r2", "r3"):
        token = ("witness", "q1.1")
        reply = PeerReplied(0.2, instance_id, token, 0.1, WitnessAck(True))
        maintenance.handle_peer_reply(reply, [])
    assert results == [False, True]


def test_witness_receives_a_new_claim_before_the_next_keepalive():
    """Guards against a holder that is lost before its witness has the latest claims.

    Writes to a slice of such a claim are refused for minutes.
    """
    maintenance = build_maintenance()
    control = maintenance.control
    control.router.membership.record_relayed_contact(
        builders.build_member_age("r3"), 0.0
    )
    sent = []
    for tick in range(120):
        now = 0.05 * tick
        if tick == 71:
            control.router.leases.claims_by_id["book/0"].epoch += 1
        effects = []
        control.router.membership.members_by_id["r3"].last_seen_at = now
        maintenance.tick(now, effects)
        for effect in (each for each in effects if isinstance(each, SendPeer)):
            sent.append((now, type(effect.message)))
            ack = WitnessAck(True)
            maintenance.handle_peer_reply(
                PeerReplied(now, "r3", effect.token, now, ack), []
            )
    (_, set_sent_at) = (now for now, kind in sent if kind is WitnessSet)
    assert set_sent_at - 0.05 * 71 <= UPDATE_PERIOD_S
    keepalives = [now for now, kind in sent if kind is WitnessRecord]
    gaps = [b - a for a, b in itertools.pairwise(now for now, _ in sent)]
    assert max(gaps) <= KEEPALIVE_PERIOD_S + 0.05
    assert len(keepalives) <= 6.0 / KEEPALIVE_PERIOD_S + 2


@pytest.mark.parametrize("replies_lost_after_s", [0.0, 5.0, 5.2, 6.1])
@pytest.mark.parametrize("messages_arrive_for_s", [0.4, 1.0, 60.0])
def test_no_run_without_a_copy_while_the_witness_counts_as_complete(
    replies_lost_after_s, messages_arrive_for_s
):
    """Guards against a second run after only the replies of the witness are lost.

    The holder could run requests without a copy and then be lost, and the witness would
    report that it has all records.
    """
    maintenance = build_maintenance()
    membership = maintenance.router.membership
    witness_service = WitnessService()
    runs_without_copy = 0
    replies = []
    for step in range(600):
        now = step * 0.05
        member = MemberAge("r3", "1", "d2", "peer:r3", False, 0.0)
        membership.record_relayed_contact(member, now)
        effects = []
        for due, reply in list(replies):
            if due <= now:
                replies.remove((due, reply))
                maintenance.handle_peer_reply(reply, effects)
        if maintenance.control.reschedule_if_due("witness", KEEPALIVE_PERIOD_S, now):
            maintenance._update_witness(now, effects)
        for effect in effects:
            ack = None
            if now < replies_lost_after_s + messages_arrive_for_s:
                ack = witness_service.handle(effect.message, now)
            if now >= replies_lost_after_s:
                ack = None
            delay_s = 0.3 if ack is None else 0.0
            reply_event = PeerReplied(now + delay_s, "r3", effect.token, now, ack)
            replies.append((now + delay_s, reply_event))
        selection = maintenance.witness_selection
        if now > 1.0 and not selection.complete and selection.may_run_without_copy(now):
            runs_without_copy += 1
            own = maintenance.control.own
            # The holder stops at this time; other instances have seen it until then.
            request = RecallRequest(
                own.instance_id, own.incarnation, ["book/0"], 0.0, {}
            )
            for later in (now, now + 1.5, now + 4.0):
                request.silence_s = later - now
                assert not witness_service.recall(request, later).complete
    assert runs_without_copy > 0
