"""Formal specification of the ownership protocol (docs/design.md, section 3).

The model of an execution contains the events that concern one slice: the versions of
the assignment object, the starts and releases of claims, and the proofs, promises and
Holds that permit one use of an old claim. A Hold is a request of the holder to the next
holder to postpone its start. Times are real numbers, in seconds. z3 searches for an
execution that obeys every rule and violates a safety property. Events outside the model
can only add constraints, so an unsatisfiable query covers any number of them.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from fractions import Fraction
from itertools import pairwise

import z3

INSTANCES = "ABCD"
INCARNATIONS = 2
MAX_COORDINATORS = 3

TTL_S = Fraction(3, 2)
OUTAGE_CAP_S = Fraction(7200)
DRIFT = Fraction(1, 100)
# Any two clocks differ in rate by at most DRIFT when each stays within this bound.
PAIRWISE_CLOCK_ERROR = DRIFT / (2 + DRIFT)

# Kinds of writes of the assignment object: by a coordinator, by a new incarnation of a
# coordinator, by a registrant, and by a candidate after its wait.
COORDINATOR_WRITE = 0
REPLACEMENT = 1
REGISTRATION = 2
CANDIDATE_WRITE = 3

# "exclusive": two holders never use their claims of one slice at the same time.
# "deadline" and "grant": once a claim is started, no request of an earlier epoch runs
# on an upstream that enforces deadlines or that checks grants.
PROPERTIES = ("exclusive", "deadline", "grant")


@dataclass(frozen=True, slots=True)
class Rules:
    """Rules of the protocol.

    The defaults are those of the repaired protocol, for which every property must hold.

    A registration is the write by which an instance prepares to replace coordinators
    that are all lost. The instance that writes it, the registrant, becomes a candidate,
    or a coordinator that has to wait before its next write.

    :ivar clock_error: largest relative error of the rate of one clock
    :ivar wait_before_start: a holder starts a claim TTL x (1 + drift) after it first
        sees the claim, or after the previous holder's release
    :ivar bounded_attempts: deadlines of attempts end with the lease, and upstreams that
        check grants compare epochs
    :ivar lease_from_read_start: the lease of a store proof counts from the start of the
        read, not from the arrival of the reply
    :ivar conditional_writes: a write succeeds only if the version that it is based on
        is still current
    :ivar writes_by_coordinators: only a coordinator of a version writes its successor
    :ivar no_write_after_promise: a coordinator starts no write for TTL x (1 + drift)
        after a promise
    :ivar replacement_waits: a new incarnation of a coordinator waits TTL x (1 + drift)
        after its start before it replaces the old one
    :ivar single_incarnation: two incarnations of one id never run at the same time
    :ivar merge_raises_epoch: removing a hot slice raises the epoch of the slice that
        contains it
    :ivar registers_as_candidate: a registrant becomes a candidate and not a coordinator
    :ivar promises_during_pending_write: a coordinator with a write of unknown outcome
        promises for the claims that the write leaves unchanged
    :ivar pending_write_adds_no_coordinator: it does so only if the write adds no
        coordinator
    :ivar proof_matches_epoch: a lease needs a proof of a version with the claim's epoch
    :ivar deadline_on_upstream_clock: a deadline is a time on the upstream's clock, like
        the expiry of a grant, and not a duration from the arrival of the request
    :ivar unknown_write_blocks_promise: a coordinator promises nothing while the outcome
        of its write is unknown
    :ivar read_resolves_write: a coordinator considers its write failed when a read
        returns the old version
    :ivar self_registration_waits_cap: a registrant that no coordinator added waits for
        the outage cap and not only for TTL x (1 + drift)
    :ivar cap_on_promises: promises extend a lease only up to the outage cap
    :ivar cap_with_drift: a registrant's wait includes the drift allowance
    :ivar cap_from_registration_effect: a registrant's wait counts from the reply to its
        registration write and not from the start of that write; the model uses the time
        at which the write takes effect
    :ivar cap_survives_restart: a new incarnation of a registrant waits for the outage
        cap as well
    :ivar hold_needs_proof: a holder relies on a Hold only with a proof of exactly the
        next epoch
    :ivar hold_needs_exact_epoch: a proof of any later epoch does not replace that one
    :ivar relay_from_request: the age of a relayed proof counts from the time at which
        the holder sent its request to the reader
    :ivar release_needs_start: a holder releases only an epoch that it started
    :ivar release_margin: an attempt of unknown outcome counts as in flight until its
        deadline plus the delivery bound and the drift allowance, or until the grant
        ends if the upstream checks grants
    :ivar deadline_margin: the time budget of an attempt ends the delivery bound before
        the lease
    :ivar cancel_needs_definite_reply: the reply ``unknown`` to a cancellation does not
        resolve the attempt
    :ivar late_delivery: a request may take up to the delivery bound to arrive
    :ivar expiry_with_drift: the expiry of a grant and a deadline on the upstream's
        clock are shortened by the drift allowance
    """

    clock_error: Fraction = PAIRWISE_CLOCK_ERROR
    wait_before_start: bool = True
    bounded_attempts: bool = True
    lease_from_read_start: bool = True
    conditional_writes: bool = True
    writes_by_coordinators: bool = True
    no_write_after_promise: bool = True
    replacement_waits: bool = True
    single_incarnation: bool = True
    merge_raises_epoch: bool = True
    registers_as_candidate: bool = True
    promises_during_pending_write: bool = True
    pending_write_adds_no_coordinator: bool = True
    proof_matches_epoch: bool = True
    deadline_on_upstream_clock: bool = True
    unknown_write_blocks_promise: bool = True
    read_resolves_write: bool = False
    self_registration_waits_cap: bool = True
    cap_on_promises: bool = True
    cap_with_drift: bool = True
    cap_from_registration_effect: bool = True
    cap_survives_restart: bool = True
    hold_needs_proof: bool = True
    hold_needs_exact_epoch: bool = True
    relay_from_request: bool = True
    release_needs_start: bool = True
    release_margin: bool = True
    deadline_margin: bool = True
    cancel_needs_definite_reply: bool = True
    late_delivery: bool = True
    expiry_with_drift: bool = True


@dataclass(frozen=True, slots=True)
class Variant:
    """A changed rule set and the property that it is expected to violate.

    :ivar rules: the changed rules
    :ivar property: name of the property in :data:`PROPERTIES`
    :ivar basis: ``removed`` if a rule of the design page is removed, ``as written`` if
        the page is followed literally, ``earlier design`` if its text at commit ca39f35
        is followed, ``interpretation`` for a possible reading of the page
    :ivar description: the change, as shown to users
    """

    rules: Rules
    property: str
    basis: str
    description: str


REPAIRED = Rules()

VARIANTS = {
    "no-wait": Variant(
        Rules(wait_before_start=False),
        "exclusive",
        "removed",
        "the new holder starts as soon as it sees its claim",
    ),
    "no-fence": Variant(
        Rules(bounded_attempts=False),
        "deadline",
        "removed",
        "upstreams do not compare epochs and deadlines may exceed the lease",
    ),
    "lease-from-reply": Variant(
        Rules(lease_from_read_start=False),
        "exclusive",
        "removed",
        "the lease counts from the arrival of the store's reply, not from the read",
    ),
    "two-writers": Variant(
        Rules(conditional_writes=False),
        "exclusive",
        "removed",
        "writes are unconditional, so the write of a former coordinator takes effect",
    ),
    "non-steward-write": Variant(
        Rules(writes_by_coordinators=False),
        "exclusive",
        "removed",
        "an instance that is not a coordinator writes, based on the current version",
    ),
    "promise-with-unknown-write": Variant(
        Rules(unknown_write_blocks_promise=False),
        "exclusive",
        "removed",
        "a coordinator promises while the outcome of its write is unknown",
    ),
    "promise-for-ever": Variant(
        Rules(self_registration_waits_cap=False, cap_on_promises=False),
        "exclusive",
        "removed",
        "promises have no limit and a coordinator that registers itself waits only "
        "TTL x (1 + drift)",
    ),
    "hold-without-proof": Variant(
        Rules(hold_needs_proof=False),
        "exclusive",
        "removed",
        "a Hold needs no proof of the next epoch",
    ),
    "hold-later-epoch": Variant(
        Rules(hold_needs_exact_epoch=False),
        "exclusive",
        "removed",
        "a Hold accepts a proof of any later epoch",
    ),
    "relay-from-answer": Variant(
        Rules(relay_from_request=False),
        "exclusive",
        "removed",
        "the age of a relayed proof counts from the arrival of the reader's reply",
    ),
    "release-unstarted": Variant(
        Rules(release_needs_start=False),
        "exclusive",
        "removed",
        "a holder releases an epoch that it never started",
    ),
    "no-fence-grant": Variant(
        Rules(bounded_attempts=False),
        "grant",
        "removed",
        "the same as no-fence on an upstream that has a grant of the old holder",
    ),
    "grant-without-drift": Variant(
        Rules(expiry_with_drift=False),
        "grant",
        "removed",
        "a grant's expiry has no drift allowance",
    ),
    "cap-without-drift": Variant(
        Rules(cap_with_drift=False),
        "exclusive",
        "as written",
        "a registrant waits for the outage cap without a drift allowance",
    ),
    "registrant-restart": Variant(
        Rules(cap_survives_restart=False, registers_as_candidate=False),
        "exclusive",
        "earlier design",
        "a registrant is a coordinator at once and its new incarnation waits only "
        "TTL x (1 + drift)",
    ),
    "late-request": Variant(
        Rules(deadline_on_upstream_clock=False, deadline_margin=False),
        "deadline",
        "earlier design",
        "a request is delayed in the network and the upstream counts its time budget "
        "from the arrival",
    ),
    "release-at-deadline": Variant(
        Rules(
            deadline_on_upstream_clock=False, release_margin=False, late_delivery=False
        ),
        "deadline",
        "earlier design",
        "a holder releases once a relative deadline has passed on its own clock",
    ),
    "release-at-deadline-grant": Variant(
        Rules(release_margin=False, late_delivery=False),
        "grant",
        "earlier design",
        "the same on an upstream that checks grants and does not know the new epoch",
    ),
    "pending-adds-steward": Variant(
        Rules(pending_write_adds_no_coordinator=False),
        "exclusive",
        "as written",
        "a coordinator promises although its write of unknown outcome adds another one",
    ),
    "deadline-without-drift": Variant(
        Rules(expiry_with_drift=False),
        "deadline",
        "interpretation",
        "a deadline on the upstream's clock has no drift allowance",
    ),
    "registration-from-send": Variant(
        Rules(cap_from_registration_effect=False),
        "exclusive",
        "interpretation",
        "the wait of a registrant counts from the start of its registration write",
    ),
    "outcome-by-read": Variant(
        Rules(read_resolves_write=True),
        "exclusive",
        "interpretation",
        "a coordinator considers its write failed when a read returns the old version",
    ),
    "cancel-unknown": Variant(
        Rules(cancel_needs_definite_reply=False),
        "deadline",
        "interpretation",
        "the reply `unknown` to a cancellation counts as a confirmed cancellation",
    ),
    "incarnations-overlap": Variant(
        Rules(single_incarnation=False),
        "exclusive",
        "interpretation",
        "the old process of an id still runs while a new one runs under the same id",
    ),
    "hot-merge": Variant(
        Rules(merge_raises_epoch=False),
        "exclusive",
        "interpretation",
        "removing a hot slice does not raise the epoch of the slice that contains it",
    ),
    "drift-each": Variant(
        Rules(clock_error=DRIFT),
        "exclusive",
        "interpretation",
        "the drift allowance bounds each clock instead of each pair of clocks",
    ),
}


# Rule sets without rules that the properties do not need: every check still holds.
REDUNDANT = {
    "promise-without-quiet": Rules(no_write_after_promise=False),
    "replacement-without-wait": Rules(replacement_waits=False),
    "neither": Rules(no_write_after_promise=False, replacement_waits=False),
    "proof-of-older-version": Rules(proof_matches_epoch=False),
}

# Alternative forms of the repaired protocol: every check holds for them as well.
ALTERNATIVES = {
    "registrant-is-steward": Rules(registers_as_candidate=False),
    "no-pending-promises": Rules(promises_during_pending_write=False),
    "relative-deadlines": Rules(deadline_on_upstream_clock=False),
}


@dataclass(slots=True)
class Version:
    """A version of the assignment object and the write that produced it.

    Lists have one item per instance.

    :ivar started_at: start of the write
    :ivar effective_at: when the store applied the write
    :ivar writer: index of the instance that wrote it
    :ivar writer_incarnation: incarnation of the writer
    :ivar kind: kind of the write, such as :data:`REPLACEMENT`
    :ivar base: number of the version that the write is based on
    :ivar coordinator: whether the instance is a coordinator
    :ivar incarnation: the incarnation that is the coordinator
    :ivar cap_pending: whether the coordinator registered itself and has to wait for the
        outage cap
    :ivar holder: index of the holder of the slice
    :ivar holder_incarnation: incarnation of the holder
    :ivar epoch: epoch of the slice
    """

    started_at: z3.ArithRef
    effective_at: z3.ArithRef
    writer: z3.ArithRef
    writer_incarnation: z3.ArithRef
    kind: z3.ArithRef
    base: z3.ArithRef
    coordinator: list[z3.BoolRef]
    incarnation: list[z3.ArithRef]
    cap_pending: list[z3.BoolRef]
    holder: z3.ArithRef
    holder_incarnation: z3.ArithRef
    epoch: z3.ArithRef


@dataclass(slots=True)
class Claim:
    """The claim that a version creates if it changes the entry of the slice.

    :ivar changed: whether the version raises the epoch, so that there is a claim
    :ivar first_seen_at: when the holder first sees the claim
    :ivar started: whether the holder starts the claim
    :ivar started_at: when it starts the claim
    :ivar by_release: whether it starts after a release instead of a wait
    :ivar released: whether the holder releases the claim
    :ivar released_at: when it releases the claim
    """

    changed: z3.BoolRef
    first_seen_at: z3.ArithRef
    started: z3.BoolRef
    started_at: z3.ArithRef
    by_release: z3.BoolRef
    released: z3.BoolRef
    released_at: z3.ArithRef


@dataclass(slots=True)
class Proof:
    """Evidence that a version was current, possibly relayed by a reader.

    :ivar version: number of the version
    :ivar began_at: start of the store read or of the round of promises
    :ivar by_promise: whether promises of the coordinators replace a store read
    :ivar completed_at: when the store replies to the read, or the end of the round
    :ivar promise_times: when each instance promises
    :ivar relayed: whether the holder has it from a reader
    :ivar requested_at: when the holder sends its request to the reader
    :ivar received_at: when the reader receives the request
    :ivar store_read_began_at: start of the last store read before a round of promises
    """

    version: z3.ArithRef
    began_at: z3.ArithRef
    by_promise: z3.BoolRef
    completed_at: z3.ArithRef
    promise_times: list[z3.ArithRef]
    relayed: z3.BoolRef
    requested_at: z3.ArithRef
    received_at: z3.ArithRef
    store_read_began_at: z3.ArithRef


@dataclass(slots=True)
class Execution:
    """Variables and timeline of one execution.

    :ivar rules: the rules that it obeys
    :ivar ttl: length of a lease, s
    :ivar cap: outage cap, s
    :ivar delivery: delivery bound, the longest time from the socket write of a request
        to its start on the upstream, s
    :ivar versions: versions by number
    :ivar claims: claims by the number of the version that creates them
    :ivar lifetimes: start and end of each incarnation, by instance and incarnation
    :ivar events: time, condition and formatter of each event of the timeline
    """

    rules: Rules
    ttl: z3.ArithRef
    cap: z3.ArithRef
    delivery: z3.ArithRef
    versions: list[Version] = field(default_factory=list)
    claims: list[Claim] = field(default_factory=list)
    lifetimes: list[list[tuple[z3.ArithRef, z3.ArithRef]]] = field(default_factory=list)
    events: list[tuple[z3.ArithRef, z3.BoolRef, Callable]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one check.

    :ivar holds: True if no execution violates the property, None if z3 found no answer
    :ivar property: name of the property
    :ivar depth: number of writes of the executions searched, or of the one found
    :ivar timeline: lines of the counterexample
    """

    holds: bool | None
    property: str
    depth: int
    timeline: tuple[str, ...] = ()


