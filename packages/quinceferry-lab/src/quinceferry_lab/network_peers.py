"""Calls between routers over the in-process network."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing
from typing import TypeVar

from quinceferry_core.adapters import RecallReply
from quinceferry_core.copies import CollectReply, CollectRequest, HoldReply, HoldRequest
from quinceferry_core.exceptions import PeerNotBegunError, PeerUnavailableError
from quinceferry_core.models import CallerRequest, RequestId, WorkspaceId
from quinceferry_core.outcomes import AnswerEvent, Chunk, Outcome
from quinceferry_lab.connections import ConnectionBrokenError, Item, NotConnectedError
from quinceferry_lab.gates import CallKind
from quinceferry_lab.network import WRITE_TIMEOUT_SECONDS, Endpoint, Network
from quinceferryd import wire
from quinceferryd.interfaces import RouterApplication
from quinceferryd.peer_api import KEEP_ALIVE_INTERVAL_SECONDS
from quinceferryd.peer_client import CALL_TIMEOUT_SECONDS, READ_TIMEOUT_SECONDS

T = TypeVar("T")


class NetworkPeers:
    """Calls of one router to others; implements ``PeerClient``."""

    def __init__(self, source: Endpoint, network: Network) -> None:
        self._source = source
        self._network = network

    async def forward(self, address: str, request: CallerRequest) -> AsyncIterator[AnswerEvent]:
        """Have a peer run a request."""
        await self._source.gate.before_send(CallKind.PEER)
        body = wire.encode_request(request)

        def serve() -> AsyncIterator[Item]:
            pipeline = self._application(address).pipeline
            return _with_keep_alive(pipeline.submit(wire.decode_request(body)))

        step = "peer.forward"
        try:
            connection = await self._network.open(
                self._source.name, address, serve, WRITE_TIMEOUT_SECONDS
            )
        except NotConnectedError as error:
            raise PeerNotBegunError("no connection", step=step, peer=address) from error
        ended = False
        async with aclosing(self._network.read(connection)) as items:
            while not ended:
                item = await self._next(items, address)
                if item is not None:
                    ended = not isinstance(item, Chunk)
                    yield item

    async def ask_outcome(
        self, address: str, workspace: WorkspaceId, request_id: RequestId
    ) -> Outcome | None:
        """Ask what became of a request."""

        async def ask() -> bytes:
            pipeline = self._application(address).pipeline
            return wire.encode_outcome(await pipeline.outcome(workspace, request_id))

        return wire.decode_outcome(await self._call(address, ask, "peer.ask_outcome"))

    async def recall(self, address: str, workspace: WorkspaceId, wanted: int) -> RecallReply:
        """Ask a peer to return unused tokens."""

        async def recall() -> RecallReply:
            return await self._application(address).allotments.recall(workspace, wanted)

        return await self._call(address, recall, "peer.recall")

    async def hold(self, address: str, request: HoldRequest) -> HoldReply:
        """Have a peer hold copies of journal entries."""

        async def hold() -> HoldReply:
            return self._application(address).copies.hold(request)

        return await self._call(address, hold, "peer.hold")

    async def collect(self, address: str, request: CollectRequest) -> CollectReply:
        """Read the copies that a peer holds of a closed incarnation."""

        async def collect() -> CollectReply:
            return self._application(address).copies.collect(request)

        return await self._call(address, collect, "peer.collect")

    async def _call(self, address: str, work: Callable[[], Awaitable[T]], step: str) -> T:
        """Make a short call."""
        await self._source.gate.before_send(CallKind.PEER)
        try:
            return await self._network.call(self._source.name, address, work, CALL_TIMEOUT_SECONDS)
        except NotConnectedError as error:
            raise PeerNotBegunError("no connection", step=step, peer=address) from error
        except (TimeoutError, ConnectionBrokenError) as error:
            raise PeerUnavailableError(repr(error), step=step, peer=address) from error

    async def _next(self, items: AsyncIterator[Item], address: str) -> Item:
        """Return the next item within the silence timeout."""
        try:
            async with asyncio.timeout(READ_TIMEOUT_SECONDS):
                return await anext(items)
        except (TimeoutError, ConnectionBrokenError, StopAsyncIteration) as error:
            raise PeerUnavailableError(repr(error), step="peer.forward", peer=address) from error

    def _application(self, address: str) -> RouterApplication:
        """Return the router that listens on an address."""
        application = self._network.endpoints_by_address[address].application
        assert application is not None
        return application


async def _with_keep_alive(events: AsyncIterator[AnswerEvent]) -> AsyncIterator[Item]:
    """Return events, with signs of life while there are none."""
    yield None
    async with aclosing(events):
        pending = asyncio.ensure_future(anext(events, None))
        try:
            while True:
                done, _ = await asyncio.wait({pending}, timeout=KEEP_ALIVE_INTERVAL_SECONDS)
                if not done:
                    yield None
                    continue
                event = pending.result()
                if event is None:
                    return
                yield event
                pending = asyncio.ensure_future(anext(events, None))
        finally:
            pending.cancel()
            await asyncio.gather(pending, return_exceptions=True)
