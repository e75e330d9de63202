"""Registers this incarnation in the store, and keeps the list of registered gateways."""

import asyncio
import random
import zlib
from collections.abc import Collection, Iterable

import msgspec

from quinceferry_core.adapters import ABSENT_VERSION, KvEntry, KvStore
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import KvConflictError, KvError, LeaseLostError
from quinceferry_gateway.blackboard import Blackboard, Member, Phase
from quinceferry_gateway.controllers import Controller
from quinceferry_gateway.decoding import decode_json, decode_msgpack
from quinceferry_gateway.fleet.digests import CopySummary, summarize_copy
from quinceferry_gateway.fleet.packing import pack, unpack
from quinceferry_gateway.fleet.read_schedule import SKIPPED_READ_SECONDS, ReadSchedule
from quinceferry_gateway.interfaces import SnapshotSource
from quinceferry_gateway.logs import log
from quinceferry_gateway.store_health import record_store_answer, record_store_failure

MEMBER_PREFIX = "quinceferry/members/"
LEASE_TTL_SECONDS = 12.0
"""Time to live of a registration: several renewal intervals, and longer than most outages of the
store. Members that stop are detected as unreachable long before their lease ends."""
RENEWAL_INTERVAL_SECONDS = 4.0
"""Interval of lease renewals. 195 gateways make 49 renewals per second, each at a tenth of the cost
of another call."""
RENEWAL_RETRY_SECONDS = 1.5
"""Pause after a failed renewal, which allows four attempts within a lease."""
WITHDRAWAL_SECONDS = 2.0
"""Time after which no further attempt to withdraw begins. The end of a planned stop waits for the
withdrawal, which takes one timeout of the store more at most."""
WITHDRAWAL_RETRY_SECONDS = 0.25
"""Pause after a failed attempt to withdraw."""
CATALOG_CHECK_INTERVAL_SECONDS = 0.05
"""Interval at which a starting gateway checks whether it has a configuration and upstreams."""
LIST_READ_INTERVAL_SECONDS = 2.4
"""Interval at which a designated reader reads the member list. New gateways also announce
themselves in their digests."""
MAX_LIST_AGE_SECONDS = 6.0
"""Age of the member list at which every gateway reads it."""
ALONE_READ_INTERVAL_SECONDS = 0.5
"""Pause after which a stopping gateway that knows no usable member reads the list again. It would
name nobody to callers, and new gateways don't know it and send it no digests."""
ALONE_CHECK_SECONDS = 0.1
"""Longest time until a gateway notices that it knows no usable member."""


MAX_LOGGED_MEMBERS = 8
"""Maximum number of added or removed members that a log line names; the counts include all."""


class MembersCopy(msgspec.Struct, frozen=True):
    """List of registered members as sent from one gateway to another."""

    revision: int
    age_seconds: float
    members: list[Member]


class Registration(Controller):
    """Keeps this incarnation registered under a lease, from when it can serve until it stops.

    ``registered`` is set once it has been registered.
    """

    def __init__(self, blackboard: Blackboard, store: KvStore, clock: Clock) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._store = store
        self._clock = clock
        self._lease = ""
        self._is_written = False
        self.registered = asyncio.Event()

    async def start(self) -> None:
        """Start registering."""
        self.supervise(self._keep_registered, "registration")

    async def withdraw(self) -> None:
        """Withdraw the registration, so that other gateways no longer name this one to callers.

        The lease is revoked even if the write under it was not answered, since that may have taken
        effect, or may do so later.
        """
        await self.stop()
        if not self._lease:
            return
        ends_at = self._clock.monotonic() + WITHDRAWAL_SECONDS
        while not await self._revoke() and self._clock.monotonic() < ends_at:
            await self._clock.sleep(WITHDRAWAL_RETRY_SECONDS)

    async def _revoke(self) -> bool:
        """Revoke the lease, and return whether it has ended."""
        try:
            await self._store.revoke_lease(self._lease)
        except LeaseLostError:
            return True
        except KvError as error:
            log.failure("registration.not_withdrawn", error=str(error))
            return False
        return True

    async def _keep_registered(self) -> None:
        """Register, renew the lease, and register again after it was lost."""
        while not self._blackboard.has_catalog:
            await self._clock.sleep(CATALOG_CHECK_INTERVAL_SECONDS)
        while self._blackboard.phase is not Phase.DRAINING:
            try:
                await self._register_or_renew()
                record_store_answer(self._blackboard)
            except LeaseLostError:
                self._lease, self._is_written = "", False
                log.change("registration.lost")
                continue
            except KvError as error:
                record_store_failure(self._blackboard, error)
                await self._clock.sleep(RENEWAL_RETRY_SECONDS)
                continue
            await self._clock.sleep(RENEWAL_INTERVAL_SECONDS)

    async def _register_or_renew(self) -> None:
        """Renew the lease once the registration is written under it; write it otherwise.

        :raises LeaseLostError: the lease has ended.
        """
        if self._is_written:
            await self._store.keep_alive(self._lease)
            return
        if not self._lease:
            self._lease = await self._store.grant_lease(LEASE_TTL_SECONDS)
        await self._write()

    async def _write(self) -> None:
        """Write the registration under the lease."""
        own = self._blackboard.own
        key = MEMBER_PREFIX + own.incarnation
        try:
            await self._store.put_if(key, msgspec.json.encode(own), ABSENT_VERSION, self._lease)
        except KvConflictError:
            # Only this incarnation writes the key, and an ended lease has deleted it, so an earlier
            # write under this lease took effect.
            log.change("registration.still_there")
        else:
            log.change("registration.written", lease=self._lease)
        self._is_written = True
        self.registered.set()


