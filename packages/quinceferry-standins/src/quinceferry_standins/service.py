"""In-process stand-in for a plain service whose calls may not be repeated."""

from collections import Counter
from collections.abc import AsyncIterator

from quinceferry_core.adapters import Dispatch, LoadReport
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import UpstreamNotSentError
from quinceferry_core.models import CallerRequest, RequestId, UpstreamId, Usage, WorkspaceId
from quinceferry_core.outcomes import AnswerEvent, Chunk, Finished
from quinceferry_standins.runs import RunRecord

DEFAULT_CALL_SECONDS = 0.05
CONTENT_TYPE = "application/octet-stream"
"""Media type of every answer."""


def expected_reply(request: CallerRequest) -> bytes:
    """Return the answer of the stand-in service to a request."""
    head = f"{request.method} {request.path} {request.workspace} {request.request_id} "
    return head.encode() + request.body


class FakeService:
    """A plain service; ``runs`` records what it really executed.

    :param upstream: identifier of the service instance.
    :param call_seconds: duration of one call.
    """

    def __init__(
        self, clock: Clock, upstream: UpstreamId, call_seconds: float = DEFAULT_CALL_SECONDS
    ) -> None:
        self.upstream = upstream
        self.runs: list[RunRecord] = []
        self.leaving_since: float | None = None
        self.down = False
        self._clock = clock
        self._call_seconds = call_seconds
        self._running = 0

    def executions(self) -> Counter[tuple[WorkspaceId, RequestId]]:
        """Count the executions of each request."""
        return Counter((run.workspace, run.request_id) for run in self.runs)

    async def call(self, dispatch: Dispatch) -> None:
        """Execute a call; it is executed whole even if the caller goes away.

        :raises UpstreamNotSentError: the service is down.
        """
        self._check_up("service.call")
        now = self._clock.monotonic()
        record = RunRecord.of(dispatch, now)
        record.started_at = now
        self.runs.append(record)
        self._running += 1
        try:
            await self._clock.sleep(self._call_seconds)
        finally:
            record.finished = True
            self._running -= 1

    async def run(self, dispatch: Dispatch) -> AsyncIterator[AnswerEvent]:
        """Execute a call and return its answer as one chunk of data."""
        await self.call(dispatch)
        yield Chunk(0, 0, "", expected_reply(dispatch.request))
        yield Finished(Usage(0, 0), content_type=CONTENT_TYPE)

    def load(self) -> LoadReport:
        """Return the current load."""
        self._check_up("service.load")
        leaving = self.leaving_since is not None
        return LoadReport(self._running, 0, 0, free_slots=0, leaving=leaving)

    def leave(self) -> None:
        """Report from now on that the service is leaving; it still takes work."""
        self.leaving_since = self._clock.monotonic()

    def _check_up(self, step: str) -> None:
        """Raise when nobody listens."""
        if self.down:
            raise UpstreamNotSentError("connection refused", step=step, peer=self.upstream)
