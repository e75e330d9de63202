"""One seeded run of a fleet under faults, judged afterwards."""

import asyncio
import gc
from collections import Counter
from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass, field
from random import Random
from typing import Any

from quinceferry_core.bills import Bill
from quinceferry_core.models import CallerRequest, RequestId, RequestKind, WorkspaceId
from quinceferry_lab.caller_habits import CallerPlan
from quinceferry_lab.callers import Caller
from quinceferry_lab.checker import check
from quinceferry_lab.fault_schedules import draw_schedule
from quinceferry_lab.fleets import MODEL, SERVICE, WORKSPACES, ZONES, Fleet
from quinceferry_lab.gates import run_gated
from quinceferry_lab.histories import Answered, Attempt, Closing, History, Refused
from quinceferry_lab.injection import Injector
from quinceferry_lab.operators import Operator
from quinceferry_lab.refusal_counts import RefusalCount, count_false_refusals
from quinceferry_lab.violations import Violation
from quinceferry_standins.outputs import BYTES_PER_TOKEN
from quinceferryd.budgets import BudgetService

STOP_SECONDS = 400.0
"""Bound of the graceful stop of the whole fleet."""
CHANGE_MEAN_SECONDS = 15.0
REMOVAL_MEAN_SECONDS = 12.0
NON_IDEMPOTENT_SHARE = 0.12
PATIENCES_SECONDS = (3.0, 8.0, 25.0)


@dataclass(slots=True, frozen=True)
class TrialPlan:
    """Length and load of a run.

    Faults begin and callers send for ``faulty_seconds``. In the ``quiet_seconds`` that follow,
    callers finish and dead routers are recovered. ``fault_names`` empty means faults of all kinds.
    ``service_share`` of the requests are calls of a plain service.
    """

    fault_names: tuple[str, ...] = ()
    faulty_seconds: float = 90.0
    quiet_seconds: float = 240.0
    callers_per_workspace: int = 7
    service_share: float = 0.2


SHORT_PLAN = TrialPlan(faulty_seconds=30.0, quiet_seconds=5.0)
"""Enough for defects that show at once."""


@dataclass(slots=True)
class TrialResult:
    """What one seed came to."""

    seed: int
    violations: list[Violation]
    history: History
    refusals: RefusalCount
    ends: Counter[str] = field(default_factory=Counter)


def run_trial(
    seed: int, plan: TrialPlan | None = None, defect: AbstractContextManager[None] | None = None
) -> TrialResult:
    """Run one seed.

    :param defect: a defect in force during the run.
    """
    history = History()
    with defect or nullcontext():
        run_gated(_run(seed, plan or TrialPlan(), history))
    ends = Counter(_end_name(attempts[-1]) for attempts in history.attempts_by_key().values())
    return TrialResult(seed, check(history), history, count_false_refusals(history), ends)


async def _run(seed: int, plan: TrialPlan, history: History) -> None:
    """Run a fleet from its start to its end."""
    rng = Random(seed)
    fleet = Fleet(rng, history)
    asyncio.get_running_loop().set_exception_handler(
        lambda loop, context: fleet.note(f"internal error: {_error_text(context)}")
    )
    operator = Operator("operator-a", fleet, Random(rng.getrandbits(64)))
    background: list[asyncio.Task[None]] = []
    try:
        fleet.boot_all()
        await operator.set_up()
        background.append(asyncio.create_task(fleet.sample_forever()))
        callers = _start_callers(fleet, plan, rng)
        background += _start_operators(fleet, operator, rng)
        injector = Injector(fleet, operator, Random(rng.getrandbits(64)))
        schedule = draw_schedule(
            Random(rng.getrandbits(64)), fleet, plan.fault_names, plan.faulty_seconds * 0.8
        )
        await injector.run(schedule)
        await asyncio.gather(*callers)
        for task in background[1:]:
            task.cancel()
        fleet.note("all callers have ended")
        await fleet.clock.sleep(plan.quiet_seconds)
        await _close(fleet)
    finally:
        for task in background:
            task.cancel()
        fleet.discard()


def _error_text(context: dict[str, Any]) -> str:
    """Return what the event loop reports of an error that nobody handled."""
    return f"{context.get('message')}: {context.get('exception')!r}"


