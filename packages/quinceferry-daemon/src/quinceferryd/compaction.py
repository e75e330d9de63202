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

MIN_SEGMENT_SLOTS = 64
"""Fewer slots are not worth a segment."""
MAX_FLEET_DELETES_PER_SECOND = 150.0
"""Deletes of all routers together; somewhat more than their commits, so that no slots pile up."""
MAX_SEGMENT_BILLS = 4000
"""Bills in one segment; keeps its value well below the service's limit of one megabyte."""


@dataclass(slots=True, frozen=True)
class _CompactedPart:
    """Where the folded part of a journal ends, and its totals."""

    incarnation: IncarnationId
    next_slot: int
    next_position: int
    spent_by_workspace: dict[WorkspaceId, int]

    @classmethod
    def after(cls, incarnation: IncarnationId, state: JournalState) -> "_CompactedPart":
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
        self._compacted_commits = 0
        self._compacted: _CompactedPart | None = None

    async def start(self) -> None:
        """Start folding at intervals."""
        self.spawn(self._compact_forever(), "journal compaction")

    async def compact(self, incarnation: IncarnationId) -> int:
        """Fold what can be folded once; return how many slots were.

        :raises KvError: the key-value service did not answer; call again.
        """
        entries = await self._kv.list(f"{JOURNAL_PREFIX}{incarnation}/")
        compacted_part = await self._read_compacted(incarnation)
        compacted_state = compacted_part.state()
        # Slots below the last segment's end are left over from a fold that was interrupted.
        compacted_slots = [
            entry for entry in entries if slot_number(entry.key) < compacted_state.next_slot
        ]
        full_state = compacted_part.state()
        for entry in entries[len(compacted_slots) :]:
            slot = msgspec.json.decode(entry.value, type=Slot)
            full_state.apply_slot(slot_number(entry.key), slot, incarnation)
        now = self._clock.now()
        newly_compacted, segment = _plan_segment(
            incarnation, entries[len(compacted_slots) :], compacted_state, full_state, now
        )
        if segment is not None:
            # Whether a write took effect is not known until it returns.
            self._compacted = None
            await self._write(segment_key(incarnation, segment.first_slot), segment)
            self._compacted = _CompactedPart.after(incarnation, compacted_state)
            compacted_slots += newly_compacted
        for entry in compacted_slots:
            await self._kv.delete_if(entry.key, entry.version)
            await self._clock.sleep(self._delete_interval())
        return len(compacted_slots)

    async def _read_compacted(self, incarnation: IncarnationId) -> "_CompactedPart":
        """Return the folded part of the journal; its segments, which grow with the age of this
        incarnation, are read once."""
        if self._compacted is None or self._compacted.incarnation != incarnation:
            self._compacted = _CompactedPart.after(
                incarnation, await read_segments(self._kv, incarnation)
            )
        return self._compacted

    def _delete_interval(self) -> float:
        """Return the time between two deletes, which would otherwise come in one burst."""
        return self._accounts.count_members() / MAX_FLEET_DELETES_PER_SECOND

    async def _compact_forever(self) -> None:
        """Fold whenever enough slots have come since the last time."""
        while True:
            interval = self._settings.fold_interval_seconds
            await self._clock.sleep(interval * self._rng.uniform(0.8, 1.2))
            account = self._accounts.current
            if (
                account is None
                or account.journal.commits - self._compacted_commits < MIN_SEGMENT_SLOTS
            ):
                continue
            try:
                self._compacted_commits = account.journal.commits
                await self.compact(account.incarnation)
            except KvError:
                continue

    async def _write(self, key: str, segment: Segment) -> None:
        """Create a segment; an earlier try with a lost answer may have created it."""
        value = msgspec.json.encode(segment)
        try:
            await self._kv.put_if(key, value, ABSENT_VERSION)
        except KvConflictError:
            found = await self._kv.get(key)
            if found is None or _decode_without_time(found.value) != _decode_without_time(value):
                raise


def _decode_without_time(value: bytes) -> Segment:
    """Return a segment without the time at which it was folded."""
    segment = msgspec.json.decode(value, type=Segment)
    return msgspec.structs.replace(segment, folded_at=None)


def _plan_segment(
    incarnation: IncarnationId,
    entries: list[KvEntry],
    compacted_state: JournalState,
    full_state: JournalState,
    now: datetime,
) -> tuple[list[KvEntry], Segment | None]:
    """Choose the longest run of oldest slots without an unsettled request.

    :param entries: slots after the folded part.
    :param folded: the folded part of the journal, which is continued.
    :param whole: the whole journal, which tells the unsettled requests.
    """
    compacted_slots: list[KvEntry] = []
    bills: list[Settle] = []
    first = compacted_state.next_slot
    for entry in entries:
        slot = msgspec.json.decode(entry.value, type=Slot)
        keys = {RequestKey(item.workspace, item.request) for item in slot.entries}
        if slot.closed_by or keys & full_state.begins_by_request.keys():
            break
        if len(bills) + len(slot.entries) > MAX_SEGMENT_BILLS:
            break
        compacted_slots.append(entry)
        bills.extend(item for item in slot.entries if isinstance(item, Settle))
        compacted_state.apply_slot(slot_number(entry.key), slot, incarnation)
    if len(compacted_slots) < MIN_SEGMENT_SLOTS:
        return [], None
    return compacted_slots, Segment(
        first,
        compacted_state.next_slot,
        tuple(bills),
        compacted_state.spent_by_workspace,
        compacted_state.next_position,
        now,
    )
