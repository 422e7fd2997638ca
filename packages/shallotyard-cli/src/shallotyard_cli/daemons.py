"""Reads the status of daemons and waits for versions to be in force."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import Annotated

import pydantic
import result

from shallotyard_cli import http

POLL_PERIOD_S = 0.25


def _accept_or_unknown(value, handler):
    try:
        return handler(value)
    except pydantic.ValidationError:
        return None


_Unknown = pydantic.WrapValidator(_accept_or_unknown)
_Counts = Annotated[dict[str, int] | None, _Unknown]
_Number = Annotated[int | None, _Unknown]
_Text = Annotated[str | None, _Unknown]
_Ids = Annotated[list[str] | None, _Unknown]


class StoreStatus(pydantic.BaseModel):
    """How a daemon sees the store; ``None`` stands for unknown.

    :param since_s: seconds since the state began.
    """

    state: _Text = None
    since_s: Annotated[float | None, _Unknown] = None


class UpstreamStatus(pydantic.BaseModel):
    """How a daemon sees an upstream; ``None`` stands for unknown."""

    state: _Text = None
    in_flight: _Number = None
    limit: _Number = None


class DaemonStatus(pydantic.BaseModel):
    """The status that a daemon serves; ``None`` stands for unknown."""

    instance: _Text = None
    domain: _Text = None
    region: _Text = None
    manifest_version: _Number = None
    service_state_revision: _Number = None
    assignment_revision: Annotated[int | str | None, _Unknown] = None
    requests_by_verdict: _Counts = None
    invariant_violations: _Counts = None
    slices_moving: _Number = None
    domains_out: _Ids = None
    instances_out: _Ids = None
    upstreams: Annotated[dict[str, UpstreamStatus] | None, _Unknown] = None
    store: Annotated[StoreStatus | None, _Unknown] = None


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer of one daemon.

    :param address: its address.
    :param status: its status, or ``None`` if it did not answer.
    :param reason: why there is no status, or an empty string.
    """

    address: str
    status: DaemonStatus | None
    reason: str = ""


async def read_statuses(client, addresses):
    """Read the status of each daemon.

    :param client: HTTP client.
    :param addresses: IP numbers and ports.
    :return: a list of :class:`Answer` in the order of the addresses.
    """
    return await asyncio.gather(*(_read_status(client, a) for a in addresses))


async def _read_status(client, address):
    fetched = await http.fetch(client, f"http://{address}/status?format=json")
    if fetched.is_err():
        return Answer(address, None, fetched.err_value.reason)
    response = fetched.ok_value
    if response.code != 200:
        return Answer(address, None, f"status {response.code}")
    try:
        return Answer(address, DaemonStatus.model_validate_json(response.body))
    except pydantic.ValidationError:
        return Answer(address, None, "the response is not a status")


async def wait_in_force(client, addresses, field, version, wait_s):
    """Wait until each daemon reports a version or a newer one.

    :param client: HTTP client.
    :param addresses: IP numbers and ports.
    :param field: field of :class:`DaemonStatus` that holds the version.
    :param version: version to wait for.
    :param wait_s: longest wait, in seconds; 0 to skip the check.
    :return: ``Ok`` with the number of daemons that report it, or ``Err`` with a
        message for each daemon that does not.
    """
    if not addresses or not wait_s:
        return result.Ok(0)
    deadline = time.monotonic() + wait_s
    behind = list(addresses)
    while True:
        answers = await read_statuses(client, behind)
        messages = {
            answer.address: message
            for answer in answers
            if (message := _describe_behind(answer, field, version))
        }
        # A version never reverts, so a daemon that reported it is not asked again.
        behind = list(messages)
        if not behind:
            return result.Ok(len(addresses))
        if time.monotonic() + POLL_PERIOD_S > deadline:
            return result.Err(list(messages.values()))
        await asyncio.sleep(POLL_PERIOD_S)


def _describe_behind(answer, field, version):
    if answer.status is None:
        return f"{answer.address} did not answer: {answer.reason}"
    reported = getattr(answer.status, field)
    if reported is None:
        return f"{answer.address} reports no {field}"
    if reported < version:
        return f"{answer.address} reports {field} {reported}"
    return ""
