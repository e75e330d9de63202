"""In-process stand-in for the platform's key-value service, with faults."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TypeVar

from quinceferry_core.adapters import KvEntry, WatchBatch
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import KvUnavailableError
from quinceferry_core.kv_calls import KvCallKind, call_kind
from quinceferry_standins.kv_faults import CallFate, KvFaults, KvLimits
from quinceferry_standins.kv_service import KvService
from quinceferry_standins.kv_state import PEER

DEFAULT_LATENCY_SECONDS = 0.003
DEFAULT_TIMEOUT_SECONDS = 2.0

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class _Call:
    """One call: method name, key or prefix, whether it writes, and its monotonic start time."""

    verb: str
    key: str
    writes: bool
    started_at: float

    def unavailable(self, detail: str) -> KvUnavailableError:
        """Return the error of this call when no answer comes."""
        return KvUnavailableError(detail, step=f"kv.{self.verb}", peer=PEER)


class FakeKvConnection:
    """One client's view of the stand-in; implements ``KvStore``.

    :param service: the service connected to.
    :param name: name of the client.
    :param timeout_seconds: how long a call without an answer lasts.
    :param faults: faults of this connection alone; the service's own always apply too.
    """

    def __init__(
        self,
        service: KvService,
        name: str,
        timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS,
        faults: KvFaults | None = None,
    ) -> None:
        self.name = name
        self.timeout_seconds = timeout_seconds
        self.faults = faults or KvFaults()
        self.calls_by_kind: Counter[KvCallKind] = Counter()
        self._service = service
        self._clock = service.clock
        is_shared = self.faults is service.faults
        self._faults_in_force = (self.faults,) if is_shared else (service.faults, self.faults)

    @property
    def revision(self) -> int:
        """Return the revision of the service's last change, without a call."""
        return self._service.state.revision

    async def get(self, key: str) -> KvEntry | None:
        """Read one key."""
        state = self._service.state
        return await self._read("get", key, lambda: state.get(self._now(), key))

    async def list(self, prefix: str) -> list[KvEntry]:
        """Read all keys that begin with the prefix, in key order."""
        state = self._service.state
        return await self._read("list", prefix, lambda: state.list(self._now(), prefix))

    async def put_if(
        self, key: str, value: bytes, expected_version: int, lease: str = ""
    ) -> KvEntry:
        """Write a key by compare-and-swap."""
        state = self._service.state
        return await self._write(
            "put_if", key, lambda: state.put_if(self._now(), key, value, expected_version, lease)
        )

    async def delete_if(self, key: str, expected_version: int) -> None:
        """Delete a key by compare-and-swap."""
        state = self._service.state
        await self._write(
            "delete_if", key, lambda: state.delete_if(self._now(), key, expected_version)
        )

    async def grant_lease(self, ttl_seconds: float) -> str:
        """Create a lease and return its identifier."""
        state = self._service.state
        return await self._write(
            "grant_lease", "", lambda: state.grant_lease(self._now(), ttl_seconds)
        )

    async def keep_alive(self, lease: str) -> None:
        """Renew a lease."""
        state = self._service.state
        await self._write("keep_alive", "", lambda: state.keep_alive(self._now(), lease))

    async def revoke_lease(self, lease: str) -> None:
        """End a lease; its keys are deleted."""
        state = self._service.state
        await self._write("revoke_lease", "", lambda: state.revoke_lease(self._now(), lease))

    async def watch(self, prefix: str, cursor: int, timeout_seconds: float) -> WatchBatch:
        """Wait for changes below a prefix; counts as one read."""
        deadline = self._now() + timeout_seconds
        call = self._begin("watch", prefix, writes=False)
        await self._admit(call)
        await self._clock.sleep(self._draw_leg())
        batch = await self._wait_for_batch(prefix, cursor, deadline)
        await self._answer(self._restart(call), CallFate.SERVED, self._draw_leg())
        return batch

    async def _wait_for_batch(self, prefix: str, cursor: int, deadline: float) -> WatchBatch:
        batch = self._service.state.changes_since(self._now(), prefix, cursor)
        while cursor >= 0 and not batch.events and not batch.reset:
            remaining = deadline - self._now()
            if remaining <= 0:
                break
            await self._service.wait_for_change(prefix, remaining)
            batch = self._service.state.changes_since(self._now(), prefix, cursor)
        return batch

    async def _read(self, verb: str, key: str, operation: Callable[[], T]) -> T:
        call = self._begin(verb, key, writes=False)
        return await self._perform(call, operation)

    async def _write(self, verb: str, key: str, operation: Callable[[], T]) -> T:
        call = self._begin(verb, key, writes=True)
        return await self._perform(call, operation)

    def _begin(self, verb: str, key: str, *, writes: bool) -> _Call:
        kind = call_kind(verb, key)
        self.calls_by_kind[kind] += 1
        self._service.calls_by_kind[kind] += 1
        return _Call(verb, key, writes, self._now())

    def _restart(self, call: _Call) -> _Call:
        """Return the call as if begun now, so that waiting does not use up its timeout."""
        return replace(call, started_at=self._now())

    async def _perform(self, call: _Call, operation: Callable[[], T]) -> T:
        await self._admit(call)
        fate = self._draw_fate(call)
        request_leg = self._draw_leg()
        answer_leg = self._draw_leg()
        if fate is CallFate.SERVED and request_leg + answer_leg > self.timeout_seconds:
            fate = CallFate.ANSWER_LOST
        if fate is CallFate.ANSWER_LOST and request_leg > self.timeout_seconds:
            self._service.run_late(request_leg, operation)
            await self._time_out(call)
        await self._clock.sleep(min(request_leg, self.timeout_seconds))
        if fate is CallFate.REFUSED:
            raise call.unavailable("refused")
        if self._is_cut_off():
            await self._time_out(call)
        try:
            return operation()
        finally:
            # A lost answer hides the result and the error alike.
            await self._answer(call, fate, answer_leg)

    async def _admit(self, call: _Call) -> None:
        if self._is_cut_off():
            await self._time_out(call)
        if not self._service.admit(call.writes):
            raise call.unavailable("rate limit exceeded")

    async def _answer(self, call: _Call, fate: CallFate, answer_leg: float) -> None:
        if fate is CallFate.ANSWER_LOST:
            await self._time_out(call)
        await self._clock.sleep(answer_leg)
        if self._is_cut_off():
            await self._time_out(call)

    async def _time_out(self, call: _Call) -> None:
        remaining = call.started_at + self.timeout_seconds - self._now()
        await self._clock.sleep(max(remaining, 0.0))
        raise call.unavailable(f"no answer within {self.timeout_seconds} s")

    def _draw_fate(self, call: _Call) -> CallFate:
        if not call.writes:
            return CallFate.SERVED
        for faults in self._faults_in_force:
            fate = faults.draw_fate(self._service.rng, call.key)
            if fate is not CallFate.SERVED:
                return fate
        return CallFate.SERVED

    def _draw_leg(self) -> float:
        """Draw the delay of one direction, half of a call's latency."""
        rng = self._service.rng
        extra = sum(faults.draw_latency(rng) for faults in self._faults_in_force)
        return (self._service.latency_seconds + extra) / 2

    def _is_cut_off(self) -> bool:
        return any(faults.outage for faults in self._faults_in_force)

    def _now(self) -> float:
        return self._clock.monotonic()


