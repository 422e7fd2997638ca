"""Decides placement: holders of upstreams, owners of slices, stewards."""

import math
from collections import Counter
from dataclasses import dataclass
from dataclasses import field

from shallotyard_core.assignment import SPLIT
from shallotyard_core.assignment import AssignmentTable
from shallotyard_core.assignment import ServiceTable
from shallotyard_core.assignment import SliceEntry
from shallotyard_core.assignment import UpstreamEntry
from shallotyard_core.assignment import hot_claim
from shallotyard_core.assignment import slice_claim
from shallotyard_core.keys import HOT_BITS
from shallotyard_core.utils import pick_least

MAX_STEWARDS = 3
# A rebalance moves at most this share of a service's slices per write, so that
# a returning failure domain is not flooded while it is cold.
REBALANCE_SHARE = 0.125
REBALANCE_PAUSE_S = 2.0
STRAGGLER_RATIO = 3.0
# A straggler owns nothing for this long. Each return costs its keys some
# seconds of slow responses, so the time doubles while it stays slow.
FIRST_BAR_S = 60.0
MAX_BAR_S = 960.0
# A position is hot when it alone carries this share of an average upstream's load.
HOT_SHARE = 0.5
HOT_MIN_RATE = 20.0
MAX_HOT_SLICES = 64


@dataclass(slots=True)
class PlanningView:
    """What the planner knows besides the current table.

    :param incarnations: live instances of the region by id that may hold.
    :param domain_by_instance: failure domain of each live instance.
    :param out: failure domains, instances and upstreams out of service.
    :param reports_by_upstream: latest reports of the holders.
    :param lost_domains: failure domains whose instances are all silent.
    """

    incarnations: dict[str, str]
    domain_by_instance: dict[str, str]
    out: frozenset[str] = frozenset()
    reports_by_upstream: dict = field(default_factory=dict)
    lost_domains: frozenset[str] = frozenset()


@dataclass(slots=True)
class Bar:
    """Period in which a straggler owns no slices.

    :param until: end of the period in seconds.
    :param length_s: its length.
    """

    until: float
    length_s: float


@dataclass(slots=True)
class PlanningPauses:
    """When the planner last moved slices for a reason that can wait.

    :param bars_by_upstream: present and past bars of stragglers.
    """

    holders_at: float = -math.inf
    rebalanced_at: float = -math.inf
    straggler_at: float = -math.inf
    hot_at: float = -math.inf
    bars_by_upstream: dict[str, Bar] = field(default_factory=dict)

    def next_end(self, now):
        """Return when a pause or a bar ends next, infinity if none is running."""
        starts = (self.holders_at, self.rebalanced_at, self.straggler_at, self.hot_at)
        ends = [start + REBALANCE_PAUSE_S for start in starts]
        ends += [bar.until for bar in self.bars_by_upstream.values()]
        return min((end for end in ends if end > now), default=math.inf)


@dataclass(slots=True, frozen=True)
class Move:
    """One placement decision and its reason."""

    subject: str
    source: str
    target: str
    reason: str


class Plan:
    """A changed copy of a table, built step by step.

    :param table: current table.
    :param deployment: published configuration.
    :param view: a `PlanningView`.
    """

    def __init__(self, table, deployment, view):
        self.base = table
        self.table = table.copy()
        self.deployment = deployment
        self.view = view
        self.moves = []
        self.raised = set()
        self.instances_by_domain = {}
        for instance_id in view.incarnations:
            domain = view.domain_by_instance[instance_id]
            self.instances_by_domain.setdefault(domain, []).append(instance_id)
        self.upstreams = {
            upstream_id: upstream
            for upstream_id, upstream in deployment.upstreams_by_id.items()
            if upstream.region == table.region
        }

    @property
    def changed(self):
        """Tell whether the plan differs from the current table."""
        return not self.table.same_content(self.base)

    def set_holder(self, upstream_id, holder, reason):
        """Name a new holder and raise the epochs of everything it holds."""
        entry = self.table.upstreams_by_id.get(upstream_id)
        source = entry.holder if entry else ""
        self.table.upstreams_by_id[upstream_id] = UpstreamEntry(
            holder,
            self.view.incarnations.get(holder, ""),
            entry.epoch + 1 if entry else 1,
            source,
        )
        self.moves.append(Move(f"upstream:{upstream_id}", source, holder, reason))
        for service in self.table.services_by_id.values():
            for key, slice_entry in _numbered(service):
                if slice_entry.owner == upstream_id:
                    self._replace(service, key, slice_entry, upstream_id, source)

    def set_owner(self, service, key, upstream_id, reason):
        """Move one slice; ``key`` is a slice number or ("hot", position)."""
        entry = _entry_at(service, key)
        source = self.base.holder_of(entry.owner)
        self.moves.append(Move(entry.claim_id, entry.owner, upstream_id, reason))
        self._replace(service, key, entry, upstream_id, source)

    def _replace(self, service, key, entry, owner, source):
        # One write raises an epoch once, so that a release of the preceding
        # epoch can be matched.
        first_change = entry.claim_id not in self.raised
        self.raised.add(entry.claim_id)
        replacement = SliceEntry(
            entry.claim_id,
            owner,
            entry.epoch + 1 if first_change else entry.epoch,
            source if first_change else entry.previous,
        )
        _put_entry(service, key, replacement)


