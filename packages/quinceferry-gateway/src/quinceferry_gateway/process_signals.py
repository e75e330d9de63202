"""Notes when signals arrive, also while the event loop does not run.

Signal handlers of an event loop run when the loop does, which may be seconds after the signal. The
interpreter writes each signal to a descriptor as it arrives; a thread reads it and the time.
"""

import asyncio
import contextlib
import os
import signal
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

_READ_BYTES = 64


@dataclass(slots=True, frozen=True)
class SignalArrival:
    """A signal, and when it arrived, in seconds on the monotonic clock.

    ``noted_at`` is not before its arrival, and later only by as long as the process got no
    processor time. ``blocked_since`` is the time from which signals had been blocked if this one
    had to wait for that, else None.
    """

    number: int
    noted_at: float
    blocked_since: float | None = None


class SignalWatch:
    """Passes signals to an event loop, with the times of their arrival.

    Only one watch may be open in a process, in its main thread.

    :param numbers: the signals to receive.
    :param loop: where the handler is called.
    :param handler: called once for each signal.
    :param blocked_since: from when the signals have been blocked, on the monotonic clock in
        seconds; None if they have not.
    :param read_time: the monotonic clock, which must be callable from any thread.
    """

    def __init__(
        self,
        numbers: Iterable[signal.Signals],
        loop: asyncio.AbstractEventLoop,
        handler: Callable[[SignalArrival], None],
        blocked_since: float | None = None,
        read_time: Callable[[], float] = time.monotonic,
    ) -> None:
        self._numbers = frozenset(numbers)
        self._loop = loop
        self._handler = handler
        self._blocked_since = blocked_since
        self._read_time = read_time
        self._unread: frozenset[int] = frozenset()
        self._reader, self._writer = os.pipe()
        self._thread = threading.Thread(target=self._run, name="signals", daemon=True)

    def open(self) -> None:
        """Install the handlers, and unblock the signals.

        The handler is called at once for signals that arrived while they were blocked.
        """
        os.set_blocking(self._writer, False)
        signal.set_wakeup_fd(self._writer, warn_on_full_buffer=False)
        for number in self._numbers:
            signal.signal(number, _ignore)
        pending = self._numbers & signal.sigpending() if self._blocked_since else frozenset()
        self._unread = pending
        self._thread.start()
        signal.pthread_sigmask(signal.SIG_UNBLOCK, self._numbers)
        for number in pending:
            self._handler(SignalArrival(number, self._read_time(), self._blocked_since))

    def close(self) -> None:
        """Restore the default handlers and end the thread."""
        for number in self._numbers:
            signal.signal(number, signal.SIG_DFL)
        signal.set_wakeup_fd(-1)
        os.close(self._writer)
        self._thread.join()
        os.close(self._reader)

    def _run(self) -> None:
        """Read signals until the descriptor is closed."""
        while True:
            numbers = os.read(self._reader, _READ_BYTES)
            noted_at = self._read_time()
            if not numbers:
                return
            for number in numbers:
                self._pass_on(number, noted_at)

    def _pass_on(self, number: int, noted_at: float) -> None:
        """Call the handler in the event loop, unless that is closed."""
        if number not in self._numbers:
            return
        if number in self._unread:
            # The handler has been called for it when the watch was opened.
            self._unread -= {number}
            return
        with contextlib.suppress(RuntimeError):
            self._loop.call_soon_threadsafe(self._handler, SignalArrival(number, noted_at))


def _ignore(number: int, frame: object) -> None:
    """Do nothing; the interpreter has written the signal to the descriptor."""
