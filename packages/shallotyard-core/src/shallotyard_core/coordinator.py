"""Writes the assignment object of the own region, and promises not to."""

from dataclasses import dataclass

from shallotyard_core.assignment import encode_table
from shallotyard_core.effects import LogDecision
from shallotyard_core.effects import WriteStore
from shallotyard_core.events import StoreStatus
from shallotyard_core.messages import PromiseReply
from shallotyard_core.no_change_cache import NoChangeCache
from shallotyard_core.planner import Plan
from shallotyard_core.planner import PlanningPauses
from shallotyard_core.planner import plan_changes
from shallotyard_core.timing import DRIFT
from shallotyard_core.timing import OUTAGE_CAP_S
from shallotyard_core.timing import TAKEOVER_WAIT_S

# A write without an outcome is tried again after this time; the conditional
# update makes the second try harmless.
WRITE_RETRY_S = 0.5
# Reads overlap, so even a slow store completes one every renewal period.
STORE_REACHABLE_WINDOW_S = 0.75
STANDBY_PLAN_PERIOD_S = 0.25
# The leading coordinator plans within 0.1 s of a change, or 0.6 s if only loads
# changed, so a change that has waited for this long will not be written by it.
STANDBY_WRITE_DELAY_S = 1.0
# The larger side of a partition, which sees the silence at about the same time,
# should write first; its callers are more. A takeover from half of a region's
# failure domains gets slower by this time.
MINORITY_WRITE_DELAY_S = 0.5
# A revision without a candidate was written by a coordinator, so coordinators live even
# if they are not heard. Against the outage cap this pause is short.
CANDIDACY_PAUSE_S = 10.0


def build_assignment_name(region):
    """Return the name of a region's assignment object."""
    return f"assignments/{region}"


@dataclass(slots=True)
class Write:
    """A conditional write that this coordinator began.

    :param base_revision: revision that the write replaces.
    :param unclear: whether it ended without an outcome.
    :param adds_coordinator: whether it lists a coordinator or incarnation that the
        replaced revision does not.
    """

    table: object
    base_revision: int
    sent_at: float
    unclear: bool = False
    adds_coordinator: bool = False


