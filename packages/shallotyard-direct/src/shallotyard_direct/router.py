"""The reducer of direct dispatch, which turns events into effects."""

import math
import random

from shallotyard_core.effects import LogDecision
from shallotyard_core.events import CallerDisconnected
from shallotyard_core.events import Tick
from shallotyard_direct import events
from shallotyard_direct import granter_lease
from shallotyard_direct import load_events
from shallotyard_direct import upstream_events
from shallotyard_direct.accounts import quota_events
from shallotyard_direct.accounts.quota_granter import QuotaGranter
from shallotyard_direct.directory import Directory
from shallotyard_direct.dispatch import Dispatcher
from shallotyard_direct.effects import WriteRecord
from shallotyard_direct.feed_source import NEVER_CURRENT_AGE_S
from shallotyard_direct.feed_source import START_WAIT_S
from shallotyard_direct.feed_source import FeedSource
from shallotyard_direct.feed_source import decode_members
from shallotyard_direct.granter import Granter
from shallotyard_direct.keys import grants
from shallotyard_direct.keys import moves
from shallotyard_direct.keys import tables
from shallotyard_direct.load_events import LOAD_REPORT_PERIOD_S
from shallotyard_direct.load_reports import LoadAggregator
from shallotyard_direct.load_reports import LoadReporter
from shallotyard_direct.owners import Owners
from shallotyard_direct.permit_issuer import PermitIssuer
from shallotyard_direct.requests import arrival
from shallotyard_direct.requests import outcomes
from shallotyard_direct.requests import quota_waits
from shallotyard_direct.shutdown import advance_shutdown
from shallotyard_direct.shutdown import handle_stop_request
from shallotyard_direct.upstream_events import CRASHES_KIND
from shallotyard_direct.upstream_events import MAX_LOGGED_IDS
from shallotyard_direct.upstream_events import OWN_ANSWER
from shallotyard_direct.upstreams.shared_capacity import FleetCapacities

INSTANCES_KIND = "instances"
# Load reports that a granter handles; one costs about 0.5 ms of CPU time.
MAX_LOAD_REPORTS_PER_S = 100
REGISTRATION_RETRY_S = 2.0
# An instance that was cut off from the upstreams does not acquire the granter's lease
# for this long. If all were, the keys wait for it.
CUT_OFF_LEASE_PAUSE_S = 1.0
# Time until all instances know of a new one, including those that read copies of the
# records that are several seconds old.
MEMBERSHIP_PROPAGATION_S = 12.0


