"""Execution of one request on this router: reserve, admit, record, dispatch and settle."""

import math
from contextlib import aclosing

from returns.result import Failure, Result, Success

from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import FencedError
from quinceferry_core.models import CallerRequest, RequestKind, UpstreamSpec
from quinceferry_core.outcomes import AnswerEvent, Chunk, Failed, Finished
from quinceferryd.accounts import AccountController
from quinceferryd.blackboard import Blackboard
from quinceferryd.forwards import Forwarder
from quinceferryd.journal import PendingEntry
from quinceferryd.metrics import Metrics
from quinceferryd.recording import (
    BILLING_UNREACHABLE,
    Execution,
    RequestRecorder,
    router_not_ready_refusal,
    router_stopping_refusal,
)
from quinceferryd.runs import RequestRun
from quinceferryd.scheduling import Permit, Scheduler
from quinceferryd.shortages import ForwardTo, ShortageHandler, may_forward
from quinceferryd.streams import StreamRunner

MAX_TEMPLATE_TOKENS = 16
"""Upper bound of the tokens that the chat template of an engine adds to a prompt."""


class Executor:
    """Executes requests under the account of the current incarnation.

    :param shortages: finds tokens for a request, or the routers that have them.
    :param recorder: records attempts and settlements in the journal.
    :param forwarder: sends requests to other routers.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        accounts: AccountController,
        shortages: ShortageHandler,
        scheduler: Scheduler,
        streams: StreamRunner,
        recorder: RequestRecorder,
        forwarder: Forwarder,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._blackboard = blackboard
        self._accounts = accounts
        self._shortages = shortages
        self._scheduler = scheduler
        self._streams = streams
        self._recorder = recorder
        self._forwarder = forwarder
        self._clock = clock
        self._metrics = metrics

    async def execute(self, run: RequestRun, request: CallerRequest) -> None:
        """Run a request and publish its events; the final event states the outcome.

        Cancellation stops the run at the upstream and settles the tokens it generated.
        """
        account = self._accounts.current
        if account is None:
            run.publish(router_not_ready_refusal("execute"))
            return
        if not self._blackboard.serves_until(self._clock.monotonic() + request.deadline_seconds):
            # Refused as a run: the run store keeps the refusal of a non-idempotent request, so that
            # a late duplicate with an earlier deadline does not run beside one with a new ticket.
            run.publish(router_stopping_refusal())
            return
        execution = Execution(request, account, self._token_cap(request))
        account.open_requests += 1
        try:
            await self._reserve_and_run(run, execution)
        finally:
            self._accounts.release(account)

    async def _reserve_and_run(self, run: RequestRun, execution: Execution) -> None:
        """Reserve tokens and run a request here, or forward it to a router that has tokens."""
        account, request = execution.account, execution.request
        try:
            reservation = await self._shortages.reserve_or_find_holders(
                account, request, execution.token_cap
            )
        except FencedError:
            run.publish(router_not_ready_refusal("budget.reserve"))
            return
        match reservation:
            case Failure(failed):
                run.publish(failed)
            case Success(ForwardTo(members=members)):
                await self._forwarder.forward(run, request, members)
            case Success(_):
                await self._run_locally(run, execution)

    async def _run_locally(self, run: RequestRun, execution: Execution) -> None:
        """Run a request whose tokens are reserved, and settle it in every case."""
        permit: Permit | None = None
        final_event: AnswerEvent | None = None
        settled: PendingEntry | None = None
        try:
            admitted = await self._admit(execution)
            if isinstance(admitted, Failure):
                final_event = admitted.failure()
            else:
                permit = admitted.unwrap()
                final_event = await self._relay(run, execution)
        finally:
            if permit is not None:
                permit.release()
            settled = self._recorder.settle(execution)
        if settled is not None and isinstance(final_event, Finished):
            await self._recorder.wait_until_recorded(settled)
        was_never_sent = not execution.result.possible_runs
        if final_event == BILLING_UNREACHABLE and was_never_sent and may_forward(execution.request):
            members = self._shortages.live_holders(execution.account, execution.request.workspace)
            await self._forwarder.forward(run, execution.request, members, BILLING_UNREACHABLE)
        elif final_event is not None:
            run.publish(final_event)

    async def _admit(self, execution: Execution) -> Result[Permit, Failed]:
        """Admit a request and record its waiting time."""
        request = execution.request
        started_at = self._clock.monotonic()
        admitted = await self._scheduler.admit(request, execution.token_cap)
        waited_seconds = self._clock.monotonic() - started_at
        self._metrics.record_queue_wait(request.workspace, request.priority, waited_seconds)
        return admitted

    async def _relay(self, run: RequestRun, execution: Execution) -> AnswerEvent | None:
        """Publish the chunks of the upstream's answer and return its final event."""

        async def on_dispatch(upstream: UpstreamSpec, attempt: int) -> Failed | None:
            return await self._recorder.begin(execution, upstream, attempt)

        final_event: AnswerEvent | None = None
        events = self._streams.run(
            execution.request, execution.token_cap, on_dispatch, execution.result
        )
        async with aclosing(events):
            async for event in events:
                if isinstance(event, Chunk):
                    run.publish(event)
                else:
                    final_event = event
        return final_event

    def _token_cap(self, request: CallerRequest) -> int:
        """Return an upper bound of the tokens that one run of a request can use.

        Plain services use no tokens.
        """
        if request.kind is RequestKind.SERVICE:
            return 0
        model = self._blackboard.configuration.models_by_name.get(request.target.model)
        bytes_per_token = model.min_bytes_per_token if model else 1.0
        prompt_token_bound = math.ceil(len(request.prompt.encode()) / bytes_per_token)
        template_tokens = MAX_TEMPLATE_TOKENS if request.kind is RequestKind.CHAT else 0
        return prompt_token_bound + template_tokens + request.max_output_tokens
