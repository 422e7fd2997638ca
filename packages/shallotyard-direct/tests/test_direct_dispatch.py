"""Tests of the dispatch of requests by one instance."""

from dataclasses import replace

import pytest
from direct_builders import build_configuration
from direct_builders import build_request
from direct_builders import build_route
from direct_builders import build_service
from direct_builders import build_settings
from direct_builders import build_upstream

from shallotyard_core.effects import LogDecision
from shallotyard_core.events import CallerDisconnected
from shallotyard_core.events import Tick
from shallotyard_core.verdict import Verdict
from shallotyard_direct import events
from shallotyard_direct.effects import AbandonAttempt
from shallotyard_direct.effects import CheckConfiguration
from shallotyard_direct.effects import Exit
from shallotyard_direct.effects import Respond
from shallotyard_direct.effects import SendAttempt
from shallotyard_direct.effects import StopListening
from shallotyard_direct.effects import WriteRecord
from shallotyard_direct.key_table import KeyRange
from shallotyard_direct.key_table import KeyTable
from shallotyard_direct.model import MAX_KEY
from shallotyard_direct.model import SplitPart
from shallotyard_direct.router import INSTANCES_KIND
from shallotyard_direct.router import DirectRouter
from shallotyard_direct.router import reduce

ORDER_REQUEST = {"method": "POST", "target": "/orders/1"}


def start(configuration=None, upstreams=None):
    """Return a router that knows a configuration and upstreams."""
    router = DirectRouter.from_settings(build_settings(), "run-1", 0.0, 1)
    configuration = configuration or build_configuration(
        [
            build_route(),
            build_route("/orders/", "orders", idempotent=False, max_attempts=3),
        ],
        [build_service(), build_service("orders")],
    )
    reduce(router, events.ConfigurationReceived(0.0, configuration))
    if upstreams is None:
        upstreams = [
            build_upstream("u1"),
            build_upstream("u2"),
            build_upstream("o1", "orders"),
            build_upstream("o2", "orders"),
        ]
    reduce(router, events.UpstreamsListed(0.0, upstreams))
    return router


def submit(router, now=1.0, **changes):
    """Submit a request; return the effects."""
    return reduce(router, events.RequestArrived(now, build_request(**changes)))


def finish(router, attempt, verdict, now=1.1, **fields):
    """End an attempt; return the effects."""
    event = events.AttemptFinished(now, attempt.attempt_id, verdict, **fields)
    return reduce(router, event)


def find_effects(effects, effect_type):
    """Return the effects of a type."""
    return [effect for effect in effects if isinstance(effect, effect_type)]


def get_only_effect(effects, effect_type):
    """Return the only effect of a type."""
    (effect,) = find_effects(effects, effect_type)
    return effect


def test_response_is_passed_on():
    """A response of the upstream was changed or lost."""
    router = start()
    attempt = get_only_effect(submit(router), SendAttempt)
    effects = finish(router, attempt, Verdict.RAN, status=200, body=b"whole")
    response = get_only_effect(effects, Respond)
    assert (response.status, response.body) == (200, b"whole")


def test_without_configuration_unknown_routes_get_503():
    """A new instance answered 404 for existing routes that it did not know yet."""
    router = DirectRouter.from_settings(build_settings(), "run-1", 0.0, 1)
    # Later than the wait for the first configuration.
    response = get_only_effect(submit(router, 2.0), Respond)
    assert response.status == 503
    assert response.retry_after_s > 0
    assert not router.is_ready()


def test_unknown_route_is_looked_up_before_it_is_refused():
    """A request for a new route got 404."""
    router = start()
    effects = submit(router, target="/new/1")
    assert find_effects(effects, CheckConfiguration)
    assert not find_effects(effects, Respond)
    newer = build_configuration([build_route("/new/")], version=2)
    reduce(router, events.ConfigurationReceived(1.05, newer))
    effects = reduce(router, events.ConfigurationChecked(1.06, True))
    assert find_effects(effects, SendAttempt)


@pytest.mark.parametrize(("store_answered", "status"), [(True, 404), (False, 503)])
def test_unknown_route_after_a_configuration_check(store_answered, status):
    """An instance that could not read the store answered 404."""
    router = start()
    submit(router, target="/new/1")
    effects = reduce(router, events.ConfigurationChecked(1.1, store_answered))
    assert get_only_effect(effects, Respond).status == status


