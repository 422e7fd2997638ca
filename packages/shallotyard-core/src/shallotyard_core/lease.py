"""Claims of this instance, and the lease that permits their use."""

from dataclasses import dataclass
from dataclasses import field

from shallotyard_core.assignment import SPLIT_MARKER
from shallotyard_core.assignment import build_upstream_claim_id
from shallotyard_core.assignment import decode_table
from shallotyard_core.timing import LEASE_TTL_S
from shallotyard_core.timing import OUTAGE_CAP_S
from shallotyard_core.timing import TAKEOVER_WAIT_S

_NEVER = float("-inf")


@dataclass(slots=True)
class Claim:
    """The right of this instance to serve a slice or to admit for an upstream.

    :param claim_id: id of the claim on the slice or upstream.
    :param upstream_id: id of the upstream, or of the owner of the slice.
    :param epoch: epoch of the assignment entry.
    :param previous_holder: instance that held the preceding epoch, ``""`` if none, or
        `SPLIT_MARKER` for a hot slice since it was split off.
    :param starts_at: when the claim may start without a release, in seconds.
    :param started: whether it has started.
    :param in_flight: number of attempts running under the claim.
    :param lease_ends_at: when the lease of a lost claim ends, in seconds.
    :param next_holder: instance that holds the next epoch, for a lost claim.
    :param next_upstream: owner at the next epoch, for a lost claim.
    :param may_start_early: whether a release may start the claim before
        ``starts_at``.
    """

    claim_id: str
    upstream_id: str
    epoch: int
    previous_holder: str
    starts_at: float
    started: bool = False
    in_flight: int = 0
    lease_ends_at: float = 0.0
    next_holder: str = ""
    next_upstream: str = ""
    may_start_early: bool = True


@dataclass(slots=True)
class Proof:
    """Evidence that an assignment revision was the newest one.

    :param revision: the assignment revision.
    :param proven_at: time for which it is proven, in seconds.
    :param store_read_at: time of the last proof by a store read, in seconds.
    :param unresolved_writes: JSON texts of the tables in writes whose outcome was
        unknown at the time.
    :param suspended_claim_ids: ids of the claims that such a write may have moved.
    """

    revision: int = 0
    proven_at: float = _NEVER
    store_read_at: float = _NEVER
    unresolved_writes: tuple[str, ...] = ()
    suspended_claim_ids: frozenset[str] = frozenset()


@dataclass(slots=True)
class AssignmentChange:
    """What a new assignment revision changed for this instance.

    :param waiting_claims: claims of this instance that have not started.
    :param lost_claims: claims that this instance no longer has.
    """

    waiting_claims: list[Claim] = field(default_factory=list)
    lost_claims: list[Claim] = field(default_factory=list)


