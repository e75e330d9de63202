"""Bounded buffer between an upstream's stream and a caller that may read slowly."""

import asyncio
from collections import deque

from quinceferry_core.outcomes import AnswerEvent


class AnswerBuffer:
    """Holds at most ``max_events`` events, plus the one that ends the answer.

    :param max_events: number of buffered events from which the writer waits.
    """

    def __init__(self, max_events: int) -> None:
        self._max_events = max_events
        self._events: deque[AnswerEvent] = deque()
        self._error: BaseException | None = None
        self._is_closed = False
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()

    async def put(self, event: AnswerEvent, timeout_seconds: float) -> None:
        """Add an event, waiting while the buffer is full.

        :raises TimeoutError: the reader read no event within the timeout.
        """
        while len(self._events) >= self._max_events:
            self._writable.clear()
            async with asyncio.timeout(timeout_seconds):
                await self._writable.wait()
        self._events.append(event)
        self._readable.set()

    def finish(self, event: AnswerEvent) -> None:
        """Add the final event, even if the buffer is full."""
        self._events.append(event)
        self._close()

    def fail(self, error: BaseException) -> None:
        """Raise an error in the reader after the buffered events."""
        self._error = error
        self._close()

    async def get(self) -> AnswerEvent | None:
        """Return the next event, waiting for one, or None after the final event.

        :raises BaseException: the error passed to :meth:`fail`.
        """
        while not self._events and not self._is_closed:
            self._readable.clear()
            await self._readable.wait()
        if self._events:
            event = self._events.popleft()
            self._writable.set()
            return event
        if self._error is not None:
            raise self._error
        return None

    def _close(self) -> None:
        self._is_closed = True
        self._readable.set()
