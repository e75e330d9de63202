"""Stand-in for an upstream with slots and a queue, which fails if it has to reject too many."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

import h11

from quinceferry_standins.managed_upstream import Behaviour, Declined, ManagedUpstream, Seen

MAX_REJECTIONS = b"server-brittle"
LOAD = b"x-quinceferry-runner-load"
WINDOW_SECONDS = 1.0
"""Time in which rejections are counted."""


@dataclass(slots=True)
class SlottedUpstream(ManagedUpstream):
    """Runs as many requests as it has slots, queues some more and rejects all others.

    While ``announced`` is not empty, its answers have it as the header about rejections. Once
    ``max_rejections`` is set, the upstream crashes when it rejects more in a second.
    ``rejected_at`` has the times of all rejections on the event loop's clock.
    """

    slots: int = 6
    queue: int = 24
    announced: str = ""
    max_rejections: int | None = None
    rejected_at: list[float] = field(default_factory=list)
    running: int = 0
    peak_waiting: int = 0
    _waiting: deque[asyncio.Future[None]] = field(default_factory=deque)

    async def _play(
        self,
        behaviour: Behaviour,
        seen: Seen,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run a request in a slot, or reject it."""
        if not isinstance(behaviour, Declined) and not self._has_room():
            behaviour = Declined()
            self._record_rejection()
        if isinstance(behaviour, Declined):
            await ManagedUpstream._play(self, behaviour, seen, connection, writer)
            return
        await self._take_slot()
        try:
            await ManagedUpstream._play(self, behaviour, seen, connection, writer)
        finally:
            self._release_slot()

    def _has_room(self) -> bool:
        """Return whether a request may run or wait."""
        return self.running < self.slots or len(self._waiting) < self.queue

    def _record_rejection(self) -> None:
        """Count a rejection, and crash if there were too many."""
        now = asyncio.get_running_loop().time()
        self.rejected_at.append(now)
        recent = sum(at > now - WINDOW_SECONDS for at in self.rejected_at)
        if self.max_rejections is not None and recent > self.max_rejections:
            self.crash()

    async def _take_slot(self) -> None:
        """Wait for a slot, first come, first served."""
        if self.running < self.slots:
            self.running += 1
            return
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        self.peak_waiting = max(self.peak_waiting, len(self._waiting))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self._release_slot()
            elif turn in self._waiting:
                self._waiting.remove(turn)
            raise

    def _release_slot(self) -> None:
        """Pass a slot on to the next request that waits, if any."""
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1

    def _announcement_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the load and announcement headers that apply."""
        headers = ManagedUpstream._announcement_headers(self)
        load = f"{self.running},{len(self._waiting)},{self.slots}"
        headers.append((LOAD, load.encode()))
        return [*headers, (MAX_REJECTIONS, self.announced.encode())] if self.announced else headers
