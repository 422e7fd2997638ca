import pytest
from manifest_builders import build_raw
from manifest_builders import deploy
from manifest_builders import digest
from manifest_builders import edit

from shallotyard_core.manifest_changes import check_change


def find_change_faults(new_raw, old_raw=None):
    new_raw["version"] = 2
    faults = check_change(deploy(old_raw or build_raw()), deploy(new_raw))
    return [fault.path for fault in faults]


def test_allowed_changes():
    """Guards against a refusal of a change that moves no key."""
    raw = build_raw()
    raw["services"]["statusdesk"].update(slots=8, max_run_ms=500)
    raw["services"]["statusdesk"]["regions"].reverse()
    raw["upstreams"]["tilldesk-01"]["domain"] = "d1"
    raw["clients"]["new"] = {"credential_sha256": digest("c")}
    del raw["clients"]["pula-pier"]
    assert find_change_faults(raw) == []


@pytest.mark.parametrize("version", [1, 2, 3])
def test_version_must_grow(version):
    """Guards against a configuration that reverts."""
    old = deploy(edit("version", 2))
    new = deploy(edit("version", version))
    paths = [fault.path for fault in check_change(old, new)]
    assert paths == ([] if version == 3 else ["version"])


def test_home_regions_must_not_change():
    """Guards against a key that two versions place in two regions."""
    raw = edit("clients/pula-pier/home_regions", ["istra"])
    assert find_change_faults(raw) == ["clients.pula-pier.home_regions"]


def test_regions_of_a_keyed_service_must_not_change():
    """Guards against a key that two versions place in two regions."""
    raw = edit("services/statusdesk/regions", ["dalmacija"])
    del raw["upstreams"]["statusdesk-02"]
    assert find_change_faults(raw) == ["services.statusdesk.regions"]


@pytest.mark.parametrize("service", ["statusdesk", "tilldesk"])
def test_slices_must_not_change(service):
    """Guards against a key that two versions place in two slices.

    An unkeyed service places its Idempotency-Keys in slices as well.
    """
    raw = edit(f"services/{service}/slices", 128)
    assert find_change_faults(raw) == [f"services.{service}.slices"]


@pytest.mark.parametrize(
    ("service", "keyed"), [("statusdesk", False), ("tilldesk", True)]
)
def test_keyed_must_not_change(service, keyed):
    """Guards against a key with an owner in one version and none in the other."""
    raw = edit(f"services/{service}/keyed", keyed)
    raw["services"][service]["checks_grants"] = True
    assert find_change_faults(raw) == [f"services.{service}.keyed"]


def test_region_of_an_upstream_must_not_change():
    """Guards against an upstream with a holder in each of two regions."""
    raw = edit("upstreams/statusdesk-01/domain", "i1")
    raw["upstreams"]["statusdesk-02"]["domain"] = "d1"
    assert find_change_faults(raw) == [
        "upstreams.statusdesk-01.domain",
        "upstreams.statusdesk-02.domain",
    ]
