"""Tests of the router's own responses."""

import pathlib

import pytest
from direct_builders import build_request

from shallotyard_core.verdict import Verdict
from shallotyard_direct.responses import Refusal
from shallotyard_direct.responses import build_refusal

OPERATIONS_PAGE = pathlib.Path(__file__).parents[3] / "docs" / "OPERATIONS.md"
# Statuses from which a caller may conclude that its request has not run.
NOT_RUN_STATUSES = {401, 408, 421, 429, 503}


@pytest.mark.parametrize("refusal", Refusal)
def test_every_reason_is_explained(refusal):
    """A refusal reason was missing in the operators' page."""
    status = build_refusal(build_request(), refusal, Verdict.NOT_RUN).status
    assert f"| `{refusal}` | {status} |" in OPERATIONS_PAGE.read_text()


@pytest.mark.parametrize("refusal", Refusal)
@pytest.mark.parametrize("verdict", [Verdict.MAY_HAVE_RUN, Verdict.RAN])
def test_status_of_a_request_that_may_have_run(refusal, verdict):
    """A request that may have run got a status that says it has not run."""
    response = build_refusal(build_request(), refusal, verdict, 1.0)
    assert response.status not in NOT_RUN_STATUSES
    assert response.retry_after_s == 0
