"""The fleet's budget of repeated sends, of which each gateway uses its share."""

from collections import deque

from quinceferry_core.clocks import Clock

USABLE_SHARE = 0.8
"""Part of the budget that is used; the rest covers members that come and go within a window."""


class RetryBudget:
    """Bounds the sends beyond the first of each request, for one service.

    :param ratio: repeats allowed for each request of a window.
    :param slack: repeats allowed to the whole fleet in a window besides.
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
        """Note a request that callers sent."""
        self._requests.append(self._clock.monotonic())

    def try_acquire(self, members: int) -> bool:
        """Take one repeat out of the budget, if this gateway's share has one left.

        :param members: gateways that share the budget.
        """
        now = self._clock.monotonic()
        for times in (self._requests, self._retries):
            while times and now - times[0] > self._window_seconds:
                times.popleft()
        allowed = self._ratio * len(self._requests) + self._slack / max(1, members)
        if len(self._retries) + 1 > USABLE_SHARE * allowed:
            return False
        self._retries.append(now)
        return True
