"""Measures what membership, configuration and orders cost in calls of the key-value service.

Fleets of several sizes run on virtual time against the stand-in with its rate limits in force. The
figures are counts and virtual seconds, so they do not depend on the machine.
"""

import logging
from collections import Counter
from dataclasses import dataclass
from random import Random

import click
import msgspec
import structlog

from quinceferry_core.adapters import KvEntry, LoadReport, WatchBatch
from quinceferry_core.changes import PutUpstream, PutWorkspace
from quinceferry_core.demand import DemandMeter
from quinceferry_core.membership import MemberState
from quinceferry_core.models import UpstreamSpec, VmId, VmRecord, WorkspaceSpec
from quinceferry_lab.virtual_time import VirtualClock, run_virtual
from quinceferry_standins.kv import FakeKv, FakeKvConnection
from quinceferry_standins.vms import FakeVmList
from quinceferryd.blackboard import Blackboard, Identity, RouterState
from quinceferryd.configuration import ConfigurationController
from quinceferryd.membership import MembershipController
from quinceferryd.orders import OrderController
from quinceferryd.settings import MembershipSettings, PlatformSettings
from quinceferryd.vms import VmListController

DEFAULT_SIZES = (9, 36, 100, 400)
IDLE_SECONDS = 60.0
SETTLE_SECONDS = 60.0
MAX_WAIT_SECONDS = 300.0
CHECK_SECONDS = 0.05
ENGINES_PER_ROUTER = 1.5
MAX_ENGINES = 48
"""Bound of the engines, whose registration alone would take most of the time of a large run."""
ZONES_BY_SIZE = {9: 3, 36: 3}
DEFAULT_ZONES = 6
WATCH = "watch"
READS = ("get", "list", WATCH)


class CountingKv:
    """Passes calls on and counts the bytes of values sent and received.

    :param inner: connection of one router.
    """

    def __init__(self, inner: FakeKvConnection) -> None:
        self._inner = inner
        self.bytes = 0
        self.grant_lease = inner.grant_lease
        self.keep_alive = inner.keep_alive
        self.revoke_lease = inner.revoke_lease
        self.delete_if = inner.delete_if

    async def get(self, key: str) -> KvEntry | None:
        """Read one key."""
        entry = await self._inner.get(key)
        self._count(entry)
        return entry

    async def list(self, prefix: str) -> list[KvEntry]:
        """Read all keys that begin with the prefix."""
        entries = await self._inner.list(prefix)
        for entry in entries:
            self._count(entry)
        return entries

    async def put_if(
        self, key: str, value: bytes, expected_version: int, lease: str = ""
    ) -> KvEntry:
        """Write a key by compare-and-swap."""
        self.bytes += len(key) + len(value)
        return await self._inner.put_if(key, value, expected_version, lease)

    async def watch(self, prefix: str, cursor: int, timeout_seconds: float) -> WatchBatch:
        """Wait for changes below a prefix."""
        batch = await self._inner.watch(prefix, cursor, timeout_seconds)
        for event in batch.events:
            self._count(event.entry)
        return batch

    def _count(self, entry: KvEntry | None) -> None:
        if entry is not None:
            self.bytes += len(entry.key) + len(entry.value)


class StillEngines:
    """Engines that have nothing loaded and nothing to do."""

    async def load(self, upstream: UpstreamSpec) -> LoadReport:
        """Return an idle report."""
        return LoadReport(0, 0, 0, 16)


class MeasuredRouter:
    """The parts of one router that this module measures."""

    def __init__(self, number: int, zone: str, clock: VirtualClock, kv: FakeKv, vms: FakeVmList):
        vm = VmId(f"vm-{number:04d}")
        rng = Random(number)
        self.blackboard = Blackboard(Identity(vm, zone, f"10.0.{number // 250}.{number % 250}:80"))
        self.kv = CountingKv(kv.connect(vm))
        interval = PlatformSettings("", "").vm_list_interval_seconds
        shared = (self.blackboard, self.kv, clock, rng)
        self.vms = VmListController(self.blackboard, vms.connect(vm), clock, rng, interval)
        self.membership = MembershipController(*shared, MembershipSettings())
        self.configuration = ConfigurationController(*shared, self.membership, self.vms)
        self.orders = OrderController(
            *shared, self.membership, StillEngines(), DemandMeter(clock)  # type: ignore[arg-type]
        )
        vms.add(VmRecord(vm, zone))

    async def start(self) -> None:
        """Start all parts."""
        for part in (self.vms, self.membership, self.configuration, self.orders):
            await part.start()

    async def stop(self) -> None:
        """Stop all parts at once."""
        for part in (self.orders, self.configuration, self.membership, self.vms):
            await part.stop()


@dataclass(slots=True)
class Phase:
    """What one phase cost."""

    name: str
    routers: int
    seconds: float
    reads: int
    writes: int
    rejected: int
    bytes_per_router: float
    calls_by_kind: dict[str, int]


