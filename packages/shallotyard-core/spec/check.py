"""Check the ownership protocol and its variants with z3."""

import time

import ownership_spec as spec
from absl import app
from absl import flags

_VARIANT = flags.DEFINE_enum(
    "variant",
    "all",
    ["all", "repaired", "redundant", "alternatives", "witnesses", *spec.VARIANTS],
    "What to check.",
)
_DEPTH = flags.DEFINE_integer(
    "depth", 3, "Number of writes after the first version.", lower_bound=1
)

_VERDICTS = {True: "holds", False: "BROKEN", None: "unknown"}


def _measure_time(check, *args):
    begin = time.monotonic()
    result = check(*args)
    return result, time.monotonic() - begin


def _report_proof(name: str, rules: spec.Rules) -> bool:
    """Print the result of each property of a rule set; return whether all hold."""
    all_hold = True
    for property_name in spec.PROPERTIES:
        outcome, seconds = _measure_time(spec.prove, rules, property_name, _DEPTH.value)
        verdict = _VERDICTS[outcome.holds]
        print(
            f"{name:24} {property_name:10} {verdict:8} depth {outcome.depth}  "
            f"{seconds:6.2f} s"
        )
        print("".join(f"{line}\n" for line in outcome.timeline), end="")
        all_hold = all_hold and outcome.holds is True
    return all_hold


def _report_variant(name: str) -> bool:
    """Print the counterexample of a variant; return whether there is one."""
    variant = spec.VARIANTS[name]
    outcome, seconds = _measure_time(
        spec.refute, variant.rules, variant.property, _DEPTH.value
    )
    verdict = _VERDICTS[outcome.holds]
    print(
        f"{name:24} {outcome.property:10} {verdict:8} depth {outcome.depth}  "
        f"{seconds:6.2f} s  ({variant.basis}: {variant.description})"
    )
    print("".join(f"{line}\n" for line in outcome.timeline), end="")
    return outcome.holds is False


def _report_witness(name: str) -> bool:
    """Print an execution with the given behaviour; return whether there is one."""
    timeline, seconds = _measure_time(spec.find_witness, name)
    print(f"{name:24} {'possible' if timeline else 'IMPOSSIBLE'}  {seconds:6.2f} s")
    print("".join(f"{line}\n" for line in timeline), end="")
    return bool(timeline)


def main(argv: list[str]) -> int:
    """Run the selected checks.

    :param argv: command line without the flags
    :return: 0 if every check has the expected result, otherwise 1
    """
    if len(argv) > 1:
        raise app.UsageError(f"unexpected argument {argv[1]!r}")
    selected = _VARIANT.value
    results = []
    if selected in ("all", "repaired"):
        results.append(_report_proof("repaired", spec.REPAIRED))
    if selected in ("all", "witnesses"):
        results += [_report_witness(name) for name in spec.WITNESSES]
    if selected in ("all", "redundant"):
        results += [_report_proof(name, r) for name, r in spec.REDUNDANT.items()]
    if selected in ("all", "alternatives"):
        results += [_report_proof(name, r) for name, r in spec.ALTERNATIVES.items()]
    names = spec.VARIANTS if selected == "all" else {selected} & set(spec.VARIANTS)
    results += [_report_variant(name) for name in names]
    return 0 if all(results) else 1


if __name__ == "__main__":
    app.run(main)