def _start_callers(fleet: Fleet, plan: TrialPlan, rng: Random) -> list[asyncio.Task[None]]:
    """Start all callers."""
    until = fleet.clock.monotonic() + plan.faulty_seconds
    tasks = []
    for workspace in WORKSPACES:
        for number in range(plan.callers_per_workspace):
            caller_plan = CallerPlan(
                f"{workspace}-{number}",
                workspace,
                rng.choice(ZONES),
                rng.choice(PATIENCES_SECONDS),
                rng.uniform(1.0, 5.0),
            )
            requests = Random(rng.getrandbits(64))
            caller = Caller(
                caller_plan,
                fleet.network,
                fleet.addresses,
                lambda plan, number, requests=requests, share=plan.service_share: _make_request(
                    plan, number, requests, share
                ),
                fleet.history,
                fleet.clock,
                Random(rng.getrandbits(64)),
            )
            tasks.append(asyncio.create_task(caller.run(until), name=caller_plan.name))
    return tasks


def _start_operators(fleet: Fleet, operator: Operator, rng: Random) -> list[asyncio.Task[None]]:
    """Start top-ups and racing changes of the configuration."""
    second = Operator("operator-b", fleet, Random(rng.getrandbits(64)))
    third = Operator("operator-c", fleet, Random(rng.getrandbits(64)))
    fourth = Operator("operator-d", fleet, Random(rng.getrandbits(64)))
    removable = list(fleet.engines_by_id)[-1]
    work = [operator.top_up_forever(workspace) for workspace in WORKSPACES]
    work += [second.change_forever(CHANGE_MEAN_SECONDS), third.change_forever(CHANGE_MEAN_SECONDS)]
    work.append(fourth.remove_forever(removable, REMOVAL_MEAN_SECONDS))
    return [asyncio.create_task(one) for one in work]


def _make_request(
    plan: CallerPlan, number: int, rng: Random, service_share: float
) -> CallerRequest:
    """Draw one request of a caller."""
    request_id = RequestId(f"{plan.name}-{number}")
    if rng.random() < service_share:
        return CallerRequest(
            workspace=plan.workspace,
            request_id=request_id,
            kind=RequestKind.SERVICE,
            target=type(MODEL)(SERVICE),
            body=f"post {rng.randrange(1000)}".encode(),
            idempotent=False,
            stream=False,
            deadline_seconds=60.0,
            path="/dues",
        )
    words = rng.randrange(5, 120)
    return CallerRequest(
        workspace=plan.workspace,
        request_id=request_id,
        kind=RequestKind.COMPLETION,
        target=MODEL,
        prompt="abc " * words * (BYTES_PER_TOKEN // 4),
        body=b"{}",
        max_output_tokens=rng.randrange(8, 90),
        idempotent=rng.random() >= NON_IDEMPOTENT_SHARE,
        deadline_seconds=60.0,
    )


async def _close(fleet: Fleet) -> None:
    """Stop all routers, and record runs, bills and balances."""
    async with asyncio.timeout(STOP_SECONDS):
        await asyncio.gather(*(fleet.stop(process) for process in fleet.live()))
    # Errors of tasks that nobody awaited are reported when the tasks are collected.
    gc.collect()
    fleet.sample()
    fleet.collect_runs()
    auditor = BudgetService(fleet.kv.connect("auditor"))
    for workspace in WORKSPACES:
        bills = await _read_bills(auditor, workspace)
        balance = await auditor.balance(workspace)
        fleet.history.closings[workspace] = Closing(bills, balance)
    fleet.history.ended_at = fleet.clock.monotonic()


async def _read_bills(auditor: BudgetService, workspace: WorkspaceId) -> list[Bill]:
    """Read all pages of bills."""
    bills: list[Bill] = []
    cursor = ""
    while True:
        page = await auditor.bills(workspace, cursor)
        bills.extend(page.bills)
        cursor = page.next_cursor
        if not cursor:
            return bills


def _end_name(attempt: Attempt) -> str:
    """Return a word for how a request ended."""
    match attempt.end:
        case Answered():
            return "answered"
        case Refused(reason=reason):
            return reason.value
        case None:
            return "open"
        case end:
            return type(end).__name__.lower()
