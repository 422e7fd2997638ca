"""Tests of the settings of a daemon."""

import json
import pathlib

import pytest

from shallotyard_core.exceptions import SettingsError
from shallotyard_core.settings import Settings
from shallotyard_testing.state_builders import build_settings

EXAMPLE_PATH = pathlib.Path(__file__).parents[3] / "examples" / "settings.jsonc"


def read_settings(tmp_path, text):
    path = tmp_path / "settings.jsonc"
    path.write_text(text)
    return Settings.from_file(str(path))


def test_example_names_every_setting():
    """Guards against an example that is invalid or lacks a setting."""
    settings = Settings.from_file(str(EXAMPLE_PATH))
    assert settings.instance == "router-dalmacija-1"
    for name in Settings.__dataclass_fields__:
        assert f'"{name}"' in EXAMPLE_PATH.read_text()


def test_optional_settings_have_defaults(tmp_path):
    """Guards against optional settings that are required."""
    values = build_settings()
    del values["seed"]
    settings = read_settings(tmp_path, json.dumps(values))
    assert (settings.log_level, settings.drain_s, settings.seed) == ("info", 65.0, None)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("instance", "a b"),
        ("http_address", "localhost:80"),
        ("store_url", "127.0.0.1:8500"),
        ("log_level", "loud"),
        ("drain_s", -1),
        ("unknown", 1),
    ],
)
def test_invalid_value_is_reported_with_its_name(tmp_path, name, value):
    """Guards against an invalid value that is accepted or not named in the error."""
    with pytest.raises(SettingsError) as caught:
        read_settings(tmp_path, json.dumps(build_settings(**{name: value})))
    assert len(caught.value.faults) == 1
    assert caught.value.faults[0].startswith(f"{name}: ")


@pytest.mark.parametrize("text", ["{", "[1]", ""])
def test_file_without_settings_is_rejected(tmp_path, text):
    """Guards against an unexpected exception for a truncated file."""
    with pytest.raises(SettingsError):
        read_settings(tmp_path, text)
