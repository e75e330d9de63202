"""Journals and allotments of the current and the former incarnations of this process."""

import asyncio
from collections.abc import Callable
from random import Random

import msgspec

from quinceferry_core.adapters import KvStore, RecallReply
from quinceferry_core.backoffs import Backoff
from quinceferry_core.budgets import budget_key, retire_allotment
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import FencedError, KvConflictError, KvUnavailableError
from quinceferry_core.journals import Begin, Entry, Settle
from quinceferry_core.models import IncarnationId, WorkspaceId
from quinceferryd.allotments import AllotmentController
from quinceferryd.blackboard import Blackboard, RouterState
from quinceferryd.controllers import TaskGroupController
from quinceferryd.holdings import Holding, decode_budget
from quinceferryd.journal import JournalWriter, PendingEntry
from quinceferryd.settings import BudgetSettings, JournalSettings

BILLS_JOURNAL_SUFFIX = "+bills"
"""Suffix of the name of a journal that holds only the bills of a closed incarnation."""


class Account:
    """Journal and allotments of one incarnation.

    ``open_requests`` is the number of requests in progress that use the account.
    """

    def __init__(self, journal: JournalWriter, allotments: AllotmentController) -> None:
        self.journal = journal
        self.allotments = allotments
        self.open_requests = 0
        self.closed = False

    @property
    def incarnation(self) -> IncarnationId:
        """Return the incarnation that the account belongs to."""
        return self.journal.incarnation

    async def start(self) -> None:
        """Start the journal and the allotments."""
        await self.journal.start()
        await self.allotments.start()

    async def stop(self) -> None:
        """Stop the allotments and the journal without flushing them."""
        await self.allotments.stop()
        await self.journal.stop()


