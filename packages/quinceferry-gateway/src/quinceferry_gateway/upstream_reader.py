"""Maintenance of the list of upstreams.

Designated readers read it from the store. The others receive their copies, including the decisions
on missing entries, and read the store only when the copies grow old.
"""

import asyncio
import random
import zlib
from collections.abc import Callable, Iterable
from contextlib import suppress

import msgspec

from quinceferry_core.absences import AbsenceTracker
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import KvError
from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.catalog import Upstream, UpstreamList
from quinceferry_gateway.controllers import Controller
from quinceferry_gateway.decoding import decode_msgpack
from quinceferry_gateway.fleet.digests import CopySummary, summarize_copy
from quinceferry_gateway.fleet.packing import pack, unpack
from quinceferry_gateway.fleet.read_schedule import (
    INTERVAL_SHARE,
    MAX_AGE_SHARE,
    MIN_PAUSE_SECONDS,
    ReadSchedule,
)
from quinceferry_gateway.interfaces import CatalogSource
from quinceferry_gateway.logs import log
from quinceferry_gateway.store_health import record_store_answer, record_store_failure

HEARTBEATS_PER_LEASE = 3
"""Heartbeats without renewal after which the lease of an upstream expires."""
ABSENCE_GRACE_SECONDS = 2.5
"""How long a missing upstream may be used after the store has recovered. Live ones register again
within about two seconds, and one that has left must get no requests three seconds after the
recovery."""
STORE = "store"
"""Origin of changes that this gateway read from the store itself."""
EXPIRY = "expiry"
"""Origin of removals because the time of a missing upstream is over."""
MAX_RECOVERY_DELAY_SECONDS = 0.4
"""How long after the last failed call the store is assumed to recover at most, so that with the
grace period no upstream that has left is used three seconds after the recovery."""


class AbsentUpstream(msgspec.Struct, frozen=True):
    """An upstream that is used although the list lacks it, and for how many seconds more."""

    upstream: Upstream
    seconds: float


class UpstreamsCopy(msgspec.Struct, frozen=True):
    """The list of upstreams as one gateway sends it to another.

    ``contact_seconds`` is for how long the store is known to have answered when the list was read.
    """

    revision: int
    age_seconds: float
    listed: list[Upstream]
    absent: list[AbsentUpstream]
    contact_seconds: float = 0.0


