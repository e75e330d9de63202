"""Runs requests at upstreams and relays their answers whole, once and in order."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable

from quinceferry_core.adapters import UpstreamClient
from quinceferry_core.clocks import Clock
from quinceferry_core.models import CallerRequest
from quinceferry_core.outcomes import AnswerEvent
from quinceferry_core.retries import RetryBudget
from quinceferryd.answer_buffer import AnswerBuffer
from quinceferryd.attempts import AttemptLoop
from quinceferryd.blackboard import Blackboard, Identity
from quinceferryd.crashes import CrashWatch
from quinceferryd.scheduling import Scheduler
from quinceferryd.settings import StreamSettings
from quinceferryd.stream_contexts import StreamContext, StreamCounters
from quinceferryd.stream_results import DispatchHook, StreamResult


class StreamRunner:
    """Runs requests at upstreams.

    :param upstreams: connections to them.
    :param scheduler: chooses upstreams and keeps their load.
    :param rng: source of back-off jitter.
    :param crashes: knows which content must not be run.
    :param identity: returns this router's incarnation and fencing number.
    """

    def __init__(
        self,
        upstreams: UpstreamClient,
        scheduler: Scheduler,
        blackboard: Blackboard,
        clock: Clock,
        rng: random.Random,
        settings: StreamSettings,
        identity: Callable[[], Identity] | None = None,
        crashes: CrashWatch | None = None,
    ) -> None:
        self._context = StreamContext(
            upstreams,
            scheduler,
            clock,
            rng,
            settings,
            identity or (lambda: blackboard.identity),
            RetryBudget(settings.retry_share),
            crashes or CrashWatch(blackboard, clock),
        )

    @property
    def crashes(self) -> CrashWatch:
        """Return what knows which content must not be run."""
        return self._context.crashes

    @property
    def counters(self) -> StreamCounters:
        """Return the counts since start, for metrics."""
        return self._context.counters

    async def run(
        self,
        request: CallerRequest,
        token_cap: int,
        on_dispatch: DispatchHook,
        result: StreamResult | None = None,
    ) -> AsyncIterator[AnswerEvent]:
        """Run a request and yield its answer, ending with ``Finished`` or ``Failed``.

        Closing the iterator cancels the run at the upstream and completes ``result``.

        :param token_cap: bound on prompt and output tokens of each attempt.
        :param on_dispatch: awaited before any byte of a run leaves; its errors are raised here.
        :param result: accounting to fill in.
        """
        buffer = AnswerBuffer(self._context.settings.max_buffered_chunks)
        attempt_loop = AttemptLoop(
            self._context,
            request,
            token_cap,
            on_dispatch,
            StreamResult() if result is None else result,
            buffer,
        )
        self._context.retry_budget.deposit()
        task = asyncio.create_task(attempt_loop.run(), name=f"stream {request.request_id}")
        try:
            while (event := await buffer.get()) is not None:
                yield event
        finally:
            await attempt_loop.close(task)
