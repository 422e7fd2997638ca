"""Upstream reports known to an instance, and which of them each peer lacks."""

REPORT_TTL_S = 3.0
REPEAT_PERIOD_S = 1.0
# Smaller changes have no effect on the planner.
MIN_RELATIVE_CHANGE = 0.2
MIN_RATE_CHANGE = 1.0
MIN_HOT_RATE_CHANGE = 5.0
# Ordinary growth of a smoothed latency stays below this factor between two reports.
SUDDEN_SLOWDOWN_RATIO = 2.0


class UpstreamReports:
    """Newest report of each upstream, and the reports that each peer has confirmed.

    :param own_id: id of this instance.
    """

    def __init__(self, own_id):
        self.own_id = own_id
        self.reports_by_upstream = {}
        self._confirmed_reports_by_peer = {}

    def record(self, reports, now):
        """Store those reports that are newer than the known ones.

        :param reports: list of `UpstreamReport`.
        :param now: current time in seconds.
        :return: whether the latency of an upstream has risen suddenly.
        """
        sudden = False
        for report in reports:
            observed_at = now - report.age_s
            known = self.reports_by_upstream.get(report.upstream_id)
            if known is None or observed_at > known[1]:
                self.reports_by_upstream[report.upstream_id] = (report, observed_at)
                before_s = known[0].latency_s if known else 0.0
                sudden |= 0.0 < SUDDEN_SLOWDOWN_RATIO * before_s < report.latency_s
        return sudden

    def collect_current(self, is_alive, now):
        """Return the reports that are still valid, and remove the others.

        :param is_alive: function from instance id to whether it is alive.
        :param now: current time in seconds.
        :return: list of `UpstreamReport` with updated ages.
        """
        reports = []
        for upstream_id, (report, observed_at) in list(
            self.reports_by_upstream.items()
        ):
            report.age_s = now - observed_at
            # Holders send a report of a serving upstream again only after a change,
            # so it stays valid while the holder is alive.
            is_persistent = report.state == "serving" and report.holder not in (
                "",
                self.own_id,
            )
            if (
                is_persistent
                and is_alive(report.holder)
                or report.age_s <= REPORT_TTL_S
            ):
                reports.append(report)
            else:
                del self.reports_by_upstream[upstream_id]
        return reports

    def select_unconfirmed(self, reports, peer_id, now):
        """Return the reports whose present content a peer has not confirmed."""
        _, confirmed = self._confirmed_reports_by_peer.get(peer_id, ("", {}))
        return [
            report
            for report in reports
            if _needs_sending(confirmed.get(report.upstream_id), report, now)
        ]

    def discard_confirmations(self, peer_id):
        """Discard a peer's confirmations, because it may lack what was sent to it."""
        self._confirmed_reports_by_peer.pop(peer_id, None)

    def record_confirmed(self, peer_id, incarnation, reports):
        """Record the reports that a peer is known to have.

        :param peer_id: instance id of the peer.
        :param incarnation: its incarnation; confirmations of another one are void.
        :param reports: pairs of report and time of sending in seconds.
        """
        known, confirmed = self._confirmed_reports_by_peer.get(peer_id, ("", {}))
        if known != incarnation:
            confirmed = {}
            self._confirmed_reports_by_peer[peer_id] = (incarnation, confirmed)
        for report, sent_at in reports:
            confirmed[report.upstream_id] = (report, sent_at)


def _needs_sending(confirmed, report, now):
    """Tell whether a report differs enough from the one that a peer confirmed."""
    if confirmed is None:
        return True
    last, sent_at = confirmed
    if report.state != "serving" and now - sent_at >= REPEAT_PERIOD_S:
        return True
    if (last.state, last.limit, last.holder) != (
        report.state,
        report.limit,
        report.holder,
    ):
        return True
    loads = (report.latency_s, report.rate, report.hot_rates)
    if (last.latency_s, last.rate, last.hot_rates) == loads:
        return False
    return (
        _differs(last.latency_s, report.latency_s, 0.0)
        or _differs(last.rate, report.rate, MIN_RATE_CHANGE)
        or _hot_rates_differ(last.hot_rates, report.hot_rates)
    )


def _differs(before, after, minimum):
    change = abs(after - before)
    return change > minimum and change > MIN_RELATIVE_CHANGE * max(before, after)


def _hot_rates_differ(before, after):
    for service_id in before.keys() | after.keys():
        old = before.get(service_id, {})
        new = after.get(service_id, {})
        for position in old.keys() | new.keys():
            rates = old.get(position, 0.0), new.get(position, 0.0)
            if _differs(*rates, MIN_HOT_RATE_CHANGE):
                return True
    return False