class DirectRouter:
    """The complete state of an instance.

    :param settings: the `DirectSettings`.
    :param incarnation: unique id of this run of the process.
    :param now: start of the process in seconds.
    :param seed: seed of the random choices.
    """

    def __init__(self, settings, incarnation, now, seed):
        rng = self.rng = random.Random(seed)
        self.settings = settings
        self.incarnation = incarnation
        self.now = now
        self.directory = Directory(settings)
        self.owners = Owners()
        self.feed = FeedSource(settings)
        self.feed.begin(now)
        self.dispatcher = Dispatcher(
            settings,
            self.directory,
            self.owners,
            self.describe_copy,
            rng,
            self.feed.get_fresh_at,
            incarnation,
            now,
        )
        self.quota_granter = QuotaGranter(settings)
        self.granter = Granter(
            settings,
            self.directory,
            self.owners,
            self.get_relative_speed,
            self.find_rate_in_slots,
            incarnation,
            rng,
        )
        self.dispatcher.start_ends_at = now + START_WAIT_S
        self.granter.lease.start(now)
        placement = self.dispatcher.placement
        self.reporter = LoadReporter(self.owners, placement.loads_by_id, self.directory)
        self.load_aggregator = LoadAggregator()
        self.permit_issuer = PermitIssuer()
        self.fleet_capacities = FleetCapacities(incarnation)
        self.saturated = {}
        self.report_due_at = now + LOAD_REPORT_PERIOD_S
        self.aggregation_due_at = now
        self.registration_due_at = now
        self.has_listed_instances = False
        self.registered = False
        self.has_own_record = False
        self.instance_records_by_id = {}
        self.crash_records_by_name = {}
        self.store_era = 0
        self.speeds_by_id = {}
        self.median_processing_times_by_service = {}
        self.shutdown = None
        self.exiting = False

    @classmethod
    def from_settings(cls, settings, incarnation, now, seed):
        """Create the state of an instance that has just started."""
        return cls(settings, incarnation, now, seed)

    def is_ready(self):
        """Return whether the load balancer should send callers here."""
        directory = self.directory
        return (
            self.shutdown is None
            and directory.configuration is not None
            and directory.listed
            and not self._is_unserved()
        )

    def _is_unserved(self):
        """Return whether this instance reaches no upstream, and no other instance takes
        its requests.
        """
        dispatcher = self.dispatcher
        is_cut_off = dispatcher.reachability.is_cut_off
        return is_cut_off and dispatcher.relays.is_unaccepted(self.now)

    def is_stopping(self):
        """Return whether the instance is shutting down."""
        return self.shutdown is not None

    def may_send(self, attempt_id, now):
        """Return whether an attempt may still be written to its upstream, which may
        have left while the connection was opened.
        """
        attempt = self.dispatcher.attempts_by_id.get(attempt_id)
        return (
            attempt is not None
            and not attempt.abandoned
            and now < attempt.pending.expires_at
            and self.dispatcher.placement.is_still_selected(attempt, now)
            and self.dispatcher.access.is_still_authorized(attempt, now)
        )

    def describe_copy(self, now):
        """Return log fields that describe the copy of the store's objects: where it
        comes from, its age in milliseconds, and the revision of the upstreams in it.
        """
        age_s = min(now - self.feed.get_fresh_at(), NEVER_CURRENT_AGE_S)
        return {
            "copy_origin": self.feed.get_origin(),
            "copy_age_ms": round(age_s * 1000),
            "copy_revision": self.directory.upstreams_revision,
        }

    def find_distance(self, domain):
        """Return ``domain`` for the own failure domain, ``region`` for others of its
        region, ``other-region`` for those of other regions, else ``unknown``.
        """
        region = self.settings.region_by_domain.get(domain)
        if region is None:
            return "unknown"
        if domain == self.settings.domain:
            return "domain"
        return "region" if region == self.settings.region else "other-region"

    def find_upstream_distance(self, upstream_id):
        """Return the distance of an upstream, see `find_distance`."""
        upstream = self.directory.upstreams_by_id.get(upstream_id)
        return self.find_distance("" if upstream is None else upstream.domain)

    def find_instance_distance(self, instance):
        """Return the distance of another instance, see `find_distance`."""
        member = self.feed.members_by_id.get(instance)
        return self.find_distance("" if member is None else member.domain)

    def compute_min_report_period(self):
        """Return the shortest time between load reports, in seconds, with which the
        granter handles those of all instances.
        """
        return self.dispatcher.placement.instance_count / MAX_LOAD_REPORTS_PER_S

    def get_relative_speed(self, upstream_id):
        """Return the observed speed of an upstream relative to its service."""
        return self.speeds_by_id.get(upstream_id, 1.0)

    def find_rate_in_slots(self, upstream):
        """Return how many slots of usual speed the rate of an upstream keeps in use:
        the lower of that which it names and that of its responses while it was
        saturated. It is infinity without both.
        """
        upstream_id = upstream.upstream_id
        rate = self.permit_issuer.get_rate(upstream_id, self.now)
        if rate is None:
            rate = self.dispatcher.placement.rate_limits.get_rate(upstream_id)
        observed = self.load_aggregator.throughput.get_rate(upstream_id)
        rates = [r for r in (rate, observed) if r is not None]
        median_s = self.median_processing_times_by_service.get(upstream.service_id)
        if not rates or median_s is None:
            return math.inf
        return min(rates) * median_s


def reduce(router, event):
    """Apply one event.

    :param router: the `DirectRouter` state, changed in place.
    :param event: one of the classes of `shallotyard_direct.events`.
    :return: list of effects in the order in which they must be carried out.
    """
    effects = []
    router.now = event.now
    _HANDLERS[type(event)](router, event, effects)
    if router.dispatcher.placement.rate_limits.limits_by_id:
        load_events.request_permits(router, event.now, effects)
    if router.dispatcher.quotas.has_waiting:
        quota_events.request_shares(router, event.now, effects)
    return effects


def _handle_request(router, event, effects):
    arrival.handle_request(router.dispatcher, event.request, event.now, effects)


def _handle_caller_disconnected(router, event, effects):
    router.dispatcher.cancel_request(event.request_id, event.now, effects)


def _handle_attempt_result(router, event, effects):
    attempt = router.dispatcher.attempts_by_id.get(event.attempt_id)
    if event.leaving and attempt is not None:
        upstream_events.record_leaving(
            router, [attempt.incarnation], OWN_ANSWER, effects
        )
    outcomes.handle_attempt_result(router.dispatcher, event, effects)


