"""Measures one request while its answer is relayed."""

import zlib

from quinceferry_core.clocks import Clock
from quinceferry_core.models import CallerRequest, Usage
from quinceferry_core.outcomes import AnswerEvent, Chunk, Failed, Finished, Run
from quinceferryd.metrics import Metrics
from quinceferryd.refusals import outcome_word

SAMPLED_GAPS = 16
"""One of so many times between two pieces is recorded."""

_CALLER_LEFT = "caller_left"


class RequestMeter:
    """Records the times and the end of one request.

    Which gaps are sampled depends on the request id, so that every position is sampled alike.
    """

    __slots__ = ("_clock", "_ended", "_last", "_metrics", "_phase", "_pieces", "_request", "_start")

    def __init__(self, request: CallerRequest, metrics: Metrics, clock: Clock) -> None:
        self._request = request
        self._metrics = metrics
        self._clock = clock
        self._start = clock.monotonic()
        self._phase = zlib.crc32(request.request_id.encode()) % SAMPLED_GAPS
        self._pieces = 0
        self._last = 0.0
        self._ended = False
        metrics.request_started(request.workspace)

    def note(self, event: AnswerEvent) -> None:
        """Take the next event."""
        match event:
            case Chunk():
                self._note_chunk()
            case Finished():
                self._end("run", event.usage)
            case Failed():
                outcome = event.outcome
                self._metrics.refused(self._request.workspace, event.reason)
                usage = outcome.usage if isinstance(outcome, Run) else None
                self._end(outcome_word(outcome), usage)

    def close(self) -> None:
        """Note that no event will follow; the caller has left unless the answer has ended."""
        self._end(_CALLER_LEFT, None)

    def _note_chunk(self) -> None:
        """Take a piece of the answer."""
        position = (self._pieces + self._phase) % SAMPLED_GAPS
        self._pieces += 1
        if self._pieces == 1:
            self._last = self._clock.monotonic()
            request = self._request
            seconds = self._last - self._start
            self._metrics.first_token(request.workspace, request.priority, seconds)
        elif position == 0:
            seconds = self._clock.monotonic() - self._last
            self._metrics.between_tokens(self._request.workspace, self._request.priority, seconds)
        if position == SAMPLED_GAPS - 1:
            self._last = self._clock.monotonic()

    def _end(self, outcome: str, usage: Usage | None) -> None:
        """Record the end, once."""
        if self._ended:
            return
        self._ended = True
        request = self._request
        self._metrics.request_finished(request.workspace, request.priority, outcome, usage)
