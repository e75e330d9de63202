"""Estimate of the prompt tokens that an engine still has to prefill for this router."""

from dataclasses import dataclass, field

from quinceferry_core.journals import RequestKey

MAX_PLACEMENT_ALLOWANCE_SECONDS = 1.0
"""Longest prefill time that is deducted from prompts that are not dispatched yet."""


@dataclass(slots=True)
class PrefillBacklog:
    """Prompt tokens of this router that one engine still has to prefill.

    Dispatched prompts form a queue that drains at the engine's prefill rate. It never exceeds the
    tokens of the prompts without a first token, since an engine may delay the first token of a
    prompt that it has prefilled. Prompts that are placed but not dispatched, because their journal
    entry is not committed, count only as far as they exceed what the engine prefills while they
    wait, so that prompts placed at once do not accumulate in the estimate.

    :param prefill_tokens_per_second: prefill rate of the engine.
    """

    prefill_tokens_per_second: float
    _placed_by_key: dict[RequestKey, tuple[int, float]] = field(default_factory=dict)
    _sent_by_key: dict[RequestKey, int] = field(default_factory=dict)
    _queue_tokens: float = 0.0
    _queue_updated_at: float = 0.0

    def record_placement(self, key: RequestKey, tokens: int, now: float) -> None:
        """Record a prompt that will be dispatched, with its uncached tokens."""
        self._sent_by_key.pop(key, None)
        self._placed_by_key[key] = tokens, now

    def record_dispatch(self, key: RequestKey, now: float) -> None:
        """Record that a placed prompt is sent to the engine."""
        tokens, _ = self._placed_by_key.pop(key, (0, now))
        if tokens:
            self._queue_tokens, self._queue_updated_at = self._queued_tokens(now) + tokens, now
            self._sent_by_key[key] = tokens

    def remove(self, key: RequestKey) -> None:
        """Remove a prompt that has its first token or has ended."""
        self._placed_by_key.pop(key, None)
        self._sent_by_key.pop(key, None)

    def estimated_tokens(self, now: float) -> float:
        """Return the estimate of the tokens that the engine still has to prefill."""
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
