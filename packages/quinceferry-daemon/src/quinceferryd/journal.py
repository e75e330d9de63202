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
"""Commits of all routers together. A larger fleet commits more rarely, more entries at a time, so
that journals take about a third of the writes that the key-value service admits."""

_APPEND_STEP = "journal.append"


@dataclass(slots=True)
class PendingEntry:
    """An entry that waits for its commit; ``committed`` fails with ``FencedError``."""

    entry: Entry
    position: int
    committed: asyncio.Future[None]

    @property
    def copy(self) -> EntryCopy:
        """Return the entry as other routers hold it."""
        return EntryCopy(self.position, self.entry)


class JournalWriter(TaskGroupController):
    """Appends entries of one incarnation, many in one slot.

    Entries become durable in the order of their appending. The first conflict with a closing slot
    fences the writer for good; entries not committed by then are returned by ``take_uncommitted``.

    :param on_fenced: called once when another router has closed the journal.
    :param count_members: counts the routers that share the key-value service.
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
        """Start the commit loop."""
        self.spawn(self._commit_forever(), "journal")

    def append(self, entry: Entry) -> PendingEntry:
        """Queue an entry.

        :return: the entry with a future that ends when it is durable.
        """
        committed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        # Most callers do not wait for a settlement; an unread failure must not be reported.
        committed.add_done_callback(_retrieve_exception)
        appended = PendingEntry(entry, self.next_position, committed)
        self._queue.append(appended)
        if self.fenced:
            # Kept for take_uncommitted: a settlement belongs in the journal that follows.
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
        """Return the position of the first entry that is not known to be durable."""
        return self._queue[0].position if self._queue else self.next_position

    async def flush(self) -> None:
        """Wait until every queued entry is durable or the writer is fenced."""
        await self._is_drained.wait()

    def take_uncommitted(self) -> list[Entry]:
        """Remove and return the entries of a fenced writer that are not durable."""
        entries = [pending.entry for pending in self._queue]
        self._queue.clear()
        return entries

    async def _commit_forever(self) -> None:
        """Commit whatever is queued, at most once in each interval."""
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
        """Return the least time between two commits, which grows with the fleet."""
        fleet_interval = self._count_members() / MAX_FLEET_COMMITS_PER_SECOND
        return max(self._settings.min_commit_interval_seconds, fleet_interval)

    def _next_batch(self) -> list[PendingEntry]:
        """Return the oldest entries without removing them from the queue."""
        size = min(len(self._queue), self._settings.max_batch_entries)
        return [self._queue[index] for index in range(size)]

    async def _commit(self, batch: list[PendingEntry]) -> None:
        """Write one slot, however often the service has to be asked."""
        # The same content is sent until it is known to be there or another content is: an earlier
        # try may still take effect.
        name = f"{self.incarnation}/{self._rng.getrandbits(64):016x}"
        value = msgspec.json.encode(
            Slot(name, tuple(pending.entry for pending in batch), first=batch[0].position)
        )
        backoff = Backoff(self._rng)
        while not self.fenced:
            try:
                if await self._write(value, name):
                    self._complete_batch(batch)
                    return
            except KvUnavailableError:
                await self._clock.sleep(backoff.next_delay_seconds())

    async def _write(self, value: bytes, name: str) -> bool:
        """Try to create the next slot.

        :return: whether the slot holds this batch; a closing slot fences the writer instead.
        """
        key = slot_key(self.incarnation, self.next_slot)
        try:
            await self._kv.put_if(key, value, ABSENT_VERSION)
        except KvConflictError:
            found = await self._kv.get(key)
            if found is None:
                return False
            slot = msgspec.json.decode(found.value, type=Slot)
            if slot.batch != name:
                self.fence()
                return False
        return True

    def _complete_batch(self, batch: list[PendingEntry]) -> None:
        """Release the waiters of a durable batch."""
        self.next_slot += 1
        self.commits += 1
        for pending in batch:
            self._queue.popleft()
            if not pending.committed.done():
                pending.committed.set_result(None)

    def fence(self) -> None:
        """Refuse all entries from now on; entries not durable fail with ``FencedError``."""
        if self.fenced:
            return
        self.fenced = True
        for pending in self._queue:
            if not pending.committed.done():
                pending.committed.set_exception(self._fenced_error())
        self._is_drained.set()
        self._on_fenced()

    def _fenced_error(self) -> FencedError:
        """Return the error of a closed journal."""
        return FencedError("the journal was closed", step=_APPEND_STEP, peer=self.incarnation)


def _retrieve_exception(future: asyncio.Future[None]) -> None:
    """Mark a future's exception as retrieved."""
    if not future.cancelled():
        future.exception()
