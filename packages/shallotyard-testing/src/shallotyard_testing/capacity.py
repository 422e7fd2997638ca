"""Measures unit costs and extrapolates them to the size of the design.

The unit costs are slopes over sizes that differ by a factor of at least 8. Most are
measured in this process, on the real codec and reducer. The last table extrapolates
them to the size of design section 2; docs/CAPACITY.md explains it.
"""

import datetime
import sys

from absl import flags

from shallotyard_testing.capacity_heartbeats import measure_members
from shallotyard_testing.capacity_legs import measure_legs
from shallotyard_testing.capacity_planning import measure_configuration
from shallotyard_testing.capacity_planning import measure_hot_keys
from shallotyard_testing.capacity_planning import measure_plan
from shallotyard_testing.capacity_planning import measure_plan_upstreams
from shallotyard_testing.capacity_planning import measure_slices
from shallotyard_testing.capacity_processes import measure_daemons
from shallotyard_testing.capacity_processes import measure_processes
from shallotyard_testing.capacity_roles import Size
from shallotyard_testing.capacity_roles import extrapolate
from shallotyard_testing.capacity_roles import extrapolate_heartbeats
from shallotyard_testing.utils import parse_flags

_FLAGS = flags.FlagValues()
flags.DEFINE_list(
    "daemons", ["2", "4", "8", "16"], "sizes of real deployments", flag_values=_FLAGS
)
flags.DEFINE_bool(
    "heartbeats_only", False, "measure heartbeats and nothing else", flag_values=_FLAGS
)
flags.DEFINE_float("idle_s", 4.0, "observation of each", flag_values=_FLAGS)


def format_value(value):
    """Return a number with three significant digits and the prefix of its unit."""
    for limit, suffix in ((1e9, "G"), (1e6, "M"), (1e3, "k")):
        if abs(value) >= limit:
            return f"{value / limit:.3g} {suffix}"
    return f"{value:.3g} "


def _print_slopes(slopes):
    print(f"{'quantity':<42}{'per unit':>12}{'base':>12} {'unit':<14} points")
    for each in slopes:
        points = " ".join(f"{x:g}:{y:.4g}" for x, y in each.points)
        print(
            f"{each.name:<42}{each.slope:>12.4g}{each.intercept:>12.4g}"
            f" {each.unit:<14} {points}",
            flush=True,
        )


def _print_roles(rows):
    print(f"\n{'role':<15}{'quantity':<58}{'at size':>12}{'limit':>12}{'factor':>9}")
    for role, quantity, value, limit, unit in rows:
        factor = f"{value / limit:.3g}" if limit else ""
        bound = format_value(limit) + unit if limit else "none"
        shown = format_value(value) + unit
        print(f"{role:<15}{quantity:<58}{shown:>12}{bound:>12}{factor:>9}")


def run():
    """Measure the quantities that the flags select and print the tables."""
    print(f"{datetime.date.today()} {' '.join(sys.argv[1:])}")
    if _FLAGS.heartbeats_only:
        _run_heartbeats()
    else:
        _run_all()


def _run_heartbeats():
    slopes = measure_members()
    _print_slopes(slopes)
    by_name = {each.name: each for each in slopes}
    _print_roles(extrapolate_heartbeats(by_name, Size()))


def _run_all():
    slopes = []
    for measure in (
        measure_legs,
        measure_slices,
        measure_plan,
        measure_plan_upstreams,
        measure_members,
        measure_configuration,
    ):
        found = measure()
        slopes += found
        _print_slopes(found)
    print(f"hot keys: {measure_hot_keys()}", flush=True)
    rows = measure_daemons([int(count) for count in _FLAGS.daemons], _FLAGS.idle_s)
    if rows:
        rows += measure_daemons([8], _FLAGS.idle_s, domains=8)
        found = measure_processes()
        slopes += found
        _print_slopes(found)
    for row in rows:
        print(" ".join(f"{name}={value:.4g}" for name, value in row.items()))
    by_name = {each.name: each for each in slopes}
    _print_roles(extrapolate(by_name, Size(), rows))


if __name__ == "__main__":
    parse_flags(_FLAGS, sys.argv)
    run()
