"""Reads the status of daemons and waits until they apply a version."""

from __future__ import annotations

import asyncio
import time

import pydantic
import result

from shallotyard_cli import http
from shallotyard_core.summary import DaemonReply
from shallotyard_core.summary import DaemonStatus

POLL_PERIOD_S = 0.25


async def read_statuses(client, addresses):
    """Read the status of each daemon.

    :param client: HTTP client.
    :param addresses: addresses of the daemons, each an IP address and a port.
    :return: list of :class:`DaemonReply` in the order of the addresses.
    """
    return await asyncio.gather(*(_read_status(client, a) for a in addresses))


async def _read_status(client, address):
    fetch_result = await http.fetch(client, f"http://{address}/status?format=json")
    if fetch_result.is_err():
        return DaemonReply(address, None, fetch_result.err_value.reason)
    response = fetch_result.ok_value
    if response.code != 200:
        return DaemonReply(address, None, f"status {response.code}")
    try:
        return DaemonReply(address, DaemonStatus.model_validate_json(response.body))
    except pydantic.ValidationError:
        return DaemonReply(address, None, "the response is not a status")


async def wait_until_in_force(client, addresses, field, version, wait_s):
    """Wait until every daemon reports a version or a newer one.

    :param client: HTTP client.
    :param addresses: addresses of the daemons, each an IP address and a port.
    :param field: field of :class:`DaemonStatus` that holds the version.
    :param version: lowest version to wait for.
    :param wait_s: longest wait, in seconds; 0 to skip the check.
    :return: ``Ok`` with the number of daemons that report it, or ``Err`` with a
        message for each daemon that does not.
    """
    if not addresses or not wait_s:
        return result.Ok(0)
    deadline = time.monotonic() + wait_s
    lagging_addresses = list(addresses)
    while True:
        replies = await read_statuses(client, lagging_addresses)
        message_by_address = {
            reply.address: message
            for reply in replies
            if (message := _describe_lag(reply, field, version))
        }
        # Versions never decrease, so a daemon that reported it is not polled again.
        lagging_addresses = list(message_by_address)
        if not lagging_addresses:
            return result.Ok(len(addresses))
        if time.monotonic() + POLL_PERIOD_S > deadline:
            return result.Err(list(message_by_address.values()))
        await asyncio.sleep(POLL_PERIOD_S)


def _describe_lag(reply, field, version):
    if reply.status is None:
        return f"{reply.address} did not answer: {reply.reason}"
    reported = getattr(reply.status, field)
    if reported is None:
        return f"{reply.address} reports no {field}"
    if reported < version:
        return f"{reply.address} reports {field} {reported}"
    return ""
