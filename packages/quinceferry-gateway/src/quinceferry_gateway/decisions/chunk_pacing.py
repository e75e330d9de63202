"""Limits how much processor time the body of one answer takes.

The cost of a body is that of its chunks, however few bytes they have: 64 KiB in chunks of one byte,
which one read may bring, keep the event loop for a few tenths of a second. So all bodies take
turns, and one in tiny chunks is read slowly. It is not refused, since it may be a valid answer.
"""

TURN_CHUNKS = 64
"""Chunks after which the event loop runs what else is due, a few milliseconds of parsing."""
TINY_CHUNK_BYTES = 16
"""Size below which a chunk is tiny; the shortest events of streams are about as long."""
TINY_CHUNKS_PER_SECOND = 500.0
"""Rate at which tiny chunks of one answer are read."""
TINY_CHUNK_BURST = 1_024
"""Tiny chunks that are read at once, enough for a small answer in chunks of one byte."""


class ChunkPacer:
    """Decides when the reader of one answer pauses. Times are in seconds of the monotonic clock."""

    __slots__ = ("_chunks", "_tokens", "_refilled_at")

    def __init__(self, now: float) -> None:
        self._chunks = 0
        self._tokens = float(TINY_CHUNK_BURST)
        self._refilled_at = now

    def chunk_received(self, size: int) -> bool:
        """Count a chunk; return whether a pause is due."""
        self._chunks += 1
        if size < TINY_CHUNK_BYTES:
            self._tokens -= 1
        return self._chunks % TURN_CHUNKS == 0

    def pause_seconds(self, now: float) -> float:
        """Return how long the pause lasts that is due; zero to let others run only."""
        refilled = self._tokens + (now - self._refilled_at) * TINY_CHUNKS_PER_SECOND
        self._tokens = min(float(TINY_CHUNK_BURST), refilled)
        self._refilled_at = now
        return max(0.0, -self._tokens / TINY_CHUNKS_PER_SECOND)
