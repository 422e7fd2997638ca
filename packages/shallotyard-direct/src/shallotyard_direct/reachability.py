"""Detects that this instance cannot open connections to any upstream.

Only new connections are evidence, because those that are already open may keep
working while new ones are refused.
"""

import math
from operator import attrgetter

from shallotyard_direct.effects import ProbeUpstream

# Upstreams to which new connections must have failed before the instance counts as
# cut off, if it knows that many.
MIN_FAILED_UPSTREAMS = 3
# Older failures are no evidence.
EVIDENCE_RETENTION_S = 4.0
# Upstreams probed at a time: after the first failures, and while cut off.
SUSPICION_PROBES = 3
CUT_OFF_PROBES = 2
# Mean time between probes while cut off, and the least between those before.
PROBE_PERIOD_S = 0.5
# Probes of many instances that were cut off together are spread over this fraction of
# the period.
PROBE_JITTER = 0.4
# A response that is lost is no reason to probe if another arrived within this time.
RESPONSE_EVIDENCE_S = 0.3


class Reachability:
    """Whether new connections to upstreams can be opened.

    :param directory: the `Directory`.
    :param rng: a ``random.Random``.
    """

    def __init__(self, directory, rng):
        self.directory = directory
        self.rng = rng
        self.is_cut_off = False
        self.cut_off_since = -math.inf
        # Time of the last failed connection by upstream, since one was opened.
        self.failed_at_by_id = {}
        self.suspected = False
        self.responded_at = -math.inf
        self.probe_due_at = -math.inf

    def record_connection(self, upstream_id, opened, now):
        """Record that a new connection was opened, or that none could be opened.

        :return: whether `is_cut_off` has changed.
        """
        was_cut_off = self.is_cut_off
        if opened:
            self.failed_at_by_id.clear()
            self.suspected = self.is_cut_off = False
        else:
            self.failed_at_by_id[upstream_id] = now
            self.suspected = True
            if not was_cut_off and self._is_evidence_sufficient(now):
                self.is_cut_off = True
                self.cut_off_since = self.probe_due_at = now
        return self.is_cut_off != was_cut_off

    def record_response(self, now):
        """Record that an upstream responded, maybe on a connection opened long ago."""
        self.responded_at = now

    def record_lost_response(self, now):
        """Record that an upstream did not respond to a request, or that it could not be
        written in time, which may be less than the time to connect.
        """
        if now > self.responded_at + RESPONSE_EVIDENCE_S:
            self.suspected = True

    def tick(self, now, effects):
        """Probe upstreams while no connection has been opened since a failure."""
        if not self.suspected or now < self.probe_due_at:
            return
        jitter = 1 + PROBE_JITTER * (self.rng.random() - 0.5)
        self.probe_due_at = now + PROBE_PERIOD_S * jitter
        count = CUT_OFF_PROBES if self.is_cut_off else SUSPICION_PROBES
        for upstream in self._choose_probed(count):
            effects.append(ProbeUpstream(upstream.upstream_id, upstream.address))

    def _is_evidence_sufficient(self, now):
        """Return whether connections failed to enough upstreams, of different services
        and failure domains if there are some. One service or failure domain that is
        down is no reason to suspect the own links.
        """
        known = self._list_known()
        failed = [
            upstream
            for upstream in known
            if self.failed_at_by_id.get(upstream.upstream_id, -math.inf)
            > now - EVIDENCE_RETENTION_S
        ]
        enough = max(2, min(MIN_FAILED_UPSTREAMS, len(known)))
        return len(failed) >= enough and all(
            len({get_group(u) for u in failed})
            >= min(2, len({get_group(u) for u in known}))
            for get_group in (attrgetter("service_id"), attrgetter("domain"))
        )

    def _list_known(self):
        directory = self.directory
        return [
            upstream
            for upstream in directory.upstreams_by_id.values()
            if directory.is_in_service(upstream)
        ]

    def _choose_probed(self, count):
        """Return upstreams of services and failure domains that differ from each other,
        and from those to which connections failed.
        """
        candidates = self._list_known()
        self.rng.shuffle(candidates)
        services, domains = [], []
        for upstream in candidates:
            if not self.is_cut_off and upstream.upstream_id in self.failed_at_by_id:
                services.append(upstream.service_id)
                domains.append(upstream.domain)
        chosen = []
        while candidates and len(chosen) < count:
            upstream = min(
                candidates,
                key=lambda u: (
                    not self.is_cut_off and u.upstream_id in self.failed_at_by_id,
                    services.count(u.service_id) + domains.count(u.domain),
                ),
            )
            candidates.remove(upstream)
            services.append(upstream.service_id)
            domains.append(upstream.domain)
            chosen.append(upstream)
        return chosen
