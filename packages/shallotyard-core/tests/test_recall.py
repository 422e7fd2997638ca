"""Tests of which slices have complete records after a holder was lost."""

import region_builders as builders

from shallotyard_core.messages import RecallReply
from shallotyard_core.messages import RecallRequest
from shallotyard_core.messages import WitnessSet
from shallotyard_core.witness import WitnessService

SLICES = [("book-1", 1, ""), ("book-1", 1, "")]


def apply_assignment(router, table, now):
    """Apply a table and return the effects."""
    effects = []
    name = f"assignments/{builders.REGION}"
    router.control.cache.put(name, table.revision, "")
    router.control._apply_assignment(table, now, effects)
    return effects


def build_router(now=0.0):
    """Return a configured instance without claims."""
    router = builders.build_router("r1", now=now)
    router.control.deployment = builders.build_deployment()
    router.control.region = builders.REGION
    router.holder.apply_deployment(router.control.deployment, now)
    holders = {"book-1": ("r2", 1, "")}
    apply_assignment(router, builders.build_table(1, holders, SLICES), now)
    return router


def test_one_unknown_claim_leaves_the_others_complete():
    """Guards against a slice with missing records that makes others incomplete.

    Writes to a slice whose records may be incomplete are refused for minutes.
    """
    witness_service = WitnessService()
    witness_service.handle(WitnessSet("r2", "1", {}, {"book/0": 3, "book/1": 1}), 1.0)
    epochs = {"book/0": 3, "book/1": 2}
    request = RecallRequest("r2", "1", ["book/0", "book/1"], 0.0, epochs)
    reply = witness_service.recall(request, 1.1)
    assert (reply.complete, reply.complete_claims) == (False, ["book/0"])
    router = build_router()
    router.membership.record_relayed_contact(builders.build_member_age("r3"), 0.0)
    maintenance = router.control.maintenance
    slices = [("book-1", 4, "r2"), ("book-1", 3, "r2")]
    holders = {"book-1": ("r1", 2, "r2")}
    apply_assignment(router, builders.build_table(4, holders, slices), 0.1)
    claims = [router.leases.claims_by_id[name] for name in ("book/0", "book/1")]
    maintenance._start_recall("r2", "1", claims, 0.2, [])
    maintenance._merge_recall_reply(maintenance.pending_recalls_by_number[1], reply)
    maintenance._finish_recall(1, 0.3, [])
    outcome_store = router.holder.outcome_store
    assert outcome_store.get_incomplete_until("book/1", 0.4) is not None
    assert outcome_store.get_incomplete_until("book/0", 0.4) is None


def test_complete_reply_covers_all_claims():
    """Guards against claims that stay incomplete after a complete reply."""
    router = build_router()
    router.membership.record_relayed_contact(builders.build_member_age("r3"), 0.0)
    holders = {"book-1": ("r1", 2, "r2")}
    slices = [("book-1", 2, "r2"), ("book-1", 2, "r2")]
    apply_assignment(router, builders.build_table(2, holders, slices), 0.1)
    maintenance = router.control.maintenance
    claims = [router.leases.claims_by_id[name] for name in ("book/0", "book/1")]
    maintenance._start_recall("r2", "1", claims, 0.2, [])
    maintenance._merge_recall_reply(
        maintenance.pending_recalls_by_number[1], RecallReply(True, {})
    )
    maintenance._finish_recall(1, 0.3, [])
    for name in ("book/0", "book/1"):
        assert router.holder.outcome_store.get_incomplete_until(name, 0.4) is None


def test_incarnation_is_known_after_a_skipped_revision():
    """Guards against a recall of the wrong incarnation after skipped revisions.

    The loss of a failure domain causes several assignment writes in a row.
    """
    router = build_router()
    before = router.control.table.upstreams_by_id["book-1"].incarnation
    holders = {"book-1": ("r1", 2, "r2")}
    slices = [("book-1", 2, "r2"), ("book-1", 3, "r2")]
    apply_assignment(router, builders.build_table(3, holders, slices), 0.1)
    known = router.control.maintenance._previous_incarnation_by_claim
    assert known["book/0", 2] == before != ""
    # Slice 1 changed twice, so the holder of its epoch 2 is not known.
    assert known["book/1", 3] == ""
