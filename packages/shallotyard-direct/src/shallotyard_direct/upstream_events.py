"""Handles events about upstreams: entries, crashes, leaving, domains out of service."""

from shallotyard_core.effects import LogDecision
from shallotyard_direct.effects import WriteRecord

CRASHES_KIND = "crashes"
# Own records of crashes that are written again if the store has forgotten them.
MAX_OWN_CRASH_RECORDS = 256
# Origin of what a response to this instance has shown, in log lines.
OWN_ANSWER = "answer"
# Ids of added, removed or leaving upstreams in one log line.
MAX_LOGGED_IDS = 20


def record_leaving(router, incarnations, origin, effects):
    """Record the incarnations of upstreams that say that they are leaving.

    :param origin: `OWN_ANSWER`, or the instance that reported them.
    """
    directory, now = router.directory, router.now
    for upstream_id, started_ms in incarnations:
        if not directory.record_leaving_by_answer(upstream_id, started_ms, now):
            continue
        upstream = directory.upstreams_by_id[upstream_id]
        fields = {
            "upstream": upstream_id,
            "service": upstream.service_id,
            "domain": upstream.domain,
            "origin": origin,
        }
        effects.append(LogDecision("upstream", "leaving by its own answer", fields))
        if origin == OWN_ANSWER:
            # Until the granter knows, no other upstream gets the keys of this one.
            spread_s = router.compute_min_report_period() * router.rng.random()
            router.report_due_at = min(router.report_due_at, now + spread_s)


def handle_upstream_list(router, event, effects):
    """Apply a list of all upstreams."""
    before = dict(router.directory.upstreams_by_id)
    router.directory.apply_upstream_list(event.upstreams, event.now)
    router.directory.upstreams_revision = event.revision
    router.store_era = max(router.store_era, event.era)
    for upstream in before.values():
        _record_crashes(router, upstream, event.now, effects)
    router.dispatcher.retain_upstreams(router.directory.upstreams_by_id)
    after = router.directory.upstreams_by_id
    leaving = {u.upstream_id for u in after.values() if u.leaving}
    left_before = {u.upstream_id for u in before.values() if u.leaving}
    fields = {
        "count": len(event.upstreams),
        "revision": event.revision,
        "origin": router.feed.get_origin(),
        "added": sorted(after.keys() - before.keys())[:MAX_LOGGED_IDS],
        "removed": sorted(before.keys() - after.keys())[:MAX_LOGGED_IDS],
        "leaving": sorted(leaving - left_before)[:MAX_LOGGED_IDS],
    }
    effects.append(LogDecision("upstreams", "listed", fields))


def handle_upstream_change(router, event, effects):
    """Apply a change of one upstream."""
    before = router.directory.upstreams_by_id.get(event.upstream_id)
    router.directory.apply_upstream_change(event.upstream_id, event.upstream, event.now)
    router.directory.upstreams_revision = event.revision
    router.dispatcher.retain_upstreams(router.directory.upstreams_by_id)
    if before is not None:
        _record_crashes(router, before, event.now, effects)
    upstream = event.upstream
    fields = {
        "upstream": event.upstream_id,
        "revision": event.revision,
        "origin": router.feed.get_origin(),
    }
    if upstream is not None:
        fields |= {
            "service": upstream.service_id,
            "domain": upstream.domain,
            "leaving": upstream.leaving,
            "cold_s": upstream.cold_left_s,
        }
    reason = "gone" if upstream is None else "changed"
    effects.append(LogDecision("upstream", reason, fields))


def _record_crashes(router, before, now, effects):
    """Store the fingerprints of requests that were in progress at an upstream, if it
    has crashed.

    :param before: the `Upstream` before the current event.
    """
    current = router.directory.upstreams_by_id.get(before.upstream_id)
    is_running = current is not None and current.started_ms == before.started_ms
    if is_running or before.leaving:
        return
    incarnation = (before.upstream_id, before.started_ms)
    for fingerprint in router.dispatcher.crash_marks.record_upstream_crash(
        incarnation, now
    ):
        upstream_id, started_ms = incarnation
        name = f"{fingerprint}-{upstream_id}-{started_ms}"
        value = {
            "fingerprint": fingerprint,
            "upstream_id": upstream_id,
            "started_ms": started_ms,
        }
        router.crash_records_by_name[name] = value
        while len(router.crash_records_by_name) > MAX_OWN_CRASH_RECORDS:
            del router.crash_records_by_name[next(iter(router.crash_records_by_name))]
        effects.append(WriteRecord(CRASHES_KIND, name, value, 0, "crash"))
        fields = {"fingerprint": fingerprint, "upstream": upstream_id}
        effects.append(LogDecision("crash-mark", "in progress at a crash", fields))


def apply_crash_record(router, event, effects):
    """Apply a record of a request that was in progress at a crash."""
    value = event.value
    value = value if isinstance(value, dict) else {}
    fingerprint, started_ms = value.get("fingerprint"), value.get("started_ms")
    incarnation = (value.get("upstream_id"), started_ms)
    texts = (fingerprint, incarnation[0])
    if all(isinstance(text, str) for text in texts) and type(started_ms) is int:
        router.dispatcher.crash_marks.add_crash(fingerprint, incarnation)


def handle_domains_out(router, event, effects):
    """Apply the failure domains that are out of service."""
    router.directory.apply_domains_out(event.domains, event.now)
    fields = {
        "domains": sorted(event.domains),
        "origin": router.feed.get_origin(),
    }
    effects.append(LogDecision("domains-out", "in force", fields))