def test_each_unknown_route_costs_a_call_to_the_store():
    """Guards against a paid call for each request for a route that does not exist, and
    against 404 from a copy that may be too old.
    """
    router = start()
    router.dispatcher.access.get_fresh_at = lambda: 10.0
    effects = submit(router, 10.9, target="/new/1")
    assert not find_effects(effects, CheckConfiguration)
    assert get_only_effect(effects, Respond).status == 404
    effects = submit(router, 11.1, target="/new/2", request_id="r2")
    assert find_effects(effects, CheckConfiguration)
    assert not find_effects(effects, Respond)


def test_older_configuration_is_ignored():
    """A late response of the store replaced the configuration by an older one."""
    router = start(build_configuration(version=5))
    reduce(
        router, events.ConfigurationReceived(1.0, build_configuration([], version=4))
    )
    assert router.directory.configuration.version == 5


def test_non_idempotent_request_of_unknown_outcome_is_not_retried():
    """A non-idempotent request ran twice, or was reported as not run."""
    router = start()
    attempt = get_only_effect(submit(router, **ORDER_REQUEST), SendAttempt)
    effects = finish(router, attempt, Verdict.MAY_HAVE_RUN, reason="reset")
    assert not find_effects(effects, SendAttempt)
    response = get_only_effect(effects, Respond)
    assert response.status == 502
    assert response.retry_after_s == 0


def test_non_idempotent_request_gets_a_fresh_connection():
    """A reused connection was reset, which left it unknown whether a request ran."""
    router = start()
    assert get_only_effect(submit(router, **ORDER_REQUEST), SendAttempt).fresh


def test_request_that_was_not_executed_is_retried_elsewhere():
    """A request that an upstream reported as not executed was not retried."""
    router = start()
    # Earlier requests fill the retry budget.
    for number in range(20):
        attempt = get_only_effect(
            submit(router, request_id=f"e{number}", **ORDER_REQUEST), SendAttempt
        )
        finish(router, attempt, Verdict.RAN, status=200)
    attempt = get_only_effect(submit(router, **ORDER_REQUEST), SendAttempt)
    effects = finish(router, attempt, Verdict.NOT_RUN, status=503)
    assert get_only_effect(effects, SendAttempt).upstream_id != attempt.upstream_id


def test_retries_stay_within_the_budget():
    """A failing service got more retries than the retry ratio allows."""
    router = start()
    retries = 0
    for number in range(200):
        now = 1.0 + number * 0.01
        sent = find_effects(submit(router, now, request_id=f"r{number}"), SendAttempt)
        while sent:
            effects = finish(router, sent[0], Verdict.MAY_HAVE_RUN, now + 0.001)
            sent = find_effects(effects, SendAttempt)
            retries += len(sent)
    assert retries <= 0.2 * 200


def test_idempotent_request_is_retried_up_to_the_limit():
    """An idempotent request was sent more often than its route allows."""
    router = start()
    for number in range(50):
        attempt = get_only_effect(submit(router, request_id=f"e{number}"), SendAttempt)
        finish(router, attempt, Verdict.RAN, status=200)
    first = get_only_effect(submit(router), SendAttempt)
    effects = finish(router, first, Verdict.MAY_HAVE_RUN, reason="reset")
    second = get_only_effect(effects, SendAttempt)
    assert second.upstream_id != first.upstream_id
    effects = finish(router, second, Verdict.MAY_HAVE_RUN, reason="reset", now=1.2)
    assert get_only_effect(effects, Respond).status == 502


def test_request_stays_in_its_home_regions():
    """A request was sent to an upstream outside its home regions."""
    route = build_route(home_regions=frozenset({"east"}))
    near = build_upstream("near")
    far = build_upstream("far", domain="osijek")
    router = start(build_configuration([route]), [near, far])
    for number in range(10):
        for effect in find_effects(
            submit(router, request_id=f"r{number}"), SendAttempt
        ):
            assert effect.upstream_id == "far"


