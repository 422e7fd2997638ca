"""The guarantees of the router and whether an instance kept them."""

KEPT = "kept"
BROKEN = "broken"

# Same order as in section 2 of docs/design.md.
TEXT_BY_GUARANTEE = {
    "one-owner": "A key has at most one owner at any moment.",
    "assignment-durable": "Every acknowledged assignment survives any tolerated loss.",
    "cold-start": "An upstream in a cold start receives no more work than it can bear.",
    "domain-out": "A failure domain out of service receives no new work.",
    "home-region": "A request with home regions stays in them.",
    "own-response": "Each caller receives the complete response to its own request.",
    "not-run": "A refusal that says not-run is true.",
    "at-most-once": "A request that must not be repeated runs at most once.",
    "upstream-leaving": "An upstream that is leaving receives no new work.",
    "graceful-shutdown": "A graceful shutdown interrupts no request in flight.",
    "configuration": "An accepted configuration is in force and never reverts.",
}

# The guarantee that each assertion in the code checks, by name of its invariant.
_GUARANTEE_BY_INVARIANT = {
    "admission-limit": "cold-start",
    "admission-alone": "cold-start",
    "admission-queue": "cold-start",
}


def find_guarantee(invariant):
    """Return the guarantee that an invariant belongs to.

    :param invariant: name of the invariant of an `InvariantError`.
    :return: a name of ``TEXT_BY_GUARANTEE``. An invariant without a guarantee is
        returned itself, so that its violations are reported as well.
    """
    return _GUARANTEE_BY_INVARIANT.get(invariant, invariant)


def evaluate_guarantees(invariant_violations):
    """Return whether each guarantee was kept.

    :param invariant_violations: number of violations by name of the invariant.
    :return: ``kept`` or ``broken`` by name of the guarantee.
    """
    guarantees = dict.fromkeys(TEXT_BY_GUARANTEE, KEPT)
    for invariant, count in invariant_violations.items():
        if count:
            guarantees[find_guarantee(invariant)] = BROKEN
    return guarantees