def _to_z3_real(number: Fraction) -> z3.RatNumRef:
    return z3.Q(number.numerator, number.denominator)


def _select(values: list, index: z3.ArithRef):
    """Return the value at a symbolic index."""
    selected = values[-1]
    for position in range(len(values) - 2, -1, -1):
        selected = z3.If(index == position, values[position], selected)
    return selected


def _elapsed_at_least(run: Execution, begin, end, amount) -> z3.BoolRef:
    """State that ``amount`` has passed on the fastest permitted clock."""
    return _to_z3_real(1 + run.rules.clock_error) * (end - begin) >= amount


def _elapsed_at_most(run: Execution, begin, end, amount) -> z3.BoolRef:
    """State that at most ``amount`` has passed on the slowest permitted clock."""
    return _to_z3_real(1 - run.rules.clock_error) * (end - begin) <= amount


def _add_drift(amount) -> z3.ArithRef:
    return _to_z3_real(1 + DRIFT) * amount


def _is_alive(run: Execution, instance, incarnation, time) -> z3.BoolRef:
    """State that an incarnation of an instance runs at ``time``."""
    return z3.And(
        [
            z3.Implies(
                z3.And(instance == i, incarnation == n),
                z3.And(start <= time, time <= end),
            )
            for i, incarnations in enumerate(run.lifetimes)
            for n, (start, end) in enumerate(incarnations)
        ]
    )


