"""Seeded defects of the router, put into force from outside to show that the checker can fail."""

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from dataclasses import replace
from itertools import count
from typing import Any
from unittest.mock import patch

import msgspec
from returns.result import Result, Success

from quinceferry_core.budgets import Allotment, BudgetRecord
from quinceferry_core.exceptions import KvConflictError, KvUnavailableError
from quinceferry_core.journals import Slot, slot_key
from quinceferry_core.models import CallerRequest, OperationId, WorkspaceId
from quinceferry_core.outcomes import Chunk, Failed, NotRun, NotRunProof, Outcome
from quinceferry_core.reassembly import Reassembler
from quinceferryd.accounts import Account
from quinceferryd.allotments import AllotmentController, Holding
from quinceferryd.attempts import AttemptLoop
from quinceferryd.budgets import BudgetService
from quinceferryd.journal import JournalWriter
from quinceferryd.runs import RunStore
from quinceferryd.shortages import Cover, Reserved, ShortageHandler


@contextmanager
def no_reservation() -> Iterator[None]:
    """Dispatch requests without reserving tokens for them."""

    async def cover(
        handler: ShortageHandler, account: Account, request: CallerRequest, tokens: int
    ) -> Result[Cover, Failed]:
        return Success(Reserved())

    with patch.object(ShortageHandler, "cover", cover):
        yield


@contextmanager
def close_ignored() -> Iterator[None]:
    """Go on appending to a journal that another router has closed, and spending."""

    async def write(journal: JournalWriter, value: bytes, name: str) -> bool:
        kv = journal._kv
        while True:
            key = slot_key(journal.incarnation, journal.next_slot)
            try:
                await kv.put_if(key, value, 0)
                return True
            except KvConflictError:
                found = await kv.get(key)
                if found and msgspec.json.decode(found.value, type=Slot).batch == name:
                    return True
                journal.next_slot += 1

    with (
        patch.object(JournalWriter, "_write", write),
        patch.object(JournalWriter, "fence", lambda journal: None),
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

    with patch.object(AttemptLoop, "_broken_outcome", outcome):
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
def credit_after_return() -> Iterator[None]:
    """Take tokens off the own account only when their return is known to have taken effect."""

    async def give_back(
        controller: AllotmentController, workspace: WorkspaceId, holding: Holding, tokens: int
    ) -> int:
        try:
            entry, record = await controller._read(workspace, holding)
            tokens = min(tokens, holding.ledger.available)
            holding.sequence += 1
            await controller._write(workspace, holding, entry, record, -tokens)
        except (KvConflictError, KvUnavailableError):
            return 0
        return tokens

    with patch.object(AllotmentController, "_give_back", give_back):
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

    with patch("quinceferryd.recovery.close", close):
        yield


DEFECTS_BY_NAME: dict[str, Callable[[], AbstractContextManager[None]]] = {
    "no-reservation": no_reservation,
    "close-ignored": close_ignored,
    "no-deduplication": no_deduplication,
    "rerun-after-silence": rerun_after_silence,
    "top-up-without-operation": top_up_without_operation,
    "not-run-after-send": not_run_after_send,
    "stale-chunks": stale_chunks,
    "credit-after-return": credit_after_return,
    "closed-allotment-freed": closed_allotment_freed,
}
"""Defects by the name that the command line takes."""
