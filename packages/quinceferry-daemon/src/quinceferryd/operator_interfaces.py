"""What the operators' interface needs of the application."""

from typing import Protocol

from returns.result import Result

from quinceferry_core.bills import Balance, BillPage
from quinceferry_core.configuration import ChangeBuilder, ChangeStatus, ConfigurationConflict
from quinceferry_core.membership import IncarnationRecord, Member
from quinceferry_core.models import IncarnationId, OperationId, WorkspaceId
from quinceferryd.blackboard import Blackboard
from quinceferryd.budgets import TopUpRejected
from quinceferryd.settings import Settings


class OperatorService(Protocol):
    """What the calls need of the fleet."""

    async def propose(
        self,
        change: ChangeBuilder,
        expected_revision: int,
        operation_id: OperationId,
        fingerprint: str = "",
    ) -> Result[ChangeStatus, ConfigurationConflict]:
        """Enter a change into the configuration, once for each operation id.

        :raises QuinceferryError: it is not known whether it was entered.
        """

    async def status_of_operation(self, operation_id: OperationId) -> ChangeStatus | None:
        """Return how far a change has come; None when it was never entered."""

    async def drain(
        self, incarnation: IncarnationId, operation_id: OperationId
    ) -> Result[Member, str]:
        """Have a router stop gracefully."""

    async def declare_gone(self, incarnation: IncarnationId) -> Result[IncarnationRecord, str]:
        """Record that a router's process has ended, on the operator's word."""


class BudgetService(Protocol):
    """What the calls need of budgets."""

    async def top_up(
        self, workspace: WorkspaceId, tokens: int, operation: OperationId
    ) -> Result[Balance, TopUpRejected]:
        """Grant tokens, once for each operation id."""

    async def balance(self, workspace: WorkspaceId) -> Balance:
        """Read a workspace's balance."""

    async def bills(self, workspace: WorkspaceId, cursor: str = "") -> BillPage:
        """Read a page of a workspace's bills."""


class RequestCounter(Protocol):
    """Counts the requests in progress at this router."""

    open_requests: int


class OperatorApplication(Protocol):
    """One router, seen from its operators' interface."""

    settings: Settings
    blackboard: Blackboard
    operators: OperatorService
    budgets: BudgetService
    pipeline: RequestCounter
