"""Group commit of journal entries to the key-value service."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import msgspec

from quinceferry_core.adapters import ABSENT_VERSION, KvStore
from quinceferry_core.backoffs import Backoff
from quinceferry_core.clocks import Clock
from quinceferry_core.copies import EntryCopy
from quinceferry_core.exceptions import FencedError, KvConflictError, KvUnavailableError
from quinceferry_core.journals import Entry, Slot, slot_key
from quinceferry_core.models import IncarnationId
from quinceferryd.controllers import TaskGroupController
from quinceferryd.settings import JournalSettings

MAX_FLEET_COMMITS_PER_SECOND = 125.0
"""Commit rate of all routers together. In a larger fleet each router commits less often and more
entries at a time, so that journals use about a third of the write rate of the key-value service."""

_APPEND_STEP = "journal.append"


@dataclass(slots=True)
class PendingEntry:
    """A journal entry and its commit; ``committed`` fails with ``FencedError`` if it is fenced."""

    entry: Entry
    position: int
    committed: asyncio.Future[None]

    @property
    def copy(self) -> EntryCopy:
        """Return the entry and its position, in the form that other routers hold."""
        return EntryCopy(self.position, self.entry)


class JournalWriter(TaskGroupController):
    """Appends the entries of one incarnation to its journal, in batches of one slot.

    Entries become durable in the order in which they were appended. The first conflict with a
    closing slot fences the writer permanently; ``take_uncommitted`` then returns the entries that
    were not committed.

    :param on_fenced: called once when another router has closed the journal.
    :param count_members: returns the number of routers that share the key-value service.
    """

    def __init__(
        self,
        incarnation: IncarnationId,
        kv: KvStore,
        clock: Clock,
        rng: Random,
        settings: JournalSettings,
        on_fenced: Callable[[], None],
        count_members: Callable[[], int] = lambda: 1,
    ) -> None:
        super().__init__()
        self.incarnation = incarnation
        self.next_slot = 0
        self.next_position = 0
        self.fenced = False
        self.commits = 0
        self._kv = kv
        self._clock = clock
        self._rng = rng
        self._settings = settings
        self._on_fenced = on_fenced
        self._count_members = count_members
        self._queue: deque[PendingEntry] = deque()
        self._has_entries = asyncio.Event()
        self._is_drained = asyncio.Event()
        self._is_drained.set()

    async def start(self) -> None:
        """Start the task that commits queued entries."""
        self.spawn(self._commit_forever(), "journal")

    def append(self, entry: Entry) -> PendingEntry:
        """Queue an entry for the next commit.

        :return: the entry with a future that completes when the entry is durable.
        """
        committed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        # Most callers do not await a settlement, and asyncio would log the unretrieved exception.
        committed.add_done_callback(_retrieve_exception)
        appended = PendingEntry(entry, self.next_position, committed)
        self._queue.append(appended)
        if self.fenced:
            # It stays queued for take_uncommitted: settlements go to the next journal.
            committed.set_exception(self._fenced_error())
            return appended
        self.next_position += 1
        self._is_drained.clear()
        self._has_entries.set()
        return appended

    @property
    def is_flushed(self) -> bool:
        """Return whether every entry is durable."""
        return not self._queue

    @property
    def durable_before(self) -> int:
        """Return the position of the first entry that may not be durable yet."""
        return self._queue[0].position if self._queue else self.next_position

    async def flush(self) -> None:
        """Wait until all queued entries are durable or the writer is fenced."""
        await self._is_drained.wait()

    def take_uncommitted(self) -> list[Entry]:
        """Remove and return the entries that a fenced writer did not commit."""
        entries = [pending.entry for pending in self._queue]
        self._queue.clear()
        return entries

    async def _commit_forever(self) -> None:
        """Commit the queued entries, at most one batch per commit interval."""
        while not self.fenced:
            await self._has_entries.wait()
            self._has_entries.clear()
            batch = self._next_batch()
            if not batch:
                self._is_drained.set()
                continue
            await self._commit(batch)
            self._has_entries.set()
            await self._clock.sleep(self._commit_interval())

    def _commit_interval(self) -> float:
        """Return the minimum time between two commits, which grows with the fleet."""
        fleet_interval = self._count_members() / MAX_FLEET_COMMITS_PER_SECOND
        return max(self._settings.min_commit_interval_seconds, fleet_interval)

    def _next_batch(self) -> list[PendingEntry]:
        """Return the oldest entries without removing them from the queue."""
        size = min(len(self._queue), self._settings.max_batch_entries)
        return [self._queue[index] for index in range(size)]

    async def _commit(self, batch: list[PendingEntry]) -> None:
        """Write a batch as one slot; retry until it is written or the writer is fenced."""
        # Every retry sends the same value, because an earlier attempt may still take effect. It
        # ends when the slot is known to hold this batch or another value.
        batch_id = f"{self.incarnation}/{self._rng.getrandbits(64):016x}"
        value = msgspec.json.encode(
            Slot(batch_id, tuple(pending.entry for pending in batch), first=batch[0].position)
        )
        backoff = Backoff(self._rng)
        while not self.fenced:
            try:
                if await self._write(value, batch_id):
                    self._complete_batch(batch)
                    return
            except KvUnavailableError:
                await self._clock.sleep(backoff.next_delay_seconds())

    async def _write(self, value: bytes, batch_id: str) -> bool:
        """Try to create the next slot; fence the writer if the slot holds anything else.

        :return: whether the slot holds this batch.
        """
        key = slot_key(self.incarnation, self.next_slot)
        try:
            await self._kv.put_if(key, value, ABSENT_VERSION)
        except KvConflictError:
            stored_entry = await self._kv.get(key)
            if stored_entry is None:
                return False
            slot = msgspec.json.decode(stored_entry.value, type=Slot)
            if slot.batch != batch_id:
                self.fence()
                return False
        return True

    def _complete_batch(self, batch: list[PendingEntry]) -> None:
        """Remove a durable batch from the queue and complete its futures."""
        self.next_slot += 1
        self.commits += 1
        for pending in batch:
            self._queue.popleft()
            if not pending.committed.done():
                pending.committed.set_result(None)

    def fence(self) -> None:
        """Stop committing; uncommitted and later entries fail with ``FencedError``."""
        if self.fenced:
            return
        self.fenced = True
        for pending in self._queue:
            if not pending.committed.done():
                pending.committed.set_exception(self._fenced_error())
        self._is_drained.set()
        self._on_fenced()

    def _fenced_error(self) -> FencedError:
        """Return the error for entries of a closed journal."""
        return FencedError("the journal was closed", step=_APPEND_STEP, peer=self.incarnation)


def _retrieve_exception(future: asyncio.Future[None]) -> None:
    """Retrieve a future's exception, so that asyncio does not log it."""
    if not future.cancelled():
        future.exception()
