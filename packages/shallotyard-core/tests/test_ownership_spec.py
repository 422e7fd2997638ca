"""Checks of the formal specification of the ownership protocol at a small depth."""

import importlib.util
import subprocess
import sys
from pathlib import Path

import pytest

SPEC_DIR = Path(__file__).resolve().parent.parent / "spec"
DEPTH = 2


def _load_module(name):
    spec = importlib.util.spec_from_file_location(name, SPEC_DIR / f"{name}.py")
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module
    spec.loader.exec_module(module)
    return module


ownership_spec = _load_module("ownership_spec")


@pytest.mark.parametrize("prop", ownership_spec.PROPERTIES)
def test_repaired_protocol_holds(prop):
    """Guards against a rule change that lets an old and a new claim overlap."""
    outcome = ownership_spec.prove(ownership_spec.REPAIRED, prop, DEPTH)
    assert outcome.holds is True, "\n".join(outcome.timeline)


@pytest.mark.parametrize("prop", ownership_spec.PROPERTIES)
def test_waits_of_writers_are_redundant(prop):
    """Guards the result that safety does not depend on the waits before writes."""
    rules = ownership_spec.REDUNDANT["neither"]
    outcome = ownership_spec.prove(rules, prop, DEPTH)
    assert outcome.holds is True, "\n".join(outcome.timeline)


@pytest.mark.parametrize("name", sorted(ownership_spec.ALTERNATIVES))
def test_alternative_holds(name):
    """Guards the alternative forms of the protocol, which the design may return to."""
    rules = ownership_spec.ALTERNATIVES[name]
    for prop in ownership_spec.PROPERTIES:
        outcome = ownership_spec.prove(rules, prop, DEPTH)
        assert outcome.holds is True, "\n".join(outcome.timeline)


@pytest.mark.parametrize("name", sorted(ownership_spec.VARIANTS))
def test_variant_is_broken(name):
    """Guards against a model so strict that a violated rule goes unnoticed."""
    variant = ownership_spec.VARIANTS[name]
    outcome = ownership_spec.refute(variant.rules, variant.property, DEPTH)
    assert outcome.holds is False
    assert "VIOLATION" in "\n".join(outcome.timeline)


@pytest.mark.parametrize("name", ownership_spec.WITNESSES)
def test_behaviour_is_possible(name):
    """Guards against properties that hold only because the rules permit nothing."""
    assert ownership_spec.find_witness(name)


def test_verdict_and_timeline_are_reproducible():
    """Guards against a search that is not reproducible with its fixed seed."""
    variant = ownership_spec.VARIANTS["release-unstarted"]
    first, second = (
        ownership_spec.refute(variant.rules, variant.property, DEPTH) for _ in range(2)
    )
    assert first == second


@pytest.mark.parametrize(
    ("name", "text"), [("no-wait", "VIOLATION"), ("repaired", "holds")]
)
def test_check_command_prints_the_verdict(name, text):
    """Guards against a check command that fails when it is run on its own."""
    command = [sys.executable, SPEC_DIR / "check.py", "--variant", name, "--depth", "1"]
    result = subprocess.run(command, capture_output=True, text=True, check=True)
    assert text in result.stdout
