"""In-process connections of one router to stand-in upstreams, with injected faults."""

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping
from typing import TypeVar

from quinceferry_core.adapters import CacheEvent, Dispatch, EngineOrder, LoadReport
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import (
    UpstreamError,
    UpstreamLostError,
    UpstreamNotSentError,
    UpstreamRefusedError,
    UpstreamUnknownRequestError,
)
from quinceferry_core.models import IncarnationId, RequestId, UpstreamId, UpstreamSpec, WorkspaceId
from quinceferry_core.outcomes import AnswerEvent, Chunk, Finished
from quinceferry_standins.engine import FakeEngine
from quinceferry_standins.service import FakeService
from quinceferry_standins.upstream_faults import (
    Break,
    Duplicate,
    Link,
    LoseAnswer,
    LoseRequest,
    RefuseConnection,
    Silence,
    Stall,
    StreamFault,
    Swap,
)

FakeUpstream = FakeEngine | FakeService
T = TypeVar("T")


class FakeUpstreams:
    """Upstream client of one router.

    Several routers share ``upstreams_by_id``; each has its own links and so its own faults.

    :param clock: source of time and of delays.
    :param upstreams_by_id: the engines and services that exist.
    """

    def __init__(self, clock: Clock, upstreams_by_id: Mapping[UpstreamId, FakeUpstream]) -> None:
        self._clock = clock
        self._upstreams_by_id = upstreams_by_id
        self._links_by_id: dict[UpstreamId, Link] = {}

    def link(self, upstream: UpstreamId) -> Link:
        """Return the link to an upstream, to set its faults."""
        return self._links_by_id.setdefault(upstream, Link())

    async def run(self, dispatch: Dispatch) -> AsyncIterator[AnswerEvent]:
        """Send a request and return its events."""
        upstream = self._upstream(dispatch.upstream, "upstream.run")
        async for event in self._stream(dispatch, upstream.run, "upstream.run"):
            yield event

    async def resume(self, dispatch: Dispatch) -> AsyncIterator[AnswerEvent]:
        """Continue a stream on a new connection; a plain service knows none."""
        upstream = self._upstream(dispatch.upstream, "upstream.resume")
        resume = upstream.resume if isinstance(upstream, FakeEngine) else _unknown_request
        async for event in self._stream(dispatch, resume, "upstream.resume"):
            yield event

    async def cancel(
        self,
        upstream: UpstreamSpec,
        request_id: RequestId,
        workspace: WorkspaceId | None = None,
        incarnation: IncarnationId | None = None,
        attempt: int | None = None,
    ) -> int | None:
        """Stop a run; return the tokens it used in all, or None if the upstream does not know."""

        def cancel(target: FakeUpstream) -> int | None:
            if not isinstance(target, FakeEngine):
                return None
            return target.cancel(request_id, workspace, incarnation, attempt)

        return await self._call(upstream, "upstream.cancel", cancel)

    async def load(self, upstream: UpstreamSpec) -> LoadReport:
        """Read the load report."""
        return await self._call(upstream, "upstream.load", lambda target: target.load())

    async def cache_events(self, upstream: UpstreamSpec, after: int) -> tuple[CacheEvent, ...]:
        """Read cache events with a sequence greater than ``after``."""

        def read(target: FakeUpstream) -> tuple[CacheEvent, ...]:
            return target.cache_events(after) if isinstance(target, FakeEngine) else ()

        return await self._call(upstream, "upstream.cache_events", read)

    async def order(self, upstream: UpstreamSpec, order: EngineOrder) -> None:
        """Give an order."""

        def obey(target: FakeUpstream) -> None:
            if not isinstance(target, FakeEngine):
                step = "upstream.order"
                raise UpstreamRefusedError("not an engine", step=step, peer=upstream.id)
            target.order(order)

        await self._call(upstream, "upstream.order", obey)

    def _upstream(self, spec: UpstreamSpec, step: str) -> FakeUpstream:
        """Return an upstream, or raise as for an address where nobody listens."""
        upstream = self._upstreams_by_id.get(spec.id)
        if upstream is None:
            raise UpstreamNotSentError("no such upstream", step=step, peer=spec.id)
        return upstream

    async def _connect(self, upstream: UpstreamId, step: str) -> Link:
        """Wait for a connection."""
        link = self.link(upstream)
        if link.partitioned:
            await self._clock.sleep(link.connect_timeout_seconds)
            raise UpstreamNotSentError("connect timeout", step=step, peer=upstream)
        await self._clock.sleep(link.latency_seconds)
        return link

    async def _stream(
        self, dispatch: Dispatch, act: Callable[[Dispatch], AsyncIterator[AnswerEvent]], step: str
    ) -> AsyncIterator[AnswerEvent]:
        """Open a stream and return its events as the link delivers them."""
        link = await self._connect(dispatch.upstream.id, step)
        fault = link.next_stream_fault(dispatch)
        match fault:
            case RefuseConnection():
                raise UpstreamNotSentError("refused", step=step, peer=dispatch.upstream.id)
            case LoseRequest():
                raise UpstreamLostError("request lost", step=step, peer=dispatch.upstream.id)
        connection = _Connection(self._clock, link, dispatch.upstream.id, fault)
        connection.open(act(dispatch))
        try:
            while True:
                event = await connection.receive()
                yield event
                if isinstance(event, Finished):
                    return
        finally:
            await connection.close()

    async def _call(self, spec: UpstreamSpec, step: str, act: Callable[[FakeUpstream], T]) -> T:
        """Make one call and return its answer."""
        upstream = self._upstream(spec, step)
        link = await self._connect(spec.id, step)
        fault = link.next_call_fault()
        match fault:
            case RefuseConnection():
                raise UpstreamNotSentError("refused", step=step, peer=spec.id)
            case LoseRequest():
                raise UpstreamLostError("request lost", step=step, peer=spec.id)
        answer = act(upstream)
        await self._clock.sleep(link.latency_seconds)
        if isinstance(fault, LoseAnswer) or link.partitioned:
            raise UpstreamLostError("answer lost", step=step, peer=spec.id)
        return answer


