"""Settings of a command, read from its flags."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one command.

    :param store: URL of the store, or an empty string.
    :param daemons: addresses of the daemons, each an IP address and a port.
    :param wait_s: longest wait until the daemons report the change, in seconds; 0 for
        no wait.
    :param if_version: manifest version or service state revision that the store must
        hold, or ``None`` for any.
    :param force: whether the last failure domain in service of a region may be taken
        out.
    """

    store: str = ""
    daemons: tuple[str, ...] = ()
    wait_s: float = 0.0
    if_version: int | None = None
    force: bool = False

    @classmethod
    def from_flags(cls, flag_values):
        """Build the settings from parsed flags.

        :param flag_values: ``absl.flags.FlagValues`` of
            :func:`shallotyard_cli.main.build_flags`.
        :return: the settings.
        """
        addresses = (address.strip() for address in flag_values.daemons)
        return cls(
            store=flag_values.store,
            daemons=tuple(dict.fromkeys(a for a in addresses if a)),
            wait_s=flag_values.wait_s,
            if_version=flag_values.if_version,
            force=flag_values.force,
        )
