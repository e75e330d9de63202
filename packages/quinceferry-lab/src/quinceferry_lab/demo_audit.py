"""Compares what callers saw with the bills, the budgets and what the upstreams really ran."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

import httpx
import msgspec

from quinceferry import OperatorClient
from quinceferry_core.budgets import BudgetRecord, budget_key
from quinceferry_core.models import RequestKind
from quinceferry_core.operator_messages import ListBills
from quinceferry_core.operator_replies import BillReply
from quinceferry_core.platform_messages import KV_PATH, KvGetReply, KvGetRequest
from quinceferry_lab.demo_fleet import DemoFleet
from quinceferry_lab.demo_load import RequestResult
from quinceferry_lab.demo_operators import DemoWorkspace
from quinceferry_standins.runs import RunRecord

RequestName = tuple[str, str]
"""Workspace and request id."""

BUDGET_REASONS = frozenset({"budget_spent", "budget_unreachable"})


@dataclass(slots=True)
class Truth:
    """What the upstreams ran, what was billed and what the budget records hold."""

    runs_by_request: dict[RequestName, list[RunRecord]] = field(
        default_factory=lambda: defaultdict(list)
    )
    bills_by_request: dict[RequestName, list[BillReply]] = field(
        default_factory=lambda: defaultdict(list)
    )
    budgets_by_workspace: dict[str, BudgetRecord] = field(default_factory=dict)


@dataclass(slots=True)
class Findings:
    """What the audit found; ``broken`` names each promise that did not hold."""

    answered: int = 0
    refused_by_reason: Counter[str] = field(default_factory=Counter)
    billed: int = 0
    billed_by_router: Counter[str] = field(default_factory=Counter)
    double_billed: int = 0
    overspent_tokens: int = 0
    false_refusals: int = 0
    broken: list[str] = field(default_factory=list)


async def read_runs(fleet: DemoFleet, truth: Truth) -> None:
    """Read the run records of all upstreams."""
    upstreams = [*fleet.engines_by_name.values(), *fleet.services_by_name.values()]
    async with httpx.AsyncClient(trust_env=False) as http:
        for upstream in upstreams:
            response = await http.get(f"{upstream.url}/runs")
            for run in msgspec.json.decode(response.content, type=list[RunRecord]):
                if run.started_at is not None:
                    truth.runs_by_request[run.workspace, run.request_id].append(run)


async def read_bills(client: OperatorClient, workspaces: list[DemoWorkspace], truth: Truth) -> None:
    """Read all bills, page by page, as an operator does."""
    for workspace in workspaces:
        cursor = ""
        while True:
            page = await client.call(ListBills(workspace=workspace.name, cursor=cursor))
            for bill in page.bills:
                truth.bills_by_request[workspace.name, bill.request_id].append(bill)
            cursor = page.cursor
            if not cursor:
                break


async def read_budgets(fleet: DemoFleet, workspaces: list[DemoWorkspace], truth: Truth) -> None:
    """Read the budget records from the platform, after all routers have stopped."""
    async with httpx.AsyncClient(trust_env=False) as http:
        for workspace in workspaces:
            key = budget_key(workspace.name)
            response = await http.post(
                f"{fleet.platform.url}{KV_PATH}/get",
                content=msgspec.json.encode(KvGetRequest(key)),
                headers={"Content-Type": "application/json"},
            )
            entry = msgspec.json.decode(response.content, type=KvGetReply).entry
            record = msgspec.json.decode(entry.value, type=BudgetRecord)
            truth.budgets_by_workspace[workspace.name] = record


def audit(results: list[RequestResult], truth: Truth, workspaces: list[DemoWorkspace]) -> Findings:
    """Check every request and every budget.

    :param results: what callers saw, in the order in which requests of a workspace were answered.
    """
    findings = Findings()
    for result in results:
        _audit_request(result, truth, findings)
    asked = {_name(result) for result in results}
    for name, bills in truth.bills_by_request.items():
        findings.billed += 1
        findings.billed_by_router.update({bills[0].paid_by})
        if len(bills) > 1:
            findings.double_billed += 1
            findings.broken.append(f"{name}: billed {len(bills)} times")
        if name not in asked:
            findings.broken.append(f"{name}: billed but never asked")
    for workspace in workspaces:
        _audit_budget(workspace, truth, findings)
    return findings


def _audit_request(result: RequestResult, truth: Truth, findings: Findings) -> None:
    """Check one request."""
    name = _name(result)
    runs = truth.runs_by_request.get(name, [])
    if result.planned.kind is RequestKind.SERVICE and len(runs) > 1:
        findings.broken.append(f"{name}: a non-idempotent call ran {len(runs)} times")
    if not result.reason:
        findings.answered += 1
        _audit_answer(result, runs, truth.bills_by_request.get(name, []), findings)
        return
    findings.refused_by_reason[result.reason] += 1
    if result.outcome == "not_run" and runs:
        findings.broken.append(f"{name}: told as not run, but it ran")
    if result.outcome == "unknown":
        findings.broken.append(f"{name}: no answer though nothing was broken on purpose")


def _audit_answer(
    result: RequestResult, runs: list[RunRecord], bills: list[BillReply], findings: Findings
) -> None:
    """Check an answered request against its runs and its bill."""
    name = _name(result)
    if not result.right:
        findings.broken.append(f"{name}: the answer is not the request's own")
    if not runs:
        findings.broken.append(f"{name}: answered, but no upstream ran it")
    if len(bills) != 1:
        findings.broken.append(f"{name}: answered, with {len(bills)} bills")
        return
    used = {run.used_tokens for run in runs if run.finished}
    if result.planned.kind is not RequestKind.SERVICE and bills[0].tokens not in used:
        findings.broken.append(f"{name}: billed {bills[0].tokens} tokens, ran {sorted(used)}")
    if result.usage is not None and result.usage.total_tokens != bills[0].tokens:
        findings.broken.append(f"{name}: the caller was told another use than billed")


def _audit_budget(workspace: DemoWorkspace, truth: Truth, findings: Findings) -> None:
    """Check that the final budget record says what the bills say."""
    record = truth.budgets_by_workspace[workspace.name]
    billed = sum(
        bill.tokens
        for (name, _), bills in truth.bills_by_request.items()
        if name == workspace.name
        for bill in bills
    )
    charged = record.settled + record.withheld + record.outstanding
    findings.overspent_tokens += max(0, billed - workspace.granted, charged - workspace.granted)
    if record.granted != workspace.granted:
        findings.broken.append(f"{workspace.name}: granted {record.granted} tokens")
    if record.settled != billed:
        findings.broken.append(f"{workspace.name}: settled {record.settled}, billed {billed}")
    if record.outstanding or record.withheld:
        held = record.outstanding + record.withheld
        findings.broken.append(f"{workspace.name}: {held} tokens were not returned")


def _name(result: RequestResult) -> RequestName:
    """Return the name of a request."""
    return result.planned.workspace.name, result.planned.request_id
