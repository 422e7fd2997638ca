"""A small simulation in memory at the interfaces of the reducer.

Its upstreams, store and links record every rule of the design that breaks in
``Simulation.faults``.
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
from shallotyard_core.membership import ListedInstance
from shallotyard_core.reducer import reduce
from shallotyard_core.timing import TICK_S
from shallotyard_core.verdict import Verdict

LATENCY_S = 0.002
STORE_TIMEOUT_S = 0.5
STORE = "store"


@dataclass
class Node:
    """One instance; its clock runs at its own rate, also during a pause."""

    id: str
    domain: str
    rate: float
    offset: float
    number: int = 0
    router: object = None
    paused: bool = False
    backlog: list = field(default_factory=list)
    revisions: dict = field(default_factory=dict)
    called: set = field(default_factory=set)


@dataclass(eq=False)
class Run:
    """An attempt that runs at an upstream."""

    node: Node
    effect: object
    key: str
    claim_id: str
    epoch: int
    done: bool = False


@dataclass
class Upstream:
    """One upstream with its own clock and, if it checks them, grants."""

    id: str
    service: str
    keyed: bool
    checks: bool
    rate: float
    boot: int = 1
    state: str = "serving"
    alive: bool = True
    slots: int = 2
    grants: dict = field(default_factory=dict)
    highest: dict = field(default_factory=dict)
    runs: list = field(default_factory=list)

    @property
    def boot_id(self):
        """Return the id of the present process."""
        return f"{self.id}:{self.boot}"


class Simulation:
    """Instances, upstreams, the store and what lies between them."""

    def __init__(self, node_count=3):
        self.now = 0.0
        self.faults = []
        self._queue = []
        self._order = itertools.count()
        self.cut = set()
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
        self.answers = {}
        self.started_requests = {}
        self.started_identities = {}
        self.newest_run_by_key = {}
        self.upstreams = {}
        for number, name in enumerate(("desk", "book", "till")):
            for n in (1, 2, 3):
                keyed, checks, _ = builders.SERVICES[name]
                rate = 1.0 + 0.0045 * (-1) ** (number + n)
                upstream_id = f"{name}-{n}"
                self.upstreams[upstream_id] = Upstream(
                    upstream_id, name, keyed, checks, rate
                )
        self.put("manifest", builders.build_manifest(1).encode())
        self.put("service-state", b'{"domains_out":[],"instances_out":[],"revision":1}')
        rates = (0.9955, 1.0045, 1.0)
        self.nodes = {}
        for n in range(node_count):
            node = Node(f"r{n + 1}", f"d{1 + n % 2}", rates[n], 1000.0 * (n + 1))
            self.nodes[node.id] = node
            self.start(node)

    # Time

    def at(self, delay_s, action):
        """Do something after a delay in true seconds."""
        heapq.heappush(self._queue, (self.now + delay_s, next(self._order), action))

    def advance(self, seconds):
        """Let time pass."""
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until

    def clock(self, node):
        """Return an instance's own clock in seconds."""
        return node.offset + node.rate * self.now

    # Instances

    def start(self, node):
        """Start a new incarnation of an instance."""
        node.number += 1
        node.paused, node.backlog = False, []
        node.revisions, node.called = {}, set()
        node.router = builders.build_router(
            node.id, node.domain, str(node.number), self.clock(node)
        )
        self._tick(node, node.router)

    def kill(self, node):
        """Stop an instance without notice; its clock goes on."""
        node.router = None

    def _tick(self, node, router):
        if node.router is router:
            if not node.paused:
                self.dispatch(node, router, events.Tick(0.0))
            self.at(TICK_S / node.rate, lambda: self._tick(node, router))

    def resume(self, node):
        """Let a paused instance handle what has arrived meanwhile."""
        node.paused = False
        backlog, node.backlog = node.backlog, []
        for action in backlog:
            self.on_node(node, node.router, action)

    def on_node(self, node, router, action):
        """Do something in a process, later if it is paused, never if it died."""
        if node.router is not router or router is None:
            return
        if node.paused:
            node.backlog.append(action)
        else:
            action()

    def dispatch(self, node, router, event):
        """Apply an event and carry out its effects."""

        def apply():
            event.now = self.clock(node)
            for effect in reduce(router, event):
                getattr(self, "_do_" + type(effect).__name__)(node, router, effect)
            self.check_node(node, router)

        self.on_node(node, router, apply)

    def check_node(self, node, router):
        """Check the rules that concern one instance's copies."""
        if router.invariant_violations:
            self.faults.append(f"invariants broken: {router.invariant_violations}")
            router.invariant_violations.clear()
        for name, cached in router.control.cache.objects_by_name.items():
            if node.revisions.get(name, -1) == cached.revision:
                continue
            if cached.revision < node.revisions.get(name, -1):
                self.faults.append(f"{name} went back at {node.id}")
            node.revisions[name] = cached.revision
            if cached.body.encode() not in self.history[name]:
                self.faults.append(f"{node.id} uses a {name} that was never stored")

    def linked(self, one, other):
        """Tell whether two places can reach each other."""
        return frozenset((one, other)) not in self.cut

    # Effects without answers

    def _do_LogDecision(self, node, router, effect):
        pass

    def _do_Exit(self, node, router, effect):
        self.kill(node)

    def _do_StartTimer(self, node, router, effect):
        fire = effect.event
        delay_s = effect.delay_s / node.rate
        self.at(delay_s, lambda: self.dispatch(node, router, fire))

    def _do_ListInstances(self, node, router, effect):
        listed = [
            ListedInstance(n.id, n.domain, f"peer:{n.id}", False)
            for n in self.nodes.values()
            if n.router
        ]
        event = events.InstancesListed(0.0, listed)
        self.at(LATENCY_S, lambda: self.dispatch(node, router, event))

    def _do_Respond(self, node, router, effect):
        request_id = effect.request_id
        self.answers.setdefault(request_id, []).append(effect)
        if len(self.answers[request_id]) > 1:
            self.faults.append(f"second answer to {request_id}")
        verdict = effect.headers["Shallotyard-Verdict"]
        if verdict == Verdict.NOT_RUN.value and request_id in self.started_requests:
            self.faults.append(f"{request_id} ran but the answer says not-run")

    # Messages

    def _do_SendPeer(self, node, router, effect):
        message = pickle.loads(pickle.dumps(effect.message))
        state = {"open": effect.token is not None, "sent_at": self.clock(node)}

        def end(reply, unsent=False):
            if state["open"]:
                state["open"] = False
                event = events.PeerReplied(
                    0.0, effect.instance_id, effect.token, state["sent_at"], reply
                )
                event.unsent = unsent
                self.dispatch(node, router, event)

        target = self.nodes[effect.instance_id]
        reachable = target.router is not None and self.linked(node.id, target.id)
        if not effect.address or not reachable:
            self.at(LATENCY_S, lambda: end(None, True))
            return
        self.at(effect.timeout_s / node.rate, lambda: end(None))
        receiver = target.router

        def arrive():
            reply_to = (node, end, target) if state["open"] else None
            event = events.PeerMessage(0.0, node.id, message, reply_to)
            self.dispatch(target, receiver, event)

        self.carry(node.id, target.id, arrive)

    def _do_ReplyPeer(self, node, router, effect):
        if effect.reply_to is None:
            return
        asker, end, replier = effect.reply_to
        reply = pickle.loads(pickle.dumps(effect.message))
        self.carry(replier.id, asker.id, lambda: end(reply))

    def carry(self, source, target, arrive):
        """Deliver in order unless the link is cut or drops the message."""
        link = (source, target)
        if self.drop_by_link.get(link, 0) > 0:
            self.drop_by_link[link] -= 1
            return
        due = self.now + LATENCY_S + self.delay_by_link.get(link, 0.0)
        due = max(due, self._last_delivery.get(link, 0.0))
        self._last_delivery[link] = due

        def deliver():
            if self.linked(source, target):
                arrive()

        self.at(due - self.now, deliver)

    # Store

    def put(self, name, body):
        """Store an object and return its new version."""
        version = self.objects[name][0] + 1 if name in self.objects else 1
        self.objects[name] = (version, body)
        self.history.setdefault(name, set()).add(body)
        return str(version)

    def _store_call(self, node, router, call, fail):
        """Run a call at the store; ``call`` returns the event of its reply."""
        done = []

        def finish(event):
            if not done:
                done.append(True)
                self.dispatch(node, router, event)

        if not self.linked(node.id, STORE):
            self.at(STORE_TIMEOUT_S, lambda: finish(fail(True)))
            return

        def arrive():
            if not self.store_up:
                finish(fail(False))
                return
            event = call()
            if event is not None:
                delay_s = LATENCY_S + self.store_reply_delay_s
                self.at(delay_s, lambda: finish(event))

        self.at(LATENCY_S, arrive)
        self.at(STORE_TIMEOUT_S, lambda: finish(fail(True)))

    def _do_ReadStore(self, node, router, effect):
        began_at = self.clock(node)
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

        self._store_call(node, router, read, fail)

    def _do_WriteStore(self, node, router, effect):
        finished = events.StoreWriteFinished

        def write():
            current = self.objects.get(effect.name)
            if effect.etag != (str(current[0]) if current else ""):
                return finished(0.0, effect.name, effect.nonce, StoreStatus.CONFLICT)
            etag = self.put(effect.name, effect.body)
            if self.lose_write_replies:
                self.lose_write_replies -= 1
                return None
            return finished(0.0, effect.name, effect.nonce, StoreStatus.DONE, etag)

        def fail(unclear):
            status = StoreStatus.UNCLEAR if unclear else StoreStatus.FAILED
            return finished(0.0, effect.name, effect.nonce, status)

        self._store_call(node, router, write, fail)

    # Upstreams

    def upstream_clock_ms(self, upstream):
        """Return an upstream's own clock in milliseconds."""
        return 1000.0 * (upstream.rate * self.now + 50.0)

    def _do_PollUpstream(self, node, router, effect):
        upstream = self.upstreams[effect.upstream_id]
        sent_at = self.clock(node)

        def answer():
            event = events.UpstreamPolled(0.0, upstream.id, sent_at, False)
            if upstream.alive and self.linked(node.id, upstream.id):
                event.reached = True
                event.boot_id = upstream.boot_id
                event.clock_ms = self.upstream_clock_ms(upstream)
                event.state = upstream.state
                event.epochs, event.revoked = effect.epochs, effect.revoked
                event.accepted = self._grant(upstream, effect)
            self.at(LATENCY_S, lambda: self.dispatch(node, router, event))

        self.at(LATENCY_S, answer)

    def _grant(self, upstream, effect):
        if not effect.grants or effect.boot_id != upstream.boot_id:
            return False
        for claim_id, epoch in effect.epochs.items():
            if epoch >= upstream.highest.get(claim_id, 0):
                upstream.highest[claim_id] = epoch
                upstream.grants[claim_id] = (epoch, effect.expires_at_ms)
        for claim_id in effect.revoked:
            upstream.grants.pop(claim_id, None)
        return True

    def _do_SendAttempt(self, node, router, effect):
        def finish(kind, **fields):
            event = events.AttemptFinished(0.0, effect.call_id, kind, **fields)
            self.dispatch(node, router, event)

        def write():
            # The process may have been paused since the decision to send.
            if not router.holder.may_send(effect.call_id, self.clock(node)):
                finish(AttemptKind.NOT_SENT)
                return
            upstream = self.upstreams[effect.upstream_id]
            if not upstream.alive or not self.linked(node.id, upstream.id):
                finish(AttemptKind.NOT_SENT)
                return
            wait_s = max(0.0, effect.deadline - self.clock(node)) / node.rate
            self.at(wait_s, lambda: finish(AttemptKind.LOST))
            self.at(LATENCY_S, lambda: self._arrive(upstream, node, effect, finish))

        self.at(LATENCY_S, lambda: self.on_node(node, router, write))

    def _arrive(self, upstream, node, effect, finish):
        headers = effect.headers
        if not upstream.alive:
            return
        claim_id = headers.get("Shallotyard-Slice", "")
        epoch = int(headers.get("Shallotyard-Epoch", 0))
        clock_ms = self.upstream_clock_ms(upstream)
        expires_at_ms = clock_ms + float(headers["Shallotyard-Deadline-Ms"])
        if claim_id:
            expires_at_ms = float(headers["Shallotyard-Expires-At-Ms"])
        current = headers.get("Shallotyard-Boot-Id") in (None, upstream.boot_id)
        granted, until_ms = upstream.grants.get(claim_id, (0, 0.0))
        stale = claim_id and upstream.checks
        stale = stale and (granted != epoch or clock_ms >= until_ms)
        if not current or stale or clock_ms >= expires_at_ms:
            status, boot_id = (409 if stale else 503), upstream.boot_id
            fields = {"status": status, "boot_id": boot_id, "verdict": Verdict.NOT_RUN}
            self.at(LATENCY_S, lambda: finish(AttemptKind.ANSWERED, **fields))
            return
        name = "Shallotyard-Key" if upstream.keyed else "idempotency-key"
        key = headers.get(name, "")
        run = Run(node, effect, key if claim_id else "", claim_id, epoch)
        self._check_start(upstream, run)
        upstream.runs.append(run)
        left_s = (expires_at_ms - clock_ms) / 1000.0 / upstream.rate
        self.at(min(self.run_s, left_s), lambda: self._end_run(upstream, run, finish))

    def _end_run(self, upstream, run, finish):
        if run.done:
            return
        run.done = True
        upstream.runs.remove(run)
        lost = self.lose_responses > 0
        if lost:
            self.lose_responses -= 1
        if lost or not self.linked(run.node.id, upstream.id):
            return
        fields = {"status": 200, "boot_id": upstream.boot_id, "body": run.key.encode()}
        self.at(LATENCY_S, lambda: finish(AttemptKind.ANSWERED, **fields))

    def _check_start(self, upstream, run):
        request_id = run.effect.request_id
        self.started_requests[request_id] = upstream.id
        for answer in self.answers.get(request_id, ()):
            if answer.headers["Shallotyard-Verdict"] == Verdict.NOT_RUN.value:
                self.faults.append(f"{request_id} runs after the answer not-run")
        identity = self.requests[request_id]
        if identity:
            if identity in self.started_identities:
                first = self.started_identities[identity]
                self.faults.append(f"{identity} runs as {first} and {request_id}")
            self.started_identities[identity] = request_id
        # An unkeyed attempt may outlast the lease of its holder, so it may run
        # beside those of the next one.
        if len(upstream.runs) >= upstream.slots and run.claim_id:
            self.faults.append(f"{upstream.id} has more than {upstream.slots} runs")
        if run.key:
            self._check_owner(upstream, run)

    def _check_owner(self, upstream, run):
        for other in self.upstreams.values():
            if other is upstream or other.service != upstream.service:
                continue
            if any(r.key == run.key for r in other.runs):
                self.faults.append(f"key {run.key} at {other.id} and {upstream.id}")
        newest = self.newest_run_by_key.setdefault((upstream.service, run.key), {})
        if run.epoch < newest.get(run.claim_id, 0):
            self.faults.append(f"key {run.key} runs under old epoch {run.epoch}")
        newest[run.claim_id] = run.epoch

    def _do_CancelAttempt(self, node, router, effect):
        def answer():
            stopped = False
            for upstream in self.upstreams.values():
                for run in list(upstream.runs):
                    same = run.effect.call_id == effect.call_id
                    if same and self.linked(node.id, upstream.id):
                        run.done = stopped = True
                        upstream.runs.remove(run)
            event = events.AttemptCancelled(0.0, effect.call_id, stopped)
            self.at(LATENCY_S, lambda: self.dispatch(node, router, event))

        self.at(LATENCY_S, answer)

    def restart_upstream(self, upstream):
        """End an upstream's process and start a cold one."""
        for run in upstream.runs:
            run.done = True
        upstream.runs.clear()
        upstream.boot += 1
        upstream.grants, upstream.highest = {}, {}
        upstream.state = "cold"

    def holder_of(self, service, key):
        """Return the holder of a key by the stored assignment, ``None`` if none."""
        name = f"assignments/{builders.REGION}"
        if name not in self.objects:
            return None
        table = decode_table(builders.REGION, self.objects[name][1])
        position = builders.position_of(service, key)
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
        node.called.add(request_id)
        self.dispatch(node, node.router, events.RequestArrived(0.0, request))
        return request_id