class LeaseRegistry:
    """All claims of one instance.

    ``draining_claims_by_key`` has the lost claims that are not released yet, by
    claim id and epoch. ``parent_by_hot_claim`` has the claim id of the surrounding
    slice for each hot slice of the applied table.

    :param instance_id: id of this instance.
    :param incarnation: its incarnation; claims of an earlier one are void.
    """

    def __init__(self, instance_id, incarnation):
        self.instance_id = instance_id
        self.incarnation = incarnation
        self.claims_by_id = {}
        self.draining_claims_by_key = {}
        self.lost_claim_count = 0
        self.proof = Proof()
        self.parent_by_hot_claim = {}
        self._released_epoch_by_claim = {}
        self._revision = 0

    @property
    def revision(self):
        """Assignment revision that is applied here, 0 if there is none."""
        return self._revision

    @property
    def lease_until(self):
        """End of the lease in seconds."""
        return self.proof.proven_at + LEASE_TTL_S

    def record_proof(self, proof):
        """Extend the lease by a proof of the applied revision.

        A proof that rests on promises is ignored once the outage cap has passed since
        the last store read.

        :param proof: the `Proof`.
        :return: whether the lease was extended.
        """
        if (
            proof.proven_at <= self.proof.proven_at
            or proof.revision < self.proof.revision
        ):
            return False
        if proof.proven_at - proof.store_read_at > OUTAGE_CAP_S:
            return False
        self.proof = proof
        proof.suspended_claim_ids = self._find_claims_moved_by(proof.unresolved_writes)
        return True

    def _find_claims_moved_by(self, unresolved_writes):
        """Return ids of own claims that a write of unknown outcome may have moved."""
        moved = set()
        for body in unresolved_writes:
            table = decode_table("pending", body)
            assigned = table.find_claims(self.instance_id, self.incarnation)
            moved.update(
                claim_id
                for claim_id, claim in self.claims_by_id.items()
                if assigned.get(claim_id, (None, 0))[:2]
                != (claim.upstream_id, claim.epoch)
            )
        return frozenset(moved)

    def is_usable(self, claim, now):
        """Tell whether a request may be sent under a claim at ``now`` (seconds)."""
        return (
            claim.started
            and now < self.lease_until
            and claim.claim_id not in self.proof.suspended_claim_ids
            and self.claims_by_id.get(claim.claim_id) is claim
        )

    def apply_assignment(self, table, now):
        """Apply a newer assignment table.

        :param table: the newer `AssignmentTable`.
        :param now: current time in seconds.
        :return: an `AssignmentChange`.
        """
        assignment_change = AssignmentChange()
        assigned = table.find_claims(self.instance_id, self.incarnation)
        owners_by_claim = _list_owners(table)
        parents = table.list_hot_parents()
        merged_parents = self._list_merged_parents(parents)
        for claim_id, claim in list(self.claims_by_id.items()):
            if assigned.get(claim_id, (None, 0))[:2] != (
                claim.upstream_id,
                claim.epoch,
            ):
                del self.claims_by_id[claim_id]
                # A claim on an upstream has no slice entry; its id names the upstream.
                owner = owners_by_claim.get(claim_id)
                claim.next_upstream = owner or claim_id.removeprefix(
                    build_upstream_claim_id("")
                )
                self._start_draining(claim, table.find_holder(claim.next_upstream))
                assignment_change.lost_claims.append(claim)
        for claim_id, (upstream_id, epoch, previous_holder) in assigned.items():
            if claim_id not in self.claims_by_id:
                self._create_claim(claim_id, upstream_id, epoch, previous_holder, now)
        self._start_split_claims(parents)
        self._forbid_early_starts(merged_parents, table)
        assignment_change.waiting_claims = [
            claim for claim in self.claims_by_id.values() if not claim.started
        ]
        self._revision = table.revision
        self.parent_by_hot_claim = parents
        return assignment_change

    def _list_merged_parents(self, parents):
        """Return slices into which a hot slice that did not start here was merged.

        The previous holder of the hot slice may still serve the position, so such a
        slice must wait for the end of that lease although its own preceding epoch is
        released.
        """
        merged_parents = set()
        for claim_id, parent_id in self.parent_by_hot_claim.items():
            claim = self.claims_by_id.get(claim_id)
            if claim_id not in parents and not (claim and claim.started):
                merged_parents.add(parent_id)
        return merged_parents

    def _forbid_early_starts(self, merged_parents, table):
        """Forbid an early start of slices that another instance may have held last."""
        skipped_revision = table.revision != self._revision + 1
        for claim in self.claims_by_id.values():
            if claim.started or claim.previous_holder != self.instance_id:
                continue
            # A skipped revision may have merged a hot slice of another holder.
            if skipped_revision or claim.claim_id in merged_parents:
                claim.may_start_early = False

    def _start_split_claims(self, parents):
        """Let a hot slice that was split off start together with its parent slice."""
        for claim_id, parent_id in parents.items():
            claim = self.claims_by_id.get(claim_id)
            parent = self.claims_by_id.get(parent_id)
            if (
                claim
                and parent
                and not claim.started
                and claim.previous_holder == SPLIT_MARKER
            ):
                claim.started = parent.started
                claim.starts_at = min(claim.starts_at, parent.starts_at)

    def _start_draining(self, claim, next_holder):
        self.lost_claim_count += 1
        claim.next_holder = next_holder
        claim.lease_ends_at = self.lease_until
        self.draining_claims_by_key[claim.claim_id, claim.epoch] = claim

    def _create_claim(self, claim_id, upstream_id, epoch, previous_holder, now):
        # An entry in its first epoch has had no holder whose lease could be valid.
        first = epoch == 1 and not previous_holder
        claim = Claim(
            claim_id,
            upstream_id,
            epoch,
            previous_holder,
            starts_at=now if first else now + TAKEOVER_WAIT_S,
            started=first,
        )
        self.claims_by_id[claim_id] = claim
        if self._released_epoch_by_claim.get(claim_id) == epoch - 1:
            claim.starts_at = now
        return claim

    def record_release(self, claim_id, epoch, now):
        """Record that the previous holder released an epoch.

        :param claim_id: id of the claim.
        :param epoch: the released epoch.
        :param now: current time in seconds.
        :return: whether a waiting claim may start because of the release.
        """
        if epoch > self._released_epoch_by_claim.get(claim_id, 0):
            self._released_epoch_by_claim[claim_id] = epoch
        claim = self.claims_by_id.get(claim_id)
        if claim is None or claim.started or not claim.may_start_early:
            return False
        if claim.epoch == epoch + 1:
            claim.starts_at = min(claim.starts_at, now)
            return True
        return False

    def was_released(self, claim):
        """Tell whether the previous holder of a claim has released its epoch."""
        return self._released_epoch_by_claim.get(claim.claim_id) == claim.epoch - 1

    def start_due_claims(self, now):
        """Start the claims whose waiting time has passed, and return them.

        :param now: current time in seconds.
        """
        due_claims = [
            claim
            for claim in self.claims_by_id.values()
            if not claim.started and claim.starts_at <= now and now < self.lease_until
        ]
        for claim in due_claims:
            claim.started = True
        return due_claims

    def pop_drained(self, ready):
        """Remove and return the lost claims that may be released.

        Claims that never started are removed without a release, because the holder
        before this instance may still be active.

        :param ready: function from claim to whether nothing depends on it any more.
        """
        drained = []
        for key, claim in list(self.draining_claims_by_key.items()):
            if not claim.started:
                del self.draining_claims_by_key[key]
            elif claim.in_flight == 0 and ready(claim):
                del self.draining_claims_by_key[key]
                drained.append(claim)
        return drained


def _list_owners(table):
    """Return the owners of all slices by claim id."""
    return {
        entry.claim_id: entry.owner
        for service in table.services_by_id.values()
        for entry in service.entries()
    }