async def _unknown_request(dispatch: Dispatch) -> AsyncIterator[AnswerEvent]:
    """Refuse to resume a call of a plain service."""
    raise UpstreamUnknownRequestError(step="upstream.resume", peer=dispatch.upstream.id)
    yield


class _Connection:
    """One stream's connection: delays, faults and partitions."""

    def __init__(
        self, clock: Clock, link: Link, upstream: UpstreamId, fault: StreamFault | None
    ) -> None:
        self._clock = clock
        self._link = link
        self._upstream = upstream
        self._fault = fault
        self._chunks = 0
        self._held: Chunk | None = None
        self._silent = False
        self._arrivals: asyncio.Queue[tuple[float, AnswerEvent | UpstreamError]] = asyncio.Queue()
        self._pump_task: asyncio.Task[None] | None = None

    def open(self, events: AsyncIterator[AnswerEvent]) -> None:
        """Begin to carry events from the upstream."""
        self._link.open_streams.append(self)
        self._pump_task = asyncio.create_task(self._pump(events), name=f"pump {self._upstream}")

    async def receive(self) -> AnswerEvent:
        """Return the next event that arrives.

        :raises UpstreamError: the upstream refused, or the connection broke.
        """
        due, item = await self._arrivals.get()
        await self._clock.sleep(max(0.0, due - self._clock.monotonic()))
        await self._link.wait_connected()
        if self._silent:
            await asyncio.Event().wait()
        if isinstance(item, UpstreamError):
            raise item
        return item

    def silence(self) -> None:
        """Deliver nothing more."""
        self._silent = True

    def disconnect(self) -> None:
        """Break the connection; events not yet received are lost."""
        while not self._arrivals.empty():
            self._arrivals.get_nowait()
        self._put(self._lost())

    async def close(self) -> None:
        """Drop the connection."""
        self._link.open_streams.remove(self)
        if self._pump_task is not None:
            self._pump_task.cancel()
            await asyncio.gather(self._pump_task, return_exceptions=True)

    async def _pump(self, events: AsyncIterator[AnswerEvent]) -> None:
        """Carry events until the answer ends or the connection fails."""
        try:
            async for event in events:
                await self._carry(event)
        except UpstreamError as error:
            self._put(error)

    async def _carry(self, event: AnswerEvent) -> None:
        """Deliver one event, with the connection's fault."""
        await self._apply_pause()
        if not isinstance(event, Chunk):
            self._release_held()
            self._put(event)
            return
        position = self._chunks
        self._chunks += 1
        match self._fault:
            case Swap(chunk) if chunk == position:
                self._held = event
                return
            case Duplicate(chunk) if chunk == position:
                self._put(event)
        self._put(event)
        self._release_held()

    async def _apply_pause(self) -> None:
        """Stop, delay or break the delivery when its turn has come."""
        match self._fault:
            case Silence(after_chunks) if self._chunks >= after_chunks:
                await asyncio.Event().wait()
            case Stall(after_chunks, seconds) if self._chunks >= after_chunks:
                self._fault = None
                await self._clock.sleep(seconds)
            case Break(after_chunks) if self._chunks >= after_chunks:
                raise self._lost()

    def _release_held(self) -> None:
        """Deliver a chunk that was held back."""
        if self._held is not None:
            held, self._held = self._held, None
            self._put(held)

    def _put(self, item: AnswerEvent | UpstreamError) -> None:
        """Send an item on its way."""
        due = self._clock.monotonic() + self._link.latency_seconds
        self._arrivals.put_nowait((due, item))

    def _lost(self) -> UpstreamLostError:
        """Return the error of a broken connection."""
        return UpstreamLostError("connection broken", step="upstream.read", peer=self._upstream)
