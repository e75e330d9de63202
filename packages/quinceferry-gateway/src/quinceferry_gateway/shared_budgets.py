"""Reads the budget record from the store and writes it by compare-and-swap."""

from collections.abc import Collection

import msgspec

from quinceferry_core.adapters import ABSENT_VERSION, KvEntry, KvStore
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import KvError
from quinceferry_gateway.budgets import (
    BudgetRecord,
    ClosedAllotment,
    HolderWrite,
    WorkspaceBudget,
    close_allotment,
)

BUDGET_KEY = "quinceferry/budgets/0"
"""All workspaces share one record, so that one write updates all allotments of a holder."""


class SharedBudgets:
    """Copy of the budget record that this gateway last read or wrote.

    ``is_current`` is True if the copy matches the last known version in the store. Another gateway
    may have written since; the next write then fails with a conflict.
    """

    def __init__(self, store: KvStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._entry: KvEntry | None = None
        self._record = BudgetRecord()
        self._last_synced_at = float("-inf")
        self.is_current = False

    @property
    def version(self) -> int:
        """Return the record's version in the store, zero if there is no record."""
        return self._entry.version if self._entry else 0

    @property
    def age_seconds(self) -> float:
        """Return the time since the copy was last read or written."""
        return self._clock.monotonic() - self._last_synced_at

    def budget(self, workspace: str) -> WorkspaceBudget:
        """Return the budget of a workspace; changes to it are included in the next write."""
        return self._record.budgets_by_workspace.setdefault(workspace, WorkspaceBudget())

    def holders(self) -> set[str]:
        """Return the incarnations with an allotment of any workspace, including terminated ones."""
        budgets = self._record.budgets_by_workspace.values()
        return {holder for budget in budgets for holder in budget.allotments_by_holder}

    def outstanding_by_workspace(self, holder: str) -> dict[str, int]:
        """Return the tokens of each workspace that a holder has drawn and not reported as spent."""
        return {
            workspace: budget.allotments_by_holder[holder].outstanding
            for workspace, budget in self._record.budgets_by_workspace.items()
            if holder in budget.allotments_by_holder
        }

    def holders_with_writes(self) -> list[str]:
        """Return the holders whose last writes the record contains."""
        return list(self._record.writes_by_holder)

    def last_write(self, holder: str) -> HolderWrite | None:
        """Return the last write of a holder whose limits may still be binding."""
        return self._record.writes_by_holder.get(holder)

    def set_last_write(self, holder: str, write: HolderWrite) -> None:
        """Set the last write of a holder; the next write of the record includes it."""
        self._record.writes_by_holder[holder] = write

    def forget_write(self, holder: str) -> None:
        """Forget the last write of a holder; all that it has drawn then counts as spent."""
        self._record.writes_by_holder.pop(holder, None)

    def forget_writes_without_allotment(self) -> None:
        """Forget the last writes of holders that have no allotment any more."""
        for holder in self._record.writes_by_holder.keys() - self.holders():
            del self._record.writes_by_holder[holder]

    def remove_limits(self, holder: str, updated_workspaces: Collection[str]) -> None:
        """Remove the spending limits of a holder in all workspaces that this write does not update.

        The time of the write would otherwise extend limits that the holder has exceeded meanwhile.
        """
        for workspace, budget in self._record.budgets_by_workspace.items():
            if workspace not in updated_workspaces and holder in budget.allotments_by_holder:
                budget.allotments_by_holder[holder].limit = None

    def close(self, holder: str) -> dict[str, ClosedAllotment]:
        """Remove a terminated holder whose limits were binding to the end.

        :return: what became of its tokens, by workspace.
        """
        return {
            workspace: close_allotment(budget, holder)
            for workspace, budget in self._record.budgets_by_workspace.items()
            if holder in budget.allotments_by_holder
        }

    async def read(self) -> None:
        """Read the record.

        :raises KvError: the store did not answer, or the record cannot be decoded.
        """
        self.is_current = False
        self._entry = await self._store.get(BUDGET_KEY)
        self._last_synced_at = self._clock.monotonic()
        value = self._entry.value if self._entry else None
        try:
            self._record = BudgetRecord.decode(value)
        except msgspec.DecodeError as error:
            raise KvError(str(error), step="budgets.decode", peer=BUDGET_KEY) from error
        self.is_current = True

    async def write(self) -> None:
        """Write the record unless it has changed in the store since it was read.

        The copy does not count as current until the answer arrives: after a lost answer it is
        unknown whether the write took effect.

        :raises KvConflictError: the record has changed.
        :raises KvError: the store did not answer.
        """
        expected = self._entry.version if self._entry else ABSENT_VERSION
        self.is_current = False
        self._entry = await self._store.put_if(BUDGET_KEY, self._record.encode(), expected)
        self._last_synced_at = self._clock.monotonic()
        self.is_current = True
