"""Continuous batching of the stand-in engine: a waiting queue, slots, prefill and decode."""

import asyncio
import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

from quinceferry_core.clocks import Clock
from quinceferry_core.prefixes import BLOCK_CHARS, prefix_hashes
from quinceferry_standins.engine_settings import EngineSettings
from quinceferry_standins.engine_streams import EngineStream
from quinceferry_standins.outputs import BYTES_PER_TOKEN
from quinceferry_standins.prefix_cache import PrefixCache
from quinceferry_standins.reports import CacheEventLog


@dataclass(slots=True, order=True)
class _Waiting:
    """Entry of the waiting queue, ordered by priority and arrival."""

    priority: int
    arrival: int
    stream: EngineStream = field(compare=False)


class Batcher:
    """Runs streams in steps while there is work.

    :param events: where changes of the prefix cache are published.
    :param ended: called with each stream that leaves the batch or the queue.
    :param changed: called after each change of the load.
    """

    def __init__(
        self,
        clock: Clock,
        settings: EngineSettings,
        events: CacheEventLog,
        ended: Callable[[EngineStream], None],
        changed: Callable[[], None],
    ) -> None:
        self.running: list[EngineStream] = []
        self._clock = clock
        self._settings = settings
        self._events = events
        self._ended = ended
        self._changed = changed
        self._cache = PrefixCache(settings.cache_blocks)
        self._waiting: list[_Waiting] = []
        self._arrivals = 0
        self._task: asyncio.Task[None] | None = None

    @property
    def waiting(self) -> list[EngineStream]:
        """Return the streams that wait for a slot, in no order."""
        return [entry.stream for entry in self._waiting]

    def add(self, stream: EngineStream) -> None:
        """Put a stream into the waiting queue."""
        self._arrivals += 1
        priority = stream.dispatch.request.priority
        heapq.heappush(self._waiting, _Waiting(priority, self._arrivals, stream))
        self._changed()
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run(), name="batch")

    def drop_ended(self) -> None:
        """Take streams that are no longer open out of the batch and the queue."""
        ended = [stream for stream in (*self.running, *self.waiting) if not stream.open]
        if not ended:
            return
        self.running = [stream for stream in self.running if stream.open]
        self._waiting = [entry for entry in self._waiting if entry.stream.open]
        heapq.heapify(self._waiting)
        for stream in ended:
            self._ended(stream)
        self._changed()

    def clear(self) -> None:
        """Drop all streams and the prefix cache."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self.running.clear()
        self._waiting.clear()
        self._cache.clear()

    async def _run(self) -> None:
        """Run steps until no stream is left."""
        self._admit()
        while self.running:
            decoding = [stream for stream in self.running if not stream.prefill_tokens]
            prefilling = self._plan_prefill()
            await self._clock.sleep(self._step_seconds(len(decoding), sum(prefilling.values())))
            for stream, tokens in prefilling.items():
                stream.prefill_tokens -= tokens
            for stream in decoding:
                if stream.open:
                    stream.decode(self._settings.tokens_per_step)
            self.drop_ended()
            self._admit()

    def _plan_prefill(self) -> dict[EngineStream, int]:
        """Share one step's prefill tokens among the streams, oldest first."""
        left = self._settings.prefill_tokens_per_step
        planned = {}
        for stream in self.running:
            tokens = min(left, stream.prefill_tokens)
            if tokens:
                planned[stream] = tokens
                left -= tokens
        return planned

    def _step_seconds(self, decoding: int, prefill_tokens: int) -> float:
        """Return the duration of a step."""
        settings = self._settings
        decode_seconds = decoding * settings.step_seconds_per_stream
        prefill_seconds = prefill_tokens * settings.prefill_seconds_per_token
        return settings.step_seconds + decode_seconds + prefill_seconds

    def _admit(self) -> None:
        """Move waiting streams into free slots, by priority and arrival."""
        admitted = False
        while self._waiting and len(self.running) < self._settings.slots:
            stream = heapq.heappop(self._waiting).stream
            self.running.append(stream)
            stream.start(self._clock.monotonic(), self._uncached_tokens(stream))
            admitted = True
        if admitted:
            self._changed()

    def _uncached_tokens(self, stream: EngineStream) -> int:
        """Look the prompt up in the cache, insert it, and return the tokens to compute."""
        request = stream.dispatch.request
        hashes = prefix_hashes(request.target, request.prompt)
        cached_chars = self._cache.cached_blocks(hashes) * BLOCK_CHARS
        cached_bytes = len(request.prompt[:cached_chars].encode())
        self._events.publish(self._cache.insert(hashes))
        return stream.prompt_tokens - cached_bytes // BYTES_PER_TOKEN
