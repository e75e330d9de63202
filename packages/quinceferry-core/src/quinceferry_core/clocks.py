"""Clocks passed to every component that reads the time or waits."""

import asyncio
import time
from datetime import UTC, datetime
from typing import Protocol


class Clock(Protocol):
    """Source of time and of delays."""

    def now(self) -> datetime:
        """Return the current wall-clock time, in UTC."""

    def monotonic(self) -> float:
        """Return seconds that never run backwards, from an arbitrary origin."""

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task.

        :param seconds: how long to wait; zero yields once.
        """


class SystemClock:
    """Clock of the operating system and of the running event loop."""

    def now(self) -> datetime:
        """Return the current wall-clock time, in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> float:
        """Return the event loop's time, in seconds."""
        return asyncio.get_running_loop().time()

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task on the running event loop."""
        await asyncio.sleep(seconds)


def suspended_seconds() -> float:
    """Return how long the machine was suspended since its start, which the steady clock leaves
    out."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(time.CLOCK_MONOTONIC)
