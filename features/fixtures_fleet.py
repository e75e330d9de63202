"""A fleet of gateways that knows itself, on a modelled network and store, in virtual time."""

import asyncio
import json
import random
from collections import Counter

import msgspec

from quinceferry_core.adapters import KvEntry
from quinceferry_core.exceptions import KvConflictError, KvUnavailableError
from quinceferry_core.quarantine import Quarantine
from quinceferry_gateway.addresses import host_and_port
from quinceferry_gateway.admissions import Admissions
from quinceferry_gateway.blackboard import Blackboard, Member, Phase
from quinceferry_gateway.catalog import (
    Configuration,
    OperatorChanges,
    OperatorRecords,
    Service,
    Upstream,
    UpstreamList,
)
from quinceferry_gateway.cold_starts import ColdStarts
from quinceferry_gateway.configuration_reader import ConfigurationReader
from quinceferry_gateway.crashes import CrashMonitor
from quinceferry_gateway.decisions import UpstreamStates
from quinceferry_gateway.decisions.cold_starts import ColdStartLimit
from quinceferry_gateway.exceptions import ConfigurationError
from quinceferry_gateway.fleet.calls import DatagramCalls
from quinceferry_gateway.fleet.copies import CopyReplicator
from quinceferry_gateway.fleet.gossip import Gossip
from quinceferry_gateway.fragile_upstreams import FragileUpstreams
from quinceferry_gateway.interfaces import Snapshot
from quinceferry_gateway.membership import MemberReader
from quinceferry_gateway.peers import PeerError
from quinceferry_gateway.permits import SendPermits
from quinceferry_gateway.quarantine_records import QuarantineRecords
from quinceferry_gateway.reachability import ReachabilityMonitor
from quinceferry_gateway.signals import UpstreamSignals
from quinceferry_gateway.software_versions import SoftwareVersions
from quinceferry_gateway.stopped_upstreams import StopMonitor
from quinceferry_gateway.stream_origins import StreamOrigins
from quinceferry_gateway.upstream_reader import UpstreamReader
from quinceferry_lab.virtual_time import VirtualClock

LATENCY_SECONDS = 0.002
HEARTBEAT_SECONDS = 1.2
REGISTERED_WITHIN_SECONDS = 1.5
"""Gateways that start together register one after the other within this time."""
CALL_NUMBER_BITS = 32
"""Bits reserved for the call numbers of one gateway, so that those of two gateways differ."""
CHUNK_BYTES = 16_384
"""Bytes of a transfer that pass a link at once, as much as small windows hold."""
STORE_TIMEOUT_SECONDS = 0.8
UNREADABLE = b"{"
COLD_SERVICE = Service("app", cold_seconds=3.0, cold_requests_per_second=11.0)
"""Service of all upstreams of the modelled fleet."""
COLD_LIMIT = ColdStartLimit(excess=1.5, slack=5)
CHANGES_A_SECOND = 50
"""Revisions that heartbeats of upstreams make."""


class KvSnapshots:
    """Reads the key-value stand-in together with its revision.

    :param connection: a connection to it, which its faults concern.
    """

    def __init__(self, connection):
        self._connection = connection

    async def snapshot(self, prefix):
        """Read all keys that begin with the prefix."""
        entries = await self._connection.list(prefix)
        return Snapshot(self._connection.revision, entries)


class Network:
    """Carries messages between gateways, and loses some.

    ``links_out`` and ``links_in`` bound the bytes of transfers by address; datagrams are small and
    not counted.
    """

    def __init__(self, clock, source, lost_share):
        self.clock = clock
        self.random = source
        self.lost_share = lost_share
        self.nodes_by_address = {}
        self.cut = set()
        self.links_out = {}
        self.links_in = {}
        self.copied_bytes = Counter()
        self.sent = Counter()
        self.sent_by_type = Counter()

    def passes(self, origin, target):
        """Tell whether a message arrives."""
        node = self.nodes_by_address.get(target)
        if node is None or not node.alive or (origin, target) in self.cut:
            return False
        return self.random.random() >= self.lost_share

    async def carry(self, links, size):
        """Wait until all chunks of a transfer have passed some links in turn."""
        links = [link for link in links if link is not None]
        for begin in range(0, size if links else 0, CHUNK_BYTES):
            passed_at = self.clock.monotonic()
            for link in links:
                passed_at = link.take(min(CHUNK_BYTES, size - begin), passed_at)
            await self.clock.sleep(passed_at - self.clock.monotonic())

    async def copy(self, origin, target, body):
        """Carry a copy from one gateway to another, and count its bytes."""
        links = [self.links_out.get(origin), self.links_in.get(target)]
        self.copied_bytes[target] += len(body)
        await self.carry(links, len(body))


