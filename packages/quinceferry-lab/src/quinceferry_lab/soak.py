"""Soak of gateways as real processes: stops, kills, reloads and configurations in series.

All that happens is drawn from a seed, but real processes take other steps each time.
"""

import asyncio
import json
import random
import signal
import tempfile
import time
from collections import Counter, defaultdict, deque
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import asdict, dataclass, field
from pathlib import Path

import click

from quinceferry_gateway import HttpClient, HttpListener
from quinceferry_gateway.budgets import BudgetRecord, WorkspaceBudget
from quinceferry_gateway.shared_budgets import BUDGET_KEY
from quinceferry_lab.gateway_processes import (
    GatewayProcess,
    StopRecord,
    create_gateways,
    free_port,
)
from quinceferry_lab.soak_callers import (
    HOST,
    KEY,
    LIMIT_SECONDS_BY_KIND,
    TOKENS_PER_EVENT,
    Caller,
    Kind,
    Try,
)
from quinceferry_lab.soak_checks import (
    RECOVERY_SECONDS,
    Outage,
    Soaked,
    TokenCounts,
    find_faults,
)
from quinceferry_standins.managed_store import ManagedStore
from quinceferry_standins.managed_upstream import REQUEST_ID, Answered, ManagedUpstream, Streaming

GRACE_SECONDS = 8.0
CALLERS_PER_GATEWAY = 16
UPSTREAMS_PER_SERVICE = 3
SCRIPT_LENGTH = 20_000
EVENT_PAUSE_SECONDS = 0.25
MAX_EVENTS = 36
"""Longest stream; it takes longer than callers and a planned stop give to it."""
MAX_ANSWER_SECONDS = 0.5
WARM_UP_SECONDS = 2.0
"""Time for gateways to learn of each other and to draw tokens."""
RESTART_SECONDS = 0.2
SLICE_SECONDS = 0.1
ZONES = 3
WORKSPACE = "choir"


@dataclass(slots=True, frozen=True)
class Starvation:
    """How the processes are kept from running: ``run`` and ``stall`` are bounds in seconds."""

    name: str
    run: tuple[float, float] = (0.0, 0.0)
    stall: tuple[float, float] = (0.0, 0.0)


STARVATIONS = (
    Starvation("none"),
    Starvation("slices", (0.15 * SLICE_SECONDS,) * 2, (0.85 * SLICE_SECONDS,) * 2),
    Starvation("stalls", (0.4, 0.8), (0.6, 1.2)),
)


@dataclass(slots=True, frozen=True)
class Finale:
    """Kills of all gateways at once after the other disturbances; callers go on until the end.

    :param kills: how often all are killed.
    :param down_seconds: time until they are started again.
    :param interval_seconds: time between two kills.
    :param observed_seconds: how long callers go on once service must have recovered.
    """

    kills: int = 1
    down_seconds: float = 1.2
    interval_seconds: float = 4.0
    observed_seconds: float = 12.0


