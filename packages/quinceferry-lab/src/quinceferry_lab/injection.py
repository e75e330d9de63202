"""Puts faults into force in a running fleet, and takes them back."""

import asyncio
from random import Random

from quinceferry_core.adapters import Dispatch
from quinceferry_core.models import RequestKind, UpstreamId, VmId
from quinceferry_lab.fault_schedules import ScheduledFault
from quinceferry_lab.faults import (
    BreakRouterConnections,
    BreakStreams,
    CrashEngine,
    CutRouters,
    EngineLeaves,
    Fault,
    FlakyStreams,
    KillRouter,
    KvDown,
    KvSlow,
    LoseKvAnswers,
    PartitionZone,
    PauseRouter,
    RefuseKvWrites,
    SilencePeers,
    SilenceStreams,
    StopRouter,
    VmListDown,
)
from quinceferry_lab.fleets import WORKSPACES, Fleet
from quinceferry_lab.gates import GateState, PauseAtSend
from quinceferry_lab.histories import UpstreamLeft
from quinceferry_lab.operators import PLANS_BY_WORKSPACE, Operator
from quinceferry_lab.processes import RouterProcess
from quinceferry_standins.upstream_faults import (
    Break,
    Duplicate,
    Link,
    LoseRequest,
    RefuseConnection,
    Silence,
    Stall,
    StreamFault,
    Swap,
)

MAX_DRAIN_WAIT_SECONDS = 120.0


