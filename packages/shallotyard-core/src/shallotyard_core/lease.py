"""Claims of this instance and the lease under which it may use them."""

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
    """The right of this instance to serve one slice or admit for one upstream.

    :param claim_id: slice or upstream claim id.
    :param upstream_id: upstream that owns the slice.
    :param epoch: epoch of the entry.
    :param previous_holder: instance that held the preceding epoch, ``""`` if none.
    :param starts_at: when the claim may start, in seconds.
    :param started: whether it has started.
    :param in_flight: attempts running under the claim.
    :param lease_ends_at: when the lease of a claim that was lost ends, in seconds.
    :param next_holder: instance that holds the next epoch, for a lost claim.
    :param next_upstream: owner at the next epoch, for a lost claim.
    :param may_start_early: whether a release may start the claim before its time.
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
    """Evidence that an assignment revision was current.

    :param revision: the revision.
    :param proven_at: time of the proof, in seconds.
    :param store_read_at: time of the last proof that came from a store read.
    :param unresolved_writes: bodies of writes of unknown outcome at the time.
    :param suspended_claim_ids: claims that such a write may have moved.
    """

    revision: int = 0
    proven_at: float = _NEVER
    store_read_at: float = _NEVER
    unresolved_writes: tuple[str, ...] = ()
    suspended_claim_ids: frozenset[str] = frozenset()


@dataclass(slots=True)
class AssignmentChange:
    """What a new assignment revision changed for this instance.

    :param waiting_claims: new claims that have not started.
    :param lost_claims: claims of this instance that ended.
    """

    waiting_claims: list[Claim] = field(default_factory=list)
    lost_claims: list[Claim] = field(default_factory=list)


class LeaseRegistry:
    """All claims of one instance.

    ``parent_by_hot_claim`` has the surrounding slice of each hot slice of the applied table.

    :param instance_id: own instance id.
    :param incarnation: own incarnation; claims of an earlier one are void.
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
        """Return the assignment revision in force here, 0 if there is none."""
        return self._revision

    @property
    def lease_until(self):
        """Return when the lease ends, in seconds."""
        return self.proof.proven_at + LEASE_TTL_S

    def record_proof(self, proof):
        """Extend the lease by a proof of the revision in force.

        A proof that rests on promises is ignored once the outage cap has
        passed since the last store read.

        :return: whether the proof was newer.
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
        """Tell whether a request may be sent under a claim at ``now``."""
        return (
            claim.started
            and now < self.lease_until
            and claim.claim_id not in self.proof.suspended_claim_ids
            and self.claims_by_id.get(claim.claim_id) is claim
        )

    def apply_assignment(self, table, now):
        """Take over a newer assignment table.

        :param table: the newer table.
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
                # The claim on an upstream itself has no entry of a slice.
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
        """Return slices that took back a hot slice this instance did not serve.

        The holder before may still serve the position, so such a slice must
        wait for its lease even though its own preceding epoch is released.
        """
        merged_parents = set()
        for claim_id, parent_id in self.parent_by_hot_claim.items():
            claim = self.claims_by_id.get(claim_id)
            if claim_id not in parents and not (claim and claim.started):
                merged_parents.add(parent_id)
        return merged_parents

    def _forbid_early_starts(self, merged_parents, table):
        """Make claims wait where the holder before may not be the last one."""
        skipped_revision = table.revision != self._revision + 1
        for claim in self.claims_by_id.values():
            if claim.started or claim.previous_holder != self.instance_id:
                continue
            # After missed revisions a merge may have gone unseen.
            if skipped_revision or claim.claim_id in merged_parents:
                claim.may_start_early = False

    def _start_split_claims(self, parents):
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
        # Nobody can hold a lease on an entry that is in its first epoch.
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

        :return: whether a waiting claim may start because of it.
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
        """Tell whether the holder before released its epoch."""
        return self._released_epoch_by_claim.get(claim.claim_id) == claim.epoch - 1

    def start_due_claims(self, now):
        """Start the waiting claims whose time has come and return them."""
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

        Claims that never started are dropped without a release: the holder
        before this instance may still be active.

        :param ready: function from claim to whether nothing depends on it.
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
    """Return the owner by claim id of all slices."""
    return {
        entry.claim_id: entry.owner
        for service in table.services_by_id.values()
        for entry in service.entries()
    }