class UpstreamReader(Controller):
    """Keeps the list of upstreams current.

    :param blackboard: receives the upstreams.
    :param heartbeat_seconds: interval at which upstreams renew their leases.
    :param bound_seconds: time after which an upstream that leaves must get no more requests.
    :param on_list: receives the list whenever it is read or confirmed, and when that was requested.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        source: CatalogSource,
        clock: Clock,
        heartbeat_seconds: float,
        random_source: random.Random,
        bound_seconds: float,
        on_list: Callable[[Iterable[Upstream], float], None] = lambda upstreams, requested_at: None,
    ) -> None:
        super().__init__()
        self._on_list = on_list
        self._blackboard = blackboard
        self._source = source
        self._clock = clock
        self._schedule = ReadSchedule(
            INTERVAL_SHARE * bound_seconds, MAX_AGE_SHARE * bound_seconds, random_source
        )
        self._content = 0
        self._wake = asyncio.Event()
        self._absences: AbsenceTracker[Upstream] = AbsenceTracker(
            lease_seconds=HEARTBEATS_PER_LEASE * heartbeat_seconds,
            renewal_seconds=heartbeat_seconds,
            grace_seconds=ABSENCE_GRACE_SECONDS,
            max_delay_seconds=MAX_RECOVERY_DELAY_SECONDS,
            registration_of=lambda upstream: upstream.registration,
            is_leaving=lambda upstream: upstream.draining,
        )

    async def start(self) -> None:
        """Start reading."""
        self.supervise(self._follow, "upstreams")

    def summary(self, now: float) -> CopySummary | None:
        """Return which copy this gateway has, None without one."""
        board = self._blackboard
        return summarize_copy(
            board.upstreams_revision,
            self._content,
            board.upstreams_read_at,
            now,
            self._absences.contact_since,
        )

    def record_contact(self, since: float, until: float) -> None:
        """Record that the store answered another gateway in a span of time."""
        expiry = self._absences.next_expiry
        self._absences.record_contact(since, until)
        if self._absences.next_expiry != expiry:
            self._wake.set()

    def confirm(self, revision: int, requested_at: float) -> None:
        """Record that the store had the same list at that time and revision."""
        board = self._blackboard
        board.upstreams_revision = max(board.upstreams_revision, revision)
        if board.upstreams_read_at is None or requested_at > board.upstreams_read_at:
            board.upstreams_read_at = requested_at
            self._absences.confirm_list(requested_at)
            self._on_list(self._absences.listed_by_id.values(), requested_at)

    def encode(self, now: float) -> bytes | None:
        """Return the list for a peer, None without one."""
        board = self._blackboard
        if board.upstreams_read_at is None:
            return None
        absent = [
            AbsentUpstream(item, ends_at - now)
            for item, ends_at in self._absences.absent_by_id.values()
            if ends_at > now
        ]
        listed = list(self._absences.listed_by_id.values())
        read_at = board.upstreams_read_at
        contact_seconds = max(0.0, read_at - self._absences.contact_since)
        copy = UpstreamsCopy(
            board.upstreams_revision, now - read_at, listed, absent, contact_seconds
        )
        return pack(msgspec.msgpack.encode(copy))

    def adopt(self, body: bytes, origin: str, now: float) -> None:
        """Replace the list by a peer's newer one, including its decisions on missing entries.

        :param now: when it was requested.
        :raises msgspec.DecodeError: the copy is malformed.
        """
        copy = decode_msgpack(unpack(body), UpstreamsCopy)
        if min(copy.age_seconds, copy.contact_seconds) < 0:
            return
        if copy.revision <= self._blackboard.upstreams_revision:
            return
        requested_at = now - copy.age_seconds
        contact_since = self._contact_since(copy, requested_at)
        listed_by_id = {item.id: item for item in copy.listed}
        # The peer encoded it between request and arrival. Counted from the request, the time would
        # get shorter with each hop, and from the arrival longer.
        encoded_at = (now + self._clock.monotonic()) / 2
        absent_by_id = {
            item.upstream.id: (item.upstream, encoded_at + min(item.seconds, ABSENCE_GRACE_SECONDS))
            for item in copy.absent
        }
        self._absences.adopt(listed_by_id, absent_by_id, requested_at, contact_since)
        self._publish(copy.revision, requested_at, now, origin)
        self._wake.set()
        self._on_list(copy.listed, requested_at)

    def _contact_since(self, copy: UpstreamsCopy, requested_at: float) -> float:
        """Return since when the sender of a copy knows that the store has answered.

        It counts from when the copy has arrived. Otherwise the time of each transfer would make the
        contact longer, and copies that go in a circle would make it seem unbroken in an outage.
        """
        arrived_at = self._clock.monotonic()
        return min(requested_at, arrived_at - copy.age_seconds - copy.contact_seconds)

    async def _follow(self) -> None:
        """Read the list when it is due, and remove missing entries whose time has expired."""
        board = self._blackboard
        while True:
            now = self._clock.monotonic()
            pause = self._schedule.pause_seconds(
                board.is_store_reader, board.upstreams_read_at, now
            )
            if not pause:
                await self._read(now)
                continue
            next_expiry = None if self._absences.is_failing else self._absences.next_expiry
            if next_expiry is not None and next_expiry <= now:
                self._publish(board.upstreams_revision, board.upstreams_read_at, now, EXPIRY)
            remaining_seconds = (
                pause if next_expiry is None else max(MIN_PAUSE_SECONDS, next_expiry - now)
            )
            await self._pause(min(pause, remaining_seconds))

    async def _pause(self, seconds: float) -> None:
        """Sleep, at most until missing entries may expire sooner than before."""
        self._wake.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._wake.wait()

    async def _read(self, requested_at: float) -> None:
        """Read the list."""
        self._schedule.read_started(requested_at)
        try:
            listed = await self._source.upstreams()
        except KvError as error:
            self._absences.record_failure(requested_at)
            board, now = self._blackboard, self._clock.monotonic()
            record_store_failure(board, error)
            self._schedule.read_failed(
                board.is_store_reader, board.upstreams_read_at, now, len(board.members_by_vm)
            )
        else:
            record_store_answer(self._blackboard)
            self._apply_list(listed, requested_at)

    def _apply_list(self, listed: UpstreamList, requested_at: float) -> None:
        """Apply a list that is not older than the current one."""
        if listed.revision < self._blackboard.upstreams_revision:
            return
        now = self._clock.monotonic()
        self._absences.apply_list(
            listed.by_id, requested_at, now, calls_often=self._blackboard.is_store_reader
        )
        self._publish(listed.revision, requested_at, now, STORE)
        self._on_list(listed.by_id.values(), requested_at)

    def _publish(self, revision: int, requested_at: float | None, now: float, origin: str) -> None:
        """Write the upstreams that may be used to the blackboard.

        :param origin: where the change comes from, for the log: ``STORE``, the vm of a peer, or
            ``EXPIRY``.
        """
        board = self._blackboard
        retained = self._absences.retained(now)
        listed = self._absences.listed_by_id
        self._content = _checksum(listed.values(), retained)
        self._record_absences(retained, now, origin)
        by_id = {**listed, **retained}
        self._log_changes(board.upstreams_by_id, by_id, origin)
        board.upstreams_revision = revision
        board.upstreams_read_at = requested_at
        board.upstreams_by_id = by_id

    def _record_absences(self, retained: dict[str, Upstream], now: float, origin: str) -> None:
        """Record since when upstreams are used although the list lacks them, and log new ones."""
        since = self._blackboard.missing_since_by_upstream
        absent_by_id = self._absences.absent_by_id
        for upstream_id in retained.keys() - since.keys():
            _, ends_at = absent_by_id[upstream_id]
            log.change(
                "upstream.kept",
                upstream=upstream_id,
                origin=origin,
                seconds=round(ends_at - now, 3),
                contact_seconds=round(now - self._absences.contact_since, 3),
            )
        self._blackboard.missing_since_by_upstream = {
            upstream_id: since.get(upstream_id, now) for upstream_id in retained
        }

    def _log_changes(
        self, before: dict[str, Upstream], now: dict[str, Upstream], origin: str
    ) -> None:
        """Log upstreams that were added or removed, or that started draining."""
        for upstream_id, item in now.items():
            previous = before.get(upstream_id)
            if previous is None:
                log.change(
                    "upstream.added",
                    upstream=upstream_id,
                    service=item.service,
                    addr=item.address,
                    version=item.software_version,
                    origin=origin,
                )
            elif item.draining and not previous.draining:
                log.change("upstream.draining", upstream=upstream_id, origin=origin)
        for upstream_id in before.keys() - now.keys():
            log.change("upstream.removed", upstream=upstream_id, origin=origin)


def _checksum(listed: Iterable[Upstream], retained: Iterable[str]) -> int:
    """Return a checksum of the listed upstreams and the identifiers of missing ones in use."""
    items = sorted(listed, key=lambda upstream: upstream.id)
    return zlib.crc32(msgspec.json.encode([items, sorted(retained)]))
