"""Delays between attempts that are repeated until one succeeds."""

from dataclasses import dataclass
from random import Random

INITIAL_DELAY_SECONDS = 0.05
MAX_DELAY_SECONDS = 2.0
GROWTH_FACTOR = 2.0
_MAX_EXPONENT = 16


@dataclass(slots=True)
class Backoff:
    """Exponential backoff with jitter, which spreads out routers that retry at the same time."""

    rng: Random
    initial_delay_seconds: float = INITIAL_DELAY_SECONDS
    max_delay_seconds: float = MAX_DELAY_SECONDS
    attempts: int = 0

    def next_delay_seconds(self) -> float:
        """Return the delay before the next attempt, in seconds."""
        growth = GROWTH_FACTOR ** min(self.attempts, _MAX_EXPONENT)
        ceiling = min(self.max_delay_seconds, self.initial_delay_seconds * growth)
        self.attempts += 1
        return self.rng.uniform(ceiling / 2, ceiling)