def _is_listed_coordinator(version: Version, instance, incarnation) -> z3.BoolRef:
    """State that an incarnation of an instance is a coordinator of the version."""
    return z3.And(
        _select(version.coordinator, instance),
        _select(version.incarnation, instance) == incarnation,
    )


def _create_version(number: int) -> Version:
    name = f"v{number}"
    return Version(
        started_at=z3.Real(f"{name}.start"),
        effective_at=z3.Real(f"{name}.effect"),
        writer=z3.Int(f"{name}.writer"),
        writer_incarnation=z3.Int(f"{name}.writer_incarnation"),
        kind=z3.Int(f"{name}.kind"),
        base=z3.Int(f"{name}.base"),
        coordinator=[z3.Bool(f"{name}.steward.{i}") for i in INSTANCES],
        incarnation=[z3.Int(f"{name}.incarnation.{i}") for i in INSTANCES],
        cap_pending=[z3.Bool(f"{name}.cap_pending.{i}") for i in INSTANCES],
        holder=z3.Int(f"{name}.holder"),
        holder_incarnation=z3.Int(f"{name}.holder_incarnation"),
        epoch=z3.Int(f"{name}.epoch"),
    )


def _create_claim(number: int) -> Claim:
    name = f"c{number}"
    return Claim(
        changed=z3.Bool(f"{name}.changed"),
        first_seen_at=z3.Real(f"{name}.first_seen"),
        started=z3.Bool(f"{name}.started"),
        started_at=z3.Real(f"{name}.start"),
        by_release=z3.Bool(f"{name}.by_release"),
        released=z3.Bool(f"{name}.released"),
        released_at=z3.Real(f"{name}.release"),
    )


def _constrain_ranges(version: Version) -> list:
    """Return the permitted values of the variables of a version."""
    coordinator_count = z3.Sum(
        [z3.If(coordinator, 1, 0) for coordinator in version.coordinator]
    )
    incarnation_numbers = [version.writer_incarnation, version.holder_incarnation]
    incarnation_numbers += version.incarnation
    return [
        z3.And(version.writer >= 0, version.writer < len(INSTANCES)),
        z3.And(version.holder >= 0, version.holder < len(INSTANCES)),
        z3.And([z3.And(n >= 0, n < INCARNATIONS) for n in incarnation_numbers]),
        z3.And(coordinator_count >= 1, coordinator_count <= MAX_COORDINATORS),
        version.started_at <= version.effective_at,
    ]


def _constrain_lifetimes(run: Execution) -> list:
    """Return the constraints on the start and end of the incarnations."""
    constraints = []
    for incarnations in run.lifetimes:
        constraints += [start < end for start, end in incarnations]
        if run.rules.single_incarnation:
            # Incarnations of one id share an address and cannot run at the same time.
            constraints += [a[1] <= b[0] for a, b in pairwise(incarnations)]
    return constraints


def _is_same_entry(old: Version, new: Version) -> z3.BoolRef:
    """State that two versions have the same entry of the slice."""
    return z3.And(
        new.epoch == old.epoch,
        new.holder == old.holder,
        new.holder_incarnation == old.holder_incarnation,
    )


def _constrain_entry(run: Execution, number: int) -> list:
    """Return the constraints on the entry and the coordinators of a version."""
    old, new = run.versions[number - 1], run.versions[number]
    is_unchanged = _is_same_entry(old, new)
    if not run.rules.merge_raises_epoch:
        is_unchanged = z3.Or([_is_same_entry(v, new) for v in run.versions[:number]])
    # Epochs may skip a number, so the epoch before that of a claim may not exist.
    has_higher_epoch = z3.And(new.epoch > old.epoch, new.epoch <= old.epoch + 2)
    coordinators_started = [
        z3.Implies(
            z3.And(new.coordinator[i], new.incarnation[i] == n),
            run.lifetimes[i][n][0] <= new.started_at,
        )
        for i in range(len(INSTANCES))
        for n in range(INCARNATIONS)
    ]
    return [
        z3.Or(is_unchanged, has_higher_epoch),
        run.claims[number].changed == (new.epoch > old.epoch),
        new.effective_at > old.effective_at,
        z3.And(coordinators_started),
        _is_alive(run, new.writer, new.writer_incarnation, new.started_at),
    ]


def _is_coordinator_write(run: Execution, base: Version, new: Version) -> z3.BoolRef:
    """State that a write is permitted as that of a coordinator of its base."""
    no_cap_pending = z3.Not(z3.Or(new.cap_pending))
    if not run.rules.writes_by_coordinators:
        return no_cap_pending
    return z3.And(
        _is_listed_coordinator(base, new.writer, new.writer_incarnation), no_cap_pending
    )


