"""Settings of a daemon, read from a file of JSON with comments."""

from dataclasses import dataclass
from typing import Annotated

import jsonc
import pydantic

from shallotyard_core.exceptions import SettingsError

_IdText = Annotated[str, pydantic.Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
_Address = Annotated[str, pydantic.Field(pattern=r"^\d+\.\d+\.\d+\.\d+:\d{1,5}$")]
_Url = Annotated[str, pydantic.Field(pattern=r"^https?://\S+$")]


@dataclass(slots=True, frozen=True)
class Settings:
    """Validated settings of a daemon.

    :param instance: id of this instance.
    :param domain: id of the failure domain of this instance.
    :param http_address: address for callers, ``ip:port``.
    :param peer_address: address for other instances, ``ip:port``.
    :param store_url: base URL of the platform's store.
    :param instance_list_url: base URL of the platform's instance list.
    :param log_level: ``debug``, ``info``, ``warning`` or ``error``.
    :param drain_s: longest duration of a graceful shutdown, in seconds.
    :param seed: seed of the random number generator, ``None`` for a random seed.
    """

    instance: str
    domain: str
    http_address: str
    peer_address: str
    store_url: str
    instance_list_url: str
    log_level: str = "info"
    drain_s: float = 65.0
    seed: int | None = None

    @classmethod
    def from_file(cls, path):
        """Read and check a settings file.

        :param path: path of the file.
        :return: the settings.
        :raises SettingsError: if the file cannot be read or has invalid values, with
            one message for each.
        """
        try:
            with open(path, encoding="utf-8") as file:
                raw = jsonc.loads(file.read())
        except OSError as error:
            raise SettingsError(path, [f"cannot be read: {error.strerror}"]) from error
        except ValueError as error:
            raise SettingsError(path, [f"not JSON with comments: {error}"]) from error
        try:
            model = _SettingsModel.model_validate(raw)
        except pydantic.ValidationError as error:
            raise SettingsError(path, _format_errors(error)) from error
        return cls(**model.model_dump())


class _SettingsModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid")

    instance: _IdText
    domain: _IdText
    http_address: _Address
    peer_address: _Address
    store_url: _Url
    instance_list_url: _Url
    log_level: Annotated[
        str, pydantic.Field(pattern="^(debug|info|warning|error)$")
    ] = "info"
    drain_s: Annotated[float, pydantic.Field(ge=0, le=3600)] = 65.0
    seed: int | None = None


def _format_errors(error):
    return [
        f"{'.'.join(str(part) for part in detail['loc']) or 'file'}: {detail['msg']}"
        for detail in error.errors()
    ]
