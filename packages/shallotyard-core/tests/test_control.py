"""Tests of how an instance takes over what the store holds."""

import pathlib
import sys

from shallotyard_core.assignment import encode_table
from shallotyard_core.objects import MANIFEST
from shallotyard_core.steward import assignment_name

sys.path.insert(0, str(pathlib.Path(__file__).parent))
import builders
from world import STORE
from world import World


def test_restarted_steward_reads_the_store_itself():
    """Guards against a region without a writer after its only steward restarts.

    The others supply it with the table and with proofs.
    """
    world = World()
    out = builders.build_service_state(2, [], ["r1", "r2"])
    world.put("service-state", out.encode())
    world.advance(5.0)
    node = world.nodes["r3"]
    assert node.router.control.table.stewards == {"r3": "1"}
    world.put("service-state", builders.build_service_state(3, []).encode())
    world.kill(node)
    world.cut.add(frozenset((node.id, STORE)))
    world.start(node)
    world.advance(3.0)
    world.cut.clear()
    world.advance(5.0)
    assert node.router.control.table.stewards["r3"] == "2"


def test_table_known_before_the_own_domain_was_published_is_adopted():
    """Guards against an instance that stays idle until the next write."""
    router = builders.build_router("r1", domain="d9")
    control = router.control
    out = []
    control.take_object(MANIFEST, builders.build_manifest(1), 1.0, out)
    table = builders.build_table(7, {"book-1": ("r1", 1, "")}, [("book-1", 1, "")])
    name = assignment_name(builders.REGION)
    control.take_object(name, encode_table(table).decode(), 1.1, out)
    assert control.table is None
    published = builders.build_manifest(2).replace('"d2"]', '"d2", "d9"]')
    control.take_object(MANIFEST, published, 1.2, out)
    assert control.table.revision == 7
    assert router.holder.admission_claim("book-1") is not None