def _compute_registrant_wait(run: Execution) -> z3.ArithRef:
    """Return how long a registrant waits before its next write."""
    if not run.rules.self_registration_waits_cap:
        return _add_drift(run.ttl)
    return _add_drift(run.cap) if run.rules.cap_with_drift else run.cap


def _is_replacement(run: Execution, number: int, base: Version) -> z3.BoolRef:
    """State that a write replaces an incarnation of its writer by a newer one."""
    new = run.versions[number]
    conditions = [
        _select(base.coordinator, new.writer),
        _select(base.incarnation, new.writer) < new.writer_incarnation,
        z3.Not(z3.Or(new.cap_pending)),
        _is_listed_coordinator(new, new.writer, new.writer_incarnation),
    ]
    wait = _add_drift(run.ttl) if run.rules.replacement_waits else 0
    for i, incarnations in enumerate(run.lifetimes):
        for n, (start, _) in enumerate(incarnations):
            conditions.append(
                z3.Implies(
                    z3.And(new.writer == i, new.writer_incarnation == n),
                    _elapsed_at_least(run, start, new.started_at, wait),
                )
            )
    if run.rules.cap_survives_restart and run.rules.self_registration_waits_cap:
        # The wait counts from when the registration is seen: that write can take effect
        # after the new incarnation has started.
        conditions += [
            z3.Implies(
                z3.And(
                    _select(base.cap_pending, new.writer),
                    earlier.kind == REGISTRATION,
                    earlier.writer == new.writer,
                ),
                _elapsed_at_least(
                    run,
                    earlier.effective_at,
                    new.started_at,
                    _compute_registrant_wait(run),
                ),
            )
            for earlier in run.versions[1:number]
        ]
    return z3.And(conditions)


def _is_candidate_registration(base: Version, new: Version) -> z3.BoolRef:
    """State that a write changes nothing but the candidate."""
    return z3.And(
        z3.Not(_select(base.coordinator, new.writer)),
        z3.And(
            [a == b for a, b in zip(base.coordinator, new.coordinator, strict=True)]
        ),
        z3.And(
            [a == b for a, b in zip(base.incarnation, new.incarnation, strict=True)]
        ),
        _is_same_entry(base, new),
        z3.Not(z3.Or(new.cap_pending)),
    )


def _is_write_by_candidate(run: Execution, base: Version, new: Version) -> z3.BoolRef:
    """State that a candidate whose wait is over replaces its registration."""
    begin = (
        base.effective_at if run.rules.cap_from_registration_effect else base.started_at
    )
    return z3.And(
        z3.BoolVal(run.rules.registers_as_candidate),
        base.kind == REGISTRATION,
        base.writer == new.writer,
        base.writer_incarnation == new.writer_incarnation,
        _elapsed_at_least(run, begin, new.started_at, _compute_registrant_wait(run)),
        z3.Not(z3.Or(new.cap_pending)),
    )


def _is_registration(run: Execution, base: Version, new: Version) -> z3.BoolRef:
    """State that a write registers an instance that is not a coordinator."""
    if run.rules.registers_as_candidate:
        return _is_candidate_registration(base, new)
    others_kept = [
        z3.Implies(
            z3.And(new.coordinator[i], new.writer != i),
            z3.And(base.coordinator[i], base.incarnation[i] == new.incarnation[i]),
        )
        for i in range(len(INSTANCES))
    ]
    cap_pending_updated = [
        new.cap_pending[i] == z3.Or(new.writer == i, base.cap_pending[i])
        for i in range(len(INSTANCES))
    ]
    return z3.And(
        z3.Not(_select(base.coordinator, new.writer)),
        _is_listed_coordinator(new, new.writer, new.writer_incarnation),
        new.epoch == base.epoch,
        z3.And(cap_pending_updated),
        z3.And(others_kept),
    )


def _constrain_registrant(run: Execution, number: int) -> list:
    """Forbid other writes of a registrant during its wait for the outage cap."""
    new = run.versions[number]
    constraints = []
    # A candidate is not a coordinator, so the kinds of writes already restrict it.
    earlier_versions = (
        [] if run.rules.registers_as_candidate else run.versions[1:number]
    )
    for earlier in earlier_versions:
        begin = (
            earlier.effective_at
            if run.rules.cap_from_registration_effect
            else earlier.started_at
        )
        is_same_registrant = z3.And(
            earlier.kind == REGISTRATION,
            earlier.writer == new.writer,
            earlier.writer_incarnation == new.writer_incarnation,
        )
        has_waited = _elapsed_at_least(
            run, begin, new.started_at, _compute_registrant_wait(run)
        )
        constraints.append(z3.Implies(is_same_registrant, has_waited))
    return constraints


def _constrain_write(run: Execution, number: int) -> list:
    """Return the constraints on the write of a version."""
    new = run.versions[number]
    conditions_by_base = []
    for index, base in enumerate(run.versions[:number]):
        is_allowed = z3.Or(
            z3.And(
                new.kind == COORDINATOR_WRITE, _is_coordinator_write(run, base, new)
            ),
            z3.And(new.kind == REPLACEMENT, _is_replacement(run, number, base)),
            z3.And(new.kind == REGISTRATION, _is_registration(run, base, new)),
            z3.And(new.kind == CANDIDATE_WRITE, _is_write_by_candidate(run, base, new)),
        )
        conditions_by_base.append(
            z3.And(new.base == index, new.started_at >= base.effective_at, is_allowed)
        )
    constraints = [z3.Or(conditions_by_base), *_constrain_registrant(run, number)]
    if run.rules.conditional_writes:
        constraints.append(new.base == number - 1)
    return constraints


def _is_started_by_release(run: Execution, number: int) -> z3.BoolRef:
    """State that the holder of the previous epoch released before the start."""
    claim, version = run.claims[number], run.versions[number]
    return z3.Or(
        [
            z3.And(
                earlier_claim.changed,
                earlier_claim.released,
                run.versions[index].epoch == version.epoch - 1,
                earlier_claim.released_at <= claim.started_at,
            )
            for index, earlier_claim in enumerate(run.claims[:number])
        ]
    )


def _constrain_claim(run: Execution, number: int) -> list:
    """Return the constraints on the start and release of a claim."""
    claim, version = run.claims[number], run.versions[number]
    holder = (version.holder, version.holder_incarnation)
    wait = _add_drift(run.ttl) if run.rules.wait_before_start else 0
    # The holder of the first version need not wait, as the slice had no holder before.
    has_waited = _elapsed_at_least(run, claim.first_seen_at, claim.started_at, wait)
    by_wait = z3.BoolVal(True) if number == 0 else has_waited
    start_allowed = z3.And(
        claim.changed,
        claim.started_at >= claim.first_seen_at,
        _is_alive(run, *holder, claim.first_seen_at),
        _is_alive(run, *holder, claim.started_at),
        z3.If(claim.by_release, _is_started_by_release(run, number), by_wait),
    )
    release_allowed = [claim.changed, _is_alive(run, *holder, claim.released_at)]
    release_allowed.append(claim.released_at >= version.effective_at)
    if run.rules.release_needs_start:
        release_allowed += [claim.started, claim.released_at >= claim.started_at]
    return [
        claim.first_seen_at >= version.effective_at,
        z3.Implies(claim.started, start_allowed),
        z3.Implies(claim.released, z3.And(release_allowed)),
        # A claim that was never started is not used, so the order matters only here.
        z3.Implies(
            z3.And(claim.started, claim.released), claim.released_at >= claim.started_at
        ),
    ]