class AccountController(TaskGroupController):
    """Opens an account at each join and retires the accounts of closed incarnations.

    Requests of a closed incarnation may still be in progress. Their settlements are written to the
    journal of the next incarnation and name the incarnation that paid as their origin. When all
    are settled, the exact spending of the closed incarnation is known and the rest is freed.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        kv: KvStore,
        clock: Clock,
        rng: Random,
        budgets: BudgetSettings,
        journal: JournalSettings,
    ) -> None:
        super().__init__()
        self.current: Account | None = None
        self.closed_accounts: list[Account] = []
        self._blackboard = blackboard
        self._kv = kv
        self._clock = clock
        self._rng = rng
        self._budget_settings = budgets
        self._journal_settings = journal
        self._pending_settlements: list[Settle] = []
        self.allotments_type = AllotmentController
        """Class used for allotments; may be replaced before the first join."""
        self.on_open: list[Callable[[Account], None]] = []
        """Called with each account that is opened."""

    async def open(self) -> None:
        """Open an account for the current incarnation, unless it has one."""
        incarnation = self._blackboard.identity.incarnation
        if self.current is not None and self.current.incarnation == incarnation:
            return
        journal = JournalWriter(
            incarnation,
            self._kv,
            self._clock,
            self._rng,
            self._journal_settings,
            self._mark_fenced,
            self.count_members,
        )
        allotments = self.allotments_type(
            incarnation,
            self._kv,
            self._clock,
            self._rng,
            self._budget_settings,
            self._mark_fenced,
            self._blackboard.kv,
        )
        self.current = Account(journal, allotments)
        for hook in self.on_open:
            hook(self.current)
        await self.current.start()
        for entry in self._pending_settlements:
            journal.append(entry)
        self._pending_settlements.clear()

    async def close(self, incarnation: IncarnationId) -> None:
        """Close the account of an incarnation, so that no new request uses it."""
        account = self.current
        if account is None or account.incarnation != incarnation:
            return
        self.current = None
        account.closed = True
        account.journal.fence()
        self._append_or_defer(account.journal.take_uncommitted())
        self.closed_accounts.append(account)
        if account.open_requests == 0:
            self.spawn(self._retire_account(account), f"retire {incarnation}")

    def settle(self, account: Account, entry: Settle) -> PendingEntry | None:
        """Record a settlement; if the account is closed, in the journal of the next incarnation.

        :return: the journal entry if the account is open, otherwise None.
        """
        if not account.closed:
            return account.journal.append(entry)
        self._append_or_defer([entry])
        return None

    def release(self, account: Account) -> None:
        """Decrement the account's open requests; retire it if it is closed and none is left."""
        account.open_requests -= 1
        if account.closed and account.open_requests == 0:
            self.spawn(self._retire_account(account), f"retire {account.incarnation}")

    async def recall(self, workspace: WorkspaceId, wanted: int) -> RecallReply:
        """Return unused tokens to the budget record for a peer that is short of tokens."""
        account = self.current
        if account is None:
            return RecallReply(0, 0)
        try:
            return await account.allotments.recall(workspace, wanted)
        except FencedError:
            return RecallReply(0, 0)

    def append_bills(self, bills: list[Settle]) -> None:
        """Append bills of other incarnations; a bill that is already recorded counts once."""
        self._append_or_defer(list(bills))

    async def flush_and_retire(self) -> None:
        """Flush the journal and retire all allotments before a planned stop."""
        account = self.current
        if account is not None:
            await account.journal.flush()
        if account is not None and account.journal.fenced:
            await self.close(account.incarnation)
            account = None
        if account is not None:
            for workspace, holding in account.allotments.holdings_by_workspace.items():
                await self._retire_allotment(account.incarnation, workspace, holding)
        elif self._pending_settlements:
            await self._write_pending_settlements()
        await asyncio.gather(*self._tasks)

    async def stop(self) -> None:
        """Stop the background tasks of this controller and of all its accounts."""
        await super().stop()
        if self.current is not None:
            await self.current.stop()
        for account in self.closed_accounts:
            await account.stop()

    def count_members(self) -> int:
        """Return the number of routers that share the key-value service."""
        return len(self._blackboard.members_by_incarnation)

    async def _write_pending_settlements(self) -> None:
        """Write the pending settlements, because no next incarnation of this process will do so.

        They go to a separate journal with a single writer, which contains no ``Begin`` entries.
        """
        name = IncarnationId(f"{self._pending_settlements[0].origin}{BILLS_JOURNAL_SUFFIX}")
        journal = JournalWriter(
            name, self._kv, self._clock, self._rng, self._journal_settings, self._mark_fenced
        )
        await journal.start()
        for entry in self._pending_settlements:
            journal.append(entry)
        self._pending_settlements.clear()
        await journal.flush()
        await journal.stop()

    def _mark_fenced(self) -> None:
        """Set the router state to fenced after a write found the journal or allotment closed."""
        self._blackboard.state = RouterState.FENCED

    def _append_or_defer(self, entries: list[Entry]) -> None:
        """Append settlements to the current journal, or keep them for the next incarnation."""
        settlements = [entry for entry in entries if not isinstance(entry, Begin)]
        if self.current is None:
            self._pending_settlements.extend(settlements)
            return
        for entry in settlements:
            self.current.journal.append(entry)

    async def _retire_account(self, account: Account) -> None:
        """Free the tokens that a closed incarnation did not spend, then drop its account."""
        await account.stop()
        for workspace, holding in account.allotments.holdings_by_workspace.items():
            await self._retire_allotment(account.incarnation, workspace, holding)
        self.closed_accounts.remove(account)

    async def _retire_allotment(
        self, incarnation: IncarnationId, workspace: WorkspaceId, holding: Holding
    ) -> None:
        """Replace one allotment by the tokens spent of it; retry until the write succeeds."""
        backoff = Backoff(self._rng)
        while True:
            try:
                entry = await self._kv.get(budget_key(workspace))
                record = decode_budget(workspace, entry)
                if entry is None or incarnation not in record.allotments_by_incarnation:
                    return
                ledger = holding.ledger
                changed = retire_allotment(record, incarnation, ledger.spent, ledger.reserved)
                value = msgspec.json.encode(changed)
                await self._kv.put_if(entry.key, value, entry.version)
                return
            except (KvConflictError, KvUnavailableError):
                await self._clock.sleep(backoff.next_delay_seconds())