def _numbered(service):
    yield from enumerate(list(service.slices))
    for position, entry in list(service.hot.items()):
        yield ("hot", position), entry


def _entry_at(service, key):
    return service.hot[key[1]] if isinstance(key, tuple) else service.slices[key]


def _put_entry(service, key, entry):
    if isinstance(key, tuple):
        service.hot[key[1]] = entry
    else:
        service.slices[key] = entry


def plan_changes(table, deployment, view, pauses, now):
    """Return a `Plan` that brings a table up to date.

    :param table: current `AssignmentTable`, or an empty one at revision 0.
    :param deployment: published configuration.
    :param view: a `PlanningView`.
    :param pauses: `PlanningPauses`, updated in place.
    :param now: current time in seconds.
    """
    plan = Plan(table, deployment, view)
    load = _place_holders(plan)
    _level_holders(plan, load, pauses, now)
    for service in deployment.services_by_id.values():
        if table.region not in service.regions:
            continue
        usable = _usable_upstreams(plan, service.id)
        if not usable:
            continue
        slices = plan.table.services_by_id.get(service.id)
        if slices is None:
            _create_slices(plan, service, usable)
            continue
        barred = _bar_stragglers(plan.view, usable, pauses, now)
        # With the others out of service, slow upstreams are better than none.
        receivers = [name for name in usable if name not in barred] or usable
        _evacuate(plan, slices, usable, receivers)
        _rebalance(plan, slices, receivers, pauses, now)
        _relieve_stragglers(plan, slices, barred, receivers, pauses, now)
        _spread_hot(plan, service, slices, receivers, pauses, now)
    _choose_stewards(plan)
    return plan


def _place_holders(plan):
    view = plan.view
    load = Counter(
        entry.holder
        for entry in plan.table.upstreams_by_id.values()
        if entry.holder in view.incarnations
    )
    for upstream_id, entry in plan.base.upstreams_by_id.items():
        if upstream_id not in plan.upstreams and entry.holder:
            # The entry stays, so that its epoch goes on when the id returns.
            plan.set_holder(upstream_id, "", "upstream-removed")
    for upstream_id, upstream in plan.upstreams.items():
        entry = plan.table.upstreams_by_id.get(upstream_id)
        if entry and _holder_is_current(entry, view):
            continue
        holder = _choose_holder(plan, upstream, load)
        if holder is None:
            continue
        load[holder] += 1
        reason = _holder_change_reason(entry, view)
        plan.set_holder(upstream_id, holder, reason)
    return load


def _level_holders(plan, load, pauses, now):
    """Move some upstreams to an instance of their own domain, or to a less busy one.

    An instance that has just started holds nothing; without these moves it
    would stay so until another one is lost.
    """
    if plan.moves or now - pauses.holders_at < REBALANCE_PAUSE_S:
        return
    budget = max(1, int(len(plan.upstreams) * REBALANCE_SHARE))
    for upstream_id, upstream in plan.upstreams.items():
        current = plan.table.upstreams_by_id[upstream_id].holder
        target = _choose_holder(plan, upstream, load)
        if target is None or budget == 0:
            continue
        domains = plan.view.domain_by_instance
        away = domains.get(current) != upstream.domain
        if away and domains[target] == upstream.domain:
            reason = "local-holder"
        elif away == (domains[target] != upstream.domain) and (
            load[current] - load[target] >= 2
        ):
            reason = "level-holders"
        else:
            continue
        load[current] -= 1
        load[target] += 1
        budget -= 1
        plan.set_holder(upstream_id, target, reason)
    if plan.moves:
        pauses.holders_at = now


def _holder_is_current(entry, view):
    return view.incarnations.get(entry.holder) == entry.incarnation != ""


