"""Plans changes of a region's assignment: holders, coordinators and slice owners.

The owners of slices are planned by `shallotyard_core.slice_placement`.
"""

import math
from collections import Counter
from dataclasses import dataclass
from dataclasses import field

from shallotyard_core.assignment import AssignmentTable
from shallotyard_core.assignment import SliceEntry
from shallotyard_core.assignment import UpstreamEntry
from shallotyard_core.service_state import is_out_of_service
from shallotyard_core.slice_placement import MAX_REBALANCE_SHARE
from shallotyard_core.slice_placement import REBALANCE_PAUSE_S
from shallotyard_core.slice_placement import ExclusionPeriod
from shallotyard_core.slice_placement import get_entry
from shallotyard_core.slice_placement import iterate_entries
from shallotyard_core.slice_placement import place_slices
from shallotyard_core.slice_placement import set_entry
from shallotyard_core.timing import TAKEOVER_WAIT_S
from shallotyard_core.utils import pick_least

MAX_COORDINATORS = 3
# If a claim moves again before it has started, its outcome records do not move with
# it, and writes are refused for the retention period. Moves that are not urgent are
# therefore delayed until the new holders of urgent moves have started.
URGENT_PAUSE_S = 2 * TAKEOVER_WAIT_S
URGENT_REASONS = frozenset(
    {"holder-lost-or-leaving", "holder-restarted", "owner-out-of-service"}
)


@dataclass(slots=True)
class PlanningView:
    """Inputs of the planner besides the table and the configuration.

    :param eligible_incarnations_by_id: incarnations of the live instances of the
        region that may become holders.
    :param domain_by_instance: failure domain of each live instance of the region.
    :param out_of_service_ids: failure domains, instances and upstreams out of service.
    :param reports_by_upstream: latest `UpstreamReport` of each upstream.
    :param lost_domains: failure domains that have lost all their instances.
    """

    eligible_incarnations_by_id: dict[str, str]
    domain_by_instance: dict[str, str]
    out_of_service_ids: frozenset[str] = frozenset()
    reports_by_upstream: dict = field(default_factory=dict)
    lost_domains: frozenset[str] = frozenset()


@dataclass(slots=True)
class PlanningPauses:
    """Times of the planner's last moves, which determine its pauses.

    All times are in seconds.

    :param holders_balanced_at: when upstreams last moved to balance the holders.
    :param rebalanced_at: when slices last moved to balance the owners.
    :param straggler_window_started_at: start of the period over which the moves from
        stragglers are limited.
    :param straggler_move_count: slices moved from stragglers in that period.
    :param hot_slices_changed_at: when hot slices were last split, moved or merged.
    :param last_urgent_move_at: last move of slices or upstreams for an urgent reason.
    :param exclusions_by_upstream: present and past exclusion periods of stragglers.
    """

    holders_balanced_at: float = -math.inf
    rebalanced_at: float = -math.inf
    straggler_window_started_at: float = -math.inf
    straggler_move_count: int = 0
    hot_slices_changed_at: float = -math.inf
    last_urgent_move_at: float = -math.inf
    exclusions_by_upstream: dict[str, ExclusionPeriod] = field(default_factory=dict)

    def find_next_end(self, now):
        """Return the next end of a pause or an exclusion period.

        :param now: current time in seconds.
        :return: time in seconds, infinity if none is running.
        """
        starts = (
            self.holders_balanced_at,
            self.rebalanced_at,
            self.straggler_window_started_at,
            self.hot_slices_changed_at,
        )
        ends = [start + REBALANCE_PAUSE_S for start in starts]
        ends.append(self.last_urgent_move_at + URGENT_PAUSE_S)
        ends += [
            exclusion.ends_at for exclusion in self.exclusions_by_upstream.values()
        ]
        return min((end for end in ends if end > now), default=math.inf)


@dataclass(slots=True, frozen=True)
class Move:
    """A placement decision to be logged.

    :param subject: claim, upstream or service that the decision concerns.
    :param source: previous holder or owner, ``""`` if none.
    :param target: new holder or owner.
    :param reason: log reason.
    """

    subject: str
    source: str
    target: str
    reason: str


