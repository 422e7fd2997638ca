"""Starts the stand-ins and several daemons as local processes."""

import json
import pathlib
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass
from dataclasses import field

from shallotyard_testing.builders import build_upstream_configs
from shallotyard_testing.processes import ProcessGroup
from shallotyard_testing.processes import find_free_port
from shallotyard_testing.processes import find_free_ports

_HTTP_TIMEOUT_S = 3.0
_POLL_PERIOD_S = 0.1


def call_json(method, url, value=None, timeout_s=_HTTP_TIMEOUT_S):
    """Make an HTTP call with an optional JSON body.

    :param method: HTTP method.
    :param url: URL to call.
    :param value: JSON value to send, ``None`` for no body.
    :param timeout_s: socket time-out in seconds.
    :return: status, and value of the JSON body or ``None``.
    """
    data = None if value is None else json.dumps(value).encode()
    request = urllib.request.Request(url, data=data, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            status, body = response.status, response.read()
    except urllib.error.HTTPError as error:
        status, body = error.code, error.read()
    return status, json.loads(body) if body[:1] in b"{[" and body else None


def start_upstream_process(group, name, configs):
    """Start one process of upstream stand-ins.

    :param group: the `ProcessGroup`.
    :param name: name of the process and of its configuration file.
    :param configs: entries that ``build_upstream_configs`` returned.
    :return: address of its control port.
    """
    path = group.directory / f"{name}.json"
    path.write_text(json.dumps({"upstreams": configs}))
    port = find_free_port()
    group.start_module(
        name,
        "shallotyard_testing.upstream",
        f"--config={path}",
        f"--control_port={port}",
        port=port,
    )
    return f"127.0.0.1:{port}"


@dataclass
class Daemon:
    """Addresses, settings file and environment of one daemon."""

    instance: str
    domain: str
    http_address: str
    peer_address: str
    settings_path: pathlib.Path
    environment: dict = field(default_factory=dict)


@dataclass
class Cluster:
    """A running deployment on loopback addresses.

    :param manifest: manifest as a dict, with free ports as upstream addresses.
    :param credentials: credential by client id.
    :param group: the `ProcessGroup`.
    :param name: prefix of file and process names, for several deployments in
        one group.
    :param upstream_control_url: URL of the control port of the upstreams.
    :param separate_control_url: URL of the control port of the second upstream
        process, if any.
    """

    manifest: dict
    credentials: dict
    group: ProcessGroup
    name: str = ""
    store_url: str = ""
    instance_list_url: str = ""
    upstream_control_url: str = ""
    network_url: str = ""
    separate_control_url: str = ""
    daemons_by_id: dict = field(default_factory=dict)

    def start_platform(self, separate_upstream_ids=(), **upstream_changes):
        """Start the store, the instance list and the upstreams.

        :param separate_upstream_ids: ids of upstreams to run in a second process
            named ``upstreams-apart``, which a test can suspend.
        :param upstream_changes: fields of ``UpstreamConfig`` to set for all
            upstreams.
        """
        self.start_store()
        configs = build_upstream_configs(self.manifest, **upstream_changes)["upstreams"]
        remaining_configs = [
            config for config in configs if config["id"] not in separate_upstream_ids
        ]
        address = start_upstream_process(self.group, "upstreams", remaining_configs)
        self.upstream_control_url = f"http://{address}"
        if separate_upstream_ids:
            separate_configs = [
                config for config in configs if config["id"] in separate_upstream_ids
            ]
            address = start_upstream_process(
                self.group, "upstreams-apart", separate_configs
            )
            self.separate_control_url = f"http://{address}"

    def start_store(self):
        """Start the store and the instance list."""
        store_port = find_free_ports(2)
        list_port = store_port + 1
        self.store_url = f"http://127.0.0.1:{store_port}"
        self.instance_list_url = f"http://127.0.0.1:{list_port}"
        self.group.start_module(
            f"{self.name}store",
            "shallotyard_testing.store",
            f"--port={store_port}",
            port=store_port,
        )
        self.group.start_module(
            f"{self.name}instances",
            "shallotyard_testing.instance_list",
            f"--port={list_port}",
            port=list_port,
        )

    def start_network(self):
        """Start the network stand-in.

        Only daemons that are started for the first time later connect through it.
        """
        port = find_free_port()
        self.network_url = f"http://127.0.0.1:{port}"
        self.group.start_module(
            f"{self.name}network",
            "shallotyard_testing.network",
            f"--port={port}",
            port=port,
        )

    def start_daemon(self, instance, domain, log_level="info"):
        """Start a daemon, or restart it with the same addresses.

        :param instance: id of the instance.
        :param domain: its failure domain.
        :param log_level: its log level, only used at the first start.
        :return: the `Daemon`.
        """
        daemon = self.daemons_by_id.get(instance)
        if daemon is None:
            daemon = self._configure_daemon(instance, domain, log_level)
        self.register_instance(daemon)
        port = int(daemon.http_address.rpartition(":")[2])
        self.group.start(
            instance,
            [
                pathlib.Path(sys.executable).with_name("shallotyardd"),
                f"--settings={daemon.settings_path}",
            ],
            port=port,
            environment=daemon.environment,
        )
        return daemon

    def _configure_daemon(self, instance, domain, log_level):
        port = find_free_ports(2)
        settings = {
            "instance": instance,
            "domain": domain,
            "http_address": f"127.0.0.1:{port}",
            "peer_address": f"127.0.0.1:{port + 1}",
            "store_url": self.store_url,
            "instance_list_url": self.instance_list_url,
            "log_level": log_level,
            "seed": len(self.daemons_by_id) + 1,
        }
        path = self.group.directory / f"{instance}.jsonc"
        path.write_text("// Settings of one daemon\n" + json.dumps(settings, indent=2))
        daemon = Daemon(
            instance,
            domain,
            settings["http_address"],
            settings["peer_address"],
            path,
        )
        self.daemons_by_id[instance] = daemon
        if self.network_url:
            daemon.environment = self._register_at_network(daemon)
        return daemon

    def _register_at_network(self, daemon):
        """Register a daemon and return its environment variables for grpcio's proxy."""
        port = find_free_port()
        value = {
            "instance": daemon.instance,
            "port": port,
            "address": daemon.peer_address,
        }
        call_json("PUT", f"{self.network_url}/-/instances", value)
        return {
            "grpc_proxy": f"http://127.0.0.1:{port}",
            # Otherwise a no_proxy variable could exempt loopback addresses.
            "no_grpc_proxy": "none.invalid",
        }

    def cut(self, sources, destinations, mode="silent"):
        """Cut the links between two sets of instances in both directions.

        :param sources: ids of the instances of one set.
        :param destinations: ids of the instances of the other set.
        :param mode: ``silent`` or ``reset``.
        """
        for source in sources:
            for destination in destinations:
                self.cut_link(source, destination, "both", mode)
                self.cut_link(destination, source, "both", mode)

    def cut_link(self, source, destination, direction="both", mode="silent"):
        """Cut the connections that one instance opens to another one.

        :param source: id of the instance that opens the connections.
        :param destination: id of the instance that accepts them.
        :param direction: ``to`` the destination, ``from`` it, or ``both``.
        :param mode: ``silent`` or ``reset``.
        :raises ValueError: the direction or mode is unknown.
        """
        value = {"source": source, "destination": destination}
        value.update(direction=direction, mode=mode)
        status, response = call_json("POST", f"{self.network_url}/-/cut", value)
        if status != 200:
            raise ValueError(response)

    def heal(self):
        """End all cuts."""
        call_json("POST", f"{self.network_url}/-/heal", {})

    def read_network_losses(self):
        """Return the number of bytes lost and connections reset by cuts, by link."""
        return call_json("GET", f"{self.network_url}/-/losses")[1]

    def register_instance(self, daemon, state="live"):
        """Add a daemon to the platform's instance list, or change its state.

        :param daemon: the `Daemon`.
        :param state: ``live`` or ``leaving``.
        """
        entry = {
            "domain": daemon.domain,
            "address": daemon.peer_address,
            "state": state,
        }
        call_json(
            "PUT", f"{self.instance_list_url}/v1/instances/{daemon.instance}", entry
        )

    def run_command(self, *arguments, timeout_s=60.0):
        """Run the ``shallotyard`` command.

        :param arguments: command line arguments.
        :param timeout_s: maximum run time in seconds.
        :return: exit status and output.
        """
        name = f"command-{len(self.group.children_by_name)}"
        command = pathlib.Path(sys.executable).with_name("shallotyard")
        child = self.group.start(name, [command, *arguments])
        status = child.process.wait(timeout_s)
        return status, child.read_log()

    def publish(self):
        """Publish the manifest with the ``shallotyard`` command.

        :return: exit status and output.
        """
        path = self.group.directory / f"{self.name}manifest.jsonc"
        path.write_text(json.dumps(self.manifest, indent=2))
        return self.run_command("publish", path, f"--store={self.store_url}")

    def status(self, instance):
        """Return the status of a daemon, ``None`` if it does not respond."""
        address = self.daemons_by_id[instance].http_address
        try:
            return call_json("GET", f"http://{address}/status?format=json")[1]
        except OSError:
            return None

    def wait_ready(self, timeout_s=20.0):
        """Wait until each daemon serves and no slice is moving.

        :param timeout_s: maximum wait in seconds.
        :raises RuntimeError: a daemon was not ready within ``timeout_s``.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            statuses = [self.status(instance) for instance in self.daemons_by_id]
            if all(map(_is_ready, statuses)):
                return
            time.sleep(_POLL_PERIOD_S)
        raise RuntimeError(f"daemons not ready: {statuses}")

    def set_store_faults(self, **faults):
        """Set faults of the store stand-in.

        :param faults: fields of ``store.Faults``.
        """
        call_json("POST", f"{self.store_url}/-/faults", faults)

    def control_upstreams(self, *upstream_ids, **changes):
        """Set faults and settings of upstream stand-ins.

        :param upstream_ids: ids of the upstreams; all if there is none.
        :param changes: fields of ``upstream_state.Control``; ``state`` to enter a
            state; or ``silent`` to stop responses on connections now open.
        """
        query = "&".join(f"upstream={name}" for name in upstream_ids)
        call_json("POST", f"{self.upstream_control_url}/-/control?{query}", changes)

    def read_upstream_stats(self):
        """Return the counters and violations that the upstream stand-ins recorded."""
        return call_json("GET", f"{self.upstream_control_url}/-/stats")[1]

    def request(self, instance, path, client, method="GET", body=None, **headers):
        """Send one request to a daemon.

        :param instance: id of the instance.
        :param path: path and query.
        :param client: client whose credential is sent.
        :param method: HTTP method.
        :param body: bytes of the body, or ``None``.
        :param headers: further headers by name, with ``_`` in place of ``-``.
        :return: status, verdict, and value of the JSON body or ``None``.
        """
        address = self.daemons_by_id[instance].http_address
        request = urllib.request.Request(
            f"http://{address}{path}", data=body, method=method
        )
        request.add_header("Authorization", f"Bearer {self.credentials[client]}")
        for name, value in headers.items():
            request.add_header(name.replace("_", "-"), value)
        try:
            with urllib.request.urlopen(request, timeout=10.0) as response:
                return _parse_response(response.status, response)
        except urllib.error.HTTPError as error:
            return _parse_response(error.code, error)


def _parse_response(status, response):
    body = response.read()
    verdict = response.headers.get("Shallotyard-Verdict", "")
    return status, verdict, json.loads(body) if body[:1] == b"{" else None


def _is_ready(status):
    return bool(
        status
        and status["assignment_revision"] > 0
        and status["slices_moving"] == 0
        and status["lease_s"] > 0
        and status["stewards"]
    )
