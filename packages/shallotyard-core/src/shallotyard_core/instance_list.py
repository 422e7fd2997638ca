"""Entries of the platform's instance list."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ListedInstance:
    """An entry of the platform's instance list, which may be out of date."""

    instance_id: str
    domain: str
    address: str
    leaving: bool
