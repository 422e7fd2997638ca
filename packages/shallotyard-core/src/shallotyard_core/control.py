"""Control state of an instance: configuration, assignment, leases and liveness.

It handles every event that is not part of a request.
"""

import dataclasses
import math

from shallotyard_core.assignment import decode_table
from shallotyard_core.assignment import encode_table
from shallotyard_core.assignment import find_changed_holders
from shallotyard_core.coordinator import Coordinator
from shallotyard_core.coordinator import build_assignment_name
from shallotyard_core.coordinator import find_lost_domains
from shallotyard_core.domain_views import DomainViews
from shallotyard_core.domain_views import PeerKnowledge
from shallotyard_core.effects import Exit
from shallotyard_core.effects import ListInstances
from shallotyard_core.effects import LogDecision
from shallotyard_core.effects import ReadStore
from shallotyard_core.effects import ReplyPeer
from shallotyard_core.effects import SendPeer
from shallotyard_core.events import StoreStatus
from shallotyard_core.exceptions import AssignmentFormatError
from shallotyard_core.exceptions import InvariantError
from shallotyard_core.holder_maintenance import HolderMaintenance
from shallotyard_core.manifest import parse_manifest
from shallotyard_core.messages import Heartbeat
from shallotyard_core.messages import HeartbeatReply
from shallotyard_core.messages import Marks
from shallotyard_core.messages import ObjectPush
from shallotyard_core.messages import PromiseRequest
from shallotyard_core.messages import Release
from shallotyard_core.objects import MANIFEST
from shallotyard_core.objects import SERVICE_STATE
from shallotyard_core.objects import ObjectCache
from shallotyard_core.planner import PlanningView
from shallotyard_core.planner import create_empty_table
from shallotyard_core.proofs import ProofCollector
from shallotyard_core.service_state import ServiceState
from shallotyard_core.service_state import is_out_of_service
from shallotyard_core.service_state import parse_service_state
from shallotyard_core.timing import CONFIGURATION_PERIOD_S
from shallotyard_core.timing import INTER_REGION_HEARTBEAT_PERIOD_S
from shallotyard_core.timing import RENEWAL_PERIOD_S
from shallotyard_core.timing import STORE_STALE_S
from shallotyard_core.timing import TICK_S
from shallotyard_core.upstream_reports import UpstreamReports
from shallotyard_core.witness import WITNESS_MESSAGES

INSTANCE_LIST_PERIOD_S = 2.0
PLAN_PERIOD_S = 0.1
MAX_OUTSTANDING_READS_PER_OBJECT = 4
HEARTBEAT_TIMEOUT_S = 1.0
# The first assignment waits until the other instances have sent a heartbeat.
FIRST_PLAN_DELAY_S = 1.5
# Ingress instances in other regions may use an assignment that is a second old. Until
# they have the new one, a leaving instance must reply to them that a key has moved.
EXIT_DELAY_S = 2.0


