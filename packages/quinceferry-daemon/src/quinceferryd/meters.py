"""Measures one request while its answer is relayed."""

import zlib

from quinceferry_core.clocks import Clock
from quinceferry_core.models import CallerRequest, Usage
from quinceferry_core.outcomes import Failed, Finished, Run
from quinceferryd.metrics import Metrics
from quinceferryd.refusals import outcome_word

SAMPLED_GAPS = 16
"""One of so many times between two pieces is recorded."""

_CALLER_LEFT = "caller_left"


class RequestMeter:
    """Records the times and the end of one request.

    Where sampling begins depends on the request id, so that every position is sampled alike.
    """

    __slots__ = ("_clock", "_ended", "_last", "_metrics", "_request", "_skip", "_start")

    def __init__(self, request: CallerRequest, metrics: Metrics, clock: Clock) -> None:
        self._request = request
        self._metrics = metrics
        self._clock = clock
        self._start = clock.monotonic()
        self._last: float | None = None
        self._skip = -1
        self._ended = False
        metrics.request_started(request.workspace)

    def chunk(self) -> None:
        """Take a piece of the answer."""
        if self._skip > 0:
            self._skip -= 1
        elif self._skip < 0:
            self._note_first()
        elif self._last is None:
            self._last = self._clock.monotonic()
        else:
            self._note_gap(self._last)

    def end(self, event: Finished | Failed) -> None:
        """Take the last event."""
        match event:
            case Finished():
                self._end("run", event.usage)
            case Failed(outcome=outcome):
                self._metrics.refused(self._request.workspace, event.reason)
                usage = outcome.usage if isinstance(outcome, Run) else None
                self._end(outcome_word(outcome), usage)

    def close(self) -> None:
        """Note that no event will follow; the caller has left unless the answer has ended."""
        self._end(_CALLER_LEFT, None)

    def _note_first(self) -> None:
        """Record the time to the first piece."""
        seconds = self._clock.monotonic() - self._start
        self._metrics.first_token(self._request.workspace, self._request.priority, seconds)
        self._skip = zlib.crc32(self._request.request_id.encode()) % SAMPLED_GAPS

    def _note_gap(self, last: float) -> None:
        """Record the time since the piece before, and skip the next ones."""
        seconds = self._clock.monotonic() - last
        self._metrics.between_tokens(self._request.workspace, self._request.priority, seconds)
        self._last = None
        self._skip = SAMPLED_GAPS - 2

    def _end(self, outcome: str, usage: Usage | None) -> None:
        """Record the end, once."""
        if self._ended:
            return
        self._ended = True
        request = self._request
        self._metrics.request_finished(request.workspace, request.priority, outcome, usage)


class NullMeter:
    """Records nothing; for a forwarded request, which its first router measures."""

    def chunk(self) -> None:
        """Record nothing."""

    def end(self, event: Finished | Failed) -> None:
        """Record nothing."""

    def close(self) -> None:
        """Record nothing."""
