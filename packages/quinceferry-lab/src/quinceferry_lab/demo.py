"""Runs a whole fleet on 127.0.0.1, sends it real work and checks every promise; ``make demo``.

The last line of output is one JSON document. The exit status is 1 when a promise broke and 2 when
the demo itself could not be carried out.
"""

import asyncio
import contextlib
import itertools
import json
import random
import signal
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path

import click

from quinceferry import AnswerBrokenError, Client, OperatorClient, RequestError
from quinceferry_core.models import RequestKind
from quinceferry_lab.child_processes import ChildFailedError, ChildProcess, ChildProcesses
from quinceferry_lab.demo_audit import (
    BUDGET_REASONS,
    Findings,
    Truth,
    audit,
    read_bills,
    read_budgets,
    read_runs,
)
from quinceferry_lab.demo_fleet import ZONES, DemoFleet
from quinceferry_lab.demo_load import (
    PlannedRequest,
    RequestResult,
    plan_requests,
    send_all,
    send_one,
)
from quinceferry_lab.demo_operators import DemoWorkspace, OperatorShell
from quinceferry_lab.demo_report import show_report
from quinceferry_lab.demo_texts import loss_history, year_ledger
from quinceferry_standins.outputs import count_prompt_tokens

TIME_LIMIT_SECONDS = 120.0
REQUESTS_PER_CUSTOMER = 110
PEAK_CONCURRENCY = 24
STOPPING_CONCURRENCY = 4
LEAD_SECONDS = 0.5
"""Time between the first requests of the second half and the signal to stop."""
OVERLAP_SECONDS = 5.0
"""Time between the order to drain one router and the signal to stop the last one."""
TRIAL_REQUESTS = 8
TRIAL_PROMPT_LINES = 40
TEMPLATE_MARGIN_TOKENS = 16
"""What a router must reserve beyond prompt and output, for a template it does not know."""
STOP_TIMEOUT_SECONDS = 40.0
BILLS_TIMEOUT_SECONDS = 5.0
SEED = 7
STOPPED_ZONE = "zone-b"
DRAINED_ZONE = "zone-c"
LAST_ZONE = "zone-a"

_BROKEN_EXIT_STATUS = 1
_FAILED_EXIT_STATUS = 2


@dataclass(slots=True)
class DemoRun:
    """One demo: its fleet, what it saw and what it measured."""

    fleet: DemoFleet
    shell: OperatorShell
    workspaces: list[DemoWorkspace] = field(default_factory=list)
    results: list[RequestResult] = field(default_factory=list)
    cut_streams: int = 0
    false_refusals: int = 0
    idle_bytes_by_router: dict[str, int] = field(default_factory=dict)
    busy_bytes_by_router: dict[str, int] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)

    def note_failed_attempt(self, error: RequestError) -> None:
        """Count a stream that broke off, even if the client repeated the request."""
        self.cut_streams += isinstance(error, AnswerBrokenError)


async def run_demo(folder: Path, children: ChildProcesses) -> Findings:
    """Run the demo from the first process to the report.

    :param folder: where settings and logs go.
    :param children: the processes; the caller ends those that are left.
    """
    fleet = DemoFleet(children, folder)
    run = DemoRun(fleet, OperatorShell(fleet))
    started_at = time.monotonic()
    _say("starting the platform, 3 engines, a service and 3 routers")
    await fleet.start()
    _say("setting up models, upstreams, workspaces and budgets with the command line")
    run.workspaces = await run.shell.set_up()
    run.idle_bytes_by_router = _memory(fleet)
    async with _clients(run) as clients_by_workspace:
        await _send_load(run, clients_by_workspace)
        await _spend_trial_budget(run, clients_by_workspace)
    run.busy_bytes_by_router |= _memory(fleet)
    findings = await _stop_and_audit(run)
    show_report(run, findings, time.monotonic() - started_at)
    return findings


async def _send_load(run: DemoRun, clients_by_workspace: dict[str, list[Client]]) -> None:
    """Send both customers' requests, and stop one router when half of them are done.

    The second half is sent more slowly, so that it lasts about as long as the stop.
    """
    generator = random.Random(SEED)
    choir, haulier = run.workspaces[:2]
    planned = [
        *plan_requests(choir, year_ledger(generator), REQUESTS_PER_CUSTOMER, generator),
        *plan_requests(haulier, loss_history(generator), REQUESTS_PER_CUSTOMER, generator),
    ]
    generator.shuffle(planned)
    half = len(planned) // 2
    _say(f"sending {half} requests, {PEAK_CONCURRENCY} at a time")
    run.results += await send_all(clients_by_workspace, planned[:half], PEAK_CONCURRENCY)
    run.busy_bytes_by_router |= _memory(run.fleet)
    _say(f"stopping the router in {STOPPED_ZONE}, and sending {half} requests meanwhile")
    rest = asyncio.create_task(send_all(clients_by_workspace, planned[half:], STOPPING_CONCURRENCY))
    try:
        await asyncio.sleep(LEAD_SECONDS)
        await _stop(run, STOPPED_ZONE)
        run.results += await rest
    finally:
        rest.cancel()


