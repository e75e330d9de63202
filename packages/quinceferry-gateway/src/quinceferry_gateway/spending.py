"""How fast workspaces spend, seen from successive readings of the budget record."""

from collections import defaultdict, deque
from dataclasses import dataclass, field

AVERAGING_SECONDS = 4.0
"""Time over which spending is averaged; holders report in lumps, each every few seconds."""
MIN_SPAN_SECONDS = 1.0
"""Readings that lie closer together give no rate of their own."""


@dataclass(slots=True, frozen=True)
class _Reading:
    """Tokens that a workspace had spent at a time of the steady clock."""

    read_at: float
    spent: int


@dataclass(slots=True)
class _History:
    """Recent readings of one workspace, and the rate that the record named."""

    readings: deque[_Reading] = field(default_factory=deque)
    recorded_tokens_per_second: int = 0


class SpendingRates:
    """Averages the spending of each workspace over the last seconds.

    A gateway that has just started has no readings and takes the rate that the record names, which
    those before it have left there.
    """

    __slots__ = ("_histories_by_workspace",)

    def __init__(self) -> None:
        self._histories_by_workspace: defaultdict[str, _History] = defaultdict(_History)

    def add_reading(
        self, workspace: str, spent: int, recorded_tokens_per_second: int, now: float
    ) -> None:
        """Take a reading of the record.

        :param spent: all tokens that were reported as spent.
        :param recorded: tokens a second that the record names.
        """
        history = self._histories_by_workspace[workspace]
        history.recorded_tokens_per_second = recorded_tokens_per_second
        history.readings.append(_Reading(now, spent))
        while len(history.readings) > 2 and now - history.readings[1].read_at >= AVERAGING_SECONDS:
            history.readings.popleft()

    def tokens_per_second(self, workspace: str) -> int:
        """Return the rate of a workspace, zero when nothing is known."""
        history = self._histories_by_workspace[workspace]
        if not history.readings:
            return history.recorded_tokens_per_second
        first, last = history.readings[0], history.readings[-1]
        span_seconds = last.read_at - first.read_at
        if span_seconds < MIN_SPAN_SECONDS:
            return history.recorded_tokens_per_second
        return max(0, round((last.spent - first.spent) / span_seconds))
