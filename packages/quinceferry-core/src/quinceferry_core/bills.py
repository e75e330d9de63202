"""Bills and balances for the operator API."""

from dataclasses import dataclass

from quinceferry_core.budgets import BudgetRecord
from quinceferry_core.journals import RequestKey, Settle
from quinceferry_core.models import IncarnationId, RequestId, WorkspaceId


@dataclass(slots=True, frozen=True)
class Bill:
    """The only bill of one request.

    ``estimated`` is set when no upstream reported the usage, ``partial`` when the caller left
    before the answer was complete.
    """

    workspace: WorkspaceId
    request: RequestId
    tokens: int
    paid_by: IncarnationId
    estimated: bool = False
    partial: bool = False


@dataclass(slots=True, frozen=True)
class BillPage:
    """Bills ordered by request id; ``next_cursor`` is empty on the last page."""

    bills: tuple[Bill, ...]
    next_cursor: str = ""


@dataclass(slots=True, frozen=True)
class Balance:
    """Tokens of one workspace.

    ``granted`` = ``settled`` + ``withheld`` + ``held_by_routers`` + ``free``. Routers spend from
    their allotments, so part of ``held_by_routers`` is already spent.
    """

    workspace: WorkspaceId
    granted: int
    settled: int
    withheld: int
    held_by_routers: int
    free: int

    @classmethod
    def from_record(cls, record: BudgetRecord) -> "Balance":
        """Return the balance of a budget record."""
        return cls(
            record.workspace,
            record.granted,
            record.settled,
            record.withheld,
            record.outstanding,
            record.free,
        )


def bill_page(
    bills_by_request: dict[RequestKey, Settle], workspace: WorkspaceId, cursor: str, size: int
) -> BillPage:
    """Return one page of a workspace's bills.

    :param cursor: last request id of the previous page; empty for the first page.
    :param size: maximum number of bills on a page.
    """
    later = sorted(
        key.request
        for key in bills_by_request
        if key.workspace == workspace and key.request > cursor
    )
    chosen = later[:size]
    bills = tuple(
        _bill_from_entry(bills_by_request[RequestKey(workspace, request)]) for request in chosen
    )
    return BillPage(bills, chosen[-1] if len(later) > size else "")


def _bill_from_entry(entry: Settle) -> Bill:
    """Return the bill for a journal entry."""
    return Bill(
        entry.workspace,
        entry.request,
        entry.used,
        entry.origin,
        entry.estimated,
        entry.partial,
    )
