"""Tests of the service state."""

import pytest

from shallotyard_core import service_state
from shallotyard_core.service_state import ServiceState


def test_encoding_is_deterministic_and_reversible():
    """Guards against an encoding that changes the state or depends on its order."""
    state = ServiceState(frozenset(["d2", "d1"]), frozenset(["router-1"]), 9)
    text = service_state.encode_service_state(state)
    assert text == (
        '{"domains_out":["d1","d2"],"instances_out":["router-1"],"revision":9}'
    )
    assert service_state.parse_service_state(text).ok_value == state
    assert service_state.parse_service_state(text.encode()).ok_value == state


def test_initial_state_is_empty():
    """Guards against an initial state with anything out of service."""
    assert ServiceState() == ServiceState(frozenset(), frozenset(), 0)


@pytest.mark.parametrize(
    ("text", "path"),
    [
        ("", "service-state"),
        ("[]", "service-state"),
        (b"\xff", "service-state"),
        ('{"domains_out": [], "instances_out": []}', "revision"),
        ('{"domains_out": [], "instances_out": [], "revision": -1}', "revision"),
        ('{"domains_out": [], "instances_out": [], "revision": "1"}', "revision"),
        ('{"domains_out": [1], "instances_out": [], "revision": 1}', "domains_out.0"),
        ('{"domains_out": [], "instances_out": [], "revision": 1, "x": 1}', "x"),
    ],
)
def test_malformed_state_is_reported_with_its_position(text, path):
    """Guards against treating a malformed object as "nothing out of service"."""
    messages = service_state.parse_service_state(text).err_value
    assert [message.split(": ")[0] for message in messages] == [path]