def _is_promise_kept(
    run: Execution, instance: int, version, promised_at, read_at
) -> z3.BoolRef:
    """State that the coordinator's writes do not violate its promise."""
    conditions = []
    incarnation = _select([v.incarnation[instance] for v in run.versions], version)
    wait = _add_drift(run.ttl) if run.rules.no_write_after_promise else 0
    for number, later in enumerate(run.versions):
        wait_over = _elapsed_at_least(run, promised_at, later.started_at, wait)
        started_before_promise = later.started_at <= promised_at
        permitted_cases = [z3.And(later.started_at >= promised_at, wait_over)]
        if not run.rules.unknown_write_blocks_promise:
            permitted_cases.append(started_before_promise)
        if run.rules.promises_during_pending_write and number:
            is_harmless = z3.And(
                version == number - 1, _is_pending_write_harmless(run, number)
            )
            permitted_cases.append(z3.And(started_before_promise, is_harmless))
        if run.rules.read_resolves_write:
            resolved = z3.And(
                later.started_at <= read_at,
                read_at < later.effective_at,
                read_at <= promised_at,
            )
            permitted_cases.append(z3.And(started_before_promise, resolved))
        # A coordinator never promises for a version older than the base of its write,
        # because it knows the base.
        same_writer = z3.And(
            later.writer == instance,
            later.writer_incarnation == incarnation,
            version < number,
        )
        conditions.append(z3.Implies(same_writer, z3.Or(permitted_cases)))
    return z3.And(conditions)


def _is_pending_write_harmless(run: Execution, number: int) -> z3.BoolRef:
    """State that a write of unknown outcome cannot invalidate the promised claim."""
    base, pending = run.versions[number - 1], run.versions[number]
    conditions = [_is_same_entry(base, pending)]
    if run.rules.pending_write_adds_no_coordinator:
        conditions += [
            z3.Implies(
                pending.coordinator[i],
                z3.And(
                    base.coordinator[i], base.incarnation[i] == pending.incarnation[i]
                ),
            )
            for i in range(len(INSTANCES))
        ]
    return z3.And(conditions)


def _is_store_proof(run: Execution, proof: Proof) -> z3.BoolRef:
    """State that the version was current when the store replied to the read."""
    effect_times = [v.effective_at for v in run.versions]
    last = len(run.versions) - 1
    return z3.And(
        proof.began_at <= proof.completed_at,
        _select(effect_times, proof.version) <= proof.completed_at,
        z3.Or(
            proof.version == last,
            proof.completed_at
            < _select([*effect_times[1:], effect_times[-1]], proof.version),
        ),
    )


def _is_promise_proof(run: Execution, proof: Proof, name: str) -> z3.BoolRef:
    """State that all coordinators of the version promised for it in the round."""
    effect_times = [v.effective_at for v in run.versions]
    last = len(run.versions) - 1
    conditions = []
    for i, promised_at in enumerate(proof.promise_times):
        is_listed = _select([v.coordinator[i] for v in run.versions], proof.version)
        incarnation = _select([v.incarnation[i] for v in run.versions], proof.version)
        is_promised = z3.And(
            proof.began_at <= promised_at,
            promised_at <= proof.completed_at,
            promised_at >= _select(effect_times, proof.version),
            _is_alive(run, z3.IntVal(i), incarnation, promised_at),
            _is_promise_kept(
                run, i, proof.version, promised_at, z3.Real(f"{name}.read.{i}")
            ),
        )
        conditions.append(z3.Implies(is_listed, is_promised))
    if run.rules.registers_as_candidate:
        write_kinds = [v.kind for v in run.versions]
        conditions.append(_select(write_kinds, proof.version) != REGISTRATION)
    if run.rules.cap_on_promises:
        # The last store proof returned this version or an older one.
        conditions += [
            z3.Or(
                proof.version == last,
                proof.store_read_began_at
                < _select([*effect_times[1:], effect_times[-1]], proof.version),
            ),
            _elapsed_at_most(run, proof.store_read_began_at, proof.began_at, run.cap),
        ]
    return z3.And(conditions)


def _has_lease_remaining(
    run: Execution, proof: Proof, used_at, remaining
) -> z3.BoolRef:
    """State that the holder's lease lasts ``remaining`` beyond ``used_at``."""
    slowest_rate = _to_z3_real(1 - run.rules.clock_error)
    begin = proof.began_at
    if not run.rules.lease_from_read_start:
        # The reply may arrive at any time after the version was current.
        begin = z3.If(proof.by_promise, proof.began_at, proof.requested_at)
        reply_after_read = z3.Implies(
            z3.Not(proof.by_promise), proof.requested_at >= proof.completed_at
        )
        return z3.And(
            reply_after_read, slowest_rate * (used_at - begin) + remaining <= run.ttl
        )
    direct_valid = slowest_rate * (used_at - begin) + remaining <= run.ttl
    age_at_reader = slowest_rate * (proof.received_at - begin)
    in_order = proof.requested_at <= proof.received_at
    if not run.rules.relay_from_request:
        in_order = z3.And(
            proof.received_at <= proof.requested_at, proof.requested_at <= used_at
        )
    relayed_valid = z3.And(
        in_order,
        proof.completed_at <= proof.received_at,
        proof.received_at <= used_at,
        slowest_rate * (used_at - proof.requested_at) + age_at_reader + remaining
        <= run.ttl,
    )
    return z3.If(proof.relayed, relayed_valid, direct_valid)


def create_proof(
    run: Execution, name: str, used_at, remaining
) -> tuple[Proof, z3.BoolRef]:
    """Create a proof whose lease lasts ``remaining`` beyond ``used_at``.

    :param run: the execution
    :param name: prefix of the names of the z3 variables
    :param used_at: when the lease is used, s
    :param remaining: required remaining time of the lease on the holder's clock, s
    :return: the proof and the condition under which it is valid
    """
    proof = Proof(
        version=z3.Int(f"{name}.version"),
        began_at=z3.Real(f"{name}.begin"),
        by_promise=z3.Bool(f"{name}.by_promise"),
        completed_at=z3.Real(f"{name}.settled"),
        promise_times=[z3.Real(f"{name}.promise.{i}") for i in INSTANCES],
        relayed=z3.Bool(f"{name}.relayed"),
        requested_at=z3.Real(f"{name}.asked"),
        received_at=z3.Real(f"{name}.received"),
        store_read_began_at=z3.Real(f"{name}.store_begin"),
    )
    evidence = z3.If(
        proof.by_promise,
        _is_promise_proof(run, proof, name),
        _is_store_proof(run, proof),
    )
    return proof, z3.And(
        proof.version >= 0,
        proof.version < len(run.versions),
        proof.completed_at <= used_at,
        evidence,
        _has_lease_remaining(run, proof, used_at, remaining),
    )


def _create_instance_formatter(instance, incarnation) -> Callable:
    return lambda evaluate: (
        f"{INSTANCES[int(evaluate(instance))]}{evaluate(incarnation)}"
    )


