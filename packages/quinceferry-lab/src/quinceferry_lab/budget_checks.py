"""Checks of spending and of bills."""

from collections.abc import Iterator

from quinceferry_core.bills import Bill
from quinceferry_core.models import WorkspaceId
from quinceferry_lab.histories import Answered, Attempt, History, Key
from quinceferry_lab.violations import Promise, Violation
from quinceferry_standins.runs import RunRecord


def granted_at_most(history: History, workspace: WorkspaceId, at: float) -> int:
    """Return the tokens granted at a time, with grants in progress."""
    grants = (grant for grant in history.top_ups if grant.workspace == workspace)
    return sum(grant.tokens for grant in grants if grant.started_at <= at)


def granted_at_least(history: History, workspace: WorkspaceId, at: float) -> int:
    """Return the tokens granted at a time, without grants in progress."""
    grants = (grant for grant in history.top_ups if grant.workspace == workspace)
    return sum(grant.tokens for grant in grants if grant.acknowledged_at <= at)


def overspent(history: History) -> Iterator[Violation]:
    """Compare what the upstreams used with what was granted, at every sample."""
    worst: set[WorkspaceId] = set()
    for sample in history.samples:
        granted = granted_at_most(history, sample.workspace, sample.at)
        if sample.tokens > granted and sample.workspace not in worst:
            worst.add(sample.workspace)
            yield Violation(
                Promise.SPEND_WITHIN_BUDGET,
                sample.at,
                f"upstreams used {sample.tokens} tokens of {granted} granted",
                sample.workspace,
            )


def overbilled(history: History) -> Iterator[Violation]:
    """Compare the bills with what was granted."""
    for workspace, closing in history.closings.items():
        billed = sum(bill.tokens for bill in closing.bills)
        granted = granted_at_most(history, workspace, history.ended_at)
        if billed > granted:
            detail = f"bills of {billed} tokens exceed {granted} granted"
            yield Violation(Promise.SPEND_WITHIN_BUDGET, history.ended_at, detail, workspace)


def freed_too_much(history: History) -> Iterator[Violation]:
    """Find tokens that the budget calls free although the upstreams used them."""
    for workspace, closing in history.closings.items():
        used = sum(run.used_tokens for run in history.runs if run.workspace == workspace)
        kept = closing.balance.granted - closing.balance.free
        if used > kept:
            detail = f"upstreams used {used} tokens, but only {kept} are not free"
            yield Violation(Promise.SPEND_WITHIN_BUDGET, history.ended_at, detail, workspace)


def wrong_grants(history: History) -> Iterator[Violation]:
    """Compare the balance with the top-ups that were acknowledged."""
    for workspace, closing in history.closings.items():
        least = granted_at_least(history, workspace, history.ended_at)
        most = granted_at_most(history, workspace, history.ended_at)
        if not least <= closing.balance.granted <= most:
            detail = f"{closing.balance.granted} tokens granted, but {least} to {most} topped up"
            yield Violation(Promise.SPEND_WITHIN_BUDGET, history.ended_at, detail, workspace)


def wrongly_billed(history: History) -> Iterator[Violation]:
    """Find answers without exactly one right bill, and bills without a run."""
    runs_by_key = history.runs_by_key()
    attempts_by_key = history.attempts_by_key()
    for workspace, closing in history.closings.items():
        bills_by_key: dict[Key, list[Bill]] = {}
        for bill in closing.bills:
            bills_by_key.setdefault(Key(workspace, str(bill.request)), []).append(bill)
        keys = set(bills_by_key) | {key for key in attempts_by_key if key.workspace == workspace}
        for key in sorted(keys):
            fault = _bill_fault(
                bills_by_key.get(key, []), attempts_by_key.get(key, []), runs_by_key.get(key, [])
            )
            if fault:
                yield Violation(Promise.BILLED_ONCE, history.ended_at, fault, key.workspace, key)


def _bill_fault(bills: list[Bill], attempts: list[Attempt], runs: list[RunRecord]) -> str:
    """Return what is wrong with the bills of one request, or nothing."""
    if len(bills) > 1:
        return f"{len(bills)} bills"
    ends = [attempt.end for attempt in attempts if isinstance(attempt.end, Answered)]
    if ends and not bills:
        return "a wholly answered request has no bill"
    if not bills:
        return ""
    if not runs:
        return "a bill although no upstream ran the request"
    used = [run.used_tokens for run in runs]
    bill = bills[0]
    if bill.estimated and not ends:
        return ""
    if bill.tokens not in used and not bill.estimated:
        return f"a bill of {bill.tokens} tokens, but the runs used {used}"
    if ends and not bill.estimated and bill.tokens != ends[-1].usage.total:
        return f"a bill of {bill.tokens} tokens, but the answer took {ends[-1].usage.total}"
    return ""
