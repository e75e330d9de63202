"""What all connections to one stand-in key-value service share."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable

from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import KvError
from quinceferry_core.kv_calls import KvCallKind
from quinceferry_standins.kv_faults import KvFaults, KvLimits
from quinceferry_standins.kv_state import KvState
from quinceferry_standins.rates import TokenBucket

_SHORTEST_WAIT_SECONDS = 0.001


class KvService:
    """State, service-wide faults, rate limits and call counts of one stand-in."""

    def __init__(
        self, clock: Clock, rng: random.Random, limits: KvLimits, latency_seconds: float
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.latency_seconds = latency_seconds
        self.state = KvState(limits.history_size, limits.max_value_bytes, self._wake)
        self.faults = KvFaults()
        self.calls_by_kind: Counter[KvCallKind] = Counter()
        self.rejected_calls = 0
        self._reads = TokenBucket(clock, limits.reads_per_second)
        self._writes = TokenBucket(clock, limits.writes_per_second)
        self._prefixes_by_waiting: dict[asyncio.Event, str] = {}
        self._late_calls: set[asyncio.Task[None]] = set()

    def admit(self, writes: bool) -> bool:
        """Count one call against the rate limits; return whether it may proceed."""
        bucket = self._writes if writes else self._reads
        if bucket.take():
            return True
        self.rejected_calls += 1
        return False

    def run_late(self, delay_seconds: float, operation: Callable[[], object]) -> None:
        """Let an operation take effect after its caller has given up."""
        task = asyncio.create_task(self._run_late(delay_seconds, operation))
        self._late_calls.add(task)
        task.add_done_callback(self._late_calls.discard)

    async def wait_for_change(self, prefix: str, seconds: float) -> None:
        """Wait until a key below a prefix changes, a lease expires or the time has passed."""
        expiry = self.state.next_expiry()
        if expiry is not None:
            seconds = min(seconds, expiry - self.clock.monotonic())
        changed = asyncio.Event()
        signal = asyncio.create_task(changed.wait())
        timer = asyncio.create_task(self.clock.sleep(max(seconds, _SHORTEST_WAIT_SECONDS)))
        self._prefixes_by_waiting[changed] = prefix
        try:
            await asyncio.wait({signal, timer}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            del self._prefixes_by_waiting[changed]
            signal.cancel()
            timer.cancel()

    def _wake(self, key: str) -> None:
        for changed, prefix in self._prefixes_by_waiting.items():
            if key.startswith(prefix):
                changed.set()

    async def _run_late(self, delay_seconds: float, operation: Callable[[], object]) -> None:
        await self.clock.sleep(delay_seconds)
        try:
            operation()
        except KvError:
            # Nobody waits for this answer any more.
            return
