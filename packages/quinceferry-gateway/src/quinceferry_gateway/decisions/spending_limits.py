"""Bounds what a holder may have spent when it terminates, and proves it to its successor.

Each holder has drawn enough tokens for an outage of the store, in which it cannot draw. If all that
it had drawn counted as spent when it is killed, a few kills of all holders would use up the budgets
of a whole day. So the record has a second bound for each holder, its spending limit, which it
raises ahead of demand with each write. While it writes regularly, it spends no more than the limit;
only in an outage does it go on to all that it has drawn.

The successor on the same vm proves that its predecessor had not come to that. Each write carries
the time at which it was begun, on the clocks of the machine, and the limit binds for a fixed time
from then on. If the successor listened on the addresses of its predecessor within that time, this
one had terminated while the limit was binding, and whatever exceeds it is unspent. The start of the
successor's process shows less: both may run for a moment.
"""

from quinceferry_core.clocks import MachineTime

MAX_CLOCK_DEVIATION_SECONDS = 0.5
"""Maximum difference between the times that the clocks of the machine show as elapsed. They differ
if the machine has booted without a new boot identifier, or if its time of day was set."""


class LimitPeriod:
    """Determines while a holder runs whether its spending limits are binding.

    :param seconds: how long the limits are binding after a write was begun.
    """

    __slots__ = ("_is_confirmed", "_sent", "seconds")

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self._sent: MachineTime | None = None
        self._is_confirmed = True

    def begin_write(self, now: MachineTime) -> MachineTime:
        """Return the time that a write of the record carries; the limits are binding from then on.

        A write that repeats one without a confirmation carries the same time. A write that was not
        confirmed may still take effect, and with a later time it would extend the period after it
        seemed to be over.
        """
        if self._is_confirmed or self._sent is None:
            self._sent = now
            self._is_confirmed = False
        return self._sent

    def confirm(self) -> None:
        """Record that the store has confirmed the last write."""
        self._is_confirmed = True

    def is_binding(self, now: MachineTime) -> bool:
        """Return whether spending is limited, as far as any write has been sent."""
        return self._sent is not None and self.age_seconds(now) < self.seconds

    def remaining_seconds(self, now: MachineTime) -> float:
        """Return how much longer the limits are binding if no write follows."""
        return max(0.0, self.seconds - self.age_seconds(now)) if self._sent else 0.0

    def age_seconds(self, now: MachineTime) -> float:
        """Return the time since the last write was begun, infinite without one."""
        return now.boot_seconds - self._sent.boot_seconds if self._sent else float("inf")


def missing_proof(sent: MachineTime, seconds: float, successor: MachineTime) -> str:
    """Return why a successor cannot prove that a limit was binding to the end, empty if it can.

    :param sent: time that the last write of its predecessor carries.
    :param seconds: how long the limits were binding from then on.
    :param successor: when the successor listened on the addresses of its predecessor, which had
        therefore terminated.
    """
    if not sent.boot_id or sent.boot_id != successor.boot_id:
        return "the machine has booted"
    elapsed_seconds = successor.boot_seconds - sent.boot_seconds
    wall_seconds = successor.wall_seconds - sent.wall_seconds
    if abs(wall_seconds - elapsed_seconds) > MAX_CLOCK_DEVIATION_SECONDS:
        return "the clocks of the machine disagree"
    if not 0 <= elapsed_seconds < seconds:
        return f"the limit was binding for {seconds:g} s, {elapsed_seconds:.3f} s have passed"
    return ""