def test_leaving_and_unavailable_upstreams_get_no_requests():
    """An upstream that drains, or whose domain is out of service, got new requests."""
    upstreams = [
        build_upstream("leaving", leaving=True),
        build_upstream("out", domain="zadar"),
    ]
    router = start(upstreams=upstreams)
    reduce(router, events.DomainsOutReceived(0.5, frozenset({"zadar"})))
    effects = submit(router)
    assert not find_effects(effects, SendAttempt)
    assert get_only_effect(effects, Respond).status == 503


def test_full_upstreams_get_no_more_requests():
    """An upstream got more requests than its slots and queue, and never responded."""
    router = start(upstreams=[build_upstream("u1")])
    sent = 0
    for number in range(50):
        sent += len(find_effects(submit(router, request_id=f"r{number}"), SendAttempt))
    assert sent <= 6


def test_waiting_request_is_refused_before_its_deadline():
    """A request waited until its deadline instead of its maximum wait."""
    router = start(upstreams=[build_upstream("u1")])
    for number in range(7):
        submit(router, request_id=f"r{number}")
    effects = reduce(router, Tick(1.3))
    response = get_only_effect(effects, Respond)
    assert response.status == 503
    assert 0 < response.retry_after_s <= 2


def test_cold_upstream_gets_no_more_than_its_rate():
    """All instances together exceeded the rate of a cold upstream."""
    router = start(upstreams=[build_upstream("u1", cold_left_s=3.0)])
    names = {f"front-{number}": {} for number in range(1, 10)}
    reduce(router, events.RecordsListed(0.5, "instances", names))
    sent = 0
    for number in range(20):
        effects = submit(router, 1.0 + number * 0.01, request_id=f"r{number}")
        for attempt in find_effects(effects, SendAttempt):
            sent += 1
            finish(router, attempt, Verdict.RAN, 1.0 + number * 0.01, status=200)
    assert sent * 9 <= 9.9 * 1.5 + 5


def test_unregistered_instance_sends_no_requests_to_cold_upstreams():
    """New instances exceeded the rate of cold upstreams, which the others used up."""
    router = start(upstreams=[build_upstream("u1", cold_left_s=30.0)])
    assert not find_effects(submit(router), SendAttempt)
    reduce(router, Tick(1.0))
    others = {f"front-{number}": {} for number in range(2, 10)}
    reduce(router, events.RecordsListed(1.1, "instances", others))
    done = events.RecordWritten(
        1.2, "instances", "front-1", "register", events.WriteStatus.DONE, 1.1, 5
    )
    reduce(router, done)
    assert not find_effects(submit(router, 2.0, request_id="r2"), SendAttempt)
    # All instances know each other by then.
    assert find_effects(submit(router, 15.0, request_id="r3"), SendAttempt)


def test_restarted_instance_uses_its_cold_rate_share_at_once():
    """An instance that was registered before its start did not use its share."""
    router = start(upstreams=[build_upstream("u1", cold_left_s=30.0)])
    names = {f"front-{number}": {} for number in range(1, 10)}
    reduce(router, events.RecordsListed(1.1, "instances", names))
    assert find_effects(submit(router, 1.2), SendAttempt)


def test_disconnected_caller_aborts_idempotent_attempt():
    """An upstream continued to work for a caller that had disconnected."""
    router = start()
    attempt = get_only_effect(submit(router), SendAttempt)
    effects = reduce(router, CallerDisconnected(1.1, "r1"))
    assert get_only_effect(effects, AbandonAttempt).attempt_id == attempt.attempt_id
    assert not find_effects(finish(router, attempt, Verdict.MAY_HAVE_RUN, 1.2), Respond)


def test_non_idempotent_attempt_continues_without_its_caller():
    """A non-idempotent attempt was aborted when its caller disconnected."""
    router = start()
    submit(router, **ORDER_REQUEST)
    assert not find_effects(
        reduce(router, CallerDisconnected(1.1, "r1")), AbandonAttempt
    )


def test_traffic_split_follows_weights():
    """A service got more or fewer requests than its weight in a traffic split."""
    parts = (SplitPart("status", 90), SplitPart("orders", 10))
    configuration = build_configuration(
        [build_route(parts=parts)], [build_service(), build_service("orders")]
    )
    router = start(configuration)
    counts = {"u": 0, "o": 0}
    for number in range(100):
        attempt = get_only_effect(submit(router, request_id=f"r{number}"), SendAttempt)
        counts[attempt.upstream_id[0]] += 1
        finish(router, attempt, Verdict.RAN, status=200)
    assert counts == {"u": 90, "o": 10}


