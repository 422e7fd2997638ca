"""Tests of the comparison proxies."""

import asyncio
import json

from shallotyard_testing.baseline import make_chooser
from shallotyard_testing.baseline import read_routes
from shallotyard_testing.builders import build_tendaris_manifest
from shallotyard_testing.builders import build_upstream_configs
from shallotyard_testing.load import LoadOptions
from shallotyard_testing.load import run_load
from shallotyard_testing.processes import ProcessGroup
from shallotyard_testing.processes import find_free_ports


def test_baseline_keeps_a_key_on_one_upstream():
    """Guards against a baseline that gives a key several owners."""
    manifest, _ = build_tendaris_manifest({"statusdesk": 4, "tilldesk": 3})
    choose = make_chooser(read_routes(manifest), hash_keys=True)
    assert len({choose("/status/x", "k") for _ in range(8)}) == 1
    assert len({choose("/status/x", f"k{number}") for number in range(99)}) == 4
    assert len({choose("/till/x", None) for _ in range(3)}) == 3
    assert choose("/other", "k") is None


def test_proxies_pass_requests_through(tmp_path):
    """Guards against proxies that lose headers, bodies or responses."""
    port = find_free_ports(6)
    manifest, credentials = build_tendaris_manifest(
        {"statusdesk": 2, "tilldesk": 2}, base_port=port + 2
    )
    configs = build_upstream_configs(
        manifest, checks_grants=False, cold_ms=0, work_ms=0, slots=50
    )
    (tmp_path / "upstreams.json").write_text(json.dumps(configs))
    (tmp_path / "manifest.json").write_text(json.dumps(manifest))
    with ProcessGroup(tmp_path) as group:
        group.start_module(
            "upstreams",
            "shallotyard_testing.upstream",
            f"--config={tmp_path / 'upstreams.json'}",
            port=port + 2,
        )
        for number, mode in enumerate(("bare", "baseline")):
            group.start_module(
                mode,
                "shallotyard_testing.baseline",
                f"--mode={mode}",
                f"--manifest={tmp_path / 'manifest.json'}",
                f"--port={port + number}",
                port=port + number,
            )
            options = LoadOptions(
                (f"127.0.0.1:{port + number}",),
                credentials["ferry-stalls"],
                duration_s=0.3,
                connections=4,
            )
            report = asyncio.run(run_load(options))
            assert report.statuses == {"200": report.requests}
            assert report.verdicts == {"ran": report.requests}
            assert report.mismatched == 0