class MemberReader(Controller):
    """Keeps the list of registered members current.

    :param registered: set once this gateway is registered. The list is read only then, so that of
        two gateways that start together at least the later one sees the other.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        source: SnapshotSource,
        clock: Clock,
        rng: random.Random,
        registered: asyncio.Event,
    ) -> None:
        super().__init__()
        self._registered = registered
        self._blackboard = blackboard
        self._source = source
        self._clock = clock
        self._schedule = ReadSchedule(LIST_READ_INTERVAL_SECONDS, MAX_LIST_AGE_SECONDS, rng)
        self._registered_members: list[Member] = []
        self._revision = 0
        self._members_checksum = 0

    async def start(self) -> None:
        """Start reading the list."""
        self.supervise(self._read_when_due, "members")
        self.supervise(self._read_while_alone, "members while alone")

    def merge_registered(self, members: list[Member]) -> None:
        """Replace the list of members by the registered ones, and those still reachable.

        A member that is no longer registered but still seen remains: it is partitioned from the
        store, and still serves callers and holds tokens.
        """
        by_incarnation = {member.incarnation: member for member in members}
        by_incarnation |= self._reachable_elsewhere({member.vm for member in members})
        self._publish(by_incarnation)

    def add_announced(self, member: Member) -> None:
        """Add a member that announced itself, and remove an earlier one on the same vm."""
        others = self._blackboard.members_by_incarnation.items()
        by_incarnation = {key: item for key, item in others if item.vm != member.vm}
        self._publish({**by_incarnation, member.incarnation: member})

    def remove_unreachable(self) -> None:
        """Remove members that are unreachable and no longer registered."""
        registered = {member.incarnation for member in self._registered_members}
        if self._blackboard.unreachable - registered:
            self.merge_registered(self._registered_members)

    def summary(self, now: float) -> CopySummary | None:
        """Return the summary of this gateway's copy, None without a copy."""
        read_at = self._blackboard.members_read_at
        return summarize_copy(self._revision, self._members_checksum, read_at, now)

    def confirm(self, revision: int, requested_at: float) -> None:
        """Record that the store had the same list at a time and revision."""
        board = self._blackboard
        self._revision = max(self._revision, revision)
        board.members_read_at = max(requested_at, board.members_read_at or requested_at)

    def encode(self, now: float) -> bytes | None:
        """Return the encoded list for a peer, None without a list."""
        read_at = self._blackboard.members_read_at
        if read_at is None:
            return None
        copy = MembersCopy(self._revision, now - read_at, self._registered_members)
        return pack(msgspec.msgpack.encode(copy))

    def adopt(self, body: bytes, origin: str, now: float) -> None:
        """Adopt a peer's list if it is newer.

        :param now: time at which the copy was requested.
        :raises msgspec.DecodeError: the copy cannot be decoded.
        """
        copy = decode_msgpack(unpack(body), MembersCopy)
        if copy.age_seconds >= 0 and copy.revision > self._revision:
            self._adopt_list(copy.members, copy.revision, now - copy.age_seconds)

    def _reachable_elsewhere(self, vms: Collection[str]) -> dict[str, Member]:
        """Return the members on other vms that are reachable and not leaving."""
        board = self._blackboard
        return {
            member.incarnation: member for member in board.usable_peers() if member.vm not in vms
        }

    def _publish(self, by_incarnation: dict[str, Member]) -> None:
        """Publish the members on the blackboard, always including this gateway."""
        board = self._blackboard
        own = board.own
        by_incarnation = {key: item for key, item in by_incarnation.items() if item.vm != own.vm}
        by_incarnation[own.incarnation] = own
        before = board.members_by_incarnation
        if by_incarnation.keys() == before.keys():
            return
        board.members_changed_at = now = self._clock.monotonic()
        for incarnation in board.leaving & before.keys() - by_incarnation.keys():
            board.record_withdrawn(before[incarnation], now)
        _log_changes(before, by_incarnation)
        board.members_by_incarnation = by_incarnation
        board.unreachable &= by_incarnation.keys()
        board.leaving &= by_incarnation.keys()

    async def _read_when_due(self) -> None:
        """Read the list whenever it is due; keep the last one in an outage of the store."""
        board = self._blackboard
        await self._registered.wait()
        while True:
            now = self._clock.monotonic()
            due_at = self._schedule.due_at(board.is_store_reader, board.members_read_at)
            if now < due_at:
                await self._clock.sleep(due_at - now)
            elif board.should_skip_read(board.members_read_at):
                await self._clock.sleep(SKIPPED_READ_SECONDS)
            else:
                await self._read(now)

    async def _read_while_alone(self) -> None:
        """Read the list again and again while no member is usable and the store is reachable."""
        board = self._blackboard
        await self._registered.wait()
        while True:
            is_alone = board.phase is Phase.DRAINING and not board.usable_peers()
            if not is_alone or board.should_skip_read(board.members_read_at):
                await self._clock.sleep(ALONE_CHECK_SECONDS)
            else:
                await self._read(self._clock.monotonic())
                await self._clock.sleep(ALONE_READ_INTERVAL_SECONDS)

    async def _read(self, requested_at: float) -> None:
        """Read the list from the store."""
        self._schedule.read_started(requested_at)
        try:
            snapshot = await self._source.snapshot(MEMBER_PREFIX)
        except KvError as error:
            board, now = self._blackboard, self._clock.monotonic()
            record_store_failure(board, error)
            self._schedule.read_failed(
                board.is_store_reader, board.members_read_at, now, len(board.members_by_vm)
            )
            return
        record_store_answer(self._blackboard)
        if snapshot.revision >= self._revision:
            self._adopt_list(
                _decode_newest_by_vm(snapshot.entries), snapshot.revision, requested_at
            )

    def _adopt_list(self, members: list[Member], revision: int, requested_at: float) -> None:
        """Adopt a list that is not older than the current one."""
        board = self._blackboard
        self._registered_members = members
        self._members_checksum = _checksum(members)
        self._revision = revision
        board.members_read_at = requested_at
        self.merge_registered(members)


