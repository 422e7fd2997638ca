"""Statements of a former granter about the grants that may still be in use.

A new granter assumes that each owner has just got the longest grant, and the keys of an
owner that does not answer had no other one for 10.6 s. The former granter knows better
if it has only lost the store. It states it with its load reports, once another instance
has the lease, so that it cannot grant any more. `spec/grant_spec.py` checks this.
"""

import math
from typing import Annotated

import orjson
import pydantic

from shallotyard_direct.granter_lease import MAX_CLOCK_DRIFT
from shallotyard_direct.key_table import MAX_NUMBER
from shallotyard_direct.keys.timing import GRANT_SEND_TIMEOUT_S

# A statement is made for this long. All assumed grants have expired then.
STATEMENT_PERIOD_S = 15.0

_Number = Annotated[int, pydantic.Field(ge=0, le=MAX_NUMBER)]
_Seconds = Annotated[float, pydantic.Field(ge=-1e7, le=1e3, allow_inf_nan=False)]


class _Statement(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", strict=True)

    term: _Number
    era: _Number
    # Rows by service of first key, last key, upstream id, start of its incarnation, and
    # the time until its last grant has expired.
    ranges: dict[str, list[tuple[_Number, _Number, str, _Number, _Seconds]]]


def capture_grants(granter, service, now):
    """Keep what this instance knows of the grants of a service, whose table is about to
    be replaced by that of another granter.
    """
    if service.granted_term and not granter.lease.is_held(now):
        rows = [
            (state.first, state.last, *state.owner, _find_end(state))
            for state in service.range_states
        ]
        service.former_grants = (service.granted_term, now, rows)
        service.granted_term = 0


def _find_end(range_state):
    """Return the time until which the owner of a range may use grants. The last one may
    have been sent some time after it was counted.
    """
    end = max(range_state.expires_at, range_state.unconfirmed_until)
    return end + GRANT_SEND_TIMEOUT_S


def build_statement(granter, now):
    """Return the statement for the next granter as a JSON value, {} without one."""
    lease = granter.lease
    if lease.is_own or lease.is_held(now) or not lease.holder or lease.is_outdated:
        return {}
    services = granter.services_by_id.values()
    for service in services:
        capture_grants(granter, service, now)
    last_term = max((service.former_grants[0] for service in services), default=0)
    ranges_by_service = {}
    for service in services:
        term, captured_at, rows = service.former_grants
        if term == last_term > 0 and now <= captured_at + STATEMENT_PERIOD_S:
            ranges_by_service[service.service_id] = [
                [*row[:4], math.ceil(100 * max(0.0, row[4] - now)) / 100]
                for row in rows
            ]
    if not ranges_by_service or not lease.is_settled:
        return {}
    return {"term": last_term, "era": lease.era, "ranges": ranges_by_service}


def accept_statement(granter, value, now):
    """Apply the statement of the granter of the term before the own one.

    :param value: as returned by `build_statement`, perhaps of another version.
    :return: whether it was accepted.
    """
    lease = granter.lease
    if not value or not lease.is_held(now) or not lease.is_settled:
        return False
    try:
        statement = _Statement.model_validate_json(orjson.dumps(value))
    except (pydantic.ValidationError, TypeError):
        return False
    if not 0 < statement.term == lease.former_term or statement.era != lease.era:
        return False
    for service_id, rows in statement.ranges.items():
        service = granter.services_by_id.get(service_id)
        for range_state in service.range_states if service is not None else ():
            left_s = _find_time_left(range_state, rows)
            # The own grants count as well.
            end = max(now + left_s * (1 + MAX_CLOCK_DRIFT), range_state.own_until)
            range_state.expires_at = min(range_state.expires_at, end)
            range_state.unconfirmed_until = min(range_state.unconfirmed_until, end)
    return True


def _find_time_left(range_state, rows):
    """Return the time until grants of the owner of a range have expired, in seconds;
    infinity unless the statement names the same owner for all its keys.
    """
    left_s, key = 0.0, range_state.first
    for first, last, upstream_id, started_ms, row_s in sorted(rows):
        if last < range_state.first or range_state.last < first:
            continue
        if first > key or (upstream_id, started_ms) != range_state.owner:
            return math.inf
        left_s = max(left_s, row_s)
        key = last + 1
    return left_s if key > range_state.last else math.inf
