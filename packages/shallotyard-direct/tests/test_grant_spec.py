"""Tests of the grant protocol by its model checker."""

import importlib.util
import pathlib
from dataclasses import fields

import pytest

_PATH = pathlib.Path(__file__).parent.parent / "spec" / "grant_spec.py"
_SPEC = importlib.util.spec_from_file_location("grant_spec", _PATH)
grant_spec = importlib.util.module_from_spec(_SPEC)
_SPEC.loader.exec_module(grant_spec)
RULES = [field.name for field in fields(grant_spec.Rules)]


def test_no_key_has_two_owners():
    """The protocol allowed two upstreams to hold a key."""
    state, visited = grant_spec.find_double_owner(grant_spec.Rules())
    assert state is None
    assert visited > 1000


@pytest.mark.parametrize("rule", RULES)
def test_each_rule_is_needed(rule):
    """The check found no fault although a rule was disabled."""
    rules = grant_spec.Rules(**{rule: False})
    state, _ = grant_spec.find_double_owner(rules)
    assert state is not None
