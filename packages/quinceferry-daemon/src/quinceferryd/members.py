"""View of the routers that hold a live lease."""

import msgspec

from quinceferry_core.adapters import KvEntry, KvStore
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import KvError
from quinceferry_core.membership import MEMBER_PREFIX, Member
from quinceferry_core.models import IncarnationId
from quinceferryd.blackboard import Blackboard

WATCH_TIMEOUT_SECONDS = 60.0
"""How long a watch waits; a waiting watch counts as one call."""
MIN_WATCH_INTERVAL_SECONDS = 1.0
"""Shortest time between two watches, so that a burst of changes costs one call."""
RETRY_SECONDS = 1.0
POLL_SECONDS = 8.0
"""Time between two reads of all records, in case the watch is silent."""
POLLS_PER_SECOND = 10.0
"""Polls of the whole fleet; beyond it each router polls more rarely."""


class MemberView:
    """Fills ``blackboard.members_by_incarnation`` from the heartbeat records.

    After an outage of the key-value service every lease may have lapsed at once. Members that are
    missing then stay in the view for one lease time, in which they can show themselves again.

    :param blackboard: shared state.
    :param kv: the key-value service.
    :param clock: source of time.
    :param grace_seconds: how long a member missing after an outage is kept.
    """

    def __init__(
        self, blackboard: Blackboard, kv: KvStore, clock: Clock, grace_seconds: float
    ) -> None:
        self._blackboard = blackboard
        self._kv = kv
        self._clock = clock
        self._grace_seconds = grace_seconds
        self._own: Member | None = None
        self._cursor = -1
        self._outage_ended_at = float("-inf")
        self._is_cut_off = False
        self._missing: set[IncarnationId] = set()
        self._batches = 0
        self.synced = False
        """Whether the records have been read at least once."""

    def set_own(self, member: Member) -> None:
        """Show this router's own record, whatever the service says."""
        self._own = member
        self._blackboard.members_by_incarnation[member.incarnation] = member

    def clear_own(self) -> None:
        """Forget this router's own record."""
        if self._own is not None:
            self._blackboard.members_by_incarnation.pop(self._own.incarnation, None)
        self._own = None
        self._blackboard.limit_claims_read = None

    async def run(self) -> None:
        """Follow the records until cancelled."""
        while True:
            try:
                await self._follow_once()
            except KvError:
                self._is_cut_off = True
                self._cursor = -1
                await self._clock.sleep(RETRY_SECONDS)

    async def poll(self) -> None:
        """Read all records again and again until cancelled."""
        while True:
            members = len(self._blackboard.members_by_incarnation)
            await self._clock.sleep(max(POLL_SECONDS, members / POLLS_PER_SECOND))
            try:
                await self._poll_once()
            except KvError:
                continue

    async def _poll_once(self) -> None:
        """Read all records, unless the watch brings changes meanwhile and so is not silent."""
        batches = self._batches
        entries = await self._kv.list(MEMBER_PREFIX)
        if batches == self._batches and not self._is_cut_off:
            self._replace_all(entries)

    async def _follow_once(self) -> None:
        if self._cursor < 0:
            await self._read_all()
        timeout = self._missing_timeout()
        batch = await self._kv.watch(MEMBER_PREFIX, self._cursor, timeout)
        self._cursor = -1 if batch.reset else batch.cursor
        self._batches += 1
        for event in batch.events:
            self._apply(event.key, event.entry)
        self._drop_missing()
        await self._clock.sleep(MIN_WATCH_INTERVAL_SECONDS)

    async def _read_all(self) -> None:
        start = await self._kv.watch(MEMBER_PREFIX, -1, 0.0)
        entries = await self._kv.list(MEMBER_PREFIX)
        if self._is_cut_off:
            self._is_cut_off = False
            self._outage_ended_at = self._clock.monotonic()
        self._batches += 1
        self._replace_all(entries)
        self._cursor = start.cursor
        self.synced = True

    def _replace_all(self, entries: list[KvEntry]) -> None:
        listed = {entry.key for entry in entries}
        for entry in entries:
            self._apply(entry.key, entry)
        for incarnation in list(self._blackboard.members_by_incarnation):
            if f"{MEMBER_PREFIX}{incarnation}" not in listed:
                self._remove(incarnation)

    def _apply(self, key: str, entry: KvEntry | None) -> None:
        if entry is None:
            self._remove(IncarnationId(key.removeprefix(MEMBER_PREFIX)))
            return
        member = msgspec.json.decode(entry.value, type=Member)
        self._missing.discard(member.incarnation)
        if self._own is not None and member.incarnation == self._own.incarnation:
            self._blackboard.limit_claims_read = member.limit_claims
            return
        self._blackboard.members_by_incarnation[member.incarnation] = member

    def _remove(self, incarnation: IncarnationId) -> None:
        if self._own is not None and incarnation == self._own.incarnation:
            return
        if self._in_grace():
            self._missing.add(incarnation)
            return
        self._blackboard.members_by_incarnation.pop(incarnation, None)

    def _in_grace(self) -> bool:
        return self._clock.monotonic() < self._outage_ended_at + self._grace_seconds

    def _drop_missing(self) -> None:
        if self._in_grace():
            return
        for incarnation in self._missing:
            self._blackboard.members_by_incarnation.pop(incarnation, None)
        self._missing.clear()

    def _missing_timeout(self) -> float:
        """Return how long the next watch may wait; short while removals are pending."""
        return self._grace_seconds if self._missing else WATCH_TIMEOUT_SECONDS