class FakeKv(FakeKvConnection):
    """The stand-in service, which is also a connection to itself.

    Its ``faults`` are those of the whole service.

    :param clock: source of time.
    :param rng: source of randomness for faults and latencies.
    :param limits: rates and sizes the service admits.
    :param latency_seconds: round trip of a call without faults.
    :param timeout_seconds: how long a call without an answer lasts.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random | None = None,
        limits: KvLimits | None = None,
        latency_seconds: float = DEFAULT_LATENCY_SECONDS,
        timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS,
    ) -> None:
        rng = rng or random.Random(0)
        service = KvService(clock, rng, limits or KvLimits(), latency_seconds)
        super().__init__(service, "service", timeout_seconds, service.faults)
        self.connections_by_name: dict[str, FakeKvConnection] = {}

    def connect(self, name: str, timeout_seconds: float | None = None) -> FakeKvConnection:
        """Return a client's own connection, with its own faults.

        :param name: name of the client; a repeated name returns the same connection.
        :param timeout_seconds: how long its calls wait; None takes the service's own.
        :return: the connection.
        """
        if name not in self.connections_by_name:
            timeout = self.timeout_seconds if timeout_seconds is None else timeout_seconds
            self.connections_by_name[name] = FakeKvConnection(self._service, name, timeout)
        return self.connections_by_name[name]

    @property
    def total_calls_by_kind(self) -> Counter[KvCallKind]:
        """Return the call counts over all connections."""
        return self._service.calls_by_kind

    @property
    def rejected_calls(self) -> int:
        """Return how many calls exceeded the rate limits."""
        return self._service.rejected_calls

    def forget_history(self) -> None:
        """Drop the event history, so that watches with older cursors get ``reset``."""
        self._service.state.forget_history()
