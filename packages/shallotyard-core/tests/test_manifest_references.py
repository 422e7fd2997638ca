import pytest
from manifest_builders import build_edited_manifest
from manifest_builders import build_raw_manifest
from manifest_builders import find_fault_texts_by_path
from manifest_builders import parse_deployment


@pytest.mark.parametrize(
    ("keyed", "checks_grants", "max_run_ms", "valid"),
    [
        (True, False, 999, True),
        (True, False, 1000, False),
        (True, True, 1000, True),
        (True, True, 1001, False),
        (False, False, 60_000, True),
        (False, False, 60_001, False),
    ],
)
def test_run_limit_depends_on_the_kind_of_service(
    keyed, checks_grants, max_run_ms, valid
):
    """Guards against a run that is longer than its lease or its outcome record."""
    raw = build_raw_manifest()
    raw["services"]["statusdesk"].update(
        keyed=keyed, checks_grants=checks_grants, max_run_ms=max_run_ms
    )
    faults = find_fault_texts_by_path(raw)
    assert (faults == {}) is valid
    assert valid or " ms" in faults["services.statusdesk.max_run_ms"]
    if keyed and not checks_grants and not valid:
        assert "below 1000 ms" in faults["services.statusdesk.max_run_ms"]


def test_nested_prefixes_are_allowed():
    """Guards against rejecting nested prefixes, of which the longest match applies."""
    raw = build_edited_manifest("routes/1/prefix", "/status/tills/")
    assert find_fault_texts_by_path(raw) == {}
    assert [route.prefix for route in parse_deployment(raw).routes] == [
        "/status/tills/",
        "/status/",
    ]


def test_home_region_counts_only_routes_of_the_client():
    """Guards against a fault for a service that no route of the client leads to."""
    assert (
        find_fault_texts_by_path(
            build_edited_manifest("clients/pula-pier/home_regions", ["istra"])
        )
        == {}
    )