def _holder_change_reason(entry, view):
    if entry is None or not entry.holder:
        return "first-holder"
    if entry.holder in view.incarnations:
        return "holder-restarted"
    return "holder-lost-or-leaving"


def _choose_holder(plan, upstream, load):
    """Return the least loaded instance, one of the same failure domain first."""
    view = plan.view
    if not view.incarnations:
        return None
    local = plan.instances_by_domain.get(upstream.domain)
    return pick_least(local or list(view.incarnations), load)


def _usable_upstreams(plan, service_id):
    """Return the upstream ids of a service that may own slices.

    Lost failure domains and reports narrow the choice only while something is
    left: an unconfirmed fault must not empty a service.
    """
    view = plan.view
    in_service = [
        upstream
        for upstream in plan.upstreams.values()
        if upstream.service == service_id
        and upstream.id not in view.out
        and upstream.domain not in view.out
    ]
    reachable = [u for u in in_service if u.domain not in view.lost_domains]
    healthy = [
        upstream
        for upstream in reachable or in_service
        if _report_state(view, upstream.id) not in ("dead", "draining")
    ]
    return [upstream.id for upstream in healthy or reachable or in_service]


def _report_state(view, upstream_id):
    report = view.reports_by_upstream.get(upstream_id)
    return report.state if report else "serving"


def _create_slices(plan, service, usable):
    plan.table.services_by_id[service.id] = ServiceTable(
        [
            SliceEntry(slice_claim(service.id, number), usable[number % len(usable)], 1)
            for number in range(service.slices)
        ]
    )
    plan.moves.append(Move(service.id, "", f"{len(usable)} upstreams", "new-service"))


def _count_owned(slices, usable):
    counts = Counter(dict.fromkeys(usable, 0))
    counts.update(entry.owner for entry in slices.slices)
    return counts


def _evacuate(plan, slices, usable, receivers):
    counts = _count_owned(slices, receivers)
    allowed = set(usable)
    for key, entry in _numbered(slices):
        if entry.owner not in allowed:
            target = min(receivers, key=lambda name: (counts[name], name))
            counts[target] += 1
            plan.set_owner(slices, key, target, "owner-out-of-service")


def _rebalance(plan, slices, receivers, pauses, now):
    if now - pauses.rebalanced_at < REBALANCE_PAUSE_S:
        return
    counts = _count_owned(slices, receivers)
    budget = max(1, int(len(slices.slices) * REBALANCE_SHARE))
    if max(counts.values()) - min(counts[name] for name in receivers) < 2:
        return
    allowed = set(receivers)
    open_to = list(receivers)
    moved = False
    for number, entry in enumerate(list(slices.slices)):
        if budget == 0 or not open_to:
            break
        target = min(open_to, key=lambda name: (counts[name], name))
        if entry.owner not in allowed or counts[entry.owner] - counts[target] < 2:
            continue
        counts[entry.owner] -= 1
        counts[target] += 1
        budget -= 1
        moved = True
        plan.set_owner(slices, number, target, "rebalance")
        if target in pauses.bars_by_upstream:
            # One slice shows whether a former straggler is still slow.
            open_to.remove(target)
    if moved:
        pauses.rebalanced_at = now


