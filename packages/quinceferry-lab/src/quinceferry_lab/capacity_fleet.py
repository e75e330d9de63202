"""Calls of the key-value service by purpose, for fleets of several sizes on virtual time.

Counts on virtual time do not depend on the machine.
"""

import asyncio
import logging
import random
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from contextlib import aclosing
from dataclasses import dataclass, replace

import msgspec
import structlog

from quinceferry_core.models import CallerRequest, RequestId, RequestKind, WorkspaceId
from quinceferry_lab.budget_bench import MODEL, ZONES, Bench
from quinceferry_lab.capacity_fits import Point, Series, Slope, fit
from quinceferry_lab.virtual_time import run_virtual
from quinceferryd.allotments import AllotmentController

MAX_PROCESSES = 4
WARM_UP_SECONDS = 120.0
MEASURED_SECONDS = 450.0
"""Two refills of an allotment under steady demand."""
TOKENS_PER_REQUEST = 284
GRANT_TOKENS = 50_000_000
PROMPT = "x" * 400
WRITE_VERBS = ("put_if", "delete_if", "grant_lease", "keep_alive", "revoke_lease")


@dataclass(slots=True, frozen=True)
class Load:
    """Size of one run; requests are those of the whole fleet."""

    routers: int = 9
    workspaces: int = 10
    requests_per_second: float = 4.0


class Calls(msgspec.Struct, frozen=True):
    """Calls a second of one run, by purpose."""

    routers: int
    workspaces: int
    requests_per_second: float
    writes_by_purpose: dict[str, float]
    reads_by_purpose: dict[str, float]


_BASE = Load()
_SERIES: dict[str, tuple[Load, ...]] = {
    "routers": tuple(replace(_BASE, routers=count) for count in (3, 6, 9, 15)),
    "workspaces": tuple(replace(_BASE, workspaces=count) for count in (10, 20, 40, 80)),
    "requests_per_second": tuple(
        replace(_BASE, requests_per_second=rate) for rate in (1.0, 2.0, 4.0, 8.0)
    ),
}


def measure() -> tuple[list[Calls], list[Slope]]:
    """Run all fleets; return their calls, and the slopes of each purpose over each size."""
    loads = sorted({load for loads in _SERIES.values() for load in loads}, key=repr)
    with ProcessPoolExecutor(MAX_PROCESSES) as pool:
        calls_by_load = dict(zip(loads, pool.map(calls_of, loads), strict=True))
    slopes: list[Slope] = []
    for variable, chosen in _SERIES.items():
        slopes += _slopes(variable, [calls_by_load[load] for load in chosen])
    return list(calls_by_load.values()), slopes


def calls_of(load: Load) -> Calls:
    """Run one fleet."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    return run_virtual(_Run(load).play())


def _slopes(variable: str, runs: list[Calls]) -> list[Slope]:
    """Fit each purpose's reads and writes over one variable."""
    slopes = []
    for kind in ("writes", "reads"):
        purposes = sorted({p for run in runs for p in getattr(run, f"{kind}_by_purpose")})
        for purpose in purposes:
            points = [
                Point(getattr(run, variable), getattr(run, f"{kind}_by_purpose").get(purpose, 0.0))
                for run in runs
            ]
            item = variable.replace("_per_second", "/s").removesuffix("s")
            slopes.append(fit(Series(f"kv_{kind}_{purpose}_{variable}", item, "calls/s"), points))
    return slopes


class _Run:
    """A fleet of real routers under a steady load."""

    def __init__(self, load: Load) -> None:
        self._load = load
        self._rng = random.Random(1)
        self._bench = Bench(load.routers, AllotmentController, True)
        self._names = [WorkspaceId(f"w{number}") for number in range(load.workspaces)]

    async def play(self) -> Calls:
        """Start the fleet, let it settle and count."""
        bench = self._bench
        await bench.start({name: GRANT_TOKENS for name in self._names})
        sending = asyncio.create_task(self._send_forever())
        await bench.clock.sleep(WARM_UP_SECONDS)
        before = bench.kv.total_calls_by_kind.copy()
        await bench.clock.sleep(MEASURED_SECONDS)
        made = bench.kv.total_calls_by_kind - before
        sending.cancel()
        await bench.stop()
        writes: Counter[str] = Counter()
        reads: Counter[str] = Counter()
        for kind, count in made.items():
            side = writes if kind.verb in WRITE_VERBS else reads
            side[kind.purpose] += count
        load = self._load
        return Calls(
            load.routers,
            load.workspaces,
            load.requests_per_second,
            {purpose: round(count / MEASURED_SECONDS, 4) for purpose, count in writes.items()},
            {purpose: round(count / MEASURED_SECONDS, 4) for purpose, count in reads.items()},
        )

    async def _send_forever(self) -> None:
        """Send requests at random times until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            number = 0
            while True:
                await self._bench.clock.sleep(self._rng.expovariate(self._load.requests_per_second))
                number += 1
                tasks.create_task(self._send(number))

    async def _send(self, number: int) -> None:
        """Send one request of a random workspace to the router that it is told to use."""
        workspace = self._rng.choice(self._names)
        zone = self._rng.choice(ZONES)
        applications = self._bench.applications_by_name
        answer = applications["r0"].addresses.answer(workspace, zone)
        router = next(
            application
            for application in applications.values()
            if application.blackboard.identity.address == answer.addresses[0]
        )
        request = CallerRequest(
            workspace,
            RequestId(f"q{number}"),
            RequestKind.CHAT,
            MODEL,
            prompt=PROMPT,
            max_output_tokens=TOKENS_PER_REQUEST,
        )
        async with aclosing(router.pipeline.submit(request)) as events:
            async for _ in events:
                pass
