"""Counts violations of invariants."""

from shallotyard_core.effects import LogDecision


def count_violation(router, error):
    """Count an invariant violation and return the effect that logs it.

    :param router: the `Router` state.
    :param error: the `InvariantError`.
    """
    counts = router.invariant_violations
    counts[error.invariant] = counts.get(error.invariant, 0) + 1
    return LogDecision("invariant-violation", error.invariant, {"detail": str(error)})
