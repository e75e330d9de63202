"""Fleet of real routers on quick engines, for measuring budgets under faults."""

import random
from collections.abc import AsyncIterator
from contextlib import aclosing
from dataclasses import dataclass, field

from quinceferry_core.adapters import RecallReply
from quinceferry_core.changes import PutModel, PutUpstream, PutWorkspace
from quinceferry_core.copies import CollectReply, CollectRequest, HoldReply, HoldRequest
from quinceferry_core.exceptions import PeerNotBegunError
from quinceferry_core.models import (
    CallerRequest,
    ModelRef,
    ModelSpec,
    OperationId,
    RequestId,
    UpstreamSpec,
    VmRecord,
    WorkspaceId,
    WorkspaceSpec,
)
from quinceferry_core.outcomes import AnswerEvent, Outcome
from quinceferry_lab.quick_upstreams import QuickEngines, QuickUpstreams
from quinceferry_lab.virtual_time import VirtualClock
from quinceferry_standins.kv import FakeKv
from quinceferry_standins.vms import FakeVmList
from quinceferryd.allotments import AllotmentController
from quinceferryd.application import Application, Dependencies
from quinceferryd.settings import PlatformSettings, RouterSettings, Settings

ZONES = ("zone-a", "zone-b", "zone-c")
MODEL = ModelRef("ledger")
ANSWER_SECONDS = 1.5
USED_SHARE = 0.5
PEER_LATENCY_SECONDS = 0.002


@dataclass(slots=True)
class Bench:
    """Routers by name and all that surrounds them.

    ``dead`` are routers that have died; ``cut_zone`` is an availability zone that reaches nothing
    outside it but the engines and its own callers.
    """

    routers: int
    allotments_type: type[AllotmentController]
    may_move: bool
    clock: VirtualClock = field(default_factory=VirtualClock)
    dead: set[str] = field(default_factory=set)
    cut_zone: str = ""
    granted_by_workspace: dict[WorkspaceId, int] = field(default_factory=dict)
    applications_by_name: dict[str, Application] = field(default_factory=dict)
    kv: FakeKv = field(init=False)
    vms: FakeVmList = field(init=False)
    engines: QuickEngines = field(init=False)

    def __post_init__(self) -> None:
        """Create the platform and the engines."""
        self.kv = FakeKv(self.clock)
        self.vms = FakeVmList(self.clock, 5.0)
        self.engines = QuickEngines(self.clock, (MODEL,), ANSWER_SECONDS, USED_SHARE)

    async def start(self, budgets: dict[WorkspaceId, int]) -> None:
        """Start all routers, configure them and grant the budgets."""
        for number in range(self.routers):
            await self._start_router(f"r{number}", ZONES[number % len(ZONES)], 9000 + number)
        await self.clock.sleep(3)
        first = self.applications_by_name["r0"]
        changes = [PutModel(ModelSpec(MODEL.model, 4.0)), PutUpstream(_upstream())]
        changes += [PutWorkspace(WorkspaceSpec(name, models=(MODEL,))) for name in budgets]
        for number, change in enumerate(changes):
            revision = first.blackboard.configuration.revision
            await first.configuration.propose(change, revision, OperationId(f"set-up-{number}"))
        for name, tokens in budgets.items():
            await self.top_up(name, tokens, "grant")
        await self.clock.sleep(10)

    async def top_up(self, workspace: WorkspaceId, tokens: int, operation: str) -> None:
        """Grant tokens at a router that reaches the service."""
        application = self.applications_by_name["r0"]
        granted = await application.budgets.top_up(workspace, tokens, OperationId(operation))
        granted.unwrap()
        total = self.granted_by_workspace.get(workspace, 0)
        self.granted_by_workspace[workspace] = total + tokens

    async def stop(self) -> None:
        """Stop all routers at once."""
        for name, application in self.applications_by_name.items():
            if name not in self.dead:
                await application.abort()

    async def kill(self, name: str) -> None:
        """End a router and its VM."""
        self.dead.add(name)
        await self.applications_by_name[name].abort()
        self.vms.remove(name)

    def cut(self, zone: str) -> None:
        """Cut an availability zone off, or heal the partition with an empty name."""
        self.cut_zone = zone
        for application in self.applications_by_name.values():
            router = application.settings.router
            connection = self.kv.connect(router.vm)
            connection.faults.outage = bool(zone) and router.zone == zone

    def reaches(self, one: str, other: str) -> bool:
        """Tell whether two routers reach each other."""
        if {one, other} & self.dead:
            return False
        zones = {self.zone_of(one), self.zone_of(other)}
        return len(zones) == 1 or self.cut_zone not in zones

    def zone_of(self, name: str) -> str:
        """Return the availability zone of a router."""
        return self.applications_by_name[name].settings.router.zone

    def could_pay(self, request: CallerRequest, tokens: int) -> bool:
        """Tell whether a workspace has paid for a request, whichever router holds the tokens."""
        workspace = request.workspace
        used = self.engines.used_by_workspace.get(workspace, 0)
        open_caps = self.engines.open_caps_by_workspace.get(workspace, 0)
        return self.granted_by_workspace[workspace] - used - open_caps >= tokens

    async def _start_router(self, name: str, zone: str, port: int) -> None:
        """Start one router."""
        self.vms.add(VmRecord(name, zone))
        router = RouterSettings(name, zone, "127.0.0.1", port, "fleet-secret", "operator-key")
        dependencies = Dependencies(
            self.clock,
            self.kv.connect(name),
            self.vms.connect(name),
            QuickUpstreams(self.engines),
            BenchPeers(self, name),
            random.Random(name),
        )
        application = Application(Settings(router, PlatformSettings("", "")), dependencies)
        application.accounts.allotments_type = self.allotments_type
        self.applications_by_name[name] = application
        await application.start()
        application.membership.mark_listening()


