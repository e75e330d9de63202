"""The budget record in the store, read and written by compare-and-swap."""

import msgspec

from quinceferry_core.adapters import ABSENT_VERSION, KvEntry, KvStore
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import KvError
from quinceferry_gateway.budgets import BudgetRecord, WorkspaceBudget

BUDGET_KEY = "quinceferry/budgets/0"
"""All workspaces of a small fleet share one record, so that one write renews all allotments."""


class SharedBudgets:
    """The record as this gateway last knew it.

    ``is_current`` tells that the record in memory is the one in the store, as far as anybody has
    told:
    another gateway may have written since, which the next write finds out.
    """

    def __init__(self, store: KvStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._entry: KvEntry | None = None
        self._record = BudgetRecord()
        self._current_at = float("-inf")
        self.is_current = False

    @property
    def version(self) -> int:
        """Return the store's version of the record, zero for none."""
        return self._entry.version if self._entry else 0

    @property
    def age_seconds(self) -> float:
        """Return how long ago the record in memory was the one in the store."""
        return self._clock.monotonic() - self._current_at

    def budget(self, workspace: str) -> WorkspaceBudget:
        """Return the budget of a workspace; a change of it is part of the next write."""
        return self._record.budgets_by_workspace.setdefault(workspace, WorkspaceBudget())

    def holders(self) -> set[str]:
        """Return all that have an allotment of some workspace, also those that have ended."""
        budgets = self._record.budgets_by_workspace.values()
        return {holder for budget in budgets for holder in budget.allotments_by_holder}

    def outstanding_by_workspace(self, holder: str) -> dict[str, int]:
        """Return the tokens that a holder has drawn and not reported as spent."""
        return {
            workspace: budget.allotments_by_holder[holder].outstanding
            for workspace, budget in self._record.budgets_by_workspace.items()
            if holder in budget.allotments_by_holder
        }

    async def read(self) -> None:
        """Read the record.

        :raises KvError: the store did not answer, or the record is damaged.
        """
        self.is_current = False
        self._entry = await self._store.get(BUDGET_KEY)
        self._current_at = self._clock.monotonic()
        value = self._entry.value if self._entry else None
        try:
            self._record = BudgetRecord.decode(value)
        except msgspec.DecodeError as error:
            raise KvError(str(error), step="budgets.decode", peer=BUDGET_KEY) from error
        self.is_current = True

    async def write(self) -> None:
        """Write the record if nobody else has since it was read.

        The record in memory is unknown from the call until its answer: a lost answer leaves open
        whether the write took effect.

        :raises KvConflictError: somebody else has written.
        :raises KvError: the store did not answer.
        """
        expected = self._entry.version if self._entry else ABSENT_VERSION
        self.is_current = False
        self._entry = await self._store.put_if(BUDGET_KEY, self._record.encode(), expected)
        self._current_at = self._clock.monotonic()
        self.is_current = True
