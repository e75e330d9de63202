"""One run of the routing measurement: engines, routers, callers, and what they saw."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from returns.result import Failure

from quinceferry_core.membership import Member
from quinceferry_core.models import (
    CallerRequest,
    Configuration,
    IncarnationId,
    Priority,
    UpstreamId,
    UpstreamSpec,
    VmId,
    WorkspaceId,
    WorkspaceSpec,
)
from quinceferry_core.outcomes import Chunk
from quinceferry_lab.routing_load import (
    ENGINE_SETTINGS,
    ENGINES,
    SCHEDULERS_BY_POLICY,
    WORKSPACES,
    Arrival,
    Policy,
    Workload,
)
from quinceferry_lab.virtual_time import VirtualClock, run_virtual
from quinceferry_standins.engine import FakeEngine
from quinceferry_standins.upstreams import FakeUpstreams
from quinceferryd.blackboard import Blackboard, Identity
from quinceferryd.loads import LoadController
from quinceferryd.settings import RoutingSettings, StreamSettings
from quinceferryd.streams import StreamRunner

ROUTERS = 3
FIRST_REPORTS_SECONDS = 3.0
"""Time before the first arrival, in which every engine reports once."""
WARM_UP_SECONDS = 10.0
ARRIVAL_SECONDS = 30.0
"""Arrivals end here; those after the warm-up are measured."""
DRAIN_SECONDS = 10.0
"""Answers are awaited for so long; a first token that has not come by then counts as that late."""
LEAVING_LOAD = 0.7
LEAVING_AT_SECONDS = 15.0
LEAVING_BOUND_SECONDS = 3.0


@dataclass(slots=True)
class Caller:
    """What one caller saw; times are in seconds."""

    request: CallerRequest
    asked_at: float
    first_token_at: float | None = None
    refused: bool = False
    token_gaps: list[float] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class RunFigures:
    """Figures of one policy at one load; times are in seconds."""

    policy: Policy
    load: float
    requests: int
    hit_share: float
    first_token_p50_p95_p99: tuple[float, float, float]
    high_first_token_p95: float
    between_tokens_p95: float
    refused_by_class: tuple[int, int, int]

    def as_fields(self) -> dict[str, object]:
        """Return plain fields for JSON."""
        return {
            "policy": self.policy.value,
            "load": self.load,
            "requests": self.requests,
            "hit_share": self.hit_share,
            "first_token_p50_p95_p99": self.first_token_p50_p95_p99,
            "high_first_token_p95": self.high_first_token_p95,
            "between_tokens_p95": self.between_tokens_p95,
            "refused_by_class": self.refused_by_class,
        }


@dataclass(slots=True, frozen=True)
class LeavingFigures:
    """Requests sent to a leaving upstream, counted from the first sign that any router had."""

    sent_in_time: int
    sent_late: int
    sent_late_naive: int


class Fleet:
    """Engines and the routers before them, all on one virtual clock."""

    def __init__(self, policy: Policy, seed: int) -> None:
        clock = VirtualClock()
        ids = [UpstreamId(f"e{number}") for number in range(ENGINES)]
        self.engines_by_id = {
            upstream: FakeEngine(
                clock, upstream, ENGINE_SETTINGS, random.Random(f"{seed}{upstream}")
            )
            for upstream in ids
        }
        specs = {upstream: UpstreamSpec(upstream, "", "a") for upstream in ids}
        names = [WorkspaceId(f"w{number}") for number in range(WORKSPACES)]
        spaces = {name: WorkspaceSpec(name) for name in names}
        self._configuration = Configuration(1, spaces, {}, specs)
        incarnations = [IncarnationId(f"router-{number}") for number in range(ROUTERS)]
        self._members = {each: Member(each, VmId(each), "a", each, 1) for each in incarnations}
        self.routers = [_Router(self, policy, each, seed) for each in incarnations]

    def blackboard(self, incarnation: IncarnationId) -> Blackboard:
        """Return the blackboard of one router."""
        identity = Identity(VmId(incarnation), "a", incarnation, incarnation, 1)
        return Blackboard(
            identity,
            configuration=self._configuration,
            members_by_incarnation=dict(self._members),
        )

    def hit_share(self, since: float) -> float:
        """Return the part of the prompt tokens that the engines had cached.

        :param since: requests received before this time are not counted.
        """
        runs = [run for engine in self.engines_by_id.values() for run in engine.runs]
        started = [run for run in runs if run.received_at >= since]
        prompts = sum(run.prompt_tokens for run in started)
        return sum(run.cached_tokens for run in started) / prompts if prompts else 0.0


class _Router:
    """One router's scheduling, polling and streams."""

    def __init__(self, fleet: Fleet, policy: Policy, name: IncarnationId, seed: int) -> None:
        clock = VirtualClock()
        rng = random.Random(f"{seed}{name}")
        routing = RoutingSettings()
        upstreams = FakeUpstreams(clock, fleet.engines_by_id)
        board = fleet.blackboard(name)
        self.scheduler = SCHEDULERS_BY_POLICY[policy](board, clock, rng, routing)
        self.loads = LoadController(board, upstreams, self.scheduler, clock, rng, routing)
        self._streams = StreamRunner(upstreams, self.scheduler, board, clock, rng, StreamSettings())

    async def start(self) -> None:
        """Start background work."""
        await self.scheduler.start()
        await self.loads.start()

    async def stop(self) -> None:
        """Stop background work."""
        await self.loads.stop()
        await self.scheduler.stop()

    async def serve(self, caller: Caller) -> None:
        """Admit a request and stream its answer."""
        admitted = await self.scheduler.admit(caller.request, len(caller.request.prompt))
        if isinstance(admitted, Failure):
            caller.refused = True
            return
        try:
            await self._relay(caller)
        finally:
            admitted.unwrap().release()

    async def _relay(self, caller: Caller) -> None:
        clock = VirtualClock()
        previous = 0.0
        events = self._streams.run(caller.request, len(caller.request.prompt), _dispatch_at_once)
        async for event in events:
            if not isinstance(event, Chunk):
                continue
            now = clock.monotonic()
            if caller.first_token_at is None:
                caller.first_token_at = now
            else:
                caller.token_gaps.append((now - previous) / event.tokens)
            previous = now


