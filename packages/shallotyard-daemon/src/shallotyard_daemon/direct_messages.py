"""Checks of the messages that instances send each other in direct dispatch. They come
from this program, perhaps from another version of it.
"""

from typing import Annotated
from typing import Any

import orjson
import pydantic

from shallotyard_direct.replica import Changes
from shallotyard_direct.replica import Snapshot

# Far above what an instance can count; sums of counts stay finite.
_MAX_COUNT = 1e9
# An instance takes a permit for each waiting request.
_MAX_PERMITS = 100_000
# Largest number of acquisitions of a lease, and of answers by one granter.
_MAX_NUMBER = 1 << 53
# Lives of the store have at most six digits.
_MAX_ERA = 999_999

_Count = Annotated[float, pydantic.Field(ge=0, le=_MAX_COUNT, allow_inf_nan=False)]
_Permits = Annotated[int, pydantic.Field(ge=0, le=_MAX_PERMITS)]
# Seconds. An age can be just below zero, as clocks are read one after another.
_Age = Annotated[float, pydantic.Field(ge=-1.0, le=1e7, allow_inf_nan=False)]
_Time = Annotated[float, pydantic.Field(allow_inf_nan=False)]
_Era = Annotated[int, pydantic.Field(ge=0, le=_MAX_ERA)]
_Version = Annotated[int, pydantic.Field(ge=0, lt=2**53)]
_Key = Annotated[str, pydantic.Field(pattern="^[0-9]{1,5}$")]


class _Model(pydantic.BaseModel):
    # Later versions may add fields.
    model_config = pydantic.ConfigDict(extra="ignore", strict=True)


_Number = Annotated[int, pydantic.Field(ge=0, le=_MAX_NUMBER)]
# Requests in a window.
_Share = Annotated[int, pydantic.Field(ge=0, le=_MAX_COUNT)]
_Granter = tuple[_Number, _Number, _Number]


class _ShareUse(_Model):
    """Use of quotas as returned by `AccountQuotas.build_report`."""

    incarnation: str
    age: _Age
    granter: _Granter
    serial: _Number
    # Share, its validity, sends and demand of the last window, and what is needed.
    shares: dict[
        str,
        tuple[_Share, _Age, _Share, _Share]
        | tuple[_Share, _Age, _Share, _Share, _Share],
    ]


class _Shares(_Model):
    """Answer of the granter as returned by `QuotaGranter`."""

    granter: _Granter
    serial: _Number
    complete: bool
    shares: dict[str, tuple[_Share, _Age]]


class _ShareMessage(_Model):
    instance: str
    wanted: _ShareUse


class _CapacityReport(_Model):
    known: tuple[_Version, _Version] = (0, 0)
    samples: dict[str, Annotated[list[_Count], pydantic.Field(max_length=4)]] = {}


class _CapacityReply(_Model):
    epoch: _Version
    version: _Version
    medians: dict[str, _Count]
    # Speed, weight and, if it is above one, the knee.
    upstreams: dict[
        str, Annotated[list[_Count], pydantic.Field(min_length=2, max_length=3)]
    ]


class _Load(_Model):
    keys: dict[str, dict[_Key, _Count]] = {}
    work: dict[str, tuple[_Count, _Count]] = {}
    # Instances of earlier versions do not report these.
    responses: dict[str, _Count] = {}
    capacity: _CapacityReport | None = None
    in_flight: dict[str, _Count] = {}
    leaving: list[tuple[str, int]] = []
    # Instances without quotas do not report these.
    accounts: _ShareUse | None = None


class _LoadMessage(_Model):
    instance: str
    load: _Load
    takes_rates: bool = False


class _LoadReply(_Model):
    in_flight: dict[str, _Count]
    rates: dict[str, tuple[_Count, _Age]]
    # Instances of earlier versions do not name upstreams that are leaving, and do not
    # learn capacity.
    leaving: list[tuple[str, int]] = []
    shares: _Shares | None = None
    capacity: _CapacityReply | None = None


class _PermitMessage(_Model):
    # Number of permits, rate, age of the rate, and time for which they are of use.
    wanted: dict[str, tuple[_Permits, _Count, _Age, _Age]]


class _Heartbeat(_Model):
    age_s: _Age
    complete: bool
    # Instances of earlier versions do not send these.
    sent_at: _Time | None = None
    era: _Era | None = None


class _Update(_Model):
    kind: str
    revision: Annotated[int, pydantic.Field(ge=0)]
    era: _Era | None = None
    objects: dict[str, Any] | None = None
    changes: list[Annotated[list[Any], pydantic.Field(min_length=2)]] | None = None


_PERMITS_BY_ID = pydantic.TypeAdapter(
    dict[str, _Permits], config=pydantic.ConfigDict(strict=True)
)
_COUNTS_BY_ID = pydantic.TypeAdapter(
    dict[str, _Count], config=pydantic.ConfigDict(strict=True)
)


def decode_load_message(text):
    """Return a load report as a dict with ``instance``, ``load`` and ``takes_rates``.

    :raises ValueError: if it is invalid.
    """
    _LoadMessage.model_validate_json(text)
    return orjson.loads(text)


def decode_load_reply(text):
    """Return the requests in flight by upstream id, the rates by upstream id, the
    incarnations of upstreams that are leaving, the shares of quotas, and the changes
    of learned capacity.

    :raises ValueError: if it is invalid.
    """
    values = orjson.loads(text)
    if isinstance(values, dict) and "rates" in values:
        _LoadReply.model_validate_json(text)
        leaving, shares = values.get("leaving", []), values.get("shares") or {}
        changes = values.get("capacity") or {}
        return values["in_flight"], values["rates"], leaving, shares, changes
    # Instances of earlier versions send the first part only.
    _COUNTS_BY_ID.validate_json(text)
    return values, {}, [], {}, {}


def decode_permit_message(text):
    """Return the permits that are requested, see `RateLimits.take_request`.

    :raises ValueError: if it is invalid.
    """
    _PermitMessage.model_validate_json(text)
    return orjson.loads(text)["wanted"]


def decode_permits(text):
    """Return the number of permits by upstream id.

    :raises ValueError: if it is invalid.
    """
    return _PERMITS_BY_ID.validate_json(text)


def decode_share_message(text):
    """Return the instance and the shares that it requests, see
    `AccountQuotas.take_request`.

    :raises ValueError: if it is invalid.
    """
    _ShareMessage.model_validate_json(text)
    message = orjson.loads(text)
    return message["instance"], message["wanted"]


def decode_shares(text):
    """Return the answer to a request for shares, ``{}`` if nothing was decided.

    :raises ValueError: if it is invalid.
    """
    shares = orjson.loads(text)
    if shares != {}:
        _Shares.model_validate_json(text)
    return shares


def decode_stream_message(text, default_era):
    """Return a heartbeat as a dict, or a `Snapshot` or `Changes`.

    :param default_era: life of the store if the message names none.
    :raises ValueError: if it is invalid.
    """
    message = orjson.loads(text)
    if isinstance(message, dict) and "age_s" in message:
        return _Heartbeat.model_validate(message).model_dump(exclude_none=True)
    update = _Update.model_validate(message)
    era = default_era if update.era is None else update.era
    if update.objects is not None:
        return Snapshot(update.kind, update.revision, update.objects, era)
    if update.changes is None or not all(
        isinstance(change[0], str) for change in update.changes
    ):
        raise ValueError("update without objects and changes")
    items = tuple((change[0], change[1]) for change in update.changes)
    return Changes(update.kind, update.revision, items, era)