class Port:
    """Datagrams of one gateway on the modelled network."""

    def __init__(self, network, address):
        self._network = network
        self._address = address
        self._handlers_by_type = {}

    def add_handler(self, message_type, handler):
        """Hand messages of a type to a handler."""
        self._handlers_by_type[message_type] = handler

    def send(self, message, addresses):
        """Send a message to some addresses."""
        self._network.sent[self._address] += len(addresses)
        self._network.sent_by_type[type(message)] += len(addresses)
        loop = asyncio.get_running_loop()
        for address in addresses:
            if self._network.passes(self._address, address):
                port = self._network.nodes_by_address[address].port
                loop.call_later(LATENCY_SECONDS, port.receive, message, self._address)

    def receive(self, message, origin):
        """Hand a message on."""
        if self._network.nodes_by_address[self._address].alive:
            sender = host_and_port(origin)
            self._handlers_by_type[type(message)](message, sender)


class Peers:
    """Calls of one gateway on the modelled network."""

    def __init__(self, network, address):
        self._network = network
        self._address = address

    async def copy(self, peer, kind, timeout_seconds):
        """Return a peer's copy of a list."""
        target = peer.peer_address
        if not self._network.passes(self._address, target):
            await self._network.clock.sleep(timeout_seconds)
            raise PeerError("timeout", step="copy", peer=peer.vm, sent=True)
        body = self._network.nodes_by_address[target].copies.encode(kind)
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._network.clock.sleep(2 * LATENCY_SECONDS)
                await self._network.copy(target, self._address, body)
        except TimeoutError as error:
            raise PeerError("timeout", step="copy", peer=peer.vm, sent=True) from error
        return body


