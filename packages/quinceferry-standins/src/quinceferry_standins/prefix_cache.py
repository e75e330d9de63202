"""Prompt prefix cache of the stand-in engine, with limited memory."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class CacheChange:
    """Prefixes that entered the cache and those evicted for them."""

    added: list[int]
    evicted: list[int]


class PrefixCache:
    """Least-recently-used set of prefix hashes.

    :param capacity: most blocks it holds.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of blocks held."""
        return len(self._blocks)

    def cached_blocks(self, hashes: Sequence[int]) -> int:
        """Return how many leading blocks are held."""
        for count, block in enumerate(hashes):
            if block not in self._blocks:
                return count
        return len(hashes)

    def insert(self, hashes: Sequence[int]) -> CacheChange:
        """Hold the blocks of a prompt, evicting the least recently used ones.

        A prompt longer than the memory keeps its first blocks, which later prompts may share.
        """
        hashes = hashes[: self._capacity]
        added = [block for block in hashes if block not in self._blocks]
        for block in reversed(hashes):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        evicted = []
        while len(self._blocks) > self._capacity:
            block, _ = self._blocks.popitem(last=False)
            evicted.append(block)
        return CacheChange(added, evicted)

    def clear(self) -> None:
        """Drop all blocks."""
        self._blocks.clear()
