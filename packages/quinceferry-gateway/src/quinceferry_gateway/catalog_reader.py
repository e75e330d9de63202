"""Controllers that keep the configuration and the list of upstreams current.

Designated readers read the store; all others take their copies and read for themselves only when
these grow old.
"""

import random
import zlib
from collections.abc import Iterable

import msgspec

from quinceferry_core.absences import Absences
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import KvError
from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.catalog import Upstream, UpstreamList
from quinceferry_gateway.controllers import Controller
from quinceferry_gateway.exceptions import ConfigurationError, WatchLostError
from quinceferry_gateway.fleet.digests import Summary, age_units
from quinceferry_gateway.fleet.duties import UNTRIED_SECONDS, ReadSchedule
from quinceferry_gateway.interfaces import CatalogSource
from quinceferry_gateway.logs import log
from quinceferry_gateway.store_health import note_answer, note_failure

MAX_WATCH_SECONDS = 1.0
"""Longest wait of one watch, so that a connection that has fallen silent costs a second at most."""
INTERVAL_SHARE = 0.35
"""Part of its bound after which a designated reader reads a list again: three readers make one
reading in an eighth of the bound."""
LIMIT_SHARE = 0.6
"""Part of the bound to which a copy may age before any gateway reads for itself: with the jitter no
copy is older than 0.7 of the bound, and the rest is for a reading from a slow store."""
SOONEST_READ_SECONDS = 0.05
"""Shortest pause between two looks at the clock."""
HEARTBEATS_OF_LEASE = 3
"""Heartbeats without renewal after which the lease of an upstream ends."""
LAPSE_GRACE_SECONDS = 2.5
"""How long after the store's return a missing upstream may be used: live ones are back within about
two seconds, and three seconds after it one that has left may get no more requests."""


class ConfigurationCopy(msgspec.Struct, frozen=True):
    """A configuration as one gateway hands it to another."""

    revision: int
    age_seconds: float
    document: bytes


class AbsentUpstream(msgspec.Struct, frozen=True):
    """An upstream that is used though the list lacks it, and for how much longer."""

    upstream: Upstream
    seconds: float


class UpstreamsCopy(msgspec.Struct, frozen=True):
    """The list of upstreams as one gateway hands it to another."""

    revision: int
    age_seconds: float
    listed: list[Upstream]
    absent: list[AbsentUpstream]


