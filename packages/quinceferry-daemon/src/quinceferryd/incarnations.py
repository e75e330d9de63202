"""This router's permanent incarnation record, which is changed only by compare-and-swap."""

import random
from dataclasses import replace
from typing import Any

import msgspec

from quinceferry_core.adapters import ABSENT_VERSION, KvEntry, KvStore
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import FencedError, KvConflictError
from quinceferry_core.membership import FENCING_KEY, IncarnationRecord, incarnation_key
from quinceferry_core.models import IncarnationId
from quinceferryd.blackboard import Identity

_FIRST_MAX_DELAY_SECONDS = 0.05
_MAX_DELAY_SECONDS = 3.2


class FencingCounter:
    """Fleet-wide counter of fencing numbers for incarnations and holders of order shards.

    :param kv: the key-value service.
    :param clock: source of time.
    :param rng: source of randomness, for spreading the retries of concurrent routers.
    """

    def __init__(self, kv: KvStore, clock: Clock, rng: random.Random) -> None:
        self._kv = kv
        self._clock = clock
        self._rng = rng

    async def draw(self) -> int:
        """Increment the counter and return its new value.

        A number whose write got no answer remains unused: no other router can draw it either.

        :raises KvUnavailableError: there was no answer; repeat the call.
        """
        max_delay_seconds = _FIRST_MAX_DELAY_SECONDS
        while True:
            entry = await self._kv.get(FENCING_KEY)
            drawn = int(entry.value) + 1 if entry else 1
            version = entry.version if entry else ABSENT_VERSION
            try:
                await self._kv.put_if(FENCING_KEY, str(drawn).encode(), version)
            except KvConflictError:
                await self._clock.sleep(self._rng.uniform(0.0, max_delay_seconds))
                max_delay_seconds = min(2.0 * max_delay_seconds, _MAX_DELAY_SECONDS)
                continue
            return drawn


class OwnIncarnation:
    """Creates and updates the record of the running incarnation.

    Every method may be repeated after a lost answer: a fencing number that was drawn but not used
    is skipped, and only this router can have written a record with its number.

    :param kv: the key-value service.
    :param fencing: source of fencing numbers.
    """

    def __init__(self, kv: KvStore, fencing: FencingCounter) -> None:
        self._kv = kv
        self._fencing = fencing
        self._version = ABSENT_VERSION
        self._has_lost_answer = False
        self.record: IncarnationRecord | None = None
        """The record as last read or written; None before creation."""

    async def create(self, identity: Identity, **fields: Any) -> IncarnationRecord:
        """Draw a fencing number and write the record.

        :param identity: VM, zone and address of this router.
        :param fields: initial values of further fields.
        :raises KvUnavailableError: there was no answer; repeat the call.
        :raises KvConflictError: the record of an earlier attempt was changed by another router;
            repeat the call.
        """
        if self.record is None:
            fencing = await self._fencing.draw()
            self.record = _new_record(identity, fencing, fields)
        key = incarnation_key(self.record.incarnation)
        value = msgspec.json.encode(self.record)
        try:
            entry = await self._kv.put_if(key, value, ABSENT_VERSION)
        except KvConflictError:
            entry = await self._kv.get(key)
            if entry is None or entry.value != value:
                self.clear()
                raise
        self._version = entry.version
        return self.record

    async def update(self, **changes: Any) -> None:
        """Change fields of the record; write nothing if they already have the given values.

        :param changes: new values by field name.
        :raises FencedError: another router has closed the incarnation.
        :raises KvUnavailableError: there was no answer; the same call may be repeated.
        """
        while True:
            wanted = replace(self._require_record(), **changes)
            is_unchanged = wanted == self.record and not self._has_lost_answer
            if is_unchanged or await self._compare_and_swap(wanted):
                return

    async def rewrite(self) -> None:
        """Write the record unchanged, so that a close based on an earlier read fails.

        :raises FencedError: the incarnation was closed first.
        """
        while not await self._compare_and_swap(self._require_record()):
            continue

    async def reload(self) -> None:
        """Read the stored record.

        :raises FencedError: the record is closed or deleted.
        """
        key = incarnation_key(self._require_record().incarnation)
        entry = await self._kv.get(key)
        stored = _decode(entry)
        if entry is None or stored is None or stored.closed_by:
            closer = stored.closed_by if stored else ""
            raise FencedError("incarnation is closed", step="incarnation.read", peer=closer)
        self.record = stored
        self._version = entry.version

    def clear(self) -> None:
        """Clear the record, so that the next creation draws a new fencing number."""
        self.record = None
        self._version = ABSENT_VERSION

    async def _compare_and_swap(self, wanted: IncarnationRecord) -> bool:
        """Write the record and return True; after a conflict, reload it and return False."""
        key = incarnation_key(wanted.incarnation)
        # A write whose answer is lost may still take effect later. The stored record is unknown
        # until a later write has succeeded.
        had_lost_answer, self._has_lost_answer = self._has_lost_answer, True
        try:
            entry = await self._kv.put_if(key, msgspec.json.encode(wanted), self._version)
        except KvConflictError:
            await self.reload()
            self._has_lost_answer = had_lost_answer
            return False
        self._has_lost_answer = False
        self.record = wanted
        self._version = entry.version
        return True

    def _require_record(self) -> IncarnationRecord:
        if self.record is None:
            raise FencedError("not a member", step="incarnation.update")
        return self.record


def _new_record(identity: Identity, fencing: int, fields: dict[str, Any]) -> IncarnationRecord:
    """Return the initial record of an incarnation."""
    return IncarnationRecord(
        incarnation=IncarnationId(f"{identity.vm}-{fencing}"),
        vm=identity.vm,
        zone=identity.zone,
        fencing=fencing,
        address=identity.address,
        **fields,
    )


def _decode(entry: KvEntry | None) -> IncarnationRecord | None:
    """Decode an incarnation record; return None if the entry is absent."""
    return msgspec.json.decode(entry.value, type=IncarnationRecord) if entry else None
