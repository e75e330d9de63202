"""Runs one request on this router: reserve, admit, record, dispatch, settle."""

import asyncio
import math
from contextlib import aclosing
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from quinceferry_core.adapters import PeerClient
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import FencedError, PeerNotBegunError, PeerUnavailableError
from quinceferry_core.journals import Begin, Settle
from quinceferry_core.ledgers import UnrecordedUse
from quinceferry_core.membership import Member
from quinceferry_core.models import CallerRequest, RequestKind, UpstreamSpec
from quinceferry_core.outcomes import (
    AnswerEvent,
    Chunk,
    Failed,
    Finished,
    NotRun,
    NotRunProof,
    RefusalReason,
    Unknown,
)
from quinceferryd.accounts import Account, AccountController
from quinceferryd.billing import bill_of
from quinceferryd.blackboard import Blackboard
from quinceferryd.copy_sender import CopySender
from quinceferryd.forwards import forward
from quinceferryd.journal import Appended
from quinceferryd.metrics import Metrics
from quinceferryd.runs import RequestRun
from quinceferryd.scheduling import Permit, Scheduler
from quinceferryd.settings import JournalSettings
from quinceferryd.shortages import ForwardTo, ShortageHandler
from quinceferryd.stream_results import StreamResult
from quinceferryd.streams import StreamRunner

RETRY_SECONDS = 2.0
"""When to ask again after a refusal that another router need not share."""
TEMPLATE_TOKENS = 16
"""Upper bound of the tokens that an engine's chat template adds to a prompt."""

NEVER_SENT = NotRun(NotRunProof.NEVER_SENT)


_BILLING_UNREACHABLE = Failed(
    RefusalReason.BILLING_UNREACHABLE,
    NEVER_SENT,
    RETRY_SECONDS,
    "the bill cannot be recorded now",
    step="journal.append",
)


_NO_HOLDER_REACHED = Failed(
    RefusalReason.BUDGET_UNREACHABLE,
    NEVER_SENT,
    RETRY_SECONDS,
    "no router that holds tokens can be reached",
    step="budget.forward",
)


def not_ready(step: str) -> Failed:
    """Return the refusal of a router that has no incarnation to run a request under."""
    detail = "this router is not a member of the fleet now"
    return Failed(RefusalReason.ROUTER_NOT_READY, NEVER_SENT, RETRY_SECONDS, detail, step=step)


@dataclass(slots=True)
class _Execution:
    """One request in progress under one account.

    ``token_cap`` bounds prompt and output of each attempt; ``attempts`` counts the reservations.
    """

    request: CallerRequest
    account: Account
    token_cap: int
    attempts: int = 0
    result: StreamResult = field(default_factory=StreamResult)
    unrecorded: list[UnrecordedUse] = field(default_factory=list)


