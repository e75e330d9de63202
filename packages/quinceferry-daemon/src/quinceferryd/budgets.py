"""Top-ups, balances and bills for operators."""

from dataclasses import dataclass, replace

import msgspec
from returns.result import Failure, Result, Success

from quinceferry_core.adapters import ABSENT_VERSION, KvEntry, KvStore
from quinceferry_core.bills import Balance, BillPage, bill_page
from quinceferry_core.budgets import (
    MAX_PENDING_TOP_UPS,
    BudgetRecord,
    TopUpRecord,
    budget_key,
    remove_pending_top_up,
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
from quinceferryd.holdings import MAX_CAS_ATTEMPTS, decode_budget

DEFAULT_PAGE_SIZE = 500


@dataclass(slots=True, frozen=True)
class TopUpRejected:
    """A top-up that was rejected, or whose outcome is unknown.

    If ``is_outcome_unknown`` is set, repeat the call with the same operation id.
    """

    detail: str
    is_outcome_unknown: bool = False


class BudgetService:
    """Reads and tops up the budgets of workspaces."""

    def __init__(self, kv: KvStore) -> None:
        self._kv = kv

    async def top_up(
        self, workspace: WorkspaceId, tokens: int, operation: OperationId
    ) -> Result[Balance, TopUpRejected]:
        """Grant tokens to a workspace, exactly once for each operation id.

        :param tokens: number of tokens to add; must be positive.
        :return: the balance afterwards, or why the top-up was rejected or is uncertain.
        """
        if tokens <= 0:
            return Failure(TopUpRejected("tokens must be positive"))
        try:
            stored = await self._create_top_up_record(workspace, TopUpRecord(operation, tokens))
            top_up_record = msgspec.json.decode(stored.value, type=TopUpRecord)
            if top_up_record.tokens != tokens:
                return Failure(TopUpRejected("the operation id was used for another amount"))
            if top_up_record.applied:
                return Success(await self.balance(workspace))
            record = await self._apply_top_up(workspace, top_up_record)
            await self._mark_applied(workspace, stored, top_up_record)
            return Success(Balance.from_record(record))
        except KvUnavailableError as error:
            return Failure(TopUpRejected(str(error), is_outcome_unknown=True))
        except KvConflictError as error:
            return Failure(
                TopUpRejected(f"too many concurrent changes: {error}", is_outcome_unknown=True)
            )

    async def balance(self, workspace: WorkspaceId) -> Balance:
        """Read a workspace's balance.

        :raises KvUnavailableError: the key-value service did not answer.
        """
        return Balance.from_record(await self.record(workspace))

    async def record(self, workspace: WorkspaceId) -> BudgetRecord:
        """Read a workspace's budget record; return an empty record if it is absent.

        :raises KvUnavailableError: the key-value service did not answer.
        """
        entry = await self._kv.get(budget_key(workspace))
        return decode_budget(workspace, entry)

    async def bills(
        self, workspace: WorkspaceId, cursor: str = "", size: int = DEFAULT_PAGE_SIZE
    ) -> BillPage:
        """Read a page of a workspace's bills, one for each request.

        :param cursor: ``next_cursor`` of the previous page; empty for the first page.
        :raises KvUnavailableError: the key-value service did not answer.
        """
        entries: list[Settle] = []
        for stored_entry in await self._kv.list(JOURNAL_PREFIX):
            slot = msgspec.json.decode(stored_entry.value, type=Slot)
            entries.extend(entry for entry in slot.entries if isinstance(entry, Settle))
        # Compaction writes a segment before it deletes the slots. Reading the segments after the
        # slots therefore misses no bill.
        for stored_entry in await self._kv.list(SEGMENT_PREFIX):
            entries.extend(msgspec.json.decode(stored_entry.value, type=Segment).bills)
        workspace_bills = (entry for entry in entries if entry.workspace == workspace)
        return bill_page(unique_bills(workspace_bills), workspace, cursor, size)

    async def _create_top_up_record(self, workspace: WorkspaceId, wanted: TopUpRecord) -> KvEntry:
        """Create the record of the top-up, or return the existing one."""
        key = top_up_key(workspace, wanted.operation)
        try:
            return await self._kv.put_if(key, msgspec.json.encode(wanted), ABSENT_VERSION)
        except KvConflictError:
            stored_entry = await self._kv.get(key)
            if stored_entry is None:
                raise
            return stored_entry

    async def _apply_top_up(
        self, workspace: WorkspaceId, top_up_record: TopUpRecord
    ) -> BudgetRecord:
        """Add the tokens to the budget record, unless the top-up was already applied."""
        key = budget_key(workspace)
        for _ in range(MAX_CAS_ATTEMPTS):
            entry = await self._kv.get(key)
            record = decode_budget(workspace, entry)
            if top_up_record.operation in record.pending_top_ups:
                return record
            if len(record.pending_top_ups) >= MAX_PENDING_TOP_UPS:
                record = await self._remove_applied_top_ups(workspace, record)
            if await self._is_applied(workspace, top_up_record.operation):
                return record
            changed = top_up(record, top_up_record.operation, top_up_record.tokens)
            version = entry.version if entry else ABSENT_VERSION
            try:
                await self._kv.put_if(key, msgspec.json.encode(changed), version)
                return changed
            except KvConflictError:
                continue
        raise KvConflictError("gave up after many conflicts", step="budget.top_up", peer=workspace)

    async def _is_applied(self, workspace: WorkspaceId, operation: OperationId) -> bool:
        """Return whether the record of a top-up is marked as applied."""
        stored_entry = await self._kv.get(top_up_key(workspace, operation))
        return (
            stored_entry is not None
            and msgspec.json.decode(stored_entry.value, type=TopUpRecord).applied
        )

    async def _remove_applied_top_ups(
        self, workspace: WorkspaceId, record: BudgetRecord
    ) -> BudgetRecord:
        """Remove the operation ids of top-ups that are marked as applied."""
        for operation in record.pending_top_ups:
            if await self._is_applied(workspace, operation):
                record = remove_pending_top_up(record, operation)
        return record

    async def _mark_applied(
        self, workspace: WorkspaceId, stored: KvEntry, top_up_record: TopUpRecord
    ) -> None:
        """Mark a top-up as applied, so that its id can be removed from the budget record."""
        value = msgspec.json.encode(replace(top_up_record, applied=True))
        try:
            await self._kv.put_if(stored.key, value, stored.version)
        except KvConflictError:
            # A concurrent call with the same operation id has marked it.
            return
