"""Limits on what callers may send."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits on what a caller may send.

    :param max_header_bytes: size of the head of a request.
    :param max_body_bytes: size of the body.
    :param header_timeout_s: time from the first byte of a head to its last, in seconds;
        None if there is no limit but that on idle connections.
    :param idle_timeout_s: time for which a connection may be idle, in seconds.
    """

    max_header_bytes: int = 65_536
    max_body_bytes: int = 8 * 1024 * 1024
    header_timeout_s: float | None = None
    idle_timeout_s: float = 75.0
