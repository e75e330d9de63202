"""The configuration log in the key-value service: reading, appending, snapshots, compaction.

Each revision is one key, which is created only if it is absent. Compaction deletes old keys, so an
absent key may also have been deleted. ``LogState.floor`` distinguishes the two cases: it is raised
before any key below it is deleted, and is checked after every read and write of the log.
"""

import msgspec

from quinceferry_core.adapters import ABSENT_VERSION, KvEntry, KvStore
from quinceferry_core.changes import LogEntry
from quinceferry_core.configuration import ConfigurationState
from quinceferry_core.exceptions import KvConflictError
from quinceferry_core.snapshots import SnapshotRef, decode_shards, encode_shards

CONFIGURATION_PREFIX = "config/"
"""Prefix of the keys that every router watches."""
LOG_PREFIX = "config/log/"
LOG_STATE_KEY = "config/state"
SNAPSHOT_PREFIX = "snapshots/"
"""Prefix of the snapshots, which routers do not watch."""
SNAPSHOT_INTERVAL_REVISIONS = 256
"""Number of accepted revisions between two snapshots."""
RETAINED_ENTRIES = 256
"""Number of entries kept below a snapshot for routers that lag behind."""
MAX_SINGLE_READS = 8
"""Number of entries that are read one by one before the whole log is listed."""


class LogState(msgspec.Struct, frozen=True):
    """Shared state of the log.

    ``accepted`` is the revision applied by every router that may serve, ``floor`` the lowest
    revision in the log, and ``stale`` the snapshots whose shards are to be deleted.
    """

    accepted: int = 0
    floor: int = 1
    snapshot: SnapshotRef = SnapshotRef()
    stale: tuple[SnapshotRef, ...] = ()


