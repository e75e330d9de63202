"""Event loop whose time advances only when every task waits.

A run with a fixed seed takes the same steps on every machine, and minutes of simulated time pass in
milliseconds. Sockets must not be used on it.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any, TypeVar

T = TypeVar("T")

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)
"""Wall-clock time at virtual second zero."""

_TIMER_RESOLUTION_SECONDS = 1e-9


class StalledError(RuntimeError):
    """Every task waits for something that no timer will bring."""


class _VirtualSelector(selectors.SelectSelector):
    """Selector that advances its loop's time instead of waiting."""

    loop: "VirtualTimeLoop"

    def select(self, timeout: float | None = None) -> list[Any]:
        """Poll without waiting, then move the time by the timeout."""
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise StalledError("no task is ready and no timer is set")
        self.loop.advance(timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop on virtual time, starting at zero."""

    def __init__(self) -> None:
        selector = _VirtualSelector()
        super().__init__(selector)
        selector.loop = self
        self._virtual_seconds = 0.0
        self._clock_resolution = _TIMER_RESOLUTION_SECONDS

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_seconds

    def advance(self, seconds: float) -> None:
        """Move the time forward."""
        self._virtual_seconds += seconds


class VirtualClock:
    """Clock over the running virtual loop."""

    def now(self) -> datetime:
        """Return the virtual wall-clock time, in UTC."""
        return EPOCH + timedelta(seconds=self.monotonic())

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return asyncio.get_running_loop().time()

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for virtual seconds."""
        await asyncio.sleep(seconds)


def run_virtual(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end on a new virtual loop.

    :param work: the coroutine.
    :return: its result.
    """
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(work)
