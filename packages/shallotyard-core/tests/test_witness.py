"""Tests of `WitnessService` and of a holder's `WitnessSelection`."""

from shallotyard_core.events import DrainRequested
from shallotyard_core.events import PeerReplied
from shallotyard_core.membership import Member
from shallotyard_core.membership import Membership
from shallotyard_core.messages import MemberAge
from shallotyard_core.messages import RecallRequest
from shallotyard_core.messages import WitnessAck
from shallotyard_core.messages import WitnessSet
from shallotyard_core.reducer import Router
from shallotyard_core.reducer import reduce
from shallotyard_core.settings import Settings
from shallotyard_core.witness import SWITCH_PAUSE_S
from shallotyard_core.witness import WitnessSelection
from shallotyard_core.witness import WitnessService

SETTINGS = Settings(
    "router-a",
    "zadar-1",
    "127.0.0.1:8080",
    "127.0.0.1:8081",
    "http://127.0.0.1:8500",
    "http://127.0.0.1:8600",
)


def build_router():
    return Router.from_settings(SETTINGS, "incarnation-a", 0.0, seed=1)


def deliver_closed_ack(router, incarnation):
    event = PeerReplied(
        10.1,
        "router-b",
        ("witness-set", "router-b"),
        10.0,
        WitnessAck(False, incarnation),
    )
    reduce(router, event)


def build_holder(incarnation):
    router = build_router()
    router.control.maintenance.witness_selection = WitnessSelection(
        "router-b", incarnation, complete=True, sent_at=10.0, accepted_sent_at=10.0
    )
    return router


def test_leaving_witness_delays_no_request():
    """Guards against delaying requests by 2.5 s when their witness shuts down."""
    router = build_holder("incarnation-b")
    assert not router.control.maintenance.witness_selection.may_run_without_copy(10.1)
    deliver_closed_ack(router, "incarnation-b")
    assert router.control.maintenance.witness_selection.may_run_without_copy(10.1)


def test_late_reply_of_an_earlier_incarnation_is_ignored():
    """Guards against deselecting a restarted witness because of its old process."""
    router = build_holder("incarnation-b2")
    deliver_closed_ack(router, "incarnation-b")
    assert not router.control.maintenance.witness_selection.may_run_without_copy(10.1)
    assert router.control.maintenance.witness_selection.instance_id == "router-b"


def test_leaving_witness_never_reports_a_complete_set():
    """Guards against a second run after the holder continued without copies."""
    router = build_router()
    witness_service = router.control.maintenance.witness_service
    complete_set = WitnessSet("router-b", "incarnation-b", {})
    recall = RecallRequest("router-b", "incarnation-b", [], 0.0)
    assert witness_service.handle(complete_set, 1.0) == WitnessAck(True)
    assert witness_service.handle(recall, 1.0).complete
    reduce(router, DrainRequested(1.0))
    assert not witness_service.handle(recall, 1.0).complete
    assert witness_service.handle(complete_set, 1.0) == WitnessAck(
        False, "incarnation-a"
    )
    assert not witness_service.handle(recall, 1.0).complete


def test_recall_uses_the_silence_of_the_lost_incarnation():
    """Guards against minutes of refusals after a quick restart under the same id.

    The new incarnation is seen at once, but that is no evidence of the old one.
    """
    own = Member("w", "1", "d2", "peer:w", False, 0.0)
    membership = Membership(own)
    witness_service = WitnessService(membership.find_silence_s)
    witness_service.handle(WitnessSet("r1", "old", {}, {"book/0": 1}), 10.0)
    membership.record_relayed_contact(
        MemberAge("r1", "old", "d1", "peer:r1", False, 0.0), 10.1
    )
    membership.record_relayed_contact(
        MemberAge("r1", "new", "d1", "peer:r1", False, 0.0), 20.0
    )
    for incarnation in ("old", ""):
        request = RecallRequest("r1", incarnation, ["book/0"], None, {"book/0": 1})
        assert witness_service.recall(request, 20.5).complete


def test_former_witness_never_reports_a_complete_set():
    """Guards against a second run when the holder had selected another witness."""
    own = Member("w", "1", "d2", "peer:w", False, 0.0)
    membership = Membership(own)
    witness_service = WitnessService(membership.find_silence_s)
    witness_service.handle(WitnessSet("r1", "old", {}, {"book/0": 1}), 10.0)
    membership.record_relayed_contact(
        MemberAge("r1", "old", "d1", "peer:r1", False, 0.0), 15.0
    )
    request = RecallRequest("r1", "old", ["book/0"], None, {"book/0": 1})
    assert not witness_service.recall(request, 16.0).complete


def test_refused_records_do_not_delay_a_run_without_copies():
    """Guards against requests that wait permanently for a full witness."""
    selection = WitnessSelection("router-b", "incarnation-b", sent_at=10.0)
    selection.record_reply(10.0, refused=True)
    assert selection.may_run_without_copy(10.1)
    selection.sent_at = 10.2
    selection.record_reply(10.2, refused=False)
    selection.sent_at = 10.4
    selection.record_reply(10.4, refused=True)
    assert not selection.may_run_without_copy(10.2 + SWITCH_PAUSE_S - 0.01)
    assert selection.may_run_without_copy(10.2 + SWITCH_PAUSE_S)