class Bench:
    """One fleet of a given size."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.clock = VirtualClock()
        self.kv = FakeKv(self.clock, Random(1))
        self.vms = FakeVmList(self.clock)
        zones = ZONES_BY_SIZE.get(size, DEFAULT_ZONES)
        self.zones = [f"zone-{number}" for number in range(zones)]
        self._connections: list[CountingKv] = []
        self.routers = [self._router(number) for number in range(size)]

    async def run(self) -> list[Phase]:
        """Measure all phases."""
        phases = [await self._measure("cold start", self._start)]
        await self._register_engines()
        await self.clock.sleep(SETTLE_SECONDS)
        phases.append(await self._measure("idle", self._idle))
        phases.append(await self._measure("change until applied", self._change))
        phases.append(await self._measure("change until accepted", self._await_acceptance))
        phases.append(await self._measure("one router leaves", self._leave))
        phases.append(await self._measure("one router joins", self._join))
        for router in self.routers:
            await router.stop()
        return phases

    def _router(self, number: int) -> MeasuredRouter:
        zone = self.zones[number % len(self.zones)]
        router = MeasuredRouter(number, zone, self.clock, self.kv, self.vms)
        self._connections.append(router.kv)
        return router

    async def _measure(self, name, work) -> Phase:  # type: ignore[no-untyped-def]
        calls = self.kv.total_calls_by_kind.copy()
        rejected = self.kv.rejected_calls
        sent = sum(connection.bytes for connection in self._connections)
        began_at = self.clock.monotonic()
        await work()
        made = self.kv.total_calls_by_kind - calls
        reads = sum(count for kind, count in made.items() if kind.verb in READS)
        by_kind: Counter[str] = Counter()
        for kind, count in made.items():
            by_kind[f"{kind.purpose} {kind.verb}"] += count
        moved = sum(connection.bytes for connection in self._connections) - sent
        return Phase(
            name,
            self.size,
            self.clock.monotonic() - began_at,
            reads,
            sum(made.values()) - reads,
            self.kv.rejected_calls - rejected,
            moved / self.size,
            dict(by_kind.most_common()),
        )

    async def _start(self) -> None:
        for router in self.routers:
            await router.start()
        await self._until(lambda: all(self._is_serving(router) for router in self.routers))

    async def _register_engines(self) -> None:
        for number in range(min(MAX_ENGINES, int(self.size * ENGINES_PER_ROUTER))):
            zone = self.zones[number % len(self.zones)]
            spec = UpstreamSpec(f"engine-{number}", f"http://10.1.0.{number}", zone)  # type: ignore[arg-type]
            await self._propose(PutUpstream(spec))

    async def _idle(self) -> None:
        await self.clock.sleep(IDLE_SECONDS)

    async def _change(self) -> None:
        await self._propose(PutWorkspace(WorkspaceSpec("choir")))  # type: ignore[arg-type]
        revision = self.routers[0].blackboard.configuration.revision
        await self._until(
            lambda: all(r.blackboard.configuration.revision >= revision for r in self.routers)
        )

    async def _await_acceptance(self) -> None:
        revision = self.routers[0].blackboard.configuration.revision
        await self._until(lambda: self.routers[0].blackboard.accepted_revision >= revision)

    async def _leave(self) -> None:
        router = self.routers.pop()
        await router.membership.update_member(state=MemberState.STOPPING)
        await router.membership.leave()
        await router.stop()
        incarnation = router.blackboard.identity.incarnation
        await self._until(
            lambda: not any(
                incarnation in other.blackboard.members_by_incarnation for other in self.routers
            )
        )

    async def _join(self) -> None:
        router = self._router(self.size)
        self.routers.append(router)
        await router.start()
        await self._until(
            lambda: all(
                len(other.blackboard.members_by_incarnation) == self.size for other in self.routers
            )
        )

    async def _propose(self, change: PutUpstream | PutWorkspace) -> None:
        configuration = self.routers[0].configuration
        revision = self.routers[0].blackboard.configuration.revision
        result = await configuration.propose(change, revision, f"op-{revision}", "")  # type: ignore[arg-type]
        result.unwrap()

    async def _until(self, is_reached) -> None:  # type: ignore[no-untyped-def]
        ends_at = self.clock.monotonic() + MAX_WAIT_SECONDS
        while not is_reached():
            if self.clock.monotonic() >= ends_at:
                raise TimeoutError(f"not reached within {MAX_WAIT_SECONDS} s")
            await self.clock.sleep(CHECK_SECONDS)

    def _is_serving(self, router: MeasuredRouter) -> bool:
        return router.blackboard.state is RouterState.SERVING


@click.command()
@click.argument("sizes", nargs=-1, type=int)
def main(sizes: tuple[int, ...]) -> None:
    """Print the cost of each phase for each fleet size, the last line of each as JSON."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    for size in sizes or DEFAULT_SIZES:
        phases = run_virtual(_run(size))
        for phase in phases:
            _print(phase)
        click.echo(msgspec.json.encode(phases).decode())


async def _run(size: int) -> list[Phase]:
    return await Bench(size).run()


def _print(phase: Phase) -> None:
    seconds = max(phase.seconds, CHECK_SECONDS)
    click.echo(
        f"{phase.routers:4d} routers  {phase.name:22s} {phase.seconds:7.2f} s  "
        f"{phase.reads:6d} reads {phase.writes:6d} writes {phase.rejected:5d} rejected  "
        f"{phase.reads / seconds:7.1f} reads/s {phase.writes / seconds:6.1f} writes/s  "
        f"{phase.bytes_per_router / seconds:8.0f} B/s each"
    )


if __name__ == "__main__":
    main()
