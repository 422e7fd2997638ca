"""Handles load reports and permits, at the granter and at the other instances."""

from shallotyard_core.effects import LogDecision
from shallotyard_direct import upstream_events
from shallotyard_direct.accounts import quota_events
from shallotyard_direct.effects import IssuePermits
from shallotyard_direct.effects import ReplyToLoadReport
from shallotyard_direct.effects import ReportLoad
from shallotyard_direct.effects import RequestPermits
from shallotyard_direct.keys import statements
from shallotyard_direct.load_reports import QUEUEING_FRACTION
from shallotyard_direct.load_reports import compute_median_processing_times
from shallotyard_direct.load_reports import compute_relative_speeds
from shallotyard_direct.load_reports import find_saturated
from shallotyard_direct.upstreams.capacity import REFRESH_PERIOD_S
from shallotyard_direct.upstreams.shared_capacity import build_report

# How often an instance reports its observed load to the granter.
LOAD_REPORT_PERIOD_S = 1.0
# Shorter period, used while upstreams are saturated.
SATURATED_LOAD_REPORT_PERIOD_S = 0.4
# How often the granter aggregates the reports.
LOAD_AGGREGATION_PERIOD_S = 0.4
# Token of requests for permits of the granter itself.
OWN_REQUEST = ""


def handle_load_report(router, event, effects):
    """Aggregate the report of an instance, and reply if this is the granter."""
    router.load_aggregator.apply_report(event.instance, event.value, event.now)
    capacity = event.value.get("capacity") or {}
    router.fleet_capacities.apply_report(capacity, event.now)
    upstream_events.record_leaving(
        router, event.value.get("leaving", []), event.instance, effects
    )
    statement = event.value.get("former_grants")
    if statements.accept_statement(router.granter, statement, event.now):
        effects.append(LogDecision("granter", "predecessor stated its grants", {}))
    if router.granter.lease.is_held(event.now):
        rates_by_id = router.permit_issuer.list_rates(event.now)
        leaving = router.directory.list_leaving_by_answer()
        shares = quota_events.answer_report(router, event)
        changes = {}
        if "known" in capacity:
            changes = router.fleet_capacities.list_changes(capacity["known"])
        effects.append(
            ReplyToLoadReport(
                event.instance,
                router.saturated,
                rates_by_id,
                leaving,
                shares,
                changes,
            )
        )


def handle_saturation_report(router, event, effects):
    """Apply the granter's reply to a load report."""
    placement = router.dispatcher.placement
    placement.apply_saturation_report(event.in_flight, event.now)
    placement.rate_limits.apply_reported_rates(event.rates_by_id, event.now)
    placement.capacities.apply_reply(event.capacity, event.now)
    upstream_events.record_leaving(
        router, event.leaving, router.granter.lease.holder, effects
    )
    quota_events.apply_reported_shares(router, event, effects)


def request_permits(router, now, effects):
    """Request the permits that requests wait for from the granter, which may be this
    instance.
    """
    limits = router.dispatcher.placement.rate_limits
    wanted = limits.take_request(now)
    if not wanted:
        return
    lease = router.granter.lease
    member = router.feed.members_by_id.get(lease.holder)
    if lease.is_held(now):
        router.permit_issuer.add_request((OWN_REQUEST, now), wanted, now)
        issue_permits(router, now, effects)
    elif member is not None and not lease.is_own:
        effects.append(RequestPermits(member.address, wanted, now, member.instance))


def _apply_permits(router, count_by_id, requested_at, effects):
    dispatcher = router.dispatcher
    dispatcher.placement.rate_limits.apply_permits(
        count_by_id, requested_at, router.now
    )
    for name in list(dispatcher.queues_by_name):
        dispatcher.send_waiting(name, router.now, effects)


def handle_permit_request(router, event, effects):
    """Issue permits to an instance, if this is the granter."""
    if not router.granter.lease.is_held(event.now):
        effects.append(IssuePermits(event.token, None))
        return
    router.permit_issuer.add_request((event.token, event.now), event.wanted, event.now)
    issue_permits(router, event.now, effects)


