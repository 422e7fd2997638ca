"""Suspects: requests that may have crashed the process of an upstream."""

from shallotyard_core.effects import LogDecision


def is_crash_suspect(held_upstreams, fingerprint):
    """Tell whether a request may have crashed an upstream.

    This holds if an attempt of it ended without a response at an upstream that has not
    responded to a poll since.

    :param held_upstreams: iterable of `HeldUpstream`.
    :param fingerprint: fingerprint of the request.
    """
    return any(
        call.relay.fingerprint == fingerprint
        for held_upstream in held_upstreams
        for _, call in held_upstream.suspects
    )


def mark_suspects(held_upstream, reason, quarantine, now, effects):
    """Add quarantine marks to requests in flight at an upstream that may have crashed.

    A request gets one mark per crash, also if the upstream is first silent and then
    found to have restarted.

    :param held_upstream: the `HeldUpstream`.
    :param reason: ``silent`` or ``boot id changed``.
    :param quarantine: the `Quarantine` that stores the marks.
    :param now: current time in seconds.
    :param effects: list that effects are appended to.
    :return: changed (fingerprint, marks) pairs, to share in the region.
    """
    suspects = _list_unmarked_suspects(held_upstream, reason)
    held_upstream.suspects.clear()
    exclusive = len(suspects) == 1 and suspects[0].exclusive
    fingerprints = [call.relay.fingerprint for call in suspects]
    changed = quarantine.record_upstream_crash(fingerprints, exclusive, now)
    for call in suspects:
        call.has_crash_mark = True
    fields = {"upstream": held_upstream.upstream.id, "in_flight": len(suspects)}
    effects.append(LogDecision("upstream-died", reason, fields))
    return changed


def _list_unmarked_suspects(held_upstream, reason):
    calls = [
        unresolved.call
        for unresolved in held_upstream.unresolved_attempts_by_id.values()
    ]
    calls += [call for _, call in held_upstream.suspects]
    calls += [call for call in held_upstream.calls.values() if call.sent_at]
    return [
        call
        for call in dict.fromkeys(calls)
        if not call.has_crash_mark
        and (reason == "silent" or call.boot_id != held_upstream.boot_id)
    ]
