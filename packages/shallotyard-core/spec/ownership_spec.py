"""Formal specification of the ownership protocol (docs/design.md, section 3).

An execution is described by the events that matter to one slice: the versions of the
assignment object, the starts and releases of claims, and the proofs, promises and holds
that justify one use of an old claim. Times are real numbers. z3 searches for an
execution that obeys every rule and breaks a safety property. Events outside this list
can only add restrictions, so an unsatisfiable query covers any number of them.
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

COORDINATOR_WRITE = 0
REPLACEMENT = 1
REGISTRATION = 2
CANDIDATE_WRITE = 3

PROPERTIES = ("exclusive", "deadline", "grant")


@dataclass(frozen=True, slots=True)
class Rules:
    """Rules of the protocol; each default is the repaired protocol.

    A registration is the write by which an instance prepares to replace coordinators
    that are all lost. The registrant is a candidate, or at once a coordinator that must
    wait.

    :ivar clock_error: largest relative rate error of one clock
    :ivar wait_before_start: a claim starts after first-sight waiting or a release
    :ivar bounded_attempts: deadlines end with the lease and upstreams compare grants
    :ivar lease_from_read_start: a store proof counts from the start of the read
    :ivar conditional_writes: a write succeeds only on the version it was based on
    :ivar writes_by_coordinators: only coordinators of a version write its successor
    :ivar quiet_after_promise: a coordinator starts no write for TTL x (1 + drift) after
        a promise
    :ivar replacement_waits: a new incarnation waits TTL x (1 + drift) before it
        replaces the old one
    :ivar one_incarnation: two incarnations of one id never run at the same time
    :ivar merge_raises_epoch: removing a hot slice raises the epoch of its slice
    :ivar by_candidate: a registrant is a candidate instead of a coordinator
    :ivar pending_promises: a coordinator with a write of unknown outcome promises for
        the claims that the write leaves unchanged
    :ivar pending_keeps_coordinators: it does so only if the write adds no coordinator
    :ivar proof_names_epoch: a lease rests on a version that names the claim's epoch
    :ivar deadline_on_upstream_clock: deadlines are given on the upstream's clock as
        grants are, instead of as a duration from the arrival of the request
    :ivar unknown_write_blocks_promise: no promise while a write's outcome is unknown
    :ivar read_settles_write: a read of the old version counts as failure of the write
    :ivar introduced_successors: a coordinator that nobody introduced waits the outage
        cap
    :ivar cap_on_promises: promises extend a lease only up to the outage cap
    :ivar cap_with_drift: a registrant's wait includes the drift allowance
    :ivar cap_from_effect: a registrant's wait counts from the reply, not the request
    :ivar cap_survives_restart: a registrant's new incarnation waits the cap as well
    :ivar hold_needs_proof: Hold is bounded by a proof of exactly the next epoch
    :ivar hold_needs_exact_epoch: that proof is not one of a later epoch
    :ivar relay_from_question: a relayed proof counts from the sending of the question
    :ivar release_needs_start: only a started epoch is released
    :ivar release_margin: an unknown outcome stays in flight for the drift allowance and
        the delivery bound after the deadline, or to the end on a checking upstream
    :ivar deadline_margin: an attempt's deadline leaves the delivery bound unused
    :ivar cancel_needs_result: the cancellation answer ``unknown`` settles nothing
    :ivar late_delivery: a request may take up to the delivery bound to arrive
    :ivar grant_drift: a grant's expiry and a deadline on the upstream's clock are
        shortened by the drift allowance
    """

    clock_error: Fraction = PAIRWISE_CLOCK_ERROR
    wait_before_start: bool = True
    bounded_attempts: bool = True
    lease_from_read_start: bool = True
    conditional_writes: bool = True
    writes_by_coordinators: bool = True
    quiet_after_promise: bool = True
    replacement_waits: bool = True
    one_incarnation: bool = True
    merge_raises_epoch: bool = True
    by_candidate: bool = True
    pending_promises: bool = True
    pending_keeps_coordinators: bool = True
    proof_names_epoch: bool = True
    deadline_on_upstream_clock: bool = True
    unknown_write_blocks_promise: bool = True
    read_settles_write: bool = False
    introduced_successors: bool = True
    cap_on_promises: bool = True
    cap_with_drift: bool = True
    cap_from_effect: bool = True
    cap_survives_restart: bool = True
    hold_needs_proof: bool = True
    hold_needs_exact_epoch: bool = True
    relay_from_question: bool = True
    release_needs_start: bool = True
    release_margin: bool = True
    deadline_margin: bool = True
    cancel_needs_result: bool = True
    late_delivery: bool = True
    grant_drift: bool = True


@dataclass(frozen=True, slots=True)
class Variant:
    """A changed rule set and the property it is expected to break.

    :ivar rules: the changed rules
    :ivar property: name of the property in :data:`PROPERTIES`
    :ivar origin: ``removed`` for a rule of the design page taken away, ``as written``
        for the literal text of the page, ``earlier page`` for its text at commit
        ca39f35, ``reading`` for a possible reading of it
    :ivar text: what is changed
    """

    rules: Rules
    property: str
    origin: str
    text: str


REPAIRED = Rules()

VARIANTS = {
    "no-wait": Variant(
        Rules(wait_before_start=False),
        "exclusive",
        "removed",
        "the new holder starts at first sight",
    ),
    "no-fence": Variant(
        Rules(bounded_attempts=False),
        "deadline",
        "removed",
        "upstreams compare no epochs and deadlines are not bounded by the lease",
    ),
    "lease-from-reply": Variant(
        Rules(lease_from_read_start=False),
        "exclusive",
        "removed",
        "the lease counts from the arrival of the store's reply",
    ),
    "two-writers": Variant(
        Rules(conditional_writes=False),
        "exclusive",
        "removed",
        "writes carry no condition, so a former coordinator's write takes effect",
    ),
    "non-steward-write": Variant(
        Rules(writes_by_coordinators=False),
        "exclusive",
        "removed",
        "an instance that is no coordinator writes under the right condition",
    ),
    "promise-with-unknown-write": Variant(
        Rules(unknown_write_blocks_promise=False),
        "exclusive",
        "removed",
        "a coordinator promises while the outcome of its write is unknown",
    ),
    "promise-for-ever": Variant(
        Rules(introduced_successors=False, cap_on_promises=False),
        "exclusive",
        "removed",
        "promises never end and a new coordinator registers itself and waits only TTL",
    ),
    "hold-without-proof": Variant(
        Rules(hold_needs_proof=False),
        "exclusive",
        "removed",
        "Hold has no second bound",
    ),
    "hold-later-epoch": Variant(
        Rules(hold_needs_exact_epoch=False),
        "exclusive",
        "removed",
        "Hold's second bound accepts a proof of any later epoch",
    ),
    "relay-from-answer": Variant(
        Rules(relay_from_question=False),
        "exclusive",
        "removed",
        "the reader's age is subtracted from the arrival of its answer",
    ),
    "release-unstarted": Variant(
        Rules(release_needs_start=False),
        "exclusive",
        "removed",
        "a holder releases an epoch it never started",
    ),
    "no-fence-grant": Variant(
        Rules(bounded_attempts=False),
        "grant",
        "removed",
        "the same as no-fence for an upstream that has the old holder's grant",
    ),
    "grant-without-drift": Variant(
        Rules(grant_drift=False),
        "grant",
        "removed",
        "a grant's expiry has no drift allowance",
    ),
    "cap-without-drift": Variant(
        Rules(cap_with_drift=False),
        "exclusive",
        "as written",
        "a registrant waits the outage cap without a drift allowance",
    ),
    "registrant-restart": Variant(
        Rules(cap_survives_restart=False, by_candidate=False),
        "exclusive",
        "earlier page",
        "a registrant is a coordinator at once and its new incarnation waits only "
        "TTL x (1 + drift)",
    ),
    "late-request": Variant(
        Rules(deadline_on_upstream_clock=False, deadline_margin=False),
        "deadline",
        "earlier page",
        "a request is delayed on its way and the upstream counts its time budget from "
        "arrival",
    ),
    "release-at-deadline": Variant(
        Rules(
            deadline_on_upstream_clock=False, release_margin=False, late_delivery=False
        ),
        "deadline",
        "earlier page",
        "a holder releases when a relative deadline has passed on its own clock",
    ),
    "release-at-deadline-grant": Variant(
        Rules(release_margin=False, late_delivery=False),
        "grant",
        "earlier page",
        "the same for an upstream that checks grants and is not told the new epoch",
    ),
    "pending-adds-steward": Variant(
        Rules(pending_keeps_coordinators=False),
        "exclusive",
        "as written",
        "a coordinator promises although its write of unknown outcome adds another",
    ),
    "deadline-without-drift": Variant(
        Rules(grant_drift=False),
        "deadline",
        "reading",
        "a deadline on the upstream's clock has no drift allowance",
    ),
    "registration-from-send": Variant(
        Rules(cap_from_effect=False),
        "exclusive",
        "reading",
        "a registrant's wait counts from the start of its registration write",
    ),
    "outcome-by-read": Variant(
        Rules(read_settles_write=True),
        "exclusive",
        "reading",
        "a coordinator takes a read of the old version as proof that its write failed",
    ),
    "cancel-unknown": Variant(
        Rules(cancel_needs_result=False),
        "deadline",
        "reading",
        "the answer `unknown` to a cancellation counts as an acknowledgement",
    ),
    "incarnations-overlap": Variant(
        Rules(one_incarnation=False),
        "exclusive",
        "reading",
        "an old process goes on under an id that the platform has given to a new one",
    ),
    "hot-merge": Variant(
        Rules(merge_raises_epoch=False),
        "exclusive",
        "reading",
        "a hot slice is removed and its slice keeps its epoch",
    ),
    "drift-each": Variant(
        Rules(clock_error=DRIFT),
        "exclusive",
        "reading",
        "the drift allowance bounds each clock instead of each pair of clocks",
    ),
}


# Rules that the property does not need: the checks hold without them.
REDUNDANT = {
    "promise-without-quiet": Rules(quiet_after_promise=False),
    "replacement-without-wait": Rules(replacement_waits=False),
    "neither": Rules(quiet_after_promise=False, replacement_waits=False),
    "proof-of-older-version": Rules(proof_names_epoch=False),
}

# Other forms of the repaired protocol: the checks hold for them as well.
ALTERNATIVES = {
    "registrant-is-steward": Rules(by_candidate=False),
    "no-pending-promises": Rules(pending_promises=False),
    "relative-deadlines": Rules(deadline_on_upstream_clock=False),
}


@dataclass(slots=True)
class Version:
    """One version of the assignment object and the write that produced it."""

    start: z3.ArithRef
    effect: z3.ArithRef
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
    """The claim that begins with one version, if that version changes the entry."""

    changed: z3.BoolRef
    first_seen: z3.ArithRef
    started: z3.BoolRef
    start: z3.ArithRef
    by_release: z3.BoolRef
    released: z3.BoolRef
    release: z3.ArithRef


@dataclass(slots=True)
class Proof:
    """Evidence that a version was current, possibly relayed by a reader."""

    version: z3.ArithRef
    begin: z3.ArithRef
    by_promise: z3.BoolRef
    settled: z3.ArithRef
    promise: list[z3.ArithRef]
    relayed: z3.BoolRef
    asked: z3.ArithRef
    received: z3.ArithRef
    store_begin: z3.ArithRef


@dataclass(slots=True)
class Execution:
    """Variables and constraints of one execution.

    :ivar rules: the rules it obeys
    :ivar versions: versions by number
    :ivar claims: claims by the number of the version that begins them
    :ivar life: start and end of each incarnation, by instance and incarnation
    :ivar ttl: lease length
    :ivar cap: outage cap
    :ivar delivery: longest time from the socket write to the upstream's start
    :ivar events: printed timeline: time, condition and description of each event
    """

    rules: Rules
    ttl: z3.ArithRef
    cap: z3.ArithRef
    delivery: z3.ArithRef
    versions: list[Version] = field(default_factory=list)
    claims: list[Claim] = field(default_factory=list)
    life: list[list[tuple[z3.ArithRef, z3.ArithRef]]] = field(default_factory=list)
    events: list[tuple[z3.ArithRef, z3.BoolRef, Callable]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Outcome:
    """Verdict of one check.

    :ivar holds: True if no execution breaks the property, None if z3 gave up
    :ivar property: name of the property
    :ivar depth: number of writes of the executions searched, or of the one found
    :ivar timeline: lines of the counterexample
    """

    holds: bool | None
    property: str
    depth: int
    timeline: tuple[str, ...] = ()


def _real(value: Fraction) -> z3.RatNumRef:
    return z3.Q(value.numerator, value.denominator)


def _pick(values: list, index: z3.ArithRef):
    chosen = values[-1]
    for position in range(len(values) - 2, -1, -1):
        chosen = z3.If(index == position, values[position], chosen)
    return chosen


def _elapsed_at_least(run: Execution, begin, end, amount) -> z3.BoolRef:
    """``amount`` has passed on a clock that may be as fast as the bound allows."""
    return _real(1 + run.rules.clock_error) * (end - begin) >= amount


def _elapsed_at_most(run: Execution, begin, end, amount) -> z3.BoolRef:
    """``amount`` has not passed on a clock that may be as slow as the bound allows."""
    return _real(1 - run.rules.clock_error) * (end - begin) <= amount


def _with_drift(amount) -> z3.ArithRef:
    return _real(1 + DRIFT) * amount


def _alive(run: Execution, instance, incarnation, time) -> z3.BoolRef:
    return z3.And(
        [
            z3.Implies(
                z3.And(instance == i, incarnation == n), z3.And(s <= time, time <= e)
            )
            for i, lives in enumerate(run.life)
            for n, (s, e) in enumerate(lives)
        ]
    )


def _listed(version: Version, instance, incarnation) -> z3.BoolRef:
    return z3.And(
        _pick(version.coordinator, instance),
        _pick(version.incarnation, instance) == incarnation,
    )


def _new_version(number: int) -> Version:
    name = f"v{number}"
    return Version(
        start=z3.Real(f"{name}.start"),
        effect=z3.Real(f"{name}.effect"),
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


def _new_claim(number: int) -> Claim:
    name = f"c{number}"
    return Claim(
        changed=z3.Bool(f"{name}.changed"),
        first_seen=z3.Real(f"{name}.first_seen"),
        started=z3.Bool(f"{name}.started"),
        start=z3.Real(f"{name}.start"),
        by_release=z3.Bool(f"{name}.by_release"),
        released=z3.Bool(f"{name}.released"),
        release=z3.Real(f"{name}.release"),
    )


def _domains(version: Version) -> list:
    count = z3.Sum([z3.If(coordinator, 1, 0) for coordinator in version.coordinator])
    small = [version.writer_incarnation, version.holder_incarnation]
    small += version.incarnation
    return [
        z3.And(version.writer >= 0, version.writer < len(INSTANCES)),
        z3.And(version.holder >= 0, version.holder < len(INSTANCES)),
        z3.And([z3.And(n >= 0, n < INCARNATIONS) for n in small]),
        z3.And(count >= 1, count <= MAX_COORDINATORS),
        version.start <= version.effect,
    ]


def _lives(run: Execution) -> list:
    rules = []
    for lives in run.life:
        rules += [start < end for start, end in lives]
        if run.rules.one_incarnation:
            # Two incarnations of one id cannot run at one address.
            rules += [a[1] <= b[0] for a, b in pairwise(lives)]
    return rules


def _same_entry(old: Version, new: Version) -> z3.BoolRef:
    return z3.And(
        new.epoch == old.epoch,
        new.holder == old.holder,
        new.holder_incarnation == old.holder_incarnation,
    )


def _entry_rules(run: Execution, number: int) -> list:
    old, new = run.versions[number - 1], run.versions[number]
    same = _same_entry(old, new)
    if not run.rules.merge_raises_epoch:
        same = z3.Or([_same_entry(v, new) for v in run.versions[:number]])
    # An epoch may skip a number, so "the epoch just before" need not exist.
    higher = z3.And(new.epoch > old.epoch, new.epoch <= old.epoch + 2)
    started = [
        z3.Implies(
            z3.And(new.coordinator[i], new.incarnation[i] == n),
            run.life[i][n][0] <= new.start,
        )
        for i in range(len(INSTANCES))
        for n in range(INCARNATIONS)
    ]
    return [
        z3.Or(same, higher),
        run.claims[number].changed == (new.epoch > old.epoch),
        new.effect > old.effect,
        z3.And(started),
        _alive(run, new.writer, new.writer_incarnation, new.start),
    ]


def _coordinator_write(run: Execution, base: Version, new: Version) -> z3.BoolRef:
    settled = z3.Not(z3.Or(new.cap_pending))
    if not run.rules.writes_by_coordinators:
        return settled
    return z3.And(_listed(base, new.writer, new.writer_incarnation), settled)


def _cap_wait(run: Execution) -> z3.ArithRef:
    if not run.rules.introduced_successors:
        return _with_drift(run.ttl)
    return _with_drift(run.cap) if run.rules.cap_with_drift else run.cap


def _replacement(run: Execution, number: int, base: Version) -> z3.BoolRef:
    new = run.versions[number]
    rules = [
        _pick(base.coordinator, new.writer),
        _pick(base.incarnation, new.writer) < new.writer_incarnation,
        z3.Not(z3.Or(new.cap_pending)),
        _listed(new, new.writer, new.writer_incarnation),
    ]
    wait = _with_drift(run.ttl) if run.rules.replacement_waits else 0
    for i, lives in enumerate(run.life):
        for n, (start, _) in enumerate(lives):
            rules.append(
                z3.Implies(
                    z3.And(new.writer == i, new.writer_incarnation == n),
                    _elapsed_at_least(run, start, new.start, wait),
                )
            )
    if run.rules.cap_survives_restart and run.rules.introduced_successors:
        # The wait counts from the first sight of the registration: that write can take
        # effect after the new incarnation has started.
        rules += [
            z3.Implies(
                z3.And(
                    _pick(base.cap_pending, new.writer),
                    earlier.kind == REGISTRATION,
                    earlier.writer == new.writer,
                ),
                _elapsed_at_least(run, earlier.effect, new.start, _cap_wait(run)),
            )
            for earlier in run.versions[1:number]
        ]
    return z3.And(rules)


def _candidacy(base: Version, new: Version) -> z3.BoolRef:
    """State that a write changes nothing but the candidate."""
    return z3.And(
        z3.Not(_pick(base.coordinator, new.writer)),
        z3.And(
            [a == b for a, b in zip(base.coordinator, new.coordinator, strict=True)]
        ),
        z3.And(
            [a == b for a, b in zip(base.incarnation, new.incarnation, strict=True)]
        ),
        _same_entry(base, new),
        z3.Not(z3.Or(new.cap_pending)),
    )


def _candidate_write(run: Execution, base: Version, new: Version) -> z3.BoolRef:
    begin = base.effect if run.rules.cap_from_effect else base.start
    return z3.And(
        z3.BoolVal(run.rules.by_candidate),
        base.kind == REGISTRATION,
        base.writer == new.writer,
        base.writer_incarnation == new.writer_incarnation,
        _elapsed_at_least(run, begin, new.start, _cap_wait(run)),
        z3.Not(z3.Or(new.cap_pending)),
    )


def _registration(run: Execution, base: Version, new: Version) -> z3.BoolRef:
    if run.rules.by_candidate:
        return _candidacy(base, new)
    kept = [
        z3.Implies(
            z3.And(new.coordinator[i], new.writer != i),
            z3.And(base.coordinator[i], base.incarnation[i] == new.incarnation[i]),
        )
        for i in range(len(INSTANCES))
    ]
    pending = [
        new.cap_pending[i] == z3.Or(new.writer == i, base.cap_pending[i])
        for i in range(len(INSTANCES))
    ]
    return z3.And(
        z3.Not(_pick(base.coordinator, new.writer)),
        _listed(new, new.writer, new.writer_incarnation),
        new.epoch == base.epoch,
        z3.And(pending),
        z3.And(kept),
    )


def _registrant_waits(run: Execution, number: int) -> list:
    """Keep a registrant from other writes for the outage cap."""
    new = run.versions[number]
    rules = []
    # A candidate that is no coordinator is kept from other writes by its kind of write.
    earlier_versions = [] if run.rules.by_candidate else run.versions[1:number]
    for earlier in earlier_versions:
        begin = earlier.effect if run.rules.cap_from_effect else earlier.start
        same = z3.And(
            earlier.kind == REGISTRATION,
            earlier.writer == new.writer,
            earlier.writer_incarnation == new.writer_incarnation,
        )
        wait = _elapsed_at_least(run, begin, new.start, _cap_wait(run))
        rules.append(z3.Implies(same, wait))
    return rules


def _write_rules(run: Execution, number: int) -> list:
    new = run.versions[number]
    choices = []
    for index, base in enumerate(run.versions[:number]):
        allowed = z3.Or(
            z3.And(new.kind == COORDINATOR_WRITE, _coordinator_write(run, base, new)),
            z3.And(new.kind == REPLACEMENT, _replacement(run, number, base)),
            z3.And(new.kind == REGISTRATION, _registration(run, base, new)),
            z3.And(new.kind == CANDIDATE_WRITE, _candidate_write(run, base, new)),
        )
        choices.append(z3.And(new.base == index, new.start >= base.effect, allowed))
    rules = [z3.Or(choices), *_registrant_waits(run, number)]
    if run.rules.conditional_writes:
        rules.append(new.base == number - 1)
    return rules


def _started_by_release(run: Execution, number: int) -> z3.BoolRef:
    claim, version = run.claims[number], run.versions[number]
    return z3.Or(
        [
            z3.And(
                old.changed,
                old.released,
                run.versions[index].epoch == version.epoch - 1,
                old.release <= claim.start,
            )
            for index, old in enumerate(run.claims[:number])
        ]
    )


def _claim_rules(run: Execution, number: int) -> list:
    claim, version = run.claims[number], run.versions[number]
    holder = (version.holder, version.holder_incarnation)
    wait = _with_drift(run.ttl) if run.rules.wait_before_start else 0
    # The holder of the first version starts freely: nobody held the slice before.
    waited = _elapsed_at_least(run, claim.first_seen, claim.start, wait)
    by_wait = z3.BoolVal(True) if number == 0 else waited
    began = z3.And(
        claim.changed,
        claim.start >= claim.first_seen,
        _alive(run, *holder, claim.first_seen),
        _alive(run, *holder, claim.start),
        z3.If(claim.by_release, _started_by_release(run, number), by_wait),
    )
    may_release = [claim.changed, _alive(run, *holder, claim.release)]
    may_release.append(claim.release >= version.effect)
    if run.rules.release_needs_start:
        may_release += [claim.started, claim.release >= claim.start]
    return [
        claim.first_seen >= version.effect,
        z3.Implies(claim.started, began),
        z3.Implies(claim.released, z3.And(may_release)),
        # A claim that never started is used by nobody, so nothing is released twice.
        z3.Implies(z3.And(claim.started, claim.released), claim.release >= claim.start),
    ]


def _promise_binds(
    run: Execution, instance: int, version, promised, read
) -> z3.BoolRef:
    """State what a promise excludes among the writes of its coordinator."""
    rules = []
    incarnation = _pick([v.incarnation[instance] for v in run.versions], version)
    wait = _with_drift(run.ttl) if run.rules.quiet_after_promise else 0
    for number, later in enumerate(run.versions):
        quiet = _elapsed_at_least(run, promised, later.start, wait)
        started = later.start <= promised
        allowed = [z3.And(later.start >= promised, quiet)]
        if not run.rules.unknown_write_blocks_promise:
            allowed.append(started)
        if run.rules.pending_promises and number:
            pending = z3.And(version == number - 1, _pending_unrelated(run, number))
            allowed.append(z3.And(started, pending))
        if run.rules.read_settles_write:
            settled = z3.And(later.start <= read, read < later.effect, read <= promised)
            allowed.append(z3.And(started, settled))
        # A promise for an older version than the write's base is never given: the
        # coordinator knows the base.
        own = z3.And(
            later.writer == instance,
            later.writer_incarnation == incarnation,
            version < number,
        )
        rules.append(z3.Implies(own, z3.Or(allowed)))
    return z3.And(rules)


def _pending_unrelated(run: Execution, number: int) -> z3.BoolRef:
    """State that a write of unknown outcome leaves the claim as it is."""
    base, pending = run.versions[number - 1], run.versions[number]
    rules = [_same_entry(base, pending)]
    if run.rules.pending_keeps_coordinators:
        rules += [
            z3.Implies(
                pending.coordinator[i],
                z3.And(
                    base.coordinator[i], base.incarnation[i] == pending.incarnation[i]
                ),
            )
            for i in range(len(INSTANCES))
        ]
    return z3.And(rules)


def _store_proof(run: Execution, proof: Proof) -> z3.BoolRef:
    """State that the version was current at some time after the read began."""
    effects = [v.effect for v in run.versions]
    last = len(run.versions) - 1
    return z3.And(
        proof.begin <= proof.settled,
        _pick(effects, proof.version) <= proof.settled,
        z3.Or(
            proof.version == last,
            proof.settled < _pick([*effects[1:], effects[-1]], proof.version),
        ),
    )


def _promise_proof(run: Execution, proof: Proof, name: str) -> z3.BoolRef:
    effects = [v.effect for v in run.versions]
    last = len(run.versions) - 1
    rules = []
    for i, promised in enumerate(proof.promise):
        listed = _pick([v.coordinator[i] for v in run.versions], proof.version)
        incarnation = _pick([v.incarnation[i] for v in run.versions], proof.version)
        given = z3.And(
            proof.begin <= promised,
            promised <= proof.settled,
            promised >= _pick(effects, proof.version),
            _alive(run, z3.IntVal(i), incarnation, promised),
            _promise_binds(
                run, i, proof.version, promised, z3.Real(f"{name}.read.{i}")
            ),
        )
        rules.append(z3.Implies(listed, given))
    if run.rules.by_candidate:
        kinds = [v.kind for v in run.versions]
        rules.append(_pick(kinds, proof.version) != REGISTRATION)
    if run.rules.cap_on_promises:
        # The last store proof returned this version or an older one.
        rules += [
            z3.Or(
                proof.version == last,
                proof.store_begin < _pick([*effects[1:], effects[-1]], proof.version),
            ),
            _elapsed_at_most(run, proof.store_begin, proof.begin, run.cap),
        ]
    return z3.And(rules)


def _lease_runs(run: Execution, proof: Proof, time, rest) -> z3.BoolRef:
    """State that ``rest`` of the lease remains at ``time`` on the holder's clock."""
    slowest = _real(1 - run.rules.clock_error)
    begin = proof.begin
    if not run.rules.lease_from_read_start:
        # Any arrival of the reply after the version was current.
        begin = z3.If(proof.by_promise, proof.begin, proof.asked)
        reply = z3.Implies(z3.Not(proof.by_promise), proof.asked >= proof.settled)
        return z3.And(reply, slowest * (time - begin) + rest <= run.ttl)
    direct = slowest * (time - begin) + rest <= run.ttl
    age = slowest * (proof.received - begin)
    in_order = proof.asked <= proof.received
    if not run.rules.relay_from_question:
        in_order = z3.And(proof.received <= proof.asked, proof.asked <= time)
    relayed = z3.And(
        in_order,
        proof.settled <= proof.received,
        proof.received <= time,
        slowest * (time - proof.asked) + age + rest <= run.ttl,
    )
    return z3.If(proof.relayed, relayed, direct)


