"""Fixtures for budgets and journals on the stand-in key-value service."""

import random
from dataclasses import dataclass, field

from quinceferry_core.models import IncarnationId, OperationId, WorkspaceId
from quinceferry_lab.virtual_time import VirtualClock
from quinceferry_standins.kv import FakeKv, FakeKvConnection
from quinceferryd.allotments import AllotmentController
from quinceferryd.budgets import BudgetService
from quinceferryd.journal import JournalWriter
from quinceferryd.settings import BudgetSettings, JournalSettings

WORKSPACE = WorkspaceId("seurat")
SMALL_DRAWS = BudgetSettings(min_allotment_tokens=1, max_allotment_share=0.001)


@dataclass
class Bench:
    """A key-value service with budget holders and journal writers connected to it."""

    clock: VirtualClock = field(default_factory=VirtualClock)
    fenced: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.kv = FakeKv(self.clock)
        self.connections_by_name: dict[str, FakeKvConnection] = {}
        self.budgets = BudgetService(self.connect("operator"))

    def connect(self, name: str) -> FakeKvConnection:
        """Return the connection of one process."""
        if name not in self.connections_by_name:
            self.connections_by_name[name] = self.kv.connect(name)
        return self.connections_by_name[name]

    def holder(self, name: str, settings: BudgetSettings = SMALL_DRAWS) -> AllotmentController:
        """Return a router's allotments; not started, so that nothing happens by itself."""
        return AllotmentController(
            IncarnationId(name),
            self.connect(name),
            self.clock,
            random.Random(name),
            settings,
            lambda: self.fenced.append(name),
        )

    def writer(self, name: str) -> JournalWriter:
        """Return a router's journal writer; not started."""
        return JournalWriter(
            IncarnationId(name),
            self.connect(name),
            self.clock,
            random.Random(name),
            JournalSettings(),
            lambda: self.fenced.append(name),
        )

    async def grant(self, tokens: int, operation: str = "grant"):
        """Top up the workspace."""
        return await self.budgets.top_up(WORKSPACE, tokens, OperationId(operation))
