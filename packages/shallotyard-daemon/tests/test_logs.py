"""Tests of the log lines."""

import io
import json

import pytest

from shallotyard_core.effects import LogDecision
from shallotyard_daemon import logs


@pytest.mark.parametrize(
    "value", ["\ud800", 2**70, float("nan"), b"\xff", object(), {1: {2: "\ud800"}}]
)
def test_line_that_json_cannot_express(value, monkeypatch):
    """Guards against a log line whose exception ends what logs it."""
    monkeypatch.setattr(logs.LOGGER, "handlers", [])
    stream = io.StringIO()
    handler = logs.BatchHandler(stream)
    handler.setFormatter(logs.DecisionFormatter("front-1"))
    monkeypatch.setattr(logs.LOGGER, "handlers", [handler])
    monkeypatch.setattr(logs.LOGGER, "propagate", False)
    monkeypatch.setattr(logs.LOGGER, "level", 20)
    logs.log_decision(LogDecision("x", "y", {"odd": value}))
    handler.flush()
    line = json.loads(stream.getvalue())
    assert (line["decision"], line["reason"]) == ("x", "y")
    assert "odd" in line
