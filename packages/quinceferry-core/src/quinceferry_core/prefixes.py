"""What each engine's prompt cache is believed to hold.

A prompt is cut into blocks of characters; each block's hash covers all text before it, so that
equal hashes mean equal prefixes. Belief comes from two sources: prompts that this router sent, and
the engines' cache events, which arrive late and with gaps.
"""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field

from quinceferry_core.adapters import CacheEvent
from quinceferry_core.models import ModelRef

BLOCK_CHARS = 256
"""Characters in one block of a prompt."""
MAX_BLOCKS = 128
"""Blocks of a prompt that are hashed; what follows counts as not cached."""
DEFAULT_MAX_PREFIX_HASHES = 2048
"""Prefix hashes remembered for each engine."""

_HASH_BYTES = 8


def prefix_hashes(target: ModelRef, prompt: str) -> tuple[int, ...]:
    """Hash every whole block of a prompt together with all text before it.

    :param target: model, adapter and version; their caches are never shared.
    :param prompt: the text that the model reads.
    :return: one hash for each whole block, the shortest prefix first.
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
    """Believed cache content of one engine, least recently used first."""

    max_hashes: int = DEFAULT_MAX_PREFIX_HASHES
    last_sequence: int = 0
    gaps: int = 0
    _hashes: OrderedDict[int, None] = field(default_factory=OrderedDict)

    def record_sent(self, hashes: tuple[int, ...]) -> None:
        """Note that a prompt was sent to this engine, which will cache it."""
        for prefix_hash in reversed(hashes):
            self._add(prefix_hash)

    def apply(self, events: tuple[CacheEvent, ...]) -> None:
        """Apply cache events; those already seen are ignored.

        A gap hides at most as many evictions as events, so that many hashes are forgotten, least
        recently used first, since those are what an engine evicts.
        """
        for event in sorted(events, key=lambda event: event.sequence):
            self._apply_event(event)

    def matched_blocks(self, hashes: tuple[int, ...]) -> int:
        """Count the leading blocks of a prompt believed to be cached."""
        for count, prefix_hash in enumerate(hashes):
            if prefix_hash not in self._hashes:
                return count
        return len(hashes)

    def __len__(self) -> int:
        """Return the number of remembered hashes."""
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
