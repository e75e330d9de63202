"""Clocks for every component that reads the time or waits."""

import asyncio
import time
from dataclasses import dataclass
from datetime import UTC, datetime
from functools import cache
from pathlib import Path
from typing import Protocol

BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")


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


@dataclass(slots=True, frozen=True)
class MachineTime:
    """Time on the clocks of one machine, which processes that follow each other there can compare.

    :param boot_id: identifies the boot of the machine, empty if it is unknown.
    :param boot_seconds: time since the boot, including suspensions.
    :param wall_seconds: time of day, as a Unix timestamp.
    """

    boot_id: str
    boot_seconds: float
    wall_seconds: float


@cache
def boot_id() -> str:
    """Return the identifier of the boot of this machine, empty if it is unknown."""
    try:
        return BOOT_ID_FILE.read_text().strip()
    except OSError:
        return ""


def machine_time() -> MachineTime:
    """Return the current time on the clocks of this machine."""
    return MachineTime(boot_id(), time.clock_gettime(time.CLOCK_BOOTTIME), time.time())


def suspended_seconds() -> float:
    """Return how long the machine was suspended since it booted, in seconds.

    The monotonic clock does not advance during a suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(time.CLOCK_MONOTONIC)