def measure_run(policy: Policy, load: float, seed: int) -> RunFigures:
    """Measure one policy at one load.

    :param load: share of the capacity.
    """
    return run_virtual(_measure_run(policy, load, seed))


def measure_leaving(seed: int) -> LeavingFigures:
    """Count the requests sent to an engine that begins to leave under load."""
    in_time, late = run_virtual(_measure_leaving(Policy.OURS, seed))
    _, late_naive = run_virtual(_measure_leaving(Policy.LEAST_REPORTED, seed))
    return LeavingFigures(in_time, late, late_naive)


async def _measure_run(policy: Policy, load: float, seed: int) -> RunFigures:
    fleet = Fleet(policy, seed)
    callers = await _drive(fleet, load, seed)
    return _figures(policy, load, fleet, callers)


async def _measure_leaving(policy: Policy, seed: int) -> tuple[int, int]:
    fleet = Fleet(policy, seed)
    engine = fleet.engines_by_id[UpstreamId("e0")]
    first_sign = asyncio.create_task(_leave(fleet, engine))
    await _drive(fleet, LEAVING_LOAD, seed)
    seen_at = await first_sign
    since = [run.received_at - seen_at for run in engine.runs if run.received_at >= seen_at]
    late = sum(seconds > LEAVING_BOUND_SECONDS for seconds in since)
    return len(since) - late, late


async def _leave(fleet: Fleet, engine: FakeEngine) -> float:
    """Have an engine begin to leave; return when the first router has a sign of it."""
    clock = VirtualClock()
    await clock.sleep(LEAVING_AT_SECONDS)
    engine.leave()
    while True:
        for router in fleet.routers:
            report = router.scheduler.tracker.status(engine.upstream).report
            if report is not None and report.leaving:
                return clock.monotonic()
        await clock.sleep(0.01)


async def _drive(fleet: Fleet, load: float, seed: int) -> list[Caller]:
    """Send the workload through the routers and return the measured callers."""
    clock = VirtualClock()
    for router in fleet.routers:
        await router.start()
    await clock.sleep(FIRST_REPORTS_SECONDS)
    started_at = clock.monotonic()
    callers: list[Caller] = []
    tasks = []
    for arrival in Workload(load, seed, ROUTERS).arrivals(ARRIVAL_SECONDS):
        await clock.sleep(max(0.0, started_at + arrival.at - clock.monotonic()))
        callers.append(Caller(arrival.request, clock.monotonic()))
        tasks.append(asyncio.create_task(_serve(fleet, arrival, callers[-1])))
    done, late = await asyncio.wait(tasks, timeout=DRAIN_SECONDS)
    for task in late:
        task.cancel()
    await asyncio.gather(*late, return_exceptions=True)
    for task in done:
        task.result()
    for router in fleet.routers:
        await router.stop()
    return [each for each in callers if each.asked_at >= started_at + WARM_UP_SECONDS]


async def _serve(fleet: Fleet, arrival: Arrival, caller: Caller) -> None:
    await fleet.routers[arrival.router].serve(caller)


async def _dispatch_at_once(upstream: UpstreamSpec, attempt: int) -> None:
    """Record nothing; billing is measured elsewhere."""


def _figures(policy: Policy, load: float, fleet: Fleet, callers: list[Caller]) -> RunFigures:
    ended_at = FIRST_REPORTS_SECONDS + ARRIVAL_SECONDS + DRAIN_SECONDS
    served = [caller for caller in callers if not caller.refused]
    waits = [_first_token_wait(caller, ended_at) for caller in served]
    high = [
        _first_token_wait(caller, ended_at)
        for caller in served
        if caller.request.priority is Priority.HIGH
    ]
    refused = Counter(caller.request.priority for caller in callers if caller.refused)
    return RunFigures(
        policy,
        load,
        len(callers),
        fleet.hit_share(FIRST_REPORTS_SECONDS + WARM_UP_SECONDS),
        (_quantile(waits, 0.5), _quantile(waits, 0.95), _quantile(waits, 0.99)),
        _quantile(high, 0.95),
        _quantile([gap for caller in served for gap in caller.token_gaps], 0.95),
        (refused[Priority.HIGH], refused[Priority.NORMAL], refused[Priority.LOW]),
    )


def _first_token_wait(caller: Caller, ended_at: float) -> float:
    first = caller.first_token_at if caller.first_token_at is not None else ended_at
    return first - caller.asked_at


def _quantile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