def add_proof(run: Execution, name: str, time, rest) -> tuple[Proof, z3.BoolRef]:
    """Describe a proof whose lease has ``rest`` left at ``time``.

    :param run: the execution
    :param name: prefix of the variables
    :param time: when the lease is used, s
    :param rest: what must remain of the lease on the holder's clock, s
    :returns: the proof and the condition that makes it valid
    """
    proof = Proof(
        version=z3.Int(f"{name}.version"),
        begin=z3.Real(f"{name}.begin"),
        by_promise=z3.Bool(f"{name}.by_promise"),
        settled=z3.Real(f"{name}.settled"),
        promise=[z3.Real(f"{name}.promise.{i}") for i in INSTANCES],
        relayed=z3.Bool(f"{name}.relayed"),
        asked=z3.Real(f"{name}.asked"),
        received=z3.Real(f"{name}.received"),
        store_begin=z3.Real(f"{name}.store_begin"),
    )
    evidence = z3.If(
        proof.by_promise, _promise_proof(run, proof, name), _store_proof(run, proof)
    )
    return proof, z3.And(
        proof.version >= 0,
        proof.version < len(run.versions),
        proof.settled <= time,
        evidence,
        _lease_runs(run, proof, time, rest),
    )


def _who(instance, incarnation) -> Callable:
    return lambda value: f"{INSTANCES[int(value(instance))]}{value(incarnation)}"