def _add_proof_events(run: Execution, proof: Proof, name: str, is_used) -> None:
    def create_formatter(event):
        return lambda evaluate: f"{name}: {event}, version {evaluate(proof.version)}"

    is_relayed = z3.And(
        is_used, proof.relayed, z3.BoolVal(run.rules.lease_from_read_start)
    )
    relay_text = "requests the proof of a reader"
    if not run.rules.relay_from_request:
        relay_text = "the reader's reply arrives"
    run.events += [
        (proof.requested_at, is_relayed, lambda _: f"{name}: {relay_text}"),
        (
            proof.received_at,
            is_relayed,
            lambda _: f"{name}: the reader receives the request",
        ),
    ]
    is_stored = z3.And(is_used, z3.Not(proof.by_promise))
    is_promised = z3.And(is_used, proof.by_promise)
    run.events += [
        (proof.began_at, is_stored, create_formatter("store read begins")),
        (proof.completed_at, is_stored, create_formatter("store answers the read")),
        (proof.began_at, is_promised, create_formatter("round of promises begins")),
    ]
    if run.rules.cap_on_promises:
        run.events.append(
            (
                proof.store_read_began_at,
                is_promised,
                create_formatter("last store proof before the round"),
            )
        )
    if not run.rules.lease_from_read_start:
        run.events.append(
            (
                proof.requested_at,
                is_stored,
                create_formatter("reply with the proof arrives"),
            )
        )
    for i, promise_time in enumerate(proof.promise_times):
        is_listed = _select([v.coordinator[i] for v in run.versions], proof.version)
        label = create_formatter(f"promise by coordinator {INSTANCES[i]}")
        run.events.append((promise_time, z3.And(is_promised, is_listed), label))


def is_claim_usable(
    run: Execution, number: int, name: str, used_at, remaining
) -> z3.BoolRef:
    """State that the holder of a claim may use it at ``used_at``.

    :param run: the execution
    :param number: number of the version that creates the claim
    :param name: prefix of the names of the z3 variables and of the events
    :param used_at: when the claim is used, s
    :param remaining: required remaining time of the lease or Hold on the holder's
        clock, s
    :return: the condition
    """
    claim, version = run.claims[number], run.versions[number]
    epochs = [v.epoch for v in run.versions]
    lease, lease_valid = create_proof(run, f"{name}.lease", used_at, remaining)
    hold_proof, hold_proof_valid = create_proof(
        run, f"{name}.bound", used_at, remaining
    )
    uses_hold = z3.Bool(f"{name}.held")
    hold_sent_at, hold_acked_at = (
        z3.Real(f"{name}.hold_sent"),
        z3.Real(f"{name}.hold_acked"),
    )
    lease_epoch = _select(epochs, lease.version)
    if run.rules.proof_matches_epoch:
        valid_by_lease = z3.And(lease_valid, lease_epoch == version.epoch)
    else:
        valid_by_lease = z3.And(lease_valid, lease_epoch <= version.epoch)
    slowest_rate = _to_z3_real(1 - run.rules.clock_error)
    hold_conditions = [
        _is_hold_accepted(run, number, hold_sent_at, hold_acked_at),
        hold_acked_at <= used_at,
        slowest_rate * (used_at - hold_sent_at) + remaining <= run.ttl,
    ]
    if run.rules.hold_needs_proof:
        hold_proof_epoch = _select(epochs, hold_proof.version)
        proves_next_epoch = hold_proof_epoch == version.epoch + 1
        if not run.rules.hold_needs_exact_epoch:
            proves_next_epoch = hold_proof_epoch > version.epoch
        hold_conditions += [hold_proof_valid, proves_next_epoch]
        _add_proof_events(run, hold_proof, f"{name}, proof for Hold", uses_hold)
    _add_proof_events(run, lease, f"{name}, lease", z3.Not(uses_hold))
    run.events += [
        (hold_sent_at, uses_hold, lambda _: f"{name}: Hold is sent to the next holder"),
        (
            hold_acked_at,
            uses_hold,
            lambda _: f"{name}: the next holder acknowledges Hold",
        ),
    ]
    return z3.And(
        claim.changed,
        claim.started,
        claim.started_at <= used_at,
        _is_alive(run, version.holder, version.holder_incarnation, used_at),
        z3.Implies(claim.released, used_at <= claim.released_at),
        z3.If(uses_hold, z3.And(hold_conditions), valid_by_lease),
    )


def _is_hold_accepted(
    run: Execution, number: int, hold_sent_at, hold_acked_at
) -> z3.BoolRef:
    """State that the next epoch's holder accepted a Hold and postpones its start."""
    conditions_by_claim = []
    for later_number in range(number + 1, len(run.versions)):
        claim, version = run.claims[later_number], run.versions[later_number]
        has_waited = _elapsed_at_least(
            run, hold_acked_at, claim.started_at, _add_drift(run.ttl)
        )
        start_postponed = z3.And(
            hold_acked_at < claim.started_at, z3.Or(claim.by_release, has_waited)
        )
        conditions_by_claim.append(
            z3.And(
                claim.changed,
                version.epoch == run.versions[number].epoch + 1,
                hold_sent_at >= version.effective_at,
                hold_acked_at >= hold_sent_at,
                hold_acked_at >= claim.first_seen_at,
                _is_alive(
                    run, version.holder, version.holder_incarnation, hold_acked_at
                ),
                z3.Implies(claim.started, start_postponed),
            )
        )
    return z3.Or(conditions_by_claim)


def _is_attempt_running(
    run: Execution, number: int, running_at, checks_grants: bool
) -> z3.BoolRef:
    """State that an attempt of a claim runs on the upstream at ``running_at``."""
    claim = run.claims[number]
    sent_at, arrived_at = z3.Real("attempt.sent"), z3.Real("attempt.arrived")
    remaining = z3.Real("attempt.rest")
    conditions = [
        is_claim_usable(run, number, "old holder", sent_at, remaining),
        remaining >= 0,
        sent_at <= arrived_at,
        arrived_at <= running_at,
        z3.Implies(
            claim.released,
            _is_considered_finished(run, claim, checks_grants, running_at),
        ),
    ]
    if run.rules.bounded_attempts:
        conditions.append(_is_before_deadline(run, running_at, checks_grants))
        if checks_grants:
            conditions.append(_is_grant_valid(run, number, running_at))
    run.events += [
        (sent_at, z3.BoolVal(True), lambda _: "old holder: request is sent"),
        (
            arrived_at,
            z3.BoolVal(True),
            lambda _: "upstream: request of the old epoch starts",
        ),
        (
            running_at,
            z3.BoolVal(True),
            lambda _: "upstream: request of the old epoch runs",
        ),
    ]
    return z3.And(conditions)


def _is_before_deadline(run: Execution, running_at, checks_grants: bool) -> z3.BoolRef:
    """State that the attempt's deadline has not passed on the upstream.

    If the upstream checks grants, the deadline may lie beyond the end of the lease,
    because the grant bounds the attempt.
    """
    sent_at, arrived_at = z3.Real("attempt.sent"), z3.Real("attempt.arrived")
    remaining, budget = z3.Real("attempt.rest"), z3.Real("attempt.budget")
    conditions = [budget >= 0]
    if run.rules.deadline_on_upstream_clock and not checks_grants:
        clock_read_at, clock_received_at = (
            z3.Real("clock.answered"),
            z3.Real("clock.heard"),
        )
        conditions += [
            clock_read_at <= clock_received_at,
            clock_received_at <= sent_at,
            budget <= remaining,
            _is_before_expiry(
                run, clock_read_at, clock_received_at, sent_at, budget, running_at
            ),
        ]
        run.events += [
            (clock_read_at, z3.BoolVal(True), lambda _: "upstream: reports its clock"),
            (
                clock_received_at,
                z3.BoolVal(True),
                lambda _: "old holder: receives the upstream's clock",
            ),
        ]
        return z3.And(conditions)
    conditions.append(_elapsed_at_most(run, arrived_at, running_at, budget))
    delay = run.delivery if run.rules.late_delivery else z3.RealVal(0)
    if not checks_grants:
        margin = delay if run.rules.deadline_margin else 0
        conditions += [arrived_at - sent_at <= delay, budget + margin <= remaining]
    elif not run.rules.late_delivery:
        conditions.append(arrived_at - sent_at <= delay)
    return z3.And(conditions)


