"""Accounts of a holder: what it has drawn, spent, reserved and inherited in each workspace."""

from collections.abc import Callable

from quinceferry_core.clocks import Clock, MachineTime
from quinceferry_gateway.budgets import Account, InheritedTokens
from quinceferry_gateway.decisions.spending_limits import LimitPeriod
from quinceferry_gateway.peers import Inheritance, InheritRequest, Settlement

EARLY_SETTLEMENT_TTL_SECONDS = 60.0
"""How long a settlement that arrives before its reservation is remembered; no call lasts longer."""


class HolderAccounts:
    """Reserves and settles tokens in the accounts of one holder.

    :param machine_time: returns the time on the clocks of this machine.
    :param limit_period: tells whether the spending limits of the record are binding.
    """

    __slots__ = (
        "_clock",
        "_limit_period",
        "_machine_time",
        "_settled_early_at",
        "by_workspace",
        "inherited_holders",
    )

    def __init__(
        self, clock: Clock, machine_time: Callable[[], MachineTime], limit_period: LimitPeriod
    ) -> None:
        self._clock = clock
        self._machine_time = machine_time
        self._limit_period = limit_period
        self._settled_early_at: dict[str, float] = {}
        self.by_workspace: dict[str, Account] = {}
        self.inherited_holders: set[str] = set()

    def account(self, workspace: str) -> Account:
        """Return the account of a workspace, an empty one if there is none."""
        return self.by_workspace.get(workspace, Account())

    def held_by_workspace(self) -> dict[str, int]:
        """Return the tokens of each workspace that are drawn and neither spent nor reserved."""
        return {name: account.held for name, account in self.by_workspace.items()}

    def available_by_workspace(self) -> dict[str, int]:
        """Return the tokens of each workspace that can be reserved now."""
        is_limited = self._is_limited()
        return {name: item.available(is_limited) for name, item in self.by_workspace.items()}

    def spent_by_workspace(self) -> dict[str, int]:
        """Return the tokens spent by workspace, without those of running requests."""
        return {name: account.spent for name, account in self.by_workspace.items()}

    def available(self, workspace: str) -> int:
        """Return the tokens of a workspace that can be reserved now."""
        return self.account(workspace).available(self._is_limited())

    def has_tokens_beyond_limit(self, workspace: str) -> bool:
        """Return whether more tokens are held than the spending limit of a workspace allows."""
        account = self.account(workspace)
        return account.held > account.available(is_limited=True)

    def reserve(self, reservation: str, workspace: str, tokens: int) -> int:
        """Reserve tokens, or as many of them as are available.

        :return: the number of tokens reserved, none for a reservation that is settled already.
        """
        account = self.by_workspace.get(workspace)
        if account is None or reservation in self._settled_early_at:
            return 0
        return account.reserve(reservation, tokens, self._is_limited())

    def settle(self, settlement: Settlement) -> None:
        """End a reservation; one that has not arrived yet is rejected when it does."""
        account = self.by_workspace.get(settlement.workspace)
        if account is None:
            return
        if settlement.reservation in account.reserved_by_id:
            account.settle(settlement.reservation, settlement.tokens)
        else:
            self._settled_early_at[settlement.reservation] = self._clock.monotonic()

    def forget_early_settlements(self) -> None:
        """Remove early settlements whose reservations can no longer arrive."""
        oldest_kept_at = self._clock.monotonic() - EARLY_SETTLEMENT_TTL_SECONDS
        for reservation, settled_at in list(self._settled_early_at.items()):
            if settled_at < oldest_kept_at:
                del self._settled_early_at[reservation]

    def inheritances(self) -> list[Inheritance]:
        """Return what a stopping holder passes on.

        That is what the spending limits allow, as long as they are binding. Tokens of running
        requests count as spent.
        """
        is_limited = self._is_limited()
        return [
            Inheritance(name, account.available(is_limited), account.spent + account.reserved)
            for name, account in self.by_workspace.items()
        ]

    def inherit(self, request: InheritRequest) -> None:
        """Take over the tokens of a stopping holder."""
        self.inherited_holders.add(request.holder)
        for item in request.inheritances:
            account = self.by_workspace.setdefault(item.workspace, Account())
            account.inherited_by_holder[request.holder] = InheritedTokens(item.unspent, item.spent)

    def _is_limited(self) -> bool:
        """Return whether the spending limits of the record are binding."""
        return self._limit_period.is_binding(self._machine_time())