def _handle_connection(router, event, effects):
    """Relay requests while no connection to an upstream can be opened."""
    reachability = router.dispatcher.reachability
    if not reachability.record_connection(event.upstream_id, event.opened, event.now):
        return
    if reachability.is_cut_off:
        fields = {"upstreams": sorted(reachability.failed_at_by_id)[:MAX_LOGGED_IDS]}
        effects.append(LogDecision("cut-off", "began", fields))
        _leave_granting(router, event.now, effects)
        router.dispatcher.relay_waiting(event.now, effects)
        return
    duration_ms = round((event.now - reachability.cut_off_since) * 1000)
    fields = {"upstream": event.upstream_id, "duration_ms": duration_ms}
    effects.append(LogDecision("cut-off", "ended", fields))
    router.dispatcher.placement.forget_failures()
    router.dispatcher.relays.forget_failures()


def _leave_granting(router, now, effects):
    """Leave the granter's lease to instances that reach the upstreams."""
    lease = router.granter.lease
    if lease.is_held(now):
        effects.append(LogDecision("granter", "gave up: cut off from upstreams", {}))
        lease.resign(now, effects, CUT_OFF_LEASE_PAUSE_S)


def _handle_relay_request(router, event, effects):
    arrival.handle_relayed_request(router.dispatcher, event.relayed, event.now, effects)


def _handle_relay_result(router, event, effects):
    # The response that says so is passed on by this instance.
    upstream_events.record_leaving(router, event.reply.leaving, OWN_ANSWER, effects)
    router.dispatcher.relays.handle_result(event, effects)


def _handle_configuration(router, event, effects):
    if router.directory.apply_configuration(event.configuration):
        fields = {
            "version": event.configuration.version,
            "origin": router.feed.get_origin(),
        }
        effects.append(LogDecision("configuration", "in force", fields))
        quota_events.apply_configuration(router, event.now)
        router.dispatcher.refuse_waiting_unauthorized(event.now, effects)


def _handle_configuration_check(router, event, effects):
    arrival.handle_configuration_check(
        router.dispatcher, event.store_answered, event.now, effects
    )


def _handle_store_reachability(router, event, effects):
    if router.directory.store_reachable != event.reachable:
        reason = "regained" if event.reachable else "lost"
        effects.append(LogDecision("store", reason, {}))
    router.directory.record_store_reachable(event.reachable, event.now)
    router.feed.record_store_call(event.reachable, event.now, effects)


def _handle_store_return(router, event, effects):
    """Write again what the store may have forgotten."""
    effects.append(LogDecision("store", "returned from a copy", {"era": event.era}))
    router.store_era = event.era
    router.directory.begin_store_life(event.now)
    router.registered = False
    router.registration_due_at = event.now
    for name, value in router.crash_records_by_name.items():
        effects.append(WriteRecord(CRASHES_KIND, name, value, 0, "crash"))


def _handle_record(router, event, effects):
    if event.kind == granter_lease.KIND:
        router.granter.lease.apply_record(
            event.revision, event.value, event.now, event.era
        )
    elif event.kind == CRASHES_KIND:
        upstream_events.apply_crash_record(router, event, effects)
    else:
        tables.apply_record(router.granter, event, effects)


def _handle_record_written(router, event, effects):
    if event.kind == granter_lease.KIND:
        if router.granter.lease.apply_write_result(event, event.now):
            router.granter.handle_lease_acquired(event.now, effects)
            router.permit_issuer.clear()
            quota_events.handle_lease_acquired(router, event.now)
            capacities = router.dispatcher.placement.capacities
            ids_by_service = router.directory.ids_by_service
            router.fleet_capacities.inherit(capacities, ids_by_service, event.now)
    elif event.kind == tables.KIND:
        tables.handle_write_result(router.granter, event, effects)
    elif event.kind == INSTANCES_KIND:
        router.registered = event.status is events.WriteStatus.DONE
        if event.status is events.WriteStatus.CONFLICT:
            router.has_own_record = True
            router.registration_due_at = event.now
        if router.registered:
            router.feed.record_registration(event.now)
            known_at = event.now + MEMBERSHIP_PROPAGATION_S
            placement = router.dispatcher.placement
            placement.use_shares_from(known_at)
            router.dispatcher.quotas.margin_from = placement.cold_share_from


def _handle_record_list(router, event, effects):
    own_id = router.settings.instance
    # Records of instances are never removed, but the store may forget them.
    records_by_id = router.instance_records_by_id
    for name, value in event.values.items():
        # One that is not valid any more does not end the instance that wrote the other.
        if value is not None or name not in records_by_id:
            records_by_id[name] = value
    members_by_id = decode_members(records_by_id)
    router.feed.members_by_id = members_by_id
    router.dispatcher.relays.members_by_id = members_by_id
    router.has_own_record |= own_id in event.values
    names = sorted({*records_by_id, own_id})
    placement = router.dispatcher.placement
    placement.apply_members(len(names), names.index(own_id))
    if not router.has_listed_instances:
        router.has_listed_instances = True
        if own_id in event.values:
            placement.use_shares_from(event.now)
    quota_events.apply_members(router, names, placement.cold_share_from)


