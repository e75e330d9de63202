"""Keeps the operators' configuration current.

Designated readers watch it in the store; all others take their copies and read for themselves only
when these grow old.
"""

import random
import zlib

import msgspec

from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import KvError
from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.catalog import Configuration
from quinceferry_gateway.controllers import Controller
from quinceferry_gateway.exceptions import ConfigurationError, WatchLostError
from quinceferry_gateway.fleet.digests import CopySummary, summarize_copy
from quinceferry_gateway.fleet.packing import pack, unpack
from quinceferry_gateway.fleet.read_schedule import (
    INTERVAL_SHARE,
    MAX_AGE_SHARE,
    SKIPPED_READ_SECONDS,
    ReadSchedule,
)
from quinceferry_gateway.interfaces import CatalogSource
from quinceferry_gateway.logs import log
from quinceferry_gateway.store_health import record_store_answer, record_store_failure

UNSET_RETRY_INTERVAL_SECONDS = 0.5
"""Pause while there is no configuration yet; operators write the first one before traffic
begins."""
UNREADABLE_RETRY_INTERVAL_SECONDS = 5.0
"""Pause after a configuration that can't be read; only the operators can mend it."""
MAX_WATCH_SECONDS = 1.0
"""Longest wait of one watch, so that a connection that has fallen silent costs a second at most."""
MAX_WATCH_AFTER_CHANGE_SECONDS = 0.25
"""The same for the watch after a change. A copy that a watch has brought counts as old as that
watch, and gateways far away would read the store before they hear of a more recent one."""
NON_READER_WATCH_SECONDS = 0.05
"""The same for a gateway that is no designated reader and whose copy has grown old. The answer
holds the document only if it has changed, which a reading would transfer each time."""


class ConfigurationCopy(msgspec.Struct, frozen=True):
    """A configuration as one gateway hands it to another, its document packed."""

    revision: int
    age_seconds: float
    document: bytes


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
        rng: random.Random,
        bound_seconds: float,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._source = source
        self._clock = clock
        self._schedule = ReadSchedule(0.0, MAX_AGE_SHARE * bound_seconds, rng)
        self._watch_seconds = min(MAX_WATCH_SECONDS, INTERVAL_SHARE * bound_seconds)
        self._rejected_document: bytes = b""
        self._has_last_watch_changed = False
        self._document_checksum = 0
        self._packed_document = b""

    async def start(self) -> None:
        """Begin to follow."""
        self.spawn(self._read_and_watch(), "configuration")

    def apply_newer(self, document: bytes, revision: int, origin: str) -> bool:
        """Apply a configuration if it is newer than the one in force.

        :param revision: revision of the store up to which it is the newest.
        :param origin: where it came from, for the log.
        :return: False when it can't be read. Its revision must not be claimed then: nobody would
            hand over a copy of it any more.
        """
        board = self._blackboard
        if document == self._rejected_document:
            return False
        if document != board.document:
            try:
                configuration = self._source.decode_configuration(document)
            except ConfigurationError as error:
                self._rejected_document = document
                log.failure("configuration.refused", error=str(error), revision=revision)
                return False
            if board.configuration is None or configuration.version > board.configuration.version:
                self._apply(configuration, document, revision, origin)
        board.revision = max(board.revision, revision)
        return True

    def _apply(
        self, configuration: Configuration, document: bytes, revision: int, origin: str
    ) -> None:
        """Put a configuration in force."""
        board = self._blackboard
        version_before = board.configuration.version if board.configuration else 0
        board.configuration = configuration
        board.document = document
        self._document_checksum = zlib.crc32(document)
        self._packed_document = b""
        log.change(
            "configuration.applied",
            version=configuration.version,
            before=version_before,
            revision=revision,
            origin=origin,
        )

    def summary(self, now: float) -> CopySummary | None:
        """Return which copy this gateway has, None without one."""
        board = self._blackboard
        read_at = None if board.configuration is None else board.configuration_read_at
        return summarize_copy(board.revision, self._document_checksum, read_at, now)

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
        if not self._packed_document:
            self._packed_document = pack(board.document)
        age = now - board.configuration_read_at
        return msgspec.msgpack.encode(ConfigurationCopy(board.revision, age, self._packed_document))

    def adopt(self, body: bytes, origin: str, now: float) -> None:
        """Take a peer's configuration.

        :param now: when it was asked for.
        :raises msgspec.DecodeError: it has not the expected form.
        """
        copy = msgspec.msgpack.decode(body, type=ConfigurationCopy)
        board = self._blackboard
        is_newer = board.configuration is None or copy.revision > board.revision
        if copy.age_seconds < 0 or not is_newer:
            return
        if self.apply_newer(unpack(copy.document), copy.revision, origin):
            self.confirm(copy.revision, now - copy.age_seconds)

    async def _read_and_watch(self) -> None:
        """Read once, then watch: a designated reader all the time, others when copies are old."""
        has_configuration = False
        board = self._blackboard
        while True:
            asked_at = self._clock.monotonic()
            if not board.is_store_reader or not has_configuration:
                pause = self._pause_seconds(asked_at)
                if pause:
                    await self._clock.sleep(pause)
                    continue
            try:
                has_configuration = await (
                    self._watch(asked_at) if has_configuration else self._read()
                )
            except WatchLostError as error:
                has_configuration = False
                log.change("configuration.watch_lost", error=str(error))
            except KvError as error:
                has_configuration = False
                record_store_failure(board, error)
                read_at, now = board.configuration_read_at, self._clock.monotonic()
                self._schedule.read_failed(board.is_store_reader, read_at, now)

    def _pause_seconds(self, now: float) -> float:
        """Return how long not to read; zero when a reading is due."""
        board = self._blackboard
        read_at = board.configuration_read_at
        pause = self._schedule.pause_seconds(board.is_store_reader, read_at, now)
        if not pause and board.should_skip_read(read_at):
            return SKIPPED_READ_SECONDS
        return pause

    async def _watch(self, asked_at: float) -> bool:
        """Wait for a change; tell whether there is a configuration."""
        known_revision = self._blackboard.revision
        wait_seconds = self._next_watch_seconds()
        self._schedule.read_started(asked_at)
        newest = await self._source.next_configuration(known_revision, wait_seconds)
        self._has_last_watch_changed = newest is not None
        if newest is not None:
            return self._apply_from_store(*newest, asked_at)
        # The answer tells that nothing had changed when the wait was over.
        self.confirm(known_revision, asked_at + wait_seconds)
        return True

    def _next_watch_seconds(self) -> float:
        """Return how long the next watch waits for a change."""
        if not self._blackboard.is_store_reader:
            return NON_READER_WATCH_SECONDS
        return (
            MAX_WATCH_AFTER_CHANGE_SECONDS if self._has_last_watch_changed else self._watch_seconds
        )

    async def _read(self) -> bool:
        """Read the newest configuration; tell whether there is one."""
        asked_at = self._clock.monotonic()
        self._schedule.read_started(asked_at)
        newest = await self._source.configuration()
        record_store_answer(self._blackboard)
        if newest is None:
            self._schedule.delay(UNSET_RETRY_INTERVAL_SECONDS, self._clock.monotonic())
            return False
        return self._apply_from_store(*newest, asked_at)

    def _apply_from_store(self, document: bytes, revision: int, asked_at: float) -> bool:
        """Take the newest configuration of the store; tell whether it could be read."""
        if self.apply_newer(document, revision, "store"):
            self.confirm(revision, asked_at)
            return True
        self._schedule.delay(UNREADABLE_RETRY_INTERVAL_SECONDS, self._clock.monotonic())
        return False
