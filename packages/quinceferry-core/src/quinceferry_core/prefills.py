"""Estimate of the prompt tokens that an engine has still to read for this router."""

from dataclasses import dataclass, field

from quinceferry_core.journals import RequestKey

MAX_PLACEMENT_ALLOWANCE_SECONDS = 1.0
"""Longest time whose reading is set off against prompts that are not on their way yet."""


@dataclass(slots=True)
class PrefillBacklog:
    """What this router has at one engine and its engine has still to read.

    Dispatched prompts are a queue that drains at the engine's rate, and never more than the prompts
    whose first token has not come: an engine may be slow to its first token although it has read
    the prompt. Prompts that are placed but not dispatched, since their journal entry is not
    committed, count as far as they exceed what the engine reads while they wait; so what is
    placed in one go does not pile up.

    :param prefill_tokens_per_second: prompt tokens the engine reads a second.
    """

    prefill_tokens_per_second: float
    _placed_by_key: dict[RequestKey, tuple[int, float]] = field(default_factory=dict)
    _sent_by_key: dict[RequestKey, int] = field(default_factory=dict)
    _queue_tokens: float = 0.0
    _queue_updated_at: float = 0.0

    def record_placement(self, key: RequestKey, tokens: int, now: float) -> None:
        """Note a prompt that will be dispatched."""
        self._sent_by_key.pop(key, None)
        self._placed_by_key[key] = tokens, now

    def record_dispatch(self, key: RequestKey, now: float) -> None:
        """Note that a placed prompt leaves for the engine."""
        tokens, _ = self._placed_by_key.pop(key, (0, now))
        if tokens:
            self._queue_tokens, self._queue_updated_at = self._queued_tokens(now) + tokens, now
            self._sent_by_key[key] = tokens

    def remove(self, key: RequestKey) -> None:
        """Note that a prompt has its first token or has left the engine."""
        self._placed_by_key.pop(key, None)
        self._sent_by_key.pop(key, None)

    def estimated_tokens(self, now: float) -> float:
        """Return the estimate, in tokens."""
        return self._queued_tokens(now) + self._excess_placed_tokens(now)

    def _queued_tokens(self, now: float) -> float:
        drained = self.prefill_tokens_per_second * (now - self._queue_updated_at)
        return min(max(0.0, self._queue_tokens - drained), float(sum(self._sent_by_key.values())))

    def _excess_placed_tokens(self, now: float) -> float:
        if not self._placed_by_key:
            return 0.0
        total = sum(tokens for tokens, _ in self._placed_by_key.values())
        oldest = min(placed_at for _, placed_at in self._placed_by_key.values())
        waited = min(MAX_PLACEMENT_ALLOWANCE_SECONDS, now - oldest)
        return max(0.0, total - self.prefill_tokens_per_second * waited)
