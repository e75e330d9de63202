"""Faults that can be injected between one router and one upstream."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from quinceferry_core.adapters import Dispatch


@dataclass(slots=True, frozen=True)
class RefuseConnection:
    """No connection comes about; nothing is sent."""


@dataclass(slots=True, frozen=True)
class LoseRequest:
    """The connection breaks on the way out; the upstream never sees the request."""


@dataclass(slots=True, frozen=True)
class LoseAnswer:
    """The upstream acts, but its answer to a call is lost."""


@dataclass(slots=True, frozen=True)
class Silence:
    """The connection delivers some chunks, then nothing more for good."""

    after_chunks: int = 0


@dataclass(slots=True, frozen=True)
class Stall:
    """The connection delivers some chunks, pauses, then delivers the rest late."""

    after_chunks: int
    seconds: float


@dataclass(slots=True, frozen=True)
class Break:
    """The connection breaks after some chunks; the upstream runs on."""

    after_chunks: int = 0


@dataclass(slots=True, frozen=True)
class Duplicate:
    """One chunk, counted from zero, is delivered twice."""

    chunk: int = 0


@dataclass(slots=True, frozen=True)
class Swap:
    """One chunk, counted from zero, is delivered after the next one."""

    chunk: int = 0


StreamFault = RefuseConnection | LoseRequest | Silence | Stall | Break | Duplicate | Swap
CallFault = RefuseConnection | LoseRequest | LoseAnswer


class OpenStream(Protocol):
    """A stream in progress on a link."""

    def silence(self) -> None:
        """Deliver nothing more."""

    def disconnect(self) -> None:
        """Break the connection."""


@dataclass(slots=True)
class Link:
    """Path between one router and one upstream; tests set its faults.

    ``stream_faults`` and ``call_faults`` hold one entry for each of the next streams and calls;
    None lets one pass. ``draw_fault`` is asked once ``stream_faults`` is empty.
    """

    latency_seconds: float = 0.0
    connect_timeout_seconds: float = 2.0
    stream_faults: deque[StreamFault | None] = field(default_factory=deque)
    call_faults: deque[CallFault | None] = field(default_factory=deque)
    draw_fault: Callable[[Dispatch], StreamFault | None] | None = None
    open_streams: list[OpenStream] = field(default_factory=list)
    _connected: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        """Begin connected."""
        self._connected.set()

    @property
    def partitioned(self) -> bool:
        """Return whether nothing passes."""
        return not self._connected.is_set()

    def partition(self) -> None:
        """Let nothing pass: new connections fail, open ones hold their events back."""
        self._connected.clear()

    def heal(self) -> None:
        """End a partition; events held back are delivered late."""
        self._connected.set()

    async def wait_connected(self) -> None:
        """Wait for the end of a partition."""
        await self._connected.wait()

    def silence_open_streams(self) -> None:
        """Make every open stream silent for good; new connections work."""
        for stream in list(self.open_streams):
            stream.silence()

    def break_open_streams(self) -> None:
        """Break every open stream; new connections work."""
        for stream in list(self.open_streams):
            stream.disconnect()

    def next_stream_fault(self, dispatch: Dispatch) -> StreamFault | None:
        """Return the fault of the next stream."""
        if self.stream_faults:
            return self.stream_faults.popleft()
        return self.draw_fault(dispatch) if self.draw_fault else None

    def next_call_fault(self) -> CallFault | None:
        """Return the fault of the next call."""
        return self.call_faults.popleft() if self.call_faults else None
