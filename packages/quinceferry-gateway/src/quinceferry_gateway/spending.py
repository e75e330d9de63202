"""Measures how fast workspaces spend and draw tokens from readings of the budget record."""

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from quinceferry_gateway.budgets import WorkspaceBudget

AVERAGING_SECONDS = 4.0
"""Time over which spending is averaged; holders report only every few seconds."""
MIN_SPAN_SECONDS = 1.0
"""Minimum time between the first and last reading; a shorter span gives no rate."""


@dataclass(slots=True, frozen=True)
class _Reading:
    """Tokens that a workspace had spent, and all drawn, at a time on the monotonic clock."""

    read_at: float
    spent: int
    drawn: int


@dataclass(slots=True)
class _History:
    """Recent readings of one workspace, and the spending rate stored in the record."""

    readings: deque[_Reading] = field(default_factory=deque)
    recorded_tokens_per_second: int = 0


class SpendingRates:
    """Averages the spending of each workspace over the last seconds.

    A gateway that has just started has too few readings and uses the rate that other holders stored
    in the record.
    """

    __slots__ = ("_histories_by_workspace",)

    def __init__(self) -> None:
        self._histories_by_workspace: defaultdict[str, _History] = defaultdict(_History)

    def add_reading(self, workspace: str, budget: WorkspaceBudget, now: float) -> None:
        """Add a reading of the record.

        :param budget: budget of the workspace, just read.
        """
        history = self._histories_by_workspace[workspace]
        history.recorded_tokens_per_second = budget.tokens_per_second
        drawn = budget.spent + budget.outstanding
        history.readings.append(_Reading(now, budget.spent, drawn))
        while len(history.readings) > 2 and now - history.readings[1].read_at >= AVERAGING_SECONDS:
            history.readings.popleft()

    def tokens_per_second(self, workspace: str) -> int:
        """Return the spending rate of a workspace, zero if it is unknown."""
        return self._rate(workspace, lambda reading: reading.spent)

    def drawn_per_second(self, workspace: str) -> int:
        """Return the rate at which holders draw; requests draw before they spend."""
        return self._rate(workspace, lambda reading: reading.drawn)

    def _rate(self, workspace: str, count: Callable[[_Reading], int]) -> int:
        """Return the rate of a count, the recorded spending rate while there are few readings."""
        history = self._histories_by_workspace[workspace]
        if not history.readings:
            return history.recorded_tokens_per_second
        first, last = history.readings[0], history.readings[-1]
        span_seconds = last.read_at - first.read_at
        if span_seconds < MIN_SPAN_SECONDS:
            return history.recorded_tokens_per_second
        return max(0, round((count(last) - count(first)) / span_seconds))
