"""This router's heartbeat record and its lease."""

from dataclasses import replace
from enum import Enum
from typing import Any

import msgspec

from quinceferry_core.adapters import ABSENT_VERSION, KvStore
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import (
    FencedError,
    KvConflictError,
    KvUnavailableError,
    LeaseLostError,
)
from quinceferry_core.membership import Member, member_key
from quinceferryd.members import MemberView


class LeaseRenewal(Enum):
    """Result of a lease renewal."""

    RENEWED = "renewed"
    NO_ANSWER = "no_answer"
    LEASE_LOST = "lease_lost"


class OwnHeartbeat:
    """Writes the heartbeat record when it has changed, and renews its lease.

    :param kv: the key-value service.
    :param clock: source of time.
    :param view: view of all members, in which this router's own record appears immediately.
    :param ttl_seconds: lifetime of the lease without renewal.
    """

    def __init__(self, kv: KvStore, clock: Clock, view: MemberView, ttl_seconds: float) -> None:
        self._kv = kv
        self._clock = clock
        self._view = view
        self._ttl_seconds = ttl_seconds
        self._written: Member | None = None
        self._version = ABSENT_VERSION
        self.lease = ""
        """The lease of the record; empty while there is none."""
        self.valid_until = 0.0
        """Time until which the lease is certainly valid, in monotonic seconds."""
        self.member: Member | None = None
        """The current record, which may not be written yet; None before joining."""

    @property
    def is_published(self) -> bool:
        """Return whether the current record has been written."""
        return self.member is not None and self._written == self.member

    def set(self, member: Member) -> None:
        """Replace the current record; :meth:`write` publishes it."""
        self.member = member
        self._view.set_own(member)

    def change_member(self, **changes: Any) -> None:
        """Change fields of the current record; :meth:`write` publishes them."""
        self.set(replace(self._require_member(), **changes))

    async def renew(self) -> LeaseRenewal:
        """Renew the lease and return the result."""
        if not self.lease:
            return LeaseRenewal.LEASE_LOST
        requested_at = self._clock.monotonic()
        try:
            await self._kv.keep_alive(self.lease)
        except LeaseLostError:
            return LeaseRenewal.LEASE_LOST
        except KvUnavailableError:
            return LeaseRenewal.NO_ANSWER
        self.valid_until = requested_at + self._ttl_seconds
        return LeaseRenewal.RENEWED

    async def bind(self) -> None:
        """Acquire a new lease and write the record under it."""
        self.lease = ""
        requested_at = self._clock.monotonic()
        lease = await self._kv.grant_lease(self._ttl_seconds)
        await self._write_under_lease(lease)
        self.lease = lease
        self.valid_until = requested_at + self._ttl_seconds

    async def write(self) -> None:
        """Write the record if it differs from the last written one."""
        if self._written != self.member:
            await self._write_under_lease(self.lease)

    async def end_lease(self) -> None:
        """Revoke the lease, which deletes the record."""
        if self.lease:
            await self._kv.revoke_lease(self.lease)
        self.lease = ""

    def clear(self) -> None:
        """Clear the record and the lease of a closed incarnation."""
        self._view.clear_own()
        self.lease = ""
        self._written = None
        self._version = ABSENT_VERSION
        self.member = None

    async def _write_under_lease(self, lease: str) -> None:
        """Write the record, replacing any stored version; this router is the only writer."""
        member = self._require_member()
        key = member_key(member.incarnation)
        value = msgspec.json.encode(member)
        try:
            entry = await self._kv.put_if(key, value, self._version, lease)
        except KvConflictError:
            stored = await self._kv.get(key)
            version = stored.version if stored else ABSENT_VERSION
            entry = await self._kv.put_if(key, value, version, lease)
        self._version = entry.version
        self._written = member

    def _require_member(self) -> Member:
        if self.member is None:
            raise FencedError("not a member", step="heartbeat.write")
        return self.member
