"""Builders of valid and invalid manifests."""

import hashlib
import json

from shallotyard_core.manifest import parse_manifest


def hash_credential(name):
    """Return the digest of a credential, as in a manifest."""
    return hashlib.sha256(name.encode()).hexdigest()


def build_service_entry(**changes):
    """Return the entry of a service with some of its fields replaced."""
    service = {
        "keyed": True,
        "checks_grants": True,
        "idempotent_methods": ["GET", "HEAD"],
        "slots": 4,
        "cold_slots": 1,
        "connections": 100,
        "slices": 64,
        "regions": ["dalmacija", "istra"],
        "max_run_ms": 1000,
        "default_deadline_ms": 2000,
        "max_body_bytes": 65536,
    }
    return {**service, **changes}


def build_raw_manifest():
    """Return a valid manifest as decoded JSON."""
    return {
        "version": 1,
        "store_region": "dalmacija",
        "regions": {
            "dalmacija": {"domains": ["d1", "d2"]},
            "istra": {"domains": ["i1"]},
        },
        "services": {
            "statusdesk": build_service_entry(),
            "tilldesk": build_service_entry(
                keyed=False, checks_grants=False, regions=["dalmacija"]
            ),
        },
        "routes": [
            {"prefix": "/status/", "service": "statusdesk", "clients": ["*"]},
            {"prefix": "/tills/", "service": "tilldesk", "clients": ["split-market"]},
        ],
        "clients": {
            "split-market": {
                "home_regions": ["dalmacija"],
                "credential_sha256": hash_credential("a"),
            },
            "pula-pier": {
                "home_regions": [],
                "credential_sha256": hash_credential("b"),
            },
        },
        "upstreams": {
            "statusdesk-01": {
                "service": "statusdesk",
                "domain": "d1",
                "address": "127.0.0.1:9101",
            },
            "statusdesk-02": {
                "service": "statusdesk",
                "domain": "i1",
                "address": "127.0.0.2:9101",
            },
            "tilldesk-01": {
                "service": "tilldesk",
                "domain": "d2",
                "address": "127.0.0.1:9102",
            },
        },
    }


def build_edited_manifest(path, value):
    """Return a valid manifest with one change.

    :param path: position of the value, with slashes between keys and indexes.
    :param value: value to set, or ``...`` to remove the present one.
    """
    raw = build_raw_manifest()
    *parents, last = [int(p) if p.isdigit() else p for p in path.split("/")]
    target = raw
    for part in parents:
        target = target[part]
    if value is ...:
        del target[last]
    else:
        target[last] = value
    return raw


def find_fault_texts_by_path(raw):
    """Return the text of each fault of a manifest by the path of the fault."""
    parsed = parse_manifest(json.dumps(raw))
    return {} if parsed.is_ok() else {f.path: str(f) for f in parsed.err_value}


def parse_deployment(raw):
    """Return the deployment of a valid manifest."""
    return parse_manifest(json.dumps(raw)).unwrap()
