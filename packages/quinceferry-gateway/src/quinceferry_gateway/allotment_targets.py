"""Computes how many tokens of each workspace this gateway should hold."""

from collections.abc import Sequence

from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.budgets import (
    Account,
    Allowance,
    DrawPolicy,
    HolderAllotment,
    idle_tokens,
    remaining_tokens,
    update_allotment,
)
from quinceferry_gateway.decisions.last_tokens import LastTokens, WaitingRequest
from quinceferry_gateway.decisions.outages import OutageHistory
from quinceferry_gateway.holder_role import is_large_fleet
from quinceferry_gateway.settings import BudgetSettings
from quinceferry_gateway.shared_budgets import SharedBudgets
from quinceferry_gateway.spending import SpendingRates

MAX_READING_AGE_SECONDS = 3.0
"""Maximum age of a reading of the record that is used to estimate what other holders have: one read
interval of two seconds, and the time for a read that fails."""

NO_ALLOWANCE = Allowance(0, 0)


class AllotmentTargets:
    """Computes allotment targets from the configuration, the budget record and the members.

    :param settings: how many tokens the holders draw in total.
    :param outages: outages of the store that this gateway has observed.
    """

    __slots__ = ("_blackboard", "_outages", "_policy", "_rates", "_settings", "_shared_budgets")

    def __init__(
        self,
        blackboard: Blackboard,
        shared_budgets: SharedBudgets,
        settings: BudgetSettings,
        outages: OutageHistory,
    ) -> None:
        self._outages = outages
        self._blackboard = blackboard
        self._shared_budgets = shared_budgets
        self._settings = settings
        self._policy = DrawPolicy(
            settings.held_share,
            settings.ample_seconds,
            limit_seconds=settings.limit_seconds,
            spendable_share=settings.spendable_share,
        )
        self._rates = SpendingRates()

    def update_spending_rates(self, now: float) -> None:
        """Update the spending rate of each workspace from the record just read."""
        for workspace in self.drawable_by_workspace():
            budget = self._shared_budgets.budget(workspace)
            self._rates.add_reading(workspace, budget, now)

    def drawable_by_workspace(self) -> dict[str, int]:
        """Return the total tokens of each workspace that holders may draw."""
        configuration = self._blackboard.configuration
        if configuration is None:
            return {}
        return {
            name: self.drawable_tokens(name)
            for name, workspace in configuration.workspaces_by_name.items()
            if workspace.prepaid_tokens is not None
        }

    def drawable_tokens(self, workspace: str) -> int:
        """Return the total tokens of a workspace that holders may draw.

        These are the prepaid tokens less a margin, and none for a workspace without a budget.
        """
        configuration = self._blackboard.configuration
        workspace_configuration = (
            configuration.workspaces_by_name.get(workspace) if configuration else None
        )
        if workspace_configuration is None or workspace_configuration.prepaid_tokens is None:
            return 0
        return int((1 - self._settings.margin_share) * workspace_configuration.prepaid_tokens)

    def kept_tokens(self, workspace: str) -> int:
        """Return the drawable tokens of a workspace that are kept for small requests."""
        return int(self._settings.kept_share * self.drawable_tokens(workspace))

    def last_tokens(self, workspace: str, held: int) -> LastTokens:
        """Return what decides which requests may draw tokens of a workspace.

        :param held: tokens that this gateway holds, neither spent nor reserved.
        """
        return LastTokens(
            self._undrawn_tokens(workspace) + held,
            self.kept_tokens(workspace),
            self._rates.drawn_per_second(workspace),
        )

    def has_unkept_tokens(self, workspace: str) -> bool:
        """Return whether there are undrawn tokens that holders draw ahead of demand."""
        return self._undrawn_tokens(workspace) > self.kept_tokens(workspace)

    def _undrawn_tokens(self, workspace: str) -> int:
        """Return how many of the drawable tokens no holder has drawn."""
        return self._shared_budgets.budget(workspace).undrawn(self.drawable_tokens(workspace))

    def max_remaining(self, workspace: str) -> int:
        """Return an upper bound of the tokens that a workspace has left.

        If the reading of the record is recent, tokens of terminated holders count as spent unless
        their successors may still return a part of them. Otherwise callers would repeatedly be
        asked to retry for tokens that no holder can provide.
        """
        budget = self._shared_budgets.budget(workspace)
        drawable = self.drawable_tokens(workspace)
        if (
            self._shared_budgets.age_seconds > MAX_READING_AGE_SECONDS
            or not self._blackboard.store_reachable
        ):
            return drawable - budget.spent
        holders = [
            holder
            for holder in budget.allotments_by_holder
            if not self._blackboard.has_terminated(holder)
            or self._shared_budgets.last_write(holder)
        ]
        return remaining_tokens(budget, drawable, holders)

    def is_write_due(self, workspace: str, account: Account, holder_count: int) -> bool:
        """Return whether the record should be written for the allotment of a workspace."""
        if account.inherited_by_holder:
            return True
        budget = self._shared_budgets.budget(workspace)
        allowance = self._allowance(workspace, holder_count)
        entry = budget.allotments_by_holder.get(self._blackboard.own.incarnation)
        unreported = account.spent - (entry.reported if entry else 0)
        undrawn = self._undrawn_tokens(workspace) - self.kept_tokens(workspace)
        return self._policy.is_write_due(account, unreported, allowance, undrawn)

    def update(
        self,
        workspace: str,
        account: Account,
        holder_count: int,
        waiting: Sequence[WaitingRequest],
    ) -> HolderAllotment:
        """Update the allotment in the record in memory.

        :param holder_count: number of holders that share the tokens, zero if this gateway is not
            one of them.
        :param waiting: requests that wait for tokens.
        :return: the allotment once the record is written.
        """
        budget = self._shared_budgets.budget(workspace)
        allowance = self._allowance(workspace, holder_count)
        budget.tokens_per_second = self._rates.tokens_per_second(workspace)
        own_incarnation = self._blackboard.own.incarnation
        undrawn = self._undrawn_tokens(workspace)
        requested_tokens = self.last_tokens(workspace, account.held).granted_tokens(waiting)
        return update_allotment(
            budget,
            own_incarnation,
            account,
            undrawn,
            allowance,
            requested_tokens,
            self.kept_tokens(workspace),
        )

    def _allowance(self, workspace: str, holder_count: int) -> Allowance:
        """Return the limits of this gateway in a workspace."""
        if not holder_count:
            return NO_ALLOWANCE
        budget = self._shared_budgets.budget(workspace)
        members = self._blackboard.members_by_incarnation.keys()
        remaining = remaining_tokens(budget, self.drawable_tokens(workspace), members)
        rate = self._rates.tokens_per_second(workspace)
        target = self._policy.target_tokens(remaining, rate, self._outages.longest_seconds)
        if is_large_fleet(self._blackboard, self._settings):
            # A few holders serve the requests of all gateways, and a limit that lasts for seconds
            # is below one large request of most workspaces.
            spendable = target
        else:
            spendable = self._policy.spendable_tokens(remaining, rate, target)
        idle_elsewhere = idle_tokens(budget, members - {self._blackboard.own.incarnation})
        return self._policy.allowance(target, spendable, holder_count, idle_elsewhere)
