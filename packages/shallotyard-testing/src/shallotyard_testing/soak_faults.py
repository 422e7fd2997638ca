"""Faults of the soak test."""

import json
import random
import signal
import sys
import threading
import time

from shallotyard_testing.cluster import call_json
from shallotyard_testing.scenarios import CLIENT
from shallotyard_testing.traffic import BOOKINGS
from shallotyard_testing.traffic import TILL
from shallotyard_testing.traffic import send

# Upstreams that run in a separate process, which can be paused.
SEPARATE_UPSTREAM_IDS = ("bookbay-01", "statusdesk-01", "tilldesk-01")


class Injector:
    """Injects faults into a cluster.

    Each public method except ``begin`` is a fault, selected by its name. It takes the
    target, begins the fault and returns the function that ends it.

    :param cluster: the ``Cluster``.
    :param log_level: log level of restarted daemons.
    """

    def __init__(self, cluster, log_level):
        self.cluster = cluster
        self.log_level = log_level
        self.lock = threading.Lock()

    def _control(self, *upstreams, **changes):
        separate = [name for name in upstreams if name in SEPARATE_UPSTREAM_IDS]
        rest = [name for name in upstreams if name not in SEPARATE_UPSTREAM_IDS]
        if rest:
            self.cluster.control_upstreams(*rest, **changes)
        if separate:
            query = "&".join(f"upstream={name}" for name in separate)
            url = f"{self.cluster.separate_control_url}/-/control?{query}"
            call_json("POST", url, changes)

    def _list_daemons(self, domain):
        daemons = self.cluster.daemons_by_id.items()
        return [name for name, daemon in daemons if daemon.domain == domain]

    def _restart(self, instance):
        daemon = self.cluster.daemons_by_id[instance]
        self.cluster.start_daemon(instance, daemon.domain, self.log_level)

    def _run_command(self, *arguments):
        with self.lock:
            return self.cluster.run_command(
                *arguments, f"--store={self.cluster.store_url}", "--wait_s=0"
            )

    def begin(self, fault, target):
        """Begin a fault and return the function that ends it.

        :param fault: name of the method.
        :param target: instance, upstream or failure domain, ``""`` if it needs none.
        """
        return getattr(self, fault)(target)

    def kill_instance(self, target):
        """Kill a daemon with SIGKILL."""
        self.cluster.group.kill(target)
        return lambda: self._restart(target)

    def pause_instance(self, target):
        """Pause the process of a daemon."""
        self.cluster.group.pause(target)
        return lambda: self.cluster.group.resume(target)

    def terminate_instance(self, target):
        """Shut a daemon down gracefully with SIGTERM."""
        process = self.cluster.group.children_by_name[target].process
        process.send_signal(signal.SIGTERM)

        def end():
            process.wait(90.0)
            self._restart(target)

        return end

    def kill_upstream(self, target):
        """Stop an upstream, which is cold when it returns."""
        self._control(target, die=True)
        return lambda: self._control(target, die=False)

    def restart_upstream(self, target):
        """Restart an upstream at once, after which it is cold."""
        self._control(target, die=True)
        self._control(target, die=False)
        return lambda: None

    def freeze_upstreams(self, target):
        """Pause the process that runs one upstream of each service."""
        self.cluster.group.pause("upstreams-apart")
        return lambda: self.cluster.group.resume("upstreams-apart")

    def silence(self, target):
        """Stop responses on the open connections of an upstream until they close."""
        self._control(target, silent=True)
        return lambda: None

    def cold_upstream(self, target):
        """Make an upstream cold without a restart."""
        self._control(target, state="cold")
        return lambda: None

    def drain_upstream(self, target):
        """Set an upstream to draining."""
        self._control(target, state="draining")
        return lambda: self._control(target, state="serving")

    def slow_upstream(self, target):
        """Slow an upstream down."""
        self._control(target, slow_factor=5.0)
        return lambda: self._control(target, slow_factor=1.0)

    def cross_answers(self, target):
        """Let an upstream send some responses to the wrong requests."""
        self._control(target, cross=3)
        return lambda: self._control(target, cross=0)

    def truncate_answers(self, target):
        """Let an upstream truncate some responses."""
        self._control(target, truncate=3)
        return lambda: self._control(target, truncate=0)

    def store_down(self, target):
        """Make the store refuse all calls."""
        self.cluster.set_store_faults(down=True)
        return lambda: self.cluster.set_store_faults(down=False)

    def store_slow(self, target):
        """Slow the store down."""
        self.cluster.set_store_faults(delay_ms=500)
        return lambda: self.cluster.set_store_faults(delay_ms=0)

    def store_loses_replies(self, target):
        """Make the store lose its responses to writes that took effect."""
        self.cluster.set_store_faults(lose_replies=0.6)
        return lambda: self.cluster.set_store_faults(lose_replies=0.0)

    def cut_domain_from_store(self, target):
        """Disconnect the daemons of a failure domain from the store."""
        denied = self._list_daemons(target)
        self.cluster.set_store_faults(deny_clients=denied)
        return lambda: self.cluster.set_store_faults(deny_clients=[])

    def _cut(self, domains, mode="silent", store=False):
        """Disconnect the daemons of failure domains from all others.

        :param mode: ``silent`` or ``reset``.
        :param store: whether the store refuses their calls as well.
        """
        domain_by_id = {n: d.domain for n, d in self.cluster.daemons_by_id.items()}
        inside = [n for n, domain in domain_by_id.items() if domain in domains]
        outside = [n for n in domain_by_id if n not in inside]
        self.cluster.cut(inside, outside, mode)
        if store:
            self.cluster.set_store_faults(deny_clients=inside)

        def end():
            self.cluster.heal()
            if store:
                self.cluster.set_store_faults(deny_clients=[])

        return end

    def cut_domain(self, target):
        """Disconnect a failure domain from the others, but not from the store."""
        return self._cut([target])

    def reset_domain(self, target):
        """Reset and refuse connections between a failure domain and the others."""
        return self._cut([target], "reset")

    def cut_domain_off(self, target):
        """Disconnect a failure domain from the others and from the store."""
        return self._cut([target], store=True)

    def cut_region_off(self, target):
        """Disconnect the region of a failure domain.

        Its daemons lose the store as well unless the store is in this region.
        """
        regions = self.cluster.manifest["regions"]
        domains = next(
            region["domains"]
            for region in regions.values()
            if target in region["domains"]
        )
        store_region = regions[self.cluster.manifest["store_region"]]
        return self._cut(domains, store=domains != store_region["domains"])

    def cut_replies(self, target):
        """Drop the replies to a daemon's messages, which still arrive."""
        for other in self.cluster.daemons_by_id:
            if other != target:
                self.cluster.cut_link(target, other, "from")
        return self.cluster.heal

    def kill_domain(self, target):
        """Kill all daemons and stop all upstreams of a failure domain."""
        daemons = self._list_daemons(target)
        upstreams = self.cluster.manifest["upstreams"].items()
        upstream_ids = [name for name, entry in upstreams if entry["domain"] == target]
        for name in daemons:
            self.cluster.group.kill(name)
        self._control(*upstream_ids, die=True)

        def end():
            self._control(*upstream_ids, die=False)
            for name in daemons:
                self._restart(name)

        return end

    def domain_out(self, target):
        """Take a failure domain out of service."""
        self._run_command("domain", "out", target)
        return lambda: self._run_command("domain", "in", target)

    def instance_out(self, target):
        """Take an instance out of service."""
        self._run_command("instance", "out", target)
        return lambda: self._run_command("instance", "in", target)

    def publish(self, target):
        """Publish a changed manifest."""
        with self.lock:
            manifest = self.cluster.manifest
            manifest["version"] += 1
            service = manifest["services"]["tilldesk"]
            service["default_deadline_ms"] = 2000 + manifest["version"] % 100
            path = self.cluster.group.directory / "soak-manifest.jsonc"
            path.write_text(json.dumps(manifest))
        status, output = self._run_command("publish", path)
        if status != 0:
            # A store fault can make the command fail. The next attempt uses a new
            # version.
            sys.stderr.write(f"publish: {output}\n")
        return lambda: None

    def crashing_request(self, target):
        """Send a request that crashes upstreams, repeatedly."""
        marker = f"poison-{target}-{time.monotonic_ns()}"
        upstream_ids = list(self.cluster.manifest["upstreams"])
        self._control(*upstream_ids, crash_on=marker)

        thread = threading.Thread(target=self._repeat_request, args=(target, marker))
        thread.start()

        def end():
            thread.join()
            self._control(*upstream_ids, crash_on="")

        return end

    def _repeat_request(self, seed, marker):
        generator = random.Random(seed)
        for number in range(12):
            send(
                self.cluster,
                generator.choice(sorted(self.cluster.daemons_by_id)),
                CLIENT,
                generator.choice((BOOKINGS, TILL)),
                "POST",
                "poisoned-stall",
                f"{marker}-{number}",
                "n=poison",
                marker,
            )
            time.sleep(0.3)
