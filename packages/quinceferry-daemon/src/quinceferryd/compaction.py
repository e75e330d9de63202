"""Compacts old journal slots of this incarnation into segments of bills."""

from dataclasses import dataclass
from datetime import datetime
from random import Random

import msgspec

from quinceferry_core.adapters import ABSENT_VERSION, KvEntry, KvStore
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import KvConflictError, KvError
from quinceferry_core.journals import (
    JOURNAL_PREFIX,
    JournalState,
    RequestKey,
    Segment,
    Settle,
    Slot,
    segment_key,
    slot_number,
)
from quinceferry_core.models import IncarnationId, WorkspaceId
from quinceferryd.accounts import AccountController
from quinceferryd.controllers import TaskGroupController
from quinceferryd.proofs import read_segments
from quinceferryd.settings import JournalSettings

MIN_SLOTS = 64
"""Fewer slots are not worth a segment."""
MAX_FLEET_DELETES_PER_SECOND = 150.0
"""Deletes of all routers together; somewhat more than their commits, so that no slots pile up."""
MAX_BILLS = 4000
"""Bills in one segment; keeps its value well below the service's limit of one megabyte."""


@dataclass(slots=True, frozen=True)
class _Folded:
    """Where the folded part of a journal ends, and its totals."""

    incarnation: IncarnationId
    next_slot: int
    next_position: int
    spent_by_workspace: dict[WorkspaceId, int]

    @classmethod
    def after(cls, incarnation: IncarnationId, state: JournalState) -> "_Folded":
        """Return the end of what a state has taken over."""
        spent = dict(state.spent_by_workspace)
        return cls(incarnation, state.next_slot, state.next_position, spent)

    def state(self) -> JournalState:
        """Return a state that continues from here."""
        return JournalState(
            self.next_slot, self.next_position, spent_by_workspace=dict(self.spent_by_workspace)
        )


class JournalCompactor(TaskGroupController):
    """Keeps the number of keys in this incarnation's journal small.

    A slot is folded once every request that it begins is settled. The segment is written before the
    slots are deleted; until then both hold the same bills, which count once.
    """

    def __init__(
        self,
        accounts: AccountController,
        kv: KvStore,
        clock: Clock,
        rng: Random,
        settings: JournalSettings,
    ) -> None:
        super().__init__()
        self._accounts = accounts
        self._kv = kv
        self._clock = clock
        self._rng = rng
        self._settings = settings
        self._folded_commits = 0
        self._folded: _Folded | None = None

    async def start(self) -> None:
        """Start folding at intervals."""
        self.spawn(self._run(), "journal compaction")

    async def fold(self, incarnation: IncarnationId) -> int:
        """Fold what can be folded once; return how many slots were.

        :raises KvError: the key-value service did not answer; call again.
        """
        entries = await self._kv.list(f"{JOURNAL_PREFIX}{incarnation}/")
        known = await self._read_folded(incarnation)
        folded = known.state()
        # Slots below the last segment's end are left over from a fold that was interrupted.
        chosen = [entry for entry in entries if slot_number(entry.key) < folded.next_slot]
        whole = known.state()
        for entry in entries[len(chosen) :]:
            slot = msgspec.json.decode(entry.value, type=Slot)
            whole.apply_slot(slot_number(entry.key), slot, incarnation)
        now = self._clock.now()
        more, segment = _plan(incarnation, entries[len(chosen) :], folded, whole, now)
        if segment is not None:
            # Whether a write took effect is not known until it returns.
            self._folded = None
            await self._write(segment_key(incarnation, segment.first_slot), segment)
            self._folded = _Folded.after(incarnation, folded)
            chosen += more
        for entry in chosen:
            await self._kv.delete_if(entry.key, entry.version)
            await self._clock.sleep(self._delete_interval())
        return len(chosen)

    async def _read_folded(self, incarnation: IncarnationId) -> "_Folded":
        """Return the folded part of the journal; its segments, which grow with the age of this
        incarnation, are read once."""
        if self._folded is None or self._folded.incarnation != incarnation:
            self._folded = _Folded.after(incarnation, await read_segments(self._kv, incarnation))
        return self._folded

    def _delete_interval(self) -> float:
        """Return the time between two deletes, which would otherwise come in one burst."""
        return self._accounts.count_members() / MAX_FLEET_DELETES_PER_SECOND

    async def _run(self) -> None:
        """Fold whenever enough slots have come since the last time."""
        while True:
            interval = self._settings.fold_interval_seconds
            await self._clock.sleep(interval * self._rng.uniform(0.8, 1.2))
            account = self._accounts.current
            if account is None or account.journal.commits - self._folded_commits < MIN_SLOTS:
                continue
            try:
                self._folded_commits = account.journal.commits
                await self.fold(account.incarnation)
            except KvError:
                continue

    async def _write(self, key: str, segment: Segment) -> None:
        """Create a segment; an earlier try with a lost answer may have created it."""
        value = msgspec.json.encode(segment)
        try:
            await self._kv.put_if(key, value, ABSENT_VERSION)
        except KvConflictError:
            found = await self._kv.get(key)
            if found is None or _content(found.value) != _content(value):
                raise


def _content(value: bytes) -> Segment:
    """Return a segment without the time at which it was folded."""
    segment = msgspec.json.decode(value, type=Segment)
    return msgspec.structs.replace(segment, folded_at=None)


def _plan(
    incarnation: IncarnationId,
    entries: list[KvEntry],
    folded: JournalState,
    whole: JournalState,
    now: datetime,
) -> tuple[list[KvEntry], Segment | None]:
    """Choose the longest run of oldest slots without an unsettled request.

    :param entries: slots after the folded part.
    :param folded: the folded part of the journal, which is continued.
    :param whole: the whole journal, which tells the unsettled requests.
    """
    chosen: list[KvEntry] = []
    bills: list[Settle] = []
    first = folded.next_slot
    for entry in entries:
        slot = msgspec.json.decode(entry.value, type=Slot)
        keys = {RequestKey(item.workspace, item.request) for item in slot.entries}
        if slot.closed_by or keys & whole.begins_by_request.keys():
            break
        if len(bills) + len(slot.entries) > MAX_BILLS:
            break
        chosen.append(entry)
        bills.extend(item for item in slot.entries if isinstance(item, Settle))
        folded.apply_slot(slot_number(entry.key), slot, incarnation)
    if len(chosen) < MIN_SLOTS:
        return [], None
    return chosen, Segment(
        first,
        folded.next_slot,
        tuple(bills),
        folded.spent_by_workspace,
        folded.next_position,
        now,
    )