def _stragglers(view, usable):
    """Return upstreams whose observed latency is far above the median.

    The latency of an upstream without requests is an old one.
    """
    reports = view.reports_by_upstream
    latency_by_id = {
        name: reports[name].latency_s
        for name in usable
        if name in reports and reports[name].latency_s > 0 and reports[name].rate > 0
    }
    if len(latency_by_id) < 3:
        return set()
    ordered = sorted(latency_by_id.values())
    median = ordered[(len(ordered) - 1) // 2]
    return {
        name
        for name, latency_s in latency_by_id.items()
        if latency_s > STRAGGLER_RATIO * median
    }


def _bar_stragglers(view, usable, pauses, now):
    """Return the upstreams that must own nothing for now, at most half of them."""
    bars = pauses.bars_by_upstream
    barred = {name for name in usable if name in bars and now < bars[name].until}
    for name in sorted(_stragglers(view, usable) - barred):
        if 2 * (len(barred) + 1) > len(usable):
            break
        bar = bars.get(name)
        length_s = FIRST_BAR_S
        if bar is not None and now < bar.until + bar.length_s:
            length_s = min(MAX_BAR_S, 2 * bar.length_s)
        bars[name] = Bar(now + length_s, length_s)
        barred.add(name)
    return barred


def _relieve_stragglers(plan, slices, barred, receivers, pauses, now):
    if not barred or now - pauses.straggler_at < REBALANCE_PAUSE_S:
        return
    counts = _count_owned(slices, receivers)
    budget = max(1, int(len(slices.slices) * REBALANCE_SHARE))
    moved = False
    for key, entry in _numbered(slices):
        if entry.owner not in barred or budget == 0:
            continue
        target = min(receivers, key=lambda name: (counts[name], name))
        counts[target] += 1
        budget -= 1
        moved = True
        plan.set_owner(slices, key, target, "straggler")
    if moved:
        pauses.straggler_at = now


def _spread_hot(plan, service, slices, usable, pauses, now):
    """Do at most one kind of change to hot slices: merge, move or split."""
    if now - pauses.hot_at < REBALANCE_PAUSE_S:
        return
    rates = _hot_rates(plan.view, service.id, usable)
    load = {
        name: plan.view.reports_by_upstream[name].rate
        for name in usable
        if name in plan.view.reports_by_upstream
    }
    for change in (_retire_cold, _move_hot, _split_hot):
        if change(plan, slices, rates, load):
            pauses.hot_at = now
            return


def _hot_rates(view, service_id, usable):
    rates = Counter()
    for name in usable:
        report = view.reports_by_upstream.get(name)
        if report:
            for position, rate in report.hot_rates.get(service_id, {}).items():
                rates[int(position)] += rate
    return rates


def _parent_number(slices, position):
    return (position * len(slices.slices)) >> HOT_BITS


def _retire_cold(plan, slices, rates, load):
    """Return a hot slice that has cooled to its surrounding slice.

    It first moves to that slice's owner. Merging raises the epoch of the
    surrounding slice, because its holder then serves a position that another
    instance may have held.
    """
    for position, entry in slices.hot.items():
        if rates[position] >= HOT_MIN_RATE / 4:
            continue
        number = _parent_number(slices, position)
        parent = slices.slices[number]
        if parent.claim_id in plan.raised or entry.claim_id in plan.raised:
            continue
        if entry.owner != parent.owner:
            plan.set_owner(slices, ("hot", position), parent.owner, "hot-key-cooled")
            return True
        del slices.hot[position]
        plan.set_owner(slices, number, parent.owner, "hot-key-merged")
        return True
    return False


def _move_hot(plan, slices, rates, load):
    """Move the hot slice whose move levels the load most."""
    for position, rate in sorted(rates.items(), key=lambda item: -item[1]):
        entry = slices.hot.get(position)
        if entry is None or entry.claim_id in plan.raised or not load:
            continue
        target = min(load, key=lambda name: (load[name], name))
        if load.get(entry.owner, 0.0) - load[target] > 1.5 * rate:
            plan.set_owner(slices, ("hot", position), target, "hot-key-moved")
            return True
    return False


def _split_hot(plan, slices, rates, load):
    """Give hot positions their own slices, still with the surrounding owner.

    Epochs never exceed the revision, so starting at the new revision keeps the
    epochs of a position growing when it is split off again later.
    """
    mean = sum(load.values()) / max(1, len(load))
    threshold = max(HOT_MIN_RATE, HOT_SHARE * mean)
    split = False
    for position, rate in sorted(rates.items(), key=lambda item: -item[1]):
        parent = slices.slices[_parent_number(slices, position)]
        full = len(slices.hot) >= MAX_HOT_SLICES
        if rate < threshold or full or position in slices.hot:
            continue
        if parent.claim_id in plan.raised:
            continue
        service_id = parent.claim_id.partition("/")[0]
        claim_id = hot_claim(service_id, position)
        revision = plan.base.revision + 1
        slices.hot[position] = SliceEntry(claim_id, parent.owner, revision, SPLIT)
        plan.raised.add(claim_id)
        plan.moves.append(Move(claim_id, parent.owner, parent.owner, "hot-key"))
        split = True
    return split


def _choose_stewards(plan):
    view = plan.view
    current = {
        name: incarnation
        for name, incarnation in plan.table.stewards.items()
        if view.incarnations.get(name) == incarnation
    }
    domains = {view.domain_by_instance[name] for name in current}
    candidates = sorted(
        (name for name in view.incarnations if name not in current),
        key=lambda name: (view.domain_by_instance[name] in domains, name),
    )
    while candidates and len(current) < MAX_STEWARDS:
        name = candidates.pop(0)
        current[name] = view.incarnations[name]
        domains.add(view.domain_by_instance[name])
        candidates.sort(key=lambda n: (view.domain_by_instance[n] in domains, n))
    if current:
        plan.table.stewards = current


def empty_table(region):
    """Return the table before the first write, at revision 0."""
    return AssignmentTable(region)
