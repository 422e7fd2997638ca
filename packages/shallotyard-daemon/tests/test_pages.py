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


def render_page(router, uri):
    """Return (status, content type, body) of a page."""
    path = uri.partition("?")[0]
    request = HTTPServerRequest("GET", uri)
    return build_pages(router)[path](request)


def test_json_names_all_guarantees(router):
    """Guards against a guarantee that the status does not contain."""
    status, content_type, body = render_page(router, "/status?format=json")
    assert (status, content_type) == (200, "application/json")
    guarantees = json.loads(body)["promises"]
    assert len(guarantees) == 11
    assert set(guarantees.values()) == {"kept"}


def test_broken_guarantee_is_in_the_heading(router):
    """Guards against a page that reports no problem although a guarantee is broken."""
    router.invariant_violations["admission-limit"] = 2
    page = render_page(router, "/status")[2].decode()
    assert '<h1 class="attention">attention: promises broken' in page
    assert '<td class="broken">broken</td>' in page
    report = json.loads(render_page(router, "/status?format=json")[2])
    assert report["promises"]["cold-start"] == "broken"


def test_assertion_without_a_guarantee_is_shown(router):
    """Guards against hiding violations that belong to no guarantee."""
    router.invariant_violations["quarantine-alone"] = 1
    page = render_page(router, "/status")[2].decode()
    assert "Further assertion quarantine-alone." in page


def test_page_without_problems(router):
    """Guards against false alarms, and against external resources in the page."""
    page = render_page(router, "/status")[2].decode()
    assert '<h1 class="well">today went well</h1>' in page
    assert not re.search(r"<script|<link|src=|href=|@import|url\(", page)


def test_other_instance_with_a_newer_manifest(router):
    """Guards against "in force everywhere" if another instance has a newer version."""
    router.membership.record_relayed_contact(_build_member("router-b"), router.now)
    router.control.revisions_by_instance["router-b"] = {"manifest": 9}
    page = render_page(router, "/status")[2].decode()
    assert "manifest not in force everywhere" in page
    assert "manifest 9" in page


def test_names_are_escaped(router):
    """Guards against HTML injection by an id that another instance sent."""
    router.membership.record_relayed_contact(_build_member("<b>"), router.now)
    router.control.revisions_by_instance["<b>"] = {}
    page = render_page(router, "/status")[2].decode()
    assert "<b>" not in page
    assert "&lt;b&gt;" in page


def test_not_ready_before_the_first_assignment(router):
    """Guards against requests from the load balancer before they can be served."""
    assert render_page(router, "/ready")[0] == 503


def _build_member(instance):
    return MemberAge(instance, "incarnation", "d2", "127.0.0.1:9", False, 0.0)
