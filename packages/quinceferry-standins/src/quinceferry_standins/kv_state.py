"""State of the stand-in key-value service, without time or I/O of its own."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from itertools import takewhile

from quinceferry_core.adapters import ABSENT_VERSION, KvEntry, KvEvent, WatchBatch
from quinceferry_core.exceptions import KvConflictError, KvError, LeaseLostError

PEER = "kv"
"""Peer named by the errors of this service."""


@dataclass(slots=True)
class _Lease:
    """A lease; ``expires_at`` is in monotonic seconds."""

    ttl_seconds: float
    expires_at: float


@dataclass(slots=True, frozen=True)
class _Change:
    """One event of the history, with the revision it made."""

    revision: int
    event: KvEvent


class KvState:
    """Keys, leases and a bounded history of changes.

    One revision counter serves as the version of keys and as the cursor of watches, so a key that
    is deleted and created again never repeats a version. Methods that take the current monotonic
    time, in seconds, first end the leases that have expired by then.

    :param history_size: number of events kept for watches.
    :param max_value_bytes: largest value that may be written.
    :param on_change: called after each change of a key.
    """

    def __init__(
        self, history_size: int, max_value_bytes: int, on_change: Callable[[str], None]
    ) -> None:
        self._entries_by_key: dict[str, KvEntry] = {}
        self._lease_by_key: dict[str, str] = {}
        self._leases_by_id: dict[str, _Lease] = {}
        self._history: deque[_Change] = deque()
        self._history_size = history_size
        self._forgotten_revision = 0
        self._max_value_bytes = max_value_bytes
        self._on_change = on_change
        self._revision = 0
        self._leases_granted = 0

    @property
    def revision(self) -> int:
        """Return the revision of the last change."""
        return self._revision

    def get(self, now: float, key: str) -> KvEntry | None:
        """Read one key."""
        self._expire_leases(now)
        return self._entries_by_key.get(key)

    def list(self, now: float, prefix: str) -> list[KvEntry]:
        """Read all keys that begin with the prefix, in key order."""
        self._expire_leases(now)
        keys = sorted(key for key in self._entries_by_key if key.startswith(prefix))
        return [self._entries_by_key[key] for key in keys]

    def put_if(self, now: float, key: str, value: bytes, expected: int, lease: str) -> KvEntry:
        """Write a key by compare-and-swap.

        :raises KvConflictError: the key has another version.
        :raises LeaseLostError: the lease has ended.
        :raises KvError: the value is too large.
        """
        self._expire_leases(now)
        step = "kv.put_if"
        if len(value) > self._max_value_bytes:
            detail = f"value of {key} exceeds {self._max_value_bytes} bytes"
            raise KvError(detail, step=step, peer=PEER)
        self._check_version(key, expected, step)
        if lease and lease not in self._leases_by_id:
            raise LeaseLostError(f"lease {lease} has ended", step=step, peer=PEER)
        return self._write(key, value, lease)

    def delete_if(self, now: float, key: str, expected: int) -> None:
        """Delete a key by compare-and-swap.

        :raises KvConflictError: the key has another version.
        """
        self._expire_leases(now)
        self._check_version(key, expected, "kv.delete_if")
        if key in self._entries_by_key:
            self._delete(key)

    def grant_lease(self, now: float, ttl_seconds: float) -> str:
        """Create a lease and return its identifier."""
        self._expire_leases(now)
        self._leases_granted += 1
        lease = f"lease-{self._leases_granted}"
        self._leases_by_id[lease] = _Lease(ttl_seconds, now + ttl_seconds)
        return lease

    def keep_alive(self, now: float, lease: str) -> None:
        """Renew a lease.

        :raises LeaseLostError: it has ended.
        """
        self._expire_leases(now)
        held = self._leases_by_id.get(lease)
        if held is None:
            raise LeaseLostError(f"lease {lease} has ended", step="kv.keep_alive", peer=PEER)
        held.expires_at = now + held.ttl_seconds

    def revoke_lease(self, now: float, lease: str) -> None:
        """End a lease, if it has not ended yet, and delete its keys."""
        self._expire_leases(now)
        if lease in self._leases_by_id:
            self._end_lease(lease)

    def changes_since(self, now: float, prefix: str, cursor: int) -> WatchBatch:
        """Return the changes below a prefix that are newer than the cursor, without waiting."""
        self._expire_leases(now)
        if cursor < 0:
            return WatchBatch((), self._revision)
        if cursor < self._forgotten_revision or cursor > self._revision:
            return WatchBatch((), self._revision, reset=True)
        newer = takewhile(lambda change: change.revision > cursor, reversed(self._history))
        events = [change.event for change in newer if change.event.key.startswith(prefix)]
        return WatchBatch(tuple(reversed(events)), self._revision)

    def forget_history(self) -> None:
        """Drop all events, so that every cursor older than the current one is stale."""
        self._history.clear()
        self._forgotten_revision = self._revision

    def next_expiry(self) -> float | None:
        """Return when the next lease expires, in monotonic seconds."""
        return min((lease.expires_at for lease in self._leases_by_id.values()), default=None)

    def _check_version(self, key: str, expected: int, step: str) -> None:
        entry = self._entries_by_key.get(key)
        version = entry.version if entry else ABSENT_VERSION
        if version != expected:
            detail = f"{key} has version {version}, not {expected}"
            raise KvConflictError(detail, step=step, peer=PEER)

    def _write(self, key: str, value: bytes, lease: str) -> KvEntry:
        entry = KvEntry(key, value, self._revision + 1)
        self._entries_by_key[key] = entry
        self._lease_by_key[key] = lease
        self._record(KvEvent(key, entry))
        return entry

    def _delete(self, key: str) -> None:
        del self._entries_by_key[key]
        del self._lease_by_key[key]
        self._record(KvEvent(key, None))

    def _record(self, event: KvEvent) -> None:
        self._revision += 1
        self._history.append(_Change(self._revision, event))
        if len(self._history) > self._history_size:
            self._forgotten_revision = self._history.popleft().revision
        self._on_change(event.key)

    def _expire_leases(self, now: float) -> None:
        expired = [id_ for id_, lease in self._leases_by_id.items() if lease.expires_at <= now]
        for lease in expired:
            self._end_lease(lease)

    def _end_lease(self, lease: str) -> None:
        del self._leases_by_id[lease]
        keys = [key for key, holder in self._lease_by_key.items() if holder == lease]
        for key in keys:
            self._delete(key)