class Control:
    """Control state of one instance.

    ``unconfirmed_peer_ids`` has the peers whose reply to the last heartbeat was lost,
    and ``next_due_at_by_task`` the time in seconds at which each periodic task is due,
    and under ``drain-limit`` the time at which a graceful shutdown must end.

    :param router: the `Router` that this belongs to.
    :param now: start of the process in seconds.
    """

    def __init__(self, router, now):
        self.router = router
        self.own = router.own
        self.started_at = now
        self.cache = ObjectCache()
        self.etags_by_name = {}
        self.outstanding_reads_by_name = {}
        self.next_due_at_by_task = {}
        self.deployment = None
        self.region = ""
        self.table = None
        self.service_state = ServiceState()
        self.coordinator = Coordinator(router.own, now)
        self.proofs = ProofCollector(router.leases, self.coordinator, router.membership)
        self.views = DomainViews(router.membership)
        self.unconfirmed_peer_ids = set()
        self.reports = UpstreamReports(router.own.instance_id)
        self._reports_collected_at = -math.inf
        self.store_reached_at = now
        self.store_read_count = 0
        self.store_write_count = 0
        self.known_domains = set()
        self.revisions_by_instance = {}
        self.maintenance = HolderMaintenance(self)
        self.exiting = False
        self.idle_since = None
        self.sent_table_revision_by_id = {}

    @property
    def reports_by_upstream(self):
        """Newest report of each upstream and the time of its observation in seconds."""
        return self.reports.reports_by_upstream

    # Objects

    def apply_object(self, name, body, now, effects):
        """Apply a store object if it is newer than the known copy.

        :param name: name of the store object.
        :param body: its JSON text.
        :param now: current time in seconds.
        :param effects: list that effects are appended to.
        :return: whether the body is valid.
        """
        if name == MANIFEST:
            return self._apply_manifest(body, now, effects)
        if name == SERVICE_STATE:
            return self._apply_service_state(body, now, effects)
        return self._apply_table(name, body, now, effects)

    def _apply_manifest(self, body, now, effects):
        parsed = parse_manifest(body)
        if parsed.is_err():
            effects.append(LogDecision("configuration", "invalid manifest ignored", {}))
            return False
        deployment = parsed.ok_value
        if not self.cache.put(MANIFEST, deployment.version, body):
            return True
        if self.deployment and deployment.version <= self.deployment.version:
            raise InvariantError("configuration", f"version {deployment.version}")
        self.deployment = deployment
        self.region = deployment.find_region_of_domain(self.own.domain)
        self.router.membership.other_region_domains = frozenset(
            each.id
            for each in deployment.domains_by_id.values()
            if self.region and each.region != self.region
        )
        self.router.ingress.apply_deployment(deployment, self.region)
        self.router.holder.apply_deployment(deployment, now)
        effects.append(
            LogDecision(
                "configuration", "newer manifest", {"version": deployment.version}
            )
        )
        if self.table is None and self.region in self.router.ingress.tables_by_region:
            # The table arrived while the manifest did not list the own domain.
            self._apply_assignment(
                self.router.ingress.tables_by_region[self.region], now, effects
            )
        return True

    def _apply_service_state(self, body, now, effects):
        parsed = parse_service_state(body)
        if parsed.is_err():
            effects.append(LogDecision("configuration", "invalid service state", {}))
            return False
        state = parsed.ok_value
        if self.cache.put(SERVICE_STATE, state.revision, body):
            self.service_state = state
            self.router.ingress.out_of_service_ids = state.out_of_service_ids
            self.router.holder.apply_out_of_service(
                state.out_of_service_ids, now, effects
            )
            self.router.ingress.clear_candidates()
            fields = {
                "revision": state.revision,
                "domains_out": sorted(state.domains_out),
                "instances_out": sorted(state.instances_out),
            }
            effects.append(LogDecision("configuration", "newer service state", fields))
        return True

    def _apply_table(self, name, body, now, effects):
        region = name.partition("/")[2]
        if self.deployment is None:
            return True
        try:
            table = decode_table(region, body)
        except AssignmentFormatError as error:
            effects.append(LogDecision("configuration", str(error), {}))
            return False
        if self.cache.put(name, table.revision, body):
            self.router.ingress.tables_by_region[region] = table
            self.router.ingress.clear_candidates()
            if region == self.region:
                self._apply_assignment(table, now, effects)
        return True

    def _apply_assignment(self, table, now, effects):
        previous_table = self.table
        if previous_table is not None and table.revision <= previous_table.revision:
            raise InvariantError("assignment-durable", f"revision {table.revision}")
        self.table = table
        assignment_change = self.router.holder.apply_assignment(table, now)
        self.maintenance.handle_assignment_change(
            assignment_change, previous_table, now, effects
        )
        self.router.holder.retry_parked(now, effects)

    # Periodic tasks

    def reschedule_if_due(self, name, period_s, now):
        """Tell whether a periodic task is due, and if so, schedule its next run.

        :param name: name of the task.
        :param period_s: seconds until the next run.
        :param now: current time in seconds.
        """
        if now < self.next_due_at_by_task.get(name, 0.0):
            return False
        self.next_due_at_by_task[name] = now + period_s
        return True

    def is_store_reader(self, now):
        """Tell whether this instance polls the store itself."""
        # A listed coordinator reads also if it is an earlier incarnation of this
        # instance, because it may be the only one left that can write.
        if self.table is not None and self.own.instance_id in self.table.coordinators:
            return True
        reader = self.router.membership.find_own_reader(now)
        if reader == self.own.instance_id or self.deployment is None:
            return True
        return now - self.router.leases.proof.proven_at > 2 * RENEWAL_PERIOD_S

    def start_store_reads(self, now, effects):
        """Start the store reads that are due."""
        if not self.is_store_reader(now):
            return
        if self.reschedule_if_due("configuration", CONFIGURATION_PERIOD_S, now):
            self._start_read(MANIFEST, effects)
            self._start_read(SERVICE_STATE, effects)
            for region in self.deployment.regions_by_id if self.deployment else ():
                if region != self.region:
                    self._start_read(build_assignment_name(region), effects)
        if self.region and self.reschedule_if_due("assignment", RENEWAL_PERIOD_S, now):
            self._start_read(build_assignment_name(self.region), effects)

    def _start_read(self, name, effects):
        if (
            self.outstanding_reads_by_name.get(name, 0)
            >= MAX_OUTSTANDING_READS_PER_OBJECT
        ):
            return
        self.outstanding_reads_by_name[name] = (
            self.outstanding_reads_by_name.get(name, 0) + 1
        )
        self.store_read_count += 1
        # The ETag is that of the last own read. The known copy may be newer, if it came
        # from another instance.
        effects.append(ReadStore(name, self.etags_by_name.get(name, "")))

    def send_heartbeats(self, now, effects, extra_target_ids=()):
        """Send the periodic heartbeats, if they are due.

        An instance sends to the reader of its failure domain. A reader also sends to
        the other readers, the coordinators and inherited members.

        :param now: current time in seconds.
        :param effects: list that effects are appended to.
        :param extra_target_ids: ids of further instances to send to.
        """
        if not self.reschedule_if_due("heartbeat", RENEWAL_PERIOD_S, now):
            return
        membership = self.router.membership
        targets = {*membership.update_reader_targets(now), *extra_target_ids}
        other_region_reader_ids = set()
        readers = membership.find_readers_by_domain(now)
        if readers[self.own.domain] == self.own.instance_id:
            other_region_reader_ids = {
                readers[d] for d in membership.other_region_domains if d in readers
            }
            targets.update(readers.values())
            # Inherited members send to this new reader once they receive its heartbeat.
            self.views.refresh(now)
            targets.update(
                each.instance_id for each in self.views.find_inherited_members(now)
            )
            if self.table is not None:
                targets.update(self.table.coordinators)
        if not self.reschedule_if_due(
            "inter-region heartbeat", INTER_REGION_HEARTBEAT_PERIOD_S, now
        ):
            targets -= other_region_reader_ids
        if self.reschedule_if_due("probe", CONFIGURATION_PERIOD_S, now):
            targets.update(membership.list_unseen_instances(now))
        targets.discard(self.own.instance_id)
        reports = self.collect_reports(now)
        for instance_id in sorted(targets):
            address = membership.find_address(instance_id)
            if address:
                in_own_region = instance_id not in other_region_reader_ids
                self._send_heartbeat(
                    instance_id, address, reports if in_own_region else [], now, effects
                )

    def _send_heartbeat(self, instance_id, address, reports, now, effects):
        """Send an instance a heartbeat with the views and reports that it lacks."""
        peer = self.views.knowledge_by_peer_id.get(instance_id, PeerKnowledge())
        digests, ages_ms, listed, members = self.views.build_update(peer, now)
        if not self.views.publishes_view:
            # The reader received the views that are not listed here before this
            # instance did, so their ages are of no use to it.
            ages_ms = {domain: ages_ms[domain] for domain in listed}
        if instance_id in self.unconfirmed_peer_ids:
            # A heartbeat without digests makes the peer repeat what the lost reply
            # contained.
            digests = {}
        reports_to_send = self.select_reports(reports, instance_id, now)
        heartbeat = Heartbeat(
            self.router.membership.build_own_member_age(),
            self.cache.list_revisions(),
            members,
            reports_to_send,
            digests,
            ages_ms,
            listed,
        )
        token = ("heartbeat", instance_id, heartbeat, now)
        effects.append(
            SendPeer(instance_id, address, heartbeat, token, HEARTBEAT_TIMEOUT_S)
        )

    def select_reports(self, reports, instance_id, now):
        """Return copies, with current ages, of the reports that an instance lacks.

        :param reports: list of `UpstreamReport`.
        :param instance_id: id of the instance.
        :param now: current time in seconds.
        """
        return [
            dataclasses.replace(
                report, age_s=now - self.reports_by_upstream[report.upstream_id][1]
            )
            for report in self.reports.select_unconfirmed(reports, instance_id, now)
        ]

    def collect_reports(self, now):
        """Return own and relayed upstream reports that are still valid.

        They are computed at most once in a tick, because the reader of a large failure
        domain needs them for several heartbeats in each tick.
        """
        if not 0.0 <= now - self._reports_collected_at < TICK_S:
            self.refresh_reports(now)
        return [report for report, _ in self.reports_by_upstream.values()]

    def refresh_reports(self, now):
        """Update the own upstream reports, and remove those of lost holders."""
        self._reports_collected_at = now
        own_reports = []
        for held_upstream in self.router.holder.held_upstreams_by_id.values():
            claim = self.router.holder.get_admission_claim(held_upstream.upstream.id)
            if claim is not None and claim.started:
                held_upstream.update_rates(now)
                report = held_upstream.build_report(now)
                report.holder = self.own.instance_id
                own_reports.append(report)
        self.record_reports(own_reports, now)
        is_alive = self.router.membership.is_alive
        self.reports.collect_current(lambda name: is_alive(name, now), now)

    def record_reports(self, reports, now):
        """Store those reports that are newer than the known ones.

        A sudden rise of a latency makes planning and ingress selection due at once.

        :param reports: list of `UpstreamReport`.
        :param now: current time in seconds.
        :return: whether the latency of an upstream has risen suddenly.
        """
        sudden = self.reports.record(reports, now)
        if sudden:
            self.next_due_at_by_task["plan"] = 0.0
            self.next_due_at_by_task["reported-latency"] = 0.0
            self.coordinator.no_change_cache.clear()
        return sudden

    def record_views(self, message, sent_digests, now):
        """Record the sender and the views in a heartbeat or a reply to one.

        :param message: the `Heartbeat` or `HeartbeatReply`.
        :param sent_digests: digests of the heartbeat that a reply belongs to, empty
            for a heartbeat.
        :param now: current time in seconds.
        """
        membership = self.router.membership
        sender = message.member
        sender_returned = not membership.is_alive(sender.instance_id, now)
        sender_returned |= (
            membership.find_incarnation(sender.instance_id) != sender.incarnation
        )
        membership.record_direct_contact(sender, now)
        self.views.apply_message(message, sent_digests, now, sender_returned)
        self.known_domains.add(message.member.domain)
        self.known_domains.update(member.domain for member in message.members)

    def plan(self, now, effects):
        """Let the coordinator plan and write changes of the assignment, if due."""
        if self.deployment is None or not self.region:
            return
        if not self.reschedule_if_due("plan", PLAN_PERIOD_S, now):
            return
        if now < self.started_at + FIRST_PLAN_DELAY_S:
            return
        table = self.table
        if table is None:
            if not self.maintenance.is_assignment_absent:
                return
            table = create_empty_table(self.region)
            self.coordinator.record_read(0, "")

        def is_alive(name):
            return self.router.membership.is_alive(name, now)

        # The cost of building the view grows with the number of members, and most
        # instances are not coordinators.
        if self.coordinator.is_plan_due(table, is_alive, now):
            view = self._build_planning_view(now)
            self.coordinator.plan(table, self.deployment, view, is_alive, now, effects)

    def _build_planning_view(self, now):
        """Return the `PlanningView` of the own region."""
        domains = set(self.deployment.regions_by_id[self.region].domains)
        live = self.router.membership.find_live_members(now)
        local = {n: m for n, m in live.items() if m.domain in domains}
        out_of_service_ids = self.service_state.out_of_service_ids
        eligible = {
            name: member
            for name, member in local.items()
            if not member.leaving
            and not is_out_of_service(name, member.domain, out_of_service_ids)
        }
        # If every instance is out of service or leaving, the live ones remain eligible.
        eligible = eligible or local
        live_domains = {member.domain for member in local.values()}
        return PlanningView(
            {name: member.incarnation for name, member in eligible.items()},
            {name: member.domain for name, member in local.items()},
            out_of_service_ids,
            {name: report for name, (report, _) in self.reports_by_upstream.items()},
            find_lost_domains(
                self.deployment, self.region, live_domains, self.known_domains
            ),
        )

    def send_table_once(self, instance_id, effects):
        """Send the newest table to an ingress that used an older one.

        Each revision is sent once to each instance.

        :param instance_id: id of the ingress instance.
        :param effects: list that effects are appended to.
        """
        revision = self.table.revision if self.table else 0
        if self.sent_table_revision_by_id.get(instance_id, 0) < revision:
            self.sent_table_revision_by_id[instance_id] = revision
            self.maintenance.push_table({instance_id}, effects)

    def broadcast_marks(self, effects):
        """Send changed quarantine marks to the other instances of the region."""
        changed = self.router.holder.unshared_marks
        if not changed:
            return
        message = Marks(dict(changed))
        changed.clear()
        for member in self.list_region_members(self.router.now):
            effects.append(SendPeer(member.instance_id, member.address, message))

    def list_region_members(self, now):
        """Return the other live instances of the own region."""
        if self.deployment is None or not self.region:
            return []
        domains = set(self.deployment.regions_by_id[self.region].domains)
        return [
            member
            for member in self.router.membership.find_live_members(now).values()
            if member.domain in domains and member.instance_id != self.own.instance_id
        ]

    def exit_if_drained(self, now, effects):
        """Stop the process once a requested drain is complete or has timed out."""
        if not self.own.leaving or self.exiting:
            return
        if now < self.next_due_at_by_task["drain-limit"]:
            if self._is_still_needed(now):
                self.idle_since = None
                return
            if self.idle_since is None:
                self.idle_since = now
            if now < self.idle_since + EXIT_DELAY_S and self.router.leases.revision:
                return
        self.exiting = True
        effects.append(Exit())

    def _is_still_needed(self, now):
        """Tell whether other instances still depend on claims of this instance.

        Requests of callers do not count: more of them may always arrive, and those in
        progress are answered after the listening sockets have closed.
        """
        router = self.router
        if router.holder.has_calls or router.leases.draining_claims_by_key:
            return True
        successors = [m for m in self.list_region_members(now) if not m.leaving]
        return bool(successors and router.leases.claims_by_id)


