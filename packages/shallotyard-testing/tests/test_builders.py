"""Tests of the builders of manifests and upstream configurations."""

from shallotyard_testing.builders import build_tendaris_manifest
from shallotyard_testing.builders import build_upstream_configs
from shallotyard_testing.builders import digest_credential


def test_upstreams_cover_regions_and_ports():
    """Guards against domains without upstreams, and ports that are used twice."""
    manifest, credentials_by_client = build_tendaris_manifest(base_port=20_000)
    domains = {
        domain for entry in manifest["regions"].values() for domain in entry["domains"]
    }
    upstreams = manifest["upstreams"].values()
    assert {upstream["domain"] for upstream in upstreams} == domains
    ports = [upstream["address"] for upstream in upstreams]
    assert len(set(ports)) == 40
    for name, client in manifest["clients"].items():
        digest = digest_credential(credentials_by_client[name])
        assert client["credential_sha256"] == digest


def test_upstream_configs_match_the_manifest():
    """Guards against stand-ins whose settings differ from those of the manifest."""
    manifest, _ = build_tendaris_manifest({"statusdesk": 2, "bookbay": 1})
    entries = build_upstream_configs(manifest, work_ms=7)["upstreams"]
    assert [entry["checks_grants"] for entry in entries] == [True, True, False]
    assert {entry["work_ms"] for entry in entries} == {7}
    assert [entry["region"] for entry in entries[:2]] == ["dalmacija", "slavonija"]