class Plan:
    """A copy of a table that the planner changes step by step.

    ``raised_claim_ids`` has the claims whose epoch the plan has raised.

    :param table: current `AssignmentTable`.
    :param deployment: published configuration.
    :param view: a `PlanningView`.
    """

    def __init__(self, table, deployment, view):
        self.base = table
        self.table = table.copy()
        self.deployment = deployment
        self.view = view
        self.moves = []
        self.raised_claim_ids = set()
        self.instances_by_domain = {}
        for instance_id in view.eligible_incarnations_by_id:
            domain = view.domain_by_instance[instance_id]
            self.instances_by_domain.setdefault(domain, []).append(instance_id)
        self.regional_upstreams_by_id = {
            upstream_id: upstream
            for upstream_id, upstream in deployment.upstreams_by_id.items()
            if upstream.region == table.region
        }

    @property
    def changed(self):
        """Whether the plan differs from the current table."""
        return not self.table.has_same_content(self.base)

    def record_move(self, subject, source, target, reason):
        """Add a decision that is logged when the plan is written.

        Parameters are those of `Move`.
        """
        self.moves.append(Move(subject, source, target, reason))

    def set_holder(self, upstream_id, holder, reason):
        """Set the holder of an upstream, and raise the epochs of its claims.

        :param upstream_id: id of the upstream.
        :param holder: id of the new holder, ``""`` for none.
        :param reason: log reason.
        """
        entry = self.table.upstreams_by_id.get(upstream_id)
        source = entry.holder if entry else ""
        self.table.upstreams_by_id[upstream_id] = UpstreamEntry(
            holder,
            self.view.eligible_incarnations_by_id.get(holder, ""),
            entry.epoch + 1 if entry else 1,
            source,
        )
        self.record_move(f"upstream:{upstream_id}", source, holder, reason)
        for service in self.table.services_by_id.values():
            for key, slice_entry in iterate_entries(service):
                if slice_entry.owner == upstream_id:
                    self._replace_entry(service, key, slice_entry, upstream_id, source)

    def set_owner(self, service, key, upstream_id, reason):
        """Set the owner of a slice.

        :param service: `ServiceTable` of the slice.
        :param key: slice number, or ``("hot", position)`` for a hot slice.
        :param upstream_id: id of the new owner.
        :param reason: log reason.
        """
        entry = get_entry(service, key)
        source = self.base.find_holder(entry.owner)
        self.record_move(entry.claim_id, entry.owner, upstream_id, reason)
        self._replace_entry(service, key, entry, upstream_id, source)

    def _replace_entry(self, service, key, entry, owner, source):
        # One write raises an epoch only once, so that a release of the preceding epoch
        # matches.
        first_change = entry.claim_id not in self.raised_claim_ids
        self.raised_claim_ids.add(entry.claim_id)
        replacement = SliceEntry(
            entry.claim_id,
            owner,
            entry.epoch + 1 if first_change else entry.epoch,
            source if first_change else entry.previous_holder,
        )
        set_entry(service, key, replacement)


def plan_changes(table, deployment, view, pauses, now):
    """Plan the changes that bring a table up to date.

    :param table: current `AssignmentTable`, or an empty one at revision 0.
    :param deployment: published configuration.
    :param view: a `PlanningView`.
    :param pauses: `PlanningPauses`, updated in place.
    :param now: current time in seconds.
    :return: a `Plan`.
    """
    plan = Plan(table, deployment, view)
    held_counts = _assign_holders(plan)
    is_pausing = now - pauses.last_urgent_move_at < URGENT_PAUSE_S
    if not is_pausing:
        _balance_holders(plan, held_counts, pauses, now)
    for service in deployment.services_by_id.values():
        if table.region not in service.regions:
            continue
        usable_ids = _find_usable_upstreams(plan, service.id)
        if not usable_ids:
            continue
        place_slices(plan, service, usable_ids, pauses, now, urgent_only=is_pausing)
    _choose_coordinators(plan)
    if any(move.source and move.reason in URGENT_REASONS for move in plan.moves):
        pauses.last_urgent_move_at = now
    return plan


