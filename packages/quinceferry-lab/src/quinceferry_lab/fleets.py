"""A fleet of real router applications on virtual time, among stand-ins and a fake network."""

import asyncio
from dataclasses import dataclass
from random import Random

from quinceferry_core.models import (
    ModelRef,
    UpstreamId,
    VmId,
    VmRecord,
    WorkspaceId,
)
from quinceferry_lab.gates import in_network
from quinceferry_lab.histories import GracefulStop, History, Note, RevisionSeen, SpendSample
from quinceferry_lab.network import Network
from quinceferry_lab.processes import RouterProcess
from quinceferry_lab.virtual_time import VirtualClock
from quinceferry_standins.engine import FakeEngine
from quinceferry_standins.engine_settings import EngineSettings
from quinceferry_standins.kv import FakeKv
from quinceferry_standins.service import FakeService
from quinceferry_standins.upstreams import FakeUpstreams
from quinceferry_standins.vms import FakeVmList
from quinceferryd.settings import PlatformSettings, RouterSettings, Settings

ZONES = ("zone-a", "zone-b", "zone-c")
MODEL = ModelRef("ledger")
SERVICE = "postings"
WORKSPACES = (WorkspaceId("choir"), WorkspaceId("haulier"))
VM_LIST_LAG_SECONDS = 15.0
SAMPLE_SECONDS = 0.25
UPSTREAM_LATENCY_SECONDS = 0.001


@dataclass(slots=True, frozen=True)
class FleetPlan:
    """Sizes of a fleet; every other engine checks fencing numbers."""

    routers: int = 5
    engines: int = 4
    services: int = 2


