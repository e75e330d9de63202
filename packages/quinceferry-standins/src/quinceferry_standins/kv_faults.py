"""Faults and limits of the stand-in key-value service."""

import random
from dataclasses import dataclass
from enum import Enum

DEFAULT_WRITES_PER_SECOND = 400.0
DEFAULT_READS_PER_SECOND = 2000.0
DEFAULT_MAX_VALUE_BYTES = 1_000_000
DEFAULT_HISTORY_SIZE = 10_000


@dataclass(slots=True, frozen=True)
class KvLimits:
    """What the service admits; a watch call counts as one read."""

    writes_per_second: float = DEFAULT_WRITES_PER_SECOND
    reads_per_second: float = DEFAULT_READS_PER_SECOND
    max_value_bytes: int = DEFAULT_MAX_VALUE_BYTES
    history_size: int = DEFAULT_HISTORY_SIZE


class CallFate(Enum):
    """What the injected faults do to one call."""

    SERVED = "served"
    REFUSED = "refused"
    ANSWER_LOST = "answer_lost"


@dataclass(slots=True)
class KvFaults:
    """Faults in force, for the whole service or for one connection; fields may be set at any time.

    ``refuse_next`` and ``lose_next`` count down over matching writes. Probabilities apply to each
    matching write. Refused writes take no effect; a write whose answer is lost takes effect, but
    the caller sees only a timeout. ``key_prefix`` restricts these four to some keys.
    ``extra_latency_seconds`` is the mean of an exponentially distributed delay of each call.
    """

    outage: bool = False
    extra_latency_seconds: float = 0.0
    refuse_next: int = 0
    lose_next: int = 0
    refuse_probability: float = 0.0
    lose_probability: float = 0.0
    key_prefix: str = ""

    def clear(self) -> None:
        """Put everything back in order."""
        self.outage = False
        self.extra_latency_seconds = 0.0
        self.refuse_next = 0
        self.lose_next = 0
        self.refuse_probability = 0.0
        self.lose_probability = 0.0
        self.key_prefix = ""

    def draw_fate(self, rng: random.Random, key: str) -> CallFate:
        """Decide what happens to a write.

        :param rng: source of randomness.
        :param key: the key written.
        :return: its fate.
        """
        if not key.startswith(self.key_prefix):
            return CallFate.SERVED
        if self.refuse_next > 0:
            self.refuse_next -= 1
            return CallFate.REFUSED
        if self.lose_next > 0:
            self.lose_next -= 1
            return CallFate.ANSWER_LOST
        return self._draw_by_probability(rng)

    def draw_latency(self, rng: random.Random) -> float:
        """Draw the extra delay of one call, in seconds."""
        if self.extra_latency_seconds <= 0.0:
            return 0.0
        return rng.expovariate(1.0 / self.extra_latency_seconds)

    def _draw_by_probability(self, rng: random.Random) -> CallFate:
        if self.refuse_probability > 0.0 and rng.random() < self.refuse_probability:
            return CallFate.REFUSED
        if self.lose_probability > 0.0 and rng.random() < self.lose_probability:
            return CallFate.ANSWER_LOST
        return CallFate.SERVED
