"""Tests of how an instance finds out that it reaches no upstream."""

import random

import pytest
from direct_builders import build_settings
from direct_builders import build_upstream

from shallotyard_direct.directory import Directory
from shallotyard_direct.effects import ProbeUpstream
from shallotyard_direct.reachability import EVIDENCE_RETENTION_S
from shallotyard_direct.reachability import Reachability

UPSTREAMS = [
    build_upstream("u1"),
    build_upstream("u2", domain="zadar"),
    build_upstream("u3", domain="osijek"),
    build_upstream("u4"),
    build_upstream("o1", "orders"),
    build_upstream("o2", "orders", domain="zadar"),
]


def start(upstreams=UPSTREAMS):
    """Return the reachability of known upstreams."""
    directory = Directory(build_settings())
    directory.apply_upstream_list(upstreams, 0.0)
    return Reachability(directory, random.Random(1))


def fail(reachability, *upstream_ids, now=1.0):
    """Record a failed connection to each upstream."""
    for upstream_id in upstream_ids:
        reachability.record_connection(upstream_id, False, now)


def probe(reachability, now):
    """Return the upstreams that are probed at a time."""
    effects = []
    reachability.tick(now, effects)
    assert all(isinstance(effect, ProbeUpstream) for effect in effects)
    return [effect.upstream_id for effect in effects]


def test_failed_connections_to_several_services_mean_cut_off():
    """Guards against an instance that keeps requests although it reaches nobody."""
    reachability = start()
    fail(reachability, "u1", "u2")
    assert not reachability.is_cut_off
    assert reachability.record_connection("o1", False, 1.1)
    assert reachability.is_cut_off


def test_opened_connection_ends_the_cut():
    """Guards against an instance that relays after its links have healed."""
    reachability = start()
    fail(reachability, "u1", "u2", "o1")
    assert reachability.record_connection("u2", True, 2.0)
    assert not reachability.is_cut_off
    fail(reachability, "u1", "o1", now=2.1)
    assert not reachability.is_cut_off
    assert not probe(start(), 2.2)


def test_service_that_is_down_everywhere_means_no_cut():
    """Guards against an instance that relays because one service is down."""
    reachability = start()
    fail(reachability, "u1", "u2", "u3", "u4")
    assert not reachability.is_cut_off


def test_connections_that_are_opened_in_between_mean_no_cut():
    """Guards against an instance that relays because some upstreams are down."""
    reachability = start()
    for number in range(5):
        fail(reachability, "u1", "o1", now=1.0 + number)
        reachability.record_connection("u2", True, 1.5 + number)
        fail(reachability, "u3", now=1.6 + number)
        assert not reachability.is_cut_off


def test_repeated_failures_of_few_upstreams_mean_no_cut():
    """Guards against an instance that takes two dead upstreams for a partition."""
    reachability = start()
    for number in range(20):
        fail(reachability, "u1", "o1", now=1.0 + number / 10)
    assert not reachability.is_cut_off


def test_old_failures_are_no_evidence():
    """Guards against single failures over a long time that add up to a partition."""
    reachability = start()
    fail(reachability, "u1", "u2", now=1.0)
    fail(reachability, "o1", now=1.0 + EVIDENCE_RETENTION_S)
    assert not reachability.is_cut_off


def test_failures_of_removed_or_leaving_upstreams_are_no_evidence():
    """Guards against a release of upstreams that looks like a partition."""
    reachability = start()
    reachability.directory.apply_upstream_change("u1", None, 1.0)
    leaving = build_upstream("u2", leaving=True)
    reachability.directory.apply_upstream_change("u2", leaving, 1.0)
    fail(reachability, "u1", "u2", "o1")
    assert not reachability.is_cut_off


@pytest.mark.parametrize(
    "upstreams", [UPSTREAMS[:1], [UPSTREAMS[0], UPSTREAMS[4]], UPSTREAMS[:2]]
)
def test_deployment_with_few_upstreams(upstreams):
    """Guards against a deployment in which a cut is never noticed, or is seen in the
    failure of a single upstream.
    """
    reachability = start(upstreams)
    fail(reachability, "u1", now=1.0)
    assert not reachability.is_cut_off
    for upstream in upstreams[1:]:
        fail(reachability, upstream.upstream_id, now=1.1)
    assert reachability.is_cut_off == (len(upstreams) > 1)


def test_suspicion_is_checked_at_other_services_and_domains():
    """Guards against an instance with little traffic that needs many seconds to find
    out that it is cut off.
    """
    reachability = start()
    assert not probe(reachability, 0.9)
    fail(reachability, "u1")
    probed = probe(reachability, 1.05)
    assert "u1" not in probed
    assert "o2" in probed
    assert len(probed) == len(set(probed)) == 3
    fail(reachability, *probed, now=1.6)
    assert reachability.is_cut_off


def test_lost_response_is_a_suspicion():
    """Guards against requests that hang one after another on open connections."""
    reachability = start()
    reachability.record_response(1.0)
    reachability.record_lost_response(1.1)
    assert not probe(reachability, 1.2)
    reachability.record_lost_response(2.0)
    assert not reachability.is_cut_off
    assert probe(reachability, 2.0)


def test_probes_have_a_bounded_rate():
    """Guards against probes that use up the connections of upstreams."""
    reachability = start()
    fail(reachability, "u1", "u2", "o1")
    count = sum(len(probe(reachability, 1.0 + n / 20)) for n in range(200))
    # Two for each 0.5 s, less a part for the jitter.
    assert 30 <= count <= 52


def test_probes_end_with_the_suspicion():
    """Guards against an instance that probes for ever."""
    reachability = start()
    fail(reachability, "u1")
    reachability.record_connection("u2", True, 1.1)
    assert not probe(reachability, 2.0)
