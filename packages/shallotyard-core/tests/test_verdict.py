"""Tests of the verdict type."""

from shallotyard_core.verdict import Verdict
from shallotyard_core.verdict import combine_verdicts


def test_combined_verdict_never_hides_a_possible_run():
    """Guards against a retry that turns "may have run" into "not run"."""
    combined = combine_verdicts(Verdict.MAY_HAVE_RUN, Verdict.NOT_RUN)
    assert combined is Verdict.MAY_HAVE_RUN
    assert combine_verdicts(Verdict.NOT_RUN, Verdict.RAN) is Verdict.RAN
