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

MAX_FRUITLESS = 3
"""Connections in a row without a new token before an upstream is given up."""
MAX_FRUITLESS_WITHOUT_ALTERNATIVE = 12
"""The same, when the request may not run again elsewhere."""


class Ending(Enum):
    """How a connection ended, other than with the whole answer."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    LOST = "lost"
    SILENT = "silent"
    UNREACHABLE = "unreachable"
    INCOMPLETE = "incomplete"
    FORGOTTEN = "forgotten"
    DIFFERS = "differs"
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
    def not_run(self) -> NotRunProof | None:
        """Return the proof that the run did not begin, if the ending is one."""
        return _PROOFS_BY_ENDING.get(self)


_RESUMABLE = frozenset((Ending.LOST, Ending.SILENT, Ending.UNREACHABLE, Ending.INCOMPLETE))
_FAILURES = frozenset((Ending.NOT_SENT, Ending.LOST, Ending.SILENT, Ending.UNREACHABLE))
_PROOFS_BY_ENDING = {
    Ending.NOT_SENT: NotRunProof.NEVER_SENT,
    Ending.REFUSED: NotRunProof.REFUSED_BY_UPSTREAM,
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
        self.chunks = Reassembler()
        self.replay = ReplayFilter(delivered.tokens, delivered.text)
        self.fruitless = 0
        self.is_service = request.kind is RequestKind.SERVICE
        self._accepts_short_answer = False

    def patience(self, has_no_other_way: bool) -> int:
        """Return how many fruitless connections in a row are tried."""
        return MAX_FRUITLESS_WITHOUT_ALTERNATIVE if has_no_other_way else MAX_FRUITLESS

    def accept(self, chunk: Chunk) -> list[Chunk]:
        """Return the chunks that the caller gets for one that arrived."""
        ready = self.chunks.accept(chunk)
        new = [self.replay.accept(piece) for piece in ready]
        return [piece for piece in new if piece is not None]

    def judge(self, finished: Finished) -> Finished | Ending:
        """Check that an answer is whole.

        An engine may count tokens that have no text at the end of an answer; so a shortfall is
        fetched once, and accepted when a resume brings the same end.
        """
        if self.is_service:
            return finished
        missing = self.chunks.has_gap() or finished.usage.output_tokens > self.chunks.next_offset
        if missing and (self.chunks.has_gap() or not self._accepts_short_answer):
            self._accepts_short_answer = True
            return Ending.INCOMPLETE
        if self.chunks.next_offset < self.replay.delivered_tokens:
            return Ending.DIFFERS
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
    ) -> Finished | Ending:
        """Open a connection and relay it to its end.

        :param number: number of this connection among all of the request.
        :param resumed_attempt: number of the attempt whose run is resumed; None begins a run.
        :return: the end of a whole answer, or how the connection ended.
        """
        run = self._run
        run.chunks.drop_pending()
        run.fruitless += 1
        dispatch = Dispatch(
            run.request,
            run.upstream,
            identity.incarnation,
            identity.fencing,
            number,
            token_cap,
            run.chunks.next_offset,
            resumed_attempt,
        )
        is_resume = resumed_attempt is not None
        events = self._upstreams.resume(dispatch) if is_resume else self._upstreams.run(dispatch)
        try:
            return await self._read(events)
        except UpstreamError as error:
            return _ending(error, is_resume)
        finally:
            await _close(events)

    async def _read(self, events: AsyncIterator[AnswerEvent]) -> Finished | Ending:
        """Read events until the answer or the connection ends."""
        while True:
            try:
                async with asyncio.timeout(self._settings.progress_timeout_seconds):
                    event = await anext(events, None)
            except TimeoutError:
                return Ending.SILENT
            match event:
                case Chunk():
                    ending = await self._deliver(event)
                case Finished():
                    return self._run.judge(event)
                case Failed() | None:
                    return Ending.LOST
            if ending is not None:
                return ending

    async def _deliver(self, chunk: Chunk) -> Ending | None:
        """Pass on what a chunk makes ready; return an ending if the connection must be dropped."""
        run = self._run
        before = run.chunks.next_offset
        new = run.accept(chunk)
        if run.replay.differs:
            return Ending.DIFFERS
        if run.chunks.next_offset > before:
            run.fruitless = 0
            self._scheduler.record_first_token(run.request, run.upstream.id)
        for piece in new:
            run.delivered.add(piece)
            try:
                await self._buffer.put(piece, self._settings.reader_timeout_seconds)
            except TimeoutError:
                return Ending.READER_STALLED
        return Ending.INCOMPLETE if run.chunks.is_overfull() else None


def _ending(error: UpstreamError, is_resume: bool) -> Ending:
    """Return what an error says of the run."""
    match error:
        case UpstreamNotSentError():
            return Ending.UNREACHABLE if is_resume else Ending.NOT_SENT
        case UpstreamUnknownRequestError():
            return Ending.FORGOTTEN
        case UpstreamRefusedError():
            return Ending.FORGOTTEN if is_resume else Ending.REFUSED
        case _:
            return Ending.LOST


async def _close(events: AsyncIterator[AnswerEvent]) -> None:
    """Drop the connection, so that late bytes of it reach nobody."""
    close = getattr(events, "aclose", None)
    if close is not None:
        await close()
