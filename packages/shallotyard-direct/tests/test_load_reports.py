"""Tests of load reports, and of their aggregation by the granter."""

import pytest
from direct_builders import build_configuration
from direct_builders import build_request
from direct_builders import build_settings
from direct_builders import build_upstream

from shallotyard_direct import events
from shallotyard_direct.admission import UpstreamLoad
from shallotyard_direct.admission import is_speed_sample
from shallotyard_direct.directory import Directory
from shallotyard_direct.effects import SendAttempt
from shallotyard_direct.key_table import KeyRange
from shallotyard_direct.key_table import KeyTable
from shallotyard_direct.load_reports import LoadAggregator
from shallotyard_direct.load_reports import LoadReporter
from shallotyard_direct.load_reports import compute_relative_speeds
from shallotyard_direct.load_reports import find_saturated
from shallotyard_direct.model import MAX_KEY
from shallotyard_direct.model import LoadReport
from shallotyard_direct.owners import Owners
from shallotyard_direct.router import DirectRouter
from shallotyard_direct.router import reduce
from shallotyard_direct.saturated_throughput import SaturatedThroughput

TABLE = KeyTable("status", 1, 9, (KeyRange(0, MAX_KEY, "u1", 1, 1),))


def test_requests_are_reported_once():
    """A request was counted in several reports."""
    owners = Owners()
    loads = {"u1": UpstreamLoad(in_flight=2, processing_s=0.1, processing_samples=9)}
    owners.apply_table(TABLE, 0.0)
    owners.count_request("status", 7)
    owners.count_request("status", 7)
    reporter = LoadReporter(owners, loads, Directory(build_settings()))
    first = reporter.build_report("front-1")
    assert first["keys"] == {"status": {"7": 2}}
    assert first["in_flight"] == {"u1": 2}
    assert first["work"] == {"u1": [0.1, 9]}
    again = reporter.build_report("front-1")
    assert (again["keys"], again["work"]) == ({}, {})
    # A new granter has no earlier reports.
    assert reporter.build_report("front-2")["work"] == {"u1": [0.1, 9]}


def test_requests_in_flight_are_added_up():
    """Requests of several instances at an upstream were not added up."""
    load_aggregator = LoadAggregator()
    load_aggregator.apply_report("front-1", {"in_flight": {"u1": 2}}, 1.0)
    load_aggregator.apply_report("front-2", {"in_flight": {"u1": 3, "u2": 1}}, 1.2)
    assert load_aggregator.sum_in_flight(1.5) == {"u1": 5, "u2": 1}
    # An instance that has stopped reporting has no requests in flight.
    assert load_aggregator.sum_in_flight(3.6) == {"u1": 3, "u2": 1}
    assert load_aggregator.sum_in_flight(9.0) == {}


def test_request_counts_decay():
    """Old requests for a key counted as much as recent ones."""
    load_aggregator = LoadAggregator()
    load_aggregator.decay(0.0)
    load_aggregator.apply_report("front-1", {"keys": {"status": {"7": 64}}}, 0.0)
    load_aggregator.decay(2.5)
    assert load_aggregator.counts_by_service["status"] == {7: pytest.approx(32)}
    load_aggregator.decay(60.0)
    assert load_aggregator.counts_by_service["status"] == {}


def test_speeds_are_relative():
    """A slow upstream was not detected."""
    load_aggregator = LoadAggregator()
    load_aggregator.apply_report(
        "front-1", {"work": {"u1": [0.1, 9], "u2": [0.1, 9]}}, 0.0
    )
    load_aggregator.apply_report(
        "front-2", {"work": {"u3": [0.2, 9], "u1": [0.1, 9], "u4": [1, 2]}}, 0.0
    )
    speeds = compute_relative_speeds(
        load_aggregator.compute_processing_times(), {"status": ("u1", "u2", "u3", "u4")}
    )
    assert speeds == {"u1": 1.0, "u2": 1.0, "u3": 0.5}


