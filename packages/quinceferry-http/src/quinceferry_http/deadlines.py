"""Time limits that do not punish a client for the delays of its server."""

import asyncio
import math
from collections.abc import Callable

LATENESS_SECONDS = 0.5
"""A timer that is later than this grants as much again: what has arrived may not be read yet."""


class Deadline:
    """Time limit that can be started and stopped again and again.

    ``since`` is the event loop time of the start, infinite while it is stopped.

    :param on_end: called when the time has passed.
    """

    __slots__ = ("_loop", "_on_end", "_timer", "since")

    def __init__(self, loop: asyncio.AbstractEventLoop, on_end: Callable[[], None]) -> None:
        self._loop = loop
        self._on_end = on_end
        self._timer: asyncio.TimerHandle | None = None
        self.since = math.inf

    @property
    def is_running(self) -> bool:
        """Return whether the time passes."""
        return self._timer is not None

    def start(self, seconds: float) -> None:
        """Start anew."""
        self.stop()
        self.since = self._loop.time()
        self._timer = self._loop.call_later(seconds, self._end)

    def extend(self, seconds: float) -> None:
        """Grant more time from now on, without a new start."""
        since = self.since
        self.start(seconds)
        self.since = since

    def stop(self) -> None:
        """Stop; nothing is called any more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self.since = math.inf

    def _end(self) -> None:
        """Report the end, or grant more time if the timer is late itself."""
        if self._loop.time() - self._timer.when() > LATENESS_SECONDS:
            self.extend(LATENESS_SECONDS)
            return
        self._timer = None
        self._on_end()
