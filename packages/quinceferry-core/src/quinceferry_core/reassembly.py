"""Reassembly of the chunks of one answer from several connections."""

from dataclasses import dataclass, field, replace

from quinceferry_core.outcomes import Chunk

MAX_PENDING_CHUNKS = 64
"""Number of chunks buffered while an earlier one is missing."""
MAX_COMPARED_CHARS = 16384
"""Length of delivered text kept for comparison; a longer answer cannot be run again."""


@dataclass(slots=True)
class Reassembler:
    """Orders the chunks of one answer by token offset and delivers every token once."""

    next_offset: int = 0
    duplicates: int = 0
    _pending_by_offset: dict[int, Chunk] = field(default_factory=dict)

    def accept(self, chunk: Chunk) -> list[Chunk]:
        """Accept a chunk and return the chunks that can be delivered now, in order.

        A chunk that overlaps the end of the delivered tokens cannot be split by tokens. It is
        dropped, and a resume fetches the missing tokens.
        """
        if not chunk.tokens:
            return [chunk] if chunk.offset >= self.next_offset else []
        if chunk.offset < self.next_offset:
            self.duplicates += 1
            return []
        if len(self._pending_by_offset) < MAX_PENDING_CHUNKS:
            self._pending_by_offset.setdefault(chunk.offset, chunk)
        return self._pop_deliverable()

    def has_gap(self) -> bool:
        """Return whether a chunk is waiting for an earlier one."""
        return bool(self._pending_by_offset)

    def is_full(self) -> bool:
        """Return whether the buffer is full, so that the missing chunk is no longer expected."""
        return len(self._pending_by_offset) >= MAX_PENDING_CHUNKS

    def clear_pending(self) -> None:
        """Remove the buffered chunks, before a new connection."""
        self._pending_by_offset.clear()

    def _pop_deliverable(self) -> list[Chunk]:
        ready = []
        while self.next_offset in self._pending_by_offset:
            chunk = self._pending_by_offset.pop(self.next_offset)
            self.next_offset += chunk.tokens
            ready.append(chunk)
        stale = [offset for offset in self._pending_by_offset if offset < self.next_offset]
        for offset in stale:
            del self._pending_by_offset[offset]
        return ready


@dataclass(slots=True)
class DeliveredText:
    """Text delivered to the caller, for comparison with a re-run."""

    tokens: int = 0
    text: str = ""
    is_incomparable: bool = False
    """Whether something was delivered that cannot be compared with a re-run."""

    def add(self, chunk: Chunk) -> None:
        """Record a delivered chunk; bytes of a service cannot be compared."""
        self.tokens += chunk.tokens
        fits = len(self.text) + len(chunk.text) <= MAX_COMPARED_CHARS
        if fits and not chunk.data and not self.is_incomparable:
            self.text += chunk.text
        else:
            self.is_incomparable = True
            self.text = ""


@dataclass(slots=True)
class ReplayFilter:
    """Removes from a re-run the text that the caller already has, if it is identical."""

    delivered_tokens: int = 0
    delivered_text: str = ""
    differs: bool = False
    _compared_chars: int = 0

    def accept(self, chunk: Chunk) -> Chunk | None:
        """Return the new part of a chunk of the re-run, or None; set ``differs`` on a mismatch."""
        expected = self.delivered_text
        if self._compared_chars >= len(expected) and chunk.offset >= self.delivered_tokens:
            return chunk
        end = self._compared_chars + len(chunk.text)
        expected_part = expected[self._compared_chars : end]
        if not chunk.text.startswith(expected_part):
            self.differs = True
            return None
        rest = chunk.text[len(expected_part) :]
        self._compared_chars = end
        tokens = chunk.offset + chunk.tokens - self.delivered_tokens
        if not rest and tokens <= 0:
            return None
        if tokens <= 0 or self._compared_chars < len(expected):
            self.differs = True
            return None
        return replace(chunk, offset=self.delivered_tokens, tokens=tokens, text=rest)