# Handlers of events


def send_reports_now(router, now, effects):
    """Send reports at once, also to the coordinators."""
    control = router.control
    router.holder.report_due = False
    # Reports that were collected earlier in this tick lack the change.
    control.refresh_reports(now)
    control.next_due_at_by_task["heartbeat"] = 0.0
    coordinators = control.table.coordinators if control.table is not None else ()
    control.send_heartbeats(now, effects, coordinators)
    control.plan(now, effects)


def handle_tick(router, event, effects):
    """Run the periodic tasks that are due."""
    now = event.now
    control = router.control
    if control.reschedule_if_due("instances", INSTANCE_LIST_PERIOD_S, now):
        effects.append(ListInstances())
    control.start_store_reads(now, effects)
    control.send_heartbeats(now, effects)
    control.proofs.tick(control.table, now, effects)
    control.maintenance.tick(now, effects)
    router.holder.mark_suspects_at_silent_upstreams(now, effects)
    if control.deployment and control.reschedule_if_due(
        "reported-latency", RENEWAL_PERIOD_S, now
    ):
        reports = [report for report, _ in control.reports_by_upstream.values()]
        router.ingress.apply_upstream_reports(reports, now)
    router.holder.resolve_due(now)
    router.holder.retry_parked(now, effects)
    for held_upstream in list(router.holder.held_upstreams_by_id.values()):
        router.holder.start_queued(held_upstream, now, effects)
    router.ingress.fail_expired(now, effects)
    control.plan(now, effects)
    control.exit_if_drained(now, effects)


