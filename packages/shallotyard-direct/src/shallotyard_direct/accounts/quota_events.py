"""Connects the quotas of client accounts to load reports and to the other instances."""

from shallotyard_direct.effects import AnswerShareRequest
from shallotyard_direct.effects import RequestShares
from shallotyard_direct.requests import quota_waits


def apply_configuration(router, now):
    """Apply the quotas of a new configuration."""
    accounts_by_id = router.directory.configuration.accounts_by_id
    router.dispatcher.quotas.apply_configuration(accounts_by_id, now)
    router.quota_granter.apply_configuration(accounts_by_id)


def apply_members(router, names, margin_from):
    """Apply the ids of all instances.

    :param margin_from: time from which all instances know this one, in seconds.
    """
    quotas = router.dispatcher.quotas
    quotas.instance_count = len(names)
    quotas.rank = names.index(router.settings.instance)
    quotas.margin_from = margin_from
    router.quota_granter.apply_members(names)


def handle_lease_acquired(router, now):
    """Begin to grant shares."""
    lease = router.granter.lease
    is_first = lease.term == 1 and not lease.had_earlier_life
    router.quota_granter.acquire(now, lease.era, lease.term, is_first)


def answer_report(router, event):
    """Return the answer of the granter to the quotas in a load report."""
    report = event.value.get("accounts")
    if not report:
        return {}
    return router.quota_granter.handle_report(event.instance, report, event.now)


def add_to_report(router, value, now):
    """Add the use of quotas to a load report."""
    report = router.dispatcher.quotas.build_report(now)
    if report:
        value["accounts"] = report


def apply_own_report(router, value, now, effects):
    """Apply the own load report at the granter, and its answer here."""
    report = value.get("accounts")
    if report:
        instance = router.settings.instance
        answer = router.quota_granter.handle_report(instance, report, now)
        _apply_answer(router, answer, now, effects)


def apply_reported_shares(router, event, effects):
    """Apply the shares in the reply to a load report."""
    _apply_answer(router, event.shares, event.requested_at, effects)


def request_shares(router, now, effects):
    """Request the shares that requests wait for from the granter, which may be this
    instance.
    """
    lease = router.granter.lease
    wanted = router.dispatcher.quotas.take_request(now, lease.is_held(now))
    if not wanted:
        return
    member = router.feed.members_by_id.get(lease.holder)
    if lease.is_held(now):
        instance = router.settings.instance
        answer = router.quota_granter.handle_request(instance, wanted, now)
        _apply_answer(router, answer, now, effects)
    elif member is not None and not lease.is_own:
        effects.append(RequestShares(member.address, wanted, now, member.instance))


def handle_share_request(router, event, effects):
    """Answer the request of an instance, if this is the granter."""
    answer = None
    if router.granter.lease.is_held(event.now):
        answer = router.quota_granter.handle_request(
            event.instance, event.wanted, event.now
        )
    effects.append(AnswerShareRequest(event.token, answer))


def handle_shares(router, event, effects):
    """Apply an answer of the granter."""
    _apply_answer(router, event.shares, event.requested_at, effects)


def _apply_answer(router, answer, requested_at, effects):
    if answer:
        router.dispatcher.quotas.apply_shares(answer, requested_at, router.now)
        quota_waits.settle(router.dispatcher, router.now, effects)