def issue_permits(router, now, effects):
    """Answer the requests for permits that can be answered now."""
    for (token, requested_at), count_by_id in router.permit_issuer.issue(now).items():
        if token == OWN_REQUEST:
            _apply_permits(router, count_by_id, requested_at, effects)
        else:
            effects.append(IssuePermits(token, count_by_id))


def handle_permits(router, event, effects):
    """Apply permits that the granter has issued."""
    _apply_permits(router, event.count_by_id, event.requested_at, effects)


def report_load(router, now, effects):
    """Report the observed load to the granter, which may be this instance."""
    placement = router.dispatcher.placement
    saturated = bool(placement.saturated_ids)
    period_s = SATURATED_LOAD_REPORT_PERIOD_S if saturated else LOAD_REPORT_PERIOD_S
    router.report_due_at = now + max(period_s, router.compute_min_report_period())
    lease = router.granter.lease
    value = router.reporter.build_report(lease.holder)
    quota_events.add_to_report(router, value, now)
    statement = statements.build_statement(router.granter, now)
    if statement:
        value["former_grants"] = statement
    if router.settings.learned_limits is not False:
        value["capacity"] = build_report(placement.capacities, now)
    member = router.feed.members_by_id.get(lease.holder)
    if lease.is_held(now):
        router.load_aggregator.apply_report(router.settings.instance, value, now)
        quota_events.apply_own_report(router, value, now, effects)
        placement.apply_saturation_report(router.saturated, now)
        rates_by_id = router.permit_issuer.list_rates(now)
        placement.rate_limits.apply_reported_rates(rates_by_id, now)
        _apply_own_capacity_report(router, value.get("capacity"), now)
    elif member is not None and not lease.is_own:
        effects.append(ReportLoad(member.address, value, member.instance, now))


def _apply_own_capacity_report(router, report, now):
    """Take the samples and the values of the granter, which is this instance."""
    if report is None:
        return
    router.fleet_capacities.apply_report(report, now)
    capacities = router.dispatcher.placement.capacities
    changes = router.fleet_capacities.list_changes(report["known"])
    capacities.apply_reply(changes, now)


def refresh_capacities(router, now):
    """Compute the learned capacities of all upstreams at this instance."""
    dispatcher = router.dispatcher
    capacities = dispatcher.placement.capacities
    if (
        router.settings.learned_limits is False
        or now < capacities.refreshed_at + REFRESH_PERIOD_S
    ):
        return
    capacities.record_overdue(dispatcher.attempts_by_id.values(), now)
    capacities.refresh(router.directory.ids_by_service, now)


def aggregate_loads(router, now):
    """Compute speeds and saturated upstreams from all load reports."""
    router.aggregation_due_at = now + LOAD_AGGREGATION_PERIOD_S
    load_aggregator, directory = router.load_aggregator, router.directory
    load_aggregator.decay(now)
    router.granter.counts_by_service = load_aggregator.counts_by_service
    router.speeds_by_id = compute_relative_speeds(
        load_aggregator.compute_processing_times(), directory.ids_by_service
    )
    router.median_processing_times_by_service = compute_median_processing_times(
        load_aggregator.compute_processing_times(), directory.ids_by_service
    )
    if router.settings.learned_limits is not False:
        router.fleet_capacities.publish(directory.ids_by_service, now)
        speeds_by_id = router.fleet_capacities.speeds_by_id
        placement = router.dispatcher.placement
        for service_id, ids in directory.ids_by_service.items():
            if placement.is_learned(service_id):
                found = {i: speeds_by_id[i] for i in ids if i in speeds_by_id}
                router.speeds_by_id.update(found)
    router.permit_issuer.expire_budgets(now)
    router.saturated = find_saturated(load_aggregator, directory.upstreams_by_id, now)
    # Requests on the way count as in flight, so that those in use may be fewer.
    queueing = find_saturated(
        load_aggregator, directory.upstreams_by_id, now, QUEUEING_FRACTION
    )
    load_aggregator.throughput.update(queueing, now)
