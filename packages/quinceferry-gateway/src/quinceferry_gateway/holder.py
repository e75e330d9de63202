"""The tokens that this gateway holds for the fleet: drawn, reserved, settled and returned."""

import msgspec

from quinceferry_core.adapters import ABSENT_VERSION, KvEntry, KvStore
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import KvConflictError, KvError
from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.budgets import (
    Account,
    BudgetRecord,
    DrawPolicy,
    WorkspaceBudget,
    return_allotment,
    update_allotment,
)
from quinceferry_gateway.controllers import Controller
from quinceferry_gateway.logs import log
from quinceferry_gateway.peers import ReserveReply, Settlement
from quinceferry_gateway.rendezvous import ranked

BUDGET_KEY = "quinceferry/budgets/0"
"""All workspaces of a small fleet share one record, so that one write renews all allotments."""
CHECK_SECONDS = 0.25
"""How often a holder looks whether to draw more."""
REPORT_SECONDS = 2.0
"""How often spending is reported though no draw is due; bounds what a killed holder strands."""
TRIES = 5
"""Conflicts in a row after which a write waits for the next check."""
RETURN_TRIES = 3


def holders_of(board: Blackboard) -> list[str]:
    """Return the incarnations that should hold tokens: one for each availability zone."""
    members_by_incarnation = {member.incarnation: member for member in board.usable_members()}
    chosen_by_zone: dict[str, str] = {}
    for incarnation in ranked(BUDGET_KEY, members_by_incarnation):
        chosen_by_zone.setdefault(members_by_incarnation[incarnation].zone, incarnation)
    return list(chosen_by_zone.values())