def handle_store_read(router, event, effects):
    """Apply the object that a store read returned.

    A read of the own region's applied assignment revision is also a proof.
    """
    control = router.control
    name = event.name
    control.outstanding_reads_by_name[name] = (
        control.outstanding_reads_by_name.get(name, 1) - 1
    )
    if event.status is StoreStatus.FAILED:
        return
    control.store_reached_at = event.now
    control.coordinator.store_reached_at = event.now
    own_name = build_assignment_name(control.region) if control.region else None
    if event.status is StoreStatus.ABSENT:
        if name == own_name:
            control.maintenance.is_assignment_absent = True
        return
    if event.status is StoreStatus.DONE:
        if not control.apply_object(name, event.body.decode(), event.now, effects):
            return
        control.etags_by_name[name] = event.etag
    if name == own_name and control.table is not None:
        _record_read_as_proof(control, event, effects)


def _record_read_as_proof(control, event, effects):
    """Record which revision a read returned, and a proof if it is the applied one."""
    if event.status is StoreStatus.DONE:
        revision = _find_read_revision(control, event)
        control.maintenance.stored_revision = revision
        control.coordinator.record_read(revision, event.etag)
    elif event.etag != control.etags_by_name.get(event.name):
        return
    else:
        revision = control.maintenance.stored_revision
    if revision == control.table.revision:
        control.proofs.record_store_proof(revision, event.began_at)