async def _spend_trial_budget(run: DemoRun, clients_by_workspace: dict[str, list[Client]]) -> None:
    """Spend a small budget to its end, one request after the other.

    A refusal is false when the tokens left cover what must be reserved to rule overspend out.
    """
    trial = run.workspaces[2]
    _say(f"spending the {trial.granted} tokens of {trial.name}")
    text = "\n".join(year_ledger(random.Random(SEED)).splitlines()[:TRIAL_PROMPT_LINES])
    left = trial.granted
    for number in range(TRIAL_REQUESTS):
        prompt = f"{text}\n\nWhich entry is number {number}?"
        name = f"{trial.name}-{number:04d}"
        planned = PlannedRequest(trial, RequestKind.COMPLETION, name, prompt, streamed=False)
        result = await send_one(clients_by_workspace[trial.name][0], planned)
        run.results.append(result)
        if result.usage is not None:
            left -= result.usage.total_tokens
        needed = count_prompt_tokens(prompt) + planned.max_tokens + TEMPLATE_MARGIN_TOKENS
        run.false_refusals += result.reason in BUDGET_REASONS and needed <= left


async def _stop_and_audit(run: DemoRun) -> Findings:
    """Stop the other routers, then compare bills, budgets and run records."""
    truth = Truth()
    _say("reading the bills")
    await _read_all_bills(run, truth)
    _say(f"draining the router in {DRAINED_ZONE} with the command line, then stopping the last one")
    draining = asyncio.create_task(_drain(run, DRAINED_ZONE))
    try:
        await asyncio.sleep(OVERLAP_SECONDS)
        await _stop(run, LAST_ZONE)
        await draining
    finally:
        draining.cancel()
    await read_runs(run.fleet, truth)
    await read_budgets(run.fleet, run.workspaces, truth)
    findings = audit(run.results, truth, run.workspaces)
    large = {workspace.name for workspace in run.workspaces[:2]}
    findings.false_refusals = run.false_refusals + sum(
        result.reason in BUDGET_REASONS and result.planned.workspace.name in large
        for result in run.results
    )
    findings.broken += run.broken
    if findings.false_refusals:
        findings.broken.append(f"{findings.false_refusals} requests were refused falsely")
    if run.cut_streams:
        findings.broken.append(f"{run.cut_streams} answers were cut")
    return findings


async def _read_all_bills(run: DemoRun, truth: Truth) -> None:
    """Read the bills, waiting a moment for the last ones to be recorded."""
    answered = sum(not result.reason for result in run.results)
    url = run.fleet.routers_by_zone[LAST_ZONE].url
    deadline = time.monotonic() + BILLS_TIMEOUT_SECONDS
    async with OperatorClient([url], run.fleet.operator_key) as client:
        while True:
            truth.bills_by_request.clear()
            await read_bills(client, run.workspaces, truth)
            if len(truth.bills_by_request) >= answered or time.monotonic() > deadline:
                return
            await asyncio.sleep(0.5)


async def _stop(run: DemoRun, zone: str) -> None:
    """Stop a router gracefully by a signal."""
    router = run.fleet.routers_by_zone[zone]
    router.ask_to_stop()
    await _expect_exit(run, router)


async def _drain(run: DemoRun, zone: str) -> None:
    """Stop a router gracefully as an operator does, and follow it to its end."""
    await run.shell.run("drain", f"vm-{zone}", "--wait", "--timeout-seconds", "35")
    await _expect_exit(run, run.fleet.routers_by_zone[zone])


async def _expect_exit(run: DemoRun, router: ChildProcess) -> None:
    """Note a router that does not end by itself, or ends with a fault."""
    status = await router.wait(STOP_TIMEOUT_SECONDS)
    if status is None:
        run.broken.append(f"{router.name} did not stop within {STOP_TIMEOUT_SECONDS:g} seconds")
    elif status:
        run.broken.append(f"{router.name} ended with status {status}")


@contextlib.asynccontextmanager
async def _clients(run: DemoRun) -> AsyncIterator[dict[str, list[Client]]]:
    """Open one client in each zone for each workspace."""
    async with contextlib.AsyncExitStack() as stack:
        clients_by_workspace: dict[str, list[Client]] = {}
        for workspace, zone in itertools.product(run.workspaces, ZONES):
            client = Client(
                run.fleet.router_urls,
                workspace.key,
                zone=zone,
                on_failed_attempt=run.note_failed_attempt,
            )
            clients = clients_by_workspace.setdefault(workspace.name, [])
            clients.append(await stack.enter_async_context(client))
        yield clients_by_workspace


def _memory(fleet: DemoFleet) -> dict[str, int]:
    """Return the resident memory of each running router."""
    routers = fleet.routers_by_zone.values()
    return {router.name: router.resident_bytes() for router in routers if router.running}


def _say(text: str) -> None:
    """Show progress."""
    click.echo(f"demo: {text}")


async def _bounded(folder: Path) -> int:
    """Run the demo within its time limit, and end all its processes whatever happens."""
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    children = ChildProcesses(folder)
    try:
        async with asyncio.timeout(TIME_LIMIT_SECONDS):
            findings = await run_demo(folder, children)
        return _BROKEN_EXIT_STATUS if findings.broken else 0
    except (ChildFailedError, RequestError, TimeoutError) as error:
        reason = str(error) or f"not done within {TIME_LIMIT_SECONDS:g} seconds"
        for tail in children.log_tails():
            click.echo(tail, err=True)
        click.echo(f"demo: failed: {reason}", err=True)
        click.echo(json.dumps({"failed": reason}))
        return _FAILED_EXIT_STATUS
    except asyncio.CancelledError:
        click.echo("demo: interrupted", err=True)
        return _FAILED_EXIT_STATUS
    finally:
        await children.stop_all()


def main() -> int:
    """Run the demo and return the exit status."""
    with tempfile.TemporaryDirectory(prefix="quinceferry-demo-") as folder:
        return asyncio.run(_bounded(Path(folder)))


if __name__ == "__main__":
    sys.exit(main())