class TokenHolder(Controller):
    """Holds allotments of workspaces and sets tokens aside for requests of all gateways.

    :param policy: how much to keep at hand.
    """

    def __init__(
        self, blackboard: Blackboard, store: KvStore, clock: Clock, policy: DrawPolicy
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._store = store
        self._clock = clock
        self._policy = policy
        self._entry: KvEntry | None = None
        self._record = BudgetRecord()
        self._known = False
        self._closed = False
        self._reported_at = clock.monotonic()
        self._ended_early: dict[str, float] = {}
        self.accounts_by_workspace: dict[str, Account] = {}

    async def start(self) -> None:
        """Begin to draw."""
        self.spawn(self._draw_forever(), "allotments")

    @property
    def holding(self) -> bool:
        """Tell whether this gateway is one that should hold tokens."""
        return self._blackboard.own.incarnation in holders_of(self._blackboard)

    def reserve(self, reservation: str, workspace: str, tokens: int) -> ReserveReply:
        """Set tokens aside, if the allotment covers them."""
        account = self.accounts_by_workspace.get(workspace)
        if account is None or self._closed or reservation in self._ended_early:
            return ReserveReply(False, self._left_at_most(workspace))
        reserved = account.reserve(reservation, tokens)
        return ReserveReply(reserved, self._left_at_most(workspace))

    def settle(self, settlement: Settlement) -> None:
        """End a reservation; one that has not arrived yet is refused when it does."""
        account = self.accounts_by_workspace.get(settlement.workspace)
        if account is None:
            return
        if settlement.reservation in account.reserved_by_id:
            account.settle(settlement.reservation, settlement.tokens)
        else:
            self._ended_early[settlement.reservation] = self._clock.monotonic()

    async def give_back(self) -> None:
        """Return all that is unspent; nothing can be reserved afterwards."""
        self._closed = True
        await self.stop()
        if not self.accounts_by_workspace:
            return
        for _ in range(RETURN_TRIES):
            try:
                await self._read()
                for workspace, budget in self._record.budgets_by_workspace.items():
                    account = self.accounts_by_workspace.get(workspace)
                    if account is not None:
                        return_allotment(budget, self._own, account)
                await self._write()
                log.change("allotments.returned")
                return
            except KvConflictError:
                continue
            except KvError as error:
                log.failure("allotments.not_returned", error=str(error))

    @property
    def _own(self) -> str:
        """Return the name of this holder in the record."""
        return self._blackboard.own.incarnation

    def _left_at_most(self, workspace: str) -> int:
        """Return an upper bound of what the workspace has left, as of the last reading."""
        configuration = self._blackboard.configuration
        known = configuration.workspaces_by_name.get(workspace) if configuration else None
        if known is None or known.prepaid_tokens is None:
            return 0
        budget = self._record.budgets_by_workspace.get(workspace)
        return known.prepaid_tokens - (budget.spent if budget else 0)

    async def _draw_forever(self) -> None:
        """Keep the allotments filled."""
        while True:
            if self._due():
                await self._draw()
            self._forget_ended()
            await self._clock.sleep(CHECK_SECONDS)

    def _due(self) -> bool:
        """Tell whether to write the record now."""
        if self._blackboard.configuration is None or not self._blackboard.store_reachable:
            return False
        if not self.holding:
            return False
        if not self._known:
            return True
        if any(self._wants_refill(name) for name in self._counted_workspaces()):
            return True
        unreported = any(self._unreported(name) for name in self.accounts_by_workspace)
        return unreported and self._clock.monotonic() - self._reported_at > REPORT_SECONDS

    def _counted_workspaces(self) -> dict[str, int]:
        """Return the prepaid tokens of each workspace that has a budget."""
        configuration = self._blackboard.configuration
        if configuration is None:
            return {}
        return {
            name: workspace.prepaid_tokens
            for name, workspace in configuration.workspaces_by_name.items()
            if workspace.prepaid_tokens is not None
        }

    def _wants_refill(self, workspace: str) -> bool:
        """Tell whether a workspace's allotment should grow."""
        account = self.accounts_by_workspace.get(workspace)
        if account is None:
            return True
        budget = self._record.budgets_by_workspace.get(workspace, WorkspaceBudget())
        undrawn = budget.undrawn(self._counted_workspaces()[workspace])
        return self._policy.wants_refill(account, undrawn)

    def _unreported(self, workspace: str) -> bool:
        """Tell whether a workspace's spending is ahead of the record."""
        account = self.accounts_by_workspace[workspace]
        budget = self._record.budgets_by_workspace.get(workspace)
        entry = budget.allotments_by_holder.get(self._own) if budget else None
        return account.spent > (entry.reported if entry else 0)

    async def _draw(self) -> None:
        """Report spending and draw, by compare-and-swap."""
        for _ in range(TRIES):
            try:
                if not self._known:
                    await self._read()
                drawn_by_workspace = self._update_all()
                await self._write()
            except KvConflictError:
                self._known = False
                continue
            except KvError as error:
                self._known = False
                log.failure("allotments.not_drawn", error=str(error))
                return
            for workspace, drawn in drawn_by_workspace.items():
                self.accounts_by_workspace[workspace].drawn = drawn
            self._reported_at = self._clock.monotonic()
            log.success("allotments.drawn", version=self._entry.version if self._entry else 0)
            return

    def _update_all(self) -> dict[str, int]:
        """Change the record in memory for all workspaces; return what will be drawn by then."""
        drawn_by_workspace: dict[str, int] = {}
        for name, prepaid in self._counted_workspaces().items():
            budget = self._record.budgets_by_workspace.setdefault(name, WorkspaceBudget())
            account = self.accounts_by_workspace.setdefault(name, Account())
            drawn_by_workspace[name] = update_allotment(
                budget, self._own, account, prepaid, self._policy
            )
        return drawn_by_workspace

    async def _read(self) -> None:
        """Read the record."""
        self._entry = await self._store.get(BUDGET_KEY)
        value = self._entry.value if self._entry else None
        try:
            self._record = BudgetRecord.decode(value)
        except msgspec.DecodeError as error:
            raise KvError(str(error), step="budgets.decode", peer=BUDGET_KEY) from error
        self._known = True

    async def _write(self) -> None:
        """Write the record if nobody else has since it was read.

        The record in memory is unknown from the call until its answer: a lost answer leaves open
        whether the write took effect.
        """
        expected = self._entry.version if self._entry else ABSENT_VERSION
        self._known = False
        self._entry = await self._store.put_if(BUDGET_KEY, self._record.encode(), expected)
        self._known = True

    def _forget_ended(self) -> None:
        """Forget settlements that came before their reservation, once none can arrive any more."""
        limit = self._clock.monotonic() - 60.0
        for key in [key for key, at in self._ended_early.items() if at < limit]:
            del self._ended_early[key]