def test_request_that_crashes_upstreams_is_refused():
    """A request that its caller repeated crashed more and more upstreams."""
    upstreams = [build_upstream(f"o{n}", "orders") for n in range(6)]
    router = start(upstreams=upstreams)
    for number in range(3):
        now = 1.0 + number
        effects = submit(router, now, request_id=f"r{number}", **ORDER_REQUEST)
        attempt = get_only_effect(effects, SendAttempt)
        finish(router, attempt, Verdict.MAY_HAVE_RUN, now + 0.1, reason="reset")
        gone = events.UpstreamChanged(now + 0.5, attempt.upstream_id, None)
        reduce(router, gone)
    effects = submit(router, 5.0, request_id="r9", **ORDER_REQUEST)
    assert not find_effects(effects, SendAttempt)
    assert get_only_effect(effects, Respond).status == 502


def test_crashes_recorded_by_other_instances_count():
    """Each instance counted only the crashes that it had detected itself."""
    router = start()
    attempt = get_only_effect(submit(router, **ORDER_REQUEST), SendAttempt)
    finish(router, attempt, Verdict.MAY_HAVE_RUN, reason="reset")
    effects = reduce(router, events.UpstreamChanged(1.5, attempt.upstream_id, None))
    (record,) = [e for e in effects if getattr(e, "kind", "") == "crashes"]
    for upstream_id in ("x1", "x2"):
        value = record.value | {"upstream_id": upstream_id}
        reduce(router, events.RecordReceived(2.0, "crashes", "any", 5, value))
    effects = submit(router, 3.0, request_id="r2", **ORDER_REQUEST)
    assert not find_effects(effects, SendAttempt)


def test_stopping_instance_finishes_accepted_requests():
    """A stopping process accepted requests until it was killed."""
    router = start()
    attempt = get_only_effect(submit(router, **ORDER_REQUEST), SendAttempt)
    reduce(router, events.StopRequested(1.0))
    assert not router.is_ready()
    later = get_only_effect(submit(router, 2.0, request_id="r2"), SendAttempt)
    finish(router, later, Verdict.RAN, 2.1, status=200)
    assert find_effects(reduce(router, Tick(4.4)), StopListening)
    effects = submit(router, 4.5, request_id="r3")
    assert get_only_effect(effects, Respond).status == 503
    assert not find_effects(reduce(router, Tick(4.6)), Exit)
    finish(router, attempt, Verdict.RAN, 4.7, status=200)
    assert find_effects(reduce(router, Tick(4.8)), Exit)


def test_late_request_is_cut_off_at_the_end_of_a_planned_stop():
    """A request taken late in a stop ran on when its connection was closed."""
    router = start()
    reduce(router, events.StopRequested(1.0))
    attempt = get_only_effect(
        submit(router, 4.2, request_id="r2", caller_timeout_s=9.0, **ORDER_REQUEST),
        SendAttempt,
    )
    # The upstream stops before the process does, after six seconds less a part.
    assert attempt.deadline < 1.0 + 0.95 * 6.0
    reduce(router, Tick(4.4))
    effects = reduce(router, Tick(6.8))
    kinds = [type(effect) for effect in effects]
    assert kinds.index(Respond) < kinds.index(Exit)
    # The outcome is unknown, so nothing is promised.
    assert get_only_effect(effects, Respond).status == 504


def test_request_is_taken_late_in_a_planned_stop_without_time_to_answer_it():
    """A request taken after the load balancer had noticed the stop was given up."""
    router = start(build_configuration([build_route(timeout_s=4.0)]))
    reduce(router, events.StopRequested(1.0))
    early = get_only_effect(submit(router, 3.6, request_id="r1"), SendAttempt)
    assert early.deadline < 1.0 + 0.95 * 6.0
    short = submit(router, 3.8, request_id="r2", caller_timeout_s=1.5)
    assert find_effects(short, SendAttempt)
    late = submit(router, 3.8, request_id="r3")
    assert get_only_effect(late, Respond).status == 503


