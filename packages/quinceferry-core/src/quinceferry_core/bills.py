"""Bills and balances as operators see them."""

from dataclasses import dataclass

from quinceferry_core.budgets import BudgetRecord
from quinceferry_core.journals import RequestKey, Settle
from quinceferry_core.models import IncarnationId, RequestId, WorkspaceId


@dataclass(slots=True, frozen=True)
class Bill:
    """The single bill of one request; ``estimated`` when no upstream could tell the use."""

    workspace: WorkspaceId
    request: RequestId
    tokens: int
    paid_by: IncarnationId
    estimated: bool = False
    partial: bool = False


@dataclass(slots=True, frozen=True)
class BillPage:
    """Bills in order of request id; ``next_cursor`` is empty on the last page."""

    bills: tuple[Bill, ...]
    next_cursor: str = ""


@dataclass(slots=True, frozen=True)
class Balance:
    """Tokens of one workspace.

    ``granted`` = ``settled`` + ``withheld`` + ``held_by_routers`` + ``free``. Routers spend from
    what they hold, so a part of ``held_by_routers`` is already spent.
    """

    workspace: WorkspaceId
    granted: int
    settled: int
    withheld: int
    held_by_routers: int
    free: int

    @classmethod
    def from_record(cls, record: BudgetRecord) -> "Balance":
        """Return the balance that a record shows."""
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
    """Cut one page out of a workspace's bills.

    :param cursor: last request id of the previous page, or empty.
    :param size: most bills on a page.
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
    """Return the bill that a journal entry stands for."""
    return Bill(
        entry.workspace,
        entry.request,
        entry.used,
        entry.origin,
        entry.estimated,
        entry.partial,
    )