def _find_read_revision(control, event):
    """Return the revision of a valid assignment object that was read."""
    body = event.body.decode()
    copy = control.cache.objects_by_name[event.name]
    if copy.body == body:
        # Skip decoding, which takes milliseconds for a large table: the cached copy
        # was decoded when it was applied.
        return copy.revision
    return decode_table("", body).revision


def handle_store_write(router, event, effects):
    """Apply the table of a successful store write, and push it to its holders."""
    control = router.control
    control.store_write_count += 1
    table = control.coordinator.finish_write(event)
    if table is None:
        # Without an ETag the next read returns the whole object, which shows the
        # outcome of the write.
        control.etags_by_name.pop(event.name, None)
        control.next_due_at_by_task["assignment"] = 0.0
        return
    control.store_reached_at = event.now
    control.etags_by_name[event.name] = event.etag
    control.maintenance.stored_revision = table.revision
    previous_table = control.table
    body = encode_table(table).decode()
    control.apply_object(event.name, body, event.now, effects)
    # Without the push, holders would receive a move one or two heartbeats later.
    affected = (
        find_changed_holders(previous_table, table)
        if previous_table
        else set(table.coordinators)
    )
    control.maintenance.push_table(affected - {control.own.instance_id, ""}, effects)
    control.next_due_at_by_task["heartbeat"] = 0.0


