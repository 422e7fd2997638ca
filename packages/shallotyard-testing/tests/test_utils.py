"""Tests of the helpers of the test programs."""

import pytest
from absl import flags

from shallotyard_testing.utils import parse_flags


def test_help_lists_the_flags_and_ends_the_program(capsys):
    """Guards against ``--help`` that is refused as an unknown flag."""
    values = flags.FlagValues()
    flags.DEFINE_integer("seed", 1, "seed of the schedule", flag_values=values)
    with pytest.raises(SystemExit) as ended:
        parse_flags(values, ["program", "--help"])
    assert ended.value.code == 0
    assert "seed of the schedule" in capsys.readouterr().out


def test_flag_names_may_use_hyphens():
    """Guards against flags that work only in the spelling of the code."""
    values = flags.FlagValues()
    flags.DEFINE_float("duration_s", 1.0, "time", flag_values=values)
    parse_flags(values, ["program", "--duration-s=2"])
    assert values.duration_s == 2.0
