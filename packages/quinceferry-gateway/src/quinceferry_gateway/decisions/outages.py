"""Lengths of the outages of the store, as one gateway observes them.

No tokens can be drawn in an outage, so all gateways serve from what their holders drew before. Two
seconds of spending are used up after the first quarter of an outage of eight seconds, and every
later request of the workspace is refused. Outages of one deployment resemble each other, so the
longest of the last ones tells how much to hold for the next.
"""

from collections import deque

MAX_RECENT_OUTAGES = 8
"""Number of outages that are remembered."""


class OutageHistory:
    """Records which calls to the store are answered. Times are those of the monotonic clock."""

    __slots__ = ("_answered_at", "_is_failing", "_recent_seconds")

    def __init__(self) -> None:
        self._answered_at: float | None = None
        self._is_failing = False
        self._recent_seconds: deque[float] = deque(maxlen=MAX_RECENT_OUTAGES)

    def record_answer(self, now: float) -> None:
        """Record an answered call, which ends an outage.

        An outage counts from the last answer before it, since nothing was drawn after that.
        """
        if self._is_failing and self._answered_at is not None:
            self._recent_seconds.append(now - self._answered_at)
        self._is_failing = False
        self._answered_at = now

    def record_failure(self) -> None:
        """Record a call that was not answered."""
        self._is_failing = True

    @property
    def longest_seconds(self) -> float:
        """Return the length of the longest recent outage, zero if there was none."""
        return max(self._recent_seconds, default=0.0)
