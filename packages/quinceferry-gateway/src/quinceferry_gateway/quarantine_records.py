"""Records of the quarantine in the store, which persist if all gateways terminate at once."""

from datetime import UTC, datetime
from typing import Annotated

import msgspec

from quinceferry_core.adapters import ABSENT_VERSION, KvEntry, KvStore
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import KvConflictError, KvError
from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.controllers import Controller
from quinceferry_gateway.crashes import CrashMonitor
from quinceferry_gateway.decoding import decode_json
from quinceferry_gateway.logs import log
from quinceferry_gateway.store_health import record_store_answer, record_store_failure

QUARANTINE_PREFIX = "quinceferry/quarantine/"
MAX_LEASE_SECONDS = 600.0
"""Longest lease that the store grants; the store removes the record when it expires."""
RETRY_SECONDS = 0.5
"""Pause after a failed call to the store."""


class QuarantineRecord(msgspec.Struct, frozen=True):
    """One content in quarantine until a wall-clock time."""

    content: str
    ends_at: Annotated[datetime, msgspec.Meta(tz=True)]


class QuarantineRecords(Controller):
    """Reads the records once, at the start, and writes one for each decision.

    Running gateways receive each other's decisions in digests. The gateway whose own evidence was
    decisive writes the record, and so do the designated readers in case it terminates at that
    moment.
    """

    def __init__(
        self, blackboard: Blackboard, store: KvStore, clock: Clock, crashes: CrashMonitor
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._store = store
        self._clock = clock
        self._crashes = crashes
        crashes.on_quarantine_decided = self._quarantine_decided

    async def start(self) -> None:
        """Start reading."""
        self.supervise(self._read, "quarantine")

    def _quarantine_decided(self, content: str, seconds: float, by_own_evidence: bool) -> None:
        """Write a record of a decision if this gateway is one of its writers."""
        if by_own_evidence or self._blackboard.is_store_reader:
            self.spawn(self._write(content, seconds), "quarantine record")

    async def _read(self) -> None:
        """Read all records, as soon as the store answers."""
        while True:
            try:
                entries = await self._store.list(QUARANTINE_PREFIX)
            except KvError as error:
                record_store_failure(self._blackboard, error)
                await self._clock.sleep(RETRY_SECONDS)
                continue
            record_store_answer(self._blackboard)
            self._crashes.add_quarantined(self._seconds_by_content(entries), "store")
            return

    async def _write(self, content: str, seconds: float) -> None:
        """Write a record unless one exists, retrying until the quarantine ends."""
        record = QuarantineRecord(
            content, datetime.fromtimestamp(self._unix_seconds() + seconds, UTC)
        )
        ends_at = self._clock.monotonic() + seconds
        while self._clock.monotonic() < ends_at:
            try:
                await self._put(record, seconds)
            except KvError as error:
                record_store_failure(self._blackboard, error)
                await self._clock.sleep(RETRY_SECONDS)
            else:
                record_store_answer(self._blackboard)
                return

    async def _put(self, record: QuarantineRecord, seconds: float) -> None:
        """Write a record under a lease of its own."""
        lease = await self._store.grant_lease(min(seconds, MAX_LEASE_SECONDS))
        key = QUARANTINE_PREFIX + record.content
        try:
            await self._store.put_if(key, msgspec.json.encode(record), ABSENT_VERSION, lease)
        except KvConflictError:
            await self._store.revoke_lease(lease)

    def _seconds_by_content(self, entries: list[KvEntry]) -> dict[str, float]:
        """Return how long contents stay in quarantine; log malformed records."""
        seconds_by_content = {}
        for entry in entries:
            try:
                record = decode_json(entry.value, QuarantineRecord)
            except msgspec.DecodeError as error:
                log.failure("quarantine.malformed", key=entry.key, error=str(error))
                continue
            seconds_by_content[record.content] = record.ends_at.timestamp() - self._unix_seconds()
        return seconds_by_content

    def _unix_seconds(self) -> float:
        """Return the wall-clock time as a Unix time in seconds."""
        return self._clock.now().timestamp()
