"""Runs requests at upstreams and relays each answer completely, in order and without duplicates."""

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

    :param upstreams: client for upstreams.
    :param scheduler: chooses upstreams and tracks their load.
    :param rng: random generator for the backoff jitter.
    :param identity: returns this router's incarnation and fencing number.
    :param crash_watch: decides which content is quarantined.
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
        crash_watch: CrashWatch | None = None,
    ) -> None:
        self._context = StreamContext(
            upstreams,
            scheduler,
            clock,
            rng,
            settings,
            identity or (lambda: blackboard.identity),
            RetryBudget(settings.retry_share),
            crash_watch or CrashWatch(blackboard, clock),
        )

    @property
    def crash_watch(self) -> CrashWatch:
        """Return the watch that decides which content is quarantined."""
        return self._context.crash_watch

    @property
    def counters(self) -> StreamCounters:
        """Return the counters since the start of the process, for metrics."""
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

        :param token_cap: upper bound of the prompt and output tokens of each attempt.
        :param on_dispatch: awaited before the first byte of a run is sent; its errors are raised
            here.
        :param result: accounting of the attempts, updated in place.
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
