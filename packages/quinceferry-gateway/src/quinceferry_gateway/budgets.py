"""Prepaid budgets: the shared record, and what one holder may spend of it.

A holder draws an allotment by compare-and-swap and spends only what it has drawn, so that no clock,
lease or connection is needed to stay within the budget. What a vanished holder had drawn counts as
spent until the holder itself returns it.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

import msgspec


class HolderAllotment(msgspec.Struct, omit_defaults=True):
    """Tokens drawn by one holder over its lifetime, and how many of them it reported as spent.

    ``reserved`` are those that were set aside for running requests when it last reported.
    """

    drawn: int = 0
    reported: int = 0
    reserved: int = 0

    @property
    def outstanding(self) -> int:
        """Return the tokens that the holder may still spend or may have spent unreported."""
        return self.drawn - self.reported

    @property
    def idle(self) -> int:
        """Return the tokens that were neither spent nor reserved when the holder last reported."""
        return max(0, self.outstanding - self.reserved)


class WorkspaceBudget(msgspec.Struct, omit_defaults=True):
    """Tokens of one workspace; ``spent`` are those that were reported and those given up.

    ``tokens_per_second`` is the rate of spending that the last writer saw.
    """

    spent: int = 0
    allotments_by_holder: dict[str, HolderAllotment] = msgspec.field(default_factory=dict)
    tokens_per_second: int = 0

    @property
    def outstanding(self) -> int:
        """Return all tokens that holders have drawn and not reported."""
        return sum(item.outstanding for item in self.allotments_by_holder.values())

    def undrawn(self, drawable: int) -> int:
        """Return the tokens that nobody holds, of those that may be drawn."""
        return drawable - self.spent - self.outstanding


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


@dataclass(slots=True, frozen=True)
class InheritedTokens:
    """What a stopping holder passed on: tokens it had left, and all that it ever spent."""

    unspent: int
    spent: int


@dataclass(slots=True)
class Account:
    """What one holder knows of its own allotment in one workspace.

    ``drawn`` counts only draws that the store has confirmed. ``inherited_by_holder`` holds tokens
    that stopping holders passed on and that the record still shows as theirs.
    """

    drawn: int = 0
    spent: int = 0
    reserved_by_id: dict[str, int] = field(default_factory=dict)
    inherited_by_holder: dict[str, InheritedTokens] = field(default_factory=dict)

    @property
    def reserved(self) -> int:
        """Return the tokens that running requests may still use."""
        return sum(self.reserved_by_id.values())

    @property
    def available(self) -> int:
        """Return the tokens that a new request may reserve."""
        return self.drawn + self.inherited - self.spent - self.reserved

    @property
    def inherited(self) -> int:
        """Return the tokens that were passed on and are not yet drawn in the record."""
        return sum(item.unspent for item in self.inherited_by_holder.values())

    def reserve(self, reservation: str, tokens: int) -> int:
        """Set tokens aside, or as many as there are; a repeated call changes nothing.

        :return: the tokens set aside.
        """
        if reservation in self.reserved_by_id:
            return self.reserved_by_id[reservation]
        granted = max(0, min(tokens, self.available))
        if granted:
            self.reserved_by_id[reservation] = granted
        return granted

    def settle(self, reservation: str, tokens: int) -> None:
        """End a reservation with the tokens really used; a repeated call changes nothing."""
        reserved = self.reserved_by_id.pop(reservation, None)
        if reserved is not None:
            self.spent += min(tokens, reserved)


@dataclass(slots=True, frozen=True)
class Allowance:
    """What one holder may have available in a workspace.

    ``equal_share`` is its equal part of what all holders may have together, ``headroom`` what the
    others leave
    of that. Holders drew in a fleet of another size, or can't give anything back while they are cut
    off: a holder draws no more than the room, and gives back only what exceeds its part.
    """

    equal_share: int
    headroom: int

    @property
    def target(self) -> int:
        """Return up to how many available tokens the holder draws."""
        return max(0, min(self.equal_share, self.headroom))


@dataclass(slots=True, frozen=True)
class DrawPolicy:
    """How much the holders keep at hand together, as a share of what a workspace has left.

    A larger share serves longer through an outage of the store, and strands more when holders are
    killed. A workspace that has plenty can do without what is stranded. For one that is about to
    run dry each stranded token is a refused request, while what is not spent in an outage is spent
    after it. So the share shrinks with the time for which the tokens last: it is whole from
    ``ample_seconds`` on, and never less than ``min_seconds`` of spending.

    A holder draws when it has less than ``refill_share`` of its goal, reports when it has spent the
    rest of its part, and gives back what exceeds ``surplus_share`` of its part.
    """

    held_share: float
    ample_seconds: float
    min_seconds: float = 2.0
    refill_share: float = 0.75
    surplus_share: float = 1.6

    def target_tokens(self, remaining: int, tokens_per_second: int) -> int:
        """Return the tokens that all holders together should have available.

        :param left: tokens that nobody holds or that live holders hold.
        :param tokens_per_second: rate at which the workspace spends.
        """
        full_share = self.held_share * max(0, remaining)
        if not tokens_per_second:
            return int(full_share)
        lasting_seconds = max(0, remaining) / tokens_per_second
        reduced = full_share * lasting_seconds / self.ample_seconds
        return int(min(full_share, max(reduced, self.min_seconds * tokens_per_second)))

    def allowance(self, target_tokens: int, holders: int, idle_elsewhere: int) -> Allowance:
        """Return what one holder may have available.

        :param held: tokens that all holders together should have available.
        :param holders: number of holders.
        :param idle_elsewhere: idle tokens of all other live holders.
        """
        return Allowance(target_tokens // max(1, holders), target_tokens - idle_elsewhere)

    def is_write_due(
        self, available: int, unreported: int, allowance: Allowance, undrawn: int
    ) -> bool:
        """Tell whether an allotment is far enough from its goal to write the record.

        :param unreported: tokens spent since the last write. The others take them for idle, which
            leaves less room for their own draws.
        """
        if available > self.surplus_share * allowance.equal_share:
            return True
        if unreported > (1 - self.refill_share) * allowance.equal_share:
            return True
        return undrawn > 0 and available < self.refill_share * allowance.target


def remaining_tokens(budget: WorkspaceBudget, drawable: int, holders: Collection[str]) -> int:
    """Return the tokens that nobody holds or that some holders hold."""
    held = sum(
        entry.outstanding
        for holder, entry in budget.allotments_by_holder.items()
        if holder in holders
    )
    return max(0, budget.undrawn(drawable)) + held


def idle_tokens(budget: WorkspaceBudget, holders: Collection[str]) -> int:
    """Return the tokens that some holders have drawn and neither spent nor reserved."""
    entries = budget.allotments_by_holder.items()
    return sum(entry.idle for holder, entry in entries if holder in holders)


def update_allotment(
    budget: WorkspaceBudget,
    holder: str,
    account: Account,
    undrawn: int,
    allowance: Allowance,
    requested: int = 0,
) -> int:
    """Report a holder's spending in the record, and draw up to its goal or give back its surplus.

    Tokens to be given back leave the account at once, before the record is written.

    :param undrawn: tokens that nobody holds.
    :param wanted: tokens that waiting requests need, whatever the allowance is.
    :return: the holder's drawn tokens once the record is written.
    """
    entry = budget.allotments_by_holder.setdefault(holder, HolderAllotment())
    _merge_inherited(budget, entry, account)
    account.drawn = min(account.drawn, entry.drawn - account.inherited)
    budget.spent += account.spent - entry.reported
    entry.reported = account.spent
    entry.reserved = account.reserved
    available = entry.drawn - account.spent - account.reserved
    missing = max(allowance.target, requested) - available
    surplus = available - max(allowance.equal_share, requested)
    entry.drawn += min(max(0, undrawn), max(0, missing)) - max(0, surplus)
    account.drawn = min(account.drawn, entry.drawn - account.inherited)
    return entry.drawn


def _merge_inherited(budget: WorkspaceBudget, entry: HolderAllotment, account: Account) -> None:
    """Move what other holders passed on to this holder's entry in the record.

    A predecessor that the record no longer shows was moved by an earlier write whose answer was
    lost, and this holder's entry has its tokens already.
    """
    for predecessor, inherited in account.inherited_by_holder.items():
        predecessor_entry = budget.allotments_by_holder.pop(predecessor, None)
        if predecessor_entry is not None:
            budget.spent += inherited.spent - predecessor_entry.reported
            entry.drawn += inherited.unspent


def return_allotment(budget: WorkspaceBudget, holder: str, account: Account) -> None:
    """Take a holder out of the record; what is still reserved counts as spent.

    The holder must spend nothing any more before the record is written.
    """
    if holder not in budget.allotments_by_holder and not account.inherited_by_holder:
        return
    entry = budget.allotments_by_holder.pop(holder, HolderAllotment())
    _merge_inherited(budget, entry, account)
    account.inherited_by_holder.clear()
    account.drawn = min(account.drawn, account.spent + account.reserved)
    budget.spent += account.spent + account.reserved - entry.reported
