"""Retry budget of the fleet, of which each gateway uses its share."""

from collections import deque

from quinceferry_core.clocks import Clock

USABLE_SHARE = 0.8
"""Share of the budget that is used; the rest allows for members that join or leave within a window.
"""


class RetryBudget:
    """Limits the retries of one service.

    :param ratio: retries allowed per request of a window.
    :param slack: additional retries allowed to the whole fleet in a window.
    :param window_seconds: length of a window.
    """

    def __init__(self, clock: Clock, ratio: float, slack: float, window_seconds: float) -> None:
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._window_seconds = window_seconds
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def count_request(self) -> None:
        """Count a request of a caller."""
        now = self._clock.monotonic()
        self._forget_before(now - self._window_seconds)
        self._requests.append(now)

    def try_acquire(self, members: int) -> bool:
        """Take one retry from the budget; return whether this gateway's share had one left.

        :param members: gateways that share the budget.
        """
        now = self._clock.monotonic()
        self._forget_before(now - self._window_seconds)
        allowed = self._ratio * len(self._requests) + self._slack / max(1, members)
        if len(self._retries) + 1 > USABLE_SHARE * allowed:
            return False
        self._retries.append(now)
        return True

    @property
    def remembered(self) -> int:
        """Return the number of requests and retries that are remembered."""
        return len(self._requests) + len(self._retries)

    def _forget_before(self, time: float) -> None:
        """Forget requests and retries that no window contains any more."""
        for times in (self._requests, self._retries):
            while times and times[0] < time:
                times.popleft()
