"""Costs of heartbeats and of the state that a daemon keeps of other instances."""

import dataclasses
import random
import time

from shallotyard_core.assignment import AssignmentTable
from shallotyard_core.domain_views import DomainView
from shallotyard_core.domain_views import digest_members
from shallotyard_core.effects import ReplyPeer
from shallotyard_core.events import PeerMessage
from shallotyard_core.events import PeerReplied
from shallotyard_core.held_upstreams import HeldUpstream
from shallotyard_core.messages import Heartbeat
from shallotyard_core.messages import HeartbeatReply
from shallotyard_core.reducer import Router
from shallotyard_core.reducer import reduce
from shallotyard_core.settings import Settings
from shallotyard_daemon import peer_pb2
from shallotyard_daemon.codec import decode_message
from shallotyard_daemon.codec import encode_envelope
from shallotyard_daemon.deflate import Deflater
from shallotyard_daemon.deflate import Inflater
from shallotyard_testing.builders import TENDARIS_DOMAINS_BY_REGION
from shallotyard_testing.capacity_builders import build_deployment
from shallotyard_testing.capacity_builders import build_members
from shallotyard_testing.capacity_builders import build_reports
from shallotyard_testing.slopes import REPEATS
from shallotyard_testing.slopes import measure_memory
from shallotyard_testing.slopes import measure_slopes
from shallotyard_testing.slopes import measure_us

_ROUNDS = 40


def measure_members():
    """Return the slopes of heartbeats and memory over members and upstreams."""
    return [
        *measure_slopes((80, 320, 690), _measure_members),
        *measure_slopes((8, 24, 58), _measure_listed_members),
        *measure_slopes((4, 16, 64), _measure_reports),
        *measure_slopes((16, 64, 256), _measure_held_upstreams),
    ]


def _measure_members(count):
    quantities = {
        (f"{name}, by member", "B" if "bytes" in name else "us"): quantity
        for name, quantity in measure_exchanges(count).items()
    }
    memory_b = measure_memory(build_members, count)
    return {**quantities, ("memory, by member", "B"): memory_b}


def _measure_listed_members(count):
    own = build_members(1)[0]
    message = Heartbeat(own, {}, build_members(count), listed=["d0"])
    return _measure_message(message, "listed member")


def _measure_reports(count):
    own = build_members(1)[0]
    reply = HeartbeatReply(own, {"manifest": 7}, [], [], build_reports(count))
    quantities = _measure_message(reply, "upstream report")
    quantities["bytes, by upstream report", "B"] = _measure_report_bytes(own, count)
    return quantities


def _measure_report_bytes(own, count):
    """Return the mean bytes of a reply on a stream, with ``count`` changed reports."""
    stream = _StreamDirection()
    reports = build_reports(767)
    for number in range(_ROUNDS):
        changed = random.sample(reports, count)
        for report in changed:
            report.latency_s *= random.uniform(0.7, 1.4)
            report.rate *= random.uniform(0.7, 1.4)
            report.in_flight = random.randint(0, 4)
            report.age_s = random.uniform(0.0, 0.5)
        reply = HeartbeatReply(own, {"manifest": 7}, [], [], changed)
        stream.decode(stream.encode(reply, 0, 1000 + number, own.instance_id))
    return stream.written_bytes / _ROUNDS


def _measure_message(message, per):
    envelope = encode_envelope(message, 1, 0, "r1")
    encode_us = measure_us(
        lambda: encode_envelope(message, 1, 0, "r1").SerializeToString()
    )
    return {
        (f"bytes, by {per}", "B"): envelope.ByteSize(),
        (f"encode, by {per}", "us"): encode_us,
        (f"decode, by {per}", "us"): measure_us(decode_message, envelope),
    }


def _measure_held_upstreams(count):
    deployment = build_deployment(96)
    upstream = next(iter(deployment.upstreams_by_id.values()))
    service = deployment.services_by_id[upstream.service]
    memory_b = measure_memory(
        lambda: [HeldUpstream.from_config(upstream, service, 0.0) for _ in range(count)]
    )
    return {("memory of links, by held upstream", "B"): memory_b}


def measure_exchanges(count):
    """Return the costs of a heartbeat and its reply in a settled deployment.

    Nothing changes between the heartbeats. The reader of a failure domain, which polls
    the store for its members, replies to one of them and to the reader of another
    failure domain.

    :param count: number of members in 12 failure domains.
    :return: microseconds or bytes by name of the quantity.
    """
    members = build_members(count)
    reader = _build_settled_router(members, 0)
    costs_by_name = {}
    for kind, number in (("member", 12), ("reader", 1)):
        sender = _build_settled_router(members, number)
        costs = _observe_exchanges(sender, reader)
        costs_by_name.update(
            {f"{name} of a {kind}": each for name, each in costs.items()}
        )
    return costs_by_name


