"""Requests that this process is running or has run, with their answers.

A repeated request id joins the run in progress or receives the stored answer again.
"""

import asyncio
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from datetime import datetime

from quinceferry_core.clocks import Clock
from quinceferry_core.journals import RequestKey
from quinceferry_core.outcomes import (
    AnswerEvent,
    AnswerStream,
    Chunk,
    Failed,
    Finished,
    NotRun,
    Outcome,
    Run,
    Unknown,
)

ANSWER_RETENTION_SECONDS = 300.0
"""How long a finished answer is stored for replay."""
MAX_STORED_BYTES = 8 * 1024 * 1024
"""Maximum total size of stored answers; the oldest are dropped first."""
OUTCOME_RETENTION_SECONDS = 7200.0
"""How long an outcome is stored after the request has ended; longer than a ticket is valid."""


@dataclass(slots=True, eq=False)
class RequestRun:
    """One request with the events of its answer so far.

    ``was_forwarded`` is whether the request was sent to another router.
    """

    key: RequestKey
    fingerprint: bytes
    idempotent: bool = True
    ticket_expires_at: datetime | None = None
    events: list[AnswerEvent] = field(default_factory=list)
    outcome: Outcome | None = None
    readers: int = 0
    finished_at: float = 0.0
    stored_bytes: int = 0
    answer_dropped: bool = False
    was_forwarded: bool = False
    task: asyncio.Task[None] | None = None
    _updated: asyncio.Event | None = None

    def publish(self, event: AnswerEvent) -> None:
        """Add an event and wake all readers; the final event sets the outcome."""
        if self.outcome is not None:
            return
        self.events.append(event)
        match event:
            case Chunk():
                self.stored_bytes += len(event.text) + len(event.data)
            case Finished(usage=usage):
                self.outcome = Run(usage)
            case Failed(outcome=outcome):
                self.outcome = outcome
        if self._updated is not None:
            self._updated.set()
            self._updated = None

    async def replay(self) -> AnswerStream:
        """Yield all events from the first one, waiting for new ones.

        A slow reader blocks no other: each has its own position in the stored events, whose number
        is bounded by the output cap of the request.
        """
        # The store may replace the list after the run has ended; this reader keeps the old list.
        events = self.events
        position = 0
        while True:
            while position < len(events):
                yield events[position]
                position += 1
            if self.outcome is not None:
                return
            if self._updated is None:
                self._updated = asyncio.Event()
            await self._updated.wait()

    def compact(self) -> None:
        """Merge the chunks of a finished answer and release the task."""
        self.events = _merge_chunks(self.events)
        self.task = None

    def drop_answer(self) -> None:
        """Remove the chunks of the answer and keep only its final event."""
        self.events = [event for event in self.events if not isinstance(event, Chunk)]
        self.answer_dropped = True


class RunStore:
    """Runs of this process by request key, limited by age and total size."""

    def __init__(self, clock: Clock, max_stored_bytes: int = MAX_STORED_BYTES) -> None:
        self._clock = clock
        self._max_stored_bytes = max_stored_bytes
        self._runs_by_key: dict[RequestKey, RequestRun] = {}
        self._replayable_by_key: OrderedDict[RequestKey, RequestRun] = OrderedDict()
        self._without_answer: deque[RequestRun] = deque()
        self._stored_bytes = 0

    def __len__(self) -> int:
        """Return the number of stored runs."""
        return len(self._runs_by_key)

    def find(self, key: RequestKey) -> RequestRun | None:
        """Return the run of a request, or None if it is not stored."""
        self._expire()
        return self._runs_by_key.get(key)

    def begin(
        self,
        key: RequestKey,
        fingerprint: bytes,
        idempotent: bool = True,
        ticket_expires_at: datetime | None = None,
    ) -> RequestRun:
        """Start a run, replacing any stored run with the same key."""
        self._remove(key)
        run = RequestRun(key, fingerprint, idempotent, ticket_expires_at)
        self._runs_by_key[key] = run
        return run

    def finish(self, run: RequestRun) -> None:
        """Store a finished run.

        An idempotent request that did not run is removed, so that it can be retried. The refusal of
        a non-idempotent request is kept: a delayed duplicate must not run after its caller has
        received the refusal.
        """
        if self._runs_by_key.get(run.key) is not run:
            return
        if isinstance(run.outcome, NotRun) and run.idempotent:
            del self._runs_by_key[run.key]
            return
        run.compact()
        run.finished_at = self._clock.monotonic()
        self._replayable_by_key[run.key] = run
        self._stored_bytes += run.stored_bytes
        self._expire()

    def outcome(self, key: RequestKey) -> Outcome | None:
        """Return the outcome of a request; ``Unknown`` while it runs, None if it is not stored."""
        run = self.find(key)
        if run is None:
            return None
        return run.outcome if run.outcome is not None else Unknown()

    def _expire(self) -> None:
        """Drop answers and outcomes that are too old, and answers beyond the size limit."""
        now = self._clock.monotonic()
        while self._replayable_by_key:
            key, run = next(iter(self._replayable_by_key.items()))
            is_recent = now - run.finished_at < ANSWER_RETENTION_SECONDS
            if is_recent and self._stored_bytes <= self._max_stored_bytes:
                break
            del self._replayable_by_key[key]
            self._stored_bytes -= run.stored_bytes
            self._without_answer.append(run)
            run.drop_answer()
        while self._without_answer:
            run = self._without_answer[0]
            if now - run.finished_at < OUTCOME_RETENTION_SECONDS:
                break
            self._without_answer.popleft()
            if self._runs_by_key.get(run.key) is run:
                del self._runs_by_key[run.key]

    def _remove(self, key: RequestKey) -> None:
        """Remove a run and release its stored bytes."""
        run = self._runs_by_key.pop(key, None)
        if run is None:
            return
        if self._replayable_by_key.pop(key, None) is not None:
            self._stored_bytes -= run.stored_bytes


def _merge_chunks(events: list[AnswerEvent]) -> list[AnswerEvent]:
    """Return the same answer with contiguous chunks merged.

    One chunk per token takes far more memory than its text.
    """
    merged: list[AnswerEvent] = []
    chunks: list[Chunk] = []
    for event in events:
        is_chunk = isinstance(event, Chunk)
        if chunks and not (is_chunk and event.offset == chunks[-1].offset + chunks[-1].tokens):
            merged.append(_merge(chunks))
            chunks = []
        if is_chunk:
            chunks.append(event)
        else:
            merged.append(event)
    return merged + [_merge(chunks)] if chunks else merged


def _merge(chunks: list[Chunk]) -> Chunk:
    """Merge contiguous chunks into one."""
    tokens = sum(chunk.tokens for chunk in chunks)
    text = "".join([chunk.text for chunk in chunks])
    return Chunk(chunks[0].offset, tokens, text, b"".join([chunk.data for chunk in chunks]))
