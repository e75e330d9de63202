"""Journal commits of a fleet under the long-run load of each router, and what a begin waits.

Only the journals run, on virtual time, so that fleets of the long-run size are cheap. Counts and
waits do not depend on the machine.
"""

import asyncio
import random
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

import msgspec

from quinceferry_core.journals import Begin, Settle
from quinceferry_core.models import IncarnationId, RequestId, UpstreamId, WorkspaceId
from quinceferry_lab.capacity_sizes import LONG_RUN
from quinceferry_lab.virtual_time import VirtualClock, run_virtual
from quinceferry_standins.kv import FakeKv
from quinceferry_standins.kv_faults import KvLimits
from quinceferryd.journal import JournalWriter
from quinceferryd.settings import JournalSettings

FLEETS = (9, 50, 100, 200, 400)
MAX_PROCESSES = 3
WARM_UP_SECONDS = 7.0
MEASURED_SECONDS = 8.0
REQUESTS_PER_ROUTER = LONG_RUN.requests_per_second / LONG_RUN.routers
ANSWER_SECONDS = 2.0
_UNLIMITED = KvLimits(1e9, 1e9)
"""What the fleet asks for is counted, whether or not the service would take it."""


class JournalCost(msgspec.Struct, frozen=True):
    """One fleet: commits a second of all routers, and the seconds that a begin waited."""

    routers: int
    commits_per_second: float
    entries_per_commit: float
    bytes_per_commit: float
    mean_wait_seconds: float
    p95_wait_seconds: float


def measure() -> list[JournalCost]:
    """Run each fleet."""
    with ProcessPoolExecutor(MAX_PROCESSES) as pool:
        return list(pool.map(cost_of, FLEETS))


def cost_of(routers: int) -> JournalCost:
    """Run one fleet."""
    return run_virtual(_Fleet(routers).play())


@dataclass(slots=True)
class _Fleet:
    """The journals of all routers on one service."""

    routers: int
    waits: list[float] = field(default_factory=list)
    entries: int = 0
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def play(self) -> JournalCost:
        """Run all journals and count."""
        clock = VirtualClock()
        kv = _SizingKv(FakeKv(clock, limits=_UNLIMITED))
        writers = [self._writer(number, kv, clock) for number in range(self.routers)]
        for writer in writers:
            await writer.start()
            self._spawn(self._send_forever(writer, clock, random.Random(writer.incarnation)))
        await clock.sleep(WARM_UP_SECONDS)
        self.waits.clear()
        self.entries = 0
        commits = sum(writer.commits for writer in writers)
        sent = kv.bytes
        await clock.sleep(MEASURED_SECONDS)
        commits = sum(writer.commits for writer in writers) - commits
        cost = JournalCost(
            self.routers,
            round(commits / MEASURED_SECONDS, 1),
            round(self.entries / commits, 2),
            round((kv.bytes - sent) / commits),
            round(sum(self.waits) / len(self.waits), 4),
            round(sorted(self.waits)[int(0.95 * len(self.waits))], 4),
        )
        for task in list(self.tasks):
            task.cancel()
        for writer in writers:
            await writer.stop()
        return cost

    def _writer(self, number: int, kv: "_SizingKv", clock: VirtualClock) -> JournalWriter:
        """Return the journal of one router."""
        name = IncarnationId(f"vm-{number:04d}-{number:08x}")
        rng = random.Random(number)
        members = self.routers
        settings = JournalSettings()
        return JournalWriter(name, kv, clock, rng, settings, lambda: None, lambda: members)

    async def _send_forever(
        self, writer: JournalWriter, clock: VirtualClock, rng: random.Random
    ) -> None:
        """Begin requests at random times."""
        number = 0
        while True:
            await clock.sleep(rng.expovariate(REQUESTS_PER_ROUTER))
            number += 1
            self._spawn(self._request(writer, clock, number))

    async def _request(self, writer: JournalWriter, clock: VirtualClock, number: int) -> None:
        """Record one request's begin and, after its answer, its settlement."""
        workspace = WorkspaceId(f"workspace-{number % 90:06d}")
        request = RequestId(f"{number:08x}-0000-4000-8000-{number:012x}")
        began_at = clock.monotonic()
        await writer.append(Begin(workspace, request, 1, UpstreamId("engine-0001"), 700)).committed
        self.waits.append(clock.monotonic() - began_at)
        self.entries += 1
        await clock.sleep(ANSWER_SECONDS)
        await writer.append(Settle(workspace, request, 540, True, writer.incarnation)).committed
        self.entries += 1

    def _spawn(self, work: object) -> None:
        """Run a task until the end of the measurement."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


class _SizingKv:
    """Passes writes on and counts their bytes."""

    def __init__(self, inner: FakeKv) -> None:
        self._inner = inner
        self.bytes = 0
        self.get = inner.get

    async def put_if(self, key: str, value: bytes, expected_version: int) -> object:
        """Write a key, and forget the service's history, which nobody watches here."""
        self.bytes += len(key) + len(value)
        return await self._inner.put_if(key, value, expected_version)
