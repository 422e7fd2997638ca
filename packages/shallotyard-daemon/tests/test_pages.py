"""Tests of the status and readiness pages."""

import json
import re

import pytest
from tornado.httputil import HTTPServerRequest

from shallotyard_core.messages import MemberAge
from shallotyard_daemon.pages import build_pages
from shallotyard_testing import state_builders


@pytest.fixture
def router():
    return state_builders.build_router()


def show(router, uri):
    path = uri.partition("?")[0]
    request = HTTPServerRequest("GET", uri)
    return build_pages(router)[path](request)


def test_json_names_all_guarantees(router):
    """Guards against a guarantee that an operator cannot see."""
    status, content_type, body = show(router, "/status?format=json")
    assert (status, content_type) == (200, "application/json")
    guarantees = json.loads(body)["promises"]
    assert len(guarantees) == 11
    assert set(guarantees.values()) == {"kept"}


def test_broken_guarantee_comes_first(router):
    """Guards against a page that looks well after a broken guarantee."""
    router.invariant_violations["admission-limit"] = 2
    page = show(router, "/status")[2].decode()
    assert '<h1 class="attention">attention: promises broken' in page
    assert '<td class="broken">broken</td>' in page
    report = json.loads(show(router, "/status?format=json")[2])
    assert report["promises"]["cold-start"] == "broken"


def test_assertion_without_a_guarantee_is_shown(router):
    """Guards against a violation that no guarantee counts."""
    router.invariant_violations["quarantine-alone"] = 1
    page = show(router, "/status")[2].decode()
    assert "Further assertion quarantine-alone." in page


def test_good_day(router):
    """Guards against attention when all is well, and against foreign scripts."""
    page = show(router, "/status")[2].decode()
    assert '<h1 class="well">today went well</h1>' in page
    assert not re.search(r"<script|<link|src=|href=|@import|url\(", page)


def test_other_instance_with_a_newer_manifest(router):
    """Guards against "in force everywhere" from the view of one daemon."""
    router.membership.record_relayed_contact(_age("router-b"), router.now)
    router.control.revisions_by_instance["router-b"] = {"manifest": 9}
    page = show(router, "/status")[2].decode()
    assert "manifest not in force everywhere" in page
    assert "manifest 9" in page


def test_names_are_escaped(router):
    """Guards against markup in an id that another instance sent."""
    router.membership.record_relayed_contact(_age("<b>"), router.now)
    router.control.revisions_by_instance["<b>"] = {}
    page = show(router, "/status")[2].decode()
    assert "<b>" not in page
    assert "&lt;b&gt;" in page


def test_not_ready_before_a_first_assignment(router):
    """Guards against a load balancer that sends requests too early."""
    assert show(router, "/ready")[0] == 503


def _age(instance):
    return MemberAge(instance, "incarnation", "d2", "127.0.0.1:9", False, 0.0)
