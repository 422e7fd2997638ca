"""Verdicts on whether requests have run on an upstream."""

import enum


class Verdict(enum.Enum):
    """Whether a request has run on an upstream.

    ``NOT_RUN`` is only used with proof: no byte was sent, or the upstream reported it.
    ``RAN`` means that a complete response was received.
    """

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


def combine_verdicts(first, second):
    """Return the combined verdict of two attempts of a request.

    :param first: verdict of one attempt.
    :param second: verdict of another attempt.
    :return: ``RAN`` if either ran, else ``MAY_HAVE_RUN`` if either may have.
    """
    for verdict in (Verdict.RAN, Verdict.MAY_HAVE_RUN):
        if verdict in (first, second):
            return verdict
    return Verdict.NOT_RUN
