"""Compacts old slots of this incarnation's journal into segments, which contain only bills."""

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
"""Minimum number of slots that are compacted into a segment."""
MAX_FLEET_DELETES_PER_SECOND = 150.0
"""Delete rate of all routers together; above their commit rate, so that slots do not accumulate."""
MAX_SEGMENT_BILLS = 4000
"""Maximum bills in a segment, which keeps it well below the service's limit of one megabyte."""


@dataclass(slots=True, frozen=True)
class _CompactedPart:
    """End and totals of the compacted part of a journal."""

    incarnation: IncarnationId
    next_slot: int
    next_position: int
    spent_by_workspace: dict[WorkspaceId, int]

    @classmethod
    def after(cls, incarnation: IncarnationId, state: JournalState) -> "_CompactedPart":
        """Return the compacted part that ends where a journal state ends."""
        spent = dict(state.spent_by_workspace)
        return cls(incarnation, state.next_slot, state.next_position, spent)

    def state(self) -> JournalState:
        """Return a journal state to which the following slots can be applied."""
        return JournalState(
            self.next_slot, self.next_position, spent_by_workspace=dict(self.spent_by_workspace)
        )


class JournalCompactor(TaskGroupController):
    """Limits the number of keys in this incarnation's journal.

    A slot is compacted when every request that begins in it is settled. The segment is written
    before the slots are deleted; in between, both contain the same bills, which count once.
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
        """Start compacting periodically."""
        self.spawn(self._compact_forever(), "journal compaction")

    async def compact(self, incarnation: IncarnationId) -> int:
        """Compact the slots that can be compacted now and return the number of deleted slots.

        :raises KvError: a call to the key-value service failed; repeat the call.
        """
        entries = await self._kv.list(f"{JOURNAL_PREFIX}{incarnation}/")
        compacted_part = await self._read_compacted(incarnation)
        compacted_state = compacted_part.state()
        # Slots before the end of the last segment remain from an interrupted compaction.
        slots_to_delete = [
            entry for entry in entries if slot_number(entry.key) < compacted_state.next_slot
        ]
        full_state = compacted_part.state()
        for entry in entries[len(slots_to_delete) :]:
            slot = msgspec.json.decode(entry.value, type=Slot)
            full_state.apply_slot(slot_number(entry.key), slot, incarnation)
        now = self._clock.now()
        newly_compacted, segment = _plan_segment(
            incarnation, entries[len(slots_to_delete) :], compacted_state, full_state, now
        )
        if segment is not None:
            # Until the write returns, it is unknown whether it took effect.
            self._compacted = None
            await self._write(segment_key(incarnation, segment.first_slot), segment)
            self._compacted = _CompactedPart.after(incarnation, compacted_state)
            slots_to_delete += newly_compacted
        for entry in slots_to_delete:
            await self._kv.delete_if(entry.key, entry.version)
            await self._clock.sleep(self._delete_interval())
        return len(slots_to_delete)

    async def _read_compacted(self, incarnation: IncarnationId) -> "_CompactedPart":
        """Return the compacted part of the journal.

        It is cached, because the number of segments to read grows with the incarnation's age.
        """
        if self._compacted is None or self._compacted.incarnation != incarnation:
            self._compacted = _CompactedPart.after(
                incarnation, await read_segments(self._kv, incarnation)
            )
        return self._compacted

    def _delete_interval(self) -> float:
        """Return the pause between two deletes, which spreads the deletes of a compaction."""
        return self._accounts.count_members() / MAX_FLEET_DELETES_PER_SECOND

    async def _compact_forever(self) -> None:
        """Compact whenever enough slots were committed since the last compaction."""
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
        """Create a segment, unless an earlier attempt with a lost answer has created it."""
        value = msgspec.json.encode(segment)
        try:
            await self._kv.put_if(key, value, ABSENT_VERSION)
        except KvConflictError:
            stored_entry = await self._kv.get(key)
            if stored_entry is None or _decode_without_time(
                stored_entry.value
            ) != _decode_without_time(value):
                raise


def _decode_without_time(value: bytes) -> Segment:
    """Decode a segment and clear the time of its compaction."""
    segment = msgspec.json.decode(value, type=Segment)
    return msgspec.structs.replace(segment, folded_at=None)


def _plan_segment(
    incarnation: IncarnationId,
    entries: list[KvEntry],
    compacted_state: JournalState,
    full_state: JournalState,
    now: datetime,
) -> tuple[list[KvEntry], Segment | None]:
    """Choose the longest sequence of oldest slots without unsettled requests.

    :param entries: slots after the compacted part.
    :param compacted_state: state of the compacted part; the chosen slots are applied to it.
    :param full_state: state of the whole journal, which contains the unsettled requests.
    :return: the chosen slots and their segment; an empty list and None if there are too few.
    """
    chosen_slots: list[KvEntry] = []
    bills: list[Settle] = []
    first = compacted_state.next_slot
    for entry in entries:
        slot = msgspec.json.decode(entry.value, type=Slot)
        keys = {RequestKey(item.workspace, item.request) for item in slot.entries}
        if slot.closed_by or keys & full_state.begins_by_request.keys():
            break
        if len(bills) + len(slot.entries) > MAX_SEGMENT_BILLS:
            break
        chosen_slots.append(entry)
        bills.extend(item for item in slot.entries if isinstance(item, Settle))
        compacted_state.apply_slot(slot_number(entry.key), slot, incarnation)
    if len(chosen_slots) < MIN_SEGMENT_SLOTS:
        return [], None
    return chosen_slots, Segment(
        first,
        compacted_state.next_slot,
        tuple(bills),
        compacted_state.spent_by_workspace,
        compacted_state.next_position,
        now,
    )
