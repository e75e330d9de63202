"""Fleet-wide queue of model loads at the rate-limited weight store."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from quinceferry_core.adapters import ABSENT_VERSION, KvStore
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import KvConflictError, KvError
from quinceferryd.membership import MembershipController

LOAD_PREFIX = "loads/"
TICKET_COUNTER_KEY = "load-tickets"
"""Counter of ticket numbers; each ticket is a key below ``loads/``."""
MAX_CONCURRENT_LOADS = 2
"""Concurrent loads of the whole fleet; more would only share the same transfer rate."""
CHECK_INTERVAL_SECONDS = 1.0
LATE_WRITE_SECONDS = 30.0
"""How long after an unanswered call its write may still take effect."""


class LoadQueue:
    """Grants turns in the order of requests.

    First-come, first-served order prevents starvation and limits a burst of loads. A ticket is
    bound to the lease of its router and is deleted with it.

    :param kv: the key-value service.
    :param clock: source of time.
    :param rng: source of randomness, for spreading the checks of many routers.
    :param membership: owner of the lease.
    """

    def __init__(
        self, kv: KvStore, clock: Clock, rng: random.Random, membership: MembershipController
    ) -> None:
        self._kv = kv
        self._clock = clock
        self._rng = rng
        self._membership = membership
        self._abandoned_at_by_key: dict[str, float] = {}

    @asynccontextmanager
    async def turn(self) -> AsyncIterator[None]:
        """Wait for a turn, which ends with the context.

        :raises KvError: the ticket was lost with the lease or during an outage; repeat the call.
        """
        key, version = await self._create_ticket()
        try:
            await self._wait_for_turn(key)
            yield
        finally:
            await self._release_ticket(key, version)

    async def delete_abandoned(self) -> None:
        """Delete tickets whose creation or deletion got no answer; the lease would keep them.

        :raises KvError: a call to the key-value service failed; repeat the call.
        """
        for key, abandoned_at in list(self._abandoned_at_by_key.items()):
            entry = await self._kv.get(key)
            if entry is not None:
                await self._kv.delete_if(key, entry.version)
            elif self._clock.monotonic() >= abandoned_at + LATE_WRITE_SECONDS:
                del self._abandoned_at_by_key[key]

    async def _create_ticket(self) -> tuple[str, int]:
        number = await self._draw_number()
        incarnation = self._membership.record.incarnation if self._membership.record else ""
        key = f"{LOAD_PREFIX}{number:012d}-{incarnation}"
        self._mark_abandoned(key)
        entry = await self._kv.put_if(key, b"{}", ABSENT_VERSION, self._membership.lease)
        del self._abandoned_at_by_key[key]
        return key, entry.version

    async def _draw_number(self) -> int:
        while True:
            entry = await self._kv.get(TICKET_COUNTER_KEY)
            drawn = int(entry.value) + 1 if entry else 1
            version = entry.version if entry else ABSENT_VERSION
            try:
                await self._kv.put_if(TICKET_COUNTER_KEY, str(drawn).encode(), version)
            except KvConflictError:
                continue
            return drawn

    async def _wait_for_turn(self, key: str) -> None:
        while True:
            keys = [entry.key for entry in await self._kv.list(LOAD_PREFIX)]
            if key not in keys:
                raise KvConflictError("the ticket was deleted", step="loads.wait", peer=key)
            if keys.index(key) < MAX_CONCURRENT_LOADS:
                return
            await self._clock.sleep(CHECK_INTERVAL_SECONDS * self._rng.uniform(0.8, 1.2))

    async def _release_ticket(self, key: str, version: int) -> None:
        """Delete the ticket; if that fails, :meth:`delete_abandoned` deletes it later."""
        self._mark_abandoned(key)
        try:
            await self._kv.delete_if(key, version)
        except KvError:
            return
        del self._abandoned_at_by_key[key]

    def _mark_abandoned(self, key: str) -> None:
        self._abandoned_at_by_key[key] = self._clock.monotonic()
