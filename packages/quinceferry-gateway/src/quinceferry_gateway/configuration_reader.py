"""Keeps the records of the operators current: the configuration and the evacuated zones.

Designated readers watch it in the store. All other gateways adopt copies of theirs, and read the
store only if their copy gets too old.
"""

import random
import zlib
from collections.abc import Callable

import msgspec

from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import KvError
from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.catalog import Configuration, OperatorRecords
from quinceferry_gateway.controllers import Controller
from quinceferry_gateway.decoding import decode_msgpack
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
"""Interval of reads while the store has no configuration; operators write the first one before
traffic begins."""
UNREADABLE_RETRY_INTERVAL_SECONDS = 5.0
"""Interval of reads while the only document cannot be decoded; only operators can correct it."""
MAX_WATCH_SECONDS = 1.0
"""Longest wait of one watch, so that a dead connection delays a change by at most a second."""
MAX_WATCH_AFTER_CHANGE_SECONDS = 0.25
"""Longest wait of the watch after a change. The age of a copy counts from the request of the watch
that returned it, and distant gateways would read the store before they receive a more recent
copy."""
NON_READER_WATCH_SECONDS = 0.05
"""Longest wait of a watch by a gateway that is not a designated reader and whose copy is too old. A
watch returns the document only if it has changed, whereas a read transfers it each time."""


MAX_LOGGED_REGIONS = 8
"""Most unknown regions that a log line names; the count includes all."""
MAX_LOGGED_ENTRIES = 8
"""Most malformed entries of one version that are logged; the metrics count all."""


class ConfigurationCopy(msgspec.Struct, frozen=True):
    """Records of the operators as sent between gateways, with a compressed document."""

    revision: int
    age_seconds: float
    document: bytes
    evacuated_zones: list[str] = []


