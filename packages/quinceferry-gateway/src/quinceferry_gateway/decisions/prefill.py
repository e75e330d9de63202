"""Estimates of the prefill backlog of an engine and of the prefill time of a prompt.

Engines prefill prompts in chunks between the tokens that they generate for other requests. Each
chunk delays all streams of the engine, so several long prompts in a row, or a single very long one,
pause every stream there for longer than its callers accept. No report of an engine shows this in
time, so the gateway adds up what was sent to it.
"""

from collections import deque
from dataclasses import dataclass

DEFAULT_SECONDS_PER_TOKEN = 1 / 60_000
"""Assumed prefill time until the first samples, between the 40,000 and 140,000 tokens a second of
real engines."""
MIN_BUCKET_TOKENS = 512
"""Prompts below this size yield samples of the base time: the time to a first event without
prefill."""
BUCKET_COUNT = 9
"""Number of size classes. Each begins at twice the size of the one before, the last at 65,536
tokens."""
DECREASE_WEIGHT = 0.3
INCREASE_WEIGHT = 0.03
"""Weights of a sample that is shorter or longer than the estimate. Waiting behind other prompts
makes many samples longer and cached prompts make a few shorter; the estimate should settle between
them, at the time of an idle engine. With weights of 0.05 and 0.05, requests earn 0.02 less of their
value in the engine model."""


@dataclass(slots=True)
class _Prefill:
    """A prompt in the queue of an engine, with its estimated prefill time."""

    number: int
    seconds: float
    ends_at: float


class PrefillQueue:
    """Prompts that one engine has yet to prefill, in the order in which they were sent."""

    __slots__ = ("_next_number", "_prefills")

    def __init__(self) -> None:
        self._prefills: deque[_Prefill] = deque()
        self._next_number = 0

    def add(self, now: float, seconds: float) -> int:
        """Append a prompt and return its number in the queue."""
        starts_at = max(now, self._prefills[-1].ends_at) if self._prefills else now
        self._next_number += 1
        self._prefills.append(_Prefill(self._next_number, seconds, starts_at + seconds))
        return self._next_number

    def record_finished(self, number: int, now: float) -> None:
        """Remove a prompt that was prefilled and all before it; the next one starts now."""
        if not self._prefills or number < self._prefills[0].number:
            return
        while self._prefills and self._prefills[0].number <= number:
            self._prefills.popleft()
        starts_at = now
        for prefill in self._prefills:
            prefill.ends_at = starts_at + prefill.seconds
            starts_at = prefill.ends_at

    def backlog_seconds(self, now: float) -> float:
        """Return the estimated time until the engine has prefilled all prompts sent so far."""
        while self._prefills and self._prefills[0].ends_at <= now:
            self._prefills.popleft()
        return self._prefills[-1].ends_at - now if self._prefills else 0.0


class PrefillTimes:
    """Learns from first events how long the engines of a service take to prefill a prompt.

    Estimates are kept by size class, since prefill of a token takes longer the more tokens precede
    it.
    """

    __slots__ = ("_base_seconds", "_prefill_seconds_by_bucket")

    def __init__(self) -> None:
        self._base_seconds: float | None = None
        self._prefill_seconds_by_bucket: list[float | None] = [None] * BUCKET_COUNT

    @property
    def base_seconds(self) -> float:
        """Return the time to a first event without prefill; zero before it is known."""
        return self._base_seconds or 0.0

    def record_sample(self, tokens: int, seconds: float) -> None:
        """Record the time from sending a prompt to its first event.

        :param tokens: tokens that the engine had to prefill.
        """
        bucket = _bucket_index(tokens)
        if not bucket:
            self._base_seconds = _weighted_estimate(self._base_seconds, seconds)
            return
        # A class stores the time for its smallest size, so that samples of other sizes compare.
        prefill = max(0.0, seconds - self.base_seconds) * _min_tokens(bucket) / tokens
        self._prefill_seconds_by_bucket[bucket] = _weighted_estimate(
            self._prefill_seconds_by_bucket[bucket], prefill
        )

    def estimate_seconds(self, tokens: int) -> float:
        """Return how long an idle engine takes to prefill so many tokens."""
        for bucket in range(_bucket_index(tokens), 0, -1):
            estimate = self._prefill_seconds_by_bucket[bucket]
            if estimate is not None:
                return estimate * tokens / _min_tokens(bucket)
        return tokens * DEFAULT_SECONDS_PER_TOKEN


def _weighted_estimate(estimate: float | None, sample: float) -> float:
    """Return a new estimate, which stays near the lower end of its samples."""
    if estimate is None:
        return sample
    return estimate + (DECREASE_WEIGHT if sample < estimate else INCREASE_WEIGHT) * (
        sample - estimate
    )


def _bucket_index(tokens: int) -> int:
    """Return the size class of a prompt; class zero yields the base time."""
    return min(BUCKET_COUNT - 1, (max(tokens, 0) // MIN_BUCKET_TOKENS).bit_length())


def _min_tokens(bucket: int) -> int:
    """Return the smallest size in tokens of a class other than zero."""
    return MIN_BUCKET_TOKENS << (bucket - 1)
