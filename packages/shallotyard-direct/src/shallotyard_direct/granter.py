"""Grants keys to upstreams: initial owners, renewals and moves of ranges."""

import itertools
import math

from shallotyard_core.effects import LogDecision
from shallotyard_direct.granter_lease import GranterLease
from shallotyard_direct.keys import grants
from shallotyard_direct.keys import moves
from shallotyard_direct.keys import services
from shallotyard_direct.keys import tables
from shallotyard_direct.keys.moves import OWNER_FAILURE_TIMEOUT_S

# Subtracted from the maximum TTL, because times are rounded in transit.
MAX_GRANT_TTL_MARGIN_S = 0.1
# Time until a new granter has load reports of all instances.
FIRST_REPORTS_WAIT_S = 2.5
# If more than this fraction of all owners fail to confirm grants, the fault is probably
# at this instance.
MAX_FAILING_FRACTION = 0.5


class Granter:
    """Assigns the keys of all services to upstreams while its lease is valid.

    :param settings: the `DirectSettings`.
    :param directory: the `Directory`.
    :param owners: the `Owners` that receive new key tables.
    :param get_relative_speed: function from an upstream id to its relative speed.
    :param find_rate_in_slots: function from an upstream to the slots of usual speed
        that its rate keeps in use.
    :param incarnation: unique id of this run of the process.
    :param rng: a ``random.Random``.
    """

    def __init__(
        self,
        settings,
        directory,
        owners,
        get_relative_speed,
        find_rate_in_slots,
        incarnation,
        rng,
    ):
        self.settings = settings
        self.directory = directory
        self.owners = owners
        self.get_relative_speed = get_relative_speed
        self.find_rate_in_slots = find_rate_in_slots
        self.max_grant_ttl_s = settings.max_grant_ttl_s - MAX_GRANT_TTL_MARGIN_S
        self.lease = GranterLease(
            settings.instance, incarnation, rng, self.max_grant_ttl_s
        )
        self.services_by_id = {}
        self.range_states_by_token = {}
        self.counts_by_service = {}
        self.token_numbers = itertools.count(1)

    def tick(self, now, effects):
        """Renew the lease, and do what is due for each keyed service."""
        self.lease.tick(now, effects)
        if not self.lease.is_held(now) or not self.directory.listed:
            return
        configuration = self.directory.configuration
        if configuration is None:
            return
        for service in configuration.services_by_id.values():
            if service.keyed:
                self._process_service(
                    services.get_service(self, service.service_id), now, effects
                )
        self._settle(now)
        self._resign_if_isolated(now, effects)

    def _settle(self, now):
        """Let the lease say that no grants of earlier lives of the store are unknown,
        once that is so and the tables were written in this life.
        """
        lease = self.lease
        if lease.knows_all_grants or now >= services.compute_earlier_life_end(self):
            known = self.services_by_id.values()
            if all(s.fenced and s.era == lease.era for s in known if s.range_states):
                lease.settled_era = lease.era

    def handle_lease_acquired(self, now, effects):
        """Prepare to grant after the lease was acquired. Earlier holders may have
        granted until now.
        """
        for service in self.services_by_id.values():
            service.fenced = False
            service.granted_term = self.lease.record_term
            service.proposal = None
            service.balance_due_at = now + FIRST_REPORTS_WAIT_S
            for range_state in service.range_states:
                range_state.move = None
                range_state.confirmed = False
                range_state.own_until = -math.inf
                range_state.token = ""
                range_state.fence_raise_pending = range_state.fence_raised = False
                latest = services.compute_latest_expiry(self, service, range_state, now)
                range_state.expires_at = range_state.unconfirmed_until = latest
            service.owners_checked = False
        effects.append(LogDecision("granter", "acquired", {"term": self.lease.term}))

    def _distrust_outdated_owners(self, service):
        """Let grants of earlier lives of the store expire, and give the ranges new
        fences. The store may have forgotten newer owners.
        """
        if self.lease.is_settled:
            return
        services.begin_fences_of_life(service, self.lease.era)
        for range_state in service.range_states:
            range_state.fence = service.next_fence
            service.next_fence += 1
            range_state.handover = ""
            range_state.not_before = max(
                range_state.not_before, services.compute_earlier_life_end(self)
            )

    def _process_service(self, service, now, effects):
        if service.writing:
            grants.renew(self, service, now, effects)
            return
        if service.proposal is not None:
            if now >= service.retry_at:
                tables.write_proposal(self, service, effects)
        elif service.revision is None or service.era < self.lease.era:
            # A revision of an earlier life is no condition for a write in this one.
            tables.read_table(service, now, effects)
        elif not service.range_states:
            tables.create_table(self, service, now, effects)
        elif not service.fenced:
            if not service.owners_checked:
                service.owners_checked = True
                self._distrust_outdated_owners(service)
            # A write increases the revision, so that writes of an earlier holder that
            # are still in transit fail.
            tables.propose(
                self,
                service,
                [state.as_range() for state in service.range_states],
                effects,
            )
        else:
            moves.follow_restarted_owners(self, service, now, effects)
            moves.begin_required_moves(self, service, now, effects)
            moves.balance(self, service, now, effects)
            moves.advance_moves(self, service, now, effects)
        grants.renew(self, service, now, effects)

    def _resign_if_isolated(self, now, effects):
        """Resign in favor of another instance if most owners are unreachable."""
        owners = {}
        for service in self.services_by_id.values():
            for range_state in service.range_states:
                since = range_state.failing_since
                failing = (
                    since is not None and now >= since + OWNER_FAILURE_TIMEOUT_S / 2
                )
                owners[range_state.owner] = (
                    owners.get(range_state.owner, False) or failing
                )
        failing = sum(owners.values())
        if failing >= 2 and failing > MAX_FAILING_FRACTION * len(owners):
            fields = {"failing": failing, "owners": len(owners)}
            effects.append(
                LogDecision("granter", "gave up: owners unreachable", fields)
            )
            self.lease.resign(now, effects)
