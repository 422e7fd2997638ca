"""Stand-in for upstreams; one process serves several, each on its own port."""

import asyncio
import pathlib
import sys

import orjson
import uvloop
from absl import flags
from tornado.ioloop import PeriodicCallback

from shallotyard_testing.journal import Journal
from shallotyard_testing.upstream_calls import make_control_handler
from shallotyard_testing.upstream_calls import make_handler
from shallotyard_testing.upstream_lifecycle import open_port
from shallotyard_testing.upstream_state import Upstream
from shallotyard_testing.upstream_state import UpstreamConfig
from shallotyard_testing.utils import listen
from shallotyard_testing.utils import parse_flags

_FLAGS = flags.FlagValues()
flags.DEFINE_string("config", None, "JSON file of the upstreams", flag_values=_FLAGS)
flags.DEFINE_integer(
    "control_port",
    0,
    "port that controls all upstreams, also those that do not listen",
    flag_values=_FLAGS,
)
flags.DEFINE_integer(
    "journal_limit", 500_000, "number of executions kept", flag_values=_FLAGS
)

_REPORT_PERIOD_MS = 50.0


def start_upstreams(configs, journal):
    """Start upstreams in the running event loop.

    :param configs: the ``UpstreamConfig`` entries.
    :param journal: the ``Journal`` shared by all of them.
    :return: upstreams by id.
    """
    upstreams_by_id = {}
    for config in configs:
        upstream = Upstream(config, journal)
        upstreams_by_id[config.id] = upstream
        upstream.handle = make_handler(upstream, upstreams_by_id)
        open_port(upstream)
    return upstreams_by_id


def _record_reported_states(upstreams_by_id):
    for upstream in upstreams_by_id.values():
        if upstream.config.lag_ms > 0:
            upstream.record_reported_state()


async def _serve():
    entries = orjson.loads(pathlib.Path(_FLAGS.config).read_bytes())["upstreams"]
    journal = Journal(_FLAGS.journal_limit)
    configs = [UpstreamConfig(**entry) for entry in entries]
    upstreams_by_id = start_upstreams(configs, journal)
    if _FLAGS.control_port:
        listen(make_control_handler(journal, upstreams_by_id), _FLAGS.control_port)
    PeriodicCallback(
        lambda: _record_reported_states(upstreams_by_id), _REPORT_PERIOD_MS
    ).start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    parse_flags(_FLAGS, sys.argv)
    uvloop.run(_serve())
