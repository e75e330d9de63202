"""Steps for the rolling replacement of a fleet."""

import asyncio
from random import Random

from behave import given, then, when

from quinceferry_core.models import CallerRequest, RequestId, RequestKind
from quinceferry_lab.callers import Caller, CallerPlan
from quinceferry_lab.checker import check
from quinceferry_lab.fleets import MODEL, SERVICE, WORKSPACES, ZONES, Fleet, FleetPlan
from quinceferry_lab.gates import run_gated
from quinceferry_lab.histories import Answered, History, Vanished
from quinceferry_lab.operators import Operator
from quinceferry_lab.trials import _close
from quinceferry_standins.outputs import BYTES_PER_TOKEN

PATIENCE_SECONDS = 25.0
PAUSE_SECONDS = 3.0
SETTLE_SECONDS = 20.0
SERVICE_SHARE = 0.2


@given("a lab fleet of {count:d} routers under load from callers in every zone")
def plan_fleet(context, count):
    context.routers = count


@when("each router is replaced by one on a new VM, one after another")
def replace_on_new_vms(context):
    context.history = run_gated(run_replacement(context.routers, replace_on_new_vm))


@when("each router is stopped and started again on its VM, one after another")
def restart_on_own_vms(context):
    context.history = run_gated(run_replacement(context.routers, restart_on_own_vm))


async def run_replacement(count, replace):
    """Run a fleet under load until every router has been replaced."""
    history = History()
    fleet = Fleet(Random(1), history, FleetPlan(routers=count))
    operator = Operator("operator-a", fleet, Random(2))
    background = []
    stopped = asyncio.Event()
    try:
        fleet.boot_all()
        await operator.set_up()
        await fleet.clock.sleep(SETTLE_SECONDS)
        background += [asyncio.create_task(fleet.sample_forever())]
        background += [asyncio.create_task(operator.top_up_forever(w)) for w in WORKSPACES]
        callers = [asyncio.create_task(work) for work in start_callers(fleet, stopped)]
        for process in list(fleet.processes_by_vm.values()):
            await replace(fleet, process)
        stopped.set()
        await asyncio.gather(*callers)
        for task in background[1:]:
            task.cancel()
        await _close(fleet)
    finally:
        for task in background:
            task.cancel()
        fleet.discard()
    return history


async def replace_on_new_vm(fleet, process):
    """Start a router on a new VM, then stop the old one and remove its VM."""
    fleet.boot(fleet.add_vm(process.zone))
    await fleet.clock.sleep(SETTLE_SECONDS)
    await fleet.stop(process)
    fleet.vms.remove(process.name)
    fleet.former.append(fleet.processes_by_vm.pop(process.name))


async def restart_on_own_vm(fleet, process):
    """Stop a router and start another process on its VM."""
    await fleet.stop(process)
    await fleet.clock.sleep(1.0)
    fleet.boot(process.name)
    await fleet.clock.sleep(SETTLE_SECONDS)


def start_callers(fleet, stopped):
    for number, zone in enumerate(ZONES * 2):
        workspace = WORKSPACES[number % len(WORKSPACES)]
        plan = CallerPlan(f"caller-{number}", workspace, zone, PATIENCE_SECONDS, PAUSE_SECONDS)
        caller = Caller(
            plan,
            fleet.network,
            fleet.addresses,
            make_request(Random(number)),
            fleet.history,
            fleet.clock,
            Random(number),
        )
        yield run_until(caller, stopped, fleet.clock)


async def run_until(caller, stopped, clock):
    while not stopped.is_set():
        await caller.run(clock.monotonic() + PAUSE_SECONDS)


def make_request(rng):
    numbers = iter(range(1_000_000))

    def make(plan, _):
        request_id = RequestId(f"{plan.name}-{next(numbers)}")
        if rng.random() < SERVICE_SHARE:
            return CallerRequest(
                workspace=plan.workspace,
                request_id=request_id,
                kind=RequestKind.SERVICE,
                target=type(MODEL)(SERVICE),
                body=b"post",
                idempotent=False,
                stream=False,
                path="/dues",
            )
        return CallerRequest(
            workspace=plan.workspace,
            request_id=request_id,
            kind=RequestKind.COMPLETION,
            target=MODEL,
            prompt="abc " * rng.randrange(5, 60) * (BYTES_PER_TOKEN // 4),
            body=b"{}",
            max_output_tokens=rng.randrange(8, 90),
            idempotent=rng.random() < 0.8,
        )

    return make


@then("no request was cut, refused or left without an answer because of it")
def check_no_trouble(context):
    stops = context.history.stops
    assert len(stops) >= context.routers, stops
    trouble = [
        (attempt.router, attempt.number, attempt.end)
        for attempt in context.history.attempts
        if not isinstance(attempt.end, Answered | Vanished)
    ]
    assert not trouble, (len(trouble), trouble[:5])


@then("each promise held in the replacement")
def check_promises(context):
    violations = check(context.history)
    assert not violations, violations[:3]


@then("callers sent more than 200 requests")
def check_answered(context):
    attempts = context.history.attempts_by_key()
    assert len(attempts) > 200, len(attempts)
