"""Request rates of upstreams that are cold, shortly after their start.

A cold upstream has no requests, so every gateway prefers it at the same moment. Eighty gateways
with three requests a second each overload one that tolerates eleven before any of them sees its
load. The limit applies to all gateways together, so a single one grants the permits for it.
"""

from dataclasses import dataclass

from quinceferry_gateway.decisions.rate_limits import MIN_REQUESTS_PER_SECOND, REDUCED_RATE_SHARE

USED_LIMIT_SHARE = 0.8
"""Share of the limit that the permits of a second may use; the rest is for requests that are
delayed on their way and arrive together."""
EXTRA_REQUESTS = 2
"""Permits of one second beyond the rate: the first one of the window, for each of two issuers."""


@dataclass(slots=True, frozen=True)
class ColdStartLimit:
    """How far requests may exceed the rate that a cold upstream tolerates.

    In any second, all gateways together may send ``excess`` times that rate and ``slack`` more.
    """

    excess: float = 1.0
    slack: float = 0.0

    def permitted_rate(self, tolerated_per_second: float) -> float:
        """Return the rate of permits for a cold upstream, in requests a second.

        While another gateway takes over the permits, both grant some, the new one at a reduced
        rate.
        """
        limit_per_second = tolerated_per_second * self.excess + self.slack
        usable_per_second = USED_LIMIT_SHARE * limit_per_second - EXTRA_REQUESTS
        rate = min(tolerated_per_second, usable_per_second / (1 + REDUCED_RATE_SHARE))
        return max(MIN_REQUESTS_PER_SECOND, rate)


class ColdPeriod:
    """Until when one lifetime of an upstream is cold. Times are those of the monotonic clock."""

    __slots__ = ("_until",)

    def __init__(self) -> None:
        self._until = float("-inf")

    def extend(self, until: float, now: float) -> bool:
        """Extend the period, and return whether a new one begins."""
        begins = until > now >= self._until
        self._until = max(self._until, until)
        return begins

    def remaining_seconds(self, now: float) -> float:
        """Return for how long the upstream stays cold, zero if it is not."""
        return max(0.0, self._until - now)
