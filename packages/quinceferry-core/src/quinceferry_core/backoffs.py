"""Delays between tries that must go on until one succeeds."""

from dataclasses import dataclass
from random import Random

FIRST_SECONDS = 0.05
LONGEST_SECONDS = 2.0
GROWTH = 2.0
_MAX_DOUBLINGS = 16


@dataclass(slots=True)
class Backoff:
    """Exponential delays with jitter, so that routers which retry together spread out."""

    rng: Random
    first_seconds: float = FIRST_SECONDS
    longest_seconds: float = LONGEST_SECONDS
    tries: int = 0

    def next_seconds(self) -> float:
        """Return how long to wait before the next try."""
        growth = GROWTH ** min(self.tries, _MAX_DOUBLINGS)
        ceiling = min(self.longest_seconds, self.first_seconds * growth)
        self.tries += 1
        return self.rng.uniform(ceiling / 2, ceiling)
