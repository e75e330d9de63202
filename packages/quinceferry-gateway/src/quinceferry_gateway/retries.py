"""Retry budget of the fleet, of which each gateway uses its share."""

from collections import deque

from quinceferry_core.clocks import Clock

USABLE_SHARE = 0.8
"""Share of the budget that is used; the rest allows for gateways that start within a window."""
GATEWAY_MEMORY_SECONDS = 60.0
"""How long a gateway that is no longer listed counts. One that is cut off from the store is no
member any more when its lease ends, and goes on using its share."""


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
        self._counts: deque[tuple[float, int]] = deque()

    def count_request(self) -> None:
        """Count a request of a caller."""
        now = self._clock.monotonic()
        self._forget_before(now - self._window_seconds)
        self._requests.append(now)

    def try_acquire(self, gateways: int) -> bool:
        """Take one retry from the budget; return whether this gateway's share had one left.

        The slack is divided by all gateways that may use the budget, whether this one reaches them
        or not: if each part of a partitioned fleet divided it by its own size, they would use a
        multiple of it together.

        :param gateways: gateways that are listed now, this one included.
        """
        now = self._clock.monotonic()
        self._forget_before(now - self._window_seconds)
        allowed = self._ratio * len(self._requests) + self._slack / self._largest_count(
            gateways, now
        )
        if len(self._retries) + 1 > USABLE_SHARE * allowed:
            return False
        self._retries.append(now)
        return True

    def _largest_count(self, gateways: int, now: float) -> int:
        """Return the largest number of gateways that were listed at a time."""
        counts = self._counts
        while counts and counts[0][0] < now - GATEWAY_MEMORY_SECONDS:
            counts.popleft()
        while counts and counts[-1][1] <= gateways:
            counts.pop()
        counts.append((now, gateways))
        return counts[0][1]

    @property
    def remembered(self) -> int:
        """Return the number of requests and retries that are remembered."""
        return len(self._requests) + len(self._retries)

    def _forget_before(self, time: float) -> None:
        """Forget requests and retries that no window contains any more."""
        for times in (self._requests, self._retries):
            while times and times[0] < time:
                times.popleft()
