"""Routers with real scheduling and streams over stand-in engines, on virtual time."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import ClassVar

from quinceferry_core.models import (
    CallerRequest,
    Configuration,
    IncarnationId,
    ModelRef,
    ModelSpec,
    Priority,
    RequestId,
    RequestKind,
    UpstreamId,
    UpstreamSpec,
    VmId,
    WorkspaceId,
    WorkspaceSpec,
)
from quinceferry_core.outcomes import Chunk
from quinceferry_lab.virtual_time import VirtualClock
from quinceferry_standins.engine import FakeEngine
from quinceferry_standins.engine_settings import EngineSettings
from quinceferry_standins.upstreams import FakeUpstreams
from quinceferryd.blackboard import Blackboard, Identity
from quinceferryd.loads import LoadController
from quinceferryd.scheduling import Scheduler
from quinceferryd.settings import RoutingSettings, StreamSettings
from quinceferryd.stream_results import StreamResult
from quinceferryd.streams import StreamRunner

MODEL = ModelRef("ledger")
TOKEN_CAP = 100_000


def request(
    name: str = "r1",
    *,
    prompt: str = "Explain entry 7.",
    output_tokens: int = 20,
    workspace: str = "choir",
    priority: Priority = Priority.NORMAL,
    idempotent: bool = True,
    deadline_seconds: float = 120.0,
    target: ModelRef = MODEL,
) -> CallerRequest:
    """Return a completion request whose output has exactly the given length."""
    return CallerRequest(
        WorkspaceId(workspace),
        RequestId(name),
        RequestKind.COMPLETION,
        target,
        prompt=prompt,
        body=b'{"stand_in_output_tokens": %d}' % output_tokens,
        max_output_tokens=output_tokens,
        priority=priority,
        idempotent=idempotent,
        deadline_seconds=deadline_seconds,
    )


@dataclass
class Site:
    """Engines and the configuration that names them."""

    engines_by_id: dict[UpstreamId, FakeEngine]
    configuration: Configuration

    @classmethod
    def build(cls, count: int, settings: EngineSettings, workspaces=()) -> "Site":
        """Build engines ``e0``, ``e1`` and so on."""
        clock = VirtualClock()
        ids = [UpstreamId(f"e{number}") for number in range(count)]
        engines = {
            upstream: FakeEngine(clock, upstream, settings, random.Random(number))
            for number, upstream in enumerate(ids)
        }
        specs = {
            upstream: UpstreamSpec(upstream, "", "a", vm=VmId(f"vm-{upstream}")) for upstream in ids
        }
        spaces = {spec.id: spec for spec in workspaces} or {
            WorkspaceId("choir"): WorkspaceSpec(WorkspaceId("choir"))
        }
        models = {MODEL.model: ModelSpec(MODEL.model)}
        return cls(engines, Configuration(1, spaces, models, specs))

    def runs(self) -> list:
        """Return what all engines ran."""
        return [run for engine in self.engines_by_id.values() for run in engine.runs]


@dataclass
class Router:
    """One router's scheduling and streams."""

    site: Site
    name: str = "r0"
    seed: int = 0
    routing: RoutingSettings = field(default_factory=RoutingSettings)
    streaming: StreamSettings = field(default_factory=StreamSettings)
    wrap: Callable = lambda upstreams: upstreams
    journal_seconds: float = 0.0
    scheduler_type: ClassVar[type[Scheduler]] = Scheduler

    def __post_init__(self) -> None:
        clock = VirtualClock()
        identity = Identity(VmId(self.name), "a", self.name, IncarnationId(self.name), 1)
        self.blackboard = Blackboard(identity, configuration=self.site.configuration)
        self.upstreams = FakeUpstreams(clock, self.site.engines_by_id)
        self.client = self.wrap(self.upstreams)
        rng = random.Random(self.seed)
        self.scheduler = self.scheduler_type(self.blackboard, clock, rng, self.routing)
        self.loads = LoadController(
            self.blackboard, self.client, self.scheduler, clock, rng, self.routing
        )
        self.streams = StreamRunner(
            self.client, self.scheduler, self.blackboard, clock, rng, self.streaming
        )

    async def start(self, warm_up_seconds: float = 3.0) -> None:
        """Start, and wait until every engine has reported."""
        await self.scheduler.start()
        await self.loads.start()
        await VirtualClock().sleep(warm_up_seconds)

    async def stop(self) -> None:
        """Stop all background work."""
        await self.loads.stop()
        await self.scheduler.stop()

    def open(self, wanted: CallerRequest, result: StreamResult, dispatches: list):
        """Return the event stream of a request that is admitted already."""

        async def on_dispatch(upstream, attempt):
            await VirtualClock().sleep(self.journal_seconds)
            dispatches.append((upstream.id, attempt, VirtualClock().monotonic()))

        return self.streams.run(wanted, TOKEN_CAP, on_dispatch, result)

    async def answer(self, wanted: CallerRequest) -> "Answer":
        """Run a request to its end."""
        answer = Answer(wanted)
        async for event in self.open(wanted, answer.result, answer.dispatches):
            answer.events.append(event)
        return answer


@dataclass
class Answer:
    """What a caller received."""

    request: CallerRequest
    events: list = field(default_factory=list)
    dispatches: list = field(default_factory=list)
    result: StreamResult = field(default_factory=StreamResult)

    @property
    def text(self) -> str:
        """Return the whole text received."""
        return "".join(event.text for event in self.events if isinstance(event, Chunk))

    @property
    def last(self):
        """Return the final event."""
        return self.events[-1]
