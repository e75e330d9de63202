"""Seeded defects of the router, put into force from outside to show that the checker can fail."""

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from dataclasses import dataclass, replace
from itertools import count
from typing import Any
from unittest.mock import patch

import msgspec
from returns.result import Result, Success

from quinceferry_core.adapters import ABSENT_VERSION
from quinceferry_core.budgets import Allotment, BudgetRecord
from quinceferry_core.exceptions import KvConflictError
from quinceferry_core.journals import Slot, slot_key
from quinceferry_core.models import CallerRequest, IncarnationId, OperationId, WorkspaceId
from quinceferry_core.outcomes import Chunk, Failed, NotRun, NotRunProof, Outcome
from quinceferry_core.reassembly import Reassembler
from quinceferry_lab.trials import SHORT_PLAN, TrialPlan
from quinceferry_lab.violations import Promise
from quinceferryd.accounts import Account, AccountController
from quinceferryd.attempts import AttemptLoop
from quinceferryd.blackboard import RouterState
from quinceferryd.budgets import BudgetService
from quinceferryd.journal import JournalWriter
from quinceferryd.runs import RunStore
from quinceferryd.shortages import Reserved, ReserveOutcome, ShortageHandler
from quinceferryd.shutdown import ShutdownController


@contextmanager
def no_reservation() -> Iterator[None]:
    """Dispatch requests without reserving tokens for them."""

    async def reserve_or_find_holders(
        handler: ShortageHandler, account: Account, request: CallerRequest, tokens: int
    ) -> Result[ReserveOutcome, Failed]:
        return Success(Reserved())

    with patch.object(ShortageHandler, "reserve_or_find_holders", reserve_or_find_holders):
        yield


@contextmanager
def close_ignored() -> Iterator[None]:
    """Go on appending to a journal that another router has closed, and spending."""

    async def write(journal: JournalWriter, value: bytes, name: str) -> bool:
        kv = journal._kv
        while True:
            key = slot_key(journal.incarnation, journal.next_slot)
            try:
                await kv.put_if(key, value, ABSENT_VERSION)
                return True
            except KvConflictError:
                found = await kv.get(key)
                if found and msgspec.json.decode(found.value, type=Slot).batch == name:
                    return True
                journal.next_slot += 1

    async def close(accounts: AccountController, incarnation: IncarnationId) -> None:
        return

    with (
        patch.object(JournalWriter, "_write", write),
        patch.object(JournalWriter, "fence", lambda journal: None),
        patch.object(AccountController, "close", close),
    ):
        yield


@contextmanager
def no_deduplication() -> Iterator[None]:
    """Run a repeated request as if it were new."""
    with patch.object(RunStore, "find", lambda store, key: None):
        yield


@contextmanager
def rerun_after_silence() -> Iterator[None]:
    """Send a non-idempotent request again when its connection went silent or broke."""
    original = AttemptLoop._retry_obstacle

    def obstacle(loop: AttemptLoop, attempt: Any, ending: Any) -> str:
        found = original(loop, attempt, ending)
        return "" if "non-idempotent" in found else found

    with patch.object(AttemptLoop, "_retry_obstacle", obstacle):
        yield


@contextmanager
def top_up_without_operation() -> Iterator[None]:
    """Forget which top-ups were applied, so that a repeated call grants again."""
    original = BudgetService.top_up
    numbers = count()

    async def top_up(
        service: BudgetService, workspace: WorkspaceId, tokens: int, operation: OperationId
    ) -> Any:
        return await original(
            service, workspace, tokens, OperationId(f"{operation}-{next(numbers)}")
        )

    with patch.object(BudgetService, "top_up", top_up):
        yield


@contextmanager
def not_run_after_send() -> Iterator[None]:
    """Tell callers "not run" whenever an answer did not come whole."""

    def outcome(loop: AttemptLoop) -> Outcome:
        return NotRun(NotRunProof.NEVER_SENT)

    with patch.object(AttemptLoop, "_incomplete_outcome", outcome):
        yield


@contextmanager
def stale_chunks() -> Iterator[None]:
    """Deliver every chunk as it arrives, whichever connection brought it and in any order."""

    def accept(chunks: Reassembler, chunk: Chunk) -> list[Chunk]:
        chunks.next_offset = max(chunks.next_offset, chunk.offset + chunk.tokens)
        return [chunk]

    with patch.object(Reassembler, "accept", accept):
        yield


@contextmanager
def closed_allotment_freed() -> Iterator[None]:
    """Free the whole allotment of a router that seems dead, without any proof."""

    def close(record: BudgetRecord, incarnation: Any, kept: int) -> BudgetRecord:
        held = record.allotments_by_incarnation.get(incarnation)
        if held is None:
            return record
        others = {**record.allotments_by_incarnation, incarnation: Allotment(closed=True)}
        return replace(record, allotments_by_incarnation=others)

    with patch("quinceferryd.recovered_budgets.close_allotment", close):
        yield


@contextmanager
def stop_without_finishing() -> Iterator[None]:
    """Stop as planned, but wait neither for stale answers nor for open requests."""

    async def leave_at_once(shutdown: ShutdownController) -> None:
        shutdown._blackboard.state = RouterState.LEFT

    async def wait_not(shutdown: ShutdownController) -> None:
        return

    with (
        patch.object(ShutdownController, "_wait_for_answers", wait_not),
        patch.object(ShutdownController, "_finish_requests", leave_at_once),
    ):
        yield


@dataclass(slots=True, frozen=True)
class Defect:
    """A defect, the runs that show it, and the promise that breaks in them."""

    apply: Callable[[], AbstractContextManager[None]]
    promise: Promise
    plan: TrialPlan


def _short(*fault_names: str, service_share: float = 0.2) -> TrialPlan:
    """Return a short run with some kinds of faults."""
    return replace(SHORT_PLAN, fault_names=fault_names, service_share=service_share)


_STREAM_FAULTS = ("silence-streams", "break-streams", "flaky-streams")
_PAUSES = TrialPlan(("long-pause",), 60.0, quiet_seconds=5.0, service_share=0.9)

DEFECTS_BY_NAME = {
    "no-reservation": Defect(no_reservation, Promise.SPEND_WITHIN_BUDGET, _short("kv-slow")),
    "close-ignored": Defect(close_ignored, Promise.NOT_RUN_IS_TRUE, _PAUSES),
    "no-deduplication": Defect(
        no_deduplication,
        Promise.AT_MOST_ONCE,
        _short("break-connections", "flaky-streams", service_share=0.6),
    ),
    "rerun-after-silence": Defect(
        rerun_after_silence, Promise.AT_MOST_ONCE, _short(*_STREAM_FAULTS, service_share=0.6)
    ),
    "top-up-without-operation": Defect(
        top_up_without_operation, Promise.SPEND_WITHIN_BUDGET, _short("lost-answers")
    ),
    "not-run-after-send": Defect(
        not_run_after_send, Promise.NOT_RUN_IS_TRUE, _short(*_STREAM_FAULTS, "engine-crash")
    ),
    "stale-chunks": Defect(stale_chunks, Promise.WHOLE_OWN_ANSWER, _short(*_STREAM_FAULTS)),
    "closed-allotment-freed": Defect(
        closed_allotment_freed, Promise.SPEND_WITHIN_BUDGET, _short("kill", "pause")
    ),
    "stop-without-finishing": Defect(
        stop_without_finishing, Promise.STOP_CUTS_NOTHING, _short("stop")
    ),
}
"""Defects by the name that the command line takes."""
