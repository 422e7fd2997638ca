"""Builders of the router state of one daemon, for tests without processes."""

from shallotyard_core.events import StoreReadFinished
from shallotyard_core.events import StoreStatus
from shallotyard_core.objects import MANIFEST
from shallotyard_core.reducer import Router
from shallotyard_core.reducer import reduce
from shallotyard_core.settings import Settings


def build_settings(**changes):
    """Return settings of a daemon whose store and instance list do not exist.

    :param changes: fields that replace the defaults.
    """
    values = {
        "instance": "router-a",
        "domain": "d1",
        "http_address": "127.0.0.1:8080",
        "peer_address": "127.0.0.1:8081",
        "store_url": "http://127.0.0.1:8500",
        "instance_list_url": "http://127.0.0.1:8600",
        "seed": 1,
    }
    return {**values, **changes}


def build_router(manifest_text=None, now=100.0):
    """Return the router state of a daemon.

    :param manifest_text: text of its manifest, or ``None`` for no manifest.
    :param now: start time in seconds.
    """
    settings = Settings(**build_settings())
    router = Router.from_settings(settings, "incarnation-a", now, 1)
    if manifest_text is not None:
        read = StoreReadFinished(
            now, MANIFEST, now, StoreStatus.DONE, "1", manifest_text.encode()
        )
        reduce(router, read)
    return router