def _handle_feed_heartbeat(router, event, effects):
    router.feed.handle_heartbeat(event, effects)


def _handle_feed_lost(router, event, effects):
    router.feed.handle_feed_loss(event, effects)


def _handle_watches_change(router, event, effects):
    router.feed.handle_watches_change(event)


def _handle_followers_change(router, event, effects):
    router.feed.followers = event.count


def _handle_grant_result(router, event, effects):
    grants.handle_grant_result(router.granter, event, effects)


def _handle_release_result(router, event, effects):
    moves.handle_release_result(router.granter, event, effects)


def _handle_tick(router, event, effects):
    now = event.now
    router.owners.expire_suspensions(now)
    router.directory.expire_departed(now)
    reachability = router.dispatcher.reachability
    reachability.tick(now, effects)
    if reachability.is_cut_off:
        _leave_granting(router, now, effects)
        router.granter.lease.pause_acquiring(now + CUT_OFF_LEASE_PAUSE_S)
    arrival.route_unconfigured(router.dispatcher, now, effects)
    arrival.look_up_keys(router.dispatcher, now, effects)
    quota_waits.settle(router.dispatcher, now, effects)
    router.dispatcher.expire_waiting(now, effects)
    router.granter.tick(now, effects)
    if router.granter.lease.is_held(now):
        load_events.issue_permits(router, now, effects)
    router.feed.tick(now, router.granter.lease.is_held(now), effects)
    load_events.refresh_capacities(router, now)
    if now >= router.report_due_at and router.shutdown is None:
        load_events.report_load(router, now, effects)
    if now >= router.aggregation_due_at and router.granter.lease.is_held(now):
        load_events.aggregate_loads(router, now)
    if (
        router.has_listed_instances
        and not router.registered
        and now >= router.registration_due_at
    ):
        router.registration_due_at = now + REGISTRATION_RETRY_S
        value = {
            "incarnation": router.incarnation,
            "domain": router.settings.domain,
            "address": router.settings.peer_address,
        }
        name = router.settings.instance
        # A list may be too old to show the record of an earlier run.
        revision = None if router.has_own_record else 0
        effects.append(WriteRecord(INSTANCES_KIND, name, value, revision, "register"))
    if router.shutdown is not None:
        advance_shutdown(router, now, effects)


def _handle_decision(router, event, effects):
    effects.append(event.decision)


def _handle_settings(router, event, effects):
    """Apply changed settings; the process keeps its listening addresses."""
    dispatcher = router.dispatcher
    components = (
        router.directory,
        router.feed,
        dispatcher,
        dispatcher.access,
        dispatcher.placement,
        dispatcher.relays,
    )
    for component in (router, router.granter, *components):
        component.settings = event.settings
    effects.append(LogDecision("settings", "reloaded", {}))


_HANDLERS = {
    events.RequestArrived: _handle_request,
    CallerDisconnected: _handle_caller_disconnected,
    events.AttemptFinished: _handle_attempt_result,
    events.ConnectionTried: _handle_connection,
    events.RelayRequested: _handle_relay_request,
    events.RelayFinished: _handle_relay_result,
    events.ConfigurationReceived: _handle_configuration,
    events.ConfigurationChecked: _handle_configuration_check,
    events.UpstreamsListed: upstream_events.handle_upstream_list,
    events.UpstreamChanged: upstream_events.handle_upstream_change,
    events.DomainsOutReceived: upstream_events.handle_domains_out,
    events.StoreReachable: _handle_store_reachability,
    events.RecordReceived: _handle_record,
    events.RecordWritten: _handle_record_written,
    events.RecordsListed: _handle_record_list,
    events.FeedHeartbeat: _handle_feed_heartbeat,
    events.FeedLost: _handle_feed_lost,
    events.StoreReturned: _handle_store_return,
    events.WatchesChanged: _handle_watches_change,
    events.FollowersChanged: _handle_followers_change,
    events.LoadReported: load_events.handle_load_report,
    events.SaturationReported: load_events.handle_saturation_report,
    events.PermitsRequested: load_events.handle_permit_request,
    events.PermitsIssued: load_events.handle_permits,
    events.SharesRequested: quota_events.handle_share_request,
    events.SharesGranted: quota_events.handle_shares,
    events.GrantFinished: _handle_grant_result,
    events.ReleaseFinished: _handle_release_result,
    events.DecisionMade: _handle_decision,
    events.SettingsRead: _handle_settings,
    events.StopRequested: handle_stop_request,
    Tick: _handle_tick,
}