class Injector:
    """Carries out a schedule of faults.

    :param operator: grants tokens during partitions.
    :param rng: source of the faults of single connections.
    """

    def __init__(self, fleet: Fleet, operator: Operator, rng: Random) -> None:
        self._fleet = fleet
        self._clock = fleet.clock
        self._operator = operator
        self._rng = rng
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, schedule: list[ScheduledFault]) -> None:
        """Begin each fault at its time, and return when all are over."""
        start = self._clock.monotonic()
        for planned in schedule:
            await self._clock.sleep(max(0.0, start + planned.at - self._clock.monotonic()))
            self._fleet.note(f"fault: {planned.fault}")
            task = asyncio.create_task(self._inject(planned.fault))
            self._tasks.add(task)
        await asyncio.gather(*self._tasks)

    async def _inject(self, fault: Fault) -> None:
        """Put one fault into force, wait, and take it back."""
        match fault:
            case PartitionZone():
                await self._partition(fault)
            case CutRouters():
                await self._cut(fault)
            case KillRouter():
                await self._kill(fault)
            case PauseRouter():
                await self._pause(fault)
            case KvDown() | KvSlow() | LoseKvAnswers() | RefuseKvWrites():
                await self._disturb_kv(fault)
            case VmListDown(seconds=seconds):
                self._fleet.vms.outage = True
                await self._clock.sleep(seconds)
                self._fleet.vms.outage = False
            case StopRouter():
                await self._stop(fault)
            case CrashEngine() | EngineLeaves():
                await self._end_engine(fault)
            case _:
                await self._disturb_connections(fault)

    async def _partition(self, fault: PartitionZone) -> None:
        """Cut a zone off, with a top-up on the other side."""
        fleet = self._fleet
        inside = [vm for vm, zone in fleet.zones_by_vm.items() if zone == fault.zone]
        outside = [vm for vm in fleet.zones_by_vm if vm not in inside]
        pairs = [(one, other) for one in inside for other in outside]
        self._set_partition(pairs, inside, fault, cut=True)
        await self._clock.sleep(fault.seconds / 2)
        for workspace in WORKSPACES:
            tokens = PLANS_BY_WORKSPACE[workspace].top_up
            await self._operator.top_up(workspace, tokens, tuple(outside))
        await self._clock.sleep(fault.seconds / 2)
        self._set_partition(pairs, inside, fault, cut=False)
        fleet.note(f"{fault.zone} is reachable again")

    def _set_partition(
        self, pairs: list[tuple[VmId, VmId]], inside: list[VmId], fault: PartitionZone, *, cut: bool
    ) -> None:
        """Begin or end a partition."""
        fleet = self._fleet
        change = fleet.network.cut if cut else fleet.network.heal
        for one, other in pairs:
            change(one, other)
            change(other, one)
        for vm in inside:
            fleet.kv.connect(vm).faults.outage = cut
            for upstream in fleet.upstreams_by_id if fault.engines_too else ():
                if fleet.zone_of_upstream(upstream) != fault.zone:
                    link = fleet.links(vm).link(upstream)
                    link.partition() if cut else link.heal()

    async def _cut(self, fault: CutRouters) -> None:
        """Cut two routers off each other."""
        network = self._fleet.network
        network.cut(fault.source, fault.target)
        if fault.both_ways:
            network.cut(fault.target, fault.source)
        await self._clock.sleep(fault.seconds)
        network.heal(fault.source, fault.target)
        network.heal(fault.target, fault.source)

    async def _kill(self, fault: KillRouter) -> None:
        """Kill a router, then start another process or replace the VM."""
        fleet = self._fleet
        process = self._process(fault.vm)
        if process is None:
            return
        fleet.disturb(process)
        process.kill(fault.silent)
        fleet.note(f"{process.label} is killed")
        if fault.restart_seconds is not None:
            await self._clock.sleep(fault.restart_seconds)
            fleet.boot(fault.vm)
            return
        fleet.vms.remove(fault.vm)
        await self._clock.sleep(1.0)
        fleet.boot(fleet.add_vm(process.zone))

    async def _pause(self, fault: PauseRouter) -> None:
        """Pause a router now or at its next call of a kind."""
        process = self._process(fault.vm)
        if process is None:
            return
        self._fleet.disturb(process)
        if fault.at is not None:
            process.gate.pause_at_send = PauseAtSend(fault.at, fault.seconds)
            return
        process.gate.pause()
        await self._clock.sleep(fault.seconds)
        process.gate.resume()
        self._fleet.note(f"{process.label} resumes")

    async def _disturb_kv(self, fault: KvDown | KvSlow | LoseKvAnswers | RefuseKvWrites) -> None:
        """Disturb the key-value service; overlapping faults end together."""
        faults = self._fleet.kv.faults
        match fault:
            case KvDown():
                faults.outage = True
            case KvSlow(mean_seconds=mean):
                faults.extra_latency_seconds = mean
            case LoseKvAnswers(probability=probability, key_prefix=prefix):
                faults.lose_probability = probability
                faults.key_prefix = prefix
            case RefuseKvWrites(probability=probability):
                faults.refuse_probability = probability
        await self._clock.sleep(fault.seconds)
        faults.clear()
        self._fleet.note("the key-value service is in order")

    async def _stop(self, fault: StopRouter) -> None:
        """Stop a router gracefully and start another process after it."""
        process = self._process(fault.vm)
        if process is None or process.stopping:
            return
        if fault.by_operator:
            await self._operator.drain(process)
            await self._wait_for_end(process)
        else:
            await self._fleet.stop(process)
        await self._clock.sleep(fault.restart_seconds)
        if self._process(fault.vm) is None:
            self._fleet.boot(fault.vm)

    async def _wait_for_end(self, process: RouterProcess) -> None:
        """Wait for the end of a router that was ordered to stop; the order may have been lost."""
        try:
            async with asyncio.timeout(MAX_DRAIN_WAIT_SECONDS):
                await process.gate.ended.wait()
        except TimeoutError:
            self._fleet.note(f"{process.label} has not stopped")

    async def _end_engine(self, fault: CrashEngine | EngineLeaves) -> None:
        """Crash an engine and restart it, or let it leave for good."""
        engine = self._fleet.engines_by_id[fault.upstream]
        if isinstance(fault, CrashEngine):
            engine.crash()
            await self._clock.sleep(fault.seconds)
            if engine.leaving_since is None:
                engine.restart()
            return
        if engine.leaving_since is not None or self._is_last(fault.upstream):
            return
        engine.leave()
        left = UpstreamLeft(fault.upstream, self._clock.monotonic())
        self._fleet.history.departures.append(left)
        await self._clock.sleep(fault.seconds)
        engine.crash()

    def _is_last(self, upstream: UpstreamId) -> bool:
        """Tell whether few other engines would stay."""
        others = [
            engine
            for name, engine in self._fleet.engines_by_id.items()
            if name != upstream and engine.leaving_since is None
        ]
        return len(others) < 2

    async def _disturb_connections(self, fault: Fault) -> None:
        """Silence or break open connections."""
        fleet = self._fleet
        match fault:
            case SilenceStreams(vm=vm, upstream=upstream):
                for link in self._links(vm, upstream):
                    link.silence_open_streams()
            case BreakStreams(vm=vm, upstream=upstream):
                for link in self._links(vm, upstream):
                    link.break_open_streams()
            case FlakyStreams(upstream=upstream, share=share, seconds=seconds):
                for link in self._links(None, upstream):
                    link.draw_fault = lambda dispatch: self._draw_stream_fault(share, dispatch)
                await self._clock.sleep(seconds)
                for link in self._links(None, upstream):
                    link.draw_fault = None
            case BreakRouterConnections(vm=vm):
                fleet.network.break_connections(vm)
            case SilencePeers(source=source, target=target, seconds=seconds):
                fleet.network.silence(source, target)
                fleet.network.mute(source, target)
                await self._clock.sleep(seconds)
                fleet.network.unmute(source, target)

    def _links(self, vm: VmId | None, upstream: UpstreamId) -> list[Link]:
        """Return the links of one router or of all to an upstream."""
        vms = [vm] if vm is not None else list(self._fleet.zones_by_vm)
        return [self._fleet.links(one).link(upstream) for one in vms]

    def _draw_stream_fault(self, share: float, dispatch: Dispatch) -> StreamFault | None:
        """Draw the fault of one connection; the bytes of a plain service keep their order."""
        if self._rng.random() >= share:
            return None
        piece = self._rng.randrange(0, 8)
        faults: list[StreamFault] = [
            RefuseConnection(),
            LoseRequest(),
            Silence(piece),
            Stall(piece, self._rng.uniform(0.5, 15.0)),
            Break(piece),
        ]
        if dispatch.request.kind is not RequestKind.SERVICE:
            faults += [Duplicate(piece), Swap(piece)]
        return self._rng.choice(faults)

    def _process(self, vm: VmId) -> RouterProcess | None:
        """Return the live process of a VM."""
        process = self._fleet.processes_by_vm.get(vm)
        if process is None or process.gate.state not in (GateState.OPEN, GateState.PAUSED):
            return None
        return process