class ConfigurationReader(Controller):
    """Follows the operators' configuration; a version never goes back.

    :param blackboard: receives the configuration.
    :param bound_seconds: time until a new one must be in force.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        source: CatalogSource,
        clock: Clock,
        draws: random.Random,
        bound_seconds: float,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._source = source
        self._clock = clock
        self._schedule = ReadSchedule(0.0, LIMIT_SHARE * bound_seconds, draws)
        self._watch_seconds = min(MAX_WATCH_SECONDS, INTERVAL_SHARE * bound_seconds)
        self._refused: bytes = b""
        self._content = 0

    async def start(self) -> None:
        """Begin to follow."""
        self.spawn(self._follow(), "configuration")

    def offer(self, document: bytes, revision: int, origin: str) -> None:
        """Apply a configuration if it is newer than the one in force.

        :param revision: revision of the store up to which it is the newest.
        :param origin: where it came from, for the log.
        """
        board = self._blackboard
        board.revision = max(board.revision, revision)
        if document in (board.document, self._refused):
            return
        try:
            configuration = self._source.decode_configuration(document)
        except ConfigurationError as error:
            self._refused = document
            log.failure("configuration.refused", error=str(error), revision=revision)
            return
        before = board.configuration.version if board.configuration else 0
        if board.configuration is not None and configuration.version <= before:
            return
        board.configuration = configuration
        board.document = document
        self._content = zlib.crc32(document)
        log.change(
            "configuration.applied",
            version=configuration.version,
            before=before,
            revision=revision,
            origin=origin,
        )

    def summary(self, now: float) -> Summary | None:
        """Return which copy this gateway has, None without one."""
        board = self._blackboard
        if board.configuration is None or board.configuration_read_at is None:
            return None
        age = age_units(now - board.configuration_read_at)
        return Summary(max(1, board.revision), self._content, age)

    def confirm(self, revision: int, asked_at: float) -> None:
        """Note that the configuration in force was the newest at that time and revision."""
        board = self._blackboard
        board.revision = max(board.revision, revision)
        board.configuration_read_at = max(asked_at, board.configuration_read_at or asked_at)

    def encode(self, now: float) -> bytes | None:
        """Return the configuration for a peer, None without one."""
        board = self._blackboard
        if board.configuration is None or board.configuration_read_at is None:
            return None
        age = now - board.configuration_read_at
        return msgspec.json.encode(ConfigurationCopy(board.revision, age, board.document))

    def adopt(self, body: bytes, origin: str, now: float) -> None:
        """Take a peer's configuration.

        :raises msgspec.DecodeError: it has not the expected form.
        """
        copy = msgspec.json.decode(body, type=ConfigurationCopy)
        if copy.age_seconds < 0 or copy.revision < self._blackboard.revision:
            return
        self.offer(copy.document, copy.revision, origin)
        self.confirm(copy.revision, now - copy.age_seconds)

    async def _follow(self) -> None:
        """Read once; then a designated reader waits for changes, and others for old copies."""
        known = False
        board = self._blackboard
        while True:
            asked_at = self._clock.monotonic()
            if not board.reader or not known:
                due_at = self._schedule.due_at(board.reader, board.configuration_read_at)
                if asked_at < due_at:
                    await self._clock.sleep(max(SOONEST_READ_SECONDS, due_at - asked_at))
                    continue
                if board.leaves_unread(board.configuration_read_at):
                    await self._clock.sleep(UNTRIED_SECONDS)
                    continue
            try:
                known = await (self._watch(asked_at) if known and board.reader else self._read())
            except WatchLostError as error:
                known = False
                log.change("configuration.watch_lost", error=str(error))
            except KvError as error:
                known = False
                note_failure(board, error)
                self._schedule.failed(board.reader, self._clock.monotonic())

    async def _watch(self, asked_at: float) -> bool:
        """Wait for a change, and read it; tell whether there is a configuration."""
        revision = self._blackboard.revision
        document = await self._source.next_configuration(revision, self._watch_seconds)
        if document is not None:
            return await self._read()
        # The answer tells that nothing had changed when the wait was over.
        self.confirm(revision, asked_at + self._watch_seconds)
        return True

    async def _read(self) -> bool:
        """Read the newest configuration; tell whether there is one."""
        asked_at = self._clock.monotonic()
        self._schedule.began(asked_at)
        found = await self._source.configuration()
        note_answer(self._blackboard)
        if found is None:
            self._schedule.failed(self._blackboard.reader, self._clock.monotonic())
            return False
        document, revision = found
        self.offer(document, revision, "store")
        self.confirm(revision, asked_at)
        return True


class UpstreamReader(Controller):
    """Follows the list of upstreams.

    :param blackboard: receives the upstreams.
    :param heartbeat_seconds: interval at which upstreams renew their leases.
    :param bound_seconds: time until one that leaves may get no more requests.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        source: CatalogSource,
        clock: Clock,
        heartbeat_seconds: float,
        draws: random.Random,
        bound_seconds: float,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._source = source
        self._clock = clock
        self._schedule = ReadSchedule(
            INTERVAL_SHARE * bound_seconds, LIMIT_SHARE * bound_seconds, draws
        )
        self._content = 0
        self._absences: Absences[Upstream] = Absences(
            lease_seconds=HEARTBEATS_OF_LEASE * heartbeat_seconds,
            renewal_seconds=heartbeat_seconds,
            grace_seconds=LAPSE_GRACE_SECONDS,
            registration=lambda upstream: upstream.registration,
        )

    async def start(self) -> None:
        """Begin to follow."""
        self.spawn(self._follow(), "upstreams")

    def summary(self, now: float) -> Summary | None:
        """Return which copy this gateway has, None without one."""
        board = self._blackboard
        if board.upstreams_read_at is None:
            return None
        age = age_units(now - board.upstreams_read_at)
        return Summary(max(1, board.upstreams_revision), self._content, age)

    def confirm(self, revision: int, asked_at: float) -> None:
        """Note that the store held the same list at that time and revision."""
        board = self._blackboard
        board.upstreams_revision = max(board.upstreams_revision, revision)
        if board.upstreams_read_at is None or asked_at > board.upstreams_read_at:
            board.upstreams_read_at = asked_at
            self._absences.confirm(asked_at)

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
        age = now - board.upstreams_read_at
        return msgspec.json.encode(UpstreamsCopy(board.upstreams_revision, age, listed, absent))

    def adopt(self, body: bytes, origin: str, now: float) -> None:
        """Take a peer's list, with what it concluded of missing entries.

        :raises msgspec.DecodeError: it has not the expected form.
        """
        copy = msgspec.json.decode(body, type=UpstreamsCopy)
        if copy.age_seconds < 0 or copy.revision <= self._blackboard.upstreams_revision:
            return
        asked_at = now - copy.age_seconds
        listed_by_id = {item.id: item for item in copy.listed}
        absent_by_id = {
            item.upstream.id: (item.upstream, now + min(item.seconds, LAPSE_GRACE_SECONDS))
            for item in copy.absent
        }
        self._absences.adopt(listed_by_id, absent_by_id, asked_at)
        self._publish(copy.revision, asked_at, now)

    async def _follow(self) -> None:
        """Read the list when it is due, and drop missing entries whose time is over."""
        board = self._blackboard
        while True:
            now = self._clock.monotonic()
            if now >= self._due_at():
                await self._read(now)
                continue
            next_end = None if self._absences.failing else self._absences.next_end
            if next_end is not None and next_end <= now:
                self._publish(board.upstreams_revision, board.upstreams_read_at, now)
            pause = min(self._due_at(), next_end or self._due_at()) - now
            await self._clock.sleep(max(SOONEST_READ_SECONDS, pause))

    def _due_at(self) -> float:
        """Return when to read next."""
        board = self._blackboard
        return self._schedule.due_at(board.reader, board.upstreams_read_at)

    async def _read(self, asked_at: float) -> None:
        """Read the list."""
        self._schedule.began(asked_at)
        try:
            listed = await self._source.upstreams()
        except KvError as error:
            self._absences.failed(asked_at)
            note_failure(self._blackboard, error)
            self._schedule.failed(self._blackboard.reader, self._clock.monotonic())
        else:
            note_answer(self._blackboard)
            self._take(listed, asked_at)

    def _take(self, listed: UpstreamList, asked_at: float) -> None:
        """Take a list that is not older than the one known."""
        if listed.revision < self._blackboard.upstreams_revision:
            return
        now = self._clock.monotonic()
        self._absences.read(listed.by_id, asked_at, now)
        self._publish(listed.revision, asked_at, now)

    def _publish(self, revision: int, asked_at: float | None, now: float) -> None:
        """Write the upstreams that may be used to the blackboard."""
        board = self._blackboard
        kept = self._absences.kept(now)
        listed = self._absences.listed_by_id
        self._content = _checksum(listed.values(), kept)
        self._note_kept(kept, now)
        by_id = {**listed, **kept}
        self._log_changes(board.upstreams_by_id, by_id)
        board.upstreams_revision = revision
        board.upstreams_read_at = asked_at
        board.upstreams_by_id = by_id

    def _note_kept(self, kept: dict[str, Upstream], now: float) -> None:
        """Note since when upstreams are used though the list lacks them, and log new ones."""
        since = self._blackboard.missing_since_by_upstream
        for key in kept.keys() - since.keys():
            log.change("upstream.kept", upstream=key)
        self._blackboard.missing_since_by_upstream = {key: since.get(key, now) for key in kept}

    def _log_changes(self, before: dict[str, Upstream], now: dict[str, Upstream]) -> None:
        """Log upstreams that came, went or began to leave."""
        for key, item in now.items():
            known = before.get(key)
            if known is None:
                log.change("upstream.added", upstream=key, service=item.service, addr=item.address)
            elif item.draining and not known.draining:
                log.change("upstream.draining", upstream=key)
        for key in before.keys() - now.keys():
            log.change("upstream.removed", upstream=key)


def _checksum(listed: Iterable[Upstream], kept: Iterable[str]) -> int:
    """Return a number that changes when the listed upstreams or the names of the kept ones do."""
    items = sorted(listed, key=lambda upstream: upstream.id)
    return zlib.crc32(msgspec.json.encode([items, sorted(kept)]))
