"""Tests of the flag parsing of the stand-ins."""

import pytest
from absl import flags

from shallotyard_testing.utils import parse_flags


def test_help_prints_the_flags_and_exits(capsys):
    """Guards against ``--help`` that is refused as an unknown flag."""
    values = flags.FlagValues()
    flags.DEFINE_integer("seed", 1, "seed of the schedule", flag_values=values)
    with pytest.raises(SystemExit) as exit_info:
        parse_flags(values, ["program", "--help"])
    assert exit_info.value.code == 0
    assert "seed of the schedule" in capsys.readouterr().out


def test_flag_names_may_use_hyphens():
    """Guards against flags that are accepted with underscores only."""
    values = flags.FlagValues()
    flags.DEFINE_float("duration_s", 1.0, "time", flag_values=values)
    parse_flags(values, ["program", "--duration-s=2"])
    assert values.duration_s == 2.0
