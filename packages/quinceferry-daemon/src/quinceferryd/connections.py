"""Connections to upstreams, read with a progress timeout."""

import asyncio
from collections.abc import AsyncIterator
from enum import Enum

from quinceferry_core.adapters import Dispatch, UpstreamClient
from quinceferry_core.exceptions import (
    UpstreamError,
    UpstreamNotSentError,
    UpstreamRefusedError,
    UpstreamUnknownRequestError,
)
from quinceferry_core.models import CallerRequest, RequestKind, UpstreamSpec
from quinceferry_core.outcomes import AnswerEvent, Chunk, Failed, Finished, NotRunProof
from quinceferry_core.reassembly import DeliveredText, Reassembler, ReplayFilter
from quinceferryd.answer_buffer import AnswerBuffer
from quinceferryd.blackboard import Identity
from quinceferryd.scheduling import Scheduler
from quinceferryd.settings import StreamSettings

MAX_CONNECTIONS_WITHOUT_PROGRESS = 3
"""Consecutive connections without a new token after which an upstream is no longer tried."""
MAX_CONNECTIONS_WITHOUT_ALTERNATIVE = 12
"""The same limit for a request that cannot run at another upstream."""


class ConnectionEnding(Enum):
    """How a connection ended, other than with a complete answer."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    LOST = "lost"
    TIMED_OUT = "silent"
    UNREACHABLE = "unreachable"
    INCOMPLETE = "incomplete"
    RUN_UNKNOWN = "forgotten"
    TEXT_MISMATCH = "differs"
    READER_STALLED = "reader_stalled"

    @property
    def is_resumable(self) -> bool:
        """Return whether the run may still be in progress at the upstream."""
        return self in _RESUMABLE

    @property
    def is_failure(self) -> bool:
        """Return whether the ending counts as a failure of the upstream or the network."""
        return self in _FAILURES

    @property
    def not_run_proof(self) -> NotRunProof | None:
        """Return the proof that the run did not begin, if the ending proves it."""
        return _NOT_RUN_PROOFS_BY_ENDING.get(self)


_RESUMABLE = frozenset(
    (
        ConnectionEnding.LOST,
        ConnectionEnding.TIMED_OUT,
        ConnectionEnding.UNREACHABLE,
        ConnectionEnding.INCOMPLETE,
    )
)
_FAILURES = frozenset(
    (
        ConnectionEnding.NOT_SENT,
        ConnectionEnding.LOST,
        ConnectionEnding.TIMED_OUT,
        ConnectionEnding.UNREACHABLE,
    )
)
_NOT_RUN_PROOFS_BY_ENDING = {
    ConnectionEnding.NOT_SENT: NotRunProof.NEVER_SENT,
    ConnectionEnding.REFUSED: NotRunProof.REFUSED_BY_UPSTREAM,
}


class UpstreamRun:
    """State of one run across its connections.

    :param delivered: text delivered by earlier runs of the request, extended by this one.
    """

    def __init__(
        self, request: CallerRequest, upstream: UpstreamSpec, delivered: DeliveredText
    ) -> None:
        self.request = request
        self.upstream = upstream
        self.delivered = delivered
        self.reassembler = Reassembler()
        self.replay_filter = ReplayFilter(delivered.tokens, delivered.text)
        self.connections_without_progress = 0
        self.is_service = request.kind is RequestKind.SERVICE
        self._accepts_short_answer = False

    def max_connections_without_progress(self, has_no_alternative: bool) -> int:
        """Return how many consecutive connections without progress are allowed."""
        return (
            MAX_CONNECTIONS_WITHOUT_ALTERNATIVE
            if has_no_alternative
            else MAX_CONNECTIONS_WITHOUT_PROGRESS
        )

    def accept(self, chunk: Chunk) -> list[Chunk]:
        """Return the chunks that can be delivered to the caller after one has arrived."""
        ready_chunks = self.reassembler.accept(chunk)
        new_chunks = [self.replay_filter.accept(ready) for ready in ready_chunks]
        return [new_chunk for new_chunk in new_chunks if new_chunk is not None]

    def check_complete(self, finished: Finished) -> Finished | ConnectionEnding:
        """Check that an answer is complete.

        An engine may count tokens without text at the end of an answer. Missing tokens are
        therefore requested once by a resume, and accepted as absent if the resume ends in the same
        place.
        """
        if self.is_service:
            return finished
        is_incomplete = (
            self.reassembler.has_gap()
            or finished.usage.output_tokens > self.reassembler.next_offset
        )
        if is_incomplete and (self.reassembler.has_gap() or not self._accepts_short_answer):
            self._accepts_short_answer = True
            return ConnectionEnding.INCOMPLETE
        if self.reassembler.next_offset < self.replay_filter.delivered_tokens:
            return ConnectionEnding.TEXT_MISMATCH
        return finished


class Connection:
    """Relays the events of one connection to the answer buffer."""

    def __init__(
        self,
        upstreams: UpstreamClient,
        scheduler: Scheduler,
        settings: StreamSettings,
        run: UpstreamRun,
        buffer: AnswerBuffer,
    ) -> None:
        self._upstreams = upstreams
        self._scheduler = scheduler
        self._settings = settings
        self._run = run
        self._buffer = buffer

    async def relay(
        self,
        identity: Identity,
        number: int,
        token_cap: int,
        *,
        resumed_attempt: int | None = None,
    ) -> Finished | ConnectionEnding:
        """Open a connection and relay its events until it ends.

        :param identity: identity of this router that is sent to the upstream.
        :param number: number of this connection, unique in this process.
        :param token_cap: upper bound of the tokens of the run.
        :param resumed_attempt: number of the attempt whose run is resumed; None starts a run.
        :return: the end of a complete answer, or how the connection ended.
        """
        run = self._run
        run.reassembler.clear_pending()
        run.connections_without_progress += 1
        dispatch = Dispatch(
            run.request,
            run.upstream,
            identity.incarnation,
            identity.fencing,
            number,
            token_cap,
            run.reassembler.next_offset,
            resumed_attempt,
        )
        is_resume = resumed_attempt is not None
        events = self._upstreams.resume(dispatch) if is_resume else self._upstreams.run(dispatch)
        try:
            return await self._read(events)
        except UpstreamError as error:
            return _ending_for(error, is_resume)
        finally:
            await _close_events(events)

    async def _read(self, events: AsyncIterator[AnswerEvent]) -> Finished | ConnectionEnding:
        """Read events until the answer or the connection ends."""
        while True:
            try:
                async with asyncio.timeout(self._settings.progress_timeout_seconds):
                    event = await anext(events, None)
            except TimeoutError:
                return ConnectionEnding.TIMED_OUT
            match event:
                case Chunk():
                    ending = await self._deliver_chunk(event)
                case Finished():
                    return self._run.check_complete(event)
                case Failed() | None:
                    return ConnectionEnding.LOST
            if ending is not None:
                return ending

    async def _deliver_chunk(self, chunk: Chunk) -> ConnectionEnding | None:
        """Deliver the chunks that become available with a chunk.

        :return: the ending if the connection must be dropped, else None.
        """
        run = self._run
        offset_before = run.reassembler.next_offset
        new_chunks = run.accept(chunk)
        if run.replay_filter.differs:
            return ConnectionEnding.TEXT_MISMATCH
        if run.reassembler.next_offset > offset_before:
            run.connections_without_progress = 0
            self._scheduler.record_first_token(run.request, run.upstream.id)
        for new_chunk in new_chunks:
            run.delivered.add(new_chunk)
            try:
                await self._buffer.put(new_chunk, self._settings.reader_timeout_seconds)
            except TimeoutError:
                return ConnectionEnding.READER_STALLED
        return ConnectionEnding.INCOMPLETE if run.reassembler.is_full() else None


def _ending_for(error: UpstreamError, is_resume: bool) -> ConnectionEnding:
    """Return the ending that an error stands for."""
    match error:
        case UpstreamNotSentError():
            return ConnectionEnding.UNREACHABLE if is_resume else ConnectionEnding.NOT_SENT
        case UpstreamUnknownRequestError():
            return ConnectionEnding.RUN_UNKNOWN
        case UpstreamRefusedError():
            return ConnectionEnding.RUN_UNKNOWN if is_resume else ConnectionEnding.REFUSED
        case _:
            return ConnectionEnding.LOST


async def _close_events(events: AsyncIterator[AnswerEvent]) -> None:
    """Drop the connection, so that its late bytes are not delivered."""
    close = getattr(events, "aclose", None)
    if close is not None:
        await close()
