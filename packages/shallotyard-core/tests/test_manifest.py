"""Tests of parsing, checking and encoding manifests."""

import copy
import json

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from manifest_builders import build_edited_manifest
from manifest_builders import build_raw_manifest
from manifest_builders import find_fault_texts_by_path
from manifest_builders import hash_credential

from shallotyard_core import manifest


def test_valid_manifest_is_accepted():
    """Guards against a check that rejects a valid manifest."""
    assert find_fault_texts_by_path(build_raw_manifest()) == {}


@pytest.mark.parametrize(
    ("path", "value", "fault_path", "text"),
    [
        ("version", 0, "version", "found 0"),
        ("version", "1", "version", "found '1'"),
        ("version", True, "version", "found True"),
        ("version", ..., "version", "found nothing"),
        ("extra", 1, "extra", "no such field"),
        ("services/tilldesk/slot", 1, "services.tilldesk.slot", "no such field"),
        ("store_region", "kvarner", "store_region", "a known region"),
        ("regions/istra", {"domains": []}, "regions.istra.domains", "found []"),
        (
            "regions/istra/domains",
            ["i1", "d1"],
            "regions.istra.domains.1",
            "a unique failure domain",
        ),
        ("services/statusdesk/slots", 0, "services.statusdesk.slots", "found 0"),
        ("services/tilldesk/cold_slots", 0, "services.tilldesk.cold_slots", "found 0"),
        (
            "services/tilldesk/cold_slots",
            5,
            "services.tilldesk.cold_slots",
            "at most slots (4)",
        ),
        ("services/tilldesk/slices", 0, "services.tilldesk.slices", "found 0"),
        ("services/tilldesk/slices", 48, "services.tilldesk.slices", "power of two"),
        ("services/tilldesk/slices", 8192, "services.tilldesk.slices", "found 8192"),
        (
            "services/tilldesk/idempotent_methods",
            ["get"],
            "services.tilldesk.idempotent_methods.0",
            "found 'get'",
        ),
        (
            "services/statusdesk/regions",
            ["dalmacija", "istra", "kvarner"],
            "services.statusdesk.regions.2",
            "a known region",
        ),
        (
            "services/tilldesk/regions",
            ["dalmacija", "dalmacija"],
            "services.tilldesk.regions.1",
            "a unique region",
        ),
        ("upstreams/statusdesk-02", ..., "services.statusdesk.regions", "in region"),
        ("routes/0/service", "nix", "routes.0.service", "a known service"),
        ("routes/0/prefix", "/tills/", "routes.1.prefix", "a unique prefix"),
        ("routes/0/prefix", "status/", "routes.0.prefix", "found 'status/'"),
        ("routes/0/prefix", "/status", "routes.0.prefix", "found '/status'"),
        ("routes/1/clients", [], "routes.1.clients", "found []"),
        ("routes/1/clients", ["nobody"], "routes.1.clients.0", "a known client"),
        ("routes/1/clients", ["*", "pula-pier"], "routes.1.clients", "'*' alone"),
        (
            "clients/split-market/home_regions",
            ["kvarner"],
            "clients.split-market.home_regions.0",
            "a known region",
        ),
        (
            "clients/split-market/home_regions",
            ["dalmacija", "istra"],
            "clients.split-market.home_regions",
            "'tilldesk'",
        ),
        (
            "clients/pula-pier/credential_sha256",
            hash_credential("a"),
            "clients.pula-pier.credential_sha256",
            "a unique credential digest",
        ),
        ("clients/pula-pier/rate", -1, "clients.pula-pier.rate", "0"),
        ("clients/pula-pier/rate", "9", "clients.pula-pier.rate", "a valid number"),
        ("clients/pula-pier/burst", 1e99, "clients.pula-pier.burst", "1000000000"),
        ("clients/pula-pier/priority", -1, "clients.pula-pier.priority", "0"),
        ("clients/pula-pier/priority", 0.5, "clients.pula-pier.priority", "integer"),
        ("upstreams/tilldesk-01/service", "x", "upstreams.tilldesk-01.service", "x"),
        ("upstreams/tilldesk-01/domain", "d9", "upstreams.tilldesk-01.domain", "d9"),
        (
            "upstreams/tilldesk-01/domain",
            "i1",
            "upstreams.tilldesk-01.domain",
            "in a region of service 'tilldesk'",
        ),
        (
            "upstreams/tilldesk-01/address",
            "127.0.0.1:9101",
            "upstreams.tilldesk-01.address",
            "a unique address",
        ),
    ],
)
def test_fault_is_reported_at_its_path(path, value, fault_path, text):
    """Guards against a fault that is accepted or reported at another path."""
    assert (
        text in find_fault_texts_by_path(build_edited_manifest(path, value))[fault_path]
    )