@dataclass(slots=True)
class Soak:
    """One soak.

    :param seconds: how long callers send requests and disturbances begin.
    :param finale: how all gateways are killed at the end; None: they aren't.
    """

    rng: random.Random
    gateways: list[GatewayProcess]
    store: ManagedStore
    upstreams: list[ManagedUpstream]
    starvation: Starvation
    seconds: float
    prepaid_tokens: int
    finale: Finale | None = None
    http: HttpClient = field(default_factory=HttpClient)
    stops: list[StopRecord] = field(default_factory=list)
    kills_by_vm: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    callers: list[Caller] = field(default_factory=list)
    outage: Outage | None = None
    _busy_vms: set[str] = field(default_factory=set)
    _may_start: asyncio.Event = field(default_factory=asyncio.Event)

    async def run(self) -> Soaked:
        """Play everything and return what was seen."""
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready(self.http)
        await asyncio.sleep(WARM_UP_SECONDS)
        self._may_start.set()
        ends_at = time.monotonic() + self.seconds
        callers_end = asyncio.Event()
        directories = [gateway.address("directory") for gateway in self.gateways]
        self.callers = [
            Caller(f"caller-{number}", directories, self.http, random.Random(self.rng.random()))
            for number in range(CALLERS_PER_GATEWAY * len(self.gateways))
        ]
        starving = [asyncio.create_task(self._starve(item)) for item in self.gateways]
        async with asyncio.TaskGroup() as group:
            for caller in self.callers:
                group.create_task(caller.run(callers_end))
            for play in (self._stop_in_series, self._kill, self._reload, self._configure):
                group.create_task(self._repeat(play, ends_at))
            await asyncio.sleep(self.seconds)
            if self.finale is not None:
                await self._kill_all(self.finale)
            callers_end.set()
        for task in starving:
            task.cancel()
        await asyncio.gather(*starving, return_exceptions=True)
        return self._soaked()

    async def _repeat(
        self, play: Callable[[asyncio.TaskGroup], Awaitable[None]], ends_at: float
    ) -> None:
        """Repeat a disturbance until a time; what it began may end later."""
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < ends_at:
                await play(group)

    async def _stop_in_series(self, group: asyncio.TaskGroup) -> None:
        """Stop a share of the gateways one after the other, and start each again."""
        await asyncio.sleep(self.rng.uniform(0.0, 3.0))
        count = self.rng.randint(1, max(1, len(self.gateways) * 2 // 3))
        gap_seconds = self.rng.uniform(0.0, 1.5)
        for gateway in self.rng.sample(self.gateways, count):
            if gateway.vm not in self._busy_vms:
                self._busy_vms.add(gateway.vm)
                group.create_task(self._replace(gateway, planned=True))
            await asyncio.sleep(gap_seconds)

    async def _kill(self, group: asyncio.TaskGroup) -> None:
        """Kill one gateway and start it again."""
        await asyncio.sleep(self.rng.uniform(4.0, 12.0))
        gateway = self.rng.choice(self.gateways)
        if gateway.vm not in self._busy_vms:
            self._busy_vms.add(gateway.vm)
            group.create_task(self._replace(gateway, planned=False))

    async def _kill_all(self, finale: Finale) -> None:
        """Kill all gateways at once, start them again, and wait until callers have seen enough."""
        killed_at = 0.0
        for number in range(finale.kills):
            if number:
                await asyncio.sleep(finale.interval_seconds - finale.down_seconds)
            killed_at = time.monotonic()
            await self._kill_all_once(finale.down_seconds)
        self.outage = Outage(killed_at, time.monotonic())
        await asyncio.sleep(RECOVERY_SECONDS + finale.observed_seconds)

    async def _kill_all_once(self, down_seconds: float) -> None:
        """Kill all gateways at once, and start them again together."""
        self._may_start.clear()
        idle = [gateway for gateway in self.gateways if gateway.vm not in self._busy_vms]
        self._busy_vms |= {gateway.vm for gateway in idle}
        for gateway in self.gateways:
            self.kills_by_vm[gateway.vm].append(time.monotonic())
            gateway.send(signal.SIGKILL)
        await asyncio.sleep(down_seconds)
        self._may_start.set()
        for gateway in idle:
            await gateway.kill()
            await gateway.start()
            self._busy_vms.discard(gateway.vm)

    async def _reload(self, group: asyncio.TaskGroup) -> None:
        """Send SIGHUP to one gateway."""
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        self.rng.choice(self.gateways).send(signal.SIGHUP)

    async def _configure(self, group: asyncio.TaskGroup) -> None:
        """Put a new version of the configuration in force."""
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        version = json.loads(self.store.value("op/config"))["version"] + 1
        await self.store.put("op/config", configuration(version, self.prepaid_tokens))

    async def _replace(self, gateway: GatewayProcess, planned: bool) -> None:
        """End a gateway, and start it again."""
        if planned:
            record = StopRecord(gateway.vm, 0.0)
            self.stops.append(record)
            await gateway.stop(record)
        else:
            self.kills_by_vm[gateway.vm].append(time.monotonic())
            await gateway.kill()
        await asyncio.sleep(RESTART_SECONDS)
        await self._may_start.wait()
        await gateway.start()
        self._busy_vms.discard(gateway.vm)

    async def _starve(self, gateway: GatewayProcess) -> None:
        """Keep a gateway from running now and then, as the starvation says."""
        while self.starvation.stall[1]:
            await asyncio.sleep(self.rng.uniform(*self.starvation.run))
            await gateway.stall(self.rng.uniform(*self.starvation.stall))

    def _soaked(self) -> Soaked:
        """Return what callers and upstreams saw."""
        return Soaked(
            self._all_tries(),
            [seen.headers[REQUEST_ID].decode() for item in self.upstreams for seen in item.seen],
            self.stops,
            {gateway.address("callers"): gateway.vm for gateway in self.gateways},
            self.kills_by_vm,
            GRACE_SECONDS,
            self.prepaid_tokens,
            self._count_tokens(),
            self.outage,
        )

    def _count_tokens(self) -> TokenCounts:
        """Return where the tokens of the callers' workspace are."""
        record = BudgetRecord.decode(self.store.value(BUDGET_KEY))
        budget = record.budgets_by_workspace.get(WORKSPACE, WorkspaceBudget())
        delivered = sum(item.tokens for item in self._all_tries())
        return TokenCounts(
            delivered, budget.spent, budget.outstanding, budget.undrawn(self.prepaid_tokens)
        )

    def _all_tries(self) -> list[Try]:
        """Return all requests of all callers."""
        return [item for caller in self.callers for item in caller.tries]


def configuration(version: int, prepaid_tokens: int) -> bytes:
    """Return the operators' document."""
    common = {"host": HOST, "slo_ms": 800, "attempts": 1}
    routes = [
        common
        | {"name": kind.value, "prefix": f"/{kind.value}/"}
        | {"kind": kind.name.lower(), "service": "llm" if kind is Kind.STREAM else "app"}
        | {"timeout_ms": int(LIMIT_SECONDS_BY_KIND[kind] * 1000)}
        for kind in Kind
    ]
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": [{"name": "app"}, {"name": "llm", "engine": {"stride": TOKENS_PER_EVENT}}],
            "tenants": [{"name": WORKSPACE, "api_keys": [KEY], "prepaid": prepaid_tokens}],
        }
    ).encode()


