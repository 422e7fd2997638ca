"""Tests of ``shallotyard validate``."""

import json
import pathlib

import pytest

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


@pytest.mark.parametrize("name", ["tendaris", "venttiilikeskus"])
def test_examples_are_valid(run, name):
    """Guards against an example that the command refuses."""
    result = run("validate", str(EXAMPLES / f"{name}.jsonc"))
    assert (result.exit_code, result.stderr) == (0, "")
    assert result.stdout.startswith("valid: ")


def test_missing_file_is_refused(run, tmp_path):
    """Guards against a traceback for a file that does not exist."""
    result = run("validate", str(tmp_path / "none.jsonc"))
    assert result.exit_code == 1
    assert "No such file" in result.stderr


def test_binary_file_is_refused(run, tmp_path):
    """Guards against a traceback for a file that is not UTF-8."""
    path = tmp_path / "binary.jsonc"
    path.write_bytes(b"\xff\xfe{}")
    result = run("validate", str(path))
    assert result.exit_code == 1
    assert "JSON in UTF-8" in result.stderr


def test_json_output_lists_faults(run, manifest_file):
    """Guards against JSON output that does not list every fault."""
    path = manifest_file(
        change=lambda text: text.replace('"slices": 64', '"slices": 3')
    )
    result = run("validate", path, "--format=json")
    assert result.exit_code == 1
    data = json.loads(result.stdout)
    assert data["outcome"] == "refused"
    assert [fault["path"] for fault in data["faults"]] == [
        "services.statusdesk.slices",
        "services.bookbay.slices",
        "services.tilldesk.slices",
    ]
