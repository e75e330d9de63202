"""Records of the service and software version that began each stream.

A stream may break at any time, and its caller resumes it at any gateway, after the gateway that
served it has been killed or stopped. The records of one stream are therefore kept by several
gateways, which its key selects, so that every gateway finds them without knowing who wrote them.
"""

import hashlib
from collections.abc import Collection, Iterator
from dataclasses import dataclass

from quinceferry_core.eviction import evict_oldest
from quinceferry_gateway.catalog import StreamOrigin
from quinceferry_gateway.rendezvous import rank_candidates

HOLDERS = 3
"""Gateways that keep the record of a stream, besides the one that serves it. Most records then
remain when more than half of a fleet is killed at once."""
ASKED_HOLDERS = 8
"""Gateways that are asked for a record. The lists of members of two gateways may differ, so that
the holders come later in the ranking of one than of the other."""
MAX_RECORDS = 20_000
"""Most records kept; the oldest are evicted first. They take about 5 MB."""
_KEY_BYTES = 12


def stream_key(request_id: str) -> str:
    """Return the key of a stream.

    :param request_id: the caller's request that received the first event.
    """
    encoded = request_id.encode("latin-1", "replace")
    return hashlib.blake2b(encoded, digest_size=_KEY_BYTES).hexdigest()


@dataclass(slots=True, frozen=True)
class OriginRecord:
    """The origin of one stream, kept until a time on the monotonic clock."""

    origin: StreamOrigin
    expires_at: float


class OriginRecords:
    """Bounded collection of records by the key of the stream."""

    __slots__ = ("_by_key",)

    def __init__(self) -> None:
        self._by_key: dict[str, OriginRecord] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def put(self, key: str, record: OriginRecord, now: float) -> None:
        """Add a record, or extend the time for which it is kept. An origin never changes."""
        known = self._by_key.pop(key, None)
        if known is not None and known.expires_at > now:
            expires_at = max(known.expires_at, record.expires_at)
            record = OriginRecord(known.origin, expires_at)
        self._by_key[key] = record
        self._remove_expired(now)
        evict_oldest(self._by_key, MAX_RECORDS)

    def get(self, key: str, now: float) -> StreamOrigin | None:
        """Return the origin of a stream, None if it is not known."""
        record = self._by_key.get(key)
        return record.origin if record is not None and record.expires_at > now else None

    def unexpired(self, now: float) -> Iterator[tuple[str, OriginRecord]]:
        """Return all records that are still kept."""
        records = list(self._by_key.items())
        return ((key, record) for key, record in records if record.expires_at > now)

    def _remove_expired(self, now: float) -> None:
        """Remove the oldest records as long as they have expired."""
        while self._by_key:
            key = next(iter(self._by_key))
            if self._by_key[key].expires_at > now:
                return
            del self._by_key[key]


def record_holders(key: str, peer_vms: Collection[str]) -> list[str]:
    """Return the vms of the peers that keep the record of a stream."""
    return rank_candidates(key, peer_vms)[:HOLDERS]


def asked_holders(key: str, peer_vms: Collection[str]) -> list[str]:
    """Return the vms of the peers to ask for the record of a stream, likely holders first."""
    return rank_candidates(key, peer_vms)[:ASKED_HOLDERS]


def holders_without(key: str, own_vm: str, peer_vms: Collection[str]) -> list[str]:
    """Return the vms that hold a record after this one has left; none if it is no holder.

    All of them get the record: one that has restarted has lost its copy.
    """
    if own_vm not in record_holders(key, {*peer_vms, own_vm}):
        return []
    return record_holders(key, peer_vms)
