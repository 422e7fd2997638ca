"""In-memory simulation of instances, upstreams, the store and the network.

It delivers events to the reducer and executes its effects. Violations of the router's
guarantees are recorded in ``Simulation.violations``.
"""

import heapq
import itertools
import pickle
from dataclasses import dataclass
from dataclasses import field

import region_builders as builders

from shallotyard_core import events
from shallotyard_core.assignment import decode_table
from shallotyard_core.events import AttemptKind
from shallotyard_core.events import StoreStatus
from shallotyard_core.instance_list import ListedInstance
from shallotyard_core.reducer import reduce
from shallotyard_core.timing import TICK_S
from shallotyard_core.verdict import Verdict

LATENCY_S = 0.002
STORE_TIMEOUT_S = 0.5
STORE = "store"


@dataclass
class Node:
    """One instance with its own clock rate; the clock also runs during a pause."""

    id: str
    domain: str
    rate: float
    offset: float
    incarnation_number: int = 0
    router: object = None
    paused: bool = False
    backlog: list = field(default_factory=list)
    revisions: dict = field(default_factory=dict)
    request_ids: set = field(default_factory=set)


@dataclass(eq=False)
class RunningAttempt:
    """An attempt that is running at an upstream."""

    node: Node
    effect: object
    key: str
    claim_id: str
    epoch: int
    done: bool = False


@dataclass
class Upstream:
    """One upstream with its own clock, and with grants if it checks them."""

    id: str
    service: str
    keyed: bool
    checks_grants: bool
    rate: float
    boot_number: int = 1
    state: str = "serving"
    alive: bool = True
    slots: int = 2
    grants: dict = field(default_factory=dict)
    highest_epochs: dict = field(default_factory=dict)
    running_attempts: list = field(default_factory=list)

    @property
    def boot_id(self):
        """Return the id of the current process."""
        return f"{self.id}:{self.boot_number}"


