"""One measured run of a fleet's budgets under one fault."""

import asyncio
import random
from collections import Counter
from contextlib import aclosing
from dataclasses import dataclass, field
from enum import Enum

from quinceferry_core.models import CallerRequest, RequestId, RequestKind, WorkspaceId
from quinceferry_core.outcomes import Failed, Finished
from quinceferry_lab.budget_baseline import ROUTERS, EqualSplitAllotments
from quinceferry_lab.budget_bench import MODEL, ZONES, Bench
from quinceferry_lab.virtual_time import run_virtual
from quinceferryd.allotments import AllotmentController
from quinceferryd.application import Application

RUN_SECONDS = 900.0
"""Time during which requests arrive."""
FAULT_AT_SECONDS = 150.0
FAULT_SECONDS = 600.0
SETTLE_SECONDS = 10.0
QUIET_SECONDS = 420.0
"""Time after the last request in which a fleet may clear up before it is judged."""
REQUESTS_PER_SECOND = 5.0
WORKSPACES = 10
CALLERS_PER_WORKSPACE = 6
PROMPT = "x" * 400
OUTPUT_TOKENS = 284
CAP_TOKENS = 400
"""Tokens reserved for each request; half of them are used."""
USED_TOKENS = 200
HOT_SHARE = 0.6
ANSWER_SECONDS = 30.0
"""How long a caller keeps an address."""


class System(Enum):
    """What holds the budgets."""

    BASELINE = "equal split"
    OURS = "quinceferry"


class Fault(Enum):
    """What happens during a run."""

    NONE = "no fault"
    OUTAGE = "KV outage of 10 minutes"
    PARTITION = "partition, top-up on one side"
    DEATHS = "3 router deaths"
    HOT = "one hot workspace"
    NEARLY_SPENT = "budget with 5% left"


_BUDGET_SHARES = {
    Fault.NONE: 1.05,
    Fault.OUTAGE: 1.5,
    Fault.PARTITION: 0.8,
    Fault.DEATHS: 1.3,
    Fault.HOT: 1.1,
    Fault.NEARLY_SPENT: 0.05,
}
"""Budgets as shares of what the run asks for; the partition's top-up adds as much again."""


@dataclass(slots=True)
class RunFigures:
    """What one run came to; tokens are those of all workspaces."""

    system: System
    fault: Fault
    requests: int = 0
    answered: int = 0
    refused: int = 0
    falsely_refused: int = 0
    overspent: int = 0
    withheld: int = 0
    stranded: int = 0
    kv_reads_per_second: float = 0.0
    kv_writes_per_second: float = 0.0
    reasons: Counter[str] = field(default_factory=Counter)

    @property
    def false_share(self) -> float:
        """Return the share of requests refused although paid for."""
        return self.falsely_refused / max(1, self.requests)


def measure(system: System, fault: Fault, seed: int) -> RunFigures:
    """Measure one run.

    :param seed: source of all draws; the same one gives every system the same requests.
    """
    return run_virtual(_Run(system, fault, seed).play())


