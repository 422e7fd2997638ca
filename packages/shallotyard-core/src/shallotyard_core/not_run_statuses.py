"""Statuses by which callers conclude that their request has not run."""

from shallotyard_core.verdict import Verdict

# RFC 9110 lets clients repeat any request after 408 and 421 (sections 15.5.9 and
# 15.5.20); 429 and 503 are taken for refusals of requests that were not processed.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def contradicts(status, verdict):
    """Return whether a status says that a request has not run, although it may have.

    :param status: HTTP status code.
    :param verdict: combined `Verdict` of all attempts of the request.
    """
    return status in NOT_RUN_STATUSES and verdict is not Verdict.NOT_RUN
