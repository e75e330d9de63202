"""Budget record of one workspace and the transitions that keep it from being overspent.

The record is the only lasting account of prepaid tokens. Each transition returns a new record,
which its caller writes by compare-and-swap. ``settled``, ``withheld`` and all allotments together
never exceed ``granted``.
"""

from dataclasses import dataclass, field, replace

from returns.result import Failure, Result, Success

from quinceferry_core.models import IncarnationId, OperationId, WorkspaceId

BUDGET_PREFIX = "budgets/"
TOP_UP_PREFIX = "topups/"
MAX_PENDING_TOP_UPS = 64


@dataclass(slots=True, frozen=True)
class Allotment:
    """Tokens that one incarnation may spend.

    ``drawn`` is cumulative: tokens drawn less tokens returned, including those already spent.
    ``spent`` is the holder's last report and only informs. ``outage_tokens`` is the part that the
    incarnation may spend before recording it in its journal; a closed journal alone does not prove
    this part unspent. ``sequence`` numbers the holder's operations on this record. A closed
    allotment belongs to a closed incarnation and can no longer grow.
    """

    drawn: int = 0
    spent: int = 0
    outage_tokens: int = 0
    sequence: int = 0
    closed: bool = False


@dataclass(slots=True, frozen=True)
class BudgetRecord:
    """Budget of one workspace, in tokens.

    ``settled`` counts tokens spent by incarnations that have left, ``withheld`` those that may have
    been spent and that nobody can account for. ``pending_top_ups`` holds operation ids of top-ups
    whose own record is not yet marked as applied.
    """

    workspace: WorkspaceId
    granted: int = 0
    settled: int = 0
    withheld: int = 0
    allotments_by_incarnation: dict[IncarnationId, Allotment] = field(default_factory=dict)
    pending_top_ups: tuple[OperationId, ...] = ()

    @property
    def outstanding(self) -> int:
        """Return the tokens in allotments, spent or not."""
        return sum(allotment.drawn for allotment in self.allotments_by_incarnation.values())

    @property
    def free(self) -> int:
        """Return the tokens in no allotment, not settled and not withheld."""
        return self.granted - self.settled - self.withheld - self.outstanding


@dataclass(slots=True, frozen=True)
class TopUpRecord:
    """One top-up, kept for good so that a repeated call is recognised."""

    operation: OperationId
    tokens: int
    applied: bool = False


@dataclass(slots=True, frozen=True)
class BudgetShortfall:
    """The record holds too few free tokens."""

    wanted: int
    free: int


@dataclass(slots=True, frozen=True)
class DrawPolicy:
    """How many unused tokens a router holds ahead of demand.

    ``horizon_seconds`` of its own demand and at least ``min_tokens``, but not more than
    ``max_share`` of the workspace's unspent tokens, nor than an equal part for each holder.
    """

    horizon_seconds: float
    min_tokens: int
    max_share: float


def budget_key(workspace: WorkspaceId) -> str:
    """Return the key of a workspace's budget record."""
    return f"{BUDGET_PREFIX}{workspace}"


def top_up_key(workspace: WorkspaceId, operation: OperationId) -> str:
    """Return the key of one top-up."""
    return f"{TOP_UP_PREFIX}{workspace}/{operation}"


def target_unspent_tokens(
    record: BudgetRecord,
    incarnation: IncarnationId,
    tokens_per_second: float,
    policy: DrawPolicy,
) -> int:
    """Decide how many unused tokens a router should hold.

    An equal part for each holder leaves none without when the routers can no longer reach the
    record. The parts shrink as the budget empties.

    :param tokens_per_second: the router's recent demand.
    """
    open_by_incarnation = {
        name: allotment
        for name, allotment in record.allotments_by_incarnation.items()
        if not allotment.closed
    }
    unspent = record.free + sum(
        max(0, allotment.drawn - allotment.spent) for allotment in open_by_incarnation.values()
    )
    holders = len(open_by_incarnation.keys() | {incarnation})
    part = int(unspent * min(policy.max_share, 1.0 / holders))
    wanted = max(policy.min_tokens, int(tokens_per_second * policy.horizon_seconds))
    return min(wanted, part)


def resize_allotment(
    record: BudgetRecord, incarnation: IncarnationId, wanted: Allotment
) -> Result[BudgetRecord, BudgetShortfall]:
    """Replace an open allotment; more tokens come from the free ones, fewer go back to them.

    :param wanted: the new allotment; the holder has already given up what it returns.
    """
    current = record.allotments_by_incarnation.get(incarnation, Allotment())
    growth = wanted.drawn - current.drawn
    if growth > max(0, record.free):
        return Failure(BudgetShortfall(growth, record.free))
    return Success(_with_allotment(record, incarnation, wanted))


def close_allotment(
    record: BudgetRecord, incarnation: IncarnationId, kept_tokens: int
) -> BudgetRecord:
    """Close an allotment and free all but ``kept_tokens`` of its tokens; never raises it."""
    current = record.allotments_by_incarnation.get(incarnation)
    if current is None:
        return record
    drawn = min(current.drawn, kept_tokens)
    changed = replace(current, drawn=drawn, closed=True)
    return _with_allotment(record, incarnation, changed)


def retire_allotment(
    record: BudgetRecord, incarnation: IncarnationId, spent: int, withheld: int = 0
) -> BudgetRecord:
    """Replace an allotment by what was spent of it; the rest becomes free.

    :param withheld: tokens that may have been spent without a record.
    """
    current = record.allotments_by_incarnation.get(incarnation)
    if current is None:
        return record
    others = dict(record.allotments_by_incarnation)
    del others[incarnation]
    settled = min(spent, current.drawn)
    unknown = min(withheld, current.drawn - settled)
    return replace(
        record,
        settled=record.settled + settled,
        withheld=record.withheld + unknown,
        allotments_by_incarnation=others,
    )


def top_up(record: BudgetRecord, operation: OperationId, tokens: int) -> BudgetRecord:
    """Grant tokens once for each operation id."""
    if operation in record.pending_top_ups:
        return record
    pending = (*record.pending_top_ups, operation)
    return replace(record, granted=record.granted + tokens, pending_top_ups=pending)


def remove_pending_top_up(record: BudgetRecord, operation: OperationId) -> BudgetRecord:
    """Drop an operation id whose own record is marked as applied."""
    pending = tuple(pending_id for pending_id in record.pending_top_ups if pending_id != operation)
    return replace(record, pending_top_ups=pending)


def _with_allotment(
    record: BudgetRecord, incarnation: IncarnationId, allotment: Allotment
) -> BudgetRecord:
    """Return the record with one allotment replaced."""
    allotments = {**record.allotments_by_incarnation, incarnation: allotment}
    return replace(record, allotments_by_incarnation=allotments)
