"""The coordinator role: writes the region's assignment object, and grants promises.

A promise is the commitment to write nothing for a takeover wait. If all coordinators
of a revision promise, that revision stays the newest one, which proves a lease while
the store is unreachable.
"""

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

# A write of unknown outcome is repeated after this time. The update is conditional,
# so the repetition is harmless.
WRITE_RETRY_S = 0.5
# Reads overlap, so even a slow store completes one in every renewal period.
STORE_REACHABLE_WINDOW_S = 0.75
STANDBY_PLAN_PERIOD_S = 0.25
# The leader plans within 0.1 s of a change, or 0.6 s if only loads changed, so it
# will not write a change that has been pending for this long.
STANDBY_WRITE_DELAY_S = 1.0
# Both sides of a partition see the silence at about the same time. The larger side,
# which has more callers, should write first. As a result, a takeover from half of a
# region's failure domains takes longer by this time.
MINORITY_WRITE_DELAY_S = 0.5
# A revision without a candidate was written by a coordinator, so at least one is alive
# although none is reachable. This pause is short compared with the outage cap.
CANDIDACY_PAUSE_S = 10.0


def build_assignment_name(region):
    """Return the name of a region's assignment object."""
    return f"assignments/{region}"


@dataclass(slots=True)
class PendingWrite:
    """A conditional write of this coordinator that has not been confirmed.

    :param table: the written `AssignmentTable`.
    :param base_revision: revision that the write replaces.
    :param sent_at: time of the last attempt, in seconds.
    :param is_unresolved: whether its outcome is unknown.
    :param adds_coordinator: whether it lists a coordinator or incarnation that the
        replaced revision does not.
    """

    table: object
    base_revision: int
    sent_at: float
    is_unresolved: bool = False
    adds_coordinator: bool = False


