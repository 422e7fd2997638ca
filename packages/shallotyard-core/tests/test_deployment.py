"""Tests of the deployment data classes."""

import dataclasses
import pathlib

import pytest

from shallotyard_core import manifest

EXAMPLES_DIR = pathlib.Path(__file__).parents[3] / "examples"


@pytest.fixture(params=["tendaris", "venttiilikeskus"])
def deployment(request):
    """Deployment of an example manifest."""
    text = (EXAMPLES_DIR / f"{request.param}.jsonc").read_text()
    return manifest.parse_manifest(text).unwrap()


def test_examples_have_the_sizes_of_the_design_page():
    """Guards against an example that differs from section 2 of the design page."""
    sizes_by_name = {
        "tendaris": (
            4,
            100,
            {
                "statusdesk": (16, True, True),
                "bookbay": (12, True, False),
                "tilldesk": (12, False, False),
            },
        ),
        "venttiilikeskus": (
            6,
            130,
            {
                "catalogue": (20, True, True),
                "orders": (12, True, False),
                "billing": (12, False, False),
            },
        ),
    }
    for name, (slots, connections, services) in sizes_by_name.items():
        text = (EXAMPLES_DIR / f"{name}.jsonc").read_text()
        deployment = manifest.parse_manifest(text).unwrap()
        assert len(deployment.regions_by_id) == 3
        assert len(deployment.domains_by_id) == 6
        assert deployment.services_by_id.keys() == services.keys()
        for service_id, (upstreams, keyed, checks_grants) in services.items():
            service = deployment.services_by_id[service_id]
            assert (service.slots, service.connections) == (slots, connections)
            assert (service.keyed, service.checks_grants) == (keyed, checks_grants)
            assert len(deployment.upstreams_by_service[service_id]) == upstreams
        homes = [bool(c.home_regions) for c in deployment.clients_by_id.values()]
        assert set(homes) == {True, False}


def test_examples_spread_each_service_over_all_domains(deployment):
    """Guards against an example that does not spread a service over failure domains."""
    for upstreams in deployment.upstreams_by_service.values():
        domains = [upstream.domain for upstream in upstreams]
        counts = [domains.count(domain) for domain in deployment.domains_by_id]
        assert max(counts) - min(counts) <= 1


def test_indexes_are_consistent(deployment):
    """Guards against an index that lacks an entry or has it under another id."""
    for entries_by_id in (
        deployment.regions_by_id,
        deployment.domains_by_id,
        deployment.services_by_id,
        deployment.clients_by_id,
        deployment.upstreams_by_id,
    ):
        assert all(key == entry.id for key, entry in entries_by_id.items())
    assert {
        digest: client.id for digest, client in deployment.clients_by_digest.items()
    } == {c.credential_sha256: c.id for c in deployment.clients_by_id.values()}
    assert sorted(
        upstream.id
        for upstreams in deployment.upstreams_by_service.values()
        for upstream in upstreams
    ) == sorted(deployment.upstreams_by_id)
    for upstream in deployment.upstreams_by_id.values():
        domain = deployment.domains_by_id[upstream.domain]
        assert upstream.region == domain.region
        assert domain.id in deployment.regions_by_id[domain.region].domains


def test_longest_prefix_comes_first(deployment):
    """Guards against a short prefix that matches before a longer one."""
    lengths = [len(route.prefix) for route in deployment.routes]
    assert lengths == sorted(lengths, reverse=True)


def test_star_means_all_clients(deployment):
    """Guards against a route for ``*`` that only a client with the id ``*`` may use."""
    clients = [route.clients for route in deployment.routes]
    assert None in clients
    assert all(names is None or "*" not in names for names in clients)


def test_deployment_is_frozen(deployment):
    """Guards against a change of a configuration that is in use."""
    with pytest.raises(dataclasses.FrozenInstanceError):
        deployment.version = 2
