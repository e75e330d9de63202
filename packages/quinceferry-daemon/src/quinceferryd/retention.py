"""Compacts the journals of retired incarnations and deletes bills after their retention time."""

from contextlib import suppress
from datetime import timedelta
from random import Random

import msgspec

from quinceferry_core.adapters import ABSENT_VERSION, KvEntry, KvStore
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import KvConflictError, KvError
from quinceferry_core.journals import (
    JOURNAL_PREFIX,
    SEGMENT_PREFIX,
    Segment,
    Settle,
    Slot,
    owner_from_key,
    segment_key,
    slot_number,
)
from quinceferry_core.membership import INCARNATION_PREFIX, IncarnationRecord
from quinceferry_core.models import IncarnationId
from quinceferry_core.routing import rendezvous_order
from quinceferryd.blackboard import Blackboard, RouterState
from quinceferryd.compaction import MAX_SEGMENT_BILLS
from quinceferryd.controllers import TaskGroupController
from quinceferryd.settings import JournalSettings

CHECK_INTERVAL_SECONDS = 600.0
PROOF_RETENTION_SECONDS = 7200.0
"""How long the slots of a closed journal are kept after its incarnation is retired. They prove to
callers whose tickets name it which requests did not run; a ticket is valid for one hour."""

_TASK_NAME = "retention"


class RetentionController(TaskGroupController):
    """Bounds the number of journal and segment keys; one router at a time does it for the fleet."""

    def __init__(
        self,
        blackboard: Blackboard,
        kv: KvStore,
        clock: Clock,
        rng: Random,
        settings: JournalSettings,
    ) -> None:
        super().__init__()
        self.deleted_segments = 0
        self._blackboard = blackboard
        self._kv = kv
        self._clock = clock
        self._rng = rng
        self._settings = settings
        self._record_missing_since_by_owner: dict[IncarnationId, float] = {}

    async def start(self) -> None:
        """Start checking periodically."""
        self.spawn(self._check_forever(), _TASK_NAME)

    async def check(self) -> None:
        """Compact the journals and delete the segments that are due.

        :raises KvError: a call to the key-value service failed or a key changed; repeat the call.
        """
        slots = await self._kv.list(JOURNAL_PREFIX)
        segments = await self._kv.list(SEGMENT_PREFIX)
        # Incarnation records are read last. An incarnation writes its record before any journal
        # key, so an owner without a record is retired or has a journal of bills only.
        recorded_incarnations = await self._read_incarnations()
        await self._compact_retired(
            [entry for entry in slots if owner_from_key(entry.key) not in recorded_incarnations]
        )
        await self._delete_expired_segments(segments, recorded_incarnations)

    async def _check_forever(self) -> None:
        """Check periodically while this router is the elected one."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_SECONDS * self._rng.uniform(0.8, 1.2))
            if not self._is_elected():
                self._record_missing_since_by_owner.clear()
                continue
            try:
                await self.check()
            except KvError:
                continue

    def _is_elected(self) -> bool:
        """Return whether this router serves and ranks first among all routers."""
        is_able = self._blackboard.state is RouterState.SERVING and self._blackboard.kv.available
        order = rendezvous_order(_TASK_NAME, sorted(self._blackboard.members_by_incarnation))
        return is_able and order[:1] == [self._blackboard.identity.incarnation]

    async def _read_incarnations(self) -> set[IncarnationId]:
        """Return the incarnations that have an incarnation record."""
        entries = await self._kv.list(INCARNATION_PREFIX)
        records = (msgspec.json.decode(entry.value, type=IncarnationRecord) for entry in entries)
        return {record.incarnation for record in records}

    async def _compact_retired(self, entries: list[KvEntry]) -> None:
        """Compact the journals whose owners have had no incarnation record for long enough."""
        now = self._clock.monotonic()
        owners = {owner_from_key(entry.key) for entry in entries}
        for owner in self._record_missing_since_by_owner.keys() - owners:
            del self._record_missing_since_by_owner[owner]
        for owner in sorted(owners):
            missing_since = self._record_missing_since_by_owner.setdefault(owner, now)
            if now - missing_since >= PROOF_RETENTION_SECONDS:
                await self._compact_journal(
                    [entry for entry in entries if owner_from_key(entry.key) == owner]
                )

    async def _compact_journal(self, entries: list[KvEntry]) -> None:
        """Replace all slots of one journal by segments that contain their bills."""
        while entries:
            bills: list[Settle] = []
            slot_count = 0
            for entry in entries:
                slot = msgspec.json.decode(entry.value, type=Slot)
                if bills and len(bills) + len(slot.entries) > MAX_SEGMENT_BILLS:
                    break
                bills.extend(item for item in slot.entries if isinstance(item, Settle))
                slot_count += 1
            await self._replace_slots(entries[:slot_count], bills)
            entries = entries[slot_count:]

    async def _replace_slots(self, entries: list[KvEntry], bills: list[Settle]) -> None:
        """Write the bills of the given slots as a segment, then delete the slots."""
        first = slot_number(entries[0].key)
        last = slot_number(entries[-1].key)
        segment = Segment(first, last + 1, tuple(bills), {}, folded_at=self._clock.now())
        if bills:
            key = segment_key(owner_from_key(entries[0].key), first)
            # An earlier attempt may have written it and failed while deleting the slots.
            with suppress(KvConflictError):
                await self._kv.put_if(key, msgspec.json.encode(segment), ABSENT_VERSION)
        for entry in entries:
            await self._kv.delete_if(entry.key, entry.version)

    async def _delete_expired_segments(
        self, segments: list[KvEntry], recorded_incarnations: set[IncarnationId]
    ) -> None:
        """Delete expired segments.

        The last segment of an owner that has an incarnation record is kept, because it contains
        the totals of the journal.
        """
        oldest_kept_at = self._clock.now() - timedelta(days=self._settings.bill_retention_days)
        last_key_by_owner = {owner_from_key(entry.key): entry.key for entry in segments}
        for entry in segments:
            owner = owner_from_key(entry.key)
            if owner in recorded_incarnations and last_key_by_owner[owner] == entry.key:
                continue
            segment = msgspec.json.decode(entry.value, type=Segment)
            if segment.folded_at is not None and segment.folded_at < oldest_kept_at:
                await self._kv.delete_if(entry.key, entry.version)
                self.deleted_segments += 1
