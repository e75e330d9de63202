"""State of an incarnation's allotment of one workspace's budget, and decoding of budget records."""

import asyncio
from dataclasses import dataclass, field

import msgspec

from quinceferry_core.adapters import KvEntry
from quinceferry_core.budgets import BudgetRecord, BudgetShortfall
from quinceferry_core.ledgers import Ledger
from quinceferry_core.models import WorkspaceId

MAX_CAS_ATTEMPTS = 12
"""Compare-and-swap attempts on a budget record before giving up."""


@dataclass(slots=True, frozen=True)
class BudgetUnreachable:
    """Failure to draw tokens because the budget record could not be read or written."""

    wanted: int


ReserveError = BudgetShortfall | BudgetUnreachable


@dataclass(slots=True)
class Holding:
    """State of this incarnation's allotment of one workspace's budget.

    ``sequence`` is the number of the last operation on the budget record, and ``has_unknown_write``
    is set if its answer was lost. ``record`` is the budget record as last read or written.
    ``next_settlement`` is set and replaced at each settlement. Times are in monotonic seconds.
    """

    ledger: Ledger = field(default_factory=Ledger)
    sequence: int = 0
    record: BudgetRecord | None = None
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    next_settlement: asyncio.Event = field(default_factory=asyncio.Event)
    has_unknown_write: bool = False
    is_refilling: bool = False
    last_refill_at: float = float("-inf")
    last_used_at: float = 0.0


def decode_budget(workspace: WorkspaceId, entry: KvEntry | None) -> BudgetRecord:
    """Decode a budget record; return an empty record if the key is absent."""
    if entry is None:
        return BudgetRecord(workspace)
    return msgspec.json.decode(entry.value, type=BudgetRecord)
