"""Records the latencies and the outcome of a request while its answer is relayed."""

import zlib

from quinceferry_core.clocks import Clock
from quinceferry_core.models import CallerRequest, Usage
from quinceferry_core.outcomes import Failed, Finished, Run
from quinceferryd.metrics import Metrics
from quinceferryd.refusals import outcome_label

GAP_SAMPLING_INTERVAL = 16
"""One of this many gaps between two chunks is recorded."""

_CALLER_LEFT = "caller_left"


class RequestMeter:
    """Records the time to the first chunk, sampled gaps between chunks and the outcome.

    The first sampled gap depends on the request id, so that all positions in an answer are
    sampled equally often.

    :param request: the request to measure.
    :param metrics: receives the measurements.
    :param clock: source of time.
    """

    __slots__ = (
        "_chunks_to_skip",
        "_clock",
        "_gap_started_at",
        "_is_recorded",
        "_metrics",
        "_request",
        "_started_at",
    )

    def __init__(self, request: CallerRequest, metrics: Metrics, clock: Clock) -> None:
        self._request = request
        self._metrics = metrics
        self._clock = clock
        self._started_at = clock.monotonic()
        self._gap_started_at: float | None = None
        # Negative until the first chunk has arrived.
        self._chunks_to_skip = -1
        self._is_recorded = False
        metrics.count_authenticated_request(request.workspace)

    def record_chunk(self) -> None:
        """Record the arrival of a chunk of the answer."""
        if self._chunks_to_skip > 0:
            self._chunks_to_skip -= 1
        elif self._chunks_to_skip < 0:
            self._record_first_chunk()
        elif self._gap_started_at is None:
            self._gap_started_at = self._clock.monotonic()
        else:
            self._record_gap(self._gap_started_at)

    def record_end(self, event: Finished | Failed) -> None:
        """Record the outcome from the last event of the answer."""
        match event:
            case Finished():
                self._record_outcome("run", event.usage)
            case Failed(outcome=outcome):
                self._metrics.count_refusal(self._request.workspace, event.reason)
                usage = outcome.usage if isinstance(outcome, Run) else None
                self._record_outcome(outcome_label(outcome), usage)

    def close(self) -> None:
        """Record that the caller disconnected, unless the answer has ended before."""
        self._record_outcome(_CALLER_LEFT, None)

    def _record_first_chunk(self) -> None:
        """Record the time to the first chunk, and choose the first gap to sample."""
        seconds = self._clock.monotonic() - self._started_at
        self._metrics.record_first_token(self._request.workspace, self._request.priority, seconds)
        self._chunks_to_skip = zlib.crc32(self._request.request_id.encode()) % GAP_SAMPLING_INTERVAL

    def _record_gap(self, gap_started_at: float) -> None:
        """Record the time since the previous chunk, and skip chunks until the next sample."""
        seconds = self._clock.monotonic() - gap_started_at
        self._metrics.record_time_between_tokens(
            self._request.workspace, self._request.priority, seconds
        )
        self._gap_started_at = None
        self._chunks_to_skip = GAP_SAMPLING_INTERVAL - 2

    def _record_outcome(self, outcome: str, usage: Usage | None) -> None:
        """Count the finished request and its tokens; later calls have no effect."""
        if self._is_recorded:
            return
        self._is_recorded = True
        request = self._request
        self._metrics.count_finished_request(request.workspace, request.priority, outcome, usage)


class NullMeter:
    """Records nothing; used for forwarded requests, which the forwarding router measures."""

    def record_chunk(self) -> None:
        """Record nothing."""

    def record_end(self, event: Finished | Failed) -> None:
        """Record nothing."""

    def close(self) -> None:
        """Record nothing."""
