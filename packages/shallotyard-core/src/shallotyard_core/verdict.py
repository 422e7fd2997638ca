"""Whether a request may have run on an upstream."""

import enum


class Verdict(enum.Enum):
    """What is known about the execution of a request.

    ``NOT_RUN`` is only used with proof: no byte was sent, or the upstream said
    so. ``RAN`` means that a whole response was received.
    """

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


def combine_verdicts(first, second):
    """Return the verdict of a request that made two attempts.

    :param first: verdict of one attempt.
    :param second: verdict of another attempt.
    :return: ``RAN`` if either ran, else ``MAY_HAVE_RUN`` if either may have.
    """
    for verdict in (Verdict.RAN, Verdict.MAY_HAVE_RUN):
        if verdict in (first, second):
            return verdict
    return Verdict.NOT_RUN
