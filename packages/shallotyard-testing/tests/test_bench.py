import json

import pytest

from shallotyard_core.manifest import parse_manifest
from shallotyard_testing.bench import Sample
from shallotyard_testing.bench import build_manifest
from shallotyard_testing.bench import compute_ratios
from shallotyard_testing.bench import merge_samples
from shallotyard_testing.bench_policy import compute_ratio
from shallotyard_testing.bench_policy import list_first_upstreams


@pytest.mark.parametrize("keyed", [False, True])
def test_manifest_is_valid(keyed):
    """Guards against a comparison in which the daemon refuses its manifest."""
    assert parse_manifest(json.dumps(build_manifest(3, 9101, keyed))).is_ok()


def test_merge_takes_medians_and_adds_failures():
    """Guards against medians that one disturbed round changes, or hidden failures."""
    samples = [Sample(100.0 * n, n, 2.0 * n, 3.0, 4.0, 1) for n in (1, 2, 9)]
    assert merge_samples(samples) == Sample(200.0, 2, 4.0, 3.0, 4.0, 3)


def test_ratios_are_of_the_product_to_the_reference():
    """Guards against inverted ratios, and a division by zero."""
    ratios = compute_ratios(Sample(70, 2, 3, 4, 5, 0), Sample(100, 1, 2, 4, 0, 0))
    assert ratios == pytest.approx(
        {"requests_per_s": 0.7, "p50_ms": 2, "p99_ms": 1.5, "p999_ms": 1, "cpu_us": 0}
    )
    assert compute_ratio(120.0, 40.0) == 3.0
    assert compute_ratio(1.0, 0.0) == 0.0


def test_listed_upstreams_are_in_the_built_manifest():
    """Guards against a fault that is injected into no upstream."""
    manifest = build_manifest(2, 9101, False)
    assert list_first_upstreams("lookup", 2) == list(manifest["upstreams"])