@pytest.mark.parametrize(
    "address",
    ["localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:+80"]
    + ["::1:80", "[0::1]:80", "[::1]", "127.0.0.01:80", ":80", "127.0.0.1:80/x"],
)
def test_invalid_address_is_rejected(address):
    """Guards against host names, which need DNS, and other forms of an address."""
    faults = find_fault_texts_by_path(
        build_edited_manifest("upstreams/tilldesk-01/address", address)
    )
    assert list(faults) == ["upstreams.tilldesk-01.address"]


def test_ipv6_address_is_accepted():
    """Guards against a check that rejects IPv6 addresses."""
    assert (
        find_fault_texts_by_path(
            build_edited_manifest("upstreams/tilldesk-01/address", "[::1]:80")
        )
        == {}
    )


@pytest.mark.parametrize(
    "invalid_id", ["", "Istra", "a b", "-a", "a" * 64, "a/b", "a\n"]
)
def test_invalid_id_is_rejected(invalid_id):
    """Guards against an id that is invalid in a URL, a header or a metric label."""
    raw = build_raw_manifest()
    raw["regions"][invalid_id] = {"domains": ["x1"]}
    assert any(path.startswith("regions.") for path in find_fault_texts_by_path(raw))


def test_all_faults_are_reported_at_once():
    """Guards against a schema error that hides faults of references."""
    raw = build_raw_manifest()
    raw["version"] = "one"
    raw["unknown"] = 1
    raw["services"]["statusdesk"]["slots"] = "four"
    raw["routes"][0]["service"] = "nix"
    raw["clients"]["pula-pier"]["home_regions"] = ["kvarner"]
    raw["upstreams"]["tilldesk-01"]["domain"] = "d9"
    assert list(find_fault_texts_by_path(raw)) == [
        "version",
        "services.statusdesk.slots",
        "unknown",
        "routes.0.service",
        "clients.pula-pier.home_regions.0",
        "upstreams.tilldesk-01.domain",
    ]


def test_quota_and_priority_of_a_client_are_accepted():
    """Guards against a manifest that is refused because of fields that have an effect
    in direct dispatch only.
    """
    raw = build_raw_manifest()
    raw["clients"]["pula-pier"] |= {"rate": 20.5, "burst": 0, "priority": None}
    raw["clients"]["split-market"] |= {"rate": 20, "priority": 0}
    parsed = manifest.parse_manifest(json.dumps(raw))
    plain = manifest.parse_manifest(json.dumps(build_raw_manifest()))
    assert parsed.is_ok()
    assert parsed == plain


def test_credential_is_not_shown():
    """Guards against printing a credential that was given instead of its digest."""
    faults = find_fault_texts_by_path(
        build_edited_manifest("clients/pula-pier/credential_sha256", "s3cret")
    )
    assert list(faults) == ["clients.pula-pier.credential_sha256"]
    assert "s3cret" not in str(faults)


_JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


def iterate_paths(value, path=()):
    yield path
    items = value.items() if isinstance(value, dict) else ()
    items = enumerate(value) if isinstance(value, list) else items
    for key, entry in items:
        yield from iterate_paths(entry, (*path, key))


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    path=st.sampled_from(list(iterate_paths(build_raw_manifest()))), value=_JSON_VALUES
)
def test_any_value_at_any_path_is_valid_or_a_fault(path, value):
    """Guards against an exception for a value of an unexpected type."""
    raw = {"root": copy.deepcopy(build_raw_manifest())}
    target = raw
    *parents, last = ("root", *path)
    for part in parents:
        target = target[part]
    target[last] = value
    parsed = manifest.parse_manifest(json.dumps(raw["root"]))
    assert parsed.is_ok() or parsed.err_value


def test_stored_manifest_gives_the_same_deployment():
    """Guards against an encoding that changes the manifest."""
    text = "// comment\n" + json.dumps(build_raw_manifest())
    stored = manifest.encode_manifest(text, "nonce-1")
    assert json.loads(stored)["writer"] == "nonce-1"
    assert manifest.read_writer_nonce(stored) == "nonce-1"
    assert manifest.parse_manifest(stored) == manifest.parse_manifest(text)


@pytest.mark.parametrize("text", ["", "[]", "{}", '{"writer": 5}', b"\xff"])
def test_other_object_has_no_writer_nonce(text):
    """Guards against an exception for a store object that is not a manifest."""
    assert manifest.read_writer_nonce(text) is None
