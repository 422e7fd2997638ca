"""Admits requests by the quotas of their client accounts."""

from shallotyard_core.verdict import Verdict
from shallotyard_direct.accounts.quota_shares import GRANTER_TIMEOUT_S
from shallotyard_direct.accounts.quota_shares import MAX_WAIT_PER_TARGET_LATENCY
from shallotyard_direct.accounts.quota_shares import AdmissionResult
from shallotyard_direct.refusals import refuse
from shallotyard_direct.responses import Refusal

# Requests that wait for shares at an instance; further ones do not wait.
MAX_WAITING = 512


def admit(dispatcher, pending, now, effects):
    """Dispatch a request, refuse it by its account's quota, or let it wait for a share
    of the quota. A relayed request was counted where it arrived.
    """
    if pending.account is None or pending.relayed_from:
        dispatcher.dispatch(pending, now, effects)
        return
    quotas = dispatcher.quotas
    request_id, account_id = pending.request.request_id, pending.account.account_id
    admission = quotas.admit(account_id, request_id, now)
    if admission.result is AdmissionResult.WAIT:
        wait_s = MAX_WAIT_PER_TARGET_LATENCY * pending.route.target_latency_s
        wait_s = min(wait_s, GRANTER_TIMEOUT_S)
        if quotas.is_granter_lost(now):
            # Until the next tick. The granter is asked meanwhile, so that the instance
            # learns when there is one again.
            wait_s = 0.0
        if len(dispatcher.unshared) < MAX_WAITING:
            deadline = min(now + wait_s, pending.expires_at)
            dispatcher.unshared[request_id] = (pending, account_id, deadline)
            return
        admission = quotas.settle(account_id, request_id, now, is_late=True)
    _apply(dispatcher, pending, admission, now, effects)


def admit_again(dispatcher, pending, now, effects):
    """Dispatch a request that may have run once more, which counts a second time."""
    if dispatcher.quotas.has_credit(pending.request.request_id):
        dispatcher.quotas.forget(pending.request.request_id)
        admit(dispatcher, pending, now, effects)
    else:
        dispatcher.dispatch(pending, now, effects)


def settle(dispatcher, now, effects):
    """Decide on the waiting requests for which there is a share, and on those that have
    no time left.
    """
    for request_id, waiting in list(dispatcher.unshared.items()):
        pending, account_id, deadline = waiting
        if request_id not in dispatcher.pending_by_id:
            del dispatcher.unshared[request_id]
            dispatcher.quotas.stop_waiting(account_id, request_id)
            continue
        admission = dispatcher.quotas.settle(
            account_id, request_id, now, now >= deadline
        )
        if admission.result is not AdmissionResult.WAIT:
            del dispatcher.unshared[request_id]
            _apply(dispatcher, pending, admission, now, effects)


def _apply(dispatcher, pending, admission, now, effects):
    if admission.result is AdmissionResult.ADMITTED:
        dispatcher.dispatch(pending, now, effects)
        return
    if pending.verdict is not Verdict.NOT_RUN:
        refuse(dispatcher, pending, Refusal.LOST, now, effects)
        return
    is_exceeded = admission.result is AdmissionResult.EXCEEDED
    refusal = Refusal.QUOTA_EXCEEDED if is_exceeded else Refusal.QUOTA_UNKNOWN
    fields = {"quota": admission.capacity, "quota_source": admission.source}
    refuse(
        dispatcher,
        pending,
        refusal,
        now,
        effects,
        retry_after_s=admission.retry_after_s,
        more_fields=fields,
    )
