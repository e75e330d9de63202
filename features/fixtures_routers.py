"""Fixture: a few whole routers on virtual time, among stand-ins."""

import random
from contextlib import aclosing
from dataclasses import dataclass, field, replace

from quinceferry_core.changes import PutModel, PutUpstream, PutWorkspace
from quinceferry_core.exceptions import PeerNotBegunError
from quinceferry_core.models import (
    CallerRequest,
    ModelRef,
    ModelSpec,
    OperationId,
    RequestId,
    RequestKind,
    UpstreamSpec,
    VmRecord,
    WorkspaceId,
    WorkspaceSpec,
)
from quinceferry_core.outcomes import Chunk, Failed, Finished
from quinceferry_lab.virtual_time import VirtualClock
from quinceferry_standins.engine import FakeEngine
from quinceferry_standins.engine_settings import EngineSettings
from quinceferry_standins.kv import FakeKv
from quinceferry_standins.outputs import expected_output
from quinceferry_standins.upstreams import FakeUpstreams
from quinceferry_standins.vms import FakeVmList
from quinceferryd.application import Application, Dependencies
from quinceferryd.settings import (
    BudgetSettings,
    JournalSettings,
    PlatformSettings,
    RouterSettings,
    Settings,
)

WORKSPACE = WorkspaceId("choir")
MODEL = ModelRef("ledger")
ZONE = "zone-a"


class DirectPeers:
    """Calls other applications directly; a router that is down or cut off is not reached."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name

    def _application(self, address):
        for name, application in self._fleet.applications_by_name.items():
            if f"{application.settings.router.host}:{application.settings.router.port}" == address:
                if {name, self._name} & self._fleet.cut_off:
                    break
                return application
        raise PeerNotBegunError("no connection", step="peer", peer=address)

    async def forward(self, address, request):
        async with aclosing(self._application(address).pipeline.submit(request)) as events:
            async for event in events:
                yield event

    async def ask_outcome(self, address, workspace, request_id):
        return await self._application(address).pipeline.outcome(workspace, request_id)

    async def hold(self, address, request):
        return self._application(address).copies.hold(request)

    async def collect(self, address, request):
        return self._application(address).copies.collect(request)

    async def recall(self, address, workspace, wanted):
        return await self._application(address).allotments.recall(workspace, wanted)


@dataclass
class Answer:
    """What a caller received."""

    text: str = ""
    finished: Finished | None = None
    failed: Failed | None = None


@dataclass
class Fleet:
    """Routers by name with two engines, one workspace and one model."""

    routers: int
    budget: int
    budgets: BudgetSettings = field(default_factory=BudgetSettings)
    journal: JournalSettings = field(default_factory=JournalSettings)
    output_tokens: int = 40

    def __post_init__(self):
        self.clock = VirtualClock()
        self.kv = FakeKv(self.clock)
        self.vms = FakeVmList(self.clock, 5.0)
        settings = EngineSettings(models=(MODEL,))
        self.engines_by_id = {
            name: FakeEngine(self.clock, name, settings) for name in ("engine-1", "engine-2")
        }
        self.applications_by_name = {}
        self.upstreams_by_name = {}
        self.connections_by_name = {}
        self.cut_off = set()
        self.answers_by_request = {}
        self.tickets = []

    async def start(self):
        """Start all routers, configure them and grant the budget."""
        for number in range(1, self.routers + 1):
            await self.add_router(f"r{number}", 9000 + number)
        await self.clock.sleep(3)
        first = self.applications_by_name["r1"]
        changes = [PutModel(ModelSpec("ledger", 4.0))]
        changes.append(PutWorkspace(WorkspaceSpec(WORKSPACE, models=(MODEL,))))
        for name in self.engines_by_id:
            changes.append(PutUpstream(UpstreamSpec(name, "unused", ZONE)))
        for number, change in enumerate(changes):
            revision = first.blackboard.configuration.revision
            await first.configuration.propose(change, revision, OperationId(f"set-up-{number}"))
        await first.budgets.top_up(WORKSPACE, self.budget, OperationId("grant"))
        await self.clock.sleep(8)

    async def add_router(self, name, port):
        """Start one router."""
        self.vms.add(VmRecord(name, ZONE))
        router = RouterSettings(name, ZONE, "127.0.0.1", port, "fleet-secret", "operator-key")
        settings = Settings(
            router, PlatformSettings("", ""), budgets=self.budgets, journal=self.journal
        )
        connection = self.kv.connect(name)
        upstreams = FakeUpstreams(self.clock, self.engines_by_id)
        dependencies = Dependencies(
            self.clock,
            connection,
            self.vms.connect(name),
            upstreams,
            DirectPeers(self, name),
            random.Random(name),
        )
        application = Application(settings, dependencies)
        self.applications_by_name[name] = application
        self.upstreams_by_name[name] = upstreams
        self.connections_by_name[name] = connection
        await application.start()
        application.membership.mark_listening()

    async def stop(self):
        """Stop all routers at once."""
        for application in self.applications_by_name.values():
            await application.abort()

    async def kill(self, name):
        """End a router and its VM without any warning."""
        self.cut_off.add(name)
        self.connections_by_name[name].faults.outage = True
        for engine in self.engines_by_id:
            self.upstreams_by_name[name].link(engine).partition()
        await self.applications_by_name[name].abort()
        self.vms.remove(name)

    def ticket(self, router, home):
        """Return a ticket as an address answer of one router gives it for a home."""
        application = self.applications_by_name[router]
        own = self.applications_by_name[home].blackboard.identity.incarnation
        member = application.blackboard.members_by_incarnation[own]
        text = application._issue_ticket(WORKSPACE, member)
        return application.tickets.verify(text).unwrap()

    def request(self, name, **fields):
        """Return a caller's request."""
        request = CallerRequest(
            WORKSPACE,
            RequestId(name),
            RequestKind.CHAT,
            MODEL,
            prompt="dues of the spring season " * 8,
            body=b"{}",
            max_output_tokens=self.output_tokens,
        )
        return replace(request, **fields)

    async def ask(self, router, request):
        """Send a request and read its answer to the end."""
        answer = Answer()
        self.answers_by_request[request.request_id] = answer
        submitted = self.applications_by_name[router].pipeline.submit(request)
        async with aclosing(submitted) as events:
            async for event in events:
                match event:
                    case Chunk(text=text):
                        answer.text += text
                    case Finished():
                        answer.finished = event
                    case Failed():
                        answer.failed = event
        return answer

    def runs(self, name=None):
        """Return what the engines really ran, of one request or of all."""
        return [
            run
            for engine in self.engines_by_id.values()
            for run in engine.runs
            if run.started_at is not None and name in (None, run.request_id)
        ]

    async def bills(self, router="r1"):
        """Return all bills of the workspace."""
        return (await self.applications_by_name[router].budgets.bills(WORKSPACE)).bills

    async def balance(self, router="r1"):
        """Return the workspace's balance."""
        return await self.applications_by_name[router].budgets.balance(WORKSPACE)

    def is_whole(self, request):
        """Tell whether a request was answered with all of its own text."""
        answer = self.answers_by_request[request.request_id]
        if answer.finished is None:
            return False
        count = answer.finished.usage.output_tokens
        return answer.text == expected_output(request)[: len(answer.text)] and count > 0