class _Run:
    """A fleet, its callers and its fault."""

    def __init__(self, system: System, fault: Fault, seed: int) -> None:
        self._figures = RunFigures(system, fault)
        self._rng = random.Random(seed)
        is_ours = system is System.OURS
        allotments = AllotmentController if is_ours else EqualSplitAllotments
        self._bench = Bench(ROUTERS, allotments, is_ours)
        self._weights_by_workspace = _weights(fault)
        self._kept_by_caller: dict[str, tuple[float, list[str]]] = {}
        self._asked = {name: 0 for name in self._weights_by_workspace}

    async def play(self) -> RunFigures:
        """Play the run and judge it."""
        bench = self._bench
        share = _BUDGET_SHARES[self._figures.fault]
        total = REQUESTS_PER_SECOND * RUN_SECONDS * USED_TOKENS
        budgets = {
            name: int(weight * total * share) + CAP_TOKENS
            for name, weight in self._weights_by_workspace.items()
        }
        await bench.start(budgets)
        calls_before = _calls(bench)
        fault = asyncio.create_task(self._fault(budgets))
        await self._send_all()
        await fault
        seconds = bench.clock.monotonic()
        reads, writes = (
            after - before for after, before in zip(_calls(bench), calls_before, strict=True)
        )
        self._figures.kv_reads_per_second = reads / seconds
        self._figures.kv_writes_per_second = writes / seconds
        is_long = self._figures.fault is Fault.DEATHS
        await bench.clock.sleep(QUIET_SECONDS if is_long else SETTLE_SECONDS)
        await self._judge()
        await bench.stop()
        return self._figures

    async def _send_all(self) -> None:
        """Send requests at random times and wait for their ends."""
        clock = self._bench.clock
        end = clock.monotonic() + RUN_SECONDS
        names = list(self._weights_by_workspace)
        weights = list(self._weights_by_workspace.values())
        tasks = []
        while clock.monotonic() < end:
            await clock.sleep(self._rng.expovariate(REQUESTS_PER_SECOND))
            workspace = self._rng.choices(names, weights)[0]
            tasks.append(asyncio.create_task(self._send(workspace)))
        await asyncio.gather(*tasks)

    async def _send(self, workspace: WorkspaceId) -> None:
        """Send one request of a random caller of a workspace."""
        self._figures.requests += 1
        number = self._figures.requests
        zone = self._caller_zone(workspace)
        caller = f"{workspace}/{zone}/{self._rng.randrange(CALLERS_PER_WORKSPACE)}"
        request = CallerRequest(
            workspace,
            RequestId(f"q{number}"),
            RequestKind.CHAT,
            MODEL,
            prompt=PROMPT,
            max_output_tokens=OUTPUT_TOKENS,
        )
        application = self._router_of(caller, workspace, zone)
        if application is None:
            self._count_refusal(request, "no router")
            return
        async with aclosing(application.pipeline.submit(request)) as events:
            async for event in events:
                match event:
                    case Finished():
                        self._figures.answered += 1
                    case Failed():
                        self._count_refusal(request, event.reason.value)

    def _count_refusal(self, request: CallerRequest, reason: str) -> None:
        """Count a refusal, and whether the workspace had paid."""
        self._figures.refused += 1
        if self._bench.could_pay(request, CAP_TOKENS + 16):
            self._figures.falsely_refused += 1
            self._figures.reasons[reason] += 1

    def _caller_zone(self, workspace: WorkspaceId) -> str:
        """Return the zone of a caller; those of a hot workspace are mostly in one."""
        is_hot = self._figures.fault is Fault.HOT and workspace == "w0"
        if is_hot and self._rng.random() < 0.9:
            return ZONES[0]
        return self._rng.choice(ZONES)

    def _router_of(self, caller: str, workspace: WorkspaceId, zone: str) -> Application | None:
        """Return the router that a caller uses, which it keeps for a while."""
        now = self._bench.clock.monotonic()
        kept_at, names = self._kept_by_caller.get(caller, (float("-inf"), []))
        if now - kept_at >= ANSWER_SECONDS or not self._usable(names, zone):
            names = self._answer(workspace, zone)
            self._kept_by_caller[caller] = (now, names)
        usable = self._usable(names, zone) or self._usable(self._all_names(), zone)
        return self._bench.applications_by_name[usable[0]] if usable else None

    def _answer(self, workspace: WorkspaceId, zone: str) -> list[str]:
        """Return the names of routers to use, best first."""
        usable = self._usable(self._all_names(), zone)
        self._rng.shuffle(usable)
        if self._figures.system is System.BASELINE or not usable:
            return usable
        asked = self._bench.applications_by_name[usable[0]]
        addresses = asked.addresses.answer(workspace, zone).addresses
        by_address = {
            application.blackboard.identity.address: name
            for name, application in self._bench.applications_by_name.items()
        }
        return [by_address[address] for address in addresses]

    def _all_names(self) -> list[str]:
        """Return the names of all routers."""
        return list(self._bench.applications_by_name)

    def _usable(self, names: list[str], zone: str) -> list[str]:
        """Return those routers that a caller in a zone reaches."""
        cut = self._bench.cut_zone
        return [
            name
            for name in names
            if name not in self._bench.dead
            and (not cut or (self._bench.zone_of(name) == cut) == (zone == cut))
        ]

    async def _fault(self, budgets: dict[WorkspaceId, int]) -> None:
        """Bring about the run's fault."""
        bench = self._bench
        await bench.clock.sleep(FAULT_AT_SECONDS)
        match self._figures.fault:
            case Fault.OUTAGE:
                bench.kv.faults.outage = True
                await bench.clock.sleep(FAULT_SECONDS)
                bench.kv.faults.outage = False
            case Fault.PARTITION:
                bench.cut(ZONES[2])
                await bench.clock.sleep(FAULT_SECONDS / 2)
                for name, tokens in budgets.items():
                    await bench.top_up(name, tokens, "top-up")
                await bench.clock.sleep(FAULT_SECONDS / 2)
                bench.cut("")
            case Fault.DEATHS:
                for number in range(3):
                    await bench.kill(f"r{number + 3}")
                    await bench.clock.sleep(FAULT_SECONDS / 6)
            case _:
                return

    async def _judge(self) -> None:
        """Compare what ran with what was granted, and find tokens nobody can spend."""
        bench = self._bench
        application = bench.applications_by_name["r0"]
        live = set(application.blackboard.members_by_incarnation)
        for workspace, granted in bench.granted_by_workspace.items():
            used = bench.engines.used_by_workspace.get(workspace, 0)
            self._figures.overspent += max(0, used - granted)
            self._figures.withheld += (await application.budgets.balance(workspace)).withheld
            record = await application.budgets.record(workspace)
            self._figures.stranded += sum(
                allotment.drawn
                for name, allotment in record.allotments_by_incarnation.items()
                if name not in live
            )


def _weights(fault: Fault) -> dict[WorkspaceId, float]:
    """Return each workspace's part of the requests; a few are large."""
    raw = [1.0 / (rank + 1) for rank in range(WORKSPACES)]
    if fault is Fault.HOT:
        raw = [HOT_SHARE] + [(1.0 - HOT_SHARE) / (WORKSPACES - 1)] * (WORKSPACES - 1)
    total = sum(raw)
    return {WorkspaceId(f"w{rank}"): weight / total for rank, weight in enumerate(raw)}


def _calls(bench: Bench) -> tuple[int, int]:
    """Return how many reads and writes the key-value service has counted."""
    kinds = bench.kv.total_calls_by_kind
    writes = sum(count for kind, count in kinds.items() if kind.verb in _WRITE_VERBS)
    return sum(kinds.values()) - writes, writes


_WRITE_VERBS = ("put_if", "delete_if", "grant_lease", "keep_alive", "revoke_lease")