class Coordinator:
    """The coordinator role of one instance.

    The leader is the first live coordinator by instance id; the others are on
    standby. ``is_write_blocked`` tells whether a change waits for the end of promises,
    ``candidate_at`` is the time in seconds since which this instance is the candidate,
    and ``last_revision_without_coordinators`` the last revision seen while no
    coordinator was alive.

    :param own: the `Member` of this instance.
    :param started_at: start of the process in seconds.
    """

    def __init__(self, own, started_at):
        self.own = own
        self.started_at = started_at
        self.etag = ""
        self.etag_revision = -1
        self.pending_write = None
        self.promise_until = float("-inf")
        self.pauses = PlanningPauses()
        self.no_change_cache = NoChangeCache()
        self.candidate_at = None
        self.last_revision_without_coordinators = None
        self.candidacy_allowed_at = float("-inf")
        self.is_write_blocked = False
        self.standby_plan_at = float("-inf")
        self.pending_change_revision = None
        self.pending_change_since = 0.0
        self.store_reached_at = float("-inf")
        self.write_count = 0

    def record_read(self, revision, etag):
        """Record the revision that a store read of this instance returned.

        :param revision: assignment revision in the store, 0 if there is none.
        :param etag: its ETag for a conditional write.
        """
        self.etag = etag
        self.etag_revision = revision
        if self.pending_write and revision > self.pending_write.base_revision:
            # The base revision was replaced, either by this write or by another
            # one, after which this write can no longer succeed.
            self.pending_write = None

    def is_listed(self, table):
        """Tell whether a table lists this incarnation as a coordinator.

        :param table: an `AssignmentTable`.
        """
        return table.coordinators.get(self.own.instance_id) == self.own.incarnation

    def handle_promise_request(self, request, table, now):
        """Grant or refuse a `PromiseRequest`.

        :param request: the request.
        :param table: applied `AssignmentTable`, ``None`` if there is none.
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
            # The store is reachable, and a change waits until earlier promises have
            # expired. Further promises would delay it without limit.
            return refusal
        pending = ""
        if self.pending_write is not None:
            # This write may have added a coordinator, which could write the next
            # revision without having been asked for a promise.
            if (
                not self.pending_write.is_unresolved
                or self.pending_write.adds_coordinator
            ):
                return refusal
            # The requester suspends the claims that this write would move.
            pending = encode_table(self.pending_write.table).decode()
        self.promise_until = max(self.promise_until, now + TAKEOVER_WAIT_S)
        return PromiseReply(self.own.incarnation, True, pending)

    def plan(self, table, deployment, view, is_alive, now, effects):
        """Write the changes that the planner finds, if this instance may write now.

        :param table: applied `AssignmentTable`, at revision 0 if none exists.
        :param deployment: published configuration.
        :param view: a `PlanningView`.
        :param is_alive: function from instance id to whether it is alive.
        :param now: current time in seconds.
        :param effects: list that effects are appended to.
        """
        if not self.is_plan_due(table, is_alive, now):
            return
        if self.pending_write is not None:
            self._retry_write(now, effects)
            return
        is_standby = self._is_standby(table, is_alive)
        if is_standby:
            self.standby_plan_at = now + STANDBY_PLAN_PERIOD_S
        is_promised = now < self.promise_until
        if (
            self._has_unlisted_id(table)
            and self.candidate_at is None
            and not is_promised
        ):
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

    def is_plan_due(self, table, is_alive, now):
        """Tell whether a call of `plan` could write.

        :param table: as for `plan`.
        :param is_alive: as for `plan`.
        :param now: current time in seconds.
        """
        if self.own.leaving and table.revision == 0:
            return False
        if self.pending_write is not None:
            return True
        if table.revision != self.etag_revision:
            return False
        if not self._may_write(table, is_alive, now):
            return False
        if now - self.store_reached_at >= STORE_REACHABLE_WINDOW_S:
            # During an outage the outcome of a write would stay unknown, and the
            # claims that it moves would be suspended.
            return False
        return not self._is_standby(table, is_alive) or now >= self.standby_plan_at

    def _is_standby(self, table, is_alive):
        return self.is_listed(table) and not self._is_leader(table, is_alive)

    def _may_write(self, table, is_alive, now):
        """Tell whether this instance may write the successor of a table."""
        if table.revision == 0:
            return True
        if self.is_listed(table):
            return True
        if self.own.instance_id in table.coordinators:
            # The listed incarnation is dead, because two cannot use one address.
            # Its promises expire after a takeover wait.
            return now >= self.started_at + TAKEOVER_WAIT_S
        return self._may_replace_coordinators(table, is_alive, now)

    def _is_leader(self, table, is_alive):
        """Tell whether no live coordinator precedes this one by instance id.

        A single writer avoids conflicts. If instances disagree on the leader, the
        conditional update still makes concurrent writes safe.
        """
        preceding_ids = [
            name for name in table.coordinators if name < self.own.instance_id
        ]
        return not any(is_alive(name) for name in preceding_ids)

    def _is_in_minority(self, view):
        """Tell whether this instance may be on the smaller side of a partition.

        That is so if more failure domains are silent than reachable, or as many with
        the first id among the silent ones. The silent side, if it is alive, then
        counts this side as lost.
        """
        reachable_domains = set(view.domain_by_instance.values()) | {self.own.domain}
        silent_domains = view.lost_domains - reachable_domains
        if len(silent_domains) != len(reachable_domains):
            return len(silent_domains) > len(reachable_domains)
        return min(silent_domains) < min(reachable_domains)

    def _is_write_delay_over(self, table, has_change, write_delay_s, now):
        """Tell whether a change has been pending for the write delay.

        The leader may be unable to reach the store although its peers count it as
        alive.
        """
        if not has_change or self.pending_change_revision != table.revision:
            self.pending_change_revision = table.revision if has_change else None
            self.pending_change_since = now
            return False
        return now >= self.pending_change_since + write_delay_s

    def _may_replace_coordinators(self, table, is_alive, now):
        """Tell whether this instance may write because all coordinators are lost.

        It first becomes the candidate. Coordinators grant no promise for a table with
        a candidate, so after the outage cap no lease rests on a promise of the
        previous coordinators, even of unreachable ones.
        """
        if any(is_alive(name) for name in table.coordinators):
            self.last_revision_without_coordinators = None
            return False
        self._record_coordinator_writes(table, now)
        if table.candidate != self._candidate_name():
            self.candidate_at = None
            if now < self.candidacy_allowed_at:
                return False
            # Two candidates that replaced each other would never finish their wait.
            other = table.candidate.partition(":")[0]
            return other == self.own.instance_id or not is_alive(other)
        if self.candidate_at is None:
            self.candidate_at = now
        wait_s = OUTAGE_CAP_S * (1 + DRIFT) + TAKEOVER_WAIT_S
        return now >= self.candidate_at + wait_s

    def _record_coordinator_writes(self, table, now):
        """Delay a candidacy if unreachable coordinators have written a revision.

        Without the pause, instances that reach the store but no coordinator would
        renew a removed candidacy at once.
        """
        if (
            self.last_revision_without_coordinators not in (None, table.revision)
            and not table.candidate
        ):
            self.candidacy_allowed_at = now + CANDIDACY_PAUSE_S
        self.last_revision_without_coordinators = table.revision

    def _candidate_name(self):
        return f"{self.own.instance_id}:{self.own.incarnation}"

    def _has_unlisted_id(self, table):
        """Tell whether a written table lists no incarnation of this instance."""
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
        self.pending_write = PendingWrite(
            table, plan.base.revision, now, adds_coordinator=bool(added)
        )
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
        table = self.pending_write.table
        etag = self.etag if self.pending_write.base_revision else ""
        name = build_assignment_name(table.region)
        effects.append(WriteStore(name, encode_table(table), etag, table.writer))

    def _retry_write(self, now, effects):
        if (
            self.pending_write.is_unresolved
            and now - self.pending_write.sent_at >= WRITE_RETRY_S
        ):
            self.pending_write.sent_at = now
            self._send_write(effects)

    def finish_write(self, event):
        """Handle the end of a write.

        :param event: a `StoreWriteFinished`.
        :return: the stored `AssignmentTable`, ``None`` if it is not known to be
            stored.
        """
        write = self.pending_write
        if write is None or write.table.writer != event.nonce:
            return None
        if event.status is StoreStatus.DONE:
            self.pending_write = None
            self.etag = event.etag
            self.etag_revision = write.table.revision
            return write.table
        if event.status is StoreStatus.FAILED and not write.is_unresolved:
            self.pending_write = None
            return None
        # A conflict may be caused by an earlier attempt of the same write, so only a
        # read of a later revision shows the outcome.
        write.is_unresolved = True
        return None


def find_lost_domains(deployment, region, live_domains, known_domains):
    """Return the failure domains of a region that have lost all their instances.

    :param deployment: published configuration.
    :param region: region id.
    :param live_domains: failure domains with a live instance.
    :param known_domains: failure domains of which this instance has ever known an
        instance.
    """
    domains = set(deployment.regions_by_id[region].domains)
    return frozenset(domains & known_domains - live_domains)
