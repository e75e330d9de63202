"""Frees the allotted tokens that a closed incarnation has provably not spent."""

import msgspec

from quinceferry_core.adapters import KvEntry, KvStore
from quinceferry_core.budgets import BUDGET_PREFIX, BudgetRecord, close_allotment, retire_allotment
from quinceferry_core.exceptions import KvConflictError
from quinceferry_core.journals import JournalState
from quinceferry_core.membership import IncarnationRecord
from quinceferry_core.models import IncarnationId
from quinceferryd.recovery_cases import RecoveryCase, RecoveryCounters


class BudgetRecoverer:
    """Closes and retires the allotments of closed incarnations."""

    def __init__(self, kv: KvStore, counters: RecoveryCounters) -> None:
        self._kv = kv
        self._counters = counters

    async def budgets_held_by(self, incarnation: IncarnationId) -> list[KvEntry]:
        """Return the entries of the budget records in which an incarnation has an allotment."""
        entries = await self._kv.list(BUDGET_PREFIX)
        return [
            entry for entry in entries if incarnation in _decode(entry).allotments_by_incarnation
        ]

    async def close(
        self,
        case: RecoveryCase,
        journal: JournalState,
        owner: IncarnationRecord,
        entry: KvEntry,
    ) -> None:
        """Close an allotment and free its provably unspent tokens.

        After a conflict nothing is changed; the next check repeats the call.
        """
        record = _decode(entry)
        workspace = record.workspace
        allotment = record.allotments_by_incarnation[owner.incarnation]
        possibly_spent = case.possibly_spent(journal, owner, workspace, allotment)
        kept_tokens = case.known_spent(journal, workspace) + possibly_spent
        changed = close_allotment(record, owner.incarnation, kept_tokens)
        if changed == record:
            return
        try:
            await self._kv.put_if(entry.key, msgspec.json.encode(changed), entry.version)
        except KvConflictError:
            return
        self._counters.tokens_freed += changed.free - record.free

    async def retire(
        self,
        case: RecoveryCase,
        journal: JournalState,
        owner: IncarnationRecord,
        entry: KvEntry,
    ) -> None:
        """Replace an allotment by its known spending, and withhold what may also be spent.

        :raises KvConflictError: the record changed concurrently; the next check repeats the call.
        """
        record = _decode(entry)
        workspace = record.workspace
        allotment = record.allotments_by_incarnation[owner.incarnation]
        possibly_spent = case.possibly_spent(journal, owner, workspace, allotment)
        spent = case.known_spent(journal, workspace)
        changed = retire_allotment(record, owner.incarnation, spent, possibly_spent)
        await self._kv.put_if(entry.key, msgspec.json.encode(changed), entry.version)
        self._counters.tokens_freed += changed.free - record.free
        self._counters.tokens_withheld += changed.withheld - record.withheld


def _decode(entry: KvEntry) -> BudgetRecord:
    """Decode a budget record."""
    return msgspec.json.decode(entry.value, type=BudgetRecord)
