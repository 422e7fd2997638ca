import json

from shallotyard_core.assignment import decode_table
from shallotyard_core.assignment import encode_table
from shallotyard_testing.capacity_builders import build_table


def test_built_table_is_a_valid_object():
    """Guards against measuring an object that daemons would refuse."""
    table = build_table("dalmacija", 10, ["a", "b", "c"], {"r1": "i1", "r2": "i2"})
    assert decode_table("dalmacija", encode_table(table)).has_same_content(table)
    assert (
        len(json.loads(encode_table(table))["services"]["statusdesk"]["slices"]) == 10
    )