def _create_upstreams(rng: random.Random) -> list[ManagedUpstream]:
    """Return upstreams whose answers take times drawn at random."""
    streams = [
        Streaming(rng.randint(1, MAX_EVENTS), pause_seconds=EVENT_PAUSE_SECONDS)
        for _ in range(SCRIPT_LENGTH)
    ]
    answers = [
        Answered(delay_seconds=rng.uniform(0.0, MAX_ANSWER_SECONDS)) for _ in range(SCRIPT_LENGTH)
    ]
    scripts_by_service = {"app": answers, "llm": streams}
    return [
        ManagedUpstream(f"{service}-{number}", deque(rng.sample(script, len(script))))
        for service, script in scripts_by_service.items()
        for number in range(UPSTREAMS_PER_SERVICE)
    ]


async def play(
    seed: int,
    gateways: int,
    seconds: float,
    starvation: Starvation,
    folder: Path,
    finale: Finale | None = None,
    prepaid_tokens: int = 0,
) -> Soaked:
    """Play one soak and return what was seen; the logs of the gateways are in a folder.

    :param prepaid_tokens: budget of the callers' workspace, drawn from the seed if it is 0.
    """
    rng = random.Random(seed)
    store = ManagedStore()
    drawn_tokens = rng.choice((30_000, 3_000_000))
    prepaid_tokens = prepaid_tokens or drawn_tokens
    async with AsyncExitStack() as stack:
        store_address = f"127.0.0.1:{free_port()}"
        listener = HttpListener(store, store_address, 5.0)
        await listener.start()
        stack.push_async_callback(listener.stop)
        await store.put("op/config", configuration(1, prepaid_tokens))
        upstreams = _create_upstreams(rng)
        for upstream in upstreams:
            await upstream.start()
            stack.push_async_callback(upstream.stop)
            service = upstream.id.partition("-")[0]
            await store.register_upstream(upstream, service, zone="zone-0")
        processes = create_gateways(stack, gateways, ZONES, store_address, folder, GRACE_SECONDS)
        soak = Soak(rng, processes, store, upstreams, starvation, seconds, prepaid_tokens, finale)
        return await soak.run()


def summarize(soaked: Soaked, faults: list[str]) -> dict[str, object]:
    """Return the figures of a soak."""
    whole = [item for item in soaked.tries if item.whole]
    statuses = Counter(str(item.status) for item in whole)
    cut = [item for item in soaked.tries if not item.whole and item.connected]
    return {
        "tries": len(soaked.tries),
        "statuses": dict(statuses),
        "cut": len(cut),
        "not_connected": sum(not item.connected for item in soaked.tries),
        "stops": len(soaked.stops),
        "killed_in_stops": sum(stop.killed for stop in soaked.stops),
        "kills": sum(len(times) for times in soaked.kills_by_vm.values()),
        "tokens": asdict(soaked.tokens),
        "served_after_return": soaked.served_after_return,
        "faults": faults,
    }


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--seeds", default=1, help="Number of seeds, played one after the other.")
@click.option("--gateways", default=6)
@click.option("--seconds", default=24.0, help="How long each seed is played.")
@click.option(
    "--starvation",
    type=click.Choice([item.name for item in STARVATIONS]),
    help="How processes are kept from running; by the seed if it is not given.",
)
@click.option("--kills", default=1, help="How often all gateways are killed at once at the end.")
@click.option("--prepaid", default=0, help="Prepaid tokens; by the seed if it is not given.")
@click.option(
    "--keep", type=click.Path(path_type=Path), help="Folder for the logs of the gateways."
)
def main(
    seed: int,
    seeds: int,
    gateways: int,
    seconds: float,
    starvation: str | None,
    kills: int,
    prepaid: int,
    keep: Path | None,
) -> None:
    """Play soaks, print a line of JSON for each, and exit with 1 if a promise was broken."""
    broken = False
    for number in range(seed, seed + seeds):
        chosen = STARVATIONS[number % len(STARVATIONS)]
        if starvation is not None:
            chosen = next(item for item in STARVATIONS if item.name == starvation)
        with tempfile.TemporaryDirectory() as folder:
            logs = keep / str(number) if keep else Path(folder)
            logs.mkdir(parents=True, exist_ok=True)
            finale = Finale(kills) if kills else None
            soaked = asyncio.run(play(number, gateways, seconds, chosen, logs, finale, prepaid))
        faults = find_faults(soaked)
        broken |= bool(faults)
        click.echo(
            json.dumps({"seed": number, "starvation": chosen.name} | summarize(soaked, faults))
        )
    raise SystemExit(1 if broken else 0)


if __name__ == "__main__":
    main()
