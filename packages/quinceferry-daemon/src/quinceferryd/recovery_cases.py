"""State of the recovery of one incarnation."""

import asyncio
from dataclasses import dataclass, field
from functools import partial

from quinceferry_core.budgets import Allotment
from quinceferry_core.copies import EntryCopy
from quinceferry_core.journals import JournalState, RequestKey, Settle
from quinceferry_core.membership import IncarnationRecord
from quinceferry_core.models import IncarnationId, WorkspaceId
from quinceferryd.accounts import Account


@dataclass(slots=True)
class RecoveryCounters:
    """Counts since the start of the process, for metrics; tokens are summed over workspaces."""

    closed: int = 0
    retired: int = 0
    tokens_freed: int = 0
    tokens_withheld: int = 0
    requests_settled: int = 0


@dataclass(slots=True)
class RecoveryCase:
    """An incarnation under recovery; times are in monotonic seconds.

    ``answered_holders`` are the holders that returned their copies, ``adopted_positions`` the
    positions of the bills recovered from copies, and ``commits`` the commits of the bills that this
    router appended for the incarnation.
    """

    absent_since: float
    closed_at: float | None = None
    settled_by_request: dict[RequestKey, Settle] = field(default_factory=dict)
    commits: list[asyncio.Future[None]] = field(default_factory=list)
    copies_by_position: dict[int, EntryCopy] = field(default_factory=dict)
    answered_holders: set[IncarnationId] = field(default_factory=set)
    adopted_positions: set[int] = field(default_factory=set)

    def add_copies(self, holder: IncarnationId, copies: tuple[EntryCopy, ...]) -> None:
        """Store the copies that one holder returned."""
        self.answered_holders.add(holder)
        self.copies_by_position.update((copy.position, copy) for copy in copies)

    def has_all_copies(self, record: IncarnationRecord) -> bool:
        """Return whether all registered holders answered.

        If they did, the journal and the copies contain every attempt that the incarnation sent.
        """
        return bool(record.copy_holders) and self.answered_holders.issuperset(record.copy_holders)

    def apply_copies(self, journal: JournalState, owner: IncarnationId, account: Account) -> None:
        """Apply the copies to the closed journal's state and append their bills to ``account``."""
        for position in sorted(self.copies_by_position):
            entry = self.copies_by_position[position].entry
            is_new = journal.apply(position, entry, owner)
            if is_new and isinstance(entry, Settle) and position not in self.adopted_positions:
                self.adopted_positions.add(position)
                committed = account.journal.append(entry).committed
                self.commits.append(committed)
                committed.add_done_callback(partial(self._discard_failed_adoption, position))

    def settle(self, key: RequestKey, entry: Settle, account: Account) -> None:
        """Append the bill of a request that the incarnation left unsettled."""
        self.settled_by_request[key] = entry
        committed = account.journal.append(entry).committed
        self.commits.append(committed)
        committed.add_done_callback(partial(self._discard_failed_settlement, key))

    def is_fully_settled(self, journal: JournalState) -> bool:
        """Return whether every request is settled and every appended bill is durable."""
        is_durable = all(committed.done() for committed in self.commits)
        return is_durable and journal.begins_by_request.keys() <= self.settled_by_request.keys()

    def known_spent(self, journal: JournalState, workspace: WorkspaceId) -> int:
        """Return the tokens of one workspace's allotment that are known to be spent."""
        recovered = sum(
            entry.used + entry.lost
            for key, entry in self.settled_by_request.items()
            if key.workspace == workspace and key in journal.begins_by_request
        )
        return journal.spent_by_workspace.get(workspace, 0) + recovered

    def possibly_spent(
        self,
        journal: JournalState,
        record: IncarnationRecord,
        workspace: WorkspaceId,
        allotment: Allotment,
    ) -> int:
        """Return the tokens that may have been spent but are neither settled nor recorded.

        These are the reservations of unsettled attempts and, unless all copies are known, the
        outage tokens.
        """
        unsettled = sum(
            begin.reserved
            for key, begins in journal.begins_by_request.items()
            if key.workspace == workspace and key not in self.settled_by_request
            for begin in begins
        )
        return unsettled if self.has_all_copies(record) else unsettled + allotment.outage_tokens

    def _discard_failed_settlement(self, key: RequestKey, committed: asyncio.Future[None]) -> None:
        """Forget a settlement whose bill did not become durable, so that it is repeated."""
        if committed.cancelled() or committed.exception() is not None:
            self.settled_by_request.pop(key, None)

    def _discard_failed_adoption(self, position: int, committed: asyncio.Future[None]) -> None:
        """Forget a recovered bill that did not become durable, so that it is appended again."""
        if committed.cancelled() or committed.exception() is not None:
            self.adopted_positions.discard(position)
