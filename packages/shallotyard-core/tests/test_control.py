"""Tests of which instances read the store."""

import pathlib
import sys

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