def _describe_proof(run: Execution, proof: Proof, name: str, when) -> None:
    def text(kind):
        return lambda value: f"{name}: {kind} of version {value(proof.version)}"

    relayed = z3.And(when, proof.relayed, z3.BoolVal(run.rules.lease_from_read_start))
    question = "asks a reader for its proof"
    if not run.rules.relay_from_question:
        question = "the reader's answer arrives"
    run.events += [
        (proof.asked, relayed, lambda _: f"{name}: {question}"),
        (proof.received, relayed, lambda _: f"{name}: the reader gets the question"),
    ]
    stored = z3.And(when, z3.Not(proof.by_promise))
    promised = z3.And(when, proof.by_promise)
    run.events += [
        (proof.begin, stored, text("store read begins")),
        (proof.settled, stored, text("store answers the read")),
        (proof.begin, promised, text("round of promises begins")),
    ]
    if run.rules.cap_on_promises:
        run.events.append(
            (proof.store_begin, promised, text("last store proof before that"))
        )
    if not run.rules.lease_from_read_start:
        run.events.append((proof.asked, stored, text("reply with the proof arrives")))
    for i, time in enumerate(proof.promise):
        listed = _pick([v.coordinator[i] for v in run.versions], proof.version)
        label = text(f"promise by steward {INSTANCES[i]}")
        run.events.append((time, z3.And(promised, listed), label))


