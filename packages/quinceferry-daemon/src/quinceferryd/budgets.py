"""Top-ups, balances and bills for operators."""

from dataclasses import dataclass, replace

import msgspec
from returns.result import Failure, Result, Success

from quinceferry_core.adapters import ABSENT_VERSION, KvEntry, KvStore
from quinceferry_core.bills import Balance, BillPage, page_of
from quinceferry_core.budgets import (
    MAX_PENDING_TOP_UPS,
    BudgetRecord,
    TopUpRecord,
    budget_key,
    forget_top_up,
    top_up,
    top_up_key,
)
from quinceferry_core.exceptions import KvConflictError, KvUnavailableError
from quinceferry_core.journals import (
    JOURNAL_PREFIX,
    SEGMENT_PREFIX,
    Segment,
    Settle,
    Slot,
    unique_bills,
)
from quinceferry_core.models import OperationId, WorkspaceId
from quinceferryd.holdings import MAX_CAS_TRIES, decode_budget

DEFAULT_PAGE_SIZE = 500


@dataclass(slots=True, frozen=True)
class TopUpRejected:
    """A top-up that did not happen, or whose effect is not known yet.

    After ``unknown``, repeat the call with the same operation id.
    """

    detail: str
    unknown: bool = False


class BudgetService:
    """Operators' view of budgets."""

    def __init__(self, kv: KvStore) -> None:
        self._kv = kv

    async def top_up(
        self, workspace: WorkspaceId, tokens: int, operation: OperationId
    ) -> Result[Balance, TopUpRejected]:
        """Grant tokens, once for each operation id.

        :param tokens: tokens to add; positive.
        :return: the balance afterwards, or why nothing is certain.
        """
        if tokens <= 0:
            return Failure(TopUpRejected("tokens must be positive"))
        try:
            intent = await self._intend(workspace, TopUpRecord(operation, tokens))
            intended = msgspec.json.decode(intent.value, type=TopUpRecord)
            if intended.tokens != tokens:
                return Failure(TopUpRejected("the operation id was used for another amount"))
            if intended.applied:
                return Success(await self.balance(workspace))
            record = await self._apply(workspace, intended)
            await self._mark_applied(workspace, intent, intended)
            return Success(Balance.of(record))
        except KvUnavailableError as error:
            return Failure(TopUpRejected(str(error), unknown=True))
        except KvConflictError as error:
            return Failure(TopUpRejected(f"too many concurrent changes: {error}", unknown=True))

    async def balance(self, workspace: WorkspaceId) -> Balance:
        """Read a workspace's balance.

        :raises KvUnavailableError: the key-value service did not answer.
        """
        return Balance.of(await self.record(workspace))

    async def record(self, workspace: WorkspaceId) -> BudgetRecord:
        """Read a workspace's budget record; an absent one is empty.

        :raises KvUnavailableError: the key-value service did not answer.
        """
        entry = await self._kv.get(budget_key(workspace))
        return decode_budget(workspace, entry)

    async def bills(
        self, workspace: WorkspaceId, cursor: str = "", size: int = DEFAULT_PAGE_SIZE
    ) -> BillPage:
        """Read a page of a workspace's bills, one for each request.

        :param cursor: ``next_cursor`` of the previous page, or empty.
        :raises KvUnavailableError: the key-value service did not answer.
        """
        entries: list[Settle] = []
        for found in await self._kv.list(JOURNAL_PREFIX):
            slot = msgspec.json.decode(found.value, type=Slot)
            entries.extend(entry for entry in slot.entries if isinstance(entry, Settle))
        # Segments are read after the slots they are folded from, so that no bill is missed.
        for found in await self._kv.list(SEGMENT_PREFIX):
            entries.extend(msgspec.json.decode(found.value, type=Segment).bills)
        mine = (entry for entry in entries if entry.workspace == workspace)
        return page_of(unique_bills(mine), workspace, cursor, size)

    async def _intend(self, workspace: WorkspaceId, wanted: TopUpRecord) -> KvEntry:
        """Create the top-up's own record, or return the one that is there."""
        key = top_up_key(workspace, wanted.operation)
        try:
            return await self._kv.put_if(key, msgspec.json.encode(wanted), ABSENT_VERSION)
        except KvConflictError:
            found = await self._kv.get(key)
            if found is None:
                raise
            return found

    async def _apply(self, workspace: WorkspaceId, intended: TopUpRecord) -> BudgetRecord:
        """Add the tokens to the budget record, unless they are already there."""
        key = budget_key(workspace)
        for _ in range(MAX_CAS_TRIES):
            entry = await self._kv.get(key)
            record = decode_budget(workspace, entry)
            if intended.operation in record.pending_top_ups:
                return record
            if len(record.pending_top_ups) >= MAX_PENDING_TOP_UPS:
                record = await self._forget_applied(workspace, record)
            if await self._is_applied(workspace, intended.operation):
                return record
            changed = top_up(record, intended.operation, intended.tokens)
            version = entry.version if entry else ABSENT_VERSION
            try:
                await self._kv.put_if(key, msgspec.json.encode(changed), version)
                return changed
            except KvConflictError:
                continue
        raise KvConflictError("gave up after many conflicts", step="budget.top_up", peer=workspace)

    async def _is_applied(self, workspace: WorkspaceId, operation: OperationId) -> bool:
        """Read whether a top-up's own record is marked as applied."""
        found = await self._kv.get(top_up_key(workspace, operation))
        return found is not None and msgspec.json.decode(found.value, type=TopUpRecord).applied

    async def _forget_applied(self, workspace: WorkspaceId, record: BudgetRecord) -> BudgetRecord:
        """Drop the operation ids of top-ups that are marked as applied."""
        for operation in record.pending_top_ups:
            if await self._is_applied(workspace, operation):
                record = forget_top_up(record, operation)
        return record

    async def _mark_applied(
        self, workspace: WorkspaceId, intent: KvEntry, intended: TopUpRecord
    ) -> None:
        """Mark the top-up's own record, so that the budget record may forget its id."""
        value = msgspec.json.encode(replace(intended, applied=True))
        try:
            await self._kv.put_if(intent.key, value, intent.version)
        except KvConflictError:
            # Another call with the same operation id has marked it.
            return
