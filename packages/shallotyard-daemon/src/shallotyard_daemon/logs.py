"""Structured logs: one JSON line per decision."""

import logging
import logging.handlers
import sys

from pythonjsonlogger.json import JsonFormatter

LOGGER = logging.getLogger("shallotyard")
_WARNINGS = frozenset({"invariant-violation"})


def configure_logs(level, instance, stream=sys.stdout):
    """Write logs as JSON lines.

    :param level: name of the lowest level that is written.
    :param instance: instance id that every line carries.
    :param stream: where the lines go.
    """
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"instance": instance},
        )
    )
    LOGGER.handlers[:] = [handler]
    LOGGER.setLevel(level.upper())
    LOGGER.propagate = False


def log_decision(effect):
    """Carry out a `LogDecision` effect."""
    level = logging.ERROR if effect.decision in _WARNINGS else logging.INFO
    if LOGGER.isEnabledFor(level):
        LOGGER.log(
            level,
            effect.decision,
            extra={"reason": effect.reason, **effect.fields},
        )
