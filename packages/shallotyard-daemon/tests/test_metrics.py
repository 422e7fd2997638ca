"""Tests of the Prometheus metrics."""

import json
import pathlib
import re

from shallotyard_daemon.metrics import render_metrics
from shallotyard_testing import state_builders
from shallotyard_testing.builders import build_tendaris_manifest

OPERATORS_PAGE = pathlib.Path(__file__).parents[3] / "docs" / "operators.md"


def render_lines(router):
    """Return the lines of the metrics page."""
    body, content_type = render_metrics(router)
    assert content_type.startswith("text/plain")
    return body.decode().splitlines()


def test_every_documented_metric_exists():
    """Guards against documented alerts on metrics that do not exist."""
    alerts = OPERATORS_PAGE.read_text().partition("## Alerts")[2]
    documented = set(re.findall(r"`(shallotyard_[a-z_]+)", alerts))
    lines = render_lines(state_builders.build_router())
    present = {line.split()[2] for line in lines if line.startswith("# TYPE")}
    assert documented
    assert documented - present == set()


def test_violation_is_counted_for_its_guarantee():
    """Guards against violations that do not raise the alert on broken guarantees."""
    router = state_builders.build_router()
    router.invariant_violations["admission-limit"] = 2
    router.invariant_violations["admission-queue"] = 1
    router.invariant_violations["quarantine-alone"] = 1
    lines = render_lines(router)
    name = "shallotyard_invariant_violations_total"
    assert f'{name}{{promise="cold-start"}} 3' in lines
    assert f'{name}{{promise="quarantine-alone"}} 1' in lines
    assert f'{name}{{promise="one-owner"}} 0' in lines


def test_no_client_in_a_label():
    """Guards against client ids in metrics, which may leave their home regions."""
    manifest, _ = build_tendaris_manifest()
    router = state_builders.build_router(json.dumps(manifest))
    assert router.control.deployment is not None
    text = "\n".join(render_lines(router))
    for client in manifest["clients"]:
        assert client not in text
    labels = set(re.findall(r"\{([a-z]+)=", text))
    assert labels <= {"verdict", "promise", "object", "upstream"}


def test_store_outage():
    """Guards against a gauge that stays 0 in an outage, or is not 0 without one."""
    router = state_builders.build_router()
    assert "shallotyard_store_unreachable_seconds 0.0" in render_lines(router)
    router.now += 75.0
    assert "shallotyard_store_unreachable_seconds 75.0" in render_lines(router)