def use_of_claim(run: Execution, number: int, name: str, time, rest) -> z3.BoolRef:
    """Say when the holder of a claim may use it.

    :param run: the execution
    :param number: number of the version that begins the claim
    :param name: prefix of the variables
    :param time: when it is used, s
    :param rest: what must remain of the lease or the Hold on the holder's clock, s
    :returns: the condition
    """
    claim, version = run.claims[number], run.versions[number]
    epochs = [v.epoch for v in run.versions]
    lease, lease_valid = add_proof(run, f"{name}.lease", time, rest)
    bound, bound_valid = add_proof(run, f"{name}.bound", time, rest)
    held = z3.Bool(f"{name}.held")
    sent, acked = z3.Real(f"{name}.hold_sent"), z3.Real(f"{name}.hold_acked")
    named = _pick(epochs, lease.version)
    if run.rules.proof_names_epoch:
        by_lease = z3.And(lease_valid, named == version.epoch)
    else:
        by_lease = z3.And(lease_valid, named <= version.epoch)
    slowest = _real(1 - run.rules.clock_error)
    by_hold = [
        _held_by_next(run, number, sent, acked),
        acked <= time,
        slowest * (time - sent) + rest <= run.ttl,
    ]
    if run.rules.hold_needs_proof:
        proved = _pick(epochs, bound.version)
        next_epoch = proved == version.epoch + 1
        if not run.rules.hold_needs_exact_epoch:
            next_epoch = proved > version.epoch
        by_hold += [bound_valid, next_epoch]
        _describe_proof(run, bound, f"{name}, bound of Hold", held)
    _describe_proof(run, lease, f"{name}, lease", z3.Not(held))
    run.events += [
        (sent, held, lambda _: f"{name}: Hold is sent to the next holder"),
        (acked, held, lambda _: f"{name}: the next holder acknowledges Hold"),
    ]
    return z3.And(
        claim.changed,
        claim.started,
        claim.start <= time,
        _alive(run, version.holder, version.holder_incarnation, time),
        z3.Implies(claim.released, time <= claim.release),
        z3.If(held, z3.And(by_hold), by_lease),
    )