def _is_before_expiry(
    run: Execution, clock_read_at, clock_received_at, set_at, remaining, time
) -> z3.BoolRef:
    """State that an expiry set on the upstream's clock has not passed at ``time``.

    :param run: the execution
    :param clock_read_at: when the upstream reported its clock, s
    :param clock_received_at: when the holder received that report, s
    :param set_at: when the holder computes the expiry, s
    :param remaining: time from ``set_at`` to the expiry on the holder's clock, s
    :param time: time to compare with the expiry, s
    :return: the condition
    """
    fastest_rate = _to_z3_real(1 + run.rules.clock_error)
    drift_factor = _to_z3_real(1 - DRIFT) if run.rules.expiry_with_drift else 1
    length = (remaining + fastest_rate * (set_at - clock_received_at)) * drift_factor
    return _elapsed_at_most(run, clock_read_at, time, length)


def _is_considered_finished(
    run: Execution, claim: Claim, checks_grants: bool, running_at
) -> z3.BoolRef:
    """State that the old holder may consider an attempt finished when it releases."""
    sent_at, budget = z3.Real("attempt.sent"), z3.Real("attempt.budget")
    known_finished = running_at <= claim.released_at
    if not run.rules.cancel_needs_definite_reply:
        # The cancellation arrived before the request, so the reply was ``unknown``.
        return z3.Or(known_finished, claim.released_at < z3.Real("attempt.arrived"))
    if checks_grants and run.rules.release_margin:
        # The holder revokes the grant or waits until it expires.
        granted_at, remaining = z3.Real("grant.sent"), z3.Real("grant.rest")
        return z3.Or(
            known_finished,
            _elapsed_at_least(run, granted_at, claim.released_at, remaining),
        )
    wait = budget
    if run.rules.release_margin and not run.rules.deadline_on_upstream_clock:
        wait = _add_drift(budget + run.delivery)
    return z3.Or(
        known_finished, _elapsed_at_least(run, sent_at, claim.released_at, wait)
    )


def _is_grant_valid(run: Execution, number: int, time) -> z3.BoolRef:
    """State that a grant of the old epoch has not expired on the upstream's clock."""
    clock_read_at, clock_received_at = z3.Real("grant.answered"), z3.Real("grant.heard")
    granted_at, remaining = z3.Real("grant.sent"), z3.Real("grant.rest")
    run.events += [
        (clock_read_at, z3.BoolVal(True), lambda _: "upstream: reports its clock"),
        (
            clock_received_at,
            z3.BoolVal(True),
            lambda _: "old holder: receives the upstream's clock",
        ),
        (granted_at, z3.BoolVal(True), lambda _: "old holder: sends a grant"),
    ]
    return z3.And(
        is_claim_usable(run, number, "old grant", granted_at, remaining),
        remaining >= 0,
        clock_read_at <= clock_received_at,
        clock_received_at <= granted_at,
        granted_at <= time,
        _is_before_expiry(
            run, clock_read_at, clock_received_at, granted_at, remaining, time
        ),
    )


def create_execution(rules: Rules, depth: int, fixed: bool) -> tuple[Execution, list]:
    """Create the model of all executions with a given number of writes.

    :param rules: the rules of the protocol
    :param depth: number of writes after the first version
    :param fixed: whether durations are those of the design page instead of arbitrary
    :return: the execution and its constraints
    """
    run = Execution(rules, z3.Real("ttl"), z3.Real("cap"), z3.Real("delivery"))
    run.versions = [_create_version(k) for k in range(depth + 1)]
    run.claims = [_create_claim(k) for k in range(depth + 1)]
    run.lifetimes = [
        [
            (z3.Real(f"life.{i}.{n}.start"), z3.Real(f"life.{i}.{n}.end"))
            for n in range(INCARNATIONS)
        ]
        for i in INSTANCES
    ]
    first = run.versions[0]
    constraints = [
        run.ttl > 0,
        run.cap > 0,
        run.delivery >= 0,
        first.effective_at == 0,
        first.epoch == 1,
        first.base == -1,
        first.kind == COORDINATOR_WRITE,
        z3.Not(z3.Or(first.cap_pending)),
        run.claims[0].changed,
        *_constrain_lifetimes(run),
    ]
    if fixed:
        constraints += [
            run.ttl == _to_z3_real(TTL_S),
            run.cap == _to_z3_real(OUTAGE_CAP_S),
            run.delivery == z3.Q(1, 10),
        ]
    for number, version in enumerate(run.versions):
        constraints += _constrain_ranges(version)
        constraints += _constrain_claim(run, number)
        if number:
            constraints += _constrain_entry(run, number)
            constraints += _constrain_write(run, number)
    _add_lifetime_events(run)
    _add_history_events(run)
    return run, constraints


def is_violated(run: Execution, property_name: str, old: int, new: int) -> z3.BoolRef:
    """State that a property is violated for two claims of any holders.

    :param run: the execution
    :param property_name: a name of :data:`PROPERTIES`
    :param old: number of the version that creates the old claim
    :param new: number of the version that creates the new claim
    :return: the condition
    """
    violated_at = z3.Real("violation")
    new_claim = run.claims[new]
    is_new_claim_started = z3.And(
        new_claim.changed, new_claim.started, new_claim.started_at < violated_at
    )
    if property_name == "exclusive":
        is_broken = z3.And(
            is_claim_usable(run, old, "old holder", violated_at, z3.RealVal(0)),
            is_claim_usable(run, new, "new holder", violated_at, z3.RealVal(0)),
        )
        event_text = "VIOLATION: both holders use their claims"
    else:
        is_broken = _is_attempt_running(
            run, old, violated_at, checks_grants=property_name == "grant"
        )
        event_text = "VIOLATION: a request of the old epoch runs after the new start"
    run.events.append((violated_at, z3.BoolVal(True), lambda _: event_text))
    return z3.And(is_new_claim_started, is_broken)


def _create_version_formatter(number: int, version: Version) -> Callable:
    format_writer = _create_instance_formatter(
        version.writer, version.writer_incarnation
    )
    format_holder = _create_instance_formatter(
        version.holder, version.holder_incarnation
    )

    def format_version(evaluate) -> str:
        kinds = ("coordinator", "new incarnation", "registration", "candidate")
        coordinators = [
            f"{INSTANCES[i]}{evaluate(version.incarnation[i])}"
            for i in range(len(INSTANCES))
            if evaluate(version.coordinator[i]) == "True"
        ]
        kind = kinds[int(evaluate(version.kind))]
        by = f" by {format_writer(evaluate)} ({kind})" if number else ""
        return (
            f"store: version {number} takes effect{by}: "
            f"holder {format_holder(evaluate)}, "
            f"epoch {evaluate(version.epoch)}, coordinators {' '.join(coordinators)}"
        )

    return format_version


