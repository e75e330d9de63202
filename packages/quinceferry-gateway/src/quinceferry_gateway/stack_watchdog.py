"""Writes where a process is when its event loop has run nothing for long.

A step that never ends keeps the loop from logging it. The dump comes from a thread that needs
neither the event loop nor the interpreter lock.
"""

import faulthandler
from typing import IO

STALL_SECONDS = 2.0
"""Time without a sign of life after which the stacks of all threads are written."""


class StackWatchdog:
    """Dumps the stacks of all threads unless it is rearmed in time. A process has only one.

    :param file: receives the dump; it must have a file descriptor.
    :param stall_seconds: time after which the stacks are written.
    """

    def __init__(self, file: IO[str], stall_seconds: float = STALL_SECONDS) -> None:
        self._file = file
        self._stall_seconds = stall_seconds

    def rearm(self) -> None:
        """Start the time anew."""
        faulthandler.dump_traceback_later(self._stall_seconds, file=self._file)

    def disarm(self) -> None:
        """Write no more dumps."""
        faulthandler.cancel_dump_traceback_later()