class Fleet:
    """Routers by VM name, and everything around them.

    :param rng: source of all randomness.
    """

    def __init__(self, rng: Random, history: History, plan: FleetPlan | None = None) -> None:
        plan = plan or FleetPlan()
        self.history = history
        self.clock = VirtualClock()
        self.kv = FakeKv(self.clock, _child(rng))
        self.network = Network(self.clock, _child(rng), self._note_error)
        self.engines_by_id = {
            name: FakeEngine(self.clock, name, _engine_settings(position), _child(rng))
            for position, name in enumerate(_names("engine", plan.engines))
        }
        self.services_by_id = {
            name: FakeService(self.clock, name, call_seconds=0.2)
            for name in _names("service", plan.services)
        }
        self.zones_by_vm = {
            VmId(f"router-{number}"): ZONES[number % len(ZONES)] for number in range(plan.routers)
        }
        self.processes_by_vm: dict[VmId, RouterProcess] = {}
        self.former: list[RouterProcess] = []
        self.links_by_vm: dict[VmId, FakeUpstreams] = {}
        records = [VmRecord(vm, zone) for vm, zone in self.zones_by_vm.items()]
        self.vms = FakeVmList(self.clock, VM_LIST_LAG_SECONDS, records)
        self._rng = rng
        self._boots = 0
        self._drains: list[asyncio.Task[None]] = []

    @property
    def upstreams_by_id(self) -> dict[UpstreamId, FakeEngine | FakeService]:
        """Return all engines and services."""
        return {**self.engines_by_id, **self.services_by_id}

    def zone_of_upstream(self, upstream: UpstreamId) -> str:
        """Return the zone that an upstream is in."""
        return ZONES[list(self.upstreams_by_id).index(upstream) % len(ZONES)]

    def boot_all(self) -> None:
        """Start a process on every VM."""
        for vm in self.zones_by_vm:
            self.boot(vm)

    def boot(self, vm: VmId) -> RouterProcess:
        """Start a process on a VM; an earlier one must have ended."""
        earlier = self.processes_by_vm.get(vm)
        if earlier is not None:
            self.former.append(earlier)
        self._boots += 1
        process = RouterProcess(
            f"{vm}#{self._boots}",
            _settings(vm, self.zones_by_vm[vm]),
            self.clock,
            self.kv,
            self.vms,
            self.links(vm),
            self.network,
            _child(self._rng),
            self.history,
        )
        self.processes_by_vm[vm] = process
        process.start()
        self._drains.append(in_network(self._stop_when_ordered(process), "drain"))
        self.note(f"{process.label} starts")
        return process

    def add_vm(self, zone: str) -> VmId:
        """Create a VM without a process."""
        vm = VmId(f"router-{len(self.zones_by_vm)}")
        self.zones_by_vm[vm] = zone
        self.vms.add(VmRecord(vm, zone))
        return vm

    def links(self, vm: VmId) -> FakeUpstreams:
        """Return the connections of a VM to the upstreams."""
        if vm not in self.links_by_vm:
            links = FakeUpstreams(self.clock, self.upstreams_by_id)
            for upstream in self.upstreams_by_id:
                links.link(upstream).latency_seconds = UPSTREAM_LATENCY_SECONDS
            self.links_by_vm[vm] = links
        return self.links_by_vm[vm]

    def live(self) -> list[RouterProcess]:
        """Return the processes that exist."""
        return [process for process in self.processes_by_vm.values() if process.alive]

    def addresses(self) -> list[str]:
        """Return the addresses that callers know from their settings."""
        return [process.address for process in self.processes_by_vm.values()]

    async def stop(self, process: RouterProcess) -> None:
        """Stop a process gracefully and record it."""
        stop = GracefulStop(process.label, self.clock.monotonic())
        self.history.stops.append(stop)
        self.note(f"{process.label} is asked to stop")
        await process.stop()
        stop.ended_at = self.clock.monotonic()
        self.note(f"{process.label} has stopped")

    def disturb(self, process: RouterProcess) -> None:
        """Record that a fault hit a process itself, so that its stop is no planned one."""
        for stop in self.history.stops:
            if stop.router == process.label:
                stop.disturbed = True

    def note(self, text: str) -> None:
        """Record a circumstance."""
        self.history.notes.append(Note(self.clock.monotonic(), text))

    async def sample_forever(self) -> None:
        """Record again and again what was used and which revisions are applied."""
        while True:
            self.sample()
            await self.clock.sleep(SAMPLE_SECONDS)

    def sample(self) -> None:
        """Record what was used and which revisions are applied."""
        now = self.clock.monotonic()
        used_by_workspace = dict.fromkeys(WORKSPACES, 0)
        for engine in self.engines_by_id.values():
            for run in engine.runs:
                used_by_workspace[run.workspace] += run.used_tokens
        for workspace, tokens in used_by_workspace.items():
            self.history.samples.append(SpendSample(workspace, tokens, now))
        for process in self.live():
            revision = process.application.blackboard.configuration.revision
            seen = RevisionSeen(process.label, revision, process.serving, now)
            self.history.revisions.append(seen)

    def collect_runs(self) -> None:
        """Record what the upstreams ran."""
        self.history.runs = [
            run for upstream in self.upstreams_by_id.values() for run in upstream.runs
        ]

    def discard(self) -> None:
        """Let all processes be cancelled at the end of a run."""
        for task in self._drains:
            task.cancel()
        for process in (*self.former, *self.processes_by_vm.values()):
            process.gate.discard()

    async def _stop_when_ordered(self, process: RouterProcess) -> None:
        """Stop a process as its daemon does when an operator has ordered it."""
        await process.application.shutdown.stop_requested.wait()
        if not process.stopping:
            await self.stop(process)

    def _note_error(self, label: str, error: Exception) -> None:
        """Record an error that a router raised while it served."""
        self.note(f"{label}: internal error: {error!r}")


def _child(rng: Random) -> Random:
    """Return a generator of its own, seeded by another."""
    return Random(rng.getrandbits(64))


def _names(kind: str, count: int) -> list[UpstreamId]:
    """Return the names of upstreams of a kind."""
    return [UpstreamId(f"{kind}-{number}") for number in range(count)]


def _engine_settings(position: int) -> EngineSettings:
    """Return the settings of an engine; small, so that queues form."""
    return EngineSettings(
        models=(MODEL,),
        checks_fencing=position % 2 == 0,
        slots=6,
        max_waiting=16,
        step_seconds=0.05,
        tokens_per_step=2,
        prefill_seconds_per_token=0.002,
    )


def _settings(vm: VmId, zone: str) -> Settings:
    """Return the settings of one router."""
    number = int(vm.rpartition("-")[2])
    host = f"10.0.{ZONES.index(zone)}.{number + 1}"
    return Settings(
        RouterSettings(vm, zone, host, 8080, "fleet secret", "operator key"),
        PlatformSettings("http://10.0.9.1", "http://10.0.9.2"),
    )