def handle_instances(router, event, effects):
    """Record the platform's instance list."""
    router.membership.replace_instance_list(event.instances)


def handle_upstream_polled(router, event, effects):
    """Handle the result of a grant or health call to an upstream."""
    router.control.maintenance.handle_poll_result(event, effects)


def handle_drain(router, event, effects):
    """Begin a graceful shutdown."""
    if not router.own.leaving:
        router.own.leaving = True
        router.control.maintenance.witness_service.close(router.own.incarnation)
        router.control.next_due_at_by_task["drain-limit"] = (
            event.now + router.settings.drain_s
        )
        router.control.next_due_at_by_task["heartbeat"] = 0.0
        effects.append(LogDecision("drain", "shutdown requested", {}))


def handle_message(router, event, effects):
    """Handle a control message of another instance."""
    message = event.message
    if isinstance(message, WITNESS_MESSAGES):
        reply = router.control.maintenance.witness_service.handle(message, event.now)
        if event.reply_to is not None:
            effects.append(ReplyPeer(event.reply_to, reply))
        return
    _MESSAGE_HANDLERS[type(message)](router, event, message, effects)


def _handle_heartbeat(router, event, message, effects):
    control = router.control
    now = event.now
    control.record_views(message, {}, now)
    control.revisions_by_instance[message.member.instance_id] = message.revisions
    if control.record_reports(message.reports, now):
        control.plan(now, effects)
    # Reports that came from a peer need not be sent back to it.
    control.reports.record_confirmed(
        message.member.instance_id,
        message.member.incarnation,
        [(report, now) for report in message.reports],
    )
    proof = router.leases.proof
    reports_to_send = _select_reply_reports(control, message, now)
    peer = control.views.knowledge_by_peer_id[message.member.instance_id]
    digests, ages_ms, listed, members = control.views.build_update(peer, now)
    reply = HeartbeatReply(
        router.membership.build_own_member_age(),
        control.cache.list_revisions(),
        control.cache.list_newer_copies(message.revisions),
        members,
        reports_to_send,
        digests={d: v for d, v in digests.items() if message.digests.get(d) != v},
        ages_ms=ages_ms,
        listed=listed,
    )
    if control.table is not None and proof.revision == control.table.revision:
        reply.proof_revision = proof.revision
        # Rounded up, because a proof must not seem younger than it is.
        reply.proof_age_s = math.ceil((now - proof.proven_at) * 1000) / 1000
        reply.store_age_s = math.ceil((now - proof.store_read_at) * 1000) / 1000
        reply.pendings = list(proof.unresolved_writes)
    effects.append(ReplyPeer(event.reply_to, reply))


