"""What an incarnation holds of one workspace's budget, and the budget record as it is stored."""

import asyncio
from dataclasses import dataclass, field

import msgspec

from quinceferry_core.adapters import KvEntry
from quinceferry_core.budgets import BudgetRecord, BudgetShortfall
from quinceferry_core.ledgers import Ledger
from quinceferry_core.models import WorkspaceId

MAX_CAS_ATTEMPTS = 12
"""How often a changed record is read and written again before giving up."""


@dataclass(slots=True, frozen=True)
class BudgetUnreachable:
    """The key-value service did not answer, so no tokens could be drawn."""

    wanted: int


ReserveError = BudgetShortfall | BudgetUnreachable


@dataclass(slots=True)
class Holding:
    """What this incarnation holds of one workspace's budget.

    ``sequence`` numbers the last operation tried on the budget record; ``has_unknown_write`` means
    that its answer was lost. ``record`` is the record as last read. Times are in monotonic seconds.
    """

    ledger: Ledger = field(default_factory=Ledger)
    sequence: int = 0
    record: BudgetRecord | None = None
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    next_settlement: asyncio.Event = field(default_factory=asyncio.Event)
    has_unknown_write: bool = False
    refilling: bool = False
    last_refill_at: float = float("-inf")
    last_used_at: float = 0.0


def decode_budget(workspace: WorkspaceId, entry: KvEntry | None) -> BudgetRecord:
    """Decode a budget record; an absent one is empty."""
    if entry is None:
        return BudgetRecord(workspace)
    return msgspec.json.decode(entry.value, type=BudgetRecord)
