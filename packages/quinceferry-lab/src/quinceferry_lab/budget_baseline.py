"""Baseline for budgets: every router gets an equal part, and nothing ever moves."""

from returns.result import Failure, Result, Success

from quinceferry_core.budgets import BudgetShortfall
from quinceferry_core.exceptions import KvConflictError, KvUnavailableError
from quinceferry_core.models import RequestId, WorkspaceId
from quinceferryd.allotments import AllotmentController
from quinceferryd.holdings import Holding, ReserveError

ROUTERS = 9
"""Routers among which each budget is split."""


class EqualSplitAllotments(AllotmentController):
    """Draws an equal part of what was granted, and refuses when it is used up."""

    async def reserve(
        self, workspace: WorkspaceId, request: RequestId, tokens: int
    ) -> Result[int, ReserveError]:
        """Reserve from this router's part."""
        holding = self.holdings_by_workspace.setdefault(workspace, Holding())
        holding.last_used_at = self._clock.monotonic()
        if holding.ledger.available < tokens:
            async with holding.lock:
                await self._draw_part(workspace, holding)
        reserved = holding.ledger.reserve(request, tokens)
        if isinstance(reserved, Success):
            return reserved
        return Failure(BudgetShortfall(tokens, holding.ledger.available))

    async def _draw_part(self, workspace: WorkspaceId, holding: Holding) -> None:
        """Raise the allotment to an equal part of the grant, if the service answers."""
        for _ in range(ROUTERS):
            try:
                entry, record = await self._read_record(workspace, holding)
                missing = record.granted // ROUTERS - holding.ledger.drawn
                if 0 < missing <= record.free:
                    await self._write_allotment(workspace, holding, entry, record, missing)
                return
            except KvConflictError:
                continue
            except KvUnavailableError:
                return
