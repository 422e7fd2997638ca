"""Builders of test data for direct dispatch."""

from shallotyard_direct.accounts.model import Account
from shallotyard_direct.accounts.model import digest_key
from shallotyard_direct.accounts.model import index_by_digest
from shallotyard_direct.model import Configuration
from shallotyard_direct.model import Request
from shallotyard_direct.model import Route
from shallotyard_direct.model import Service
from shallotyard_direct.model import SplitPart
from shallotyard_direct.model import Upstream
from shallotyard_direct.settings import DirectSettings

REGION_BY_DOMAIN = {"split": "south", "zadar": "south", "osijek": "east"}


def build_settings(instance="front-1", domain="split", **changes):
    """Return settings of an instance."""
    values = {
        "instance": instance,
        "domain": domain,
        "region_by_domain": REGION_BY_DOMAIN,
        "caller_address": "127.0.0.1:1",
        "ready_address": "127.0.0.1:2",
        "peer_address": "127.0.0.1:4",
        "metrics_address": "127.0.0.1:3",
        "shutdown_s": 6.0,
        "retry_ratio": 0.2,
        "retry_window_s": 10.0,
        "cold_rate_factor": 1.5,
        "cold_rate_slack": 5.0,
        "max_grant_ttl_s": 10.0,
    }
    return DirectSettings(**values | changes)


def build_route(prefix="/status/", service="status", **changes):
    """Return a route of the host ``example``."""
    values = {
        "route_id": f"route-{prefix}",
        "host": "example",
        "prefix": prefix,
        "idempotent": True,
        "timeout_s": 1.5,
        "target_latency_s": 0.5,
        "priority": 1,
        "parts": (SplitPart(service, 1.0),),
        "max_attempts": 2,
        "home_regions": frozenset(),
    }
    return Route(**values | changes)


def build_service(service_id="status", **changes):
    """Return an unkeyed service, whose upstreams are cold for three seconds."""
    values = {
        "service_id": service_id,
        "health_path": "/health",
        "connections": 100,
        "cold_s": 3.0,
        "cold_rate": 9.9,
        "keyed": False,
        "warming_s": 5.0,
    }
    return Service(**values | changes)


def build_account(account_id="kotor", keys=None, **changes):
    """Return a client account, whose only key is its name by default."""
    keys = [account_id] if keys is None else keys
    digests = frozenset(digest_key(key.encode()) for key in keys)
    return Account(account_id, digests, **changes)


def build_configuration(routes=None, services=None, version=1, accounts=None):
    """Return a configuration, by default of one route to one service.

    :param accounts: client accounts, None if none are configured.
    """
    routes = [build_route()] if routes is None else routes
    services = [build_service()] if services is None else services
    by_host = {}
    for route in sorted(routes, key=lambda r: -len(r.prefix)):
        by_host.setdefault(route.host, []).append(route)
    return Configuration(
        version,
        {host: tuple(found) for host, found in by_host.items()},
        {service.service_id: service for service in services},
        accounts is not None,
        {account.account_id: account for account in accounts or ()},
        index_by_digest(accounts or ()),
    )


def build_upstream(upstream_id="u1", service="status", **changes):
    """Return an upstream with four slots in the failure domain ``split``."""
    values = {
        "upstream_id": upstream_id,
        "service_id": service,
        "address": f"10.0.0.1:{1000 + sum(map(ord, upstream_id))}",
        "domain": "split",
        "slots": 4,
        "started_ms": 1,
    }
    return Upstream(**values | changes)


def build_request(request_id="r1", target="/status/1", **changes):
    """Return a request with a caller timeout of three seconds."""
    values = {
        "request_id": request_id,
        "caller_id": f"caller-{request_id}",
        "host": "example",
        "method": "GET",
        "target": target,
        "headers": [],
        "body": b"",
        "caller_timeout_s": 3.0,
    }
    return Request(**values | changes)
