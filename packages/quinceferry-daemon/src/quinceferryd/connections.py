"""One connection to an upstream, read under a progress deadline."""

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
"""Connections in a row without a new token before an upstream is given up."""
MAX_CONNECTIONS_WITHOUT_ALTERNATIVE = 12
"""The same, when the request may not run again elsewhere."""


class ConnectionEnding(Enum):
    """How a connection ended, other than with the whole answer."""

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
        """Return whether the run may still be going on."""
        return self in _RESUMABLE

    @property
    def is_failure(self) -> bool:
        """Return whether the upstream or the way to it is at fault."""
        return self in _FAILURES

    @property
    def not_run_proof(self) -> NotRunProof | None:
        """Return the proof that the run did not begin, if the ending is one."""
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
    """State of one run, across its connections.

    :param delivered: text that earlier runs have delivered, and to which this one adds.
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
        """Return how many fruitless connections in a row are tried."""
        return (
            MAX_CONNECTIONS_WITHOUT_ALTERNATIVE
            if has_no_alternative
            else MAX_CONNECTIONS_WITHOUT_PROGRESS
        )

    def accept(self, chunk: Chunk) -> list[Chunk]:
        """Return the chunks that the caller gets for one that arrived."""
        ready_chunks = self.reassembler.accept(chunk)
        new_chunks = [self.replay_filter.accept(piece) for piece in ready_chunks]
        return [piece for piece in new_chunks if piece is not None]

    def check_complete(self, finished: Finished) -> Finished | ConnectionEnding:
        """Check that an answer is whole.

        An engine may count tokens that have no text at the end of an answer; so a shortfall is
        fetched once, and accepted when a resume brings the same end.
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
    """Relays the events of one connection into the answer's buffer."""

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
        """Open a connection and relay it to its end.

        :param number: number of this connection among all of the request.
        :param resumed_attempt: number of the attempt whose run is resumed; None begins a run.
        :return: the end of a whole answer, or how the connection ended.
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
        """Pass on what a chunk makes ready; return an ending if the connection must be dropped."""
        run = self._run
        offset_before = run.reassembler.next_offset
        new_chunks = run.accept(chunk)
        if run.replay_filter.differs:
            return ConnectionEnding.TEXT_MISMATCH
        if run.reassembler.next_offset > offset_before:
            run.connections_without_progress = 0
            self._scheduler.record_first_token(run.request, run.upstream.id)
        for piece in new_chunks:
            run.delivered.add(piece)
            try:
                await self._buffer.put(piece, self._settings.reader_timeout_seconds)
            except TimeoutError:
                return ConnectionEnding.READER_STALLED
        return ConnectionEnding.INCOMPLETE if run.reassembler.is_full() else None


def _ending_for(error: UpstreamError, is_resume: bool) -> ConnectionEnding:
    """Return what an error says of the run."""
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
    """Drop the connection, so that late bytes of it reach nobody."""
    close = getattr(events, "aclose", None)
    if close is not None:
        await close()
