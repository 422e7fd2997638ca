"""Reads store objects and writes them conditionally.

After a response that leaves open whether a write took effect, the object is read
back.
"""

from __future__ import annotations

import asyncio
import dataclasses
import enum

import result

from shallotyard_cli import http

# A conditional write takes effect at most once, so it can be repeated after a lost
# response. The repetition also shows whether the earlier write took effect.
MAX_WRITE_ATTEMPTS = 3
RETRY_DELAY_S = 0.2
MAX_OBJECT_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object that was read from the store.

    :param etag: its ETag, or ``None`` if the object is absent.
    :param body: its content, or ``None`` if the object is absent.
    """

    etag: str | None
    body: str | None


class WriteOutcome(enum.Enum):
    """What is known about a conditional write."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    NOT_ACCEPTED = "not accepted"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class WriteResult:
    """Result of a conditional write.

    :param outcome: what is known about it.
    :param reason: why it was not accepted, or an empty string.
    :param current: the object after a conflict, or ``None`` if it was not read.
    :param may_have_written: whether the write may have taken effect and been
        replaced before the conflict was detected.
    """

    outcome: WriteOutcome
    reason: str = ""
    current: StoredObject | None = None
    may_have_written: bool = False


class _PutOutcome(enum.Enum):
    """What is known about one PUT request."""

    ACCEPTED = enum.auto()
    CONFLICT = enum.auto()
    REFUSED = enum.auto()
    UNCLEAR = enum.auto()


async def read_object(client, store_url, name):
    """Read one object.

    :param client: HTTP client.
    :param store_url: URL of the store.
    :param name: name of the object.
    :return: ``Ok`` with a :class:`StoredObject`, or ``Err`` with the reason.
    """
    fetch_result = await http.fetch(client, _build_object_url(store_url, name))
    if fetch_result.is_err():
        return result.Err(fetch_result.err_value.reason)
    response = fetch_result.ok_value
    if response.code == 404:
        return result.Ok(StoredObject(None, None))
    etag = response.headers.get("ETag")
    if response.code != 200 or etag is None:
        return result.Err(f"the store responded with status {response.code}")
    try:
        return result.Ok(StoredObject(etag, response.body.decode("utf-8")))
    except UnicodeDecodeError:
        return result.Err(f"object {name!r} is not UTF-8")


async def write_object(client, store_url, name, body, etag, is_own):
    """Replace an object if it is still the one that was read.

    :param client: HTTP client.
    :param store_url: URL of the store.
    :param name: name of the object.
    :param body: new content.
    :param etag: ETag of the object that was read, or ``None`` if it was absent.
    :param is_own: function that returns whether a stored content is that of this write.
    :return: the :class:`WriteResult`.
    """
    may_have_written = False
    reason = ""
    last_read_succeeded = False
    for attempt in range(MAX_WRITE_ATTEMPTS):
        if attempt:
            await asyncio.sleep(RETRY_DELAY_S)
        put_outcome, reason = await _put(client, store_url, name, body, etag)
        if put_outcome is _PutOutcome.ACCEPTED:
            return WriteResult(WriteOutcome.ACCEPTED)
        if put_outcome is _PutOutcome.REFUSED and not may_have_written:
            return WriteResult(WriteOutcome.NOT_ACCEPTED, reason)
        may_have_written = may_have_written or put_outcome is _PutOutcome.UNCLEAR
        read_result = await read_object(client, store_url, name)
        last_read_succeeded = read_result.is_ok()
        if read_result.is_err():
            if put_outcome is _PutOutcome.CONFLICT and not may_have_written:
                return WriteResult(WriteOutcome.CONFLICT, reason)
            continue
        current = read_result.ok_value
        if current.body is not None and is_own(current.body):
            return WriteResult(WriteOutcome.ACCEPTED)
        if current.etag != etag:
            return WriteResult(WriteOutcome.CONFLICT, reason, current, may_have_written)
    if last_read_succeeded:
        return WriteResult(WriteOutcome.UNKNOWN, "the write may still take effect")
    return WriteResult(WriteOutcome.UNKNOWN, "read back failed")


def _build_object_url(store_url, name):
    return f"{store_url.rstrip('/')}/v1/objects/{name}"


async def _put(client, store_url, name, body, etag):
    condition = {"If-None-Match": "*"} if etag is None else {"If-Match": etag}
    fetch_result = await http.fetch(
        client,
        _build_object_url(store_url, name),
        method="PUT",
        body=body,
        headers={"Content-Type": "application/json", **condition},
    )
    if fetch_result.is_err():
        failure = fetch_result.err_value
        return (
            _PutOutcome.UNCLEAR if failure.may_have_arrived else _PutOutcome.REFUSED
        ), failure.reason
    code = fetch_result.ok_value.code
    reason = f"the store responded with status {code}"
    if 200 <= code < 300:
        return _PutOutcome.ACCEPTED, ""
    if code == 412:
        return _PutOutcome.CONFLICT, reason
    # The store is documented to respond with 503 while it is down, without a write.
    if code == 503 or 300 <= code < 500:
        return _PutOutcome.REFUSED, reason
    return _PutOutcome.UNCLEAR, reason
