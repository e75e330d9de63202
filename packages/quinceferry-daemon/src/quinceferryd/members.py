"""View of the routers that have a valid lease."""

import msgspec

from quinceferry_core.absences import AbsenceTracker
from quinceferry_core.adapters import KvEntry, KvStore
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import KvError
from quinceferry_core.membership import MEMBER_PREFIX, Member
from quinceferryd.blackboard import Blackboard

WATCH_TIMEOUT_SECONDS = 60.0
"""How long a watch waits for changes; the service counts a waiting watch as one call."""
MIN_WATCH_INTERVAL_SECONDS = 1.0
"""Minimum time between two watch calls, so that a burst of changes takes a single call."""
WATCH_RETRY_SECONDS = 1.0
MIN_POLL_INTERVAL_SECONDS = 8.0
"""Minimum time between two reads of all records, in case the watch misses changes."""
MAX_FLEET_POLLS_PER_SECOND = 10.0
"""Poll rate of all routers together; in a larger fleet each router polls less often."""


class MemberView:
    """Fills ``blackboard.members_by_incarnation`` from the heartbeat records.

    An outage of the key-value service may end all leases at once. Members that are missing after an
    outage stay in the view for one lease time, in which they can renew their leases. If only this
    router was partitioned, missing members have left and are removed at once.

    :param blackboard: shared state.
    :param kv: the key-value service.
    :param clock: source of time.
    :param ttl_seconds: lifetime of a lease without renewal.
    :param heartbeat_seconds: interval of renewals.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        kv: KvStore,
        clock: Clock,
        ttl_seconds: float,
        heartbeat_seconds: float,
    ) -> None:
        self._blackboard = blackboard
        self._kv = kv
        self._clock = clock
        self._absences: AbsenceTracker[KvEntry] = AbsenceTracker(
            lease_seconds=ttl_seconds,
            renewal_seconds=heartbeat_seconds,
            grace_seconds=ttl_seconds,
            max_delay_seconds=0.0,
            registration_of=lambda entry: entry.version,
        )
        self._own_member: Member | None = None
        self._cursor = -1
        self._is_partitioned = False
        self._ttl_seconds = ttl_seconds
        self._batch_count = 0
        self.has_read_members = False
        """Whether the records have been read at least once."""

    def set_own(self, member: Member) -> None:
        """Keep this router's own record in the view, even if it is not in the store."""
        self._own_member = member
        self._blackboard.members_by_incarnation[member.incarnation] = member

    def clear_own(self) -> None:
        """Remove this router's own record from the view."""
        if self._own_member is not None:
            self._blackboard.members_by_incarnation.pop(self._own_member.incarnation, None)
        self._own_member = None
        self._blackboard.published_limit_claims = None

    async def follow(self) -> None:
        """Follow the records until cancelled."""
        while True:
            try:
                await self._follow_once()
            except KvError:
                # The watch may have waited long before it failed, so the service is certainly
                # unavailable only from now on.
                self._absences.record_failure(self._clock.monotonic())
                self._is_partitioned = True
                self._cursor = -1
                await self._clock.sleep(WATCH_RETRY_SECONDS)

    async def poll(self) -> None:
        """Read all records periodically until cancelled."""
        while True:
            members = len(self._blackboard.members_by_incarnation)
            await self._clock.sleep(
                max(MIN_POLL_INTERVAL_SECONDS, members / MAX_FLEET_POLLS_PER_SECOND)
            )
            try:
                await self._poll_once()
            except KvError:
                continue

    async def _poll_once(self) -> None:
        """Read all records; discard them if the watch has returned changes in the meantime."""
        batch_count = self._batch_count
        requested_at = self._clock.monotonic()
        entries = await self._kv.list(MEMBER_PREFIX)
        if batch_count == self._batch_count and not self._is_partitioned:
            self._replace_all(entries, requested_at)

    async def _follow_once(self) -> None:
        if self._cursor < 0:
            await self._read_all()
        batch = await self._kv.watch(MEMBER_PREFIX, self._cursor, self._watch_seconds())
        self._cursor = -1 if batch.reset else batch.cursor
        self._batch_count += 1
        now = self._clock.monotonic()
        for event in batch.events:
            self._absences.apply_change(event.key, event.entry, now, self._grace_end(now))
            if event.entry is not None:
                self._add_member(event.entry)
        self._remove_absent_members()
        await self._clock.sleep(MIN_WATCH_INTERVAL_SECONDS)

    async def _read_all(self) -> None:
        start = await self._kv.watch(MEMBER_PREFIX, -1, 0.0)
        requested_at = self._clock.monotonic()
        entries = await self._kv.list(MEMBER_PREFIX)
        self._is_partitioned = False
        self._batch_count += 1
        self._replace_all(entries, requested_at)
        self._cursor = start.cursor
        self.has_read_members = True

    def _replace_all(self, entries: list[KvEntry], requested_at: float) -> None:
        """Replace the view by a complete read; keep members that may only have lost their lease.

        :param requested_at: time at which the read was sent, in monotonic seconds.
        """
        entries_by_key = {entry.key: entry for entry in entries}
        self._absences.apply_list(entries_by_key, requested_at, self._clock.monotonic())
        for entry in entries:
            self._add_member(entry)
        self._remove_absent_members()

    def _grace_end(self, now: float) -> float:
        """Return until when a member is kept if its record is removed now.

        Within one lease time after an outage, it may have lost its lease and still renew it. After
        a partition of this router alone it has left.
        """
        health = self._blackboard.kv
        if health.available and self._absences.is_partition_proven:
            return now
        return (health.changed_at if health.available else now) + self._ttl_seconds

    def _remove_absent_members(self) -> None:
        """Remove the members that are neither in the store nor within their grace period."""
        retained_keys = self._absences.retained(self._clock.monotonic())
        for incarnation in list(self._blackboard.members_by_incarnation):
            key = f"{MEMBER_PREFIX}{incarnation}"
            is_own = self._own_member is not None and incarnation == self._own_member.incarnation
            if not is_own and key not in retained_keys and key not in self._absences.listed_by_id:
                del self._blackboard.members_by_incarnation[incarnation]

    def _add_member(self, entry: KvEntry) -> None:
        """Add a member to the view; of this router's own record, use only the limit claims."""
        member = msgspec.json.decode(entry.value, type=Member)
        if self._own_member is not None and member.incarnation == self._own_member.incarnation:
            self._blackboard.published_limit_claims = member.limit_claims
            return
        self._blackboard.members_by_incarnation[member.incarnation] = member

    def _watch_seconds(self) -> float:
        """Return how long the next watch may wait: at most until the next grace period ends."""
        next_expiry = self._absences.next_expiry
        if next_expiry is None:
            return WATCH_TIMEOUT_SECONDS
        remaining_seconds = max(MIN_WATCH_INTERVAL_SECONDS, next_expiry - self._clock.monotonic())
        return min(WATCH_TIMEOUT_SECONDS, remaining_seconds)