@pytest.mark.parametrize(
    ("report", "shown"),
    [
        (LoadReport(1, 0, 4), True),
        (LoadReport(4, 0, 4), False),
        (LoadReport(3, 1, 4), False),
        (LoadReport(1, 0, 4, 3.0), False),
        (None, True),
    ],
)
def test_saturated_upstream_gives_no_speed_sample(report, shown):
    """The owner of a hot key appeared slow, and the key moved to a slower one."""
    assert is_speed_sample(report, 4) is shown


def test_throughput_of_a_saturated_upstream():
    """What an upstream did while it had few requests was taken for all it can do."""
    throughput = SaturatedThroughput()
    throughput.update(set(), 0.0)
    for number in range(1, 6):
        throughput.record_responses({"u1": 2, "u2": 2})
        throughput.update({"u1"}, number * 0.4)
    assert throughput.get_rate("u1") == pytest.approx(5.0)
    assert throughput.get_rate("u2") is None
    # It is not known any more a few seconds after the upstream had room again.
    throughput.update(set(), 10.0)
    assert throughput.get_rate("u1") is None


def test_granter_that_acquires_the_lease_again_takes_owners_for_slow():
    """The time in which another instance granted, and got the reports of responses, was
    counted for owners that were saturated before and after it.
    """
    throughput = SaturatedThroughput()
    for number in range(6):
        throughput.record_responses({"u1": 2})
        throughput.update({"u1"}, number * 0.4)
    throughput.update({"u1"}, 9.0)
    throughput.record_responses({"u1": 2})
    throughput.update({"u1"}, 9.4)
    rate = throughput.get_rate("u1")
    assert rate is None or rate == pytest.approx(5.0)


def test_responses_are_reported_once():
    """Responses of earlier reports were counted again."""
    router = DirectRouter.from_settings(build_settings(), "run", 0.0, 1)
    router.owners.apply_table(TABLE, 0.0)
    load = router.dispatcher.placement.get_load("u1")
    for _ in range(3):
        load.record_success(0.1)
    assert router.reporter.build_report("front-2")["responses"] == {"u1": 3}
    assert router.reporter.build_report("front-2")["responses"] == {}
    # The load of an upstream that was away for a time begins anew.
    del router.dispatcher.placement.loads_by_id["u1"]
    router.dispatcher.placement.get_load("u1").record_success(0.1)
    router.reporter.build_report("front-2")
    router.dispatcher.placement.get_load("u1").record_success(0.1)
    assert router.reporter.build_report("front-2")["responses"] == {"u1": 1}


def test_saturated_upstreams_are_reported():
    """A saturated upstream was not reported to the instances."""
    load_aggregator = LoadAggregator()
    load_aggregator.apply_report(
        "front-1", {"in_flight": {"u1": 3, "u2": 3, "gone": 9}}, 0.0
    )
    load_aggregator.apply_report("front-2", {"in_flight": {"u1": 1}}, 0.0)
    upstreams = {"u1": build_upstream("u1"), "u2": build_upstream("u2")}
    assert find_saturated(load_aggregator, upstreams, 0.1) == {"u1": 4}


def test_upstream_saturated_by_others_gets_no_requests():
    """Sixty instances sent one request each to a saturated upstream."""
    router = DirectRouter.from_settings(build_settings(), "run", 0.0, 1)
    reduce(router, events.ConfigurationReceived(0.0, build_configuration()))
    reduce(router, events.UpstreamsListed(0.0, [build_upstream("u1", slots=4)]))
    reduce(router, events.SaturationReported(1.0, {"u1": 16}))
    assert not has_send_attempt(
        reduce(router, events.RequestArrived(1.1, build_request("r1")))
    )
    # It gets requests again as soon as it is no longer reported.
    reduce(router, events.SaturationReported(1.2, {}))
    assert has_send_attempt(
        reduce(router, events.RequestArrived(1.3, build_request("r2")))
    )


def has_send_attempt(effects):
    """Return whether a request is sent to an upstream."""
    return any(isinstance(effect, SendAttempt) for effect in effects)
