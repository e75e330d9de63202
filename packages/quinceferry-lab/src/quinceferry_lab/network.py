"""In-process network between callers and routers, with cuts, silence and broken connections."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing
from random import Random
from typing import Protocol, TypeVar

from quinceferry_core.clocks import Clock
from quinceferry_core.outcomes import Chunk
from quinceferry_lab.connections import (
    Connection,
    ConnectionBrokenError,
    End,
    Item,
    NotConnectedError,
)
from quinceferry_lab.gates import Gate, GateState, in_network
from quinceferryd.interfaces import RouterApplication
from quinceferryd.peer_client import CONNECT_TIMEOUT_SECONDS
from quinceferryd.settings import StreamSettings

T = TypeVar("T")
Serve = Callable[[], AsyncIterator[Item]]

ZONE_LATENCY_SECONDS = 0.0005
REGION_LATENCY_SECONDS = 0.002
CALLER_LATENCY_SECONDS = 0.008

WRITE_TIMEOUT_SECONDS = StreamSettings().reader_timeout_seconds


class Endpoint(Protocol):
    """A router as the network sees it."""

    name: str
    label: str
    zone: str
    gate: Gate
    application: RouterApplication | None
    listening: bool


class Network:
    """Connects callers and routers; nodes are named by router name or caller name.

    :param clock: source of delays.
    :param rng: source of randomness.
    :param on_error: told of errors that a router raised while it served.
    """

    def __init__(
        self, clock: Clock, rng: Random, on_error: Callable[[str, Exception], None]
    ) -> None:
        self.endpoints_by_address: dict[str, Endpoint] = {}
        self.connections: list[Connection] = []
        self._clock = clock
        self._rng = rng
        self._on_error = on_error
        self._cuts: set[tuple[str, str]] = set()
        self._muted: set[tuple[str, str]] = set()
        self._healed = asyncio.Event()

    def cut(self, source: str, target: str) -> None:
        """Let nothing pass from one node to another."""
        self._cuts.add((source, target))

    def heal(self, source: str, target: str) -> None:
        """Let everything pass again; what was held back is delivered late."""
        self._cuts.discard((source, target))
        self._wake()

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether nothing passes in this direction."""
        return (source, target) in self._cuts

    def silence(self, source: str, target: str) -> None:
        """Make the open connections of two nodes silent for good; new ones work."""
        for connection in self.connections:
            if (connection.source, connection.target) == (source, target):
                connection.silent = True

    def mute(self, source: str, target: str) -> None:
        """Make new connections silent too: requests arrive, answers do not."""
        self._muted.add((source, target))

    def unmute(self, source: str, target: str) -> None:
        """Let the answers on connections opened from now on arrive."""
        self._muted.discard((source, target))

    def silence_all(self, name: str) -> None:
        """Make all open connections of a node silent for good."""
        for connection in self.connections:
            if name in (connection.source, connection.target):
                connection.silent = True

    def end_connections(self, label: str) -> None:
        """Close what a process still serves, as its host does when the process ends."""
        for connection in list(self.connections):
            if connection.label == label:
                connection.ended_by = "router"
                connection.break_off()

    def break_connections(self, name: str) -> None:
        """Break all connections of a node."""
        for connection in list(self.connections):
            if name in (connection.source, connection.target):
                connection.break_off()

    async def open(
        self, source: str, address: str, serve: Serve, write_timeout_seconds: float
    ) -> Connection:
        """Connect to a router and have it serve.

        :param serve: makes the answer, in the router's own context.
        :raises NotConnectedError: nobody listens, or the path is cut.
        """
        endpoint = self.endpoints_by_address.get(address)
        if endpoint is not None:
            await self._check_path(source, endpoint.name)
        await self._clock.sleep(self._latency(source, endpoint))
        if endpoint is None or not _accepts(endpoint):
            raise NotConnectedError(address)
        connection = Connection(source, endpoint.name, endpoint.label)
        connection.silent = (source, endpoint.name) in self._muted
        self.connections.append(connection)
        connection.server = endpoint.gate.spawn(
            self._serve(connection, endpoint, serve, write_timeout_seconds), "serve"
        )
        return connection

    async def read(self, connection: Connection) -> AsyncIterator[Item]:
        """Return what arrives, up to the end of the answer.

        :raises ConnectionBrokenError: it broke before.
        """
        try:
            while True:
                item = await self._next(connection)
                if isinstance(item, End):
                    if item.broken:
                        raise ConnectionBrokenError(connection.breaker)
                    return
                yield item
        finally:
            self._close(connection)

    async def call(
        self, source: str, address: str, work: Callable[[], Awaitable[T]], timeout_seconds: float
    ) -> T:
        """Have a router do something and return its reply.

        :param work: what to do, in the router's own context.
        :raises NotConnectedError: nothing was sent.
        :raises ConnectionBrokenError: the connection broke, or the router failed.
        :raises TimeoutError: no reply came in time.
        """
        replies: list[T] = []

        async def serve() -> AsyncIterator[Item]:
            replies.append(await work())
            yield None

        connection = await self.open(source, address, serve, WRITE_TIMEOUT_SECONDS)
        async with asyncio.timeout(timeout_seconds), aclosing(self.read(connection)) as items:
            await anext(items, None)
        if not replies:
            raise ConnectionBrokenError("router")
        return replies[0]

    async def _next(self, connection: Connection) -> Item | End:
        """Return the next item, when the path lets it through."""
        receiving = asyncio.ensure_future(connection.arrivals.get())
        breaking = asyncio.ensure_future(connection.broken.wait())
        try:
            await asyncio.wait({receiving, breaking}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            breaking.cancel()
            receiving.cancel()
        if not receiving.done() or receiving.cancelled():
            raise ConnectionBrokenError(connection.breaker)
        await self._wait_for_path(connection)
        return receiving.result()

    async def _wait_for_path(self, connection: Connection) -> None:
        """Wait while the way back is cut; for ever if the connection is silent."""
        while connection.silent or self.is_cut(connection.target, connection.source):
            if connection.silent:
                await asyncio.Event().wait()
            await self._healed.wait()

    async def _serve(
        self,
        connection: Connection,
        endpoint: Endpoint,
        serve: Serve,
        write_timeout_seconds: float,
    ) -> None:
        """Write the answer in the router's context, until it ends or the reader is gone."""
        broken = True
        watcher = asyncio.create_task(_cancel_when_broken(connection, asyncio.current_task()))
        try:
            async with aclosing(serve()) as items:
                async for item in items:
                    async with asyncio.timeout(write_timeout_seconds):
                        await connection.arrivals.put(item)
                    if item is not None and not isinstance(item, Chunk):
                        broken = False
                        watcher.cancel()
        except TimeoutError:
            connection.break_off()
        except Exception as error:
            self._on_error(endpoint.label, error)
        finally:
            watcher.cancel()
            if endpoint.gate.state is not GateState.DISCARDED:
                in_network(connection.arrivals.put(End(broken)), "end of answer")

    def _close(self, connection: Connection) -> None:
        """Close a connection from the reader's end."""
        connection.break_off()
        if connection in self.connections:
            self.connections.remove(connection)

    async def _check_path(self, source: str, target: str) -> None:
        """Raise when a new connection cannot come about; a handshake needs both directions."""
        if self.is_cut(source, target) or self.is_cut(target, source):
            await self._clock.sleep(CONNECT_TIMEOUT_SECONDS)
            raise NotConnectedError(target)

    def _latency(self, source: str, endpoint: Endpoint | None) -> float:
        """Draw the time of one way."""
        sources = [known for known in self.endpoints_by_address.values() if known.name == source]
        if not sources:
            mean = CALLER_LATENCY_SECONDS
        elif endpoint is not None and sources[0].zone == endpoint.zone:
            mean = ZONE_LATENCY_SECONDS
        else:
            mean = REGION_LATENCY_SECONDS
        return mean * self._rng.uniform(0.8, 1.5)

    def _wake(self) -> None:
        """Let all waiting deliveries look again."""
        healed, self._healed = self._healed, asyncio.Event()
        healed.set()


async def _cancel_when_broken(connection: Connection, server: asyncio.Task[None] | None) -> None:
    """Cancel the serving task when the reader goes away."""
    await connection.broken.wait()
    if server is not None:
        server.cancel()


def _accepts(endpoint: Endpoint) -> bool:
    """Tell whether the host accepts connections, as it does for a paused process."""
    return endpoint.listening and endpoint.gate.state in (GateState.OPEN, GateState.PAUSED)
