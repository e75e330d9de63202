"""Clocks for every component that reads the time or waits."""

import asyncio
import time
from datetime import UTC, datetime
from typing import Protocol


class Clock(Protocol):
    """Source of the time and of delays."""

    def now(self) -> datetime:
        """Return the current wall-clock time, in UTC."""

    def monotonic(self) -> float:
        """Return the time of a clock that never goes backwards, in seconds from any origin."""

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task.

        :param seconds: duration; zero yields to the event loop once.
        """


class SystemClock:
    """Clock of the operating system and the running event loop."""

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
    """Return how long the machine was suspended since it booted, in seconds.

    The monotonic clock does not advance during a suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(time.CLOCK_MONOTONIC)
