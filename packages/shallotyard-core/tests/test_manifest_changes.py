import pytest
from manifest_builders import build_edited_manifest
from manifest_builders import build_raw_manifest
from manifest_builders import hash_credential
from manifest_builders import parse_deployment

from shallotyard_core.manifest_changes import check_change


def find_fault_paths(new_raw, old_raw=None):
    new_raw["version"] = 2
    faults = check_change(
        parse_deployment(old_raw or build_raw_manifest()), parse_deployment(new_raw)
    )
    return [fault.path for fault in faults]


def test_change_that_keeps_slices_and_regions_is_accepted():
    """Guards against rejecting a change that keeps the slice and region of each key."""
    raw = build_raw_manifest()
    raw["services"]["statusdesk"].update(slots=8, max_run_ms=500)
    raw["services"]["statusdesk"]["regions"].reverse()
    raw["upstreams"]["tilldesk-01"]["domain"] = "d1"
    raw["clients"]["new"] = {"credential_sha256": hash_credential("c")}
    del raw["clients"]["pula-pier"]
    assert find_fault_paths(raw) == []


@pytest.mark.parametrize("version", [1, 2, 3])
def test_version_must_grow(version):
    """Guards against publishing an older or equal version."""
    old = parse_deployment(build_edited_manifest("version", 2))
    new = parse_deployment(build_edited_manifest("version", version))
    paths = [fault.path for fault in check_change(old, new)]
    assert paths == ([] if version == 3 else ["version"])


def test_home_regions_must_not_change():
    """Guards against a key that two versions map to different regions."""
    raw = build_edited_manifest("clients/pula-pier/home_regions", ["istra"])
    assert find_fault_paths(raw) == ["clients.pula-pier.home_regions"]


def test_regions_of_a_keyed_service_must_not_change():
    """Guards against a key that two versions map to different regions."""
    raw = build_edited_manifest("services/statusdesk/regions", ["dalmacija"])
    del raw["upstreams"]["statusdesk-02"]
    assert find_fault_paths(raw) == ["services.statusdesk.regions"]


@pytest.mark.parametrize("service", ["statusdesk", "tilldesk"])
def test_slices_must_not_change(service):
    """Guards against a key that two versions map to different slices.

    Unkeyed services map their Idempotency-Keys to slices as well.
    """
    raw = build_edited_manifest(f"services/{service}/slices", 128)
    assert find_fault_paths(raw) == [f"services.{service}.slices"]


@pytest.mark.parametrize(
    ("service", "keyed"), [("statusdesk", False), ("tilldesk", True)]
)
def test_keyed_must_not_change(service, keyed):
    """Guards against a key that has an owner in only one of two versions."""
    raw = build_edited_manifest(f"services/{service}/keyed", keyed)
    raw["services"][service]["checks_grants"] = True
    assert find_fault_paths(raw) == [f"services.{service}.keyed"]


def test_region_of_an_upstream_must_not_change():
    """Guards against an upstream that has a holder in two regions."""
    raw = build_edited_manifest("upstreams/statusdesk-01/domain", "i1")
    raw["upstreams"]["statusdesk-02"]["domain"] = "d1"
    assert find_fault_paths(raw) == [
        "upstreams.statusdesk-01.domain",
        "upstreams.statusdesk-02.domain",
    ]