def _held_by_next(run: Execution, number: int, sent, acked) -> z3.BoolRef:
    """State that the next epoch's holder accepted a Hold and postponed its start."""
    choices = []
    for later in range(number + 1, len(run.versions)):
        claim, version = run.claims[later], run.versions[later]
        waited = _elapsed_at_least(run, acked, claim.start, _with_drift(run.ttl))
        postponed = z3.And(acked < claim.start, z3.Or(claim.by_release, waited))
        choices.append(
            z3.And(
                claim.changed,
                version.epoch == run.versions[number].epoch + 1,
                sent >= version.effect,
                acked >= sent,
                acked >= claim.first_seen,
                _alive(run, version.holder, version.holder_incarnation, acked),
                z3.Implies(claim.started, postponed),
            )
        )
    return z3.Or(choices)


def _attempt(run: Execution, number: int, running, checked: bool) -> z3.BoolRef:
    """State that an attempt sent under a claim runs on the upstream at ``running``."""
    claim = run.claims[number]
    sent, arrived = z3.Real("attempt.sent"), z3.Real("attempt.arrived")
    rest = z3.Real("attempt.rest")
    rules = [
        use_of_claim(run, number, "old holder", sent, rest),
        rest >= 0,
        sent <= arrived,
        arrived <= running,
        z3.Implies(claim.released, _in_flight_over(run, claim, checked, running)),
    ]
    if run.rules.bounded_attempts:
        rules.append(_deadline_kept(run, running, checked))
        if checked:
            rules.append(_grant_valid(run, number, running))
    run.events += [
        (sent, z3.BoolVal(True), lambda _: "old holder: request is sent"),
        (
            arrived,
            z3.BoolVal(True),
            lambda _: "upstream: request of the old epoch starts",
        ),
        (
            running,
            z3.BoolVal(True),
            lambda _: "upstream: request of the old epoch runs",
        ),
    ]
    return z3.And(rules)


