"""State of one request in the stand-in engine."""

import asyncio
from collections.abc import AsyncIterator
from enum import Enum

from quinceferry_core.adapters import Dispatch
from quinceferry_core.exceptions import UpstreamLostError
from quinceferry_core.models import Usage
from quinceferry_core.outcomes import AnswerEvent, Chunk, Finished
from quinceferry_standins.outputs import (
    count_prompt_tokens,
    output_tag,
    output_tokens,
    text_between,
    wanted_output_tokens,
)
from quinceferry_standins.runs import RunRecord


class StreamState(Enum):
    """Life-cycle state of a stream."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    BROKEN = "broken"


OPEN_STATES = frozenset((StreamState.WAITING, StreamState.RUNNING))


class EngineStream:
    """One run of a request, with any number of readers.

    :param dispatch: what the router sent.
    :param record: the truth record that the run updates.
    """

    def __init__(self, dispatch: Dispatch, record: RunRecord) -> None:
        request = dispatch.request
        self.dispatch = dispatch
        self.record = record
        self.state = StreamState.WAITING
        self.prompt_tokens = count_prompt_tokens(request.prompt)
        self.total_tokens = output_tokens(request, dispatch.token_cap)
        self.prefill_tokens = self.prompt_tokens
        self._reason = "stop" if self.total_tokens == wanted_output_tokens(request) else "length"
        self._tag = output_tag(request)
        self._changed = asyncio.Event()

    @property
    def open(self) -> bool:
        """Return whether the stream may still produce tokens."""
        return self.state in OPEN_STATES

    def start(self, now: float, uncached_tokens: int) -> None:
        """Begin the run.

        :param uncached_tokens: prompt tokens that prefill must compute.
        """
        self.state = StreamState.RUNNING
        self.prefill_tokens = uncached_tokens
        self.record.started_at = now
        self.record.prompt_tokens = self.prompt_tokens
        self.record.cached_tokens = self.prompt_tokens - uncached_tokens

    def decode(self, tokens: int) -> None:
        """Generate up to ``tokens`` more output tokens, and finish after the last one."""
        self.record.output_tokens = min(self.total_tokens, self.record.output_tokens + tokens)
        if self.record.output_tokens == self.total_tokens:
            self.record.finished = True
            self.state = StreamState.FINISHED
        self._notify()

    def cancel(self) -> None:
        """Stop the run."""
        self.record.cancelled = True
        self.end(StreamState.CANCELLED)

    def end(self, state: StreamState) -> None:
        """Leave the open states and wake the readers."""
        self.state = state
        self._notify()

    async def read(self, offset: int) -> AsyncIterator[AnswerEvent]:
        """Return the output after ``offset`` tokens, as it is generated.

        :raises UpstreamLostError: the run was cancelled or the engine crashed.
        """
        while True:
            produced = self.record.output_tokens
            if produced > offset:
                yield Chunk(offset, produced - offset, text_between(self._tag, offset, produced))
                offset = produced
            elif self.state is StreamState.FINISHED:
                yield Finished(Usage(self.prompt_tokens, self.total_tokens), self._reason)
                return
            elif self.open:
                await self._changed.wait()
            else:
                peer = self.dispatch.upstream.id
                raise UpstreamLostError(self.state.value, step="engine.read", peer=peer)

    def _notify(self) -> None:
        """Wake all readers."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
