"""Passes over exactly the tests that KNOWN-RED.txt lists, and prints them."""

import pathlib

import pytest

_KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"


def _known_red_tests():
    if not _KNOWN_RED.exists():
        return set()
    lines = _KNOWN_RED.read_text().splitlines()
    return {line.split()[1] for line in lines if line.startswith("test: ")}


def pytest_collection_modifyitems(config, items):
    known = _known_red_tests()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.skip(reason="listed in KNOWN-RED.txt"))
            print(f"KNOWN-RED: {item.nodeid}")