def _add_claim_events(run: Execution, number: int) -> None:
    claim, version = run.claims[number], run.versions[number]
    format_holder = _create_instance_formatter(
        version.holder, version.holder_incarnation
    )

    def create_formatter(action):
        return lambda evaluate: (
            f"{format_holder(evaluate)}: {action} epoch {evaluate(version.epoch)}"
        )

    started_by_wait = z3.And(claim.started, z3.Not(claim.by_release))
    started_by_release = z3.And(claim.started, claim.by_release)
    run.events += [
        (claim.first_seen_at, claim.started, create_formatter("first sees")),
        (
            claim.started_at,
            started_by_wait,
            create_formatter("starts after waiting on"),
        ),
        (
            claim.started_at,
            started_by_release,
            create_formatter("starts after a release on"),
        ),
        (claim.released_at, claim.released, create_formatter("releases")),
    ]


def _add_lifetime_events(run: Execution) -> None:
    """Add the starts of new incarnations that write to the timeline."""
    for i, incarnations in enumerate(run.lifetimes):
        for n, (start, _) in enumerate(incarnations[1:], 1):
            writes_later = [
                z3.And(v.writer == i, v.writer_incarnation == n)
                for v in run.versions[1:]
            ]
            event_text = (
                f"{INSTANCES[i]}{n}: process starts, {INSTANCES[i]}{n - 1} has ended"
            )
            if not run.rules.single_incarnation:
                event_text = f"{INSTANCES[i]}{n}: process starts"
            run.events.append(
                (
                    start,
                    z3.Or(writes_later),
                    lambda _, event_text=event_text: event_text,
                )
            )


def _add_history_events(run: Execution) -> None:
    """Add the writes and claims to the timeline."""
    for number, version in enumerate(run.versions):
        if number:
            format_writer = _create_instance_formatter(
                version.writer, version.writer_incarnation
            )
            run.events.append(
                (
                    version.started_at,
                    z3.BoolVal(True),
                    lambda evaluate, format_writer=format_writer, number=number: (
                        f"{format_writer(evaluate)}: write of version {number} starts"
                    ),
                )
            )
        format_effect = _create_version_formatter(number, version)
        run.events.append((version.effective_at, z3.BoolVal(True), format_effect))
        _add_claim_events(run, number)


def _format_timeline(run: Execution, model: z3.ModelRef) -> tuple[str, ...]:
    """Return the lines of the events that occur, in the order of time."""

    def evaluate(term) -> str:
        return str(model.eval(term.translate(model.ctx), model_completion=True))

    lines = []
    for order, (time, condition, format_event) in enumerate(run.events):
        if evaluate(condition) == "True":
            exact = model.eval(time.translate(model.ctx), model_completion=True)
            occurred_at = exact.as_fraction()
            lines.append(
                (
                    occurred_at,
                    order,
                    f"{float(occurred_at):12.4f} s  {format_event(evaluate)}",
                )
            )
    return tuple(line for _, _, line in sorted(lines))


def _solve(conditions: list) -> tuple[z3.CheckSatResult, z3.Solver]:
    """Search for values that satisfy all conditions."""
    # z3's search depends on the terms that the context contains, so each query gets its
    # own context.
    context = z3.Context()
    solver = z3.Solver(ctx=context)
    solver.set("random_seed", 0)
    solver.add([condition.translate(context) for condition in conditions])
    return solver.check(), solver


def prove(rules: Rules, property_name: str, depth: int) -> Outcome:
    """Search for an execution with arbitrary durations that violates a property.

    A depth covers all smaller ones: an execution with fewer writes equals one whose
    last writes take effect after the violation.

    :param rules: the rules of the protocol
    :param property_name: a name of :data:`PROPERTIES`
    :param depth: number of writes after the first version
    :return: the result, with a timeline if the property is violated
    """
    unknown = False
    for new in range(1, depth + 1):
        for old in range(new):
            run, conditions = create_execution(rules, depth, fixed=False)
            conditions.append(is_violated(run, property_name, old, new))
            check_result, solver = _solve(conditions)
            if check_result == z3.sat:
                lines = _format_timeline(run, solver.model())
                return Outcome(False, property_name, depth, lines)
            unknown = unknown or check_result == z3.unknown
    return Outcome(None if unknown else True, property_name, depth)


def refute(rules: Rules, property_name: str, depth: int) -> Outcome:
    """Search for the shortest execution in which two holders violate a property.

    :param rules: the rules of the protocol
    :param property_name: a name of :data:`PROPERTIES`
    :param depth: largest number of writes after the first version
    :return: the result, with a timeline if the property is violated
    """
    unknown = False
    for writes in range(1, depth + 1):
        for old in range(writes):
            for new in range(old + 1, writes + 1):
                run, conditions = create_execution(rules, writes, fixed=True)
                conditions.append(is_violated(run, property_name, old, new))
                conditions.append(run.versions[old].holder != run.versions[new].holder)
                check_result, solver = _solve(conditions)
                if check_result == z3.sat:
                    lines = _format_timeline(run, solver.model())
                    return Outcome(False, property_name, writes, lines)
                unknown = unknown or check_result == z3.unknown
    return Outcome(None if unknown else True, property_name, depth)


def _create_witness_conditions(run: Execution, name: str) -> list:
    """Return the conditions for an execution that shows the named behaviour."""
    witness_at = z3.Real("witness")
    first, second = run.versions[0], run.versions[1]
    claim = run.claims[1]
    if name == "held":
        is_past_old_lease = witness_at > second.effective_at + 2 * run.ttl
        is_used = is_claim_usable(run, 0, "old holder", witness_at, z3.RealVal(0))
        return [
            is_used,
            z3.Bool("old holder.held"),
            is_past_old_lease,
            witness_at < claim.started_at,
        ]
    is_used = is_claim_usable(
        run, len(run.versions) - 1, "holder", witness_at, z3.RealVal(0)
    )
    if name == "released":
        is_early_start = claim.started_at < second.effective_at + run.ttl / 10
        move_conditions = [
            first.holder != second.holder,
            claim.by_release,
            is_early_start,
        ]
        return [
            run.claims[0].started,
            is_used,
            z3.Not(z3.Bool("holder.held")),
            *move_conditions,
        ]
    if name == "promised":
        is_long_outage = witness_at > z3.Real("holder.lease.store_begin") + run.cap / 2
        relayed_promise_conditions = [
            z3.Bool("holder.lease.by_promise"),
            z3.Bool("holder.lease.relayed"),
        ]
        return [
            is_used,
            z3.Not(z3.Bool("holder.held")),
            is_long_outage,
            *relayed_promise_conditions,
        ]
    move_conditions = [is_used, run.versions[-1].holder != first.holder]
    if name == "registered":
        last = run.versions[-1]
        return [
            *move_conditions,
            second.kind == REGISTRATION,
            last.kind == CANDIDATE_WRITE,
        ]
    return [*move_conditions, second.kind == REPLACEMENT]


WITNESSES = ("held", "released", "promised", "replaced", "registered")


def find_witness(name: str) -> tuple[str, ...]:
    """Find an execution of the repaired protocol that shows one behaviour.

    Without such an execution the properties could hold only because the rules permit
    too little.

    :param name: a name of :data:`WITNESSES`
    :return: the timeline, empty if the behaviour is impossible
    """
    depth = 2 if name == "registered" else 1
    run, conditions = create_execution(REPAIRED, depth, fixed=True)
    conditions += _create_witness_conditions(run, name)
    check_result, solver = _solve(conditions)
    return _format_timeline(run, solver.model()) if check_result == z3.sat else ()
