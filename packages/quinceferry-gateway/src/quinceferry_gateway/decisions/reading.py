"""How long an engine still reads prompts, and how long it will read a given one.

The load: engines read prompts in chunks between the tokens that they generate for others. Each
chunk holds all streams of the engine up, so that several long prompts in a row, or a single huge
one, keep every stream there silent for longer than its callers accept. Nothing that an engine
reports shows this in time: what was sent to it must be added up.
"""

from collections import deque
from dataclasses import dataclass

FIRST_SECONDS_PER_TOKEN = 1 / 60_000
"""Assumed until the first answers: between the 40,000 and 140,000 tokens a second of the engines
that were measured."""
SMALLEST_BUCKET_TOKENS = 512
"""Prompts up to this size show what a first event takes besides reading."""
BUCKETS = 9
"""Size classes, each twice the one before; the last begins at 65,536 tokens."""
FALL_SHARE = 0.3
RISE_SHARE = 0.03
"""How far an estimate moves towards a shorter or a longer sample. Waiting behind others makes many
samples longer, kept prompts make a few shorter; between them lies an engine that was free. Shares
of 0.05 and 0.05 earned 0.02 of the worth less in the model of the engines."""


@dataclass(slots=True)
class _Reading:
    """A prompt that an engine reads or will read."""

    number: int
    seconds: float
    ends_at: float


class ReadingQueue:
    """Prompts that one engine has still to read, in the order of their sending."""

    __slots__ = ("_next_number", "_readings")

    def __init__(self) -> None:
        self._readings: deque[_Reading] = deque()
        self._next_number = 0

    def add(self, now: float, seconds: float) -> int:
        """Append a prompt and return the number under which it is kept."""
        begins_at = max(now, self._readings[-1].ends_at) if self._readings else now
        self._next_number += 1
        self._readings.append(_Reading(self._next_number, seconds, begins_at + seconds))
        return self._next_number

    def finished(self, number: int, now: float) -> None:
        """Note that a prompt was read, and with it all before; the rest begins now."""
        if not self._readings or number < self._readings[0].number:
            return
        while self._readings and self._readings[0].number <= number:
            self._readings.popleft()
        begins_at = now
        for reading in self._readings:
            reading.ends_at = begins_at + reading.seconds
            begins_at = reading.ends_at

    def backlog_seconds(self, now: float) -> float:
        """Return how long the engine will read what was sent to it so far."""
        while self._readings and self._readings[0].ends_at <= now:
            self._readings.popleft()
        return self._readings[-1].ends_at - now if self._readings else 0.0


class ReadingRates:
    """Learns from first events how long the engines of a service read a prompt.

    Sizes are kept apart, since reading a token takes longer the more tokens come before it.
    """

    __slots__ = ("_base_seconds", "_reading_seconds")

    def __init__(self) -> None:
        self._base_seconds: float | None = None
        self._reading_seconds: list[float | None] = [None] * BUCKETS

    @property
    def base_seconds(self) -> float:
        """Return what a first event takes besides reading; zero before it is known."""
        return self._base_seconds or 0.0

    def observed(self, tokens: int, seconds: float) -> None:
        """Take the time from sending a prompt to its first event.

        :param tokens: tokens that the engine had to read.
        """
        bucket = _bucket(tokens)
        if not bucket:
            self._base_seconds = _towards(self._base_seconds, seconds)
            return
        # A class keeps the time of its smallest size, so that sizes within it compare.
        reading = max(0.0, seconds - self.base_seconds) * _smallest(bucket) / tokens
        self._reading_seconds[bucket] = _towards(self._reading_seconds[bucket], reading)

    def seconds(self, tokens: int) -> float:
        """Return how long an engine reads so many tokens when nothing else is in its way."""
        for bucket in range(_bucket(tokens), 0, -1):
            known = self._reading_seconds[bucket]
            if known is not None:
                return known * tokens / _smallest(bucket)
        return tokens * FIRST_SECONDS_PER_TOKEN


def _towards(known: float | None, sample: float) -> float:
    """Return an estimate near the lower end of its samples."""
    if known is None:
        return sample
    return known + (FALL_SHARE if sample < known else RISE_SHARE) * (sample - known)


def _bucket(tokens: int) -> int:
    """Return the size class of a prompt; class zero shows the base time."""
    return min(BUCKETS - 1, (max(tokens, 0) // SMALLEST_BUCKET_TOKENS).bit_length())


def _smallest(bucket: int) -> int:
    """Return the smallest size of a class other than zero."""
    return SMALLEST_BUCKET_TOKENS << (bucket - 1)
