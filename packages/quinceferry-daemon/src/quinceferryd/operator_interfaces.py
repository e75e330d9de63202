"""Protocols of the components that the operator API depends on."""

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
    """Configuration changes and router lifecycle, as used by the operator API."""

    async def propose(
        self,
        change: ChangeBuilder,
        expected_revision: int,
        operation_id: OperationId,
        fingerprint: str = "",
    ) -> Result[ChangeStatus, ConfigurationConflict]:
        """Append a change to the configuration log, once per operation id.

        :raises QuinceferryError: it is unknown whether the change was appended.
        """

    async def status_of_operation(self, operation_id: OperationId) -> ChangeStatus | None:
        """Return the progress of a change, or None if it was never appended to the log."""

    async def drain(
        self, incarnation: IncarnationId, operation_id: OperationId
    ) -> Result[Member, str]:
        """Order a router to stop gracefully."""

    async def declare_gone(self, incarnation: IncarnationId) -> Result[IncarnationRecord, str]:
        """Record the operator's declaration that a router's process has terminated."""


class BudgetService(Protocol):
    """Budgets and bills of workspaces, as used by the operator API."""

    async def top_up(
        self, workspace: WorkspaceId, tokens: int, operation: OperationId
    ) -> Result[Balance, TopUpRejected]:
        """Add prepaid tokens to a workspace, once per operation id."""

    async def balance(self, workspace: WorkspaceId) -> Balance:
        """Return the balance of a workspace."""

    async def bills(self, workspace: WorkspaceId, cursor: str = "") -> BillPage:
        """Return a page of the bills of a workspace."""


class RequestCounter(Protocol):
    """Provides the number of requests in progress at this router."""

    open_requests: int


class OperatorApplication(Protocol):
    """The parts of the router application that the operator API uses."""

    settings: Settings
    blackboard: Blackboard
    operators: OperatorService
    budgets: BudgetService
    pipeline: RequestCounter