def _deadline_kept(run: Execution, running, checked: bool) -> z3.BoolRef:
    """State that the upstream has not reached the attempt's deadline.

    The deadline of an attempt on an upstream that checks grants may lie beyond the
    lease: the grant bounds it.
    """
    sent, arrived = z3.Real("attempt.sent"), z3.Real("attempt.arrived")
    rest, budget = z3.Real("attempt.rest"), z3.Real("attempt.budget")
    rules = [budget >= 0]
    if run.rules.deadline_on_upstream_clock and not checked:
        answered, heard = z3.Real("clock.answered"), z3.Real("clock.heard")
        rules += [
            answered <= heard,
            heard <= sent,
            budget <= rest,
            _not_expired(run, answered, heard, sent, budget, running),
        ]
        run.events += [
            (answered, z3.BoolVal(True), lambda _: "upstream: tells its clock"),
            (
                heard,
                z3.BoolVal(True),
                lambda _: "old holder: hears the upstream's clock",
            ),
        ]
        return z3.And(rules)
    rules.append(_elapsed_at_most(run, arrived, running, budget))
    delay = run.delivery if run.rules.late_delivery else z3.RealVal(0)
    if not checked:
        margin = delay if run.rules.deadline_margin else 0
        rules += [arrived - sent <= delay, budget + margin <= rest]
    elif not run.rules.late_delivery:
        rules.append(arrived - sent <= delay)
    return z3.And(rules)