class BenchPeers:
    """Calls between routers; none gets through to a router that is dead or cut off."""

    def __init__(self, bench: Bench, name: str) -> None:
        self._bench = bench
        self._name = name

    async def forward(self, address: str, request: CallerRequest) -> AsyncIterator[AnswerEvent]:
        """Have a peer run a request."""
        application = await self._reach(address)
        async with aclosing(application.pipeline.submit(request)) as events:
            async for event in events:
                yield event

    async def ask_outcome(
        self, address: str, workspace: WorkspaceId, request_id: RequestId
    ) -> Outcome | None:
        """Ask what became of a request."""
        return await (await self._reach(address)).pipeline.outcome(workspace, request_id)

    async def recall(self, address: str, workspace: WorkspaceId, wanted: int) -> RecallReply:
        """Ask a peer to return unused tokens."""
        if not self._bench.may_move:
            raise PeerNotBegunError("nothing moves", step="peer.recall", peer=address)
        return await (await self._reach(address)).allotments.recall(workspace, wanted)

    async def hold(self, address: str, request: HoldRequest) -> HoldReply:
        """Have a peer hold copies of journal entries."""
        return (await self._reach(address)).copies.hold(request)

    async def collect(self, address: str, request: CollectRequest) -> CollectReply:
        """Read the copies that a peer holds of a closed incarnation."""
        return (await self._reach(address)).copies.collect(request)

    async def _reach(self, address: str) -> Application:
        """Return the router at an address."""
        await self._bench.clock.sleep(PEER_LATENCY_SECONDS)
        for name, application in self._bench.applications_by_name.items():
            is_asked = application.blackboard.identity.address == address
            if is_asked and self._bench.reaches(self._name, name):
                return application
        raise PeerNotBegunError("no connection", step="peer", peer=address)


def _upstream() -> UpstreamSpec:
    """Return the one upstream that stands for all engines."""
    return UpstreamSpec("engines", "unused", ZONES[0])
