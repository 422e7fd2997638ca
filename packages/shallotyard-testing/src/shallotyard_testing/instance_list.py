"""Stand-in for the platform's instance list, which shows changes with a lag."""

import collections
import sys

import orjson
import uvloop
from absl import flags

from shallotyard_testing.utils import parse_flags
from shallotyard_testing.utils import read_clock_ms
from shallotyard_testing.utils import respond
from shallotyard_testing.utils import respond_json
from shallotyard_testing.utils import serve_forever

_FLAGS = flags.FlagValues()
flags.DEFINE_string("address", "127.0.0.1", "IP address", flag_values=_FLAGS)
flags.DEFINE_integer("port", 9001, "TCP port", flag_values=_FLAGS)
flags.DEFINE_float("lag_ms", 0.0, "age of the list shown", flag_values=_FLAGS)

_PATH = "/v1/instances"
_STATES = ("live", "leaving")


class InstanceList:
    """Versions of the instance list, which readers see with a lag.

    :param lag_ms: age of the list that readers see, in milliseconds.
    """

    def __init__(self, lag_ms):
        self._lag_ms = lag_ms
        self._versions = collections.deque([(float("-inf"), {})])

    def update_instance(self, instance_id, entry, now_ms):
        """Set or remove one instance.

        :param instance_id: id of the instance.
        :param entry: dict with ``domain``, ``address`` and ``state``, or
            ``None`` to remove the instance.
        :param now_ms: current time in milliseconds.
        """
        instances_by_id = dict(self._versions[-1][1])
        instances_by_id.pop(instance_id, None)
        if entry is not None:
            instances_by_id[instance_id] = {"id": instance_id, **entry}
        self._versions.append((now_ms, instances_by_id))

    def read(self, now_ms):
        """Return the instances as of ``lag_ms`` ago.

        :param now_ms: current time in milliseconds.
        """
        while len(self._versions) > 1 and self._versions[1][0] <= now_ms - self._lag_ms:
            self._versions.popleft()
        return list(self._versions[0][1].values())


def _read_entry(body):
    """Parse and validate the body of a PUT request.

    :raises KeyError: a field is missing.
    :raises ValueError: the body is not JSON, or the state is unknown.
    """
    value = orjson.loads(body)
    entry = {"domain": value["domain"], "address": value["address"]}
    entry["state"] = value.get("state", "live")
    if entry["state"] not in _STATES:
        raise ValueError(f"state {entry['state']!r} is not one of {_STATES}")
    return entry


def make_handler(instances):
    """Return the request handler of an instance list.

    :param instances: the ``InstanceList`` to serve.
    :return: function that takes an ``HTTPServerRequest``.
    """

    def handle_change(request):
        instance_id = request.path[len(_PATH) + 1 :]
        try:
            entry = _read_entry(request.body) if request.method == "PUT" else None
        except (KeyError, TypeError, ValueError) as error:
            respond_json(request, {"error": repr(error)}, 400)
            return
        instances.update_instance(instance_id, entry, read_clock_ms())
        respond(request, 200)

    def handle(request):
        if request.method == "GET" and request.path == _PATH:
            respond_json(request, {"instances": instances.read(read_clock_ms())})
        elif request.method in ("PUT", "DELETE") and request.path.startswith(
            _PATH + "/"
        ):
            handle_change(request)
        else:
            respond(request, 404)

    return handle


if __name__ == "__main__":
    parse_flags(_FLAGS, sys.argv)
    handler = make_handler(InstanceList(_FLAGS.lag_ms))
    uvloop.run(serve_forever(handler, _FLAGS.port, _FLAGS.address))