def _build_settled_router(members, number):
    """Return the router of one member, with the state of all members.

    :param number: index of the member.
    """
    own = members[number]
    settings = Settings(
        own.instance_id, own.domain, "127.0.0.1:2", own.address, "http://s", "http://l"
    )
    router = Router.from_settings(settings, own.incarnation, 0.0, 1)
    tables = [f"assignments/{region}" for region in TENDARIS_DOMAINS_BY_REGION]
    for name in ("manifest", "service-state", *tables):
        router.control.cache.put(name, 1234, "")
    router.control.table = AssignmentTable(next(iter(TENDARIS_DOMAINS_BY_REGION)), 1234)
    router.control.proofs.record_store_proof(1234, 0.0)
    for domain in {member.domain for member in members}:
        listed = [
            dataclasses.replace(member, age_s=0.0)
            for member in members
            if member.domain == domain
        ]
        view = DomainView(digest_members(listed), 0.0, listed)
        router.control.views.views_by_domain[domain] = view
        for member in listed:
            router.membership.record_direct_contact(member, 0.0)
    router.membership.update_reader_targets(0.0)
    return router


def _refresh_contacts(router, now):
    """Set the times of all contacts to now.

    Proofs and views get random ages of up to 0.25 s.
    """
    for member in router.membership.members_by_id.values():
        member.last_seen_at = member.last_direct_contact_at = now
    router.control.proofs.record_store_proof(1234, now - random.uniform(0.0, 0.25))
    for view in router.control.views.views_by_domain.values():
        view.known_at = max(view.known_at, now - random.uniform(0.0, 0.25))


def _observe_exchanges(sender, reader):
    best_us = {"us sending": float("inf"), "us answering": float("inf")}
    now = reader.now
    to_reader, to_sender = _StreamDirection(), _StreamDirection()
    for _ in range(REPEATS):
        totals_s = dict.fromkeys(best_us, 0.0)
        # Bytes are counted in the last series only, because the first heartbeats carry
        # complete lists.
        to_reader.written_bytes = to_sender.written_bytes = 0
        for _ in range(_ROUNDS):
            now += 0.25
            _refresh_contacts(reader, now)
            sent, heartbeat_data, send_s = _send_heartbeat(
                sender, reader, now, to_reader
            )
            reply_data, replying_s = _reply_to_heartbeat(
                sender, reader, heartbeat_data, now, (to_reader, to_sender)
            )
            handle_reply_s = _handle_reply(
                sender, reader, sent, reply_data, now, to_sender
            )
            totals_s["us sending"] += send_s + handle_reply_s
            totals_s["us answering"] += replying_s
        for name, total_s in totals_s.items():
            best_us[name] = min(best_us[name], total_s / _ROUNDS * 1e6)
    sizes = {
        "heartbeat bytes": to_reader.written_bytes / _ROUNDS,
        "reply bytes": to_sender.written_bytes / _ROUNDS,
    }
    return {**best_us, **sizes}


class _StreamDirection:
    """One direction of a stream between peers, encoded as the daemon does it."""

    def __init__(self):
        self.written_bytes = 0
        self._deflater = Deflater()
        self._inflater = Inflater()

    def encode(self, message, envelope_id, reply_to, sender):
        """Return a message as bytes of the stream, and add to ``written_bytes``."""
        envelope = encode_envelope(message, envelope_id, reply_to, sender)
        self._deflater.deflate(envelope)
        data = peer_pb2.Frame(envelopes=[envelope]).SerializeToString()
        self.written_bytes += len(data)
        return data

    def decode(self, data):
        """Return the message that is encoded in bytes of the stream."""
        (envelope,) = peer_pb2.Frame.FromString(data).envelopes
        self._inflater.inflate(envelope)
        return decode_message(envelope)


def _send_heartbeat(sender, reader, now, stream):
    """Return the effect, the encoded heartbeat, and the processor time in seconds."""
    if sender.own.domain != reader.own.domain:
        _refresh_contacts(sender, now)
    start = time.process_time()
    effects = []
    sender.membership.update_reader_targets(now)
    name = reader.own.instance_id
    sender.control._send_heartbeat(name, reader.own.address, [], now, effects)
    heartbeat_data = stream.encode(effects[0].message, 1000, 0, sender.own.instance_id)
    return effects[0], heartbeat_data, time.process_time() - start


def _reply_to_heartbeat(sender, reader, heartbeat_data, now, streams):
    """Return the encoded reply and the processor time in seconds.

    :param heartbeat_data: the encoded heartbeat.
    :param streams: direction of the heartbeat and direction of the reply.
    """
    start = time.process_time()
    message = streams[0].decode(heartbeat_data)
    effects = reduce(reader, PeerMessage(now, sender.own.instance_id, message, 1))
    reply = next(effect for effect in effects if isinstance(effect, ReplyPeer))
    reply_data = streams[1].encode(reply.message, 0, 1000, reader.own.instance_id)
    return reply_data, time.process_time() - start


def _handle_reply(sender, reader, sent, reply_data, now, stream):
    """Return the processor time of the sender for the reply, in seconds."""
    start = time.process_time()
    message = stream.decode(reply_data)
    name = reader.own.instance_id
    reduce(sender, PeerReplied(now, name, sent.token, now, message))
    return time.process_time() - start