def test_waiting_request_is_told_not_to_have_run_at_the_end_of_a_planned_stop():
    """A request without an upstream got no answer when the process ended."""
    router = start(upstreams=[build_upstream("o1", "orders", slots=1)])
    configuration = router.directory.configuration
    assert configuration is not None
    reduce(router, events.StopRequested(1.0))
    for number in range(3):
        submit(router, 1.1, request_id=f"r{number}", **ORDER_REQUEST)
    reduce(router, Tick(4.4))
    effects = reduce(router, Tick(6.8))
    statuses = {e.status for e in find_effects(effects, Respond)}
    assert statuses <= {503, 504}
    assert not router.dispatcher.pending_by_id
    assert find_effects(effects, Exit)


def test_failing_upstream_is_paused():
    """An unreachable upstream got requests without a pause."""
    router = start(upstreams=[build_upstream("u1"), build_upstream("u2")])
    sends = {"u1": 0, "u2": 0}
    for number in range(40):
        now = 1.0 + 0.01 * number
        sent = find_effects(submit(router, now, request_id=f"r{number}"), SendAttempt)
        while sent:
            attempt = sent[0]
            sends[attempt.upstream_id] += 1
            if attempt.upstream_id == "u1":
                effects = finish(router, attempt, Verdict.NOT_RUN, now, unsent=True)
            else:
                effects = finish(router, attempt, Verdict.RAN, now, status=200)
            sent = find_effects(effects, SendAttempt)
    assert sends["u1"] <= 3
    assert sends["u2"] == 40


def test_request_with_invariant_violation_is_answered():
    """A request was neither sent nor answered after a violated invariant."""
    router = start()
    effects = submit(router, **ORDER_REQUEST)
    attempt = get_only_effect(effects, SendAttempt)
    pending = router.dispatcher.pending_by_id["r1"]
    pending.verdict = Verdict.MAY_HAVE_RUN
    effects = finish(router, attempt, Verdict.NOT_RUN, unsent=True)
    assert not find_effects(effects, SendAttempt)
    assert get_only_effect(effects, Respond).status == 500
    assert router.dispatcher.invariant_violations == {"at-most-once": 1}


def test_upstream_at_a_reused_address_is_paused():
    """Requests were sent repeatedly to an address of another service."""
    router = start(upstreams=[build_upstream("u1")])
    attempt = get_only_effect(submit(router), SendAttempt)
    finish(router, attempt, Verdict.NOT_RUN, status=421, misdirected=True)
    assert not find_effects(submit(router, 1.2, request_id="r2"), SendAttempt)


def test_restart_found_in_a_list_is_recorded_as_a_crash():
    """A restart that appeared only in a list was not recorded as a crash."""
    router = start()
    attempt = get_only_effect(submit(router, **ORDER_REQUEST), SendAttempt)
    finish(router, attempt, Verdict.MAY_HAVE_RUN, reason="reset")
    again = build_upstream(attempt.upstream_id, "orders", started_ms=2)
    effects = reduce(router, events.UpstreamsListed(1.5, [again]))
    assert [e for e in effects if getattr(e, "kind", "") == "crashes"]


def test_queues_of_removed_owners_are_deleted():
    """The queues of removed owners stayed in memory."""
    router = start()
    router.dispatcher.get_queue("status/u1")
    reduce(router, events.UpstreamChanged(1.5, "u1", None))
    assert "status/u1" not in router.dispatcher.queues_by_name


@pytest.mark.parametrize(
    "change",
    [
        lambda u: events.UpstreamChanged(1.1, "u1", replace(u, leaving=True)),
        lambda u: events.UpstreamChanged(1.1, "u1", replace(u, started_ms=2)),
        lambda u: events.UpstreamChanged(1.1, "u1", None),
        lambda u: events.DomainsOutReceived(1.1, frozenset({u.domain})),
    ],
    ids=["leaving", "restarted", "gone", "domain out"],
)
def test_request_is_not_written_to_an_upstream_that_left_meanwhile(change):
    """A request that waited for its connection reached an upstream that had left."""
    upstream = build_upstream("u1")
    router = start(upstreams=[upstream])
    attempt = get_only_effect(submit(router), SendAttempt)
    assert router.may_send(attempt.attempt_id, 1.05)
    reduce(router, change(upstream))
    assert not router.may_send(attempt.attempt_id, 1.15)