def _log_changes(before: dict[str, Member], now: dict[str, Member]) -> None:
    """Log added and removed members in one line, since hundreds may be added together."""
    added, removed = sorted(now.keys() - before.keys()), sorted(before.keys() - now.keys())
    log.change(
        "members.changed",
        added=added[:MAX_LOGGED_MEMBERS],
        added_count=len(added),
        removed=removed[:MAX_LOGGED_MEMBERS],
        removed_count=len(removed),
        count=len(now),
    )


def _checksum(members: Iterable[Member]) -> int:
    """Return a checksum of the members' incarnations."""
    return zlib.crc32(",".join(sorted(member.incarnation for member in members)).encode())


def _decode_newest_by_vm(entries: list[KvEntry]) -> list[Member]:
    """Return the newest member on each vm; log and skip entries that cannot be decoded."""
    newest_by_vm: dict[str, tuple[int, Member]] = {}
    for entry in entries:
        try:
            member = decode_json(entry.value, Member)
        except msgspec.DecodeError as error:
            log.failure("member.malformed", key=entry.key, error=str(error))
            continue
        newest_known = newest_by_vm.get(member.vm)
        if newest_known is None or newest_known[0] < entry.version:
            newest_by_vm[member.vm] = (entry.version, member)
    return [member for _, member in newest_by_vm.values()]