def _select_reply_reports(control, message, now):
    """Return the reports to send in the reply to a heartbeat.

    A heartbeat without digests shows that the previous reply was lost.
    """
    sender = message.member
    if sender.domain in control.router.membership.other_region_domains:
        return []
    if not message.digests:
        control.reports.discard_confirmations(sender.instance_id)
    reports = control.collect_reports(now)
    reports_to_send = control.select_reports(reports, sender.instance_id, now)
    sent = [(report, now) for report in reports_to_send]
    control.reports.record_confirmed(sender.instance_id, sender.incarnation, sent)
    return reports_to_send


def _handle_promise_request(router, event, message, effects):
    control = router.control
    fresh = event.now - router.leases.proof.store_read_at < STORE_STALE_S
    table = control.table if message.region == control.region else None
    # If the last store read is fresh, the requester receives its proof by heartbeat
    # instead. A promise would only delay this coordinator's writes.
    reply = control.coordinator.handle_promise_request(
        message, None if fresh else table, event.now
    )
    effects.append(ReplyPeer(event.reply_to, reply))


def _handle_release(router, event, message, effects):
    if message.region == router.control.region:
        router.control.maintenance.apply_release(message, event.now, effects)


def _handle_push(router, event, message, effects):
    copy = message.copy
    control = router.control
    if copy.revision > control.cache.get_revision(copy.name):
        control.apply_object(copy.name, copy.body, event.now, effects)


def _handle_marks(router, event, message, effects):
    router.holder.quarantine.merge_marks(message.marks.items(), event.now)


_MESSAGE_HANDLERS = {
    Heartbeat: _handle_heartbeat,
    PromiseRequest: _handle_promise_request,
    Release: _handle_release,
    ObjectPush: _handle_push,
    Marks: _handle_marks,
}


def handle_reply(router, event, effects):
    """Handle the reply to a control message, or its loss."""
    control = router.control
    kind = event.token[0]
    if kind == "heartbeat":
        _handle_heartbeat_reply(router, event, effects)
    elif kind == "promise":
        control.proofs.record_promise(event.token[1], event.token[2], event.message)
    else:
        control.maintenance.handle_peer_reply(event, effects)


def _handle_heartbeat_reply(router, event, effects):
    reply = event.message
    control = router.control
    if reply is None:
        control.unconfirmed_peer_ids.add(event.instance_id)
        return
    control.unconfirmed_peer_ids.discard(event.instance_id)
    sent = event.token[2]
    control.record_views(reply, sent.digests, event.now)
    control.reports.record_confirmed(
        reply.member.instance_id,
        reply.member.incarnation,
        [(report, event.token[3]) for report in sent.reports],
    )
    control.revisions_by_instance[reply.member.instance_id] = reply.revisions
    control.record_reports(reply.reports, event.now)
    for copy in sorted(reply.objects, key=lambda c: c.name != MANIFEST):
        if copy.revision > control.cache.get_revision(copy.name):
            control.apply_object(copy.name, copy.body, event.now, effects)
    if _is_same_region(control, reply.member.domain):
        control.proofs.record_peer_proof(reply, event.sent_at, control.table)


def _is_same_region(control, domain_id):
    """Tell whether a failure domain is in the own region."""
    if control.deployment is None:
        return False
    region = control.deployment.find_region_of_domain(domain_id)
    return region != "" and region == control.region