class ConfigurationReader(Controller):
    """Reads and applies the records of the operators; the configured version never decreases.

    The evacuated zones share the watch, the copies and the freshness of the configuration, so that
    they cost no calls of their own.

    :param blackboard: receives the configuration and the evacuated zones.
    :param bound_seconds: time within which a new configuration must be in force.
    :param on_zone_restored: receives each zone whose evacuation has ended.
    :param known_regions: regions of the deployment, for a warning about unknown home regions.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        source: CatalogSource,
        clock: Clock,
        rng: random.Random,
        bound_seconds: float,
        on_zone_restored: Callable[[str], None] = lambda zone: None,
        known_regions: frozenset[str] = frozenset(),
    ) -> None:
        super().__init__()
        self._known_regions = known_regions
        self._on_zone_restored = on_zone_restored
        self._blackboard = blackboard
        self._source = source
        self._clock = clock
        self._schedule = ReadSchedule(0.0, MAX_AGE_SHARE * bound_seconds, rng)
        self._watch_seconds = min(MAX_WATCH_SECONDS, INTERVAL_SHARE * bound_seconds)
        self._rejected_document: bytes | None = None
        self._has_last_watch_changed = False
        self._records_checksum = 0
        self._packed_document = b""

    async def start(self) -> None:
        """Start reading and watching the configuration."""
        self.supervise(self._read_and_watch, "configuration")

    def apply_newer(self, records: OperatorRecords, origin: str) -> bool:
        """Apply records of the operators if they are newer than those in force.

        :param origin: store or peer that they came from, for the log.
        :return: False if the configuration cannot be decoded. The revision is not adopted then:
            peers would no longer send a copy of it.
        """
        board = self._blackboard
        if records.revision >= board.revision:
            self._apply_evacuations(records.evacuated_zones, records.revision, origin)
        if not self._apply_document(records.document, records.revision, origin):
            return False
        board.revision = max(board.revision, records.revision)
        self._records_checksum = _checksum(board.document, board.evacuated_zones)
        return True

    def _apply_evacuations(
        self, evacuated_zones: frozenset[str], revision: int, origin: str
    ) -> None:
        """Replace the evacuated zones, and log which were added or removed."""
        board = self._blackboard
        before, board.evacuated_zones = board.evacuated_zones, evacuated_zones
        for zone in sorted(evacuated_zones - before):
            upstreams = [item for item in board.upstreams_by_id.values() if item.zone == zone]
            log.change(
                "zone.evacuated",
                zone=zone,
                upstreams=len(upstreams),
                services_without_upstream=board.evacuated_services(),
                revision=revision,
                origin=origin,
            )
        for zone in sorted(before - evacuated_zones):
            log.change("zone.restored", zone=zone, revision=revision, origin=origin)
            self._on_zone_restored(zone)

    def _apply_document(self, document: bytes, revision: int, origin: str) -> bool:
        """Apply a configuration with a later version; return whether it could be decoded."""
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
                self._apply_configuration(configuration, document, revision, origin)
        return True

    def _apply_configuration(
        self, configuration: Configuration, document: bytes, revision: int, origin: str
    ) -> None:
        """Replace the configuration in force."""
        board = self._blackboard
        version_before = board.configuration.version if board.configuration else 0
        board.configuration = configuration
        board.document = document
        self._packed_document = b""
        log.change(
            "configuration.applied",
            version=configuration.version,
            before=version_before,
            revision=revision,
            origin=origin,
        )
        _log_malformed_entries(configuration)
        unknown_regions = configuration.home_regions() - self._known_regions
        if unknown_regions and self._known_regions:
            log.failure(
                "configuration.unknown_regions",
                regions=sorted(unknown_regions)[:MAX_LOGGED_REGIONS],
                count=len(unknown_regions),
            )

    def summary(self, now: float) -> CopySummary | None:
        """Return the summary of this gateway's copy, None without a copy."""
        board = self._blackboard
        read_at = None if board.configuration is None else board.configuration_read_at
        return summarize_copy(board.revision, self._records_checksum, read_at, now)

    def confirm(self, revision: int, requested_at: float) -> None:
        """Record that the records in force were the newest at a time and revision."""
        board = self._blackboard
        board.revision = max(board.revision, revision)
        board.configuration_read_at = max(requested_at, board.configuration_read_at or requested_at)

    def encode(self, now: float) -> bytes | None:
        """Return the encoded records for a peer, None without a configuration."""
        board = self._blackboard
        if board.configuration is None or board.configuration_read_at is None:
            return None
        if not self._packed_document:
            self._packed_document = pack(board.document)
        age = now - board.configuration_read_at
        zones = sorted(board.evacuated_zones)
        copy = ConfigurationCopy(board.revision, age, self._packed_document, zones)
        return msgspec.msgpack.encode(copy)

    def adopt(self, body: bytes, origin: str, now: float) -> None:
        """Apply a peer's records if they are newer.

        :param now: time at which the copy was requested.
        :raises msgspec.DecodeError: the copy cannot be decoded.
        """
        copy = decode_msgpack(body, ConfigurationCopy)
        board = self._blackboard
        is_newer = board.configuration is None or copy.revision > board.revision
        if copy.age_seconds < 0 or not is_newer:
            return
        document, zones = unpack(copy.document), frozenset(copy.evacuated_zones)
        if self.apply_newer(OperatorRecords(copy.revision, document, zones), origin):
            board.is_document_rejected = False
            self.confirm(copy.revision, now - copy.age_seconds)

    async def _read_and_watch(self) -> None:
        """Read once, then watch for changes.

        A designated reader watches permanently, another gateway only when its copy is too old.
        """
        has_configuration = False
        board = self._blackboard
        while True:
            requested_at = self._clock.monotonic()
            if not board.is_store_reader or not has_configuration:
                pause = self._pause_seconds(requested_at)
                if pause:
                    await self._clock.sleep(pause)
                    continue
            try:
                has_configuration = await (
                    self._watch(requested_at) if has_configuration else self._read()
                )
            except WatchLostError as error:
                has_configuration = False
                log.change("configuration.watch_lost", error=str(error))
            except KvError as error:
                has_configuration = False
                record_store_failure(board, error)
                read_at, now = board.configuration_read_at, self._clock.monotonic()
                self._schedule.read_failed(
                    board.is_store_reader, read_at, now, len(board.members_by_vm)
                )

    def _pause_seconds(self, now: float) -> float:
        """Return the time until the next read, zero if it is due."""
        board = self._blackboard
        read_at = board.configuration_read_at
        pause = self._schedule.pause_seconds(board.is_store_reader, read_at, now)
        if not pause and board.should_skip_read(read_at):
            return SKIPPED_READ_SECONDS
        return pause

    async def _watch(self, requested_at: float) -> bool:
        """Wait for a change and apply it; return whether a configuration is in force."""
        board = self._blackboard
        document = self._rejected_document if board.is_document_rejected else board.document
        known = OperatorRecords(board.revision, document, board.evacuated_zones)
        wait_seconds = self._next_watch_seconds()
        self._schedule.read_started(requested_at)
        changes = await self._source.operator_changes(known.revision, wait_seconds)
        self._has_last_watch_changed = changes is not None
        if changes is not None:
            return self._apply_from_store(changes.apply_to(known), requested_at)
        # The answer shows that nothing had changed by the end of the wait.
        self.confirm(known.revision, requested_at + wait_seconds)
        return True

    def _next_watch_seconds(self) -> float:
        """Return the longest wait of the next watch."""
        if not self._blackboard.is_store_reader:
            return NON_READER_WATCH_SECONDS
        return (
            MAX_WATCH_AFTER_CHANGE_SECONDS if self._has_last_watch_changed else self._watch_seconds
        )

    async def _read(self) -> bool:
        """Read and apply the newest records; return whether a configuration is in force."""
        requested_at = self._clock.monotonic()
        self._schedule.read_started(requested_at)
        records = await self._source.operator_records()
        record_store_answer(self._blackboard)
        if records is None:
            self._schedule.delay(UNSET_RETRY_INTERVAL_SECONDS, self._clock.monotonic())
            return False
        return self._apply_from_store(records, requested_at)

    def _apply_from_store(self, records: OperatorRecords, requested_at: float) -> bool:
        """Apply the newest records of the store; return whether a configuration is in force.

        If what the operators wrote cannot be decoded, no gateway has a newer configuration than the
        one in force.
        """
        board = self._blackboard
        board.is_document_rejected = not self.apply_newer(records, "store")
        if board.configuration is None:
            self._schedule.delay(UNREADABLE_RETRY_INTERVAL_SECONDS, self._clock.monotonic())
            return False
        if board.is_document_rejected:
            self._records_checksum = _checksum(board.document, board.evacuated_zones)
        self.confirm(records.revision, requested_at)
        return True


def _log_malformed_entries(configuration: Configuration) -> None:
    """Log the first malformed entries of a version, and how many it has."""
    entries = configuration.malformed_entries
    for entry in entries[:MAX_LOGGED_ENTRIES]:
        log.failure(
            "configuration.entry_malformed",
            version=configuration.version,
            kind=entry.kind.value,
            path=entry.path,
            detail=entry.detail,
            count=len(entries),
        )


def _checksum(document: bytes, evacuated_zones: frozenset[str]) -> int:
    """Return a checksum of the records of the operators."""
    return zlib.crc32(" ".join(sorted(evacuated_zones)).encode(), zlib.crc32(document))
