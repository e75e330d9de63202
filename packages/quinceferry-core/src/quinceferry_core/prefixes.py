"""Estimate of the prompt prefixes that each engine caches.

A prompt is split into blocks of characters. The hash of a block covers all text before it, so that
equal hashes mean equal prefixes. The estimate has two sources: the prompts that this router sent,
and the engines' cache events, which arrive late and with gaps.
"""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field

from quinceferry_core.adapters import CacheEvent
from quinceferry_core.models import ModelRef

BLOCK_CHARS = 256
"""Number of characters in a block."""
MAX_BLOCKS = 128
"""Maximum number of hashed blocks of a prompt; the rest counts as not cached."""
DEFAULT_MAX_PREFIX_HASHES = 2048
"""Number of prefix hashes kept for each engine."""

_HASH_BYTES = 8


def prefix_hashes(target: ModelRef, prompt: str) -> tuple[int, ...]:
    """Hash every complete block of a prompt together with all text before it.

    :param target: model, adapter and version; caches are never shared between them.
    :return: one hash for each complete block, the shortest prefix first.
    """
    running = hashlib.blake2b(str(target).encode(), digest_size=_HASH_BYTES)
    blocks = min(len(prompt) // BLOCK_CHARS, MAX_BLOCKS)
    hashes = []
    for block in range(blocks):
        running.update(prompt[block * BLOCK_CHARS : (block + 1) * BLOCK_CHARS].encode())
        hashes.append(int.from_bytes(running.digest(), "big"))
    return tuple(hashes)


@dataclass(slots=True)
class PrefixIndex:
    """Estimated cache content of one engine, least recently used first."""

    max_hashes: int = DEFAULT_MAX_PREFIX_HASHES
    last_sequence: int = 0
    gaps: int = 0
    _hashes: OrderedDict[int, None] = field(default_factory=OrderedDict)

    def record_sent(self, hashes: tuple[int, ...]) -> None:
        """Record that a prompt was sent to this engine, which caches it."""
        for prefix_hash in reversed(hashes):
            self._add(prefix_hash)

    def apply(self, events: tuple[CacheEvent, ...]) -> None:
        """Apply cache events; events that were already applied are ignored.

        A gap contains at most as many evictions as events, so that this many hashes are removed,
        least recently used first, which is the order in which an engine evicts.
        """
        for event in sorted(events, key=lambda event: event.sequence):
            self._apply_event(event)

    def matched_blocks(self, hashes: tuple[int, ...]) -> int:
        """Return the number of leading blocks of a prompt that are estimated to be cached."""
        for count, prefix_hash in enumerate(hashes):
            if prefix_hash not in self._hashes:
                return count
        return len(hashes)

    def __len__(self) -> int:
        """Return the number of hashes."""
        return len(self._hashes)

    def _apply_event(self, event: CacheEvent) -> None:
        if event.sequence <= self.last_sequence:
            return
        missed = event.sequence - self.last_sequence - 1
        if self.last_sequence and missed:
            self._evict_oldest(missed)
        self.last_sequence = event.sequence
        if event.added:
            self._add(event.prefix_hash)
        else:
            self._hashes.pop(event.prefix_hash, None)

    def _evict_oldest(self, count: int) -> None:
        self.gaps += 1
        for _ in range(min(count, len(self._hashes))):
            self._hashes.popitem(last=False)

    def _add(self, prefix_hash: int) -> None:
        self._hashes[prefix_hash] = None
        self._hashes.move_to_end(prefix_hash)
        if len(self._hashes) > self.max_hashes:
            self._hashes.popitem(last=False)
