"""Upstream that answers after a fixed time, for measurements in which engines do not matter."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from quinceferry_core.adapters import (
    CacheEvent,
    Dispatch,
    EngineOrder,
    LoadReport,
)
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import UpstreamUnknownRequestError
from quinceferry_core.models import (
    IncarnationId,
    ModelRef,
    RequestId,
    UpstreamSpec,
    Usage,
    WorkspaceId,
)
from quinceferry_core.outcomes import AnswerEvent, Chunk, Finished

RunKey = tuple[WorkspaceId, RequestId, IncarnationId]


@dataclass(slots=True)
class QuickRun:
    """One run: its cap, and its use once it has ended; ``used`` is None before."""

    workspace: WorkspaceId
    cap: int
    used: int | None = None


@dataclass(slots=True)
class QuickEngines:
    """What all engines together ran; the truth that budgets are compared with."""

    clock: Clock
    models: tuple[ModelRef, ...]
    answer_seconds: float
    used_share: float
    runs_by_key: dict[RunKey, QuickRun] = field(default_factory=dict)
    used_by_workspace: dict[WorkspaceId, int] = field(default_factory=dict)
    open_caps_by_workspace: dict[WorkspaceId, int] = field(default_factory=dict)

    def begin(self, dispatch: Dispatch) -> QuickRun:
        """Start a run."""
        request = dispatch.request
        run = QuickRun(request.workspace, dispatch.token_cap)
        self.runs_by_key[request.workspace, request.request_id, dispatch.incarnation] = run
        opened = self.open_caps_by_workspace.get(run.workspace, 0)
        self.open_caps_by_workspace[run.workspace] = opened + run.cap
        return run

    def end(self, run: QuickRun, used: int) -> None:
        """End a run; a run that has ended stays as it is."""
        if run.used is not None:
            return
        run.used = used
        self.open_caps_by_workspace[run.workspace] -= run.cap
        total = self.used_by_workspace.get(run.workspace, 0)
        self.used_by_workspace[run.workspace] = total + used


class QuickUpstreams:
    """Connections of one router; implements ``UpstreamClient``."""

    def __init__(self, engines: QuickEngines) -> None:
        self._engines = engines

    async def run(self, dispatch: Dispatch) -> AsyncIterator[AnswerEvent]:
        """Answer with one chunk after the fixed time."""
        engines = self._engines
        run = engines.begin(dispatch)
        used = max(2, int(dispatch.token_cap * engines.used_share))
        try:
            await engines.clock.sleep(engines.answer_seconds)
        except (asyncio.CancelledError, GeneratorExit):
            engines.end(run, 1)
            raise
        engines.end(run, used)
        yield Chunk(0, used - 1, "answer")
        yield Finished(Usage(1, used - 1))

    async def resume(self, dispatch: Dispatch) -> AsyncIterator[AnswerEvent]:
        """Refuse; no stream of these engines breaks."""
        raise UpstreamUnknownRequestError(step="upstream.resume", peer=dispatch.upstream.id)
        yield

    async def cancel(
        self,
        upstream: UpstreamSpec,
        request_id: RequestId,
        workspace: WorkspaceId | None = None,
        incarnation: IncarnationId | None = None,
        attempt: int | None = None,
    ) -> int | None:
        """Stop a run; return what it used."""
        if workspace is None or incarnation is None:
            return None
        run = self._engines.runs_by_key.get((workspace, request_id, incarnation))
        if run is None:
            return None
        self._engines.end(run, 1)
        return run.used

    async def load(self, upstream: UpstreamSpec) -> LoadReport:
        """Report an idle engine."""
        return LoadReport(0, 0, 0, 10_000, self._engines.models)

    async def cache_events(self, upstream: UpstreamSpec, after: int) -> tuple[CacheEvent, ...]:
        """Report nothing."""
        return ()

    async def order(self, upstream: UpstreamSpec, order: EngineOrder) -> None:
        """Obey without doing anything."""