class Store:
    """The platform's store as one gateway reaches it; all share its content."""

    def __init__(self, world, vm, address):
        self._world = world
        self._vm = vm
        self._address = address

    async def _call(self, step):
        """Count a call and wait for its answer."""
        self._world.calls[step] += 1
        await self._world.clock.sleep(2 * LATENCY_SECONDS)
        if self._world.away or self._vm in self._world.cut_off:
            raise KvUnavailableError("lost", step=step)

    async def operator_records(self):
        """Return what the operators have written."""
        await self._call("get")
        world = self._world
        records = OperatorRecords(world.revision, world.document, frozenset(world.evacuated_zones))
        await self._receive(records.document)
        return records

    async def _receive(self, document):
        """Wait until a document, in base64, has passed the gateway's link."""
        self._world.documents_sent += 1
        links = [self._world.network.links_in.get(self._address)]
        try:
            async with asyncio.timeout(STORE_TIMEOUT_SECONDS):
                await self._world.network.carry(links, len(document) * 4 // 3)
        except TimeoutError as error:
            raise KvUnavailableError("timeout", step="get") from error

    async def operator_changes(self, revision, timeout_seconds):
        """Wait for newer records of the operators."""
        await self._call("watch")
        world = self._world
        ends_at = world.clock.monotonic() + timeout_seconds
        while world.clock.monotonic() < ends_at:
            changes = world.changes_since(revision)
            if changes is not None:
                await self._receive(changes.document or b"")
                return changes
            await world.clock.sleep(0.05)
        return None

    async def upstreams(self):
        """Return the upstreams."""
        await self._call("list")
        return UpstreamList(self._world.revision, dict(self._world.upstreams_by_id))

    async def snapshot(self, prefix):
        """Return the registrations."""
        await self._call("list")
        return Snapshot(self._world.revision, list(self._world.registrations_by_key.values()))

    async def list(self, prefix):
        """Return the records of other parts."""
        await self._call("list")
        records = self._world.records_by_key
        return [KvEntry(key, records[key], 1) for key in sorted(records) if key.startswith(prefix)]

    async def grant_lease(self, seconds):
        """Create a lease."""
        await self._call("grant_lease")
        return "lease"

    async def revoke_lease(self, lease):
        """End a lease that holds nothing."""
        await self._call("revoke_lease")

    async def put_if(self, key, value, expected_version, lease):
        """Write a record that does not exist yet."""
        await self._call("put_if")
        if key in self._world.records_by_key:
            raise KvConflictError("there", step="put_if")
        self._world.records_by_key[key] = value

    def decode_configuration(self, document):
        """Return a configuration, of which only the version counts here."""
        if document == UNREADABLE:
            raise ConfigurationError("unreadable", step="decode")
        version = json.loads(document)["version"] if document.startswith(b"{") else int(document)
        return Configuration(version, {}, {"app": COLD_SERVICE})


class Uncounted:
    """Metrics that nobody reads."""

    def count_upstream_crash(self, service):
        """Count nothing."""

    def observe_quarantine(self, held):
        """Serve nothing."""

    def observe_rate_limits(self, limited):
        """Serve nothing."""

    def observe_fragile_upstreams(self, fragile):
        """Serve nothing."""

    def count_admission(self, result):
        """Count nothing."""

    def count_rejection(self, service, cause):
        """Count nothing."""

    def observe_cold_upstreams(self, cold):
        """Serve nothing."""

    def observe_unreachable_services(self, unreachable):
        """Serve nothing."""

    def count_upstream_pause(self, service):
        """Count nothing."""

    def count_permit(self, result):
        """Count nothing."""

    def count_stream_origin_lookup(self, found):
        """Count nothing."""

    def observe_stream_origins(self, count):
        """Serve nothing."""


class Deserted:
    """Connections to addresses at which nobody listens."""

    async def listens(self, address, timeout_seconds):
        """Tell that nobody listens there."""
        return False


class Node:
    """What one gateway knows of the fleet."""

    def __init__(self, world, number, incarnation):
        self.alive = True
        self.vm = f"vm-{number}"
        address = f"10.0.0.1:{number}"
        own = Member(f"{self.vm}-{incarnation}", self.vm, f"zone-{number % 5}", address, address)
        self.board = board = Blackboard(own, phase=Phase.SERVING)
        self._world = world
        clock = world.clock
        draws = random.Random(f"{world.seed}/{number}/{incarnation}")
        store = Store(world, self.vm, address)
        self.registered = asyncio.Event()
        self.port = Port(world.network, address)
        self.upstream_states = UpstreamStates()
        self.cold_starts = ColdStarts(
            board, self.upstream_states, COLD_LIMIT, self.port, clock, Uncounted()
        )
        configuration = ConfigurationReader(
            board, store, clock, draws, world.bound_seconds, self.cold_starts.zone_restored
        )
        upstreams = UpstreamReader(
            board,
            store,
            clock,
            HEARTBEAT_SECONDS,
            draws,
            world.bound_seconds,
            self.cold_starts.list_read,
        )
        members = MemberReader(board, store, clock, draws, self.registered)
        self.gossip = Gossip(board, members, self.port, clock, draws, lambda: 0.0)
        lists_by_kind = {"configuration": configuration, "upstreams": upstreams, "members": members}
        peers = Peers(world.network, address)
        self.copies = CopyReplicator(
            lists_by_kind, peers, clock, self.gossip.copies_updated, upstreams.record_contact
        )
        quarantine = Quarantine(crashes_to_quarantine=3, initial_seconds=600.0)
        self.reachability = ReachabilityMonitor(
            board, self.upstream_states, Deserted(), clock, draws, Uncounted()
        )
        self.reachability.on_change = self.gossip.announce_reachability
        stops = StopMonitor(
            board, self.upstream_states, Deserted(), clock, Uncounted(), self.reachability
        )
        self.crashes = CrashMonitor(board, quarantine, self.port, clock, Uncounted(), stops)
        self.gossip.attach(self.copies, self.crashes)
        calls = DatagramCalls(self.port, clock, number << CALL_NUMBER_BITS)
        self.fragile_upstreams = FragileUpstreams(
            board, self.upstream_states, self.port, clock, Uncounted()
        )
        self.signals = UpstreamSignals(
            board,
            self.upstream_states,
            self.cold_starts,
            self.fragile_upstreams,
            self.port,
            clock,
            Uncounted(),
        )
        self.admissions = Admissions(
            board,
            self.upstream_states,
            self.fragile_upstreams,
            self.port,
            calls,
            clock,
            Uncounted(),
        )
        self.permits = SendPermits(
            board,
            self.upstream_states,
            self.cold_starts,
            self.admissions,
            calls,
            clock,
            Uncounted(),
        )
        versions = SoftwareVersions(board, self.upstream_states, clock, 3 * HEARTBEAT_SECONDS)
        self.origins = StreamOrigins(board, self.port, calls, clock, Uncounted(), versions)
        records = QuarantineRecords(board, store, clock, self.crashes)
        self._controllers = [configuration, upstreams, members, self.copies, self.gossip]
        self._controllers += [self.reachability, self.crashes, records, calls]
        world.network.nodes_by_address[address] = self

    async def start(self):
        """Start all parts, and register after a while."""
        for controller in self._controllers:
            await controller.start()
        draws = self._world.network.random
        await self._world.clock.sleep(REGISTERED_WITHIN_SECONDS * draws.random())
        self._world.register(self.board.own)
        self.registered.set()

    async def start_admissions(self):
        """Start what admits requests to fragile upstreams, which most scenarios don't need.

        Its timers would change the order of events, and so what each seed draws.
        """
        if self.admissions not in self._controllers:
            self._controllers.append(self.admissions)
            await self.admissions.start()

    async def stop(self):
        """End at once."""
        self.alive = False
        for controller in self._controllers:
            await controller.stop()


class World:
    """A fleet, its network and its store.

    :param bound_seconds: until when a change in the store must be followed everywhere.
    """

    def __init__(self, count, seed, lost_share, bound_seconds):
        self.seed = seed
        self.bound_seconds = bound_seconds
        self.clock = VirtualClock()
        self.network = Network(self.clock, random.Random(seed), lost_share)
        self.calls = Counter()
        self.cut_off = set()
        self.away = False
        self.base_revision = 1
        self.document = b"1"
        self.document_revision = 1
        self.documents_sent = 0
        self.evacuated_zones = set()
        self.evacuations = []
        self.registrations_by_key = {}
        self.records_by_key = {}
        self.upstreams_by_id = {f"up-{n}": _upstream(f"up-{n}") for n in range(20)}
        self.nodes = [Node(self, number, "first") for number in range(count)]

    @property
    def revision(self):
        """Return the store's revision, which heartbeats move on."""
        return self.base_revision + int(CHANGES_A_SECOND * self.clock.monotonic())

    @property
    def living(self):
        """Return the gateways that run."""
        return [node for node in self.nodes if node.alive]

    def register(self, member):
        """Write a registration."""
        self.base_revision += 1
        entry = KvEntry(member.incarnation, msgspec.json.encode(member), self.revision)
        self.registrations_by_key[member.incarnation] = entry

    def configure(self, document):
        """Write a configuration as the operators would."""
        self.document = document
        self.base_revision += 1
        self.document_revision = self.revision

    def evacuate(self, zone, is_set):
        """Write or remove the evacuation of a zone as the operators would."""
        self.base_revision += 1
        self.evacuations.append((self.revision, zone, is_set))
        (self.evacuated_zones.add if is_set else self.evacuated_zones.discard)(zone)

    def changes_since(self, revision):
        """Return what the operators wrote after a revision, None if nothing."""
        by_zone = {zone: is_set for at, zone, is_set in self.evacuations if at > revision}
        document = self.document if self.document_revision > revision else None
        if document is None and not by_zone:
            return None
        return OperatorChanges(self.revision, document, by_zone)

    async def start(self):
        """Start all gateways together."""
        await asyncio.gather(*(node.start() for node in self.nodes))

    async def close(self):
        """End all gateways."""
        for node in self.nodes:
            await node.stop()

    async def seconds_until(self, holds, most):
        """Return how long it takes until all living gateways meet a condition; fail after most."""
        began_at = self.clock.monotonic()
        while not all(holds(node) for node in self.living):
            passed = self.clock.monotonic() - began_at
            missing = [node.vm for node in self.living if not holds(node)]
            assert passed <= most, f"seed {self.seed}: not yet {missing[:5]} of {len(missing)}"
            await self.clock.sleep(0.02)
        return self.clock.monotonic() - began_at


def _upstream(name):
    """Return a registered upstream."""
    return Upstream(name, "app", "10.0.1.1:80", "z", 4, False, registration=1)
