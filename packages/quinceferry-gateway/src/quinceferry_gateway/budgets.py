"""Prepaid budgets: the shared record, and what one holder may spend of it.

A holder draws an allotment by compare-and-swap and spends only what it has drawn, so that no clock,
lease or connection is needed to stay within the budget. What a vanished holder had drawn counts as
spent until the holder itself returns it.
"""

from dataclasses import dataclass, field

import msgspec


class HolderAllotment(msgspec.Struct, omit_defaults=True):
    """Tokens drawn by one holder over its lifetime, and how many of them it reported as spent."""

    drawn: int = 0
    reported: int = 0

    @property
    def outstanding(self) -> int:
        """Return the tokens that the holder may still spend or may have spent unreported."""
        return self.drawn - self.reported


class WorkspaceBudget(msgspec.Struct, omit_defaults=True):
    """Tokens of one workspace; ``spent`` are those that were reported and those given up."""

    spent: int = 0
    allotments_by_holder: dict[str, HolderAllotment] = msgspec.field(default_factory=dict)

    @property
    def outstanding(self) -> int:
        """Return all tokens that holders have drawn and not reported."""
        return sum(item.outstanding for item in self.allotments_by_holder.values())

    def undrawn(self, prepaid: int) -> int:
        """Return the tokens that nobody holds."""
        return prepaid - self.spent - self.outstanding


class BudgetRecord(msgspec.Struct, omit_defaults=True):
    """The value kept in the store: budgets of one shard of workspaces."""

    budgets_by_workspace: dict[str, WorkspaceBudget] = msgspec.field(default_factory=dict)

    @classmethod
    def decode(cls, value: bytes | None) -> "BudgetRecord":
        """Return the record in a store value, or an empty one.

        :raises msgspec.DecodeError: the value is damaged.
        """
        return msgspec.json.decode(value, type=cls) if value is not None else cls()

    def encode(self) -> bytes:
        """Return the store value."""
        return msgspec.json.encode(self)


@dataclass(slots=True)
class Account:
    """What one holder knows of its own allotment in one workspace.

    ``drawn`` counts only draws that the store has confirmed. ``remaining`` and ``settled`` describe
    the whole workspace as of the last reading of the record.
    """

    drawn: int = 0
    spent: int = 0
    reserved_by_id: dict[str, int] = field(default_factory=dict)
    undrawn: int = 0
    settled: int = 0

    @property
    def reserved(self) -> int:
        """Return the tokens that running requests may still use."""
        return sum(self.reserved_by_id.values())

    @property
    def available(self) -> int:
        """Return the tokens that a new request may reserve."""
        return self.drawn - self.spent - self.reserved

    def reserve(self, reservation: str, tokens: int) -> bool:
        """Set tokens aside; a repeated call changes nothing.

        :return: False when the allotment does not cover them.
        """
        if reservation in self.reserved_by_id:
            return True
        if tokens > self.available:
            return False
        self.reserved_by_id[reservation] = tokens
        return True

    def settle(self, reservation: str, tokens: int) -> None:
        """End a reservation with the tokens really used; a repeated call changes nothing."""
        reserved = self.reserved_by_id.pop(reservation, None)
        if reserved is not None:
            self.spent += min(tokens, reserved)


@dataclass(slots=True, frozen=True)
class DrawPolicy:
    """How much a holder keeps at hand, as shares of what the workspace has left.

    ``target_share`` is what a full allotment holds unreserved; ``refill_share`` of the target is
    the level below which more is drawn. A larger target serves longer through an outage of the
    store and strands more when all holders are killed.
    """

    target_share: float
    refill_share: float

    def target(self, account: Account, undrawn: int) -> int:
        """Return the tokens that the holder should have available."""
        return int(self.target_share * max(0, undrawn + account.available))

    def wants_refill(self, account: Account, undrawn: int) -> bool:
        """Tell whether a draw is due."""
        target = self.target(account, undrawn)
        return undrawn > 0 and account.available < self.refill_share * target


def update_allotment(
    budget: WorkspaceBudget, holder: str, account: Account, prepaid: int, policy: DrawPolicy
) -> int:
    """Report a holder's spending in the record and draw up to the target.

    :return: the holder's drawn tokens once the record is written.
    """
    entry = budget.allotments_by_holder.setdefault(holder, HolderAllotment())
    account.drawn = min(account.drawn, entry.drawn)
    budget.spent += account.spent - entry.reported
    entry.reported = account.spent
    undrawn = max(0, budget.undrawn(prepaid))
    available = entry.drawn - account.spent - account.reserved
    target = int(policy.target_share * max(0, undrawn + available))
    entry.drawn += min(undrawn, max(0, target - available))
    return entry.drawn


def return_allotment(budget: WorkspaceBudget, holder: str, account: Account) -> None:
    """Take a holder out of the record; what is still reserved counts as spent.

    The holder must spend nothing any more before the record is written.
    """
    entry = budget.allotments_by_holder.pop(holder, None)
    if entry is None:
        return
    account.drawn = min(account.drawn, account.spent + account.reserved)
    budget.spent += account.spent + account.reserved - entry.reported