def _not_expired(run: Execution, answered, heard, now, rest, time) -> z3.BoolRef:
    """State that an end set on the upstream's clock has not come at ``time``.

    :param run: the execution
    :param answered: when the upstream told its clock, s
    :param heard: when the holder heard it, s
    :param now: when the holder computes the end, s
    :param rest: time from ``now`` to the end on the holder's clock, s
    :param time: time in question, s
    :returns: the condition
    """
    fastest = _real(1 + run.rules.clock_error)
    shorter = _real(1 - DRIFT) if run.rules.grant_drift else 1
    length = (rest + fastest * (now - heard)) * shorter
    return _elapsed_at_most(run, answered, time, length)


def _in_flight_over(run: Execution, claim: Claim, checked: bool, running) -> z3.BoolRef:
    """State when the previous holder may take an attempt as no longer in flight."""
    sent, budget = z3.Real("attempt.sent"), z3.Real("attempt.budget")
    known = running <= claim.release
    if not run.rules.cancel_needs_result:
        # The cancellation overtook the request, which is still on its way.
        return z3.Or(known, claim.release < z3.Real("attempt.arrived"))
    if checked and run.rules.release_margin:
        # The holder revokes the grant or waits for its expiry.
        granted, rest = z3.Real("grant.sent"), z3.Real("grant.rest")
        return z3.Or(known, _elapsed_at_least(run, granted, claim.release, rest))
    wait = budget
    if run.rules.release_margin and not run.rules.deadline_on_upstream_clock:
        wait = _with_drift(budget + run.delivery)
    return z3.Or(known, _elapsed_at_least(run, sent, claim.release, wait))


def _grant_valid(run: Execution, number: int, time) -> z3.BoolRef:
    """State that a grant of the old epoch has not expired on the upstream's clock."""
    answered, heard = z3.Real("grant.answered"), z3.Real("grant.heard")
    granted, rest = z3.Real("grant.sent"), z3.Real("grant.rest")
    run.events += [
        (answered, z3.BoolVal(True), lambda _: "upstream: tells its clock"),
        (heard, z3.BoolVal(True), lambda _: "old holder: hears the upstream's clock"),
        (granted, z3.BoolVal(True), lambda _: "old holder: sends a grant"),
    ]
    return z3.And(
        use_of_claim(run, number, "old grant", granted, rest),
        rest >= 0,
        answered <= heard,
        heard <= granted,
        granted <= time,
        _not_expired(run, answered, heard, granted, rest, time),
    )


def new_execution(rules: Rules, depth: int, fixed: bool) -> tuple[Execution, list]:
    """Describe all executions with a given number of writes.

    :param rules: the rules of the protocol
    :param depth: number of writes after the first version
    :param fixed: use the design page's durations instead of arbitrary ones
    :returns: the execution and its constraints
    """
    run = Execution(rules, z3.Real("ttl"), z3.Real("cap"), z3.Real("delivery"))
    run.versions = [_new_version(k) for k in range(depth + 1)]
    run.claims = [_new_claim(k) for k in range(depth + 1)]
    run.life = [
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
        first.effect == 0,
        first.epoch == 1,
        first.base == -1,
        first.kind == COORDINATOR_WRITE,
        z3.Not(z3.Or(first.cap_pending)),
        run.claims[0].changed,
        *_lives(run),
    ]
    if fixed:
        constraints += [
            run.ttl == _real(TTL_S),
            run.cap == _real(OUTAGE_CAP_S),
            run.delivery == z3.Q(1, 10),
        ]
    for number, version in enumerate(run.versions):
        constraints += _domains(version)
        constraints += _claim_rules(run, number)
        if number:
            constraints += _entry_rules(run, number)
            constraints += _write_rules(run, number)
    _describe_lives(run)
    _describe_history(run)
    return run, constraints


def violation(run: Execution, prop: str, old: int, new: int) -> z3.BoolRef:
    """Say that a property is broken for two claims of any holders.

    :param run: the execution
    :param prop: a name of :data:`PROPERTIES`
    :param old: number of the version that begins the old claim
    :param new: number of the version that begins the new claim
    :returns: the condition
    """
    time = z3.Real("violation")
    later = run.claims[new]
    started = z3.And(later.changed, later.started, later.start < time)
    if prop == "exclusive":
        broken = z3.And(
            use_of_claim(run, old, "old holder", time, z3.RealVal(0)),
            use_of_claim(run, new, "new holder", time, z3.RealVal(0)),
        )
        text = "VIOLATION: both holders use their claims"
    else:
        broken = _attempt(run, old, time, checked=prop == "grant")
        text = "VIOLATION: a request of the old epoch runs after the new start"
    run.events.append((time, z3.BoolVal(True), lambda _: text))
    return z3.And(started, broken)


def _describe_version(number: int, version: Version) -> Callable:
    who_wrote = _who(version.writer, version.writer_incarnation)
    who_holds = _who(version.holder, version.holder_incarnation)

    def text(value) -> str:
        kinds = ("steward", "new incarnation", "registration", "candidate")
        coordinators = [
            f"{INSTANCES[i]}{value(version.incarnation[i])}"
            for i in range(len(INSTANCES))
            if value(version.coordinator[i]) == "True"
        ]
        kind = kinds[int(value(version.kind))]
        by = f" by {who_wrote(value)} ({kind})" if number else ""
        return (
            f"store: version {number} takes effect{by}: holder {who_holds(value)}, "
            f"epoch {value(version.epoch)}, stewards {' '.join(coordinators)}"
        )

    return text


