"""How long an engine still reads prompts, and how long it will read a given one.

The load: engines read prompts in chunks between the tokens that they generate for others. Each
chunk holds all streams of the engine up, so that several long prompts in a row, or a single huge
one, keep every stream there silent for longer than its callers accept. Nothing that an engine
reports shows this in time: what was sent to it must be added up.
"""

from collections import deque
from dataclasses import dataclass

DEFAULT_SECONDS_PER_TOKEN = 1 / 60_000
"""Assumed until the first answers: between the 40,000 and 140,000 tokens a second of the engines
that were measured."""
MIN_BUCKET_TOKENS = 512
"""Prompts up to this size show what a first event takes besides reading."""
BUCKET_COUNT = 9
"""Size classes, each twice the one before; the last begins at 65,536 tokens."""
DECREASE_WEIGHT = 0.3
INCREASE_WEIGHT = 0.03
"""How far an estimate moves towards a shorter or a longer sample. Waiting behind others makes many
samples longer, kept prompts make a few shorter; between them lies an engine that was free. Shares
of 0.05 and 0.05 earned 0.02 of the worth less in the model of the engines."""


@dataclass(slots=True)
class _Prefill:
    """A prompt that an engine reads or will read."""

    number: int
    seconds: float
    ends_at: float


class PrefillQueue:
    """Prompts that one engine has still to read, in the order of their sending."""

    __slots__ = ("_next_number", "_prefills")

    def __init__(self) -> None:
        self._prefills: deque[_Prefill] = deque()
        self._next_number = 0

    def add(self, now: float, seconds: float) -> int:
        """Append a prompt and return the number under which it is kept."""
        starts_at = max(now, self._prefills[-1].ends_at) if self._prefills else now
        self._next_number += 1
        self._prefills.append(_Prefill(self._next_number, seconds, starts_at + seconds))
        return self._next_number

    def record_finished(self, number: int, now: float) -> None:
        """Note that a prompt was read, and with it all before; the rest begins now."""
        if not self._prefills or number < self._prefills[0].number:
            return
        while self._prefills and self._prefills[0].number <= number:
            self._prefills.popleft()
        starts_at = now
        for prefill in self._prefills:
            prefill.ends_at = starts_at + prefill.seconds
            starts_at = prefill.ends_at

    def backlog_seconds(self, now: float) -> float:
        """Return how long the engine will read what was sent to it so far."""
        while self._prefills and self._prefills[0].ends_at <= now:
            self._prefills.popleft()
        return self._prefills[-1].ends_at - now if self._prefills else 0.0


class PrefillTimes:
    """Learns from first events how long the engines of a service read a prompt.

    Sizes are kept apart, since reading a token takes longer the more tokens come before it.
    """

    __slots__ = ("_base_seconds", "_prefill_seconds_by_bucket")

    def __init__(self) -> None:
        self._base_seconds: float | None = None
        self._prefill_seconds_by_bucket: list[float | None] = [None] * BUCKET_COUNT

    @property
    def base_seconds(self) -> float:
        """Return what a first event takes besides reading; zero before it is known."""
        return self._base_seconds or 0.0

    def record_sample(self, tokens: int, seconds: float) -> None:
        """Take the time from sending a prompt to its first event.

        :param tokens: tokens that the engine had to read.
        """
        bucket = _bucket_index(tokens)
        if not bucket:
            self._base_seconds = _weighted_estimate(self._base_seconds, seconds)
            return
        # A class keeps the time of its smallest size, so that sizes within it compare.
        prefill = max(0.0, seconds - self.base_seconds) * _min_tokens(bucket) / tokens
        self._prefill_seconds_by_bucket[bucket] = _weighted_estimate(
            self._prefill_seconds_by_bucket[bucket], prefill
        )

    def estimate_seconds(self, tokens: int) -> float:
        """Return how long an engine reads so many tokens when nothing else is in its way."""
        for bucket in range(_bucket_index(tokens), 0, -1):
            estimate = self._prefill_seconds_by_bucket[bucket]
            if estimate is not None:
                return estimate * tokens / _min_tokens(bucket)
        return tokens * DEFAULT_SECONDS_PER_TOKEN


def _weighted_estimate(estimate: float | None, sample: float) -> float:
    """Return an estimate near the lower end of its samples."""
    if estimate is None:
        return sample
    return estimate + (DECREASE_WEIGHT if sample < estimate else INCREASE_WEIGHT) * (
        sample - estimate
    )


def _bucket_index(tokens: int) -> int:
    """Return the size class of a prompt; class zero shows the base time."""
    return min(BUCKET_COUNT - 1, (max(tokens, 0) // MIN_BUCKET_TOKENS).bit_length())


def _min_tokens(bucket: int) -> int:
    """Return the smallest size of a class other than zero."""
    return MIN_BUCKET_TOKENS << (bucket - 1)
