"""Budget record of one workspace and its transitions, which prevent overspending.

The record is the only durable account of prepaid tokens. Each transition returns a new record,
which the caller writes by compare-and-swap. The sum of ``settled``, ``withheld`` and all allotments
never exceeds ``granted``.
"""

from dataclasses import dataclass, field, replace

from returns.result import Failure, Result, Success

from quinceferry_core.models import IncarnationId, OperationId, WorkspaceId

BUDGET_PREFIX = "budgets/"
TOP_UP_PREFIX = "topups/"
MAX_PENDING_TOP_UPS = 64


@dataclass(slots=True, frozen=True)
class Allotment:
    """Tokens of a workspace that one incarnation may spend.

    ``drawn`` is cumulative: tokens drawn minus tokens returned, including those already spent.
    ``spent`` is the holder's last report and informative only. ``outage_tokens`` is the part that
    the incarnation may spend before recording it in its journal; a closed journal alone does not
    prove that this part is unspent. ``sequence`` numbers the holder's operations on this record. A
    closed allotment belongs to a closed incarnation and can no longer grow.
    """

    drawn: int = 0
    spent: int = 0
    outage_tokens: int = 0
    sequence: int = 0
    closed: bool = False


@dataclass(slots=True, frozen=True)
class BudgetRecord:
    """Budget of one workspace, in tokens.

    ``settled`` counts tokens spent by retired incarnations, ``withheld`` tokens that may have been
    spent without a record of it. ``pending_top_ups`` holds the operation ids of top-ups whose own
    record is not yet marked as applied.
    """

    workspace: WorkspaceId
    granted: int = 0
    settled: int = 0
    withheld: int = 0
    allotments_by_incarnation: dict[IncarnationId, Allotment] = field(default_factory=dict)
    pending_top_ups: tuple[OperationId, ...] = ()

    @property
    def outstanding(self) -> int:
        """Return the tokens in all allotments, spent or not."""
        return sum(allotment.drawn for allotment in self.allotments_by_incarnation.values())

    @property
    def free(self) -> int:
        """Return the tokens that are neither allotted nor settled nor withheld."""
        return self.granted - self.settled - self.withheld - self.outstanding


@dataclass(slots=True, frozen=True)
class TopUpRecord:
    """One top-up, kept permanently so that a repeated call is recognised."""

    operation: OperationId
    tokens: int
    applied: bool = False


@dataclass(slots=True, frozen=True)
class BudgetShortfall:
    """The budget record has too few free tokens."""

    wanted: int
    free: int


@dataclass(slots=True, frozen=True)
class DrawPolicy:
    """How many unspent tokens a router draws ahead of demand.

    The tokens for ``horizon_seconds`` of its own demand and at least ``min_tokens``, but at most
    ``max_share`` of the workspace's unspent tokens and at most an equal share for each holder.
    """

    horizon_seconds: float
    min_tokens: int
    max_share: float


def budget_key(workspace: WorkspaceId) -> str:
    """Return the key of a workspace's budget record."""
    return f"{BUDGET_PREFIX}{workspace}"


def top_up_key(workspace: WorkspaceId, operation: OperationId) -> str:
    """Return the key of a top-up record."""
    return f"{TOP_UP_PREFIX}{workspace}/{operation}"


def target_unspent_tokens(
    record: BudgetRecord,
    incarnation: IncarnationId,
    tokens_per_second: float,
    policy: DrawPolicy,
) -> int:
    """Return how many unspent tokens a router should hold.

    The limit of an equal share leaves tokens for every holder when the routers can no longer reach
    the record. The shares shrink as the budget is spent.

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
    share = int(unspent * min(policy.max_share, 1.0 / holders))
    wanted = max(policy.min_tokens, int(tokens_per_second * policy.horizon_seconds))
    return min(wanted, share)


def resize_allotment(
    record: BudgetRecord, incarnation: IncarnationId, wanted: Allotment
) -> Result[BudgetRecord, BudgetShortfall]:
    """Replace an open allotment, drawing from the free tokens or returning tokens to them.

    :param wanted: the new allotment; the holder has already stopped using the returned tokens.
    """
    current = record.allotments_by_incarnation.get(incarnation, Allotment())
    growth = wanted.drawn - current.drawn
    if growth > max(0, record.free):
        return Failure(BudgetShortfall(growth, record.free))
    return Success(_with_allotment(record, incarnation, wanted))


def close_allotment(
    record: BudgetRecord, incarnation: IncarnationId, kept_tokens: int
) -> BudgetRecord:
    """Close an allotment and free all but ``kept_tokens`` of its tokens.

    An allotment that already has fewer tokens is not increased.
    """
    current = record.allotments_by_incarnation.get(incarnation)
    if current is None:
        return record
    drawn = min(current.drawn, kept_tokens)
    changed = replace(current, drawn=drawn, closed=True)
    return _with_allotment(record, incarnation, changed)


def retire_allotment(
    record: BudgetRecord, incarnation: IncarnationId, spent: int, withheld: int = 0
) -> BudgetRecord:
    """Replace an allotment by its spent tokens and free the rest.

    :param withheld: tokens that may have been spent without a record of it.
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
    """Grant tokens, once for each operation id."""
    if operation in record.pending_top_ups:
        return record
    pending = (*record.pending_top_ups, operation)
    return replace(record, granted=record.granted + tokens, pending_top_ups=pending)


def remove_pending_top_up(record: BudgetRecord, operation: OperationId) -> BudgetRecord:
    """Remove the operation id of a top-up whose own record is marked as applied."""
    pending = tuple(pending_id for pending_id in record.pending_top_ups if pending_id != operation)
    return replace(record, pending_top_ups=pending)


def _with_allotment(
    record: BudgetRecord, incarnation: IncarnationId, allotment: Allotment
) -> BudgetRecord:
    """Return the record with one allotment replaced."""
    allotments = {**record.allotments_by_incarnation, incarnation: allotment}
    return replace(record, allotments_by_incarnation=allotments)
