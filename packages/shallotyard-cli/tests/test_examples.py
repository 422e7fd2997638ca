"""Tests of the example manifests."""

import pathlib

import pytest

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
MANIFESTS = sorted(set(EXAMPLES.glob("*.jsonc")) - {EXAMPLES / "settings.jsonc"})


@pytest.mark.parametrize("path", MANIFESTS, ids=lambda path: path.name)
def test_example_is_valid(run, path):
    """Guards against an example manifest that the command refuses."""
    assert run("validate", str(path)).exit_code == 0
