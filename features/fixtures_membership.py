"""Fleet of membership parts on virtual time, without the request path."""

import asyncio
import random
from dataclasses import replace

import msgspec

from quinceferry_core.exceptions import PeerUnavailableError
from quinceferry_core.membership import INCARNATION_PREFIX, IncarnationRecord, incarnation_key
from quinceferry_core.models import IncarnationId, VmId, VmRecord
from quinceferry_lab.virtual_time import VirtualClock, VirtualTimeLoop
from quinceferry_standins.kv import FakeKv
from quinceferry_standins.vms import FakeVmList
from quinceferryd.addresses import AddressController
from quinceferryd.blackboard import Blackboard, Identity, RouterState
from quinceferryd.configuration import ConfigurationController
from quinceferryd.kv_health import KvProbe, MonitoredKv
from quinceferryd.membership import MembershipController
from quinceferryd.operators import OperatorService
from quinceferryd.peer_health import MonitoredPeers, PeerHealth, PeerProbe
from quinceferryd.settings import AddressSettings, MembershipSettings, ShutdownSettings
from quinceferryd.shutdown import ShutdownController
from quinceferryd.vms import VmListController

ZONES = ("zone-a", "zone-b", "zone-c")
VM_LIST_INTERVAL_SECONDS = 2.0
PEER_TIMEOUT_SECONDS = 3.0


class PausableClock(VirtualClock):
    """Clock of one process; while it is paused, no delay of that process ends."""

    def __init__(self) -> None:
        self._running = asyncio.Event()
        self._running.set()

    def pause(self):
        self._running.clear()

    def resume(self):
        self._running.set()

    async def sleep(self, seconds):
        await super().sleep(seconds)
        await self._running.wait()


class FleetPeers:
    """Calls between routers; a call to a router that is cut off from its peers fails."""

    def __init__(self, fleet, caller):
        self._fleet = fleet
        self._caller = caller

    async def ask_outcome(self, address, workspace, request_id):
        peer = self._fleet.router_at(address)
        cut_off = self._fleet.peers_cut_off
        if peer is None or not peer.takes_requests or {peer.vm, self._caller.vm} & cut_off:
            await self._fleet.clock.sleep(PEER_TIMEOUT_SECONDS)
            raise PeerUnavailableError("no answer", step="peer.ask_outcome", peer=address)


class FleetRouter:
    """One router's membership parts."""

    def __init__(self, fleet, vm, seed):
        self.fleet = fleet
        self.vm = VmId(vm)
        self.clock = PausableClock()
        self.rng = random.Random(seed)
        zone = ZONES[seed % len(ZONES)]
        self.blackboard = Blackboard(Identity(self.vm, zone, f"10.0.0.{seed}:8000"))
        self.kv = fleet.kv.connect(vm)
        kv = MonitoredKv(self.kv, self.blackboard, self.clock)
        self.kv_probe = KvProbe(kv, self.blackboard, self.clock, self.rng)
        self.vm_connection = fleet.vm_list.connect(vm)
        self.vms = VmListController(
            self.blackboard, self.vm_connection, self.clock, self.rng, VM_LIST_INTERVAL_SECONDS
        )
        self.membership = MembershipController(
            self.blackboard, kv, self.clock, self.rng, MembershipSettings(), self.on_fenced
        )
        self.configuration = ConfigurationController(
            self.blackboard, kv, self.clock, self.rng, self.membership, self.vms
        )
        self.peer_health = PeerHealth(self.clock)
        self.peers = MonitoredPeers(FleetPeers(fleet, self), self.peer_health)
        self.probe = PeerProbe(self.blackboard, self.peers, self.peer_health, self.clock, self.rng)
        self.addresses = AddressController(
            self.blackboard, self.clock, AddressSettings(), self.issue_ticket, self.peer_health
        )
        self.open_requests = 0
        self.allotments_returned_at = None
        self.shutdown = ShutdownController(
            self.blackboard,
            kv,
            self.clock,
            ShutdownSettings(max_drain_seconds=300.0),
            AddressSettings().answer_ttl_seconds,
            self.membership,
            self.configuration,
            lambda: self.open_requests,
            self.return_allotments,
        )
        self.operators = OperatorService(self.blackboard, kv, self.configuration)
        self.fenced_incarnations = []
        self.controllers = [
            self.kv_probe,
            self.vms,
            self.membership,
            self.configuration,
            self.probe,
        ]

    def issue_ticket(self, workspace, home):
        return f"{workspace} at {home.incarnation}"

    async def return_allotments(self):
        self.allotments_returned_at = self.clock.monotonic()

    @property
    def takes_requests(self):
        return self.blackboard.state in (RouterState.SERVING, RouterState.STOPPING)

    async def on_fenced(self, incarnation):
        self.fenced_incarnations.append(incarnation)

    @property
    def applied(self):
        return self.blackboard.configuration.revision

    async def start(self):
        for controller in self.controllers:
            await controller.start()

    async def kill(self):
        for controller in reversed(self.controllers):
            await controller.stop()

    @property
    def incarnation(self):
        return self.blackboard.identity.incarnation


class Fleet:
    """Stand-in platform and routers, on an event loop kept between steps."""

    router_class = FleetRouter

    def __init__(self, context):
        self._runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
        self.clock = VirtualClock()
        self.kv = FakeKv(self.clock, random.Random(1))
        self.vm_list = FakeVmList(self.clock, lag_seconds=5.0)
        self.routers_by_vm = {}
        self.peers_cut_off = set()
        context.add_cleanup(self.close)

    def run(self, work):
        return self._runner.run(work)

    def call(self, function, *arguments):
        """Call a plain function that reads the clock."""

        async def run_inside():
            return function(*arguments)

        return self.run(run_inside())

    def advance(self, seconds):
        self.run(self.clock.sleep(seconds))

    def add_router(self, vm, listed=True):
        router = self.router_class(self, vm, len(self.routers_by_vm) + 1)
        if listed:
            self.call(self.vm_list.add, VmRecord(router.vm, router.blackboard.identity.zone))
        self.routers_by_vm[vm] = router
        self.run(router.start())
        return router

    def router_at(self, address):
        routers = self.routers_by_vm.values()
        return next((r for r in routers if r.blackboard.identity.address == address), None)

    async def read_records(self):
        entries = await self.kv.list(INCARNATION_PREFIX)
        return [msgspec.json.decode(entry.value, type=IncarnationRecord) for entry in entries]

    async def close_incarnation(self, incarnation, closer):
        """Close an incarnation as a recovering router does."""
        entry = await self.kv.get(incarnation_key(incarnation))
        record = msgspec.json.decode(entry.value, type=IncarnationRecord)
        value = msgspec.json.encode(replace(record, closed_by=IncarnationId(closer)))
        await self.kv.put_if(entry.key, value, entry.version)

    def close(self):
        self.run(self._kill_all())
        self._runner.close()

    async def _kill_all(self):
        for router in self.routers_by_vm.values():
            await router.kill()
