"""Allotments of prepaid tokens that this incarnation holds."""

import asyncio
from collections.abc import Callable
from random import Random

import msgspec
from returns.result import Failure, Result, Success

from quinceferry_core.adapters import ABSENT_VERSION, KvEntry, KvStore, RecallReply
from quinceferry_core.backoffs import Backoff
from quinceferry_core.budgets import (
    Allotment,
    BudgetRecord,
    BudgetShortfall,
    DrawPolicy,
    budget_key,
    resize_allotment,
    target_unspent_tokens,
)
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import FencedError, KvConflictError, KvUnavailableError
from quinceferry_core.ledgers import Ledger
from quinceferry_core.models import IncarnationId, RequestId, WorkspaceId
from quinceferryd.blackboard import KvHealth
from quinceferryd.controllers import TaskGroupController
from quinceferryd.holdings import (
    MAX_CAS_ATTEMPTS,
    BudgetUnreachable,
    Holding,
    ReserveError,
    decode_budget,
)
from quinceferryd.settings import BudgetSettings

MIN_REFILL_INTERVAL_SECONDS = 5.0
_DRAW_STEP = "budget.draw"


class AllotmentController(TaskGroupController):
    """Draws, refills and returns allotments for one incarnation.

    :param on_fenced: called when a budget record shows that this incarnation was closed.
    :param health: availability of the key-value service; no reservation draws tokens while it is
        unavailable.
    """

    def __init__(
        self,
        incarnation: IncarnationId,
        kv: KvStore,
        clock: Clock,
        rng: Random,
        settings: BudgetSettings,
        on_fenced: Callable[[], None],
        health: KvHealth | None = None,
    ) -> None:
        super().__init__()
        self.incarnation = incarnation
        self.holdings_by_workspace: dict[WorkspaceId, Holding] = {}
        self._kv = kv
        self._clock = clock
        self._rng = rng
        self._settings = settings
        self._on_fenced = on_fenced
        self._health = health or KvHealth()
        self._policy = DrawPolicy(
            settings.allotment_horizon_seconds,
            settings.min_allotment_tokens,
            settings.max_allotment_share,
        )

    async def start(self) -> None:
        """Start the task that returns idle allotments."""
        self.spawn(self._return_idle_forever(), "allotments")

    def ledger(self, workspace: WorkspaceId) -> Ledger:
        """Return the ledger of a workspace."""
        return self._get_or_create_holding(workspace).ledger

    async def reserve(
        self, workspace: WorkspaceId, request: RequestId, tokens: int
    ) -> Result[int, ReserveError]:
        """Reserve tokens for a request; draw more if the allotment is too small.

        :return: the number of tokens reserved, or the reason why they could not be reserved.
        """
        holding = self._get_or_create_holding(workspace)
        holding.last_used_at = self._clock.monotonic()
        holding.ledger.update_demand(tokens, self._clock.monotonic())
        if isinstance(holding.ledger.reserve(request, tokens), Success):
            self._refill_if_low(workspace, holding)
            return Success(tokens)
        if not self._health.available:
            return Failure(BudgetUnreachable(tokens))
        async with holding.lock:
            reserved = holding.ledger.reserve(request, tokens)
            if isinstance(reserved, Success):
                return reserved
            drawn = await self._draw(workspace, holding, tokens)
        if isinstance(drawn, Failure):
            return drawn
        return holding.ledger.reserve(request, tokens).alt(
            lambda short: BudgetShortfall(short.wanted, short.available)
        )

    def settle(self, workspace: WorkspaceId, request: RequestId, used: int) -> int:
        """Replace a request's reservation by the tokens it used; return the tokens charged."""
        holding = self._get_or_create_holding(workspace)
        charged = holding.ledger.settle(request, used)
        holding.next_settlement.set()
        holding.next_settlement = asyncio.Event()
        return charged

    async def wait_settled(self, workspace: WorkspaceId, timeout_seconds: float) -> bool:
        """Wait for the next settlement of a workspace.

        :return: whether a settlement was made before the timeout.
        """
        event = self._get_or_create_holding(workspace).next_settlement
        try:
            async with asyncio.timeout(timeout_seconds):
                await event.wait()
        except TimeoutError:
            return False
        return True

    async def recall(self, workspace: WorkspaceId, wanted: int) -> RecallReply:
        """Return unused tokens to the budget record for a peer that is short of tokens.

        :param wanted: number of tokens that the peer is short of; at most this many are returned.
        """
        holding = self.holdings_by_workspace.get(workspace)
        if holding is None:
            return RecallReply(0, 0)
        async with holding.lock:
            returned = min(wanted, holding.ledger.available)
            if returned > 0:
                returned = await self._return_tokens(workspace, holding, returned)
            return RecallReply(returned, holding.ledger.available)

    def _get_or_create_holding(self, workspace: WorkspaceId) -> Holding:
        """Return the holding of a workspace; create it if it does not exist."""
        return self.holdings_by_workspace.setdefault(workspace, Holding())

    async def _draw(
        self, workspace: WorkspaceId, holding: Holding, wanted: int
    ) -> Result[None, ReserveError]:
        """Draw until ``wanted`` tokens are available; the caller holds the lock."""
        backoff = Backoff(self._rng)
        for _ in range(MAX_CAS_ATTEMPTS):
            try:
                entry, record = await self._read_record(workspace, holding)
                missing_tokens = wanted - holding.ledger.available
                if missing_tokens <= 0:
                    return Success(None)
                if missing_tokens > record.free:
                    return Failure(BudgetShortfall(missing_tokens, max(0, record.free)))
                refill_tokens = self._target_tokens(holding, record) - holding.ledger.available
                tokens = min(record.free, max(missing_tokens, refill_tokens))
                await self._write_allotment(workspace, holding, entry, record, tokens)
                return Success(None)
            except KvConflictError:
                await self._clock.sleep(backoff.next_delay_seconds())
            except KvUnavailableError:
                return Failure(BudgetUnreachable(wanted))
        return Failure(BudgetUnreachable(wanted))

    async def _return_tokens(self, workspace: WorkspaceId, holding: Holding, tokens: int) -> int:
        """Return tokens to the budget record; the caller holds the lock.

        The ledger is debited before the write, so that a lost answer can leave tokens unused but
        never lets them be spent twice.

        :return: number of tokens that were certainly returned to the record.
        """
        debited_tokens = 0
        for _ in range(MAX_CAS_ATTEMPTS):
            try:
                entry, record = await self._read_record(workspace, holding)
                if debited_tokens == 0:
                    debited_tokens = min(tokens, holding.ledger.available)
                    holding.ledger.drawn -= debited_tokens
                await self._write_allotment(workspace, holding, entry, record, 0)
                return debited_tokens
            except KvConflictError:
                continue
            except KvUnavailableError:
                return 0
        return 0

    async def _read_record(
        self, workspace: WorkspaceId, holding: Holding
    ) -> tuple[KvEntry | None, BudgetRecord]:
        """Read the budget record and apply the result of an operation whose answer was lost.

        :raises FencedError: the record shows that this incarnation was closed.
        """
        entry = await self._kv.get(budget_key(workspace))
        record = decode_budget(workspace, entry)
        holding.record = record
        own_allotment = record.allotments_by_incarnation.get(self.incarnation)
        # An allotment missing from the record was retired by another router after a close.
        is_retired = own_allotment is None and holding.ledger.drawn > 0
        if is_retired or (own_allotment is not None and own_allotment.closed):
            self._on_fenced()
            raise FencedError("the allotment was closed", step=_DRAW_STEP, peer=workspace)
        holding.has_unknown_write = False
        if own_allotment is not None and own_allotment.sequence == holding.sequence:
            holding.ledger.drawn = own_allotment.drawn
            holding.ledger.outage_tokens = own_allotment.outage_tokens
        return entry, record

    async def _write_allotment(
        self,
        workspace: WorkspaceId,
        holding: Holding,
        entry: KvEntry | None,
        record: BudgetRecord,
        tokens: int,
    ) -> None:
        """Write the allotment, raised by ``tokens``, to the record; then update the ledger."""
        ledger = holding.ledger
        holding.sequence += 1
        holding.has_unknown_write = True
        drawn = ledger.drawn + tokens
        # All unspent tokens may be spent during an outage. Tokens spent since the last write are
        # counted twice, which overestimates the possible spending and is therefore safe.
        outage_tokens = max(ledger.unrecorded, drawn - ledger.spent)
        wanted = Allotment(drawn, ledger.spent, outage_tokens, holding.sequence)
        changed = resize_allotment(record, self.incarnation, wanted).unwrap()
        # The ledger lowers its outage tokens before the write and raises them only after it, so
        # that the record never understates them.
        ledger.outage_tokens = min(ledger.outage_tokens, outage_tokens)
        version = entry.version if entry else ABSENT_VERSION
        await self._kv.put_if(budget_key(workspace), msgspec.json.encode(changed), version)
        holding.has_unknown_write = False
        holding.record = changed
        ledger.drawn = drawn
        ledger.outage_tokens = outage_tokens

    def _refill_if_low(self, workspace: WorkspaceId, holding: Holding) -> None:
        """Start a refill if the available tokens are below the refill threshold."""
        if holding.is_refilling or holding.record is None:
            return
        refill_threshold = (
            self._target_tokens(holding, holding.record) * self._settings.refill_below_share
        )
        if holding.ledger.available >= refill_threshold:
            return
        now = self._clock.monotonic()
        if now - holding.last_refill_at < MIN_REFILL_INTERVAL_SECONDS:
            return
        holding.last_refill_at = now
        holding.is_refilling = True
        self.spawn(self._refill(workspace, holding), f"refill {workspace}")

    def _target_tokens(self, holding: Holding, record: BudgetRecord) -> int:
        """Return the number of unused tokens that this router should hold."""
        rate = holding.ledger.demand_tokens_per_second
        return target_unspent_tokens(record, self.incarnation, rate, self._policy)

    async def _refill(self, workspace: WorkspaceId, holding: Holding) -> None:
        """Draw tokens up to the target ahead of demand; a later request retries a failure."""
        try:
            async with holding.lock:
                entry, record = await self._read_record(workspace, holding)
                missing_tokens = self._target_tokens(holding, record) - holding.ledger.available
                tokens = min(missing_tokens, record.free)
                if tokens > 0:
                    await self._write_allotment(workspace, holding, entry, record, tokens)
        except (FencedError, KvConflictError, KvUnavailableError):
            return
        finally:
            holding.is_refilling = False

    async def _return_idle_forever(self) -> None:
        """Periodically return the tokens of workspaces that are idle at this router."""
        idle_seconds = self._settings.idle_return_seconds
        while True:
            await self._clock.sleep(idle_seconds / 2)
            now = self._clock.monotonic()
            for workspace, holding in list(self.holdings_by_workspace.items()):
                is_idle = now - holding.last_used_at >= idle_seconds
                if holding.has_unknown_write or (is_idle and holding.ledger.available > 0):
                    await self._return_idle(workspace, holding, is_idle)

    async def _return_idle(self, workspace: WorkspaceId, holding: Holding, is_idle: bool) -> None:
        """Return an idle workspace's unused tokens; otherwise only resolve an unknown write."""
        try:
            async with holding.lock:
                tokens = holding.ledger.available if is_idle else 0
                await self._return_tokens(workspace, holding, tokens)
        except FencedError:
            return
