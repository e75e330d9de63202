"""Requests to stop a gateway, and when they were made."""

import asyncio


class StopRequest:
    """Request to stop, made at a time that may be known in bounds only.

    ``noted_at`` is not before the request; ``not_before`` is a bound from the other side, None if
    whoever made it knows none. Both are seconds on the monotonic clock.
    """

    def __init__(self) -> None:
        self._made = asyncio.Event()
        self.noted_at = 0.0
        self.not_before: float | None = None

    def make(self, noted_at: float, not_before: float | None = None) -> None:
        """Request the stop; a repeated request changes nothing."""
        if self._made.is_set():
            return
        self.noted_at = noted_at
        self.not_before = not_before
        self._made.set()

    @property
    def is_made(self) -> bool:
        """Return whether the stop is requested."""
        return self._made.is_set()

    async def wait(self) -> None:
        """Wait until the stop is requested."""
        await self._made.wait()