class Executor:
    """Runs requests under the current incarnation's account."""

    def __init__(
        self,
        blackboard: Blackboard,
        accounts: AccountController,
        shortages: ShortageHandler,
        scheduler: Scheduler,
        streams: StreamRunner,
        peers: PeerClient,
        copies: CopySender,
        settings: JournalSettings,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._blackboard = blackboard
        self._accounts = accounts
        self._shortages = shortages
        self._scheduler = scheduler
        self._streams = streams
        self._peers = peers
        self._copies = copies
        self._settings = settings
        self._clock = clock
        self._metrics = metrics

    async def execute(self, run: RequestRun, request: CallerRequest) -> None:
        """Run a request and publish its events; the last one tells the outcome.

        Cancellation stops the upstream and settles what it generated.
        """
        account = self._accounts.current
        if account is None:
            run.publish(not_ready("execute"))
            return
        execution = _Execution(request, account, self._token_cap(request))
        account.open_requests += 1
        try:
            await self._cover_and_run(run, execution)
        finally:
            self._accounts.release(account)

    async def _cover_and_run(self, run: RequestRun, execution: _Execution) -> None:
        """Run a request where there are tokens for it."""
        account, request = execution.account, execution.request
        try:
            covered = await self._shortages.cover(account, request, execution.token_cap)
        except FencedError:
            run.publish(not_ready("budget.reserve"))
            return
        match covered:
            case Failure(failed):
                run.publish(failed)
            case Success(ForwardTo(members=members)):
                await self._forward(run, request, members, _NO_HOLDER_REACHED)
            case Success(_):
                await self._run_here(run, execution)

    async def _run_here(self, run: RequestRun, execution: _Execution) -> None:
        """Run a request whose tokens are reserved, and settle it whatever happens."""
        permit: Permit | None = None
        last: AnswerEvent | None = None
        settled: Appended | None = None
        try:
            admitted = await self._admit(execution)
            if isinstance(admitted, Failure):
                last = admitted.failure()
            else:
                permit = admitted.unwrap()
                last = await self._relay(run, execution)
        finally:
            if permit is not None:
                permit.leave()
            settled = self._settle(execution)
        if settled is not None and isinstance(last, Finished):
            await self._secure(settled)
        if last == _BILLING_UNREACHABLE and self._may_move(execution):
            members = self._shortages.holders(execution.account, execution.request.workspace)
            await self._forward(run, execution.request, members, _BILLING_UNREACHABLE)
        elif last is not None:
            run.publish(last)

    async def _admit(self, execution: _Execution) -> Result[Permit, Failed]:
        """Enter the queue and record how long it took."""
        request = execution.request
        started_at = self._clock.monotonic()
        admitted = await self._scheduler.enter(request, execution.token_cap)
        waited = self._clock.monotonic() - started_at
        self._metrics.queue_wait(request.workspace, request.priority, waited)
        return admitted

    async def _relay(self, run: RequestRun, execution: _Execution) -> AnswerEvent | None:
        """Publish the chunks of the upstream's answer and return its last event."""

        async def on_dispatch(upstream: UpstreamSpec, attempt: int) -> Failed | None:
            return await self._record_attempt(execution, upstream, attempt)

        last: AnswerEvent | None = None
        events = self._streams.run(
            execution.request, execution.token_cap, on_dispatch, execution.result
        )
        async with aclosing(events):
            async for event in events:
                if isinstance(event, Chunk):
                    run.publish(event)
                else:
                    last = event
        return last

    async def _record_attempt(
        self, execution: _Execution, upstream: UpstreamSpec, attempt: int
    ) -> Failed | None:
        """Reserve for a further attempt and make its journal entry durable before it is sent.

        :return: why the attempt must not be sent, or None.
        """
        if execution.attempts > 0:
            failed = await self._reserve_again(execution)
            if failed is not None:
                return failed
        execution.attempts += 1
        request = execution.request
        begin = Begin(
            request.workspace, request.request_id, attempt, upstream.id, execution.token_cap
        )
        try:
            return await self._commit(execution, begin)
        except FencedError:
            return not_ready("journal.append")

    async def _reserve_again(self, execution: _Execution) -> Failed | None:
        """Reserve tokens for one more attempt, since the one before may be charged as well."""
        covered = await self._shortages.cover(
            execution.account, execution.request, execution.token_cap
        )
        match covered:
            case Failure(failed):
                return failed
            case Success(ForwardTo()):
                detail = "no tokens for another attempt"
                return Failed(
                    RefusalReason.BUDGET_UNREACHABLE, Unknown(), RETRY_SECONDS, detail, "retry"
                )
            case _:
                return None

    async def _commit(self, execution: _Execution, begin: Begin) -> Failed | None:
        """Wait for an entry to be durable, or use tokens that may be spent without.

        :raises FencedError: another router has closed this incarnation.
        """
        appended = execution.account.journal.append(begin)
        committed = appended.committed
        await asyncio.wait([committed], timeout=self._patience())
        if committed.done():
            committed.result()
            return None
        ledger = execution.account.allotments.ledger(begin.workspace)
        if self._must_be_recorded(execution.request):
            return _BILLING_UNREACHABLE
        use = ledger.enter_unrecorded(begin.reserved)
        if use is None:
            return _BILLING_UNREACHABLE
        execution.unrecorded.append(use)
        committed.add_done_callback(lambda _: ledger.change_unrecorded(use, 0))
        if not await self._copies.place(appended.copy):
            return _BILLING_UNREACHABLE
        return None

    async def _secure(self, settled: Appended) -> None:
        """Wait until a bill outlives this router: durable, or held by another router."""
        await asyncio.wait([settled.committed], timeout=self._patience())
        if not settled.committed.done():
            await self._copies.place(settled.copy)

    def _may_move(self, execution: _Execution) -> bool:
        """Tell whether another router may run a request that was not sent here."""
        request = execution.request
        return request.idempotent and not request.forwarded and not execution.result.uses

    def _patience(self) -> float:
        """Return how long to wait for a commit, in seconds; not at all during an outage."""
        return self._settings.commit_patience_seconds if self._blackboard.kv.available else 0.0

    def _must_be_recorded(self, request: CallerRequest) -> bool:
        """Tell whether others take the journal's silence as proof that the request did not run."""
        if request.idempotent:
            return False
        return request.ticket is None or request.ticket.journaled

    def _settle(self, execution: _Execution) -> Appended | None:
        """Charge the budget and append the bill for whatever may have run."""
        request = execution.request
        account = execution.account
        bill = bill_of(execution.result, execution.token_cap, request.max_output_tokens)
        spent = bill.tokens + bill.lost
        account.allotments.settle(request.workspace, request.request_id, spent)
        ledger = account.allotments.ledger(request.workspace)
        for use in execution.unrecorded:
            ledger.change_unrecorded(use, spent)
            spent -= use.tokens
        entry = Settle(
            request.workspace,
            request.request_id,
            bill.tokens,
            run=bill.run,
            origin=account.incarnation,
            estimated=bill.estimated,
            partial=not execution.result.finished,
            lost=bill.lost,
        )
        return self._accounts.settle(account, entry)

    async def _forward(
        self,
        run: RequestRun,
        request: CallerRequest,
        members: tuple[Member, ...],
        failed: Failed,
    ) -> None:
        """Have the first peer that can, run an idempotent request.

        :param failed: published if none can.
        """
        for member in members:
            started = False
            try:
                async with aclosing(forward(self._peers, member.address, request)) as events:
                    async for event in events:
                        if isinstance(event, Failed) and isinstance(event.outcome, NotRun):
                            failed = event
                            break
                        started = started or isinstance(event, Chunk)
                        run.publish(event)
            except PeerNotBegunError:
                continue
            except PeerUnavailableError as error:
                failed = Failed(
                    RefusalReason.BUDGET_UNREACHABLE,
                    Unknown(),
                    RETRY_SECONDS,
                    str(error),
                    step="budget.forward",
                    peer=member.address,
                )
                if started:
                    break
            if run.outcome is not None:
                return
        run.publish(failed)

    def _token_cap(self, request: CallerRequest) -> int:
        """Return an upper bound of the tokens that one run of a request can use."""
        if request.kind is RequestKind.SERVICE:
            return 0
        model = self._blackboard.configuration.models_by_name.get(request.target.model)
        bytes_per_token = model.min_bytes_per_token if model else 1.0
        prompt = math.ceil(len(request.prompt.encode()) / bytes_per_token)
        return prompt + TEMPLATE_TOKENS + request.max_output_tokens
