"""Delays between the attempts of one call."""

import random
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class RetryPolicy:
    """Number of attempts of a call, and the delays between them in seconds."""

    max_attempts: int = 8
    base_delay_seconds: float = 0.2
    max_delay_seconds: float = 5.0

    def delay_seconds(
        self, attempt: int, retry_after_seconds: float, generator: random.Random
    ) -> float:
        """Return the delay before the next attempt, with jitter.

        :param attempt: number of attempts made so far, at least one.
        :param retry_after_seconds: minimum delay requested by the server.
        :param generator: random generator for the jitter.
        """
        ceiling = min(self.max_delay_seconds, self.base_delay_seconds * 2 ** (attempt - 1))
        return retry_after_seconds + generator.uniform(0.0, ceiling)