class ConfigurationLog:
    """Reads, appends to and compacts the log.

    :param kv: the key-value service.
    """

    def __init__(self, kv: KvStore) -> None:
        self._kv = kv

    async def read_log_state(self) -> LogState:
        """Read the shared state of the log."""
        log_state, _ = await self._read_log_state_entry()
        return log_state

    async def has_entry(self, revision: int) -> bool:
        """Return whether a revision is in the log; if not, it may have been compacted."""
        return await self._kv.get(log_key(revision)) is not None

    async def catch_up(self, state: ConfigurationState) -> tuple[ConfigurationState, LogState]:
        """Apply all entries up to the end of the log to a configuration state.

        :param state: any earlier state; it is changed in place unless a snapshot replaces it.
        :return: the newest configuration state and the state of the log.
        """
        while True:
            first = state.revision + 1
            entries = await self._read_entries(first)
            log_state = await self.read_log_state()
            if first >= log_state.floor:
                break
            state = await self._load_snapshot(log_state.snapshot) or state
        for entry in entries:
            state.apply(entry)
        return state, log_state

    async def append(self, entry: LogEntry) -> bool:
        """Append an entry, unless its revision already exists or has been compacted.

        :return: whether the entry was appended.
        :raises KvUnavailableError: it is unknown whether the entry was appended.
        """
        key = log_key(entry.revision)
        try:
            stored = await self._kv.put_if(key, msgspec.json.encode(entry), ABSENT_VERSION)
        except KvConflictError:
            return False
        log_state = await self.read_log_state()
        if entry.revision >= log_state.floor:
            return True
        await self._delete(key, stored.version)
        return False

    async def mark_accepted(self, revision: int) -> LogState:
        """Raise the accepted revision, which never decreases.

        :return: the resulting state of the log.
        """
        while True:
            log_state, version = await self._read_log_state_entry()
            if log_state.accepted >= revision:
                return log_state
            changed = msgspec.structs.replace(log_state, accepted=revision)
            if await self._swap_log_state(changed, version):
                return changed

    async def compact(self, state: ConfigurationState) -> bool:
        """Write a snapshot if enough revisions were accepted since the last, and delete old keys.

        The snapshot is listed as stale before its shards are written, so that the shards of a
        writer that crashed are deleted later.

        :param state: the newest configuration state; it is encoded before the first await.
        :return: whether a snapshot was written.
        """
        shards = encode_shards(state)
        ref = SnapshotRef(state.revision, len(shards))
        log_state, version = await self._read_log_state_entry()
        if log_state.accepted - log_state.snapshot.revision < SNAPSHOT_INTERVAL_REVISIONS:
            return False
        with_stale_snapshot = msgspec.structs.replace(log_state, stale=(*log_state.stale, ref))
        if ref.revision <= log_state.snapshot.revision or not await self._swap_log_state(
            with_stale_snapshot, version
        ):
            return False
        await self._write_shards(ref, shards)
        return await self._adopt_snapshot(ref)

    async def _adopt_snapshot(self, ref: SnapshotRef) -> bool:
        while True:
            log_state, version = await self._read_log_state_entry()
            if ref not in log_state.stale or ref.revision <= log_state.snapshot.revision:
                return False
            stale = tuple(other for other in log_state.stale if other != ref)
            with_adopted_snapshot = msgspec.structs.replace(
                log_state,
                snapshot=ref,
                floor=max(log_state.floor, ref.revision - RETAINED_ENTRIES + 1),
                stale=(log_state.snapshot, *stale),
            )
            if await self._swap_log_state(with_adopted_snapshot, version):
                await self._delete_old(with_adopted_snapshot)
                return True

    async def _delete_old(self, log_state: LogState) -> None:
        """Delete entries below the floor and the stale snapshots.

        A stale snapshot that is newer than the current one is still being written and is kept.
        """
        for entry in await self._kv.list(LOG_PREFIX):
            if entry.key < log_key(log_state.floor):
                await self._delete(entry.key, entry.version)
        deleted = [ref for ref in log_state.stale if ref.revision < log_state.snapshot.revision]
        for ref in deleted:
            for index in range(ref.shards):
                await self._delete_key(_shard_key(ref, index))
        current, version = await self._read_log_state_entry()
        stale = tuple(ref for ref in current.stale if ref not in deleted)
        await self._swap_log_state(msgspec.structs.replace(current, stale=stale), version)

    async def _read_entries(self, first: int) -> list[LogEntry]:
        """Read the consecutive entries from a revision to the end of the log."""
        entries: list[LogEntry] = []
        while len(entries) < MAX_SINGLE_READS:
            stored = await self._kv.get(log_key(first + len(entries)))
            if stored is None:
                return entries
            entries.append(decode_entry(stored))
        for stored in await self._kv.list(LOG_PREFIX):
            entry = decode_entry(stored)
            if entry.revision == first + len(entries):
                entries.append(entry)
        return entries

    async def _load_snapshot(self, ref: SnapshotRef) -> ConfigurationState | None:
        """Read a snapshot; return None if a newer one has replaced it."""
        shards: list[bytes] = []
        for index in range(ref.shards):
            stored = await self._kv.get(_shard_key(ref, index))
            if stored is None:
                return None
            shards.append(stored.value)
        return decode_shards(ref.revision, shards)

    async def _write_shards(self, ref: SnapshotRef, shards: list[bytes]) -> None:
        for index, shard in enumerate(shards):
            key = _shard_key(ref, index)
            existing = await self._kv.get(key)
            if existing is None:
                await self._kv.put_if(key, shard, ABSENT_VERSION)

    async def _read_log_state_entry(self) -> tuple[LogState, int]:
        stored = await self._kv.get(LOG_STATE_KEY)
        if stored is None:
            return LogState(), ABSENT_VERSION
        return decode_log_state(stored), stored.version

    async def _swap_log_state(self, log_state: LogState, version: int) -> bool:
        try:
            await self._kv.put_if(LOG_STATE_KEY, msgspec.json.encode(log_state), version)
        except KvConflictError:
            return False
        return True

    async def _delete_key(self, key: str) -> None:
        stored = await self._kv.get(key)
        if stored is not None:
            await self._delete(key, stored.version)

    async def _delete(self, key: str, version: int) -> None:
        try:
            await self._kv.delete_if(key, version)
        except KvConflictError:
            return


def log_key(revision: int) -> str:
    """Return the key of a log entry; keys are in the order of revisions."""
    return f"{LOG_PREFIX}{revision:012d}"


def decode_entry(stored: KvEntry) -> LogEntry:
    """Decode a log entry."""
    return msgspec.json.decode(stored.value, type=LogEntry)


def decode_log_state(stored: KvEntry) -> LogState:
    """Decode the state of the log."""
    return msgspec.json.decode(stored.value, type=LogState)


def _shard_key(ref: SnapshotRef, index: int) -> str:
    return f"{SNAPSHOT_PREFIX}{ref.revision:012d}/{index:04d}"
