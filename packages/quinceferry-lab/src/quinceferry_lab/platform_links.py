"""Connections of one gated router to the stand-in platform and upstreams.

Each call passes the router's gate, is then carried out in the network, and delivers its answer
through the gate again. A call that was sent takes effect even if its router is killed meanwhile.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any, TypeVar

from quinceferry_core.adapters import (
    CacheEvent,
    Dispatch,
    EngineOrder,
    KvEntry,
    KvStore,
    LoadReport,
    UpstreamClient,
    VmList,
    WatchBatch,
)
from quinceferry_core.models import IncarnationId, RequestId, UpstreamSpec, VmRecord, WorkspaceId
from quinceferry_core.outcomes import AnswerEvent
from quinceferry_lab.gates import CallKind, Gate, in_network

T = TypeVar("T")


class GatedKv:
    """Key-value connection of one router; implements ``KvStore``."""

    def __init__(self, gate: Gate, kv: KvStore) -> None:
        self._gate = gate
        self._kv = kv

    async def get(self, key: str) -> KvEntry | None:
        """Read one key."""
        return await self._read(lambda: self._kv.get(key))

    async def list(self, prefix: str) -> list[KvEntry]:
        """Read all keys that begin with the prefix."""
        return await self._read(lambda: self._kv.list(prefix))

    async def put_if(
        self, key: str, value: bytes, expected_version: int, lease: str = ""
    ) -> KvEntry:
        """Write a key by compare-and-swap."""
        return await self._write(lambda: self._kv.put_if(key, value, expected_version, lease))

    async def delete_if(self, key: str, expected_version: int) -> None:
        """Delete a key by compare-and-swap."""
        await self._write(lambda: self._kv.delete_if(key, expected_version))

    async def grant_lease(self, ttl_seconds: float) -> str:
        """Create a lease."""
        return await self._write(lambda: self._kv.grant_lease(ttl_seconds))

    async def keep_alive(self, lease: str) -> None:
        """Renew a lease."""
        await self._write(lambda: self._kv.keep_alive(lease))

    async def revoke_lease(self, lease: str) -> None:
        """End a lease."""
        await self._write(lambda: self._kv.revoke_lease(lease))

    async def watch(self, prefix: str, cursor: int, timeout_seconds: float) -> WatchBatch:
        """Wait for changes below a prefix."""
        return await self._read(lambda: self._kv.watch(prefix, cursor, timeout_seconds))

    async def _read(self, call: Callable[[], Coroutine[Any, Any, T]]) -> T:
        """Carry out a read; it ends with its caller."""
        await self._gate.before_send(CallKind.KV_READ)
        return await self._gate.connection(call(), "kv read")

    async def _write(self, call: Callable[[], Coroutine[Any, Any, T]]) -> T:
        """Carry out a write, which goes on without its caller."""
        await self._gate.before_send(CallKind.KV_WRITE)
        return await _survive(call(), "kv write")


class GatedVmList:
    """VM list connection of one router; implements ``VmList``."""

    def __init__(self, gate: Gate, vms: VmList) -> None:
        self._gate = gate
        self._vms = vms

    async def list(self) -> list[VmRecord]:
        """Read the list."""
        await self._gate.before_send(CallKind.VM_LIST)
        return await self._gate.connection(self._vms.list(), "vm list")


class GatedUpstreams:
    """Upstream connections of one router; implements ``UpstreamClient``."""

    def __init__(self, gate: Gate, upstreams: UpstreamClient) -> None:
        self._gate = gate
        self._upstreams = upstreams

    async def run(self, dispatch: Dispatch) -> AsyncIterator[AnswerEvent]:
        """Send a request and return its events."""
        await self._gate.before_send(CallKind.RUN)
        async for event in self._stream(self._upstreams.run(dispatch)):
            yield event

    async def resume(self, dispatch: Dispatch) -> AsyncIterator[AnswerEvent]:
        """Continue a stream on a new connection."""
        await self._gate.before_send(CallKind.RESUME)
        async for event in self._stream(self._upstreams.resume(dispatch)):
            yield event

    async def cancel(
        self,
        upstream: UpstreamSpec,
        request_id: RequestId,
        workspace: WorkspaceId | None = None,
        incarnation: IncarnationId | None = None,
        attempt: int | None = None,
    ) -> int | None:
        """Stop the latest run of a request."""
        return await self._call(
            lambda: self._upstreams.cancel(upstream, request_id, workspace, incarnation, attempt)
        )

    async def load(self, upstream: UpstreamSpec) -> LoadReport:
        """Read the load report."""
        return await self._call(lambda: self._upstreams.load(upstream))

    async def cache_events(self, upstream: UpstreamSpec, after: int) -> tuple[CacheEvent, ...]:
        """Read cache events."""
        return await self._call(lambda: self._upstreams.cache_events(upstream, after))

    async def order(self, upstream: UpstreamSpec, order: EngineOrder) -> None:
        """Give an order."""
        await self._call(lambda: self._upstreams.order(upstream, order))

    async def _call(self, call: Callable[[], Coroutine[Any, Any, T]]) -> T:
        """Make a short call."""
        await self._gate.before_send(CallKind.UPSTREAM)
        return await _survive(call(), "upstream call")

    async def _stream(self, events: AsyncIterator[AnswerEvent]) -> AsyncIterator[AnswerEvent]:
        """Carry a stream's events; closing this iterator closes the connection."""
        arrivals: asyncio.Queue[AnswerEvent | BaseException | None] = asyncio.Queue()
        carrier = self._gate.connection(_carry(events, arrivals), "upstream stream")
        try:
            while (item := await arrivals.get()) is not None:
                if isinstance(item, BaseException):
                    raise item
                yield item
        finally:
            carrier.cancel()


async def _carry(
    events: AsyncIterator[AnswerEvent],
    arrivals: "asyncio.Queue[AnswerEvent | BaseException | None]",
) -> None:
    """Move a stream's events into a queue, then its error or None."""
    try:
        async for event in events:
            arrivals.put_nowait(event)
        arrivals.put_nowait(None)
    except Exception as error:
        arrivals.put_nowait(error)
    finally:
        await events.aclose()


async def _survive(work: Coroutine[Any, Any, T], name: str) -> T:
    """Wait for a call that goes on when its caller is cancelled."""
    task = in_network(work, name)
    task.add_done_callback(_read_exception)
    return await asyncio.shield(task)


def _read_exception(task: asyncio.Task[Any]) -> None:
    """Mark a task's exception as retrieved, since its caller may be gone."""
    if not task.cancelled():
        task.exception()