class Simulation:
    """Instances, upstreams, the store and the links between them."""

    def __init__(self, node_count=3):
        self.now = 0.0
        self.violations = []
        self._queue = []
        self._order = itertools.count()
        self.cut_links = set()
        self.delay_by_link = {}
        self.drop_by_link = {}
        self._last_delivery = {}
        self.run_s = 0.02
        self.lose_responses = 0
        self.store_up = True
        self.lose_write_replies = 0
        self.store_reply_delay_s = 0.0
        self.objects = {}
        self.history = {}
        self.requests = {}
        self.responses = {}
        self.upstream_by_started_request = {}
        self.request_by_started_identity = {}
        self.newest_epochs_by_key = {}
        self.upstreams = {}
        for number, name in enumerate(("desk", "book", "till")):
            for n in (1, 2, 3):
                keyed, checks_grants, _ = builders.SERVICES[name]
                rate = 1.0 + 0.0045 * (-1) ** (number + n)
                upstream_id = f"{name}-{n}"
                self.upstreams[upstream_id] = Upstream(
                    upstream_id, name, keyed, checks_grants, rate
                )
        self.put_object("manifest", builders.build_manifest(1).encode())
        self.put_object(
            "service-state", b'{"domains_out":[],"instances_out":[],"revision":1}'
        )
        rates = (0.9955, 1.0045, 1.0)
        self.nodes = {}
        for n in range(node_count):
            node = Node(f"r{n + 1}", f"d{1 + n % 2}", rates[n], 1000.0 * (n + 1))
            self.nodes[node.id] = node
            self.start(node)

    # Time

    def schedule(self, delay_s, action):
        """Schedule an action after a delay in seconds of simulated time."""
        heapq.heappush(self._queue, (self.now + delay_s, next(self._order), action))

    def advance(self, seconds):
        """Advance the simulated time and run the actions that become due."""
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until

    def read_clock(self, node):
        """Return an instance's own clock in seconds."""
        return node.offset + node.rate * self.now

    # Instances

    def start(self, node):
        """Start a new incarnation of an instance."""
        node.incarnation_number += 1
        node.paused, node.backlog = False, []
        node.revisions, node.request_ids = {}, set()
        node.router = builders.build_router(
            node.id, node.domain, str(node.incarnation_number), self.read_clock(node)
        )
        self._tick(node, node.router)

    def kill(self, node):
        """Kill the process of an instance; the instance's clock keeps running."""
        node.router = None

    def _tick(self, node, router):
        if node.router is router:
            if not node.paused:
                self.dispatch(node, router, events.Tick(0.0))
            self.schedule(TICK_S / node.rate, lambda: self._tick(node, router))

    def resume(self, node):
        """Resume a paused instance, which then handles its backlog."""
        node.paused = False
        backlog, node.backlog = node.backlog, []
        for action in backlog:
            self.run_on_node(node, node.router, action)

    def run_on_node(self, node, router, action):
        """Run an action in a process: later if it is paused, never if it has died."""
        if node.router is not router or router is None:
            return
        if node.paused:
            node.backlog.append(action)
        else:
            action()

    def dispatch(self, node, router, event):
        """Apply an event and execute its effects."""

        def apply():
            event.now = self.read_clock(node)
            for effect in reduce(router, event):
                getattr(self, "_do_" + type(effect).__name__)(node, router, effect)
            self.check_node(node, router)

        self.run_on_node(node, router, apply)

    def check_node(self, node, router):
        """Check an instance's invariants and its copies of store objects."""
        if router.invariant_violations:
            self.violations.append(f"invariants broken: {router.invariant_violations}")
            router.invariant_violations.clear()
        for name, cached in router.control.cache.objects_by_name.items():
            if node.revisions.get(name, -1) == cached.revision:
                continue
            if cached.revision < node.revisions.get(name, -1):
                self.violations.append(f"{name} has an older revision at {node.id}")
            node.revisions[name] = cached.revision
            if cached.body.encode() not in self.history[name]:
                self.violations.append(f"{node.id} uses a {name} that was never stored")

    def is_reachable(self, one, other):
        """Tell whether two nodes, upstreams or the store can reach each other."""
        return frozenset((one, other)) not in self.cut_links

    # Effects without replies

    def _do_LogDecision(self, node, router, effect):
        pass

    def _do_Exit(self, node, router, effect):
        self.kill(node)

    def _do_StartTimer(self, node, router, effect):
        due_event = effect.event
        delay_s = effect.delay_s / node.rate
        self.schedule(delay_s, lambda: self.dispatch(node, router, due_event))

    def _do_ListInstances(self, node, router, effect):
        listed = [
            ListedInstance(n.id, n.domain, f"peer:{n.id}", False)
            for n in self.nodes.values()
            if n.router
        ]
        event = events.InstancesListed(0.0, listed)
        self.schedule(LATENCY_S, lambda: self.dispatch(node, router, event))

    def _do_Respond(self, node, router, effect):
        request_id = effect.request_id
        self.responses.setdefault(request_id, []).append(effect)
        if len(self.responses[request_id]) > 1:
            self.violations.append(f"second response to {request_id}")
        verdict = effect.headers["Shallotyard-Verdict"]
        if (
            verdict == Verdict.NOT_RUN.value
            and request_id in self.upstream_by_started_request
        ):
            self.violations.append(f"{request_id} ran but the response says not-run")

    # Messages

    def _do_SendPeer(self, node, router, effect):
        message = pickle.loads(pickle.dumps(effect.message))
        state = {"open": effect.token is not None, "sent_at": self.read_clock(node)}

        def finish(reply, unsent=False):
            if state["open"]:
                state["open"] = False
                event = events.PeerReplied(
                    0.0, effect.instance_id, effect.token, state["sent_at"], reply
                )
                event.unsent = unsent
                self.dispatch(node, router, event)

        target = self.nodes[effect.instance_id]
        reachable = target.router is not None and self.is_reachable(node.id, target.id)
        if not effect.address or not reachable:
            self.schedule(LATENCY_S, lambda: finish(None, True))
            return
        self.schedule(effect.timeout_s / node.rate, lambda: finish(None))
        receiver = target.router

        def receive():
            reply_to = (node, finish, target) if state["open"] else None
            event = events.PeerMessage(0.0, node.id, message, reply_to)
            self.dispatch(target, receiver, event)

        self.deliver_in_order(node.id, target.id, receive)

    def _do_ReplyPeer(self, node, router, effect):
        if effect.reply_to is None:
            return
        sender, finish, replier = effect.reply_to
        reply = pickle.loads(pickle.dumps(effect.message))
        self.deliver_in_order(replier.id, sender.id, lambda: finish(reply))

    def deliver_in_order(self, source, target, receive):
        """Deliver a message in order unless the link is cut or drops it."""
        link = (source, target)
        if self.drop_by_link.get(link, 0) > 0:
            self.drop_by_link[link] -= 1
            return
        due = self.now + LATENCY_S + self.delay_by_link.get(link, 0.0)
        due = max(due, self._last_delivery.get(link, 0.0))
        self._last_delivery[link] = due

        def deliver():
            if self.is_reachable(source, target):
                receive()

        self.schedule(due - self.now, deliver)

    # Store

    def put_object(self, name, body):
        """Store an object and return its new version."""
        version = self.objects[name][0] + 1 if name in self.objects else 1
        self.objects[name] = (version, body)
        self.history.setdefault(name, set()).add(body)
        return str(version)

    def _call_store(self, node, router, call, fail):
        """Execute a store call.

        :param call: function that returns the event of the reply, ``None`` to lose it.
        :param fail: function that returns the event of a failure.
        """
        done = []

        def finish(event):
            if not done:
                done.append(True)
                self.dispatch(node, router, event)

        if not self.is_reachable(node.id, STORE):
            self.schedule(STORE_TIMEOUT_S, lambda: finish(fail(True)))
            return

        def execute():
            if not self.store_up:
                finish(fail(False))
                return
            event = call()
            if event is not None:
                delay_s = LATENCY_S + self.store_reply_delay_s
                self.schedule(delay_s, lambda: finish(event))

        self.schedule(LATENCY_S, execute)
        self.schedule(STORE_TIMEOUT_S, lambda: finish(fail(True)))

    def _do_ReadStore(self, node, router, effect):
        began_at = self.read_clock(node)
        finished = events.StoreReadFinished

        def read():
            if effect.name not in self.objects:
                return finished(0.0, effect.name, began_at, StoreStatus.ABSENT)
            version, body = self.objects[effect.name]
            if effect.etag == str(version):
                status, body = StoreStatus.NOT_MODIFIED, b""
            else:
                status = StoreStatus.DONE
            return finished(0.0, effect.name, began_at, status, str(version), body)

        def fail(unclear):
            return finished(0.0, effect.name, began_at, StoreStatus.FAILED)

        self._call_store(node, router, read, fail)

    def _do_WriteStore(self, node, router, effect):
        finished = events.StoreWriteFinished

        def write():
            current = self.objects.get(effect.name)
            if effect.etag != (str(current[0]) if current else ""):
                return finished(0.0, effect.name, effect.nonce, StoreStatus.CONFLICT)
            etag = self.put_object(effect.name, effect.body)
            if self.lose_write_replies:
                self.lose_write_replies -= 1
                return None
            return finished(0.0, effect.name, effect.nonce, StoreStatus.DONE, etag)

        def fail(unclear):
            status = StoreStatus.UNCLEAR if unclear else StoreStatus.FAILED
            return finished(0.0, effect.name, effect.nonce, status)

        self._call_store(node, router, write, fail)

    # Upstreams

    def read_upstream_clock_ms(self, upstream):
        """Return an upstream's own clock in milliseconds."""
        return 1000.0 * (upstream.rate * self.now + 50.0)

    def _do_PollUpstream(self, node, router, effect):
        upstream = self.upstreams[effect.upstream_id]
        sent_at = self.read_clock(node)

        def reply():
            event = events.UpstreamPolled(0.0, upstream.id, sent_at, False)
            if upstream.alive and self.is_reachable(node.id, upstream.id):
                event.reached = True
                event.boot_id = upstream.boot_id
                event.clock_ms = self.read_upstream_clock_ms(upstream)
                event.state = upstream.state
                event.epochs, event.revoked = effect.epochs, effect.revoked
                event.accepted = self._grant(upstream, effect)
            self.schedule(LATENCY_S, lambda: self.dispatch(node, router, event))

        self.schedule(LATENCY_S, reply)

    def _grant(self, upstream, effect):
        if not effect.grants or effect.boot_id != upstream.boot_id:
            return False
        for claim_id, epoch in effect.epochs.items():
            if epoch >= upstream.highest_epochs.get(claim_id, 0):
                upstream.highest_epochs[claim_id] = epoch
                upstream.grants[claim_id] = (epoch, effect.expires_at_ms)
        for claim_id in effect.revoked:
            upstream.grants.pop(claim_id, None)
        return True

    def _do_SendAttempt(self, node, router, effect):
        def finish(kind, **fields):
            event = events.AttemptFinished(0.0, effect.call_id, kind, **fields)
            self.dispatch(node, router, event)

        def write():
            # The process may have been paused since the attempt was created.
            if not router.holder.may_send(effect.call_id, self.read_clock(node)):
                finish(AttemptKind.NOT_SENT)
                return
            upstream = self.upstreams[effect.upstream_id]
            if not upstream.alive or not self.is_reachable(node.id, upstream.id):
                finish(AttemptKind.NOT_SENT)
                return
            wait_s = max(0.0, effect.deadline - self.read_clock(node)) / node.rate
            self.schedule(wait_s, lambda: finish(AttemptKind.LOST))
            self.schedule(
                LATENCY_S, lambda: self._receive_attempt(upstream, node, effect, finish)
            )

        self.schedule(LATENCY_S, lambda: self.run_on_node(node, router, write))

    def _receive_attempt(self, upstream, node, effect, finish):
        headers = effect.headers
        if not upstream.alive:
            return
        claim_id = headers.get("Shallotyard-Slice", "")
        epoch = int(headers.get("Shallotyard-Epoch", 0))
        clock_ms = self.read_upstream_clock_ms(upstream)
        expires_at_ms = clock_ms + float(headers["Shallotyard-Deadline-Ms"])
        if claim_id:
            expires_at_ms = float(headers["Shallotyard-Expires-At-Ms"])
        current = headers.get("Shallotyard-Boot-Id") in (None, upstream.boot_id)
        granted, until_ms = upstream.grants.get(claim_id, (0, 0.0))
        stale = claim_id and upstream.checks_grants
        stale = stale and (granted != epoch or clock_ms >= until_ms)
        if not current or stale or clock_ms >= expires_at_ms:
            status, boot_id = (409 if stale else 503), upstream.boot_id
            fields = {"status": status, "boot_id": boot_id, "verdict": Verdict.NOT_RUN}
            self.schedule(LATENCY_S, lambda: finish(AttemptKind.ANSWERED, **fields))
            return
        name = "Shallotyard-Key" if upstream.keyed else "idempotency-key"
        key = headers.get(name, "")
        running_attempt = RunningAttempt(
            node, effect, key if claim_id else "", claim_id, epoch
        )
        self._check_attempt_start(upstream, running_attempt)
        upstream.running_attempts.append(running_attempt)
        remaining_s = (expires_at_ms - clock_ms) / 1000.0 / upstream.rate
        self.schedule(
            min(self.run_s, remaining_s),
            lambda: self._finish_attempt(upstream, running_attempt, finish),
        )

    def _finish_attempt(self, upstream, running_attempt, finish):
        if running_attempt.done:
            return
        running_attempt.done = True
        upstream.running_attempts.remove(running_attempt)
        lost = self.lose_responses > 0
        if lost:
            self.lose_responses -= 1
        if lost or not self.is_reachable(running_attempt.node.id, upstream.id):
            return
        fields = {
            "status": 200,
            "boot_id": upstream.boot_id,
            "body": running_attempt.key.encode(),
        }
        self.schedule(LATENCY_S, lambda: finish(AttemptKind.ANSWERED, **fields))

    def _check_attempt_start(self, upstream, running_attempt):
        request_id = running_attempt.effect.request_id
        self.upstream_by_started_request[request_id] = upstream.id
        for response in self.responses.get(request_id, ()):
            if response.headers["Shallotyard-Verdict"] == Verdict.NOT_RUN.value:
                self.violations.append(f"{request_id} runs after the response not-run")
        identity = self.requests[request_id]
        if identity:
            if identity in self.request_by_started_identity:
                first = self.request_by_started_identity[identity]
                self.violations.append(f"{identity} runs as {first} and {request_id}")
            self.request_by_started_identity[identity] = request_id
        # An unkeyed attempt may run longer than the lease of its holder, so it may
        # overlap with attempts of the next holder.
        if (
            len(upstream.running_attempts) >= upstream.slots
            and running_attempt.claim_id
        ):
            self.violations.append(f"{upstream.id} has more than {upstream.slots} runs")
        if running_attempt.key:
            self._check_owner(upstream, running_attempt)

    def _check_owner(self, upstream, running_attempt):
        for other in self.upstreams.values():
            if other is upstream or other.service != upstream.service:
                continue
            if any(r.key == running_attempt.key for r in other.running_attempts):
                self.violations.append(
                    f"key {running_attempt.key} at {other.id} and {upstream.id}"
                )
        newest = self.newest_epochs_by_key.setdefault(
            (upstream.service, running_attempt.key), {}
        )
        if running_attempt.epoch < newest.get(running_attempt.claim_id, 0):
            self.violations.append(
                f"key {running_attempt.key} runs under old epoch "
                f"{running_attempt.epoch}"
            )
        newest[running_attempt.claim_id] = running_attempt.epoch

    def _do_CancelAttempt(self, node, router, effect):
        def reply():
            stopped = False
            for upstream in self.upstreams.values():
                for running_attempt in list(upstream.running_attempts):
                    same = running_attempt.effect.call_id == effect.call_id
                    if same and self.is_reachable(node.id, upstream.id):
                        running_attempt.done = stopped = True
                        upstream.running_attempts.remove(running_attempt)
            event = events.AttemptCancelled(0.0, effect.call_id, stopped)
            self.schedule(LATENCY_S, lambda: self.dispatch(node, router, event))

        self.schedule(LATENCY_S, reply)

    def restart_upstream(self, upstream):
        """Kill an upstream's process and start a cold one."""
        for running_attempt in upstream.running_attempts:
            running_attempt.done = True
        upstream.running_attempts.clear()
        upstream.boot_number += 1
        upstream.grants, upstream.highest_epochs = {}, {}
        upstream.state = "cold"

    def find_holder(self, service, key):
        """Return the holder of a key by the stored assignment, or ``None``."""
        name = f"assignments/{builders.REGION}"
        if name not in self.objects:
            return None
        table = decode_table(builders.REGION, self.objects[name][1])
        position = builders.compute_short_position(service, key)
        owner = table.services_by_id[service].find_entry(position).owner
        return self.nodes.get(table.find_holder(owner))

    # Callers

    def send(self, node, method, path, headers):
        """Send a request to an instance; return its id, ``None`` if it is down."""
        if node.router is None:
            return None
        request_id = f"q{len(self.requests) + 1}"
        headers = {"authorization": f"Bearer {builders.CREDENTIAL}", **headers}
        repeated = headers.get("idempotency-key") if method != "GET" else None
        self.requests[request_id] = repeated and f"{path}:{repeated}"
        request = events.CallerRequest(request_id, method, path, headers, b"")
        node.request_ids.add(request_id)
        self.dispatch(node, node.router, events.RequestArrived(0.0, request))
        return request_id
