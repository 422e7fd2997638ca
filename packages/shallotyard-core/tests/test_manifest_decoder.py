import json

import pytest
from manifest_builders import build_edited_manifest
from manifest_builders import build_raw_manifest

from shallotyard_core.manifest import parse_manifest


def test_syntax_error_has_the_position_in_the_file():
    """Guards against positions that are shifted by comments or trailing commas."""
    text = '{ // one "\n/* two\nthree */ "version": [1,\n],\n /* four */ "regions" 5}'
    (fault,) = parse_manifest(text).err_value
    assert fault.path == "line 5 column 23"


@pytest.mark.parametrize(
    "text",
    ["", "// only a comment", "{", "[1]", "null", '"x"', "[" * 100_000, "9" * 5000]
    + [b"\xff\xfe", '{"version": NaN}', '{"version": 1, "version": 2}'],
)
def test_text_that_is_not_a_manifest_is_rejected(text):
    """Guards against an exception for a text that is not a manifest."""
    assert parse_manifest(text).is_err()


def test_duplicate_fields_are_rejected():
    """Guards against an upstream that silently replaces another with the same id."""
    text = json.dumps(build_raw_manifest()).replace('"tilldesk-01"', '"statusdesk-01"')
    paths = [fault.path for fault in parse_manifest(text).err_value]
    assert "statusdesk-01" in paths


def test_comments_in_strings_are_kept():
    """Guards against treating slashes within a string as a comment."""
    text = json.dumps(build_edited_manifest("store_region", "a//b/*c*/"))
    assert "a//b/*c*/" in str(parse_manifest(text).err_value)
