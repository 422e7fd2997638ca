"""Collects proofs that extend the lease: store reads, peer proofs and promises."""

from dataclasses import dataclass
from dataclasses import field

from shallotyard_core.effects import SendPeer
from shallotyard_core.lease import Proof
from shallotyard_core.messages import PromiseRequest
from shallotyard_core.timing import RENEWAL_PERIOD_S
from shallotyard_core.timing import STORE_STALE_S

PROMISE_TIMEOUT_S = 0.5


@dataclass(slots=True)
class PromiseRound:
    """One round of promise requests to all coordinators of a revision.

    :param number: number of the round, by which replies are matched.
    :param revision: assignment revision that the promises concern.
    :param began_at: start of the round, and time of its proof, in seconds.
    :param missing_incarnation_by_id: incarnation of each coordinator that has not
        promised yet, by instance id.
    :param unresolved_writes: tables, as JSON text, that coordinators tried to write
        with unknown outcome.
    """

    number: int
    revision: int
    began_at: float
    missing_incarnation_by_id: dict[str, str]
    unresolved_writes: list[str] = field(default_factory=list)


class ProofCollector:
    """Extends the lease of one instance.

    :param leases: the `LeaseRegistry` of the instance.
    :param coordinator: its `Coordinator` role.
    :param membership: its `Membership`, for the addresses of the coordinators.
    """

    def __init__(self, leases, coordinator, membership):
        self.leases = leases
        self.coordinator = coordinator
        self.membership = membership
        self.current_round = None
        self._last_round_number = 0

    def record_store_proof(self, revision, began_at):
        """Record a store read that returned the applied revision.

        :param revision: assignment revision that was read.
        :param began_at: start of the read in seconds, which is the time of the proof.
        """
        self.leases.record_proof(Proof(revision, began_at, began_at))

    def record_peer_proof(self, reply, sent_at, table):
        """Record the proof in a `HeartbeatReply`.

        Its age is subtracted from the send time of the heartbeat, which precedes the
        reply, so that the proof does not seem younger than it is.

        :param reply: the reply.
        :param sent_at: time at which the heartbeat was sent, in seconds.
        :param table: applied `AssignmentTable`, ``None`` if there is none.
        """
        if table is None or reply.proof_revision != table.revision:
            return
        proof = Proof(
            reply.proof_revision,
            sent_at - reply.proof_age_s,
            sent_at - reply.store_age_s,
            tuple(reply.pendings),
        )
        self.leases.record_proof(proof)

    def tick(self, table, now, effects):
        """Begin a round of promise requests if the last store read is too old.

        :param table: applied `AssignmentTable`, ``None`` if there is none.
        :param now: current time in seconds.
        :param effects: list that effects are appended to.
        """
        if table is None or table.candidate:
            return
        if now - self.leases.proof.store_read_at < STORE_STALE_S:
            return
        current = self.current_round
        if current and now - current.began_at < RENEWAL_PERIOD_S:
            return
        self._last_round_number += 1
        self.current_round = PromiseRound(
            self._last_round_number, table.revision, now, dict(table.coordinators)
        )
        request = PromiseRequest(table.region, table.revision)
        for instance_id in table.coordinators:
            if instance_id == self.coordinator.own.instance_id:
                reply = self.coordinator.handle_promise_request(request, table, now)
                self.record_promise(self._last_round_number, instance_id, reply)
                continue
            address = self.membership.find_address(instance_id)
            token = ("promise", self._last_round_number, instance_id)
            effects.append(
                SendPeer(instance_id, address, request, token, PROMISE_TIMEOUT_S)
            )

    def record_promise(self, number, instance_id, reply):
        """Record a coordinator's promise; the last one of a round completes a proof.

        :param number: number of the round.
        :param instance_id: id of the coordinator.
        :param reply: its `PromiseReply`, ``None`` if the request was lost.
        """
        current = self.current_round
        if current is None or current.number != number or reply is None:
            return
        if not reply.granted:
            return
        if reply.incarnation != current.missing_incarnation_by_id.get(instance_id):
            return
        del current.missing_incarnation_by_id[instance_id]
        if reply.pending:
            current.unresolved_writes.append(reply.pending)
        if current.missing_incarnation_by_id:
            return
        self.leases.record_proof(
            Proof(
                current.revision,
                current.began_at,
                self.leases.proof.store_read_at,
                tuple(current.unresolved_writes),
            )
        )
