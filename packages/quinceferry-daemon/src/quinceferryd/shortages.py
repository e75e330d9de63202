"""Handles requests that need more tokens than this router's allotment has available."""

import asyncio
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from quinceferry_core.adapters import PeerClient
from quinceferry_core.budgets import BudgetShortfall
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import PeerUnavailableError
from quinceferry_core.membership import Member
from quinceferry_core.models import CallerRequest, WorkspaceId
from quinceferry_core.outcomes import Failed, NotRun, NotRunProof, RefusalReason
from quinceferryd.accounts import Account
from quinceferryd.blackboard import Blackboard
from quinceferryd.holdings import BudgetUnreachable
from quinceferryd.settings import BudgetSettings

BUSY_RETRY_SECONDS = 2.0
"""Retry delay for callers while tokens are reserved for requests in progress."""
UNREACHABLE_RETRY_SECONDS = 5.0
"""Retry delay for callers while the budget record or a router with tokens is unreachable."""


@dataclass(slots=True, frozen=True)
class Reserved:
    """The tokens of the request are reserved at this router."""


@dataclass(slots=True, frozen=True)
class ForwardTo:
    """Other routers hold tokens; the request should run at one of them."""

    members: tuple[Member, ...]


ReserveOutcome = Reserved | ForwardTo


@dataclass(slots=True)
class _RecallResult:
    """Tokens that peers returned and number of peers that were unreachable."""

    returned_tokens: int = 0
    unreachable_peers: int = 0


def may_forward(request: CallerRequest) -> bool:
    """Return whether the request may be forwarded: it is idempotent and not already forwarded."""
    return request.idempotent and not request.forwarded


class ShortageHandler:
    """Finds tokens for a request beyond this router's own allotment.

    While the key-value service is available, peers return unused tokens to the budget record, from
    which this router draws them. During an outage tokens cannot be moved safely, so the request is
    forwarded to a router that holds tokens.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        peers: PeerClient,
        clock: Clock,
        settings: BudgetSettings,
    ) -> None:
        self._blackboard = blackboard
        self._peers = peers
        self._clock = clock
        self._settings = settings
        self._locks_by_workspace: dict[WorkspaceId, asyncio.Lock] = {}

    async def reserve_or_find_holders(
        self, account: Account, request: CallerRequest, tokens: int
    ) -> Result[ReserveOutcome, Failed]:
        """Reserve tokens for a request at this router, or find peers that hold tokens.

        Wait for running requests to settle if no tokens are free, at most for the configured time.

        :return: where the request can run, or the refusal that states why it cannot.
        """
        deadline = self._clock.monotonic() + self._settings.settle_wait_seconds
        while True:
            reserved = await account.allotments.reserve(
                request.workspace, request.request_id, tokens
            )
            if isinstance(reserved, Success):
                return Success(Reserved())
            match reserved.failure():
                case BudgetUnreachable():
                    return self._forward(account, request)
                case BudgetShortfall():
                    recalled = await self._recall_from_peers(account, request.workspace, tokens)
                    if recalled.returned_tokens > 0:
                        continue
            wait_seconds = deadline - self._clock.monotonic()
            workspace = request.workspace
            if wait_seconds <= 0 or not await account.allotments.wait_settled(
                workspace, wait_seconds
            ):
                return Failure(self._shortage_refusal(account, request, recalled))

    async def _recall_from_peers(
        self, account: Account, workspace: WorkspaceId, tokens: int
    ) -> _RecallResult:
        """Recall unused tokens from peers until enough are returned; one recall at a time."""
        lock = self._locks_by_workspace.setdefault(workspace, asyncio.Lock())
        async with lock:
            recalled = _RecallResult()
            wanted = tokens - account.allotments.ledger(workspace).available
            for member in self.live_holders(account, workspace):
                if recalled.returned_tokens >= wanted:
                    break
                await self._recall_from(
                    member, workspace, wanted - recalled.returned_tokens, recalled
                )
            return recalled

    async def _recall_from(
        self, member: Member, workspace: WorkspaceId, wanted: int, recalled: _RecallResult
    ) -> None:
        """Recall unused tokens from one peer and add the reply to ``recalled``."""
        try:
            reply = await self._peers.recall(member.address, workspace, wanted)
        except PeerUnavailableError:
            recalled.unreachable_peers += 1
            return
        recalled.returned_tokens += reply.returned

    def _forward(self, account: Account, request: CallerRequest) -> Result[ReserveOutcome, Failed]:
        """Choose peers to forward the request to while tokens cannot be moved."""
        holders = self.live_holders(account, request.workspace) if may_forward(request) else ()
        if holders:
            return Success(ForwardTo(holders))
        return Failure(
            Failed(
                RefusalReason.BUDGET_UNREACHABLE,
                NotRun(NotRunProof.NEVER_SENT),
                UNREACHABLE_RETRY_SECONDS,
                "the budget record cannot be reached and this router's allotment is used up",
                step="budget.reserve",
            )
        )

    def live_holders(self, account: Account, workspace: WorkspaceId) -> tuple[Member, ...]:
        """Return the live peers with unspent tokens in the last read record, most tokens first."""
        holding = account.allotments.holdings_by_workspace.get(workspace)
        if holding is None or holding.record is None:
            return ()
        unspent_by_incarnation = {
            incarnation: allotment.drawn - allotment.spent
            for incarnation, allotment in holding.record.allotments_by_incarnation.items()
            if incarnation != account.incarnation and not allotment.closed
        }
        members = self._blackboard.members_by_incarnation
        own_address = self._blackboard.identity.address
        live = [
            name
            for name in unspent_by_incarnation
            if name in members and members[name].address != own_address
        ]
        live.sort(key=lambda name: (-unspent_by_incarnation[name], name))
        return tuple(members[name] for name in live)

    def _shortage_refusal(
        self, account: Account, request: CallerRequest, recalled: _RecallResult
    ) -> Failed:
        """Return the refusal that states whether the budget is spent, reserved or unreachable."""
        ledger = account.allotments.ledger(request.workspace)
        record = account.allotments.holdings_by_workspace[request.workspace].record
        tokens_held_by_others = 0
        if record is not None:
            own_allotment = record.allotments_by_incarnation.get(account.incarnation)
            tokens_held_by_others = record.outstanding - (
                own_allotment.drawn if own_allotment else 0
            )
        if recalled.unreachable_peers and tokens_held_by_others > 0:
            reason, retry = RefusalReason.BUDGET_UNREACHABLE, UNREACHABLE_RETRY_SECONDS
            detail = "a router that holds a part of the budget cannot be reached"
        elif ledger.reserved > 0 or tokens_held_by_others > 0:
            reason, retry = RefusalReason.BUDGET_SPENT, BUSY_RETRY_SECONDS
            detail = "the rest of the budget is reserved for requests in progress"
        else:
            reason, retry = RefusalReason.BUDGET_SPENT, 0.0
            detail = "the budget does not cover the prompt and the output cap"
        proof = NotRun(NotRunProof.NEVER_SENT)
        return Failed(reason, proof, retry, detail, step="budget.reserve")