def _assign_holders(plan):
    """Set missing holders, and return the number of upstreams of each holder."""
    view = plan.view
    held_counts = Counter(
        entry.holder
        for entry in plan.table.upstreams_by_id.values()
        if entry.holder in view.eligible_incarnations_by_id
    )
    for upstream_id, entry in plan.base.upstreams_by_id.items():
        if upstream_id not in plan.regional_upstreams_by_id and entry.holder:
            # The entry is kept, so that its epoch continues if the id is added again.
            plan.set_holder(upstream_id, "", "upstream-removed")
    for upstream_id, upstream in plan.regional_upstreams_by_id.items():
        entry = plan.table.upstreams_by_id.get(upstream_id)
        if entry and _is_holder_current(entry, view):
            continue
        holder = _choose_holder(plan, upstream, held_counts)
        if holder is None:
            continue
        held_counts[holder] += 1
        reason = _find_holder_change_reason(entry, view)
        plan.set_holder(upstream_id, holder, reason)
    return held_counts


def _balance_holders(plan, held_counts, pauses, now):
    """Move some upstreams to holders in their own domain or with fewer upstreams.

    Without these moves, an instance that has just started would hold nothing until
    another instance is lost.
    """
    if plan.moves or now - pauses.holders_balanced_at < REBALANCE_PAUSE_S:
        return
    remaining_moves = max(
        1, int(len(plan.regional_upstreams_by_id) * MAX_REBALANCE_SHARE)
    )
    for upstream_id, upstream in plan.regional_upstreams_by_id.items():
        current = plan.table.upstreams_by_id[upstream_id].holder
        target = _choose_holder(plan, upstream, held_counts)
        if target is None or remaining_moves == 0:
            continue
        domains = plan.view.domain_by_instance
        is_remote = domains.get(current) != upstream.domain
        if is_remote and domains[target] == upstream.domain:
            reason = "local-holder"
        elif is_remote == (domains[target] != upstream.domain) and (
            held_counts[current] - held_counts[target] >= 2
        ):
            reason = "level-holders"
        else:
            continue
        held_counts[current] -= 1
        held_counts[target] += 1
        remaining_moves -= 1
        plan.set_holder(upstream_id, target, reason)
    if plan.moves:
        pauses.holders_balanced_at = now


def _is_holder_current(entry, view):
    return view.eligible_incarnations_by_id.get(entry.holder) == entry.incarnation != ""


def _find_holder_change_reason(entry, view):
    if entry is None or not entry.holder:
        return "first-holder"
    if entry.holder in view.eligible_incarnations_by_id:
        return "holder-restarted"
    return "holder-lost-or-leaving"


def _choose_holder(plan, upstream, held_counts):
    """Return the instance with the fewest upstreams, preferring the same domain."""
    view = plan.view
    if not view.eligible_incarnations_by_id:
        return None
    local = plan.instances_by_domain.get(upstream.domain)
    return pick_least(local or list(view.eligible_incarnations_by_id), held_counts)


def _find_usable_upstreams(plan, service_id):
    """Return the ids of the upstreams that may own slices of a service.

    Lost failure domains and reports are ignored if they would exclude every
    upstream, because an unconfirmed fault must not leave a service without owners.
    """
    view = plan.view
    in_service = [
        upstream
        for upstream in plan.regional_upstreams_by_id.values()
        if upstream.service == service_id
        and not is_out_of_service(upstream.id, upstream.domain, view.out_of_service_ids)
    ]
    reachable = [u for u in in_service if u.domain not in view.lost_domains]
    healthy = [
        upstream
        for upstream in reachable or in_service
        if _find_reported_state(view, upstream.id) not in ("dead", "draining")
    ]
    return [upstream.id for upstream in healthy or reachable or in_service]


def _find_reported_state(view, upstream_id):
    report = view.reports_by_upstream.get(upstream_id)
    return report.state if report else "serving"


def _choose_coordinators(plan):
    """Keep live coordinators, and add others, preferably of other domains."""
    view = plan.view
    current = {
        name: incarnation
        for name, incarnation in plan.table.coordinators.items()
        if view.eligible_incarnations_by_id.get(name) == incarnation
    }
    domains = {view.domain_by_instance[name] for name in current}
    candidates = sorted(
        (name for name in view.eligible_incarnations_by_id if name not in current),
        key=lambda name: (view.domain_by_instance[name] in domains, name),
    )
    while candidates and len(current) < MAX_COORDINATORS:
        name = candidates.pop(0)
        current[name] = view.eligible_incarnations_by_id[name]
        domains.add(view.domain_by_instance[name])
        candidates.sort(key=lambda n: (view.domain_by_instance[n] in domains, n))
    if current:
        plan.table.coordinators = current


def create_empty_table(region):
    """Return the table of a region before its first write, at revision 0."""
    return AssignmentTable(region)