def test_request_is_not_written_to_the_former_owner_of_its_key():
    """A request that waited for its connection was refused by the former owner."""
    configuration = build_configuration(services=[build_service(keyed=True)])
    upstreams = [build_upstream("u1"), build_upstream("u2")]
    router = start(configuration, upstreams)

    def build_table(revision, owner):
        key_range = KeyRange(0, MAX_KEY, owner, 1, revision)
        return KeyTable("status", revision, revision + 1, (key_range,))

    router.owners.apply_table(build_table(1, "u1"), 0.5)
    attempt = get_only_effect(submit(router, key=7), SendAttempt)
    assert router.may_send(attempt.attempt_id, 1.05)
    router.owners.apply_table(build_table(2, "u2"), 1.1)
    assert not router.may_send(attempt.attempt_id, 1.15)


def find_logged_fields(effects, decision):
    """Return the fields of the only log line with a decision."""
    (line,) = [e for e in find_effects(effects, LogDecision) if e.decision == decision]
    return line.fields


def test_lines_of_a_request_describe_the_copy_it_was_sent_from():
    """Logs did not tell a change that was late from a change that was lost."""
    router = start()
    # The instance is the first one of its region, so that it reads the store.
    record = {"front-1": {"domain": "split", "address": "127.0.0.1:4"}}
    reduce(router, events.RecordsListed(0.0, INSTANCES_KIND, record))
    reduce(router, Tick(0.1))
    reduce(router, events.WatchesChanged(0.4, True))
    reduce(router, events.StoreReachable(0.5, True))
    reduce(router, events.UpstreamChanged(0.9, "u3", build_upstream("u3"), 41))
    attempt = get_only_effect(submit(router), SendAttempt)
    effects = finish(router, attempt, Verdict.RAN, status=200)
    fields = find_logged_fields(effects, "answered")
    assert (fields["copy_origin"], fields["copy_revision"]) == ("store", 41)
    assert fields["copy_age_ms"] == 500


def test_answered_line_tells_whether_the_request_may_be_repeated():
    """Logs did not tell an action that was answered with a status that callers take for
    a refusal from a request that may run again.
    """
    router = start()
    effects = submit(router, method="POST", target="/orders/1")
    attempt = get_only_effect(effects, SendAttempt)
    effects = finish(router, attempt, Verdict.RAN, status=500)
    fields = find_logged_fields(effects, "answered")
    assert (fields["status"], fields["upstream_status"]) == (500, 500)
    assert (fields["route"], fields["idempotent"]) == ("route-/orders/", False)


def test_list_line_names_upstreams_that_changed():
    """Logs did not show which upstreams a list had brought back, or that it showed
    that some were leaving.
    """
    router = start()
    upstreams = [build_upstream("u1", leaving=True), build_upstream("u9")]
    fields = find_logged_fields(
        reduce(router, events.UpstreamsListed(1.0, upstreams, 12)), "upstreams"
    )
    assert (fields["added"], fields["removed"]) == (["u9"], ["o1", "o2", "u2"])
    assert fields["leaving"] == ["u1"]
    assert (fields["revision"], fields["origin"]) == (12, "store")


def test_request_for_a_key_does_not_reach_an_upstream_of_another_service():
    """The id of an owner was that of an upstream of another service, which got requests
    for the keys of the former one.
    """
    configuration = build_configuration(
        [build_route()], [build_service(keyed=True), build_service("orders")]
    )
    router = start(configuration, [build_upstream("u1", "orders", started_ms=1)])
    table = KeyTable("status", 1, 2, (KeyRange(0, MAX_KEY, "u1", 1, 1),))
    router.owners.apply_table(table, 0.0)
    effects = submit(router, key=7)
    assert not find_effects(effects, SendAttempt)
    assert get_only_effect(effects, Respond).status == 503


