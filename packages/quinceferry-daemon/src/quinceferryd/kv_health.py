"""Monitors the availability of the key-value service and counts the calls to it."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable
from typing import Protocol, TypeVar

import structlog

from quinceferry_core.adapters import KvEntry, KvStore, WatchBatch
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import KvError, KvUnavailableError
from quinceferry_core.kv_calls import KvCallKind, call_kind
from quinceferryd.blackboard import Blackboard
from quinceferryd.controllers import TaskGroupController

PROBE_KEY = "probe"
"""Key that the probe reads; it is never written."""

_MIN_PROBE_SECONDS = 0.5
_MAX_PROBE_SECONDS = 8.0
_WATCH = "watch"

T = TypeVar("T")

_log = structlog.get_logger()


class CallCounter(Protocol):
    """A counter with attributes, such as an OpenTelemetry counter."""

    def add(self, amount: int, attributes: dict[str, str]) -> None:
        """Add to the count of these attributes."""


class MonitoredKv:
    """Delegates calls to a store and updates ``blackboard.kv`` from their results.

    Every answer, including a conflict, shows that the service is available. A call without an
    answer shows that it is unavailable, unless another call was answered after it was sent. A watch
    without an answer shows nothing, because an idle connection may be lost while the service is
    available.

    :param inner: the store.
    :param blackboard: receives the availability.
    :param clock: source of time.
    :param counter: counts calls by purpose, verb and result; None for no metrics.
    """

    def __init__(
        self,
        inner: KvStore,
        blackboard: Blackboard,
        clock: Clock,
        counter: CallCounter | None = None,
    ) -> None:
        self.calls_by_kind: Counter[KvCallKind] = Counter()
        self._inner = inner
        self._health = blackboard.kv
        self._clock = clock
        self._counter = counter
        self._answered_at = float("-inf")
        self._in_outage = asyncio.Event()

    async def get(self, key: str) -> KvEntry | None:
        """Read one key."""
        return await self._monitor("get", key, self._inner.get(key))

    async def list(self, prefix: str) -> list[KvEntry]:
        """Read all keys with the prefix, in key order."""
        return await self._monitor("list", prefix, self._inner.list(prefix))

    async def put_if(
        self, key: str, value: bytes, expected_version: int, lease: str = ""
    ) -> KvEntry:
        """Write a key by compare-and-swap."""
        call = self._inner.put_if(key, value, expected_version, lease)
        return await self._monitor("put_if", key, call)

    async def delete_if(self, key: str, expected_version: int) -> None:
        """Delete a key by compare-and-swap."""
        await self._monitor("delete_if", key, self._inner.delete_if(key, expected_version))

    async def grant_lease(self, ttl_seconds: float) -> str:
        """Create a lease and return its identifier."""
        return await self._monitor("grant_lease", "", self._inner.grant_lease(ttl_seconds))

    async def keep_alive(self, lease: str) -> None:
        """Renew a lease."""
        await self._monitor("keep_alive", "", self._inner.keep_alive(lease))

    async def revoke_lease(self, lease: str) -> None:
        """End a lease, which deletes its keys."""
        await self._monitor("revoke_lease", "", self._inner.revoke_lease(lease))

    async def watch(self, prefix: str, cursor: int, timeout_seconds: float) -> WatchBatch:
        """Wait for changes below a prefix."""
        call = self._inner.watch(prefix, cursor, timeout_seconds)
        return await self._monitor(_WATCH, prefix, call)

    async def wait_for_outage(self) -> None:
        """Wait until an outage begins; return immediately during an outage."""
        await self._in_outage.wait()

    async def _monitor(self, verb: str, key: str, call: Awaitable[T]) -> T:
        kind = call_kind(verb, key)
        started_at = self._clock.monotonic()
        self.calls_by_kind[kind] += 1
        try:
            result = await call
        except KvUnavailableError as error:
            self._count(kind, "unavailable")
            if verb != _WATCH:
                self._record_failure(started_at, error)
            raise
        except KvError as error:
            self._count(kind, type(error).__name__)
            self._record_answer()
            raise
        self._count(kind, "ok")
        self._record_answer()
        return result

    def _count(self, kind: KvCallKind, result: str) -> None:
        if self._counter is not None:
            attributes = {"purpose": kind.purpose, "verb": kind.verb, "result": result}
            self._counter.add(1, attributes)

    def _record_answer(self) -> None:
        self._answered_at = self._clock.monotonic()
        if self._health.available:
            return
        self._in_outage.clear()
        self._set_available(True)
        _log.info("kv available")

    def _record_failure(self, started_at: float, error: KvUnavailableError) -> None:
        if not self._health.available or self._answered_at > started_at:
            return
        self._set_available(False)
        self._in_outage.set()
        _log.warning("kv unavailable", step=error.step, peer=error.peer, detail=error.detail)

    def _set_available(self, available: bool) -> None:
        self._health.available = available
        self._health.changed_at = self._clock.monotonic()


class KvProbe(TaskGroupController):
    """Reads a key during an outage, with exponential backoff and jitter, until it is answered.

    :param kv: the monitored store, which records the answer.
    :param blackboard: contains the availability.
    :param clock: source of time.
    :param rng: source of jitter, so that routers do not probe simultaneously.
    """

    def __init__(
        self, kv: MonitoredKv, blackboard: Blackboard, clock: Clock, rng: random.Random
    ) -> None:
        super().__init__()
        self._kv = kv
        self._health = blackboard.kv
        self._clock = clock
        self._rng = rng

    async def start(self) -> None:
        """Start the task that probes during outages."""
        self.spawn(self._probe_forever(), "kv probe")

    async def _probe_forever(self) -> None:
        while True:
            await self._kv.wait_for_outage()
            await self._probe_until_available()

    async def _probe_until_available(self) -> None:
        interval = _MIN_PROBE_SECONDS
        while not self._health.available:
            await self._clock.sleep(interval * self._rng.uniform(0.5, 1.0))
            await self._probe()
            interval = min(2 * interval, _MAX_PROBE_SECONDS)

    async def _probe(self) -> None:
        try:
            await self._kv.get(PROBE_KEY)
        except KvError:
            # The monitored store has recorded whether the service answered.
            return
