"""Records the attempts of a request in the budget and the journal, and settles its bill."""

import asyncio
from dataclasses import dataclass, field

from returns.result import Failure, Success

from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import FencedError
from quinceferry_core.journals import Begin, Settle
from quinceferry_core.ledgers import UnrecordedUse
from quinceferry_core.models import CallerRequest, UpstreamSpec
from quinceferry_core.outcomes import Failed, NotRun, NotRunProof, RefusalReason, Unknown
from quinceferryd.accounts import Account, AccountController
from quinceferryd.billing import compute_bill
from quinceferryd.blackboard import Blackboard
from quinceferryd.copy_sender import CopySender
from quinceferryd.journal import PendingEntry
from quinceferryd.settings import JournalSettings
from quinceferryd.shortages import ForwardTo, ShortageHandler
from quinceferryd.stream_results import StreamResult

RETRY_SECONDS = 2.0
"""Retry delay for callers after a refusal that is specific to this router."""

NEVER_SENT = NotRun(NotRunProof.NEVER_SENT)

BILLING_UNREACHABLE = Failed(
    RefusalReason.BILLING_UNREACHABLE,
    NEVER_SENT,
    RETRY_SECONDS,
    "the bill cannot be recorded now",
    step="journal.append",
)

_NO_TOKENS_FOR_RETRY = Failed(
    RefusalReason.BUDGET_UNREACHABLE,
    Unknown(),
    RETRY_SECONDS,
    "there are no tokens for another attempt",
    step="budget.reserve",
)


def router_not_ready_refusal(step: str) -> Failed:
    """Return the refusal of a router that has no open incarnation to run a request under."""
    detail = "this router is not a member of the fleet now"
    return Failed(RefusalReason.ROUTER_NOT_READY, NEVER_SENT, RETRY_SECONDS, detail, step=step)


def router_stopping_refusal() -> Failed:
    """Return the refusal of a request that may still run when its router's stop aborts requests."""
    detail = "this router stops before the request is due; use another address"
    return Failed(RefusalReason.ROUTER_STOPPING, NEVER_SENT, RETRY_SECONDS, detail, step="submit")


@dataclass(slots=True)
class Execution:
    """A request in progress and the account that pays for it.

    ``token_cap`` limits the prompt and output tokens of each attempt; ``attempts`` is the number of
    attempts for which tokens were reserved.
    """

    request: CallerRequest
    account: Account
    token_cap: int
    attempts: int = 0
    result: StreamResult = field(default_factory=StreamResult)
    unrecorded: list[UnrecordedUse] = field(default_factory=list)


class RequestRecorder:
    """Updates the budget and the journal for the attempts of a request."""

    def __init__(
        self,
        blackboard: Blackboard,
        accounts: AccountController,
        shortages: ShortageHandler,
        copies: CopySender,
        clock: Clock,
        settings: JournalSettings,
    ) -> None:
        self._blackboard = blackboard
        self._accounts = accounts
        self._shortages = shortages
        self._copies = copies
        self._clock = clock
        self._settings = settings

    async def begin(
        self, execution: Execution, upstream: UpstreamSpec, attempt: int
    ) -> Failed | None:
        """Reserve tokens for an attempt and record it in the journal, before it is sent.

        The tokens of the first attempt are already reserved.

        :return: the reason why the attempt must not be sent, or None.
        """
        if execution.attempts > 0:
            failed = await self._reserve_for_retry(execution)
            if failed is not None:
                return failed
        execution.attempts += 1
        request = execution.request
        entry = Begin(
            request.workspace, request.request_id, attempt, upstream.id, execution.token_cap
        )
        try:
            return await self._commit(execution, entry)
        except FencedError:
            return router_not_ready_refusal("journal.append")

    def settle(self, execution: Execution) -> PendingEntry | None:
        """Charge the budget for all attempts that may have run, and append the bill."""
        request, account = execution.request, execution.account
        bill = compute_bill(execution.result, execution.token_cap, request.max_output_tokens)
        spent = bill.tokens + bill.lost
        account.allotments.settle(request.workspace, request.request_id, spent)
        ledger = account.allotments.ledger(request.workspace)
        for use in execution.unrecorded:
            ledger.lower_unrecorded(use, spent)
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

    async def wait_until_recorded(self, settled: PendingEntry) -> None:
        """Wait until a bill survives a crash of this router: it is durable or held by a peer.

        The wait is limited to ``commit_patience_seconds``, because the caller already has the
        output.
        """
        deadline = self._clock.monotonic() + self._settings.commit_patience_seconds
        wait_seconds = self._commit_wait_seconds(requires_durable_entry=False)
        while not settled.committed.done() and self._clock.monotonic() < deadline:
            await asyncio.wait([settled.committed], timeout=wait_seconds)
            if settled.committed.done() or await self._copies.place(settled.copy):
                return
            wait_seconds = self._settings.copy_after_seconds

    async def _reserve_for_retry(self, execution: Execution) -> Failed | None:
        """Reserve tokens for another attempt, because the previous one may be charged too."""
        reservation = await self._shortages.reserve_or_find_holders(
            execution.account, execution.request, execution.token_cap
        )
        match reservation:
            case Failure(failed):
                return failed
            case Success(ForwardTo()):
                return _NO_TOKENS_FOR_RETRY
            case _:
                return None

    async def _commit(self, execution: Execution, begin: Begin) -> Failed | None:
        """Wait for an entry to become durable, or use tokens that need no durable entry.

        After a timeout the request uses outage tokens, and a peer must hold a copy of the entry.

        :return: the reason why the attempt must not be sent, or None.
        :raises FencedError: another router has closed this incarnation.
        """
        appended = execution.account.journal.append(begin)
        committed = appended.committed
        requires_durable_entry = _requires_durable_entry(execution.request)
        await asyncio.wait([committed], timeout=self._commit_wait_seconds(requires_durable_entry))
        if committed.done():
            committed.result()
            return None
        if requires_durable_entry:
            return BILLING_UNREACHABLE
        ledger = execution.account.allotments.ledger(begin.workspace)
        use = ledger.add_unrecorded(begin.reserved)
        if use is None:
            return BILLING_UNREACHABLE
        execution.unrecorded.append(use)
        committed.add_done_callback(lambda _: ledger.lower_unrecorded(use, 0))
        is_held = await self._copies.place(appended.copy)
        return None if is_held else BILLING_UNREACHABLE

    def _commit_wait_seconds(self, requires_durable_entry: bool) -> float:
        """Return how long to wait for a commit, in seconds; zero during an outage."""
        if not self._blackboard.kv.available:
            return 0.0
        if requires_durable_entry:
            return self._settings.commit_patience_seconds
        return self._settings.copy_after_seconds


def _requires_durable_entry(request: CallerRequest) -> bool:
    """Return whether other routers take a missing entry as proof that the request did not run."""
    if request.idempotent:
        return False
    return request.ticket is None or request.ticket.journaled