@pytest.mark.parametrize(
    "value",
    [
        None,
        "unreadable",
        {},
        {"fingerprint": ["a"], "upstream_id": "u1", "started_ms": 1},
        {"fingerprint": "a", "upstream_id": {}, "started_ms": 1},
        {"fingerprint": "a", "upstream_id": "u1", "started_ms": [1]},
        {"fingerprint": None, "upstream_id": "u1", "started_ms": 1},
        {"fingerprint": "a", "upstream_id": "u1", "started_ms": 1.5},
    ],
)
def test_odd_crash_record(value):
    """A record of a crash that no instance had written ended the watch of its kind."""
    router = start()
    reduce(router, events.RecordReceived(2.0, "crashes", "any", 5, value))
    marks = router.dispatcher.crash_marks
    assert not marks._crashes_by_fingerprint


def list_registrations(effects):
    """Return the revisions on which writes of the own record depend."""
    writes = find_effects(effects, WriteRecord)
    return [write.revision for write in writes if write.kind == INSTANCES_KIND]


def finish_registration(router, now, status):
    """End a write of the own record."""
    event = events.RecordWritten(now, INSTANCES_KIND, "front-1", "register", status, 0)
    reduce(router, event)


def test_first_registration_writes_a_record_that_does_not_exist():
    """Each new instance wrote to a record that it knew to be missing, and created it
    after that had failed.
    """
    router = start()
    reduce(router, events.RecordsListed(0.0, INSTANCES_KIND, {}))
    assert list_registrations(reduce(router, Tick(0.05))) == [0]
    # The list was older than the record of an earlier run.
    finish_registration(router, 0.1, events.WriteStatus.CONFLICT)
    assert list_registrations(reduce(router, Tick(0.15))) == [None]
    finish_registration(router, 0.2, events.WriteStatus.DONE)
    assert list_registrations(reduce(router, Tick(5.0))) == []


def test_instance_that_restarted_writes_its_record():
    """The record of an earlier run stayed in force."""
    router = start()
    reduce(router, events.RecordsListed(0.0, INSTANCES_KIND, {"front-1": {}}))
    assert list_registrations(reduce(router, Tick(0.05))) == [None]


def start_without_configuration():
    """Return a router that has just started, and a request that it has got."""
    router = DirectRouter.from_settings(build_settings(), "run-1", 0.0, 1)
    assert not find_effects(submit(router, 0.1), Respond)
    return router


def test_caller_of_an_instance_that_has_just_started_is_refused():
    """After a loss of power, 194 callers were refused in the tenths of a second until
    the instances had a configuration (trouble-1 of recessline-prod).
    """
    router = start_without_configuration()
    reduce(router, events.ConfigurationReceived(0.2, build_configuration()))
    assert not find_effects(reduce(router, Tick(0.25)), Respond)
    reduce(router, events.UpstreamsListed(0.3, [build_upstream()]))
    assert find_effects(reduce(router, Tick(0.35)), SendAttempt)


def test_caller_waits_for_a_configuration_that_does_not_arrive():
    """A caller waited until its deadline, as the store did not answer the instance."""
    router = start_without_configuration()
    assert not find_effects(reduce(router, Tick(0.55)), Respond)
    response = get_only_effect(reduce(router, Tick(0.65)), Respond)
    assert response.status == 503
    assert response.retry_after_s > 0


def test_caller_that_left_before_the_configuration_arrived_is_forgotten():
    """A request was sent for a caller that had disconnected."""
    router = start_without_configuration()
    reduce(router, CallerDisconnected(0.2, "r1"))
    reduce(router, events.ConfigurationReceived(0.2, build_configuration()))
    reduce(router, events.UpstreamsListed(0.3, [build_upstream()]))
    assert not find_effects(reduce(router, Tick(0.35)), SendAttempt)


def test_distances_are_those_of_the_settings():
    """Bytes to other regions were counted as those of the own one."""
    router = start(
        upstreams=[build_upstream("u1"), build_upstream("e", domain="osijek")]
    )
    records = {
        "front-1": {"domain": "split", "address": "1"},
        "front-2": {"domain": "zadar", "address": "2"},
    }
    reduce(router, events.RecordsListed(0.0, INSTANCES_KIND, records))
    assert router.find_upstream_distance("u1") == "domain"
    assert router.find_upstream_distance("e") == "other-region"
    assert router.find_upstream_distance("gone") == "unknown"
    assert router.find_instance_distance("front-2") == "region"
    assert router.find_instance_distance("front-9") == "unknown"