def _describe_claim(run: Execution, number: int) -> None:
    claim, version = run.claims[number], run.versions[number]
    who = _who(version.holder, version.holder_incarnation)

    def text(action):
        return lambda value: f"{who(value)}: {action} epoch {value(version.epoch)}"

    waited = z3.And(claim.started, z3.Not(claim.by_release))
    released = z3.And(claim.started, claim.by_release)
    run.events += [
        (claim.first_seen, claim.started, text("first sees")),
        (claim.start, waited, text("starts after waiting on")),
        (claim.start, released, text("starts after a release on")),
        (claim.release, claim.released, text("releases")),
    ]


def _describe_lives(run: Execution) -> None:
    for i, lives in enumerate(run.life):
        for n, (start, _) in enumerate(lives[1:], 1):
            later = [
                z3.And(v.writer == i, v.writer_incarnation == n)
                for v in run.versions[1:]
            ]
            name = f"{INSTANCES[i]}{n}: process starts, {INSTANCES[i]}{n - 1} has ended"
            if not run.rules.one_incarnation:
                name = f"{INSTANCES[i]}{n}: process starts"
            run.events.append((start, z3.Or(later), lambda _, name=name: name))


def _describe_history(run: Execution) -> None:
    for number, version in enumerate(run.versions):
        if number:
            who = _who(version.writer, version.writer_incarnation)
            run.events.append(
                (
                    version.start,
                    z3.BoolVal(True),
                    lambda value, who=who, number=number: (
                        f"{who(value)}: write of version {number} starts"
                    ),
                )
            )
        effect = _describe_version(number, version)
        run.events.append((version.effect, z3.BoolVal(True), effect))
        _describe_claim(run, number)


def _timeline(run: Execution, model: z3.ModelRef) -> tuple[str, ...]:
    def value(term) -> str:
        return str(model.eval(term.translate(model.ctx), model_completion=True))

    lines = []
    for order, (time, condition, text) in enumerate(run.events):
        if value(condition) == "True":
            exact = model.eval(time.translate(model.ctx), model_completion=True)
            at = exact.as_fraction()
            lines.append((at, order, f"{float(at):12.4f} s  {text(value)}"))
    return tuple(line for _, _, line in sorted(lines))


def _search(conditions: list) -> tuple[z3.CheckSatResult, z3.Solver]:
    # The search depends on the terms that a context already holds, so each query gets
    # a context of its own.
    context = z3.Context()
    solver = z3.Solver(ctx=context)
    solver.set("random_seed", 0)
    solver.add([condition.translate(context) for condition in conditions])
    return solver.check(), solver


def prove(rules: Rules, prop: str, depth: int) -> Outcome:
    """Search for an execution of any durations that breaks a property.

    An execution with fewer writes is one whose last writes take effect after the
    violation, so one depth covers all smaller ones.

    :param rules: the rules of the protocol
    :param prop: a name of :data:`PROPERTIES`
    :param depth: number of writes after the first version
    :returns: the verdict, with a timeline if the property is broken
    """
    unknown = False
    for new in range(1, depth + 1):
        for old in range(new):
            run, conditions = new_execution(rules, depth, fixed=False)
            conditions.append(violation(run, prop, old, new))
            answer, solver = _search(conditions)
            if answer == z3.sat:
                lines = _timeline(run, solver.model())
                return Outcome(False, prop, depth, lines)
            unknown = unknown or answer == z3.unknown
    return Outcome(None if unknown else True, prop, depth)


def refute(rules: Rules, prop: str, depth: int) -> Outcome:
    """Search for the shortest execution in which different holders break a property.

    :param rules: the rules of the protocol
    :param prop: a name of :data:`PROPERTIES`
    :param depth: largest number of writes after the first version
    :returns: the verdict, with a timeline if the property is broken
    """
    unknown = False
    for writes in range(1, depth + 1):
        for old in range(writes):
            for new in range(old + 1, writes + 1):
                run, conditions = new_execution(rules, writes, fixed=True)
                conditions.append(violation(run, prop, old, new))
                conditions.append(run.versions[old].holder != run.versions[new].holder)
                answer, solver = _search(conditions)
                if answer == z3.sat:
                    lines = _timeline(run, solver.model())
                    return Outcome(False, prop, writes, lines)
                unknown = unknown or answer == z3.unknown
    return Outcome(None if unknown else True, prop, depth)


def _witness_conditions(run: Execution, name: str) -> list:
    """Describe one behaviour that the rules must leave possible."""
    time = z3.Real("witness")
    first, second = run.versions[0], run.versions[1]
    claim = run.claims[1]
    if name == "held":
        lapsed = time > second.effect + 2 * run.ttl
        used = use_of_claim(run, 0, "old holder", time, z3.RealVal(0))
        return [used, z3.Bool("old holder.held"), lapsed, time < claim.start]
    used = use_of_claim(run, len(run.versions) - 1, "holder", time, z3.RealVal(0))
    if name == "released":
        soon = claim.start < second.effect + run.ttl / 10
        moved = [first.holder != second.holder, claim.by_release, soon]
        return [run.claims[0].started, used, z3.Not(z3.Bool("holder.held")), *moved]
    if name == "promised":
        long = time > z3.Real("holder.lease.store_begin") + run.cap / 2
        promised = [z3.Bool("holder.lease.by_promise"), z3.Bool("holder.lease.relayed")]
        return [used, z3.Not(z3.Bool("holder.held")), long, *promised]
    moved = [used, run.versions[-1].holder != first.holder]
    if name == "registered":
        last = run.versions[-1]
        return [*moved, second.kind == REGISTRATION, last.kind == CANDIDATE_WRITE]
    return [*moved, second.kind == REPLACEMENT]


WITNESSES = ("held", "released", "promised", "replaced", "registered")


def witness(name: str) -> tuple[str, ...]:
    """Find an execution of the repaired protocol that shows one behaviour.

    It guards against rules so strict that the properties hold for want of executions.

    :param name: a name of :data:`WITNESSES`
    :returns: the timeline, empty if the behaviour is impossible
    """
    depth = 2 if name == "registered" else 1
    run, conditions = new_execution(REPAIRED, depth, fixed=True)
    conditions += _witness_conditions(run, name)
    answer, solver = _search(conditions)
    return _timeline(run, solver.model()) if answer == z3.sat else ()
