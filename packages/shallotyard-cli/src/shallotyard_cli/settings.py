"""What the flags of a command say."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one command.

    :param store: URL of the store, or an empty string.
    :param daemons: IP numbers and ports of the daemons.
    :param wait_s: longest wait for the daemons, in seconds; 0 for no wait.
    :param if_version: version or revision that must be stored, or ``None`` for any.
    :param force: whether the last failure domain of a region may be taken out.
    """

    store: str = ""
    daemons: tuple[str, ...] = ()
    wait_s: float = 0.0
    if_version: int | None = None
    force: bool = False

    @classmethod
    def from_flags(cls, values):
        """Build the settings from parsed flags.

        :param values: ``absl.flags.FlagValues`` of :mod:`shallotyard_cli.main`.
        """
        addresses = (address.strip() for address in values.daemons)
        return cls(
            store=values.store,
            daemons=tuple(dict.fromkeys(a for a in addresses if a)),
            wait_s=values.wait_s,
            if_version=values.if_version,
            force=values.force,
        )