class Coordinator:
    """The coordinator role of one instance.

    :param own: this instance's `Member`.
    :param started_at: start of the process in seconds.
    """

    def __init__(self, own, started_at):
        self.own = own
        self.started_at = started_at
        self.etag = ""
        self.etag_revision = -1
        self.write = None
        self.promise_until = float("-inf")
        self.pauses = PlanningPauses()
        self.no_change_cache = NoChangeCache()
        self.candidate_at = None
        self.last_revision_while_lost = None
        self.candidacy_allowed_at = float("-inf")
        self.is_write_blocked = False
        self.standby_plan_at = float("-inf")
        self.pending_change_revision = None
        self.pending_change_since = 0.0
        self.store_reached_at = float("-inf")
        self.write_count = 0

    def record_read(self, revision, etag):
        """Record which revision the store holds, from an own read."""
        self.etag = etag
        self.etag_revision = revision
        if self.write and revision > self.write.base_revision:
            # The object has moved on, so the write can take effect no more, or
            # it is what was read.
            self.write = None

    def is_listed(self, table):
        """Tell whether a table lists this incarnation as a coordinator."""
        return table.coordinators.get(self.own.instance_id) == self.own.incarnation

    def handle_promise_request(self, request, table, now):
        """Answer a `PromiseRequest`.

        :param request: the request.
        :param table: newest table known here, ``None`` if there is none.
        :param now: current time in seconds.
        :return: a `PromiseReply`.
        """
        refusal = PromiseReply(self.own.incarnation, False)
        if table is None or table.revision != request.revision:
            return refusal
        if table.candidate or not self.is_listed(table):
            return refusal
        if (
            self.is_write_blocked
            and now - self.store_reached_at < STORE_REACHABLE_WINDOW_S
        ):
            # The store answers, if slowly, and a change waits for the end of
            # earlier promises; more of them would put it off for ever.
            return refusal
        pending = ""
        if self.write is not None:
            # A coordinator that this write may have added can write the next
            # revision, and it is not asked for a promise.
            if not self.write.unclear or self.write.adds_coordinator:
                return refusal
            # The asker treats the claims that this write would move as lost.
            pending = encode_table(self.write.table).decode()
        self.promise_until = max(self.promise_until, now + TAKEOVER_WAIT_S)
        return PromiseReply(self.own.incarnation, True, pending)

    def plan(self, table, deployment, view, is_alive, now, effects):
        """Write what the planner wants, if this instance may write now.

        :param table: newest table known here, at revision 0 if none exists.
        :param deployment: published configuration.
        :param view: a `PlanningView`.
        :param is_alive: function from instance id to liveness.
        :param now: current time in seconds.
        :param effects: list that effects are appended to.
        """
        if not self.is_due(table, is_alive, now):
            return
        if self.write is not None:
            self._retry_write(now, effects)
            return
        is_standby = self._is_standby(table, is_alive)
        if is_standby:
            self.standby_plan_at = now + STANDBY_PLAN_PERIOD_S
        is_promised = now < self.promise_until
        if self._is_unlisted(table) and self.candidate_at is None and not is_promised:
            self._begin_write(
                self._plan_candidacy(table, deployment, view), now, effects
            )
            return
        if self.no_change_cache.is_unchanged(table, deployment, view, now):
            return
        plan = plan_changes(table, deployment, view, self.pauses, now)
        plan.table.candidate = ""
        has_change = plan.changed and bool(plan.table.coordinators)
        if has_change:
            self.no_change_cache.clear()
        else:
            self.no_change_cache.record_no_change(
                table, deployment, view, self.pauses, now
            )
        write_delay_s = STANDBY_WRITE_DELAY_S if is_standby else 0.0
        if self._is_in_minority(view):
            write_delay_s = max(write_delay_s, MINORITY_WRITE_DELAY_S)
        if write_delay_s and not self._is_write_delay_over(
            table, has_change, write_delay_s, now
        ):
            return
        self.is_write_blocked = has_change and is_promised
        if has_change and not is_promised:
            self._begin_write(plan, now, effects)

    def is_due(self, table, is_alive, now):
        """Tell whether a call of `plan` could write; arguments as there."""
        if self.own.leaving and table.revision == 0:
            return False
        if self.write is not None:
            return True
        if table.revision != self.etag_revision:
            return False
        if not self._may_write(table, is_alive, now):
            return False
        if now - self.store_reached_at >= STORE_REACHABLE_WINDOW_S:
            # A write whose outcome stays unknown during an outage suspends the
            # claims that it would move.
            return False
        return not self._is_standby(table, is_alive) or now >= self.standby_plan_at

    def _is_standby(self, table, is_alive):
        return self.is_listed(table) and not self._is_leader(table, is_alive)

    def _may_write(self, table, is_alive, now):
        if table.revision == 0:
            return True
        if self.is_listed(table):
            return True
        if self.own.instance_id in table.coordinators:
            # The listed incarnation is dead, since both cannot run at one
            # address; its promises last for one lease.
            return now >= self.started_at + TAKEOVER_WAIT_S
        return self._may_replace_coordinators(table, is_alive, now)

    def _is_leader(self, table, is_alive):
        """Tell whether no live coordinator goes before this one.

        Writers of one region conflict needlessly; the conditional update keeps
        them safe when views differ.
        """
        before = [name for name in table.coordinators if name < self.own.instance_id]
        return not any(is_alive(name) for name in before)

    def _is_in_minority(self, view):
        """Tell whether most failure domains are silent, or half and the first one.

        If they live, they take this instance's side for lost.
        """
        reachable_domains = set(view.domain_by_instance.values()) | {self.own.domain}
        silent_domains = view.lost_domains - reachable_domains
        if len(silent_domains) != len(reachable_domains):
            return len(silent_domains) > len(reachable_domains)
        return min(silent_domains) < min(reachable_domains)

    def _is_write_delay_over(self, table, has_change, write_delay_s, now):
        """Tell whether a change has waited too long for another coordinator.

        The leading one may be cut off from the store while its peers still hear it.
        """
        if not has_change or self.pending_change_revision != table.revision:
            self.pending_change_revision = table.revision if has_change else None
            self.pending_change_since = now
            return False
        return now >= self.pending_change_since + write_delay_s

    def _may_replace_coordinators(self, table, is_alive, now):
        """Tell whether this instance may act because all coordinators are lost.

        It first becomes the candidate. A table with a candidate allows no
        promises, so after the outage cap no lease rests on promises of the old
        coordinators, wherever they are.
        """
        if any(is_alive(name) for name in table.coordinators):
            self.last_revision_while_lost = None
            return False
        self._record_coordinator_writes(table, now)
        if table.candidate != self._candidate_name():
            self.candidate_at = None
            if now < self.candidacy_allowed_at:
                return False
            # Two candidates that replaced each other would wait for ever.
            other = table.candidate.partition(":")[0]
            return other == self.own.instance_id or not is_alive(other)
        if self.candidate_at is None:
            self.candidate_at = now
        wait_s = OUTAGE_CAP_S * (1 + DRIFT) + TAKEOVER_WAIT_S
        return now >= self.candidate_at + wait_s

    def _record_coordinator_writes(self, table, now):
        """Put a candidacy off if coordinators that are not heard go on writing.

        Without a pause, instances that are cut from the coordinators but not from the
        store would replace each removed candidacy at once.
        """
        if (
            self.last_revision_while_lost not in (None, table.revision)
            and not table.candidate
        ):
            self.candidacy_allowed_at = now + CANDIDACY_PAUSE_S
        self.last_revision_while_lost = table.revision

    def _candidate_name(self):
        return f"{self.own.instance_id}:{self.own.incarnation}"

    def _is_unlisted(self, table):
        return table.revision > 0 and self.own.instance_id not in table.coordinators

    def _plan_candidacy(self, table, deployment, view):
        plan = Plan(table, deployment, view)
        plan.table.candidate = self._candidate_name()
        return plan

    def _begin_write(self, plan, now, effects):
        table = plan.table
        table.revision = plan.base.revision + 1
        self.write_count += 1
        table.writer = (
            f"{self.own.instance_id}:{self.own.incarnation}:{self.write_count}"
        )
        added = table.coordinators.items() - plan.base.coordinators.items()
        self.write = Write(table, plan.base.revision, now, adds_coordinator=bool(added))
        self._send_write(effects)
        for move in plan.moves:
            fields = {
                "subject": move.subject,
                "source": move.source,
                "target": move.target,
                "revision": table.revision,
            }
            effects.append(LogDecision("place", move.reason, fields))

    def _send_write(self, effects):
        table = self.write.table
        etag = self.etag if self.write.base_revision else ""
        name = build_assignment_name(table.region)
        effects.append(WriteStore(name, encode_table(table), etag, table.writer))

    def _retry_write(self, now, effects):
        if self.write.unclear and now - self.write.sent_at >= WRITE_RETRY_S:
            self.write.sent_at = now
            self._send_write(effects)

    def finish_write(self, event):
        """Handle the end of a write.

        :param event: a `StoreWriteFinished`.
        :return: the table that is known to be stored, ``None`` if it is not.
        """
        write = self.write
        if write is None or write.table.writer != event.nonce:
            return None
        if event.status is StoreStatus.DONE:
            self.write = None
            self.etag = event.etag
            self.etag_revision = write.table.revision
            return write.table
        if event.status is StoreStatus.FAILED and not write.unclear:
            self.write = None
            return None
        # A conflict may stem from an earlier try of the same write, so only a
        # read of a later revision settles it.
        write.unclear = True
        return None


def find_lost_domains(deployment, region, live_domains, known_domains):
    """Return the failure domains of a region whose instances are all silent.

    :param deployment: published configuration.
    :param region: region id.
    :param live_domains: failure domains with a live instance.
    :param known_domains: failure domains that ever had an instance here.
    """
    domains = set(deployment.regions_by_id[region].domains)
    return frozenset(domains & known_domains - live_domains)
