import json

import pytest
from manifest_builders import build_edited_manifest
from manifest_builders import build_raw_manifest

from shallotyard_core.manifest import parse_manifest


def test_syntax_error_has_the_position_in_the_file():
    """Guards against a position that comments and trailing commas shifted."""
    text = '{ // one "\n/* two\nthree */ "version": [1,\n],\n /* four */ "regions" 5}'
    (fault,) = parse_manifest(text).err_value
    assert fault.path == "line 5 column 23"


@pytest.mark.parametrize(
    "text",
    ["", "// only a comment", "{", "[1]", "null", '"x"', "[" * 100_000, "9" * 5000]
    + [b"\xff\xfe", '{"version": NaN}', '{"version": 1, "version": 2}'],
)
def test_no_manifest(text):
    """Guards against a traceback for a text that is no manifest."""
    assert parse_manifest(text).is_err()


def test_duplicate_fields_are_refused():
    """Guards against an upstream that a second one with its id replaces silently."""
    text = json.dumps(build_raw_manifest()).replace('"tilldesk-01"', '"statusdesk-01"')
    paths = [fault.path for fault in parse_manifest(text).err_value]
    assert "statusdesk-01" in paths


def test_comments_in_strings_are_kept():
    """Guards against a string that is cut at its slashes."""
    text = json.dumps(build_edited_manifest("store_region", "a//b/*c*/"))
    assert "a//b/*c*/" in str(parse_manifest(text).err_value)
